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

// promise names the leader that a replica answered last.
type promise struct {
	leader ReplicaID // empty: none that may still hold a lease
	term   registrar.Term
}

const (
	promptMin = 10 * time.Millisecond // a round trip within a region
	promptMax = 60 * time.Millisecond // spreads replicas over three round trips between regions
	// promptTime is how long pre-votes are repeated soon: processes that were
	// stopped together are back within a second of each other.
	promptTime = time.Second
)

// resumePromise takes up what was owed before a restart. A record of an earlier
// version names no leader, and a replica that never had a term owes nothing.
func (c *Core) resumePromise(hard HardState, now time.Time) {
	c.restarted = true
	c.promise = promise{hard.Leader, hard.LeaderTerm}
	c.heardLeader = now
	owesNobody := hard.Leader == "" && (hard.LeaderTerm > 0 || hard.Term == 0)
	if owesNobody || hard.Leader == c.ID || c.Disabled&WithoutPromise != 0 {
		c.heardLeader = time.Time{}
	}
}

// weighPromise looks whether a message shows that the leader to which this
// replica is bound leads no more.
func (c *Core) weighPromise(m Message, now time.Time) {
	if c.heardLeader.IsZero() || c.promise.leader == "" || c.role == Leader {
		return
	}
	if m.From == c.promise.leader && c.deposed(m) {
		c.release(now)
		return
	}
	// After the restart of this replica nothing arrives that an earlier process
	// at the leader's address has sent, so another id there is its successor.
	if c.restarted && m.From != c.promise.leader && NameOf(m.From) == NameOf(c.promise.leader) {
		c.release(now)
	}
}

// deposed reports whether a message of the leader of a term shows that this
// leadership is over. It asks for pre-votes and votes of the next terms, and
// gives them, only as something else than a leader.
func (c *Core) deposed(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		return m.Term > c.promise.term
	case MsgPreVoteReply, MsgVoteReply:
		return m.Term > c.promise.term && !m.Reject
	}
	return false
}

// Gone takes in that at some time after a moment no process listened at the
// address of a daemon: what it led is over.
func (c *Core) Gone(name string, since, now time.Time) {
	if c.role != Leader && NameOf(c.promise.leader) == name && since.After(c.heardLeader) {
		c.release(now)
	}
}

// release ends the wait for the leader that was followed last.
func (c *Core) release(now time.Time) {
	if c.heardLeader.IsZero() {
		return
	}
	c.heardLeader = time.Time{}
	if c.Voter() {
		c.leader = ""
		c.prompt(now)
	}
}

// prompt lets pre-votes begin soon and be repeated soon for a time, in which the
// others are released as well.
func (c *Core) prompt(now time.Time) {
	c.promptUntil = now.Add(promptTime)
	c.hasten(now)
}

// hasten lets the next pre-vote begin soon.
func (c *Core) hasten(now time.Time) {
	at := now.Add(promptMin + time.Duration(c.Rand.Int63n(int64(promptMax-promptMin))))
	if at.Before(c.electionAt) {
		c.electionAt = at
	}
}
