package registrar

import (
	"fmt"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// This file defines the events of the replicated log and their CBOR encoding. A
// new event is a type with an Apply method and an entry in eventTable. An entry
// with one TaskEnded event encodes to about 20 bytes.

// Event is one change of the replicated state. Apply must be deterministic, so
// that all replicas reach the same state: it may use only the state, the event
// and the time of the entry.
type Event interface {
	Apply(s *State, at Millis)
}

// Tag identifies the type of an event in the log. The tag of a removed type must
// not be reused.
type Tag uint8

// eventType describes one type of event.
type eventType struct {
	tag    Tag
	sample Event
	decode func(cbor.RawMessage) (Event, error)
}

var eventTable = []eventType{
	{1, ConfigChanged{}, decodeAs[ConfigChanged]},
	{2, TaskAdmitted{}, decodeAs[TaskAdmitted]},
	{3, TaskAssigned{}, decodeAs[TaskAssigned]},
	{4, TaskEnded{}, decodeAs[TaskEnded]},
	{5, TaskRequeued{}, decodeAs[TaskRequeued]},
	{6, TargetAnnounced{}, decodeAs[TargetAnnounced]},
	{7, TargetMarked{}, decodeAs[TargetMarked]},
	{8, DaemonStarted{}, decodeAs[DaemonStarted]},
	{9, CallerRetirementProved{}, decodeAs[CallerRetirementProved]},
	{10, RecordsExpired{}, decodeAs[RecordsExpired]},
	{11, TaskAttached{}, decodeAs[TaskAttached]},
	{12, TaskStopping{}, decodeAs[TaskStopping]},
	{13, TargetRetirementProved{}, decodeAs[TargetRetirementProved]},
	{14, JobSubmitted{}, decodeAs[JobSubmitted]},
	{15, JobCanceled{}, decodeAs[JobCanceled]},
	{16, ConfigPrepared{}, decodeAs[ConfigPrepared]},
	{17, ConfigDropped{}, decodeAs[ConfigDropped]},
}

var tagByType = indexByType()

func indexByType() map[reflect.Type]Tag {
	index := make(map[reflect.Type]Tag, len(eventTable))
	for _, k := range eventTable {
		index[reflect.TypeOf(k.sample)] = k.tag
	}
	return index
}

func tagOf(e Event) Tag {
	return tagByType[reflect.TypeOf(e)]
}

// Entry is the decoded content of one entry of the replicated log.
type Entry struct {
	At     Millis // by the clock of the leader that proposed it
	Events []Event
}

type wireEvent struct {
	_    struct{} `cbor:",toarray"`
	Tag  Tag
	Body cbor.RawMessage
}

type wireEntry struct {
	_      struct{} `cbor:",toarray"`
	At     Millis
	Events []wireEvent
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 24, MaxMapPairs: 1 << 24,
		UTF8: cbor.UTF8DecodeInvalid, // what is in the log has to be applied, or no replica starts again
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the encoded entry.
func (e Entry) Encode() ([]byte, error) {
	w := wireEntry{At: e.At}
	for _, ev := range e.Events {
		body, err := encMode.Marshal(ev)
		if err != nil {
			return nil, fmt.Errorf("encode %T: %w", ev, err)
		}
		w.Events = append(w.Events, wireEvent{Tag: tagOf(ev), Body: body})
	}
	return encMode.Marshal(w)
}

// DecodeEntry decodes an entry of the log. An unknown event tag is an error.
func DecodeEntry(data []byte) (Entry, error) {
	var w wireEntry
	if err := decMode.Unmarshal(data, &w); err != nil {
		return Entry{}, fmt.Errorf("decode entry: %w", err)
	}
	e := Entry{At: w.At}
	for _, we := range w.Events {
		ev, err := decodeEvent(we)
		if err != nil {
			return Entry{}, err
		}
		e.Events = append(e.Events, ev)
	}
	return e, nil
}

func decodeEvent(we wireEvent) (Event, error) {
	for _, k := range eventTable {
		if k.tag == we.Tag {
			return k.decode(we.Body)
		}
	}
	return nil, fmt.Errorf("decode entry: event tag %d is not known to this version", we.Tag)
}

func decodeAs[E Event](body cbor.RawMessage) (Event, error) {
	var e E
	if err := decMode.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("decode %T: %w", e, err)
	}
	return e, nil
}

// ConfigChanged is an accepted change of the configuration.
type ConfigChanged struct {
	Record ChangeRecord `cbor:"1,keyasint"`
	Ops    []Op         `cbor:"2,keyasint"`
}

// ConfigPrepared records that this region is prepared to accept a change that
// concerns every region. The change takes effect only with ConfigChanged.
type ConfigPrepared struct {
	ID     ChangeID `cbor:"1,keyasint"`
	Digest Digest   `cbor:"2,keyasint"`
	Ops    []Op     `cbor:"3,keyasint"`
	Text   string   `cbor:"4,keyasint,omitempty"`
}

// ConfigDropped records that this region will never accept the change.
type ConfigDropped struct {
	ID     ChangeID `cbor:"1,keyasint"`
	Digest Digest   `cbor:"2,keyasint"`
}

// Op is one operation of a change. Exactly one field is set.
type Op struct {
	PutCaller    *Caller     `cbor:"1,keyasint,omitempty"`
	RetireCaller CallerName  `cbor:"2,keyasint,omitempty"`
	PutPolicy    *Policy     `cbor:"3,keyasint,omitempty"`
	PutJob       *Job        `cbor:"4,keyasint,omitempty"`
	CancelJob    *JobKey     `cbor:"5,keyasint,omitempty"`
	DrainTarget  *TargetMark `cbor:"6,keyasint,omitempty"`
	RetireTarget TargetName  `cbor:"7,keyasint,omitempty"`
	CancelTask   TaskID      `cbor:"8,keyasint,omitempty"`
}

// TargetMark sets or clears a mark of a target, such as that it is drained.
type TargetMark struct {
	Name TargetName `cbor:"1,keyasint"`
	On   bool       `cbor:"2,keyasint,omitempty"`
}

// TaskAdmitted records an accepted task, which may already be assigned. To keep
// the log small, values that follow from other records are left zero: Submitted
// means the time of the entry, Incarnation that of the daemon, and Charge the
// need.
type TaskAdmitted struct {
	Task Task `cbor:"1,keyasint"`
}

// JobSubmitted records a job submitted by a caller.
type JobSubmitted struct {
	Job Job `cbor:"1,keyasint"`
}

// JobCanceled records that a caller canceled a job.
type JobCanceled struct {
	Caller CallerName `cbor:"1,keyasint"`
	Name   JobName    `cbor:"2,keyasint"`
}

// TaskAssigned assigns the next attempt of a task to a target and charges the
// target. An empty Daemon means the task's current daemon, a zero Charge its
// need.
type TaskAssigned struct {
	ID      TaskID     `cbor:"1,keyasint"`
	Attempt Attempt    `cbor:"2,keyasint"`
	Target  TargetName `cbor:"3,keyasint"`
	Daemon  DaemonName `cbor:"4,keyasint,omitempty"`
	Charge  Need       `cbor:"6,keyasint,omitzero"`
}

// TaskEnded sets the outcome of a task, which is final. Attempt is 0 if none was
// assigned.
type TaskEnded struct {
	ID      TaskID  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint,omitempty"`
	Outcome Outcome `cbor:"3,keyasint"`
	Reason  string  `cbor:"4,keyasint,omitempty"`
	Answer  []byte  `cbor:"5,keyasint,omitempty"`
	Status  int     `cbor:"6,keyasint,omitempty"`
}

// TaskRequeued ends an attempt and queues the task again.
type TaskRequeued struct {
	ID           TaskID  `cbor:"1,keyasint"`
	Attempt      Attempt `cbor:"2,keyasint"`
	Reason       string  `cbor:"3,keyasint,omitempty"`
	Failed       bool    `cbor:"4,keyasint,omitempty"`
	NotBefore    Millis  `cbor:"5,keyasint,omitempty"`
	Checkpoint   string  `cbor:"6,keyasint,omitempty"`
	Preempted    bool    `cbor:"7,keyasint,omitempty"`
	NeverStarted bool    `cbor:"8,keyasint,omitempty"` // the attempt provably never started
}

// TaskAttached assigns a queued request to another daemon, which then holds its
// body.
type TaskAttached struct {
	ID          TaskID      `cbor:"1,keyasint"`
	Daemon      DaemonName  `cbor:"2,keyasint"`
	Incarnation Incarnation `cbor:"3,keyasint"`
}

// TaskStopping records the decision to stop a running attempt.
type TaskStopping struct {
	ID       TaskID `cbor:"1,keyasint"`
	Canceled bool   `cbor:"2,keyasint,omitempty"`
	Reason   string `cbor:"3,keyasint,omitempty"`
}

// TargetAnnounced records a new target or a change of its announcement.
type TargetAnnounced struct {
	Target Target `cbor:"1,keyasint"`
}

// TargetMarked records the availability and quarantine of a target.
type TargetMarked struct {
	Name       TargetName  `cbor:"1,keyasint"`
	State      TargetState `cbor:"2,keyasint,omitempty"`
	Quarantine int         `cbor:"3,keyasint,omitempty"`
	ProbeAfter Millis      `cbor:"4,keyasint,omitempty"`
}

// DaemonStarted records a new incarnation of a daemon.
type DaemonStarted struct {
	Daemon Daemon `cbor:"1,keyasint"`
}

// CallerRetirementProved records the proof that completes the retirement of a caller.
type CallerRetirementProved struct {
	Name  CallerName `cbor:"1,keyasint"`
	Proof []byte     `cbor:"2,keyasint"`
}

// TargetRetirementProved records the proof that completes the retirement of a target.
type TargetRetirementProved struct {
	Name  TargetName `cbor:"1,keyasint"`
	Proof []byte     `cbor:"2,keyasint"`
}

// RecordsExpired deletes ended records whose retention is over. Each duration is
// the retention of one group of records.
type RecordsExpired struct {
	Repeatable time.Duration `cbor:"1,keyasint"`
	Once       time.Duration `cbor:"2,keyasint"`
	Jobs       time.Duration `cbor:"3,keyasint"`
	Changes    time.Duration `cbor:"4,keyasint"`
	// MaxRepeatable limits the number of ended repeatable requests; 0: no limit.
	MaxRepeatable int `cbor:"5,keyasint,omitempty"`
}
