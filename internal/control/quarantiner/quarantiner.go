// Package quarantiner detects targets that fail work which succeeds elsewhere,
// and work that fails everywhere. A failure is attributed to the target in
// proportion to how often the same kind of work succeeds on other targets. All
// counts decay exponentially.
package quarantiner

import (
	"math"
	"time"

	"masticroad/internal/control/predictor"
	"masticroad/internal/control/registrar"
)

// Detector holds the failure records and decides on quarantine. The exported fields
// must be set, and Reset called, before use.
type Detector struct {
	HalfLife        time.Duration // of the counts in a record
	MinFailures     float64       // attributed failures below which a target is never quarantined
	MaxFailureRate  float64       // attributed failures per attempt from which it is quarantined
	InitialDuration time.Duration // quarantine before the first probe; doubled at each step
	MaxDuration     time.Duration // upper bound of the doubling
	MaxFraction     float64       // of the targets of a zone that may be quarantined at a time

	records   map[registrar.TargetName]*record
	histories map[predictor.Work]*workHistory
}

// record holds decaying counts. failures is the attributed part of the failures
// in Detector.records, and all failures in a workHistory.
type record struct {
	attempts float64
	failures float64
	updated  time.Time // when the counts last decayed
}

// workHistory holds the outcomes of one kind of work on each target.
type workHistory struct {
	byTarget        map[registrar.TargetName]*record
	mayHaveFailures bool // if false, Avoid need not scan byTarget
}

// Verdict states whether a target is to be quarantined, and for how long.
type Verdict struct {
	Quarantine bool
	Step       int           // quarantine step to set, from 1
	Duration   time.Duration // until the next probe
}

// Reset clears all records.
func (j *Detector) Reset() {
	j.records = make(map[registrar.TargetName]*record)
	j.histories = make(map[predictor.Work]*workHistory)
}

// decay scales the counts of a record down to the given time.
func (j *Detector) decay(r *record, now time.Time) {
	if !r.updated.IsZero() && j.HalfLife > 0 {
		k := math.Exp2(-float64(now.Sub(r.updated)) / float64(j.HalfLife))
		r.attempts *= k
		r.failures *= k
	}
	r.updated = now
}

func (j *Detector) targetRecord(name registrar.TargetName) *record {
	r := j.records[name]
	if r == nil {
		r = &record{}
		j.records[name] = r
	}
	return r
}

func (j *Detector) workRecord(w predictor.Work, name registrar.TargetName) (*workHistory, *record) {
	s := j.histories[w]
	if s == nil {
		s = &workHistory{byTarget: make(map[registrar.TargetName]*record)}
		j.histories[w] = s
	}
	r := s.byTarget[name]
	if r == nil {
		r = &record{}
		s.byTarget[name] = r
	}
	return s, r
}

// failureRateElsewhere returns the mean failure rate of the work on all targets
// but the named one, and the number of those targets.
func (s *workHistory) failureRateElsewhere(name registrar.TargetName) (rate float64, seen int) {
	targets, rates := 0.0, 0.0
	for other, r := range s.byTarget {
		if other == name || r.attempts < 0.1 {
			continue
		}
		// Each target has equal weight. Weighted by attempts, a faulty target
		// that fails fast and so draws many attempts would make the work itself
		// appear faulty.
		targets++
		rates += r.failures / r.attempts
	}
	if targets == 0 {
		return 0, 0
	}
	return rates / targets, int(targets)
}

// IsWorkFaulty reports whether the work has run on at least minTargets targets
// and its mean failure rate over them is above 0.8, so that the cause is the
// work and not a target.
func (j *Detector) IsWorkFaulty(w predictor.Work, minTargets int) bool {
	s := j.histories[w]
	if s == nil {
		return false
	}
	rate, seen := s.failureRateElsewhere("")
	return seen >= minTargets && rate > 0.8
}

// TargetsToAvoid returns the targets on which at least half of the recent attempts of the
// work failed. A target drops out again as its failures decay.
func (j *Detector) TargetsToAvoid(w predictor.Work, now time.Time) map[registrar.TargetName]bool {
	s := j.histories[w]
	if s == nil || !s.mayHaveFailures {
		return nil
	}
	var out map[registrar.TargetName]bool
	for name, r := range s.byTarget {
		if r.failures == 0 {
			continue
		}
		j.decay(r, now)
		if r.failures < minFailuresToAvoid || r.failures < r.attempts/2 {
			continue
		}
		if out == nil {
			out = make(map[registrar.TargetName]bool)
		}
		out[name] = true
	}
	s.mayHaveFailures = out != nil
	return out
}

// minFailuresToAvoid is the decayed number of failures below which a target is
// not avoided, so that a single failure has no effect.
const minFailuresToAvoid = 1.5

// Observe records the outcome of one attempt and returns whether the target is
// to be quarantined. step is the current quarantine step of the target.
func (j *Detector) Observe(w predictor.Work, name registrar.TargetName, failed bool, step int, now time.Time) Verdict {
	s, onTarget := j.workRecord(w, name)
	rate, _ := s.failureRateElsewhere(name)
	j.decay(onTarget, now)
	onTarget.attempts++
	r := j.targetRecord(name)
	j.decay(r, now)
	r.attempts++
	if !failed {
		return Verdict{}
	}
	onTarget.failures++
	s.mayHaveFailures = true
	r.failures += 1 - rate
	if r.failures < j.MinFailures || r.failures/r.attempts < j.MaxFailureRate {
		return Verdict{}
	}
	next := step + 1
	return Verdict{Quarantine: true, Step: next, Duration: j.quarantineDuration(next)}
}

func (j *Detector) quarantineDuration(step int) time.Duration {
	d := j.InitialDuration
	for range step - 1 {
		d *= 2
		if d >= j.MaxDuration {
			return j.MaxDuration
		}
	}
	return d
}

// Clear removes the records of a target after a successful probe or a restart of
// the target.
func (j *Detector) Clear(name registrar.TargetName) {
	delete(j.records, name)
	for _, s := range j.histories {
		delete(s.byTarget, name)
	}
}

// MayQuarantine reports whether one more target of a zone may be quarantined. The
// first one always may, also in a zone too small for MaxFraction.
func (j *Detector) MayQuarantine(quarantined, total int) bool {
	return float64(quarantined+1) <= max(1, j.MaxFraction*float64(total))
}
