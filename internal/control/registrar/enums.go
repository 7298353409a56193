package registrar

import (
	"fmt"
	"strings"
)

// This file defines the enumerations: classes, kinds, states and outcomes. Each
// has a table of names, which parsing and output share.

// Class is the priority class of work. A smaller value is served first.
type Class uint8

// The classes, from the most to the least urgent.
const (
	Urgent Class = iota
	Service
	Standard
	Batch
	classCount
)

// ClassCount is the number of classes.
const ClassCount = int(classCount)

var classNames = []string{"Urgent", "Service", "Standard", "Batch"}

// String returns the name of c.
func (c Class) String() string { return nameOf(classNames, uint8(c)) }

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	i, err := parseName("class", classNames, name)
	return Class(i), err
}

// Kind is the kind of a job, which determines how its tasks are run.
type Kind uint8

// The kinds of work.
const (
	KindRequest   Kind = iota // one synchronous call with an answer
	KindService               // long-running replicas, restarted when they end
	KindBatch                 // independent tasks, each run to completion
	KindAllAtOnce             // gang: tasks that start together or not at all
)

var kindNames = []string{"Request", "Service", "Batch", "AllAtOnce"}

// String returns the name of k.
func (k Kind) String() string { return nameOf(kindNames, uint8(k)) }

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, error) {
	i, err := parseName("kind", kindNames, name)
	return Kind(i), err
}

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	Queued TaskState = iota
	Assigned
	Ended
)

var taskStateNames = []string{"Queued", "Assigned", "Ended"}

// String returns the name of s.
func (s TaskState) String() string { return nameOf(taskStateNames, uint8(s)) }

// Outcome is how a task ended.
type Outcome uint8

// The outcomes of a task.
const (
	NoOutcome Outcome = iota
	Done              // it ran and its answer is complete
	Failed            // it ran and failed
	NotRun            // it provably never started
	Unknown           // it may have run
)

var outcomeNames = []string{"", "Done", "Failed", "NotRun", "Unknown"}

// String returns the name of o, which is empty for an unfinished task.
func (o Outcome) String() string { return nameOf(outcomeNames, uint8(o)) }

// MarshalText encodes o as its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText decodes the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	i, err := parseName("outcome", outcomeNames, string(text))
	*o = Outcome(i)
	return err
}

// CallerState is the lifecycle state of a caller.
type CallerState uint8

// The states of a caller.
const (
	CallerActive CallerState = iota
	CallerRetiring
	CallerRetired
)

var callerStateNames = []string{"Active", "Retiring", "Retired"}

// String returns the name of s.
func (s CallerState) String() string { return nameOf(callerStateNames, uint8(s)) }

// TargetState is the availability of a target as the cell has recorded it.
type TargetState uint8

// The states of a target.
const (
	TargetAlive TargetState = iota
	TargetLost
	TargetRetired
)

var targetStateNames = []string{"Alive", "Lost", "Retired"}

// String returns the name of s.
func (s TargetState) String() string { return nameOf(targetStateNames, uint8(s)) }

func nameOf(names []string, i uint8) string {
	if int(i) < len(names) {
		return names[i]
	}
	return fmt.Sprintf("%d", i)
}

// parseName returns the index of the name, which is matched without regard to
// case.
func parseName(what string, names []string, name string) (uint8, error) {
	for i, n := range names {
		if strings.EqualFold(n, name) {
			return uint8(i), nil
		}
	}
	return 0, fmt.Errorf("%s %q is not one of %s", what, name, strings.Join(names, ", "))
}
