package planner

import (
	"slices"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file holds the leader's view of targets: identity, capacity,
// responsiveness and lease. Runs on an unresponsive target count as running until
// its lease has expired; runs of an earlier incarnation are lost as soon as the
// target announces a new one.

// target is the leader's view of one target.
type target struct {
	rec             *tracker.Target
	slot            slot
	used            registrar.Need
	usedLongRunning registrar.Need // the part of used that long-running tasks take
	held            registrar.Need // by the present pass, for long-running tasks that wait; see holdCapacity
	runs            map[runKey]*run
	// orphans are runs that it lists and the replicated state does not have.
	orphans map[runKey]orphan

	epoch          int  // part of the fencing token; raised to fence older orders
	tokenConfirmed bool // it has answered a poll with the present token
	responsive     bool // false after several unanswered calls in a row, until it answers
	hasClock       bool
	clock          ClockMillis // in the newest answer
	clockAt        time.Time   // when that answer was received
	leaseEnd       time.Time   // no run ordered so far continues after it, unless the lease is extended
	anyLeaseEnd    time.Time   // no lease that Target.AnyLease stands for continues after it; zero: not known
	deadline       ClockMillis // latest end of the lease that was sent

	polling              bool
	pollDue              time.Time
	consecutiveMisses    int       // unanswered calls in a row; a poll counts twice
	silentAt             time.Time // when the newest poll was sent, if its outcome proved that the target does not answer
	unsentPolls          int       // polls in a row that could not be sent
	incompleteLoggedAt   time.Time
	endCursor            int64
	lastContact          time.Time  // of the newest announcement or answer
	announcementSequence int64      // of the newest announcement
	addedAt              time.Time  // to this leader's view
	drainEnd             time.Time  // a draining target may end from then on
	departure            *departure // nil: it has not announced its end
	pausedUntil          time.Time  // no new work until then, as it refused a start
	health               health
	ignoreDrain          bool // WithoutDrainCheck is set
	cordoned             bool // its VM is about to be taken down
	throttling           throttling
	neighbours           neighbours
	speed                targetSpeed
	chargedIn            *poolScan // the newest one that has it in charged
}

// free returns the capacity for new work.
func (t *target) free() registrar.Need { return t.rec.Capacity.Minus(t.used).Minus(t.held) }

// pool is the set of targets that run the tasks of some queues.
type pool struct {
	name    definer.PoolName
	targets []*target // by id
	shortAt time.Time // when a task last found no room; see noteShortage
}

type runKey struct {
	task   definer.TaskID
	number tracker.RunNumber
}

// newTarget returns the view of an incarnation of which only the record is known.
func (p *Planner) newTarget(rec *tracker.Target, epoch int, now Moment) *target {
	return &target{
		rec: rec, epoch: epoch, runs: make(map[runKey]*run), lastContact: now.Monotonic, pollDue: now.Monotonic, addedAt: now.Monotonic, announcementSequence: rec.Sequence,
		ignoreDrain: p.without(WithoutDrainCheck),
	}
}

// addTarget starts tracking a target of the replicated state. An earlier leader may
// have extended its lease just before.
func (p *Planner) addTarget(rec *tracker.Target, now Moment) *target {
	t := p.newTarget(rec, p.nextEpoch(rec.ID), now)
	t.slot = p.takeSlot()
	p.assumeLease(t, p.maxEarlierLease(rec), now)
	p.recoverAnyLease(t, now)
	p.targets[rec.ID] = t
	p.occupyAddress(t)
	p.joinPool(t)
	p.dirty = true
	return t
}

// maxElapsed returns the longest real time that a time on a target's clock may take.
func (p *Planner) maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - p.Limits.DriftShare))
}

// minElapsed returns the shortest time that a target's clock may show for a real time.
func (p *Planner) minElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - p.Limits.DriftShare))
}

func (p *Planner) joinPool(t *target) {
	pl := p.pools[t.rec.Pool]
	if pl == nil {
		pl = &pool{name: t.rec.Pool}
		p.pools[t.rec.Pool] = pl
	}
	i, _ := slices.BinarySearchFunc(pl.targets, t, func(a, b *target) int { return strings.Compare(string(a.rec.ID), string(b.rec.ID)) })
	pl.targets = slices.Insert(pl.targets, i, t)
}

func (p *Planner) leavePool(t *target) {
	pl := p.pools[t.rec.Pool]
	pl.targets = slices.DeleteFunc(pl.targets, func(x *target) bool { return x == t })
}

func (p *Planner) removeTarget(t *target, now Moment) {
	p.leavePool(t)
	p.releaseOrphans(t)
	p.keepEpoch(t, now)
	p.returnSlot(t)
	delete(p.targets, t.rec.ID)
	p.leaveAddress(t)
	p.answerDeparture(t, now)
	p.emit(tracker.Event{TargetGone: &tracker.TargetGone{Target: t.rec.ID}}, now)
}

// destination returns the address of the present incarnation of a target.
func (p *Planner) destination(t *target) Destination {
	return Destination{Target: t.rec.ID, Incarnation: t.rec.Incarnation, Address: t.rec.Address, Token: p.token(t)}
}

// The lowest bits of a token are the epoch, the others the leader's term.
const (
	epochBits = 16
	maxEpoch  = 1<<epochBits - 1
)

func (p *Planner) token(t *target) Token {
	return Token(p.term)<<epochBits | Token(t.epoch)
}

// Term returns the term of the leader that made a call with the token.
func (t Token) Term() registrar.Term { return registrar.Term(t >> epochBits) }

// isCurrent reports whether a call with a token was made in the present term for
// the target's present incarnation.
func (p *Planner) isCurrent(token Token, t *target) bool {
	return token == p.token(t) || p.without(WithoutTokenCheck)
}

// extendLease returns the end of the lease to send now, and records until when the
// target's runs may continue because of it. The target's clock is taken to have run as
// slow as it may since its last answer, so that no lease ends later than maxElapsed(lease)
// after now, however old that answer is: a new leader counts on this.
func (p *Planner) extendLease(t *target, lease time.Duration, now Moment) ClockMillis {
	if !t.hasClock {
		return 0
	}
	lease = min(lease, p.Settings.MaxLease)
	onTarget := t.clock + ClockMillis(p.minElapsed(now.Monotonic.Sub(t.clockAt)).Milliseconds())
	latest := onTarget + ClockMillis(p.Settings.MaxLease.Milliseconds()) // a later deadline was for another clock
	t.deadline = min(max(t.deadline, onTarget+ClockMillis(lease.Milliseconds())), latest)
	left := time.Duration(t.deadline-t.clock) * time.Millisecond
	end := t.clockAt.Add(p.maxElapsed(left) + leaseMargin)
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return t.deadline
}

// leaseMargin covers the rounding of clocks to milliseconds and the time from the end of
// a lease until a busy target has killed what it runs.
const leaseMargin = 100 * time.Millisecond

// recordClock records a target's clock from an answer.
func (t *target) recordClock(clock ClockMillis, received time.Time) {
	if clock <= 0 {
		return
	}
	t.hasClock = true
	t.clock, t.clockAt = clock, received
}

// schedulable reports whether a target may be given new work.
func (t *target) schedulable(now Moment) bool {
	draining := t.rec.Draining && !t.ignoreDrain
	return t.tokenConfirmed && t.responsive && t.hasClock && !draining && !t.rec.Unannounced && !t.cordoned && t.departure == nil && !now.Monotonic.Before(t.pausedUntil)
}

// checkTargets polls the targets that are due, repeats orders, ends the runs of
// targets whose lease has expired, and removes targets that are gone.
func (p *Planner) checkTargets(now Moment) {
	for _, id := range p.targetIDs() {
		t := p.targets[id]
		if !t.polling && !now.Monotonic.Before(t.pollDue) {
			p.poll(t, now)
		}
		p.checkRuns(t, now)
		p.loseFormerRuns(t, now)
		p.checkAnyLease(t, now)
		p.drainTarget(t, now)
		p.checkDeparture(t, now)
		p.loseLapsedRuns(t, now)
		if len(t.runs) == 0 && p.isRemovable(t, now) {
			p.log("target removed", "target", id)
			p.removeTarget(t, now)
		}
	}
}

// loseLapsedRuns ends the runs of an unresponsive target whose lease has expired. The
// target may have listed ends of these runs in an answer that this leader was too busy to
// read, so that a recent poll has to prove the silence: one whose timeout was noticed in time.
func (p *Planner) loseLapsedRuns(t *target, now Moment) {
	if t.responsive || len(t.runs) == 0 {
		return
	}
	if p.without(WithoutLeaseWait) {
		p.loseRuns(t, "lease over", now)
		return
	}
	expired := now.Monotonic.Sub(t.leaseEnd)
	switch {
	case expired <= 0:
	case t.silentAt.After(t.leaseEnd.Add(-maxProofAge)):
		p.loseRuns(t, "lease over", now)
	case expired > maxSilenceProof:
		p.loseRuns(t, "lease over, and no poll could prove the silence", now)
	case !t.polling:
		t.pollDue = now.Monotonic
	}
}

// maxProofAge is how long before the end of a lease a silent poll may have been sent: about
// twice the interval of polls of a silent target.
const maxProofAge = time.Second

// maxSilenceProof bounds the wait for a poll that proves the silence of a target, so that
// a long-running task of a lost target runs again within 9 s.
const maxSilenceProof = 2 * time.Second

func (p *Planner) isRemovable(t *target, now Moment) bool {
	if t.isGone(now) {
		return true
	}
	return now.Monotonic.Sub(t.lastContact) > p.Limits.RemoveAfter && now.Monotonic.After(t.leaseEnd)
}

func (p *Planner) targetIDs() []tracker.TargetID {
	ids := make([]tracker.TargetID, 0, len(p.targets))
	for id := range p.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// loseRuns ends all runs of a target that provably runs none of them any more.
func (p *Planner) loseRuns(t *target, reason string, now Moment) {
	if len(t.runs) == 0 {
		return
	}
	p.log("runs lost", "target", t.rec.ID, "reason", reason, "runs", len(t.runs))
	for _, r := range t.sortedRuns() {
		p.Counters.Lost++
		p.endRun(r, tracker.EndTargetLost, r.checkpoint, reason, now)
	}
}
