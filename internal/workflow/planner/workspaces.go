package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file keeps each workspace within its limit. A workspace is charged with the full
// declared need of everything of its jobs that may be running, from the decision to start it
// to its proven end. The check precedes the search for a target, and its time depends neither on
// the number of targets nor on the number of runs.

// workspace is what the leader knows of a workspace that is declared or has jobs left.
type workspace struct {
	name  definer.WorkspaceName
	usage registrar.Need
	limit registrar.Need // 0: none, for each resource
	// preparedIn is the newest pass in which a step at the limit requested tickets.
	preparedIn uint64
}

// formerStray is a stray run of an incarnation that was replaced without proof of its end.
type formerStray struct {
	workspace *workspace
	need      registrar.Need
	until     time.Time // it does not run any more from then on
}

// orphan is a run that a target lists and the replicated state does not have.
type orphan struct {
	charge    registrar.Need // to the target
	workspace *workspace     // of its job; nil: none, or not known
	need      registrar.Need // charged to the workspace
}

// WorkspaceLoad is what a workspace is charged with, and its limit.
type WorkspaceLoad struct {
	Name         definer.WorkspaceName
	Usage, Limit registrar.Need
	Share        float64 // of the pool of which it runs the largest part
	Waiting      int     // tasks
}

// workspaceLoads returns the load of each workspace, by name.
func (p *Planner) workspaceLoads(now Moment) []WorkspaceLoad {
	if len(p.workspaces) == 0 {
		return nil
	}
	pools := p.sharesOf(now)
	var out []WorkspaceLoad
	for _, name := range slices.Sorted(maps.Keys(p.workspaces)) {
		l := WorkspaceLoad{Name: name, Usage: p.workspaceUsage(name), Limit: p.workspaceLimit(name)}
		for _, x := range pools {
			if w := x.of[name]; w != nil {
				l.Share, l.Waiting = max(l.Share, w.running.shareOf(x.capacity)), l.Waiting+w.tasks
			}
		}
		out = append(out, l)
	}
	return out
}

// workspaceOf returns what is known of a workspace, nil for the empty name.
func (p *Planner) workspaceOf(name definer.WorkspaceName) *workspace {
	if name == "" {
		return nil
	}
	w := p.workspaces[name]
	if w == nil {
		w = &workspace{name: name, limit: p.State.WorkspaceLimit(name)}
		p.workspaces[name] = w
	}
	return w
}

// refreshLimits adopts the limits of the document in force, and drops the workspaces
// that are neither declared nor have jobs or runs.
func (p *Planner) refreshLimits() {
	used := make(map[*workspace]bool)
	for _, j := range p.jobs {
		used[j.workspace] = true
	}
	for name, w := range p.workspaces {
		w.limit = p.State.WorkspaceLimit(name)
		if !used[w] && w.usage == (registrar.Need{}) && p.State.Document.Workspace(name) == nil {
			delete(p.workspaces, name)
		}
	}
	if p.State.Document == nil {
		return
	}
	for i := range p.State.Document.Workspaces {
		p.workspaceOf(p.State.Document.Workspaces[i].Name)
	}
}

// workspaceUsage returns all that a workspace is charged with.
func (p *Planner) workspaceUsage(name definer.WorkspaceName) registrar.Need {
	if w := p.workspaces[name]; w != nil {
		return w.usage
	}
	return registrar.Need{}
}

// workspaceLimit returns what the runs of a workspace may occupy in total; 0: no limit, for
// each resource. For a workspace that is not declared any more it is the last declared limit.
func (p *Planner) workspaceLimit(name definer.WorkspaceName) registrar.Need {
	if w := p.workspaces[name]; w != nil {
		return w.limit
	}
	return p.State.WorkspaceLimit(name)
}

// withinLimit reports whether one more task of a step fits the limit of its workspace.
func (p *Planner) withinLimit(s *step) bool { return p.startsWithinLimit(s, 0) > 0 }

// startsWithinLimit returns how many more tasks of a step fit the limit of its workspace once a
// number of its runs have ended.
func (p *Planner) startsWithinLimit(s *step, ending int) int {
	w := s.job.workspace
	if w == nil || p.without(WithoutWorkspaceLimits) {
		return math.MaxInt
	}
	return w.room(s.def.Need, ending)
}

// prepareStart requests tickets for the first step of a workspace in a pass that finds the workspace at its limit, so
// that a start follows the next end at once. Other steps of it do without, as the licensing service is shared.
func (p *Planner) prepareStart(s *step, pl *pool, now Moment) {
	w := s.job.workspace
	if w.preparedIn == p.passes {
		return
	}
	w.preparedIn = p.passes
	s.rack = p.requiredRack(s, pl, now)
	p.findCapacity(s, pl, min(len(s.waiting), preparedTasks), now)
}

// preparedTasks is for how many of its tasks a step at the limit has tickets: about as many as end between two passes.
const preparedTasks = 4

// room returns how often a need fits into what is left of the limit once runs with that need
// have ended.
func (w *workspace) room(need registrar.Need, ending int) int {
	usage := w.usage.Minus(need.Times(ending))
	n := roomFor(int64(w.limit.CPU), int64(usage.CPU), int64(need.CPU))
	n = min(n, roomFor(int64(w.limit.Memory), int64(usage.Memory), int64(need.Memory)))
	return min(n, roomFor(int64(w.limit.Accelerators), int64(usage.Accelerators), int64(need.Accelerators)))
}

func roomFor(limit, usage, need int64) int {
	if limit == 0 || need == 0 {
		return math.MaxInt
	}
	return int(max(limit-usage, 0) / need)
}

// chargeWorkspace charges the workspace of a job with a run.
func (j *job) chargeWorkspace(def *definer.Step) {
	if j.workspace != nil {
		j.workspace.usage = j.workspace.usage.Plus(def.Need)
	}
}

// releaseWorkspace returns what chargeWorkspace has charged.
func (j *job) releaseWorkspace(def *definer.Step) {
	if j.workspace != nil {
		j.workspace.usage = j.workspace.usage.Minus(def.Need)
	}
}

// newOrphan returns what a stray run is charged with: the need of its step, or the full capacity
// of its target if the step is not known.
func (p *Planner) newOrphan(t *target, key runKey) orphan {
	o := orphan{charge: t.rec.Capacity, need: t.rec.Capacity}
	if def, _ := p.State.LookupTask(key.task); def != nil {
		o.charge, o.need = def.Charge(), def.Need
	}
	if p.without(WithoutOrphanCharge) {
		o.charge, o.need = registrar.Need{}, registrar.Need{}
	}
	if rec := p.State.Jobs[key.task.Job]; rec != nil {
		o.workspace = p.workspaceOf(rec.Workspace)
	}
	return o
}

// chargeOrphan charges a target and a workspace with a stray run.
func (t *target) chargeOrphan(key runKey, o orphan) {
	if t.orphans == nil {
		t.orphans = make(map[runKey]orphan)
	}
	t.orphans[key] = o
	t.used = t.used.Plus(o.charge)
	if o.workspace != nil {
		o.workspace.usage = o.workspace.usage.Plus(o.need)
	}
}

// keepStrays leaves the stray runs of a target charged to their workspaces until its lease is
// over, as they may go on beside the incarnation that was announced.
func (p *Planner) keepStrays(t *target) {
	for _, o := range t.orphans {
		if o.workspace != nil {
			o.workspace.usage = o.workspace.usage.Plus(o.need)
			p.formerStrays = append(p.formerStrays, formerStray{o.workspace, o.need, t.leaseEnd})
		}
	}
}

// releaseFormerStrays releases the stray runs whose leases are over.
func (p *Planner) releaseFormerStrays(now Moment) {
	rest := p.formerStrays[:0]
	for _, x := range p.formerStrays {
		if now.Monotonic.Before(x.until) {
			rest = append(rest, x)
			continue
		}
		x.workspace.usage = x.workspace.usage.Minus(x.need)
	}
	p.formerStrays = rest
}
