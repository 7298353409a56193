package registrar

// This file applies events to the replicated state. Every replica ignores an
// event that does not match the state in the same way: TaskEnded for an attempt
// that is no longer the task's current one, for example, changes nothing.

// Apply records the change and applies its operations. It ignores a change whose
// revision does not follow the current one.
func (e ConfigChanged) Apply(s *State, at Millis) {
	if e.Record.Revision != s.Revision+1 {
		return
	}
	s.Revision = e.Record.Revision
	delete(s.Prepared, e.Record.ID)
	rec := e.Record
	rec.At = at
	rec.Index = s.Applied
	s.Changes[rec.ID] = &rec
	for _, op := range e.Ops {
		op.apply(s, at)
	}
}

// Apply stores the change until ConfigChanged or ConfigDropped decides it.
func (e ConfigPrepared) Apply(s *State, at Millis) {
	s.Prepared[e.ID] = &Prepared{e.ID, e.Digest, e.Ops, e.Text, at}
}

// Apply deletes the prepared change and records that it was dropped.
func (e ConfigDropped) Apply(s *State, at Millis) {
	delete(s.Prepared, e.ID)
	if s.Changes[e.ID] == nil {
		s.Changes[e.ID] = &ChangeRecord{ID: e.ID, Digest: e.Digest, At: at, Index: s.Applied, Dropped: true}
	}
}

func (op Op) apply(s *State, at Millis) {
	switch {
	case op.PutCaller != nil:
		s.putCaller(*op.PutCaller, at)
	case op.RetireCaller != "":
		s.retireCaller(op.RetireCaller, at)
	case op.PutPolicy != nil:
		s.Policies[op.PutPolicy.Name] = op.PutPolicy.Value
	case op.PutJob != nil:
		s.putJob(*op.PutJob, at)
	case op.CancelJob != nil:
		s.cancelJob(*op.CancelJob)
	case op.DrainTarget != nil:
		s.updateTarget(op.DrainTarget.Name, func(t *Target) { t.Draining = op.DrainTarget.On })
	case op.RetireTarget != "":
		s.updateTarget(op.RetireTarget, func(t *Target) { t.Retiring, t.Draining = true, true })
	case op.CancelTask != 0:
		s.updateTask(op.CancelTask, func(t *Task) { t.Canceled = true })
	}
}

// putCaller adds or replaces a caller, but keeps its Since, State and Proof.
func (s *State) putCaller(c Caller, at Millis) {
	old := s.Callers[c.Name]
	c.Since = at
	if old != nil {
		c.Since = old.Since
		c.State = old.State
		c.Proof = old.Proof
	}
	s.Callers[c.Name] = &c
}

// retireCaller starts the retirement of an active caller and cancels its jobs.
func (s *State) retireCaller(name CallerName, at Millis) {
	old := s.Callers[name]
	if old == nil || old.State != CallerActive {
		return
	}
	c := *old
	c.State = CallerRetiring
	c.Since = at
	s.Callers[name] = &c
	for key := range s.Jobs {
		if key.Caller == name {
			s.cancelJob(key)
		}
	}
}

// putJob adds or replaces a job, but keeps its Since and the counts of its tasks.
func (s *State) putJob(j Job, at Millis) {
	old := s.Jobs[j.KeyOf()]
	j.Since = at
	if old != nil {
		j.Since, j.Made, j.Done, j.Failed = old.Since, old.Made, old.Done, old.Failed
	}
	s.Jobs[j.KeyOf()] = &j
}

func (s *State) cancelJob(key JobKey) {
	old := s.Jobs[key]
	if old == nil {
		return
	}
	j := *old
	j.Canceled = true
	s.Jobs[key] = &j
}

// updateTarget replaces the record of a target by an altered copy.
func (s *State) updateTarget(name TargetName, f func(*Target)) {
	old := s.Targets[name]
	if old == nil {
		return
	}
	t := *old
	f(&t)
	s.Targets[name] = &t
}

// updateTask replaces the record of an unfinished task by an altered copy.
func (s *State) updateTask(id TaskID, f func(*Task)) {
	old := s.Tasks[id]
	if old == nil || old.State == Ended {
		return
	}
	t := *old
	f(&t)
	s.putTask(t)
}

// Apply adds the task and fills in the values that TaskAdmitted omits.
func (e TaskAdmitted) Apply(s *State, at Millis) {
	t := e.Task
	t.Since = at
	if t.Submitted == 0 {
		t.Submitted = at
	}
	if d := s.Daemons[t.Daemon]; d != nil && t.Life == 0 {
		t.Life = d.Incarnation
	}
	if t.State == Assigned && t.Charge.IsZero() {
		t.Charge = t.Need
	}
	s.NextTask = max(s.NextTask, t.ID+1)
	s.putTask(t)
	s.updateJob(t, func(j *Job) { j.Made++ })
}

// Apply marks the job as canceled.
func (e JobCanceled) Apply(s *State, _ Millis) {
	s.cancelJob(JobKey(e))
}

// updateJob replaces the record of the task's job, if it has one, by an altered
// copy.
func (s *State) updateJob(t Task, f func(*Job)) {
	if t.Job == "" {
		return
	}
	key := JobKey{t.Caller, t.Job}
	old := s.Jobs[key]
	if old == nil {
		return
	}
	j := *old
	f(&j)
	s.Jobs[key] = &j
}

// Apply adds the job unless the caller has one of the same name.
func (e JobSubmitted) Apply(s *State, at Millis) {
	if s.Jobs[e.Job.KeyOf()] == nil {
		s.putJob(e.Job, at)
	}
}

// Apply starts the next attempt and charges its target.
func (e TaskAssigned) Apply(s *State, at Millis) {
	s.updateTask(e.ID, func(t *Task) {
		t.State = Assigned
		t.Attempt = e.Attempt
		t.Target = e.Target
		if e.Daemon != "" {
			t.Daemon = e.Daemon
		}
		if d := s.Daemons[t.Daemon]; d != nil {
			t.Life = d.Incarnation
		}
		t.Charge = e.Charge
		if t.Charge.IsZero() {
			t.Charge = t.Need
		}
		t.Since = at
		t.Stopping = false
	})
}

// defaultStatus is the HTTP status of an answer to a completed task without one.
const defaultStatus = 200

// Apply sets the outcome of the task and frees its charge. It ignores an attempt
// other than the current one; attempt 0 matches any.
func (e TaskEnded) Apply(s *State, at Millis) {
	s.updateTask(e.ID, func(t *Task) {
		if e.Attempt != 0 && e.Attempt != t.Attempt {
			return
		}
		t.State = Ended
		t.Outcome = e.Outcome
		t.Reason = e.Reason
		t.Answer = e.Answer
		t.Status = e.Status
		if t.Status == 0 && e.Outcome == Done {
			t.Status = defaultStatus
		}
		t.Since = at
		s.updateJob(*t, func(j *Job) { j.countOutcome(e.Outcome) })
	})
}

func (j *Job) countOutcome(o Outcome) {
	if o == Done {
		j.Done++
		return
	}
	j.Failed++
}

// Apply ends the current attempt, frees its charge and queues the task again.
func (e TaskRequeued) Apply(s *State, at Millis) {
	s.updateTask(e.ID, func(t *Task) {
		if e.Attempt != t.Attempt || t.State != Assigned {
			return
		}
		t.State = Queued
		t.Reason = e.Reason
		t.NotBefore = e.NotBefore
		t.Stopping = false
		t.Since = at
		if e.Checkpoint != "" {
			t.Checkpoint = e.Checkpoint
		}
		if e.Failed {
			t.Failures++
		}
		if e.Preempted {
			t.Preempted++
		}
		if e.NeverStarted {
			t.Never++
		}
	})
}

// Apply assigns a queued request to another daemon.
func (e TaskAttached) Apply(s *State, _ Millis) {
	s.updateTask(e.ID, func(t *Task) {
		if t.State == Queued {
			t.Daemon, t.Life = e.Daemon, e.Incarnation
		}
	})
}

// Apply marks the current attempt as being stopped.
func (e TaskStopping) Apply(s *State, _ Millis) {
	s.updateTask(e.ID, func(t *Task) {
		t.Stopping = true
		t.Canceled = t.Canceled || e.Canceled
		t.Reason = e.Reason
	})
}

// Apply adds or replaces the target. It keeps operators' marks, the quarantine
// and the retirement.
func (e TargetAnnounced) Apply(s *State, at Millis) {
	t := e.Target
	t.Since = at
	if old := s.Targets[t.Name]; old != nil {
		t.Draining, t.Retiring, t.Proof = old.Draining, old.Retiring, old.Proof
		t.Quarantine, t.ProbeAfter = old.Quarantine, old.ProbeAfter
		if old.State == TargetRetired {
			t.State = TargetRetired
		}
	}
	s.Targets[t.Name] = &t
}

// Apply sets the availability and the quarantine of the target.
func (e TargetMarked) Apply(s *State, at Millis) {
	s.updateTarget(e.Name, func(t *Target) {
		if t.State != e.State {
			t.Since = at
		}
		t.State = e.State
		t.Quarantine = e.Quarantine
		t.ProbeAfter = e.ProbeAfter
	})
}

// Apply adds or replaces the daemon with its new incarnation.
func (e DaemonStarted) Apply(s *State, at Millis) {
	d := e.Daemon
	d.Since = at
	s.Daemons[d.Name] = &d
}

// Apply completes the retirement of the caller and deletes the evidence, which
// the proof contains.
func (e CallerRetirementProved) Apply(s *State, at Millis) {
	old := s.Callers[e.Name]
	if old == nil || old.State != CallerRetiring {
		return
	}
	c := *old
	c.State = CallerRetired
	c.Proof = e.Proof
	c.Since = at
	s.Callers[e.Name] = &c
	delete(s.Evidence, Subject{Caller: e.Name})
}

// Apply completes the retirement of the target and deletes the evidence, which
// the proof contains.
func (e TargetRetirementProved) Apply(s *State, at Millis) {
	s.updateTarget(e.Name, func(t *Target) {
		t.State = TargetRetired
		t.Proof = e.Proof
		t.Since = at
	})
	delete(s.Evidence, Subject{Target: e.Name})
}

// Apply deletes ended records whose retention is over.
func (e RecordsExpired) Apply(s *State, at Millis) {
	s.expireRecords(e, at)
}
