package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file tests what follows from calls of which nothing has left the leader's VM:
// they are no sign of a lost target, and prove that a run was not started.

// failStart reports that an order to start was not answered, and why.
func (s *harness) failStart(o *planner.StartOrder, why planner.SendFailure) {
	r := s.outcome(o, false)
	r.Failure = why
	s.p.OrderReported(r, s.now)
	s.plan()
}

// failPoll reports that a poll was not answered, and why.
func (s *harness) failPoll(o *planner.PollOrder, why planner.SendFailure) {
	r := s.report(o)
	r.Answered, r.Failure, r.Held = false, why, o.Wait > 0
	s.p.PollReported(r, s.now)
	s.plan()
}

// lines counts the log lines with a message.
func (s *harness) lines(message string) int {
	n := 0
	for _, r := range s.records {
		if r.Message == message {
			n++
		}
	}
	return n
}

func TestUnsentPollsAreNoMissesOfTheTarget(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	for range 20 {
		for _, o := range s.polls() {
			s.failPoll(o, planner.NotSent)
		}
		s.advance(100 * time.Millisecond)
	}
	c.Assert(s.lines("target does not answer"), quicktest.Equals, 0)
	c.Assert(len(s.submit(1, oneTask(cpus(1)))), quicktest.Equals, 1)
}

func TestUnsentPollIsRepeatedWithGrowingPauses(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	polls := 0
	for range 40 {
		for _, o := range s.polls() {
			polls++
			s.failPoll(o, planner.NotSent)
		}
		s.advance(50 * time.Millisecond)
	}
	c.Assert(polls >= 4 && polls <= 9, quicktest.IsTrue, quicktest.Commentf("%d polls in 2 s", polls))
}

func TestUnsentStartIsRepeatedAndThenPlacedElsewhere(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	orders := s.submit(1, oneTask(cpus(1)))
	c.Assert(len(orders), quicktest.Equals, 1)
	first := orders[0]
	sent := 0
	for first.Number == orders[0].Number {
		sent++
		s.failStart(orders[0], planner.NotSent)
		for range 40 {
			if orders = s.starts(); len(orders) > 0 {
				break
			}
			s.advance(50 * time.Millisecond)
			s.answerPolls()
		}
		c.Assert(len(orders), quicktest.Equals, 1)
	}
	c.Assert(sent, quicktest.Equals, 4)
	c.Assert(orders[0].Number, quicktest.Equals, first.Number+1)
	c.Assert(s.runEnds(1), quicktest.DeepEquals, []tracker.End{tracker.EndRefused})
}

// The target may be down, so the task does not wait for it; nothing runs there.
func TestStartToATargetThatRefusesTheConnectionIsPlacedElsewhereAtOnce(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	orders := s.submit(1, oneTask(cpus(1)))
	first := orders[0]
	s.failStart(first, planner.NotConnected)
	orders = s.starts()
	c.Assert(len(orders), quicktest.Equals, 1)
	c.Assert(orders[0].To.Target, quicktest.Not(quicktest.Equals), first.To.Target)
	c.Assert(orders[0].Number, quicktest.Equals, first.Number+1)
}

func TestUnsentStartAfterAnUnansweredOneIsNoProof(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	first := s.submit(1, oneTask(cpus(1)))[0]
	s.loseAnswer(first)
	for range 10 {
		for _, o := range s.starts() {
			c.Assert(o.Number, quicktest.Equals, first.Number)
			c.Assert(o.To.Target, quicktest.Equals, first.To.Target)
			s.failStart(o, planner.NotSent)
		}
		s.advance(100 * time.Millisecond)
		s.answerPolls()
	}
	c.Assert(s.runEnds(1), quicktest.HasLen, 0)
}

func TestUnsentStartThatIsCancelledEndsWithoutAStop(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	first := s.submit(1, oneTask(cpus(1)))[0]
	s.failStart(first, planner.NotSent)
	s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(1).String()}, func(planner.Answer) {}, s.now)
	s.plan()
	s.advance(100 * time.Millisecond)
	c.Assert(s.stops(), quicktest.HasLen, 0)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	c.Assert(s.runEnds(1), quicktest.DeepEquals, []tracker.End{tracker.EndRefused})
}

func TestGangWithAnUnsentOrderIsNotBroken(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 3)
	orders := s.submit(1, definer.Step{Count: 3, Need: cpus(10), Estimate: time.Second, Gang: true})
	c.Assert(orders, quicktest.HasLen, 3)
	for _, o := range orders {
		c.Assert(o.Urgent, quicktest.IsTrue)
	}
	s.acceptStart(orders[0])
	s.acceptStart(orders[1])
	s.failStart(orders[2], planner.NotSent)
	s.advance(100 * time.Millisecond)
	repeated := s.starts()
	c.Assert(repeated, quicktest.HasLen, 1)
	c.Assert(repeated[0].Number, quicktest.Equals, orders[2].Number)
	s.acceptStart(repeated[0])
	c.Assert(s.stops(), quicktest.HasLen, 0)
	c.Assert(s.runEnds(1), quicktest.HasLen, 0)
}

func TestUnsentStopIsRepeatedSoon(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	first := s.submit(1, oneTask(cpus(1)))[0]
	s.acceptStart(first)
	s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(1).String()}, func(planner.Answer) {}, s.now)
	s.plan()
	stop := s.stops()[0]
	s.p.OrderReported(&planner.OrderReport{
		Target: stop.To.Target, Incarnation: stop.To.Incarnation, Token: stop.To.Token, Task: stop.Task, Number: stop.Number, Stop: true,
		Failure: planner.NotSent, Sent: s.now.Monotonic, Limit: stop.Limit,
	}, s.now)
	s.advance(200 * time.Millisecond)
	c.Assert(s.stops(), quicktest.HasLen, 1)
}

// Each poll that a target holds takes a connection, and orders need some too.
func TestPollsThatTargetsHoldAreBounded(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 0)
	s.p.Limits.MaxHeldPolls = 4
	for n := range 12 {
		s.announce(s.record(n + 1))
	}
	s.advance(10 * time.Millisecond)
	polled := make(map[tracker.TargetID]time.Time)
	var held []*planner.PollOrder
	for range 60 {
		for _, o := range s.polls() {
			if last, ok := polled[o.To.Target]; ok {
				c.Assert(s.now.Monotonic.Sub(last) <= 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", o.To.Target))
			}
			polled[o.To.Target] = s.now.Monotonic
			if o.Wait > 0 {
				held = append(held, o)
				c.Assert(len(held) <= 4, quicktest.IsTrue)
				continue
			}
			s.answerPoll(o)
		}
		s.advance(50 * time.Millisecond)
		for len(held) > 0 {
			o := held[0]
			held = held[1:]
			r := s.report(o)
			r.Held = true
			s.p.PollReported(r, s.now)
		}
		s.plan()
	}
	c.Assert(polled, quicktest.HasLen, 12)
}

func TestPollNearTheEndOfALeaseIsUrgent(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.acceptStart(s.submit(1, oneTask(cpus(1)))[0])
	for range 20 {
		for _, o := range s.polls() {
			if o.Urgent {
				return
			}
			s.failPoll(o, planner.NotSent)
		}
		s.advance(200 * time.Millisecond)
	}
	c.Fatal("no poll was urgent within 4 s without contact")
}

// A run may be in a row that can't be read, so it does not start elsewhere.
func TestRunThatIsNotListedBesideUnreadableRowsGoesOn(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	first := s.submit(1, oneTask(cpus(1)))[0]
	s.acceptStart(first)
	s.advance(50 * time.Millisecond)
	for range 20 {
		for _, o := range s.polls() {
			r := s.report(o)
			if o.To.Target == first.To.Target {
				r.Unreadable, r.UnreadableReason = 1, "running: row has too few columns"
			}
			s.p.PollReported(r, s.now)
		}
		s.advance(100 * time.Millisecond)
	}
	c.Assert(s.runEnds(1), quicktest.HasLen, 0)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	c.Assert(s.lines("target lists rows that can't be read"), quicktest.Equals, 1)
	s.answerPolls()
	s.advance(50 * time.Millisecond)
	s.answerPolls()
	c.Assert(s.runEnds(1), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
}

// An announcement that was delayed arrives after its sender has left, or after the
// leader has changed; a target gets work only once it has answered.
func TestDelayedAnnouncementOfATargetThatLeftBringsItNoWork(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.p.Depart(planner.Departure{Target: "t1", Incarnation: 1}, func() {}, s.now)
	s.advance(100 * time.Millisecond)
	s.changeTerm(2)
	for range 10 {
		s.announce(s.record(1))
		for _, o := range s.polls() {
			s.failPoll(o, planner.NotConnected)
		}
		s.advance(500 * time.Millisecond)
	}
	c.Assert(s.submit(1, oneTask(cpus(1))), quicktest.HasLen, 0)
}

// Shorter waits mean more polls. A few targets that are gone are no sign of a lossy
// network, however often they are polled.
func TestLostTargetsDoNotShortenTheWaitsOfOthers(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 40)
	s.acceptStart(s.submit(1, oneTask(cpus(1)))[0])
	long, short := 0, 0
	for range 100 {
		for _, o := range s.polls() {
			switch n := o.To.Target; {
			case n == "t38" || n == "t39" || n == "t40":
				s.failPoll(o, planner.NotConnected)
				continue
			case s.p.State.Targets[n] != nil && o.Wait == 150*time.Millisecond:
				short++
			case o.Wait == 500*time.Millisecond:
				long++
			}
			s.answerPoll(o, row{target: o.To.Target, task: definer.TaskID{Job: 1}, number: 1})
		}
		s.advance(100 * time.Millisecond)
	}
	c.Assert(long > 0, quicktest.IsTrue)
	c.Assert(short, quicktest.Equals, 0)
}
