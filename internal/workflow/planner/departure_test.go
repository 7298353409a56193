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
// again. It still answers polls, so that its runs go on.
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

// A target ends as it has announced. Its tasks start elsewhere before its lease expires.
func TestRunsOfADepartedTargetAreLostOnceItIsSilent(t *testing.T) {
	for name, incarnation := range map[string]tracker.Incarnation{"named": 1, "draining": 0} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newHarness(c, 2)
			start := s.submit(7, minuteTask)[0]
			s.acceptStart(start)
			s.answerPolls(row{target: start.To.Target, task: start.Task, number: 1, percent: 20})
			if incarnation == 0 {
				rec := s.record(int(start.To.Target[1] - '0'))
				rec.Draining = true
				s.announce(rec)
			}
			s.p.Depart(planner.Departure{Target: start.To.Target, Incarnation: incarnation}, func() {}, s.now)
			s.failPollsFor(start.To.Target, 1200*time.Millisecond)
			c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
			again := s.starts()
			c.Assert(again, quicktest.HasLen, 1)
			c.Assert(again[0].To.Target, quicktest.Not(quicktest.Equals), start.To.Target)
		})
	}
}

// A target that was removed announces itself again. It has seen the token of its
// earlier record, so that calls with a lower one would be refused as long as this
// leader leads; orders of before the removal must be refused.
func TestRemovedTargetReturnsWithAHigherToken(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.restart(1, 2)
	seen := s.submit(7, minuteTask)[0].To.Token
	s.p.Depart(planner.Departure{Target: "t1", Incarnation: 2}, func() {}, s.now)
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
