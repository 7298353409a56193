package planner

import (
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file handles the calls of targets that they are about to end.

// Departure is a target's call that it is about to end.
type Departure struct {
	Target      tracker.TargetID
	Incarnation tracker.Incarnation // 0: the call does not tell
}

// Depart handles a departure. Done is called after the events so far are committed.
func (p *Planner) Depart(d Departure, done func(), now Moment) {
	p.doAfterCommit(Action{Done: done})
	t := p.targets[d.Target]
	if t == nil || !t.departedAt.IsZero() {
		return
	}
	if !t.confirmsDeparture(d, now) && !p.without(WithoutDepartureCheck) {
		p.ignore(ClaimDeparture, now, "target", d.Target, "life", int64(d.Incarnation), "present", int64(t.rec.Incarnation),
			"draining", t.rec.Draining, "runs", len(t.runs))
		return
	}
	t.departedAt = now.Monotonic
	p.log("target announced its end", "target", d.Target, "life", int64(t.rec.Incarnation), "runs", len(t.runs))
	p.dirty = true
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

// departureTime is the time from the answer to a departure call until the target has ended.
const departureTime = time.Second

// hasDeparted reports whether a target announced its end and a poll that was sent at least a
// given time later has proved that it is silent.
func (p *Planner) hasDeparted(t *target, after time.Duration, now Moment) bool {
	if t.departedAt.IsZero() {
		return false
	}
	if p.without(WithoutDepartureCheck) {
		return now.Monotonic.Sub(t.departedAt) > after
	}
	return t.silentAt.Sub(t.departedAt) > after
}

// recordSurvival notes that a target has answered a poll that was sent when it should
// have ended.
func (p *Planner) recordSurvival(t *target, sent time.Time) {
	if t.departedAt.IsZero() || sent.Sub(t.departedAt) <= departureTime || p.without(WithoutDepartureCheck) {
		return
	}
	p.log("departed target answers", "target", t.rec.ID, "life", int64(t.rec.Incarnation), "runs", len(t.runs))
	t.departedAt = time.Time{}
	p.dirty = true
}
