package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// This file holds the case of a leader that is cut off with the workers of its zone.

const (
	cutTime        = 5 * time.Second
	workersPerZone = 10
	tasks          = 36
	workerPause    = 25 * time.Millisecond // between the starts of two workers, so that they are polled at different times
)

// leaderCut: the zone of the leader is cut off from the other zones, by resets. Its workers
// reach only the machines of their zone.
func leaderCut(c *cell, trouble bool) ([]string, error) {
	c.addNodes(3, 6) // one core machine in each zone
	c.listenInternal = func(ip string) string { return ip + ":" + relayedPort }
	relays := make(map[*node]*relay)
	for _, n := range c.cores() {
		r := &relay{cell: c, node: n}
		if err := r.listen(); err != nil {
			return nil, err
		}
		relays[n] = r
	}
	var cut atomic.Pointer[node] // the leader whose zone is cut off
	connected := func(a, b string) bool {
		l := cut.Load()
		return l == nil || (a == l.zone) == (b == l.zone)
	}
	for range workersPerZone {
		for _, zone := range zones {
			w := c.addWorker(16000, zone, "b")
			owners := &ownerCache{cell: c, known: make(map[string]*node)}
			w.accepts = func(conn net.Conn) bool {
				n := owners.of(conn)
				return n == nil || connected(zone, n.zone)
			}
			w.reaches = func(address string) bool {
				for _, n := range c.cores() {
					if address == n.ip+":"+controlPort {
						return connected(zone, n.zone)
					}
				}
				return true
			}
		}
	}
	c.workerPause = workerPause
	if err := c.startAll(c.config(1)); err != nil {
		return nil, err
	}
	const job = "5c0e7a21d94b36f8"
	phase := map[string]any{"count": tasks, "cpu": 3000, "mem-mb": 2000, "estimate-ms": 20000, "max-per-server": 2}
	if err := c.submit(job, "work-ms=20000", phase); err != nil {
		return nil, err
	}
	if err := waitFor(10*time.Second, func() bool { return c.rec.count() >= tasks }); err != nil {
		return nil, fmt.Errorf("the job does not start: %w", err)
	}
	time.Sleep(3 * time.Second)
	leader := c.leader()
	if leader == nil {
		return nil, fmt.Errorf("no leader")
	}
	on := 0
	for _, w := range c.workers {
		if w.zone == leader.zone {
			on += len(c.rec.runningOn(w.id))
		}
	}
	c.rec.log("%s leads, in %s, where %d tasks run", leader.name, leader.zone, on)
	if trouble {
		c.rec.log("%s is cut off from the other zones", leader.zone)
		cut.Store(leader)
		for n, r := range relays {
			r.cut(func(from *node) bool { return from != nil && !connected(from.zone, n.zone) })
		}
		relays[leader].refuse()
		time.Sleep(cutTime)
		cut.Store(nil)
		for _, r := range relays {
			r.heal()
		}
		if err := relays[leader].listen(); err != nil {
			return nil, err
		}
		c.rec.log("the cut is over")
	}
	time.Sleep(10 * time.Second)
	return c.rec.twice(), nil
}

// ownerCache keeps which process opened a connection.
type ownerCache struct {
	cell  *cell
	mu    sync.Mutex
	known map[string]*node
}

func (o *ownerCache) of(conn net.Conn) *node {
	key := conn.RemoteAddr().String()
	o.mu.Lock()
	defer o.mu.Unlock()
	if n, ok := o.known[key]; ok {
		return n
	}
	n := o.cell.owner(conn)
	o.known[key] = n
	return n
}
