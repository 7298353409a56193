// Package decider makes the scheduling decisions of the leader: which requests
// are admitted, where tasks run, and which are retried, stopped or refused. It
// performs no I/O and takes the current time as an argument. Its inputs are
// messages of daemons and changes by operators; its outputs are events for the
// log and messages that may be sent once those events are committed.
package decider

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the messages between daemons and the leader. Both directions
// are batched. Every message may be resent on a new connection; each identifies
// its subject, so handling it twice has no effect. A request passes through
// Admit (up), Assignment (down), Report (up) and Settled (down).

// Upstream is a batch of messages from a daemon to the leader.
type Upstream struct {
	Hello         *registrar.Daemon `cbor:"1,keyasint,omitempty"`
	Renewal       *Renewal          `cbor:"2,keyasint,omitempty"`
	Admits        []Admit           `cbor:"3,keyasint,omitempty"`
	Reports       []Report          `cbor:"4,keyasint,omitempty"`
	Announcements []Announcement    `cbor:"5,keyasint,omitempty"`
	Cancels       []Cancel          `cbor:"6,keyasint,omitempty"`
	Jobs          []JobRequest      `cbor:"7,keyasint,omitempty"`
	Leaving       bool              `cbor:"8,keyasint,omitempty"` // a planned shutdown has started
}

// Downstream is a batch of messages from the leader to a daemon.
type Downstream struct {
	Grant       *Grant        `cbor:"1,keyasint,omitempty"`
	Replies     []Reply       `cbor:"2,keyasint,omitempty"`
	Assignments []Assignment  `cbor:"3,keyasint,omitempty"`
	Settled     []TaskAttempt `cbor:"4,keyasint,omitempty"`
	Orders      []Order       `cbor:"5,keyasint,omitempty"`
	Targets     []TargetReply `cbor:"6,keyasint,omitempty"`
}

// Renewal requests an extension of the daemon's lease.
type Renewal struct {
	Seq      uint64             `cbor:"1,keyasint"`
	Revision registrar.Revision `cbor:"2,keyasint,omitempty"` // in force at the daemon
	Applied  registrar.Index    `cbor:"3,keyasint,omitempty"`
}

// Grant extends the lease by Duration from the time at which the renewal with
// number Seq was sent.
type Grant struct {
	Seq      uint64         `cbor:"1,keyasint"`
	Duration time.Duration  `cbor:"2,keyasint"`
	Term     registrar.Term `cbor:"3,keyasint"`
}

// Admit requests that a request be run.
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
	// Rerun requests another run of a repeatable request whose answer is lost.
	Rerun bool `cbor:"10,keyasint,omitempty"`
}

// Reply answers an Admit that needs no assignment, or one whose task has ended.
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
	Holder     registrar.DaemonName `cbor:"10,keyasint,omitempty"` // may have the answer
	Conflict   bool                 `cbor:"11,keyasint,omitempty"` // the key was used with other content
	Retired    bool                 `cbor:"12,keyasint,omitempty"` // the caller is retired
}

// Assignment instructs a daemon to start an attempt.
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
	Payload    []byte               `cbor:"10,keyasint,omitempty"` // of a task of a job
	Checkpoint string               `cbor:"11,keyasint,omitempty"`
	Term       registrar.Term       `cbor:"12,keyasint"`
	StartBy    registrar.Millis     `cbor:"13,keyasint"` // latest time at which the start may be sent
	Once       bool                 `cbor:"14,keyasint,omitempty"`
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	_       struct{} `cbor:",toarray"`
	Task    registrar.TaskID
	Attempt registrar.Attempt
}

// Result is the result of an attempt as observed by a daemon.
type Result uint8

// Results of an attempt.
const (
	ResultDone Result = iota + 1
	ResultFailed
	ResultNotStarted   // provably: no byte of the start was sent
	ResultAbsent       // the target confirmed that it does not run the attempt
	ResultStopped      // the target confirmed that it stopped the attempt
	ResultUnresponsive // the target is unreachable; its next report or the end of its lease decides
	ResultRefused      // the daemon's lease had expired before the start was sent
)

// Report reports the result of an attempt.
type Report struct {
	Task       registrar.TaskID  `cbor:"1,keyasint"`
	Attempt    registrar.Attempt `cbor:"2,keyasint"`
	Result     Result            `cbor:"3,keyasint"`
	Reason     string            `cbor:"4,keyasint,omitempty"`
	Answer     []byte            `cbor:"5,keyasint,omitempty"` // only if the request is not repeatable
	Status     int               `cbor:"6,keyasint,omitempty"`
	Checkpoint string            `cbor:"7,keyasint,omitempty"`
	Usage      *registrar.Need   `cbor:"8,keyasint,omitempty"`
	RunTime    time.Duration     `cbor:"9,keyasint,omitempty"`
	ByTarget   bool              `cbor:"10,keyasint,omitempty"` // taken from an announcement
}

// Announcement is a target's registration and heartbeat message as relayed by a
// daemon. Unless Full is set, it holds only Name, Incarnation, Seq and
// Digest.
type Announcement struct {
	Name        registrar.TargetName  `cbor:"1,keyasint"`
	Incarnation registrar.Incarnation `cbor:"2,keyasint"`
	Seq         uint64                `cbor:"3,keyasint"`
	Digest      registrar.Digest      `cbor:"4,keyasint,omitempty"` // of the running attempts and whether the target is leaving
	Full        *registrar.Target     `cbor:"5,keyasint,omitempty"`
	Running     []RunningTask         `cbor:"6,keyasint,omitempty"`
	Ended       []Report              `cbor:"7,keyasint,omitempty"`
}

// RunningTask is a background task that runs on a target.
type RunningTask struct {
	_       struct{} `cbor:",toarray"`
	Task    registrar.TaskID
	Attempt registrar.Attempt
	Usage   registrar.Need
}

// TargetReply answers an announcement.
type TargetReply struct {
	Name        registrar.TargetName  `cbor:"1,keyasint"`
	Incarnation registrar.Incarnation `cbor:"2,keyasint"`
	Seq         uint64                `cbor:"3,keyasint"`
	Duration    time.Duration         `cbor:"4,keyasint,omitempty"` // of the lease; 0 grants none
	Stop        []TaskAttempt         `cbor:"5,keyasint,omitempty"`
	Forget      []TaskAttempt         `cbor:"6,keyasint,omitempty"` // ended attempts that are recorded
	SendFull    bool                  `cbor:"7,keyasint,omitempty"`
	Retired     bool                  `cbor:"8,keyasint,omitempty"`
}

// Verb is the action that an order requests of a target.
type Verb uint8

// Verbs of orders.
const (
	VerbStop       Verb = iota + 1
	VerbCheckpoint      // checkpoint, then stop
	VerbThrottle
)

// Order instructs a daemon to act on an attempt that runs on a target.
type Order struct {
	Task    registrar.TaskID     `cbor:"1,keyasint"`
	Attempt registrar.Attempt    `cbor:"2,keyasint"`
	Target  registrar.TargetName `cbor:"3,keyasint"`
	Verb    Verb                 `cbor:"4,keyasint"`
	// Arrived is the time by which the start has either arrived or been lost.
	// From then on, the absence of the attempt is final.
	Arrived registrar.Millis `cbor:"5,keyasint"`
}

// Cancel cancels a request or a job.
type Cancel struct {
	Caller registrar.CallerName `cbor:"1,keyasint"`
	Key    registrar.Key        `cbor:"2,keyasint,omitempty"`
	Job    registrar.JobName    `cbor:"3,keyasint,omitempty"`
}

// JobRequest submits a job on behalf of a caller.
type JobRequest struct {
	Job registrar.Job `cbor:"1,keyasint"`
}

// Input is one batch from a daemon, or notice that its connection has closed.
type Input struct {
	Daemon      registrar.DaemonName
	Incarnation registrar.Incarnation
	Up          *Upstream
	Closed      bool
}

// Round is the result of one pass of decisions. Once Events are committed, Down
// may be sent and Answers called.
type Round struct {
	Events  []registrar.Event
	Down    map[registrar.DaemonName]*Downstream
	Answers []func()
}
