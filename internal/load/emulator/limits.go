package emulator

import (
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file checks that the runs of a workspace on all targets stay within its limit.

// workspaceRuns holds the runs of a workspace that have not ended.
type workspaceRuns map[*Run]bool

func (a *Audit) workspaceOf(id definer.JobID) (definer.WorkspaceName, registrar.Need) {
	if a.Workspace == nil {
		return "", registrar.Need{}
	}
	return a.Workspace(id)
}

// checkLimit notes a run that has started, and checks the limit of its workspace.
func (a *Audit) checkLimit(r *Run, now time.Time) {
	name, limit := a.workspaceOf(r.Key.Task.Job)
	if name == "" {
		return
	}
	if a.runs == nil {
		a.runs = make(map[definer.WorkspaceName]workspaceRuns)
	}
	if a.runs[name] == nil {
		a.runs[name] = make(workspaceRuns)
	}
	runs := a.runs[name]
	runs[r] = true
	for _, x := range slices.SortedFunc(maps.Keys(runs), func(x, y *Run) int { return compareKeys(x.Key, y.Key) }) {
		if x.target != r.target { // which is up to date
			x.target.Advance(now) // its lease may be over
		}
	}
	if sum := runs.sum(); !isWithin(sum, limit) {
		a.problem(now, "%s is started while workspace %s takes %s of %s", r.Key.Task, name, sum, limit)
	}
}

// LimitAllows reports whether the limit of its workspace allows a job further tasks with a need in total.
func (a *Audit) LimitAllows(id definer.JobID, need registrar.Need) bool {
	name, limit := a.workspaceOf(id)
	return isWithin(a.runs[name].sum().Plus(need), limit)
}

func (x workspaceRuns) sum() registrar.Need {
	var sum registrar.Need
	for r := range x {
		sum = sum.Plus(r.work.Need)
	}
	return sum
}

// isWithin reports whether an amount is within a limit, of which 0 is none.
func isWithin(sum, limit registrar.Need) bool {
	within := func(used, most int64) bool { return most == 0 || used <= most }
	return within(int64(sum.CPU), int64(limit.CPU)) && within(int64(sum.Memory), int64(limit.Memory)) && within(int64(sum.Accelerators), int64(limit.Accelerators))
}

func (a *Audit) leaveLimit(r *Run) {
	if name, _ := a.workspaceOf(r.Key.Task.Job); name != "" {
		delete(a.runs[name], r)
	}
}
