package tracker

import (
	"maps"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds maintenance waves. In a wave, each VM of a given set undergoes
// upkeep within a given duration, with a limit on how many are down at once.

// WaveID identifies a wave. It is chosen by the operator.
type WaveID int64

// VMID identifies the VM that hosts a target. It stays the same when the target is
// replaced by another one on that VM.
type VMID string

// Wave is the state of an accepted wave.
type Wave struct {
	ID        WaveID           `cbor:"1,keyasint"`
	StartedAt registrar.Millis `cbor:"2,keyasint"`
	Duration  time.Duration    `cbor:"3,keyasint"`
	MaxDown   int              `cbor:"4,keyasint"`           // limit on VMs down for upkeep at the same time
	Pending   map[VMID]bool    `cbor:"5,keyasint"`           // VMs whose upkeep has not started
	Down      map[VMID]DownVM  `cbor:"6,keyasint,omitempty"` // VMs that may be down for upkeep
}

// DownVM records when a VM was taken down and which incarnation of which target
// it hosted.
type DownVM struct {
	At          registrar.Millis `cbor:"1,keyasint"`
	Target      TargetID         `cbor:"2,keyasint,omitempty"`
	Incarnation Incarnation      `cbor:"3,keyasint,omitempty"`
}

// Completed reports whether the upkeep of every VM has started. VMs may still be
// down.
func (w *Wave) Completed() bool { return len(w.Pending) == 0 }

func (w *Wave) clone() *Wave {
	c := *w
	c.Pending = maps.Clone(w.Pending)
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

// VMServiced records that the upkeep of a VM of a wave has started, or that the VM
// no longer exists.
type VMServiced struct {
	Wave WaveID `cbor:"1,keyasint"`
	VM   VMID   `cbor:"2,keyasint"`
}

// VMTaken records that a VM is about to be ordered down for upkeep. It counts as
// down from then on, since the order may be executed although no reply arrives.
type VMTaken struct {
	Wave        WaveID      `cbor:"1,keyasint"`
	VM          VMID        `cbor:"2,keyasint"`
	Target      TargetID    `cbor:"3,keyasint,omitempty"` // the target that it hosts
	Incarnation Incarnation `cbor:"4,keyasint,omitempty"`
}

// VMBack records that a VM is no longer down for upkeep.
type VMBack struct {
	Wave WaveID `cbor:"1,keyasint"`
	VM   VMID   `cbor:"2,keyasint"`
}

func (s *State) markVMDown(e *VMTaken, at registrar.Millis) {
	if w := s.Waves[e.Wave]; w != nil {
		w.Down[e.VM] = DownVM{at, e.Target, e.Incarnation}
	}
}

func (s *State) markVMUp(e *VMBack) {
	if w := s.Waves[e.Wave]; w != nil {
		delete(w.Down, e.VM)
	}
}

func (s *State) addWave(e *WavePut, at registrar.Millis) {
	if s.Waves[e.ID] != nil {
		return
	}
	w := &Wave{ID: e.ID, StartedAt: at, Duration: e.Duration, MaxDown: e.MaxDown, Pending: make(map[VMID]bool, len(e.VMs)), Down: make(map[VMID]DownVM)}
	for _, vm := range e.VMs {
		w.Pending[vm] = true
	}
	s.Waves[e.ID] = w
}

func (s *State) markVMServiced(e *VMServiced) {
	if w := s.Waves[e.Wave]; w != nil {
		delete(w.Pending, e.VM)
	}
}
