// Package tracker holds the replicated state of workflows: the active
// configuration document, jobs with their steps, tasks and runs, targets, and
// waves. It applies committed log entries to that state and encodes and restores
// snapshots of it. Scheduling decisions are made elsewhere.
package tracker

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file defines the replicated state and the lookups in it. Task.Runs holds
// only runs that have not ended, so a run is identified by its Number and not by
// its position in the list.

// TargetID identifies a target in the cell.
type TargetID string

// Incarnation identifies one of the successive processes that use the same
// TargetID, by its start time in milliseconds since the Unix epoch.
type Incarnation int64

// RunNumber numbers the runs of a task, from 1.
type RunNumber int

// State is the replicated state. It is owned by one goroutine and has no lock.
type State struct {
	Applied  registrar.Index
	Clock    registrar.Millis // latest timestamp of the applied entries
	Document *definer.Document
	Jobs     map[definer.JobID]*Job
	Targets  map[TargetID]*Target
	Waves    map[WaveID]*Wave
	// ShortLease is the longest lease that any leader has granted to targets
	// without LongLease; 0 if not known.
	ShortLease time.Duration
	// LongLease is the longest lease of a target with Target.LongLease that may not
	// have expired at the start of a new leader; 0 if not known.
	LongLease time.Duration
	// Format numbers the rules by which entries are applied; see FormatRaised.
	Format Format
	// Known is the latest format that this replica follows. A lower one than
	// CurrentFormat makes it act as a version that does not know the later ones, for
	// tests of upgrades. It is not part of the replicated state.
	Known Format

	endedJobs   []endedJob // in the order in which they ended
	withdrawals withdrawals
	former      []definer.Workspace // that were removed and have jobs left, by name
}

type endedJob struct {
	id definer.JobID
	at registrar.Millis
}

// New returns an empty state.
func New() *State {
	return &State{
		Jobs:    make(map[definer.JobID]*Job),
		Targets: make(map[TargetID]*Target),
		Waves:   make(map[WaveID]*Wave),
		Known:   CurrentFormat,
	}
}

// JobState is the lifecycle state of a job.
type JobState uint8

// The states of a job.
const (
	Queued JobState = iota // no run has been decided
	Active
	Completed // every task has succeeded
	Failed    // a task or gang has failed Queue.MaxAttempts times
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

// Ended reports whether s is final: no task of the job may start any more.
func (s JobState) Ended() bool { return s >= Completed }

// Job is an accepted job.
type Job struct {
	Def                  *definer.Job        `cbor:"1,keyasint,omitempty"` // nil once the job and all of its runs have ended
	Queue                definer.Queue       `cbor:"2,keyasint"`           // as of the latest document that declares it
	Accepted             registrar.Millis    `cbor:"3,keyasint"`
	Ended                registrar.Millis    `cbor:"4,keyasint,omitempty"`
	State                JobState            `cbor:"5,keyasint,omitempty"`
	OccurrencesStarted   int                 `cbor:"6,keyasint,omitempty"` // number of occurrences started
	OccurrencesCompleted int                 `cbor:"7,keyasint,omitempty"` // number of occurrences completed
	ActiveRuns           int                 `cbor:"8,keyasint,omitempty"` // number of runs that have not ended
	Occurrences          map[int]*Occurrence `cbor:"9,keyasint,omitempty"` // started occurrences; nil once Def is nil
	ID                   definer.JobID       `cbor:"10,keyasint"`
	Begun                bool                `cbor:"11,keyasint,omitempty"` // a target has listed the end of a run
	// Workspace is the one that the job was accepted for; empty: none. Later documents
	// don't change it.
	Workspace definer.WorkspaceName `cbor:"12,keyasint,omitempty"`
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	StartedAt registrar.Millis `cbor:"1,keyasint"`
	StepsLeft int              `cbor:"2,keyasint"` // number of steps that are not done
	Steps     []Step           `cbor:"3,keyasint"`
}

// Step is the state of one step of an occurrence.
type Step struct {
	TasksLeft int `cbor:"1,keyasint"` // number of tasks that are not done
	// Failures counts the failed runs of a gang, however many of its members a run failed
	// with. Before FormatGangRuns it counts the failed ends of all members.
	Failures int    `cbor:"2,keyasint,omitempty"`
	Tasks    []Task `cbor:"3,keyasint"`
	// FailedRun is the latest run of a gang that Failures includes; 0 before FormatGangRuns.
	FailedRun RunNumber `cbor:"4,keyasint,omitempty"`
}

// Task is the state of one task.
type Task struct {
	Done       bool      `cbor:"1,keyasint,omitempty"`
	Failures   int       `cbor:"2,keyasint,omitempty"`
	LastRun    RunNumber `cbor:"3,keyasint,omitempty"` // number of the latest run
	Checkpoint string    `cbor:"4,keyasint,omitempty"`
	Runs       []Run     `cbor:"5,keyasint,omitempty"` // runs that have not ended
}

// Run is one start of a task on a target. It occupies capacity of the target
// until it ends.
type Run struct {
	Number      RunNumber   `cbor:"1,keyasint"`
	Target      TargetID    `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// Target is the record of a target, taken from its announcements.
type Target struct {
	ID          TargetID             `cbor:"1,keyasint"`
	Incarnation Incarnation          `cbor:"2,keyasint"`
	Address     string               `cbor:"3,keyasint"`
	Zone        registrar.ZoneName   `cbor:"4,keyasint,omitempty"`
	Pool        definer.PoolName     `cbor:"5,keyasint"`
	Release     string               `cbor:"6,keyasint,omitempty"` // software version
	Labels      []string             `cbor:"7,keyasint,omitempty"`
	Rack        string               `cbor:"8,keyasint,omitempty"`
	Capacity    registrar.Need       `cbor:"9,keyasint"`
	Slots       int                  `cbor:"10,keyasint,omitempty"`
	Draining    bool                 `cbor:"11,keyasint,omitempty"` // it is going to shut down and accepts no new runs
	Region      registrar.RegionName `cbor:"12,keyasint,omitempty"`
	VM          VMID                 `cbor:"13,keyasint,omitempty"` // the VM that hosts it
	// Sequence is the number of the announcement that this record was taken from.
	// Announcements of the same incarnation with this number or a lower one are
	// stale.
	Sequence int64 `cbor:"14,keyasint,omitempty"`
	// LongLease is set if runs of this incarnation may have been granted the long
	// lease: a long-running task has been started here.
	LongLease bool `cbor:"15,keyasint,omitempty"`
	// AnyLease is set if an order meant for an earlier incarnation may have reached
	// this one. Its deadline is a time on another clock, so that the lease may be the
	// longest one that targets accept.
	AnyLease bool `cbor:"16,keyasint,omitempty"`
	// AnyLeaseLeft is the most real time that was left of such a lease when this record was
	// made; 0: not known. The incarnation has rejected earlier orders since.
	AnyLeaseLeft time.Duration `cbor:"18,keyasint,omitempty"`
	// Unannounced is set if this incarnation has answered a poll and has not announced
	// itself yet. The rest of the record is that of the earlier incarnation.
	Unannounced bool `cbor:"17,keyasint,omitempty"`
}

// HasLabel reports whether the target carries a label.
func (t *Target) HasLabel(label string) bool {
	for _, l := range t.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// LookupStep returns the declaration and the state of a step. Both are nil if the
// step does not exist, its occurrence has not started, or its job and all of the
// job's runs have ended.
func (s *State) LookupStep(id definer.StepID) (*definer.Step, *Step) {
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

// LookupTask returns the declaration of a task's step and the state of the task. Both
// are nil in the cases listed at LookupStep and if the task does not exist.
func (s *State) LookupTask(id definer.TaskID) (*definer.Step, *Task) {
	def, step := s.LookupStep(id.StepID())
	if step == nil || id.Index < 0 || id.Index >= len(step.Tasks) {
		return nil, nil
	}
	return def, &step.Tasks[id.Index]
}

// LookupRun returns the run with a number, or nil if it has ended or never
// started.
func (t *Task) LookupRun(number RunNumber) *Run {
	for i := range t.Runs {
		if t.Runs[i].Number == number {
			return &t.Runs[i]
		}
	}
	return nil
}
