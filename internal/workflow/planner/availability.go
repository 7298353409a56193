package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
)

// This file enforces the disruption limit of long-running steps: the leader stops
// a task only if that leaves no more than MaxUnavailable tasks of the step
// unavailable. Tasks that are unavailable for any other reason, such as a crash,
// count too.

// mayDisrupt reports whether a run may be stopped for a reason outside its job.
// Runs on a draining or departed target may always be stopped, as they end anyway.
func (p *Planner) mayDisrupt(r *run) bool {
	bound := r.def.MaxUnavailable
	if bound == 0 || !r.def.LongRunning || r.stopping || r.job.rec.State.Ended() || r.target.rec.Draining || r.target.departure != nil {
		return true
	}
	return p.othersUnavailable(r) < bound
}

// othersUnavailable returns how many other tasks of a run's step are not ready.
func (p *Planner) othersUnavailable(r *run) int {
	id := r.key.task.StepID()
	_, rec := p.State.LookupStep(id)
	if rec == nil {
		return 0
	}
	unavailable := 0
	for i := range rec.Tasks {
		if i != r.key.task.Index && !p.isReady(r.job, id.Task(i)) {
			unavailable++
		}
	}
	return unavailable
}

// isReady reports whether a long-running task is provably ready: a responsive
// target has listed one of its runs at 100 percent.
func (p *Planner) isReady(j *job, id definer.TaskID) bool {
	_, task := p.State.LookupTask(id)
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

// drainReserve is added to StopTime before a draining target may end, since the
// end of a stopped run still has to be listed and recorded.
const drainReserve = 700 * time.Millisecond

// drainTarget moves runs off a draining target. Long-running tasks are stopped as
// far as the disruption limit of their step allows, and all of them shortly before
// the target may end. Other tasks are stopped if they can't finish in time and
// a stop costs less than losing them.
func (p *Planner) drainTarget(t *target, now Moment) {
	if !t.rec.Draining {
		return
	}
	left := t.drainEnd.Sub(now.Monotonic)
	for _, r := range t.sortedRuns() {
		if r.stopping || r.state != runStarted {
			continue
		}
		switch {
		case r.def.LongRunning:
			if left < p.Settings.StopTime+drainReserve || r.def.MaxUnavailable == 0 || p.othersUnavailable(r) < r.def.MaxUnavailable {
				p.stop(r, "target drains", now)
			}
		case r.def.Gang || r.def.Speculative:
			// Stopping a gang member would end the gang; a speculative task can get a copy instead.
		case p.shouldStopBeforeDrainEnd(r, left, now):
			p.stop(r, "target drains before it is done", now)
		}
	}
}

// shouldStopBeforeDrainEnd reports whether a run on a draining target should be
// stopped now: it will not be done in time, and stopping costs less than losing it.
func (p *Planner) shouldStopBeforeDrainEnd(r *run, left time.Duration, now Moment) bool {
	total := p.expectedTime(r)
	rest := total - now.Monotonic.Sub(r.startedAt)
	if r.percent >= minPercent && r.observedTime() >= minElapsed {
		rest = r.predictedTime() - now.Monotonic.Sub(r.startedAt)
	}
	if rest <= left {
		return false
	}
	if r.def.Checkpointing {
		// The stop itself makes a checkpoint, so it can be delayed.
		return left < p.Settings.StopTime+drainReserve
	}
	return rest > left+drainGrace
}

// drainGrace is how much longer targets usually run than the minimum that they
// announce.
const drainGrace = 2 * time.Second

// expectedTime returns the expected run time of a task: the typical one of its
// step if known, else the declared one corrected by the queue's estimate bias.
func (p *Planner) expectedTime(r *run) time.Duration {
	if s := p.steps[r.key.task.StepID()]; s != nil && s.typicalTime > 0 {
		return s.typicalTime
	}
	return p.estimateBiasOf(r.job.rec.Queue.Name).adjust(r.def.Estimate)
}
