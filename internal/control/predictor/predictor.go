// Package predictor estimates the resource use and run time of each kind of work
// of a caller from usage reports, which arrive with a delay. The weight of
// reports decays with age.
package predictor

import (
	"math"
	"time"

	"masticroad/internal/control/registrar"
)

// Work identifies a kind of work: a job of a caller, or the requests of a caller
// in one class.
type Work struct {
	Caller registrar.CallerName
	Job    registrar.JobName
	Class  registrar.Class
}

// Table holds the observations of each kind of work. The exported fields must be
// set before use.
type Table struct {
	// MinReports is the number of reports required for a prediction.
	MinReports int
	// Quantile of the reported use that is charged, for example 0.9.
	Quantile float64

	stats map[Work]*workStats
}

type workStats struct {
	cpu     Histogram
	memory  Histogram
	runTime Histogram // milliseconds
}

func (t *Table) statsOf(w Work) *workStats {
	if t.stats == nil {
		t.stats = make(map[Work]*workStats)
	}
	l := t.stats[w]
	if l == nil {
		l = &workStats{}
		t.stats[w] = l
	}
	return l
}

// AddUsage records the reported use of one running task.
func (t *Table) AddUsage(w Work, use registrar.Need) {
	l := t.statsOf(w)
	l.cpu.Add(float64(use.CPU))
	l.memory.Add(float64(use.Memory))
}

// AddRunTime records the run time of one finished task.
func (t *Table) AddRunTime(w Work, d time.Duration) {
	t.statsOf(w).runTime.Add(float64(d.Milliseconds()))
}

// Charge returns the resources to charge for a task: per resource the declared
// need, or the estimated use if that is higher. The estimate is capped at limit,
// the capacity of the largest target, since the task could be placed nowhere
// otherwise; the declared need is not capped. Accelerators are charged as
// declared.
func (t *Table) Charge(w Work, declared, limit registrar.Need) registrar.Need {
	l := t.stats[w]
	if l == nil || l.cpu.Count() < t.MinReports {
		return declared
	}
	use := registrar.Need{
		CPU:          registrar.MilliCPU(l.cpu.Quantile(t.Quantile)),
		Memory:       registrar.MiB(l.memory.Quantile(t.Quantile)),
		Accelerators: declared.Accelerators,
	}
	charge := declared.Max(use)
	charge.CPU = max(declared.CPU, min(charge.CPU, limit.CPU))
	charge.Memory = max(declared.Memory, min(charge.Memory, limit.Memory))
	return charge
}

// RunTime returns the given quantile of the observed run times, or the declared
// run time if there are fewer than MinReports of them.
func (t *Table) RunTime(w Work, declared time.Duration, quantile float64) time.Duration {
	l := t.stats[w]
	if l == nil || l.runTime.Count() < t.MinReports {
		return declared
	}
	return time.Duration(l.runTime.Quantile(quantile)) * time.Millisecond
}

// Histogram counts values in exponential buckets, four to each doubling. It
// halves all counts when their sum reaches decayThreshold, so that old values
// lose weight.
type Histogram struct {
	buckets map[int16]float64
	total   float64 // sum of the decayed counts
	count   int     // number of values ever added
}

const (
	bucketsPerDoubling = 4
	decayThreshold     = 256
)

// Add adds one value.
func (h *Histogram) Add(v float64) {
	if h.buckets == nil {
		h.buckets = make(map[int16]float64)
	}
	h.buckets[bucketOf(v)]++
	h.total++
	h.count++
	if h.total >= decayThreshold {
		h.decay()
	}
}

func (h *Histogram) decay() {
	h.total = 0
	for b, n := range h.buckets {
		n /= 2
		if n < 0.25 {
			delete(h.buckets, b)
			continue
		}
		h.buckets[b] = n
		h.total += n
	}
}

// Count returns the number of values ever added.
func (h *Histogram) Count() int { return h.count }

// Quantile returns the upper bound of the bucket that contains quantile q, or 0
// if the histogram is empty.
func (h *Histogram) Quantile(q float64) float64 {
	if h.total == 0 {
		return 0
	}
	lo, hi := int16(math.MaxInt16), int16(0)
	for b := range h.buckets {
		lo, hi = min(lo, b), max(hi, b)
	}
	sum := 0.0
	for b := lo; b < hi; b++ {
		sum += h.buckets[b]
		if sum >= q*h.total {
			return upperBoundOf(b)
		}
	}
	return upperBoundOf(hi)
}

func bucketOf(v float64) int16 {
	if v < 1 {
		return 0
	}
	return int16(math.Ceil(math.Log2(v) * bucketsPerDoubling))
}

func upperBoundOf(b int16) float64 {
	return math.Exp2(float64(b) / bucketsPerDoubling)
}
