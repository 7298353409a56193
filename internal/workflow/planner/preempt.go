package planner

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file implements preemption: runs of queues with lower priority are stopped
// when a step has found no capacity for some time. Only runs that make
// checkpoints, which a stop saves, and runs that have just started are stopped,
// since they lose the least work.

const (
	preemptMargin = 250 * time.Millisecond // in addition to StopTime, until a step may preempt again
	maxPreempted  = 2                      // preemptions of one task
	freshRunAge   = 600 * time.Millisecond // age below which a run loses little work
)

// preempt stops runs to free capacity for the waiting tasks of a step.
func (p *Planner) preempt(s *step, pl *pool, now Moment) {
	if !p.needsPreemption(s, pl, now) || now.Monotonic.Before(s.preemptAt) {
		return
	}
	waited := now.Monotonic.Sub(s.waitingSince)
	missing := min(len(s.waiting), p.startsWithinLimit(s, 0))
	wanted := missing
	for missing > 0 {
		t, victims := p.cheapestPreemption(s, pl, now)
		if t == nil {
			break
		}
		for _, r := range victims {
			p.Counters.Preempted++
			r.job.preempted[r.key.task]++
			p.log("run preempted", "task", r.key.task.String(), "target", t.rec.ID, "for", s.id.String(), "waited", waited.Milliseconds(),
				"percent", r.percent, "saves", r.def.Checkpointing)
			p.stop(r, "preempted", now)
		}
		missing--
	}
	if missing < wanted {
		s.preemptAt = now.Monotonic.Add(p.Settings.StopTime + preemptMargin)
	}
}

// needsPreemption reports whether a step has waited for capacity long enough to
// preempt runs, and can still meet its objective.
func (p *Planner) needsPreemption(s *step, pl *pool, now Moment) bool {
	if p.Limits.PreemptAfter < 0 || !p.withinLimit(s) || now.Monotonic.Sub(s.waitingSince) < p.Limits.PreemptAfter || s.def.Gang || s.def.LongRunning || s.latestStart.Before(now.Monotonic) {
		return false
	}
	for _, t := range pl.targets {
		if p.isEligible(s, t, now) && p.fits(s, t) && (s.grants.mayAdmit(t) || !s.job.rec.Queue.Licence.Required) {
			return false // there is capacity; the step waits for a ticket
		}
	}
	return true
}

// preemptionTargets returns the targets for which a step needs tickets before runs
// are preempted there for it, ordered by the work that would be lost.
func (p *Planner) preemptionTargets(s *step, pl *pool, tasks int, now Moment) []tracker.TargetID {
	if !p.needsPreemption(s, pl, now) {
		return nil
	}
	var options []option
	for _, t := range pl.targets {
		if !p.isEligible(s, t, now) || s.grants.ticket(t).valid(now) || !s.grants.mayAdmit(t) {
			continue
		}
		if _, cost, ok := p.victims(s, t, now); ok {
			options = append(options, option{t.rec.ID, cost})
		}
	}
	slices.SortStableFunc(options, compareOptions)
	return idsOf(options[:min(len(options), max(tasks*targetsPerTask, minTargetsPerRequest), maxTargetsPerRequest)])
}

// cheapestPreemption returns the target on which making room for one task of the
// step loses the least work, and the runs to stop there.
func (p *Planner) cheapestPreemption(s *step, pl *pool, now Moment) (*target, []*run) {
	var best *target
	var bestVictims []*run
	bestCost := 0.0
	for _, t := range pl.targets {
		if !p.isEligibleWithTicket(s, t, now) || p.avoids(s, pl, t, now) || s.def.MaxPerTarget > 0 && p.runsOf(s, t) >= s.def.MaxPerTarget {
			continue
		}
		victims, cost, ok := p.victims(s, t, now)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = t, victims, cost
		}
	}
	return best, bestVictims
}

// victims returns the runs to stop on a target for one more task of a step, and
// the work that is lost, in processor seconds. Runs that are being stopped already
// count as free capacity.
func (p *Planner) victims(s *step, t *target, now Moment) (out []*run, cost float64, ok bool) {
	free := t.rec.Capacity.Minus(t.used)
	var preemptible []*run
	for _, r := range t.sortedRuns() {
		switch {
		case r.stopping:
			free = free.Plus(r.charge)
		case p.mayPreempt(s, r, now):
			preemptible = append(preemptible, r)
		}
	}
	need := s.def.Charge()
	if need.FitsIn(free) {
		return nil, 0, false // enough capacity becomes free without another stop
	}
	slices.SortStableFunc(preemptible, func(a, b *run) int { return cmp.Compare(lostWork(a, now), lostWork(b, now)) })
	for _, r := range preemptible {
		out = append(out, r)
		cost += lostWork(r, now)
		if free = free.Plus(r.charge); need.FitsIn(free) {
			return out, cost, true
		}
	}
	return nil, 0, false
}

// mayPreempt reports whether a run may be preempted for a step.
func (p *Planner) mayPreempt(s *step, r *run, now Moment) bool {
	if r.job.rec.Queue.Priority <= s.priority || r.state != runStarted || r.def.Gang || r.def.LongRunning || r.job.preempted[r.key.task] >= maxPreempted {
		return false
	}
	return r.def.Checkpointing || now.Monotonic.Sub(r.startedAt) < freshRunAge
}

// lostWork returns the work that a stop of a run loses, in processor seconds.
func lostWork(r *run, now Moment) float64 {
	lost := now.Monotonic.Sub(r.startedAt)
	if r.def.Checkpointing {
		lost = restoreTime
	}
	return lost.Seconds() * float64(r.def.Need.CPU) / milliPerCPU
}

const (
	restoreTime = 600 * time.Millisecond // to start from a checkpoint; the longest in the first deployments
	milliPerCPU = 1000
)
