// Package acceptor bounds the connections that a listener has accepted, so that
// accepting never fails for want of descriptors.
package acceptor

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// This file holds the bounded listener. At its bound it closes the connection that
// has been idle longest. If none is idle, new connections wait in the queue of the
// system. Before that, above crowdedShare, answers ask their callers to close the
// connection, which loses no request.

const (
	crowdedShare = 4                    // a quarter of Max below it
	acceptRetry  = 5 * time.Millisecond // after a failure for want of descriptors
)

// Listener is a bounded listener. The exported fields are set before its first use.
type Listener struct {
	net.Listener
	Max int // accepted connections that are open

	mu     sync.Mutex
	room   chan struct{} // receives when a connection is closed or becomes idle
	open   int
	idle   list.List // of *conn, the one that has been idle longest first
	closed int       // for room
	ended  chan struct{}
	once   sync.Once
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	element  *list.Element // in the idle list; nil: in use
	closed   bool
}

// New returns a listener with a bound.
func New(l net.Listener, limit int) *Listener {
	return &Listener{Listener: l, Max: limit, room: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Stats are the gauges and counters of a listener.
type Stats struct {
	Open, Idle    int
	ClosedForRoom int
}

// Stats returns the present gauges and counters.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{l.open, l.idle.Len(), l.closed}
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
			if !l.evict() {
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
		return &conn{Conn: raw, listener: l}, nil
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
		if l.evict() {
			continue
		}
		select {
		case <-l.room:
		case <-l.ended:
			return false
		}
	}
}

// evict closes the connection that has been idle longest and reports whether there
// was one.
func (l *Listener) evict() bool {
	l.mu.Lock()
	e := l.idle.Front()
	if e != nil {
		l.closed++
	}
	l.mu.Unlock()
	if e == nil {
		return false
	}
	_ = e.Value.(*conn).Close() // the caller of an idle connection opens another one
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
	if !c.closed {
		c.closed = true
		l.open--
		l.unlist(c)
	}
	l.mu.Unlock()
	l.signal()
	return c.Conn.Close()
}

func (l *Listener) unlist(c *conn) {
	if c.element != nil {
		l.idle.Remove(c.element)
		c.element = nil
	}
}

// ConnState tracks which connections are idle. It is set as the ConnState of the
// http.Server that serves the listener.
func (l *Listener) ConnState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	l.unlist(c)
	if state == http.StateIdle && !c.closed {
		c.element = l.idle.PushBack(c)
	}
	l.mu.Unlock()
	if state == http.StateIdle {
		l.signal()
	}
}

// Handler asks callers to close their connections while the listener is crowded.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.Crowded() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
