// Package replicator replicates a log by the Raft algorithm: elections with
// pre-vote, check quorum and leader stickiness, pipelined appends, group commit,
// chunked snapshots, leadership transfer, learners, single-voter membership
// changes and read index.
//
// Core does no I/O: its inputs are messages, ticks and the current time, its
// outputs are messages and entries to save. Node drives a Core with a storage
// and a transport.
package replicator

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the types that the other files share and the interface to the
// storage.

// GroupID identifies a Raft group: the replicas of one log.
type GroupID uint32

// ReplicaID identifies a replica: the daemon's name and the incarnation of its
// data folder, such as "vm1.3f2a". A daemon whose data folder was lost gets a
// new id.
type ReplicaID string

// Format numbers the rules by which the data of entries are applied. A replica follows a
// format and all before it.
type Format int

// EntryType is the kind of data that an entry holds.
type EntryType uint8

// The entry types. The data of EntryVoters is the complete list of voters.
const (
	EntryNormal EntryType = iota
	EntryNoop             // appended by each new leader
	EntryVoters
)

// Entry is one entry of the log.
type Entry struct {
	Index registrar.Index `cbor:"1,keyasint"`
	Term  registrar.Term  `cbor:"2,keyasint"`
	Type  EntryType       `cbor:"3,keyasint,omitempty"`
	Data  []byte          `cbor:"4,keyasint,omitempty"`
}

// HardState is the state that must be on disk before a message that depends on
// it is sent.
type HardState struct {
	Term registrar.Term `cbor:"1,keyasint"`
	Vote ReplicaID      `cbor:"2,keyasint,omitempty"`
	// Leader and LeaderTerm are the lease grant of the replica, see leaseGrant.
	// LeaderTerm without Leader means that no lease is granted.
	Leader     ReplicaID      `cbor:"3,keyasint,omitempty"`
	LeaderTerm registrar.Term `cbor:"4,keyasint,omitempty"`
}

// Snapshot holds the applied state and replaces the log up to Index.
type Snapshot struct {
	Index  registrar.Index `cbor:"1,keyasint"`
	Term   registrar.Term  `cbor:"2,keyasint"`
	Voters []ReplicaID     `cbor:"3,keyasint"`
	Data   []byte          `cbor:"4,keyasint"`
}

// MessageType is the kind of a request or reply.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend // without entries: a heartbeat
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow // asks the receiver to start an election at once
	MsgJoin       // a replica asks the leader to replicate the log to it
	MsgHello      // a new leader announces itself to learners
)

// Message is sent from replica to replica. Without To it goes to all replicas.
type Message struct {
	Type    MessageType     `cbor:"1,keyasint"`
	Group   GroupID         `cbor:"2,keyasint,omitempty"`
	From    ReplicaID       `cbor:"3,keyasint"`
	To      ReplicaID       `cbor:"4,keyasint"`
	Term    registrar.Term  `cbor:"5,keyasint"`
	Index   registrar.Index `cbor:"6,keyasint,omitempty"` // index before Entries; last index of the log or last acknowledged index in others
	LogTerm registrar.Term  `cbor:"7,keyasint,omitempty"` // term of the entry at Index
	Entries []Entry         `cbor:"8,keyasint,omitempty"`
	Commit  registrar.Index `cbor:"9,keyasint,omitempty"`
	Reject  bool            `cbor:"10,keyasint,omitempty"`
	Hint    registrar.Index `cbor:"11,keyasint,omitempty"` // highest index at which the logs may agree, of a rejecting replica
	Seq     uint64          `cbor:"12,keyasint,omitempty"` // leader's heartbeat round, echoed in replies
	Chunk   *Chunk          `cbor:"13,keyasint,omitempty"`
	Force   bool            `cbor:"14,keyasint,omitempty"` // the election is a leadership transfer and ignores leases
	Durable bool            `cbor:"15,keyasint,omitempty"` // the sender of MsgJoin has a disk
	// Format is the latest format that the sender follows, 0 if it does not tell.
	Format Format `cbor:"16,keyasint,omitempty"`
}

// Chunk is a part of a snapshot in transfer. In a reply only Index, Term and
// Offset are set, and Offset is the number of bytes received so far.
type Chunk struct {
	Index  registrar.Index `cbor:"1,keyasint"`
	Term   registrar.Term  `cbor:"2,keyasint"`
	Voters []ReplicaID     `cbor:"3,keyasint,omitempty"`
	Offset int             `cbor:"4,keyasint,omitempty"`
	Total  int             `cbor:"5,keyasint,omitempty"`
	Data   []byte          `cbor:"6,keyasint,omitempty"`
}

// Role is the Raft role of a replica.
type Role uint8

// The roles. A learner is a Follower without a vote.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = []string{"Follower", "PreCandidate", "Candidate", "Leader"}

// String returns the name of the role.
func (r Role) String() string { return roleNames[r] }

// Timing holds the intervals and timeouts of the algorithm.
type Timing struct {
	Heartbeat        time.Duration // interval of a leader's heartbeats to a voter
	ElectionMin      time.Duration // shortest election timeout, and the time for which a vote is withheld after leader contact
	ElectionMax      time.Duration // longest election timeout
	LearnerHeartbeat time.Duration // interval of a leader's messages to a learner
	LearnerTimeout   time.Duration // an unresponsive learner is dropped after this time
	ReplaceAfter     time.Duration // an unresponsive voter is replaced by its successor after this time
}

// DefaultTiming suits links with a one-way latency of up to 20 ms.
var DefaultTiming = Timing{
	Heartbeat:        100 * time.Millisecond,
	ElectionMin:      400 * time.Millisecond,
	ElectionMax:      700 * time.Millisecond,
	LearnerHeartbeat: 500 * time.Millisecond,
	LearnerTimeout:   5 * time.Second,
	ReplaceAfter:     5 * time.Second,
}

// Storage persists the log of one replica.
type Storage interface {
	// Save writes the hard state and appends entries, replacing those with the
	// same or a higher index. It returns once both are synced.
	Save(hard HardState, entries []Entry) error
	// SaveSnapshot replaces the log by a snapshot and the entries after it.
	SaveSnapshot(snap Snapshot, hard HardState, rest []Entry) error
	// Rewrite replaces the complete content, after a failed write has left the
	// content of the disk unknown.
	Rewrite(snap Snapshot, hard HardState, entries []Entry) error
}

// StoredState is the content of a storage when it was opened.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Status is the state of a replica at one time.
type Status struct {
	ID     ReplicaID
	Role   Role
	Term   registrar.Term
	Leader ReplicaID
	Voters []ReplicaID
	Commit registrar.Index
	// LeaseUntil is the end of the leader's lease: before it no other leader can
	// be elected. Zero: no lease.
	LeaseUntil time.Time
	// Formats is the leader's view of what the replicas follow; zero on others.
	Formats Formats
}
