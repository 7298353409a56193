package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// A member of a gang is lost with its target, whose lease outlasts the patience of the
// other members. They are stopped before they give up.
func TestIncompleteGangIsStoppedBeforeItsMembersGiveUp(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	s.restart(1, 2) // its lease may be the longest one
	s.restart(2, 2)
	starts := s.submit(7, definer.Step{Count: 2, Need: cpus(10), Estimate: time.Second, Gang: true})
	c.Assert(starts, quicktest.HasLen, 2)
	lost, member := starts[0], starts[1]
	s.acceptStart(member)
	startedAt := s.now.Monotonic
	s.loseAnswer(lost)
	for s.now.Monotonic.Sub(startedAt) < bounds.GangTime-bounds.StopTime {
		for _, o := range s.polls() {
			if o.To.Target == lost.To.Target {
				s.failPoll(o, planner.MayBeSent)
				continue
			}
			s.answerPoll(o, row{target: member.To.Target, task: member.Task, number: 1})
		}
		s.starts()
		s.advance(50 * time.Millisecond)
	}
	stopped := false
	for _, o := range s.stops() {
		stopped = stopped || o.Task == member.Task
	}
	c.Assert(stopped, quicktest.IsTrue)
}

// failAll lets the targets list the failed ends of the members of a gang.
func (s *harness) failAll(starts []*planner.StartOrder) {
	var rows []row
	for _, o := range starts {
		rows = append(rows, row{target: o.To.Target, task: o.Task, number: o.Number, how: tracker.EndFailed})
	}
	s.answerPolls(rows...)
	s.advance(50 * time.Millisecond)
}

// awaitStarts answers polls until orders to start were sent, for 4 s at most.
func (s *harness) awaitStarts() []*planner.StartOrder {
	for range 80 {
		if starts := s.starts(); len(starts) > 0 {
			return starts
		}
		s.answerPolls()
		s.advance(50 * time.Millisecond)
	}
	return nil
}

// All members of a gang fail in each run, on a target that fails all that it starts.
// Guards against a job that is given up after one run of its gang, with more allowed, and
// against one that runs more often.
func TestGangWhoseMembersFailTogetherGetsAllItsAttempts(t *testing.T) {
	for name, leaderChanges := range map[string]bool{"one leader": false, "the leader changes": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newHarness(c, 6)
			starts := s.submit(7, definer.Step{Count: 2, Need: cpus(2), Estimate: time.Second, Gang: true})
			for attempt := range 2 {
				c.Assert(starts, quicktest.HasLen, 2, quicktest.Commentf("run %d", attempt+1))
				c.Assert(s.p.State.Jobs[7].State, quicktest.Equals, tracker.Active)
				for _, o := range starts {
					s.acceptStart(o)
				}
				if leaderChanges {
					s.failAll(starts[:1])
					s.changeTerm(2 + registrar.Term(attempt))
					s.failAll(starts[1:])
				} else {
					s.failAll(starts)
				}
				starts = s.awaitStarts()
			}
			c.Assert(starts, quicktest.HasLen, 0)
			c.Assert(s.p.State.Jobs[7].State, quicktest.Equals, tracker.Failed)
		})
	}
}

// A gang fails on four targets at once. That is one failure of its job, and no sign that
// the job is at fault wherever it runs.
func TestOneFailedRunOfAGangDoesNotBlameItsJob(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 4)
	apart := definer.Step{Count: 4, Need: cpus(2), Estimate: time.Second, MaxPerTarget: 1}
	gang := apart
	gang.Gang = true
	starts := s.submit(7, gang)
	c.Assert(starts, quicktest.HasLen, 4)
	for _, o := range starts {
		s.acceptStart(o)
	}
	last := starts[3].To.Target // its end is listed last
	s.failAll(starts[:3])
	s.failAll(starts[3:])
	s.cancel(7)
	for _, o := range s.submit(8, apart) {
		s.acceptStart(o)
		if o.To.Target == last {
			s.failAll([]*planner.StartOrder{o})
		}
	}
	c.Assert(s.lines("target suspected"), quicktest.Equals, 1)
}
