package replicator

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the state of a Core and its entry points. Each entry point
// takes the present time and leaves its results to be fetched by Ready.
// Example of a round: Step(message, now), Ready(), save and send what it
// gave, Saved(). While that is being saved, further messages may be stepped and
// TakeEarly fetches what need not wait, so that a slow disk does not keep a
// leader from sending heartbeats.

// Limits of one message.
const (
	maxAppendBytes    = 256 << 10
	maxInflight       = 32        // messages with entries that have no answer
	maxInflightBytes  = 512 << 10 // bytes of their entries
	minLinkRate       = 128 << 10 // bytes a second, by which answers may be late; a tenth of what a link between regions carries for one replica
	snapshotChunkSize = 64 << 10
	resendHeartbeats  = 3 // heartbeats without an answer before a resend
)

// Core is the algorithm of one replica.
type Core struct {
	Group   GroupID
	ID      ReplicaID
	Durable bool // the replica has a disk and may become a voter
	Open    bool // every durable replica becomes a voter
	Timing  Timing
	Rand    *rand.Rand
	// Disabled names mechanisms that are switched off, so that tests can show
	// that their checks notice.
	Disabled Mechanism

	term   registrar.Term
	vote   ReplicaID
	role   Role
	leader ReplicaID

	log         raftLog
	commit      registrar.Index
	applying    registrar.Index // delivered by Ready
	stable      registrar.Index // saved
	saving      registrar.Index // saved once the newest Ready is
	voters      []ReplicaID
	votersIndex registrar.Index // of the newest membership entry

	electionDeadline  time.Time
	lastLeaderContact time.Time // zero: nothing is owed to a leader
	leaseGrant        leaseGrant
	restarted         bool      // no leader was heard since the start
	fastElectionUntil time.Time // pre-votes are repeated soon
	deferredAt        time.Time // when another candidate was given way last
	votes             map[ReplicaID]bool
	forced            bool

	// Of a leader.
	progress         map[ReplicaID]*progress
	followerIDs      []ReplicaID // of progress; stale while the lengths differ or nil
	seq              uint64      // of the newest round
	heartbeatRounds  []heartbeatRound
	leaseStart       time.Time // send time of the newest round that a quorum answered
	lastHeartbeat    time.Time
	pendingReads     []pendingRead
	transferee       ReplicaID
	transferDeadline time.Time
	transferSent     bool // another replica was asked to take over, whenever it does

	// Of a follower.
	incomingSnapshot *Chunk
	nextJoin         time.Time

	prevHardState    HardState
	unstable         []Entry
	unstableSnapshot *Snapshot
	immediate        []Message
	afterSave        []Message
	confirmedReads   []ReadID
}

// Mechanism is a set of protections of the algorithm.
type Mechanism uint8

// Mechanisms that a test can switch off.
const (
	WithoutSync Mechanism = 1 << iota // acknowledges before saving
	WithoutCheckQuorum
	WithoutLogCheck          // votes for candidates with older logs
	WithoutLeaderStickiness  // votes although a leader was heard
	WithoutRestartStickiness // a replica that restarts votes at once
)

type heartbeatRound struct {
	seq  uint64
	sent time.Time
}

// progress is what a leader holds of another replica.
type progress struct {
	match           registrar.Index
	next            registrar.Index
	inflight        []inflightMessage // messages with entries that have no answer, oldest first
	seq             uint64            // newest answered round
	lastContact     time.Time
	lastSent        time.Time
	learner         bool
	durable         bool
	snapshotOffset  int  // offset of the snapshot in transfer
	sendingSnapshot bool // a snapshot is in transfer
	probing         bool // the position is not known: one message at a time
}

// inflightMessage is a message with entries on its way.
type inflightMessage struct {
	prev   registrar.Index // before its entries
	last   registrar.Index // of its entries
	size   int             // bytes
	seq    uint64          // of the round that it was sent in
	sentAt time.Time       // when it was sent
}

// acknowledge forgets the messages up to an index that was answered.
func (p *progress) acknowledge(index registrar.Index) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

// isPendingAppend reports whether a refusal of an append after an index is about
// something that is on its way, and not about what was sent again since.
func (p *progress) isPendingAppend(prev registrar.Index) bool {
	for _, f := range p.inflight {
		if f.prev == prev {
			return true
		}
	}
	return len(p.inflight) == 0 && prev == p.next-1
}

// lostInflight reports whether an answer shows that the oldest message on its way was
// lost: the replica has what was before it, and has answered a later heartbeat.
func (p *progress) lostInflight(m Message) bool {
	return len(p.inflight) > 0 && m.Index == p.inflight[0].prev && m.Seq > p.inflight[0].seq
}

// inflightBytes returns the bytes that are on their way.
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

// Ready holds the results of the last steps.
type Ready struct {
	Immediate        []Message // may be sent before saving
	Hard             HardState
	HardStateChanged bool
	Entries          []Entry   // to save
	Snapshot         *Snapshot // to save and restore
	AfterSave        []Message // to be sent after saving
	Committed        []Entry   // to apply; these are saved by a majority
	Reads            []ReadID  // may be answered after Committed is applied
}

// NotLeaderError tells that a proposal was made to a replica that doesn't lead.
type NotLeaderError struct {
	Leader ReplicaID
}

// Error describes the refusal.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader (leader is %q)", string(e.Leader))
}

// Start makes a core from what its storage held.
func (c *Core) Start(saved Saved, now time.Time) {
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

// IsVoter reports whether the replica itself has a vote.
func (c *Core) IsVoter() bool { return slices.Contains(c.voters, c.ID) }

// Status describes the replica.
func (c *Core) Status() Status {
	st := Status{ID: c.ID, Role: c.role, Term: c.term, Leader: c.leader, Voters: c.voters, Commit: c.commit}
	if c.role == Leader && !c.transferSent && !c.leaseStart.IsZero() {
		st.LeaseUntil = c.leaseStart.Add(c.Timing.ElectionMin * 9 / 10)
	}
	return st
}

// Ready returns and clears the results of the last steps. The caller saves,
// sends and then calls Saved.
func (c *Core) Ready() Ready {
	r := Ready{Immediate: c.immediate, Entries: c.unstable, Snapshot: c.unstableSnapshot, AfterSave: c.afterSave, Reads: c.confirmedReads}
	r.Hard = c.hardState()
	r.HardStateChanged = r.Hard != c.prevHardState
	c.immediate, c.unstable, c.unstableSnapshot, c.afterSave, c.confirmedReads = nil, nil, nil, nil, nil
	c.prevHardState = r.Hard
	c.saving = c.log.lastIndex()
	return r
}

// TakeImmediate returns and clears the messages that may be sent before saving.
func (c *Core) TakeImmediate() []Message {
	out := c.immediate
	c.immediate = nil
	return out
}

// Advance tells that what the last Ready gave is on disk.
func (c *Core) Advance() {
	c.stable = max(c.stable, min(c.saving, c.log.lastIndex()))
	if c.role == Leader {
		c.advanceCommit()
	}
}

// TakeCommitted returns the entries that a majority has saved and that were not
// returned before. This replica itself may yet be saving them. A snapshot that
// came in goes first, by Ready.
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

// HasReady reports whether Ready would return anything.
func (c *Core) HasReady() bool {
	return len(c.immediate)+len(c.afterSave)+len(c.unstable)+len(c.confirmedReads) > 0 ||
		c.unstableSnapshot != nil || c.prevHardState != c.hardState()
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Leader: c.leaseGrant.leader, LeaderTerm: c.leaseGrant.term}
}

// FullState is all that a storage has to hold.
type FullState struct {
	Snapshot Snapshot
	Hard     HardState
	Entries  []Entry
	// Restore is a snapshot that Ready has not given, to be restored.
	Restore *Snapshot
}

// FullState returns all that a storage has to hold, for one that lost track of what
// it does hold. It counts as given by Ready.
func (c *Core) FullState() FullState {
	w := FullState{Snapshot: c.log.snap, Hard: c.hardState(), Entries: append([]Entry(nil), c.log.entries...), Restore: c.unstableSnapshot}
	c.unstable, c.unstableSnapshot = nil, nil
	c.prevHardState = w.Hard
	c.saving = c.log.lastIndex()
	return w
}

// Propose appends data to the log of a leader.
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

// Read asks that id be returned by Ready once a read of the present state is
// linearizable.
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

// Compact drops the log up to the index of a snapshot of the applied state and
// returns what the storage has to save.
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

// LogSize returns the number of entries held after the last snapshot and the
// bytes of their data.
func (c *Core) LogSize() (entries, size int) {
	for i := range c.log.entries {
		size += len(c.log.entries[i].Data)
	}
	return len(c.log.entries), size
}

func (c *Core) send(m Message) {
	m.Group, m.From = c.Group, c.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	if c.Disabled&WithoutSync != 0 || m.Type == MsgAppend || m.Type == MsgSnapshot || m.Type == MsgJoin || m.Type == MsgHello {
		c.immediate = append(c.immediate, m)
		return
	}
	c.afterSave = append(c.afterSave, m)
}
