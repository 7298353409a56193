package rehearser

import (
	"context"
	"fmt"
	"math/rand"
	"syscall"
	"time"

	"masticroad/internal/load/emulator"
	"masticroad/internal/load/mimic"
)

// This file lets things go wrong. Faults overlap, but of the daemons with a disk
// at most one is lost at a time, unless all are killed and come back at once.

type injector struct {
	rehearsal *Rehearsal
	rand      *rand.Rand
	freeAt    time.Time // no replica is lost from then on
	wipedAt   time.Time
	ends      []func() // what heals the faults that go on
}

const (
	minPause  = 200 * time.Millisecond
	maxPause  = 900 * time.Millisecond
	wipePause = 9 * time.Second // a replica that lost its folder is a voter again by then
	catchUp   = 3 * time.Second // after the return of a replica, before another is lost
)

// fault is a way for things to go wrong. It returns how long it lasts.
type fault struct {
	name string
	do   func(*injector) time.Duration
}

var faults = []fault{
	{"kill of a replica", (*injector).killReplica},
	{"pause of a replica", (*injector).pauseReplica},
	{"planned stop of a replica", (*injector).stopReplica},
	{"loss of a data folder", (*injector).wipeReplica},
	{"kill of all replicas", (*injector).killAll},
	{"silence before a replica", (*injector).silenceReplica},
	{"reset of connections", (*injector).resetReplica},
	{"kill of a gateway", (*injector).killGateway},
	{"planned stop of a gateway", (*injector).stopGateway},
	{"crash of a target", (*injector).crashTarget},
	{"drain of a target", (*injector).drainTarget},
	{"weak target", (*injector).weakenTarget},
	{"calls without answers", (*injector).loseCalls},
}

// run injects faults until calm is closed, and heals all.
func (x *injector) run(ctx context.Context, calm <-chan struct{}) {
	defer x.heal()
	for {
		select {
		case <-ctx.Done():
			return
		case <-calm:
			return
		case <-time.After(x.between(minPause, maxPause)):
		}
		f := &faults[x.rand.Intn(len(faults))]
		if lasts := f.do(x); lasts > 0 {
			x.trace("%s for %s", f.name, lasts.Round(time.Millisecond))
		}
	}
}

// fillDisks makes the disks of the replicas full, one after another and never two
// at once, in random order until calm is closed.
func (x *injector) fillDisks(ctx context.Context, calm <-chan struct{}) {
	defer x.heal()
	for {
		for _, i := range x.rand.Perm(x.rehearsal.Replicas) {
			p, lasts := x.rehearsal.procs[i], x.between(minFull, maxFull)
			x.setDiskFull(p, true)
			x.trace("disk of %s full for %s", p.node.Name, lasts.Round(time.Millisecond))
			ended := !sleep(ctx, calm, lasts)
			x.setDiskFull(p, false)
			if ended || !sleep(ctx, calm, x.between(minPause, maxPause)) {
				return
			}
		}
	}
}

const (
	minFull = time.Second
	maxFull = 2 * time.Second
)

func (x *injector) setDiskFull(p *process, full bool) {
	if err := p.setDiskFull(full); err != nil {
		x.rehearsal.problem("%s: %v", p.node.Name, err)
	}
}

// sleep waits and reports whether neither ctx nor calm has ended the wait.
func sleep(ctx context.Context, calm <-chan struct{}, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-calm:
		return false
	case <-time.After(d):
		return true
	}
}

func (x *injector) trace(format string, args ...any) {
	if x.rehearsal.Trace != nil {
		x.rehearsal.Trace(time.Since(x.rehearsal.begun).Round(time.Millisecond).String() + ": " + fmt.Sprintf(format, args...))
	}
}

func (x *injector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(x.rand.Int63n(int64(high-low)))
}

// later does something after a time, or when all is healed.
func (x *injector) later(d time.Duration, do func()) {
	timer := time.AfterFunc(d, do)
	x.ends = append(x.ends, func() {
		if timer.Stop() {
			do()
		}
	})
}

func (x *injector) heal() {
	for _, end := range x.ends {
		end()
	}
	x.rehearsal.fleet.SetFaults(mimic.Faults{})
	x.trace("all is healed")
}

// replica returns a replica that may be lost for a time, or nil.
func (x *injector) replica(lasts time.Duration) *process {
	now := time.Now()
	if now.Before(x.freeAt) {
		return nil
	}
	x.freeAt = now.Add(lasts + catchUp)
	return x.rehearsal.procs[x.rand.Intn(x.rehearsal.Replicas)]
}

func (x *injector) gateway() *process {
	r := x.rehearsal
	return r.procs[r.Replicas+x.rand.Intn(r.Gateways)]
}

// down ends a daemon and starts it again after a time.
func (x *injector) down(p *process, s syscall.Signal, lasts time.Duration) time.Duration {
	if p == nil || !p.kill(s) {
		return 0
	}
	x.restart(p, lasts)
	return lasts
}

func (x *injector) restart(p *process, after time.Duration) {
	if err := p.node.Started(); err != nil {
		x.rehearsal.problem("%s: %v", p.node.Name, err)
	}
	x.later(after, func() {
		if err := p.start(); err != nil {
			x.rehearsal.problem("%s: %v", p.node.Name, err)
		}
	})
}

func (x *injector) killReplica() time.Duration {
	lasts := x.between(20*time.Millisecond, 2*time.Second)
	return x.down(x.replica(lasts), syscall.SIGKILL, lasts)
}

func (x *injector) stopReplica() time.Duration {
	lasts := x.between(20*time.Millisecond, time.Second)
	return x.down(x.replica(lasts), syscall.SIGTERM, lasts)
}

func (x *injector) killGateway() time.Duration {
	return x.down(x.gateway(), syscall.SIGKILL, x.between(20*time.Millisecond, time.Second))
}

func (x *injector) stopGateway() time.Duration {
	return x.down(x.gateway(), syscall.SIGTERM, x.between(20*time.Millisecond, time.Second))
}

func (x *injector) pauseReplica() time.Duration {
	lasts := x.between(100*time.Millisecond, 4*time.Second)
	p := x.replica(lasts)
	if p == nil {
		return 0
	}
	p.signal(syscall.SIGSTOP)
	x.later(lasts, func() { p.signal(syscall.SIGCONT) })
	return lasts
}

func (x *injector) wipeReplica() time.Duration {
	if time.Since(x.wipedAt) < wipePause {
		return 0
	}
	lasts := x.between(20*time.Millisecond, time.Second)
	p := x.replica(lasts + wipePause)
	if p == nil || !p.kill(syscall.SIGKILL) {
		return 0
	}
	x.wipedAt = time.Now()
	if err := p.node.Wipe(); err != nil {
		x.rehearsal.problem("%s: %v", p.node.Name, err)
	}
	x.restart(p, lasts)
	return lasts
}

func (x *injector) killAll() time.Duration {
	lasts := x.between(20*time.Millisecond, 800*time.Millisecond)
	if x.replica(lasts) == nil {
		return 0
	}
	for _, p := range x.rehearsal.procs[:x.rehearsal.Replicas] {
		x.down(p, syscall.SIGKILL, lasts)
	}
	return lasts
}

func (x *injector) silenceReplica() time.Duration {
	lasts := x.between(300*time.Millisecond, 4*time.Second)
	p := x.replica(lasts)
	if p == nil || p.relay == nil {
		return 0
	}
	m := silent
	if x.rand.Intn(3) == 0 {
		m = slow
	}
	p.relay.set(m)
	x.later(lasts, func() { p.relay.set(passing) })
	return lasts
}

func (x *injector) resetReplica() time.Duration {
	p := x.rehearsal.procs[x.rand.Intn(x.rehearsal.Replicas)]
	if p.relay == nil {
		return 0
	}
	p.relay.reset()
	return time.Millisecond
}

func (x *injector) crashTarget() time.Duration {
	lasts := x.between(50*time.Millisecond, 3*time.Second)
	x.rehearsal.fleet.Crash(x.rand.Int(), lasts, x.rand.Intn(2) == 0)
	return lasts
}

func (x *injector) drainTarget() time.Duration {
	lasts := x.between(time.Second, 3*time.Second)
	x.rehearsal.fleet.Drain(x.rand.Int(), lasts)
	return lasts
}

func (x *injector) weakenTarget() time.Duration {
	lasts := x.between(500*time.Millisecond, 4*time.Second)
	n := x.rand.Int()
	kinds := []emulator.Faults{{Slow: 6}, {FailAll: true}, {Hang: true}, {Unwell: true}}
	x.rehearsal.fleet.SetTargetFaults(n, kinds[x.rand.Intn(len(kinds))])
	x.later(lasts, func() { x.rehearsal.fleet.SetTargetFaults(n, emulator.Faults{}) })
	return lasts
}

func (x *injector) loseCalls() time.Duration {
	lasts := x.between(500*time.Millisecond, 2*time.Second)
	x.rehearsal.fleet.SetFaults(mimic.Faults{Lost: 0.05, Late: 0.05, Cut: 0.05})
	x.later(lasts, func() { x.rehearsal.fleet.SetFaults(mimic.Faults{}) })
	return lasts
}
