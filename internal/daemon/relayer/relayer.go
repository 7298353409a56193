// Package relayer forwards calls that arrive at a daemon to the leader of the
// cell, and makes the leader's ticket requests to the licensing service.
package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc"

	"masticroad/internal/metrics/meter"
	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file maintains a stream to the leader and forwards calls over it. When the
// leader changes, the old stream is closed and pending calls are sent to the new
// leader.

const (
	pingInterval  = 400 * time.Millisecond // between pings of the stream to the leader
	streamTimeout = time.Second            // without a message from the leader
	retryDelay    = 60 * time.Millisecond  // between attempts to connect to a daemon: four round trips between regions
	linkQueueSize = 1024
	// maxLinkBytes bounds the calls in the queue of a link, also of those whose callers
	// have left. A link that stands still ends after streamTimeout.
	maxLinkBytes = 8 << 20
)

// Local is the coordinator of this daemon, if it has one.
type Local interface {
	Leading() bool
	Handle(ctx context.Context, call leader.Call, reply func(leader.Reply))
}

// Relayer forwards calls to the leader. The exported fields are set before Run.
type Relayer struct {
	Name           string // of this daemon
	Local          Local  // nil: this daemon never leads
	Dial           func(address string) (*grpc.ClientConn, error)
	Seeds          func() []string // addresses of daemons that may know the leader
	RequestTickets func(o *planner.TicketRequest) *planner.TicketReport
	Log            hclog.Logger
	Now            func() time.Time
	Meter          *meter.Meter // nil: no metrics are recorded

	mu                 sync.Mutex
	pending            map[uint64]*pending
	nextID             uint64
	currentLink        *link // nil: no stream to a leader
	members            []string
	leader             leadership
	linkLostAt         time.Time // when current became nil
	failures           int       // calls not decided in the current second
	failureWindowStart time.Time
	leaderChanged      chan struct{} // closed when leader changes
}

type pending struct {
	call leader.Call
	done chan leader.Reply
	sent bool // may have reached a leader
}

// link is an open stream to the leader.
type link struct {
	address string
	queue   chan *leader.Up
	bytes   atomic.Int64 // of the calls in queue
	cancel  context.CancelFunc
}

// Open initializes the relayer. It must be called before any other method.
func (r *Relayer) Open() {
	r.pending = make(map[uint64]*pending)
	r.linkLostAt = r.Now()
	r.leaderChanged = make(chan struct{})
}

// Do forwards a call and waits for its reply, until the caller's context ends.
// The verdict is Uncertain when the call may have been executed, and NotReady
// when it provably was not. While there is no leader, calls wait for up to
// leaderWaitTimeout; after that they are refused at once, so that callers retry
// when there may be a leader.
func (r *Relayer) Do(ctx context.Context, call leader.Call) leader.Reply {
	startedAt := time.Now()
	reply := r.do(ctx, call)
	took := time.Since(startedAt)
	r.Meter.Call(call.Kind(), reply.Verdict.String(), took)
	if reply.Verdict == planner.Uncertain || reply.Verdict == planner.NotReady {
		r.logFailure(&call, &reply, took)
	}
	return reply
}

// logFailure logs a call that the leader did not decide, at most
// maxFailureLinesPerSecond.
func (r *Relayer) logFailure(call *leader.Call, reply *leader.Reply, took time.Duration) {
	now := r.Now()
	r.mu.Lock()
	if now.Sub(r.failureWindowStart) >= time.Second {
		r.failureWindowStart, r.failures = now, 0
	}
	r.failures++
	n, lead, term, lost := r.failures, r.leader.address, r.leader.term, r.linkLostAt
	linked := r.currentLink != nil
	r.mu.Unlock()
	if n > maxFailureLinesPerSecond {
		return
	}
	fields := []any{"kind", call.Kind(), "about", call.Subject(), "verdict", reply.Verdict.String(), "reason", reply.Reason, "took", took.Milliseconds(),
		"leader", lead, "term", term, "linked", linked}
	if !linked {
		fields = append(fields, "unlinked", now.Sub(lost).Milliseconds())
	}
	r.Log.Warn("call not decided", fields...)
}

// maxFailureLinesPerSecond bounds the log while no leader can be reached.
const maxFailureLinesPerSecond = 50

func (r *Relayer) do(ctx context.Context, call leader.Call) leader.Reply {
	sent := false
	startedAt := r.Now()
	for {
		if !sent && r.leaderOverdue() {
			return noLeader
		}
		reply := r.try(ctx, call, &sent)
		switch {
		case reply.Verdict != planner.Uncertain:
			return reply
		case ctx.Err() != nil && !sent:
			return noLeader
		case ctx.Err() != nil || sent && r.Now().Sub(startedAt) > uncertainTimeout:
			return reply
		}
		sleep(ctx, retryDelay)
	}
}

// noLeader is the reply to a call that was not sent to any leader.
var noLeader = leader.Reply{Verdict: planner.NotReady, RetryAfter: noLeaderRetryAfter, Reason: "no leader was found"}

// leaderOverdue reports whether this daemon has been without a leader for longer
// than leaderWaitTimeout.
func (r *Relayer) leaderOverdue() bool {
	leading := r.Local != nil && r.Local.Leading()
	return !leading && r.leaderlessFor() > leaderWaitTimeout
}

const (
	// leaderWaitTimeout is how long calls wait for a new leader. An election takes
	// half of it; a longer absence of a leader may last.
	leaderWaitTimeout = time.Second
	// noLeaderRetryAfter is the shortest retry delay that the protocol can express.
	// Callers retry for only a few seconds in total.
	noLeaderRetryAfter = time.Second
	// uncertainTimeout is how long a call that may have reached a leader waits for
	// its reply. A retry through another daemon may succeed sooner.
	uncertainTimeout = 1500 * time.Millisecond
)

// leaderlessFor returns how long there has been no stream to a leader, 0 while
// there is one.
func (r *Relayer) leaderlessFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentLink != nil {
		return 0
	}
	return r.Now().Sub(r.linkLostAt)
}

func (r *Relayer) try(ctx context.Context, call leader.Call, sent *bool) leader.Reply {
	if r.Local != nil && r.Local.Leading() {
		*sent = true
		return r.doLocal(ctx, call)
	}
	p := &pending{call: call, done: make(chan leader.Reply, 1)}
	r.mu.Lock()
	r.nextID++
	p.call.ID = r.nextID
	r.pending[p.call.ID] = p
	p.sent = r.send(p.call)
	r.mu.Unlock()
	defer r.forget(p, sent)
	startedAt := r.Now()
	ticker := time.NewTicker(localCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case reply := <-p.done:
			return reply
		case <-ctx.Done():
			return leader.Reply{Verdict: planner.Uncertain, Reason: "the leader did not answer in time"}
		case <-ticker.C:
			if r.Local != nil && r.Local.Leading() {
				return leader.Reply{Verdict: planner.Uncertain, Reason: "this daemon leads now"}
			}
			if !r.wasSent(p) && r.leaderOverdue() || r.wasSent(p) && r.Now().Sub(startedAt) > uncertainTimeout {
				return leader.Reply{Verdict: planner.Uncertain, Reason: "no leader answered"}
			}
		}
	}
}

// localCheckInterval is the interval at which a pending call checks whether its
// own daemon leads now, and whether the wait for a leader has timed out.
const localCheckInterval = 100 * time.Millisecond

func (r *Relayer) wasSent(p *pending) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.sent
}

func (r *Relayer) doLocal(ctx context.Context, call leader.Call) leader.Reply {
	done := make(chan leader.Reply, 1)
	r.Local.Handle(ctx, call, func(reply leader.Reply) { done <- reply })
	select {
	case reply := <-done:
		return reply
	case <-ctx.Done():
		return leader.Reply{Verdict: planner.Uncertain, Reason: "the leader did not decide in time"}
	}
}

func (r *Relayer) forget(p *pending, sent *bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, p.call.ID)
	*sent = *sent || p.sent
}

// send queues a call on the current link and reports whether it did. A call beyond
// maxLinkBytes is not queued. If the queue is full, it cancels the link. The mutex is held.
func (r *Relayer) send(call leader.Call) bool {
	l := r.currentLink
	if l == nil {
		return false
	}
	size := int64(call.Bytes())
	if l.bytes.Add(size) > max(size, maxLinkBytes) {
		l.bytes.Add(-size)
		return false
	}
	select {
	case l.queue <- &leader.Up{Calls: []leader.Call{call}}:
		return true
	default:
		l.cancel()
		return false
	}
}

// Ready reports whether the leader can be reached.
func (r *Relayer) Ready() bool {
	if r.Local != nil && r.Local.Leading() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentLink != nil
}

// Run maintains a stream to the leader until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	if r.Local == nil {
		for n := range watcherCount {
			go r.watchDaemons(ctx, n)
		}
	}
	for ctx.Err() == nil {
		f, changed := r.currentLeader()
		if f.address == "" || f.address == r.Name {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		r.serveLeader(ctx, f.address)
		sleep(ctx, retryDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serveLeader opens a stream and, if its peer leads, serves it until it ends.
func (r *Relayer) serveLeader(ctx context.Context, address string) {
	conn, err := r.Dial(address)
	if err != nil {
		r.Log.Warn("connection can't be prepared", "address", address, "error", err)
		return
	}
	defer func() { _ = conn.Close() }() // the stream has ended
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, welcome := openStream(ctx, cancel, conn, &leader.Hello{Daemon: r.Name})
	if welcome == nil {
		r.Log.Debug("no welcome from the presumed leader", "address", address)
		return
	}
	r.applyWelcome(welcome)
	if !welcome.Leading {
		r.Log.Debug("the presumed leader does not lead", "address", address, "term", welcome.Term)
		return
	}
	r.Log.Info("leader found", "address", address, "term", welcome.Term)
	l := &link{address: address, queue: make(chan *leader.Up, linkQueueSize), cancel: cancel}
	r.setLink(l)
	err = r.serveLink(ctx, stream, l)
	r.clearLink(l)
	r.Log.Info("stream to the leader ended", "address", address, "error", err)
}

// setLink makes a link the current one and sends the pending calls over it.
func (r *Relayer) setLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentLink = l
	for _, p := range r.pending {
		p.sent = r.send(p.call) || p.sent
	}
}

// clearLink removes a link that has ended and records when. Pending calls are
// sent again over the next link.
func (r *Relayer) clearLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentLink == l {
		r.currentLink = nil
		r.linkLostAt = r.Now()
	}
}

// serveLink sends queued messages and receives replies until the stream ends or
// nothing is received for streamTimeout.
func (r *Relayer) serveLink(ctx context.Context, stream *leader.ClientStream, l *link) error {
	received := make(chan struct{}, 1)
	broken := make(chan error, 1)
	go func() { broken <- r.receive(ctx, stream, l, received) }()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	last := r.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-received:
			last = r.Now()
		case m := <-l.queue:
			mergeQueued(l, m)
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-tick.C:
			if r.Now().Sub(last) > streamTimeout {
				return errors.Timeoutf("stream to the leader")
			}
			if err := stream.Send(&leader.Up{Ping: true}); err != nil {
				return err
			}
		}
	}
}

// mergeQueued merges queued messages into m.
func mergeQueued(l *link, m *leader.Up) {
	for len(l.queue) > 0 {
		next := <-l.queue
		m.Calls = append(m.Calls, next.Calls...)
		m.Tickets = append(m.Tickets, next.Tickets...)
	}
	size := 0
	for i := range m.Calls {
		size += m.Calls[i].Bytes()
	}
	l.bytes.Add(-int64(size))
}

func (r *Relayer) receive(ctx context.Context, stream *leader.ClientStream, l *link, received chan<- struct{}) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case received <- struct{}{}:
		default:
		}
		for _, reply := range m.Replies {
			r.deliverReply(reply)
		}
		for i := range m.TicketRequests {
			go r.requestTickets(ctx, l, &m.TicketRequests[i])
		}
	}
}

func (r *Relayer) deliverReply(reply leader.Reply) {
	r.mu.Lock()
	p := r.pending[reply.ID]
	r.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.done <- reply:
	default:
	}
}

func (r *Relayer) requestTickets(ctx context.Context, l *link, o *planner.TicketRequest) {
	report := r.RequestTickets(o)
	select {
	case l.queue <- &leader.Up{Tickets: []planner.TicketReport{*report}}:
	case <-ctx.Done():
	}
}
