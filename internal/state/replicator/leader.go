package replicator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds what a leader does: sending entries and heartbeats, counting
// answers, committing, confirming reads, stepping down without a quorum.
// Example: with three voters and the positions 10, 9 and 7, index 9 is
// committed if its entry is of the leader's term.

func (c *Core) tickLeader(now time.Time) {
	if c.transferee != "" && !now.Before(c.transferEnd) {
		c.transferee = ""
	}
	if c.lostQuorum(now) && c.Disabled&WithoutCheckQuorum == 0 {
		c.becomeFollower(c.term, "", now)
		return
	}
	c.dropLearners(now)
	c.replaceVoters(now)
	if now.Sub(c.beatAt) >= c.Timing.Heartbeat {
		c.newRound(now)
		c.broadcastAll(now)
		c.tryTransfer()
	}
}

// lostQuorum reports whether fewer than a majority answered within the longest
// election timeout.
func (c *Core) lostQuorum(now time.Time) bool {
	n := 0
	for _, id := range c.members {
		p := c.progress[id]
		if id == c.ID || p != nil && now.Sub(p.heard) < c.Timing.ElectionMax {
			n++
		}
	}
	return n < quorumOf(c.members)
}

// Hurry sends a heartbeat, with the newest commit index, to every replica.
func (c *Core) Hurry(now time.Time) {
	if c.role != Leader {
		return
	}
	c.newRound(now)
	for _, id := range c.followers() {
		p := c.progress[id]
		c.sendAppend(id, p, now, true)
	}
	c.countRounds()
}

// followers returns the replicas that are followed, in the order of their ids,
// so that equal inputs give equal outputs.
func (c *Core) followers() []ReplicaID {
	if c.order == nil {
		c.order = slices.Sorted(maps.Keys(c.progress))
	}
	return c.order
}

func (c *Core) newRound(now time.Time) {
	c.seq++
	c.beatAt = now
	c.rounds = append(c.rounds, round{c.seq, now})
}

// broadcast sends new entries to every voter that is ready for them. Learners
// have no part in a commit; they get entries from time to time in one message.
func (c *Core) broadcast(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.next <= c.log.last() && !p.learner {
			c.sendAppend(id, p, now, false)
		}
	}
}

// broadcastAll sends to every voter, and to each learner that is due.
func (c *Core) broadcastAll(now time.Time) {
	for _, id := range c.followers() {
		p := c.progress[id]
		if p.learner && now.Sub(p.sent) < c.Timing.LearnerDelay {
			continue
		}
		c.sendAppend(id, p, now, true)
	}
	c.countRounds()
}

func (c *Core) sendAppend(id ReplicaID, p *progress, now time.Time, beat bool) {
	if beat && len(p.flights) > 0 && now.Sub(p.flights[0].at) >= c.answerTime(p) {
		p.next, p.flights, p.probing = p.match+1, nil, true
	}
	if p.next <= c.log.snap.Index {
		c.sendSnapshot(id, p, now, beat)
		return
	}
	var entries []Entry
	if !p.busy() {
		entries = c.log.upTo(p.next, maxAppendBytes)
	}
	if len(entries) == 0 && !beat {
		return
	}
	prev := p.next - 1
	if len(entries) == 0 && len(p.flights) > 0 {
		prev = p.flights[0].prev // a heartbeat may overtake what is on its way
	}
	term, _ := c.log.term(prev)
	c.send(Message{Type: MsgAppend, To: id, Index: prev, LogTerm: term, Entries: entries, Commit: c.commit, Seq: c.seq})
	p.sent = now
	if len(entries) > 0 {
		p.flights = append(p.flights, flight{prev, entries[len(entries)-1].Index, sizeOf(entries), c.seq, now})
		p.next = entries[len(entries)-1].Index + 1
	}
}

// busy reports whether no more entries may be sent until some are answered.
func (p *progress) busy() bool {
	if p.probing {
		return len(p.flights) > 0
	}
	return len(p.flights) >= maxInflight || p.flying() >= maxInflightSize
}

// answerTime returns the time after which entries on their way are held to be
// lost. Large ones take their time, and to send them again would only add to it.
func (c *Core) answerTime(p *progress) time.Duration {
	return resendAfterBeat*c.Timing.Heartbeat + time.Duration(p.flying())*time.Second/slowestLink
}

// sendSnapshot sends the next chunk of the snapshot. One chunk is in flight at
// a time; a heartbeat sends it again when no answer came.
func (c *Core) sendSnapshot(id ReplicaID, p *progress, now time.Time, beat bool) {
	snap := &c.log.snap
	if !p.sending {
		p.sending, p.chunk = true, 0
	} else if !beat || now.Sub(p.sent) < resendAfterBeat*c.Timing.Heartbeat+snapshotChunk*time.Second/slowestLink {
		return
	}
	c.sendChunk(id, p, snap, now)
}

func (c *Core) sendChunk(id ReplicaID, p *progress, snap *Snapshot, now time.Time) {
	if p.chunk > len(snap.Data) {
		p.chunk = 0
	}
	end := min(p.chunk+snapshotChunk, len(snap.Data))
	chunk := &Chunk{Index: snap.Index, Term: snap.Term, Voters: snap.Voters, Offset: p.chunk, Total: len(snap.Data), Data: snap.Data[p.chunk:end]}
	c.send(Message{Type: MsgSnapshot, To: id, Chunk: chunk, Commit: c.commit, Seq: c.seq})
	p.sent = now
}

func (c *Core) handleSnapshotReply(m Message, now time.Time) {
	p := c.heardFrom(m, now)
	if p == nil || m.Chunk == nil || !p.sending {
		return
	}
	if m.Chunk.Index != c.log.snap.Index {
		p.chunk = 0 // a newer snapshot replaced the one in transfer
	} else {
		p.chunk = m.Chunk.Offset
	}
	c.sendChunk(m.From, p, &c.log.snap, now)
}

// heardFrom notes an answer of a replica and returns its progress.
func (c *Core) heardFrom(m Message, now time.Time) *progress {
	if c.role != Leader || m.Term != c.term {
		return nil
	}
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	p.heard = now
	if m.Seq > p.seq {
		p.seq = m.Seq
		c.countRounds()
	}
	return p
}

func (c *Core) handleAppendReply(m Message, now time.Time) {
	p := c.heardFrom(m, now)
	if p == nil {
		return
	}
	if m.Reject {
		if !p.concerns(m.Index) {
			return
		}
		p.next = max(min(m.Hint+1, p.next-1), p.match+1)
		p.flights, p.probing = nil, true
		c.sendAppend(m.From, p, now, true)
		return
	}
	p.land(m.Index)
	if p.missed(m) {
		p.next, p.flights = m.Index+1, nil
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	p.sending = false
	p.probing = false
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.last() && (!p.learner || c.behind(p)) {
		c.sendAppend(m.From, p, now, false)
	}
	c.tryTransfer()
	c.promote(m.From, p, now)
}

// behind reports whether a learner misses so much that it is sent without
// delay.
func (c *Core) behind(p *progress) bool {
	return c.log.last()-p.match > catchUpEntries
}

// catchUpEntries is the lag of a learner that is normal between two messages.
const catchUpEntries = 1000

// quorumValue returns the highest value that a majority of the voters has
// reached. A voter that was not heard of has reached 0.
func quorumValue[T cmp.Ordered](c *Core, own T, of func(*progress) T) T {
	var zero T
	values := make([]T, 0, len(c.members))
	for _, id := range c.members {
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
	return values[len(values)-quorumOf(c.members)]
}

// advanceCommit commits the highest index that a majority saved, if its entry
// is of the present term.
func (c *Core) advanceCommit() {
	i := quorumValue(c, c.stable, func(p *progress) registrar.Index { return p.match })
	if t, _ := c.log.term(i); i > c.commit && t == c.term {
		c.commit = i
		c.stepDownIfRemoved()
	}
}

func (c *Core) stepDownIfRemoved() {
	if c.Voter() || c.commit < c.memberI {
		return
	}
	c.dropLeadership()
	c.role = Follower
	c.leader = ""
}

// countRounds finds the newest round that a quorum answered. Its send time
// bounds the leader's own lease and releases reads.
func (c *Core) countRounds() {
	acked := quorumValue(c, c.seq, func(p *progress) uint64 { return p.seq })
	for len(c.rounds) > 0 && c.rounds[0].seq <= acked {
		c.ackedAt = c.rounds[0].sent
		c.rounds = c.rounds[1:]
	}
	c.releaseReadsTo(acked)
}

func (c *Core) releaseReads() { c.countRounds() }

func (c *Core) releaseReadsTo(acked uint64) {
	n := 0
	for n < len(c.reads) && c.reads[n].seq <= acked {
		c.readsDone = append(c.readsDone, c.reads[n].id)
		n++
	}
	c.reads = c.reads[n:]
}
