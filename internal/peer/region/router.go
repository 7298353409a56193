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

// This file holds the choice of a daemon in another region. A daemon that could
// not be reached is not tried again for a while, so that calls fail at once
// while the link is down.

// HeaderRelayed marks a call that was passed on once, so that it is not passed
// on again.
const HeaderRelayed = "Masticroad-Relayed"

const (
	reachTimeout = 2 * time.Second
	restTime     = 2 * time.Second
	trustTime    = time.Second // after an answer a daemon is held to be there
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
	rests   map[string]time.Time // addresses that are not tried before a time
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

// Relay passes a call on to some daemon of a region. A call that may have been
// carried out is not passed on a second time.
func (r *Router) Relay(ctx context.Context, name registrar.RegionName, call *replica.RelayCall) (*replica.RelayReply, error) {
	last := errors.New("every daemon there failed a moment ago")
	for _, p := range r.candidates(name) {
		if err := r.reach(ctx, p.Address); err != nil {
			r.rest(p.Address)
			last = err
			continue
		}
		reply, err := r.Client.Relay(ctx, p.Address, call)
		if err == nil {
			r.noteReached(p.Address)
			return reply, nil
		}
		r.rest(p.Address)
		return nil, &UnreachableError{name, err}
	}
	return nil, &UnreachableError{name, last}
}

// reach makes sure that a daemon answers before a call is handed to it.
func (r *Router) reach(ctx context.Context, address string) error {
	if r.reachedLately(address) {
		return nil
	}
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

func (r *Router) candidates(name registrar.RegionName) []replica.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	var out []replica.Peer
	for _, p := range r.Elsewhere[name] {
		if !now.Before(r.rests[p.Address]) {
			out = append(out, p)
		}
	}
	if len(out) > 1 {
		r.turn++
		n := r.turn % len(out)
		out = append(out[n:], out[:n]...)
	}
	return out
}

func (r *Router) rest(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rests == nil {
		r.rests = make(map[string]time.Time)
	}
	r.rests[address] = r.Now().Add(restTime)
}
