package relayer

import (
	"maps"
	"slices"

	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file keeps the calls that wait for their replies, and knows of each whether a
// leader may have taken it. A call may be sent several times, over one link after another.

// pending is a call without a reply. The relayer's mutex guards it.
type pending struct {
	call leader.Call
	done chan leader.Reply
	on   *link // that it was written to last, until that ends or answers it
	// taken is set once a leader may have taken an earlier sending of the call, which
	// then has no answer any more.
	taken bool
}

// mayBeTaken reports whether a leader may have taken the call.
func (p *pending) mayBeTaken() bool { return p.taken || p.on != nil }

// add adds a call and queues it on the current link.
func (r *Relayer) add(call leader.Call) *pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	call.ID = r.nextID
	p := &pending{call: call, done: make(chan leader.Reply, 1)}
	r.pending[call.ID] = p
	r.send(p)
	return p
}

// forget removes a call, which is not sent any more, and reports whether a leader may
// have taken it.
func (r *Relayer) forget(p *pending) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, p.call.ID)
	return p.mayBeTaken()
}

func (r *Relayer) mayBeTaken(p *pending) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.mayBeTaken()
}

// send queues a call on the current link. If the queue is full, it cancels the link.
// The mutex is held.
func (r *Relayer) send(p *pending) {
	if r.currentLink == nil {
		return
	}
	select {
	case r.currentLink.queue <- item{call: p.call.ID}:
	default:
		r.currentLink.cancel()
	}
}

// sendPending queues all calls on the current link, the oldest first. The mutex is held.
func (r *Relayer) sendPending() {
	for _, id := range slices.Sorted(maps.Keys(r.pending)) {
		r.send(r.pending[id])
	}
}

// item is queued on a link. Exactly one field is set.
type item struct {
	call    uint64 // id of a pending call
	tickets *planner.TicketReport
}

// takeQueued returns the message of the first item and all that are queued. Calls that are
// pending no longer are left out; the others count as written from now on.
func (r *Relayer) takeQueued(l *link, first item) *leader.Up {
	m := &leader.Up{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for next := first; ; next = <-l.queue {
		if next.tickets != nil {
			m.Tickets = append(m.Tickets, *next.tickets)
		} else if p := r.pending[next.call]; p != nil && p.on != l && !l.ended {
			p.on = l
			m.Calls = append(m.Calls, p.call)
		}
		if len(l.queue) == 0 {
			return m
		}
	}
}

// unsend takes back the calls of a message that was not written.
func (r *Relayer) unsend(l *link, m *leader.Up) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range m.Calls {
		if p := r.pending[m.Calls[i].ID]; p != nil && p.on == l {
			p.on = nil
		}
	}
}

// endLink removes a link, on which nothing is sent any more. The mutex is held.
func (r *Relayer) endLink(l *link) {
	l.ended = true
	if r.currentLink == l {
		r.currentLink = nil
		r.linkLostAt = l.heardAt
	}
}

// clearLink removes a link whose stream has ended. The calls on it are sent again over
// the next link.
func (r *Relayer) clearLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endLink(l)
	r.servedLink = nil
	for _, p := range r.pending {
		if p.on == l {
			p.on, p.taken = nil, true
		}
	}
}

// drained reports whether all calls on a link are answered.
func (r *Relayer) drained(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pending {
		if p.on == l {
			return false
		}
	}
	return true
}

// deliverReply takes in a reply from a link. Only the leader to which a call was sent last
// can refuse it, as another one may take it afterwards.
func (r *Relayer) deliverReply(l *link, reply leader.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pending[reply.ID]
	if p == nil || p.on != l && reply.Verdict != planner.Accepted {
		return
	}
	p.on = nil
	if reply.Verdict == planner.Uncertain && !reply.NotTaken {
		p.taken = true
	}
	delete(r.pending, reply.ID) // it is not sent again, as its answer is final or its caller's loop repeats it
	p.done <- reply
}
