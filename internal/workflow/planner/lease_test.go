package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// leaseSent returns the lease in the next poll of the only target.
func (s *harness) leaseSent(rows ...row) time.Duration {
	s.answerPolls(rows...)
	s.advance(50 * time.Millisecond)
	polls := s.polls()
	s.c.Assert(polls, quicktest.HasLen, 1)
	return time.Duration(polls[0].Deadline-s.clock(polls[0].To.Target)) * time.Millisecond
}

// timeUntilStartedElsewhere leaves the polls of a target unanswered until the task
// of its only run is started on another target, and returns how long that takes.
func (s *harness) timeUntilStartedElsewhere(lost *planner.StartOrder) time.Duration {
	begun := s.now.Monotonic
	for s.now.Monotonic.Sub(begun) < 20*time.Second {
		for _, o := range s.polls() {
			r := s.report(o)
			r.Answered = o.To.Target != lost.To.Target
			s.p.PollReported(r, s.now)
		}
		s.advance(50 * time.Millisecond)
		if len(s.starts()) > 0 {
			return s.now.Monotonic.Sub(begun)
		}
	}
	s.c.Fatal("the task was not started again")
	return 0
}

// A target with an urgent task is lost. The task starts elsewhere after the short
// lease, while its result is still useful to the caller.
func TestTasksOfALostTargetStartElsewhereAfterTheShortLease(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.acceptStart(start)
	s.answerPolls(row{target: start.To.Target, task: start.Task, number: 1, percent: 10})
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took > 3*time.Second && took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// The leader is lost together with the target. The replicated state shows the next
// leader that no long lease was granted.
func TestNewLeaderWaitsForTheShortLeaseOfALostTarget(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.acceptStart(start)
	s.changeTerm(2)
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took > 2900*time.Millisecond && took < 3500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// A long-running task has run on the target, and a poll may have granted a long
// lease before the task ended.
func TestNewLeaderWaitsForTheLongLeaseThatMayHaveBeenGranted(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	lasting := s.submit(7, definer.Step{Count: 1, Need: cpus(1), LongRunning: true})[0]
	s.acceptStart(lasting)
	s.answerPolls(row{target: lasting.To.Target, task: lasting.Task, number: 1, percent: 100})
	s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(7).String()}, func(planner.Answer) {}, s.now)
	s.advance(50 * time.Millisecond)
	s.answerPolls(row{target: lasting.To.Target, task: lasting.Task, number: 1, how: tracker.EndStopped})
	start := s.submit(8, oneTask(cpus(1)))[0]
	s.acceptStart(start)
	s.announce(s.record(2))
	s.changeTerm(2)
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took > s.p.Limits.LongLease, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// The lease of a target with a long-running task is long, so that it remains valid
// while there is no leader after a power failure.
func TestTargetWithLongRunningTaskGetsLongLease(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.acceptStart(start)
	short := s.leaseSent(row{target: start.To.Target, task: start.Task, number: 1, percent: 10})
	c.Assert(short <= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", short))

	s = newHarness(c, 1)
	start = s.submit(7, definer.Step{Count: 1, Need: cpus(1), LongRunning: true})[0]
	s.acceptStart(start)
	long := s.leaseSent(row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
	c.Assert(long > s.p.Limits.LongLease-100*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", long))
	c.Assert(long > 6*time.Second, quicktest.IsTrue, quicktest.Commentf("longer than a power failure of 5 s and an election"))
}

// maxTaskOutage is the time within which a long-running task that has lost its run
// has to run again.
const maxTaskOutage = 9 * time.Second

// startLongRunning starts a long-running task that is ready.
func (s *harness) startLongRunning() *planner.StartOrder {
	start := s.submit(7, definer.Step{Count: 1, Need: cpus(1), LongRunning: true})[0]
	s.acceptStart(start)
	s.answerPolls(row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
	return start
}

// ticketTime is a bound on the time that the licensing service takes to answer a
// request for a long-running task.
const ticketTime = 1100 * time.Millisecond

// A target with a long-running task stops answering and never comes back.
func TestLongRunningTaskOfALostTargetRunsAgainInTime(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	took := s.timeUntilStartedElsewhere(s.startLongRunning())
	c.Assert(took < maxTaskOutage-ticketTime, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// The leader is lost soon after the target. The next one has to wait for the longest
// lease that may have been granted, but not for more.
func TestNewLeaderRunsLongRunningTaskOfALostTargetAgainInTime(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.startLongRunning()
	begun := s.now.Monotonic
	s.changeTerm(2)
	s.timeUntilStartedElsewhere(start)
	took := s.now.Monotonic.Sub(begun)
	c.Assert(took < maxTaskOutage-ticketTime, quicktest.IsTrue, quicktest.Commentf("after %s", took))
	c.Assert(float64(took) > float64(s.p.Limits.LongLease)/(1-s.p.Limits.DriftShare), quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// An earlier leader, of another version, has granted a longer lease. The lower one is
// recorded once that has expired.
func TestNewLeaderWaitsForTheLongLeaseOfAnEarlierVersion(t *testing.T) {
	c := quicktest.New(t)
	for led, longest := range map[time.Duration]time.Duration{5 * time.Second: bounds.MaxLease, 11 * time.Second: 0} {
		s := newHarness(c, 2)
		start := s.startLongRunning()
		s.p.State.LongLease = 0
		s.changeTerm(2)
		for range led / (50 * time.Millisecond) {
			s.answerPolls(row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
			s.advance(50 * time.Millisecond)
		}
		begun := s.now.Monotonic
		s.changeTerm(3)
		s.timeUntilStartedElsewhere(start)
		took := s.now.Monotonic.Sub(begun)
		c.Assert(took > max(longest, s.p.Limits.LongLease), quicktest.IsTrue, quicktest.Commentf("after %s", took))
		if longest == 0 {
			c.Assert(took < maxTaskOutage-ticketTime, quicktest.IsTrue, quicktest.Commentf("after %s", took))
		}
	}
}

// A target restarts while an order to start is under way. The new incarnation may
// carry it out under a lease of any length, since the deadline is a time on the
// earlier incarnation's clock. The next leader has to wait for that lease.
func TestNewLeaderWaitsForTheLeaseOfALateOrderToANewIncarnation(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, definer.Step{Count: 1, Need: cpus(1), LongRunning: true})[0]
	s.loseAnswer(start)
	rec := s.record(int(start.To.Target[1] - '0'))
	rec.Incarnation = 2
	s.announce(rec)
	s.plan()
	s.changeTerm(2)
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took >= bounds.MaxLease, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// Once the new incarnation has rejected earlier orders for as long as any lease lasts, the
// next leader waits for the long lease only.
func TestNewLeaderWaitsForTheLongLeaseOfATargetThatRestartedLongAgo(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	rec := s.record(1)
	rec.Incarnation = 2
	s.announce(rec)
	var rows []row
	for range 12 * time.Second / (50 * time.Millisecond) {
		s.advance(50 * time.Millisecond)
		s.answerPolls()
	}
	var start *planner.StartOrder
	for id := definer.JobID(7); start == nil || start.To.Target != "t1"; id++ {
		start = s.submit(id, definer.Step{Count: 1, Need: cpus(8), LongRunning: true})[0]
		s.acceptStart(start)
		rows = append(rows, row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
	}
	s.answerPolls(rows...)
	s.changeTerm(2)
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took > s.p.Limits.LongLease && took < maxTaskOutage-ticketTime, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// lapse returns when a target's clock reaches the end of a lease.
func (s *harness) lapse(id tracker.TargetID, deadline planner.ClockMillis) time.Time {
	at := s.now.Monotonic
	for s.clockAt(id, at) < deadline {
		at = at.Add(time.Millisecond)
	}
	return at
}

// missPolls reports that no poll was answered, and plans.
func (s *harness) missPolls() {
	for _, o := range s.polls() {
		r := s.report(o)
		r.Answered = false
		s.p.PollReported(r, s.now)
	}
	s.plan()
}

// killTime is how long after the end of its lease a target may still run something.
const killTime = 90 * time.Millisecond

// A leader decides on a lease at the moment at which the next one begins, after which
// nothing of it leaves. The target's clock is as slow as it may be, and its last answer
// has waited in the leader. Guards against a next leader that starts tasks elsewhere while
// the target still works on them.
func TestNextLeaderWaitsForALeaseDecidedWhenItBegins(t *testing.T) {
	for _, waited := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2500 * time.Millisecond, 5 * time.Second} {
		for _, kind := range []string{"poll", "start", "repeated start"} {
			t.Run(fmt.Sprintf("%s after %s", kind, waited), func(t *testing.T) {
				c := quicktest.New(t)
				s := newHarness(c, 1)
				s.slow = 0.02
				s.advance(10 * time.Second)
				s.answerPolls()
				start := s.submit(7, oneTask(cpus(1)))[0]
				id := start.To.Target
				s.acceptStart(start)
				s.advance(50 * time.Millisecond)
				s.answerPolls(row{target: id, task: start.Task, number: 1, percent: 1})
				s.advance(50 * time.Millisecond)
				report := s.report(s.polls()[0], row{target: id, task: start.Task, number: 1, percent: 2})
				s.advance(waited)
				var deadline planner.ClockMillis
				switch kind {
				case "poll":
					s.p.PollReported(report, s.now)
					s.plan()
					deadline = s.polls()[0].Deadline
				case "start":
					deadline = s.submit(8, oneTask(cpus(1)))[0].Deadline
				default:
					s.loseAnswer(s.submit(8, oneTask(cpus(1)))[0])
					again := s.starts()[0]
					c.Assert(again.Repeated, quicktest.IsTrue)
					deadline = again.Deadline
				}
				end := s.lapse(id, deadline).Add(killTime)
				s.p.State = s.p.State.Clone()
				s.p.Begin(2, s.now)
				s.plan()
				s.now.Monotonic = end
				s.missPolls()
				c.Assert(s.runEnds(7), quicktest.HasLen, 0, quicktest.Commentf("the target still works"))
				for range 20 {
					s.advance(50 * time.Millisecond)
					s.missPolls()
				}
				c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
			})
		}
	}
}

// As above within one leadership: the leader that granted a lease doesn't give up the runs
// before it is over either.
func TestLeaderWaitsForALeaseOfATargetWithASlowClock(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.slow = 0.02
	s.advance(10 * time.Second)
	s.answerPolls()
	start := s.submit(7, oneTask(cpus(1)))[0]
	id := start.To.Target
	s.acceptStart(start)
	s.advance(50 * time.Millisecond)
	report := s.report(s.polls()[0], row{target: id, task: start.Task, number: 1, percent: 2})
	s.advance(2 * time.Second)
	s.p.PollReported(report, s.now)
	s.plan()
	poll := s.polls()[0]
	s.now.Monotonic = s.lapse(id, poll.Deadline).Add(killTime)
	lost := s.report(poll)
	lost.Answered = false
	s.p.PollReported(lost, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0, quicktest.Commentf("the target still works"))
	for range 20 {
		s.advance(50 * time.Millisecond)
		s.missPolls()
	}
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
}

// The target lists the end of a run in answers that its leader is too busy to read in time,
// until the lease is over. Guards against a task that is started elsewhere after its end
// was listed; the next answer that is read shows it.
func TestBusyLeaderReadsTheEndsOfATargetBeforeItGivesUpItsRuns(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			c := quicktest.New(t)
			s := newHarness(c, 2)
			start := s.submit(7, oneTask(cpus(1)))[0]
			id := start.To.Target
			s.acceptStart(start)
			s.answerPolls(row{target: id, task: start.Task, number: 1, percent: 10})
			for range 80 { // 4 s, longer than the lease
				for _, o := range s.polls() {
					r := s.report(o)
					if o.To.Target == id {
						r.Answered, r.Limit = false, o.Wait+o.Limit
						r.Sent = s.now.Monotonic.Add(-r.Limit)
						if late {
							r.Sent = r.Sent.Add(-200 * time.Millisecond)
						}
					}
					s.p.PollReported(r, s.now)
				}
				s.advance(50 * time.Millisecond)
			}
			if !late {
				c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
				return
			}
			c.Assert(s.runEnds(7), quicktest.HasLen, 0)
			s.advance(200 * time.Millisecond)
			s.answerPolls(row{target: id, task: start.Task, number: 1, how: tracker.EndDone})
			c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndDone})
			c.Assert(s.starts(), quicktest.HasLen, 0)
		})
	}
}

// A leader that is late for ever gives up the runs of a lost target all the same.
func TestRunsOfALostTargetAreGivenUpByALateLeader(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.startLongRunning()
	begun := s.now.Monotonic
	for len(s.starts()) == 0 {
		for _, o := range s.polls() {
			r := s.report(o)
			if o.To.Target == start.To.Target {
				r.Answered, r.Sent = false, s.now.Monotonic.Add(-time.Second)
			}
			s.p.PollReported(r, s.now)
		}
		s.advance(50 * time.Millisecond)
		c.Assert(s.now.Monotonic.Sub(begun) < maxTaskOutage, quicktest.IsTrue)
	}
}

// Orders whose timeouts a busy leader notices late say nothing about the target, which
// stays in use.
func TestTimeoutsOfOrdersThatAreNoticedLateAreNoMisses(t *testing.T) {
	for _, late := range []bool{true, false} {
		c := quicktest.New(t)
		s := newHarness(c, 1)
		for id := range definer.JobID(3) {
			unanswered := s.outcome(s.submit(7+id, oneTask(cpus(1)))[0], false)
			if late {
				unanswered.Sent = unanswered.Sent.Add(-100 * time.Millisecond)
			}
			s.p.OrderReported(unanswered, s.now)
			s.take(func(planner.Action) bool { return true })
			if !late && id == 1 {
				break
			}
		}
		c.Assert(s.p.Load(s.now).Unresponsive == 0, quicktest.Equals, late)
	}
}

// A target starts again, gets a long-running task, and is lost with the leader. Guards
// against a next leader that waits for the longest lease anew, of which a part was over.
func TestNextLeaderWaitsForWhatIsLeftOfTheLeaseOfARestartedTarget(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.restart(1, 2)
	s.answerPollsFor(1800 * time.Millisecond)
	start := s.startLongRunning()
	s.answerPollsFor(900*time.Millisecond, row{target: start.To.Target, task: start.Task, number: 1, percent: 100})
	s.announce(s.record(2))
	s.changeTerm(2)
	took := s.timeUntilStartedElsewhere(start)
	c.Assert(took < maxTaskOutage, quicktest.IsTrue, quicktest.Commentf("after %s", took))
	c.Assert(took > bounds.MaxLease-2700*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after %s: a late order may have granted the longest lease", took))
}

// A restarted target accepts the token late. Until then a late order may grant it the
// longest lease, so that the lease counts from the acceptance.
func TestLeaseOfARestartedTargetCountsFromItsAcceptanceOfTheToken(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, minuteTask)[0]
	s.loseAnswer(start)
	rec := s.record(int(start.To.Target[1] - '0'))
	rec.Incarnation = 2
	s.announce(rec)
	s.failPollsFor(rec.ID, 2*time.Second)
	s.answerPolls(row{target: rec.ID, task: start.Task, number: 1, percent: 10})
	accepted := s.now.Monotonic
	s.starts()
	s.timeUntilStartedElsewhere(start)
	took := s.now.Monotonic.Sub(accepted)
	c.Assert(took > bounds.MaxLease, quicktest.IsTrue, quicktest.Commentf("after %s", took))
}

// The longest lease that a restarted target may have had is over. The next leader waits for
// the lease that was granted just before.
func TestNextLeaderWaitsForTheLeaseThatATargetGotWhileItsFormerOneRanOut(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.restart(1, 2)
	s.answerPollsFor(9800 * time.Millisecond)
	start := s.submit(7, minuteTask)[0]
	s.acceptStart(start)
	running := row{target: start.To.Target, task: start.Task, number: 1, percent: 10}
	deadline := start.Deadline
	for s.p.State.Targets["t1"].AnyLease {
		for _, o := range s.polls() {
			deadline = max(deadline, o.Deadline)
			s.answerPoll(o, running)
		}
		s.advance(50 * time.Millisecond)
	}
	leaseEnd := s.lapse("t1", deadline)
	s.announce(s.record(2))
	s.changeTerm(2)
	s.timeUntilStartedElsewhere(start)
	c.Assert(s.now.Monotonic.After(leaseEnd), quicktest.IsTrue, quicktest.Commentf("%s before its lease was over", leaseEnd.Sub(s.now.Monotonic)))
}
