package planner

import (
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file decides which process a target is. What a process answers to a poll at its
// address proves that it lives, which incarnation it is and what it runs. Any other call
// is a claim: it may have been delayed for longer than an incarnation lasts, or come from
// another program that names the id or the address of a target. A claim may add a target,
// which gets no work before it has answered, or keep work off one. It ends no run, and it
// yields to an answer to a later poll.

// Claim is what a call from elsewhere says of a target.
type Claim uint8

// The claims that may be ignored.
const (
	ClaimDeparture Claim = iota // it is about to end
	ClaimAddress                // it is the process at the address of another target
	ClaimIdentity               // it has another address, pool, zone or VM than this incarnation had before
	ClaimRestart                // it has started again
	ClaimPool                   // it belongs to a pool that the document does not name
	claims
)

// Claims is the number of kinds of claims.
const Claims = int(claims)

var claimNames = [claims]string{"Departure", "Address", "Identity", "Restart", "Pool"}

// String returns the name of c.
func (c Claim) String() string {
	if c < claims {
		return claimNames[c]
	}
	return "Unknown"
}

// claimLogInterval bounds the lines about ignored claims, which another program may
// repeat for ever. The others are counted.
const claimLogInterval = 200 * time.Millisecond

// ignore counts and logs a claim that has no effect.
func (p *Planner) ignore(c Claim, now Moment, fields ...any) {
	p.round.Ignored[c]++
	if now.Monotonic.Sub(p.claimLoggedAt) < claimLogInterval {
		p.claimsUnlogged++
		return
	}
	p.log("claim about a target ignored", append([]any{"claim", c.String(), "before", p.claimsUnlogged}, fields...)...)
	p.claimLoggedAt, p.claimsUnlogged = now.Monotonic, 0
}

// Announcement is a target's registration and heartbeat.
type Announcement struct {
	Target    tracker.Target
	DrainLeft time.Duration // a draining target keeps running for at least this long
	Clock     ClockMillis
	Sequence  int64 // increases with each announcement of an incarnation
}

// Announce handles an announcement. Done is called once its events are committed.
func (p *Planner) Announce(a *Announcement, done func(), now Moment) {
	defer p.doAfterCommit(Action{Done: done})
	if p.State.Document.Pool(a.Target.Pool) == nil {
		p.ignore(ClaimPool, now, "target", a.Target.ID, "pool", a.Target.Pool)
		return // it will be repeated, if the document that names the pool follows
	}
	old := p.targets[a.Target.ID]
	if a.isStale(old) || p.isSuperseded(a) || p.isTakenDown(&a.Target) || p.isRefuted(a, now) || p.contradicts(a, old, now) {
		return
	}
	t := p.recordAnnouncement(a, old, now)
	t.lastContact = now.Monotonic
	t.announcementSequence = a.Sequence
	if a.Target.Draining {
		t.drainEnd = now.Monotonic.Add(a.DrainLeft)
	}
	p.drainTarget(t, now)
}

// isStale reports whether a later announcement of the target has arrived.
func (a *Announcement) isStale(t *target) bool {
	if t == nil || a.Target.Incarnation > t.rec.Incarnation {
		return false
	}
	return a.Target.Incarnation < t.rec.Incarnation || a.Sequence <= t.announcementSequence
}

// isSuperseded reports whether a later process has answered at the announced address.
func (p *Planner) isSuperseded(a *Announcement) bool {
	for _, t := range p.byAddress[a.Target.Address] {
		if t.rec.ID != a.Target.ID && t.tokenConfirmed && t.rec.Incarnation > a.Target.Incarnation {
			return true
		}
	}
	return false
}

// contradicts reports whether an announcement contradicts what is known of a target. A
// process keeps its address, pool, zone and VM. A later one at another address counts once
// the earlier one is silent and has no runs left; it will be announced again.
func (p *Planner) contradicts(a *Announcement, t *target, now Moment) bool {
	if t == nil {
		return false
	}
	claim := ClaimIdentity
	if a.Target.Incarnation > t.rec.Incarnation {
		if t.rec.Address == a.Target.Address || !t.responsive && len(t.runs) == 0 {
			return false
		}
		claim = ClaimRestart
	} else if !t.tokenConfirmed || t.rec.Unannounced || sameProcess(t.rec, &a.Target) {
		return false
	}
	p.ignore(claim, now, "target", t.rec.ID, "life", int64(a.Target.Incarnation), "present", int64(t.rec.Incarnation), "address", a.Target.Address,
		"pool", a.Target.Pool, "vm", string(a.Target.VM))
	return true
}

// sameProcess reports whether two records of a target may be of one process. The VM may
// become known later.
func sameProcess(a, b *tracker.Target) bool {
	return a.Address == b.Address && a.Pool == b.Pool && a.Zone == b.Zone && (a.VM == b.VM || a.VM == "")
}

// refutation is a claim that an answer has contradicted.
type refutation struct {
	incarnation tracker.Incarnation
	until       time.Time // it may be made again then
}

// refutationTime is how long a claim is ignored after it was refuted.
const refutationTime = 10 * time.Second

func (p *Planner) refute(rec *tracker.Target, now Moment) {
	p.refuted[rec.ID] = refutation{rec.Incarnation, now.Monotonic.Add(refutationTime)}
}

// isRefuted reports whether an announcement repeats a claim that was refuted lately.
func (p *Planner) isRefuted(a *Announcement, now Moment) bool {
	x, ok := p.refuted[a.Target.ID]
	if !ok || x.incarnation != a.Target.Incarnation || now.Monotonic.After(x.until) {
		return false
	}
	p.ignore(ClaimAddress, now, "target", a.Target.ID, "life", int64(a.Target.Incarnation), "address", a.Target.Address)
	return true
}

func (p *Planner) forgetRefutations(now Moment) {
	for id, x := range p.refuted {
		if now.Monotonic.After(x.until) {
			delete(p.refuted, id)
		}
	}
}

// recordAnnouncement records the changes in an announcement and returns its target.
func (p *Planner) recordAnnouncement(a *Announcement, old *target, now Moment) *target {
	if old != nil && sameRecord(old.rec, &a.Target) {
		return old
	}
	if old != nil && a.Target.Incarnation > old.rec.Incarnation {
		p.handleRestart(old, a.Target.Incarnation, false, now)
	}
	seen := a.Target
	seen.Sequence = a.Sequence
	seen.AnyLease = old != nil && (old.rec.Incarnation < a.Target.Incarnation || old.rec.AnyLease)
	seen.AnyLeaseLeft = 0
	if old != nil && old.rec.Incarnation == a.Target.Incarnation {
		seen.AnyLeaseLeft = old.rec.AnyLeaseLeft
	}
	p.emit(tracker.Event{TargetSeen: &tracker.TargetSeen{Target: seen}}, now)
	rec := p.State.Targets[a.Target.ID]
	p.log("target seen", "target", rec.ID, "life", int64(rec.Incarnation), "address", rec.Address, "pool", rec.Pool,
		"zone", rec.Zone, "rack", rec.Rack, "draining", rec.Draining, "capacity", rec.Capacity.String())
	if old == nil {
		t := p.addTarget(rec, now)
		if p.without(WithoutAddressProof) {
			p.settleAddress(t, now.Monotonic.Add(time.Nanosecond), now)
		}
		return t
	}
	if old.rec.Address != rec.Address {
		p.leaveAddress(old)
		defer p.occupyAddress(old)
	}
	if old.tokenConfirmed && old.rec.VM == "" {
		p.recordVMReturn(rec, now)
	}
	moved := old.rec.Pool != rec.Pool
	if moved {
		p.leavePool(old)
	}
	old.rec = rec
	if moved {
		p.joinPool(old)
	}
	p.dirty = true
	return old
}

func sameRecord(a, b *tracker.Target) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Zone == b.Zone && a.Pool == b.Pool && a.Release == b.Release &&
		a.Rack == b.Rack && a.VM == b.VM && a.Capacity == b.Capacity && a.Slots == b.Slots && a.Draining == b.Draining && a.Unannounced == b.Unannounced &&
		slices.Equal(a.Labels, b.Labels)
}

// occupyAddress adds a target to those that have announced its address.
func (p *Planner) occupyAddress(t *target) {
	p.byAddress[t.rec.Address] = append(p.byAddress[t.rec.Address], t)
}

func (p *Planner) leaveAddress(t *target) {
	rest := slices.DeleteFunc(p.byAddress[t.rec.Address], func(x *target) bool { return x == t })
	if len(rest) == 0 {
		delete(p.byAddress, t.rec.Address)
		return
	}
	p.byAddress[t.rec.Address] = rest
}

// settleAddress removes the other targets that have announced the address of one that
// has answered there. One that was announced after the poll was sent may have replaced
// it since.
func (p *Planner) settleAddress(t *target, sent time.Time, now Moment) {
	if len(p.byAddress[t.rec.Address]) == 1 {
		return
	}
	for _, x := range slices.Clone(p.byAddress[t.rec.Address]) {
		if x == t || !sent.After(x.addedAt) {
			continue
		}
		if x.rec.Incarnation > t.rec.Incarnation {
			p.refute(x.rec, now)
			p.ignore(ClaimAddress, now, "target", x.rec.ID, "life", int64(x.rec.Incarnation), "address", x.rec.Address, "found", t.rec.ID)
		} else {
			p.log("target replaced", "target", x.rec.ID, "by", t.rec.ID, "address", t.rec.Address)
		}
		p.loseRuns(x, "another process answers at its address", now)
		p.removeTarget(x, now)
	}
}

// handleOtherProcess handles a poll that was refused because another process is at the
// address. If another target has announced the address as well, it is that one.
func (p *Planner) handleOtherProcess(t *target, now Moment) {
	p.log("poll answered by another target", "target", t.rec.ID, "life", int64(t.rec.Incarnation), "runs", len(t.runs))
	p.loseRuns(t, "another process at its address", now)
	t.responsive, t.tokenConfirmed = false, false
	t.pollDue = now.Monotonic.Add(p.Limits.IdlePollWait)
	if len(p.byAddress[t.rec.Address]) > 1 {
		p.refute(t.rec, now)
		p.removeTarget(t, now)
	}
}

// handleRestart handles a later incarnation of a target, which is proved or announced.
// Nothing that was known of the earlier one holds for it but the charge for runs. Orders
// that the earlier one has not answered may have been carried out by the later one, which
// has the same id, or may still be until it has seen a higher token; its answer to the
// first poll settles that. Other runs are lost with the earlier incarnation.
func (p *Planner) handleRestart(t *target, incarnation tracker.Incarnation, proved bool, now Moment) {
	p.log("target restarted", "target", t.rec.ID, "life", int64(incarnation), "before", int64(t.rec.Incarnation), "runs", len(t.runs), "proved", proved)
	p.answerDeparture(t, now)
	if !proved {
		p.keepStrays(t)
	}
	p.releaseOrphans(t)
	p.forgetTickets(t.rec.ID)
	epoch := min(t.epoch+1, maxEpoch)
	if p.without(WithoutEpochs) {
		epoch, proved = t.epoch, true
	}
	fresh, former := p.newTarget(t.rec, epoch, now), t.leaseEnd
	fresh.slot, fresh.runs, fresh.used, fresh.usedLongRunning, fresh.held = t.slot, t.runs, t.used, t.usedLongRunning, t.held
	fresh.neighbours = t.neighbours   // of those runs
	fresh.lastContact = t.lastContact // when those runs were last known to be alive
	*t = *fresh
	p.assumeLease(t, p.Settings.MaxLease, now) // the deadline of a late order is a time on the earlier incarnation's clock
	for _, r := range t.sortedRuns() {
		late := r.mayBeInNewIncarnation(p.Limits.LateOrderWindow, now) && !p.without(WithoutEpochs)
		if !late && proved {
			p.endRun(r, tracker.EndTargetLost, r.checkpoint, "target began a new life", now)
			continue
		}
		if !late && r.goneAt.IsZero() {
			r.goneAt = former
		}
		r.state, r.listed, r.stoppedAt = runRecovered, false, time.Time{}
	}
}

// loseFormerRuns ends runs of an earlier incarnation whose lease is over, if the one that
// was announced does not answer.
func (p *Planner) loseFormerRuns(t *target, now Moment) {
	if t.tokenConfirmed {
		return
	}
	for _, r := range t.sortedRuns() {
		if !r.goneAt.IsZero() && now.Monotonic.After(r.goneAt) {
			p.endRun(r, tracker.EndTargetLost, r.checkpoint, "lease of the former life over", now)
		}
	}
}

// handleOtherIncarnation handles a poll that another incarnation of the target has
// answered.
func (p *Planner) handleOtherIncarnation(t *target, answering tracker.Incarnation, now Moment) {
	if answering > t.rec.Incarnation {
		p.handleRestart(t, answering, true, now)
	} else {
		p.refute(t.rec, now)
		p.ignore(ClaimRestart, now, "target", t.rec.ID, "life", int64(t.rec.Incarnation), "present", int64(answering), "address", t.rec.Address)
	}
	p.recordIncarnation(t, answering, now)
}

// recordIncarnation records the incarnation that has answered. It gets no work before its
// next announcement, as it may have another capacity than the record.
func (p *Planner) recordIncarnation(t *target, incarnation tracker.Incarnation, now Moment) {
	seen := *t.rec
	seen.Incarnation, seen.Sequence, seen.Draining, seen.LongLease = incarnation, 0, false, false
	seen.AnyLease, seen.AnyLeaseLeft, seen.Unannounced = true, 0, true
	p.emit(tracker.Event{TargetSeen: &tracker.TargetSeen{Target: seen}}, now)
	t.rec, t.announcementSequence = p.State.Targets[seen.ID], 0
	t.tokenConfirmed, t.hasClock, t.endCursor = false, false, 0
	t.pollDue = now.Monotonic
}
