// Package tracker keeps the replicated tables of workflows: the document in
// force, jobs with their steps, tasks and runs, and targets. It applies the
// entries of the log to them and makes and restores snapshots. It decides
// nothing.
package tracker

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file is read first: it holds the tables and the look-ups in them.
// Example: the second run of task 3 of step 0 is
//
//	state.Jobs[id].Occurrences[0].Steps[0].Tasks[3].Runs[0], with Number 2

// TargetID identifies a target among all targets.
type TargetID string

// Life tells apart the processes that had one TargetID: the time of a
// process's start, in milliseconds since 1970.
type Life int64

// RunNumber counts the starts of a task, from 1.
type RunNumber int

// State holds the tables. It is owned by one goroutine.
type State struct {
	Applied  registrar.Index
	Clock    registrar.Millis // the latest time of an applied entry
	Document *definer.Document
	Jobs     map[definer.JobID]*Job
	Targets  map[TargetID]*Target
	Waves    map[WaveID]*Wave
	// ShortLease is the longest lease that any leader has granted to targets
	// without LongLease; 0: not known.
	ShortLease time.Duration

	finished []finishedJob // in order of their end
}

type finishedJob struct {
	id definer.JobID
	at registrar.Millis
}

// New returns empty tables.
func New() *State {
	return &State{
		Jobs:    make(map[definer.JobID]*Job),
		Targets: make(map[TargetID]*Target),
		Waves:   make(map[WaveID]*Wave),
	}
}

// JobState tells how far a job is.
type JobState uint8

// The states of a job.
const (
	Queued JobState = iota // no task has started
	Active
	Completed // every task is done
	Failed    // a task has failed as often as its queue allows
	Cancelled
)

var jobStateNames = []string{"Queued", "Active", "Completed", "Failed", "Cancelled"}

// String returns the name of s.
func (s JobState) String() string {
	if int(s) < len(jobStateNames) {
		return jobStateNames[s]
	}
	return "Unknown"
}

// Ended reports whether no task of a job in this state may start.
func (s JobState) Ended() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	Def         *definer.Job        `cbor:"1,keyasint,omitempty"` // nil once the job has ended and none of its runs is left
	Queue       definer.Queue       `cbor:"2,keyasint"`           // as in the newest document that has it
	Accepted    registrar.Millis    `cbor:"3,keyasint"`
	Ended       registrar.Millis    `cbor:"4,keyasint,omitempty"`
	State       JobState            `cbor:"5,keyasint,omitempty"`
	Begun       int                 `cbor:"6,keyasint,omitempty"` // occurrences begun
	Completed   int                 `cbor:"7,keyasint,omitempty"` // occurrences completed
	Runs        int                 `cbor:"8,keyasint,omitempty"` // runs that have not ended
	Occurrences map[int]*Occurrence `cbor:"9,keyasint,omitempty"` // begun and not forgotten
	ID          definer.JobID       `cbor:"10,keyasint"`
}

// Occurrence is one passage through the steps of a job.
type Occurrence struct {
	Begun registrar.Millis `cbor:"1,keyasint"`
	Left  int              `cbor:"2,keyasint"` // steps that are not done
	Steps []Step           `cbor:"3,keyasint"`
}

// Step is the progress of one step of an occurrence.
type Step struct {
	Left     int    `cbor:"1,keyasint"`           // tasks that are not done
	Failures int    `cbor:"2,keyasint,omitempty"` // of a gang as a whole
	Tasks    []Task `cbor:"3,keyasint"`
}

// Task is the progress of one task.
type Task struct {
	Done       bool      `cbor:"1,keyasint,omitempty"`
	Failures   int       `cbor:"2,keyasint,omitempty"`
	Started    RunNumber `cbor:"3,keyasint,omitempty"` // number of the newest run
	Checkpoint string    `cbor:"4,keyasint,omitempty"`
	Runs       []Run     `cbor:"5,keyasint,omitempty"` // that have not ended
}

// Run is one start of a task on a target. It takes room there until it ends.
type Run struct {
	Number RunNumber `cbor:"1,keyasint"`
	Target TargetID  `cbor:"2,keyasint"`
	Life   Life      `cbor:"3,keyasint"`
}

// Target is a target as it last reported itself.
type Target struct {
	ID       TargetID             `cbor:"1,keyasint"`
	Life     Life                 `cbor:"2,keyasint"`
	Address  string               `cbor:"3,keyasint"`
	Zone     registrar.ZoneName   `cbor:"4,keyasint,omitempty"`
	Pool     definer.PoolName     `cbor:"5,keyasint"`
	Release  string               `cbor:"6,keyasint,omitempty"` // version of its software
	Labels   []string             `cbor:"7,keyasint,omitempty"`
	Rack     string               `cbor:"8,keyasint,omitempty"`
	Capacity registrar.Need       `cbor:"9,keyasint"`
	Slots    int                  `cbor:"10,keyasint,omitempty"`
	Draining bool                 `cbor:"11,keyasint,omitempty"` // it will leave and takes no new work
	Region   registrar.RegionName `cbor:"12,keyasint,omitempty"`
	VM       VMID                 `cbor:"13,keyasint,omitempty"` // that it lives on
	// Sequence is the number of the announcement that this was taken from.
	// Announcements of the same life up to it are outdated.
	Sequence int64 `cbor:"14,keyasint,omitempty"`
	// LongLease is set when what this life runs may have been granted the longest
	// lease: a task that lasts has run there, or an order to an earlier life may
	// have reached it.
	LongLease bool `cbor:"15,keyasint,omitempty"`
}

// HasLabel reports whether the target has a label.
func (t *Target) HasLabel(label string) bool {
	for _, l := range t.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// StepOf returns the declaration and the progress of a step; both are nil when
// it is not known or its occurrence has not begun.
func (s *State) StepOf(id definer.StepID) (*definer.Step, *Step) {
	j := s.Jobs[id.Job]
	if j == nil || j.Def == nil || id.Step < 0 || id.Step >= len(j.Def.Steps) {
		return nil, nil
	}
	o := j.Occurrences[id.Occurrence]
	if o == nil {
		return nil, nil
	}
	return &j.Def.Steps[id.Step], &o.Steps[id.Step]
}

// TaskOf returns the declaration of a task's step and its progress, or nil.
func (s *State) TaskOf(id definer.TaskID) (*definer.Step, *Task) {
	def, step := s.StepOf(id.Of())
	if step == nil || id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil, nil
	}
	return def, &step.Tasks[id.Index]
}

// RunOf returns a run that has not ended, or nil.
func (t *Task) RunOf(number RunNumber) *Run {
	for i := range t.Runs {
		if t.Runs[i].Number == number {
			return &t.Runs[i]
		}
	}
	return nil
}

// Pending returns the number of jobs of a queue of which no task has started.
func (s *State) Pending(queue definer.QueueName) int {
	n := 0
	for _, j := range s.Jobs {
		if j.State == Queued && j.Queue.Name == queue {
			n++
		}
	}
	return n
}
