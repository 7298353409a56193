package simulator

import (
	"fmt"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file lets things go wrong.

// Faults tells how often things go wrong. Zero values switch them off.
type Faults struct {
	Lost    float64       // share of calls that get lost, one way or the other
	Late    float64       // share of calls that are carried out seconds late
	Leader  time.Duration // mean time between losses of the leader
	Freeze  time.Duration // mean time between freezes of the leader
	Outage  time.Duration // mean time between losses of power of all replicas
	Crash   time.Duration // mean time between crashes of a target
	Cut     time.Duration // mean time between cuts of a target
	Slow    time.Duration // mean time between spells of a slow, failing or hanging target
	Drain   time.Duration // mean time between departures of a target
	Group   time.Duration // mean time between crashes or departures of a fifth of the targets at once
	Relapse time.Duration // mean time between targets that crash, start again under their ids, and are lost for good
	Away    time.Duration // longest time until a target that crashed is back; 0: 8 s
	SameID  bool          // a target that crashed comes back under its id
	Foreign time.Duration // mean time between announcements of another program for the address of a target
	Delay   time.Duration // most that departure calls are delayed; the next incarnation then has the same id
	Deaf    float64       // share of leaving targets to which the way is cut before; if set, targets go on until their calls are answered
	Held    float64       // share of submissions that a daemon holds back while their callers leave and cancel
	Until   time.Duration // none goes wrong later; 0: to the end of the load
}

// Rough is a mix of everything.
var Rough = Faults{
	Lost: 0.02, Late: 0.02, Leader: 4 * time.Second, Freeze: 5 * time.Second, Crash: 3 * time.Second, Cut: 4 * time.Second,
	Slow: 4 * time.Second, Drain: 8 * time.Second, SameID: true,
}

func (s *Simulation) scheduleFaults() {
	f := &s.Faults
	if f.Away == 0 {
		f.Away = usualAway
	}
	s.every(f.Leader, s.loseLeader)
	s.every(f.Freeze, s.freezeLeader)
	s.every(f.Outage, s.losePower)
	s.every(f.Crash, func() { s.crash(s.anyHost()) })
	s.every(f.Cut, func() { s.cutHost(s.anyHost()) })
	s.every(f.Slow, func() { s.weaken(s.anyHost()) })
	s.every(f.Drain, func() { s.drain(s.anyHost()) })
	s.every(f.Group, s.loseGroup)
	s.every(f.Foreign, func() { s.announceForeign(s.anyHost()) })
	s.every(f.Relapse, func() { s.relapse(s.anyHost()) })
}

// quiet reports whether the time of faults is over.
func (s *Simulation) quiet() bool {
	return s.healed || s.Faults.Until > 0 && s.now.Sub(s.begun) > s.Faults.Until
}

// loseGroup lets a fifth of the targets crash or leave. After a crash, some of them
// stay away.
func (s *Simulation) loseGroup() {
	crash, away := s.rand.Intn(3) > 0, s.rand.Intn(3) == 0
	n := max(len(s.targets)/5, 1)
	for _, i := range s.rand.Perm(len(s.targets))[:n] {
		h := s.targets[i]
		if !crash {
			s.drain(h)
			continue
		}
		s.crash(h)
		h.gone = h.gone || away && s.Faults.Away >= usualAway && s.rand.Intn(2) == 0
	}
}

// every does something again and again, with random pauses of a mean length.
func (s *Simulation) every(mean time.Duration, do func()) {
	if mean == 0 {
		return
	}
	s.in(loadBegin+time.Duration(s.rand.ExpFloat64()*float64(mean)), func() {
		if s.quiet() {
			return
		}
		do()
		s.again(mean, do)
	})
}

func (s *Simulation) again(mean time.Duration, do func()) {
	s.in(time.Duration(s.rand.ExpFloat64()*float64(mean)), func() {
		if s.quiet() {
			return
		}
		do()
		s.again(mean, do)
	})
}

func (s *Simulation) anyHost() *host { return s.targets[s.rand.Intn(len(s.targets))] }

// freezeLeader lets the leader's next round come late: what it then sends was
// decided on old facts, or another leader has begun meanwhile.
func (s *Simulation) freezeLeader() {
	if s.leader != nil {
		s.leader.frozen = s.between(50*time.Millisecond, 2*time.Second)
		s.faultAt = s.now
	}
}

// losePower stops all replicas for a time. Leases of what runs lapse in the longer
// outages, and targets come, go and crash unseen.
func (s *Simulation) losePower() {
	s.trace("all replicas lose power")
	s.loseLeader()
	s.elect(s.between(minOutage, maxOutage))
}

const (
	minOutage = 500 * time.Millisecond
	maxOutage = 12 * time.Second // longer than the longest lease
)

const (
	minAway   = 200 * time.Millisecond
	usualAway = 8 * time.Second
)

func (s *Simulation) crash(h *host) {
	if h.target.Down() || h.gone {
		return
	}
	s.faultAt = s.now
	id := h.target.Record.ID
	s.trace("%s crashes", id)
	t := h.target
	t.Crash(s.now)
	if !s.Faults.SameID || s.rand.Intn(2) == 0 {
		id += "'"
	}
	s.in(s.between(minAway, max(s.Faults.Away, minAway)), func() {
		s.rebear(h, t, id)
	})
}

// announceForeign lets another program announce a target of its own, or one of the cell's
// with a later start, at the address of a host.
func (s *Simulation) announceForeign(h *host) {
	rec := h.target.Record
	rec.Incarnation = tracker.Incarnation(registrar.MillisOf(s.now))
	rec.Draining = s.rand.Intn(3) == 0
	rec.Capacity.CPU *= 2
	rec.ID = tracker.TargetID(fmt.Sprintf("agent%d", s.rand.Intn(4)))
	if s.rand.Intn(3) == 0 {
		rec.ID = s.anyHost().target.Record.ID
	}
	s.trace("another program announces %s at %s", rec.ID, rec.Address)
	a := &planner.Announcement{Target: rec, Clock: 1, Sequence: 1 + s.rand.Int63n(1000)}
	s.tell(func(p *planner.Planner, now planner.Moment) { p.Announce(a, func() {}, now) })
}

// relapse lets a target crash, start again at once under its id, and crash for good some
// seconds later. Two thirds of the targets stay.
func (s *Simulation) relapse(h *host) {
	gone := 0
	for _, x := range s.targets {
		if x.gone {
			gone++
		}
	}
	if h.target.Down() || h.gone || 3*gone >= len(s.targets) {
		return
	}
	s.faultAt = s.now
	t := h.target
	s.trace("%s crashes", t.Record.ID)
	t.Crash(s.now)
	s.in(minAway, func() { s.rebear(h, t, t.Record.ID) })
	s.in(s.between(minRelapse, maxRelapse), func() {
		if again := h.target; again != t && !again.Down() && !h.gone {
			s.faultAt = s.now
			s.trace("%s is lost for good", again.Record.ID)
			again.Crash(s.now)
			h.gone = true
		}
	})
}

const (
	minRelapse = 300 * time.Millisecond
	maxRelapse = 6 * time.Second
)

// rebear begins a life at a host whose last target has ended, unless another one
// did so before.
func (s *Simulation) rebear(h *host, last *emulator.Target, id tracker.TargetID) {
	if h.target == last && last.Down() && !h.gone {
		s.faultAt = s.now
		s.bear(h, id)
	}
}

func (s *Simulation) cutHost(h *host) {
	s.faultAt = s.now
	h.cut = true
	s.trace("%s is cut off", h.target.Record.ID)
	if s.rand.Intn(4) == 0 {
		s.crash(h)
	}
	s.in(s.between(200*time.Millisecond, 14*time.Second), func() { h.cut = false; s.faultAt = s.now })
}

func (s *Simulation) weaken(h *host) {
	if h.target.Down() {
		return
	}
	s.faultAt = s.now
	t := h.target
	t.SetFaults([]emulator.Faults{{Slow: 6}, {FailAll: true}, {Hang: true}, {Unwell: true}}[s.rand.Intn(4)], s.now)
	s.weak++
	s.in(s.between(time.Second, 6*time.Second), func() {
		s.weak--
		t.SetFaults(emulator.Faults{}, s.now)
		s.faultAt = s.now
	})
}

// deafen lets nothing arrive at a host for a time. What it sends still arrives.
func (s *Simulation) deafen(h *host) {
	s.faultAt = s.now
	h.deaf = true
	s.trace("nothing arrives at %s", h.target.Record.ID)
	s.in(s.between(200*time.Millisecond, 8*time.Second), func() { h.deaf = false; s.faultAt = s.now })
}

// drain lets a target announce that it leaves, then replaces it.
func (s *Simulation) drain(h *host) {
	if h.target.Down() || h.draining || h.gone || h.cut {
		return
	}
	s.faultAt = s.now
	h.draining, h.drainEnd = true, s.now.Add(drainTime)
	t := h.target
	h.sequence++
	t.Record.Draining = true
	a := &planner.Announcement{Target: t.Record, Clock: t.Clock(s.now), Sequence: h.sequence, DrainLeft: drainTime}
	acknowledged := func() {
		if !h.deaf {
			t.DrainAcked = s.now
		}
	}
	s.tell(func(p *planner.Planner, now planner.Moment) { p.Announce(a, acknowledged, now) })
	left := s.between(2500*time.Millisecond, 9*time.Second)
	if s.Faults.Deaf > 0 && s.rand.Float64() < s.Faults.Deaf {
		s.in(left-s.between(0, maxDeafBefore), func() { s.deafen(h) })
	}
	s.in(left, func() {
		if h.target != t || t.Down() {
			return
		}
		s.faultAt = s.now
		if s.Faults.Deaf > 0 {
			s.leave(h, t, s.now.Add(s.between(2*time.Second, 5*time.Second)))
			return
		}
		s.depart(t)
		s.in(s.between(0, 200*time.Millisecond), func() { s.end(h, t) })
	})
}

// end ends a target that leaves.
func (s *Simulation) end(h *host, t *emulator.Target) {
	if h.target != t || t.Down() {
		return
	}
	s.faultAt = s.now
	s.trace("%s ends", t.Record.ID)
	t.Crash(s.now)
	s.in(time.Second, func() { s.rebear(h, t, s.successor(t.Record.ID)) })
}

// leave lets a target call that it ends, again and again. It ends when a call is answered,
// or without an answer after a time.
func (s *Simulation) leave(h *host, t *emulator.Target, patience time.Time) {
	if h.target != t || t.Down() {
		return
	}
	if !s.now.Before(patience) {
		s.end(h, t)
		return
	}
	s.trace("%s says that it leaves", t.Record.ID)
	d := planner.Departure{Target: t.Record.ID}
	answered := func() {
		s.in(s.between(minWay, maxWay), func() {
			if !h.deaf && !h.cut && !s.lost() {
				s.end(h, t)
			}
		})
	}
	if !h.cut {
		s.in(s.between(minWay, maxWay), func() { s.tell(func(p *planner.Planner, now planner.Moment) { p.Depart(d, answered, now) }) })
	}
	s.in(departTimeout, func() { s.leave(h, t, patience) })
}

const (
	departTimeout = time.Second // a target waits this long for the answer to a departure call
	maxDeafBefore = time.Second // from the cut of the way to a target until it leaves
)

// depart lets a target call that it ends. A delayed call names the incarnation or not.
func (s *Simulation) depart(t *emulator.Target) {
	d := planner.Departure{Target: t.Record.ID}
	call := func() { s.tell(func(p *planner.Planner, now planner.Moment) { p.Depart(d, func() {}, now) }) }
	if s.Faults.Delay == 0 {
		call()
		return
	}
	if s.rand.Intn(2) == 0 {
		d.Incarnation = t.Record.Incarnation
	}
	s.in(s.between(0, s.Faults.Delay), func() {
		s.trace("departure of %s, incarnation %d, arrives", d.Target, d.Incarnation)
		call()
	})
}

// successor returns the id of the target that follows one that departed.
func (s *Simulation) successor(id tracker.TargetID) tracker.TargetID {
	if s.Faults.Delay > 0 {
		return id
	}
	return id + "+"
}

// heal ends all faults.
func (s *Simulation) heal() {
	for _, h := range s.targets {
		h.cut, h.deaf, h.gone = false, false, false
		if h.target.Down() {
			s.bear(h, h.target.Record.ID+tracker.TargetID("~"))
			continue
		}
		h.target.SetFaults(emulator.Faults{}, s.now)
	}
}

// cancelLongRunning ends the jobs that do not end by themselves.
func (s *Simulation) cancelLongRunning() {
	for _, c := range s.sortedJobs() {
		if s.Mix[c.kind].Lasting {
			s.cancel(c)
		}
	}
}
