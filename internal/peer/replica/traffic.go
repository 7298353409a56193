package replica

import (
	"net"
	"sync"
	"sync/atomic"

	"masticroad/internal/control/registrar"
)

// This file counts the bytes that daemons exchange, by wrapping their connections.

// Traffic counts bytes of control traffic in both directions, in total and for
// each peer that this daemon dialed. Accepted connections count for the peer
// Incoming.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64

	mu     sync.Mutex
	byPeer map[registrar.DaemonName]*Traffic
}

// Incoming stands for all peers whose connections this daemon accepted.
const Incoming registrar.DaemonName = "Incoming"

// Of returns the counters of one peer.
func (t *Traffic) Of(peer registrar.DaemonName) *Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPeer == nil {
		t.byPeer = make(map[registrar.DaemonName]*Traffic)
	}
	p := t.byPeer[peer]
	if p == nil {
		p = &Traffic{}
		t.byPeer[peer] = p
	}
	return p
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.traffic == nil {
		return c, err
	}
	return countingConn{c, l.traffic, l.traffic.Of(Incoming)}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
	peer    *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	c.peer.Received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	c.peer.Sent.Add(int64(n))
	return n, err
}
