package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// Guards against a leader that writes what a replica of an earlier version passes over.
func TestNothingOfALaterFormatIsWrittenBeforeItIsRaised(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.p.State = s.p.State.Clone()
	s.p.State.Format = 0
	s.p.Begin(2, s.now)
	s.events = nil
	s.advance(time.Second)
	c.Assert(s.cancelVerdict(7), quicktest.Equals, planner.Unknown)
	s.p.RaiseFormat(0, s.now)
	s.plan()
	for _, ev := range s.events {
		c.Assert(ev.FormatRaised, quicktest.IsNil)
		c.Assert(ev.JobWithdrawn, quicktest.IsNil)
	}
	s.p.RaiseFormat(tracker.FormatGangRuns, s.now)
	c.Assert(s.p.State.Format, quicktest.Equals, tracker.FormatGangRuns)
	s.p.RaiseFormat(tracker.CurrentFormat+1, s.now)
	c.Assert(s.p.State.Format, quicktest.Equals, tracker.CurrentFormat)
	s.cancelVerdict(8)
	c.Assert(s.p.State.Withdrawal(8, ""), quicktest.Not(quicktest.Equals), tracker.WithdrawalNumber(0))
}

// Guards against a gang that is given up after one run while replicas of earlier versions,
// which count each failed member, hold the format back.
func TestGangGetsAllItsAttemptsBeforeTheFormatIsRaised(t *testing.T) {
	for name, second := range map[string]tracker.End{"fails": tracker.EndFailed, "succeeds": tracker.EndDone} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newHarness(c, 6)
			s.p.State.Format = 0
			earlier := s.p.State.Clone()
			earlier.Known = 0
			s.events = nil
			s.failTogether(s.submit(7, gangOfTwo))
			c.Assert(s.p.State.Jobs[7].State, quicktest.Equals, tracker.Active)
			starts := s.awaitStarts()
			for _, o := range starts {
				s.acceptStart(o)
			}
			s.answerPolls(row{target: starts[0].To.Target, task: starts[0].Task, number: 2, how: second},
				row{target: starts[1].To.Target, task: starts[1].Task, number: 2, how: tracker.EndFailed})
			want := map[tracker.End]tracker.JobState{tracker.EndFailed: tracker.Failed, tracker.EndDone: tracker.Completed}[second]
			c.Assert(s.p.State.Jobs[7].State, quicktest.Equals, want)
			for _, ev := range s.events {
				earlier.ApplyEvent(ev, s.now.Wall)
			}
			c.Assert(earlier.Jobs[7].State, quicktest.Equals, want, quicktest.Commentf("at a replica of an earlier version"))
		})
	}
}
