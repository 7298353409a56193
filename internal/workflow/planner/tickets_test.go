package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// ticketRequests removes the ticket requests and returns them.
func (s *harness) ticketRequests() []*planner.TicketRequest {
	var out []*planner.TicketRequest
	for _, a := range s.take(func(a planner.Action) bool { return a.TicketRequest != nil }) {
		out = append(out, a.TicketRequest)
	}
	return out
}

// answerTickets answers a ticket request; all of its targets get the ticket.
func (s *harness) answerTickets(o *planner.TicketRequest, text string) {
	r := &planner.TicketReport{ID: o.ID, Answered: true, Admitted: make(map[tracker.TargetID]string)}
	for _, id := range o.Targets {
		r.Admitted[id] = text
	}
	s.p.TicketsReported(r, s.now)
	s.plan()
}

// newLicensedHarness returns a harness whose queue needs tickets, and the request for the
// first of two tasks that fill a target each.
func newLicensedHarness(c *quicktest.C) (*harness, *planner.TicketRequest) {
	s := newHarness(c, 1)
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second, Licence: quickLicence})
	s.p.AddLicenceProxy("vm1", s.now)
	c.Assert(s.submit(7, definer.Step{Count: 2, Need: cpus(10), Estimate: time.Minute}), quicktest.HasLen, 0)
	requests := s.ticketRequests()
	c.Assert(requests, quicktest.HasLen, 1)
	return s, requests[0]
}

// A ticket is valid for one incarnation of its target. After a restart the step asks for
// another one.
func TestTicketOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	c := quicktest.New(t)
	s, first := newLicensedHarness(c)
	s.answerTickets(first, "first")
	c.Assert(s.starts(), quicktest.HasLen, 1)
	s.restart(1, 2)
	s.advance(50 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	requests := s.ticketRequests()
	c.Assert(requests, quicktest.HasLen, 1)
	s.answerTickets(requests[0], "second")
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 1)
	c.Assert(starts[0].Ticket, quicktest.Equals, "second")
}

// The answer to a ticket request that was sent before a restart says nothing of the new
// incarnation.
func TestTicketRequestedBeforeARestartIsNotUsed(t *testing.T) {
	c := quicktest.New(t)
	s, first := newLicensedHarness(c)
	s.restart(1, 2)
	s.answerTickets(first, "first")
	c.Assert(s.starts(), quicktest.HasLen, 0)
	s.advance(50 * time.Millisecond)
	requests := s.ticketRequests()
	c.Assert(requests, quicktest.HasLen, 1)
	s.answerTickets(requests[0], "second")
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 1)
	c.Assert(starts[0].Ticket, quicktest.Equals, "second")
}

// A row of the licensing service's answer can't be read. The target without a ticket is not
// taken for one that does not admit the step.
func TestTargetOfAnUnreadableTicketIsAskedAboutAgain(t *testing.T) {
	c := quicktest.New(t)
	s, first := newLicensedHarness(c)
	s.p.TicketsReported(&planner.TicketReport{ID: first.ID, Answered: true, Unreadable: 1}, s.now)
	s.answerPollsFor(900 * time.Millisecond)
	c.Assert(s.ticketRequests(), quicktest.HasLen, 0)
	s.answerPollsFor(200 * time.Millisecond)
	requests := s.ticketRequests()
	c.Assert(requests, quicktest.HasLen, 1)
	c.Assert(requests[0].Targets, quicktest.DeepEquals, first.Targets)
	s.answerTickets(requests[0], "second")
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// Guards against a request that leaves out the tightest target: a placement earlier in the pass
// has taken capacity of a target that was like all others when the pass looked at them.
func TestRequestsNameTheTightestTargetsFirst(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 40)
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second, Licence: quickLicence})
	s.p.AddLicenceProxy("vm", s.now)
	s.submitUnchecked(1, definer.Step{Count: 1, Need: cpus(8), Estimate: time.Minute})
	s.plan()
	first := s.ticketRequests()[0]
	tightest := first.Targets[5]
	s.p.TicketsReported(&planner.TicketReport{ID: first.ID, Answered: true, Admitted: map[tracker.TargetID]string{tightest: "ticket"}}, s.now)
	s.submitUnchecked(2, definer.Step{Count: 1, Need: cpus(4), Estimate: time.Second})
	s.submitUnchecked(3, definer.Step{Count: 1, Need: cpus(4), Estimate: 2 * time.Minute})
	s.plan() // step 2 asks, step 1 starts, step 3 asks
	c.Assert(s.starts(), quicktest.HasLen, 1)
	requests := s.ticketRequests()
	c.Assert(requests, quicktest.HasLen, 2)
	last := requests[1]
	c.Assert(last.Step.Job, quicktest.Equals, definer.JobID(3))
	c.Assert(last.Targets, quicktest.HasLen, 8)
	c.Assert(last.Targets[0], quicktest.Equals, tightest)
	c.Assert(slices.IsSorted(last.Targets[1:]), quicktest.IsTrue)
}
