package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file tests the placement of tasks and its order.

func (s *harness) rackOf(id tracker.TargetID) string { return s.record(int(id[1] - '0')).Rack }

func TestTasksWaitForTheRackOfTheirData(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 4) // racks r0 and r1
	near := oneTask(cpus(10))
	near.Rack, near.Count = "r1", 3
	first := s.submit(1, near)
	c.Assert(first, quicktest.HasLen, 2, quicktest.Commentf("two of three tasks fit on the rack"))
	for _, o := range first {
		c.Assert(s.rackOf(o.To.Target), quicktest.Equals, "r1")
		s.acceptStart(o)
	}
	var rows []row
	for _, o := range first {
		rows = append(rows, row{target: o.To.Target, task: o.Task, number: 1, percent: 10})
	}
	var late []*planner.StartOrder
	for range 40 {
		s.answerPolls(rows...)
		s.advance(50 * time.Millisecond)
		late = append(late, s.starts()...)
		if len(late) > 0 {
			break
		}
	}
	c.Assert(late, quicktest.HasLen, 1, quicktest.Commentf("it waits for a part of the time that it loses elsewhere"))
	c.Assert(s.rackOf(late[0].To.Target), quicktest.Equals, "r0")
}

func TestRackLocalStepRunsOnOneRack(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 6) // racks r0, r1 and r2
	filler := s.submit(1, oneTask(cpus(12)))
	c.Assert(filler, quicktest.HasLen, 1)
	local := oneTask(cpus(8))
	local.RackLocal, local.Count = true, 4
	racks := make(map[string]int)
	for _, o := range s.submit(2, local) {
		racks[s.rackOf(o.To.Target)]++
	}
	c.Assert(racks, quicktest.HasLen, 1)
	c.Assert(racks[s.rackOf(filler[0].To.Target)], quicktest.Equals, 0, quicktest.Commentf("that rack has capacity for only three tasks"))
}

func TestStepsThatCanMeetTheirObjectiveGoFirst(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	running := s.submit(1, oneTask(cpus(16)))
	s.acceptStart(running[0])
	c.Assert(s.submit(2, oneTask(cpus(16))), quicktest.HasLen, 0)
	for range 60 { // the second job's objective passes
		s.answerPolls(row{target: "t1", task: running[0].Task, number: 1, percent: 50})
		s.advance(50 * time.Millisecond)
	}
	c.Assert(s.submit(3, oneTask(cpus(16))), quicktest.HasLen, 0)
	s.answerPolls(row{target: "t1", task: running[0].Task, number: 1, how: tracker.EndDone})
	s.advance(50 * time.Millisecond)
	next := s.starts()
	c.Assert(next, quicktest.HasLen, 1)
	c.Assert(next[0].Task.Job, quicktest.Equals, definer.JobID(3))
}

func TestPreemptionStopsCheckpointingRuns(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	s.p.Limits.PreemptAfter = 100 * time.Millisecond
	s.putTwoQueues(0, 2)
	saving, other := oneTask(cpus(16)), oneTask(cpus(16))
	saving.Checkpointing = true
	saving.Estimate, other.Estimate = 20*time.Second, 20*time.Second
	var rows []row
	for i, step := range []definer.Step{saving, other} {
		for _, o := range s.submitTo("queue2", definer.JobID(i+1), step) {
			s.acceptStart(o)
			rows = append(rows, row{target: o.To.Target, task: o.Task, number: 1, percent: 40})
		}
	}
	c.Assert(rows, quicktest.HasLen, 2)
	for range 20 { // both run for longer than freshRunAge
		s.answerPolls(rows...)
		s.advance(50 * time.Millisecond)
	}
	c.Assert(s.submit(9, oneTask(cpus(4))), quicktest.HasLen, 0)
	s.advance(300 * time.Millisecond)
	stops := s.stops()
	c.Assert(stops, quicktest.HasLen, 1)
	c.Assert(stops[0].Task.Job, quicktest.Equals, definer.JobID(1), quicktest.Commentf("its job makes checkpoints"))
	s.answerPolls(row{target: stops[0].To.Target, task: stops[0].Task, number: 1, how: tracker.EndStopped})
	s.advance(50 * time.Millisecond)
	next := s.starts()
	c.Assert(next[0].Task.Job, quicktest.Equals, definer.JobID(9))
}

func TestStoppingRunIsChargedUntilItsEndIsListed(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	first := s.submit(1, oneTask(cpus(16)))
	s.acceptStart(first[0])
	s.cancel(1)
	c.Assert(s.stops(), quicktest.HasLen, 1)
	c.Assert(s.submit(2, oneTask(cpus(1))), quicktest.HasLen, 0)
	s.answerPolls(row{target: "t1", task: first[0].Task, number: 1, percent: 10})
	s.advance(50 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	s.answerPolls(row{target: "t1", task: first[0].Task, number: 1, how: tracker.EndStopped})
	s.advance(50 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

func TestOrphanedRunIsChargedUntilItIsGone(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	orphan := definer.TaskID{Job: 77}
	s.advance(time.Second)
	s.answerPolls(row{target: "t1", task: orphan, number: 3, percent: 10})
	c.Assert(s.stops(), quicktest.HasLen, 1)
	c.Assert(s.submit(1, oneTask(cpus(1))), quicktest.HasLen, 0)
	s.answerPolls()
	s.advance(50 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// With the charge for orphans disabled, the check of the test above must fail.
func TestDisabledOrphanChargeIsDetected(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.p.Disabled = planner.WithoutOrphanCharge
	s.advance(time.Second)
	s.answerPolls(row{target: "t1", task: definer.TaskID{Job: 77}, number: 3, percent: 10})
	c.Assert(s.submit(1, oneTask(cpus(1))), quicktest.HasLen, 1)
}

func TestDrainingTargetGetsNoTask(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	rec := s.record(1)
	rec.Draining = true
	s.announce(rec)
	for _, o := range s.submit(1, definer.Step{Count: 6, Need: cpus(2), Estimate: time.Second}) {
		c.Assert(o.To.Target, quicktest.Equals, tracker.TargetID("t2"))
	}
}

func TestFailuresAreCountedAgainstTheBudget(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	for n := 1; n <= 2; n++ {
		var starts []*planner.StartOrder
		if n == 1 {
			starts = s.submit(1, oneTask(cpus(1)))
		} else {
			s.advance(50 * time.Millisecond)
			starts = s.starts()
		}
		c.Assert(starts, quicktest.HasLen, 1)
		c.Assert(starts[0].Number, quicktest.Equals, tracker.RunNumber(n))
		s.acceptStart(starts[0])
		s.answerPolls(row{target: starts[0].To.Target, task: starts[0].Task, number: starts[0].Number, how: tracker.EndFailed})
	}
	s.advance(time.Second)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	c.Assert(s.p.State.Jobs[1].State, quicktest.Equals, tracker.Failed)
}

func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	first := s.submit(1, oneTask(cpus(10)))
	s.acceptStart(first[0])
	gang := definer.Step{Count: 3, Need: cpus(8), Estimate: time.Second, Gang: true}
	c.Assert(s.submit(2, gang), quicktest.HasLen, 0, quicktest.Commentf("two of three members fit"))
	s.answerPolls(row{target: first[0].To.Target, task: first[0].Task, number: 1, how: tracker.EndDone})
	s.advance(50 * time.Millisecond)
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 3)
	for _, o := range starts {
		c.Assert(o.Number, quicktest.Equals, starts[0].Number)
	}
}

// putTwoQueues puts a document with two queues of the given priorities into force.
func (s *harness) putTwoQueues(first, second int) {
	d := *s.p.State.Document
	d.Version++
	d.Queues = append([]definer.Queue(nil), d.Queues...)
	d.Queues[0].Priority = first
	other := d.Queues[0]
	other.Name, other.Prefix, other.Priority = "queue2", "/queue2/", second
	d.Queues = append(d.Queues, other)
	s.p.Put(&d, func(planner.Answer) {}, s.now)
	s.plan()
}

func (s *harness) submitTo(queue string, id definer.JobID, steps ...definer.Step) []*planner.StartOrder {
	s.p.Submit(&planner.Submission{Host: host, Path: "/" + queue + "/" + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}},
		func(planner.Answer) {}, s.now)
	s.plan()
	return s.starts()
}

func (s *harness) cancel(id definer.JobID) {
	s.p.Cancel(planner.Place{Host: host, Path: prefix + id.String()}, func(planner.Answer) {}, s.now)
	s.plan()
}

// Otherwise the other members would wait for the missing one and end only after
// seconds.
func TestGangThatHasLostAMemberIsStopped(t *testing.T) {
	c := quicktest.New(t)
	for _, refusal := range []planner.Refusal{planner.RefusedTicket, planner.RefusedUnhealthy} {
		s := newHarness(c, 3)
		starts := s.submit(1, definer.Step{Count: 3, Need: cpus(10), Estimate: time.Second, Gang: true})
		c.Assert(starts, quicktest.HasLen, 3)
		s.acceptStart(starts[0])
		s.acceptStart(starts[1])
		refused := s.outcome(starts[2], true)
		refused.Refusal = refusal
		s.p.OrderReported(refused, s.now)
		s.plan()
		stopped := s.stops()
		c.Assert(stopped, quicktest.HasLen, 2, quicktest.Commentf("%s", refusal))
		s.answerPolls(row{target: stopped[0].To.Target, task: stopped[0].Task, number: 1, how: tracker.EndStopped},
			row{target: stopped[1].To.Target, task: stopped[1].Task, number: 1, how: tracker.EndStopped})
		s.advance(time.Second)
		again := s.starts()
		c.Assert(again, quicktest.HasLen, 3)
		c.Assert(again[0].Number, quicktest.Equals, tracker.RunNumber(2))
	}
}

// A run fails on the only target that a step may use. The attempts are not spent.
func TestTaskReturnsToTheTargetOnWhichItFailedIfItMayUseNoOther(t *testing.T) {
	c := quicktest.New(t)
	for _, longRunning := range []bool{false, true} {
		s := newHarness(c, 6)
		special := s.record(7)
		special.Labels = []string{"special"}
		s.announce(special)
		s.advance(50 * time.Millisecond)
		s.answerPolls()
		step := oneTask(cpus(1))
		step.Label, step.LongRunning = "special", longRunning
		first := s.submit(1, step)
		c.Assert(first, quicktest.HasLen, 1)
		s.acceptStart(first[0])
		s.advance(time.Second)
		s.answerPolls(row{target: "t7", task: first[0].Task, number: 1, how: tracker.EndFailed})
		c.Assert(s.starts(), quicktest.HasLen, 0, quicktest.Commentf("another target may turn up"))
		s.advance(3 * time.Second)
		c.Assert(s.starts(), quicktest.HasLen, 1)
	}
}
