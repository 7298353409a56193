// Package connector keeps the HTTP connections of a daemon to targets. One pool
// bounds the connections to all targets together, whatever their number, and an
// error tells whether the target may have received the request.
package connector

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// This file holds the pool. A request takes an idle connection to its address, else
// it opens one. At the bound, an idle connection is closed first: the one that has been idle
// longest, or, if all are used in turn, the newest idle one. If none is idle the request waits: urgent requests precede others, but
// every fairShare-th free connection goes to the request that has waited longest.

// Address is the host and port of a target.
type Address string

// Priority is the order in which requests get a connection while all are in use.
type Priority uint8

// The priorities, highest first.
const (
	Urgent Priority = iota
	Normal
	Background
	priorities
)

const (
	fairShare         = 8
	minDialTime       = 50 * time.Millisecond // three round trips between regions; with less a dial is not begun
	defaultIdleLimit  = 2 * time.Minute       // longer than any pause between requests to a target in use
	usedInTurn        = 3 * time.Second       // an idle connection is reused within it while its target is polled
	defaultMaxPerHost = 32                    // half of the connections that a target accepts
)

// Pool is a bounded set of connections. The exported fields are set before its
// first use.
type Pool struct {
	Max       int // connections, idle ones included
	MaxOfHost int // the same for one address; 0: 32
	Dial      func(ctx context.Context, address Address) (net.Conn, error)
	Now       func() time.Time
	IdleLimit time.Duration // an idle connection is closed after it; 0: 2 min

	mu      sync.Mutex
	open    int // connections, and those that are being opened
	hosts   map[Address]*host
	idle    list.List // of *Conn, the one that has been idle longest first
	waiting [priorities]list.List
	grants  int
	arrived uint64
	stats   Stats
}

// Stats are the gauges and counters of a pool.
type Stats struct {
	Open, Idle, Waiting int
	Dialled             int // connections that were opened
	ClosedForRoom       int // idle connections that were closed for another one
}

// host is what the pool holds for one address.
type host struct {
	open int
	idle []*Conn // the newest last
}

// Conn is a connection of a pool.
type Conn struct {
	net.Conn
	address   Address
	reused    bool
	readErr   error // of the newest read
	idleSince time.Time
	element   *list.Element // in the pool's idle list; nil: in use
}

// waiter is a request that waits for a connection.
type waiter struct {
	address Address
	arrived uint64
	element *list.Element
	rank    Priority
	granted chan *Conn // receives a connection, or nil as the permission to open one
}

// Stats returns the present gauges and counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open, s.Idle = p.open, p.idle.Len()
	for i := range p.waiting {
		s.Waiting += p.waiting[i].Len()
	}
	return s
}

// Acquire returns a connection to an address, which must be released or discarded. The
// error is always a *CallError that proves that nothing was sent.
func (p *Pool) Acquire(ctx context.Context, address Address, rank Priority) (*Conn, error) {
	if ctx.Err() != nil {
		return nil, notSent(CauseDeadline, ctx.Err())
	}
	p.mu.Lock()
	conn, ok := p.tryGrant(address)
	if ok {
		p.mu.Unlock()
	} else {
		var err error
		if conn, err = p.wait(ctx, address, rank); err != nil {
			return nil, err
		}
	}
	if conn != nil {
		return conn, nil
	}
	return p.dial(ctx, address)
}

// tryGrant returns an idle connection, or nil and true as the permission to open one.
// The lock is held.
func (p *Pool) tryGrant(address Address) (*Conn, bool) {
	h := p.host(address)
	if n := len(h.idle); n > 0 {
		conn := h.idle[n-1]
		p.unlist(conn)
		conn.reused = true
		return conn, true
	}
	if h.open >= p.maxOfHost() || p.open >= p.Max && !p.evict() {
		p.forget(address, h)
		return nil, false
	}
	p.open++
	h.open++
	return nil, true
}

func (p *Pool) maxOfHost() int {
	if p.MaxOfHost > 0 {
		return p.MaxOfHost
	}
	return defaultMaxPerHost
}

func (p *Pool) host(address Address) *host {
	h := p.hosts[address]
	if h == nil {
		if p.hosts == nil {
			p.hosts = make(map[Address]*host)
		}
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// forget drops the record of an address without connections. Targets come and go.
func (p *Pool) forget(address Address, h *host) {
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// unlist removes a connection from the idle ones.
func (p *Pool) unlist(conn *Conn) {
	p.idle.Remove(conn.element)
	conn.element = nil
	h := p.hosts[conn.address]
	for i, x := range h.idle {
		if x == conn {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			break
		}
	}
}

// evict closes an idle connection and reports whether there was one. With more addresses in
// use than connections, the one that has been idle longest is needed next, so that closing
// it would open a connection for each request; closing the newest keeps the others in use.
func (p *Pool) evict() bool {
	e := p.idle.Front()
	if e == nil {
		return false
	}
	if p.Now().Sub(e.Value.(*Conn).idleSince) < usedInTurn {
		e = p.idle.Back()
	}
	p.stats.ClosedForRoom++
	p.closeIdle(e.Value.(*Conn))
	return true
}

func (p *Pool) closeIdle(conn *Conn) {
	p.unlist(conn)
	_ = conn.Conn.Close() // nothing is in flight on it
	p.uncount(conn.address)
}

// uncount gives back the share of one connection.
func (p *Pool) uncount(address Address) {
	p.open--
	h := p.hosts[address]
	h.open--
	p.forget(address, h)
}

// wait waits for a connection. It is called with the lock held and releases it.
func (p *Pool) wait(ctx context.Context, address Address, rank Priority) (*Conn, error) {
	p.arrived++
	w := &waiter{address: address, arrived: p.arrived, rank: rank, granted: make(chan *Conn, 1)}
	w.element = p.waiting[rank].PushBack(w)
	p.mu.Unlock()
	select {
	case conn := <-w.granted:
		return conn, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case conn := <-w.granted: // it was granted meanwhile
		p.takeBack(conn, address)
	default:
		p.waiting[rank].Remove(w.element)
	}
	return nil, notSent(CauseNoConnection, ctx.Err())
}

// takeBack takes back what a waiter was granted too late.
func (p *Pool) takeBack(conn *Conn, address Address) {
	if conn == nil {
		p.uncount(address)
	} else {
		p.list(conn)
	}
	p.grant()
}

// list adds a connection to the idle ones.
func (p *Pool) list(conn *Conn) {
	conn.idleSince = p.Now()
	conn.element = p.idle.PushBack(conn)
	h := p.host(conn.address)
	h.idle = append(h.idle, conn)
}

// grant serves waiting requests as long as there are connections for them.
func (p *Pool) grant() {
	for {
		w, conn := p.next()
		if w == nil {
			return
		}
		p.waiting[w.rank].Remove(w.element)
		p.grants++
		w.granted <- conn
	}
}

// next returns the next request that can be served, and its connection.
func (p *Pool) next() (*waiter, *Conn) {
	if p.grants%fairShare == fairShare-1 {
		if w := p.oldest(); w != nil {
			if conn, ok := p.tryGrant(w.address); ok {
				return w, conn
			}
		}
	}
	for i := range p.waiting {
		for e := p.waiting[i].Front(); e != nil; e = e.Next() {
			w := e.Value.(*waiter)
			if conn, ok := p.tryGrant(w.address); ok {
				return w, conn
			}
			if p.open >= p.Max && p.idle.Len() == 0 {
				return nil, nil // no other request can be served either
			}
		}
	}
	return nil, nil
}

// oldest returns the request that has waited longest.
func (p *Pool) oldest() *waiter {
	var first *waiter
	for i := range p.waiting {
		if e := p.waiting[i].Front(); e != nil {
			if w := e.Value.(*waiter); first == nil || w.arrived < first.arrived {
				first = w
			}
		}
	}
	return first
}

// dial opens a connection for which the share is counted already. When the system
// has no descriptor left, idle connections are closed until it has one.
func (p *Pool) dial(ctx context.Context, address Address) (*Conn, error) {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < minDialTime {
		p.giveUp(address)
		return nil, notSent(CauseDeadline, context.DeadlineExceeded)
	}
	for {
		raw, err := p.Dial(ctx, address)
		if err == nil {
			p.mu.Lock()
			p.stats.Dialled++
			p.mu.Unlock()
			return &Conn{Conn: raw, address: address}, nil
		}
		cause := dialCause(err)
		if cause == CauseNoDescriptor && p.evictOne() {
			continue
		}
		p.giveUp(address)
		return nil, notSent(cause, err)
	}
}

func (p *Pool) evictOne() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evict()
}

// giveUp gives back the share of a connection that was not opened.
func (p *Pool) giveUp(address Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncount(address)
	p.grant()
}

func dialCause(err error) Cause {
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM),
		errors.Is(err, syscall.EADDRNOTAVAIL), errors.Is(err, syscall.EADDRINUSE):
		return CauseNoDescriptor
	case errors.Is(err, syscall.ECONNREFUSED):
		return CauseRefused
	case errors.Is(err, context.Canceled):
		return CauseDeadline
	}
	return CauseUnreachable
}

// Release returns a connection after a complete response.
func (p *Pool) Release(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list(conn)
	p.closeExpired(conn.idleSince)
	p.grant()
}

// closeExpired closes connections that have been idle for too long.
func (p *Pool) closeExpired(now time.Time) {
	limit := p.IdleLimit
	if limit == 0 {
		limit = defaultIdleLimit
	}
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		conn := e.Value.(*Conn)
		if now.Sub(conn.idleSince) < limit {
			return
		}
		p.closeIdle(conn)
	}
}

// Discard closes a connection on which a request has failed. If it had been idle
// before, so may be the others to this address that were opened with it, and what
// has lost track of one connection has probably lost track of them.
func (p *Pool) Discard(conn *Conn) {
	_ = conn.Close() // the request has failed already
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn.reused {
		for _, x := range append([]*Conn(nil), p.hosts[conn.address].idle...) {
			p.closeIdle(x)
		}
	}
	p.uncount(conn.address)
	p.grant()
}
