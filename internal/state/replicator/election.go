package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds elections and leadership transfer. A follower that receives no
// message from a leader within its election timeout requests pre-votes without
// increasing its term, so that a partitioned replica does not disrupt the group
// when it reconnects.

// Tick starts what is due at the current time: elections, heartbeats, resends.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if !c.mayCampaign() {
		c.tickLearner(now)
		return
	}
	if !now.Before(c.electionDeadline) {
		c.startPreVote(now)
	}
}

// Due returns the time at which the next Tick is needed.
func (c *Core) Due() time.Time {
	switch {
	case c.role == Leader:
		return c.lastHeartbeat.Add(c.Timing.Heartbeat)
	case c.mayCampaign():
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
	leaderLost := now.Sub(c.lastLeaderContact) >= c.leaderLossTimeout()
	if !leaderLost || now.Before(c.nextJoin) {
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
	// While a lease granted by this replica may be valid, it does not vote for
	// itself. It still requests pre-votes, which shows the others that it does not
	// lead any more.
	c.votes = map[ReplicaID]bool{c.ID: !c.inLease(now)}
	c.resetElection(now)
	// A pre-vote does not change any term, so it is retried sooner than an election.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / preVoteDivisor)
	if now.Before(c.fastElectionUntil) {
		c.shortenElectionTimeout(now)
	}
	if c.hasVoteQuorum() {
		c.startElection(now, false)
		return
	}
	c.requestVotes(MsgPreVote, c.term+1)
	if now.Sub(c.lastLeaderContact) >= c.leaderLossTimeout() {
		// This replica may have been removed from the voters, or its addition may not
		// be in its log yet. The leader then replicates to it as a learner.
		c.send(Message{Type: MsgJoin, Index: c.log.lastIndex(), Durable: c.Durable})
	}
}

// preVoteDivisor is the ratio of the election timeout to the interval of
// pre-votes.
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
	// A split vote is recognized sooner than an unresponsive leader.
	c.electionDeadline = now.Add(c.electionDeadline.Sub(now) / voteDivisor)
	if c.hasVoteQuorum() {
		c.becomeLeader(now)
		return
	}
	c.requestVotes(MsgVote, c.term)
}

// voteDivisor is the ratio of the election timeout to the time that a candidate
// waits for votes.
const voteDivisor = 2

func (c *Core) requestVotes(t MessageType, term registrar.Term) {
	for _, id := range c.voters {
		if id == c.ID {
			continue
		}
		c.send(Message{Type: t, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Force: c.forced})
	}
}

func (c *Core) hasVoteQuorum() bool {
	n := 0
	for _, id := range c.voters {
		if c.votes[id] {
			n++
		}
	}
	return n >= quorumOf(c.voters)
}

// handleVote answers a request for a vote or a pre-vote. A replica that received
// a message from a leader within the shortest election timeout rejects it, unless
// the election is a leadership transfer (leader stickiness).
func (c *Core) handleVote(m Message, now time.Time) {
	pre := m.Type == MsgPreVote
	reply := Message{Type: MsgVoteReply, To: m.From, Term: c.term, Reject: true}
	if pre {
		reply.Type = MsgPreVoteReply
	}
	upToDate := c.log.isUpToDate(m.Index, m.LogTerm) || c.Disabled&WithoutLogCheck != 0
	canVote := m.Term > c.term || c.vote == "" || c.vote == m.From
	if pre {
		// A candidate may still win its term, and a grant shows that it does not lead.
		canVote = m.Term > c.term && c.role != Candidate
	}
	capable := m.Format >= c.required
	sticky := c.inLease(now) && !m.Force && c.Disabled&WithoutLeaderStickiness == 0
	if sticky || !capable || !upToDate || !canVote || m.Term < c.term || pre && c.outranks(m) {
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

// outranks reports whether this replica is a pre-candidate itself and takes
// precedence over the sender of a pre-vote request, by log and then by id. Of
// several pre-candidates one goes on, which avoids split votes.
func (c *Core) outranks(m Message) bool {
	if c.role != PreCandidate {
		return false
	}
	mine, others := c.log.lastTerm(), m.LogTerm
	return cmp.Or(cmp.Compare(mine, others), cmp.Compare(c.log.lastIndex(), m.Index), cmp.Compare(m.From, c.ID)) > 0
}

// deferToCandidate postpones this replica's own pre-vote so that the candidate
// can complete its election. It does so at most once per ElectionMax, since the
// candidate may be unable to receive replies.
func (c *Core) deferToCandidate(now time.Time) {
	if now.Sub(c.deferredAt) < c.Timing.ElectionMax {
		return
	}
	c.deferredAt = now
	if c.role == PreCandidate {
		c.role = Follower
	}
	if postponed := now.Add(c.Timing.ElectionMin / 2); c.electionDeadline.Before(postponed) {
		c.electionDeadline = postponed
	}
}

// inLease reports whether this replica leads or a leader may hold a lease that it
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
		if c.hasVoteQuorum() && !c.inLease(now) {
			c.startElection(now, false)
		}
	case m.Type == MsgVoteReply && c.role == Candidate && m.Term == c.term:
		c.votes[m.From] = true
		if c.hasVoteQuorum() {
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
	c.allFormats = Formats{}
	maps.DeleteFunc(c.formats, func(id ReplicaID, _ Format) bool { return !slices.Contains(c.voters, id) })
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

// TransferLeadership transfers leadership to the recently active voter with the highest
// match index and reports whether there is one.
func (c *Core) TransferLeadership(now time.Time) bool {
	if c.role != Leader {
		return false
	}
	best := ReplicaID("")
	for _, id := range c.voters {
		p := c.progress[id]
		if p == nil || now.Sub(p.lastContact) > c.Timing.ElectionMin || !c.follows(id) {
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

// StepDown makes a leader a follower.
func (c *Core) StepDown(now time.Time) {
	if c.role == Leader {
		c.becomeFollower(c.term, "", now)
	}
}

func (c *Core) maybeSendTimeoutNow() {
	p := c.progress[c.transferee]
	if p != nil && p.match == c.log.lastIndex() {
		c.transferSent = true // the message may arrive late, and the election that it starts ignores the lease
		c.send(Message{Type: MsgTimeoutNow, To: c.transferee})
	}
}
