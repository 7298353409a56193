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
	cutTime         = 5 * time.Second
	workersPerZone  = 10
	confinedWorkers = 5 // of 30, a share of 0.167
	tasks           = 36
	workerPause     = 25 * time.Millisecond // between the starts of two workers, so that they are polled at different times
)

// leaderCut: the leader is cut off from all other machines of the system, by resets. A few
// workers of its zone reach only the leader; all others reach both sides.
func leaderCut(c *cell, trouble bool) ([]string, error) {
	c.addNodes(5, 7)
	c.listenInternal = func(ip string) string { return ip + ":" + relayedPort }
	relays := make(map[*node]*relay)
	for _, n := range c.cores() {
		r := &relay{cell: c, node: n}
		if err := r.listen(); err != nil {
			return nil, err
		}
		relays[n] = r
	}
	var cut atomic.Pointer[node] // the leader that is cut off
	confined := make(map[*worker]*atomic.Bool)
	for range workersPerZone {
		for _, zone := range zones {
			w := c.addWorker(16000, zone, "b")
			only := &atomic.Bool{} // it reaches only the leader
			confined[w] = only
			owners := &ownerCache{cell: c, known: make(map[string]*node)}
			w.accepts = func(conn net.Conn) bool {
				l := cut.Load()
				if l == nil || !only.Load() {
					return true
				}
				n := owners.of(conn)
				return n == nil || n == l
			}
			w.reaches = func(address string) bool {
				l := cut.Load()
				return l == nil || !only.Load() || address == l.ip+":"+controlPort
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
	on, chosen := 0, 0
	for _, w := range c.workers {
		if running := c.rec.runningOn(w.id); w.zone == leader.zone && len(running) > 0 && chosen < confinedWorkers {
			confined[w].Store(true)
			chosen++
			on += len(running)
			c.rec.log("worker %s of the leader's zone is to be cut off from the other core machines", w.id)
		}
	}
	c.rec.log("%s leads, in %s; %d tasks run on those workers", leader.name, leader.zone, on)
	if on == 0 {
		return nil, fmt.Errorf("no task runs in the leader's zone")
	}
	if trouble {
		c.rec.log("%s is cut off from all other machines of the system", leader.name)
		cut.Store(leader)
		for n, r := range relays {
			r.cut(func(from *node) bool { return from != nil && (from == leader) != (n == leader) })
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
