package relayer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/leader"
)

// This file discovers the leader. A daemon without a replica watches two daemons
// that have one. They report a change of the leader sooner than a timeout of the
// stream to the old leader detects it. A daemon with a replica learns the leader
// from its own coordinator.

const (
	watcherCount           = 2                      // daemons watched at the same time
	welcomeTimeout         = 400 * time.Millisecond // to connect and receive the welcome: twenty round trips between regions
	watchPingInterval      = time.Second            // between pings on a watching stream
	watchTimeout           = 2500 * time.Millisecond
	leaderlessTimeout      = 350 * time.Millisecond  // without a link to a leader, until other daemons are watched
	silenceTimeout         = 1500 * time.Millisecond // without an answer, until the replicas count as unreachable: more than a ping interval
	preferredRetryInterval = 10 * time.Second        // on another daemon than the preferred one, until that is tried again
)

// leadership is the leader that this daemon knows of.
type leadership struct {
	address string // empty: no leader, or unknown
	term    registrar.Term
}

// UpdateLeader records the leader of a term. It ignores updates of earlier terms
// and updates without a leader for a known term.
func (r *Relayer) UpdateLeader(address string, term registrar.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.leader.term || term == r.leader.term && address == "" {
		return
	}
	if r.leader == (leadership{address, term}) {
		return
	}
	r.leader = leadership{address, term}
	r.Log.Info("leader changed", "address", address, "term", term)
	close(r.leaderChanged)
	r.leaderChanged = make(chan struct{})
	if r.servedLink != nil && r.servedLink.address != address && address != "" {
		r.servedLink.cancel()
	}
}

// currentLeader returns the known leader and a channel that is closed when it
// changes.
func (r *Relayer) currentLeader() (leadership, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.leaderChanged
}

// Leader returns the address of the leader, or an empty string.
func (r *Relayer) Leader() string {
	f, _ := r.currentLeader()
	return f.address
}

// watchDaemons watches one daemon after another until ctx ends. Number selects
// the preferred daemon; since each daemon sorts the addresses differently, this
// spreads the watchers over the cell.
func (r *Relayer) watchDaemons(ctx context.Context, number int) {
	for index := number; ctx.Err() == nil; index++ {
		addresses := r.addresses()
		if len(addresses) == 0 {
			sleep(ctx, retryDelay)
			continue
		}
		preferred := addresses[number%len(addresses)]
		address := addresses[index%len(addresses)]
		if r.watchDaemon(ctx, address, preferred) {
			index = number - 1 // the preferred daemon next
		}
		sleep(ctx, retryDelay)
	}
}

// addresses returns the addresses of all daemons that may know the leader, in an
// order that differs between daemons.
func (r *Relayer) addresses() []string {
	r.mu.Lock()
	out := slices.Clone(r.members)
	r.mu.Unlock()
	for _, a := range r.Seeds() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	out = slices.DeleteFunc(out, func(a string) bool { return a == r.Name })
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(r.watchRank(a), r.watchRank(b)) })
	return out
}

// watchRank is the sort key of a daemon to be watched.
func (r *Relayer) watchRank(address string) uint64 {
	return xxhash.Sum64String(r.Name + " " + address)
}

// watchDaemon watches a daemon until its stream ends. It returns true when it
// ended the stream so that the preferred daemon is tried again.
func (r *Relayer) watchDaemon(ctx context.Context, address, preferred string) bool {
	conn, err := r.Dial(address)
	if err != nil {
		r.Log.Warn("client connection can't be created", "address", address, "error", err)
		return false
	}
	defer func() { _ = conn.Close() }() // the stream has ended
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, w := openStream(ctx, cancel, conn, &leader.Hello{Daemon: r.Name, Watch: true})
	if w == nil {
		return false
	}
	named := w.Leader != ""
	r.noteAnswer(named)
	r.applyWelcome(w)
	go r.cancelWhenLeaderless(ctx, cancel)
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	go sendPings(ctx, stream, watchPingInterval)
	started := r.Now()
	for {
		m, err := stream.Recv()
		if err != nil {
			return false
		}
		timeout.Reset(watchTimeout)
		if m.Welcome != nil {
			named = m.Welcome.Leader != ""
			r.applyWelcome(m.Welcome)
		}
		r.noteAnswer(named)
		if address != preferred && r.Now().Sub(started) > preferredRetryInterval {
			return true
		}
	}
}

// cancelWhenLeaderless cancels the stream to a watched daemon while this daemon
// has no link to a leader: the watched daemon may itself be partitioned.
func (r *Relayer) cancelWhenLeaderless(ctx context.Context, cancel func()) {
	tick := time.NewTicker(leaderlessTimeout)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.leaderlessFor() > leaderlessTimeout {
			cancel()
			return
		}
	}
}

// sendPings sends pings, which the peer answers, until the stream ends.
func sendPings(ctx context.Context, stream *leader.ClientStream, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if stream.Send(&leader.Up{Ping: true}) != nil {
			return // Recv returns the error
		}
	}
}

// noteAnswer records that a watched replica has answered, and whether it names a leader.
func (r *Relayer) noteAnswer(named bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	if named {
		r.namedAt = now
	}
	if now.Sub(r.answeredAt) > silenceTimeout {
		r.answeredSince = now
	}
	r.answeredAt = now
}

// noteLeadership records until when this daemon leads.
func (r *Relayer) noteLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		if r.Local.Leading() {
			r.mu.Lock()
			r.linkLostAt = r.Now()
			r.mu.Unlock()
		}
		sleep(ctx, localCheckInterval)
	}
}

func (r *Relayer) applyWelcome(w *leader.Welcome) {
	if len(w.Members) > 0 {
		r.mu.Lock()
		r.members = slices.Clone(w.Members)
		r.mu.Unlock()
	}
	r.UpdateLeader(w.Leader, w.Term)
}

// openStream opens a stream, sends hello and returns the welcome, which is nil if
// the stream failed.
func openStream(ctx context.Context, cancel func(), conn *grpc.ClientConn, hello *leader.Hello) (*leader.ClientStream, *leader.Welcome) {
	timer := time.AfterFunc(welcomeTimeout, cancel)
	defer timer.Stop()
	stream, err := leader.Open(ctx, conn)
	if err != nil {
		return nil, nil
	}
	if err := stream.Send(&leader.Up{Hello: hello}); err != nil {
		return nil, nil
	}
	m, err := stream.Recv()
	if err != nil {
		return nil, nil
	}
	return stream, m.Welcome
}
