package planner

import "time"

// This file polls targets, handles their answers, and distinguishes lost calls
// from a leader that is too busy to read answers in time. While many calls are
// lost, timeouts are shorter, and a target is considered unresponsive only after
// four misses in a row instead of two.

// poll emits the next poll of a target.
func (p *Planner) poll(t *target, now Moment) {
	t.polling = true
	order := &PollOrder{To: p.destination(t), Cursor: t.endCursor, Wait: p.pollWait(t, now), Limit: p.Limits.PollTimeout}
	if p.lossy(now) {
		order.Limit = p.Limits.LossyTimeout
	}
	order.Limit += p.lag.present(now.Monotonic)
	if !t.tokenConfirmed || t.consecutiveMisses > 0 {
		order.Wait = 0
	}
	if t.consecutiveMisses == 0 && t.departure == nil {
		order.Deadline = p.extendLease(t, p.leaseFor(t), now)
	}
	if t.consecutiveMisses > 0 {
		// The target may have restarted; a new incarnation numbers its ends anew.
		order.Cursor = 0
	}
	if order.Wait > 0 && !p.mayHoldPoll(t) {
		order.Wait = 0
	}
	if order.Wait > 0 {
		p.heldPolls++
	}
	order.Urgent = p.nearLeaseEnd(t, now)
	p.doAfterCommit(Action{Poll: order})
}

// mayHoldPoll reports whether a target may hold another poll. Targets without runs
// leave a part of the polls to the others.
func (p *Planner) mayHoldPoll(t *target) bool {
	limit := p.Limits.MaxHeldPolls
	if limit > 0 && len(t.runs) == 0 {
		limit = max(limit-limit/idlePollReserve, 1)
	}
	return limit == 0 || p.heldPolls < limit
}

// idlePollPause is the pause between polls of a target without runs that may not hold one, as a multiple
// of the time for which it would hold it: nothing ends there, and it announces itself as well.
const idlePollPause = 2

const idlePollReserve = 4 // a quarter of MaxHeldPolls is for targets with runs

// nearLeaseEnd reports whether the runs on a target may lose half of their lease
// before the next poll is answered.
func (p *Planner) nearLeaseEnd(t *target, now Moment) bool {
	return len(t.runs) > 0 && now.Monotonic.Sub(t.lastContact) > p.leaseFor(t)/2
}

func (p *Planner) pollWait(t *target, now Moment) time.Duration {
	switch {
	case len(t.runs) == 0:
		return p.Limits.IdlePollWait
	case p.lossy(now):
		return p.Limits.LossyPollWait
	}
	return p.Limits.PollWait
}

// lossy reports whether calls have been lost recently. Waits are shorter then,
// since ends on a target stay unseen for as long as a lost poll waits.
func (p *Planner) lossy(now Moment) bool {
	return p.recentMisses >= max(lossyMisses, len(p.targets)/lossyShare) && now.Monotonic.Sub(p.lastMissAt) < lossyWindow
}

const (
	lossyMisses = 3
	lossyShare  = 32              // of the targets: with many, a few are always about to be lost
	lossyWindow = 2 * time.Second // about twice the time until an unanswered poll is detected
)

// PollReported handles the answer to a poll: what the target runs and what has ended
// there.
func (p *Planner) PollReported(r *PollReport, now Moment) {
	if r.Held && r.Token.Term() == p.term {
		p.heldPolls--
	}
	t := p.targets[r.Target]
	if t == nil || t.rec.Incarnation != r.Incarnation || !p.isCurrent(r.Token, t) {
		// The target was removed, or has a new incarnation that is polled on its own,
		// or the poll was sent in an earlier term of this replica.
		return
	}
	t.polling = false
	p.observeLag(r.Answered, r.Sent, r.Limit, r.Received, now)
	if !r.Answered && r.Failure == NotSent {
		t.unsentPolls++
		pause := p.Limits.UnsentRetry << min(t.unsentPolls-1, maxUnsentDoublings)
		t.pollDue = now.Monotonic.Add(pause)
		return
	}
	t.unsentPolls = 0
	if !r.Answered {
		t.silentAt = time.Time{}
		if r.Received.Sub(r.Sent)-r.Limit < leaderBusyDelay {
			t.silentAt = r.Sent
		}
		t.consecutiveMisses++ // an unanswered poll counts twice, as it waits for long
		p.recordMiss(t, r.Failure, now.Monotonic.Sub(r.Sent)-r.Limit, now)
		t.pollDue = now.Monotonic.Add(p.Limits.PollRetry)
		return
	}
	if r.Refusal != NotRefused || r.Answering != 0 && r.Answering != r.Incarnation {
		p.handlePollRefusal(t, r, now)
		return
	}
	p.recordAnswer(t, r.Clock, r.Received)
	p.recordSurvival(t, r.Sent)
	p.settleAddress(t, r.Sent, now)
	if !t.tokenConfirmed {
		t.tokenConfirmed = true
		p.boundAnyLease(t, now)
		p.log("target accepted the fencing token", "target", t.rec.ID, "token", int64(p.token(t)), "running", len(r.Running))
		p.recordVMReturn(t.rec, now)
	}
	p.recordFinished(t, r, now)
	p.reconcileRuns(t, r, now)
	p.dirty = true
	if !p.mayHoldPoll(t) {
		pause := p.pollWait(t, now)
		if len(t.runs) == 0 {
			pause *= idlePollPause
		}
		t.pollDue = now.Monotonic.Add(pause)
		return
	}
	p.poll(t, now)
}

const maxUnsentDoublings = 3 // of the pause before another poll: half a lease would pass with more

func (p *Planner) recordAnswer(t *target, clock ClockMillis, received time.Time) {
	if t.consecutiveMisses > 0 {
		p.dirty = true
	}
	t.consecutiveMisses = 0
	t.silentAt = time.Time{}
	t.responsive = true
	t.lastContact = received
	t.recordClock(clock, received)
}

// orderTimeout returns how long to wait for the answer to an order.
func (p *Planner) orderTimeout(now Moment) time.Duration {
	limit := p.Limits.OrderTimeout
	if p.lossy(now) {
		limit = p.Limits.LossyTimeout
	}
	return limit + p.lag.present(now.Monotonic)
}

// recordMiss records an unanswered call that was noticed some time after its
// timeout. After several in a row the target gets no new work until it answers
// again; a single call may just have been lost. A miss that is noticed late does
// not count as a sign of a lossy network, since the leader may have been too busy
// to read the answer; nor does one of a target that could not be connected to.
func (p *Planner) recordMiss(t *target, failure SendFailure, after time.Duration, now Moment) {
	if now.Monotonic.Sub(p.lastMissAt) >= lossyWindow {
		p.recentMisses = 0
	}
	if after < leaderBusyDelay && failure == MayBeSent {
		p.recentMisses++
		p.lastMissAt = now.Monotonic
	}
	t.consecutiveMisses++
	if t.consecutiveMisses < unresponsiveMisses || t.consecutiveMisses < lossyUnresponsiveMisses && p.lossy(now) {
		return
	}
	if t.responsive {
		p.log("target does not answer", "target", t.rec.ID, "runs", len(t.runs), "lease", t.leaseEnd.Sub(now.Monotonic).Milliseconds())
	}
	t.responsive = false
}

const (
	unresponsiveMisses      = 2                     // unanswered calls in a row; a poll counts twice
	lossyUnresponsiveMisses = 4                     // the same while calls to all targets are being lost
	leaderBusyDelay         = 40 * time.Millisecond // eight rounds
)

func (p *Planner) handlePollRefusal(t *target, r *PollReport, now Moment) {
	t.pollDue = now.Monotonic.Add(p.Limits.PollRetry)
	switch {
	case r.Answering != 0 && r.Answering != r.Incarnation:
		p.handleOtherIncarnation(t, r.Answering, now)
	case r.Refusal == RefusedIncarnation:
		p.handleOtherProcess(t, now)
	case r.Refusal == RefusedToken:
		p.recordMiss(t, MayBeSent, 0, now)
		p.raiseEpoch(t)
	default:
		p.recordMiss(t, MayBeSent, 0, now)
	}
}
