package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file obtains tickets from the licensing service. The service handles one
// call at a time for each daemon that calls it, so calls go through the daemon
// with the least work before it. Which targets a step may use never changes;
// the tickets lapse. Example: a step with 8 waiting tasks names the 24 targets
// with most room, learns that 8 of them are admitted, and starts there.

// ticket lets a step's tasks start on a target.
type ticket struct {
	text  string
	until time.Time
}

func (t ticket) valid(now Moment) bool { return t.text != "" && now.Steady.Before(t.until) }

// ticketMargin is kept before a ticket lapses, for the commit of the start and
// its way to the target.
const ticketMargin = 250 * time.Millisecond

// adviser is a daemon through which the service is called.
type adviser struct {
	id        AdviserID
	busyUntil time.Time // by the declared times of the calls before
	calls     int
	late      int // answers missing beyond their time, in a row
}

// ask is a call of the service.
type ask struct {
	id       AskID
	step     *step // nil: it has ended
	targets  []tracker.TargetID
	through  *adviser
	deadline time.Time
	overdue  bool // the step asks again; an answer is still of use
}

// AddAdviser lets the service be called through a daemon.
func (p *Planner) AddAdviser(id AdviserID, now Moment) {
	if p.advisers[id] == nil {
		p.advisers[id] = &adviser{id: id, busyUntil: now.Steady}
		p.dirty = true
	}
}

// RemoveAdviser is called when a daemon can't be reached any more.
func (p *Planner) RemoveAdviser(id AdviserID, now Moment) {
	delete(p.advisers, id)
	for _, a := range p.sortedAsks() {
		if a.through.id == id {
			p.failAsk(a, now)
		}
	}
}

const (
	maxNamed     = 100                    // targets in one call; the service takes no more
	maxCalls     = 16                     // waiting calls through one daemon; the service takes 32
	maxAskQueue  = 250 * time.Millisecond // declared time of the calls before; a leader that begins has few daemons at first
	askMargin    = 250 * time.Millisecond // over the declared time: a dozen round trips between regions
	askForget    = 10 * time.Second       // an answer that is later than this is of no use
	askRetry     = 100 * time.Millisecond // pause after a call that failed
	latePause    = 2 * time.Second        // a daemon whose answers are late is passed over for this long
	nearEnough   = 3                      // targets named for each that is needed, when it is not known which are admitted
	namedAtLeast = 8
)

// askTickets calls the service for a step that waits for tickets.
func (p *Planner) askTickets(s *step, pl *pool, tasks int, now Moment) {
	if s.asking != 0 || p.asksFull || now.Steady.Before(s.askAfter) {
		return
	}
	through := p.leastBusy(now)
	if through == nil || through.busyUntil.Sub(now.Steady) > maxAskQueue {
		p.asksFull = true // one of them will be free sooner than its last answer comes
		return
	}
	named := p.candidates(s, pl, tasks, now)
	if len(named) == 0 {
		named = p.preemptable(s, pl, tasks, now)
	}
	if len(named) == 0 {
		return
	}
	l := s.job.rec.Queue.Licence
	cost := l.Base + time.Duration(len(named))*l.Each
	begin := through.busyUntil
	if begin.Before(now.Steady) {
		begin = now.Steady
	}
	through.busyUntil = begin.Add(cost)
	through.calls++
	p.nextAsk++
	a := &ask{id: p.nextAsk, step: s, targets: named, through: through, deadline: through.busyUntil.Add(askMargin)}
	p.asks[a.id] = a
	s.asking = a.id
	p.Counters.Asked++
	p.now(Action{Ask: &AskOrder{ID: a.id, Through: through.id, Step: s.id, Targets: named}})
}

func (p *Planner) leastBusy(now Moment) *adviser {
	var best *adviser
	for _, a := range p.advisers {
		if a.calls >= maxCalls {
			continue
		}
		if best == nil || cmp.Or(a.busyUntil.Compare(best.busyUntil), cmp.Compare(a.id, best.id)) < 0 {
			best = a
		}
	}
	return best
}

// candidates returns the targets to name in a call: those with room whose
// admission is known first, then those of which nothing is known.
func (p *Planner) candidates(s *step, pl *pool, waiting int, now Moment) []tracker.TargetID {
	var known, unknown []option
	for _, t := range p.survey(pl, now).open {
		admitted, asked := s.admitted[t.rec.ID]
		if asked && !admitted || s.tickets[t.rec.ID].valid(now) || !p.mayRun(s, pl, t, now) {
			continue
		}
		o := option{t.rec.ID, p.score(s, t, now)}
		if admitted {
			known = append(known, o)
		} else {
			unknown = append(unknown, o)
		}
	}
	slices.SortStableFunc(known, compareOptions)
	slices.SortStableFunc(unknown, compareOptions)
	known = known[:min(len(known), waiting)]
	missing := waiting - len(known)
	n := 0
	if missing > 0 {
		n = max(missing*nearEnough, namedAtLeast)
	}
	named := append(known, unknown[:min(len(unknown), n)]...)
	return idsOf(named[:min(len(named), maxNamed)])
}

// option is a target that may be named in a call, the cheaper the better.
type option struct {
	id   tracker.TargetID
	cost float64
}

func compareOptions(a, b option) int { return cmp.Compare(a.cost, b.cost) }

func idsOf(options []option) []tracker.TargetID {
	ids := make([]tracker.TargetID, len(options))
	for i, o := range options {
		ids[i] = o.id
	}
	return ids
}

// Asked takes in an answer of the service.
func (p *Planner) Asked(r *AskReport, now Moment) {
	a := p.asks[r.ID]
	if a == nil {
		return
	}
	if !r.Answered {
		p.failAsk(a, now)
		return
	}
	p.endAsk(a)
	a.through.late = 0
	s := a.step
	if s == nil {
		return
	}
	if s.asking == a.id {
		s.asking = 0
	}
	valid := s.job.rec.Queue.Licence.Valid - ticketMargin
	for _, id := range a.targets {
		text, ok := r.Admitted[id]
		s.admitted[id] = ok
		if ok {
			s.tickets[id] = ticket{text, now.Steady.Add(valid)}
		}
	}
	p.dirty = true
}

func (p *Planner) sortedAsks() []*ask {
	out := make([]*ask, 0, len(p.asks))
	for _, id := range slices.Sorted(maps.Keys(p.asks)) {
		out = append(out, p.asks[id])
	}
	return out
}

func (p *Planner) endAsk(a *ask) {
	delete(p.asks, a.id)
	a.through.calls--
}

func (p *Planner) failAsk(a *ask, now Moment) {
	p.endAsk(a)
	p.note("no answer about tickets", "ask", int64(a.id), "through", a.through.id, "targets", len(a.targets))
	p.freeAsker(a, now.Steady.Add(askRetry))
}

// freeAsker lets the step of a call ask again.
func (p *Planner) freeAsker(a *ask, after time.Time) {
	if a.step == nil || a.step.asking != a.id {
		return
	}
	a.step.asking = 0
	a.step.askAfter = after
	p.dirty = true
}

// checkAsks lets steps ask through other daemons when an answer is overdue.
func (p *Planner) checkAsks(now Moment) {
	for _, a := range p.sortedAsks() {
		switch {
		case now.Steady.Sub(a.deadline) > askForget:
			p.endAsk(a)
		case !a.overdue && now.Steady.After(a.deadline):
			a.overdue = true
			a.through.late++
			pause := now.Steady.Add(latePause)
			if a.through.busyUntil.Before(pause) {
				a.through.busyUntil = pause
			}
			p.note("answer about tickets is overdue", "ask", int64(a.id), "through", a.through.id, "late", a.through.late)
			p.freeAsker(a, now.Steady)
		}
	}
}

// dropTicket forgets a ticket that a target did not take.
func (p *Planner) dropTicket(r *run) {
	if s := p.steps[r.key.task.Of()]; s != nil {
		delete(s.tickets, r.target.rec.ID)
	}
}
