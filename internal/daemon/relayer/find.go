package relayer

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

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

// watch watches one daemon after the other until ctx ends. Number spreads
// several watchers over the daemons.
func (r *Relayer) watch(ctx context.Context, number int) {
	for turn := number; ctx.Err() == nil; turn++ {
		addresses := r.addresses()
		if len(addresses) > 0 {
			r.watchOne(ctx, addresses[turn%len(addresses)])
		}
		sleep(ctx, retryDelay)
	}
}

// addresses returns all daemons that may know the leader, beginning at a place
// that differs between daemons.
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
	if len(out) == 0 {
		return nil
	}
	slices.Sort(out)
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Name)) // never fails
	begin := int(h.Sum32() % uint32(len(out)))
	return append(out[begin:], out[:begin]...)
}

func (r *Relayer) watchOne(ctx context.Context, address string) {
	conn, err := r.Dial(address)
	if err != nil {
		r.Log.Warn("connection can't be prepared", "address", address, "error", err)
		return
	}
	defer func() { _ = conn.Close() }() // the stream has ended
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, w := greet(ctx, cancel, conn, &leader.Hello{Daemon: r.Name, Watch: true})
	if w == nil {
		return
	}
	r.learnWelcome(w)
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	go ping(ctx, stream, watchPing)
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(watchSilence)
		if m.Welcome != nil {
			r.learnWelcome(m.Welcome)
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
