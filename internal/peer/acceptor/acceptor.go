// Package acceptor bounds the connections that a listener has accepted, so that
// accepting never fails for want of descriptors.
package acceptor

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"masticroad/internal/daemon/budgeter"
)

// This file holds the bounded listener. At its bound it closes the connection that
// has been idle longest. If none is idle, it closes the one whose request has been
// incomplete longest, and for at least incompleteAge. If there is none, new connections
// wait in the queue of the system. Before that, above crowdedShare, answers ask their
// callers to close the connection, which loses no request.

const (
	crowdedShare = 4                    // a quarter of Max below it
	acceptRetry  = 5 * time.Millisecond // after a failure for want of descriptors
	// incompleteAge is how long the oldest incomplete request is left alone. A request
	// of 300 KB takes 1.2 s at 2 Mbit/s, but a listener is full of such requests only
	// if their callers stop inside them.
	incompleteAge = 2 * time.Second
	evictionRetry = 100 * time.Millisecond // while the listener is full
	writeTimeout  = 15 * time.Second       // of each write; callers that read nothing keep no answer
	// bodyTimeout is how long a body may take that its handler does not read.
	bodyTimeout = 10 * time.Second
)

// Listener is a bounded listener. The exported fields are set before its first use.
type Listener struct {
	net.Listener
	Max int // accepted connections that are open
	// Budget, when set, bounds the memory for the requests of all connections.
	Budget *budgeter.Budget

	mu         sync.Mutex
	room       chan struct{} // receives when a connection is closed or becomes idle
	open       int
	idle       list.List // of *conn, the one that has been idle longest first
	incomplete list.List // of *conn, the one whose request was begun first is first
	closed     int       // for room
	cut        int       // inside a request, for room
	ended      chan struct{}
	once       sync.Once
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	room     *budgeter.Room
	list     *list.List    // idle or incomplete; nil: in use
	element  *list.Element // in list
	since    time.Time     // of the incomplete request
	closed   bool
	header   headerMeter
}

// New returns a listener with a bound.
func New(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, Max: limit, room: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Stats are the gauges and counters of a listener.
type Stats struct {
	Open, Idle    int
	ClosedForRoom int
	CutForRoom    int // inside a request
}

// Stats returns the present gauges and counters.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{l.open, l.idle.Len(), l.closed, l.cut}
}

// Crowded reports whether connections should be closed after their next answer.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > l.Max-l.Max/crowdedShare
}

// Accept returns the next connection, once there is room for it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			if !l.evict(time.Now()) {
				time.Sleep(acceptRetry)
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		if !l.makeRoom() {
			_ = raw.Close() // its caller has had no answer
			return nil, net.ErrClosed
		}
		l.mu.Lock()
		l.open++
		l.mu.Unlock()
		c := &conn{Conn: raw, listener: l}
		c.room = l.Budget.NewRoom(func() { _ = c.Close() }) // its server notices
		return c, nil
	}
}

// Close closes the listener and ends an Accept that waits for room. Connections stay
// open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return l.Listener.Close()
}

// makeRoom waits until one more connection may be open. It returns false if the
// listener is closed meanwhile.
func (l *Listener) makeRoom() bool {
	for {
		l.mu.Lock()
		full := l.open >= l.Max
		l.mu.Unlock()
		if !full {
			return true
		}
		if l.evict(time.Now()) {
			continue
		}
		select {
		case <-l.room:
		case <-time.After(evictionRetry):
		case <-l.ended:
			return false
		}
	}
}

// evict closes the connection that has been idle longest, or else the one whose
// request has been incomplete longest, and reports whether there was one.
func (l *Listener) evict(now time.Time) bool {
	l.mu.Lock()
	e := l.idle.Front()
	switch first := l.incomplete.Front(); {
	case e != nil:
		l.closed++
	case first != nil && now.Sub(first.Value.(*conn).since) >= incompleteAge:
		e = first
		l.cut++
	}
	if e == nil {
		l.mu.Unlock()
		return false
	}
	c := e.Value.(*conn)
	l.forget(c) // with the mutex held, so that its request isn't taken for a whole one
	l.mu.Unlock()
	_ = c.Conn.Close() // the caller of an idle connection opens another one
	return true
}

// signal wakes an Accept that waits for room.
func (l *Listener) signal() {
	select {
	case l.room <- struct{}{}:
	default:
	}
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	l.forget(c)
	l.mu.Unlock()
	l.signal()
	return c.Conn.Close()
}

// forget stops counting a connection that is being closed. The mutex is held.
func (l *Listener) forget(c *conn) {
	if !c.closed {
		c.closed = true
		l.open--
		l.unlist(c)
	}
}

func (l *Listener) unlist(c *conn) {
	if c.element != nil {
		c.list.Remove(c.element)
		c.element, c.list = nil, nil
	}
}

// enlist puts a connection at the end of a list, unless it is closed.
func (l *Listener) enlist(c *conn, to *list.List) {
	l.unlist(c)
	if !c.closed {
		c.element, c.list = to.PushBack(c), to
	}
}

// ConnState tracks which connections are idle and which are inside a request. It is set
// as the ConnState of the http.Server that serves the listener.
func (l *Listener) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	now := time.Now()
	l.mu.Lock()
	switch state {
	case http.StateNew, http.StateActive: // until Complete
		c.since = now
		l.enlist(c, &l.incomplete)
	case http.StateIdle:
		l.enlist(c, &l.idle)
	default:
		l.unlist(c)
	}
	l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.header.ended.Store(true)
	case http.StateIdle:
		c.header.next()
		c.room.Release(now)
		l.signal()
	case http.StateClosed, http.StateHijacked:
		c.room.Release(now)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext stores a connection in the context of its requests. It is set as the
// ConnContext of the http.Server that serves the listener.
func (l *Listener) ConnContext(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, raw)
}

// Room returns the room of a request's connection, nil if it came through no listener
// with a budget.
func Room(r *http.Request) *budgeter.Room {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.room
	}
	return nil
}

// Complete tells that a request was received whole, so that its connection isn't closed
// for another one. The error tells that it was closed before.
func Complete(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	c.listener.mu.Lock()
	c.listener.unlist(c)
	closed := c.closed
	c.listener.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	return c.room.Complete()
}

// Handler asks callers to close their connections while the listener is crowded.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Crowded() {
			w.Header().Set("Connection", "close")
		}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if more := c.header.due(); more > 0 && c.room.Grow(more, time.Now()) != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // fails if the connection is closed
		} else if Complete(r) != nil {
			return // its connection is closed
		}
		next.ServeHTTP(w, r)
	})
}
