package planner_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
)

// This file tests that avoided interference does not make tasks of mixed sizes wait in a
// full pool.

const (
	mixedSeeds   = 16
	mixedTargets = 20
	maxLonger    = 1.02 // sum of waits with findings, by that without
)

// mixedLoads are in jobs per second; 32.7 would keep all processors of the pool busy.
var mixedLoads = []float64{34, 38, 44, 52}

// newMixedWorld returns an empty cell with findings, if the setting allows them, in which
// jobs with tasks of 2, 4 or 8 cores arrive in the order of a seed.
func newMixedWorld(c *quicktest.C, setting planner.Interference, seed uint64) *interferingWorld {
	w := newInterferingWorld(c, mixedTargets, setting, trueRatios)
	w.run(10*time.Second, 80)
	w.run(7*time.Second, 0)
	c.Assert(w.p.Load(w.now).Waiting, quicktest.Equals, 0)
	c.Assert(w.p.Load(w.now).Interfering >= len(trueRatios), quicktest.Equals, setting == planner.AvoidInterference)
	w.ratios, w.noise = nil, 0.2 // run times don't depend on the target, and no target looks slow
	for id := range w.speeds {
		w.speeds[id] = 1
	}
	w.due, w.waited, w.cores = 0, 0, []int{2, 4, 8}
	w.nextJob, w.random = definer.JobID(100_000*(seed+1)), rand.New(rand.NewPCG(seed, 2))
	return w
}

// waits overloads the cell for 5 s and returns the sum of the waits of all tasks.
func (w *interferingWorld) waits(rate float64) time.Duration {
	w.run(5*time.Second, rate)
	w.c.Assert(w.p.Load(w.now).Waiting > 0, quicktest.IsTrue)
	w.run(10*time.Second, 0)
	w.c.Assert(w.p.Load(w.now).Waiting, quicktest.Equals, 0)
	return w.waited
}

// Larger holes that are taken to avoid neighbours could make large tasks wait longer.
// KNOWN-RED.txt lists this test.
func TestAvoidedInterferenceHardlyDelaysMixedSizesInAFullPool(t *testing.T) {
	if os.Getenv("MASTICROAD_KNOWN_RED") == "" {
		t.Skip("known red")
	}
	for _, rate := range mixedLoads {
		for seed := range uint64(mixedSeeds) {
			t.Run(fmt.Sprintf("load=%v/seed=%d", rate, seed), func(t *testing.T) {
				t.Parallel()
				c := quicktest.New(t)
				usual := newMixedWorld(c, planner.IgnoreInterference, seed).waits(rate)
				spaced := newMixedWorld(c, planner.AvoidInterference, seed).waits(rate)
				longer := spaced.Seconds() / usual.Seconds()
				t.Logf("%v instead of %v, %.4f", spaced, usual, longer)
				c.Check(longer <= maxLonger, quicktest.IsTrue, quicktest.Commentf("%v instead of %v, %.4f", spaced, usual, longer))
			})
		}
	}
}

// A finding that acts while tasks of any size wait could take the hole that one waits for.
func TestFindingsDoNotActWhileTasksOfMixedSizesWait(t *testing.T) {
	for _, rate := range mixedLoads {
		t.Run(fmt.Sprintf("load=%v", rate), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			w := newMixedWorld(c, planner.AvoidInterference, 0)
			before, waited, acted := w.spaced, 0, 0
			for range 10 * time.Second / worldTick {
				waiting, spaced := w.p.Load(w.now).Waiting, w.spaced
				w.run(worldTick, rate)
				if waiting > 0 {
					waited++
					acted += w.spaced - spaced
				}
			}
			c.Check(acted, quicktest.Equals, 0)
			c.Check(waited > 100, quicktest.IsTrue, quicktest.Commentf("tasks waited in %d rounds", waited))
			c.Check(w.spaced > before, quicktest.IsTrue, quicktest.Commentf("the findings had no influence while there was room"))
		})
	}
}
