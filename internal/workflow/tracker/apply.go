package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file applies events to the replicated state. An event that does not match
// the state, such as RunEnded for a run that has already ended, is ignored, and
// deterministically so on every replica.

// Apply applies the encoded log entry at index. Entries at or below the applied
// index are ignored.
func (s *State) Apply(index registrar.Index, data []byte) (Entry, error) {
	if index <= s.Applied {
		return Entry{}, nil
	}
	e, err := s.decode(data)
	if err != nil {
		return e, err
	}
	s.Applied = index
	s.Clock = max(s.Clock, e.At)
	for _, ev := range e.Events {
		s.ApplyEvent(ev, e.At)
	}
	return e, nil
}

// decode decodes an entry and checks that this replica follows the format that it raises.
func (s *State) decode(data []byte) (Entry, error) {
	if s.Known < FormatChecked {
		return decodeLeniently(data)
	}
	_, format, err := unwrap(data)
	if err = cmp.Or(err, s.checkFormat(format)); err != nil {
		return Entry{}, err
	}
	return DecodeEntry(data)
}

// checkFormat returns an error if this replica does not follow a format.
func (s *State) checkFormat(f Format) error {
	if f <= s.Known {
		return nil
	}
	return fmt.Errorf("format %d is in force, and this version follows formats up to %d", f, s.Known)
}

// Skip advances the applied index past a log entry that holds no events.
func (s *State) Skip(index registrar.Index) { s.Applied = max(s.Applied, index) }

// ApplyEvent applies one event; at is the timestamp of its entry.
func (s *State) ApplyEvent(ev Event, at registrar.Millis) {
	if s.Known < FormatGangRuns {
		ev = ev.withoutFormats()
	}
	switch {
	case ev.DocumentPut != nil:
		s.putDocument(ev.DocumentPut.Document)
	case ev.JobAccepted != nil:
		s.acceptJob(ev.JobAccepted, at)
	case ev.JobCancelled != nil:
		s.cancelJob(ev.JobCancelled.Job, at)
	case ev.OccurrenceBegun != nil:
		s.startOccurrence(ev.OccurrenceBegun.Job, at)
	case ev.RunsStarted != nil:
		s.startRuns(ev.RunsStarted)
	case ev.RunEnded != nil:
		s.endRun(ev.RunEnded, at)
	case ev.TargetSeen != nil:
		s.putTarget(ev.TargetSeen.Target)
	case ev.TargetGone != nil:
		delete(s.Targets, ev.TargetGone.Target)
	case ev.JobsForgotten != nil:
		s.deleteEndedJobs(ev.JobsForgotten.Before)
	case ev.WavePut != nil:
		s.addWave(ev.WavePut, at)
	case ev.VMServiced != nil:
		s.markVMServiced(ev.VMServiced)
	case ev.VMTaken != nil:
		s.markVMDown(ev.VMTaken, at)
	case ev.VMBack != nil:
		s.markVMUp(ev.VMBack)
	case ev.LeaseRaised != nil:
		s.ShortLease = max(s.ShortLease, ev.LeaseRaised.Short)
		if ev.LeaseRaised.Long > 0 {
			s.LongLease = ev.LeaseRaised.Long
		}
	case ev.JobWithdrawn != nil:
		s.withdraw(*ev.JobWithdrawn)
	case ev.WithdrawalsForgotten != nil:
		s.forgetWithdrawals(ev.WithdrawalsForgotten.Through)
	case ev.FormatRaised != nil:
		s.raiseFormat(ev.FormatRaised.Format)
	}
}

// putTarget adds or replaces a target. LongLease stays set for an incarnation, since
// leases granted to it may still be valid.
func (s *State) putTarget(t Target) {
	if old := s.Targets[t.ID]; old != nil && old.Incarnation == t.Incarnation && old.LongLease {
		t.LongLease = true
	}
	s.Targets[t.ID] = &t
}

func (s *State) putDocument(d *definer.Document) {
	if !s.replaces(d) {
		return
	}
	s.keepFormer(d)
	s.Document = d
	queues := make(map[definer.QueueName]*definer.Queue, len(d.Queues))
	for i := range d.Queues {
		queues[d.Queues[i].Name] = &d.Queues[i]
	}
	for _, j := range s.Jobs {
		if q := queues[j.Queue.Name]; q != nil && !j.State.Ended() {
			j.Queue = *q
		}
	}
}

func (s *State) acceptJob(e *JobAccepted, at registrar.Millis) {
	if s.Jobs[e.Job.ID] != nil || s.Withdrawal(e.Job.ID, e.Workspace) != 0 {
		return
	}
	q := s.Document.Queue(e.Queue)
	if q == nil {
		return
	}
	s.Jobs[e.Job.ID] = &Job{ID: e.Job.ID, Def: e.Job, Queue: *q, Workspace: e.Workspace, Accepted: at, Occurrences: make(map[int]*Occurrence)}
}

func (s *State) cancelJob(id definer.JobID, at registrar.Millis) {
	j := s.Jobs[id]
	if j == nil || j.State.Ended() {
		return
	}
	s.endJob(j, Cancelled, at)
}

func (s *State) endJob(j *Job, state JobState, at registrar.Millis) {
	j.State = state
	j.Ended = at
	s.endedJobs = append(s.endedJobs, endedJob{j.ID, at})
	j.releaseTasks()
}

// releaseTasks drops the declaration and the tasks of an ended job once all of its
// runs have ended.
func (j *Job) releaseTasks() {
	if j.State.Ended() && j.ActiveRuns == 0 {
		j.Def = nil
		j.Occurrences = nil
	}
}

func (s *State) startOccurrence(id definer.JobID, at registrar.Millis) {
	j := s.Jobs[id]
	if j == nil || j.State.Ended() || j.OccurrencesStarted >= j.Def.Occurrences() {
		return
	}
	o := &Occurrence{StartedAt: at, StepsLeft: len(j.Def.Steps), Steps: make([]Step, len(j.Def.Steps))}
	for i := range o.Steps {
		n := j.Def.Steps[i].Count
		o.Steps[i] = Step{TasksLeft: n, Tasks: make([]Task, n)}
	}
	j.Occurrences[j.OccurrencesStarted] = o
	j.OccurrencesStarted++
}

func (s *State) startRuns(e *RunsStarted) {
	j := s.Jobs[e.Step.Job]
	def, step := s.LookupStep(e.Step)
	if step == nil || j.State.Ended() {
		return
	}
	for _, p := range e.Runs {
		t := s.Targets[p.Target]
		if t == nil || p.Index >= len(step.Tasks) {
			continue
		}
		t.LongLease = t.LongLease || def.LongRunning
		task := &step.Tasks[p.Index]
		task.LastRun = max(task.LastRun, e.Number)
		task.Runs = append(task.Runs, Run{e.Number, p.Target, t.Incarnation})
		j.ActiveRuns++
	}
	if j.State == Queued {
		j.State = Active
	}
}

func (s *State) endRun(e *RunEnded, at registrar.Millis) {
	def, task := s.LookupTask(e.Task)
	if task == nil || task.LookupRun(e.Number) == nil {
		return
	}
	j := s.Jobs[e.Task.Job]
	task.removeRun(e.Number)
	j.ActiveRuns--
	j.Begun = j.Begun || s.Format >= FormatBegun && e.How.Listed()
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}
	o := j.Occurrences[e.Task.Occurrence]
	step := &o.Steps[e.Task.Step]
	switch {
	case e.How == EndDone && !def.LongRunning:
		j.completeTask(o, step, def, task)
	case e.How == EndFailed && !def.LongRunning:
		s.recordFailure(step, def, task, e.Number)
	}
	if !j.State.Ended() {
		s.updateJobState(j, at)
	}
	j.releaseTasks()
}

func (t *Task) removeRun(number RunNumber) {
	for i := range t.Runs {
		if t.Runs[i].Number == number {
			t.Runs = append(t.Runs[:i], t.Runs[i+1:]...)
			break
		}
	}
	if len(t.Runs) == 0 {
		t.Runs = nil
	}
}

// completeTask records the success of a task. For a gang, the success of one
// member completes all of its tasks.
func (j *Job) completeTask(o *Occurrence, step *Step, def *definer.Step, task *Task) {
	if step.TasksLeft == 0 || task.Done {
		return
	}
	task.Done = true
	step.TasksLeft--
	if def.Gang {
		for i := range step.Tasks {
			step.Tasks[i].Done = true
		}
		step.TasksLeft = 0
	}
	if step.TasksLeft == 0 {
		o.StepsLeft--
	}
	if o.StepsLeft == 0 {
		j.OccurrencesCompleted++
	}
}

// recordFailure counts a failed run of a task. Members of a gang that fail in the same
// run are one failed run of the gang, and none counts once a member has succeeded.
func (s *State) recordFailure(step *Step, def *definer.Step, task *Task, number RunNumber) {
	task.Failures++
	switch {
	case !def.Gang:
	case s.Format < FormatGangRuns:
		step.Failures++
	case number > step.FailedRun && step.TasksLeft > 0:
		step.Failures++
		step.FailedRun = number
	}
}

// raiseFormat puts a format into force.
func (s *State) raiseFormat(f Format) {
	if f <= s.Format {
		return
	}
	if s.Format < FormatGangRuns {
		for _, j := range s.Jobs {
			if j.Def != nil && !j.State.Ended() {
				j.countGangRuns()
			}
		}
	}
	s.Format = f
}

// countGangRuns turns the numbers of failed ends of gangs into numbers of failed runs. Ends
// that were counted together can't be told apart, so that a gang keeps the number of its
// ends up to the number of runs that it has had.
func (j *Job) countGangRuns() {
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if st := &o.Steps[i]; j.Def.Steps[i].Gang {
				st.FailedRun = st.LatestBrokenRun()
				st.Failures = min(st.Failures, int(st.FailedRun))
			}
		}
	}
}

// LatestBrokenRun returns the latest run of a gang that has lost a member, 0 if none has.
func (st *Step) LatestBrokenRun() RunNumber {
	latest, whole := RunNumber(0), true
	for i := range st.Tasks {
		latest = max(latest, st.Tasks[i].LastRun)
	}
	for i := range st.Tasks {
		whole = whole && st.Tasks[i].LookupRun(latest) != nil
	}
	if whole && latest > 0 {
		return latest - 1
	}
	return latest
}

// updateJobState ends a job that has completed, or of which a task or gang has
// failed MaxAttempts times.
func (s *State) updateJobState(j *Job, at registrar.Millis) {
	if j.OccurrencesCompleted == j.Def.Occurrences() {
		s.endJob(j, Completed, at)
		return
	}
	limit := j.Queue.MaxAttempts
	if limit == 0 {
		return
	}
	for _, o := range j.Occurrences {
		if _, _, exhausted := o.Exhausted(limit, s.Format); exhausted {
			s.endJob(j, Failed, at)
			return
		}
	}
}

// WholeGang stands for the index of a task where the gang of a step is meant.
const WholeGang = -1

// Exhausted returns the step, and the index of the task or WholeGang, that has failed limit
// times and thereby fails the job. ok is false if there is none.
func (o *Occurrence) Exhausted(limit int, f Format) (step, index int, ok bool) {
	if limit == 0 || o.StepsLeft == 0 {
		return 0, 0, false
	}
	for i := range o.Steps {
		st := &o.Steps[i]
		if st.Failures >= limit && (st.TasksLeft > 0 || f < FormatGangRuns) {
			return i, WholeGang, true
		}
		for k := range st.Tasks {
			if st.Tasks[k].Failures >= limit && !st.Tasks[k].Done {
				return i, k, true
			}
		}
	}
	return 0, 0, false
}

func (s *State) deleteEndedJobs(before registrar.Millis) {
	n := 0
	for n < len(s.endedJobs) && s.endedJobs[n].at < before {
		if j := s.Jobs[s.endedJobs[n].id]; j != nil && j.ActiveRuns == 0 {
			delete(s.Jobs, s.endedJobs[n].id)
		}
		n++
	}
	s.endedJobs = append([]endedJob(nil), s.endedJobs[n:]...)
	s.forgetFormer()
}

// OldestEndTime returns the end time of the ended job that has been kept longest, or
// 0 if no ended job is kept.
func (s *State) OldestEndTime() registrar.Millis {
	if len(s.endedJobs) == 0 {
		return 0
	}
	return s.endedJobs[0].at
}

// Clone returns a deep copy, except for declarations, which are immutable and
// shared, and the labels of targets, which are replaced and never modified.
func (s *State) Clone() *State {
	c := New()
	c.Applied, c.Clock, c.Document, c.ShortLease, c.LongLease, c.Format, c.Known = s.Applied, s.Clock, s.Document, s.ShortLease, s.LongLease, s.Format, s.Known
	for id, j := range s.Jobs {
		c.Jobs[id] = j.clone()
	}
	for id, t := range s.Targets {
		copied := *t
		c.Targets[id] = &copied
	}
	for id, w := range s.Waves {
		c.Waves[id] = w.clone()
	}
	c.endedJobs = append(c.endedJobs, s.endedJobs...)
	c.withdrawals = s.withdrawals.clone()
	c.former = slices.Clone(s.former)
	return c
}

func (j *Job) clone() *Job {
	c := *j
	if j.Occurrences == nil {
		return &c
	}
	c.Occurrences = maps.Clone(j.Occurrences)
	for k, o := range j.Occurrences {
		co := *o
		co.Steps = make([]Step, len(o.Steps))
		for i, st := range o.Steps {
			st.Tasks = append([]Task(nil), st.Tasks...)
			for n := range st.Tasks {
				st.Tasks[n].Runs = append([]Run(nil), st.Tasks[n].Runs...)
			}
			co.Steps[i] = st
		}
		c.Occurrences[k] = &co
	}
	return &c
}
