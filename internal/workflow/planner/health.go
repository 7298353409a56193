package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file quarantines targets on which runs fail. After failures of runs of two
// jobs in a row a target gets no new work for half a second, then a single trial
// run; each further failure doubles the quarantine.

// health is the failure record of a target.
type health struct {
	consecutiveFailures int           // failed ends in a row, of different jobs
	lastFailedJob       definer.JobID // job of the newest failed end
	pause               time.Duration // length of the newest quarantine; 0: none since the last success
	quarantinedUntil    time.Time     // no new work before
	speed               float64       // of its runs, relative to the same work elsewhere; 0: unknown
	speedAt             time.Time
}

const (
	jobAtFault          = 4                      // so many failures on different targets, or of gangs, are attributed to the job
	quarantineFailures  = 2                      // failed runs in a row; a run fails by its own fault in 1 of 20 cases, two in a row in 1 of 400
	minQuarantine       = 500 * time.Millisecond // about the run time of an urgent task
	maxQuarantine       = 8 * time.Second        // faults of targets were observed to last 4 to 7 s
	maxQuarantinedShare = 0.25                   // of a pool; with more, the cause is the work rather than the targets
	slowBelow           = 0.45                   // relative speed of a slow target; three standard deviations of one run time
	speedMaxAge         = 4 * time.Second        // an older speed is ignored
	slowPenalty         = 3.0                    // larger than any difference in free capacity and distance
)

// recordOutcome updates the health of the run's target by the end of a run.
func (p *Planner) recordOutcome(r *run, how tracker.End, now Moment) {
	h := &r.target.health
	switch how {
	case tracker.EndDone:
		h.recordSuccess()
	case tracker.EndFailed:
		p.recordFailure(r, now)
	}
}

// recordSuccess ends the trial of a target: a run has succeeded there, or a
// long-running task has become ready.
func (h *health) recordSuccess() {
	h.consecutiveFailures, h.pause = 0, 0
	h.quarantinedUntil = time.Time{}
}

// recordFailure counts a failed end against the target, unless the job has failed so often
// elsewhere that the job itself is the likely cause.
func (p *Planner) recordFailure(r *run, now Moment) {
	h := &r.target.health
	j := r.job
	j.recordFault(r, now)
	if len(j.faults) >= jobAtFault || h.lastFailedJob == j.id {
		return
	}
	h.lastFailedJob = j.id
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineFailures {
		p.quarantine(r.target, "runs fail", now)
	}
}

// quarantine keeps new work off a target for a time, unless too many targets of
// its pool are in quarantine already.
func (p *Planner) quarantine(t *target, reason string, now Moment) {
	h := &t.health
	if now.Monotonic.Before(h.quarantinedUntil) || p.quarantinedShare(t.rec.Pool, now) >= maxQuarantinedShare {
		return
	}
	h.pause = min(max(2*h.pause, minQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Monotonic.Add(h.pause)
	p.log("target suspected", "target", t.rec.ID, "reason", reason, "pause", h.pause.Milliseconds(), "streak", h.consecutiveFailures, "speed", h.speed)
}

// quarantinedShare returns the fraction of a pool's targets that are in quarantine.
func (p *Planner) quarantinedShare(name definer.PoolName, now Moment) float64 {
	pl := p.pools[name]
	if pl == nil || len(pl.targets) == 0 {
		return 0
	}
	n := 0
	for _, t := range pl.targets {
		if now.Monotonic.Before(t.health.quarantinedUntil) {
			n++
		}
	}
	return float64(n) / float64(len(pl.targets))
}

// passesHealthCheck reports whether the health of a target allows another run.
// After a quarantine it gets one run at a time until one succeeds.
func (t *target) passesHealthCheck(now Moment) bool {
	h := &t.health
	if now.Monotonic.Before(h.quarantinedUntil) {
		return false
	}
	return h.pause == 0 || t.runsSince(h.quarantinedUntil) == 0
}

// runsSince returns the number of runs on the target that were decided at or
// after a time.
func (t *target) runsSince(after time.Time) int {
	n := 0
	for _, r := range t.runs {
		if !r.orderedAt.Before(after) {
			n++
		}
	}
	return n
}

// observeSpeed records the speed of runs relative to the same work elsewhere.
func (h *health) observeSpeed(speed float64, now time.Time) {
	h.speed, h.speedAt = speed, now
}

// slow reports whether the target was slow at the latest recent observation.
func (h *health) slow(now time.Time) bool {
	return h.speed > 0 && h.speed < slowBelow && now.Sub(h.speedAt) <= speedMaxAge
}

// penalty returns what is added to the placement score of a target.
func (h *health) penalty(now time.Time) float64 {
	switch {
	case h.slow(now):
		return slowPenalty
	case h.pause > 0:
		return 1
	}
	return float64(h.consecutiveFailures) / (quarantineFailures + 1)
}
