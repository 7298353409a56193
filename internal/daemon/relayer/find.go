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

// This file finds out who leads. A daemon without a replica watches two
// daemons that have one; they tell it when the leader changes, which is sooner
// than the silence of the old leader shows. A daemon with a replica is told by
// that.

const (
	watchers       = 2                      // daemons that are watched at once
	welcomeTimeout = 400 * time.Millisecond // for connecting and the first answer: twenty round trips between regions
	watchPing      = time.Second            // between signs of life on a watching stream
	watchSilence   = 2500 * time.Millisecond
	doubtTime      = 350 * time.Millisecond // without a leader, until other daemons are watched
	settleTime     = 10 * time.Second       // until a daemon that was not the preferred one is given up
)

// found is who leads, as far as this daemon knows.
type found struct {
	address string // empty: nobody, or not known
	term    registrar.Term
}

// Learn takes in who leads. News of an earlier term is passed over.
func (r *Relayer) Learn(address string, term registrar.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term < r.leader.term || term == r.leader.term && address == "" {
		return
	}
	if r.leader == (found{address, term}) {
		return
	}
	r.leader = found{address, term}
	r.Log.Info("leader changed", "address", address, "term", term)
	close(r.changed)
	r.changed = make(chan struct{})
	if r.current != nil && r.current.address != address && address != "" {
		r.current.cancel()
	}
}

// who returns who leads, and a channel that is closed when that changes.
func (r *Relayer) who() (found, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader, r.changed
}

// Leader returns the address of the leader, or an empty text.
func (r *Relayer) Leader() string {
	f, _ := r.who()
	return f.address
}

// watch watches one daemon after the other until ctx ends. Number tells which
// one it prefers, so that the watchers of all daemons are spread.
func (r *Relayer) watch(ctx context.Context, number int) {
	for turn := number; ctx.Err() == nil; turn++ {
		addresses := r.addresses()
		if len(addresses) == 0 {
			sleep(ctx, retryDelay)
			continue
		}
		preferred := addresses[number%len(addresses)]
		address := addresses[turn%len(addresses)]
		if r.watchOne(ctx, address, preferred) {
			turn = number - 1 // the preferred one next
		}
		sleep(ctx, retryDelay)
	}
}

// addresses returns all daemons that may know the leader, in an order that
// differs between daemons.
func (r *Relayer) addresses() []string {
	r.mu.Lock()
	out := slices.Clone(r.known)
	r.mu.Unlock()
	for _, a := range r.Seeds() {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	out = slices.DeleteFunc(out, func(a string) bool { return a == r.Name })
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(r.rank(a), r.rank(b)) })
	return out
}

// rank orders the daemons to be watched.
func (r *Relayer) rank(address string) uint64 {
	return xxhash.Sum64String(r.Name + " " + address)
}

// watchOne watches a daemon until its stream ends. It returns true when the
// stream was ended for the preferred daemon to be tried.
func (r *Relayer) watchOne(ctx context.Context, address, preferred string) bool {
	conn, err := r.Dial(address)
	if err != nil {
		r.Log.Warn("connection can't be prepared", "address", address, "error", err)
		return false
	}
	defer func() { _ = conn.Close() }() // the stream has ended
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, w := greet(ctx, cancel, conn, &leader.Hello{Daemon: r.Name, Watch: true})
	if w == nil {
		return false
	}
	r.learnWelcome(w)
	go r.doubt(ctx, cancel)
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	go ping(ctx, stream, watchPing)
	begun := r.Now()
	for {
		m, err := stream.Recv()
		if err != nil {
			return false
		}
		silence.Reset(watchSilence)
		if m.Welcome != nil {
			r.learnWelcome(m.Welcome)
		}
		if address != preferred && r.Now().Sub(begun) > settleTime {
			return true
		}
	}
}

// doubt ends the stream to a watched daemon that does not lead this one to the
// leader: it may be cut off itself.
func (r *Relayer) doubt(ctx context.Context, cancel func()) {
	tick := time.NewTicker(doubtTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.lostFor() > doubtTime {
			cancel()
			return
		}
	}
}

// ping sends signs of life, which are answered, until the stream ends.
func ping(ctx context.Context, stream *leader.ClientStream, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if stream.Send(&leader.Up{Ping: true}) != nil {
			return // Recv tells the reason
		}
	}
}

func (r *Relayer) learnWelcome(w *leader.Welcome) {
	if len(w.Members) > 0 {
		r.mu.Lock()
		r.known = slices.Clone(w.Members)
		r.mu.Unlock()
	}
	r.Learn(w.Leader, w.Term)
}

// greet opens a stream and returns the first answer, or nil.
func greet(ctx context.Context, cancel func(), conn *grpc.ClientConn, hello *leader.Hello) (*leader.ClientStream, *leader.Welcome) {
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
