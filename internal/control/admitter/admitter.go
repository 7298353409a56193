// Package admitter does admission control for requests: it checks quotas and
// queue bounds, and whether the predicted wait ends before the deadline.
package admitter

import (
	"time"

	"masticroad/internal/control/registrar"
)

// Refusal states why a request was not admitted and when to retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
	Permanent  bool // a retry can't succeed
}

// Rates tracks the start rate of each class and the mean run time, from which it
// predicts queueing delays.
type Rates struct {
	// Window is the minimum time over which a rate is measured.
	Window time.Duration

	classes        [registrar.ClassCount]startRate
	meanRunSeconds float64 // moving average; 0: no run has ended
}

// startRate measures the start rate of one class in consecutive windows.
type startRate struct {
	starts      float64 // in the current window
	windowStart time.Time
	perSec      float64 // smoothed over past windows; 0: unknown
}

// ObserveStart records that a task of class c started.
func (r *Rates) ObserveStart(c registrar.Class, now time.Time) {
	k := &r.classes[c]
	k.advance(r.Window, now)
	k.starts++
}

// advance closes the window if it is complete, and averages its rate with the
// past one.
func (k *startRate) advance(window time.Duration, now time.Time) {
	if k.windowStart.IsZero() {
		k.windowStart = now
	}
	elapsed := now.Sub(k.windowStart)
	if elapsed < window {
		return
	}
	measured := k.starts / elapsed.Seconds()
	if k.perSec == 0 {
		k.perSec = measured
	} else {
		k.perSec = (k.perSec + measured) / 2
	}
	k.starts, k.windowStart = 0, now
}

// ObserveRunTime records the run time of a finished attempt.
func (r *Rates) ObserveRunTime(d time.Duration) {
	if r.meanRunSeconds == 0 {
		r.meanRunSeconds = d.Seconds()
		return
	}
	r.meanRunSeconds += runTimeWeight * (d.Seconds() - r.meanRunSeconds)
}

// runTimeWeight is the weight of a new run time in the moving average.
const runTimeWeight = 0.02

// PredictWait returns the expected wait of an item of class c behind ahead waiting
// items, while running tasks occupy the targets. Urgent work is placed first on
// whatever becomes free, so its start rate is taken to be at least the rate at
// which running tasks end. The wait is 0 if no item is ahead or the rate is
// unknown.
func (r *Rates) PredictWait(c registrar.Class, ahead, running int, now time.Time) time.Duration {
	k := &r.classes[c]
	k.advance(r.Window, now)
	perSec := k.perSec
	if c == registrar.Urgent && r.meanRunSeconds > 0 {
		perSec = max(perSec, float64(running)/r.meanRunSeconds)
	}
	if ahead == 0 || perSec <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / perSec * float64(time.Second))
}

// Limits holds the limits of the queue.
type Limits struct {
	PerCaller int           // waiting requests of one caller in a class
	PerClass  int           // waiting requests of a class
	MaxWait   time.Duration // longest predicted wait that is accepted; 0: no limit
	MinRetry  time.Duration // lower bound of Refusal.RetryAfter
	MaxRetry  time.Duration // upper bound of Refusal.RetryAfter
}

// Load describes the queue at the time a request arrives.
type Load struct {
	CallerWaiting int // waiting requests of the caller in the class
	ClassWaiting  int // waiting requests of the class
	Predicted     time.Duration
}

// Check returns nil if a request may enter the queue, and a refusal otherwise.
// callerBound, if positive, replaces PerCaller. left is the time until the
// deadline of the request, negative if it has none.
func (b *Limits) Check(load Load, callerBound int, left time.Duration) *Refusal {
	bound := b.PerCaller
	if callerBound > 0 {
		bound = callerBound
	}
	switch {
	case load.CallerWaiting >= bound:
		return &Refusal{"queue bound of the caller reached", b.retryAfter(load.Predicted), false}
	case load.ClassWaiting >= b.PerClass:
		return &Refusal{"queue bound of the class reached", b.retryAfter(load.Predicted), false}
	case b.MaxWait > 0 && load.Predicted > b.MaxWait:
		return &Refusal{"predicted wait is too long", b.retryAfter(load.Predicted), false}
	case left >= 0 && load.Predicted > left:
		return &Refusal{"predicted wait exceeds the deadline", b.retryAfter(load.Predicted - left), false}
	}
	return nil
}

func (b *Limits) retryAfter(d time.Duration) time.Duration {
	return min(max(d, b.MinRetry), b.MaxRetry)
}

// QuotaAllows reports whether used plus need stays within the quota. A quota of
// zero for a resource means no limit.
func QuotaAllows(quota, used, need registrar.Need) bool {
	sum := used.Plus(need)
	return (quota.CPU == 0 || sum.CPU <= quota.CPU) &&
		(quota.Memory == 0 || sum.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || sum.Accelerators <= quota.Accelerators)
}
