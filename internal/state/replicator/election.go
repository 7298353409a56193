package replicator

import (
	"cmp"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds elections. A follower that hears no leader asks for
// pre-votes without raising its term, so that a replica that was cut off does
// not disturb the group when it returns. Example: of three voters the leader
// is killed; both others wait 400 to 700 ms, the first to ask gets a pre-vote
// and a vote, and leads.

// Tick lets time pass: elections, heartbeats, resends.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if !c.IsVoter() {
		c.tickLearner(now)
		return
	}
	if !now.Before(c.electionDeadline) {
		c.startPreVote(now)
	}
}

// Due returns the time of the next Tick that has something to do.
func (c *Core) Due() time.Time {
	switch {
	case c.role == Leader:
		return c.lastHeartbeat.Add(c.Timing.Heartbeat)
	case c.IsVoter():
		return c.electionDeadline
	}
	due := c.lastLeaderContact.Add(c.leaderLossTimeout())
	if c.nextJoin.After(due) {
		return c.nextJoin
	}
	return due
}

func (c *Core) tickLearner(now time.Time) {
	if c.role != Follower {
		c.becomeFollower(c.term, c.leader, now)
	}
	quiet := now.Sub(c.lastLeaderContact) >= c.leaderLossTimeout()
	if !quiet || now.Before(c.nextJoin) {
		return
	}
	c.nextJoin = now.Add(c.Timing.ElectionMin)
	c.leader = ""
	c.send(Message{Type: MsgJoin, Index: c.log.lastIndex(), Durable: c.Durable})
}

func (c *Core) resetElection(now time.Time) {
	spread := int64(c.Timing.ElectionMax - c.Timing.ElectionMin)
	wait := c.Timing.ElectionMin
	if spread > 0 {
		wait += time.Duration(c.Rand.Int63n(spread))
	}
	c.electionDeadline = now.Add(wait)
}

func (c *Core) startPreVote(now time.Time) {
	c.role = PreCandidate
	c.leader = ""
	// While it is bound itself, it asks only to show that it leads no more.
	c.votes = map[ReplicaID]bool{c.ID: !c.inLease(now)}
	c.resetElection(now)
	// A pre-vote disturbs nobody, so it is repeated sooner than an election.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / preVoteDivisor)
	if now.Before(c.fastElectionUntil) {
		c.shortenElectionTimeout(now)
	}
	if c.wonElection() {
		c.startElection(now, false)
		return
	}
	c.requestVotes(MsgPreVote, c.term+1)
	if now.Sub(c.lastLeaderContact) >= c.leaderLossTimeout() {
		// It may have no vote any more, or not yet; then a leader takes it in as a
		// learner.
		c.send(Message{Type: MsgJoin, Index: c.log.lastIndex(), Durable: c.Durable})
	}
}

// preVoteDivisor divides the election timeout into the time between pre-votes.
const preVoteDivisor = 3

func (c *Core) startElection(now time.Time, force bool) {
	c.role = Candidate
	c.term++
	c.vote = c.ID
	c.leaseGrant = leaseGrant{term: c.term}
	c.leader = ""
	c.forced = force
	c.votes = map[ReplicaID]bool{c.ID: true}
	c.resetElection(now)
	// A vote that was split shows sooner than a leader that is silent.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / voteDivisor)
	if c.wonElection() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(MsgVote, c.term)
}

// voteDivisor divides the election timeout into the time that a candidate waits
// for votes.
const voteDivisor = 2

func (c *Core) requestVotes(t MessageType, term registrar.Term) {
	for _, id := range c.voters {
		if id == c.ID {
			continue
		}
		c.send(Message{Type: t, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: c.forced})
	}
}

func (c *Core) wonElection() bool {
	n := 0
	for _, id := range c.voters {
		if c.votes[id] {
			n++
		}
	}
	return n >= quorumOf(c.voters)
}

// handleVote answers a request for a vote or a pre-vote. A replica that heard
// a leader within the shortest election timeout refuses, unless the election
// comes from a transfer of leadership.
func (c *Core) handleVote(m Message, now time.Time) {
	pre := m.Type == MsgPreVote
	reply := Message{Type: MsgVoteReply, To: m.From, Term: c.term, Reject: true}
	if pre {
		reply.Type = MsgPreVoteReply
	}
	fresh := c.log.isUpToDate(m.Index, m.LogTerm) || c.Disabled&WithoutLogCheck != 0
	free := m.Term > c.term || c.vote == "" || c.vote == m.From
	if pre {
		free = m.Term > c.term
	}
	leased := c.inLease(now) && !m.Force && c.Disabled&WithoutLeaderStickiness == 0
	if leased || !fresh || !free || m.Term < c.term || pre && c.outranks(m) {
		c.send(reply)
		return
	}
	if pre {
		c.deferToCandidate(now)
	}
	reply.Reject = false
	reply.Term = m.Term
	if !pre {
		if m.Term > c.term {
			c.becomeFollower(m.Term, "", now)
		}
		c.vote = m.From
		c.leaseGrant = leaseGrant{term: c.term}
		c.resetElection(now)
	}
	c.send(reply)
}

// outranks reports whether this replica asks for pre-votes itself and should
// rather get them than the sender of a message, so that of several that ask at
// once one goes on and votes are not split.
func (c *Core) outranks(m Message) bool {
	if c.role != PreCandidate {
		return false
	}
	mine, others := c.log.lastTerm(), m.LogTerm
	return cmp.Or(cmp.Compare(mine, others), cmp.Compare(c.log.lastIndex(), m.Index), cmp.Compare(m.From, c.ID)) > 0
}

// deferToCandidate leaves a candidate the time that an election takes, but not again and
// again, since it may be one that hears no answers.
func (c *Core) deferToCandidate(now time.Time) {
	if now.Sub(c.deferredAt) < c.Timing.ElectionMax {
		return
	}
	c.deferredAt = now
	if c.role == PreCandidate {
		c.role = Follower
	}
	if later := now.Add(c.Timing.ElectionMin / 2); c.electionDeadline.Before(later) {
		c.electionDeadline = later
	}
}

// inLease reports whether a leader may hold a lease that this replica
// granted.
func (c *Core) inLease(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return now.Sub(c.lastLeaderContact) < c.Timing.ElectionMin
}

func (c *Core) handleVoteReply(m Message, now time.Time) {
	if m.Reject {
		if m.Term > c.term {
			c.becomeFollower(m.Term, "", now)
		}
		return
	}
	switch {
	case m.Type == MsgPreVoteReply && c.role == PreCandidate && m.Term == c.term+1:
		c.votes[m.From] = true
		if c.wonElection() && !c.inLease(now) {
			c.startElection(now, false)
		}
	case m.Type == MsgVoteReply && c.role == Candidate && m.Term == c.term:
		c.votes[m.From] = true
		if c.wonElection() {
			c.becomeLeader(now)
		}
	}
}

func (c *Core) becomeFollower(term registrar.Term, leader ReplicaID, now time.Time) {
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	if c.role == Leader {
		c.resetLeaderState()
	}
	c.role = Follower
	c.leader = leader
	c.forced = false
	c.resetElection(now)
}

func (c *Core) resetLeaderState() {
	c.progress, c.followerIDs = nil, nil
	c.pendingReads = nil
	c.heartbeatRounds = nil
	c.leaseStart = time.Time{}
	c.transferee = ""
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = Leader
	c.leader = c.ID
	c.forced = false
	c.progress, c.followerIDs = make(map[ReplicaID]*progress), nil
	c.heartbeatRounds, c.pendingReads = nil, nil
	c.leaseStart = time.Time{}
	c.transferSent = false
	for _, id := range c.voters {
		c.addProgress(id, now)
	}
	c.append(EntryNoop, nil)
	c.startHeartbeatRound(now)
	c.broadcastAll(now)
	c.send(Message{Type: MsgHello})
}

func (c *Core) addProgress(id ReplicaID, now time.Time) *progress {
	p := &progress{next: c.log.lastIndex() + 1, lastContact: now, probing: true}
	if id != c.ID {
		c.progress[id] = p
		c.followerIDs = nil
	}
	return p
}

// Transfer hands leadership to another voter, chosen as the one with the
// longest log, and reports whether one was found.
func (c *Core) Transfer(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	best := ReplicaID("")
	for _, id := range c.voters {
		p := c.progress[id]
		if p == nil || now.Sub(p.lastContact) > c.Timing.ElectionMin {
			continue
		}
		if best == "" || p.match > c.progress[best].match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	c.transferee = best
	c.transferDeadline = now.Add(c.Timing.ElectionMax)
	c.maybeSendTimeoutNow()
	return true
}

// StepDown ends the leadership of this replica.
func (c *Core) StepDown(now time.Time) {
	if c.role == Leader {
		c.becomeFollower(c.term, "", now)
	}
}

func (c *Core) maybeSendTimeoutNow() {
	p := c.progress[c.transferee]
	if p != nil && p.match == c.log.lastIndex() {
		c.transferSent = true // the message may be late, and those who vote for it break no promise
		c.send(Message{Type: MsgTimeoutNow, To: c.transferee})
	}
}
