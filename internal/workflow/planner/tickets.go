package planner

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/selector"
	"masticroad/internal/workflow/tracker"
)

// This file requests tickets from the licensing service. The service handles one
// call at a time for each daemon that calls it, so a call goes through the daemon
// with the smallest backlog. Which targets admit a step never changes, but tickets
// expire. As only some targets admit a step, a request names several times as many
// targets as the step has waiting tasks, best-scored first.

// ticketMargin is subtracted from the validity of a ticket, for the commit of the
// start and the transmission of the order.
const ticketMargin = 250 * time.Millisecond

// isUsable reports whether a start that is decided now reaches its target with a valid ticket.
// A late leader takes its lag for the commit, and once more for the order.
func (p *Planner) isUsable(t *ticket, now Moment) bool {
	return t.validFor(2*p.lag.present(now.Monotonic), now)
}

// licenceProxy is a daemon through which the licensing service is called.
type licenceProxy struct {
	id        LicenceProxyID
	busyUntil time.Time // according to the declared durations of the calls so far
	calls     int
	late      int // overdue answers in a row
	place     int // in Planner.proxyQueue; -1: removed
}

// ticketRequest is a pending call to the licensing service.
type ticketRequest struct {
	id       TicketRequestID
	step     *step // nil: it has ended
	targets  []tracker.TargetID
	proxy    *licenceProxy
	deadline time.Time
	long     bool // it counts in Planner.longCalls
	overdue  bool // the step may send another request; a late answer is still used
}

// AddLicenceProxy adds a daemon through which the licensing service can be called.
func (p *Planner) AddLicenceProxy(id LicenceProxyID, now Moment) {
	if p.licenceProxies[id] == nil {
		p.licenceProxies[id] = &licenceProxy{id: id, busyUntil: now.Monotonic}
		heap.Push(&p.proxyQueue, p.licenceProxies[id])
		p.dirty = true
	}
}

// RemoveLicenceProxy removes a daemon that has become unreachable.
func (p *Planner) RemoveLicenceProxy(id LicenceProxyID, now Moment) {
	if a := p.licenceProxies[id]; a != nil {
		heap.Remove(&p.proxyQueue, a.place)
		delete(p.licenceProxies, id)
	}
	for _, a := range p.sortedRequests() {
		if a.proxy.id == id {
			p.failRequest(a, now)
		}
	}
}

const (
	maxTargetsPerRequest = 100                    // the service accepts no more
	maxCallsPerProxy     = 16                     // pending calls; the service accepts 32
	maxProxyBacklog      = 250 * time.Millisecond // declared duration of the pending calls; a new leader has few proxies at first
	requestMargin        = 250 * time.Millisecond // in addition to the declared duration and twice the lag of this leader: a dozen round trips between regions
	requestExpiry        = 10 * time.Second       // an answer that is later than this is useless
	requestRetry         = 100 * time.Millisecond // pause after a failed call
	unreadableRetry      = time.Second            // pause after an answer that can't be read as a whole
	lateProxyPause       = 2 * time.Second        // a proxy with an overdue answer is avoided for this long
	targetsPerTask       = 3                      // targets named per task while it is unknown which of them admit the step
	minTargetsPerRequest = 8
)

// requestTickets calls the licensing service for a step that waits for tickets.
func (p *Planner) requestTickets(s *step, pl *pool, tasks int, now Moment) {
	l := s.job.rec.Queue.Licence
	long := p.dividesCalls() && isLongCall(l) && !s.def.LongRunning
	if long && !p.soughtOf(pl, l.TicketValidity-ticketMargin, now).seek(s, tasks) {
		return
	}
	if s.pendingRequest != 0 && !long && p.dividesCalls() {
		p.holdRequested(s, tasks)
	}
	if s.pendingRequest != 0 || p.proxiesFull || now.Monotonic.Before(s.requestAfter) {
		return
	}
	proxy := p.leastLoadedProxy()
	if proxy == nil || proxy.busyUntil.Sub(now.Monotonic) > maxProxyBacklog {
		p.proxiesFull = true // a proxy will become free before its last answer arrives
		return
	}
	if long && !p.mayCallLong(proxy, now) {
		return
	}
	named := p.candidates(s, pl, tasks, now)
	if len(named) == 0 {
		named = p.preemptionTargets(s, pl, tasks, now)
	}
	if len(named) == 0 {
		return
	}
	cost := l.BaseLatency + time.Duration(len(named))*l.LatencyPerTarget
	begin := proxy.busyUntil
	if begin.Before(now.Monotonic) {
		begin = now.Monotonic
	}
	proxy.busyUntil = begin.Add(cost)
	proxy.calls++
	p.proxyQueue.update(proxy)
	p.lastRequest++
	if long {
		p.longCalls++
	}
	a := &ticketRequest{id: p.lastRequest, step: s, long: long, targets: named, proxy: proxy, deadline: proxy.busyUntil.Add(requestMargin + 2*p.lag.present(now.Monotonic))}
	p.ticketRequests[a.id] = a
	s.pendingRequest = a.id
	p.Counters.TicketRequests++
	if !long && p.dividesCalls() {
		p.holdRequested(s, tasks)
	}
	p.doNow(Action{TicketRequest: &TicketRequest{ID: a.id, Proxy: proxy.id, Step: s.id, Targets: named}})
}

// candidates returns the targets to name in a request: feasible targets that are
// known to admit the step, followed by feasible targets that it never asked about,
// and by full targets if the step waits for capacity that is held for it.
func (p *Planner) candidates(s *step, pl *pool, waiting int, now Moment) []tracker.TargetID {
	known := shortlist{most: min(waiting, maxTargetsPerRequest)}
	for _, t := range s.grants.admitted {
		if t.rec.Pool == pl.name && p.isFeasible(s, pl, t, now) && !p.isUsable(s.grants.ticket(t), now) {
			known.add(option{t.rec.ID, p.score(s, t, now)})
		}
	}
	missing := waiting - len(known.options)
	n := 0
	if missing > 0 {
		n = max(missing*targetsPerTask, minTargetsPerRequest)
	}
	named := append(known.options, p.unknownCandidates(s, pl, min(n, maxTargetsPerRequest), now)...)
	if s.holding || p.dividesCalls() && isLongCall(s.job.rec.Queue.Licence) && len(named) < waiting+n {
		named = append(named, p.fullCandidates(s, pl, waiting, now)...)
	}
	return idsOf(named[:min(len(named), maxTargetsPerRequest)])
}

// unknownCandidates returns up to n feasible targets that were never asked about. It skips
// targets that are worse than those whatever their health is.
func (p *Planner) unknownCandidates(s *step, pl *pool, n int, now Moment) []option {
	v, found := p.poolScan(pl, now), shortlist{most: n}
	if n == 0 {
		return nil
	}
	consider := func(t *target) {
		if s.grants.of(t) == unasked && p.isFeasible(s, pl, t, now) {
			found.add(option{t.rec.ID, p.score(s, t, now)})
		}
	}
	for _, t := range v.charged {
		consider(t)
	}
	charge := s.def.Charge()
	var alike *roomyTarget // the first of those before this one with the same capacity left
	least, excluded := 0.0, false
	for x := range v.tightest(charge) {
		if !s.def.BestEffortCPU { // these are scored otherwise
			if alike == nil || !x.isLike(alike) {
				if found.excludes(option{x.rec.ID, v.shareOfLargest(x.cpu - charge.CPU)}) {
					break
				}
				alike, least, excluded = x, x.leastScore(charge), false
			}
			// Of targets that are alike, those after one that is excluded are too, by their ids.
			if excluded = excluded || found.excludes(option{x.rec.ID, least}); excluded {
				continue
			}
		}
		if x.chargedIn != v {
			consider(x.target)
		}
	}
	return found.options
}

// option is a target that may be named in a request; lower cost is better.
type option struct {
	id   tracker.TargetID
	cost float64
}

// compareOptions orders options by their cost, ties by id.
func compareOptions(a, b option) int {
	return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.id, b.id))
}

// bestOptions returns the n options with the lowest cost in order. It reorders options.
func bestOptions(options []option, n int) []option {
	return selector.Smallest(options, n, compareOptions)
}

// shortlist holds the options with the lowest cost in order.
type shortlist struct {
	most    int
	options []option
}

// excludes reports whether an option is worse than all that are held.
func (l *shortlist) excludes(o option) bool {
	n := len(l.options)
	return n >= l.most && (n == 0 || compareOptions(o, l.options[n-1]) > 0)
}

func (l *shortlist) add(o option) {
	if l.excludes(o) {
		return
	}
	i, _ := slices.BinarySearchFunc(l.options, o, compareOptions)
	l.options = slices.Insert(l.options, i, o)
	l.options = l.options[:min(len(l.options), l.most)]
}

func idsOf(options []option) []tracker.TargetID {
	ids := make([]tracker.TargetID, len(options))
	for i, o := range options {
		ids[i] = o.id
	}
	return ids
}

// TicketsReported handles the outcome of a ticket request.
func (p *Planner) TicketsReported(r *TicketReport, now Moment) {
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
	s.grants.expire(now)
	if s.pendingRequest == a.id {
		s.pendingRequest = 0
	}
	if r.Unreadable > 0 {
		p.log("answer about tickets has rows that can't be read", "ask", int64(a.id), "rows", r.Unreadable, "tickets", len(r.Admitted))
		s.requestAfter = now.Monotonic.Add(unreadableRetry)
	}
	valid, received := s.job.rec.Queue.Licence.TicketValidity-ticketMargin, r.Received
	if received.IsZero() {
		received = now.Monotonic
	}
	p.lag.observe(now.Monotonic.Sub(received), now.Monotonic)
	for _, id := range a.targets {
		t := p.targets[id]
		text, ok := r.Admitted[id]
		switch {
		case t == nil || !ok && r.Unreadable > 0:
		case ok:
			s.grants.add(ticket{t, text, received.Add(valid)})
		default:
			s.grants.drop(t)
			s.grants.record(t, refused)
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
	p.proxyQueue.update(a.proxy)
	if a.long {
		p.longCalls--
	}
}

func (p *Planner) failRequest(a *ticketRequest, now Moment) {
	p.removeRequest(a)
	p.log("ticket request failed", "ask", int64(a.id), "through", a.proxy.id, "targets", len(a.targets))
	p.releaseStep(a, now.Monotonic.Add(requestRetry))
}

// releaseStep allows the step of a request to send another one after a time.
func (p *Planner) releaseStep(a *ticketRequest, after time.Time) {
	if a.step == nil || a.step.pendingRequest != a.id {
		return
	}
	a.step.pendingRequest = 0
	a.step.requestAfter = after
	p.dirty = true
}

// checkTicketRequests allows steps with an overdue answer to send another request
// through another proxy, and drops expired requests.
func (p *Planner) checkTicketRequests(now Moment) {
	for _, a := range p.sortedRequests() {
		switch {
		case now.Monotonic.Sub(a.deadline) > requestExpiry:
			p.removeRequest(a)
		case !a.overdue && now.Monotonic.After(a.deadline):
			a.overdue = true
			a.proxy.late++
			pause := now.Monotonic.Add(lateProxyPause)
			if a.proxy.busyUntil.Before(pause) {
				a.proxy.busyUntil = pause
				p.proxyQueue.update(a.proxy)
			}
			p.log("answer about tickets is overdue", "ask", int64(a.id), "through", a.proxy.id, "late", a.proxy.late)
			p.releaseStep(a, now.Monotonic)
		}
	}
}

// forgetTickets drops what the licensing service has said of a target, and ignores what
// it was asked before: a ticket is valid for one incarnation, and the next one may be of
// another kind.
func (p *Planner) forgetTickets(id tracker.TargetID) {
	if t := p.targets[id]; t != nil {
		for _, s := range p.steps {
			s.grants.forget(t)
		}
	}
	for _, a := range p.ticketRequests {
		if slices.Contains(a.targets, id) {
			a.targets = slices.DeleteFunc(slices.Clone(a.targets), func(x tracker.TargetID) bool { return x == id })
		}
	}
}

// dropTicket drops a ticket that a target rejected.
func (p *Planner) dropTicket(r *run) {
	if s := p.steps[r.key.task.StepID()]; s != nil {
		s.grants.drop(r.target)
	}
}
