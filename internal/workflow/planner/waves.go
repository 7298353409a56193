package planner

import (
	"masticroad/internal/workflow/tracker"
)

// This file carries out waves of upkeep.

// PutWave accepts a wave. Reply is called once it is recorded.
func (p *Planner) PutWave(w *tracker.WavePut, reply func(Answer), now Moment) {
	defer p.after(Action{Done: func() { reply(Answer{Verdict: Accepted}) }})
	if p.State.Waves[w.ID] != nil {
		return
	}
	p.emit(tracker.Event{WavePut: w}, now)
	p.note("wave accepted", "wave", int64(w.ID), "vms", len(w.VMs), "duration", w.Duration.Milliseconds(), "down", w.MaxDown)
}
