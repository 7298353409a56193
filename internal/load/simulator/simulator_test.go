package simulator_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/simulator"
	"masticroad/internal/workflow/planner"
)

const (
	smallCell  = 8 // targets
	smallShare = float64(smallCell) / 48
	length     = 14 * time.Second
)

func newSchedule(seed int64, faults simulator.Faults) *simulator.Simulation {
	return &simulator.Simulation{Seed: seed, Targets: smallCell, Mix: simulator.Shops(smallShare), Faults: faults, Licensed: seed%2 == 0}
}

// play runs one seed.
func play(seed int64, faults simulator.Faults) *simulator.Simulation {
	s := newSchedule(seed, faults)
	s.Run(length)
	return s
}

// seeds returns the number of schedules, which MASTICROAD_SCHEDULES raises.
func seeds(normal int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv("MASTICROAD_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return normal
}

// schedulesOr returns the given seeds, or as many as MASTICROAD_SCHEDULES names.
func schedulesOr(fixed ...int64) []int64 {
	n := seeds(0)
	if n == 0 {
		return fixed
	}
	out := make([]int64, n)
	for i := range out {
		out[i] = int64(i)
	}
	return out
}

func TestSchedulesOfFaults(t *testing.T) {
	for seed := range seeds(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, play(seed, simulator.Rough).Result.Problems, quicktest.HasLen, 0)
		})
	}
}

var outages = simulator.Faults{
	Lost: 0.02, Late: 0.04, Leader: 3 * time.Second, Freeze: 5 * time.Second, Outage: 5 * time.Second, Crash: 1500 * time.Millisecond,
	Cut: 2 * time.Second, Drain: 4 * time.Second, SameID: true,
}

// Replicas lose power again and again while targets crash, are cut off and leave.
func TestSchedulesOfOutages(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, play(seed, outages).Result.Problems, quicktest.HasLen, 0)
		})
	}
}

var delayedDepartures = simulator.Faults{
	Lost: 0.01, Late: 0.01, Leader: 4 * time.Second, Cut: 4 * time.Second, Drain: 400 * time.Millisecond, Delay: 8 * time.Second,
}

// Departure calls arrive after the target has started again under its id.
func TestSchedulesOfDelayedDepartures(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, play(seed, delayedDepartures).Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// newCutDepartureSchedule lets targets leave, half of them behind a cut of the way to
// them. Half of the steps of batches are gangs, which run on while their targets drain.
func newCutDepartureSchedule(seed int64) *simulator.Simulation {
	s := newSchedule(seed, simulator.Faults{Lost: 0.01, Late: 0.01, Leader: 8 * time.Second, Drain: 700 * time.Millisecond, Deaf: 0.5})
	s.Mix[1].Gang = 0.5
	return s
}

// Targets leave behind cuts in one direction, which keep the answers to their calls from
// them. Guards against a start elsewhere while such a target works on.
func TestSchedulesOfDeparturesBehindCuts(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newCutDepartureSchedule(seed)
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

var foreign = simulator.Faults{
	Lost: 0.01, Late: 0.01, Leader: 4 * time.Second, Cut: 4 * time.Second, Crash: 4 * time.Second, SameID: true, Foreign: 300 * time.Millisecond,
}

// Another program announces targets of its own, and targets of the cell, at the addresses
// of targets.
func TestSchedulesOfForeignAnnouncements(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, play(seed, foreign).Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// newPartialSchedule lets targets list two ends in one answer. Ends gather while the
// leader is frozen, or while there is none.
func newPartialSchedule(seed int64) *simulator.Simulation {
	s := newSchedule(seed, simulator.Faults{Lost: 0.01, Leader: 2 * time.Second, Freeze: 2 * time.Second, Outage: 6 * time.Second})
	s.Listed = 2
	return s
}

// Targets have more ends than one answer lists.
func TestSchedulesOfPartialLists(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newPartialSchedule(seed)
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// newGangSchedule lets all members of a gang fail with one of them, on targets that fail all
// that they start for a time. Most steps of batches are gangs.
func newGangSchedule(seed int64) *simulator.Simulation {
	s := newSchedule(seed, simulator.Faults{Lost: 0.01, Leader: 3 * time.Second, Slow: 1500 * time.Millisecond})
	s.FailTogether, s.Mix[1].Gang = true, 0.8
	return s
}

// Guards against gangs that are given up after fewer runs than their queue allows, as
// several members have failed in one.
func TestSchedulesOfGangsThatFailTogether(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newGangSchedule(seed)
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// Replicas of an earlier version hold the format back, so that failed members are counted, and
// the leader changes meanwhile.
func TestSchedulesOfGangsThatFailTogetherBeforeTheFormatIsRaised(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSchedule(seed, simulator.Faults{Lost: 0.01, Late: 0.01, Leader: 700 * time.Millisecond, Freeze: 2 * time.Second, Crash: 4 * time.Second})
			s.FailTogether = true
			for i := range s.Mix {
				s.Mix[i].Gang = 0.7
			}
			s.Configure = func(p *planner.Planner) { p.State.Known = 0 }
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

var heldSubmissions = simulator.Faults{
	Lost: 0.01, Leader: 3 * time.Second, Freeze: 3 * time.Second, Outage: 8 * time.Second, Held: 0.5,
}

// Daemons hold submissions back while their callers leave and cancel them. Guards against a
// job that runs after its caller was told that it does not exist.
func TestSchedulesOfHeldSubmissions(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, play(seed, heldSubmissions).Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// newLimitSchedule plays workspaces that are at their limits most of the time. A limit takes the largest gang.
func newLimitSchedule(seed int64) *simulator.Simulation {
	s := newSchedule(seed, simulator.Rough)
	s.Workspaces = true
	s.Mix[0].Limit, s.Mix[0].Width = registrar.Need{CPU: 20000, Memory: 30000}, 12
	s.Mix[1].Limit, s.Mix[1].Gang = registrar.Need{CPU: 45000, Memory: 90000}, 0.2
	return s
}

// Guards against a workspace that exceeds its limit by runs that are being stopped, are on targets that do not
// answer, or were ordered by an earlier leader.
func TestSchedulesOfWorkspacesAtTheirLimits(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newLimitSchedule(seed)
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// newLossSchedule plays losses of targets and leaders. Crashed targets come back after
// up to 8 s, or not at all.
func newLossSchedule(seed int64) *simulator.Simulation {
	return &simulator.Simulation{Seed: seed, Targets: mediumCell, Mix: simulator.Auctions(mediumShare, 1), Faults: losses, Licensed: seed%2 == 0}
}

// newOverloadSchedule plays them up to a burst that the licensing service can't keep
// up with. Crashed targets come back soon.
func newOverloadSchedule(seed int64) *simulator.Simulation {
	s := &simulator.Simulation{Seed: seed, Targets: mediumCell, Mix: simulator.Auctions(mediumShare, 8), Faults: losses, Licensed: true, Proxies: 1}
	s.Faults.Away = 1500 * time.Millisecond
	return s
}

const (
	mediumCell  = 12 // targets
	mediumShare = float64(mediumCell) / 48
	lossLength  = 32 * time.Second
)

var losses = simulator.Faults{
	Lost: 0.01, Late: 0.01, Leader: 4 * time.Second, Crash: 4 * time.Second, Group: 3 * time.Second, SameID: true, Until: 12 * time.Second,
}

// relapses lets targets start again under their ids before they are lost for good.
var relapses = simulator.Faults{Lost: 0.01, Late: 0.01, Relapse: 1500 * time.Millisecond, Until: 12 * time.Second}

// Targets that have started again under their ids are lost with long-running tasks. The
// lease on the clock of the former incarnation doesn't postpone their next runs.
func TestLongRunningTasksOfRestartedTargetsRunAgain(t *testing.T) {
	for seed := range seeds(30) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newLossSchedule(seed)
			s.Faults = relapses
			s.Run(lossLength)
			logGaps(t, s)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

func logGaps(t *testing.T, s *simulator.Simulation) {
	for i, k := range s.Result.Kinds {
		if k.LongestGap > 0 {
			t.Logf("%s: longest time of a task without a run %s, with room for it %s", s.Mix[i].Name, k.LongestGap, k.LongestIdle)
		}
	}
}

// Targets with long-running tasks are lost, some of them for good, and leaders with them.
func TestLongRunningTasksOfLostTargetsRunAgain(t *testing.T) {
	for _, seed := range schedulesOr(14, 21, 38) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newLossSchedule(seed)
			s.Run(lossLength)
			logGaps(t, s)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// Long-running tasks lose their runs while a burst of urgent jobs takes all the
// calls to the licensing service.
func TestLongRunningTasksRunAgainUnderOverload(t *testing.T) {
	for _, seed := range schedulesOr(0, 14, 22, 41, 48, 61, 69, 96) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newOverloadSchedule(seed)
			s.Run(lossLength)
			logGaps(t, s)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// The checks above must notice when a protection is switched off, under the
// faults that it is there for.
func TestSchedulesNoticeMissingProtections(t *testing.T) {
	reborn := simulator.Faults{Lost: 0.03, Late: 0.15, Crash: 700 * time.Millisecond, SameID: true}
	cut := simulator.Faults{Leader: 3 * time.Second, Cut: 300 * time.Millisecond}
	for name, x := range map[string]struct {
		disabled planner.Mechanism
		faults   simulator.Faults
		schedule func(seed int64) *simulator.Simulation // nil: newSchedule
		limits   planner.Limits                         // where another protection would hide the missing one
	}{
		"lease wait":   {disabled: planner.WithoutLeaseWait, faults: simulator.Rough},
		"stop charge":  {disabled: planner.WithoutStopCharge, faults: simulator.Rough},
		"drain check":  {disabled: planner.WithoutDrainCheck, faults: simulator.Rough},
		"epochs":       {disabled: planner.WithoutEpochs, faults: reborn},
		"lease record": {disabled: planner.WithoutLeaseRecord, faults: cut},
		"departures":   {disabled: planner.WithoutDepartureCheck, faults: delayedDepartures},
		"end":          {disabled: planner.WithoutDepartureProof, schedule: newCutDepartureSchedule, limits: planner.Limits{DrainLease: 3 * time.Second}},
		"address":      {disabled: planner.WithoutAddressProof, faults: foreign},
		"withdrawals":  {disabled: planner.WithoutWithdrawals, faults: heldSubmissions},
		"gang runs":    {disabled: planner.WithoutGangRuns, schedule: newGangSchedule},
		"whole lists":  {disabled: planner.WithoutWholeLists, schedule: newPartialSchedule},
		"limits":       {disabled: planner.WithoutWorkspaceLimits, schedule: newLimitSchedule},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(maxUnnoticed) {
				s := newSchedule(seed, x.faults)
				if x.schedule != nil {
					s = x.schedule(seed)
				}
				s.Configure = func(p *planner.Planner) { p.Disabled, p.Limits = x.disabled, x.limits }
				s.Run(length)
				if len(s.Result.Problems) > 0 {
					t.Logf("seed %d: %s", seed, s.Result.Problems[0])
					return
				}
			}
			t.Fatalf("%d schedules without the %s passed", maxUnnoticed, name)
		})
	}
}

const maxUnnoticed = 300 // schedules

func TestCalmDay(t *testing.T) {
	c := quicktest.New(t)
	s := play(2, simulator.Faults{})
	c.Assert(s.Result.Problems, quicktest.HasLen, 0)
	for i, k := range s.Result.Kinds {
		c.Logf("%s: %d jobs, %d in time, %d late, %d failed, credit %.2f of %.2f", s.Mix[i].Name, k.Jobs, k.InTime, k.Late, k.Failed, k.Credit, k.Owed)
	}
}

// TestTrace prints what one schedule decides and orders, for tracing a failure. The
// faults are outages, departures, cut-departures, foreign, partial, gangs, held, limits, relapses,
// losses or overload, Rough otherwise:
//
//	MASTICROAD_TRACE=358 MASTICROAD_FAULTS=outages go test -run TestTrace -v ./internal/load/simulator
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("MASTICROAD_TRACE"), 10, 64)
	if err != nil {
		t.Skip("MASTICROAD_TRACE names no schedule")
	}
	s, played := newSchedule(seed, simulator.Rough), length
	switch os.Getenv("MASTICROAD_FAULTS") {
	case "outages":
		s = newSchedule(seed, outages)
	case "departures":
		s = newSchedule(seed, delayedDepartures)
	case "cut-departures":
		s = newCutDepartureSchedule(seed)
	case "foreign":
		s = newSchedule(seed, foreign)
	case "partial":
		s = newPartialSchedule(seed)
	case "limits":
		s = newLimitSchedule(seed)
	case "held":
		s = newSchedule(seed, heldSubmissions)
	case "gangs":
		s = newGangSchedule(seed)
	case "relapses":
		s, played = newLossSchedule(seed), lossLength
		s.Faults = relapses
	case "losses":
		s, played = newLossSchedule(seed), lossLength
	case "overload":
		s, played = newOverloadSchedule(seed), lossLength
	}
	s.Trace = func(at time.Duration, text string) { fmt.Println(at.Round(time.Millisecond), text) }
	s.Run(played)
	quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
}
