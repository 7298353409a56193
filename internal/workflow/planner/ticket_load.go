package planner

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file divides the calls to the licensing service while more steps wait than there is
// room for. The service handles one call at a time for each daemon, and the calls of some
// queues take twenty times as long as those of others. The load that it answers: batch steps
// that wait in a full pool all ask for the same few targets, again whenever their tickets
// expire, so that urgent steps wait for calls although there is room for them.
//
// Long calls go to idle daemons only, and leave some daemons to short ones. Steps make long
// calls in the order of their placement, up to the capacity that is free or becomes free
// while their tickets are valid, and then for full targets too, so that one call serves
// several ends of runs. It applies while a document declares workspaces.

const (
	// longCall is the declared duration above which a call counts as long: urgent steps
	// behind one would wait for a good part of their objective.
	longCall = 100 * time.Millisecond
	// shortCallShare tells of how many daemons one is left to short calls.
	shortCallShare = 4
	// ampleShare is the free part of a pool from which on any step may make a call. Steps that wait
	// for certain targets may hold back others that could start.
	ampleShare = 0.3
)

// sought is the capacity that a pass has found to be sought with tickets.
type sought struct {
	room  amount // free, or released while a ticket is valid
	taken amount // by the steps that were placed before, in order
	ample bool   // a good part of the pool is free, so that what is sought may not be what is found
}

// dividesCalls reports whether calls to the licensing service are divided.
func (p *Planner) dividesCalls() bool { return p.divides() && !p.without(WithoutCallDivision) }

func isLongCall(l definer.Licence) bool { return l.BaseLatency > longCall }

// mayCallLong reports whether a daemon takes a long call.
func (p *Planner) mayCallLong(proxy *licenceProxy, now Moment) bool {
	return !proxy.busyUntil.After(now.Monotonic) && p.longCalls < len(p.licenceProxies)-len(p.licenceProxies)/shortCallShare
}

// soughtOf returns what is sought in a pool, for steps whose tickets are valid for a while.
func (p *Planner) soughtOf(pl *pool, validity time.Duration, now Moment) *sought {
	x := p.sought[pl.name]
	if x != nil {
		return x
	}
	x = &sought{}
	out := p.outlookOf(pl.name, now)
	for _, f := range out.flows {
		x.room.add(f.released, validity.Seconds())
	}
	var free, capacity amount
	for _, t := range p.poolScan(pl, now).roomy {
		free.add(amountOf(t.free().Max(registrar.Need{}), 1), 1)
		capacity.add(amountOf(t.rec.Capacity, 1), 1)
	}
	x.room.add(free, 1)
	x.ample = free[0] >= capacity[0]*ampleShare && free[1] >= capacity[1]*ampleShare
	p.sought[pl.name] = x
	return x
}

// holdRequested holds capacity for a step on the targets of its pending request until the next
// pass. Without that, steps of lower priority that have tickets already take the room while a
// short call is on its way.
func (p *Planner) holdRequested(s *step, tasks int) {
	a := p.ticketRequests[s.pendingRequest]
	if a == nil || s.def.LongRunning {
		return
	}
	for _, id := range a.targets[:min(len(a.targets), tasks*requestedHolds)] {
		if t := p.targets[id]; t != nil {
			t.held = t.held.Plus(s.def.Charge())
			p.holding = append(p.holding, t)
		}
	}
}

// requestedHolds is on how many targets capacity is held for each task: not all of them admit it.
const requestedHolds = 2

// seek counts the tasks of a step that wait, and reports whether the room sufficed for the
// first of them.
func (x *sought) seek(s *step, tasks int) bool {
	need := amountOf(s.def.Charge(), 1)
	fits := true
	if x.ample {
		return true
	}
	for i := range need {
		fits = fits && (need[i] == 0 || x.taken[i]+need[i] <= x.room[i])
	}
	x.taken.add(need, float64(tasks))
	return fits
}
