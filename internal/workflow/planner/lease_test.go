package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// leaseSent returns the lease that the next look at the only target carries.
func (s *stage) leaseSent(rows ...row) time.Duration {
	s.answerLooks(rows...)
	s.pass(50 * time.Millisecond)
	looks := s.looks()
	s.c.Assert(looks, quicktest.HasLen, 1)
	return time.Duration(looks[0].Deadline-s.clock(looks[0].To.Target)) * time.Millisecond
}

// untilStartedElsewhere lets a target be silent until the task of its only run is
// started on another one, and returns how long that takes.
func (s *stage) untilStartedElsewhere(lost *planner.StartOrder) time.Duration {
	begun := s.now.Steady
	for s.now.Steady.Sub(begun) < 20*time.Second {
		for _, o := range s.looks() {
			r := s.report(o)
			r.Answered = o.To.Target != lost.To.Target
			s.p.Looked(r, s.now)
		}
		s.pass(50 * time.Millisecond)
		if len(s.starts()) > 0 {
			return s.now.Steady.Sub(begun)
		}
	}
	s.c.Fatal("the task was not started again")
	return 0
}

// A target is lost with an urgent task. The task starts elsewhere after the short
// lease, in time to be of some use to its caller.
func TestTasksOfALostTargetStartElsewhereAfterTheShortLease(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.obey(start)
	s.answerLooks(row{target: start.To.Target, task: start.Task, number: 1, percent: 10})
	took := s.untilStartedElsewhere(start)
	c.Assert(took > 3*time.Second && took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// The same when the leader is lost with the target: the next one knows from the
// tables that no long lease was granted.
func TestNewLeaderWaitsForTheShortLeaseOfALostTarget(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.obey(start)
	s.lead(2)
	took := s.untilStartedElsewhere(start)
	c.Assert(took > 2900*time.Millisecond && took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// A task that lasts has run on the target, and a look may have granted a long
// lease before it ended.
func TestNewLeaderWaitsForTheLongLeaseThatMayHaveBeenGranted(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	lasting := s.submit(7, definer.Step{Count: 1, Need: cpus(1), Lasting: true})[0]
	s.obey(lasting)
	s.answerLooks(row{target: lasting.To.Target, task: lasting.Task, number: 1, percent: 100})
	s.p.Cancel(host, prefix+definer.JobID(7).String(), func(planner.Answer) {}, s.now)
	s.pass(50 * time.Millisecond)
	s.answerLooks(row{target: lasting.To.Target, task: lasting.Task, number: 1, how: tracker.EndStopped})
	start := s.submit(8, oneTask(cpus(1)))[0]
	s.obey(start)
	s.announce(s.record(2))
	s.lead(2)
	took := s.untilStartedElsewhere(start)
	c.Assert(took > 10*time.Second, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// Where a task that lasts runs the lease is long, so that it outlasts the time
// without a leader after a loss of power.
func TestLeaseIsLongWhereATaskLasts(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.obey(start)
	short := s.leaseSent(row{target: start.To.Target, task: start.Task, number: 1, percent: 10})
	c.Assert(short <= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", short))

	s = newStage(c, 1)
	start = s.submit(7, definer.Step{Count: 1, Need: cpus(1), Lasting: true})[0]
	s.obey(start)
	long := s.leaseSent(row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
	c.Assert(long > 9*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", long))
}
