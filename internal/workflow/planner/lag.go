package planner

import (
	"math"
	"time"
)

// This file estimates how late this leader is: for how long answers and timeouts have waited
// until it handled them. A leader that is out of processor time takes answers that wait for
// it for lost ones. What follows makes it still later: it repeats orders and ticket requests,
// closes the connections they went over, and doesn't extend the leases of their targets. The
// timeouts of calls therefore grow with its lag.

const (
	lagHalfLife = 500 * time.Millisecond // a few rounds of a late leader
	// maxLag keeps the timeout of an order below restartClockStep.
	maxLag = 700 * time.Millisecond
)

// lagEstimate is the longest recent lag, which decays.
type lagEstimate struct {
	lag time.Duration
	at  time.Time
}

func (e *lagEstimate) observe(lag time.Duration, now time.Time) {
	lag = min(lag, maxLag)
	if lag >= e.present(now) {
		e.lag, e.at = lag, now
	}
}

func (e *lagEstimate) present(now time.Time) time.Duration {
	if e.lag == 0 {
		return 0
	}
	return time.Duration(float64(e.lag) * math.Exp2(-float64(now.Sub(e.at))/float64(lagHalfLife)))
}

// observeLag records the lag with which the outcome of a call is handled: the time since its
// answer came or, without one, since its timeout.
func (p *Planner) observeLag(answered bool, sent time.Time, limit time.Duration, received time.Time, now Moment) {
	since := received
	if !answered {
		since = sent.Add(limit)
	}
	p.lag.observe(now.Monotonic.Sub(since), now.Monotonic)
}
