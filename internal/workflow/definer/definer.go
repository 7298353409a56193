// Package definer defines the declarations of workflows: jobs, which callers
// submit, and the configuration document of queues and pools, which operators
// activate. It validates declarations and reports all findings together.
package definer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
)

// This file defines the types of declarations. The steps of a job form a directed
// acyclic graph: a step starts once all tasks of the steps in its DependsOn are
// done.

// JobID identifies a job in the cell. It is chosen by the caller.
type JobID uint64

// String returns id as 16 lower-case hexadecimal digits.
func (id JobID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseJobID parses a job ID in the format of JobID.String.
func ParseJobID(text string) (JobID, error) {
	if len(text) != jobIDDigits {
		return 0, fmt.Errorf("job id %q: has %d characters, not %d", truncate(text), len(text), jobIDDigits)
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("job id %q: not hexadecimal", text)
	}
	if id := JobID(n); id.String() == text {
		return id, nil
	}
	return 0, fmt.Errorf("job id %q: digits must be lower case", text)
}

const (
	jobIDDigits    = 16
	maxQuotedBytes = 40 // of an invalid value, in an error or finding
)

func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}

// QueueName identifies a queue, through which jobs are submitted.
type QueueName string

// PoolName identifies a pool, a set of targets that run the tasks of one or more
// queues.
type PoolName string

// Version is the version of a configuration document. A higher version replaces a
// lower one.
type Version int64

// Job is the declaration of a workflow. It is immutable once the job is accepted.
type Job struct {
	ID     JobID  `cbor:"1,keyasint"`
	Spec   string `cbor:"2,keyasint,omitempty"` // opaque; passed unchanged to each task
	Steps  []Step `cbor:"3,keyasint"`
	Repeat Repeat `cbor:"4,keyasint,omitzero"`
}

// Repeat declares that a job runs its steps several times at a fixed interval.
type Repeat struct {
	Count    int              `cbor:"1,keyasint,omitempty"` // number of occurrences; 0: one, due immediately
	First    registrar.Millis `cbor:"2,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration    `cbor:"3,keyasint,omitempty"` // between the due times of two occurrences
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count            int            `cbor:"1,keyasint"` // number of tasks
	Need             registrar.Need `cbor:"2,keyasint,omitzero"`
	Estimate         time.Duration  `cbor:"3,keyasint,omitempty"` // rough estimate of one task's run time
	DependsOn        []int          `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must be done first
	Checkpointing    bool           `cbor:"5,keyasint,omitempty"` // a stopped task can resume from its checkpoint
	Gang             bool           `cbor:"6,keyasint,omitempty"` // its tasks must all run at the same time
	RackLocal        bool           `cbor:"7,keyasint,omitempty"` // its tasks run slower when spread over racks
	Label            string         `cbor:"8,keyasint,omitempty"` // label that a target must carry
	Rack             string         `cbor:"9,keyasint,omitempty"` // rack that holds its data; its tasks run slower elsewhere
	MaxPerTarget     int            `cbor:"10,keyasint,omitempty"`
	Speculative      bool           `cbor:"11,keyasint,omitempty"` // several runs of a task may exist at the same time
	LongRunning      bool           `cbor:"12,keyasint,omitempty"` // its tasks run until the job is cancelled
	Image            string         `cbor:"13,keyasint,omitempty"`
	TailLatencyLimit time.Duration  `cbor:"14,keyasint,omitempty"` // limit for the tail latency of the service that its tasks provide
	BestEffortCPU    bool           `cbor:"15,keyasint,omitempty"` // its tasks use only CPU time that other tasks leave unused
	MaxUnavailable   int            `cbor:"16,keyasint,omitempty"` // the leader stops a task only if fewer than this many others are not ready; 0: no limit
}

// Charge returns the part of a target's capacity that one task occupies. A task of
// a step with BestEffortCPU occupies no CPU, since it uses only what others leave unused.
func (s *Step) Charge() registrar.Need {
	n := s.Need
	if s.BestEffortCPU {
		n.CPU = 0
	}
	return n
}

// String returns a summary of the step, such as
// "4x500m/256MiB 900ms gang rack=r1-3".
func (s *Step) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%dx%dm/%dMiB %dms", s.Count, s.Need.CPU, s.Need.Memory, s.Estimate.Milliseconds())
	flag := func(on bool, text string) {
		if on {
			b.WriteString(" " + text)
		}
	}
	flag(s.Need.Accelerators > 0, fmt.Sprintf("gpu=%d", s.Need.Accelerators))
	flag(len(s.DependsOn) > 0, fmt.Sprintf("after=%v", s.DependsOn))
	flag(s.Checkpointing, "checkpoints")
	flag(s.Gang, "gang")
	flag(s.RackLocal, "racklocal")
	flag(s.Label != "", "label="+s.Label)
	flag(s.Rack != "", "rack="+s.Rack)
	flag(s.MaxPerTarget > 0, fmt.Sprintf("max=%d", s.MaxPerTarget))
	flag(s.Speculative, "copies")
	flag(s.LongRunning, "lasts")
	flag(s.Image != "", "image="+s.Image)
	flag(s.TailLatencyLimit > 0, fmt.Sprintf("tail=%d", s.TailLatencyLimit.Milliseconds()))
	flag(s.BestEffortCPU, "fills")
	flag(s.MaxUnavailable > 0, fmt.Sprintf("away=%d", s.MaxUnavailable))
	return b.String()
}

// Occurrences returns the number of occurrences of the job.
func (j *Job) Occurrences() int {
	return max(j.Repeat.Count, 1)
}

// Due returns the earliest start time of an occurrence; 0 means immediately.
func (j *Job) Due(occurrence int) registrar.Millis {
	if j.Repeat.Count == 0 {
		return 0
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// HasLongRunningStep reports whether the job has a step whose tasks run until the
// job is cancelled.
func (j *Job) HasLongRunningStep() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Queue is an entry point for jobs that share a pool, a priority and limits.
type Queue struct {
	Name        QueueName     `cbor:"1,keyasint"`
	Host        string        `cbor:"2,keyasint"`
	Prefix      string        `cbor:"3,keyasint"` // prefix of the URL path; the job's ID follows it
	Pool        PoolName      `cbor:"4,keyasint"`
	Priority    int           `cbor:"5,keyasint,omitempty"` // 0 is the highest priority
	MaxAttempts int           `cbor:"6,keyasint,omitempty"` // failed runs of a task after which the job fails; 0: no limit
	Slack       float64       `cbor:"7,keyasint,omitempty"` // latency objective: Slack x longest chain + Grace
	Grace       time.Duration `cbor:"8,keyasint,omitempty"`
	Timeout     time.Duration `cbor:"9,keyasint,omitempty"` // time limit of a caller's request
	Licence     Licence       `cbor:"10,keyasint,omitzero"`
	// Anonymous lets callers use the queue without a key. Its jobs have no workspace.
	Anonymous bool `cbor:"11,keyasint,omitempty"`
}

// Licence declares whether the steps of a queue may run only on targets for which
// the licensing service issues a ticket, and how long that service takes.
type Licence struct {
	Required         bool          `cbor:"1,keyasint,omitempty"`
	BaseLatency      time.Duration `cbor:"2,keyasint,omitempty"` // response time of the service, fixed part
	LatencyPerTarget time.Duration `cbor:"3,keyasint,omitempty"` // response time of the service, part per target in the request
	TicketValidity   time.Duration `cbor:"4,keyasint,omitempty"` // validity period of a ticket
}

// Pool is a set of targets of the same kind.
type Pool struct {
	Name             PoolName `cbor:"1,keyasint"`
	EnforcesCapacity bool     `cbor:"2,keyasint,omitempty"` // its targets reject tasks that exceed their free capacity
	Standby          bool     `cbor:"3,keyasint,omitempty"` // its VMs are powered off
	Health           string   `cbor:"4,keyasint,omitempty"` // URL path of the health check of its targets
}

// Document is the configuration document: the complete declaration of all queues
// and pools.
type Document struct {
	Version Version `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint,omitempty"`
	Pools   []Pool  `cbor:"3,keyasint,omitempty"`
	Source  []byte  `cbor:"4,keyasint"` // the document as the operator sent it
	// Workspaces holds the declared workspaces; nil: the document declares none, and
	// callers need no key.
	Workspaces []Workspace `cbor:"5,keyasint,omitzero"`
}

// WorkspaceName identifies a workspace: callers that share keys, limits and a weight.
type WorkspaceName string

// Key authenticates the callers of a workspace. It never appears in logs or errors.
type Key string

// String returns a placeholder, so that a formatted key discloses nothing.
func (Key) String() string { return "key" }

// GoString is String, for the verb %#v.
func (Key) GoString() string { return "key" }

// Workspace declares who may submit jobs, and how much those jobs may use.
type Workspace struct {
	Name   WorkspaceName  `cbor:"1,keyasint"`
	Keys   []Key          `cbor:"2,keyasint,omitempty"`
	Weight float64        `cbor:"3,keyasint,omitempty"` // share under contention, and jobs per second that the workspace is entitled to
	Limit  registrar.Need `cbor:"4,keyasint,omitzero"`  // what its runs may occupy in total; 0: no limit, for each resource
}

// WithoutWorkspaces returns d as a version that knows no workspaces decodes it.
func (d *Document) WithoutWorkspaces() *Document {
	x := *d
	x.Workspaces, x.Queues = nil, slices.Clone(d.Queues)
	for i := range x.Queues {
		x.Queues[i].Anonymous = false
	}
	return &x
}

// Workspace returns the workspace with a name, or nil.
func (d *Document) Workspace(name WorkspaceName) *Workspace {
	if d == nil {
		return nil
	}
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i]
		}
	}
	return nil
}

// Route returns the queue of host whose prefix is the longest that matches path,
// and the rest of the path after the prefix. It returns nil if no queue matches.
func (d *Document) Route(host, path string) (q *Queue, rest string) {
	if d == nil {
		return nil, ""
	}
	for i := range d.Queues {
		c := &d.Queues[i]
		if c.Host != host || len(path) < len(c.Prefix) || path[:len(c.Prefix)] != c.Prefix {
			continue
		}
		if q == nil || len(c.Prefix) > len(q.Prefix) {
			q, rest = c, path[len(c.Prefix):]
		}
	}
	return q, rest
}

// Queue returns the queue with a name, or nil.
func (d *Document) Queue(name QueueName) *Queue {
	if d == nil {
		return nil
	}
	for i := range d.Queues {
		if d.Queues[i].Name == name {
			return &d.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool with a name, or nil.
func (d *Document) Pool(name PoolName) *Pool {
	if d == nil {
		return nil
	}
	for i := range d.Pools {
		if d.Pools[i].Name == name {
			return &d.Pools[i]
		}
	}
	return nil
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
	Index      int   `cbor:"4,keyasint,omitempty"`
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        JobID `cbor:"1,keyasint"`
	Occurrence int   `cbor:"2,keyasint,omitempty"`
	Step       int   `cbor:"3,keyasint,omitempty"`
}

// StepID returns the ID of the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// Task returns the ID of the task with an index in the step.
func (s StepID) Task(index int) TaskID { return TaskID{s.Job, s.Occurrence, s.Step, index} }

// String returns job, occurrence, step and index of t, such as
// "5c0e7a21d94b36f8.0.1.17".
func (t TaskID) String() string {
	return t.StepID().String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task ID in the format of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	var id TaskID
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts {
		return id, fmt.Errorf("task %q: has %d parts, not %d", truncate(text), len(parts), taskIDParts)
	}
	var err error
	if id.Job, err = ParseJobID(parts[0]); err != nil {
		return id, err
	}
	for i, n := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		if *n, err = strconv.Atoi(parts[i+1]); err != nil || *n < 0 {
			return id, fmt.Errorf("task %q: part %d is not a number", text, i+1)
		}
	}
	return id, nil
}

const taskIDParts = 4

// String returns job, occurrence and step of s, such as "5c0e7a21d94b36f8.0.1".
func (s StepID) String() string {
	return s.Job.String() + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}
