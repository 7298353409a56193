package replicator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file implements leader stickiness: for ElectionMin after a message from
// the leader, a replica votes for no other replica. The leader's lease relies on
// this. The leader's id is part of the hard state, so that a restarted replica
// still honors the lease, and stops waiting once that leader is known to have
// lost its leadership. When all replicas restart together, each one requests
// pre-votes at once, which shows the others that it does not lead any more; so a
// new leader is elected in a few round trips instead of an election timeout.

// leaseGrant identifies the leader to which a replica last granted a lease.
type leaseGrant struct {
	leader ReplicaID // empty: no leader can hold a lease
	term   registrar.Term
}

const (
	fastElectionMin = 10 * time.Millisecond // one round trip within a region
	fastElectionMax = 60 * time.Millisecond // three round trips between regions, so that candidates rarely collide
	// fastElectionPeriod is the time for which pre-votes are repeated at short
	// intervals: processes that stopped together restart within a second of each
	// other.
	fastElectionPeriod = time.Second
)

// restoreLeaseGrant restores the lease grant after a restart. A hard state of an
// earlier version has neither leader nor leader term, so a lease of an unknown
// leader is assumed. A replica that never had a term has granted no lease.
func (c *Core) restoreLeaseGrant(hard HardState, now time.Time) {
	c.restarted = true
	c.leaseGrant = leaseGrant{hard.Leader, hard.LeaderTerm}
	c.lastLeaderContact = now
	noLease := hard.Leader == "" && (hard.LeaderTerm > 0 || hard.Term == 0)
	if noLease || hard.Leader == c.ID || c.Disabled&WithoutRestartStickiness != 0 {
		c.lastLeaderContact = time.Time{}
	}
}

// checkLeaseGrant clears the lease grant if a message shows that the leader that
// holds it has lost its leadership.
func (c *Core) checkLeaseGrant(m Message, now time.Time) {
	if c.lastLeaderContact.IsZero() || c.leaseGrant.leader == "" || c.role == Leader {
		return
	}
	if m.From == c.leaseGrant.leader && c.showsDeposed(m) {
		c.clearLeaseGrant(now)
		return
	}
	// A restarted replica receives no messages that an earlier process at the
	// leader's address has sent, unless another replica has forwarded them, so a
	// different id with that name is the leader's successor.
	forwarded := m.Type == MsgJoin && m.To != ""
	if c.restarted && !forwarded && m.From != c.leaseGrant.leader && NameOf(m.From) == NameOf(c.leaseGrant.leader) {
		c.clearLeaseGrant(now)
	}
}

// showsDeposed reports whether a message from the leader that holds the lease
// grant shows that its leadership has ended. A replica requests and grants votes
// and pre-votes of later terms only while it is not the leader.
func (c *Core) showsDeposed(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Term > c.leaseGrant.term
	case MsgPreVoteReply, MsgVoteReply:
		return m.Term > c.leaseGrant.term && !m.Reject
	}
	return false
}

// ReportConnectionRefused reports that a connection to the address of a daemon was refused at some
// time after since. Either no process listens there, or something between the two
// refuses connections while the daemon goes on. The lease grant therefore remains
// valid, but an election follows as soon as it has expired.
func (c *Core) ReportConnectionRefused(name string, since, now time.Time) {
	if c.role != Leader && c.IsVoter() && NameOf(c.leaseGrant.leader) == name && since.After(c.lastLeaderContact) {
		expiry := c.lastLeaderContact.Add(c.Timing.ElectionMin)
		if expiry.Before(now) {
			expiry = now
		}
		c.startFastElection(expiry)
	}
}

// clearLeaseGrant ends leader stickiness, and a voter starts a fast election.
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

// startFastElection requests pre-votes at short intervals for fastElectionPeriod from
// the given time on, within which the lease grants of the other replicas end too.
func (c *Core) startFastElection(at time.Time) {
	c.fastElectionUntil = at.Add(fastElectionPeriod)
	c.shortenElectionTimeout(at)
}

// shortenElectionTimeout brings the next pre-vote forward to a random time
// between fastElectionMin and fastElectionMax.
func (c *Core) shortenElectionTimeout(now time.Time) {
	at := now.Add(fastElectionMin + time.Duration(c.Rand.Int63n(int64(fastElectionMax-fastElectionMin))))
	if at.Before(c.electionDeadline) {
		c.electionDeadline = at
	}
}
