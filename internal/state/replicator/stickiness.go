package replicator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds what a replica owes the leader that it answered last: for
// ElectionMin it votes for nobody else, which is what the leader's lease rests
// on. The leader's id is saved, so that a replica that restarts knows whom it
// has to wait for, and need not wait when that one shows that it leads no more.
// Example: all replicas lose power; each one asks for pre-votes as soon as it is
// back, which tells the others that it leads no more, so that a new leader is
// elected in a few round trips.

// leaseGrant names the leader that a replica answered last.
type leaseGrant struct {
	leader ReplicaID // empty: none that may still hold a lease
	term   registrar.Term
}

const (
	fastElectionMin = 10 * time.Millisecond // a round trip within a region
	fastElectionMax = 60 * time.Millisecond // spreads replicas over three round trips between regions
	// fastElectionPeriod is how long pre-votes are repeated soon: processes that were
	// stopped together are back within a second of each other.
	fastElectionPeriod = time.Second
)

// restoreLeaseGrant takes up what was owed before a restart. A record of an earlier
// version names no leader, and a replica that never had a term owes nothing.
func (c *Core) restoreLeaseGrant(hard HardState, now time.Time) {
	c.restarted = true
	c.leaseGrant = leaseGrant{hard.Leader, hard.LeaderTerm}
	c.lastLeaderContact = now
	owesNobody := hard.Leader == "" && (hard.LeaderTerm > 0 || hard.Term == 0)
	if owesNobody || hard.Leader == c.ID || c.Disabled&WithoutRestartStickiness != 0 {
		c.lastLeaderContact = time.Time{}
	}
}

// checkLeaseGrant looks whether a message shows that the leader to which this
// replica is bound leads no more.
func (c *Core) checkLeaseGrant(m Message, now time.Time) {
	if c.lastLeaderContact.IsZero() || c.leaseGrant.leader == "" || c.role == Leader {
		return
	}
	if m.From == c.leaseGrant.leader && c.showsDeposed(m) {
		c.clearLeaseGrant(now)
		return
	}
	// After the restart of this replica nothing arrives that an earlier process
	// at the leader's address has sent, so another id there is its successor.
	if c.restarted && m.From != c.leaseGrant.leader && NameOf(m.From) == NameOf(c.leaseGrant.leader) {
		c.clearLeaseGrant(now)
	}
}

// showsDeposed reports whether a message of the leader of a term shows that this
// leadership is over. It asks for pre-votes and votes of the next terms, and
// gives them, only as something else than a leader.
func (c *Core) showsDeposed(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Term > c.leaseGrant.term
	case MsgPreVoteReply, MsgVoteReply:
		return m.Term > c.leaseGrant.term && !m.Reject
	}
	return false
}

// Gone takes in that at some time after a moment no process listened at the
// address of a daemon: what it led is over.
func (c *Core) Gone(name string, since, now time.Time) {
	if c.role != Leader && NameOf(c.leaseGrant.leader) == name && since.After(c.lastLeaderContact) {
		c.clearLeaseGrant(now)
	}
}

// clearLeaseGrant ends the wait for the leader that was followed last.
func (c *Core) clearLeaseGrant(now time.Time) {
	if c.lastLeaderContact.IsZero() {
		return
	}
	c.lastLeaderContact = time.Time{}
	if c.IsVoter() {
		c.leader = ""
		c.startFastElection(now)
	}
}

// startFastElection lets pre-votes begin soon and be repeated soon for a time, in which the
// others are released as well.
func (c *Core) startFastElection(now time.Time) {
	c.fastElectionUntil = now.Add(fastElectionPeriod)
	c.shortenElectionTimeout(now)
}

// shortenElectionTimeout lets the next pre-vote begin soon.
func (c *Core) shortenElectionTimeout(now time.Time) {
	at := now.Add(fastElectionMin + time.Duration(c.Rand.Int63n(int64(fastElectionMax-fastElectionMin))))
	if at.Before(c.electionDeadline) {
		c.electionDeadline = at
	}
}
