package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file decides how long the runs on a target may continue without contact to
// the leader. A long lease keeps them running while there is no leader; a short
// one lets their tasks start elsewhere sooner when the target is lost.
// Long-running tasks benefit most from a long lease; others finish within the
// short one or continue from a checkpoint. A long-running task of a lost target has
// to run again within 9 s, of which the long lease leaves a part for its placement.
// The replicated state holds which lease a target may have been granted, so that a
// new leader doesn't have to wait for the longest: if a target without long-running
// tasks crashes during an election, its tasks start elsewhere 3 s after the new
// leader has started.

// leaseFor returns the length of the lease to grant to a target. The runs of one that
// drains may end with it unseen, after which their tasks wait for the end of the lease.
func (p *Planner) leaseFor(t *target) time.Duration {
	if t.rec.Draining {
		return min(p.Limits.DrainLease, p.Limits.ShortLease)
	}
	if t.rec.LongLease {
		return p.longLease()
	}
	return p.Limits.ShortLease
}

// recordLeases records the leases of this leader in the replicated state. Higher
// ones are recorded before any lease is granted; a lower long lease is recorded
// once everything that earlier leaders granted has expired.
func (p *Planner) recordLeases(now Moment) {
	ev := tracker.LeaseRaised{Short: p.Limits.ShortLease}
	known, own := p.State.LongLease, p.longLease()
	expired := len(p.State.Targets) == 0 || now.Monotonic.Sub(p.begunAt) > p.maxElapsed(p.Settings.MaxLease)
	if known > 0 && known < own || known != own && expired {
		ev.Long = own
	}
	if p.State.ShortLease < ev.Short || ev.Long > 0 {
		p.emit(tracker.Event{LeaseRaised: &ev}, now)
	}
}

func (p *Planner) longLease() time.Duration { return min(p.Limits.LongLease, p.Settings.MaxLease) }

// maxEarlierLease returns the longest lease that earlier leaders may have granted
// to a target. It is MaxLease unless the state shows that it is shorter.
func (p *Planner) maxEarlierLease(rec *tracker.Target) time.Duration {
	short := min(max(p.State.ShortLease, p.Limits.ShortLease), p.Settings.MaxLease)
	switch {
	case p.without(WithoutLeaseRecord):
		return short
	case rec.AnyLease && rec.AnyLeaseLeft == 0:
		return p.Settings.MaxLease
	case p.State.ShortLease > 0 && !rec.LongLease:
		return short
	case p.State.LongLease > 0:
		return max(short, p.State.LongLease)
	}
	return p.Settings.MaxLease
}

// mayOutlastLeases reports whether a target has restarted so recently that, if it is
// lost again, its long-running tasks can't run elsewhere in time: until it accepted the
// present token, a late order may have granted it a lease of any length.
func (p *Planner) mayOutlastLeases(t *target, now Moment) bool {
	limit := max(p.longestLease()-restartPause, p.maxElapsed(p.longLease())+leaseMargin)
	return t.rec.AnyLease && t.leaseEnd.Sub(now.Monotonic) > limit
}

// restartPause is how long a restarted target gets no long-running tasks. A lease of 10 s
// that began before it is over 9.3 s after a loss that follows.
const restartPause = time.Second

// longestLease returns the longest real time that runs may continue under a lease.
func (p *Planner) longestLease() time.Duration {
	return p.maxElapsed(p.Settings.MaxLease) + leaseMargin
}

// recordAnyLease records whether a target may run something under a lease of any length,
// and for how long at most; 0: that is not known.
func (p *Planner) recordAnyLease(t *target, set bool, left time.Duration, now Moment) {
	if p.State.Format < tracker.FormatBegun {
		left = 0 // replicas of that format may not know the field
	}
	if t.rec.AnyLease == set && t.rec.AnyLeaseLeft == left {
		return
	}
	seen := *t.rec
	seen.AnyLease, seen.AnyLeaseLeft = set, left
	p.emit(tracker.Event{TargetSeen: &tracker.TargetSeen{Target: seen}}, now)
	t.rec = p.State.Targets[seen.ID]
}

// boundAnyLease bounds a lease of any length once the target has accepted a token: it
// rejects earlier orders from now on, and no longer lease than one granted now is left.
func (p *Planner) boundAnyLease(t *target, now Moment) {
	if !t.rec.AnyLease || !t.anyLeaseEnd.IsZero() {
		return
	}
	p.assumeLease(t, p.Settings.MaxLease, now)
	t.anyLeaseEnd = now.Monotonic.Add(p.longestLease())
}

// recoverAnyLease takes over how much of a lease of any length was left when an earlier
// leader recorded it.
func (p *Planner) recoverAnyLease(t *target, now Moment) {
	if !t.rec.AnyLease || t.rec.AnyLeaseLeft == 0 {
		return
	}
	t.anyLeaseEnd = now.Monotonic.Add(t.rec.AnyLeaseLeft)
	if t.anyLeaseEnd.After(t.leaseEnd) {
		t.leaseEnd = t.anyLeaseEnd
	}
}

// checkAnyLease records how much is left of a lease of any length, for the next leader, and
// clears AnyLease once it is over.
func (p *Planner) checkAnyLease(t *target, now Moment) {
	if !t.rec.AnyLease || t.anyLeaseEnd.IsZero() {
		return
	}
	left := t.anyLeaseEnd.Sub(now.Monotonic)
	switch {
	case left <= 0:
		t.anyLeaseEnd = time.Time{}
		p.recordAnyLease(t, false, 0, now)
	case t.rec.AnyLeaseLeft == 0 || t.rec.AnyLeaseLeft-left >= anyLeaseStep:
		p.recordAnyLease(t, true, left, now)
	}
}

// anyLeaseStep is the precision to which the next leader knows how much is left of a lease
// of any length.
const anyLeaseStep = 500 * time.Millisecond

// assumeLease records that the runs on a target may continue for a lease measured
// on the target's clock.
func (p *Planner) assumeLease(t *target, lease time.Duration, now Moment) {
	if end := now.Monotonic.Add(p.maxElapsed(lease) + leaseMargin); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}
