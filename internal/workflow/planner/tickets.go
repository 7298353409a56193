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
	text    string
	expires time.Time
}

func (t ticket) valid(now Moment) bool { return t.text != "" && now.Steady.Before(t.expires) }

// ticketMargin is kept before a ticket lapses, for the commit of the start and
// its way to the target.
const ticketMargin = 250 * time.Millisecond

// licenceProxy is a daemon through which the service is called.
type licenceProxy struct {
	id        AdviserID
	busyUntil time.Time // by the declared times of the calls before
	calls     int
	late      int // answers missing beyond their time, in a row
}

// ticketRequest is a call of the service.
type ticketRequest struct {
	id       AskID
	step     *step // nil: it has ended
	targets  []tracker.TargetID
	proxy    *licenceProxy
	deadline time.Time
	overdue  bool // the step asks again; an answer is still of use
}

// AddAdviser lets the service be called through a daemon.
func (p *Planner) AddAdviser(id AdviserID, now Moment) {
	if p.licenceProxies[id] == nil {
		p.licenceProxies[id] = &licenceProxy{id: id, busyUntil: now.Steady}
		p.dirty = true
	}
}

// RemoveAdviser is called when a daemon can't be reached any more.
func (p *Planner) RemoveAdviser(id AdviserID, now Moment) {
	delete(p.licenceProxies, id)
	for _, a := range p.sortedRequests() {
		if a.proxy.id == id {
			p.failRequest(a, now)
		}
	}
}

const (
	maxTargetsPerRequest = 100                    // targets in one call; the service takes no more
	maxCallsPerProxy     = 16                     // waiting calls through one daemon; the service takes 32
	maxProxyBacklog      = 250 * time.Millisecond // declared time of the calls before; a leader that begins has few daemons at first
	requestMargin        = 250 * time.Millisecond // over the declared time: a dozen round trips between regions
	requestExpiry        = 10 * time.Second       // an answer that is later than this is of no use
	requestRetry         = 100 * time.Millisecond // pause after a call that failed
	lateProxyPause       = 2 * time.Second        // a daemon whose answers are late is passed over for this long
	targetsPerTask       = 3                      // targets named for each that is needed, when it is not known which are admitted
	minTargetsPerRequest = 8
)

// requestTickets calls the service for a step that waits for tickets.
func (p *Planner) requestTickets(s *step, pl *pool, tasks int, now Moment) {
	if s.pendingRequest != 0 || p.proxiesFull || now.Steady.Before(s.requestAfter) {
		return
	}
	proxy := p.leastLoadedProxy(now)
	if proxy == nil || proxy.busyUntil.Sub(now.Steady) > maxProxyBacklog {
		p.proxiesFull = true // one of them will be free sooner than its last answer comes
		return
	}
	named := p.candidates(s, pl, tasks, now)
	if len(named) == 0 {
		named = p.preemptionTargets(s, pl, tasks, now)
	}
	if len(named) == 0 {
		return
	}
	l := s.job.rec.Queue.Licence
	cost := l.Base + time.Duration(len(named))*l.Each
	begin := proxy.busyUntil
	if begin.Before(now.Steady) {
		begin = now.Steady
	}
	proxy.busyUntil = begin.Add(cost)
	proxy.calls++
	p.lastRequest++
	a := &ticketRequest{id: p.lastRequest, step: s, targets: named, proxy: proxy, deadline: proxy.busyUntil.Add(requestMargin)}
	p.ticketRequests[a.id] = a
	s.pendingRequest = a.id
	p.Counters.TicketRequests++
	p.doNow(Action{Ask: &AskOrder{ID: a.id, Through: proxy.id, Step: s.id, Targets: named}})
}

func (p *Planner) leastLoadedProxy(now Moment) *licenceProxy {
	var best *licenceProxy
	for _, a := range p.licenceProxies {
		if a.calls >= maxCallsPerProxy {
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
	for _, t := range p.poolScan(pl, now).schedulable {
		admitted, asked := s.admitted[t.rec.ID]
		if asked && !admitted || s.tickets[t.rec.ID].valid(now) || !p.isFeasible(s, pl, t, now) {
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
		n = max(missing*targetsPerTask, minTargetsPerRequest)
	}
	named := append(known, unknown[:min(len(unknown), n)]...)
	return idsOf(named[:min(len(named), maxTargetsPerRequest)])
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
	a := p.ticketRequests[r.ID]
	if a == nil {
		return
	}
	if !r.Answered {
		p.failRequest(a, now)
		return
	}
	p.removeRequest(a)
	a.proxy.late = 0
	s := a.step
	if s == nil {
		return
	}
	if s.pendingRequest == a.id {
		s.pendingRequest = 0
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

func (p *Planner) sortedRequests() []*ticketRequest {
	out := make([]*ticketRequest, 0, len(p.ticketRequests))
	for _, id := range slices.Sorted(maps.Keys(p.ticketRequests)) {
		out = append(out, p.ticketRequests[id])
	}
	return out
}

func (p *Planner) removeRequest(a *ticketRequest) {
	delete(p.ticketRequests, a.id)
	a.proxy.calls--
}

func (p *Planner) failRequest(a *ticketRequest, now Moment) {
	p.removeRequest(a)
	p.log("no answer about tickets", "ask", int64(a.id), "through", a.proxy.id, "targets", len(a.targets))
	p.releaseStep(a, now.Steady.Add(requestRetry))
}

// releaseStep lets the step of a call ask again.
func (p *Planner) releaseStep(a *ticketRequest, after time.Time) {
	if a.step == nil || a.step.pendingRequest != a.id {
		return
	}
	a.step.pendingRequest = 0
	a.step.requestAfter = after
	p.dirty = true
}

// checkTicketRequests lets steps ask through other daemons when an answer is overdue.
func (p *Planner) checkTicketRequests(now Moment) {
	for _, a := range p.sortedRequests() {
		switch {
		case now.Steady.Sub(a.deadline) > requestExpiry:
			p.removeRequest(a)
		case !a.overdue && now.Steady.After(a.deadline):
			a.overdue = true
			a.proxy.late++
			pause := now.Steady.Add(lateProxyPause)
			if a.proxy.busyUntil.Before(pause) {
				a.proxy.busyUntil = pause
			}
			p.log("answer about tickets is overdue", "ask", int64(a.id), "through", a.proxy.id, "late", a.proxy.late)
			p.releaseStep(a, now.Steady)
		}
	}
}

// dropTicket forgets a ticket that a target did not take.
func (p *Planner) dropTicket(r *run) {
	if s := p.steps[r.key.task.Of()]; s != nil {
		delete(s.tickets, r.target.rec.ID)
	}
}
