// Package replicator keeps a log equal on several replicas by the Raft
// algorithm: elections with pre-vote and check-quorum, pipelined append, group
// commit, snapshots in chunks, leadership transfer, learners, single-voter
// changes of membership and read index.
//
// Core is free of I/O: its inputs are messages, ticks and the present time,
// its outputs are messages and entries to save. Node drives a Core with a
// storage and a transport.
package replicator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file is read first: it names the types that the other files share and
// the interfaces to storage and network.

// GroupID identifies a group of replicas that keep one log.
type GroupID uint32

// ReplicaID identifies a replica: the daemon's name and the incarnation of its
// data folder, such as "vm1.3f2a". A folder that was lost gives a new id.
type ReplicaID string

// EntryType tells what an entry holds.
type EntryType uint8

// The types of entries.
const (
	EntryNormal EntryType = iota
	EntryNoop             // appended by each new leader
	EntryVoters
)

// Entry is one position of the log.
type Entry struct {
	Index registrar.Index `cbor:"1,keyasint"`
	Term  registrar.Term  `cbor:"2,keyasint"`
	Type  EntryType       `cbor:"3,keyasint,omitempty"`
	Data  []byte          `cbor:"4,keyasint,omitempty"`
}

// HardState must be on disk before a message that depends on it is sent.
type HardState struct {
	Term registrar.Term `cbor:"1,keyasint"`
	Vote ReplicaID      `cbor:"2,keyasint,omitempty"`
	// Leader and LeaderTerm tell to whom the replica owes its silence, see
	// promise. A term without a leader stands for nobody.
	Leader     ReplicaID      `cbor:"3,keyasint,omitempty"`
	LeaderTerm registrar.Term `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index  registrar.Index `cbor:"1,keyasint"`
	Term   registrar.Term  `cbor:"2,keyasint"`
	Voters []ReplicaID     `cbor:"3,keyasint"`
	Data   []byte          `cbor:"4,keyasint"`
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// The types of messages.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // with no entries: a heartbeat
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow // asks the receiver to start an election at once
	MsgJoin       // a learner asks the leader for the log
	MsgHello      // a new leader makes itself known to learners
)

// Message is what replicas send each other.
type Message struct {
	Type    MessageType     `cbor:"1,keyasint"`
	Group   GroupID         `cbor:"2,keyasint,omitempty"`
	From    ReplicaID       `cbor:"3,keyasint"`
	To      ReplicaID       `cbor:"4,keyasint"`
	Term    registrar.Term  `cbor:"5,keyasint"`
	Index   registrar.Index `cbor:"6,keyasint,omitempty"` // before Entries, or last
	LogTerm registrar.Term  `cbor:"7,keyasint,omitempty"` // of Index
	Entries []Entry         `cbor:"8,keyasint,omitempty"`
	Commit  registrar.Index `cbor:"9,keyasint,omitempty"`
	Reject  bool            `cbor:"10,keyasint,omitempty"`
	Hint    registrar.Index `cbor:"11,keyasint,omitempty"` // a rejecting replica's last index
	Seq     uint64          `cbor:"12,keyasint,omitempty"` // of the leader's round, echoed
	Chunk   *Chunk          `cbor:"13,keyasint,omitempty"`
	Force   bool            `cbor:"14,keyasint,omitempty"` // an election by transfer
	Durable bool            `cbor:"15,keyasint,omitempty"` // the learner has a disk
}

// Chunk is a part of a snapshot in transfer. In a reply only Index, Term and
// Offset are set: Offset is the number of bytes held.
type Chunk struct {
	Index  registrar.Index `cbor:"1,keyasint"`
	Term   registrar.Term  `cbor:"2,keyasint"`
	Voters []ReplicaID     `cbor:"3,keyasint,omitempty"`
	Offset int             `cbor:"4,keyasint,omitempty"`
	Total  int             `cbor:"5,keyasint,omitempty"`
	Data   []byte          `cbor:"6,keyasint,omitempty"`
}

// Role is the part that a replica plays in its group.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = []string{"Follower", "PreCandidate", "Candidate", "Leader"}

// String returns the name of r.
func (r Role) String() string { return roleNames[r] }

// Timing holds the time bounds of the algorithm.
type Timing struct {
	Heartbeat    time.Duration // between a leader's messages to a voter
	ElectionMin  time.Duration // a follower waits at least this long for a leader
	ElectionMax  time.Duration
	LearnerDelay time.Duration // between a leader's messages to an idle learner
	LearnerGone  time.Duration // a silent learner is dropped after this time
	ReplaceAfter time.Duration // a silent voter is replaced by its successor
}

// DefaultTiming is meant for links of up to 20 ms one way.
var DefaultTiming = Timing{
	Heartbeat:    100 * time.Millisecond,
	ElectionMin:  400 * time.Millisecond,
	ElectionMax:  700 * time.Millisecond,
	LearnerDelay: 500 * time.Millisecond,
	LearnerGone:  5 * time.Second,
	ReplaceAfter: 5 * time.Second,
}

// Storage keeps the log of one replica.
type Storage interface {
	// Save appends entries, replacing any with the same or a higher index,
	// and the hard state. It returns once both are synced.
	Save(hard HardState, entries []Entry) error
	// SaveSnapshot replaces the log by the snapshot and the entries after it.
	SaveSnapshot(snap Snapshot, hard HardState, rest []Entry) error
	// Rewrite replaces everything, after a failure that left it unknown what the
	// disk holds.
	Rewrite(snap Snapshot, hard HardState, entries []Entry) error
}

// Saved is what a storage held when it was opened.
type Saved struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Status describes a replica at one moment.
type Status struct {
	ID     ReplicaID
	Role   Role
	Term   registrar.Term
	Leader ReplicaID
	Voters []ReplicaID
	Commit registrar.Index
	// LeaseUntil is the time until which no other leader can have been
	// elected, for a leader.
	LeaseUntil time.Time
}
