package planner

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file restores long-running steps of which tasks have lost their runs. The
// time for that is bounded however full the cell is, so these steps precede all
// others. Being first in a pass isn't enough: the licensing service answers
// up to a second after capacity has become free, and a large task needs more
// capacity than one end releases. The steps therefore keep tickets for targets
// that are full at present, and hold capacity that becomes free. So do long-running
// steps that have waited long for their first runs, in the order of their priority.

const (
	// maxFirstWait is how long a long-running task waits for its first run before
	// capacity is held for it.
	maxFirstWait = 6 * time.Second
	// ticketsPerTask is how many tickets for full targets a step keeps per waiting
	// task. Any of these targets may be the next one with an end of a run.
	ticketsPerTask = 4
	minTickets     = 8
	// renewBefore is the remaining validity at which a ticket is renewed: the time
	// that the licensing service takes to answer.
	renewBefore = time.Second
)

// stepsToRestore returns the long-running steps of which a task has lost its run, the
// one with the oldest waiting task first. It marks them, and the steps for which
// capacity is held.
func (p *Planner) stepsToRestore(now Moment) []*step {
	out := make([]*step, 0, len(p.stepsByPriority))
	for _, s := range p.stepsByPriority {
		s.restoring, s.holding = false, false
		if !s.def.LongRunning || len(s.waiting) == 0 {
			continue
		}
		if s.restoring = s.hasLostRun(); s.restoring {
			out = append(out, s)
		}
		s.holding = s.restoring || now.Monotonic.Sub(s.oldestWait(now)) >= maxFirstWait
	}
	slices.SortStableFunc(out, func(a, b *step) int { return a.oldestWait(now).Compare(b.oldestWait(now)) })
	return out
}

// hasLostRun reports whether a waiting task of the step has had a run.
func (s *step) hasLostRun() bool {
	return slices.ContainsFunc(s.waiting, func(w waitingTask) bool { return s.rec.Tasks[w.index].LastRun > 0 })
}

// fullCandidates returns targets without free capacity for which a step should have
// tickets before there is some: those that are known to admit it first, and of
// these the ones with the most free capacity.
func (p *Planner) fullCandidates(s *step, pl *pool, waiting int, now Moment) []option {
	var options []option
	have := 0
	for _, t := range pl.targets {
		admitted, asked := s.admitted[t.rec.ID]
		if asked && !admitted || !p.mayRunLater(s, pl, t, now) || p.fits(s, t) {
			continue
		}
		if s.tickets[t.rec.ID].validFor(renewBefore, now) {
			have++
			continue
		}
		cost := p.shortfall(s, t)
		if !admitted {
			cost += unknownPenalty
		}
		options = append(options, option{t.rec.ID, cost})
	}
	slices.SortStableFunc(options, compareOptions)
	n := max(ticketsPerTask*waiting, minTickets) - have
	return options[:min(max(n, 0), len(options))]
}

// unknownPenalty ranks targets that may not admit a step behind all that do.
const unknownPenalty = 2.0 // a shortfall is at most 1

// mayRunLater reports whether one more task of a step may start on a target once
// the target has free capacity.
func (p *Planner) mayRunLater(s *step, pl *pool, t *target, now Moment) bool {
	return p.isEligible(s, t, now) && s.def.Charge().FitsIn(t.rec.Capacity) && !s.job.avoids(t, len(pl.targets), now) &&
		(s.def.MaxPerTarget == 0 || p.runsOf(s, t) < s.def.MaxPerTarget)
}

// shortfall returns the capacity that a target lacks for one more task of a step, as
// a share of its capacity: 0 if the task fits, 1 if it needs an empty target and this
// one is full.
func (p *Planner) shortfall(s *step, t *target) float64 {
	return s.def.Charge().Minus(t.free()).DominantShare(t.rec.Capacity)
}

// holdCapacity holds capacity for the waiting tasks of a step until the next pass,
// each on the target that lacks the least. For a queue that needs tickets, only
// targets that are known to admit the step are considered.
func (p *Planner) holdCapacity(s *step, pl *pool, now Moment) {
	var options []option
	for _, t := range pl.targets {
		if s.job.rec.Queue.Licence.Required && !s.admitted[t.rec.ID] || !p.mayRunLater(s, pl, t, now) {
			continue
		}
		cost := p.shortfall(s, t)
		if s.job.rec.Queue.Licence.Required && !s.tickets[t.rec.ID].valid(now) {
			cost += noTicketPenalty
		}
		options = append(options, option{t.rec.ID, cost})
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Or(compareOptions(a, b), cmp.Compare(a.id, b.id)) })
	for i := range min(len(options), len(s.waiting)) {
		t := p.targets[options[i].id]
		t.held = t.held.Plus(s.def.Charge())
		p.holding = append(p.holding, t)
	}
}

// noTicketPenalty makes up for the time until there is a ticket, in which about an
// eighth of the runs on a target end.
const noTicketPenalty = 0.125

// releaseHolds releases the capacity that the previous pass held.
func (p *Planner) releaseHolds() {
	for _, t := range p.holding {
		t.held = registrar.Need{}
	}
	p.holding = p.holding[:0]
}
