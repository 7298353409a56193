package planner

import (
	"math"
	"slices"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file compares the progress of runs with the other runs of their step, to
// detect stalled runs and slow targets. A run that would finish sooner elsewhere
// is stopped and started again on another target; for a speculative step a copy
// is started instead.

const (
	progressInterval = 100 * time.Millisecond // between checks; reports arrive twice a second
	minElapsed       = 350 * time.Millisecond // progress is no reliable predictor before
	minPercent       = 2                      // in percent; smaller progress counts as this much
	stallTime        = 900 * time.Millisecond // without progress; a run of 45 s advances by 2 % in that time
	minMoveGain      = 1.5                    // a move must shorten the remaining time by this factor
	moveCost         = 150 * time.Millisecond // of a start elsewhere besides the stop: commit, ticket and transmission
	maxMoves         = 2                      // of one task
)

// estimateBias tracks the ratio of actual to declared run times in a queue, as a
// moving average.
type estimateBias struct {
	factor float64 // actual / declared; 0: unknown
}

const estimateBiasWeight = 0.05 // of a new observation; small, as single tasks differ by half

func (b *estimateBias) observe(declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	x := min(float64(actual)/float64(declared), 4)
	if b.factor == 0 {
		b.factor = x
		return
	}
	b.factor += estimateBiasWeight * (x - b.factor)
}

// isKnown reports whether any run time was observed.
func (b *estimateBias) isKnown() bool { return b != nil && b.factor != 0 }

func (b *estimateBias) adjust(declared time.Duration) time.Duration {
	if b == nil || b.factor == 0 {
		return declared
	}
	return time.Duration(float64(declared) * b.factor)
}

func (p *Planner) estimateBiasOf(queue definer.QueueName) *estimateBias {
	b := p.estimateBiases[queue]
	if b == nil {
		b = &estimateBias{}
		p.estimateBiases[queue] = b
	}
	return b
}

// recordRunTime records the run time of a completed task. Runs that were resumed
// from a checkpoint did only a part of the work and are ignored, as are the members of a
// gang that is done already, which have run for the same time.
func (p *Planner) recordRunTime(r *run, now Moment) {
	if r.startedAt.IsZero() || r.resumed {
		return
	}
	if _, task := p.State.LookupTask(r.key.task); r.def.Gang && task != nil && task.Done {
		return
	}
	elapsed := now.Monotonic.Sub(r.startedAt)
	p.estimateBiasOf(r.job.rec.Queue.Name).observe(r.def.Estimate, elapsed)
	if s := p.steps[r.key.task.StepID()]; s != nil && len(s.elapsed) < maxRunTimes {
		s.elapsed = append(s.elapsed, elapsed)
	}
}

// maxRunTimes bounds the number of run times kept per step.
const maxRunTimes = 64

// checkProgress detects slow targets, and runs that should continue elsewhere. Run
// times differ between the tasks of a step, so a single slow run is no evidence; a
// target on which most runs are slow is considered slow.
func (p *Planner) checkProgress(now Moment) {
	p.beginPass()
	speeds := make(map[*target]*speeds)
	var started []*run // by step
	for _, s := range p.stepsByPriority {
		if s.def.LongRunning || s.def.Gang || s.def.BestEffortCPU {
			continue
		}
		before := len(started)
		started = p.appendStarted(started, s)
		runs := started[before:]
		s.typicalTime = p.typicalTimeOf(s, runs)
		for _, r := range runs {
			if x := speeds[r.target].add(r, s.typicalTime); x != nil {
				speeds[r.target] = x
			}
		}
	}
	for t, x := range speeds {
		t.health.observeSpeed(x.mean(), now.Monotonic)
	}
	for _, r := range started {
		if s := p.steps[r.key.task.StepID()]; s != nil {
			p.checkRun(s, r, now)
		}
	}
}

// speeds accumulates the relative speeds of the runs on a target.
type speeds struct {
	sum   float64 // of logarithms
	count int
}

func (x *speeds) add(r *run, usual time.Duration) *speeds {
	if r.observedTime() < minElapsed || usual <= 0 || r.resumed {
		return x
	}
	if x == nil {
		x = &speeds{}
	}
	x.sum += math.Log(float64(usual) / float64(r.predictedTime()))
	x.count++
	return x
}

// mean returns the geometric mean with one additional run of speed 1, which damps
// the result when there are few runs.
func (x *speeds) mean() float64 { return math.Exp(x.sum / float64(x.count+1)) }

// observedTime returns the run time up to the newest report.
func (r *run) observedTime() time.Duration { return r.sampledAt.Sub(r.startedAt) }

func (p *Planner) checkRun(s *step, r *run, now Moment) {
	switch {
	case r.stopping:
	case !r.target.responsive:
		if s.def.Speculative {
			p.startCopy(s, r, "target does not answer", now)
		}
	case r.isStalled(s.typicalTime):
		p.quarantine(r.target, "a run stands still", now)
		p.moveRun(s, r, "it stands still", now)
	case r.target.health.slow(now.Monotonic) && p.isFasterElsewhere(s, r, now):
		p.moveRun(s, r, "its target is slow", now)
	}
}

// isStalled reports whether a run has made no progress for too long.
func (r *run) isStalled(usual time.Duration) bool {
	return r.percent < fullPace-minPercent && r.sampledAt.Sub(r.progressedAt) >= max(stallTime, usual/5)
}

// isFasterElsewhere reports whether a run on a slow target would finish clearly
// sooner if it was started again on another target.
func (p *Planner) isFasterElsewhere(s *step, r *run, now Moment) bool {
	if r.observedTime() < minElapsed {
		return false
	}
	total := r.predictedTime()
	left := total - now.Monotonic.Sub(r.startedAt)
	again := time.Duration(float64(total) * r.target.health.speed)
	if s.def.Checkpointing && r.checkpoint != "" {
		again = again * time.Duration(fullPace-r.percent) / fullPace
	}
	return float64(left) > minMoveGain*float64(again+moveCost+p.Settings.StopTime/2)
}

// predictedTime extrapolates the total run time of a run from its progress.
func (r *run) predictedTime() time.Duration {
	return r.observedTime() * fullPace / time.Duration(max(r.percent, minPercent))
}

// appendStarted appends the started runs of a step, ordered by task.
func (p *Planner) appendStarted(out []*run, s *step) []*run {
	for i := range s.rec.Tasks {
		for _, x := range s.rec.Tasks[i].Runs {
			r := s.job.runs[runKey{s.id.Task(i), x.Number}]
			if r != nil && r.state == runStarted {
				out = append(out, r)
			}
		}
	}
	return out
}

// typicalTimeOf returns the typical run time of a task of a step: the median of the
// actual and predicted run times, or the corrected estimate while there are too
// few. It is 0 when none of the step's tasks runs.
func (p *Planner) typicalTimeOf(s *step, runs []*run) time.Duration {
	if len(runs) == 0 {
		return 0
	}
	times := slices.Clone(s.elapsed)
	for _, r := range runs {
		if r.observedTime() >= minElapsed && !r.resumed {
			times = append(times, r.predictedTime())
		}
	}
	expected := p.estimateBiasOf(s.job.rec.Queue.Name).adjust(s.def.Estimate)
	if len(times) < minRunTimes {
		return max(expected, minElapsed)
	}
	slices.Sort(times)
	return max(times[(len(times)-1)/2], minElapsed)
}

// minRunTimes is the number of run times from which their median is a better
// predictor than the declared estimate.
const minRunTimes = 3

// moveRun stops a run so that its task starts elsewhere, or starts a copy if the
// step is speculative.
func (p *Planner) moveRun(s *step, r *run, reason string, now Moment) {
	if s.def.Speculative {
		p.startCopy(s, r, reason, now)
		return
	}
	if p.moveCount(s, r) >= maxMoves || !p.hasCapacityElsewhere(s, r.target, now) {
		return
	}
	p.log("run moved", "task", r.key.task.String(), "run", int(r.key.number), "target", r.target.rec.ID, "reason", reason,
		"percent", r.percent, "elapsed", now.Monotonic.Sub(r.startedAt).Milliseconds(), "usual", s.typicalTime.Milliseconds(), "speed", r.target.health.speed)
	s.moves[r.key.task.Index]++
	p.Counters.Moved++
	p.stop(r, reason, now)
}

func (p *Planner) moveCount(s *step, r *run) int {
	if s.moves == nil {
		s.moves = make(map[int]int)
	}
	return s.moves[r.key.task.Index]
}

// hasCapacityElsewhere reports whether the task of a run of a step could start on another
// target once that run has ended.
func (p *Planner) hasCapacityElsewhere(s *step, excluded *target, now Moment) bool {
	pl := p.pools[s.pool]
	if pl == nil || p.startsWithinLimit(s, 1) == 0 {
		return false
	}
	t := p.chooseWithinLimit(s, pl, excluded, now)
	if t == nil {
		p.findCapacity(s, pl, 1, now)
	}
	return t != nil
}

// startCopy starts a speculative copy of a run on another target, unless it has one.
func (p *Planner) startCopy(s *step, r *run, reason string, now Moment) {
	index := r.key.task.Index
	pl := p.pools[s.pool]
	if pl == nil || len(s.rec.Tasks[index].Runs) > 1 || p.moveCount(s, r) >= maxMoves || !p.withinLimit(s) {
		return
	}
	t := p.chooseExcept(s, pl, r.target, now)
	if t == nil {
		p.findCapacity(s, pl, 1, now)
		return
	}
	p.log("copy started", "task", r.key.task.String(), "beside", r.target.rec.ID, "reason", reason, "percent", r.percent)
	s.moves[index]++
	p.Counters.Copies++
	starts := make(map[tracker.RunNumber][]tracker.Placement)
	p.reserve(s, index, t, starts, now)
	p.emitStarts(s, starts, now)
}
