package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// A leader is out of processor time and handles each answer late. Guards against one that
// takes the answers that wait for it for lost ones, and repeats what it has asked for.
func TestTimeoutsGrowWithTheLagOfTheLeader(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	usual := s.submit(7, oneTask(cpus(1)))[0]
	late := s.outcome(usual, true)
	s.advance(400 * time.Millisecond)
	s.p.OrderReported(late, s.now)
	s.plan()
	slow := s.submit(8, oneTask(cpus(1)))[0]
	c.Assert(slow.Limit, quicktest.Equals, usual.Limit+400*time.Millisecond)
	s.acceptStart(slow)
	s.advance(5 * time.Second)
	again := s.submit(9, oneTask(cpus(1)))[0]
	c.Assert(again.Limit < usual.Limit+10*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", again.Limit))
}

// The clock of a restarted target tells it from an answer that was late, so that no order
// may have a longer timeout than that.
func TestLagOfTheLeaderIsBounded(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	late := s.outcome(s.submit(7, oneTask(cpus(1)))[0], true)
	s.advance(20 * time.Second)
	s.p.OrderReported(late, s.now)
	s.plan()
	s.answerPolls()
	c.Assert(s.submit(8, oneTask(cpus(1)))[0].Limit < time.Second, quicktest.IsTrue)
}

// Answers about tickets wait in a late leader: a second request for the same step would
// make it later.
func TestLateLeaderRepeatsNoTicketRequest(t *testing.T) {
	c := quicktest.New(t)
	for _, lag := range []time.Duration{0, 600 * time.Millisecond} {
		s := newHarness(c, 2)
		s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second, Licence: definer.Licence{
			Required: true, BaseLatency: 28 * time.Millisecond, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2 * time.Second}})
		s.p.AddLicenceProxy("vm1", s.now)
		s.p.AddLicenceProxy("vm2", s.now)
		s.advance(time.Second)
		for _, o := range s.polls() {
			r := s.report(o)
			r.Received = r.Received.Add(-lag)
			s.p.PollReported(r, s.now)
		}
		s.submitUnchecked(7, oneTask(cpus(1)))
		s.advance(500 * time.Millisecond)
		requests := s.take(func(a planner.Action) bool { return a.TicketRequest != nil })
		c.Assert(len(requests) == 1, quicktest.Equals, lag > 0, quicktest.Commentf("lag %s: %d requests", lag, len(requests)))
	}
}

// A late leader starts nothing with a ticket that expires before the order arrives: the
// target would refuse it, and the step would ask for another one.
func TestLateLeaderUsesNoTicketThatIsAboutToExpire(t *testing.T) {
	c := quicktest.New(t)
	for _, lag := range []time.Duration{0, 600 * time.Millisecond} {
		s := newHarness(c, 1)
		s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second, Licence: definer.Licence{
			Required: true, BaseLatency: 28 * time.Millisecond, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2 * time.Second}})
		s.p.AddLicenceProxy("vm1", s.now)
		s.submitUnchecked(7, oneTask(cpus(1)))
		s.plan()
		requests := s.take(func(a planner.Action) bool { return a.TicketRequest != nil })
		c.Assert(requests, quicktest.HasLen, 1)
		s.advance(50 * time.Millisecond)
		s.p.TicketsReported(&planner.TicketReport{
			ID: requests[0].TicketRequest.ID, Answered: true, Admitted: map[tracker.TargetID]string{targetID(1): "ticket"},
			Received: s.now.Monotonic.Add(-lag),
		}, s.now)
		s.plan()
		c.Assert(len(s.starts()) == 1, quicktest.Equals, lag == 0)
	}
}

// The answer to an order has waited in the leader. Guards against leases that are too short
// by that time, since the clock in the answer was taken for that of its handling.
func TestLeaseIsFullAfterAnAnswerThatWaited(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	first := s.submit(7, oneTask(cpus(1)))[0]
	s.advance(2 * time.Second)
	late := s.outcome(first, true)
	s.advance(400 * time.Millisecond)
	s.p.OrderReported(late, s.now)
	s.plan()
	next := s.submit(8, oneTask(cpus(1)))[0]
	lease := time.Duration(next.Deadline-s.clock(next.To.Target)) * time.Millisecond
	c.Assert(lease > s.p.Limits.InitialLease-50*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", lease))
}
