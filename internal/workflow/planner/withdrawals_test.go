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

// This file tests cancellations of jobs that are not known, whose submissions arrive later.

// maxHoldBack is the longest time that a submission may be held back on its way; the terms
// are in docs/design/withdrawals.md.
const maxHoldBack = 34400 * time.Millisecond

// submitVerdict submits a job of one task.
func (s *harness) submitVerdict(id definer.JobID) planner.Verdict {
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: []definer.Step{oneTask(cpus(1))}}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	return a.Verdict
}

// cancelVerdict cancels a job at a path of the only queue.
func (s *harness) cancelVerdict(id definer.JobID) planner.Verdict {
	var a planner.Answer
	s.p.Cancel(planner.Place{Host: host, Path: prefix + id.String()}, func(x planner.Answer) { a = x }, s.now)
	s.plan()
	return a.Verdict
}

func (s *harness) withdrawnEvents() int {
	n := 0
	for _, ev := range s.events {
		if ev.JobWithdrawn != nil {
			n++
		}
	}
	return n
}

// A daemon holds a submission back while its caller leaves and cancels the job. Guards
// against a job that runs for good after its caller was told that it does not exist.
func TestSubmissionThatArrivesAfterItsCancellationIsRefused(t *testing.T) {
	for name, held := range map[string]time.Duration{"at once": 0, "after a freeze": 3500 * time.Millisecond, "as late as it may": maxHoldBack} {
		for change, leaders := range map[string]int{"one leader": 0, "the leader changes": 1, "it changes twice": 2} {
			t.Run(name+", "+change, func(t *testing.T) {
				c := quicktest.New(t)
				s := newHarness(c, 1)
				c.Assert(s.cancelVerdict(7), quicktest.Equals, planner.Unknown)
				for i := range leaders {
					s.changeTerm(registrar.Term(2 + i))
				}
				s.advance(held)
				c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Withdrawn)
				c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Withdrawn, quicktest.Commentf("a second copy"))
				c.Assert(s.starts(), quicktest.HasLen, 0)
				_, a := new(planner.Keyring).Find(s.p.State, planner.Place{Host: host, Path: prefix + definer.JobID(7).String()})
				c.Assert(a.Verdict, quicktest.Equals, planner.Unknown, quicktest.Commentf("it is no job"))
			})
		}
	}
}

// The time counts from the latest cancellation. One that changes nothing is not recorded.
func TestRepeatedCancellationIsRememberedForItsOwnTime(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.cancelVerdict(7)
	for range 5 {
		s.advance(100 * time.Millisecond)
		s.cancelVerdict(7)
	}
	c.Assert(s.withdrawnEvents(), quicktest.Equals, 1)
	s.advance(maxHoldBack - time.Second)
	s.cancelVerdict(7)
	c.Assert(s.withdrawnEvents(), quicktest.Equals, 2)
	s.advance(maxHoldBack)
	c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Withdrawn)
}

// The memory ends some time after no submission can be held back any more.
func TestCancellationsOfUnknownJobsAreForgotten(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.cancelVerdict(7)
	s.changeTerm(2)
	s.advance(maxHoldBack + 10*time.Second)
	c.Assert(s.p.State.Withdrawals(), quicktest.Equals, 0)
	s.answerPolls()
	c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Accepted)
}

// A flood of cancellations of unknown jobs drops the oldest ones, and counts them.
func TestFloodOfCancellationsOfUnknownJobsIsBounded(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	const flood, bound = 33000, 16384
	dropped := 0
	for i := range flood {
		s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(1000+i).String()}, func(planner.Answer) {}, s.now)
		if i%140 == 139 {
			s.now.Monotonic = s.now.Monotonic.Add(50 * time.Millisecond)
			s.p.Plan(s.now)
			dropped += s.p.Take().WithdrawalsDropped
			c.Assert(s.p.State.Withdrawals() <= bound, quicktest.IsTrue)
		}
	}
	c.Assert(dropped+s.p.State.Withdrawals() >= flood-140, quicktest.IsTrue, quicktest.Commentf("%d dropped", dropped))
	c.Assert(s.submitVerdict(1000+flood-1), quicktest.Equals, planner.Withdrawn, quicktest.Commentf("the newest"))
	c.Assert(s.submitVerdict(1000), quicktest.Equals, planner.Accepted, quicktest.Commentf("the oldest"))
}

// A cancellation at a path that names no job, or no queue, is no withdrawal.
func TestCancellationThatNamesNoJobIsNotRemembered(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	for _, path := range []string{prefix, prefix + "17", prefix + "00000000000000AB", "/other/" + definer.JobID(7).String(), prefix + "x/" + definer.JobID(7).String()} {
		s.p.Cancel(planner.Place{Host: host, Path: path}, func(planner.Answer) {}, s.now)
	}
	s.plan()
	c.Assert(s.withdrawnEvents(), quicktest.Equals, 0)
	c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Accepted)
}

// A job is withdrawn at a path of another queue than that of its submission: ids are those
// of jobs whatever their queue, as for jobs that are known.
func TestCancellationAtAnotherQueueWithdrawsTheJob(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.putTwoQueues(0, 1)
	s.p.Cancel(planner.Place{Host: host, Path: "/queue2/" + definer.JobID(7).String()}, func(planner.Answer) {}, s.now)
	s.plan()
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + definer.JobID(7).String(), Job: &definer.Job{ID: 7, Steps: []definer.Step{oneTask(cpus(1))}}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	c.Assert(a.Verdict, quicktest.Equals, planner.Withdrawn, quicktest.Commentf("%s", a.Reason))
}

// A second copy of the submission of an accepted job is under way when the job is
// cancelled.
func TestSecondSubmissionOfACancelledJobStartsNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.submit(7, oneTask(cpus(1)))
	c.Assert(s.cancelVerdict(7), quicktest.Equals, planner.Accepted)
	s.advance(maxHoldBack)
	c.Assert(s.submitVerdict(7), quicktest.Equals, planner.Accepted)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	c.Assert(s.p.State.Jobs[7].State, quicktest.Equals, tracker.Cancelled)
	c.Assert(s.withdrawnEvents(), quicktest.Equals, 0)
}
