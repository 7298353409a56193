package planner

import (
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file implements rack affinity: a step runs on the rack of its data, or with
// all tasks on one rack. If that rack has no free capacity, the step waits for a
// part of the time that it would lose elsewhere, then runs on any rack.

const (
	// maxRackWait bounds the wait for a rack. Callers may rely on no task waiting for
	// 3 s while there is free capacity.
	maxRackWait = 1500 * time.Millisecond
	// rackWaitShare is the wait as a fraction of the time that would be lost elsewhere.
	rackWaitShare = 0.5
)

// requiredRack returns the rack on which the step's next tasks have to run, or an
// empty string for any rack.
func (p *Planner) requiredRack(s *step, pl *pool, now Moment) string {
	switch {
	case s.def.Rack == "" && !s.def.RackLocal:
		return ""
	case now.Monotonic.Sub(s.waitingSince) >= p.rackWait(s):
		return ""
	case s.def.Rack != "":
		if p.rackHasEligibleTarget(s, pl, s.def.Rack, now) {
			return s.def.Rack
		}
		return ""
	}
	return p.commonRack(s, pl, now)
}

// rackWait returns how long a step waits for its rack.
func (p *Planner) rackWait(s *step) time.Duration {
	expected := p.estimateBiasOf(s.job.rec.Queue.Name).adjust(s.def.Estimate)
	lost := time.Duration(max(p.Settings.RemoteFactor-1, 0)) * expected
	return min(time.Duration(rackWaitShare*float64(lost)), maxRackWait)
}

// rackHasEligibleTarget reports whether a rack has a target that could run a task
// of the step once it has free capacity.
func (p *Planner) rackHasEligibleTarget(s *step, pl *pool, rack string, now Moment) bool {
	for _, t := range pl.targets {
		if t.rec.Rack == rack && t.schedulable(now) && t.passesHealthCheck(now) && s.def.Charge().FitsIn(t.rec.Capacity) &&
			(s.def.Label == "" || t.rec.HasLabel(s.def.Label)) {
			return true
		}
	}
	return false
}

// commonRack returns the rack for a step whose tasks should share one: the rack on
// which some of them run already, else the rack with the least free capacity that
// suffices for all of them. It is empty if there is none.
func (p *Planner) commonRack(s *step, pl *pool, now Moment) string {
	for i := range s.rec.Tasks {
		for _, x := range s.rec.Tasks[i].Runs {
			if r := s.job.runs[runKey{s.id.Task(i), x.Number}]; r != nil {
				return r.target.rec.Rack
			}
		}
	}
	capacity := make(map[string]int)
	for _, t := range pl.targets {
		if t.schedulable(now) && t.passesHealthCheck(now) && (s.def.Label == "" || t.rec.HasLabel(s.def.Label)) {
			capacity[t.rec.Rack] += p.taskCapacity(s, t)
		}
	}
	best := ""
	racks := make([]string, 0, len(capacity))
	for rack := range capacity {
		racks = append(racks, rack)
	}
	slices.Sort(racks)
	for _, rack := range racks {
		if capacity[rack] >= len(s.waiting) && (best == "" || capacity[rack] < capacity[best]) {
			best = rack
		}
	}
	return best
}

// taskCapacity returns how many more tasks of a step fit on a target.
func (p *Planner) taskCapacity(s *step, t *target) int {
	free, need := t.free(), s.def.Charge()
	n := len(s.waiting)
	if s.def.MaxPerTarget > 0 {
		n = min(n, s.def.MaxPerTarget-p.runsOf(s, t))
	}
	n = min(n, countFitting(free.CPU, need.CPU, n), countFitting(free.Memory, need.Memory, n), countFitting(free.Accelerators, need.Accelerators, n))
	return max(n, 0)
}

// countFitting returns how many times a need fits into free, or otherwise if the
// need is zero.
func countFitting[T registrar.MilliCPU | registrar.MiB | registrar.Accelerators](free, need T, otherwise int) int {
	if need <= 0 {
		return otherwise
	}
	return int(free / need)
}
