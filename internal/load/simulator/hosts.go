package simulator

import (
	"cmp"
	"fmt"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds the targets with the network before them: calls that are
// lost, late or not answered, and announcements.

// host is a place at which targets live, one after the other.
type host struct {
	target   *emulator.Target
	address  string
	number   int // its room and rack go by it and last for all its lives
	sequence int64
	cut      bool // no call reaches it, and no announcement comes
	deaf     bool // no call or answer reaches it
	draining bool
	drainEnd time.Time // of a draining target
	gone     bool      // for good
}

const (
	poolName      = definer.PoolName("arazo")
	beatInterval  = 1500 * time.Millisecond
	minWay        = 500 * time.Microsecond
	maxWay        = 9 * time.Millisecond  // between regions
	lookPoll      = 10 * time.Millisecond // between checks for an end
	minLate       = 2 * time.Second       // of an order that is carried out late
	maxLate       = 12 * time.Second
	racks         = 6
	clockDrift    = 0.02
	maxOrigin     = 1e7 // ms; the clocks of two incarnations differ by hours either way
	kindsOfTarget = 4
)

// sizes are the capacities of targets against the usual one.
var sizes = [kindsOfTarget]float64{1, 1, 0.5, 2}

func (s *Simulation) addHost() {
	n := s.hosts
	s.hosts++
	h := &host{address: fmt.Sprintf("10.1.0.%d:8080", n+1), number: n}
	s.targets = append(s.targets, h)
	s.bear(h, tracker.TargetID(fmt.Sprintf("t%d", n+1)))
}

// bear begins a life at a host. Its kind may be another one each time.
func (s *Simulation) bear(h *host, id tracker.TargetID) {
	size, rack := cmp.Or(s.Size, sizes[h.number%kindsOfTarget]), fmt.Sprintf("r%d", h.number%racks)
	kind := fmt.Sprintf("k%d", (h.number+len(s.byID))%2)
	t := &emulator.Target{
		Record: tracker.Target{
			ID: id, Address: h.address, Zone: "a", Pool: poolName, Rack: rack,
			Labels:   []string{kind, rack},
			Capacity: registrar.Need{CPU: registrar.MilliCPU(16000 * size), Memory: registrar.MiB(32768 * size)},
		},
		Rate: 1 - clockDrift*s.rand.Float64(), Limits: limits, World: s.world,
		Origin: planner.ClockMillis(draw(uint64(s.Seed), fmt.Sprint("clock of ", h.number, s.now.UnixNano())) * maxOrigin),
	}
	t.Limits.Listed = s.Listed
	t.Begin(tracker.Incarnation(registrar.MillisOf(s.now)), s.now)
	if old := h.target; old != nil {
		delete(s.byID, old.Record.ID)
	}
	h.target, h.draining, h.sequence = t, false, 0
	s.trace("%s lives at %s", id, h.address)
	s.byID[id] = h
	s.in(s.between(0, 300*time.Millisecond), func() { s.beat(h, t) })
}

// beat announces a target, again and again while it lives.
func (s *Simulation) beat(h *host, t *emulator.Target) {
	if h.target != t || t.Down() || h.gone {
		return
	}
	h.sequence++
	t.Record.Draining = h.draining
	a := &planner.Announcement{Target: t.Record, Clock: t.Clock(s.now), Sequence: h.sequence, DrainLeft: max(h.drainEnd.Sub(s.now), 0)}
	delay := s.between(minWay, maxWay)
	if s.late() {
		delay = s.between(minLate, maxLate)
	}
	if !h.cut {
		s.in(delay, func() { s.tell(func(p *planner.Planner, now planner.Moment) { p.Announce(a, func() {}, now) }) })
	}
	s.in(beatInterval, func() { s.beat(h, t) })
}

// late reports whether a call is one of those that are carried out late.
func (s *Simulation) late() bool { return !s.quiet() && s.rand.Float64() < s.Faults.Late }

// lost reports whether a call or its answer gets lost.
func (s *Simulation) lost() bool { return !s.quiet() && s.rand.Float64() < s.Faults.Lost }

func (s *Simulation) carryOut(actions []planner.Action) {
	for _, a := range actions {
		switch {
		case a.Done != nil:
			a.Done()
		case a.Start != nil:
			s.start(a.Start)
		case a.Stop != nil:
			s.stop(a.Stop)
		case a.Poll != nil:
			s.look(a.Poll)
		case a.TicketRequest != nil:
			s.ask(a.TicketRequest)
		}
	}
}

// deliver carries a call to a target and its answer back. Serve runs at the
// target; answered or missed follows at the leader.
func (s *Simulation) deliver(to *planner.Destination, timeout time.Duration, serve func(*host) (answer func())) {
	l := s.leader
	missed := func(report func()) { s.in(timeout, report) }
	h := s.byAddress(to.Address)
	way := s.between(minWay, maxWay)
	s.in(way, func() {
		if h == nil || h.cut || h.deaf || h.target.Down() || s.lost() {
			missed(func() { s.miss(l, serve) })
			return
		}
		if s.late() {
			s.faultAt = s.now
			t, life := h.target, h.target.Record.Incarnation
			s.in(s.between(minLate, maxLate), func() {
				if !t.Down() && h.target == t && t.Record.Incarnation == life {
					t.Late = true
					serve(h)
					t.Late = false
				}
			})
			missed(func() { s.miss(l, serve) })
			return
		}
		answer := serve(h)
		if s.lost() {
			missed(func() { s.miss(l, serve) })
			return
		}
		s.in(s.between(minWay, maxWay), func() {
			if s.hears(l) {
				answer()
			}
		})
	})
}

// hears reports whether the present leader gets the answers to calls of a
// leadership: it is that one, or a later one of the same replica.
func (s *Simulation) hears(l *leadership) bool {
	return s.leader != nil && s.leader.replica == l.replica
}

// miss tells the leader that a call was not answered.
func (s *Simulation) miss(l *leadership, serve func(*host) func()) {
	if s.hears(l) {
		serve(nil)()
	}
}

func (s *Simulation) byAddress(address string) *host {
	for _, h := range s.targets {
		if h.address == address && !h.gone {
			return h
		}
	}
	return nil
}

func (s *Simulation) start(o *planner.StartOrder) {
	sent := s.now
	s.deliver(&o.To, o.Limit, func(h *host) func() {
		r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Sent: sent, Limit: o.Limit}
		if h != nil {
			r.Answered = true
			r.Refusal, r.Clock = h.target.Start(o, s.now)
			s.trace("start of %s run %d token %x at %s (%s): %s", o.Task, o.Number, o.To.Token, h.target.Record.ID, o.To.Target, r.Refusal)
		}
		return func() {
			r.Received = s.now
			s.tell(func(p *planner.Planner, now planner.Moment) { p.OrderReported(r, now) })
		}
	})
}

func (s *Simulation) stop(o *planner.StopOrder) {
	sent := s.now
	s.deliver(&o.To, o.Limit, func(h *host) func() {
		r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Stop: true, Sent: sent, Limit: o.Limit}
		if h != nil {
			r.Answered = true
			r.Refusal, r.Clock = h.target.Stop(o, s.now)
			s.trace("stop of %s run %d token %x at %s (%s): %s", o.Task, o.Number, o.To.Token, h.target.Record.ID, o.To.Target, r.Refusal)
		}
		return func() {
			r.Received = s.now
			s.tell(func(p *planner.Planner, now planner.Moment) { p.OrderReported(r, now) })
		}
	})
}

func (s *Simulation) look(o *planner.PollOrder) {
	l, sent := s.leader, s.now
	report := func(r *planner.PollReport) {
		if !s.hears(l) {
			return
		}
		r.Target, r.Incarnation, r.Token, r.Sent, r.Received = o.To.Target, o.To.Incarnation, o.To.Token, sent, s.now
		r.Limit = o.Wait + o.Limit
		s.tell(func(p *planner.Planner, now planner.Moment) { p.PollReported(r, now) })
	}
	miss := func() { s.in(o.Wait+o.Limit, func() { report(&planner.PollReport{}) }) }
	s.in(s.between(minWay, maxWay), func() {
		h := s.byAddress(o.To.Address)
		if h == nil || h.cut || h.deaf || h.target.Down() || s.lost() {
			miss()
			return
		}
		if s.late() {
			t, life := h.target, h.target.Record.Incarnation
			s.in(s.between(minLate, maxLate), func() {
				if !t.Down() && h.target == t && t.Record.Incarnation == life {
					t.Hold(o, s.now)
				}
			})
			miss()
			return
		}
		t := h.target
		s.trace("look token %x cursor %d at %s (%s)", o.To.Token, o.Cursor, t.Record.ID, o.To.Target)
		if refusal := t.Hold(o, s.now); refusal != planner.NotRefused {
			r := &planner.PollReport{Answered: true, Refusal: refusal}
			s.in(s.between(minWay, maxWay), func() { report(r) })
			return
		}
		s.awaitEnd(h, t, s.now.Add(o.Wait), func(r *planner.PollReport) {
			if r == nil || h.cut || s.lost() {
				s.in(o.Limit, func() { report(&planner.PollReport{}) })
				return
			}
			s.in(s.between(minWay, maxWay), func() { report(r) })
		})
	})
}

// awaitEnd answers a look when something has ended or the wait is over.
func (s *Simulation) awaitEnd(h *host, t *emulator.Target, until time.Time, done func(*planner.PollReport)) {
	if h.target != t || t.Down() {
		done(nil)
		return
	}
	t.Advance(s.now)
	if t.HasEnds() || !s.now.Before(until) {
		r := &planner.PollReport{Answered: true}
		t.List(r, s.now)
		done(r)
		return
	}
	s.in(min(lookPoll, until.Sub(s.now)), func() { s.awaitEnd(h, t, until, done) })
}

// ask answers a question for tickets: the service handles one call at a time
// for each daemon, and admits a target to a step or not, for good.
func (s *Simulation) ask(o *planner.TicketRequest) {
	q := s.document.Queues[s.jobs[o.Step.Job].kind]
	begin := s.now
	if busy := s.advisers[o.Proxy]; busy.After(begin) {
		begin = busy
	}
	end := begin.Add(q.Licence.BaseLatency + time.Duration(len(o.Targets))*q.Licence.LatencyPerTarget)
	s.advisers[o.Proxy] = end
	r := &planner.TicketReport{ID: o.ID, Answered: true, Admitted: make(map[tracker.TargetID]string)}
	for _, id := range o.Targets {
		if s.admits(o.Step, id) {
			r.Admitted[id] = "ticket"
		}
	}
	l := s.leader
	s.in(end.Sub(s.now), func() {
		if s.hears(l) {
			s.tell(func(p *planner.Planner, now planner.Moment) { p.TicketsReported(r, now) })
		}
	})
}

// admits reports whether the licensing service lets a step run on a target. At
// least one host is admitted, and most are for a gang, so that each step can run.
func (s *Simulation) admits(step definer.StepID, id tracker.TargetID) bool {
	c := s.jobs[step.Job]
	always := int(draw(uint64(s.Seed), step.String()) * float64(len(s.targets)))
	if s.byID[id] == s.targets[always] || c.def.Steps[step.Step].Gang {
		return true
	}
	return draw(uint64(s.Seed), step.String()+string(id)) < s.Mix[c.kind].Admitted
}
