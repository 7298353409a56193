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
	MaxDown  int              `cbor:"4,keyasint"` // VMs down for upkeep at once
	Left     map[VMID]bool    `cbor:"5,keyasint"` // VMs whose upkeep has not begun
}

// Completed reports whether the upkeep of every VM has begun.
func (w *Wave) Completed() bool { return len(w.Left) == 0 }

func (w *Wave) clone() *Wave {
	c := *w
	c.Left = maps.Clone(w.Left)
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

func (s *State) putWave(e *WavePut, at registrar.Millis) {
	if s.Waves[e.ID] != nil {
		return
	}
	w := &Wave{ID: e.ID, Begun: at, Duration: e.Duration, MaxDown: e.MaxDown, Left: make(map[VMID]bool, len(e.VMs))}
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
