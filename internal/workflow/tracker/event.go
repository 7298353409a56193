package tracker

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file defines the events in the log and their CBOR encoding.

// Entry is one log entry: the events that the leader decided in one round.
type Entry struct {
	At     registrar.Millis `cbor:"1,keyasint"`
	Events []Event          `cbor:"2,keyasint"`
}

// Event is one change of the replicated state. Exactly one of its fields is set.
type Event struct {
	DocumentPut          *DocumentPut          `cbor:"1,keyasint,omitempty"`
	JobAccepted          *JobAccepted          `cbor:"2,keyasint,omitempty"`
	JobCancelled         *JobCancelled         `cbor:"3,keyasint,omitempty"`
	OccurrenceBegun      *OccurrenceBegun      `cbor:"4,keyasint,omitempty"`
	RunsStarted          *RunsStarted          `cbor:"5,keyasint,omitempty"`
	RunEnded             *RunEnded             `cbor:"6,keyasint,omitempty"`
	TargetSeen           *TargetSeen           `cbor:"7,keyasint,omitempty"`
	TargetGone           *TargetGone           `cbor:"8,keyasint,omitempty"`
	JobsForgotten        *JobsForgotten        `cbor:"9,keyasint,omitempty"`
	WavePut              *WavePut              `cbor:"10,keyasint,omitempty"`
	VMServiced           *VMServiced           `cbor:"11,keyasint,omitempty"`
	VMTaken              *VMTaken              `cbor:"12,keyasint,omitempty"`
	VMBack               *VMBack               `cbor:"13,keyasint,omitempty"`
	LeaseRaised          *LeaseRaised          `cbor:"14,keyasint,omitempty"`
	FormatRaised         *FormatRaised         `cbor:"15,keyasint,omitempty"`
	JobWithdrawn         *Withdrawal           `cbor:"16,keyasint,omitempty"`
	WithdrawalsForgotten *WithdrawalsForgotten `cbor:"17,keyasint,omitempty"`
	StateCheck           *StateCheck           `cbor:"18,keyasint,omitempty"`
}

// DocumentPut activates a configuration document.
type DocumentPut struct {
	Document *definer.Document `cbor:"1,keyasint"`
}

// JobAccepted adds a job.
type JobAccepted struct {
	Job       *definer.Job          `cbor:"1,keyasint"`
	Queue     definer.QueueName     `cbor:"2,keyasint"`
	Workspace definer.WorkspaceName `cbor:"3,keyasint,omitempty"`
}

// JobCancelled ends a job. The leader then stops its runs.
type JobCancelled struct {
	Job definer.JobID `cbor:"1,keyasint"`
}

// OccurrenceBegun starts the next occurrence of a job.
type OccurrenceBegun struct {
	Job definer.JobID `cbor:"1,keyasint"`
}

// RunsStarted adds runs of tasks of one step, all with the same run number. Start
// orders are sent only after the event is committed.
type RunsStarted struct {
	Step   definer.StepID `cbor:"1,keyasint"`
	Number RunNumber      `cbor:"2,keyasint"`
	Runs   []Placement    `cbor:"3,keyasint"`
}

// Placement assigns a task to the current incarnation of a target.
type Placement struct {
	Index  int      `cbor:"1,keyasint,omitempty"`
	Target TargetID `cbor:"2,keyasint"`
}

// End is the way in which a run ended.
type End uint8

// The ways in which a run ends.
const (
	EndDone           End = iota + 1
	EndFailed             // the task or the target failed
	EndStopped            // stopped by an order
	EndLeaseExpired       // the target's lease expired
	EndGangBroken         // another member of its gang ended
	EndGangIncomplete     // the other members of its gang did not start in time
	EndTargetLost         // its target was lost
	EndRefused            // the target did not start it
)

var endNames = []string{"", "Done", "Failed", "Stopped", "Lapsed", "Broken", "Alone", "Lost", "Refused"}

// String returns the name of e.
func (e End) String() string {
	if int(e) < len(endNames) {
		return endNames[e]
	}
	return "Unknown"
}

// Listed reports whether a target lists runs that have ended so: it had begun them.
func (e End) Listed() bool { return e != EndTargetLost && e != EndRefused }

// RunEnded ends a run and frees the capacity that it occupied.
type RunEnded struct {
	Task       definer.TaskID `cbor:"1,keyasint"`
	Number     RunNumber      `cbor:"2,keyasint"`
	How        End            `cbor:"3,keyasint"`
	Checkpoint string         `cbor:"4,keyasint,omitempty"` // latest checkpoint known; empty: the task keeps its earlier one
}

// TargetSeen adds or replaces a target.
type TargetSeen struct {
	Target Target `cbor:"1,keyasint"`
}

// TargetGone removes a target that has no runs.
type TargetGone struct {
	Target TargetID `cbor:"1,keyasint"`
}

// JobsForgotten removes jobs that ended before a given time.
type JobsForgotten struct {
	Before registrar.Millis `cbor:"1,keyasint"`
}

// LeaseRaised records the leases that leaders grant. Short is for targets without
// LongLease; a lower value than the recorded one is ignored. Long is for the
// others and replaces the recorded value; 0 leaves it as it is.
type LeaseRaised struct {
	Short time.Duration `cbor:"1,keyasint"`
	Long  time.Duration `cbor:"2,keyasint,omitempty"`
}

// Format numbers the rules by which entries are applied. Entries are applied by the format
// that was in force when they were written, so that a state that was shown to callers
// stays as it was when an old log or snapshot is read.
type Format int

const (
	// FormatGangRuns counts the failed runs of a gang instead of the failed ends of its
	// members.
	FormatGangRuns Format = iota + 1
	// FormatBegun keeps which jobs have begun, and remembers cancellations of unknown jobs.
	FormatBegun
	// FormatChecked compares the states of replicas; see StateCheck. From this format on
	// replicas tell which formats they follow, and a format is raised only when each of
	// them follows it.
	FormatChecked
	// FormatWorkspaces keeps the workspaces of documents and jobs.
	FormatWorkspaces

	// CurrentFormat is the latest format.
	CurrentFormat = FormatWorkspaces
)

// FormatRaised puts a format into force for the entries that follow. A lower one than the
// present is ignored.
type FormatRaised struct {
	Format Format `cbor:"1,keyasint"`
}

// StateCheck asks every replica for the digest of its state after the entry that holds the
// event, and tells the digest that the leader had after an earlier check. It does not
// change the state.
type StateCheck struct {
	Index  registrar.Index `cbor:"1,keyasint,omitempty"` // of the earlier entry; 0: none
	Digest Digest          `cbor:"2,keyasint,omitempty"`
}

// Encode returns the CBOR encoding of e. An entry that raises FormatChecked or a later format
// is encoded as a list, which versions from before can't decode: they would pass over the
// event, and stop at the entry instead.
func (e *Entry) Encode() ([]byte, error) {
	data, err := cbor.Marshal(e)
	return wrap(e.raises(), data, err)
}

// raises returns the format that e puts into force, 0 if it raises none.
func (e *Entry) raises() Format {
	f := Format(0)
	for _, ev := range e.Events {
		if ev.FormatRaised != nil {
			f = max(f, ev.FormatRaised.Format)
		}
	}
	return f
}

// wrapped is the encoded form of an entry that raises FormatChecked or a later format, and of
// a snapshot of such a format.
type wrapped struct {
	_      struct{} `cbor:",toarray"`
	Format Format
	Data   cbor.RawMessage // as it is encoded otherwise
}

func wrap(f Format, data []byte, err error) ([]byte, error) {
	if err != nil || f < FormatChecked {
		return data, err
	}
	return cbor.Marshal(wrapped{Format: f, Data: data})
}

// unwrap returns the inner encoding, and the format of a wrapped one.
func unwrap(data []byte) ([]byte, Format, error) {
	const list = 4 // major type of CBOR
	if len(data) == 0 || data[0]>>5 != list {
		return data, 0, nil
	}
	var w wrapped
	err := decMode.Unmarshal(data, &w)
	return w.Data, w.Format, err
}

// DecodeEntry decodes an entry that Entry.Encode has encoded. It fails if the entry holds an
// event or a field that this version does not know: it can't be applied here as it is
// elsewhere.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	data, _, err := unwrap(data)
	if err != nil {
		return e, fmt.Errorf("decode entry: %w", err)
	}
	if err := strictMode.Unmarshal(data, &e); err != nil {
		if unknown := unknownEvents(data); len(unknown) > 0 {
			return e, fmt.Errorf("decode entry: this version does not know events of kind %v; it follows formats up to %d", unknown, CurrentFormat)
		}
		return e, fmt.Errorf("decode entry: %w", err)
	}
	return e, nil
}

// unknownEvents returns the numbers of the events in an entry that this version does not
// know.
func unknownEvents(data []byte) []int {
	var e struct {
		Events []map[int]cbor.RawMessage `cbor:"2,keyasint"`
	}
	if decMode.Unmarshal(data, &e) != nil {
		return nil // it is no entry at all
	}
	var unknown []int
	for _, ev := range e.Events {
		for n := range ev {
			if n < 1 || n > reflect.TypeFor[Event]().NumField() {
				unknown = append(unknown, n)
			}
		}
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}

var (
	strictMode = mustDecMode(cbor.ExtraDecErrorUnknownField)
	decMode    = mustDecMode(cbor.ExtraDecErrorNone)
)

// maxElements bounds the lengths of lists and maps in an entry or snapshot. A
// snapshot at the design size has about 100,000 tasks.
const maxElements = 1 << 21

func mustDecMode(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		ExtraReturnErrors: extra,
		MaxArrayElements:  maxElements, MaxMapPairs: maxElements,
		UTF8: cbor.UTF8DecodeInvalid, // what is in the log has to be applied, or no replica starts again
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// String returns the kind of the event and, for most kinds, its subject.
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
		return "LeaseRaised " + ev.LeaseRaised.Short.String() + " " + ev.LeaseRaised.Long.String()
	case ev.JobWithdrawn != nil:
		return "JobWithdrawn " + ev.JobWithdrawn.Job.String()
	case ev.WithdrawalsForgotten != nil:
		return fmt.Sprintf("WithdrawalsForgotten %d", ev.WithdrawalsForgotten.Through)
	case ev.FormatRaised != nil:
		return fmt.Sprintf("FormatRaised %d", ev.FormatRaised.Format)
	case ev.StateCheck != nil:
		return fmt.Sprintf("StateCheck %d %s", ev.StateCheck.Index, ev.StateCheck.Digest)
	}
	return "Event"
}

// String returns the step, the run number and the placements of r.
func (r *RunsStarted) String() string {
	return fmt.Sprintf("RunsStarted %s run %d: %s", r.Step, r.Number, r.FormatPlacements())
}

// FormatPlacements lists the task indexes with their targets, such as "0@i-7f 1@i-3c".
func (r *RunsStarted) FormatPlacements() string {
	var b strings.Builder
	for i, p := range r.Runs {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.Itoa(p.Index) + "@" + string(p.Target))
	}
	return b.String()
}
