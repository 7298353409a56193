// Package region relays calls to the daemons of other regions. Each region has a
// log of its own, and each caller, target and job has one home region, so an
// idempotency key is recorded in one region only.
package region

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/replica"
)

// This file selects a daemon of another region. Calls to an unreachable region
// fail at once, and an open call is cancelled when the daemon that serves it no
// longer answers pings.

// HeaderRelayed marks a relayed call, so that it is not relayed again.
const HeaderRelayed = "Masticroad-Relayed"

const (
	pingTimeout          = 500 * time.Millisecond
	reachableTTL         = time.Second            // after an answer, a daemon counts as reachable without a ping
	openCallPingInterval = 500 * time.Millisecond // between pings of the daemon of an open call
	probeInterval        = time.Second            // between probes of an unreachable region
)

// UnreachableError reports that no daemon of a region could be reached.
type UnreachableError struct {
	Region registrar.RegionName
	Cause  error
}

// Error describes the cause.
func (e *UnreachableError) Error() string {
	return "region " + string(e.Region) + " can't be reached: " + e.Cause.Error()
}

// Router relays calls to the daemons of other regions. The exported fields are set before
// use.
type Router struct {
	Own    registrar.RegionName
	Peers  map[registrar.RegionName][]replica.Peer
	Client *replica.Client
	Now    func() time.Time

	mu         sync.Mutex
	lastAnswer map[string]time.Time // when an address last answered
	down       map[registrar.RegionName]bool
	rotation   int
}

// Regions returns the names of the other regions in order.
func (r *Router) Regions() []registrar.RegionName {
	var out []registrar.RegionName
	for name := range r.Peers {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// First returns the region whose log decides on changes that concern every region.
func (r *Router) First() registrar.RegionName {
	return slices.Min(append(r.Regions(), r.Own))
}

// Relay relays a call to one daemon of a region. Calls to an unreachable region
// fail at once, until Run finds that it answers again.
func (r *Router) Relay(ctx context.Context, name registrar.RegionName, call *replica.RelayCall) (*replica.RelayReply, error) {
	if r.isDown(name) {
		return nil, &UnreachableError{name, errors.New("it could not be reached a moment ago")}
	}
	last := errors.New("it has no daemons")
	for _, p := range r.candidates(name) {
		if last = r.checkReachable(ctx, p.Address); last != nil {
			continue
		}
		reply, err := r.relayTo(ctx, name, p.Address, call)
		if err != nil {
			return nil, &UnreachableError{name, err}
		}
		return reply, nil
	}
	r.markDown(name)
	return nil, &UnreachableError{name, last}
}

// relayTo relays a call to a reachable daemon, and cancels the call when the daemon
// becomes unreachable.
func (r *Router) relayTo(ctx context.Context, name registrar.RegionName, address string, call *replica.RelayCall) (*replica.RelayReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.watch(ctx, name, address, cancel)
	reply, err := r.Client.Relay(ctx, address, call)
	if err == nil {
		r.markReached(address)
	}
	return reply, err
}

// watch pings the daemon of an open call. If a ping fails, it cancels the call and
// marks the region as unreachable until Run finds a daemon that answers.
func (r *Router) watch(ctx context.Context, name registrar.RegionName, address string, cancel func()) {
	tick := time.NewTicker(openCallPingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.ping(ctx, address) != nil && ctx.Err() == nil {
			r.markDown(name)
			cancel()
			return
		}
	}
}

// checkReachable returns nil if a daemon answered within reachableTTL or answers a
// ping.
func (r *Router) checkReachable(ctx context.Context, address string) error {
	if r.recentlyReached(address) {
		return nil
	}
	return r.ping(ctx, address)
}

func (r *Router) ping(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := r.Client.Relay(ctx, address, &replica.RelayCall{})
	if err == nil {
		r.markReached(address)
	}
	return err
}

func (r *Router) recentlyReached(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Now().Sub(r.lastAnswer[address]) < reachableTTL
}

func (r *Router) markReached(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAnswer == nil {
		r.lastAnswer = make(map[string]time.Time)
	}
	r.lastAnswer[address] = r.Now()
}

// isDown reports whether a region was unreachable at the last attempt.
func (r *Router) isDown(name registrar.RegionName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[name]
}

func (r *Router) markDown(name registrar.RegionName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = make(map[registrar.RegionName]bool)
	}
	r.down[name] = true
}

// Run probes the unreachable regions until ctx ends.
func (r *Router) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, name := range r.Regions() {
			if r.isDown(name) && r.probe(ctx, name) {
				r.markUp(name)
			}
		}
	}
}

// probe reports whether any daemon of a region answers.
func (r *Router) probe(ctx context.Context, name registrar.RegionName) bool {
	return slices.ContainsFunc(r.candidates(name), func(p replica.Peer) bool {
		return r.checkReachable(ctx, p.Address) == nil
	})
}

func (r *Router) markUp(name registrar.RegionName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.down, name)
}

// candidates returns the daemons of a region, rotated round-robin between calls.
func (r *Router) candidates(name registrar.RegionName) []replica.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.Peers[name])
	if len(out) > 1 {
		r.rotation++
		n := r.rotation % len(out)
		out = append(out[n:], out[:n]...)
	}
	return out
}
