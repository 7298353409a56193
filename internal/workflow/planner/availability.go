package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
)

// This file keeps the promise of steps that last: of their tasks, the leader's
// own stops take away no more than declared at once. Example: of 8 tasks one may
// be away; one has crashed just now, so that none is moved until it is back.

// mayDisrupt reports whether a run may be stopped for the sake of something
// else. Runs on a target that leaves end anyway.
func (p *Planner) mayDisrupt(r *run) bool {
	bound := r.def.MaxUnavailable
	if bound == 0 || !r.def.Lasting || r.stopping || r.job.rec.State.Ended() || r.target.rec.Draining || !r.target.departedAt.IsZero() {
		return true
	}
	return p.othersUnavailable(r) < bound
}

// othersUnavailable returns how many other tasks of a run's step are not at work.
func (p *Planner) othersUnavailable(r *run) int {
	id := r.key.task.Of()
	_, rec := p.State.StepOf(id)
	if rec == nil {
		return 0
	}
	away := 0
	for i := range rec.Tasks {
		if i != r.key.task.Index && !p.isReady(r.job, id.Task(i)) {
			away++
		}
	}
	return away
}

// isReady reports whether a task that lasts is surely at work.
func (p *Planner) isReady(j *job, id definer.TaskID) bool {
	_, task := p.State.TaskOf(id)
	if task == nil {
		return false
	}
	for _, x := range task.Runs {
		r := j.runs[runKey{id, x.Number}]
		if r != nil && r.state == runStarted && !r.stopping && r.percent >= fullPace && r.target.responsive {
			return true
		}
	}
	return false
}

// drainReserve is kept before a target may end: a stop takes up to StopTime, and
// its end has to be listed and recorded.
const drainReserve = 700 * time.Millisecond

// drainTarget moves runs off a target that is about to leave. Tasks that last go one
// after the other as far as their step allows, and all shortly before the target
// may end. Others go when they can't be done before, if stopping keeps what they
// have done or they have only begun.
func (p *Planner) drainTarget(t *target, now Moment) {
	if !t.rec.Draining {
		return
	}
	left := t.drainEnd.Sub(now.Steady)
	for _, r := range t.sortedRuns() {
		if r.stopping || r.state != runStarted {
			continue
		}
		switch {
		case r.def.Lasting:
			if left < p.Settings.StopTime+drainReserve || r.def.MaxUnavailable == 0 || p.othersUnavailable(r) < r.def.MaxUnavailable {
				p.stop(r, "target drains", now)
			}
		case r.def.Gang || r.def.Speculative:
			// The others of a gang would end with it; a copy may be started instead.
		case p.shouldStopBeforeDrainEnd(r, left, now):
			p.stop(r, "target drains before it is done", now)
		}
	}
}

// shouldStopBeforeDrainEnd reports whether a run on a target that leaves should be stopped
// now: it will not be done in time, and stopping costs less than losing it.
func (p *Planner) shouldStopBeforeDrainEnd(r *run, left time.Duration, now Moment) bool {
	total := p.expectedTime(r)
	rest := total - now.Steady.Sub(r.startedAt)
	if r.percent >= minPercent && r.observedTime() >= minElapsed {
		rest = r.predictedTime() - now.Steady.Sub(r.startedAt)
	}
	if rest <= left {
		return false
	}
	if r.def.Checkpointing {
		// The stop itself makes a checkpoint, so that it can wait.
		return left < p.Settings.StopTime+drainReserve
	}
	return rest > left+drainGrace
}

// drainGrace is the time that targets usually go on beyond the least that they
// state.
const drainGrace = 2 * time.Second

// expectedTime returns the run time of a task by what is known of its step.
func (p *Planner) expectedTime(r *run) time.Duration {
	if s := p.steps[r.key.task.Of()]; s != nil && s.typicalTime > 0 {
		return s.typicalTime
	}
	return p.estimateBiasOf(r.job.rec.Queue.Name).adjust(r.def.Estimate)
}
