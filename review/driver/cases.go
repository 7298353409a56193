package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

// This file holds the cases.

const firstUptime = 40 * time.Second // of the worker that restarts

// lostAfterRestart: a worker starts again under its id, runs a task that lasts, and is
// then lost for good. The task has to run again elsewhere.
func lostAfterRestart(c *cell, trouble bool) ([]string, error) {
	c.addNodes(5, 7)
	first := c.addWorker(8000, zones[0], "b") // best fit prefers the smallest worker
	for i := range 7 {
		c.addWorker(16000, zones[i%len(zones)], "b")
	}
	if err := c.startAll(c.config(1)); err != nil {
		return nil, err
	}
	time.Sleep(firstUptime - time.Since(first.current().begun))
	if trouble {
		first.crash("crash")
		time.Sleep(time.Second)
		if err := first.start(); err != nil {
			return nil, err
		}
		if err := waitFor(10*time.Second, func() bool { return first.current().seenToken() }); err != nil {
			return nil, fmt.Errorf("the restarted worker is not used: %w", err)
		}
		time.Sleep(time.Second)
	}
	const job = "5c0e7a21d94b36f8"
	if err := c.submit(job, "lasts", map[string]any{"count": 2, "cpu": 3000, "mem-mb": 2000, "estimate-ms": 1000, "long-running": true}); err != nil {
		return nil, err
	}
	tasks := []string{job + ".0.0.0", job + ".0.0.1"}
	if err := waitFor(10*time.Second, func() bool { return len(c.rec.of(tasks[0])) > 0 && len(c.rec.of(tasks[1])) > 0 }); err != nil {
		return nil, fmt.Errorf("the job does not start: %w", err)
	}
	time.Sleep(5 * time.Second)
	on := c.rec.runningOn(first.id)
	if len(on) == 0 {
		return nil, fmt.Errorf("no task runs on the worker that is to be lost")
	}
	if trouble {
		first.crash("crash for good")
	}
	time.Sleep(25 * time.Second)
	c.state(job)
	return c.notRunning(tasks), nil
}

// seenToken reports whether the leader has polled the worker.
func (b *boot) seenToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.token > 0
}

// notRunning returns the tasks that have no run at present.
func (c *cell) notRunning(tasks []string) []string {
	var out []string
	for _, task := range tasks {
		var last span
		for _, s := range c.rec.of(task) {
			last = s
		}
		if !last.end.IsZero() {
			out = append(out, fmt.Sprintf("LOST: %s, which lasts, has had no run for %.1f s, with %d workers of 16000 that run nothing else",
				task, time.Since(last.end).Seconds(), len(c.workers)-1))
		}
	}
	return out
}

const partition = 4 * time.Second

// lateDeregister: the deregister call of a worker is held up by a partition and arrives
// after the worker has started again under its id.
func lateDeregister(c *cell, trouble bool) ([]string, error) {
	c.addNodes(5, 7)
	first := c.addWorker(8000, zones[0], "b")
	for i := range 7 {
		c.addWorker(16000, zones[i%len(zones)], "b")
	}
	if err := c.startAll(c.config(1)); err != nil {
		return nil, err
	}
	leader := c.leader()
	if leader == nil {
		return nil, fmt.Errorf("no leader")
	}
	var other *node // a control daemon that does not lead
	for _, n := range c.cores() {
		if n != leader {
			other = n
		}
	}
	c.rec.log("%s leads; the worker deregisters at %s", leader.name, other.name)
	link := &heldLink{rec: c.rec, target: other.ip + ":" + controlPort}
	if err := link.listen(c.block + ".201:8166"); err != nil {
		return nil, err
	}
	c.stops = append(c.stops, link.close)
	first.drain()
	first.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if address == link.target {
			address = link.address
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	if trouble {
		link.hold(partition)
	}
	first.deregister(link.target)
	first.crash("leave")
	time.Sleep(300 * time.Millisecond)
	first.dial = nil
	if err := first.start(); err != nil {
		return nil, err
	}
	if err := waitFor(10*time.Second, func() bool { return first.current().seenToken() }); err != nil {
		return nil, fmt.Errorf("the restarted worker is not used: %w", err)
	}
	time.Sleep(200 * time.Millisecond)
	const job = "5c0e7a21d94b36f8"
	if err := c.submit(job, "work-ms=8000", map[string]any{"count": 2, "cpu": 3000, "mem-mb": 2000, "estimate-ms": 8000}); err != nil {
		return nil, err
	}
	if err := waitFor(40*time.Second, func() bool { return c.state(job) == "completed" || pause(400*time.Millisecond) }); err != nil {
		return nil, fmt.Errorf("the job does not complete: %w", err)
	}
	return c.rec.twice(), nil
}

// pause waits and returns false.
func pause(d time.Duration) bool {
	time.Sleep(d)
	return false
}

const (
	burstJobs  = 20
	burstTasks = 32 // of each job
	burstWork  = 3 * time.Second
	frozenTime = 3 * time.Second
)

// manyEnds: more than 500 short tasks end on one worker while the leader is frozen.
func manyEnds(c *cell, trouble bool) ([]string, error) {
	c.use(&fjordstrikk)
	c.addNodes(5, 7)
	c.addWorker(64000, zones[0], "b") // best fit prefers the smallest worker
	for i := range 7 {
		c.addWorker(128000, zones[i%len(zones)], "b")
	}
	if err := c.startAll(c.config(1)); err != nil {
		return nil, err
	}
	leader := c.leader()
	if leader == nil {
		return nil, fmt.Errorf("no leader")
	}
	ids := make([]string, burstJobs)
	submitted := make(chan error, burstJobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("5c0e7a21d94b%04x", i+1)
		work := burstWork.Milliseconds() + int64(10*i)
		go func() {
			submitted <- c.submit(ids[i], fmt.Sprintf("work-ms=%d", work),
				map[string]any{"count": burstTasks, "cpu": 100, "mem-mb": 150, "estimate-ms": work})
		}()
	}
	for range ids {
		if err := <-submitted; err != nil {
			return nil, fmt.Errorf("a job is not accepted: %w", err)
		}
	}
	count := burstJobs * burstTasks
	if err := waitFor(burstWork/2, func() bool { return c.rec.count() >= count }); err != nil {
		return nil, fmt.Errorf("the tasks do not start: %w", err)
	}
	begun, last := c.rec.starts()
	c.rec.log("%d tasks have started within %d ms, %d of them on one worker", count, last.Sub(begun).Milliseconds(), len(c.rec.runningOn(c.workers[0].id)))
	if trouble {
		time.Sleep(time.Until(begun.Add(burstWork - 60*time.Millisecond)))
		leader.signal(syscall.SIGSTOP)
		time.Sleep(frozenTime)
		leader.signal(syscall.SIGCONT)
	}
	for _, id := range ids {
		if err := waitFor(40*time.Second, func() bool { return c.state(id) == "completed" || pause(400*time.Millisecond) }); err != nil {
			return nil, fmt.Errorf("job %s does not complete: %w", id, err)
		}
	}
	time.Sleep(2 * time.Second)
	breaks := c.rec.twice()
	if n := len(breaks); n > 5 {
		breaks = append(breaks[:5], fmt.Sprintf("and %d more pairs of runs", n-5))
	}
	return breaks, nil
}

// count returns the number of starts.
func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.spans)
}

// starts returns the times of the first and the newest start.
func (r *recorder) starts() (first, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spans[0].begin, r.spans[len(r.spans)-1].begin
}

// heldLink is the path from a worker to a control daemon. While it is held, bytes wait
// and arrive afterwards, in order.
type heldLink struct {
	rec     *recorder
	address string
	target  string
	l       net.Listener
	until   time.Time
}

func (h *heldLink) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.l, h.address = l, address
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(from)
		}
	}()
	return nil
}

func (h *heldLink) close() { _ = h.l.Close() }

func (h *heldLink) hold(d time.Duration) { h.until = time.Now().Add(d) }

func (h *heldLink) serve(from net.Conn) {
	defer func() { _ = from.Close() }()
	time.Sleep(time.Until(h.until))
	to, err := net.Dial("tcp", h.target)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	go func() {
		answer := make([]byte, 64<<10)
		for {
			n, err := to.Read(answer)
			if err != nil {
				return
			}
			_, _ = from.Write(answer[:n])
		}
	}()
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			line, _, _ := strings.Cut(string(buffer[:n]), "\r\n")
			h.rec.log("the path to %s passes on: %s", h.target, line)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
			return
		}
	}
}

// foreignPing: another writer sends a ping with fields missing, which names no worker to
// use, for the address of a worker.
func foreignPing(c *cell, trouble bool) ([]string, error) {
	c.addNodes(5, 7)
	first := c.addWorker(8000, zones[0], "b")
	for i := range 7 {
		c.addWorker(16000, zones[i%len(zones)], "b")
	}
	if err := c.startAll(c.config(1)); err != nil {
		return nil, err
	}
	const job = "5c0e7a21d94b36f8"
	if err := c.submit(job, "work-ms=8000", map[string]any{"count": 2, "cpu": 3000, "mem-mb": 2000, "estimate-ms": 8000}); err != nil {
		return nil, err
	}
	if err := waitFor(10*time.Second, func() bool { return len(c.rec.runningOn(first.id)) == 2 }); err != nil {
		return nil, fmt.Errorf("the tasks do not run on the smallest worker: %w", err)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		body := map[string]any{
			"service": c.service, "address": first.address, "zone": first.zone, "state": "ready", "seq": 1, "born": time.Now().UnixMilli(),
			"capacity": map[string]any{"cpu": first.cpu, "mem-mb": 2 * first.cpu},
		}
		status, answer, err := call("POST", c.controls()[0], "/-/instances/agent-7/heartbeat", "", body)
		c.rec.log("another writer sends the ping %v as agent-7, without version, slots, cold-remaining-ms, labels and clock-ms: %d %s %v", body, status, answer, err)
	}
	if err := waitFor(40*time.Second, func() bool { return c.state(job) == "completed" || pause(400*time.Millisecond) }); err != nil {
		return nil, fmt.Errorf("the job does not complete: %w", err)
	}
	return c.rec.twice(), nil
}
