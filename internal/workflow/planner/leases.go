package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file decides how long the runs on a target may continue without contact to
// the leader. A long lease keeps them running while there is no leader; a short
// one lets their tasks start elsewhere sooner when the target is lost.
// Long-running tasks benefit most from a long lease; others finish within the
// short one or continue from a checkpoint. The replicated state holds which lease
// a target may have been granted, so that a new leader doesn't have to wait for
// the longest: if a target without long-running tasks crashes during an election,
// its tasks start elsewhere 3 s after the new leader has started.

// leaseFor returns the length of the lease to grant to a target.
func (p *Planner) leaseFor(t *target) time.Duration {
	if t.rec.LongLease {
		return p.Limits.LongLease
	}
	return p.Limits.ShortLease
}

// recordShortLease records the short lease of this leader in the replicated
// state before any lease is granted.
func (p *Planner) recordShortLease(now Moment) {
	if p.State.ShortLease < p.Limits.ShortLease {
		p.emit(tracker.Event{LeaseRaised: &tracker.LeaseRaised{Short: p.Limits.ShortLease}}, now)
	}
}

// maxEarlierLease returns the longest lease that earlier leaders may have granted
// to a target. It is MaxLease unless the state rules out a long lease.
func (p *Planner) maxEarlierLease(rec *tracker.Target) time.Duration {
	known := p.State.ShortLease > 0 && !rec.LongLease
	if !known && !p.without(WithoutLeaseRecord) {
		return p.Settings.MaxLease
	}
	return min(max(p.State.ShortLease, p.Limits.ShortLease), p.Settings.MaxLease)
}

// assumeLease records that the runs on a target may continue for a lease measured
// on the target's clock.
func (p *Planner) assumeLease(t *target, lease time.Duration, now Moment) {
	if end := now.Monotonic.Add(p.maxElapsed(lease)); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}
