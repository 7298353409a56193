package emulator

import (
	"maps"
	"slices"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file detects tasks that have no run although a target has room for one.
// Example of a problem:
//
//	31.2s: 00000000000000a1.0.0.2 has had no run since 14.6s, with room for it on t3 for 3s

// Room returns a target that could take a task of a step, with room for as many
// more tasks as given, or an empty id.
type Room func(id definer.StepID, step *definer.Step, tasks int) tracker.TargetID

// CancelSent records that a caller has asked to cancel a job.
func (a *Audit) CancelSent(id definer.JobID) { a.jobs[id].cancelSent = true }

// Ended records that a caller was shown that its job has ended.
func (a *Audit) Ended(id definer.JobID) { a.jobs[id].ended = true }

// live reports whether a job is accepted and has neither ended nor been cancelled.
func (j *auditedJob) live() bool { return !j.accepted.IsZero() && !j.cancelSent && !j.ended }

func (a *Audit) liveJobs() []*auditedJob {
	var out []*auditedJob
	for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
		if j := a.jobs[id]; j.live() {
			out = append(out, j)
		}
	}
	return out
}

// startableSteps returns the steps of a job that are due, with all of their
// dependencies done.
func (a *Audit) startableSteps(j *auditedJob, now time.Time) []definer.StepID {
	var out []definer.StepID
	for k := range j.def.Occurrences() {
		if due := j.def.Due(k); due != 0 && now.Before(due.Time()) {
			continue
		}
		for i := range j.def.Steps {
			startable := true
			for _, d := range j.def.Steps[i].DependsOn {
				startable = startable && a.stepDone(definer.StepID{Job: j.def.ID, Occurrence: k, Step: d}, &j.def.Steps[d])
			}
			if startable {
				out = append(out, definer.StepID{Job: j.def.ID, Occurrence: k, Step: i})
			}
		}
	}
	return out
}

// CheckLongRunning checks that each task of a long-running step has a run. It is
// called at short intervals, with the time for which there was no fault.
func (a *Audit) CheckLongRunning(now time.Time, calm time.Duration, room Room) {
	for _, j := range a.liveJobs() {
		for _, id := range a.startableSteps(j, now) {
			if step := &j.def.Steps[id.Step]; step.LongRunning {
				a.checkLongRunningStep(j, id, step, now, calm, room)
			}
		}
	}
}

func (a *Audit) checkLongRunningStep(j *auditedJob, id definer.StepID, step *definer.Step, now time.Time, calm time.Duration, room Room) {
	asked, target := false, tracker.TargetID("")
	for i := range step.Count {
		t := a.task(id.Task(i))
		since := j.accepted
		if t.endedAt.After(since) {
			since = t.endedAt
		}
		if len(t.active) > 0 {
			t.roomSince = time.Time{}
			continue
		}
		j.longestGap = max(j.longestGap, now.Sub(since))
		if now.Sub(since) < a.RestartTime {
			t.roomSince = time.Time{}
			continue
		}
		if !asked {
			asked, target = true, room(id, step, 2)
		}
		if target == "" {
			t.roomSince = time.Time{}
			continue
		}
		if t.roomSince.IsZero() {
			t.roomSince = now
		}
		j.longestIdle = max(j.longestIdle, now.Sub(t.roomSince))
		if now.Sub(t.roomSince) >= a.IdleTime && calm >= a.IdleTime+a.CalmBefore {
			a.problem(now, "%s has had no run since %s, with room for it on %s for %s", id.Task(i),
				since.Sub(a.Begun).Round(time.Millisecond), target, now.Sub(t.roomSince))
		}
	}
}

// Gaps returns the longest time for which a task of the long-running steps of a job
// had no run, and the longest part of such a time with room for it.
func (a *Audit) Gaps(id definer.JobID) (total, withRoom time.Duration) {
	j := a.jobs[id]
	return j.longestGap, j.longestIdle
}

// CheckProgress checks that each job has a run if a task can start and a target has
// room for it. It is called at short intervals after the load has ended, with the
// share of the capacity that is in use.
func (a *Audit) CheckProgress(now time.Time, used float64, room Room) {
	for _, j := range a.liveJobs() {
		target := tracker.TargetID("")
		if used < maxUsedShare && !a.hasRun(j) {
			target = a.waitingWithRoom(j, now, room)
		}
		switch {
		case target == "":
			j.idleSince = time.Time{}
		case j.idleSince.IsZero():
			j.idleSince = now
		case now.Sub(j.idleSince) >= a.IdleTime:
			a.problem(now, "job %s has had no run for %s, with room for it on %s", j.def.ID, now.Sub(j.idleSince), target)
		}
	}
}

const maxUsedShare = 0.5 // of the capacity of all targets

func (a *Audit) hasRun(j *auditedJob) bool {
	for k := range j.def.Occurrences() {
		for i := range j.def.Steps {
			id := definer.StepID{Job: j.def.ID, Occurrence: k, Step: i}
			for n := range j.def.Steps[i].Count {
				if t := a.tasks[id.Task(n)]; t != nil && len(t.active) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// waitingWithRoom returns a target that has room for a task of the job that is not
// done, or an empty id.
func (a *Audit) waitingWithRoom(j *auditedJob, now time.Time, room Room) tracker.TargetID {
	for _, id := range a.startableSteps(j, now) {
		step := &j.def.Steps[id.Step]
		if a.stepDone(id, step) {
			continue
		}
		tasks := 2
		if step.Gang {
			tasks *= step.Count
		}
		if target := room(id, step, tasks); target != "" {
			return target
		}
	}
	return ""
}
