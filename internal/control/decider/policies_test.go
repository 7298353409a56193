package decider_test

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
)

// This file tests the policies, each in a situation that it is meant for.

func TestUrgentTaskPreemptsCheapestBatchTask(t *testing.T) {
	c := quicktest.New(t)
	waited := func(enabled string) (time.Duration, int) {
		h := newHarness(t, 0)
		h.addCaller(registrar.Caller{Name: "shop"})
		h.applyChange(registrar.Op{PutPolicy: &registrar.Policy{Name: "Preemption.Enabled", Value: enabled}})
		for i := range 4 {
			h.addTarget(fmt.Sprintf("t%d", i), "a", "r", large, 8)
		}
		for range 4 {
			h.admit(decider.Admit{Caller: "shop", Class: registrar.Batch, Need: large})
			h.advance(5 * time.Second)
		}
		key := h.admit(decider.Admit{Caller: "shop", Class: registrar.Urgent})
		start := h.now
		for h.now.Sub(start) < 10*time.Second && (h.task(key) == nil || h.task(key).State != registrar.Assigned) {
			h.runRound(100 * time.Millisecond)
		}
		return h.now.Sub(start), h.d.Counters.Preempted
	}
	wait, victims := waited("true")
	c.Assert(wait <= 1600*time.Millisecond, quicktest.IsTrue)
	c.Assert(victims, quicktest.Equals, 1)
	wait, victims = waited("false")
	c.Assert(wait >= 10*time.Second, quicktest.IsTrue)
	c.Assert(victims, quicktest.Equals, 0)
}

func TestTaskIsPreemptedAtMostMaxPerTaskTimes(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.applyChange(registrar.Op{PutPolicy: &registrar.Policy{Name: "Queue.UrgentWait", Value: "0s"}})
	f := h.addTarget("t1", "a", "r", large, 8)
	victim := h.admit(decider.Admit{Caller: "shop", Class: registrar.Batch, Need: large})
	h.runRound(0)
	for range 6 {
		key := h.admit(decider.Admit{Caller: "shop", Class: registrar.Urgent, Need: large})
		h.advance(2 * time.Second)
		if as, ok := f.running[h.task(key).ID]; ok {
			h.report(f, as.Task, decider.ResultDone)
		}
		h.advance(2 * time.Second)
	}
	c.Assert(h.task(victim).Preempted, quicktest.Equals, 3)
}

func TestAgeingPreventsBatchStarvation(t *testing.T) {
	c := quicktest.New(t)
	started := func(step string) bool {
		h := newHarness(t, 0)
		h.addCaller(registrar.Caller{Name: "shop"})
		h.applyChange(registrar.Op{PutPolicy: &registrar.Policy{Name: "Age.Step", Value: step}})
		f := h.addTarget("t1", "a", "r", large, 1)
		batch := h.admit(decider.Admit{Caller: "shop", Class: registrar.Batch})
		h.admit(decider.Admit{Caller: "shop", Class: registrar.Urgent})
		for range 60 { // urgent load that never ends
			h.admit(decider.Admit{Caller: "shop", Class: registrar.Urgent})
			for id := range f.running {
				h.report(f, id, decider.ResultDone)
			}
			h.advance(time.Second)
		}
		return h.task(batch).Attempt > 0
	}
	c.Assert(started("5s"), quicktest.IsTrue)
	c.Assert(started("0s"), quicktest.IsFalse)
}

func TestCapacityIsSharedByCallerWeight(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "one", Weight: 1})
	h.addCaller(registrar.Caller{Name: "three", Weight: 3})
	f := h.addTarget("t1", "a", "r", registrar.Need{CPU: 80000, Memory: 1 << 20}, 80)
	for range 200 {
		h.admit(decider.Admit{Caller: "one", Class: registrar.Batch})
		h.admit(decider.Admit{Caller: "three", Class: registrar.Batch})
	}
	h.runRound(0)
	by := make(map[registrar.CallerName]int)
	for _, as := range f.running {
		by[as.Caller]++
	}
	c.Assert(by["one"], quicktest.Equals, 20)
	c.Assert(by["three"], quicktest.Equals, 60)
}

func TestQuotaAppliesImmediatelyAndBorrowedCapacityIsReclaimed(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "owner", Quota: registrar.Need{CPU: 8000}})
	h.addCaller(registrar.Caller{Name: "other", Quota: registrar.Need{CPU: 8000}})
	f := h.addTarget("t1", "a", "r", large, 16)
	for range 16 {
		h.admit(decider.Admit{Caller: "other", Class: registrar.Batch})
	}
	h.advance(time.Second)
	c.Assert(f.running, quicktest.HasLen, 16) // 8 of them above the quota
	key := h.admit(decider.Admit{Caller: "owner", Class: registrar.Standard})
	h.advance(2 * time.Second)
	c.Assert(h.task(key).State, quicktest.Equals, registrar.Assigned)
	waitingBefore := h.count(registrar.Queued)
	// Standard requests can't borrow, and a reduced quota applies immediately.
	h.applyChange(registrar.Op{PutCaller: &registrar.Caller{Name: "owner", Quota: registrar.Need{CPU: 1000}}})
	second := h.admit(decider.Admit{Caller: "owner", Class: registrar.Standard})
	h.advance(2 * time.Second)
	c.Assert(h.replies[second].Outcome, quicktest.Equals, registrar.NotRun)
	c.Assert(h.replies[second].RetryAfter > 0, quicktest.IsTrue)
	c.Assert(h.replies[second].Reason, quicktest.Contains, "over quota")
	// Tasks of a job stay queued until their caller's quota allows them.
	h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "job", Caller: "owner", Kind: registrar.KindBatch, Class: registrar.Standard, Count: 1, Need: small}})
	h.advance(2 * time.Second)
	c.Assert(h.count(registrar.Queued), quicktest.Equals, 1+waitingBefore)
}

func TestAllAtOnceJobsStartCompletelyAndDoNotBlockEachOther(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	var targets []*fakeTarget
	for i := range 4 {
		targets = append(targets, h.addTarget(fmt.Sprintf("t%d", i), "a", "r", large, 8))
	}
	for i := range 2 {
		h.applyChange(registrar.Op{PutJob: &registrar.Job{
			Name: registrar.JobName(fmt.Sprintf("big%d", i)), Caller: "shop", Kind: registrar.KindAllAtOnce, Class: registrar.Standard,
			Count: 3, Need: large, RunTime: time.Minute,
		}})
	}
	h.advance(time.Second)
	runs := func(name registrar.JobName) int {
		n := 0
		for _, f := range targets {
			for _, as := range f.running {
				if as.Job == name {
					n++
				}
			}
		}
		return n
	}
	c.Assert(runs("big0")+runs("big1"), quicktest.Equals, 3) // one job is complete, the other has no task
	small := h.admit(decider.Admit{Caller: "shop", Class: registrar.Batch, RunTime: time.Second})
	h.advance(time.Second)
	c.Assert(h.task(small).State, quicktest.Equals, registrar.Assigned) // backfilled
	for _, f := range targets {
		for id := range f.running {
			h.report(f, id, decider.ResultDone)
		}
	}
	h.advance(time.Minute)
	c.Assert(runs("big0")+runs("big1"), quicktest.Equals, 3)
	for _, f := range targets {
		for id := range f.running {
			h.report(f, id, decider.ResultDone)
		}
	}
	h.runRound(0)
	c.Assert(h.count(registrar.Queued), quicktest.Equals, 0)
}

func TestLostTaskRestartsTheCompleteAllAtOnceJob(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	first := h.addTarget("t1", "a", "r", large, 8)
	second := h.addTarget("t2", "a", "r", large, 8)
	h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "big", Caller: "shop", Kind: registrar.KindAllAtOnce, Class: registrar.Standard, Count: 2, Need: large}})
	h.advance(time.Second)
	c.Assert(len(first.running)+len(second.running), quicktest.Equals, 2)
	first.dead = true
	h.advance(20 * time.Second)
	c.Assert(second.running, quicktest.HasLen, 0) // stopped, since the other task of the job was lost
	h.addTarget("t3", "a", "r", large, 8)
	h.advance(5 * time.Second)
	c.Assert(h.count(registrar.Assigned), quicktest.Equals, 2)
}

func TestInfeasibleRequestIsRefusedWithNearestMiss(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.addTarget("t1", "a", "r", registrar.Need{CPU: 16000, Memory: 32768, Accelerators: 2}, 8)
	key := h.admit(decider.Admit{Caller: "shop", Need: registrar.Need{CPU: 1000, Memory: 1024, Accelerators: 4}})
	h.runRound(0)
	c.Assert(h.replies[key].Outcome, quicktest.Equals, registrar.NotRun)
	c.Assert(h.replies[key].Reason, quicktest.Equals, "needs 4 accelerators; the largest target has 2")
	// A request that was feasible when admitted becomes infeasible when the
	// only suitable target is lost.
	f := h.addTarget("t2", "a", "r", registrar.Need{CPU: 1000, Memory: 1024, Accelerators: 8}, 1)
	h.admit(decider.Admit{Caller: "shop", Need: registrar.Need{CPU: 1000, Memory: 1024, Accelerators: 8}})
	h.runRound(0)
	key = h.admit(decider.Admit{Caller: "shop", Need: registrar.Need{CPU: 1000, Memory: 1024, Accelerators: 8}})
	behind := h.admit(decider.Admit{Caller: "shop"})
	f.dead = true
	h.advance(20 * time.Second)
	c.Assert(h.task(behind).State, quicktest.Equals, registrar.Assigned) // the queue is not blocked
	lines := strings.Join(h.d.Explain(h.task(key).ID, h.now), "\n")
	c.Assert(lines, quicktest.Contains, "can't run on any target: needs 8 accelerators; the largest target has 2")
}

func TestFailingTargetIsQuarantinedAndReadmittedAfterProbe(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.applyChange(registrar.Op{PutPolicy: &registrar.Policy{Name: "Placement.Urgent", Value: "Random"}})
	bad := h.addTarget("t1", "a", "r", large, 8)
	for i := range 4 {
		h.addTarget(fmt.Sprintf("good%d", i), "a", "r", large, 8)
	}
	fails := true
	serve := func(rounds int) (onBad int) {
		for range rounds {
			h.admit(decider.Admit{Caller: "shop"})
			h.runRound(200 * time.Millisecond)
			for _, f := range h.targets {
				for id := range f.running {
					r := decider.ResultDone
					if f == bad {
						onBad++
						if fails {
							r = decider.ResultFailed
						}
					}
					h.report(f, id, r)
				}
			}
			for _, f := range h.targets {
				h.announce(f)
			}
		}
		return onBad
	}
	serve(40)
	c.Assert(h.state.Targets["t1"].Quarantine > 0, quicktest.IsTrue)
	c.Assert(serve(20) <= 1, quicktest.IsTrue)
	fails = false
	serve(400) // longer than the pause, so that a probe succeeds
	c.Assert(h.state.Targets["t1"].Quarantine, quicktest.Equals, 0)
}

// Targets that fail tasks immediately look empty, so best-fit placement could
// choose them again and again. A few failures must move tasks to other targets.
func TestFailingTargetsDoNotAttractTasks(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	for i := range 20 {
		h.addTarget(fmt.Sprintf("t%02d", i), fmt.Sprint("z", i%3), "r", large, 8)
	}
	failed := 0
	for range 200 {
		key := h.admit(decider.Admit{Caller: "shop"})
		for range 20 {
			h.runRound(50 * time.Millisecond)
			for _, f := range h.targets {
				for id := range f.running {
					r := decider.ResultDone
					if f.record.Name == "t00" || f.record.Name == "t01" {
						r = decider.ResultFailed
					}
					h.report(f, id, r)
				}
				h.announce(f)
			}
		}
		if t := h.task(key); t != nil && t.Outcome == registrar.Failed {
			failed++
		}
	}
	c.Assert(failed <= 2, quicktest.IsTrue, quicktest.Commentf("%d failed", failed))
}

func TestWorkFailingOnEveryTargetDoesNotQuarantineTargets(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.applyChange(registrar.Op{PutPolicy: &registrar.Policy{Name: "Placement.Urgent", Value: "Random"}})
	for i := range 6 {
		h.addTarget(fmt.Sprintf("t%d", i), "a", "r", large, 8)
	}
	for range 100 {
		h.admit(decider.Admit{Caller: "shop"})
		h.runRound(200 * time.Millisecond)
		for _, f := range h.targets {
			for id := range f.running {
				h.report(f, id, decider.ResultFailed)
			}
			h.announce(f)
		}
	}
	quarantined := 0
	for _, t := range h.state.Targets {
		if t.Quarantine > 0 {
			quarantined++
		}
	}
	c.Assert(quarantined <= 1, quicktest.IsTrue)
}

func TestMassCancellationDoesNotDelayOtherCallers(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.addCaller(registrar.Caller{Name: "tills"})
	h.addTarget("t1", "a", "r", large, 8)
	h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "wave", Caller: "shop", Kind: registrar.KindBatch, Class: registrar.Batch, Count: 10000, Need: small}})
	h.advance(25 * time.Second)
	c.Assert(h.count(registrar.Queued) > 9000, quicktest.IsTrue)
	h.applyChange(registrar.Op{CancelJob: &registrar.JobKey{Caller: "shop", Name: "wave"}})
	key := h.admit(decider.Admit{Caller: "tills"})
	h.advance(2 * time.Second)
	c.Assert(h.task(key).State, quicktest.Equals, registrar.Assigned)
	h.advance(5 * time.Second)
	c.Assert(h.count(registrar.Queued), quicktest.Equals, 0)
	c.Assert(h.count(registrar.Assigned), quicktest.Equals, 1)
}

// Under full load, urgent requests are refused early rather than queued for
// long, but not while preempting batch tasks can free capacity for them.
func TestUrgentRequestIsRefusedWhenPredictedWaitIsTooLong(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	f := h.addTarget("t1", "a", "r", large, 8)
	for range 8 {
		h.admit(decider.Admit{Caller: "shop", Class: registrar.Batch})
	}
	h.runRound(0)
	for range 8 {
		h.admit(decider.Admit{Caller: "shop"})
	}
	h.runRound(time.Second)
	c.Assert(h.d.Counters.Refused, quicktest.Equals, 0)
	h.advance(3 * time.Second) // all batch tasks are preempted
	for id, as := range f.running {
		if as.Task%2 == 0 {
			h.report(f, id, decider.ResultDone) // each with a run time of 1 s
		}
	}
	h.runRound(0)
	for range 50 {
		h.admit(decider.Admit{Caller: "shop"})
	}
	h.runRound(0)
	c.Assert(h.d.Counters.Refused > 40, quicktest.IsTrue)
}

func TestQueuedRequestPastDeadlineIsNotRun(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	h.addTarget("t1", "a", "r", large, 1)
	h.admit(decider.Admit{Caller: "shop"})
	late := h.admit(decider.Admit{Caller: "shop", Deadline: registrar.MillisOf(h.now.Add(time.Second))})
	h.advance(3 * time.Second)
	c.Assert(h.replies[late].Outcome, quicktest.Equals, registrar.NotRun)
	c.Assert(h.starts[h.task(late).ID], quicktest.Equals, 0)
}

func TestLearnedUsageRaisesCharge(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	f := h.addTarget("t1", "a", "r", large, 8)
	f.usage = 1.8 // times the declared need
	h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "job", Caller: "shop", Kind: registrar.KindBatch, Class: registrar.Batch, Count: 100, Need: registrar.Need{CPU: 1000, Memory: 1024}, RunTime: time.Second}})
	for range 6 {
		h.advance(2 * time.Second)
		for id := range f.running {
			h.report(f, id, decider.ResultDone)
		}
	}
	h.advance(time.Second)
	var charge registrar.MilliCPU
	for id := range f.running {
		charge = max(charge, h.state.Tasks[id].Charge.CPU)
	}
	c.Assert(charge >= 1800, quicktest.IsTrue)
}

// A task that uses more than its charge is throttled, and one that uses more
// than twice its charge is checkpointed and moved.
func TestOveruseIsThrottledAndSevereOveruseIsMoved(t *testing.T) {
	for usage, verb := range map[float64]decider.Verb{1.5: decider.VerbThrottle, 3: decider.VerbCheckpoint} {
		c := quicktest.New(t)
		h := newHarness(t, 0)
		h.confirmStops = false
		h.addCaller(registrar.Caller{Name: "shop"})
		f := h.addTarget("t1", "a", "r", large, 8)
		f.usage = usage
		h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "job", Caller: "shop", Kind: registrar.KindBatch, Class: registrar.Batch, Count: 1, Need: small}})
		h.advance(2 * time.Second)
		c.Assert(len(h.orders) > 0, quicktest.IsTrue)
		c.Assert(h.orders[0].Verb, quicktest.Equals, verb)
	}
}

func TestServiceReplicasSpreadOverZonesAndRacksAndAreReplaced(t *testing.T) {
	c := quicktest.New(t)
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "shop"})
	for _, zone := range []string{"a", "b", "c"} {
		for rack := range 2 {
			h.addTarget(fmt.Sprintf("%s%d", zone, rack), zone, fmt.Sprintf("%s-r%d", zone, rack), large, 8)
		}
	}
	h.applyChange(registrar.Op{PutJob: &registrar.Job{Name: "web", Caller: "shop", Kind: registrar.KindService, Class: registrar.Service, Count: 6, Need: small}})
	h.advance(time.Second)
	for _, f := range h.targets {
		c.Assert(f.running, quicktest.HasLen, 1)
	}
	h.targets["a0"].dead = true
	h.advance(20 * time.Second)
	c.Assert(h.count(registrar.Assigned), quicktest.Equals, 6)
}

// Random inputs must not violate the invariants on assignments, outcomes and
// capacity.
func TestInvariantsHoldUnderRandomInputs(t *testing.T) {
	for seed := range int64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { runRandomInputs(t, seed) })
	}
}

func runRandomInputs(t *testing.T, seed int64) {
	r := rand.New(rand.NewSource(seed))
	h := newHarness(t, 0)
	h.addCaller(registrar.Caller{Name: "a", Quota: registrar.Need{CPU: 40000}})
	h.addCaller(registrar.Caller{Name: "b", Weight: 2})
	for i := range 6 {
		h.addTarget(fmt.Sprintf("t%d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i), large, 8)
	}
	for range 400 {
		randomInput(h, r)
	}
	for id, n := range h.starts {
		if task := h.state.Tasks[id]; task != nil && task.Once && n > 1 {
			t.Fatalf("task %d is not repeatable and was assigned %d times", id, n)
		}
	}
	for key, reply := range h.replies {
		task := h.task(key)
		if reply.Outcome == registrar.NotRun && task != nil && h.starts[task.ID] > 0 {
			t.Fatalf("request %s was NotRun but assigned", key)
		}
	}
	checkSingleExecution(h)
}

// checkSingleExecution checks that no task runs on two live targets.
func checkSingleExecution(h *harness) {
	h.t.Helper()
	where := make(map[registrar.TaskID]registrar.TargetName)
	for name, f := range h.targets {
		for id := range f.running {
			if other, ok := where[id]; ok && !f.dead && !h.targets[other].dead {
				h.t.Fatalf("task %d runs on %s and %s", id, other, name)
			}
			where[id] = name
		}
	}
}

func randomInput(h *harness, r *rand.Rand) {
	callers := []registrar.CallerName{"a", "b"}
	switch x := r.Intn(100); {
	case x < 45:
		h.admit(decider.Admit{
			Caller: callers[r.Intn(2)], Class: registrar.Class(r.Intn(4)), Once: r.Intn(5) == 0,
			Need: registrar.Need{CPU: registrar.MilliCPU(500 + r.Intn(8000)), Memory: registrar.MiB(256 + r.Intn(16000))},
		})
	case x < 75:
		reportRandomResult(h, r)
	case x < 80:
		f := h.targets[registrar.TargetName(fmt.Sprintf("t%d", r.Intn(6)))]
		if f.dead = !f.dead; !f.dead {
			f.record.Incarnation++
			clear(f.running)
		}
	case x < 83:
		h.d.Begin(registrar.Term(h.index), h.now)
		h.connect("vm1")
	case x < 86:
		h.changes = append(h.changes, &decider.Change{
			ID:  registrar.ChangeID(fmt.Sprintf("drain%d", h.index)),
			Ops: []registrar.Op{{DrainTarget: &registrar.TargetMark{Name: registrar.TargetName(fmt.Sprintf("t%d", r.Intn(6))), On: r.Intn(2) == 0}}},
			Done: func(decider.ChangeResult) {
			},
		})
	case x < 88:
		h.send("vm1", &decider.Upstream{Cancels: []decider.Cancel{{Caller: callers[r.Intn(2)], Key: registrar.Key(fmt.Sprintf("k%d", r.Intn(h.lastKey+1)))}}})
	}
	for _, f := range h.targets {
		if r.Intn(4) == 0 {
			h.announce(f)
		}
	}
	h.runRound(time.Duration(r.Intn(600)) * time.Millisecond)
	checkSingleExecution(h)
}

func reportRandomResult(h *harness, r *rand.Rand) {
	for _, name := range []registrar.TargetName{"t0", "t1", "t2", "t3", "t4", "t5"} {
		f := h.targets[name]
		if f.dead || len(f.running) == 0 || r.Intn(3) == 0 {
			continue
		}
		lowest := registrar.TaskID(0)
		for id := range f.running {
			if lowest == 0 || id < lowest {
				lowest = id
			}
		}
		results := []decider.Result{decider.ResultDone, decider.ResultDone, decider.ResultFailed, decider.ResultAbsent, decider.ResultNotStarted}
		result := results[r.Intn(len(results))]
		if result == decider.ResultNotStarted {
			h.starts[lowest]-- // the daemon reported that no byte was sent
		}
		h.report(f, lowest, result)
		return
	}
}
