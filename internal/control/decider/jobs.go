package decider

import (
	"fmt"
	"time"

	"masticroad/internal/control/registrar"
)

// This file reconciles jobs: it compares the declared tasks of a job with the
// existing ones, and admits, queues and cancels tasks accordingly.

const (
	// MaxTasksPerJob is the maximum number of tasks of one job.
	MaxTasksPerJob   = 10000
	maxTasksPerRound = 256
	// JobKeyPrefix marks replies that refer to a job.
	JobKeyPrefix = "job/"
)

func (d *Decider) handleJob(r *JobRequest) {
	// The daemon repeats the request until it sees the job in its replicated
	// state.
	j := r.Job
	if old := d.State.Jobs[j.KeyOf()]; old != nil {
		return
	}
	if d.round.newJobs[j.KeyOf()] || CheckJob(d.State, &j) != "" {
		return
	}
	d.round.newJobs[j.KeyOf()] = true
	d.emit(registrar.JobSubmitted{Job: j})
}

// CheckJob returns the reason why a job is refused, or an empty string.
func CheckJob(s *registrar.State, j *registrar.Job) string {
	c := s.Callers[j.Caller]
	switch {
	case c == nil:
		return fmt.Sprintf("caller %q does not exist", j.Caller)
	case c.State != registrar.CallerActive:
		return fmt.Sprintf("caller %q is retired", j.Caller)
	case j.Name == "":
		return "a job needs a name"
	case j.Count < 1 && j.Kind != registrar.KindService || j.Count < 0 || j.Count > MaxTasksPerJob:
		return fmt.Sprintf("a job has 1 to %d tasks, not %d", MaxTasksPerJob, j.Count)
	case j.Need.CPU <= 0 || j.Need.Memory <= 0 || j.Need.Accelerators < 0:
		return "a job needs processors and memory"
	case j.Kind == registrar.KindRequest || j.Kind > registrar.KindAllAtOnce:
		return "a job is a Service, a Batch or AllAtOnce"
	}
	return ""
}

func (d *Decider) reconcileJobs(now time.Time) {
	for key := range d.activeJobs {
		j := d.State.Jobs[key]
		if j == nil {
			d.forgetJob(key)
			continue
		}
		d.reconcileJob(key, j, now)
	}
}

func (d *Decider) reconcileJob(key registrar.JobKey, j *registrar.Job, now time.Time) {
	tasks := d.State.ByJob[key]
	if j.Canceled || d.callerInactive(j.Caller) {
		if len(tasks) == 0 {
			d.forgetJob(key)
		}
		d.cancelTasks(tasks, "job canceled", now)
		return
	}
	switch j.Kind {
	case registrar.KindService:
		d.reconcileService(j, tasks, now)
	case registrar.KindBatch:
		d.admitTasks(j, min(j.Count-j.Made, maxTasksPerRound), now)
	case registrar.KindAllAtOnce:
		d.reconcileGroup(j, tasks, now)
	}
	if j.Kind != registrar.KindService && j.Done+j.Failed >= j.Count {
		d.forgetJob(key)
	}
}

// forgetJob drops what is known of a job that needs no more tasks.
func (d *Decider) forgetJob(key registrar.JobKey) {
	delete(d.activeJobs, key)
	delete(d.failedRuns, key)
}

func (d *Decider) cancelTasks(tasks map[registrar.TaskID]*registrar.Task, reason string, now time.Time) {
	n := 0
	for _, t := range tasks {
		if t.State == registrar.Assigned && t.Stopping && t.Canceled {
			continue
		}
		d.cancelTask(t, reason, now)
		if n++; n >= maxCancelsPerRound {
			return
		}
	}
}

// maxCancelsPerRound bounds the work that a mass cancellation adds to one
// round.
const maxCancelsPerRound = 2000

func (d *Decider) reconcileService(j *registrar.Job, tasks map[registrar.TaskID]*registrar.Task, now time.Time) {
	active, outdated := 0, (*registrar.Task)(nil)
	replacing := false
	for _, t := range tasks {
		if t.Canceled {
			replacing = true
			continue
		}
		active++
		replacing = replacing || t.State == registrar.Queued
		if t.Content != j.Digest && (outdated == nil || t.ID < outdated.ID) {
			outdated = t
		}
	}
	switch {
	case active < j.Count:
		d.admitTasks(j, min(j.Count-active, maxTasksPerRound), now)
	case active > j.Count:
		d.cancelSurplus(tasks, active-j.Count, now)
	case outdated != nil && !replacing:
		d.cancelTask(outdated, "replaced by a newer declaration", now)
	}
}

func (d *Decider) cancelSurplus(tasks map[registrar.TaskID]*registrar.Task, n int, now time.Time) {
	var list []*registrar.Task
	for _, t := range tasks {
		if !t.Canceled {
			list = append(list, t)
		}
	}
	registrar.SortTasks(list)
	for i := len(list) - 1; i >= 0 && n > 0; i-- {
		d.cancelTask(list[i], "fewer replicas declared", now)
		n--
	}
}

// admitTasks admits the next n tasks of a job.
func (d *Decider) admitTasks(j *registrar.Job, n int, now time.Time) {
	for i := range n {
		t := registrar.Task{
			ID: d.nextTask, Caller: j.Caller, Content: j.Digest, Kind: j.Kind, Class: j.Class, Need: j.Need,
			Once: j.Once, Submitted: registrar.MillisOf(now), Deadline: j.Deadline, Job: j.Name,
			Ordinal: j.Made + i, RunTime: j.RunTime, Region: j.Region,
		}
		d.nextTask++
		d.emit(registrar.TaskAdmitted{Task: t})
	}
}

// reconcileGroup queues an all-at-once job once all its unfinished tasks are
// queued. While some are queued and others are assigned, one of them was lost,
// so it stops the assigned ones.
func (d *Decider) reconcileGroup(j *registrar.Job, tasks map[registrar.TaskID]*registrar.Task, now time.Time) {
	if j.Made == 0 {
		d.admitTasks(j, j.Count, now)
		return
	}
	var queued, assigned []*registrar.Task
	for _, t := range tasks {
		if t.State == registrar.Queued {
			queued = append(queued, t)
			continue
		}
		assigned = append(assigned, t)
	}
	if len(queued) == 0 {
		return
	}
	registrar.SortTasks(queued)
	if len(assigned) == 0 {
		d.queueGroup(queued, now)
		return
	}
	for _, t := range assigned {
		if !t.Stopping {
			d.stop(t, "another task of the job was lost", false, VerbCheckpoint, now)
		}
	}
}

func (d *Decider) queueGroup(tasks []*registrar.Task, now time.Time) {
	first := tasks[0]
	if d.queue.Get(first.ID) != nil {
		return
	}
	for _, t := range tasks {
		if t.NotBefore > registrar.MillisOf(now) {
			return
		}
	}
	it := d.newItem(first)
	it.Count = len(tasks)
	for _, t := range tasks {
		it.Tasks = append(it.Tasks, t.ID)
	}
	d.queue.Push(it)
}

func (d *Decider) cancelJob(key registrar.JobKey, reason string, now time.Time) {
	j := d.State.Jobs[key]
	if j == nil || j.Canceled {
		return
	}
	d.emit(registrar.JobCanceled(key))
	d.cancelTasks(d.State.ByJob[key], reason, now)
}
