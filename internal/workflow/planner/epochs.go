package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file keeps the fencing tokens of targets rising within a term, also when a target
// is removed and returns.

// removedEpoch is the epoch of a target that was removed in this term.
type removedEpoch struct {
	epoch int
	at    time.Time
}

// epochRetention is how long the epochs of removed targets are kept: longer than an
// order may be carried out late. A target that returns later refuses the token, which
// is then raised.
const epochRetention = time.Hour

// keepEpoch keeps the epoch of a target that is removed. The process may have seen its
// token, and orders with that token may be on their way to it.
func (p *Planner) keepEpoch(t *target, now Moment) {
	p.removedEpochs[t.rec.ID] = removedEpoch{t.epoch, now.Monotonic}
}

// nextEpoch returns the epoch of a target that is added, and drops what is known of an
// earlier record of it.
func (p *Planner) nextEpoch(id tracker.TargetID) int {
	e, removed := p.removedEpochs[id]
	if !removed {
		return 0
	}
	p.forgetTickets(id)
	return min(e.epoch+1, maxEpoch)
}

// forgetEpochs drops the epochs of targets that were removed long ago.
func (p *Planner) forgetEpochs(now Moment) {
	for id, e := range p.removedEpochs {
		if now.Monotonic.Sub(e.at) > epochRetention {
			delete(p.removedEpochs, id)
		}
	}
}

// raiseEpoch raises the token of a target that has refused the first one of its record.
// Either it has seen a token of an earlier record of this leader, or there is a later
// leader, whose tokens stay above all of this one.
func (p *Planner) raiseEpoch(t *target) {
	if t.tokenConfirmed || t.epoch == maxEpoch {
		return
	}
	p.log("target refused the fencing token", "target", t.rec.ID, "token", int64(p.token(t)), "runs", len(t.runs))
	t.epoch++
}
