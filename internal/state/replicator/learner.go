package replicator

import (
	"slices"
	"time"
)

// This file holds learners and the replacement of voters. A learner follows
// the log without a vote. A durable learner that has caught up becomes a voter
// in place of a voter of the same daemon whose data folder was lost. Example:
// vm3.1 is a silent voter, vm3.2 a learner at the leader's position: the
// leader adds vm3.2, and once that is committed removes vm3.1.
//
// With open membership, every durable learner that has caught up becomes a
// voter, and a silent voter is removed when that makes majorities smaller.
// Example: of six voters one is silent; without it three of five decide in
// place of four of six.

// handleJoin lets a leader follow up a learner, and others pass it over.
func (c *Core) handleJoin(m Message, now time.Time) {
	if c.role != Leader {
		return
	}
	p := c.progress[m.From]
	if p == nil {
		p = c.addProgress(m.From, now)
		p.learner = !slices.Contains(c.members, m.From)
		p.next = min(m.Index, c.log.last()) + 1
	}
	p.durable = m.Durable
	p.heard = now
	p.sending = false
	c.sendAppend(m.From, p, now, true)
}

// handleHello lets a learner join a new leader at once.
func (c *Core) handleHello(m Message, now time.Time) {
	if c.Voter() || m.Term < c.term {
		return
	}
	c.followLeader(m, now)
	c.send(Message{Type: MsgJoin, To: m.From, Index: c.log.last(), Durable: c.Durable})
}

// learnerPatience is the silence after which a learner looks for a leader.
func (c *Core) learnerPatience() time.Duration {
	return 2*c.Timing.LearnerDelay + c.Timing.ElectionMin
}

func (c *Core) dropLearners(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.learner && now.Sub(p.heard) > c.Timing.LearnerGone {
			delete(c.progress, id)
			c.order = nil
		}
	}
}

// promote adds a caught-up learner as a voter when it succeeds a voter of the
// same daemon.
func (c *Core) promote(id ReplicaID, p *progress, now time.Time) {
	if !p.learner || !p.durable || p.match < c.commit || !c.canChangeMembers() {
		return
	}
	old := c.predecessor(id)
	if old == "" && !c.Open || old == c.ID {
		return
	}
	if q := c.progress[old]; q != nil && now.Sub(q.heard) < c.replaceAfter(true) {
		return
	}
	c.changeMembers(with(c.members, id), now)
}

// replaceAfter returns the silence after which a voter is replaced. The
// predecessor of a replica at the same address has ended; with open membership
// names are addresses, so it need not be waited for.
func (c *Core) replaceAfter(succeeded bool) time.Duration {
	if c.Open && succeeded {
		return c.Timing.ElectionMin
	}
	return c.Timing.ReplaceAfter
}

// predecessor returns the voter of the same daemon as id, if id is not a voter.
func (c *Core) predecessor(id ReplicaID) ReplicaID {
	for _, v := range c.members {
		if v != id && NameOf(v) == NameOf(id) {
			return v
		}
	}
	return ""
}

// replaceVoters removes the older of two voters of one daemon.
func (c *Core) replaceVoters(now time.Time) {
	if !c.canChangeMembers() {
		return
	}
	for _, id := range c.members {
		old := c.predecessor(id)
		p, q := c.progress[id], c.progress[old]
		if old == "" || old == c.ID || p == nil || q == nil {
			continue
		}
		if p.heard.After(q.heard) && now.Sub(q.heard) >= c.replaceAfter(true) {
			c.changeMembers(without(c.members, old), now)
			return
		}
	}
	if c.Open && len(c.members) > minOpenVoters && len(c.members)%2 == 0 {
		c.removeSilent(now)
	}
}

// minOpenVoters is the number of voters below which none is removed: three
// voters are the fewest that outlast the loss of one.
const minOpenVoters = 3

// removeSilent removes the voter that has been silent longest.
func (c *Core) removeSilent(now time.Time) {
	silent := ReplicaID("")
	for _, id := range c.members {
		p := c.progress[id]
		if id == c.ID || p == nil || now.Sub(p.heard) < c.Timing.ReplaceAfter {
			continue
		}
		if silent == "" || p.heard.Before(c.progress[silent].heard) {
			silent = id
		}
	}
	if silent != "" {
		c.changeMembers(without(c.members, silent), now)
	}
}

// canChangeMembers reports whether the last change is committed and the leader
// has committed an entry of its own term.
func (c *Core) canChangeMembers() bool {
	return c.commit >= c.memberI && c.committedInTerm() && c.transferee == ""
}

func (c *Core) changeMembers(voters []ReplicaID, now time.Time) {
	c.append(EntryMembers, encodeVoters(voters))
	c.syncProgress(now)
	c.broadcastAll(now)
}

func (c *Core) syncProgress(now time.Time) {
	for _, id := range c.members {
		if p := c.progress[id]; p != nil {
			p.learner = false
			continue
		}
		c.addProgress(id, now)
	}
	for id, p := range c.progress {
		if !slices.Contains(c.members, id) {
			p.learner = true
		}
	}
}

// AddVoter makes a learner that the leader follows a voter.
func (c *Core) AddVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeMembers() || slices.Contains(c.members, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeMembers(with(c.members, id), now)
	return nil
}

// RemoveVoter takes the vote of a replica.
func (c *Core) RemoveVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeMembers() || !slices.Contains(c.members, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeMembers(without(c.members, id), now)
	return nil
}
