package planner

import "time"

// This file holds the timeouts, retry pauses and leases of calls to targets.

// Limits bound calls to targets. Zero values take the defaults.
type Limits struct {
	PollWait        time.Duration // long poll: a target holds its answer this long unless a run ends
	IdlePollWait    time.Duration // the same for a target without runs
	LossyPollWait   time.Duration // the same while calls are being lost
	OrderTimeout    time.Duration // an order that is not answered within it is repeated
	PollTimeout     time.Duration // the same for a poll, in addition to its wait
	LossyTimeout    time.Duration // the same for both while calls are being lost
	PollRetry       time.Duration // pause after an unanswered poll
	OrderRetry      time.Duration // pause after an unanswered order
	UnsentRetry     time.Duration // first pause after a call that could not be sent; doubled each time
	UnhealthyPause  time.Duration // no new work for a target that refused a start, for example as unhealthy
	RemoveAfter     time.Duration // an unresponsive target is removed
	LateOrderWindow time.Duration // an unanswered order may still be carried out this much later
	ShortLease      time.Duration // for the runs on a target, renewed by polls
	LongLease       time.Duration // the same for a target with long-running tasks
	DrainLease      time.Duration // the same for a target that drains, if shorter than ShortLease
	InitialLease    time.Duration // granted with an order to start, unless the target's lease is longer
	// PreemptAfter is how long a step waits for capacity before runs of lower
	// priority are stopped for it; negative: never.
	PreemptAfter time.Duration
	DriftShare   float64 // a target's clock may run slow by this fraction
	// MaxHeldPolls bounds the polls that targets may hold at a time, each of which
	// takes a connection. Further targets are polled at intervals. 0: no bound.
	MaxHeldPolls int
}

func (l *Limits) fill() {
	setDefault(&l.PollWait, 500*time.Millisecond)       // the loss of a target is detected within a second
	setDefault(&l.IdlePollWait, 700*time.Millisecond)   // the same
	setDefault(&l.ShortLease, 3*time.Second)            // twice the time of an election; tasks of a lost target can't start elsewhere earlier
	setDefault(&l.LongLease, 6500*time.Millisecond)     // a power failure of all replicas for 5 s and an election
	setDefault(&l.DrainLease, 2*time.Second)            // an election and the first polls of the next leader
	setDefault(&l.InitialLease, 2500*time.Millisecond)  // a second longer than an election
	setDefault(&l.LossyPollWait, 150*time.Millisecond)  // an end is detected within half a second although a poll is lost
	setDefault(&l.OrderTimeout, 200*time.Millisecond)   // ten round trips between regions; orders may be repeated
	setDefault(&l.PollTimeout, 300*time.Millisecond)    // as for orders, with longer answers
	setDefault(&l.LossyTimeout, 80*time.Millisecond)    // four round trips between regions
	setDefault(&l.PollRetry, 150*time.Millisecond)      // ten round trips between regions
	setDefault(&l.OrderRetry, 100*time.Millisecond)     // the same
	setDefault(&l.UnsentRetry, 50*time.Millisecond)     // a few round trips between regions, after which connections are free
	setDefault(&l.UnhealthyPause, 500*time.Millisecond) // a third of the time between announcements
	setDefault(&l.RemoveAfter, 30*time.Second)          // 20 announcements
	setDefault(&l.PreemptAfter, -1)                     // off: a stop leaves capacity unused for StopTime; see docs/POLICIES.md
	setDefault(&l.LateOrderWindow, 13*time.Second)      // orders were observed to be carried out 12 s late
	if l.DriftShare == 0 {
		l.DriftShare = 0.02 // as specified for target clocks
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
