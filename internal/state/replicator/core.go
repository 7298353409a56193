package replicator

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the state of a Core and its entry points. Each entry point
// takes the current time; Ready returns the results. The caller steps messages,
// calls Ready, saves and sends what it returned, and calls Advance. While a
// write is in progress, more messages may be stepped, and TakeImmediate returns
// the messages that do not depend on the write, so that a slow disk does not
// delay a leader's heartbeats.

// Limits of replication to one follower.
const (
	maxAppendBytes    = 256 << 10
	maxInflight       = 32        // unacknowledged messages with entries
	maxInflightBytes  = 512 << 10 // bytes of entries in these messages
	minLinkRate       = 128 << 10 // bytes per second, extends reply timeouts; a tenth of what a link between regions carries for one replica
	snapshotChunkSize = 64 << 10  // bytes
	resendHeartbeats  = 3         // heartbeat intervals without a reply before a resend
)

// Core is the Raft state machine of one replica.
type Core struct {
	Group          GroupID
	ID             ReplicaID
	Durable        bool // the replica has a disk and may become a voter
	OpenMembership bool // every durable replica becomes a voter
	Timing         Timing
	Rand           *rand.Rand
	Format         Format // the latest that this replica follows, which it tells the others; 0: it does not tell
	// Disabled holds the mechanisms that are switched off, by which tests show
	// that their checks detect a missing one.
	Disabled Mechanism

	term   registrar.Term
	vote   ReplicaID
	role   Role
	leader ReplicaID

	log         raftLog
	commit      registrar.Index
	applying    registrar.Index // of the newest entry returned by TakeCommitted
	stable      registrar.Index // of the newest entry saved on this replica
	saving      registrar.Index // becomes stable with the next Advance
	voters      []ReplicaID
	votersIndex registrar.Index // of the newest EntryVoters, or of the snapshot

	electionDeadline  time.Time
	lastLeaderContact time.Time // zero: no leader can hold a lease that this replica granted
	leaseGrant        leaseGrant
	formats           map[ReplicaID]Format // that other replicas have told last
	required          Format               // a replica that doesn't follow it gets no entries and no vote
	restarted         bool                 // no message from a leader received since Start
	fastElectionUntil time.Time            // pre-votes are repeated at short intervals until then
	deferredAt        time.Time            // last time this replica deferred to another candidate
	votes             map[ReplicaID]bool
	forced            bool

	// State of a leader.
	progress         map[ReplicaID]*progress
	followerIDs      []ReplicaID // sorted keys of progress; nil: to be rebuilt
	seq              uint64      // of the newest heartbeat round
	heartbeatRounds  []heartbeatRound
	leaseStart       time.Time // send time of the newest round acknowledged by a quorum
	lastHeartbeat    time.Time
	pendingReads     []pendingRead
	transferee       ReplicaID
	transferDeadline time.Time
	transferSent     bool // MsgTimeoutNow was sent during this leadership and may still arrive
	allFormats       Formats

	// State of a follower.
	incomingSnapshot *Chunk
	nextJoin         time.Time

	prevHardState    HardState
	unstable         []Entry
	unstableSnapshot *Snapshot
	immediate        []Message
	afterSave        []Message
	confirmedReads   []ReadID
}

// Mechanism is a bit set of safety mechanisms.
type Mechanism uint8

// Flags by which a test switches mechanisms off.
const (
	WithoutSync Mechanism = 1 << iota // acknowledges entries before they are saved
	WithoutCheckQuorum
	WithoutLogCheck          // votes for candidates whose log is behind
	WithoutLeaderStickiness  // votes within ElectionMin of the last leader contact
	WithoutRestartStickiness // forgets the lease grant at a restart
)

type heartbeatRound struct {
	seq  uint64
	sent time.Time
}

// progress is the leader's view of a follower or learner.
type progress struct {
	match           registrar.Index
	next            registrar.Index
	inflight        []inflightMessage // unacknowledged messages with entries, oldest first
	seq             uint64            // newest acknowledged heartbeat round
	lastContact     time.Time
	lastSent        time.Time
	learner         bool
	durable         bool
	snapshotOffset  int    // of the next chunk to send
	snapshotSeq     uint64 // heartbeat round in which that offset was reached
	sendingSnapshot bool   // a snapshot is in transfer
	probing         bool   // match is not known yet: one message in flight at a time
}

// inflightMessage is an unacknowledged append with entries.
type inflightMessage struct {
	prev   registrar.Index // index before its entries
	last   registrar.Index // index of its last entry
	size   int             // bytes of its entries
	seq    uint64          // of the heartbeat round at its sending
	sentAt time.Time
}

// acknowledge removes the messages up to an acknowledged index.
func (p *progress) acknowledge(index registrar.Index) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

// isPendingAppend reports whether an append after index prev is in flight. A
// rejection of any other append is stale: its entries were sent again since.
// With nothing in flight, only an append right before p.next is pending.
func (p *progress) isPendingAppend(prev registrar.Index) bool {
	for _, f := range p.inflight {
		if f.prev == prev {
			return true
		}
	}
	return len(p.inflight) == 0 && prev == p.next-1
}

// lostInflight reports whether a reply shows that the oldest message in flight
// was lost: the replica holds only the log before it, but has answered a later
// heartbeat.
func (p *progress) lostInflight(m Message) bool {
	return len(p.inflight) > 0 && m.Index == p.inflight[0].prev && m.Seq > p.inflight[0].seq
}

// inflightBytes returns the bytes of the entries in flight.
func (p *progress) inflightBytes() int {
	size := 0
	for _, f := range p.inflight {
		size += f.size
	}
	return size
}

// ReadID identifies a linearizable read.
type ReadID uint64

type pendingRead struct {
	id    ReadID
	seq   uint64
	index registrar.Index
}

// Ready holds the results of all steps since the last Ready.
type Ready struct {
	Immediate        []Message // may be sent before the save
	Hard             HardState
	HardStateChanged bool
	Entries          []Entry   // to save
	Snapshot         *Snapshot // to save and restore
	AfterSave        []Message // to be sent once the save is synced
	Committed        []Entry   // never set: TakeCommitted returns the committed entries
	Reads            []ReadID  // may be answered once the entries of TakeCommitted are applied
}

// NotLeaderError is returned for a request that only a leader can carry out, or
// that the leader can't carry out now.
type NotLeaderError struct {
	Leader ReplicaID
}

// Error names the leader, if it is known.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader (leader is %q)", string(e.Leader))
}

// Start initializes the core from the state that its storage held.
func (c *Core) Start(saved StoredState, now time.Time) {
	c.formats = make(map[ReplicaID]Format)
	c.term, c.vote = saved.Hard.Term, saved.Hard.Vote
	c.prevHardState = saved.Hard
	c.log = raftLog{snap: saved.Snapshot, entries: saved.Entries}
	c.commit, c.applying = saved.Snapshot.Index, saved.Snapshot.Index
	c.stable = c.log.lastIndex()
	c.saving = c.stable
	c.refreshVoters()
	c.restoreLeaseGrant(saved.Hard, now)
	c.resetElection(now)
	if c.term > 0 {
		c.startFastElection(now)
	}
}

func (c *Core) refreshVoters() {
	c.voters, c.votersIndex = c.log.latestVoters()
}

// IsVoter reports whether this replica is a voter.
func (c *Core) IsVoter() bool { return slices.Contains(c.voters, c.ID) }

// mayCampaign reports whether this replica may start elections. Until its removal
// from the voters is committed, the others may be no quorum without its vote, which
// it does not give to a replica without the entry of the removal.
func (c *Core) mayCampaign() bool {
	return c.IsVoter() || c.commit < c.votersIndex && slices.Contains(c.votersAt(c.votersIndex-1), c.ID)
}

// Status returns a snapshot of the replica's state.
func (c *Core) Status() Status {
	st := Status{ID: c.ID, Role: c.role, Term: c.term, Leader: c.leader, Voters: c.voters, Commit: c.commit}
	if c.role == Leader {
		st.Formats = c.allFormats
	}
	if c.role == Leader && !c.transferSent && !c.leaseStart.IsZero() {
		st.LeaseUntil = c.leaseStart.Add(c.Timing.ElectionMin * 9 / 10)
	}
	return st
}

// Ready returns and clears the results of all steps since the last Ready. The
// caller saves them, calls Advance and sends the messages of AfterSave.
func (c *Core) Ready() Ready {
	r := Ready{Immediate: c.immediate, Entries: c.unstable, Snapshot: c.unstableSnapshot, AfterSave: c.afterSave, Reads: c.confirmedReads}
	r.Hard = c.hardState()
	r.HardStateChanged = r.Hard != c.prevHardState
	c.immediate, c.unstable, c.unstableSnapshot, c.afterSave, c.confirmedReads = nil, nil, nil, nil, nil
	c.prevHardState = r.Hard
	c.saving = c.log.lastIndex()
	return r
}

// TakeImmediate returns and clears the messages that may be sent before the
// save.
func (c *Core) TakeImmediate() []Message {
	out := c.immediate
	c.immediate = nil
	return out
}

// Advance records that the results of the last Ready are on disk.
func (c *Core) Advance() {
	c.stable = max(c.stable, min(c.saving, c.log.lastIndex()))
	if c.role == Leader {
		c.advanceCommit()
	}
}

// TakeCommitted returns the committed entries that were not returned before.
// This replica itself may still be saving them. It returns nothing while a
// received snapshot waits to be returned by Ready, which must be restored first.
func (c *Core) TakeCommitted() []Entry {
	if c.unstableSnapshot != nil {
		return nil
	}
	if c.applying < c.log.snap.Index {
		c.applying = c.log.snap.Index
	}
	hi := min(c.commit, c.log.lastIndex())
	out := c.log.slice(c.applying+1, hi)
	if len(out) > 0 {
		c.applying = hi
	}
	return out
}

// HasReady reports whether Ready has anything to return.
func (c *Core) HasReady() bool {
	return len(c.immediate)+len(c.afterSave)+len(c.unstable)+len(c.confirmedReads) > 0 ||
		c.unstableSnapshot != nil || c.prevHardState != c.hardState()
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Leader: c.leaseGrant.leader, LeaderTerm: c.leaseGrant.term}
}

// FullState is the complete content of a storage.
type FullState struct {
	Snapshot Snapshot
	Hard     HardState
	Entries  []Entry
	// Restore is a received snapshot that Ready has not returned yet and that has
	// to be restored.
	Restore *Snapshot
}

// FullState returns the complete content for a storage whose content is unknown
// after a failed write. The unsaved entries and snapshot in it are not returned
// by Ready again.
func (c *Core) FullState() FullState {
	w := FullState{Snapshot: c.log.snap, Hard: c.hardState(), Entries: append([]Entry(nil), c.log.entries...), Restore: c.unstableSnapshot}
	c.unstable, c.unstableSnapshot = nil, nil
	c.prevHardState = w.Hard
	c.saving = c.log.lastIndex()
	return w
}

// Propose appends data to the log if this replica leads and no leadership
// transfer is in progress.
func (c *Core) Propose(data []byte, now time.Time) (registrar.Index, error) {
	if c.role != Leader || c.transferee != "" {
		return 0, &NotLeaderError{c.leader}
	}
	i := c.append(EntryNormal, data)
	c.broadcast(now)
	return i, nil
}

func (c *Core) append(t EntryType, data []byte) registrar.Index {
	e := Entry{Index: c.log.lastIndex() + 1, Term: c.term, Type: t, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.unstable = append(c.unstable, e)
	if t == EntryVoters {
		c.refreshVoters()
	}
	return e.Index
}

// Read requests a read index: Ready returns id once a read of the state applied
// so far is linearizable.
func (c *Core) Read(id ReadID, now time.Time) error {
	if c.role != Leader || !c.committedEntryInTerm() {
		return &NotLeaderError{c.leader}
	}
	c.startHeartbeatRound(now)
	c.pendingReads = append(c.pendingReads, pendingRead{id, c.seq, c.commit})
	c.broadcastAll(now)
	c.confirmReads()
	return nil
}

func (c *Core) committedEntryInTerm() bool {
	t, ok := c.log.term(c.commit)
	return ok && t == c.term
}

// Compact replaces the log up to index by a snapshot of the applied state. It
// returns the snapshot and the saved entries after it, which the storage has to
// write, and reports whether index can be compacted.
func (c *Core) Compact(index registrar.Index, data []byte) (Snapshot, []Entry, bool) {
	if index <= c.log.snap.Index || index > c.applying {
		return Snapshot{}, nil, false
	}
	term, _ := c.log.term(index)
	snap := Snapshot{Index: index, Term: term, Voters: c.votersAt(index), Data: data}
	c.log.compact(snap)
	c.stable = max(c.stable, index)
	rest := append([]Entry(nil), c.log.slice(index+1, min(c.stable, c.log.lastIndex()))...)
	return snap, rest, true
}

func (c *Core) votersAt(index registrar.Index) []ReplicaID {
	voters := c.log.snap.Voters
	for _, e := range c.log.slice(c.log.snap.Index+1, index) {
		if e.Type == EntryVoters {
			voters = decodeVoters(e.Data)
		}
	}
	return voters
}

// LogSize returns the number of entries after the last snapshot and the bytes of
// their data.
func (c *Core) LogSize() (entries, size int) {
	for i := range c.log.entries {
		size += len(c.log.entries[i].Data)
	}
	return len(c.log.entries), size
}

func (c *Core) send(m Message) {
	m.Group, m.From, m.Format = c.Group, c.ID, c.Format
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.Disabled&WithoutSync != 0 || m.Type == MsgAppend || m.Type == MsgSnapshot || m.Type == MsgJoin || m.Type == MsgHello {
		c.immediate = append(c.immediate, m)
		return
	}
	c.afterSave = append(c.afterSave, m)
}
