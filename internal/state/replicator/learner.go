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
		p.learner = !slices.Contains(c.voters, m.From)
		p.next = min(m.Index, c.log.lastIndex()) + 1
	}
	p.durable = m.Durable
	p.lastContact = now
	p.sendingSnapshot = false
	c.sendAppend(m.From, p, now, true)
}

// handleHello lets a learner join a new leader at once.
func (c *Core) handleHello(m Message, now time.Time) {
	if c.IsVoter() || m.Term < c.term {
		return
	}
	c.followLeader(m, now)
	c.send(Message{Type: MsgJoin, To: m.From, Index: c.log.lastIndex(), Durable: c.Durable})
}

// leaderLossTimeout is the silence after which a learner looks for a leader.
func (c *Core) leaderLossTimeout() time.Duration {
	return 2*c.Timing.LearnerDelay + c.Timing.ElectionMin
}

func (c *Core) dropLearners(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.learner && now.Sub(p.lastContact) > c.Timing.LearnerGone {
			delete(c.progress, id)
			c.followerIDs = nil
		}
	}
}

// promote adds a caught-up learner as a voter when it succeeds a voter of the
// same daemon.
func (c *Core) promote(id ReplicaID, p *progress, now time.Time) {
	if !p.learner || !p.durable || p.match < c.commit || !c.canChangeVoters() {
		return
	}
	old := c.predecessor(id)
	if old == "" && !c.Open || old == c.ID {
		return
	}
	if q := c.progress[old]; q != nil && now.Sub(q.lastContact) < c.replaceAfter(true) {
		return
	}
	c.changeVoters(with(c.voters, id), now)
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
	for _, v := range c.voters {
		if v != id && NameOf(v) == NameOf(id) {
			return v
		}
	}
	return ""
}

// replaceVoters removes the older of two voters of one daemon.
func (c *Core) replaceVoters(now time.Time) {
	if !c.canChangeVoters() {
		return
	}
	for _, id := range c.voters {
		old := c.predecessor(id)
		p, q := c.progress[id], c.progress[old]
		if old == "" || old == c.ID || p == nil || q == nil {
			continue
		}
		if p.lastContact.After(q.lastContact) && now.Sub(q.lastContact) >= c.replaceAfter(true) {
			c.changeVoters(without(c.voters, old), now)
			return
		}
	}
	if c.Open && len(c.voters) > minOpenVoters && len(c.voters)%2 == 0 {
		c.removeUnresponsive(now)
	}
}

// minOpenVoters is the number of voters below which none is removed: three
// voters are the fewest that outlast the loss of one.
const minOpenVoters = 3

// removeUnresponsive removes the voter that has been silent longest.
func (c *Core) removeUnresponsive(now time.Time) {
	silent := ReplicaID("")
	for _, id := range c.voters {
		p := c.progress[id]
		if id == c.ID || p == nil || now.Sub(p.lastContact) < c.Timing.ReplaceAfter {
			continue
		}
		if silent == "" || p.lastContact.Before(c.progress[silent].lastContact) {
			silent = id
		}
	}
	if silent != "" {
		c.changeVoters(without(c.voters, silent), now)
	}
}

// canChangeVoters reports whether the last change is committed and the leader
// has committed an entry of its own term.
func (c *Core) canChangeVoters() bool {
	return c.commit >= c.votersIndex && c.committedEntryInTerm() && c.transferee == ""
}

func (c *Core) changeVoters(voters []ReplicaID, now time.Time) {
	c.append(EntryVoters, encodeVoters(voters))
	c.syncProgress(now)
	c.broadcastAll(now)
}

func (c *Core) syncProgress(now time.Time) {
	for _, id := range c.voters {
		if p := c.progress[id]; p != nil {
			p.learner = false
			continue
		}
		c.addProgress(id, now)
	}
	for id, p := range c.progress {
		if !slices.Contains(c.voters, id) {
			p.learner = true
		}
	}
}

// AddVoter makes a learner that the leader follows a voter.
func (c *Core) AddVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeVoters() || slices.Contains(c.voters, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeVoters(with(c.voters, id), now)
	return nil
}

// RemoveVoter takes the vote of a replica.
func (c *Core) RemoveVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeVoters() || !slices.Contains(c.voters, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeVoters(without(c.voters, id), now)
	return nil
}
