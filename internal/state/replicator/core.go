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
	maxAppendBytes  = 256 << 10
	maxInflight     = 32        // messages with entries that have no answer
	maxInflightSize = 512 << 10 // bytes of their entries
	slowestLink     = 128 << 10 // bytes a second, by which answers may be late; a tenth of what a link between regions carries for one replica
	snapshotChunk   = 64 << 10
	resendAfterBeat = 3 // heartbeats without an answer before a resend
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

	log     logTail
	commit  registrar.Index
	given   registrar.Index // delivered by Ready
	stable  registrar.Index // saved
	saving  registrar.Index // saved once the newest Ready is
	members []ReplicaID
	memberI registrar.Index // of the newest membership entry

	electionAt  time.Time
	heardLeader time.Time // zero: nothing is owed to a leader
	promise     promise
	restarted   bool      // no leader was heard since the start
	promptUntil time.Time // pre-votes are repeated soon
	yieldedAt   time.Time // when another candidate was given way last
	votes       map[ReplicaID]bool
	forced      bool

	// Of a leader.
	progress    map[ReplicaID]*progress
	order       []ReplicaID // of progress; stale while the lengths differ or nil
	seq         uint64      // of the newest round
	rounds      []round
	ackedAt     time.Time // send time of the newest round that a quorum answered
	beatAt      time.Time
	reads       []pendingRead
	transferee  ReplicaID
	transferEnd time.Time
	gaveLease   bool // another replica was asked to take over, whenever it does

	// Of a follower.
	incoming *Chunk
	joinAt   time.Time

	hardSaved HardState
	unsaved   []Entry
	snapIn    *Snapshot
	early     []Message
	late      []Message
	readsDone []ReadID
}

// Mechanism is a set of protections of the algorithm.
type Mechanism uint8

// Mechanisms that a test can switch off.
const (
	WithoutSync Mechanism = 1 << iota // acknowledges before saving
	WithoutCheckQuorum
	WithoutLogCheck  // votes for candidates with older logs
	WithoutLeaseVote // votes although a leader was heard
	WithoutPromise   // a replica that restarts votes at once
)

type round struct {
	seq  uint64
	sent time.Time
}

// progress is what a leader holds of another replica.
type progress struct {
	match   registrar.Index
	next    registrar.Index
	flights []flight // messages with entries that have no answer, oldest first
	seq     uint64   // newest answered round
	heard   time.Time
	sent    time.Time
	learner bool
	durable bool
	chunk   int  // offset of the snapshot in transfer
	sending bool // a snapshot is in transfer
	probing bool // the position is not known: one message at a time
}

// flight is a message with entries on its way.
type flight struct {
	prev registrar.Index // before its entries
	last registrar.Index // of its entries
	size int             // bytes
	seq  uint64          // of the round that it was sent in
	at   time.Time       // when it was sent
}

// land forgets the messages up to an index that was answered.
func (p *progress) land(index registrar.Index) {
	n := 0
	for n < len(p.flights) && p.flights[n].last <= index {
		n++
	}
	p.flights = p.flights[n:]
}

// concerns reports whether a refusal of an append after an index is about
// something that is on its way, and not about what was sent again since.
func (p *progress) concerns(prev registrar.Index) bool {
	for _, f := range p.flights {
		if f.prev == prev {
			return true
		}
	}
	return len(p.flights) == 0 && prev == p.next-1
}

// missed reports whether an answer shows that the oldest message on its way was
// lost: the replica has what was before it, and has answered a later heartbeat.
func (p *progress) missed(m Message) bool {
	return len(p.flights) > 0 && m.Index == p.flights[0].prev && m.Seq > p.flights[0].seq
}

// flying returns the bytes that are on their way.
func (p *progress) flying() int {
	size := 0
	for _, f := range p.flights {
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
	Early     []Message // may be sent before saving
	Hard      HardState
	HardDirty bool
	Entries   []Entry   // to save
	Snapshot  *Snapshot // to save and restore
	Late      []Message // to be sent after saving
	Committed []Entry   // to apply; these are saved by a majority
	Reads     []ReadID  // may be answered after Committed is applied
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
	c.hardSaved = saved.Hard
	c.log = logTail{snap: saved.Snapshot, entries: saved.Entries}
	c.commit, c.given = saved.Snapshot.Index, saved.Snapshot.Index
	c.stable = c.log.last()
	c.saving = c.stable
	c.refreshMembers()
	c.resumePromise(saved.Hard, now)
	c.resetElection(now)
	if c.term > 0 {
		c.prompt(now)
	}
}

func (c *Core) refreshMembers() {
	c.members, c.memberI = c.log.voters()
}

// Voter reports whether the replica itself has a vote.
func (c *Core) Voter() bool { return slices.Contains(c.members, c.ID) }

// Status describes the replica.
func (c *Core) Status() Status {
	st := Status{ID: c.ID, Role: c.role, Term: c.term, Leader: c.leader, Voters: c.members, Commit: c.commit}
	if c.role == Leader && !c.gaveLease && !c.ackedAt.IsZero() {
		st.LeaseUntil = c.ackedAt.Add(c.Timing.ElectionMin * 9 / 10)
	}
	return st
}

// Ready returns and clears the results of the last steps. The caller saves,
// sends and then calls Saved.
func (c *Core) Ready() Ready {
	r := Ready{Early: c.early, Entries: c.unsaved, Snapshot: c.snapIn, Late: c.late, Reads: c.readsDone}
	r.Hard = c.hard()
	r.HardDirty = r.Hard != c.hardSaved
	c.early, c.unsaved, c.snapIn, c.late, c.readsDone = nil, nil, nil, nil, nil
	c.hardSaved = r.Hard
	c.saving = c.log.last()
	return r
}

// TakeEarly returns and clears the messages that may be sent before saving.
func (c *Core) TakeEarly() []Message {
	out := c.early
	c.early = nil
	return out
}

// Saved tells that what the last Ready gave is on disk.
func (c *Core) Saved() {
	c.stable = max(c.stable, min(c.saving, c.log.last()))
	if c.role == Leader {
		c.advanceCommit()
	}
}

// TakeCommitted returns the entries that a majority has saved and that were not
// returned before. This replica itself may yet be saving them. A snapshot that
// came in goes first, by Ready.
func (c *Core) TakeCommitted() []Entry {
	if c.snapIn != nil {
		return nil
	}
	if c.given < c.log.snap.Index {
		c.given = c.log.snap.Index
	}
	hi := min(c.commit, c.log.last())
	out := c.log.slice(c.given+1, hi)
	if len(out) > 0 {
		c.given = hi
	}
	return out
}

// HasWork reports whether Ready would return anything.
func (c *Core) HasWork() bool {
	return len(c.early)+len(c.late)+len(c.unsaved)+len(c.readsDone) > 0 ||
		c.snapIn != nil || c.hardSaved != c.hard()
}

func (c *Core) hard() HardState {
	return HardState{Term: c.term, Vote: c.vote, Leader: c.promise.leader, LeaderTerm: c.promise.term}
}

// Whole is all that a storage has to hold.
type Whole struct {
	Snapshot Snapshot
	Hard     HardState
	Entries  []Entry
	// Restore is a snapshot that Ready has not given, to be restored.
	Restore *Snapshot
}

// Whole returns all that a storage has to hold, for one that lost track of what
// it does hold. It counts as given by Ready.
func (c *Core) Whole() Whole {
	w := Whole{Snapshot: c.log.snap, Hard: c.hard(), Entries: append([]Entry(nil), c.log.entries...), Restore: c.snapIn}
	c.unsaved, c.snapIn = nil, nil
	c.hardSaved = w.Hard
	c.saving = c.log.last()
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
	e := Entry{Index: c.log.last() + 1, Term: c.term, Type: t, Data: data}
	c.log.entries = append(c.log.entries, e)
	c.unsaved = append(c.unsaved, e)
	if t == EntryMembers {
		c.refreshMembers()
	}
	return e.Index
}

// Read asks that id be returned by Ready once a read of the present state is
// linearizable.
func (c *Core) Read(id ReadID, now time.Time) error {
	if c.role != Leader || !c.committedInTerm() {
		return &NotLeaderError{c.leader}
	}
	c.newRound(now)
	c.reads = append(c.reads, pendingRead{id, c.seq, c.commit})
	c.broadcastAll(now)
	c.releaseReads()
	return nil
}

func (c *Core) committedInTerm() bool {
	t, ok := c.log.term(c.commit)
	return ok && t == c.term
}

// Compact drops the log up to the index of a snapshot of the applied state and
// returns what the storage has to save.
func (c *Core) Compact(index registrar.Index, data []byte) (Snapshot, []Entry, bool) {
	if index <= c.log.snap.Index || index > c.given {
		return Snapshot{}, nil, false
	}
	term, _ := c.log.term(index)
	snap := Snapshot{Index: index, Term: term, Voters: c.votersAt(index), Data: data}
	c.log.compact(snap)
	c.stable = max(c.stable, index)
	rest := append([]Entry(nil), c.log.slice(index+1, min(c.stable, c.log.last()))...)
	return snap, rest, true
}

func (c *Core) votersAt(index registrar.Index) []ReplicaID {
	voters := c.log.snap.Voters
	for _, e := range c.log.slice(c.log.snap.Index+1, index) {
		if e.Type == EntryMembers {
			voters = decodeVoters(e.Data)
		}
	}
	return voters
}

// TailSize returns the number of entries held after the last snapshot and the
// bytes of their data.
func (c *Core) TailSize() (entries, size int) {
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
		c.early = append(c.early, m)
		return
	}
	c.late = append(c.late, m)
}
