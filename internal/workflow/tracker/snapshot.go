package tracker

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file encodes and restores snapshots of the replicated state. Records are
// sorted by ID, so that equal states have equal encodings.

type snapshot struct {
	Applied          registrar.Index     `cbor:"1,keyasint"`
	Clock            registrar.Millis    `cbor:"2,keyasint"`
	Document         *definer.Document   `cbor:"3,keyasint,omitempty"`
	Jobs             []*Job              `cbor:"4,keyasint"`
	Targets          []*Target           `cbor:"5,keyasint"`
	Waves            []*Wave             `cbor:"6,keyasint,omitempty"`
	EndedJobs        []definer.JobID     `cbor:"7,keyasint"`
	Short            time.Duration       `cbor:"8,keyasint,omitempty"` // State.ShortLease
	Long             time.Duration       `cbor:"9,keyasint,omitempty"` // State.LongLease
	Format           Format              `cbor:"10,keyasint,omitempty"`
	Withdrawn        []Withdrawal        `cbor:"11,keyasint,omitempty"`
	LatestWithdrawal WithdrawalNumber    `cbor:"12,keyasint,omitempty"`
	Former           []definer.Workspace `cbor:"13,keyasint,omitempty"` // State.former
}

var encMode = mustEncMode()

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns a snapshot of s. From FormatChecked on it tells its format before all else,
// in a form that versions from before can't decode.
func (s *State) Encode() ([]byte, error) {
	snap := snapshot{Applied: s.Applied, Clock: s.Clock, Document: s.Document, Short: s.ShortLease, Long: s.LongLease, Format: s.Format}
	snap.Withdrawn, snap.LatestWithdrawal, snap.Former = s.withdrawals.order, s.withdrawals.latest, s.former
	for _, j := range s.Jobs {
		snap.Jobs = append(snap.Jobs, j)
	}
	for _, t := range s.Targets {
		snap.Targets = append(snap.Targets, t)
	}
	for _, w := range s.Waves {
		snap.Waves = append(snap.Waves, w)
	}
	for _, f := range s.endedJobs {
		snap.EndedJobs = append(snap.EndedJobs, f.id)
	}
	slices.SortFunc(snap.Jobs, func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(snap.Targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(snap.Waves, func(a, b *Wave) int { return cmp.Compare(a.ID, b.ID) })
	data, err := encMode.Marshal(snap)
	return wrap(s.Format, data, err)
}

// Restore replaces s by the state in a snapshot that Encode returned. It fails if the
// snapshot is of a later format than this version follows, or holds a field that it does
// not know. On an error s is unchanged.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	mode := strictMode
	if s.Known < FormatChecked {
		mode = decMode
	} else {
		inner, format, err := unwrap(data)
		if err = cmp.Or(err, s.checkFormat(format)); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
		data = inner
	}
	if err := mode.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	fresh := New()
	fresh.Applied, fresh.Clock, fresh.Document, fresh.ShortLease, fresh.LongLease = snap.Applied, snap.Clock, snap.Document, snap.Short, snap.Long
	fresh.Format = snap.Format
	fresh.withdrawals = restoreWithdrawals(snap.Withdrawn, snap.LatestWithdrawal)
	fresh.former = snap.Former
	for _, j := range snap.Jobs {
		if j.Def != nil && j.Occurrences == nil {
			j.Occurrences = make(map[int]*Occurrence)
		}
		fresh.Jobs[j.ID] = j
	}
	for _, t := range snap.Targets {
		fresh.Targets[t.ID] = t
	}
	for _, w := range snap.Waves {
		if w.Pending == nil {
			w.Pending = make(map[VMID]bool)
		}
		if w.Down == nil {
			w.Down = make(map[VMID]DownVM)
		}
		fresh.Waves[w.ID] = w
	}
	for _, id := range snap.EndedJobs {
		if j := fresh.Jobs[id]; j != nil {
			fresh.endedJobs = append(fresh.endedJobs, endedJob{id, j.Ended})
		}
	}
	if fresh.Known = s.Known; s.Known < FormatGangRuns {
		fresh.dropFormats()
	}
	*s = *fresh
	return nil
}
