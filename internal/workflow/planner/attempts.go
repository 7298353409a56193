package planner

import (
	"maps"
	"slices"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tells the log which failed runs the state has counted, and what has used up the
// attempts of a failed job. It reads the state and decides nothing.

// attempts holds the numbers of the failed runs of a job that were counted in this term, by
// task, in the order of their ends. Those of a gang are under the index tracker.WholeGang.
type attempts map[definer.TaskID][]tracker.RunNumber

// maxAttempts bounds the numbers that are kept of a task or gang, to the newest ones.
const maxAttempts = 64

func (a attempts) add(id definer.TaskID, number tracker.RunNumber) {
	runs := append(a[id], number)
	a[id] = runs[max(len(runs)-maxAttempts, 0):]
}

// newest returns the numbers of the newest counted runs of a task or gang, at most as many
// as failures, which tracker.FormatRaised may have lowered: then each run counts once.
func (a attempts) newest(id definer.TaskID, failures int) []tracker.RunNumber {
	runs := slices.Clone(a[id])
	if len(runs) > failures {
		runs = slices.Compact(runs)
	}
	return runs[max(len(runs)-failures, 0):]
}

// tasks is what the state drops of an ended job with its last run.
type tasks struct {
	def         *definer.Job
	occurrences map[int]*tracker.Occurrence
}

// emitRunEnded emits the end of a run. For a failed run of a task that isn't long-running it
// returns what the state made of it, as fields of the log, and counts it in the round.
func (p *Planner) emitRunEnded(r *run, how tracker.End, checkpoint string, now Moment) []any {
	j, id := r.job, r.key.task
	before, ended := tasks{j.rec.Def, j.rec.Occurrences}, j.rec.State.Ended()
	event := tracker.Event{RunEnded: &tracker.RunEnded{Task: id, Number: r.key.number, How: p.recordedEnd(r, how), Checkpoint: checkpoint}}
	_, step := p.State.LookupStep(id.StepID())
	_, task := p.State.LookupTask(id)
	if task == nil {
		p.emit(event, now)
		return nil
	}
	runsBefore, endsBefore := step.Failures, task.Failures
	p.emit(event, now)
	ofGang, ofTask := step.Failures > runsBefore, task.Failures > endsBefore
	if ofTask && !ended {
		j.attempts.add(id, r.key.number)
	}
	if ofGang && !ended {
		j.attempts.add(id.StepID().Task(tracker.WholeGang), r.key.number)
	}
	if !ended && j.rec.State == tracker.Failed {
		j.exhausted = p.describeExhausted(j, before, true)
	}
	if how != tracker.EndFailed || r.def.LongRunning {
		return nil
	}
	counted, failures := ofTask, task.Failures
	if r.def.Gang {
		counted, failures = ofGang, step.Failures
	}
	if counted {
		p.round.FailedRuns.Counted++
	} else {
		p.round.FailedRuns.Uncounted++
	}
	return []any{"counted", counted, "failures", failures, "allowed", j.rec.Queue.MaxAttempts, "rule", p.failureRule(r.def.Gang)}
}

// failureRule names the rule by which the state counts failed runs: "gang member" counts each
// failed member of a gang.
func (p *Planner) failureRule(gang bool) string {
	switch {
	case !gang:
		return "task"
	case p.State.Format < tracker.FormatGangRuns:
		return "gang member"
	default:
		return "gang run"
	}
}

// describeExhausted returns, as fields of the log, the task or gang that has used up the
// attempts of a failed job, and its runs that counted. The rule is that in force, and is left
// out if an earlier leader may have applied another one.
func (p *Planner) describeExhausted(j *job, failed tasks, byThisLeader bool) []any {
	allowed := j.rec.Queue.MaxAttempts
	for _, k := range slices.Sorted(maps.Keys(failed.occurrences)) {
		o := failed.occurrences[k]
		i, index, ok := o.Exhausted(allowed, p.State.Format)
		if !ok {
			continue
		}
		step := definer.StepID{Job: j.id, Occurrence: k, Step: i}
		subject, failures := []any{"step", step.String()}, o.Steps[i].Failures
		if index != tracker.WholeGang {
			subject, failures = []any{"task", step.Task(index).String()}, o.Steps[i].Tasks[index].Failures
		}
		runs := j.attempts.newest(step.Task(index), failures)
		fields := append(subject, "gang", failed.def.Steps[i].Gang, "runs", runs, "earlier", failures-len(runs), "allowed", allowed)
		if byThisLeader {
			fields = append(fields, "rule", p.failureRule(index == tracker.WholeGang), "format", int(p.State.Format))
		}
		return fields
	}
	return []any{"allowed", allowed}
}
