package decider_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
)

// This file induces the failures that the decisions must withstand, and shows
// that each check fails when its mechanism is switched off.

func TestKeySeenAgainGetsTheSameOutcome(t *testing.T) {
	c := quicktest.New(t)
	starts := func(disabled decider.Protection) int {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		f := w.target("t1", "a", "r", large, 8)
		w.admit(decider.Admit{Caller: "shop", Key: "charge", Once: true, Content: 5})
		w.run(0)
		for id := range f.running {
			w.report(f, id, decider.ResultDone)
		}
		w.run(0)
		w.admit(decider.Admit{Caller: "shop", Key: "charge", Once: true, Content: 5})
		w.run(0)
		return len(w.starts)
	}
	c.Assert(starts(0), quicktest.Equals, 1)
	c.Assert(starts(decider.WithoutKeyCheck), quicktest.Equals, 2)
}

func TestKeyWithOtherContentIsRefused(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	w.target("t1", "a", "r", large, 8)
	w.admit(decider.Admit{Caller: "shop", Key: "q", Content: 5})
	w.run(0)
	w.admit(decider.Admit{Caller: "shop", Key: "q", Content: 6})
	w.run(0)
	c.Assert(w.replies["q"].Conflict, quicktest.IsTrue)
}

func TestSecondAttemptWaitsForTheLease(t *testing.T) {
	c := quicktest.New(t)
	attempts := func(disabled decider.Protection) int {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		first := w.target("t1", "a", "r", large, 8)
		key := w.admit(decider.Admit{Caller: "shop"})
		w.run(0)
		w.target("t2", "a", "r", large, 8)
		id := w.task(key).ID
		first.dead = true
		w.input("vm1", &decider.Upstream{Reports: []decider.Report{{Task: id, Attempt: 1, Result: decider.ResultSilent}}})
		w.pass(5 * time.Second) // the lease of t1 lasts 15 s
		return w.starts[id]
	}
	c.Assert(attempts(0), quicktest.Equals, 1)
	c.Assert(attempts(decider.WithoutLeaseWait), quicktest.Equals, 2)
}

func TestLostTargetsWorkRunsElsewhereAfterItsLease(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	first := w.target("t1", "a", "r", large, 8)
	repeatable := w.admit(decider.Admit{Caller: "shop"})
	once := w.admit(decider.Admit{Caller: "shop", Once: true})
	w.run(0)
	second := w.target("t2", "a", "r", large, 8)
	first.dead = true
	w.pass(20 * time.Second)
	c.Assert(w.state.Targets["t1"].State, quicktest.Equals, registrar.TargetLost)
	c.Assert(second.running[w.task(repeatable).ID].Attempt, quicktest.Equals, registrar.Attempt(2))
	c.Assert(w.task(once).Outcome, quicktest.Equals, registrar.Unknown)
	c.Assert(w.starts[w.task(once).ID], quicktest.Equals, 1)
}

func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	c := quicktest.New(t)
	lostAt := func(disabled decider.Protection) time.Duration {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		f := w.target("t1", "a", "r", large, 8)
		w.admit(decider.Admit{Caller: "shop"})
		w.run(0)
		f.dead = true
		w.d.Begin(2, w.now)
		w.hello("vm1")
		began := w.now
		for w.state.Targets["t1"].State == registrar.TargetAlive && w.now.Sub(began) < time.Minute {
			w.run(100 * time.Millisecond)
		}
		return w.now.Sub(began)
	}
	wait := decider.DefaultTiming.TargetLease
	c.Assert(lostAt(0) >= wait, quicktest.IsTrue)
	c.Assert(lostAt(0) < 2*wait, quicktest.IsTrue)
}

func TestReportOfAnOlderAttemptChangesNothing(t *testing.T) {
	c := quicktest.New(t)
	ended := func(disabled decider.Protection) registrar.TaskState {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		f := w.target("t1", "a", "r", large, 8)
		key := w.admit(decider.Admit{Caller: "shop"})
		w.run(0)
		id := w.task(key).ID
		w.report(f, id, decider.ResultAbsent)
		w.pass(time.Second)
		c.Assert(w.task(key).Attempt, quicktest.Equals, registrar.Attempt(2))
		w.input("vm1", &decider.Upstream{Reports: []decider.Report{{Task: id, Attempt: 1, Result: decider.ResultDone}}})
		w.run(0)
		return w.task(key).State
	}
	c.Assert(ended(0), quicktest.Equals, registrar.Assigned)
	c.Assert(ended(decider.WithoutAttemptCheck), quicktest.Equals, registrar.Ended)
}

func TestExactlyOneOfRacingChangesIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	accepted := func(disabled decider.Protection) int {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		base := w.state.Revision
		n := 0
		for i := range 5 {
			w.changes = append(w.changes, &decider.Change{
				ID: registrar.ChangeID(fmt.Sprintf("race%d", i)), Base: &base,
				Ops: []registrar.Op{{PutCaller: &registrar.Caller{Name: "shop", Weight: i + 1}}},
				Done: func(r decider.ChangeResult) {
					if len(r.Refused) == 0 {
						n++
					}
				},
			})
		}
		w.pass(2 * time.Second)
		return n
	}
	c.Assert(accepted(0), quicktest.Equals, 1)
	c.Assert(accepted(decider.WithoutBaseCheck), quicktest.Equals, 5)
}

func TestChangeWaitsForEveryDaemonThatCanAct(t *testing.T) {
	c := quicktest.New(t)
	answeredAfter := func(disabled decider.Protection) time.Duration {
		w := newWorld(t, disabled)
		w.input("vm2", &decider.Upstream{Hello: &registrar.Daemon{Name: "vm2", Life: 1}, Renewal: &decider.Renewal{Seq: 1}})
		w.run(0)
		began := w.now
		answered := false
		w.changes = append(w.changes, &decider.Change{
			ID: "x", Ops: []registrar.Op{{PutCaller: &registrar.Caller{Name: "shop"}}},
			Done: func(decider.ChangeResult) { answered = true },
		})
		// vm2 renews its lease but never applies the change.
		for !answered && w.now.Sub(began) < time.Minute {
			w.input("vm2", &decider.Upstream{Renewal: &decider.Renewal{Seq: 2}})
			w.run(100 * time.Millisecond)
		}
		return w.now.Sub(began)
	}
	got := answeredAfter(0)
	c.Assert(got > time.Second, quicktest.IsTrue)
	c.Assert(got <= 5*time.Second, quicktest.IsTrue)
	c.Assert(answeredAfter(decider.WithoutConfirmation) < time.Second, quicktest.IsTrue)
}

func TestRetiredCallerRunsNothing(t *testing.T) {
	c := quicktest.New(t)
	started := func(disabled decider.Protection) bool {
		w := newWorld(t, disabled)
		w.caller(registrar.Caller{Name: "shop"})
		f := w.target("t1", "a", "r", large, 2)
		var keys []registrar.Key
		for range 4 {
			keys = append(keys, w.admit(decider.Admit{Caller: "shop"}))
		}
		w.run(0)
		c.Assert(f.running, quicktest.HasLen, 2)
		w.change(registrar.Op{RetireCaller: "shop"})
		w.pass(2 * time.Second)
		c.Assert(w.state.Callers["shop"].State, quicktest.Equals, registrar.CallerRetired)
		c.Assert(f.running, quicktest.HasLen, 0)
		c.Assert(w.task(keys[3]).Outcome, quicktest.Equals, registrar.NotRun)
		late := w.admit(decider.Admit{Caller: "shop"})
		w.run(0)
		return w.task(late) != nil
	}
	c.Assert(started(0), quicktest.IsFalse)
	c.Assert(started(decider.WithoutRetiredCheck), quicktest.IsTrue)
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	f := w.target("t1", "a", "r", large, 8)
	w.change(registrar.Op{DrainTarget: &registrar.TargetMark{Name: "t1", On: true}})
	w.admit(decider.Admit{Caller: "shop"})
	w.pass(2 * time.Second)
	c.Assert(f.running, quicktest.HasLen, 0)
	w.change(registrar.Op{DrainTarget: &registrar.TargetMark{Name: "t1"}})
	w.pass(time.Second)
	c.Assert(f.running, quicktest.HasLen, 1)
}

// A daemon that begins a session with a report of an attempt is not told to
// start that attempt again.
func TestReportInTheHelloEndsTheAssignment(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	w.target("t1", "a", "r", large, 8)
	key := w.admit(decider.Admit{Caller: "shop", Once: true})
	running := w.admit(decider.Admit{Caller: "shop"})
	w.run(0)
	w.d.Begin(2, w.now)
	round := w.d.Decide([]decider.Input{{Daemon: "vm1", Life: 1, Up: &decider.Upstream{
		Hello:   &registrar.Daemon{Name: "vm1", Life: 1},
		Reports: []decider.Report{{Task: w.task(key).ID, Attempt: 1, Result: decider.ResultDone}},
	}}}, nil, w.now.Add(time.Second), w.now)
	c.Assert(round.Down["vm1"].Assignments, quicktest.HasLen, 1)
	c.Assert(round.Down["vm1"].Assignments[0].Task, quicktest.Equals, w.task(running).ID)
	c.Assert(round.Down["vm1"].Settled, quicktest.HasLen, 1)
}

// Attempts of which no byte was sent don't count: work that is not repeatable is
// assigned again, and is NotRun when its deadline passes before any start.
func TestAttemptsThatNeverStarted(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	f := w.target("t1", "a", "r", large, 8)
	key := w.admit(decider.Admit{Caller: "shop", Once: true, Deadline: registrar.MillisOf(w.now.Add(3 * time.Second))})
	w.run(0)
	w.report(f, w.task(key).ID, decider.ResultNotStarted)
	w.run(0)
	w.pass(time.Second)
	c.Assert(w.task(key).Attempt, quicktest.Equals, registrar.Attempt(2))
	w.report(f, w.task(key).ID, decider.ResultNotStarted)
	w.change(registrar.Op{DrainTarget: &registrar.TargetMark{Name: "t1", On: true}})
	w.pass(5 * time.Second)
	c.Assert(w.task(key).Outcome, quicktest.Equals, registrar.NotRun)
}

// A queued request whose daemon is gone goes to a daemon that waits for it, also
// when that one asked while the first was still there.
func TestQueuedRequestGoesToADaemonThatWaitsForIt(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	hello := &decider.Upstream{Hello: &registrar.Daemon{Name: "vm2", Life: 1}, Renewal: &decider.Renewal{Seq: 1, Revision: w.state.Revision}}
	w.input("vm2", hello)
	w.run(0)
	admit := decider.Admit{Caller: "shop", Key: "q", Need: small}
	w.input("vm2", &decider.Upstream{Admits: []decider.Admit{admit}}) // no target yet
	w.run(0)
	w.input("vm1", &decider.Upstream{Admits: []decider.Admit{admit}})
	w.run(0)
	c.Assert(w.task("q").Daemon, quicktest.Equals, registrar.DaemonName("vm2"))
	w.inputs = append(w.inputs, decider.Input{Daemon: "vm2", Life: 1, Closed: true})
	f := w.target("t1", "a", "r", large, 8)
	w.pass(time.Second)
	c.Assert(w.task("q").Daemon, quicktest.Equals, registrar.DaemonName("vm1"))
	c.Assert(f.running, quicktest.HasLen, 1)
}

func TestNoLeaseIsGrantedWithoutTheLeadersOwn(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.lease = false
	w.pass(30 * time.Second)
	for _, st := range w.d.DaemonStatuses(w.now) {
		c.Assert(st.Leased, quicktest.IsFalse)
	}
}

func TestRestartedTargetRunsNothingOfItsEarlierLife(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	f := w.target("t1", "a", "r", large, 8)
	w.change(registrar.Op{PutJob: &registrar.Job{Name: "job", Caller: "shop", Kind: registrar.Batches, Class: registrar.Batch, Count: 1, Need: small}})
	w.run(0)
	c.Assert(f.running, quicktest.HasLen, 1)
	f.rec.Life = 2
	clear(f.running)
	w.pass(10 * time.Second)
	c.Assert(f.running, quicktest.HasLen, 1)
	for _, as := range f.running {
		c.Assert(as.Attempt, quicktest.Equals, registrar.Attempt(2))
	}
}

// A start that was decided before the target's restart was known may arrive in
// its new life. The new life's announcement does not end it.
func TestStartThatArrivesInTheNewLifeIsNotRepeated(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, 0)
	w.caller(registrar.Caller{Name: "shop"})
	f := w.target("t1", "a", "r", large, 8)
	f.rec.Life = 2
	key := w.admit(decider.Admit{Caller: "shop"})
	w.run(0)
	w.target("t2", "a", "r", large, 8)
	w.pass(10 * time.Second)
	c.Assert(w.task(key).Attempt, quicktest.Equals, registrar.Attempt(1))
	c.Assert(f.running, quicktest.HasLen, 1)
}
