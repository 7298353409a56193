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
	streak  int           // failed ends in a row, of different jobs
	lastJob definer.JobID // of the newest failed end
	pause   time.Duration // of the newest quarantine; 0: none since the last success
	until   time.Time     // no new work before
	speed   float64       // of what it runs against the same elsewhere; 0: not known
	speedAt time.Time
}

const (
	jobAtFault    = 4                      // targets on which a job has failed, from which it is to blame
	failedInARow  = 2                      // a run fails by its own fault in 1 of 20 cases, two in a row in 1 of 400
	firstPause    = 500 * time.Millisecond // about a run time of an urgent task
	maxPause      = 8 * time.Second        // faults of targets were seen to last 4 to 7 s
	maxSuspects   = 0.25                   // of a pool; with more it is the work that is at fault
	slowSpeed     = 0.45                   // a target below it is slow; three standard deviations of one run time
	speedLifetime = 4 * time.Second        // a speed that was not seen for that long is not held against a target
	slowPenalty   = 3.0                    // larger than any difference in room and distance
)

// judge counts an end for or against the run's target.
func (p *Planner) judge(r *run, how tracker.End, now Moment) {
	h := &r.target.health
	switch how {
	case tracker.EndDone:
		h.streak, h.pause = 0, 0
		h.until = time.Time{}
	case tracker.EndFailed:
		p.blame(r, now)
	}
}

// blame counts a failed end against the target, unless the job fails on many,
// so that the job is at fault.
func (p *Planner) blame(r *run, now Moment) {
	h := &r.target.health
	j := r.job
	j.failedOn(r.target, now)
	if len(j.failures) >= jobAtFault || h.lastJob == j.id {
		return
	}
	h.lastJob = j.id
	h.streak++
	if h.streak >= failedInARow {
		p.suspect(r.target, "runs fail", now)
	}
}

// suspect gives a target no new work for a time, unless too many of its pool
// are suspects already.
func (p *Planner) suspect(t *target, reason string, now Moment) {
	h := &t.health
	if now.Steady.Before(h.until) || p.suspects(t.rec.Pool, now) >= maxSuspects {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.until = now.Steady.Add(h.pause)
	p.note("target suspected", "target", t.rec.ID, "reason", reason, "pause", h.pause.Milliseconds(), "streak", h.streak, "speed", h.speed)
}

// suspects returns the share of a pool's targets that get no new work.
func (p *Planner) suspects(name definer.PoolName, now Moment) float64 {
	pl := p.pools[name]
	if pl == nil || len(pl.targets) == 0 {
		return 0
	}
	n := 0
	for _, t := range pl.targets {
		if now.Steady.Before(t.health.until) {
			n++
		}
	}
	return float64(n) / float64(len(pl.targets))
}

// trusted reports whether a target may get another run. After a quarantine it
// gets one at a time until one is done.
func (t *target) trusted(now Moment) bool {
	h := &t.health
	if now.Steady.Before(h.until) {
		return false
	}
	return h.pause == 0 || t.freshRuns(h.until) == 0
}

// freshRuns returns the number of runs that were decided after a time.
func (t *target) freshRuns(after time.Time) int {
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
	return h.speed > 0 && h.speed < slowSpeed && now.Sub(h.speedAt) <= speedLifetime
}

// penalty is added to the score of a target.
func (h *health) penalty(now time.Time) float64 {
	switch {
	case h.slow(now):
		return slowPenalty
	case h.pause > 0:
		return 1
	}
	return float64(h.streak) / (failedInARow + 1)
}
