package planner

import (
	"cmp"
	"iter"
	"slices"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file bounds the cost of a pass over many waiting steps. A pass determines the
// schedulable targets of a pool once, and orders them by their free processors: in a busy
// cell few have room for a task, and a step looks at no others. When none has capacity
// for a need, no step that needs as much or more is tried again in that pass.

// poolScan caches what a pass has found out about a pool.
type poolScan struct {
	roomy      []roomyTarget      // schedulable targets, those with the most free processors first
	infeasible []registrar.Need   // needs for which none of them has capacity
	largest    registrar.MilliCPU // capacity of one of them
	charged    []*target          // by placements since the pass looked
	// free and capacity are the sums over them; not determined while interference is ignored.
	free, capacity registrar.Need
}

// roomyTarget is a schedulable target with its free processors when the pass looked. A
// placement takes some of them since; capacityReturned discards the scan.
type roomyTarget struct {
	*target
	cpu      registrar.MilliCPU
	left     registrar.Need // of its capacity, held or not
	capacity registrar.Need
}

// leastScore returns the score of a target for a step that takes part of its capacity, its
// health and distance aside, which only add to it.
func (t *roomyTarget) leastScore(charge registrar.Need) float64 {
	return t.left.Minus(charge).DominantShare(t.capacity)
}

// isLike reports whether two targets have the same score, their health and distance aside.
func (t *roomyTarget) isLike(u *roomyTarget) bool {
	return t.cpu == u.cpu && t.left == u.left && t.capacity == u.capacity
}

// beginPass discards the results of the previous pass.
func (p *Planner) beginPass() {
	for name, v := range p.scans {
		p.spareRoomy[name] = v.roomy[:0]
	}
	clear(p.scans)
	clear(p.sought)
	p.proxiesFull = false
}

func (p *Planner) poolScan(pl *pool, now Moment) *poolScan {
	v := p.scans[pl.name]
	if v == nil {
		v = newPoolScan(pl, p.spareRoomy[pl.name], now)
		delete(p.spareRoomy, pl.name)
		if p.images != nil {
			v.sumCapacity()
		}
		p.scans[pl.name] = v
	}
	return v
}

func (v *poolScan) sumCapacity() {
	for _, t := range v.roomy {
		v.free, v.capacity = v.free.Plus(t.free()), v.capacity.Plus(t.rec.Capacity)
	}
}

// isAmple reports whether a large part of the schedulable targets' capacity is free.
func (v *poolScan) isAmple() bool {
	return float64(v.free.CPU) >= ampleRoom*float64(v.capacity.CPU) && float64(v.free.Memory) >= ampleRoom*float64(v.capacity.Memory)
}

// capacityTaken is called for each placement, as one pass may fill the pool.
func (p *Planner) capacityTaken(name definer.PoolName, need registrar.Need) {
	if v := p.scans[name]; v != nil {
		v.free = v.free.Minus(need)
	}
}

// newPoolScan looks at a pool. It uses the memory of a list of an earlier pass.
func newPoolScan(pl *pool, spare []roomyTarget, now Moment) *poolScan {
	v := &poolScan{roomy: slices.Grow(spare, len(pl.targets))}
	for _, t := range pl.targets {
		if t.schedulable(now) {
			v.roomy = append(v.roomy, roomyTarget{t, t.free().CPU, t.rec.Capacity.Minus(t.used), t.rec.Capacity})
			v.largest = max(v.largest, t.rec.Capacity.CPU)
		}
	}
	slices.SortStableFunc(v.roomy, func(a, b roomyTarget) int { return cmp.Compare(b.cpu, a.cpu) })
	return v
}

// withRoom returns the targets that may have capacity for a need.
func (v *poolScan) withRoom(need registrar.Need) []roomyTarget {
	n, _ := slices.BinarySearchFunc(v.roomy, need.CPU, func(t roomyTarget, cpu registrar.MilliCPU) int {
		if t.cpu >= cpu {
			return -1
		}
		return 1
	})
	return v.roomy[:n]
}

// tightest yields the targets that may have capacity for a need, those with the fewest free
// processors first, and among equals by id.
func (v *poolScan) tightest(need registrar.Need) iter.Seq[*roomyTarget] {
	return func(yield func(*roomyTarget) bool) {
		rest := v.withRoom(need)
		for len(rest) > 0 {
			i := len(rest) - 1
			for i > 0 && rest[i-1].cpu == rest[i].cpu {
				i--
			}
			for k := range rest[i:] {
				if !yield(&rest[i+k]) {
					return
				}
			}
			rest = rest[:i]
		}
	}
}

// recordCharge records that a placement has taken capacity of a target. What the scan says
// of its free processors no longer bounds its score.
func (p *Planner) recordCharge(t *target) {
	if v := p.scans[t.rec.Pool]; v != nil && t.chargedIn != v {
		t.chargedIn = v
		v.charged = append(v.charged, t)
	}
}

// shareOfLargest returns the part that processors are at least of the capacity of a target.
func (v *poolScan) shareOfLargest(cpu registrar.MilliCPU) float64 {
	if cpu <= 0 || v.largest <= 0 {
		return 0
	}
	return float64(cpu) / float64(v.largest)
}

// capacityReturned is called when capacity is released during a pass.
func (p *Planner) capacityReturned(name definer.PoolName) { delete(p.scans, name) }

// knownInfeasible reports whether a step with the same or a smaller need has
// found no capacity earlier in the pass.
func (v *poolScan) knownInfeasible(need registrar.Need) bool {
	for _, f := range v.infeasible {
		if f.FitsIn(need) {
			return true
		}
	}
	return false
}

// isUnconstrained reports whether only a lack of capacity can keep a step off a
// target, so that its result holds for other steps too.
func (s *step) isUnconstrained() bool {
	return s.def.Label == "" && s.rack == "" && s.def.MaxPerTarget == 0 && !s.def.BestEffortCPU && !s.def.LongRunning && len(s.job.failures) == 0
}
