package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// minuteTask makes no visible progress within a test.
var minuteTask = definer.Step{Count: 1, Need: cpus(1), Estimate: time.Minute}

// restart announces a new incarnation of target n and lets it answer a poll.
func (s *harness) restart(n int, incarnation tracker.Incarnation) {
	rec := s.record(n)
	rec.Incarnation = incarnation
	s.announce(rec)
	s.advance(50 * time.Millisecond)
	s.answerPolls()
}

// answerPollsFor answers all polls for a time; the targets list the rows.
func (s *harness) answerPollsFor(d time.Duration, rows ...row) {
	for end := s.now.Monotonic.Add(d); s.now.Monotonic.Before(end); s.advance(50 * time.Millisecond) {
		s.answerPolls(rows...)
	}
}

// failPollsFor leaves the polls of a target without an answer for a time.
func (s *harness) failPollsFor(id tracker.TargetID, d time.Duration) {
	for end := s.now.Monotonic.Add(d); s.now.Monotonic.Before(end); s.advance(50 * time.Millisecond) {
		for _, o := range s.polls() {
			if o.To.Target == id {
				s.failPoll(o, planner.MayBeSent)
				continue
			}
			s.answerPoll(o)
		}
	}
}

// A partition delays the departure call of a target until it has started again under
// its id. The runs of the new incarnation go on, whether the call names the incarnation
// that ended or none.
func TestDelayedDepartureDoesNotEndTheNextIncarnation(t *testing.T) {
	for name, incarnation := range map[string]tracker.Incarnation{"of an earlier incarnation": 1, "without an incarnation": 0} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newHarness(c, 1)
			s.restart(1, 2)
			start := s.submit(7, minuteTask)[0]
			s.acceptStart(start)
			s.p.Depart(planner.Departure{Target: "t1", Incarnation: incarnation}, func() {}, s.now)
			s.answerPollsFor(3*time.Second, row{target: "t1", task: start.Task, number: 1, percent: 20})
			c.Assert(s.runEnds(7), quicktest.HasLen, 0)
			c.Assert(s.lines("claim about a target ignored"), quicktest.Equals, 1)
			c.Assert(s.submit(8, oneTask(cpus(1))), quicktest.HasLen, 1, quicktest.Commentf("the target is in use"))
		})
	}
}

// A delayed departure call that names no incarnation arrives while the target drains
// again. It still answers polls, so that the runs that it lists are not lost.
func TestRunsOfADepartedTargetThatAnswersGoOn(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, minuteTask)[0]
	s.acceptStart(start)
	rec := s.record(int(start.To.Target[1] - '0'))
	rec.Draining = true
	s.announce(rec)
	s.p.Depart(planner.Departure{Target: rec.ID}, func() {}, s.now)
	s.answerPollsFor(4*time.Second, row{target: rec.ID, task: start.Task, number: 1, percent: 20})
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	c.Assert(s.lines("departed target answers"), quicktest.Equals, 1)
	c.Assert(s.p.State.Targets[rec.ID], quicktest.IsNotNil)
}

// departing is a target with a run that has announced its end.
type departing struct {
	*harness
	start    *planner.StartOrder
	leaseEnd time.Time // true time by which its lease is over
	answered bool      // its departure call
}

// newDeparture returns a target that announces its end while it has a run. The call names
// its incarnation, or the target has drained.
func newDeparture(c *quicktest.C, incarnation tracker.Incarnation) *departing {
	s := &departing{harness: newHarness(c, 2)}
	s.start = s.submit(7, minuteTask)[0]
	s.acceptStart(s.start)
	s.answerPolls(s.running())
	if incarnation == 0 {
		rec := s.record(int(s.start.To.Target[1] - '0'))
		rec.Draining = true
		s.announce(rec)
	}
	s.advance(50 * time.Millisecond)
	s.answerPolls(s.running())
	deadline := s.start.Deadline
	for _, a := range s.orders {
		if a.Poll != nil && a.Poll.To.Target == s.start.To.Target {
			deadline = max(deadline, a.Poll.Deadline)
		}
	}
	s.leaseEnd = s.lapse(s.start.To.Target, deadline)
	s.p.Depart(planner.Departure{Target: s.start.To.Target, Incarnation: incarnation}, func() { s.answered = true }, s.now)
	s.plan()
	return s
}

func (s *departing) running() row {
	return row{target: s.start.To.Target, task: s.start.Task, number: 1, percent: 20}
}

// answerStop reports that the target has confirmed the order to stop its run.
func (s *departing) answerStop() {
	stops := s.stops()
	s.c.Assert(stops, quicktest.HasLen, 1)
	s.p.OrderReported(&planner.OrderReport{Target: stops[0].To.Target, Incarnation: stops[0].To.Incarnation, Token: stops[0].To.Token, Task: stops[0].Task,
		Number: stops[0].Number, Stop: true, Answered: true, Sent: s.now.Monotonic, Received: s.now.Monotonic, Clock: s.clock(stops[0].To.Target)}, s.now)
	s.plan()
}

// timeToNextStart leaves the polls of the target without an answer until its task starts
// elsewhere, and returns when that was.
func (s *departing) timeToNextStart() time.Time {
	for range 400 {
		s.failPollsFor(s.start.To.Target, 50*time.Millisecond)
		for _, o := range s.starts() {
			s.c.Assert(o.To.Target, quicktest.Not(quicktest.Equals), s.start.To.Target)
			return s.now.Monotonic
		}
	}
	s.c.Fatal("the task was not started again")
	return time.Time{}
}

var departures = map[string]tracker.Incarnation{"named": 1, "draining": 0}

// A target announces its end behind a cut in one direction, which keeps the answer, orders
// and polls from it. Guards against a start elsewhere while its run goes on.
func TestRunsOfADepartedTargetBehindACutGoOnUntilItsLeaseIsOver(t *testing.T) {
	for name, incarnation := range departures {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newDeparture(c, incarnation)
			again := s.timeToNextStart()
			c.Assert(again.After(s.leaseEnd), quicktest.IsTrue, quicktest.Commentf("%s before its lease was over", s.leaseEnd.Sub(again)))
			c.Assert(again.Sub(s.leaseEnd) < 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s after its lease was over", again.Sub(s.leaseEnd)))
			c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
			c.Assert(s.answered, quicktest.IsTrue)
		})
	}
}

// The lease of a departing target is not extended: it may be hidden before its runs are
// known to have ended.
func TestLeaseOfADepartingTargetIsNotExtended(t *testing.T) {
	c := quicktest.New(t)
	s := newDeparture(c, 1)
	s.answerPolls(s.running()) // ordered before the call
	polls := 0
	for range 20 {
		for _, o := range s.polls() {
			if o.To.Target == s.start.To.Target {
				polls++
				c.Assert(o.Deadline, quicktest.Equals, planner.ClockMillis(0))
			}
			s.answerPoll(o, s.running())
		}
		s.advance(50 * time.Millisecond)
	}
	c.Assert(polls > 1, quicktest.IsTrue)
}

// The runs of a departing target are stopped before its call is answered, which ends it.
// Their tasks start elsewhere once the target lists the ends, without a wait for silence.
func TestRunsOfADepartingTargetAreStoppedBeforeItsCallIsAnswered(t *testing.T) {
	for name, incarnation := range departures {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newDeparture(c, incarnation)
			s.answerStop()
			s.answerPollsFor(bounds.StopTime, s.running())
			c.Assert(s.answered, quicktest.IsFalse)
			s.answerPollsFor(100*time.Millisecond, row{target: s.start.To.Target, task: s.start.Task, number: 1, how: tracker.EndStopped})
			c.Assert(s.answered, quicktest.IsTrue)
			again := s.starts()
			c.Assert(again, quicktest.HasLen, 1)
			c.Assert(again[0].To.Target, quicktest.Not(quicktest.Equals), s.start.To.Target)
			s.failPollsFor(s.start.To.Target, 4*time.Second)
			c.Assert(s.p.State.Targets[s.start.To.Target], quicktest.IsNil)
		})
	}
}

// A target that has confirmed the stop of its run falls silent. The stop takes StopTime at
// most, so that the task starts elsewhere after that and before the lease is over.
func TestStoppedRunOfASilentDepartedTargetIsLostAfterTheTimeOfAStop(t *testing.T) {
	for name, incarnation := range departures {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newDeparture(c, incarnation)
			s.answerStop()
			stopped := s.now.Monotonic
			took := s.timeToNextStart().Sub(stopped)
			c.Assert(took > bounds.StopTime && took < time.Second, quicktest.IsTrue, quicktest.Commentf("after %s", took))
		})
	}
}

// A stop was answered by an earlier incarnation, and a late order starts the run again on the
// next one. The answer proves nothing about that when it departs and falls silent.
func TestStopAnsweredByAnEarlierIncarnationProvesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := &departing{harness: newHarness(c, 2)}
	s.start = s.submit(7, minuteTask)[0]
	id := s.start.To.Target
	s.loseAnswer(s.start)
	s.cancel(7)
	s.answerStop()
	rec := s.record(int(id[1] - '0'))
	rec.Incarnation = 2
	s.announce(rec)
	s.answerPollsFor(200*time.Millisecond, s.running())
	s.p.Depart(planner.Departure{Target: id, Incarnation: 2}, func() {}, s.now)
	s.failPollsFor(id, 3*time.Second)
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
}

// The call is answered in time although the target confirms no stop, and every call that
// repeats it as well.
func TestDepartureCallIsAnsweredWithoutEnds(t *testing.T) {
	c := quicktest.New(t)
	s := newDeparture(c, 1)
	repeated := false
	s.p.Depart(planner.Departure{Target: s.start.To.Target, Incarnation: 1}, func() { repeated = true }, s.now)
	s.answerPollsFor(800*time.Millisecond, s.running())
	c.Assert(s.answered && repeated, quicktest.IsTrue)
	late := false
	s.p.Depart(planner.Departure{Target: s.start.To.Target, Incarnation: 1}, func() { late = true }, s.now)
	s.plan()
	c.Assert(late, quicktest.IsTrue)
}

// A departed target works on a run that the replicated state does not have. It is not
// removed before its lease is over, since it would come back as an empty one.
func TestDepartedTargetWithAStrayIsKeptUntilItsLeaseIsOver(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(50 * time.Millisecond)
	s.answerPolls(row{target: "t1", task: definer.TaskID{Job: 77}, number: 3, percent: 10})
	var deadline planner.ClockMillis
	for _, a := range s.orders {
		if a.Poll != nil {
			deadline = a.Poll.Deadline
		}
	}
	c.Assert(deadline > 0, quicktest.IsTrue)
	s.p.Depart(planner.Departure{Target: "t1", Incarnation: 1}, func() {}, s.now)
	leaseEnd := s.lapse("t1", deadline)
	for s.p.State.Targets["t1"] != nil {
		s.failPollsFor("t1", 50*time.Millisecond)
	}
	c.Assert(s.now.Monotonic.After(leaseEnd), quicktest.IsTrue, quicktest.Commentf("%s before its lease was over", leaseEnd.Sub(s.now.Monotonic)))
}

// A target that was removed announces itself again. It has seen the token of its
// earlier record, so that calls with a lower one would be refused as long as this
// leader leads; orders of before the removal must be refused.
func TestRemovedTargetReturnsWithAHigherToken(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.restart(1, 2)
	first := s.submit(7, minuteTask)[0]
	seen := first.To.Token
	s.acceptStart(first)
	s.p.Depart(planner.Departure{Target: "t1", Incarnation: 2}, func() {}, s.now)
	s.answerPollsFor(100*time.Millisecond, row{target: "t1", task: first.Task, number: 1, how: tracker.EndStopped})
	s.failPollsFor("t1", 4*time.Second)
	c.Assert(s.p.State.Targets["t1"], quicktest.IsNil)
	rec := s.record(1)
	rec.Incarnation = 2
	s.announce(rec)
	s.advance(50 * time.Millisecond)
	polls := s.polls()
	c.Assert(polls, quicktest.HasLen, 1)
	c.Assert(polls[0].To.Token > seen, quicktest.IsTrue, quicktest.Commentf("token %x after %x", polls[0].To.Token, seen))
	s.answerPoll(polls[0])
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// A target refuses the token of this term because it has seen a higher one of the same
// term. The leader raises its token until it is accepted.
func TestTokenIsRaisedUntilTheTargetAcceptsIt(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 0)
	s.announce(s.record(1))
	s.advance(50 * time.Millisecond)
	const seen = planner.Token(1<<16 | 3)
	for range 40 {
		for _, o := range s.polls() {
			r := s.report(o)
			if o.To.Token < seen {
				r.Refusal, r.Answering = planner.RefusedToken, 0
			}
			s.p.PollReported(r, s.now)
		}
		s.advance(50 * time.Millisecond)
	}
	c.Assert(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, 1)
}

// A target that has announced its end goes on for a while, since the confirmation was late.
// Its leader is too busy to read its answers in time, which is no silence of the target.
func TestRunsOfADepartedTargetGoOnWhileItsLeaderIsLate(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, minuteTask)[0]
	id := start.To.Target
	s.acceptStart(start)
	s.answerPolls(row{target: id, task: start.Task, number: 1, percent: 20})
	s.p.Depart(planner.Departure{Target: id, Incarnation: 1}, func() {}, s.now)
	for range 50 {
		s.advance(50 * time.Millisecond)
		for _, o := range s.polls() {
			r := s.report(o)
			if o.To.Target == id {
				r.Answered, r.Sent = false, r.Sent.Add(-200*time.Millisecond)
			}
			s.p.PollReported(r, s.now)
		}
	}
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	s.advance(200 * time.Millisecond)
	s.answerPolls(row{target: id, task: start.Task, number: 1, how: tracker.EndDone})
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndDone})
}

// A target starts again while its departure call is held.
func TestHeldDepartureCallOfARestartedTargetIsAnswered(t *testing.T) {
	c := quicktest.New(t)
	s := newDeparture(c, 1)
	c.Assert(s.answered, quicktest.IsFalse)
	rec := s.record(int(s.start.To.Target[1] - '0'))
	rec.Incarnation = 2
	s.announce(rec)
	s.plan()
	c.Assert(s.answered, quicktest.IsTrue)
}

// A target that answers no orders will list no ends, so that its departure call is answered at
// once.
func TestDepartureCallOfASilentTargetIsNotHeld(t *testing.T) {
	c := quicktest.New(t)
	s := newDeparture(c, 1)
	s.answerPolls(s.running())
	s.failPollsFor(s.start.To.Target, 100*time.Millisecond)
	c.Assert(s.answered, quicktest.IsTrue)
}

// Tasks of a target that ends unseen wait for its lease; see DrainLease.
func TestDrainingTargetGetsAShorterLease(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	rec := s.record(1)
	rec.Draining = true
	s.announce(rec)
	s.advance(50 * time.Millisecond)
	s.answerPolls()
	s.advance(3 * time.Second)
	s.answerPolls()
	s.advance(50 * time.Millisecond)
	polls := s.polls()
	c.Assert(polls, quicktest.HasLen, 1)
	for _, o := range polls {
		l := time.Duration(o.Deadline-s.clock("t1")) * time.Millisecond
		c.Assert(l <= 2*time.Second && l > 1900*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", l))
	}
}

// A stop was answered before the clock of the target went back: a process that answered it
// has ended, and a late order may have started the run on the next one.
func TestStopAnsweredBeforeTheClockWentBackProvesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newDeparture(c, 1)
	s.answerPollsFor(1500*time.Millisecond, s.running())
	answer := func(clock planner.ClockMillis) {
		s.p.OrderReported(&planner.OrderReport{Target: s.start.To.Target, Incarnation: 1, Token: s.start.To.Token, Task: s.start.Task, Number: 1, Stop: true,
			Answered: true, Sent: s.now.Monotonic, Received: s.now.Monotonic, Clock: clock}, s.now)
		s.plan()
	}
	answer(s.clock(s.start.To.Target))
	answer(1)
	c.Assert(s.lines("target restarted: its clock went back"), quicktest.Equals, 1)
	s.failPollsFor(s.start.To.Target, 3*time.Second)
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
}
