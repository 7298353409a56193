package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file judges targets by how the runs on them end. Example: a target on
// which runs of two jobs have failed in a row gets no new work for half a
// second, then one run to try it; if that fails too, none for a second.

// health is a target's record.
type health struct {
	consecutiveFailures int           // failed ends in a row, of different jobs
	lastFailedJob       definer.JobID // of the newest failed end
	pause               time.Duration // of the newest quarantine; 0: none since the last success
	quarantinedUntil    time.Time     // no new work before
	speed               float64       // of what it runs against the same elsewhere; 0: not known
	speedAt             time.Time
}

const (
	jobAtFaultTargets   = 4                      // targets on which a job has failed, from which it is to blame
	quarantineFailures  = 2                      // a run fails by its own fault in 1 of 20 cases, two in a row in 1 of 400
	minQuarantine       = 500 * time.Millisecond // about a run time of an urgent task
	maxQuarantine       = 8 * time.Second        // faults of targets were seen to last 4 to 7 s
	maxQuarantinedShare = 0.25                   // of a pool; with more it is the work that is at fault
	slowBelow           = 0.45                   // a target below it is slow; three standard deviations of one run time
	speedMaxAge         = 4 * time.Second        // a speed that was not seen for that long is not held against a target
	slowPenalty         = 3.0                    // larger than any difference in room and distance
)

// recordOutcome counts an end for or against the run's target.
func (p *Planner) recordOutcome(r *run, how tracker.End, now Moment) {
	h := &r.target.health
	switch how {
	case tracker.EndDone:
		h.consecutiveFailures, h.pause = 0, 0
		h.quarantinedUntil = time.Time{}
	case tracker.EndFailed:
		p.recordFailure(r, now)
	}
}

// recordFailure counts a failed end against the target, unless the job fails on many,
// so that the job is at fault.
func (p *Planner) recordFailure(r *run, now Moment) {
	h := &r.target.health
	j := r.job
	j.failedOn(r.target, now)
	if len(j.failures) >= jobAtFaultTargets || h.lastFailedJob == j.id {
		return
	}
	h.lastFailedJob = j.id
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineFailures {
		p.quarantine(r.target, "runs fail", now)
	}
}

// quarantine gives a target no new work for a time, unless too many of its pool
// are suspects already.
func (p *Planner) quarantine(t *target, reason string, now Moment) {
	h := &t.health
	if now.Steady.Before(h.quarantinedUntil) || p.quarantinedShare(t.rec.Pool, now) >= maxQuarantinedShare {
		return
	}
	h.pause = min(max(2*h.pause, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Steady.Add(h.pause)
	p.log("target suspected", "target", t.rec.ID, "reason", reason, "pause", h.pause.Milliseconds(), "streak", h.consecutiveFailures, "speed", h.speed)
}

// quarantinedShare returns the share of a pool's targets that get no new work.
func (p *Planner) quarantinedShare(name definer.PoolName, now Moment) float64 {
	pl := p.pools[name]
	if pl == nil || len(pl.targets) == 0 {
		return 0
	}
	n := 0
	for _, t := range pl.targets {
		if now.Steady.Before(t.health.quarantinedUntil) {
			n++
		}
	}
	return float64(n) / float64(len(pl.targets))
}

// passesHealthCheck reports whether a target may get another run. After a quarantine it
// gets one at a time until one is done.
func (t *target) passesHealthCheck(now Moment) bool {
	h := &t.health
	if now.Steady.Before(h.quarantinedUntil) {
		return false
	}
	return h.pause == 0 || t.runsSince(h.quarantinedUntil) == 0
}

// runsSince returns the number of runs that were decided after a time.
func (t *target) runsSince(after time.Time) int {
	n := 0
	for _, r := range t.runs {
		if !r.orderedAt.Before(after) {
			n++
		}
	}
	return n
}

// observeSpeed takes in how fast runs go against the same work elsewhere.
func (h *health) observeSpeed(speed float64, now time.Time) {
	h.speed, h.speedAt = speed, now
}

// slow reports whether the target has been slow lately.
func (h *health) slow(now time.Time) bool {
	return h.speed > 0 && h.speed < slowBelow && now.Sub(h.speedAt) <= speedMaxAge
}

// penalty is added to the score of a target.
func (h *health) penalty(now time.Time) float64 {
	switch {
	case h.slow(now):
		return slowPenalty
	case h.pause > 0:
		return 1
	}
	return float64(h.consecutiveFailures) / (quarantineFailures + 1)
}
