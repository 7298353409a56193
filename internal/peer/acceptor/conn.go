package acceptor

import (
	"sync/atomic"
	"time"

	"masticroad/internal/daemon/budgeter"
)

// This file counts what connections read. Headers are parsed before any handler runs, so
// that their cost is charged where their bytes arrive.

const (
	// freeHeader is the size of a header that costs no room: ordinary ones are smaller,
	// and ConnectionBytes covers it.
	freeHeader = 1 << 10
	// headerCost is what a byte of a header takes in memory at most: short lines with
	// names of their own took 12 bytes for each.
	headerCost = 12
	// ConnectionBytes is what a connection takes beside its room: buffers of 4 KB each
	// way, stacks of its goroutines, and a request with a small header.
	ConnectionBytes budgeter.Bytes = 24 << 10
)

// bufferBytes is what the server reads at once: the start of the next request may
// come with the end of this one.
const bufferBytes = 4 << 10

// headerMeter counts the bytes of a header as they arrive, with those of the body that
// come along.
type headerMeter struct {
	ended   atomic.Bool // what arrives belongs to the body
	read    int
	charged budgeter.Bytes
}

// next begins the next request, whose start may be in the server's buffer.
func (m *headerMeter) next() {
	m.charged = 0
	if m.read = min(m.read, bufferBytes); m.read <= freeHeader {
		m.read = 0
	}
	m.ended.Store(false)
}

// due returns what is still to be charged for the header.
func (m *headerMeter) due() budgeter.Bytes {
	cost := budgeter.Bytes(max(m.read-freeHeader, 0)) * headerCost
	more := cost - m.charged
	m.charged = cost
	return more
}

// Read reads from the connection. Without room for a header it fails, so that the server
// closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.room == nil {
		return n, err
	}
	c.header.read += n
	if c.header.ended.Load() {
		return n, err
	}
	if more := c.header.due(); more > 0 {
		if err := c.room.Grow(more, time.Now()); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Write writes to the connection within writeTimeout, as a caller that reads nothing
// would keep the answer in memory.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
