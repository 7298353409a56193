package planner

import (
	"slices"
	"time"
)

// This file holds what the licensing service has said of a step. A pass reads it for
// thousands of pairs of steps and targets, so that it is indexed by a number of the
// target in place of its id.

// slot numbers a target among those of a leader. It is used again after its removal.
type slot int

// verdicts of the licensing service on a target.
type admission uint8

const (
	unasked admission = iota
	refused
	admitted
)

// ticket permits a step's tasks to start on a target.
type ticket struct {
	target  *target
	text    string
	expires time.Time
}

func (t *ticket) valid(now Moment) bool { return t.validFor(0, now) }

// validFor reports whether a ticket will be valid for another while. There may be none.
func (t *ticket) validFor(d time.Duration, now Moment) bool {
	return t != nil && now.Monotonic.Add(d).Before(t.expires)
}

// grants holds the verdicts and tickets of a step.
type grants struct {
	verdicts []admission // by slot; shorter if the last ones are unasked
	tickets  []ticket    // at most one of a target
	admitted []*target   // those with that verdict
}

// of returns the verdict on a target.
func (g *grants) of(t *target) admission {
	if int(t.slot) >= len(g.verdicts) {
		return unasked
	}
	return g.verdicts[t.slot]
}

// mayAdmit reports whether a target is not known to be refused.
func (g *grants) mayAdmit(t *target) bool { return g.of(t) != refused }

// ticket returns the ticket for a target, or nil.
func (g *grants) ticket(t *target) *ticket {
	if g.of(t) != admitted {
		return nil
	}
	for i := range g.tickets {
		if g.tickets[i].target == t {
			return &g.tickets[i]
		}
	}
	return nil
}

// text returns the text of the ticket for a target, or an empty one.
func (g *grants) text(t *target) string {
	if x := g.ticket(t); x != nil {
		return x.text
	}
	return ""
}

// record records a verdict on a target.
func (g *grants) record(t *target, a admission) {
	if missing := int(t.slot) + 1 - len(g.verdicts); missing > 0 {
		g.verdicts = append(g.verdicts, make([]admission, missing)...)
	}
	switch before := g.verdicts[t.slot]; {
	case before == a:
	case a == admitted:
		g.admitted = append(g.admitted, t)
	case before == admitted:
		g.leaveAdmitted(t)
	}
	g.verdicts[t.slot] = a
}

// leaveAdmitted removes a target from those that are admitted.
func (g *grants) leaveAdmitted(t *target) {
	g.admitted = slices.DeleteFunc(g.admitted, func(x *target) bool { return x == t })
}

// add records a ticket, which replaces an earlier one.
func (g *grants) add(x ticket) {
	g.record(x.target, admitted)
	if old := g.ticket(x.target); old != nil {
		*old = x
		return
	}
	g.tickets = append(g.tickets, x)
}

// drop removes the ticket for a target. Only one that is admitted has any.
func (g *grants) drop(t *target) {
	if g.of(t) != admitted {
		return
	}
	g.tickets = slices.DeleteFunc(g.tickets, func(x ticket) bool { return x.target == t })
}

// forget removes all that is known of a target.
func (g *grants) forget(t *target) {
	if g.of(t) != unasked {
		g.drop(t)
		g.record(t, unasked)
	}
}

// expire removes the tickets that are no longer valid.
func (g *grants) expire(now Moment) {
	g.tickets = slices.DeleteFunc(g.tickets, func(x ticket) bool { return !x.valid(now) })
}

// takeSlot returns a slot for a target that is added.
func (p *Planner) takeSlot() slot {
	if n := len(p.freeSlots); n > 0 {
		s := p.freeSlots[n-1]
		p.freeSlots = p.freeSlots[:n-1]
		return s
	}
	p.slots++
	return p.slots - 1
}

// returnSlot frees the slot of a target that is removed.
func (p *Planner) returnSlot(t *target) {
	for _, s := range p.steps {
		s.grants.forget(t)
	}
	p.freeSlots = append(p.freeSlots, t.slot)
}
