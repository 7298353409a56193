package rehearser

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// This file holds the relay before a daemon's address for other daemons. What
// others send to it can be held back or lost, while what it sends goes on.

// mode tells what happens to bytes for a daemon.
type mode uint8

const (
	passing mode = iota
	silent       // bytes are taken and go nowhere; connections stay open
	slow         // bytes arrive late
)

type relay struct {
	to string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

const slowness = 60 * time.Millisecond // four round trips between regions

// newRelay listens on one address and passes connections on to another.
func newRelay(ctx context.Context, address, to string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{to: to, conns: make(map[net.Conn]bool)}
	go func() {
		<-ctx.Done()
		_ = l.Close() // the run is over
		r.reset()
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// set changes what happens to bytes.
func (r *relay) set(m mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
}

func (r *relay) get() mode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// reset breaks all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // that is the point
	}
}

func (r *relay) serve(from net.Conn) {
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = from.Close() // the daemon is down
		return
	}
	r.mu.Lock()
	r.conns[from], r.conns[to] = true, true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(to, from, true) })
	both.Go(func() { r.copy(from, to, false) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, from)
	delete(r.conns, to)
	r.mu.Unlock()
}

// copy passes bytes on until one side ends, and then ends both.
func (r *relay) copy(to, from net.Conn, inward bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // one side has ended
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch m := r.get(); {
		case m == silent && inward:
			// Nothing of this connection arrives any more: a stream with a gap is
			// of no use.
			_, _ = io.Copy(io.Discard, from)
			return
		case m == slow && inward:
			time.Sleep(slowness)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
