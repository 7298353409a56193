package scenarios_test

import (
	"io"
	"net"
	"sync"
)

// This file relays connections and can make those that are open go silent while
// new ones work, as a middlebox does that lost its table. The proxy library
// treats open and new connections alike.

type relay struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	links    []*relayLink
}

type relayLink struct {
	mu     sync.Mutex
	silent bool
	a, b   net.Conn
}

func newRelay(to string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, to: to}
	go r.serve()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) serve() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		l := &relayLink{a: a, b: b}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.mu.Unlock()
		go l.copy(a, b)
		go l.copy(b, a)
	}
}

func (l *relayLink) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from) // neither data nor a close gets through
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// silence makes the open connections silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_ = l.a.Close()
		_ = l.b.Close()
	}
}
