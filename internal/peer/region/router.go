// Package region passes calls on to the daemons of other regions. Each region
// keeps a log of its own, and each caller, target and job has one home region,
// so an idempotency key is known in one place only.
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

// This file holds the choice of a daemon in another region. While the link is
// down calls fail at once, and an open call is given up when the daemon that
// carries it no longer answers.

// HeaderRelayed marks a call that was passed on once, so that it is not passed
// on again.
const HeaderRelayed = "Masticroad-Relayed"

const (
	reachTimeout  = 500 * time.Millisecond
	trustTime     = time.Second            // after an answer a daemon is held to be there
	watchInterval = 500 * time.Millisecond // between looks at the daemon of an open call
	probeInterval = time.Second            // between looks at a region that is down
)

// UnreachableError tells that no daemon of a region could be reached.
type UnreachableError struct {
	Region registrar.RegionName
	Cause  error
}

// Error describes the cause.
func (e *UnreachableError) Error() string {
	return "region " + string(e.Region) + " can't be reached: " + e.Cause.Error()
}

// Router knows the daemons of other regions. The exported fields are set before
// use.
type Router struct {
	Own       registrar.RegionName
	Elsewhere map[registrar.RegionName][]replica.Peer
	Client    *replica.Client
	Now       func() time.Time

	mu      sync.Mutex
	reached map[string]time.Time // when an address last answered
	down    map[registrar.RegionName]bool
	turn    int
}

// Regions returns the names of the other regions in order.
func (r *Router) Regions() []registrar.RegionName {
	var out []registrar.RegionName
	for name := range r.Elsewhere {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// First returns the region that decides on changes of every region.
func (r *Router) First() registrar.RegionName {
	return slices.Min(append(r.Regions(), r.Own))
}

// Relay passes a call on to some daemon of a region. While a region is down
// calls fail at once; Run finds out when it is back.
func (r *Router) Relay(ctx context.Context, name registrar.RegionName, call *replica.RelayCall) (*replica.RelayReply, error) {
	if r.isDown(name) {
		return nil, &UnreachableError{name, errors.New("it could not be reached a moment ago")}
	}
	last := errors.New("it has no daemons")
	for _, p := range r.candidates(name) {
		if last = r.reach(ctx, p.Address); last != nil {
			continue
		}
		reply, err := r.carry(ctx, name, p.Address, call)
		if err != nil {
			return nil, &UnreachableError{name, err}
		}
		return reply, nil
	}
	r.noteDown(name)
	return nil, &UnreachableError{name, last}
}

// carry passes a call to a daemon that was reached, and gives it up when the
// daemon can no longer be reached.
func (r *Router) carry(ctx context.Context, name registrar.RegionName, address string, call *replica.RelayCall) (*replica.RelayReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.watch(ctx, name, address, cancel)
	reply, err := r.Client.Relay(ctx, address, call)
	if err == nil {
		r.noteReached(address)
	}
	return reply, err
}

// watch ends an open call, and holds the region to be down until Run finds a
// daemon that answers, when the daemon that carries the call does not.
func (r *Router) watch(ctx context.Context, name registrar.RegionName, address string, cancel func()) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.ping(ctx, address) != nil && ctx.Err() == nil {
			r.noteDown(name)
			cancel()
			return
		}
	}
}

// reach makes sure that a daemon answers.
func (r *Router) reach(ctx context.Context, address string) error {
	if r.reachedLately(address) {
		return nil
	}
	return r.ping(ctx, address)
}

func (r *Router) ping(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	_, err := r.Client.Relay(ctx, address, &replica.RelayCall{})
	if err == nil {
		r.noteReached(address)
	}
	return err
}

func (r *Router) reachedLately(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Now().Sub(r.reached[address]) < trustTime
}

func (r *Router) noteReached(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached == nil {
		r.reached = make(map[string]time.Time)
	}
	r.reached[address] = r.Now()
}

// isDown reports whether a region could not be reached when it was last tried.
func (r *Router) isDown(name registrar.RegionName) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down[name]
}

func (r *Router) noteDown(name registrar.RegionName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down == nil {
		r.down = make(map[registrar.RegionName]bool)
	}
	r.down[name] = true
}

// Run looks after the regions that are down until ctx ends.
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
				r.noteUp(name)
			}
		}
	}
}

// probe reports whether any daemon of a region answers.
func (r *Router) probe(ctx context.Context, name registrar.RegionName) bool {
	return slices.ContainsFunc(r.candidates(name), func(p replica.Peer) bool {
		return r.reach(ctx, p.Address) == nil
	})
}

func (r *Router) noteUp(name registrar.RegionName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.down, name)
}

// candidates returns the daemons of a region, beginning with another one each
// time.
func (r *Router) candidates(name registrar.RegionName) []replica.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.Elsewhere[name])
	if len(out) > 1 {
		r.turn++
		n := r.turn % len(out)
		out = append(out[n:], out[:n]...)
	}
	return out
}
