// Package gateway is a daemon's side towards callers and targets: it holds the
// bodies and connections of requests, keeps the session with the leader, starts
// what it is assigned and reports the results.
package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/leaser"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
)

// This file holds the Gateway and its tables. They are guarded by one mutex,
// which is never held during I/O. Example of a request: Handle puts it into
// pending and into the outbox, the session sends the outbox, an assignment
// arrives, start calls the target, finish gives the answer to the waiters and
// puts a report into the outbox.

// Gateway serves callers, targets and the leader's orders. The exported fields
// are set before Run.
type Gateway struct {
	Daemon  registrar.Daemon
	Client  *replica.Client
	Targets *target.Client
	Log     hclog.Logger
	Now     func() time.Time
	View    func() *controller.View
	// Read runs a function over this daemon's tables.
	Read func(ctx context.Context, stale bool, f func(*controller.Tables)) error
	// Leader returns the address of the present leader, or an empty text.
	Leader func() string
	// Term returns the newest term that this daemon's replica knows.
	Term func() registrar.Term
	// WithoutLeaseCheck switches the check of the lease off, so that tests can
	// show that they notice.
	WithoutLeaseCheck bool
	// Watch, when set, is told about each finished request.
	Watch func(Observation)

	mu       sync.Mutex
	lease    leaser.Lease
	renewals map[uint64]time.Time
	renewSeq uint64
	out      decider.Upstream
	wake     chan struct{}
	pending  map[registrar.RequestKey]*pending
	attempts map[decider.TaskAttempt]*attempt
	seen     map[decider.TaskAttempt]time.Time // assignments, for seenTime
	reports  map[decider.TaskAttempt]decider.Report
	settled  map[decider.TaskAttempt]chan struct{}
	announce map[announceKey]chan decider.TargetReply
	answers  answerCache
	later    bool // a delayed wake-up is due
	stopping bool // not ready
	closed   bool // takes no new request
	waiting  int  // calls that wait for a result
}

// Observation describes a finished request, for metrics.
type Observation struct {
	Caller  registrar.CallerName
	Class   registrar.Class
	Outcome registrar.Outcome
	Wait    time.Duration // from arrival to start
	Total   time.Duration // from arrival to answer
	Started bool
}

const (
	renewInterval = 500 * time.Millisecond
	silenceLimit  = 1500 * time.Millisecond
	relinkDelay   = 50 * time.Millisecond
	callerGrace   = 10 * time.Second
	keptRenewals  = 16
	answerBytes   = 4 << 20
	answerTime    = 2 * time.Minute
)

// Open prepares the tables. It must be called before any other method.
func (g *Gateway) Open() {
	g.renewals = make(map[uint64]time.Time)
	g.wake = make(chan struct{}, 1)
	g.pending = make(map[registrar.RequestKey]*pending)
	g.attempts = make(map[decider.TaskAttempt]*attempt)
	g.seen = make(map[decider.TaskAttempt]time.Time)
	g.reports = make(map[decider.TaskAttempt]decider.Report)
	g.settled = make(map[decider.TaskAttempt]chan struct{})
	g.announce = make(map[announceKey]chan decider.TargetReply)
	g.answers = answerCache{maxBytes: answerBytes, keep: answerTime}
}

// Run keeps a session with the leader until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.sweep(ctx)
	for ctx.Err() == nil {
		if err := g.link(ctx); err != nil && ctx.Err() == nil {
			g.Log.Debug("session ended", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(relinkDelay):
		}
	}
}

// Leased reports whether the daemon's lease is in force.
func (g *Gateway) Leased() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leased()
}

func (g *Gateway) leased() bool {
	return g.WithoutLeaseCheck || g.lease.Valid(g.Now())
}

// Refuse begins a planned stop: the daemon is no longer ready. Requests that
// still arrive are served until Stop.
func (g *Gateway) Refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.out.Leaving = true
	g.signal()
}

// Stop refuses new requests and waits for those in flight, as long as ctx
// allows.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	for {
		g.mu.Lock()
		n := g.waiting + len(g.reports)
		g.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushPoll):
		}
	}
}

const flushPoll = 10 * time.Millisecond

// Stopping reports whether a planned stop has begun.
func (g *Gateway) Stopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// InFlight returns the number of waiting requests and running attempts.
func (g *Gateway) InFlight() (requests, attempts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending), len(g.attempts)
}

// signal wakes the sender of the session. The mutex is held.
func (g *Gateway) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// signalLater wakes the sender of the session within reportDelay, so that
// reports are sent together. The mutex is held.
func (g *Gateway) signalLater() {
	if g.later {
		return
	}
	g.later = true
	time.AfterFunc(reportDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.later = false
		g.signal()
	})
}

// reportDelay is the longest time that a report of a repeatable request waits
// for others.
const reportDelay = 20 * time.Millisecond

// sweep evicts old answers and requests whose callers are gone.
func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.sweepOnce(g.Now())
		}
	}
}

// forgetSeen forgets assignments that no leader can send again: their reports
// are committed. The mutex is held.
func (g *Gateway) forgetSeen(now time.Time) {
	for id, at := range g.seen {
		_, reported := g.reports[id]
		if now.Sub(at) >= seenTime && g.attempts[id] == nil && !reported {
			delete(g.seen, id)
		}
	}
}

// seenTime is the least time for which an assignment is known after it came.
const seenTime = time.Minute

func (g *Gateway) sweepOnce(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.expire(now)
	g.forgetSeen(now)
	for key, p := range g.pending {
		if p.waiters == 0 && !p.started && now.Sub(p.leftAt) >= callerGrace {
			g.out.Cancels = append(g.out.Cancels, decider.Cancel{Caller: key.Caller, Key: key.Key})
			p.leftAt = now
			g.signal()
		}
	}
}
