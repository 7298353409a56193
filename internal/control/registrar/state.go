// Package registrar implements the replicated state machine of the cell. The
// state holds callers, policies, jobs, tasks, targets, daemons and configuration
// changes. The package applies log entries to it and makes and restores
// snapshots. It contains no scheduling decisions: the leader takes them, and the
// log records their results.
package registrar

import (
	"cmp"
	"slices"
	"time"
)

// State is the replicated state. It is owned by one goroutine.
type State struct {
	Applied  Index
	Revision Revision
	NextTask TaskID
	Clock    Millis // the latest time of an applied entry
	Chain    Chain  // hash chain over all applied entries

	Callers  map[CallerName]*Caller
	Policies map[string]string
	Jobs     map[JobKey]*Job
	Tasks    map[TaskID]*Task
	Targets  map[TargetName]*Target
	Daemons  map[DaemonName]*Daemon
	Changes  map[ChangeID]*ChangeRecord
	Prepared map[ChangeID]*Prepared
	// Evidence holds the log entries that concern each retirement in progress.
	Evidence map[Subject][]Link

	// Indexes derived from the fields above; not part of a snapshot.
	ByKey    map[RequestKey]TaskID
	ByTarget map[TargetName]map[TaskID]*Task  // assigned tasks
	ByJob    map[JobKey]map[TaskID]*Task      // unfinished tasks
	ended    [retentionGroupCount][]endedTask // in the order in which they ended

	// OnEvent, if set, is called after each applied event.
	OnEvent func(Event)
}

type endedTask struct {
	id TaskID
	at Millis
}

// New returns an empty state.
func New() *State {
	return &State{
		NextTask: 1,
		Callers:  make(map[CallerName]*Caller),
		Policies: make(map[string]string),
		Jobs:     make(map[JobKey]*Job),
		Tasks:    make(map[TaskID]*Task),
		Targets:  make(map[TargetName]*Target),
		Daemons:  make(map[DaemonName]*Daemon),
		Changes:  make(map[ChangeID]*ChangeRecord),
		Prepared: make(map[ChangeID]*Prepared),
		Evidence: make(map[Subject][]Link),
		ByKey:    make(map[RequestKey]TaskID),
		ByTarget: make(map[TargetName]map[TaskID]*Task),
		ByJob:    make(map[JobKey]map[TaskID]*Task),
	}
}

// Apply decodes and applies the log entry at the given index. It ignores entries
// at or below the applied index.
func (s *State) Apply(index Index, data []byte) (Entry, error) {
	if index <= s.Applied {
		return Entry{}, nil
	}
	e, err := DecodeEntry(data)
	if err != nil {
		return e, err
	}
	s.Applied = index
	s.Clock = max(s.Clock, e.At)
	link := Link{Index: index, Before: s.Chain, Data: data}
	s.Chain = link.After()
	s.collectEvidence(link, e)
	for _, ev := range e.Events {
		ev.Apply(s, e.At)
		if s.OnEvent != nil {
			s.OnEvent(ev)
		}
	}
	return e, nil
}

// Skip advances the applied index past a log entry that holds no events. Such an
// entry does not extend the hash chain.
func (s *State) Skip(index Index) {
	s.Applied = max(s.Applied, index)
}

// Used returns the sum of the charges of the tasks assigned to a target, and their
// number.
func (s *State) Used(name TargetName) (Need, int) {
	var sum Need
	tasks := s.ByTarget[name]
	for _, t := range tasks {
		sum = sum.Plus(t.Charge)
	}
	return sum, len(tasks)
}

// Lookup returns the task with the given request key, or nil.
func (s *State) Lookup(key RequestKey) *Task {
	id, ok := s.ByKey[key]
	if !ok {
		return nil
	}
	return s.Tasks[id]
}

// TasksOf returns the unfinished tasks of a caller, sorted by id.
func (s *State) TasksOf(name CallerName) []*Task {
	var out []*Task
	for _, t := range s.Tasks {
		if t.Caller == name && t.State != Ended {
			out = append(out, t)
		}
	}
	SortTasks(out)
	return out
}

// SortTasks sorts tasks by id.
func SortTasks(tasks []*Task) {
	slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.ID, b.ID) })
}

// putTask adds or replaces the record of a task and updates the derived indexes.
func (s *State) putTask(t Task) {
	old := s.Tasks[t.ID]
	if old != nil {
		s.unindex(old)
	}
	rec := &t
	s.Tasks[t.ID] = rec
	s.index(rec)
	if t.State == Ended && (old == nil || old.State != Ended) {
		s.addEnded(rec)
	}
}

// retentionGroup is a group of ended tasks with the same retention.
type retentionGroup int

const (
	retainRepeatable retentionGroup = iota
	retainOnce
	retainJobs
	retentionGroupCount
)

func retentionGroupOf(t *Task) retentionGroup {
	switch {
	case t.Once:
		return retainOnce
	case t.Job != "":
		return retainJobs
	}
	return retainRepeatable
}

// addEnded adds an ended task to its retention group.
func (s *State) addEnded(t *Task) {
	r := retentionGroupOf(t)
	s.ended[r] = append(s.ended[r], endedTask{t.ID, t.Since})
}

func (s *State) index(t *Task) {
	if t.Key != "" {
		s.ByKey[RequestKey{t.Caller, t.Key}] = t.ID
	}
	if t.State == Assigned {
		addToIndex(s.ByTarget, t.Target, t)
	}
	if t.State != Ended && t.Job != "" {
		addToIndex(s.ByJob, JobKey{t.Caller, t.Job}, t)
	}
}

func (s *State) unindex(t *Task) {
	if t.State == Assigned {
		removeFromIndex(s.ByTarget, t.Target, t.ID)
	}
	if t.State != Ended && t.Job != "" {
		removeFromIndex(s.ByJob, JobKey{t.Caller, t.Job}, t.ID)
	}
}

func addToIndex[K comparable](index map[K]map[TaskID]*Task, key K, t *Task) {
	m := index[key]
	if m == nil {
		m = make(map[TaskID]*Task)
		index[key] = m
	}
	m[t.ID] = t
}

func removeFromIndex[K comparable](index map[K]map[TaskID]*Task, key K, id TaskID) {
	m := index[key]
	delete(m, id)
	if len(m) == 0 {
		delete(index, key)
	}
}

// deleteTask deletes an ended task, and its request key unless a later task has
// taken the key over.
func (s *State) deleteTask(t *Task) {
	delete(s.Tasks, t.ID)
	key := RequestKey{t.Caller, t.Key}
	if t.Key != "" && s.ByKey[key] == t.ID {
		delete(s.ByKey, key)
	}
}

func (s *State) expireRecords(e RecordsExpired, at Millis) {
	s.expireTasks(retainRepeatable, at.Add(-e.Repeatable), e.MaxRepeatable)
	s.expireTasks(retainOnce, at.Add(-e.Once), 0)
	s.expireTasks(retainJobs, at.Add(-e.Jobs), 0)
	for id, c := range s.Changes {
		if at >= c.At.Add(e.Changes) {
			delete(s.Changes, id)
		}
	}
	s.expireJobs(e, at)
}

func (s *State) expireJobs(e RecordsExpired, at Millis) {
	for key, j := range s.Jobs {
		ended := j.Kind != KindService && j.Done+j.Failed >= j.Count
		if (ended || j.Canceled) && at >= j.Since.Add(e.Jobs) {
			delete(s.Jobs, key)
		}
	}
}

// expireTasks deletes the tasks of one retention group that ended before the given
// time, and the oldest ones beyond a maximum number, unless that is 0.
func (s *State) expireTasks(r retentionGroup, before Millis, most int) {
	list := s.ended[r]
	n := 0
	for n < len(list) && (list[n].at < before || most > 0 && len(list)-n > most) {
		if t := s.Tasks[list[n].id]; t != nil {
			s.deleteTask(t)
		}
		n++
	}
	if n > 0 {
		s.ended[r] = append([]endedTask(nil), list[n:]...)
	}
}

// HasExpired reports whether RecordsExpired would delete any ended task at the
// given time.
func (s *State) HasExpired(e RecordsExpired, at Millis) bool {
	keep := [retentionGroupCount]time.Duration{retainRepeatable: e.Repeatable, retainOnce: e.Once, retainJobs: e.Jobs}
	if e.MaxRepeatable > 0 && len(s.ended[retainRepeatable]) > e.MaxRepeatable {
		return true
	}
	for r, list := range s.ended {
		if len(list) > 0 && list[0].at < at.Add(-keep[r]) {
			return true
		}
	}
	return false
}
