package placer_test

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/placer"
	"masticroad/internal/control/registrar"
)

func targets(n int, capacity registrar.Need, slots int) []*placer.Target {
	var out []*placer.Target
	for i := range n {
		t := &placer.Target{
			Name: registrar.TargetName(fmt.Sprintf("t%d", i)), Zone: registrar.ZoneName(fmt.Sprint("z", i%3)),
			Rack: registrar.RackName(fmt.Sprint("r", i/8)), Capacity: capacity, Free: capacity, FreeSlots: slots, Schedulable: true,
		}
		t.UpdateInverse()
		out = append(out, t)
	}
	return out
}

type mix struct {
	name     string
	capacity registrar.Need
	needs    []registrar.Need
}

// mixes holds the workloads of both users. The tests give targets so many slots
// that only CPU and memory limit the packing.
var mixes = []mix{
	{"shops", registrar.Need{CPU: 16000, Memory: 32768}, []registrar.Need{{CPU: 500, Memory: 256}, {CPU: 2000, Memory: 4096}, {CPU: 4000, Memory: 8192}, {CPU: 1000, Memory: 6144}}},
	{"fjordstrikk", registrar.Need{CPU: 64000, Memory: 262144}, []registrar.Need{{CPU: 8000, Memory: 16384}, {CPU: 1000, Memory: 1024}, {CPU: 2000, Memory: 24576}, {CPU: 16000, Memory: 65536}}},
}

// utilizationAtFirstRefusal fills 50 targets until a task finds no feasible
// target, although it would fit on an empty one. It returns the fraction of the
// scarcest resource that is then in use.
func utilizationAtFirstRefusal(m mix, pick func([]*placer.Target, *placer.Requirements) *placer.Target, seed int64) float64 {
	r := rand.New(rand.NewSource(seed))
	candidates := targets(50, m.capacity, 1<<20)
	for {
		need := m.needs[r.Intn(len(m.needs))]
		t := pick(candidates, &placer.Requirements{Need: need})
		if t == nil {
			break
		}
		t.Charge(need)
	}
	var used, total registrar.Need
	for _, t := range candidates {
		used, total = used.Plus(t.Capacity.Minus(t.Free)), total.Plus(t.Capacity)
	}
	return used.DominantShare(total)
}

func pickerOf(name placer.Name) func([]*placer.Target, *placer.Requirements) *placer.Target {
	return func(candidates []*placer.Target, w *placer.Requirements) *placer.Target {
		return placer.PickNamed(name, candidates, w)
	}
}

// The goal is that at least 95 % of the scarcest resource is in use before a
// task that would fit on an empty target is refused.
func TestBestFitUses95PercentBeforeRefusal(t *testing.T) {
	for _, m := range mixes {
		t.Run(m.name, func(t *testing.T) {
			c := quicktest.New(t)
			for seed := range int64(20) {
				used := utilizationAtFirstRefusal(m, pickerOf(placer.NameBestFit), seed)
				c.Check(used >= 0.95, quicktest.IsTrue, quicktest.Commentf("seed %d: %.3f", seed, used))
			}
		})
	}
}

func TestBestFitPacksAtLeastAsDenselyAsRandom(t *testing.T) {
	for _, m := range mixes {
		sums := make(map[placer.Name]float64)
		for seed := range int64(20) {
			for _, name := range []placer.Name{placer.NameBestFit, placer.NameFirstFit, placer.NameRandom, placer.NameSpread} {
				sums[name] += utilizationAtFirstRefusal(m, pickerOf(name), seed) / 20
			}
		}
		t.Logf("%s: %v", m.name, sums)
		quicktest.Assert(t, sums[placer.NameBestFit] >= sums[placer.NameRandom], quicktest.IsTrue)
	}
}

func TestPickAllPicksForAllTasksOrNone(t *testing.T) {
	c := quicktest.New(t)
	candidates := targets(3, registrar.Need{CPU: 10, Memory: 10}, 8)
	w := &placer.Requirements{Need: registrar.Need{CPU: 4, Memory: 1}}
	c.Assert(placer.PickAll(candidates, w, 6), quicktest.HasLen, 6)
	c.Assert(placer.PickAll(candidates, w, 7), quicktest.IsNil)
	for _, x := range candidates {
		c.Assert(x.Free, quicktest.Equals, x.Capacity) // no charge is left
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 200, 580} {
		for _, name := range []placer.Name{placer.NameBestFit, placer.NameFirstFit, placer.NameSpread} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, n), func(b *testing.B) {
				candidates := targets(n, mixes[0].capacity, 8)
				w := &placer.Requirements{Need: registrar.Need{CPU: 500, Memory: 256}}
				b.ReportAllocs()
				for b.Loop() {
					t := placer.PickNamed(name, candidates, w)
					if t == nil {
						candidates = targets(n, mixes[0].capacity, 8)
						continue
					}
					t.Charge(w.Need)
				}
			})
		}
	}
}
