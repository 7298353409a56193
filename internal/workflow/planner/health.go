package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file judges targets by how the runs on them end.

// health is a target's record of ends, with older ends counting less.
type health struct {
	failed, ended float64
	at            time.Time
}

const healthHalfLife = 10 * time.Second // a target that was repaired is trusted again within half a minute

func (h *health) add(failed bool, now time.Time) {
	if !h.at.IsZero() {
		keep := halved(now.Sub(h.at), healthHalfLife)
		h.failed *= keep
		h.ended *= keep
	}
	h.at = now
	h.ended++
	if failed {
		h.failed++
	}
}

// penalty is added to the score of a target.
func (h *health) penalty() float64 {
	if h.ended < 1 {
		return 0
	}
	return h.failed / (h.ended + 1)
}

func halved(age, halfLife time.Duration) float64 {
	share := float64(age) / float64(halfLife)
	return 1 / (1 + share) // a curve of the shape needed, without a power
}

// judge counts an end for or against the run's target.
func (p *Planner) judge(r *run, how tracker.End, now Moment) {
	if how == tracker.EndDone || how == tracker.EndFailed {
		r.target.health.add(how == tracker.EndFailed, now.Steady)
	}
}
