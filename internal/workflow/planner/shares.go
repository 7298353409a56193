package planner

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file divides a pool among workspaces and orders the waiting steps of a priority: by
// what they are still worth to their callers, and among equals those of workspaces that
// run less than their share first. It applies while a document declares workspaces.
//
// Shares are max-min fair by weight: what a workspace does not ask for goes to the others.
// Nothing is stopped for a share; one that is exceeded shrinks as runs end.

// resourceCount is the number of resources of a registrar.Need.
const resourceCount = 3

// amount is a quantity of each resource: processors in thousandths, MiB, accelerators.
type amount [resourceCount]float64

func amountOf(n registrar.Need, count float64) amount {
	return amount{float64(n.CPU) * count, float64(n.Memory) * count, float64(n.Accelerators) * count}
}

func (a *amount) add(b amount, factor float64) {
	for i := range a {
		a[i] += b[i] * factor
	}
}

// limit lowers a to a limit; 0: no limit.
func (a *amount) limit(n registrar.Need) {
	for i, x := range amountOf(n, 1) {
		if x > 0 {
			a[i] = min(a[i], x)
		}
	}
}

// shareOf returns the largest fraction that a has of any resource in total.
func (a amount) shareOf(total amount) float64 {
	share := 0.0
	for i := range a {
		if total[i] > 0 {
			share = max(share, a[i]/total[i])
		}
	}
	return share
}

// prospect tells what a job that has not ended can still be worth to its caller.
// Steps with a lower one are placed first.
type prospect uint8

const (
	inTime       prospect = iota // it can meet its objective
	excessInTime                 // the same, and its workspace is not entitled to it
	late                         // it can end within lateFactor times its objective
	excessLate                   // the same, and its workspace is not entitled to it
	hopeless                     // it is worth nothing any more

	openProspects = int(hopeless) // prospects of jobs that are worth their work
)

const (
	// lateFactor times its objective is the time after which a job is worth nothing.
	lateFactor = 3
	// doubtFactor is how far beyond a bound an estimate must be to count, as declared run
	// times may be wrong by a factor of 2 for a single job.
	doubtFactor = 1.3
)

// divides reports whether pools are divided among workspaces.
func (p *Planner) divides() bool {
	return p.State.Document != nil && p.State.Document.Workspaces != nil
}

// prospectOf returns what the job of a step is worth if the step starts now.
func (p *Planner) prospectOf(s *step, now Moment) prospect {
	if s.def.LongRunning {
		return inTime
	}
	path := s.job.expected.paths[s.id.Step]
	deadline := s.latestStart.Add(path)
	objective := float64(s.job.expected.objective)
	out := inTime
	switch {
	case now.Monotonic.Add(path).After(deadline.Add(time.Duration(objective * (lateFactor*doubtFactor - 1)))):
		return hopeless
	case s.latestStart.Before(now.Monotonic):
		out = late
	}
	if s.job.excess {
		out++
	}
	return out
}

// defaultWeight is that of jobs without a workspace, or of a workspace that is no longer
// declared.
const defaultWeight = 1

// weightOf returns the weight of a workspace.
func (p *Planner) weightOf(name definer.WorkspaceName) float64 {
	if w := p.State.Document.Workspace(name); w != nil {
		return max(w.Weight, minWeight)
	}
	return defaultWeight
}

// minWeight lets a workspace of weight 0 use what others leave.
const minWeight = 1e-6

// share is what a workspace runs and waits for in a pool, as parts of its capacity by the
// resource of which they take most.
type share struct {
	weight  float64
	limit   registrar.Need
	running amount
	waiting amount
	claimed float64 // by its runs and the steps that a pass has ordered so far
	fair    float64
	tasks   int // that wait
}

// shares holds the shares of the workspaces with work in a pool.
type shares struct {
	capacity amount
	lasting  amount // taken by long-running runs
	of       map[definer.WorkspaceName]*share
}

// sharesOf returns the shares of each pool.
func (p *Planner) sharesOf(now Moment) map[definer.PoolName]*shares {
	out := make(map[definer.PoolName]*shares, len(p.pools))
	for name, pl := range p.pools {
		x := &shares{of: make(map[definer.WorkspaceName]*share)}
		for _, t := range pl.targets {
			if t.responsive {
				x.capacity.add(amountOf(t.rec.Capacity, 1), 1)
				x.lasting.add(amountOf(t.usedLongRunning, 1), 1)
			}
		}
		out[name] = x
	}
	for _, s := range p.stepsByPriority {
		if x := out[s.pool]; x != nil && !s.def.LongRunning {
			x.count(p, s, now)
		}
	}
	for _, x := range out {
		x.divide()
	}
	return out
}

func (x *shares) count(p *Planner, s *step, now Moment) {
	name := s.job.rec.Workspace
	w := x.of[name]
	if w == nil {
		w = &share{weight: p.weightOf(name), limit: p.workspaceLimit(name)}
		x.of[name] = w
	}
	w.running.add(amountOf(s.def.Charge(), float64(s.runningTasks())), 1)
	if !p.isHomeless(s) && p.prospectOf(s, now) != hopeless {
		w.waiting.add(amountOf(s.def.Charge(), float64(len(s.waiting))), 1)
		w.tasks += len(s.waiting)
	}
}

// runningTasks returns how many tasks of a step run or are about to.
func (s *step) runningTasks() int { return max(s.rec.TasksLeft-len(s.waiting), 0) }

// isHomeless reports whether no target of its pool has the capacity for a task of a step, so
// that it would wait in an empty pool too.
func (p *Planner) isHomeless(s *step) bool {
	if len(s.waiting) == 0 {
		return false
	}
	pl := p.pools[s.pool]
	if pl == nil {
		return true
	}
	for _, t := range pl.targets {
		if s.def.Charge().FitsIn(t.rec.Capacity) && (s.def.Label == "" || t.rec.HasLabel(s.def.Label)) {
			return false
		}
	}
	return true
}

// divide computes the fair share of each workspace: those that want least by their weight
// get all that they want, and the others divide the rest.
func (x *shares) divide() {
	type want struct {
		name definer.WorkspaceName
		*share
		total float64
	}
	wants := make([]want, 0, len(x.of))
	weights := 0.0
	for name, w := range x.of {
		total := w.running
		total.add(w.waiting, 1)
		total.limit(w.limit)
		w.claimed = w.running.shareOf(x.capacity)
		wants = append(wants, want{name, w, total.shareOf(x.capacity)})
		weights += w.weight
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.total/a.weight, b.total/b.weight), cmp.Compare(a.name, b.name))
	})
	left := max(1-x.lasting.shareOf(x.capacity), 0)
	for _, w := range wants {
		w.fair = min(w.total, left*w.weight/weights)
		left -= w.fair
		weights -= w.weight
	}
}

// claim reports whether the next task of a step is within the share of its workspace, the
// steps before this one included, and counts the waiting tasks of this one.
func (x *shares) claim(s *step) bool {
	w := x.of[s.job.rec.Workspace]
	if w == nil {
		return true
	}
	task := amountOf(s.def.Charge(), 1).shareOf(x.capacity)
	within := w.claimed+task <= w.fair+shareRounding
	w.claimed += task * float64(len(s.waiting))
	return within
}

const shareRounding = 1e-9

// orderByShare orders steps of one priority, which are ordered by their latest start. It
// returns the hopeless ones apart: they are placed after all priorities.
func (p *Planner) orderByShare(steps []*step, pools map[definer.PoolName]*shares, now Moment) (out, lost []*step) {
	var ranked [openProspects][2][]*step // by prospect; within the share of the workspace, and beyond it
	for _, s := range steps {
		if len(s.waiting) == 0 {
			continue
		}
		x := p.prospectOf(s, now)
		if x == hopeless {
			lost = append(lost, s)
			continue
		}
		beyond := 0
		if shares := pools[s.pool]; shares != nil && !s.def.LongRunning && !shares.claim(s) {
			beyond = 1
		}
		ranked[x][beyond] = append(ranked[x][beyond], s)
	}
	for i := range ranked {
		out = append(append(out, ranked[i][0]...), ranked[i][1]...)
	}
	return out, lost
}

// placeHopeless places steps of jobs that are worth nothing any more with the capacity that
// the waiting steps of other jobs don't need. Those may have room and wait for tickets.
func (p *Planner) placeHopeless(lost, others []*step, now Moment) {
	if len(lost) == 0 {
		return
	}
	spare := make(map[definer.PoolName]*amount)
	for _, s := range lost {
		if spare[s.pool] == nil {
			spare[s.pool] = p.spareOf(s.pool, others, now)
		}
		left := spare[s.pool]
		need := amountOf(s.def.Charge(), 1)
		n := left.holds(need, len(s.waiting))
		if n == 0 || s.def.Gang && n < s.def.Count {
			if !p.deferredTooLong(s, now) {
				continue
			}
			n = len(s.waiting)
		}
		before := len(s.waiting)
		p.placeStep(s, n, now)
		if started := before - len(s.waiting); started > 0 {
			left.add(need, -float64(started))
			s.deferredAt = time.Time{}
		}
	}
}

// deferredTooLong reports whether a step has been kept for long from room that others might use.
func (p *Planner) deferredTooLong(s *step, now Moment) bool {
	if !p.hasRoom(s, now) {
		s.deferredAt = time.Time{}
		return false
	}
	if s.deferredAt.IsZero() {
		s.deferredAt = now.Monotonic
	}
	return now.Monotonic.Sub(s.deferredAt) >= maxDeferral
}

// maxDeferral bounds the wait of a step for which there is room. Callers may rely on no task
// waiting for 3 s while there is free capacity; tickets may take as much again.
const maxDeferral = time.Second

// spareOf returns the free capacity of a pool beyond what steps with room wait for, for tickets
// as a rule. Steps that no target has room for now don't count: they may have none for long.
func (p *Planner) spareOf(name definer.PoolName, waiting []*step, now Moment) *amount {
	spare := &amount{}
	if pl := p.pools[name]; pl != nil {
		for _, t := range p.poolScan(pl, now).roomy {
			spare.add(amountOf(t.free().Max(registrar.Need{}), 1), 1)
		}
	}
	for _, s := range waiting {
		if s.pool == name && !s.def.LongRunning && p.withinLimit(s) && p.hasRoom(s, now) {
			spare.add(amountOf(s.def.Charge(), float64(len(s.waiting))), -1)
		}
	}
	return spare
}

// hasRoom reports whether a target has room for a waiting task of a step.
func (p *Planner) hasRoom(s *step, now Moment) bool {
	pl := p.pools[s.pool]
	if pl == nil || len(s.waiting) == 0 {
		return false
	}
	for _, t := range p.poolScan(pl, now).withRoom(s.def.Charge()) {
		if s.def.Charge().FitsIn(t.free()) && (s.def.Label == "" || t.rec.HasLabel(s.def.Label)) {
			return true
		}
	}
	return false
}

// holds returns how many times a need fits into a, at most as often as given.
func (a *amount) holds(need amount, most int) int {
	for i := range need {
		if need[i] > 0 {
			most = min(most, int(max(a[i], 0)/need[i]))
		}
	}
	return most
}
