package planner

import "time"

// This file shares targets between tasks that serve, whose response times have a
// bound, and tasks that fill what the others leave unused. Example: the tail of
// a serving task nears its bound; what fills beside it is throttled to a half,
// a fifth, then halted; if the tail stays bad without it the pace rises again,
// since something else is the cause.

// paces are the levels of throttling, in percent.
var paces = [...]int{100, 50, 20, 0}

const (
	highTail      = 0.85                    // of the bound, from which what fills is throttled
	severeTail    = 1.2                     // from which it is halted at once
	lowTail       = 0.6                     // below which the pace rises
	paceRise      = 1500 * time.Millisecond // calm before the pace rises; three reports
	paceMemory    = 8 * time.Second         // a level at which the tail was bad is not tried again before
	haltedTime    = 2 * time.Second         // what is halted for longer moves elsewhere
	paceRepeat    = time.Second             // an order to throttle has no answer, so it is repeated while the tail is bad
	gaugeTime     = 500 * time.Millisecond  // that a reported tail stands for
	clashMemory   = 30 * time.Second        // two images that disturbed each other are kept apart this long
	clashPenalty  = 2.5                     // larger than any difference in room
	throttledCost = 1.5                     // of a target that is throttled, the same for what fills
)

// sharing is what is known of a target's throttling.
type sharing struct {
	level     int       // index in paces
	changedAt time.Time // of the level
	calmSince time.Time // zero: the tail is not low
	badAt     [len(paces)]time.Time
	haltedAt  time.Time
	ordered   map[runKey]paceSent
}

type paceSent struct {
	percent int
	at      time.Time
}

// imagePair names a filling and a serving image.
type imagePair struct{ fills, serves string }

// tail returns the worst tail of a serving task on a target against its bound,
// and whether there is one that is at work.
func (t *target) tail() (ratio float64, worst *run) {
	for _, r := range t.runs {
		if r.def.TailTarget == 0 || r.def.Fills || !r.def.Lasting || r.state != runStarted || r.percent < fullPace {
			continue
		}
		x := float64(time.Duration(r.gauge)*time.Millisecond) / float64(r.def.TailTarget)
		if worst == nil || x > ratio || x == ratio && compareKeys(r.key, worst.key) < 0 {
			ratio, worst = x, r
		}
	}
	return ratio, worst
}

// fillers returns the runs that fill, by task.
func (t *target) fillers() []*run {
	var out []*run
	for _, r := range t.sortedRuns() {
		if r.def.Fills && r.state == runStarted && !r.stopping {
			out = append(out, r)
		}
	}
	return out
}

// share adjusts the pace of what fills on a target to a new report.
func (p *Planner) share(t *target, now Moment) {
	fillers := t.fillers()
	if len(fillers) == 0 {
		t.sharing = sharing{}
		return
	}
	ratio, worst := t.tail()
	if worst == nil {
		p.setLevel(t, 0, now)
	} else {
		p.steer(t, ratio, worst, fillers, now)
	}
	p.sendPaces(t, fillers, ratio, now)
	p.moveHalted(t, fillers, now)
}

// steer chooses the level for a tail.
func (p *Planner) steer(t *target, ratio float64, worst *run, fillers []*run, now Moment) {
	s := &t.sharing
	settled := now.Steady.Sub(s.changedAt) >= p.Settings.PaceDelay+gaugeTime
	switch {
	case ratio >= severeTail && s.level < len(paces)-1:
		p.blameFillers(t, worst, fillers, now)
		p.setLevel(t, len(paces)-1, now)
	case ratio >= highTail:
		s.calmSince = time.Time{}
		if settled && s.level < len(paces)-1 {
			p.blameFillers(t, worst, fillers, now)
			p.setLevel(t, s.level+1, now)
		}
	case ratio < lowTail:
		if s.calmSince.IsZero() {
			s.calmSince = now.Steady
		}
		p.raise(t, now)
	default:
		s.calmSince = time.Time{}
	}
}

// raise lets what fills work more after a calm time, unless the next level was
// bad lately.
func (p *Planner) raise(t *target, now Moment) {
	s := &t.sharing
	if s.level == 0 || now.Steady.Sub(s.calmSince) < paceRise || now.Steady.Sub(s.changedAt) < paceRise {
		return
	}
	if bad := s.badAt[s.level-1]; !bad.IsZero() && now.Steady.Sub(bad) < paceMemory {
		return
	}
	p.setLevel(t, s.level-1, now)
}

func (p *Planner) setLevel(t *target, level int, now Moment) {
	s := &t.sharing
	if s.level == level {
		return
	}
	p.note("pace changed", "target", t.rec.ID, "percent", paces[level], "before", paces[s.level])
	s.level, s.changedAt, s.calmSince = level, now.Steady, time.Time{}
	s.haltedAt = time.Time{}
	if paces[level] == 0 {
		s.haltedAt = now.Steady
	}
}

// blameFillers remembers that images disturb each other.
func (p *Planner) blameFillers(t *target, worst *run, fillers []*run, now Moment) {
	t.sharing.badAt[t.sharing.level] = now.Steady
	for _, f := range fillers {
		p.clashes[imagePair{f.def.Image, worst.def.Image}] = now.Steady
	}
}

// sendPaces orders the level where it is not known to be in force.
func (p *Planner) sendPaces(t *target, fillers []*run, ratio float64, now Moment) {
	s := &t.sharing
	if s.ordered == nil {
		s.ordered = make(map[runKey]paceSent)
	}
	want := paces[s.level]
	for _, r := range fillers {
		sent, known := s.ordered[r.key]
		// A run begins at full pace, but an earlier leader may have throttled it.
		if !known && want == fullPace && r.ownStart {
			s.ordered[r.key] = paceSent{fullPace, now.Steady}
			continue
		}
		repeat := want < fullPace && ratio >= highTail && now.Steady.Sub(sent.at) >= paceRepeat
		if known && sent.percent == want && !repeat {
			continue
		}
		s.ordered[r.key] = paceSent{want, now.Steady}
		p.after(Action{Pace: &PaceOrder{To: p.destination(t), Task: r.key.task, Number: r.key.number, Percent: want}})
	}
}

// moveHalted moves what has been halted for long.
func (p *Planner) moveHalted(t *target, fillers []*run, now Moment) {
	if t.sharing.haltedAt.IsZero() || now.Steady.Sub(t.sharing.haltedAt) < haltedTime {
		return
	}
	for _, r := range fillers {
		s := p.steps[r.key.task.Of()]
		if s == nil || !p.mayTakeAway(r) || !p.hasRoomElsewhere(s, t, now) {
			continue
		}
		p.Counters.Moved++
		p.stop(r, "halted beside a task that serves", now)
	}
}

// disturbance is added to the score of a target for a step that fills: targets
// where it would disturb a task that serves come last.
func (p *Planner) disturbance(s *step, t *target, now Moment) float64 {
	if !s.def.Fills {
		return 0
	}
	cost := 0.0
	if t.sharing.level > 0 {
		cost += throttledCost
	}
	for _, r := range t.runs {
		if r.def.TailTarget == 0 || r.def.Fills {
			continue
		}
		if at, ok := p.clashes[imagePair{s.def.Image, r.def.Image}]; ok && now.Steady.Sub(at) < clashMemory {
			return cost + clashPenalty
		}
	}
	return cost
}

// forgetPace is called when a run ends.
func (t *target) forgetPace(key runKey) { delete(t.sharing.ordered, key) }
