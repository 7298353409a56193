// Package definer holds what people declare about workflows: jobs of several
// steps, and the document of queues and pools that operators put in force. It
// checks declarations and reports all findings together.
package definer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
)

// This file is read first: it holds the types. Example: a job of two steps,
// the second of which starts when all four tasks of the first are done:
//
//	Job{Steps: []Step{{Count: 4}, {Count: 20, DependsOn: []int{0}}}}

// JobID identifies a job in the cell. Callers choose it.
type JobID uint64

// String returns the 16 hexadecimal digits of id.
func (id JobID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// ParseJobID reads 16 lower-case hexadecimal digits.
func ParseJobID(text string) (JobID, error) {
	if len(text) != jobIDDigits {
		return 0, fmt.Errorf("job id %q: has %d characters, not %d", shorten(text), len(text), jobIDDigits)
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
	jobIDDigits   = 16
	maxShownChars = 40 // of a faulty value in a finding
)

func shorten(text string) string {
	if len(text) > maxShownChars {
		return text[:maxShownChars] + "..."
	}
	return text
}

// QueueName identifies a queue, through which jobs are submitted.
type QueueName string

// PoolName identifies a pool, a set of targets that run the tasks of queues.
type PoolName string

// Version numbers the documents. A higher version replaces a lower one.
type Version int64

// Job is a workflow as its caller declared it. It is not altered once it is
// accepted.
type Job struct {
	ID     JobID  `cbor:"1,keyasint"`
	Spec   string `cbor:"2,keyasint,omitempty"` // passed on to each task as it is
	Steps  []Step `cbor:"3,keyasint"`
	Repeat Repeat `cbor:"4,keyasint,omitzero"`
}

// Repeat makes a job run its steps several times.
type Repeat struct {
	Count    int              `cbor:"1,keyasint,omitempty"` // 0: once, at once
	First    registrar.Millis `cbor:"2,keyasint,omitempty"` // due time of occurrence 0
	Interval time.Duration    `cbor:"3,keyasint,omitempty"` // between two occurrences
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count          int            `cbor:"1,keyasint"` // tasks
	Need           registrar.Need `cbor:"2,keyasint,omitzero"`
	Estimate       time.Duration  `cbor:"3,keyasint,omitempty"` // of one task's run time; rough
	DependsOn      []int          `cbor:"4,keyasint,omitempty"` // numbers of earlier steps that must be done
	Checkpointing  bool           `cbor:"5,keyasint,omitempty"` // its progress survives a stop
	Gang           bool           `cbor:"6,keyasint,omitempty"` // its tasks run only together
	RackLocal      bool           `cbor:"7,keyasint,omitempty"` // slower when spread over racks
	Label          string         `cbor:"8,keyasint,omitempty"` // that a target must have
	Rack           string         `cbor:"9,keyasint,omitempty"` // where its data is; slower elsewhere
	MaxPerTarget   int            `cbor:"10,keyasint,omitempty"`
	Speculative    bool           `cbor:"11,keyasint,omitempty"` // copies of a task may run
	Lasting        bool           `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image          string         `cbor:"13,keyasint,omitempty"`
	TailTarget     time.Duration  `cbor:"14,keyasint,omitempty"` // bound on the tail of its own response times
	Fills          bool           `cbor:"15,keyasint,omitempty"` // uses the processors that others leave unused
	MaxUnavailable int            `cbor:"16,keyasint,omitempty"` // tasks that the cell may take away at once; 0: no bound
}

// Charge returns what one task takes of its target's capacity. A task that
// fills takes processors only as far as others leave them unused.
func (s *Step) Charge() registrar.Need {
	n := s.Need
	if s.Fills {
		n.CPU = 0
	}
	return n
}

// String tells in short what the step is, such as
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
	flag(s.Lasting, "lasts")
	flag(s.Image != "", "image="+s.Image)
	flag(s.TailTarget > 0, fmt.Sprintf("tail=%d", s.TailTarget.Milliseconds()))
	flag(s.Fills, "fills")
	flag(s.MaxUnavailable > 0, fmt.Sprintf("away=%d", s.MaxUnavailable))
	return b.String()
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int {
	return max(j.Repeat.Count, 1)
}

// Due returns when an occurrence may begin; 0 means at once.
func (j *Job) Due(occurrence int) registrar.Millis {
	if j.Repeat.Count == 0 {
		return 0
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Interval)
}

// Lasts reports whether the job has a step that runs until it is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Queue is a way into the cell for jobs that are treated alike.
type Queue struct {
	Name        QueueName     `cbor:"1,keyasint"`
	Host        string        `cbor:"2,keyasint"`
	Prefix      string        `cbor:"3,keyasint"` // of the path; the job's id follows
	Pool        PoolName      `cbor:"4,keyasint"`
	Priority    int           `cbor:"5,keyasint,omitempty"` // 0 goes first
	MaxAttempts int           `cbor:"6,keyasint,omitempty"` // failed runs of a task; 0: no bound
	Slack       float64       `cbor:"7,keyasint,omitempty"` // objective: Slack x longest chain + Grace
	Grace       time.Duration `cbor:"8,keyasint,omitempty"`
	Timeout     time.Duration `cbor:"9,keyasint,omitempty"` // of a caller's call
	Licence     Licence       `cbor:"10,keyasint,omitzero"`
}

// Licence tells that a queue's steps may run only on targets for which the
// licensing service gives a ticket.
type Licence struct {
	Needed bool          `cbor:"1,keyasint,omitempty"`
	Base   time.Duration `cbor:"2,keyasint,omitempty"` // time that the service takes for a call
	Each   time.Duration `cbor:"3,keyasint,omitempty"` // and for each target named
	Valid  time.Duration `cbor:"4,keyasint,omitempty"` // life of a ticket
}

// Pool is a set of targets of one kind.
type Pool struct {
	Name    PoolName `cbor:"1,keyasint"`
	Guards  bool     `cbor:"2,keyasint,omitempty"` // its targets refuse what does not fit
	Standby bool     `cbor:"3,keyasint,omitempty"` // its VMs are switched off
	Health  string   `cbor:"4,keyasint,omitempty"` // path of its targets' health check
}

// Document is the whole of what operators declare about queues and pools.
type Document struct {
	Version Version `cbor:"1,keyasint"`
	Queues  []Queue `cbor:"2,keyasint,omitempty"`
	Pools   []Pool  `cbor:"3,keyasint,omitempty"`
	Source  []byte  `cbor:"4,keyasint"` // as the operator sent it
}

// Route returns the queue with the longest prefix that a call's host and path
// have, and what follows the prefix.
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

// Queue returns a queue by name, or nil.
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

// Pool returns a pool by name, or nil.
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

// Of returns the step that a task belongs to.
func (t TaskID) Of() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// Task returns a task of a step.
func (s StepID) Task(index int) TaskID { return TaskID{s.Job, s.Occurrence, s.Step, index} }

// String formats the task's name, such as "5c0e7a21d94b36f8.0.1.17".
func (t TaskID) String() string {
	return t.Of().String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a task's name.
func ParseTaskID(text string) (TaskID, error) {
	var id TaskID
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts {
		return id, fmt.Errorf("task %q: has %d parts, not %d", shorten(text), len(parts), taskIDParts)
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

// String formats the step's name, such as "5c0e7a21d94b36f8.0.1".
func (s StepID) String() string {
	return s.Job.String() + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}
