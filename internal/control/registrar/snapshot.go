package registrar

import (
	"cmp"
	"fmt"
	"slices"
)

// This file makes and restores snapshots of the replicated state. A snapshot is
// taken in two steps to limit the work on the goroutine that owns the state:
// Freeze only copies pointers and runs on that goroutine, while Encode may run on
// any other. Records are encoded in key order, so that two replicas with equal
// state give equal bytes.

// Snapshot is a copy of the replicated state at one index.
type Snapshot struct {
	Applied  Index                `cbor:"1,keyasint"`
	Revision Revision             `cbor:"2,keyasint"`
	NextTask TaskID               `cbor:"3,keyasint"`
	Clock    Millis               `cbor:"4,keyasint"`
	Callers  []*Caller            `cbor:"5,keyasint"`
	Policies []Policy             `cbor:"6,keyasint"`
	Jobs     []*Job               `cbor:"7,keyasint"`
	Tasks    []*Task              `cbor:"8,keyasint"`
	Targets  []*Target            `cbor:"9,keyasint"`
	Daemons  []*Daemon            `cbor:"10,keyasint"`
	Changes  []*ChangeRecord      `cbor:"11,keyasint"`
	Chain    Chain                `cbor:"12,keyasint"`
	Evidence []RetirementEvidence `cbor:"13,keyasint,omitempty"`
	Prepared []*Prepared          `cbor:"14,keyasint,omitempty"`
}

// Freeze returns a snapshot of the state. It shares the records, which are
// immutable.
func (s *State) Freeze() *Snapshot {
	snap := &Snapshot{Applied: s.Applied, Revision: s.Revision, NextTask: s.NextTask, Clock: s.Clock, Chain: s.Chain}
	snap.Callers = values(s.Callers)
	snap.Jobs = values(s.Jobs)
	snap.Tasks = values(s.Tasks)
	snap.Targets = values(s.Targets)
	snap.Daemons = values(s.Daemons)
	snap.Changes = values(s.Changes)
	snap.Prepared = values(s.Prepared)
	for subject, links := range s.Evidence {
		snap.Evidence = append(snap.Evidence, RetirementEvidence{subject, links})
	}
	for name, value := range s.Policies {
		snap.Policies = append(snap.Policies, Policy{name, value})
	}
	return snap
}

func values[K comparable, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// Encode sorts the records of the snapshot and returns its encoding.
func (snap *Snapshot) Encode() ([]byte, error) {
	sortBy(snap.Callers, func(c *Caller) string { return string(c.Name) })
	sortBy(snap.Policies, func(p Policy) string { return p.Name })
	sortBy(snap.Jobs, func(j *Job) string { return string(j.Caller) + "\x00" + string(j.Name) })
	sortBy(snap.Tasks, func(t *Task) TaskID { return t.ID })
	sortBy(snap.Targets, func(t *Target) string { return string(t.Name) })
	sortBy(snap.Daemons, func(d *Daemon) string { return string(d.Name) })
	sortBy(snap.Evidence, func(d RetirementEvidence) string { return d.Subject.String() })
	sortBy(snap.Prepared, func(p *Prepared) string { return string(p.ID) })
	sortBy(snap.Changes, func(c *ChangeRecord) string { return string(c.ID) })
	return encMode.Marshal(snap)
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// Restore replaces the state, except for OnEvent, by that of an encoded snapshot.
func (s *State) Restore(data []byte) error {
	var snap Snapshot
	if err := decMode.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	restored := New()
	restored.OnEvent = s.OnEvent
	restored.Applied, restored.Revision = snap.Applied, snap.Revision
	restored.NextTask, restored.Clock = snap.NextTask, snap.Clock
	restored.Chain = snap.Chain
	restored.load(&snap)
	*s = *restored
	return nil
}

// load adds the records of a snapshot to an empty state and rebuilds the derived
// indexes.
func (s *State) load(snap *Snapshot) {
	for _, c := range snap.Callers {
		s.Callers[c.Name] = c
	}
	for _, p := range snap.Prepared {
		s.Prepared[p.ID] = p
	}
	for _, d := range snap.Evidence {
		s.Evidence[d.Subject] = d.Links
	}
	for _, p := range snap.Policies {
		s.Policies[p.Name] = p.Value
	}
	for _, j := range snap.Jobs {
		s.Jobs[j.KeyOf()] = j
	}
	for _, t := range snap.Targets {
		s.Targets[t.Name] = t
	}
	for _, d := range snap.Daemons {
		s.Daemons[d.Name] = d
	}
	for _, c := range snap.Changes {
		s.Changes[c.ID] = c
	}
	for _, t := range snap.Tasks {
		s.Tasks[t.ID] = t
		s.index(t)
		if t.State == Ended {
			s.addEnded(t)
		}
	}
	for r := range s.ended {
		sortBy(s.ended[r], func(e endedTask) Millis { return e.at })
	}
}
