package replica

import (
	"net"
	"sync/atomic"
)

// This file counts the bytes between daemons.

// Traffic counts bytes of control traffic in both directions.
type Traffic struct {
	Sent     atomic.Int64
	Received atomic.Int64
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
	return countingConn{c, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
