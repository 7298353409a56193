package planner

import (
	"slices"
	"time"
)

// This file shares targets between serving tasks (Step.TailLatencyLimit), which
// have a bound on their tail latency, and best-effort tasks (Step.BestEffortCPU),
// which use the processors that others leave idle. When the tail latency of a serving task nears
// its bound, the best-effort runs beside it are throttled to 50 %, to 20 %, and
// then halted.

// paceLevels are the levels of throttling, in percent of full speed.
var paceLevels = [...]int{100, 50, 20, 0}

const (
	highTailRatio       = 0.85                    // of the bound; best-effort runs are throttled from here
	severeTailRatio     = 1.2                     // of the bound; they are halted at once from here
	lowTailRatio        = 0.6                     // of the bound; the pace rises below
	calmBeforeRise      = 1500 * time.Millisecond // with a low tail before the pace rises; three reports
	badLevelMaxAge      = 8 * time.Second         // a level at which the tail was high is not tried again for this long
	maxHaltedTime       = 2 * time.Second         // runs that are halted for longer move elsewhere
	paceRepeatInterval  = time.Second             // orders to throttle have no answer, so they are repeated while the tail is high
	sampleTime          = 500 * time.Millisecond  // period that a reported tail latency covers
	interferenceMaxAge  = 30 * time.Second        // two images that interfered are kept apart this long
	interferencePenalty = 2.5                     // larger than any difference in free capacity
	throttledPenalty    = 1.5                     // for best-effort tasks on a throttled target; larger than any difference in free capacity
)

// throttling is the state of throttling on a target.
type throttling struct {
	level     int       // index in paceLevels
	changedAt time.Time // of the level
	calmSince time.Time // zero: the tail is not low
	badAt     [len(paceLevels)]time.Time
	haltedAt  time.Time
	sentPaces map[runKey]sentPace
}

type sentPace struct {
	percent int
	at      time.Time
}

// imagePair names a best-effort and a serving image.
type imagePair struct{ bestEffort, serving string }

// worstTail returns the highest ratio of tail latency to bound among the ready
// serving runs on a target, and that run; nil if there is none.
func (t *target) worstTail() (ratio float64, worst *run) {
	for _, r := range t.runs {
		if r.def.TailLatencyLimit == 0 || r.def.BestEffortCPU || !r.def.LongRunning || r.state != runStarted || r.percent < fullPace {
			continue
		}
		x := float64(time.Duration(r.sample)*time.Millisecond) / float64(r.def.TailLatencyLimit)
		if worst == nil || x > ratio || x == ratio && compareKeys(r.key, worst.key) < 0 {
			ratio, worst = x, r
		}
	}
	return ratio, worst
}

// bestEffortRuns returns the started best-effort runs, ordered by task.
func (t *target) bestEffortRuns() []*run {
	var out []*run
	for _, r := range t.runs {
		if r.def.BestEffortCPU && r.state == runStarted && !r.stopping {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return compareKeys(a.key, b.key) })
	return out
}

// adjustPace adjusts the pace of the best-effort runs on a target to a new report.
func (p *Planner) adjustPace(t *target, now Moment) {
	bestEffortRuns := t.bestEffortRuns()
	if len(bestEffortRuns) == 0 {
		t.throttling = throttling{}
		return
	}
	ratio, worst := t.worstTail()
	if worst == nil {
		p.setLevel(t, 0, now)
	} else {
		p.adjustLevel(t, ratio, worst, bestEffortRuns, now)
	}
	p.sendPaces(t, bestEffortRuns, ratio, now)
	p.moveHalted(t, bestEffortRuns, now)
}

// adjustLevel chooses the level of throttling for a tail latency.
func (p *Planner) adjustLevel(t *target, ratio float64, worst *run, bestEffortRuns []*run, now Moment) {
	s := &t.throttling
	settled := now.Monotonic.Sub(s.changedAt) >= p.Settings.PaceDelay+sampleTime
	switch {
	case ratio >= severeTailRatio && s.level < len(paceLevels)-1:
		p.recordInterference(t, worst, bestEffortRuns, now)
		p.setLevel(t, len(paceLevels)-1, now)
	case ratio >= highTailRatio:
		s.calmSince = time.Time{}
		if settled && s.level < len(paceLevels)-1 {
			p.recordInterference(t, worst, bestEffortRuns, now)
			p.setLevel(t, s.level+1, now)
		}
	case ratio < lowTailRatio:
		if s.calmSince.IsZero() {
			s.calmSince = now.Monotonic
		}
		p.raiseLevel(t, now)
	default:
		s.calmSince = time.Time{}
	}
}

// raiseLevel raises the pace by one level after the tail has been low for
// calmBeforeRise, unless the tail was recently high at that level.
func (p *Planner) raiseLevel(t *target, now Moment) {
	s := &t.throttling
	if s.level == 0 || now.Monotonic.Sub(s.calmSince) < calmBeforeRise || now.Monotonic.Sub(s.changedAt) < calmBeforeRise {
		return
	}
	if bad := s.badAt[s.level-1]; !bad.IsZero() && now.Monotonic.Sub(bad) < badLevelMaxAge {
		return
	}
	p.setLevel(t, s.level-1, now)
}

func (p *Planner) setLevel(t *target, level int, now Moment) {
	s := &t.throttling
	if s.level == level {
		return
	}
	p.log("pace changed", "target", t.rec.ID, "percent", paceLevels[level], "before", paceLevels[s.level])
	t.advanceNeighbours(now)
	s.level, s.changedAt, s.calmSince = level, now.Monotonic, time.Time{}
	s.haltedAt = time.Time{}
	if paceLevels[level] == 0 {
		s.haltedAt = now.Monotonic
	}
}

// recordInterference records that images interfere with each other, and that the
// tail is high at the present level.
func (p *Planner) recordInterference(t *target, worst *run, bestEffortRuns []*run, now Moment) {
	t.throttling.badAt[t.throttling.level] = now.Monotonic
	for _, f := range bestEffortRuns {
		p.interference[imagePair{f.def.Image, worst.def.Image}] = now.Monotonic
	}
}

// sendPaces orders the present level for runs where it may not be in force.
func (p *Planner) sendPaces(t *target, bestEffortRuns []*run, ratio float64, now Moment) {
	s := &t.throttling
	if s.sentPaces == nil {
		s.sentPaces = make(map[runKey]sentPace)
	}
	want := paceLevels[s.level]
	for _, r := range bestEffortRuns {
		sent, known := s.sentPaces[r.key]
		// A run starts at full pace, but an earlier leader may have throttled it.
		if !known && want == fullPace && r.decidedByThisLeader {
			s.sentPaces[r.key] = sentPace{fullPace, now.Monotonic}
			continue
		}
		repeat := want < fullPace && ratio >= highTailRatio && now.Monotonic.Sub(sent.at) >= paceRepeatInterval
		if known && sent.percent == want && !repeat {
			continue
		}
		s.sentPaces[r.key] = sentPace{want, now.Monotonic}
		p.doAfterCommit(Action{Pace: &PaceOrder{To: p.destination(t), Task: r.key.task, Number: r.key.number, Percent: want}})
	}
}

// moveHalted moves runs that have been halted for longer than maxHaltedTime.
func (p *Planner) moveHalted(t *target, bestEffortRuns []*run, now Moment) {
	if t.throttling.haltedAt.IsZero() || now.Monotonic.Sub(t.throttling.haltedAt) < maxHaltedTime {
		return
	}
	for _, r := range bestEffortRuns {
		s := p.steps[r.key.task.StepID()]
		if s == nil || !p.mayDisrupt(r) || !p.hasCapacityElsewhere(s, t, now) {
			continue
		}
		p.Counters.Moved++
		p.stop(r, "halted beside a task that serves", now)
	}
}

// interferencePenaltyFor returns what is added to the score of a target for a
// best-effort step. Targets with a serving task that it would interfere with come
// last.
func (p *Planner) interferencePenaltyFor(s *step, t *target, now Moment) float64 {
	if !s.def.BestEffortCPU {
		return 0
	}
	cost := 0.0
	if t.throttling.level > 0 {
		cost += throttledPenalty
	}
	for _, r := range t.runs {
		if r.def.TailLatencyLimit == 0 || r.def.BestEffortCPU {
			continue
		}
		if at, ok := p.interference[imagePair{s.def.Image, r.def.Image}]; ok && now.Monotonic.Sub(at) < interferenceMaxAge {
			return cost + interferencePenalty
		}
	}
	return cost
}

// forgetPace drops the last pace sent to a run that has ended.
func (t *target) forgetPace(key runKey) { delete(t.throttling.sentPaces, key) }
