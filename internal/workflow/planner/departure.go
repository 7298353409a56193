package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file handles the calls of targets that they are about to end. Such a call proves
// no end: the target goes on until the answer reaches it, or for some seconds without
// one, and a cut that keeps the answer from it hides it from polls as well. Its runs are
// stopped before the call is answered, so that their ends are listed. Those that are not
// listed end with the lease, which is not extended after the call.

// Departure is a target's call that it is about to end.
type Departure struct {
	Target      tracker.TargetID
	Incarnation tracker.Incarnation // 0: the call does not tell
}

// departure is the announced end of the present incarnation of a target.
type departure struct {
	announcedAt time.Time
	answeredAt  time.Time // zero: the calls are not answered yet
	replies     []func()  // of the calls that are not answered
}

const (
	// maxDepartureHold is how long a departure call waits for the ends of the target's
	// runs. Targets give up a call after 1 s.
	maxDepartureHold = 700 * time.Millisecond
	// departureTime is the time from the answer to a departure call until the target has ended.
	departureTime = time.Second
)

// Depart handles a departure. Done is called after the events so far are committed, and
// once the target has no runs left, does not answer, or maxDepartureHold is over.
func (p *Planner) Depart(d Departure, done func(), now Moment) {
	t := p.targets[d.Target]
	if t == nil {
		p.doAfterCommit(Action{Done: done})
		return
	}
	if t.departure == nil && !t.confirmsDeparture(d, now) && !p.without(WithoutDepartureCheck) {
		p.ignore(ClaimDeparture, now, "target", d.Target, "life", int64(d.Incarnation), "present", int64(t.rec.Incarnation),
			"draining", t.rec.Draining, "runs", len(t.runs))
		p.doAfterCommit(Action{Done: done})
		return
	}
	if t.departure == nil {
		t.departure = &departure{announcedAt: now.Monotonic}
		p.log("target announced its end", "target", d.Target, "life", int64(t.rec.Incarnation), "runs", len(t.runs),
			"lease", t.leaseEnd.Sub(now.Monotonic).Milliseconds())
		for _, r := range t.sortedRuns() {
			p.stop(r, "target departs", now)
		}
		p.dirty = true
	}
	t.departure.replies = append(t.departure.replies, done)
	p.checkDeparture(t, now)
}

// confirmsDeparture reports whether a departure is that of the present incarnation. If
// it names none, it is so if the target has drained for as long as it had announced: a
// target drains before it departs.
func (t *target) confirmsDeparture(d Departure, now Moment) bool {
	if d.Incarnation == 0 {
		return t.rec.Draining && !now.Monotonic.Before(t.drainEnd)
	}
	return d.Incarnation >= t.rec.Incarnation
}

// checkDeparture answers the calls of a departing target once it has no runs left, when it
// answers no orders, or after maxDepartureHold. It ends those of its runs that provably
// have ended.
func (p *Planner) checkDeparture(t *target, now Moment) {
	d := t.departure
	if d == nil {
		return
	}
	p.loseStoppedRuns(t, now)
	switch announced := now.Monotonic.Sub(d.announcedAt); {
	case p.without(WithoutDepartureCheck) && announced > departureTime,
		p.without(WithoutDepartureProof) && t.silentAt.Sub(d.announcedAt) > departureTime:
		p.loseRuns(t, "target departed", now)
	case len(t.runs) == 0 || !t.responsive || announced >= maxDepartureHold:
		p.answerDeparture(t, now)
	}
}

// answerDeparture answers the departure calls of a target that are held.
func (p *Planner) answerDeparture(t *target, now Moment) {
	d := t.departure
	if d == nil {
		return
	}
	if d.answeredAt.IsZero() {
		d.answeredAt = now.Monotonic
		p.log("departure answered", "target", t.rec.ID, "after", now.Monotonic.Sub(d.announcedAt).Milliseconds(), "runs", len(t.runs),
			"lease", t.leaseEnd.Sub(now.Monotonic).Milliseconds())
	}
	for _, done := range d.replies {
		p.doAfterCommit(Action{Done: done})
	}
	d.replies = nil
}

// loseStoppedRuns ends the runs of a silent departing target that it had confirmed to
// stop. It carries a stop out within StopTime, by its own clock.
func (p *Planner) loseStoppedRuns(t *target, now Moment) {
	for _, r := range t.sortedRuns() {
		if r.stoppedAt.IsZero() || !t.silentAt.After(r.stoppedAt) || now.Monotonic.Sub(r.stoppedAt) <= p.maxElapsed(p.Settings.StopTime)+leaseMargin {
			continue
		}
		p.Counters.Lost++
		p.endRun(r, tracker.EndTargetLost, r.checkpoint, "stopped before its target fell silent", now)
	}
}

// isGone reports whether a departing target without runs is silent and may be removed.
// Strays, which are not in the replicated state, go on until its lease is over.
func (t *target) isGone(now Moment) bool {
	d := t.departure
	if d == nil || d.answeredAt.IsZero() || t.silentAt.Sub(d.answeredAt) <= 2*departureTime {
		return false
	}
	return len(t.orphans) == 0 || now.Monotonic.After(t.leaseEnd)
}

// recordSurvival notes that a target has answered a poll that was sent when it should
// have ended.
func (p *Planner) recordSurvival(t *target, sent time.Time) {
	d := t.departure
	if d == nil || d.answeredAt.IsZero() || sent.Sub(d.answeredAt) <= departureTime || p.without(WithoutDepartureCheck) {
		return
	}
	p.log("departed target answers", "target", t.rec.ID, "life", int64(t.rec.Incarnation), "runs", len(t.runs))
	t.departure = nil
	p.dirty = true
}
