package planner

import (
	"cmp"
	"slices"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file decides where waiting tasks run. Long-running steps that have to be
// restored go first, see restore.go. The others are ordered by priority, then by
// the latest start that meets their job's objective, so that of two steps with the
// same priority and objective the one with the longer critical path goes first.

func (p *Planner) insertStep(s *step) {
	i, _ := slices.BinarySearchFunc(p.stepsByPriority, s, compareSteps)
	p.stepsByPriority = slices.Insert(p.stepsByPriority, i, s)
}

func compareSteps(a, b *step) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), a.latestStart.Compare(b.latestStart), cmp.Compare(a.id.Job, b.id.Job),
		cmp.Compare(a.id.Occurrence, b.id.Occurrence), cmp.Compare(a.id.Step, b.id.Step))
}

func (p *Planner) dropStep(s *step) {
	if p.steps[s.id] != s {
		return
	}
	delete(p.steps, s.id)
	p.stepsByPriority = slices.DeleteFunc(p.stepsByPriority, func(x *step) bool { return x == s })
	for _, a := range p.ticketRequests {
		if a.step == s {
			a.step = nil
		}
	}
}

// place starts the waiting tasks for which there is capacity.
func (p *Planner) place(now Moment) {
	p.beginPass()
	p.passes++
	p.releaseHolds()
	for _, s := range p.stepsToRestore(now) {
		if s.def.Gang {
			p.placeGang(s, now)
			continue
		}
		s.lostRuns -= p.placeTasks(s, s.lostRuns, now)
	}
	p.prepareRestore(now)
	p.requestOverdueTickets(now)
	steps, lost := p.placementOrder(now)
	for _, s := range steps {
		p.placeStep(s, len(s.waiting), now)
	}
	p.placeHopeless(lost, steps, now)
}

// placeStep starts up to limit waiting tasks of a step.
func (p *Planner) placeStep(s *step, limit int, now Moment) {
	if len(s.waiting) == 0 || s.job.rec.State.Ended() {
		return
	}
	if s.def.Gang {
		p.placeGang(s, now)
		return
	}
	// The lost runs that are left found no capacity above.
	if others := min(limit, len(s.waiting)-s.lostRuns); others > 0 {
		p.placeTasks(s, others, now)
	}
}

// placementOrder returns the steps in the order in which they are placed, and those that are
// placed only with what the others leave. Within a
// priority, steps that can still meet their objective precede those that can't.
// Otherwise, under overload, each late step would make the next one late. A
// long-running step is worth placing however late it is.
// Where a document declares workspaces, orderByShare orders the steps of a priority instead.
func (p *Planner) placementOrder(now Moment) (out, lost []*step) {
	out = make([]*step, 0, len(p.stepsByPriority))
	var pools map[definer.PoolName]*shares
	divides := p.divides() && !p.without(WithoutShares)
	if divides {
		pools = p.sharesOf(now)
	}
	for rest := p.stepsByPriority; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].priority == rest[0].priority {
			n++
		}
		if divides {
			ordered, hopeless := p.orderByShare(rest[:n], pools, now)
			out, lost = append(out, ordered...), append(lost, hopeless...)
			rest = rest[n:]
			continue
		}
		var late []*step
		for _, s := range rest[:n] {
			if s.latestStart.Before(now.Monotonic) && !s.def.LongRunning {
				late = append(late, s)
				continue
			}
			out = append(out, s)
		}
		out = append(out, late...)
		rest = rest[n:]
	}
	return out, lost
}

// placeTasks starts up to limit waiting tasks of a step and returns how many it has
// started.
func (p *Planner) placeTasks(s *step, limit int, now Moment) int {
	pl := p.pools[s.pool]
	if pl == nil {
		return 0
	}
	if !p.withinLimit(s) {
		p.prepareStart(s, pl, now)
		return 0
	}
	s.rack = p.requiredRack(s, pl, now)
	started := 0
	if t := p.choose(s, pl, now); t != nil {
		started = p.startOn(s, pl, t, limit, now)
	}
	if left := min(limit-started, p.startsWithinLimit(s, 0)); left > 0 {
		p.noteShortage(s, pl, now)
		p.findCapacity(s, pl, left, now)
		p.preempt(s, pl, now)
		if s.holding {
			p.holdCapacity(s, pl, left, now)
		}
	}
	return started
}

// startOn starts the first waiting task of a step on a target, and further ones, up
// to limit in all, on the best targets as long as there is capacity. It returns how
// many it has started.
func (p *Planner) startOn(s *step, pl *pool, t *target, limit int, now Moment) int {
	starts := make(map[tracker.RunNumber][]tracker.Placement)
	n := 0
	for t != nil {
		p.reserve(s, s.waiting[n].index, t, starts, now)
		if n++; n == limit {
			break
		}
		t = p.choose(s, pl, now)
	}
	s.waiting = slices.Clone(s.waiting[n:])
	p.emitStarts(s, starts, now)
	return n
}

// reserve charges a target with the next run of a task and adds it to starts, from
// which emitStarts makes one event per run number.
func (p *Planner) reserve(s *step, index int, t *target, starts map[tracker.RunNumber][]tracker.Placement, now Moment) {
	number := s.rec.Tasks[index].LastRun + 1
	p.reserveRun(s, index, number, t, now)
	starts[number] = append(starts[number], tracker.Placement{Index: index, Target: t.rec.ID})
}

func (p *Planner) reserveRun(s *step, index int, number tracker.RunNumber, t *target, now Moment) *run {
	r := p.addRun(s.job, s.def, runKey{s.id.Task(index), number}, t, runOrdered, now)
	p.capacityTaken(t.rec.Pool, r.charge)
	r.ticket = s.grants.text(t)
	if s.spaced {
		s.spaced = false
		p.round.PlacementsSpaced++
	}
	if s.def.RackLocal {
		s.noteRack(t.rec.Rack)
	}
	p.Counters.Started++
	if number == 1 {
		s.placedAt = now.Monotonic
	} else {
		s.reruns++
	}
	return r
}

// emitStarts emits the events of reserved runs and the orders to start them.
func (p *Planner) emitStarts(s *step, starts map[tracker.RunNumber][]tracker.Placement, now Moment) {
	numbers := make([]tracker.RunNumber, 0, len(starts))
	for n := range starts {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		ev := &tracker.RunsStarted{Step: s.id, Number: n, Runs: starts[n]}
		p.emit(tracker.Event{RunsStarted: ev}, now)
		p.log("runs decided", "step", s.id.String(), "run", int(n), "queue", s.job.rec.Queue.Name, "placed", ev.FormatPlacements(),
			"waited", now.Monotonic.Sub(s.waitingSince).Milliseconds(), "waiting", len(s.waiting))
		for _, x := range starts[n] {
			p.orderStart(s.job.runs[runKey{s.id.Task(x.Index), n}], now)
		}
	}
}

// choose returns the best target for one more task of the step, or nil.
func (p *Planner) choose(s *step, pl *pool, now Moment) *target {
	return p.chooseExcept(s, pl, nil, now)
}

// chooseExcept is choose for a task that must not run on a given target.
func (p *Planner) chooseExcept(s *step, pl *pool, excluded *target, now Moment) *target {
	if !p.withinLimit(s) {
		return nil
	}
	return p.chooseWithinLimit(s, pl, excluded, now)
}

// chooseWithinLimit is chooseExcept without regard to the limit of the step's workspace.
func (p *Planner) chooseWithinLimit(s *step, pl *pool, excluded *target, now Moment) *target {
	if s.job.rec.Queue.Licence.Required {
		return p.chooseWithTicket(s, pl, excluded, now)
	}
	v := p.poolScan(pl, now)
	if v.knownInfeasible(s.def.Charge()) {
		return nil
	}
	b := choice{costs: p.neighbourCosts(s, pl, now)}
	for _, x := range v.withRoom(s.def.Charge()) {
		if x.target != excluded && p.isFeasible(s, pl, x.target, now) {
			b.consider(x.target, p.score(s, x.target, now))
		}
	}
	if b.usual.target == nil && excluded == nil && s.isUnconstrained() {
		v.infeasible = append(v.infeasible, s.def.Charge())
	}
	return p.settle(s, &b)
}

// chooseWithTicket is chooseWithinLimit for a step that needs a ticket for its target.
func (p *Planner) chooseWithTicket(s *step, pl *pool, excluded *target, now Moment) *target {
	b := choice{costs: p.neighbourCosts(s, pl, now)}
	for i := range s.grants.tickets {
		x := &s.grants.tickets[i]
		if t := x.target; t != excluded && p.isFeasible(s, pl, t, now) && p.isUsable(x, now) && t.rec.Pool == pl.name {
			b.consider(t, p.score(s, t, now))
		}
	}
	return p.settle(s, &b)
}

// isFeasible reports whether one more task of a step may start on a target now,
// tickets aside.
func (p *Planner) isFeasible(s *step, pl *pool, t *target, now Moment) bool {
	return p.fits(s, t) && p.isEligible(s, t, now) && !p.avoids(s, pl, t, now) // most targets of a busy cell are full
}

// bestTarget keeps the target with the lowest score; ties go to the lowest id.
type bestTarget struct {
	target *target
	score  float64
}

func (b *bestTarget) consider(t *target, score float64) {
	if b.target == nil || score < b.score || score == b.score && t.rec.ID < b.target.rec.ID {
		b.target, b.score = t, score
	}
}

// isEligibleWithTicket reports whether a step may run on a target now, capacity
// aside.
func (p *Planner) isEligibleWithTicket(s *step, t *target, now Moment) bool {
	if !p.isEligible(s, t, now) {
		return false
	}
	return !s.job.rec.Queue.Licence.Required || p.isUsable(s.grants.ticket(t), now)
}

// isEligible reports whether a step may run on a target now, capacity and tickets
// aside.
func (p *Planner) isEligible(s *step, t *target, now Moment) bool {
	return t.schedulable(now) && t.passesHealthCheck(now) && (s.def.Label == "" || t.rec.HasLabel(s.def.Label)) && (s.rack == "" || t.rec.Rack == s.rack) &&
		!(s.def.LongRunning && p.mayOutlastLeases(t, now))
}

// fits reports whether a target has capacity for one more task of the step.
func (p *Planner) fits(s *step, t *target) bool {
	if !s.def.Charge().FitsIn(t.free()) {
		return false
	}
	if s.def.BestEffortCPU && t.unusedCPU() < s.def.Need.CPU {
		return false
	}
	return s.def.MaxPerTarget == 0 || p.runsOf(s, t) < s.def.MaxPerTarget
}

// unusedCPU returns the processors of a target that neither charged tasks nor
// best-effort tasks (Step.BestEffortCPU) use. Best-effort tasks aren't charged for
// processors.
func (t *target) unusedCPU() registrar.MilliCPU {
	free := t.rec.Capacity.CPU - t.used.CPU
	for _, r := range t.runs {
		if r.def.BestEffortCPU {
			free -= r.def.Need.CPU
		}
	}
	return free
}

func (p *Planner) runsOf(s *step, t *target) int {
	n := 0
	for key := range s.job.runs {
		if key.task.StepID() == s.id && s.job.runs[key].target == t {
			n++
		}
	}
	return n
}

// score ranks the targets on which a task fits; the lowest wins. Targets with less
// capacity left over are preferred (best fit), so that large tasks find capacity
// elsewhere.
func (p *Planner) score(s *step, t *target, now Moment) float64 {
	free := t.rec.Capacity.Minus(t.used).Minus(s.def.Charge())
	score := free.DominantShare(t.rec.Capacity)
	if s.def.BestEffortCPU {
		score = 1 - float64(t.unusedCPU())/float64(max(t.rec.Capacity.CPU, 1))
	}
	if s.def.Rack != "" && t.rec.Rack != s.def.Rack {
		score += remotePenalty
	}
	return score + t.health.penalty(now.Monotonic) + p.interferencePenaltyFor(s, t, now)
}

const remotePenalty = 2.0 // larger than any difference in free capacity, which is at most 1

// placeGang starts all tasks of a gang together, or none of them.
func (p *Planner) placeGang(s *step, now Moment) {
	pl := p.pools[s.pool]
	if pl == nil || len(s.waiting) < s.def.Count || p.startsWithinLimit(s, 0) < s.def.Count {
		return
	}
	s.rack = p.requiredRack(s, pl, now)
	number := tracker.RunNumber(0)
	for i := range s.rec.Tasks {
		number = max(number, s.rec.Tasks[i].LastRun)
	}
	number++
	var runs []*run
	var placed []tracker.Placement
	slices.SortFunc(s.waiting, func(a, b waitingTask) int { return cmp.Compare(a.index, b.index) })
	for _, w := range s.waiting {
		t := p.choose(s, pl, now)
		if t == nil {
			p.noteShortage(s, pl, now)
			p.unreserve(s, runs, now)
			p.capacityReturned(pl.name)
			p.findCapacity(s, pl, len(s.waiting), now)
			return
		}
		runs = append(runs, p.reserveRun(s, w.index, number, t, now))
		placed = append(placed, tracker.Placement{Index: w.index, Target: t.rec.ID})
	}
	s.waiting = nil
	p.emitStarts(s, map[tracker.RunNumber][]tracker.Placement{number: placed}, now)
}

// unreserve reverts runs that were reserved but not emitted.
func (p *Planner) unreserve(s *step, runs []*run, now Moment) {
	for _, r := range runs {
		if r.key.number > 1 {
			s.reruns--
		}
		delete(r.target.runs, r.key)
		delete(r.job.runs, r.key)
		r.target.release(r)
		r.job.releaseWorkspace(r.def)
		p.removeNeighbour(r, now)
		p.Counters.Started--
	}
}

// findCapacity requests tickets, if the queue needs them, for a number of tasks
// that have no target yet.
func (p *Planner) findCapacity(s *step, pl *pool, tasks int, now Moment) {
	if s.job.rec.Queue.Licence.Required {
		p.requestTickets(s, pl, tasks, now)
	}
}
