package replicator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the dispatch of messages and a follower's handling of those
// from its leader. A rejected append carries a hint: a log that ends at index 7
// rejects an append after index 9 with hint 7, and the leader continues at 8.

// Step handles one message.
func (c *Core) Step(m Message, now time.Time) {
	if m.Group != c.Group || m.To != c.ID && m.To != "" {
		return
	}
	c.recordFormat(m)
	c.checkLeaseGrant(m, now)
	switch m.Type {
	case MsgPreVote, MsgVote:
		c.handleVote(m, now)
		return
	case MsgPreVoteReply, MsgVoteReply:
		c.handleVoteReply(m, now)
		return
	case MsgJoin:
		c.handleJoin(m, now)
		return
	case MsgHello:
		c.handleHello(m, now)
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	if m.Term > c.term {
		c.becomeFollower(m.Term, "", now)
	}
	c.stepInTerm(m, now)
}

// rejectStaleTerm informs a deposed leader of the current term.
func (c *Core) rejectStaleTerm(m Message) {
	if m.Type == MsgAppend || m.Type == MsgSnapshot {
		c.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Hint: c.log.lastIndex()})
	}
}

func (c *Core) stepInTerm(m Message, now time.Time) {
	switch m.Type {
	case MsgAppend:
		c.followLeader(m, now)
		c.handleAppend(m)
	case MsgSnapshot:
		c.followLeader(m, now)
		c.handleSnapshot(m)
	case MsgAppendReply:
		c.handleAppendReply(m, now)
	case MsgSnapshotReply:
		c.handleSnapshotReply(m, now)
	case MsgTimeoutNow:
		if c.IsVoter() && c.role != Leader {
			c.startElection(now, true)
		}
	}
}

func (c *Core) followLeader(m Message, now time.Time) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From, now)
	}
	c.lastLeaderContact = now
	c.leaseGrant = leaseGrant{m.From, m.Term}
	c.restarted = false
	c.resetElection(now)
}

func (c *Core) handleAppend(m Message) {
	reply := Message{Type: MsgAppendReply, To: m.From, Seq: m.Seq}
	prev := m.Index
	if m.Index < c.log.snap.Index {
		reply.Index = c.log.snap.Index
		m = c.skipCompacted(m)
	}
	t, ok := c.log.term(m.Index)
	if !ok || t != m.LogTerm {
		reply.Reject = true
		reply.Index = prev // identifies the rejected append
		reply.Hint = c.rejectHint(m)
		c.send(reply)
		return
	}
	c.appendFromLeader(m.Entries)
	last := m.Index + registrar.Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, last))
	reply.Index = max(reply.Index, last)
	c.send(reply)
}

// skipCompacted removes the entries of an append that the snapshot covers.
func (c *Core) skipCompacted(m Message) Message {
	n := int(c.log.snap.Index - m.Index)
	if n >= len(m.Entries) {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[n:]
	}
	m.Index, m.LogTerm = c.log.snap.Index, c.log.snap.Term
	return m
}

// rejectHint returns the highest index at which the logs may agree. It does not
// search below the commit index, up to which they do.
func (c *Core) rejectHint(m Message) registrar.Index {
	i := min(c.log.lastIndex(), m.Index-1)
	for i > c.commit {
		if t, _ := c.log.term(i); t <= m.LogTerm {
			break
		}
		i--
	}
	return i
}

func (c *Core) appendFromLeader(entries []Entry) {
	for i, e := range entries {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.truncateFrom(e.Index)
		}
		c.log.entries = append(c.log.entries, entries[i:]...)
		c.unstable = append(c.unstable, entries[i:]...)
		c.refreshVoters()
		return
	}
}

// truncateFrom removes the suffix of the log that conflicts with the leader's.
func (c *Core) truncateFrom(i registrar.Index) {
	c.log.truncate(i)
	c.stable = min(c.stable, i-1)
	c.saving = min(c.saving, i-1)
	for n, e := range c.unstable {
		if e.Index >= i {
			c.unstable = c.unstable[:n]
			break
		}
	}
}

// handleSnapshot collects the chunks of a snapshot. An interrupted transfer
// continues after the bytes already received.
func (c *Core) handleSnapshot(m Message) {
	ch := m.Chunk
	if ch == nil {
		return
	}
	if t, ok := c.log.term(ch.Index); ok && t == ch.Term {
		// The log already holds every entry that the snapshot covers. Entries after it
		// may have been acknowledged and must be kept.
		c.commit = max(c.commit, ch.Index)
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit, Seq: m.Seq})
		return
	}
	if ch.Index <= c.commit {
		c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.commit, Seq: m.Seq})
		return
	}
	in := c.incomingSnapshot
	if in == nil || in.Index != ch.Index || in.Term != ch.Term || in.Total != ch.Total {
		in = &Chunk{Index: ch.Index, Term: ch.Term, Voters: ch.Voters, Total: ch.Total}
		c.incomingSnapshot = in
	}
	if ch.Offset == len(in.Data) {
		in.Data = append(in.Data, ch.Data...)
	}
	if len(in.Data) < in.Total {
		c.send(Message{Type: MsgSnapshotReply, To: m.From, Seq: m.Seq, Chunk: &Chunk{Index: in.Index, Term: in.Term, Offset: len(in.Data)}})
		return
	}
	c.installSnapshot(Snapshot{Index: in.Index, Term: in.Term, Voters: in.Voters, Data: in.Data})
	c.incomingSnapshot = nil
	c.send(Message{Type: MsgAppendReply, To: m.From, Index: c.log.lastIndex(), Seq: m.Seq})
}

func (c *Core) installSnapshot(snap Snapshot) {
	c.log = raftLog{snap: snap}
	c.commit = snap.Index
	c.applying = snap.Index
	c.stable = snap.Index
	c.saving = snap.Index
	c.unstable = nil
	c.unstableSnapshot = &snap
	c.refreshVoters()
}
