package decider

import (
	"time"

	"masticroad/internal/control/admitter"
	"masticroad/internal/control/predictor"
	"masticroad/internal/control/queuer"
	"masticroad/internal/control/registrar"
)

// This file frees capacity for urgent tasks by preempting batch tasks, which
// checkpoint and stop. All victims are on one target, chosen so that the least
// work is lost: a batch task that ran for a minute goes before one that ran for
// an hour. A policy bounds how often one task is preempted.

// preemptRetryInterval is the time after which capacity is freed a second time
// for the same item.
const preemptRetryInterval = 5 * time.Second

func workOfItem(it *queuer.Item) predictor.Work {
	return predictor.Work{Caller: it.Caller, Job: it.Job, Class: it.Class}
}

func (d *Decider) preempt(it *queuer.Item, charge registrar.Need, now time.Time) {
	if !d.policies.Preemption || it.Class != registrar.Urgent && !d.reclaimsQuota(it, charge) {
		return
	}
	waited := time.Duration(registrar.MillisOf(now)-it.Since) * time.Millisecond
	if waited < d.policies.PreemptAfter || now.Before(d.nextPreemption[it.ID]) {
		return
	}
	victims := d.cheapestVictims(it, charge, now)
	if victims == nil {
		return
	}
	d.nextPreemption[it.ID] = now.Add(preemptRetryInterval)
	d.Counters.Preempted += len(victims)
	for _, t := range victims {
		d.stop(t, reasonPreempted, false, VerbCheckpoint, now)
	}
}

// reclaimsQuota reports whether an item fits its caller's quota, so that it may
// take back capacity that others have borrowed.
func (d *Decider) reclaimsQuota(it *queuer.Item, charge registrar.Need) bool {
	c := d.State.Callers[it.Caller]
	if c == nil || c.Quota.IsZero() || !d.policies.Borrow || it.Class == registrar.Batch {
		return false
	}
	return admitter.QuotaAllows(c.Quota, d.usedByCaller[it.Caller], charge)
}

// cheapestVictims returns the tasks to preempt on the target where that loses
// the least work, or nil.
func (d *Decider) cheapestVictims(it *queuer.Item, charge registrar.Need, now time.Time) []*registrar.Task {
	var best []*registrar.Task
	bestLoss := 0.0
	for _, p := range d.aliveTargets {
		if !p.Schedulable || it.Region != "" && it.Region != p.Region || !charge.FitsIn(p.Capacity) {
			continue
		}
		victims, loss := d.victimsOn(p.Name, it, p.Free, p.FreeSlots, charge, now)
		if victims != nil && (best == nil || loss < bestLoss) {
			best, bestLoss = victims, loss
		}
	}
	return best
}

func (d *Decider) victimsOn(name registrar.TargetName, it *queuer.Item, free registrar.Need, slots int, charge registrar.Need, now time.Time) ([]*registrar.Task, float64) {
	var chosen []*registrar.Task
	loss := 0.0
	taken := make(map[registrar.TaskID]bool)
	for !charge.FitsIn(free) || slots <= 0 {
		t, cost := d.cheapestOn(name, it, taken, now)
		if t == nil {
			return nil, 0
		}
		taken[t.ID] = true
		chosen = append(chosen, t)
		loss += cost
		free = free.Plus(t.Charge)
		slots++
	}
	return chosen, loss
}

func (d *Decider) cheapestOn(name registrar.TargetName, it *queuer.Item, taken map[registrar.TaskID]bool, now time.Time) (*registrar.Task, float64) {
	var best *registrar.Task
	bestLoss := 0.0
	for _, t := range d.State.ByTarget[name] {
		if taken[t.ID] || !d.mayPreempt(t, it) {
			continue
		}
		loss := d.lossOf(t, now)
		if best == nil || loss < bestLoss || loss == bestLoss && t.ID < best.ID {
			best, bestLoss = t, loss
		}
	}
	return best, bestLoss
}

func (d *Decider) mayPreempt(t *registrar.Task, it *queuer.Item) bool {
	if t.Once || t.Stopping || t.Kind == registrar.KindService || t.Kind == registrar.KindAllAtOnce {
		return false
	}
	if d.round.touched[t.ID] || t.Preempted >= d.policies.MaxPreemptions || t.Class <= it.Class {
		return false
	}
	if it.Class == registrar.Urgent {
		return t.Class == registrar.Batch
	}
	return t.Class == registrar.Batch && d.isBorrowing(t.Caller)
}

func (d *Decider) isBorrowing(name registrar.CallerName) bool {
	c := d.State.Callers[name]
	return c != nil && !admitter.QuotaAllows(c.Quota, d.usedByCaller[name], registrar.Need{})
}

// lossOf returns the cost of preempting an attempt, in CPU seconds of lost
// work. The cost rises with each earlier preemption of the task and falls if
// its caller has borrowed capacity.
func (d *Decider) lossOf(t *registrar.Task, now time.Time) float64 {
	ran := now.Sub(t.Since.Time()).Seconds()
	loss := ran * float64(max(t.Charge.CPU, 1)) / 1000 * float64(1+t.Preempted)
	if d.isBorrowing(t.Caller) {
		loss *= borrowedLossFactor
	}
	return loss
}

const borrowedLossFactor = 0.1
