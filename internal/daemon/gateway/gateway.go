// Package gateway serves callers and targets on a daemon. It holds the bodies and
// connections of requests, maintains the session with the leader, starts assigned
// attempts and reports their results.
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

// This file holds the Gateway and its state, which is guarded by one mutex that is
// never held during I/O. Handle adds a request to pending and to the outbox, which
// the session sends. When the assignment arrives, runAttempt calls the target, and
// finish passes the answer to the waiters and adds a report to the outbox.

// Gateway serves callers, targets and the leader's orders. The exported fields
// are set before Run.
type Gateway struct {
	Daemon  registrar.Daemon
	Client  *replica.Client
	Targets *target.Client
	Log     hclog.Logger
	Now     func() time.Time
	View    func() *controller.View
	// Read runs a function over this daemon's replicated state.
	Read func(ctx context.Context, stale bool, f func(*controller.QueryState)) error
	// Leader returns the address of the current leader, or an empty string.
	Leader func() string
	// Term returns the newest term that this daemon's replica knows.
	Term func() registrar.Term
	// WithoutLeaseCheck disables the lease check, so that tests can prove that they
	// detect its absence.
	WithoutLeaseCheck bool
	// OnRequestDone, when set, is called for each finished request.
	OnRequestDone func(Observation)
	// MaxHeldBytes bounds the bodies of requests that have no result, also of those
	// whose callers have left. 0: no bound.
	MaxHeldBytes int

	mu              sync.Mutex
	lease           leaser.Lease
	renewals        map[uint64]time.Time
	renewSeq        uint64
	outbox          decider.Upstream
	wake            chan struct{}
	pending         map[registrar.RequestKey]*pending
	heldBytes       int // of the bodies in pending
	attempts        map[decider.TaskAttempt]*attempt
	assignedAt      map[decider.TaskAttempt]time.Time // of assignments, kept for assignmentRetention
	reports         map[decider.TaskAttempt]decider.Report
	settled         map[decider.TaskAttempt]chan struct{}
	announceWaiters map[announceKey]chan decider.TargetReply
	answers         answerCache
	wakeScheduled   bool // by signalLater
	stopping        bool // a planned stop has begun; not ready
	closed          bool // rejects new requests
	waitingCalls    int  // calls that wait for a result
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
	renewInterval    = 500 * time.Millisecond
	sessionTimeout   = 1500 * time.Millisecond
	reconnectDelay   = 50 * time.Millisecond
	callerGrace      = 10 * time.Second
	maxRenewals      = 16
	answerCacheBytes = 4 << 20
	answerRetention  = 2 * time.Minute
)

// Open initializes the gateway. It must be called before any other method.
func (g *Gateway) Open() {
	g.renewals = make(map[uint64]time.Time)
	g.wake = make(chan struct{}, 1)
	g.pending = make(map[registrar.RequestKey]*pending)
	g.attempts = make(map[decider.TaskAttempt]*attempt)
	g.assignedAt = make(map[decider.TaskAttempt]time.Time)
	g.reports = make(map[decider.TaskAttempt]decider.Report)
	g.settled = make(map[decider.TaskAttempt]chan struct{})
	g.announceWaiters = make(map[announceKey]chan decider.TargetReply)
	g.answers = answerCache{maxBytes: answerCacheBytes, retention: answerRetention}
}

// Run maintains a session with the leader until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.sweep(ctx)
	for ctx.Err() == nil {
		if err := g.runSession(ctx); err != nil && ctx.Err() == nil {
			g.Log.Debug("session ended", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// Leased reports whether the daemon's lease is valid.
func (g *Gateway) Leased() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leased()
}

func (g *Gateway) leased() bool {
	return g.WithoutLeaseCheck || g.lease.Valid(g.Now())
}

// BeginStop begins a planned stop: the daemon is no longer ready. Requests that
// still arrive are accepted until Stop.
func (g *Gateway) BeginStop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	g.outbox.Leaving = true
	g.signal()
}

// Stop rejects new requests and waits until those in flight have finished and
// their reports are settled, or until ctx ends.
func (g *Gateway) Stop(ctx context.Context) {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	for {
		g.mu.Lock()
		n := g.waitingCalls + len(g.reports)
		g.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

const drainPollInterval = 10 * time.Millisecond

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

// signal wakes the send loop of the session. The mutex is held.
func (g *Gateway) signal() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// signalLater wakes the send loop of the session after at most reportDelay, so
// that reports are sent in batches. The mutex is held.
func (g *Gateway) signalLater() {
	if g.wakeScheduled {
		return
	}
	g.wakeScheduled = true
	time.AfterFunc(reportDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.wakeScheduled = false
		g.signal()
	})
}

// reportDelay is the longest time for which the report of a repeatable request is
// delayed to be sent with others.
const reportDelay = 20 * time.Millisecond

// sweep periodically evicts old answers and assignments, and cancels requests
// whose callers have disconnected.
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

// evictAssignments removes assignments that no leader can send again, since their
// reports are committed. The mutex is held.
func (g *Gateway) evictAssignments(now time.Time) {
	for id, at := range g.assignedAt {
		_, reported := g.reports[id]
		if now.Sub(at) >= assignmentRetention && g.attempts[id] == nil && !reported {
			delete(g.assignedAt, id)
		}
	}
}

// assignmentRetention is the least time for which a received assignment is kept.
const assignmentRetention = time.Minute

func (g *Gateway) sweepOnce(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.expire(now)
	g.evictAssignments(now)
	for key, p := range g.pending {
		if p.waiters == 0 && !p.started && now.Sub(p.leftAt) >= callerGrace {
			g.outbox.Cancels = append(g.outbox.Cancels, decider.Cancel{Caller: key.Caller, Key: key.Key})
			p.leftAt = now
			g.signal()
		}
	}
}
