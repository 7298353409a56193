// Package quarantiner finds targets that fail what others run well, and work
// that fails everywhere. A failure counts against a target only so far as the
// same work succeeds elsewhere.
package quarantiner

import (
	"math"
	"time"

	"masticroad/internal/control/predictor"
	"masticroad/internal/control/registrar"
)

// Judge holds the failure records. The exported fields are set before use.
type Judge struct {
	HalfLife    time.Duration // in which a record loses half its weight
	MinBlame    float64       // blame below which a target is never quarantined
	MaxRate     float64       // blame per attempt above which it is
	FirstPause  time.Duration // before the first probe; doubled at each step
	MaxPause    time.Duration
	MaxFraction float64 // of the targets of a zone that may be quarantined

	records map[registrar.TargetName]*record
	histories   map[predictor.Work]*workHistory
}

type record struct {
	attempts float64
	failures    float64
	updated       time.Time
}

// workHistory holds how one kind of work fares on each target.
type workHistory struct {
	byTarget     map[registrar.TargetName]*record
	mayHaveFailures bool // some record may hold a failure
}

// Verdict is what follows from an outcome.
type Verdict struct {
	Quarantine bool
	Step       int
	Pause      time.Duration
}

// Begin forgets all records.
func (j *Judge) Begin() {
	j.records = make(map[registrar.TargetName]*record)
	j.histories = make(map[predictor.Work]*workHistory)
}

func (j *Judge) decay(r *record, now time.Time) {
	if !r.updated.IsZero() && j.HalfLife > 0 {
		k := math.Exp2(-float64(now.Sub(r.updated)) / float64(j.HalfLife))
		r.attempts *= k
		r.failures *= k
	}
	r.updated = now
}

func (j *Judge) targetRecord(name registrar.TargetName) *record {
	r := j.records[name]
	if r == nil {
		r = &record{}
		j.records[name] = r
	}
	return r
}

func (j *Judge) workRecord(w predictor.Work, name registrar.TargetName) (*workHistory, *record) {
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

// failureRateElsewhere returns the rate at which work fails on other targets, and on how
// many of them it was seen.
func (s *workHistory) failureRateElsewhere(name registrar.TargetName) (rate float64, seen int) {
	attempts, failures := 0.0, 0.0
	for other, r := range s.byTarget {
		if other == name || r.attempts < 0.1 {
			continue
		}
		// Each target has one vote, so that one that fails fast and takes
		// much of the work does not make the work look bad.
		attempts++
		failures += r.failures / r.attempts
	}
	if attempts == 0 {
		return 0, 0
	}
	return failures / attempts, int(attempts)
}

// FaultOfWork reports whether work fails on most of at least minTargets
// targets.
func (j *Judge) FaultOfWork(w predictor.Work, minTargets int) bool {
	s := j.histories[w]
	if s == nil {
		return false
	}
	rate, seen := s.failureRateElsewhere("")
	return seen >= minTargets && rate > 0.8
}

// Avoid returns the targets on which work has lately failed more often than
// not. They are tried again when the record has faded.
func (j *Judge) Avoid(w predictor.Work, now time.Time) map[registrar.TargetName]bool {
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

// minFailuresToAvoid is the weight below which a failure is forgotten.
const minFailuresToAvoid = 1.5

// Observe takes in one outcome and says whether the target is to be
// quarantined. Step is the present step of the target.
func (j *Judge) Observe(w predictor.Work, name registrar.TargetName, failed bool, step int, now time.Time) Verdict {
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
	if r.failures < j.MinBlame || r.failures/r.attempts < j.MaxRate {
		return Verdict{}
	}
	next := step + 1
	return Verdict{Quarantine: true, Step: next, Pause: j.quarantineDuration(next)}
}

func (j *Judge) quarantineDuration(step int) time.Duration {
	d := j.FirstPause
	for range step - 1 {
		d *= 2
		if d >= j.MaxPause {
			return j.MaxPause
		}
	}
	return d
}

// Clear forgets the record of a target, after a probe went well or it
// restarted.
func (j *Judge) Clear(name registrar.TargetName) {
	delete(j.records, name)
	for _, s := range j.histories {
		delete(s.byTarget, name)
	}
}

// Allowed reports whether one more target of a zone may be quarantined.
func (j *Judge) Allowed(quarantined, total int) bool {
	return float64(quarantined+1) <= max(1, j.MaxFraction*float64(total))
}
