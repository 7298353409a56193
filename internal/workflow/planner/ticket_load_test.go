package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
)

// This file replays the load in which batch steps wait for room and for tickets beside
// urgent steps.

const (
	urgentQueue = definer.QueueName("urgent")
	batchQueue  = definer.QueueName("batch")
)

// newMixedCell returns a cell of some targets, of which each licence proxy can make calls for an
// urgent queue, 20 ms each, and for a batch queue, 400 ms each.
func newMixedCell(c *quicktest.C, targets, proxies int, disabled planner.Mechanism) *harness {
	s := newHarness(c, targets)
	s.p.Disabled = disabled
	queue := func(name definer.QueueName, priority int, call time.Duration) definer.Queue {
		return definer.Queue{
			Name: name, Host: host, Prefix: "/" + string(name) + "/", Pool: poolName, Priority: priority, MaxAttempts: 2, Slack: 2, Grace: time.Second, Timeout: 3 * time.Second,
			Licence: definer.Licence{Required: true, BaseLatency: call, TicketValidity: 2500 * time.Millisecond},
		}
	}
	s.p.Put(&definer.Document{
		Version: 9, Pools: []definer.Pool{{Name: poolName}}, Queues: []definer.Queue{queue(urgentQueue, 0, 20*time.Millisecond), queue(batchQueue, 2, 400*time.Millisecond)},
		Workspaces: []definer.Workspace{{Name: "a", Keys: []definer.Key{"a"}, Weight: 100}},
	}, func(planner.Answer) {}, s.now)
	for i := range proxies {
		s.p.AddLicenceProxy(planner.LicenceProxyID(rune('a'+i)), s.now)
	}
	return s
}

func (s *harness) submitToQueue(queue definer.QueueName, id definer.JobID, step definer.Step) {
	s.p.Submit(&planner.Submission{Host: host, Path: "/" + string(queue) + "/" + id.String(), Credential: planner.Credential{Key: "a"},
		Job: &definer.Job{ID: id, Spec: "spec", Steps: []definer.Step{step}}}, func(planner.Answer) {}, s.now)
	s.plan()
}

// callsBy returns how many of the requests are for jobs from an id on.
func callsFrom(requests []*planner.TicketRequest, id definer.JobID) int {
	n := 0
	for _, r := range requests {
		if r.Step.Job >= id {
			n++
		}
	}
	return n
}

// Load: twenty batch steps with room for all of them, and an urgent step. Guards against the
// urgent one waiting for a call of the licensing service behind calls of batch steps.
func TestLongCallsLeaveProxiesToShortOnes(t *testing.T) {
	c := quicktest.New(t)
	for _, x := range []struct {
		disabled planner.Mechanism
		urgent   int
	}{{0, 1}, {planner.WithoutCallDivision, 0}} {
		s := newMixedCell(c, 40, 4, x.disabled)
		for i := range definer.JobID(20) {
			s.submitToQueue(batchQueue, 100+i, definer.Step{Count: 1, Need: cpus(15), Estimate: 4 * time.Second})
		}
		s.ticketRequests()
		s.submitToQueue(urgentQueue, 1000, definer.Step{Count: 1, Need: cpus(1), Estimate: 500 * time.Millisecond})
		c.Check(callsFrom(s.ticketRequests(), 1000), quicktest.Equals, x.urgent, quicktest.Commentf("disabled %b", x.disabled))
	}
}

// Load: twenty batch steps that fill a target each, with room for two of them in a cell of ten
// targets. Guards against steps that ask for the room that those before them will take, again
// whenever their tickets expire.
func TestStepsAskForTheRoomThatOthersLeave(t *testing.T) {
	c := quicktest.New(t)
	s := newMixedCell(c, 10, 40, 0)
	submit := func(first definer.JobID, jobs int) []*planner.TicketRequest {
		for i := range jobs {
			s.submitToQueue(batchQueue, first+definer.JobID(i), definer.Step{Count: 1, Need: cpus(15), Estimate: time.Minute})
		}
		return s.ticketRequests()
	}
	for _, r := range submit(100, 8) {
		s.answerTickets(r, "ticket")
	}
	c.Assert(s.starts(), quicktest.HasLen, 8)
	c.Assert(submit(200, 20), quicktest.HasLen, 2)
}

// Guards against a long call that is not given back: no further one would be made for ever.
func TestFailedLongCallsAreGivenBack(t *testing.T) {
	c := quicktest.New(t)
	s := newMixedCell(c, 40, 4, 0)
	for i := range definer.JobID(3) {
		s.submitToQueue(batchQueue, 100+i, definer.Step{Count: 1, Need: cpus(15), Estimate: 4 * time.Second})
	}
	for range 20 {
		for _, r := range s.ticketRequests() {
			s.p.TicketsReported(&planner.TicketReport{ID: r.ID}, s.now)
		}
		s.advance(500 * time.Millisecond)
	}
	for _, id := range []planner.LicenceProxyID{"a", "b"} {
		s.p.RemoveLicenceProxy(id, s.now)
	}
	s.advance(500 * time.Millisecond)
	c.Assert(len(s.ticketRequests()) > 0, quicktest.IsTrue)
}

// Load: jobs of a queue take twice as long as they declare. Guards against the second step of such
// a job counting as late, and waiting behind all others, although its objective allows for it.
func TestObjectivesFollowTheRunTimesThatAreKnown(t *testing.T) {
	c := quicktest.New(t)
	for _, x := range []struct {
		disabled planner.Mechanism
		first    definer.JobID
	}{{0, 100}, {planner.WithoutRevision, 200}} {
		s := newHarness(c, 1)
		s.p.Disabled = x.disabled
		s.putWeighted(definer.Workspace{Name: "a", Weight: 100})
		step := func(estimate time.Duration, after ...int) definer.Step {
			return definer.Step{Count: 1, Need: cpus(15), Estimate: estimate, DependsOn: after}
		}
		c.Assert(s.submitAs("a", 100, step(time.Second), step(time.Second, 0)).Verdict, quicktest.Equals, planner.Accepted)
		s.advance(200 * time.Millisecond)
		c.Assert(s.submitAs("a", 200, step(20*time.Second)).Verdict, quicktest.Equals, planner.Accepted)
		s.finish(4500*time.Millisecond, s.starts()...)
		starts := s.starts()
		c.Assert(starts, quicktest.HasLen, 1)
		c.Check(starts[0].Task.Job, quicktest.Equals, x.first, quicktest.Commentf("disabled %b", x.disabled))
	}
}
