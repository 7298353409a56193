package tracker

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file holds the events of the log and their encoding. An entry is what
// the leader decided in one round.

// Entry is one entry of the log.
type Entry struct {
	At     registrar.Millis `cbor:"1,keyasint"`
	Events []Event          `cbor:"2,keyasint"`
}

// Event is one change of the tables. Exactly one of its fields is set.
type Event struct {
	DocumentPut     *DocumentPut     `cbor:"1,keyasint,omitempty"`
	JobAccepted     *JobAccepted     `cbor:"2,keyasint,omitempty"`
	JobCancelled    *JobCancelled    `cbor:"3,keyasint,omitempty"`
	OccurrenceBegun *OccurrenceBegun `cbor:"4,keyasint,omitempty"`
	RunsStarted     *RunsStarted     `cbor:"5,keyasint,omitempty"`
	RunEnded        *RunEnded        `cbor:"6,keyasint,omitempty"`
	TargetSeen      *TargetSeen      `cbor:"7,keyasint,omitempty"`
	TargetGone      *TargetGone      `cbor:"8,keyasint,omitempty"`
	JobsForgotten   *JobsForgotten   `cbor:"9,keyasint,omitempty"`
	WavePut         *WavePut         `cbor:"10,keyasint,omitempty"`
	VMServiced      *VMServiced      `cbor:"11,keyasint,omitempty"`
	VMTaken         *VMTaken         `cbor:"12,keyasint,omitempty"`
	VMBack          *VMBack          `cbor:"13,keyasint,omitempty"`
	LeaseRaised     *LeaseRaised     `cbor:"14,keyasint,omitempty"`
}

// DocumentPut puts a document in force.
type DocumentPut struct {
	Document *definer.Document `cbor:"1,keyasint"`
}

// JobAccepted adds a job.
type JobAccepted struct {
	Job   *definer.Job      `cbor:"1,keyasint"`
	Queue definer.QueueName `cbor:"2,keyasint"`
}

// JobCancelled ends a job; its runs are stopped.
type JobCancelled struct {
	Job definer.JobID `cbor:"1,keyasint"`
}

// OccurrenceBegun lets the steps of the next occurrence of a job start.
type OccurrenceBegun struct {
	Job definer.JobID `cbor:"1,keyasint"`
}

// RunsStarted decides runs of tasks of one step. They have one number, and no
// order to start is sent before the event is committed.
type RunsStarted struct {
	Step   definer.StepID `cbor:"1,keyasint"`
	Number RunNumber      `cbor:"2,keyasint"`
	Runs   []Placement    `cbor:"3,keyasint"`
}

// Placement puts a task on the present life of a target.
type Placement struct {
	Index  int      `cbor:"1,keyasint,omitempty"`
	Target TargetID `cbor:"2,keyasint"`
}

// End tells how a run ended.
type End uint8

// The ends of a run.
const (
	EndDone    End = iota + 1
	EndFailed      // through its own fault or the target's
	EndStopped     // by order
	EndLapsed      // the target's lease was over
	EndBroken      // another member of its gang ended
	EndAlone       // the other members of its gang did not come in time
	EndLost        // with its target
	EndRefused     // the target did not start it
)

var endNames = []string{"", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "Lost", "Refused"}

// String returns the name of e.
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "Unknown"
}

// RunEnded ends a run and frees its room.
type RunEnded struct {
	Task       definer.TaskID `cbor:"1,keyasint"`
	Number     RunNumber      `cbor:"2,keyasint"`
	How        End            `cbor:"3,keyasint"`
	Checkpoint string         `cbor:"4,keyasint,omitempty"` // newest progress known
}

// TargetSeen adds or replaces a target.
type TargetSeen struct {
	Target Target `cbor:"1,keyasint"`
}

// TargetGone removes a target that runs nothing.
type TargetGone struct {
	Target TargetID `cbor:"1,keyasint"`
}

// JobsForgotten removes jobs that ended before a time.
type JobsForgotten struct {
	Before registrar.Millis `cbor:"1,keyasint"`
}

// LeaseRaised tells which lease a leader grants to targets without LongLease.
type LeaseRaised struct {
	Short time.Duration `cbor:"1,keyasint"`
}

// Encode returns the bytes of e.
func (e *Entry) Encode() ([]byte, error) { return cbor.Marshal(e) }

// DecodeEntry reads an encoded entry.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := decMode.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("decode entry: %w", err)
	}
	return e, nil
}

var decMode = mustDecMode()

// maxElements bounds lists and maps in an entry or snapshot; a snapshot at the
// size to design for has about 100,000 tasks.
const maxElements = 1 << 21

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// String names the kind of the event and what it is about.
func (ev Event) String() string {
	switch {
	case ev.DocumentPut != nil:
		return fmt.Sprintf("DocumentPut %d", ev.DocumentPut.Document.Version)
	case ev.JobAccepted != nil:
		return "JobAccepted " + ev.JobAccepted.Job.ID.String()
	case ev.JobCancelled != nil:
		return "JobCancelled " + ev.JobCancelled.Job.String()
	case ev.OccurrenceBegun != nil:
		return "OccurrenceBegun " + ev.OccurrenceBegun.Job.String()
	case ev.RunsStarted != nil:
		return ev.RunsStarted.String()
	case ev.RunEnded != nil:
		return fmt.Sprintf("RunEnded %s run %d %s", ev.RunEnded.Task, ev.RunEnded.Number, ev.RunEnded.How)
	case ev.TargetSeen != nil:
		return "TargetSeen " + string(ev.TargetSeen.Target.ID)
	case ev.TargetGone != nil:
		return "TargetGone " + string(ev.TargetGone.Target)
	case ev.LeaseRaised != nil:
		return "LeaseRaised " + ev.LeaseRaised.Short.String()
	}
	return "Event"
}

// String names the step and lists the runs.
func (r *RunsStarted) String() string {
	return fmt.Sprintf("RunsStarted %s run %d: %s", r.Step, r.Number, r.Placed())
}

// Placed lists the tasks and their targets, such as "0@i-7f 1@i-3c".
func (r *RunsStarted) Placed() string {
	var b strings.Builder
	for i, p := range r.Runs {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.Itoa(p.Index) + "@" + string(p.Target))
	}
	return b.String()
}
