package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the leader: it replicates entries, sends heartbeats, advances
// the commit index, confirms reads and steps down without a quorum (check
// quorum). With three voters and the match indexes 10, 9 and 7, index 9 is
// committed if its entry is of the leader's term.

func (c *Core) tickLeader(now time.Time) {
	if c.transferee != "" && !now.Before(c.transferDeadline) {
		c.transferee = ""
	}
	if c.lostQuorum(now) && c.Disabled&WithoutCheckQuorum == 0 {
		c.becomeFollower(c.term, "", now)
		return
	}
	c.dropLearners(now)
	c.replaceVoters(now)
	c.allFormats = c.compareFormats(now)
	if now.Sub(c.lastHeartbeat) >= c.Timing.Heartbeat {
		c.startHeartbeatRound(now)
		c.broadcastAll(now)
		c.maybeSendTimeoutNow()
	}
}

// lostQuorum reports whether less than a quorum replied within the longest
// election timeout.
func (c *Core) lostQuorum(now time.Time) bool {
	n := 0
	for _, id := range c.voters {
		p := c.progress[id]
		if id == c.ID || p != nil && now.Sub(p.lastContact) < c.Timing.ElectionMax {
			n++
		}
	}
	return n < quorumOf(c.voters)
}

// BroadcastCommit sends a heartbeat with the newest commit index to every voter and learner.
func (c *Core) BroadcastCommit(now time.Time) {
	if c.role != Leader {
		return
	}
	c.startHeartbeatRound(now)
	for _, id := range c.followers() {
		p := c.progress[id]
		c.sendAppend(id, p, now, true)
	}
	c.advanceAckedRound()
}

// followers returns the ids of all replicas with a progress, learners included.
// They are sorted, so that equal inputs give equal outputs.
func (c *Core) followers() []ReplicaID {
	if c.followerIDs == nil {
		c.followerIDs = slices.Sorted(maps.Keys(c.progress))
	}
	return c.followerIDs
}

func (c *Core) startHeartbeatRound(now time.Time) {
	c.seq++
	c.lastHeartbeat = now
	c.heartbeatRounds = append(c.heartbeatRounds, heartbeatRound{c.seq, now})
}

// broadcast sends new entries to every voter. Learners do not count for a commit,
// so they receive entries in batches at intervals of Timing.LearnerHeartbeat.
func (c *Core) broadcast(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.next <= c.log.lastIndex() && !p.learner {
			c.sendAppend(id, p, now, false)
		}
	}
}

// broadcastAll sends an append or a heartbeat to every voter and to each learner
// to which nothing was sent for Timing.LearnerHeartbeat.
func (c *Core) broadcastAll(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.learner && now.Sub(p.lastSent) < c.Timing.LearnerHeartbeat {
			continue
		}
		c.sendAppend(id, p, now, true)
	}
	c.advanceAckedRound()
}

func (c *Core) sendAppend(id ReplicaID, p *progress, now time.Time, heartbeat bool) {
	if heartbeat && len(p.inflight) > 0 && now.Sub(p.inflight[0].sentAt) >= c.replyTimeout(p) {
		p.next, p.inflight, p.probing = p.match+1, nil, true
	}
	if !c.follows(id) {
		if heartbeat {
			c.send(Message{Type: MsgAppend, To: id, Seq: c.seq})
			p.lastSent = now
		}
		return
	}
	if p.next <= c.log.snap.Index {
		c.sendSnapshot(id, p, now, heartbeat)
		return
	}
	var entries []Entry
	if !p.isPaused() {
		entries = c.log.entriesFrom(p.next, maxAppendBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	prev := p.next - 1
	if len(entries) == 0 && len(p.inflight) > 0 {
		prev = p.inflight[0].prev // a heartbeat may overtake the messages in flight
	}
	term, _ := c.log.term(prev)
	c.send(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: c.commit, Seq: c.seq})
	p.lastSent = now
	if len(entries) > 0 {
		p.inflight = append(p.inflight, inflightMessage{prev, entries[len(entries)-1].Index, entriesSize(entries), c.seq, now})
		p.next = entries[len(entries)-1].Index + 1
	}
}

// isPaused reports whether no more entries may be sent until some in flight are
// acknowledged.
func (p *progress) isPaused() bool {
	if p.probing {
		return len(p.inflight) > 0
	}
	return len(p.inflight) >= maxInflight || p.inflightBytes() >= maxInflightBytes
}

// replyTimeout returns the time after which entries in flight count as lost. It
// grows with the bytes in flight, since resending entries that a slow link still
// carries would delay them further.
func (c *Core) replyTimeout(p *progress) time.Duration {
	return resendHeartbeats*c.Timing.Heartbeat + time.Duration(p.inflightBytes())*time.Second/minLinkRate
}

// sendSnapshot sends the next chunk of the snapshot. One chunk is in flight at a
// time; a heartbeat resends it after the reply timeout.
func (c *Core) sendSnapshot(id ReplicaID, p *progress, now time.Time, heartbeat bool) {
	snap := &c.log.snap
	if !p.sendingSnapshot {
		p.sendingSnapshot, p.snapshotOffset, p.snapshotSeq = true, 0, c.seq
	} else if !heartbeat || now.Sub(p.lastSent) < resendHeartbeats*c.Timing.Heartbeat+snapshotChunkSize*time.Second/minLinkRate {
		return
	}
	c.sendChunk(id, p, snap, now)
}

func (c *Core) sendChunk(id ReplicaID, p *progress, snap *Snapshot, now time.Time) {
	if p.snapshotOffset > len(snap.Data) {
		p.snapshotOffset = 0
	}
	end := min(p.snapshotOffset+snapshotChunkSize, len(snap.Data))
	chunk := &Chunk{Index: snap.Index, Term: snap.Term, Voters: snap.Voters, Offset: p.snapshotOffset, Total: len(snap.Data), Data: snap.Data[p.snapshotOffset:end]}
	c.send(Message{Type: MsgSnapshot, To: id, Chunk: chunk, Commit: c.commit, Seq: c.seq})
	p.lastSent = now
}

// handleSnapshotReply sends the chunk that follows the bytes received. A chunk that
// was sent again has several replies, of which only the first is followed by the
// next chunk.
func (c *Core) handleSnapshotReply(m Message, now time.Time) {
	p := c.recordReply(m, now)
	if p == nil || m.Chunk == nil || !p.sendingSnapshot {
		return
	}
	offset, replaced := m.Chunk.Offset, m.Chunk.Index != c.log.snap.Index
	if replaced {
		offset = 0 // the snapshot in transfer was replaced by a newer one
	}
	stale := offset <= p.snapshotOffset && m.Seq < p.snapshotSeq
	if stale || offset == p.snapshotOffset && !replaced {
		return
	}
	p.snapshotOffset, p.snapshotSeq = offset, c.seq
	if !c.follows(m.From) {
		return
	}
	c.sendChunk(m.From, p, &c.log.snap, now)
}

// recordReply records a reply of a replica and returns its progress, or nil if
// the reply is stale or unexpected.
func (c *Core) recordReply(m Message, now time.Time) *progress {
	if c.role != Leader || m.Term != c.term {
		return nil
	}
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastContact = now
	if m.Seq > p.seq {
		first := p.seq == 0
		p.seq = m.Seq
		c.advanceAckedRound()
		if first {
			c.allFormats = c.compareFormats(now)
		}
	}
	return p
}

func (c *Core) handleAppendReply(m Message, now time.Time) {
	p := c.recordReply(m, now)
	if p == nil {
		return
	}
	if m.Reject {
		if !p.isPendingAppend(m.Index) {
			return
		}
		p.next = max(min(m.Hint+1, p.next-1), p.match+1)
		p.inflight, p.probing = nil, true
		if c.follows(m.From) {
			c.sendAppend(m.From, p, now, true)
		}
		return
	}
	p.acknowledge(m.Index)
	if p.lostInflight(m) {
		p.next, p.inflight = m.Index+1, nil
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	p.sendingSnapshot = false
	p.probing = false
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.lastIndex() && (!p.learner || c.isLagging(p)) {
		c.sendAppend(m.From, p, now, false)
	}
	c.maybeSendTimeoutNow()
	c.promote(m.From, p, now)
}

// isLagging reports whether a learner is so far behind that it gets the next
// entries without waiting for Timing.LearnerHeartbeat.
func (c *Core) isLagging(p *progress) bool {
	return c.log.lastIndex()-p.match > maxLearnerLag
}

// maxLearnerLag is the number of entries that a learner normally lags behind
// between two messages.
const maxLearnerLag = 1000

// quorumValue returns the highest value that a quorum of the voters has reached.
// A voter without progress counts with the zero value.
func quorumValue[T cmp.Ordered](c *Core, own T, of func(*progress) T) T {
	var zero T
	values := make([]T, 0, len(c.voters))
	for _, id := range c.voters {
		switch p := c.progress[id]; {
		case id == c.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, zero)
		}
	}
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[len(values)-quorumOf(c.voters)]
}

// advanceCommit commits the highest index that a quorum has saved, if its entry
// is of the current term.
func (c *Core) advanceCommit() {
	i := quorumValue(c, c.stable, func(p *progress) registrar.Index { return p.match })
	if t, _ := c.log.term(i); i > c.commit && t == c.term {
		c.commit = i
		c.stepDownIfRemoved()
	}
}

func (c *Core) stepDownIfRemoved() {
	if c.IsVoter() || c.commit < c.votersIndex {
		return
	}
	c.resetLeaderState()
	c.role = Follower
	c.leader = ""
}

// advanceAckedRound finds the newest heartbeat round acknowledged by a quorum. The
// leader's lease starts at its send time, and reads requested up to that round
// are confirmed.
func (c *Core) advanceAckedRound() {
	acked := quorumValue(c, c.seq, func(p *progress) uint64 { return p.seq })
	for len(c.heartbeatRounds) > 0 && c.heartbeatRounds[0].seq <= acked {
		c.leaseStart = c.heartbeatRounds[0].sent
		c.heartbeatRounds = c.heartbeatRounds[1:]
	}
	c.confirmReadsTo(acked)
}

func (c *Core) confirmReads() { c.advanceAckedRound() }

func (c *Core) confirmReadsTo(acked uint64) {
	n := 0
	for n < len(c.pendingReads) && c.pendingReads[n].seq <= acked {
		c.confirmedReads = append(c.confirmedReads, c.pendingReads[n].id)
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}
