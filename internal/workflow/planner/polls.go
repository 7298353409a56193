package planner

import "time"

// This file holds looks at targets: what they carry, what their answers mean,
// and how missing answers are told from a leader that is too busy to read them.
// Example: half of the calls are lost; limits grow shorter, and a target gets no
// new work only after four misses in a row.

// poll orders the next poll at a target.
func (p *Planner) poll(t *target, now Moment) {
	t.polling = true
	order := &LookOrder{To: p.destination(t), Cursor: t.endCursor, Wait: p.pollWait(t, now), Limit: p.Limits.PollTimeout}
	if p.lossy(now) {
		order.Limit = p.Limits.LossyTimeout
	}
	if !t.tokenConfirmed || t.consecutiveMisses > 0 {
		order.Wait = 0
	}
	if t.consecutiveMisses == 0 {
		order.Deadline = p.extendLease(t, p.leaseFor(t), now)
	} else {
		// It may live another life, whose ends have numbers of their own.
		order.Cursor = 0
	}
	p.doAfterCommit(Action{Look: order})
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

// lossy reports whether answers have been missing lately. A look without an
// answer hides the ends on its target for as long as it waits.
func (p *Planner) lossy(now Moment) bool {
	return p.recentMisses >= lossyMisses && now.Steady.Sub(p.lastMissAt) < lossyWindow
}

const (
	lossyMisses = 3
	lossyWindow = 2 * time.Second // about twice the time until a look without an answer is noticed
)

// Looked takes in what a target runs and what has ended there.
func (p *Planner) Looked(r *LookReport, now Moment) {
	t := p.targets[r.Target]
	if t == nil || t.rec.Life != r.Life || !p.isCurrent(r.Token, t) {
		// The target is gone, or has a new life that is looked at by itself, or the
		// look was ordered by an earlier leadership of this replica.
		return
	}
	t.polling = false
	if !r.Answered {
		t.consecutiveMisses++ // a look waits long enough to count twice
		p.recordMiss(t, now.Steady.Sub(r.Sent)-r.Limit, now)
		t.pollDue = now.Steady.Add(p.Limits.PollRetry)
		return
	}
	if r.Refusal != NotRefused || r.Found != 0 && r.Found != r.Life {
		p.handlePollRefusal(t, r, now)
		return
	}
	p.recordAnswer(t, r.Clock, r.Received)
	if !t.tokenConfirmed {
		t.tokenConfirmed = true
		p.log("target answers", "target", t.rec.ID, "token", int64(p.token(t)), "running", len(r.Running))
	}
	p.recordFinished(t, r, now)
	p.reconcileRuns(t, r, now)
	p.poll(t, now)
	p.dirty = true
}

func (p *Planner) recordAnswer(t *target, clock ClockMillis, received time.Time) {
	if t.consecutiveMisses > 0 {
		p.dirty = true
	}
	t.consecutiveMisses = 0
	t.responsive = true
	t.lastContact = received
	t.recordClock(clock, received)
}

// orderTimeout returns how long an order may go without an answer.
func (p *Planner) orderTimeout(now Moment) time.Duration {
	if p.lossy(now) {
		return p.Limits.LossyTimeout
	}
	return p.Limits.OrderTimeout
}

// recordMiss notes a call without an answer, that was noticed a time after its limit.
// After some in a row the target gets no new work until it answers again; a
// single one may have been lost. What a leader notices late says nothing about
// the way to targets, since it may have been too busy to read the answer.
func (p *Planner) recordMiss(t *target, after time.Duration, now Moment) {
	if now.Steady.Sub(p.lastMissAt) >= lossyWindow {
		p.recentMisses = 0
	}
	if after < leaderBusyDelay {
		p.recentMisses++
		p.lastMissAt = now.Steady
	}
	t.consecutiveMisses++
	if t.consecutiveMisses < unresponsiveMisses || t.consecutiveMisses < lossyUnresponsiveMisses && p.lossy(now) {
		return
	}
	if t.responsive {
		p.log("target does not answer", "target", t.rec.ID, "runs", len(t.runs), "lease", t.leaseEnd.Sub(now.Steady).Milliseconds())
	}
	t.responsive = false
}

const (
	unresponsiveMisses      = 2                     // calls without an answer
	lossyUnresponsiveMisses = 4                     // the same while answers are missing everywhere
	leaderBusyDelay         = 40 * time.Millisecond // eight rounds
)

func (p *Planner) handlePollRefusal(t *target, r *LookReport, now Moment) {
	t.pollDue = now.Steady.Add(p.Limits.PollRetry)
	switch {
	case r.Refusal == RefusedLife || r.Found > r.Life:
		// Another process answers in its place; its announcement tells the rest.
		p.log("target has another life", "target", t.rec.ID, "life", int64(r.Life), "found", int64(r.Found), "runs", len(t.runs))
		if r.Found > r.Life {
			t.responsive, t.tokenConfirmed = false, false
			p.assumeLease(t, p.Settings.MaxLease, now)
			return
		}
		p.loseRuns(t, "another process at its address", now)
		t.responsive = false
		t.pollDue = now.Steady.Add(p.Limits.IdlePollWait)
	default:
		p.recordMiss(t, 0, now)
	}
}
