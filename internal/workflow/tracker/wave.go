package tracker

import (
	"maps"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds waves of upkeep: an operator wants each of some VMs to have
// its upkeep within a time, with a bound on how many are down for it at once.

// WaveID identifies a wave. Operators choose it.
type WaveID int64

// VMID identifies the VM that a target lives on; it outlasts the target.
type VMID string

// Wave is an accepted wave.
type Wave struct {
	ID       WaveID           `cbor:"1,keyasint"`
	Begun    registrar.Millis `cbor:"2,keyasint"`
	Duration time.Duration    `cbor:"3,keyasint"`
	MaxDown  int              `cbor:"4,keyasint"`           // VMs down for upkeep at once
	Left     map[VMID]bool    `cbor:"5,keyasint"`           // VMs whose upkeep has not begun
	Down     map[VMID]Taken   `cbor:"6,keyasint,omitempty"` // VMs that may be down for it
}

// Taken tells when a VM was taken down, and what lived on it.
type Taken struct {
	At     registrar.Millis `cbor:"1,keyasint"`
	Target TargetID         `cbor:"2,keyasint,omitempty"`
	Life   Life             `cbor:"3,keyasint,omitempty"`
}

// Completed reports whether the upkeep of every VM has begun.
func (w *Wave) Completed() bool { return len(w.Left) == 0 }

func (w *Wave) clone() *Wave {
	c := *w
	c.Left = maps.Clone(w.Left)
	c.Down = maps.Clone(w.Down)
	return &c
}

// WavePut adds a wave.
type WavePut struct {
	ID       WaveID        `cbor:"1,keyasint"`
	VMs      []VMID        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	MaxDown  int           `cbor:"4,keyasint"`
}

// VMServiced notes that the upkeep of a VM of a wave has begun, or that the VM
// is gone.
type VMServiced struct {
	Wave WaveID `cbor:"1,keyasint"`
	VM   VMID   `cbor:"2,keyasint"`
}

// VMTaken notes that a VM is about to be ordered down for its upkeep. It counts
// as down from then on, since the order may be carried out without an answer.
type VMTaken struct {
	Wave   WaveID   `cbor:"1,keyasint"`
	VM     VMID     `cbor:"2,keyasint"`
	Target TargetID `cbor:"3,keyasint,omitempty"` // that lives on it
	Life   Life     `cbor:"4,keyasint,omitempty"`
}

// VMBack notes that a VM is not down for its upkeep any more.
type VMBack struct {
	Wave WaveID `cbor:"1,keyasint"`
	VM   VMID   `cbor:"2,keyasint"`
}

func (s *State) takeVM(e *VMTaken, at registrar.Millis) {
	if w := s.Waves[e.Wave]; w != nil {
		w.Down[e.VM] = Taken{at, e.Target, e.Life}
	}
}

func (s *State) returnVM(e *VMBack) {
	if w := s.Waves[e.Wave]; w != nil {
		delete(w.Down, e.VM)
	}
}

func (s *State) putWave(e *WavePut, at registrar.Millis) {
	if s.Waves[e.ID] != nil {
		return
	}
	w := &Wave{ID: e.ID, Begun: at, Duration: e.Duration, MaxDown: e.MaxDown, Left: make(map[VMID]bool, len(e.VMs)), Down: make(map[VMID]Taken)}
	for _, vm := range e.VMs {
		w.Left[vm] = true
	}
	s.Waves[e.ID] = w
}

func (s *State) serviceVM(e *VMServiced) {
	if w := s.Waves[e.Wave]; w != nil {
		delete(w.Left, e.VM)
	}
}
