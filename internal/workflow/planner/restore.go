package planner

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/tracker"
)

// This file restores long-running tasks that have lost their runs. The time for that
// is bounded however full the cell is, so they precede all other tasks. Being first
// in a pass isn't enough: the licensing service answers up to a second after
// capacity has become free, and a large task needs more capacity than one end
// releases. Their steps therefore keep tickets for targets that are full at
// present, and hold capacity that becomes free. So do long-running steps that have
// waited long for their first runs, in the order of their priority.

const (
	// maxFirstWait is how long a long-running task waits for its first run before
	// capacity is held for it.
	maxFirstWait = 6 * time.Second
	// ticketsPerTask is how many tickets for full targets a step keeps per waiting
	// task. Any of these targets may be the next one with an end of a run.
	ticketsPerTask = 4
	minTickets     = 8
	// maxHolders bounds the time of a pass, since each step that holds capacity looks
	// at all targets.
	maxHolders = 8
	// renewBefore is the time before a ticket or a lease expires at which tickets are
	// requested: as long as the licensing service takes to answer.
	renewBefore = time.Second
)

// stepsToRestore returns the long-running steps with tasks that have lost their runs,
// the one with the oldest loss first. It also marks the steps for which capacity is
// held.
func (p *Planner) stepsToRestore(now Moment) []*step {
	var out []*step
	for _, s := range p.stepsByPriority {
		s.lostRuns, s.holding = 0, false
		if !s.def.LongRunning || len(s.waiting) == 0 || s.job.rec.State.Ended() {
			continue
		}
		s.countLostRuns()
		if s.lostRuns > 0 {
			out = append(out, s)
		}
		s.holding = s.lostRuns > 0 || now.Monotonic.Sub(s.oldestWait(now)) >= maxFirstWait
	}
	slices.SortStableFunc(out, func(a, b *step) int { return a.waiting[0].since.Compare(b.waiting[0].since) })
	return out
}

// countLostRuns sets lostRuns and moves those tasks to the front, the oldest loss
// first. Tasks whose runs fail at once don't count.
func (s *step) countLostRuns() {
	runRank := func(w waitingTask) int {
		if s.rec.Tasks[w.index].LastRun > 0 && s.quickFailures[w.index] < maxQuickFailures {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(s.waiting, func(a, b waitingTask) int { return cmp.Or(runRank(a)-runRank(b), a.since.Compare(b.since)) })
	for s.lostRuns < len(s.waiting) && runRank(s.waiting[s.lostRuns]) == 0 {
		s.lostRuns++
	}
}

// refreshEndangered finds the steps that are about to lose runs. Leases expire in seconds,
// so that it does not look in each pass.
func (p *Planner) refreshEndangered(now Moment) {
	p.endangered, p.endangeredRuns = p.endangeredSteps(now)
}

// endangeredSteps returns the long-running steps with runs on targets whose leases
// are about to expire, ordered by id, and the number of those runs.
func (p *Planner) endangeredSteps(now Moment) ([]*step, map[*step]int) {
	counts := make(map[*step]int)
	var steps []*step
	for _, t := range p.targets {
		if t.responsive || len(t.runs) == 0 || t.leaseEnd.Sub(now.Monotonic) > renewBefore {
			continue
		}
		for _, r := range t.runs {
			s := p.steps[r.key.task.StepID()]
			if s == nil || !s.def.LongRunning || s.def.Gang || r.stopping {
				continue
			}
			if counts[s] == 0 {
				steps = append(steps, s)
			}
			counts[s]++
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Occurrence, b.id.Occurrence), cmp.Compare(a.id.Step, b.id.Step))
	})
	return steps, counts
}

// prepareRestore requests tickets and holds capacity for runs that are about to be
// given up, so that their tasks start elsewhere at once.
func (p *Planner) prepareRestore(now Moment) {
	for _, s := range p.endangered {
		runs := min(p.endangeredRuns[s], p.startsWithinLimit(s, p.endangeredRuns[s]))
		if pl := p.pools[s.pool]; pl != nil && p.steps[s.id] == s && runs > 0 {
			s.holding = true
			p.findCapacity(s, pl, runs, now)
			p.holdCapacity(s, pl, runs, now)
		}
	}
}

// requestOverdueTickets requests tickets for long-running steps that have waited long
// for a run, before steps of a higher priority take all calls to the licensing
// service. The one that has waited longest comes first.
func (p *Planner) requestOverdueTickets(now Moment) {
	var overdue []*step
	for _, s := range p.stepsByPriority {
		if s.holding && !s.def.Gang {
			overdue = append(overdue, s)
		}
	}
	slices.SortStableFunc(overdue, func(a, b *step) int { return a.oldestWait(now).Compare(b.oldestWait(now)) })
	for _, s := range overdue[:min(len(overdue), maxHolders)] {
		tasks := min(len(s.waiting), p.startsWithinLimit(s, 0))
		if pl := p.pools[s.pool]; pl != nil && tasks > 0 {
			s.rack = p.requiredRack(s, pl, now)
			p.findCapacity(s, pl, tasks, now)
		}
	}
}

// recordQuickFailure counts the runs of a long-running task that fail in a row soon
// after they have started. After some of them the task loses its precedence, as it
// would occupy its targets again and again.
func (s *step) recordQuickFailure(r *run, how tracker.End, now Moment) {
	if !s.def.LongRunning || how != tracker.EndFailed {
		return
	}
	if now.Monotonic.Sub(r.orderedAt) >= quickFailureTime {
		delete(s.quickFailures, r.key.task.Index)
		return
	}
	if s.quickFailures == nil {
		s.quickFailures = make(map[int]int)
	}
	s.quickFailures[r.key.task.Index]++
}

const (
	quickFailureTime = 2 * time.Second // after the order; a task is ready within a second
	maxQuickFailures = 3
)

// fullCandidates returns targets without free capacity for which a step should have
// tickets before there is some: those that are known to admit it first, and of
// these the ones with the most free capacity.
func (p *Planner) fullCandidates(s *step, pl *pool, waiting int, now Moment) []option {
	isFull := func(t *target) bool {
		return t.rec.Pool == pl.name && s.grants.mayAdmit(t) && p.mayRunLater(s, pl, t, now) && !p.fits(s, t)
	}
	most := max(ticketsPerTask*waiting, minTickets)
	for i := range s.grants.tickets {
		if x := &s.grants.tickets[i]; x.validFor(renewBefore, now) && isFull(x.target) {
			most--
		}
	}
	found := shortlist{most: min(most, maxTargetsPerRequest)}
	for _, t := range s.grants.admitted {
		if !s.grants.ticket(t).validFor(renewBefore, now) && isFull(t) {
			found.add(option{t.rec.ID, p.shortfall(s, t)})
		}
	}
	v, need := p.poolScan(pl, now), s.def.Charge().CPU
	for _, x := range v.roomy {
		// The others lack more processors.
		if found.excludes(option{x.rec.ID, v.shareOfLargest(need-x.cpu) + unknownPenalty}) && need > x.cpu {
			break
		}
		if s.grants.of(x.target) == unasked && isFull(x.target) {
			found.add(option{x.rec.ID, p.shortfall(s, x.target) + unknownPenalty})
		}
	}
	return found.options
}

// unknownPenalty ranks targets that may not admit a step behind all that do.
const unknownPenalty = 2.0 // a shortfall is at most 1

// mayRunLater reports whether one more task of a step may start on a target once
// the runs there that end by themselves have done so.
func (p *Planner) mayRunLater(s *step, pl *pool, t *target, now Moment) bool {
	return s.def.Charge().FitsIn(t.freeLater()) && p.isEligible(s, t, now) && !p.avoids(s, pl, t, now) &&
		(s.def.MaxPerTarget == 0 || p.runsOf(s, t) < s.def.MaxPerTarget)
}

// freeLater returns the capacity that neither long-running tasks nor holds take.
func (t *target) freeLater() registrar.Need {
	return t.rec.Capacity.Minus(t.held).Minus(t.usedLongRunning)
}

// shortfall returns the capacity that a target lacks for one more task of a step, as
// a share of its capacity: 0 if the task fits, 1 if it needs an empty target and this
// one is full.
func (p *Planner) shortfall(s *step, t *target) float64 {
	return s.def.Charge().Minus(t.free()).DominantShare(t.rec.Capacity)
}

// holdCapacity holds capacity for a number of tasks of a step until the next pass,
// each on a target that lacks little. For a queue that needs tickets, only
// targets that are known to admit the step are considered, preferably those for which
// it has a ticket or has requested one. The first maxHolders steps of a pass do so.
func (p *Planner) holdCapacity(s *step, pl *pool, tasks int, now Moment) {
	if p.holders == maxHolders {
		return
	}
	p.holders++
	if now.Monotonic.Sub(s.heldAt) >= holdInterval || s.heldFor != tasks {
		s.held, s.heldFor, s.heldAt = p.chooseHolds(s, pl, tasks, now), tasks, now.Monotonic
	}
	for _, t := range s.held {
		if p.targets[t.rec.ID] == t {
			t.held = t.held.Plus(s.def.Charge())
			p.holding = append(p.holding, t)
		}
	}
}

// holdInterval is how long capacity is held on the same targets: several passes, as each
// choice looks at all targets.
const holdInterval = 50 * time.Millisecond

// chooseHolds chooses the targets on which capacity is held for tasks of a step.
func (p *Planner) chooseHolds(s *step, pl *pool, tasks int, now Moment) []*target {
	var requested []tracker.TargetID
	if a := p.ticketRequests[s.pendingRequest]; a != nil {
		requested = a.targets
	}
	var options []option
	for _, t := range pl.targets {
		if s.job.rec.Queue.Licence.Required && s.grants.of(t) != admitted || !p.mayRunLater(s, pl, t, now) {
			continue
		}
		cost := p.shortfall(s, t)
		if s.job.rec.Queue.Licence.Required && !s.grants.ticket(t).valid(now) {
			cost += noTicketPenalty
			if slices.Contains(requested, t.rec.ID) {
				cost -= noTicketPenalty / 2
			}
		}
		options = append(options, option{t.rec.ID, cost})
	}
	var chosen []*target
	for _, o := range bestOptions(options, tasks) {
		chosen = append(chosen, p.targets[o.id])
	}
	return chosen
}

// noTicketPenalty makes up for the time until there is a ticket, in which about an
// eighth of the runs on a target end.
const noTicketPenalty = 0.125

// releaseHolds releases the capacity that the previous pass held.
func (p *Planner) releaseHolds() {
	for _, t := range p.holding {
		t.held = registrar.Need{}
	}
	p.holding, p.holders = p.holding[:0], 0
}
