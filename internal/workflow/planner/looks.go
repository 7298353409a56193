package planner

import "time"

// This file holds looks at targets: what they carry, what their answers mean,
// and how missing answers are told from a leader that is too busy to read them.
// Example: half of the calls are lost; limits grow shorter, and a target gets no
// new work only after four misses in a row.

// look orders the next look at a target.
func (p *Planner) look(t *target, now Moment) {
	t.looking = true
	order := &LookOrder{To: p.destination(t), Cursor: t.seen, Wait: p.lookWait(t, now), Limit: p.Limits.LookAnswer}
	if p.lossy(now) {
		order.Limit = p.Limits.LossyAnswer
	}
	if !t.fenced || t.failures > 0 {
		order.Wait = 0
	}
	if t.failures == 0 {
		order.Deadline = p.extend(t, p.leaseOf(t), now)
	} else {
		// It may live another life, whose ends have numbers of their own.
		order.Cursor = 0
	}
	p.after(Action{Look: order})
}

func (p *Planner) lookWait(t *target, now Moment) time.Duration {
	switch {
	case len(t.runs) == 0:
		return p.Limits.IdleWait
	case p.lossy(now):
		return p.Limits.LossyWait
	}
	return p.Limits.LookWait
}

// lossy reports whether answers have been missing lately. A look without an
// answer hides the ends on its target for as long as it waits.
func (p *Planner) lossy(now Moment) bool {
	return p.misses >= lossyMisses && now.Steady.Sub(p.missedAt) < lossyTime
}

const (
	lossyMisses = 3
	lossyTime   = 2 * time.Second // about twice the time until a look without an answer is noticed
)

// Looked takes in what a target runs and what has ended there.
func (p *Planner) Looked(r *LookReport, now Moment) {
	t := p.targets[r.Target]
	if t == nil || t.rec.Life != r.Life || !p.isCurrent(r.Token, t) {
		// The target is gone, or has a new life that is looked at by itself, or the
		// look was ordered by an earlier leadership of this replica.
		return
	}
	t.looking = false
	if !r.Answered {
		t.failures++ // a look waits long enough to count twice
		p.missed(t, now.Steady.Sub(r.Sent)-r.Limit, now)
		t.lookDue = now.Steady.Add(p.Limits.LookRetry)
		return
	}
	if r.Refusal != NotRefused || r.Found != 0 && r.Found != r.Life {
		p.lookRefused(t, r, now)
		return
	}
	p.answered(t, r.Clock, r.Received)
	if !t.fenced {
		t.fenced = true
		p.note("target answers", "target", t.rec.ID, "token", int64(p.token(t)), "running", len(r.Running))
	}
	p.takeFinished(t, r, now)
	p.takeRunning(t, r, now)
	p.look(t, now)
	p.dirty = true
}

func (p *Planner) answered(t *target, clock ClockMillis, received time.Time) {
	if t.failures > 0 {
		p.dirty = true
	}
	t.failures = 0
	t.answers = true
	t.heardAt = received
	t.takeClock(clock, received)
}

// answerLimit returns how long an order may go without an answer.
func (p *Planner) answerLimit(now Moment) time.Duration {
	if p.lossy(now) {
		return p.Limits.LossyAnswer
	}
	return p.Limits.Answer
}

// missed notes a call without an answer, that was noticed a time after its limit.
// After some in a row the target gets no new work until it answers again; a
// single one may have been lost. What a leader notices late says nothing about
// the way to targets, since it may have been too busy to read the answer.
func (p *Planner) missed(t *target, after time.Duration, now Moment) {
	if now.Steady.Sub(p.missedAt) >= lossyTime {
		p.misses = 0
	}
	if after < busyDelay {
		p.misses++
		p.missedAt = now.Steady
	}
	t.failures++
	if t.failures < missesInARow || t.failures < lossyInARow && p.lossy(now) {
		return
	}
	if t.answers {
		p.note("target does not answer", "target", t.rec.ID, "runs", len(t.runs), "lease", t.leaseEnd.Sub(now.Steady).Milliseconds())
	}
	t.answers = false
}

const (
	missesInARow = 2                     // calls without an answer
	lossyInARow  = 4                     // the same while answers are missing everywhere
	busyDelay    = 40 * time.Millisecond // eight rounds
)

func (p *Planner) lookRefused(t *target, r *LookReport, now Moment) {
	t.lookDue = now.Steady.Add(p.Limits.LookRetry)
	switch {
	case r.Refusal == RefusedLife || r.Found > r.Life:
		// Another process answers in its place; its announcement tells the rest.
		p.note("target has another life", "target", t.rec.ID, "life", int64(r.Life), "found", int64(r.Found), "runs", len(t.runs))
		if r.Found > r.Life {
			t.answers, t.fenced = false, false
			p.holdLease(t, p.Settings.MaxLease, now)
			return
		}
		p.loseRuns(t, "another process at its address", now)
		t.answers = false
		t.lookDue = now.Steady.Add(p.Limits.IdleWait)
	default:
		p.missed(t, 0, now)
	}
}
