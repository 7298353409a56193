package registrar

import "time"

// This file defines the records of the replicated state. A record is immutable: it
// is replaced, never altered in place, so that a snapshot can be encoded while
// later entries are applied.

// Caller is a customer with its quota and credentials.
type Caller struct {
	Name        CallerName  `cbor:"1,keyasint"`
	Region      RegionName  `cbor:"2,keyasint,omitempty"`
	Quota       Need        `cbor:"3,keyasint,omitempty"` // zero: no limit
	Weight      int         `cbor:"4,keyasint,omitempty"` // weight in fair sharing; 0 counts as 1
	TokenDigest string      `cbor:"5,keyasint,omitempty"` // hex SHA-256 of the token
	Class       Class       `cbor:"6,keyasint,omitempty"` // class of requests that name none
	QueueBound  int         `cbor:"7,keyasint,omitempty"` // limit of queued requests; 0: that of the policy
	State       CallerState `cbor:"8,keyasint,omitempty"`
	Since       Millis      `cbor:"9,keyasint,omitempty"`
	Proof       []byte      `cbor:"10,keyasint,omitempty"` // encoded proof of retirement
}

// Policy is a named setting of the scheduler.
type Policy struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Job is a declared service, batch or all-at-once job.
type Job struct {
	Name     JobName       `cbor:"1,keyasint"`
	Caller   CallerName    `cbor:"2,keyasint"`
	Kind     Kind          `cbor:"3,keyasint"`
	Class    Class         `cbor:"4,keyasint,omitempty"`
	Need     Need          `cbor:"5,keyasint"`
	Count    int           `cbor:"6,keyasint"` // replicas or tasks
	Payload  []byte        `cbor:"7,keyasint,omitempty"`
	RunTime  time.Duration `cbor:"8,keyasint,omitempty"` // declared; 0: unknown
	Retries  int           `cbor:"9,keyasint,omitempty"`
	Deadline Millis        `cbor:"10,keyasint,omitempty"`
	Since    Millis        `cbor:"11,keyasint,omitempty"`
	Canceled bool          `cbor:"12,keyasint,omitempty"`
	Digest   Digest        `cbor:"13,keyasint,omitempty"`
	Made     int           `cbor:"14,keyasint,omitempty"` // tasks created so far
	Done     int           `cbor:"15,keyasint,omitempty"`
	Failed   int           `cbor:"16,keyasint,omitempty"`
	Region   RegionName    `cbor:"17,keyasint,omitempty"`
	Once     bool          `cbor:"18,keyasint,omitempty"` // not repeatable
}

// JobKey identifies a job in the cell.
type JobKey struct {
	Caller CallerName
	Name   JobName
}

// KeyOf returns the identity of j.
func (j *Job) KeyOf() JobKey { return JobKey{j.Caller, j.Name} }

// Task is one unit of work that runs on one target at a time.
type Task struct {
	ID         TaskID        `cbor:"1,keyasint"`
	Caller     CallerName    `cbor:"2,keyasint"`
	Key        Key           `cbor:"3,keyasint,omitempty"`
	Content    Digest        `cbor:"4,keyasint,omitempty"` // digest of the complete request
	Kind       Kind          `cbor:"5,keyasint,omitempty"`
	Class      Class         `cbor:"6,keyasint,omitempty"`
	Need       Need          `cbor:"7,keyasint"`
	Once       bool          `cbor:"8,keyasint,omitempty"` // not repeatable
	Submitted  Millis        `cbor:"9,keyasint,omitempty"`
	Deadline   Millis        `cbor:"10,keyasint,omitempty"`
	Job        JobName       `cbor:"11,keyasint,omitempty"`
	Ordinal    int           `cbor:"12,keyasint,omitempty"`
	RunTime    time.Duration `cbor:"13,keyasint,omitempty"`
	State      TaskState     `cbor:"14,keyasint,omitempty"`
	Attempt    Attempt       `cbor:"15,keyasint,omitempty"`
	Target     TargetName    `cbor:"16,keyasint,omitempty"`
	Daemon     DaemonName    `cbor:"17,keyasint,omitempty"` // holds the request body and dispatches it
	Life       Incarnation   `cbor:"18,keyasint,omitempty"` // of Daemon
	Since      Millis        `cbor:"19,keyasint,omitempty"` // start of the current state
	Charge     Need          `cbor:"20,keyasint,omitzero"`
	Outcome    Outcome       `cbor:"21,keyasint,omitempty"`
	Reason     string        `cbor:"22,keyasint,omitempty"`
	Answer     []byte        `cbor:"23,keyasint,omitempty"`
	Failures   int           `cbor:"24,keyasint,omitempty"`
	NotBefore  Millis        `cbor:"25,keyasint,omitempty"` // earliest start of the next attempt
	Stopping   bool          `cbor:"26,keyasint,omitempty"` // the current attempt is being stopped
	Checkpoint string        `cbor:"27,keyasint,omitempty"` // to resume from
	Canceled   bool          `cbor:"28,keyasint,omitempty"`
	Preempted  int           `cbor:"29,keyasint,omitempty"`
	Region     RegionName    `cbor:"30,keyasint,omitempty"`
	Never      Attempt       `cbor:"32,keyasint,omitempty"` // number of attempts that provably never started
	Status     int           `cbor:"31,keyasint,omitempty"` // HTTP status of the answer
}

// RequestKey identifies a request, so that a resent one is recognized.
type RequestKey struct {
	Caller CallerName
	Key    Key
}

// Target is a back end that runs tasks, with its last announcement.
type Target struct {
	Name        TargetName  `cbor:"1,keyasint"`
	Address     string      `cbor:"2,keyasint"`
	Region      RegionName  `cbor:"3,keyasint,omitempty"`
	Zone        ZoneName    `cbor:"4,keyasint,omitempty"`
	Rack        RackName    `cbor:"5,keyasint,omitempty"`
	Capacity    Need        `cbor:"6,keyasint"`
	Slots       int         `cbor:"7,keyasint"`
	Connections int         `cbor:"8,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"9,keyasint"`
	State       TargetState `cbor:"10,keyasint,omitempty"`
	Draining    bool        `cbor:"11,keyasint,omitempty"` // by an operator or by its announcement
	Quarantine  int         `cbor:"12,keyasint,omitempty"` // step of the quarantine; 0: none
	ProbeAfter  Millis      `cbor:"13,keyasint,omitempty"`
	Since       Millis      `cbor:"14,keyasint,omitempty"`
	Leaving     bool        `cbor:"15,keyasint,omitempty"`
	Proof       []byte      `cbor:"16,keyasint,omitempty"`
	Retiring    bool        `cbor:"17,keyasint,omitempty"`
}

// Daemon is a daemon of the cell that has opened a session with a leader.
type Daemon struct {
	Name        DaemonName  `cbor:"1,keyasint"`
	Address     string      `cbor:"2,keyasint,omitempty"`
	Region      RegionName  `cbor:"3,keyasint,omitempty"`
	Zone        ZoneName    `cbor:"4,keyasint,omitempty"`
	Incarnation Incarnation `cbor:"5,keyasint"`
	Since       Millis      `cbor:"6,keyasint,omitempty"`
	HTTPAddr    string      `cbor:"7,keyasint,omitempty"`
}

// ChangeRecord records an operator's change, so that a resent one is recognized.
type ChangeRecord struct {
	ID       ChangeID `cbor:"1,keyasint"`
	Digest   Digest   `cbor:"2,keyasint"`
	Revision Revision `cbor:"3,keyasint"`
	At       Millis   `cbor:"4,keyasint"`
	Text     string   `cbor:"5,keyasint,omitempty"`
	Operator string   `cbor:"6,keyasint,omitempty"`
	Index    Index    `cbor:"7,keyasint,omitempty"`
	Dropped  bool     `cbor:"8,keyasint,omitempty"` // never accepted in this region
}

// Prepared is a change that concerns every region and is not decided yet.
type Prepared struct {
	ID     ChangeID `cbor:"1,keyasint"`
	Digest Digest   `cbor:"2,keyasint"`
	Ops    []Op     `cbor:"3,keyasint"`
	Text   string   `cbor:"4,keyasint,omitempty"`
	At     Millis   `cbor:"5,keyasint"`
}
