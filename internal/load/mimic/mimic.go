// Package mimic stands in for the platform: targets, the licensing service, the
// service that keeps VMs, operators and callers, over real HTTP on loopback and
// from a seed. Tests, the rehearsal and the load tool share it, so that the
// whole way through the adapter can be tried anywhere.
package mimic

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file is read first: it holds the fleet of targets. Example:
//
//	f := &mimic.Fleet{Targets: 8, Pool: "pool", Daemons: addresses, Seed: 1}
//	if err := f.Start(ctx); err != nil { ... }
//	f.Know(job, work)

// Faults make calls to targets fail. Shares are of calls, from 0 to 1.
type Faults struct {
	Lost float64 // carried out, but not answered
	Late float64 // not answered, and carried out seconds later
	Cut  float64 // neither carried out nor answered
}

// Fleet is a set of targets. The exported fields are set before Start.
type Fleet struct {
	Targets  int
	Pool     definer.PoolName
	Zones    []string
	Daemons  []string // addresses of control interfaces
	Seed     int64
	Interval time.Duration // between announcements; 0: a second and a half
	Limits   emulator.Limits
	Capacity Capacity
	Audit    *emulator.Audit // nil: nothing is checked
	// FailTogether lets all members of a gang fail with one of them.
	FailTogether bool

	mu     sync.Mutex
	ctx    context.Context
	rand   *rand.Rand
	world  *emulator.World
	hosts  []*host
	jobs   map[definer.JobID]Work
	faults Faults
	client *http.Client
	lives  int
}

// Capacity is what each target has.
type Capacity struct {
	MilliCPU, MiB int64
}

// Work tells what the runs of a job do.
type Work func(task definer.TaskID, number tracker.RunNumber) emulator.Work

const (
	usualInterval = 1500 * time.Millisecond
	beatTimeout   = time.Second // as targets wait
	minLate       = 2 * time.Second
	maxLate       = 6 * time.Second
	perRack       = 8
)

// Start opens all targets; they announce themselves until ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	f.ctx = ctx
	f.rand = rand.New(rand.NewSource(f.Seed))
	f.jobs = make(map[definer.JobID]Work)
	f.client = &http.Client{Timeout: beatTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: f.Targets + 1}}
	f.world = &emulator.World{Work: f.workOf, Audit: f.Audit, FailTogether: f.FailTogether}
	if f.Interval == 0 {
		f.Interval = usualInterval
	}
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	for n := range f.Targets {
		h := &host{fleet: f, number: n, kick: make(chan struct{}, 1)}
		if err := h.open(); err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		h.bear(time.Now())
		go h.run(ctx)
		go h.announce(ctx)
	}
	return nil
}

// Know tells what the runs of a job do. It is called before the job is
// submitted.
func (f *Fleet) Know(job *definer.Job, work Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = work
}

func (f *Fleet) workOf(task definer.TaskID, number tracker.RunNumber) emulator.Work {
	work := f.jobs[task.Job]
	if work == nil {
		return emulator.Work{Duration: time.Second}
	}
	return work(task, number)
}

// SetFaults changes what happens to calls from now on.
func (f *Fleet) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Do runs a function that reads or alters the targets or the audit.
func (f *Fleet) Do(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// Crash ends the life of target n at once. It comes back after a time, as
// another target or under its id.
func (f *Fleet) Crash(n int, back time.Duration, sameID bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[n%len(f.hosts)]
	if h.target.Down() {
		return
	}
	h.target.Crash(time.Now())
	h.wake()
	id := h.target.Record.ID
	time.AfterFunc(back, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if h.target.Down() {
			h.bear(time.Now())
			if sameID {
				h.target.Record.ID = id
			}
		}
	})
}

// Drain lets target n announce that it leaves; it ends after a time.
func (f *Fleet) Drain(n int, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[n%len(f.hosts)]
	if h.target.Down() || h.target.Record.Draining {
		return
	}
	h.target.Record.Draining = true
	h.drainEnd = time.Now().Add(after)
	leaving := h.target
	time.AfterFunc(after, func() { h.leave(leaving) })
}

// SetTargetFaults changes how target n works.
func (f *Fleet) SetTargetFaults(n int, faults emulator.Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[n%len(f.hosts)]
	if !h.target.Down() {
		h.target.SetFaults(faults, time.Now())
		h.wake()
	}
}

// Records returns the records of the targets that run now.
func (f *Fleet) Records() []tracker.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []tracker.Target
	for _, h := range f.hosts {
		if !h.target.Down() {
			out = append(out, h.target.Record)
		}
	}
	return out
}

// Running returns how many runs of a job there are.
func (f *Fleet) Running(id definer.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, h := range f.hosts {
		n += h.target.RunsOf(id)
	}
	return n
}

// Problems returns what the audit has found.
func (f *Fleet) Problems() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Audit == nil {
		return nil
	}
	return append([]string(nil), f.Audit.Problems...)
}

func (f *Fleet) newID() tracker.TargetID {
	f.lives++
	return tracker.TargetID(fmt.Sprintf("i-%08x", f.lives))
}

// serve serves HTTP on an address until ctx ends, and returns the address.
func serve(ctx context.Context, address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: beatTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close() // the experiment is over
	}()
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("mimic: %v", err)) // the listener is this process's own
		}
	}()
	return l.Addr().String(), nil
}
