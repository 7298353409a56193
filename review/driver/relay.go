package main

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// This file holds the relays before the addresses at which core machines reach each
// other. They cut one machine off. A relay tells by the kernel's list of connections
// which of the processes that the case has started opened a connection.

const relayedPort = "7730" // where a daemon listens behind its relay

// relay passes the connections to one core machine on.
type relay struct {
	cell *cell
	node *node

	mu    sync.Mutex
	l     net.Listener
	conns map[*relayedConn]bool
	// blocks tells whether the connections of a process are cut; nil: none is.
	blocks func(from *node) bool
}

type relayedConn struct {
	from net.Conn
	to   net.Conn
	by   *node
}

func (r *relay) address() string { return r.node.ip + ":" + internalPort }

// listen begins to accept connections.
func (r *relay) listen() error {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.l = l
	if r.conns == nil {
		r.conns = make(map[*relayedConn]bool)
	}
	r.mu.Unlock()
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(from)
		}
	}()
	return nil
}

// refuse closes the address: further connections to it are refused.
func (r *relay) refuse() { _ = r.l.Close() }

// cut resets the connections that blocks names, also later ones.
func (r *relay) cut(blocks func(from *node) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocks = blocks
	for c := range r.conns {
		if blocks(c.by) {
			reset(c.from)
			_ = c.to.Close()
		}
	}
}

// heal lets everything through again.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocks = nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *relay) blocked(by *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocks != nil && r.blocks(by)
}

func (r *relay) serve(from net.Conn) {
	by := r.cell.owner(from)
	if r.blocked(by) {
		reset(from)
		return
	}
	to, err := net.Dial("tcp", r.node.ip+":"+relayedPort)
	if err != nil {
		reset(from)
		return
	}
	c := &relayedConn{from, to, by}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { pass(to, from) })
	both.Go(func() { pass(from, to) })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// pass passes bytes on until one side ends, and then ends both.
func pass(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// owner returns the process that opened a connection to this program, or nil.
func (c *cell) owner(conn net.Conn) *node {
	inode := inodeOf(conn.RemoteAddr().String(), conn.LocalAddr().String())
	if inode == "" {
		return nil
	}
	for _, n := range c.nodes {
		dir := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
		files, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, f := range files {
			if link, err := os.Readlink(dir + "/" + f.Name()); err == nil && link == "socket:["+inode+"]" {
				return n
			}
		}
	}
	return nil
}

// inodeOf returns the inode of the socket with a local and a remote address.
func inodeOf(local, remote string) string {
	want, other := kernelForm(local), kernelForm(remote)
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == want && f[2] == other {
			return f[9]
		}
	}
	return ""
}

// kernelForm returns an address as the kernel lists it: 127.0.0.1:80 is 0100007F:0050.
func kernelForm(address string) string {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return ""
	}
	ip := a.IP.To4()
	return strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", a.Port)
}
