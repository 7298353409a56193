// Package relayer forwards calls that arrive at a daemon to the leader of the
// cell, and makes the leader's ticket requests to the licensing service.
package relayer

import (
	"context"
	"math/rand/v2"
	"sync"
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
	// WithoutWorkspaces makes it act as a version that passes no keys on, for tests of upgrades.
	WithoutWorkspaces bool

	mu                 sync.Mutex
	pending            map[uint64]*pending
	nextID             uint64
	currentLink        *link // nil: no stream to a leader
	servedLink         *link // whose stream is open; its daemon may have stopped leading
	members            []string
	leader             leadership
	linkLostAt         time.Time // when the last leader was heard last, or this daemon stopped leading
	answeredAt         time.Time // when a watched replica answered last
	namedAt            time.Time // when one did that names a leader
	answeredSince      time.Time // see Absence
	failures           int       // calls not decided in the current second
	failureWindowStart time.Time
	leaderChanged      chan struct{} // closed when leader changes
}

// link is an open stream to the leader.
type link struct {
	address string
	queue   chan item
	cancel  context.CancelFunc
	// The relayer's mutex guards these.
	ended   bool      // nothing is sent over it any more
	heardAt time.Time // when a message from the leader came last
}

// Open initializes the relayer. It must be called before any other method.
func (r *Relayer) Open() {
	r.pending = make(map[uint64]*pending)
	r.linkLostAt = r.Now()
	r.leaderChanged = make(chan struct{})
}

// Do forwards a call and waits for its reply, until the caller's context ends.
// The verdict is Uncertain when the call may have been executed, and NotReady
// when it provably was not, or has no effect. While there is no leader, calls wait for up to
// leaderWaitTimeout; after that they are refused at once, so that callers retry
// when there may be a leader.
func (r *Relayer) Do(ctx context.Context, call leader.Call) leader.Reply {
	if r.WithoutWorkspaces {
		call = withoutWorkspaces(call)
	}
	startedAt := time.Now()
	reply, why := r.do(ctx, call)
	took := time.Since(startedAt)
	r.Meter.Call(call.Kind(), reply.Verdict.String(), took)
	if reply.Verdict == planner.Uncertain || reply.Verdict == planner.NotReady {
		r.Meter.CallNotDecided(call.Kind(), reply.Verdict.String(), string(why))
		r.logFailure(&call, &reply, why, took)
	}
	return reply
}

// logFailure logs a call that the leader did not decide, at most
// maxFailureLinesPerSecond.
func (r *Relayer) logFailure(call *leader.Call, reply *leader.Reply, why cause, took time.Duration) {
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
	fields := []any{"kind", call.Kind(), "about", call.Subject(), "verdict", reply.Verdict.String(), "cause", string(why), "reason", reply.Reason, "retry", reply.RetryAfter.Milliseconds(), "took", took.Milliseconds(),
		"leader", lead, "term", term, "linked", linked}
	if !linked {
		fields = append(fields, "unlinked", now.Sub(lost).Milliseconds())
	}
	r.Log.Warn("call not decided", fields...)
}

// maxFailureLinesPerSecond bounds the log while no leader can be reached.
const maxFailureLinesPerSecond = 50

// cause tells why a call was not decided, and with that why its outcome is certain or not.
type cause string

const (
	causeNoLeader   cause = "no leader"  // it was written to no stream
	causeNotTaken   cause = "not taken"  // each daemon that it was sent to has told that it had no effect
	causeQuery      cause = "query"      // a leader may have got it, but it has no effect
	causeUnanswered cause = "unanswered" // a leader may have taken it
	causeLeader     cause = "leader"     // the leader has refused it
)

func (r *Relayer) do(ctx context.Context, call leader.Call) (leader.Reply, cause) {
	taken := false // by a leader, maybe
	why := causeNoLeader
	startedAt := r.Now()
	for {
		if !taken && r.leaderOverdue(startedAt) {
			return r.refuse(&call, "no leader was found"), why
		}
		reply := r.try(ctx, call, startedAt, &taken)
		if reply.NotTaken {
			why = causeNotTaken
		}
		switch {
		case reply.Verdict != planner.Uncertain:
			return reply, causeLeader
		case !taken && ctx.Err() != nil:
			return r.refuse(&call, "no leader took the call in time"), why
		case ctx.Err() != nil || taken && r.Now().Sub(startedAt) > uncertainTimeout:
			return r.unanswered(&call, reply)
		}
		sleep(ctx, retryDelay)
	}
}

// refuse returns the reply to a call that no leader has taken.
func (r *Relayer) refuse(call *leader.Call, reason string) leader.Reply {
	return leader.Reply{Verdict: planner.NotReady, NotTaken: true, RetryAfter: r.retryAfter(call), Reason: reason}
}

// unanswered returns the reply to a call that a leader may have taken. A call without an
// effect can be refused nevertheless.
func (r *Relayer) unanswered(call *leader.Call, reply leader.Reply) (leader.Reply, cause) {
	if !call.HasEffect() {
		return r.refuse(call, "no leader answered the query"), causeQuery
	}
	reply.NotTaken = false
	if !r.Ready() {
		reply.RetryAfter = r.retryAfter(call)
	}
	return reply, causeUnanswered
}

// retryAfter returns when the caller should come back. Targets and operators repeat their
// calls at fixed intervals.
func (r *Relayer) retryAfter(call *leader.Call) time.Duration {
	if r.Ready() || call.Submit == nil && call.State == nil && call.Cancel == nil {
		return minRetryAfter
	}
	patience := time.Duration(0)
	if call.Submit != nil {
		patience = Patience(call.Submit.Job)
	}
	return r.absence().RetryAfter(r.Now(), patience, rand.Float64())
}

// leaderOverdue reports whether a call that began at some time has waited long enough for a
// leader, or the leader has been missing for that long.
func (r *Relayer) leaderOverdue(begun time.Time) bool {
	now := r.Now()
	return !r.Ready() && (now.Sub(begun) > leaderWaitTimeout || r.absence().Overdue(now))
}

// uncertainTimeout is how long a call that may have reached a leader waits for
// its reply. A retry through another daemon may succeed sooner.
const uncertainTimeout = 1500 * time.Millisecond

// absence returns what is known of the absence of a leader.
func (r *Relayer) absence() Absence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Absence{Since: r.linkLostAt, AnsweredSince: r.answeredSince, Named: r.Now().Sub(r.namedAt) <= silenceTimeout}
}

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

// try sends a call until a leader answers it, and sets taken if one may have taken it.
func (r *Relayer) try(ctx context.Context, call leader.Call, begun time.Time, taken *bool) leader.Reply {
	if r.Local != nil && r.Local.Leading() {
		return r.doLocal(ctx, call, taken)
	}
	p := r.add(call)
	defer func() { *taken = r.forget(p) || *taken }()
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
			mayBeTaken := *taken || r.mayBeTaken(p)
			if !mayBeTaken && r.leaderOverdue(begun) || mayBeTaken && r.Now().Sub(startedAt) > uncertainTimeout {
				return leader.Reply{Verdict: planner.Uncertain, Reason: "no leader answered"}
			}
		}
	}
}

// localCheckInterval is the interval at which a pending call checks whether its
// own daemon leads now, and whether the wait for a leader has timed out.
const localCheckInterval = 100 * time.Millisecond

func (r *Relayer) doLocal(ctx context.Context, call leader.Call, taken *bool) leader.Reply {
	done := make(chan leader.Reply, 1)
	r.Local.Handle(ctx, call, func(reply leader.Reply) { done <- reply })
	select {
	case reply := <-done:
		*taken = *taken || reply.Verdict == planner.Uncertain && !reply.NotTaken
		return reply
	case <-ctx.Done():
		*taken = true
		return leader.Reply{Verdict: planner.Uncertain, Reason: "the leader did not decide in time"}
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
	if r.Local != nil {
		go r.noteLeadership(ctx)
	} else {
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
	stream, welcome := openStream(ctx, cancel, conn, &leader.Hello{Daemon: r.Name, Keys: !r.WithoutWorkspaces})
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
	l := &link{address: address, queue: make(chan item, linkQueueSize), cancel: cancel, heardAt: r.Now()}
	r.setLink(l)
	err = r.serveLink(ctx, stream, l)
	r.clearLink(l)
	r.Log.Info("stream to the leader ended", "address", address, "error", err)
}

// setLink makes a link the current one and sends the pending calls over it.
func (r *Relayer) setLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.currentLink, r.servedLink = l, l
	r.sendPending()
}

// serveLink sends queued messages and receives replies until the stream ends or
// nothing is received for streamTimeout. While the leader seems to be silent, calls stay in
// the queue, where it is certain that no leader has taken them.
func (r *Relayer) serveLink(ctx context.Context, stream *leader.ClientStream, l *link) error {
	received := make(chan struct{}, 1)
	broken := make(chan error, 1)
	go func() { broken <- r.receive(ctx, stream, l, received) }()
	blocked := time.AfterFunc(streamTimeout+pingInterval, l.cancel) // a Send may block for as long as the leader reads nothing
	defer blocked.Stop()
	tick := time.NewTicker(silenceCheckInterval)
	defer tick.Stop()
	h := hearing{heardAt: r.Now()}
	for {
		queue := l.queue
		if h.silent(r.Now()) {
			queue = nil
		}
		var m *leader.Up
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-broken:
			return err
		case <-received:
			h = hearing{heardAt: r.Now()}
			r.noteHeard(l, h.heardAt)
			blocked.Reset(streamTimeout + pingInterval)
			continue
		case first := <-queue:
			m = r.takeQueued(l, first)
			if len(m.Calls)+len(m.Tickets) == 0 {
				continue
			}
		case <-tick.C:
			if r.Now().Sub(h.heardAt) > streamTimeout {
				return errors.Timeoutf("stream to the leader")
			}
			if !h.pingDue(r.Now()) {
				continue
			}
			m = &leader.Up{Ping: true}
		}
		h.wrote(m, r.Now())
		if err := stream.Send(m); err != nil {
			r.unsend(l, m)
			return err
		}
	}
}

func (r *Relayer) receive(ctx context.Context, stream *leader.ClientStream, l *link, received chan<- struct{}) error {
	retired := false
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
			r.deliverReply(l, reply)
		}
		if m.Welcome != nil && !m.Welcome.Leading {
			r.retireLink(l, m.Welcome)
			retired = true
		}
		if retired && r.drained(l) {
			return errRetired
		}
		for i := range m.TicketRequests {
			go r.requestTickets(ctx, l, &m.TicketRequests[i])
		}
	}
}

// retireLink ends a link whose daemon does not lead any more once its calls are answered.
func (r *Relayer) retireLink(l *link, w *leader.Welcome) {
	r.mu.Lock()
	r.endLink(l)
	r.mu.Unlock()
	r.applyWelcome(w)
}

var errRetired = errors.New("the daemon does not lead any more")

func (r *Relayer) requestTickets(ctx context.Context, l *link, o *planner.TicketRequest) {
	report := r.RequestTickets(o)
	select {
	case l.queue <- item{tickets: report}:
	case <-ctx.Done():
	}
}
