package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/load/simulator"
	"masticroad/internal/workflow/planner"
)

// This file plays loads beyond the capacity of a cell that is 80 % full before, with 20
// workspaces. The thresholds are shares of jobs that end within their objective.

const (
	sharedCell    = 60   // targets
	seasonsFactor = 1.42 // of the rates, at which the mean use of the processors is 80 %
	overloadTime  = 30 * time.Second
	surgeBegin    = 12 * time.Second
	entitlement   = 1.2 // weights, as a multiple of the usual rates
	flooder       = "w3"
	flooderPart   = 0.4 // of the usual load
	checks        = 0   // the quick jobs, by their place in simulator.Seasons
	builds        = 1   // the wide ones
)

func newSharedCell(seed int64) *simulator.Simulation {
	rate := seasonsFactor * sharedCell / 350
	s := &simulator.Simulation{Seed: seed, Targets: sharedCell, Mix: simulator.Seasons(rate), Licensed: true, Size: 4, Proxies: 29,
		SharedBy: simulator.EqualWorkspaces(20, 41*rate*entitlement)}
	for i := range s.SharedBy {
		w, part := &s.SharedBy[i], (1-flooderPart)/19
		if w.Name == flooder {
			part = flooderPart
		}
		w.Part, w.Weight = part, 41*rate*entitlement*part
	}
	return s
}

// served tells how the callers of each kind were served, those of the flooding workspace left out.
type served struct{ checks, builds, flood simulator.KindResult }

func inTime(k simulator.KindResult) float64 { return float64(k.InTime) / float64(max(k.Jobs, 1)) }

// playOverload sums up the outcome of a few seeds.
func playOverload(t *testing.T, load func(*simulator.Simulation), disabled planner.Mechanism) (sum served) {
	results := make(chan *simulator.Simulation, overloadSeeds)
	for seed := range int64(overloadSeeds) {
		go func() {
			s := newSharedCell(seed)
			load(s)
			s.Configure = func(p *planner.Planner) { p.Disabled = disabled }
			s.Run(overloadTime)
			results <- s
		}()
	}
	for range overloadSeeds {
		s := <-results
		quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		for name, kinds := range s.Result.Workspaces {
			if name == flooder {
				add(&sum.flood, &kinds[builds])
				continue
			}
			add(&sum.checks, &kinds[checks])
			add(&sum.builds, &kinds[builds])
		}
	}
	for name, k := range map[string]simulator.KindResult{"checks": sum.checks, "builds": sum.builds, "builds of " + flooder: sum.flood} {
		t.Logf("disabled %x, %s: %d jobs, %d in time, %d late, %d failed, %d rejected", disabled, name, k.Jobs, k.InTime, k.Late, k.Failed, k.Rejected)
	}
	return sum
}

func add(sum, k *simulator.KindResult) {
	sum.Jobs, sum.InTime, sum.Late, sum.Failed, sum.Rejected = sum.Jobs+k.Jobs, sum.InTime+k.InTime, sum.Late+k.Late, sum.Failed+k.Failed, sum.Rejected+k.Rejected
}

const overloadSeeds = 3

// Load: a large workspace at 6.3 times its usual load for 6.8 s, beside 19 at their usual load. Guards
// against jobs of the others that are late because of it; without the mechanisms more of them are.
func TestFloodOfOneWorkspaceDelaysFewOthers(t *testing.T) {
	flood := func(s *simulator.Simulation) {
		s.Surges = []simulator.Surge{{Workspace: flooder, Factor: 6.3, From: surgeBegin, To: surgeBegin + 6800*time.Millisecond}}
	}
	with := playOverload(t, flood, 0)
	quicktest.Check(t, inTime(with.checks) >= 0.95, quicktest.IsTrue)
	quicktest.Check(t, inTime(with.builds) >= 0.7, quicktest.IsTrue)
	quicktest.Check(t, with.flood.Rejected > 0, quicktest.IsTrue)
	without := playOverload(t, flood, planner.WithoutAdmission|planner.WithoutShares)
	quicktest.Check(t, inTime(with.checks) > inTime(without.checks), quicktest.IsTrue)
	quicktest.Check(t, inTime(with.builds) > inTime(without.builds), quicktest.IsTrue)
}

// Load: 1.8 times the usual builds of all workspaces for 4 s, behind a full pool. Guards against
// rejections of jobs that would have been in time, and against quick jobs that wait for builds.
func TestBurstOfBuildsIsServed(t *testing.T) {
	r := playOverload(t, func(s *simulator.Simulation) {
		s.Surges = []simulator.Surge{{Kind: "build", Factor: 1.8, From: surgeBegin, To: surgeBegin + 4*time.Second}}
	}, 0)
	quicktest.Check(t, inTime(r.checks) >= 0.95, quicktest.IsTrue)
	quicktest.Check(t, inTime(r.builds) >= 0.8, quicktest.IsTrue)
	quicktest.Check(t, r.builds.Rejected+r.checks.Rejected <= r.builds.Jobs/20, quicktest.IsTrue)
}

// Load: half of the targets are away for 5 s. Guards against predictions from the short time
// in which little becomes free.
func TestHalvedCapacityForSecondsRejectsFew(t *testing.T) {
	r := playOverload(t, func(s *simulator.Simulation) {
		s.Shortages = []simulator.Shortage{{Part: 0.5, From: surgeBegin, To: surgeBegin + 5*time.Second}}
	}, 0)
	quicktest.Check(t, inTime(r.checks) >= 0.85, quicktest.IsTrue)
	quicktest.Check(t, inTime(r.builds) >= 0.65, quicktest.IsTrue)
	quicktest.Check(t, r.builds.Rejected+r.checks.Rejected <= r.builds.Jobs/20, quicktest.IsTrue)
}

// newFloodSchedule lets one of five workspaces flood a small cell.
func newFloodSchedule(seed int64, faults simulator.Faults) *simulator.Simulation {
	s := newSchedule(seed, faults)
	s.SharedBy = simulator.EqualWorkspaces(5, 14*smallShare)
	s.Surges = []simulator.Surge{{Workspace: flooder, Factor: 12, From: 3 * time.Second, To: 10 * time.Second}}
	return s
}

// Leaders and targets are lost while a workspace floods a small cell. Guards against jobs that
// run after their rejection, and against accepted ones that never end.
func TestSchedulesOfFloods(t *testing.T) {
	for seed := range seeds(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newFloodSchedule(seed, simulator.Rough)
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}

// All replicas lose power while a workspace floods a small cell, so that many jobs end too late.
// Guards against a job that waits for 3 s while there is room that others might use.
func TestHopelessJobsRunWhenThereIsRoom(t *testing.T) {
	for _, seed := range schedulesOr(48, 93) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newFloodSchedule(seed, outages)
			s.Licensed = true
			s.Run(length)
			quicktest.Assert(t, s.Result.Problems, quicktest.HasLen, 0)
		})
	}
}
