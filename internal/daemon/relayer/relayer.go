// Package relayer passes calls that arrive at a daemon on to the leader of the
// cell, wherever it is, and carries out the leader's questions to the licensing
// service.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc"

	"masticroad/internal/metrics/meter"
	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file keeps a stream to the leader and passes calls on over it. Example:
// the leader's VM is frozen; another daemon is elected, which a watched daemon
// tells; the old stream is dropped and the calls that wait are sent to the new
// leader.

const (
	pingInterval = 400 * time.Millisecond // between signs of life of a stream
	silenceLimit = time.Second            // without a sign of life
	retryDelay   = 60 * time.Millisecond  // between attempts to reach a daemon: four round trips between regions
	upQueue      = 1024
)

// Local is the coordinator of this daemon, if it has one.
type Local interface {
	Leading() bool
	Handle(ctx context.Context, call leader.Call, reply func(leader.Reply))
}

// Relayer passes calls on. The exported fields are set before Run.
type Relayer struct {
	Name  string // of this daemon
	Local Local  // nil: this daemon never leads
	Dial  func(address string) (*grpc.ClientConn, error)
	Seeds func() []string // addresses of daemons that may know the leader
	Ask   func(o *planner.AskOrder) *planner.AskReport
	Log   hclog.Logger
	Now   func() time.Time
	Meter *meter.Meter // nil: nothing is counted

	mu       sync.Mutex
	pending  map[uint64]*pending
	nextID   uint64
	current  *link // nil: there is no stream to a leader
	known    []string
	leader   found
	lostAt   time.Time // when current became nil
	failed   int       // calls not decided in the present second
	failedAt time.Time
	changed  chan struct{} // closed when leader changes
}

type pending struct {
	call leader.Call
	done chan leader.Reply
	sent bool // it may have reached a leader
}

// link is an open stream to the leader.
type link struct {
	address string
	queue   chan *leader.Up
	cancel  context.CancelFunc
}

// Open prepares the tables. It must be called before any other method.
func (r *Relayer) Open() {
	r.pending = make(map[uint64]*pending)
	r.lostAt = r.Now()
	r.changed = make(chan struct{})
}

// Do passes a call on and waits for its reply, or until ctx ends, which is when
// the caller gives up. The verdict is Uncertain when the call may have been
// carried out, and NotReady when it surely was not. While there is no leader,
// calls wait as long as an election takes; after that they are refused at once,
// so that they come back when there may be one.
func (r *Relayer) Do(ctx context.Context, call leader.Call) leader.Reply {
	begun := time.Now()
	reply := r.do(ctx, call)
	took := time.Since(begun)
	r.Meter.Call(call.Kind(), reply.Verdict.String(), took)
	if reply.Verdict == planner.Uncertain || reply.Verdict == planner.NotReady {
		r.logFailure(&call, &reply, took)
	}
	return reply
}

// logFailure logs a call that the leader did not decide, at most failureLines a
// second.
func (r *Relayer) logFailure(call *leader.Call, reply *leader.Reply, took time.Duration) {
	now := r.Now()
	r.mu.Lock()
	if now.Sub(r.failedAt) >= time.Second {
		r.failedAt, r.failed = now, 0
	}
	r.failed++
	n, lead, term, lost := r.failed, r.leader.address, r.leader.term, r.lostAt
	linked := r.current != nil
	r.mu.Unlock()
	if n > failureLines {
		return
	}
	fields := []any{"kind", call.Kind(), "about", call.About(), "verdict", reply.Verdict.String(), "reason", reply.Reason, "took", took.Milliseconds(),
		"leader", lead, "term", term, "linked", linked}
	if !linked {
		fields = append(fields, "unlinked", now.Sub(lost).Milliseconds())
	}
	r.Log.Warn("call not decided", fields...)
}

// failureLines bounds the log while no leader is in reach.
const failureLines = 50

func (r *Relayer) do(ctx context.Context, call leader.Call) leader.Reply {
	sent := false
	begun := r.Now()
	for {
		if !sent && r.hopeless() {
			return noLeader
		}
		reply := r.try(ctx, call, &sent)
		switch {
		case reply.Verdict != planner.Uncertain:
			return reply
		case ctx.Err() != nil && !sent:
			return noLeader
		case ctx.Err() != nil || sent && r.Now().Sub(begun) > uncertainTime:
			return reply
		}
		sleep(ctx, retryDelay)
	}
}

// noLeader refuses a call that was not sent to any leader.
var noLeader = leader.Reply{Verdict: planner.NotReady, RetryAfter: noLeaderRetry, Reason: "no leader was found"}

// hopeless reports whether no leader has been in sight for longer than an
// election takes.
func (r *Relayer) hopeless() bool {
	leading := r.Local != nil && r.Local.Leading()
	return !leading && r.lostFor() > electionTime
}

const (
	// electionTime is how long calls wait for a new leader. An election takes
	// half of it; a leader that is missing longer may be missing for long.
	electionTime = time.Second
	// noLeaderRetry is the shortest pause that the protocol can name. Callers
	// wait a few seconds in all.
	noLeaderRetry = time.Second
	// uncertainTime is how long a call waits that may have reached a leader; then
	// another daemon may do better.
	uncertainTime = 1500 * time.Millisecond
)

// lostFor returns how long there has been no way to a leader.
func (r *Relayer) lostFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		return 0
	}
	return r.Now().Sub(r.lostAt)
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
	begun := r.Now()
	ticker := time.NewTicker(localCheck)
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
			if !r.wasSent(p) && r.hopeless() || r.wasSent(p) && r.Now().Sub(begun) > uncertainTime {
				return leader.Reply{Verdict: planner.Uncertain, Reason: "no leader answered"}
			}
		}
	}
}

// localCheck is the time after which a call notices that its own daemon has
// begun to lead, or that nobody does.
const localCheck = 100 * time.Millisecond

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

// send queues a call on the present link and reports whether there is one. The
// lock is held.
func (r *Relayer) send(call leader.Call) bool {
	if r.current == nil {
		return false
	}
	select {
	case r.current.queue <- &leader.Up{Calls: []leader.Call{call}}:
		return true
	default:
		r.current.cancel()
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
	return r.current != nil
}

// Run keeps a stream to the leader until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	if r.Local == nil {
		for n := range watchers {
			go r.watch(ctx, n)
		}
	}
	for ctx.Err() == nil {
		f, changed := r.who()
		if f.address == "" || f.address == r.Name {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		r.serve(ctx, f.address)
		sleep(ctx, retryDelay)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// serve opens a stream and, if it reaches the leader, serves it until it breaks.
func (r *Relayer) serve(ctx context.Context, address string) {
	conn, err := r.Dial(address)
	if err != nil {
		r.Log.Warn("connection can't be prepared", "address", address, "error", err)
		return
	}
	defer func() { _ = conn.Close() }() // the stream has ended
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, welcome := greet(ctx, cancel, conn, &leader.Hello{Daemon: r.Name})
	if welcome == nil {
		r.Log.Debug("no answer from the daemon that is said to lead", "address", address)
		return
	}
	r.learnWelcome(welcome)
	if !welcome.Leading {
		r.Log.Debug("the daemon that is said to lead does not", "address", address, "term", welcome.Term)
		return
	}
	r.Log.Info("leader found", "address", address, "term", welcome.Term)
	l := &link{address: address, queue: make(chan *leader.Up, upQueue), cancel: cancel}
	r.adopt(l)
	err = r.pump(ctx, stream, l)
	r.abandon(l)
	r.Log.Info("leader lost", "address", address, "error", err)
}

// adopt makes a link the present one and sends the calls that wait.
func (r *Relayer) adopt(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = l
	for _, p := range r.pending {
		p.sent = r.send(p.call) || p.sent
	}
}

// abandon lets the calls that may have reached the lost leader be tried again.
func (r *Relayer) abandon(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == l {
		r.current = nil
		r.lostAt = r.Now()
	}
}

// pump sends queued messages and takes in replies until the stream breaks or
// goes silent.
func (r *Relayer) pump(ctx context.Context, stream *leader.ClientStream, l *link) error {
	heard := make(chan struct{}, 1)
	broken := make(chan error, 1)
	go func() { broken <- r.receive(ctx, stream, l, heard) }()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	last := r.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-heard:
			last = r.Now()
		case m := <-l.queue:
			gather(l, m)
			if err := stream.Send(m); err != nil {
				return err
			}
		case <-tick.C:
			if r.Now().Sub(last) > silenceLimit {
				return errors.Timeoutf("stream to the leader")
			}
			if err := stream.Send(&leader.Up{Ping: true}); err != nil {
				return err
			}
		}
	}
}

// gather joins queued messages into one.
func gather(l *link, m *leader.Up) {
	for len(l.queue) > 0 {
		next := <-l.queue
		m.Calls = append(m.Calls, next.Calls...)
		m.Tickets = append(m.Tickets, next.Tickets...)
	}
}

func (r *Relayer) receive(ctx context.Context, stream *leader.ClientStream, l *link, heard chan<- struct{}) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		select {
		case heard <- struct{}{}:
		default:
		}
		for _, reply := range m.Replies {
			r.answer(reply)
		}
		for i := range m.Asks {
			go r.ask(ctx, l, &m.Asks[i])
		}
	}
}

func (r *Relayer) answer(reply leader.Reply) {
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

func (r *Relayer) ask(ctx context.Context, l *link, o *planner.AskOrder) {
	report := r.Ask(o)
	select {
	case l.queue <- &leader.Up{Tickets: []planner.AskReport{*report}}:
	case <-ctx.Done():
	}
}
