package replicator

import (
	"slices"
	"time"
)

// This file holds learners and the replacement of voters. A learner receives the
// log without having a vote. A durable learner that has caught up replaces the
// voter of the same daemon whose data folder was lost: if vm3.1 is an
// unresponsive voter and vm3.2 a learner that has caught up, the leader adds
// vm3.2 and, once that is committed, removes vm3.1.
//
// With open membership, every durable learner that has caught up becomes a
// voter, and an unresponsive voter is removed if that makes the quorum smaller:
// without one of six voters, the quorum is three of five instead of four of six.

// handleJoin starts or resumes replication to the sender. Replicas that do not
// lead forward the message, since the leader need not be among the replicas that
// the sender knows.
func (c *Core) handleJoin(m Message, now time.Time) {
	forwarded := m.To != ""
	if c.role != Leader {
		if !forwarded && c.leader != "" && c.leader != m.From {
			m.To = c.leader
			c.immediate = append(c.immediate, m)
		}
		return
	}
	p := c.progress[m.From]
	if p != nil && forwarded {
		return // it is not a contact with the sender
	}
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

// handleHello makes a learner join a new leader at once.
func (c *Core) handleHello(m Message, now time.Time) {
	if c.IsVoter() || m.Term < c.term {
		return
	}
	c.followLeader(m, now)
	c.send(Message{Type: MsgJoin, To: m.From, Index: c.log.lastIndex(), Durable: c.Durable})
}

// leaderLossTimeout is the time without leader contact after which a replica
// broadcasts MsgJoin to find the leader.
func (c *Core) leaderLossTimeout() time.Duration {
	return 2*c.Timing.LearnerHeartbeat + c.Timing.ElectionMin
}

func (c *Core) dropLearners(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.learner && now.Sub(p.lastContact) > c.Timing.LearnerTimeout {
			delete(c.progress, id)
			c.followerIDs = nil
		}
	}
}

// promote makes a learner that has caught up a voter if it replaces a voter of
// the same daemon, or with open membership.
func (c *Core) promote(id ReplicaID, p *progress, now time.Time) {
	if !p.learner || !p.durable || !c.follows(id) || p.match < c.commit || !c.canChangeVoters() {
		return
	}
	old := c.predecessor(id)
	if old == "" && !c.OpenMembership || old == c.ID {
		return
	}
	if q := c.progress[old]; q != nil && now.Sub(q.lastContact) < c.replaceAfter(true) {
		return
	}
	c.changeVoters(with(c.voters, id), now)
}

// replaceAfter returns the time without contact after which a voter is replaced.
// With open membership names are addresses, so a successor at the same address
// proves that its predecessor has ended, and a shorter time is enough.
func (c *Core) replaceAfter(succeeded bool) time.Duration {
	if c.OpenMembership && succeeded {
		return c.Timing.ElectionMin
	}
	return c.Timing.ReplaceAfter
}

// predecessor returns another voter with the same daemon name as id, or "".
func (c *Core) predecessor(id ReplicaID) ReplicaID {
	for _, v := range c.voters {
		if v != id && NameOf(v) == NameOf(id) {
			return v
		}
	}
	return ""
}

// replaceVoters removes the unresponsive one of two voters of a daemon. With open
// membership it also removes an unresponsive voter from an even number of voters.
func (c *Core) replaceVoters(now time.Time) {
	if !c.canChangeVoters() {
		return
	}
	for _, id := range c.voters {
		old := c.predecessor(id)
		p, q := c.progress[id], c.progress[old]
		if old == "" || old == c.ID || p == nil && id != c.ID || q == nil {
			continue
		}
		contact := now // of this replica itself
		if p != nil {
			contact = p.lastContact
		}
		if contact.After(q.lastContact) && now.Sub(q.lastContact) >= c.replaceAfter(true) {
			c.changeVoters(without(c.voters, old), now)
			return
		}
	}
	if c.OpenMembership && len(c.voters) > minOpenVoters && len(c.voters)%2 == 0 {
		c.removeUnresponsive(now)
	}
}

// minOpenVoters is the number of voters below which none is removed: three is the
// smallest group that tolerates the loss of one voter.
const minOpenVoters = 3

// removeUnresponsive removes the voter that has been unresponsive longest, if any
// has been for ReplaceAfter.
func (c *Core) removeUnresponsive(now time.Time) {
	unresponsive := ReplicaID("")
	for _, id := range c.voters {
		p := c.progress[id]
		if id == c.ID || p == nil || now.Sub(p.lastContact) < c.Timing.ReplaceAfter {
			continue
		}
		if unresponsive == "" || p.lastContact.Before(c.progress[unresponsive].lastContact) {
			unresponsive = id
		}
	}
	if unresponsive != "" {
		c.changeVoters(without(c.voters, unresponsive), now)
	}
}

// canChangeVoters reports whether the last membership change is committed, the
// leader has committed an entry of its own term and no leadership transfer is in
// progress.
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

// AddVoter adds a voter, usually a learner that has caught up.
func (c *Core) AddVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeVoters() || slices.Contains(c.voters, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeVoters(with(c.voters, id), now)
	return nil
}

// RemoveVoter removes a voter, which becomes a learner.
func (c *Core) RemoveVoter(id ReplicaID, now time.Time) error {
	if c.role != Leader || !c.canChangeVoters() || !slices.Contains(c.voters, id) {
		return &NotLeaderError{c.leader}
	}
	c.changeVoters(without(c.voters, id), now)
	return nil
}
