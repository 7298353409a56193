// Package admitter decides whether a request enters the queue: quota, queue
// bounds, and whether the predicted wait leaves time before the deadline.
package admitter

import (
	"time"

	"masticroad/internal/control/registrar"
)

// Refusal tells why a request was not admitted and when to try again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Permanent  bool // trying again won't help
}

// Rates follows how fast the work of each class starts, to predict waits.
type Rates struct {
	// Window is the time over which a rate is averaged.
	Window time.Duration

	classes [registrar.ClassCount]rate
	meanRun float64 // seconds
}

type rate struct {
	starts float64
	since  time.Time
	perSec float64
}

// Started counts one start of a class.
func (r *Rates) Started(c registrar.Class, now time.Time) {
	k := &r.classes[c]
	k.roll(r.Window, now)
	k.starts++
}

func (k *rate) roll(window time.Duration, now time.Time) {
	if k.since.IsZero() {
		k.since = now
	}
	span := now.Sub(k.since)
	if span < window {
		return
	}
	fresh := k.starts / span.Seconds()
	if k.perSec == 0 {
		k.perSec = fresh
	} else {
		k.perSec = (k.perSec + fresh) / 2
	}
	k.starts, k.since = 0, now
}

// Ended takes in the run time of a finished attempt.
func (r *Rates) Ended(d time.Duration) {
	if r.meanRun == 0 {
		r.meanRun = d.Seconds()
		return
	}
	r.meanRun += meanShare * (d.Seconds() - r.meanRun)
}

// meanShare is the weight of the newest run time in the mean.
const meanShare = 0.02

// Predict returns the expected wait behind ahead waiting items of a class,
// while running tasks hold the targets. Urgent work gets whatever becomes free,
// so its rate is at least that at which the running tasks end. While nothing
// waits the wait is 0; without a known rate it is 0 as well.
func (r *Rates) Predict(c registrar.Class, ahead, running int, now time.Time) time.Duration {
	k := &r.classes[c]
	k.roll(r.Window, now)
	perSec := k.perSec
	if c == registrar.Urgent && r.meanRun > 0 {
		perSec = max(perSec, float64(running)/r.meanRun)
	}
	if ahead == 0 || perSec <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSec * float64(time.Second))
}

// Bounds holds the limits of the queue.
type Bounds struct {
	PerCaller int           // waiting requests of one caller in a class
	PerClass  int           // waiting requests of a class
	MaxWait   time.Duration // predicted wait that is accepted; 0: any
	MinRetry  time.Duration
	MaxRetry  time.Duration
}

// Load describes the queue as one request finds it.
type Load struct {
	OfCaller  int
	OfClass   int
	Predicted time.Duration
}

// Check returns a refusal, or nil when a request with the given time left
// before its deadline may enter. Left is negative when there is no deadline.
func (b *Bounds) Check(load Load, callerBound int, left time.Duration) *Refusal {
	bound := b.PerCaller
	if callerBound > 0 {
		bound = callerBound
	}
	switch {
	case load.OfCaller >= bound:
		return &Refusal{"queue bound of the caller reached", b.retry(load.Predicted), false}
	case load.OfClass >= b.PerClass:
		return &Refusal{"queue bound of the class reached", b.retry(load.Predicted), false}
	case b.MaxWait > 0 && load.Predicted > b.MaxWait:
		return &Refusal{"predicted wait is too long", b.retry(load.Predicted), false}
	case left >= 0 && load.Predicted > left:
		return &Refusal{"predicted wait exceeds the deadline", b.retry(load.Predicted - left), false}
	}
	return nil
}

func (b *Bounds) retry(d time.Duration) time.Duration {
	return min(max(d, b.MinRetry), b.MaxRetry)
}

// QuotaAllows reports whether a caller that uses used may be charged need.
// A quota of zero in a resource is no bound.
func QuotaAllows(quota, used, need registrar.Need) bool {
	sum := used.Plus(need)
	return (quota.CPU == 0 || sum.CPU <= quota.CPU) &&
		(quota.Memory == 0 || sum.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || sum.Accelerators <= quota.Accelerators)
}
