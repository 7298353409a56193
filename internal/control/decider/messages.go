// Package decider makes the leader's decisions: what is admitted, where it
// runs, what is retried, stopped or refused. It has no I/O and takes the
// present time as an argument. Its inputs are what daemons and operators sent;
// its outputs are events for the log and messages that may be sent once those
// events are committed.
package decider

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file is read first: it holds the messages between a daemon and the
// leader. Both directions are batches. Every message may be sent again after a
// new connection; each names what it is about, so a repeat changes nothing.
// Example of a request's way: Admit up, Assignment down, Report up, TaskAttempt
// in Settled down.

// Upstream is what a daemon sends to the leader.
type Upstream struct {
	Hello     *registrar.Daemon `cbor:"1,keyasint,omitempty"`
	Renewal   *Renewal          `cbor:"2,keyasint,omitempty"`
	Admits    []Admit           `cbor:"3,keyasint,omitempty"`
	Reports   []Report          `cbor:"4,keyasint,omitempty"`
	Announces []Announcement    `cbor:"5,keyasint,omitempty"`
	Cancels   []Cancel          `cbor:"6,keyasint,omitempty"`
	Jobs      []JobRequest      `cbor:"7,keyasint,omitempty"`
	Leaving   bool              `cbor:"8,keyasint,omitempty"` // a planned stop began
}

// Downstream is what the leader sends to a daemon.
type Downstream struct {
	Grant       *Grant        `cbor:"1,keyasint,omitempty"`
	Replies     []Reply       `cbor:"2,keyasint,omitempty"`
	Assignments []Assignment  `cbor:"3,keyasint,omitempty"`
	Settled     []TaskAttempt `cbor:"4,keyasint,omitempty"`
	Orders      []Order       `cbor:"5,keyasint,omitempty"`
	Targets     []TargetReply `cbor:"6,keyasint,omitempty"`
}

// Renewal asks for an extension of the daemon's lease.
type Renewal struct {
	Seq      uint64             `cbor:"1,keyasint"`
	Revision registrar.Revision `cbor:"2,keyasint,omitempty"` // in force in the daemon
	Applied  registrar.Index    `cbor:"3,keyasint,omitempty"`
}

// Grant extends the lease, counted from when the renewal of Seq was sent.
type Grant struct {
	Seq      uint64         `cbor:"1,keyasint"`
	Duration time.Duration  `cbor:"2,keyasint"`
	Term     registrar.Term `cbor:"3,keyasint"`
}

// Admit asks for a request to be run.
type Admit struct {
	Caller   registrar.CallerName `cbor:"1,keyasint"`
	Key      registrar.Key        `cbor:"2,keyasint"`
	Content  registrar.Digest     `cbor:"3,keyasint"`
	Class    registrar.Class      `cbor:"4,keyasint,omitempty"`
	Need     registrar.Need       `cbor:"5,keyasint"`
	Once     bool                 `cbor:"6,keyasint,omitempty"`
	Deadline registrar.Millis     `cbor:"7,keyasint,omitempty"`
	RunTime  time.Duration        `cbor:"8,keyasint,omitempty"`
	Region   registrar.RegionName `cbor:"9,keyasint,omitempty"`
	// Again asks to run a repeatable request once more whose answer is lost.
	Again bool `cbor:"10,keyasint,omitempty"`
}

// Reply answers an Admit that needs no assignment, or one whose task ended.
type Reply struct {
	Caller     registrar.CallerName `cbor:"1,keyasint"`
	Key        registrar.Key        `cbor:"2,keyasint"`
	Task       registrar.TaskID     `cbor:"3,keyasint,omitempty"`
	Attempt    registrar.Attempt    `cbor:"4,keyasint,omitempty"`
	Outcome    registrar.Outcome    `cbor:"5,keyasint,omitempty"`
	Reason     string               `cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration        `cbor:"7,keyasint,omitempty"`
	Answer     []byte               `cbor:"8,keyasint,omitempty"`
	Status     int                  `cbor:"9,keyasint,omitempty"`
	Holder     registrar.DaemonName `cbor:"10,keyasint,omitempty"` // may hold the answer
	Conflict   bool                 `cbor:"11,keyasint,omitempty"` // the key has other content
	Retired    bool                 `cbor:"12,keyasint,omitempty"` // the caller is retired
}

// Assignment tells a daemon to start an attempt.
type Assignment struct {
	Task       registrar.TaskID     `cbor:"1,keyasint"`
	Attempt    registrar.Attempt    `cbor:"2,keyasint"`
	Target     registrar.TargetName `cbor:"3,keyasint"`
	Caller     registrar.CallerName `cbor:"4,keyasint"`
	Key        registrar.Key        `cbor:"5,keyasint,omitempty"` // of a request
	Kind       registrar.Kind       `cbor:"6,keyasint,omitempty"`
	Need       registrar.Need       `cbor:"7,keyasint"`
	Job        registrar.JobName    `cbor:"8,keyasint,omitempty"`
	Ordinal    int                  `cbor:"9,keyasint,omitempty"`
	Payload    []byte               `cbor:"10,keyasint,omitempty"` // of a job's task
	Checkpoint string               `cbor:"11,keyasint,omitempty"`
	Term       registrar.Term       `cbor:"12,keyasint"`
	StartBy    registrar.Millis     `cbor:"13,keyasint"` // must not be sent later
	Once       bool                 `cbor:"14,keyasint,omitempty"`
}

// TaskAttempt names one attempt of a task.
type TaskAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    registrar.TaskID
	Attempt registrar.Attempt
}

// Result is how an attempt went, as a daemon learned it.
type Result uint8

// The results of an attempt.
const (
	ResultDone Result = iota + 1
	ResultFailed
	ResultNotStarted // provably: no byte of the start was sent
	ResultAbsent     // the target confirmed that it does not run the attempt
	ResultStopped    // the target confirmed that it stopped the attempt
	ResultSilent     // the target can't be asked; its lease decides
	ResultRefused    // the daemon's lease was over before the send
)

// Report tells the result of an attempt.
type Report struct {
	Task       registrar.TaskID  `cbor:"1,keyasint"`
	Attempt    registrar.Attempt `cbor:"2,keyasint"`
	Result     Result            `cbor:"3,keyasint"`
	Reason     string            `cbor:"4,keyasint,omitempty"`
	Answer     []byte            `cbor:"5,keyasint,omitempty"` // only if not repeatable
	Status     int               `cbor:"6,keyasint,omitempty"`
	Checkpoint string            `cbor:"7,keyasint,omitempty"`
	Usage      *registrar.Need   `cbor:"8,keyasint,omitempty"`
	RunTime    time.Duration     `cbor:"9,keyasint,omitempty"`
	ByTarget   bool              `cbor:"10,keyasint,omitempty"` // taken from an announcement
}

// Announcement is a target's sign of life as a daemon passes it on. Unless
// Full is set, it holds only Name, Life, Seq and Digest.
type Announcement struct {
	Name    registrar.TargetName  `cbor:"1,keyasint"`
	Life    registrar.Incarnation `cbor:"2,keyasint"`
	Seq     uint64                `cbor:"3,keyasint"`
	Digest  registrar.Digest      `cbor:"4,keyasint,omitempty"` // of Running and Leaving
	Full    *registrar.Target     `cbor:"5,keyasint,omitempty"`
	Running []RunningTask         `cbor:"6,keyasint,omitempty"`
	Ended   []Report              `cbor:"7,keyasint,omitempty"`
}

// RunningTask is a background task that a target runs.
type RunningTask struct {
	_       struct{} `cbor:",toarray"`
	Task    registrar.TaskID
	Attempt registrar.Attempt
	Usage   registrar.Need
}

// TargetReply answers an announcement.
type TargetReply struct {
	Name     registrar.TargetName  `cbor:"1,keyasint"`
	Life     registrar.Incarnation `cbor:"2,keyasint"`
	Seq      uint64                `cbor:"3,keyasint"`
	Duration time.Duration         `cbor:"4,keyasint,omitempty"` // of the lease
	Stop     []TaskAttempt         `cbor:"5,keyasint,omitempty"`
	Forget   []TaskAttempt         `cbor:"6,keyasint,omitempty"` // ended ones that are recorded
	SendFull bool                  `cbor:"7,keyasint,omitempty"`
	Retired  bool                  `cbor:"8,keyasint,omitempty"`
}

// Verb is what an order asks of a target.
type Verb uint8

// The verbs of orders.
const (
	VerbStop       Verb = iota + 1
	VerbCheckpoint      // checkpoint, then stop
	VerbThrottle
)

// Order tells a daemon to act on an attempt that runs on a target.
type Order struct {
	Task    registrar.TaskID     `cbor:"1,keyasint"`
	Attempt registrar.Attempt    `cbor:"2,keyasint"`
	Target  registrar.TargetName `cbor:"3,keyasint"`
	Verb    Verb                 `cbor:"4,keyasint"`
	// Arrived is the time by which a start has arrived or is lost, so that its
	// absence is final.
	Arrived registrar.Millis `cbor:"5,keyasint"`
}

// Cancel withdraws a request or a job.
type Cancel struct {
	Caller registrar.CallerName `cbor:"1,keyasint"`
	Key    registrar.Key        `cbor:"2,keyasint,omitempty"`
	Job    registrar.JobName    `cbor:"3,keyasint,omitempty"`
}

// JobRequest submits a job on behalf of a caller.
type JobRequest struct {
	Job registrar.Job `cbor:"1,keyasint"`
}

// Input is one batch from a daemon, or the end of its connection.
type Input struct {
	Daemon registrar.DaemonName
	Life   registrar.Incarnation
	Up     *Upstream
	Closed bool
}

// Round is the result of one decision. Down may be sent and Answers called
// once Events are committed.
type Round struct {
	Events  []registrar.Event
	Down    map[registrar.DaemonName]*Downstream
	Answers []func()
}
