package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// Placement takes long while the backlog is long. Answers to polls are handled and leases
// extended in the pause after it.
func TestLongPlacementLeavesTimeForPolls(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	first := s.submit(7, oneTask(cpus(1)))[0]
	s.acceptStart(first)
	s.p.Pace(40*time.Millisecond, s.now)
	c.Assert(s.submit(8, oneTask(cpus(1))), quicktest.HasLen, 0)
	s.advance(20 * time.Millisecond)
	s.answerPolls(row{target: "t1", task: first.Task, number: 1, how: tracker.EndDone})
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndDone})
	polls := s.polls()
	c.Assert(polls, quicktest.HasLen, 1)
	c.Assert(polls[0].Deadline > 0, quicktest.IsTrue)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	c.Assert(s.p.Due().After(s.now.Monotonic), quicktest.IsTrue)
	s.advance(80 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// Load: rounds of 2 ms, every 5 ms. Guards against placement that takes most of a processor in a
// cell of thousands of targets, and against pauses in smaller cells.
func TestLargestCellsPauseAfterShorterRounds(t *testing.T) {
	c := quicktest.New(t)
	for _, x := range []struct {
		targets, starts int
	}{{1100, 1}, {1501, 0}} {
		s := newHarness(c, x.targets)
		s.p.Pace(2*time.Millisecond, s.now)
		s.now.Monotonic = s.now.Monotonic.Add(5 * time.Millisecond)
		c.Check(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, x.starts, quicktest.Commentf("%d targets", x.targets))
		s.advance(10 * time.Millisecond)
		c.Check(s.starts(), quicktest.HasLen, 1-x.starts)
	}
}

// A leader that is late to handle an answer of the licensing service does not take the
// tickets for longer valid than they are.
func TestValidityOfTicketsCountsFromTheirReceipt(t *testing.T) {
	c := quicktest.New(t)
	s, first := newLicensedHarness(c)
	r := &planner.TicketReport{ID: first.ID, Received: s.now.Monotonic, Answered: true, Admitted: map[tracker.TargetID]string{"t1": "first"}}
	s.answerPollsFor(quickLicence.TicketValidity)
	s.p.TicketsReported(r, s.now)
	s.advance(50 * time.Millisecond)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	requests := s.ticketRequests()
	c.Assert(len(requests) > 0, quicktest.IsTrue)
	s.answerTickets(requests[len(requests)-1], "second")
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 1)
	c.Assert(starts[0].Ticket, quicktest.Equals, "second")
}
