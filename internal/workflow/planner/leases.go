package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file decides how long what a target runs may go on without a word from
// the leader. A long lease keeps it running while there is no leader; a short one
// lets its tasks start elsewhere sooner when the target is lost. Tasks that last
// gain most by a long one, others are done within the short one or go on from a
// checkpoint. The tables tell which lease a target may have been granted, so that
// a new leader need not wait for the longest. Example: a target that runs urgent
// tasks alone crashes while a leader is elected; 3 s after it has begun the new
// leader starts the tasks elsewhere.

// leaseFor returns the lease for a target.
func (p *Planner) leaseFor(t *target) time.Duration {
	if t.rec.LongLease {
		return p.Limits.LongLease
	}
	return p.Limits.ShortLease
}

// recordShortLease records the lease that this leader grants, before it grants any.
func (p *Planner) recordShortLease(now Moment) {
	if p.State.ShortLease < p.Limits.ShortLease {
		p.emit(tracker.Event{LeaseRaised: &tracker.LeaseRaised{Short: p.Limits.ShortLease}}, now)
	}
}

// maxEarlierLease returns the longest lease that earlier leaders may have granted
// to a target.
func (p *Planner) maxEarlierLease(rec *tracker.Target) time.Duration {
	known := p.State.ShortLease > 0 && !rec.LongLease
	if !known && !p.without(WithoutLeaseRecord) {
		return p.Settings.MaxLease
	}
	return min(max(p.State.ShortLease, p.Limits.ShortLease), p.Settings.MaxLease)
}

// assumeLease notes that what a target runs may go on for a time on its clock.
func (p *Planner) assumeLease(t *target, lease time.Duration, now Moment) {
	if end := now.Steady.Add(p.maxElapsed(lease)); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}
