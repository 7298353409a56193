// Package target implements the protocol between the cell and its targets: HTTP
// calls that start, query, stop, checkpoint and throttle attempts, and the
// announcements by which targets register.
package target

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticroad/internal/control/registrar"
)

// This file defines the paths, headers and JSON bodies of the protocol. A start
// looks like this:
//
//	POST /v1/tasks/17/start?attempt=1
//	Masticroad-Term: 4
//	Masticroad-Start-By: 1764829100123
//
// The start of a request is answered with the result; a background start is
// answered with 202, and its end is reported in an announcement.

// Headers of the protocol.
const (
	HeaderTask       = "Masticroad-Task"
	HeaderAttempt    = "Masticroad-Attempt"
	HeaderTerm       = "Masticroad-Term"
	HeaderStartBy    = "Masticroad-Start-By" // Unix milliseconds
	HeaderDigest     = "Masticroad-Digest"   // hex xxHash64 of the body
	HeaderCaller     = "Masticroad-Caller"
	HeaderJob        = "Masticroad-Job"
	HeaderOrdinal    = "Masticroad-Ordinal"
	HeaderCheckpoint = "Masticroad-Checkpoint"
	HeaderBackground = "Masticroad-Background"
	HeaderNeed       = "Masticroad-Need" // milli-processors,MiB,accelerators
)

// Paths of the protocol. Each is followed by the task's id.
const (
	PathTasks    = "/v1/tasks/"
	PathAnnounce = "/v1/announce"
)

// State is the state of an attempt on a target.
type State string

// The states that a target reports of an attempt.
const (
	StateRunning State = "Running"
	StateDone    State = "Done"
	StateFailed  State = "Failed"
	StateStopped State = "Stopped"
	StateAbsent  State = "Absent"
)

// TaskStatus is the state of an attempt. Answer is set if the attempt is done.
type TaskStatus struct {
	Task       registrar.TaskID
	Attempt    registrar.Attempt
	State      State
	Reason     string `json:",omitempty"`
	Checkpoint string `json:",omitempty"`
	Answer     []byte `json:",omitempty"`
	Status     int    `json:",omitempty"`
	RunMillis  int64  `json:",omitempty"`
}

// Announcement is what a target posts to PathAnnounce.
type Announcement struct {
	Name        registrar.TargetName
	Address     string
	Region      registrar.RegionName `json:",omitempty"`
	Zone        registrar.ZoneName
	Rack        registrar.RackName
	Capacity    registrar.Need
	Slots       int
	Connections int
	Incarnation registrar.Incarnation
	Seq         uint64
	Leaving     bool         `json:",omitempty"`
	Running     []Running    `json:",omitempty"`
	Ended       []TaskStatus `json:",omitempty"`
}

// Running is one attempt that a target runs.
type Running struct {
	Task       registrar.TaskID
	Attempt    registrar.Attempt
	Background bool           `json:",omitempty"`
	Usage      registrar.Need // measured, may lag
}

// AnnounceReply answers an announcement. The lease counts from when the target
// sent the announcement.
type AnnounceReply struct {
	LeaseMillis int64
	Stop        []AttemptRef `json:",omitempty"`
	Forget      []AttemptRef `json:",omitempty"`
	Retired     bool         `json:",omitempty"`
}

// AttemptRef names an attempt.
type AttemptRef struct {
	Task    registrar.TaskID
	Attempt registrar.Attempt
}

// Start holds the parameters of a start.
type Start struct {
	Task       registrar.TaskID
	Attempt    registrar.Attempt
	Term       registrar.Term
	StartBy    registrar.Millis
	Caller     registrar.CallerName
	Job        registrar.JobName
	Ordinal    int
	Checkpoint string
	Background bool
	Need       registrar.Need
	Body       []byte
	Type       string // content type of the body
}

// Answer is the complete answer of an attempt.
type Answer struct {
	Status  int
	Type    string
	Body    []byte
	RunTime time.Duration
}

// DigestOf returns the digest of a body as the header carries it.
func DigestOf(body []byte) string {
	var sum [8]byte
	n := xxhash.Sum64(body)
	for i := range sum {
		sum[i] = byte(n >> (56 - 8*i))
	}
	return hex.EncodeToString(sum[:])
}

// FormatNeed returns the header form of a need.
func FormatNeed(n registrar.Need) string {
	return strconv.FormatInt(int64(n.CPU), 10) + "," + strconv.FormatInt(int64(n.Memory), 10) + "," + strconv.FormatInt(int64(n.Accelerators), 10)
}
