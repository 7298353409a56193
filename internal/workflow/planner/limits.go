package planner

import "time"

// This file holds the time bounds of calls to targets. Example: an order without
// an answer within Limits.Answer is sent again.

// Limits bound calls to targets. Zero values take the defaults.
type Limits struct {
	PollWait        time.Duration // a look waits this long for an end
	IdlePollWait    time.Duration // the same at a target that runs nothing
	LossyPollWait   time.Duration // the same while answers are missing
	OrderTimeout    time.Duration // an order without an answer within it is repeated
	PollTimeout     time.Duration // the same for a look, over the time that it waits
	LossyTimeout    time.Duration // the same for both while answers are missing
	PollRetry       time.Duration // pause after a look without an answer
	OrderRetry      time.Duration // pause after an order without an answer
	UnhealthyPause  time.Duration // a target that says it is not well gets no work for this long
	RemoveAfter     time.Duration // a silent target is forgotten
	LateOrderWindow time.Duration // an order without an answer may be carried out this much later
	ShortLease      time.Duration // of what a target runs, when it answers
	LongLease       time.Duration // the same where a task that lasts runs
	InitialLease    time.Duration // of a start, unless the target's lease is longer
	// PreemptAfter is how long a step finds no room before less urgent runs are
	// stopped for it; negative: never.
	PreemptAfter time.Duration
	DriftShare   float64 // a target's clock may be slow by this share
}

func (l *Limits) fill() {
	setDefault(&l.PollWait, 500*time.Millisecond)       // a target that is gone is noticed within a second
	setDefault(&l.IdlePollWait, 700*time.Millisecond)   // the same
	setDefault(&l.ShortLease, 3*time.Second)            // outlasts an election twice; a target that is lost holds its tasks for as long
	setDefault(&l.LongLease, 10*time.Second)            // outlasts most losses of power of all replicas
	setDefault(&l.InitialLease, 2500*time.Millisecond)  // outlasts an election by a second
	setDefault(&l.LossyPollWait, 150*time.Millisecond)  // an end is noticed within half a second though a look is lost
	setDefault(&l.OrderTimeout, 200*time.Millisecond)   // ten round trips between regions; orders may be repeated
	setDefault(&l.PollTimeout, 300*time.Millisecond)    // the same, and lists are longer
	setDefault(&l.LossyTimeout, 80*time.Millisecond)    // four round trips between regions
	setDefault(&l.PollRetry, 150*time.Millisecond)      // ten round trips between regions
	setDefault(&l.OrderRetry, 100*time.Millisecond)     // the same
	setDefault(&l.UnhealthyPause, 500*time.Millisecond) // a third of the time between announcements
	setDefault(&l.RemoveAfter, 30*time.Second)          // 20 announcements
	setDefault(&l.PreemptAfter, -1)                     // a stop keeps room unused for StopTime; see docs/POLICIES.md
	setDefault(&l.LateOrderWindow, 13*time.Second)      // orders were seen to be carried out 12 s late
	if l.DriftShare == 0 {
		l.DriftShare = 0.02 // what targets state about their clocks
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
