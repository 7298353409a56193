package planner

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file holds what the planner orders others to do, and what they report.

// Action is something to be carried out. Exactly one of its fields is set.
type Action struct {
	Start *StartOrder
	Stop  *StopOrder
	Pace  *PaceOrder
	Look  *LookOrder
	Ask   *AskOrder
	VM    *VMOrder
	List  *ListOrder
	Done  func() // answers a caller
}

// Token orders leaders: a target obeys none with a lower token than the
// highest that it has seen.
type Token int64

// Destination tells how to reach one life of a target.
type Destination struct {
	Target  tracker.TargetID
	Life    tracker.Life
	Address string
	Token   Token
}

// ClockMillis is a time on a target's own steady clock, in milliseconds.
type ClockMillis int64

// StartOrder tells a target to start a run.
type StartOrder struct {
	To         Destination
	Task       definer.TaskID
	Number     tracker.RunNumber
	Spec       string
	Deadline   ClockMillis // end of the lease of all that the target runs
	Checkpoint string
	Ticket     string
	Limit      time.Duration // without an answer within it the order counts as not answered
}

// StopOrder tells a target to stop a run.
type StopOrder struct {
	To     Destination
	Task   definer.TaskID
	Number tracker.RunNumber
	Limit  time.Duration
}

// PaceOrder throttles a run to a share of its speed.
type PaceOrder struct {
	To      Destination
	Task    definer.TaskID
	Number  tracker.RunNumber
	Percent int
}

// LookOrder extends the lease of what a target runs, acknowledges ends and
// asks what runs and what has ended.
type LookOrder struct {
	To       Destination
	Deadline ClockMillis // 0: the lease is not extended
	Cursor   int64       // ends up to this number are recorded
	Wait     time.Duration
	Limit    time.Duration // over Wait
}

// Refusal tells why a target did not do what it was told.
type Refusal uint8

// The refusals.
const (
	NotRefused     Refusal = iota
	RefusedToken           // it has seen a higher token
	RefusedOld             // a later run was stopped or has ended there
	RefusedLate            // the lease's end has passed
	RefusedRoom            // the task does not fit
	RefusedTicket          // the ticket is missing or not valid
	RefusedUnwell          // it is not healthy
	RefusedLife            // it is another life
	RefusedInvalid         // it can't read the order
)

var refusalNames = []string{"", "Token", "Old", "Late", "Room", "Ticket", "Unwell", "Life", "Invalid"}

// String returns the name of r.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "Unknown"
}

// OrderReport tells what became of a start or a stop.
type OrderReport struct {
	Target   tracker.TargetID
	Life     tracker.Life
	Token    Token // that the order carried
	Task     definer.TaskID
	Number   tracker.RunNumber
	Stop     bool
	Sent     time.Time // when the order was sent
	Limit    time.Duration
	Answered bool // false: no response; the order may be carried out yet
	Refusal  Refusal
	Clock    ClockMillis // of the response
}

// LookReport tells what a target runs.
type LookReport struct {
	Target   tracker.TargetID
	Life     tracker.Life // that the look was sent to
	Token    Token        // that the look carried
	Sent     time.Time
	Limit    time.Duration // with the look's wait
	Received time.Time
	Answered bool
	Refusal  Refusal
	Found    tracker.Life // that answered
	Clock    ClockMillis
	Running  []Running
	Finished []Finished
}

// Running is a run that a target has.
type Running struct {
	Task       definer.TaskID
	Number     tracker.RunNumber
	Checkpoint string
	Percent    int // of the work that is done; for a task that lasts, 100 when it is at work
	Gauge      int // tail of its response times in ms for a task that serves, else thousandths of a processor in use
}

// Finished is an end that a target lists.
type Finished struct {
	Sequence   int64 // counts the ends of a life
	Task       definer.TaskID
	Number     tracker.RunNumber
	How        tracker.End
	Checkpoint string
}

// AdviserID names a daemon through which the licensing service is called.
type AdviserID string

// AskID numbers the calls of the licensing service.
type AskID int64

// AskOrder asks the licensing service which targets may run a step.
type AskOrder struct {
	ID      AskID
	Through AdviserID
	Step    definer.StepID
	Targets []tracker.TargetID
}

// AskReport is the answer of the licensing service.
type AskReport struct {
	ID       AskID
	Answered bool
	Busy     bool // the service has too many calls waiting
	Admitted map[tracker.TargetID]string
}

// VMState tells what a VM does, as the service that keeps VMs sees it.
type VMState uint8

// The states of a VM. Zero stands for a state that is not known.
const (
	VMUp        VMState = iota + 1
	VMMoving            // to another pool
	VMServicing         // down for its upkeep
	VMDown              // switched off
)

// VM is a VM on which targets live, one after the other.
type VM struct {
	ID       tracker.VMID
	Pool     definer.PoolName
	State    VMState
	Zone     registrar.ZoneName
	Target   tracker.TargetID // that lives on it; empty: none
	Capacity registrar.Need
}

// VMOrder takes a VM down for its upkeep. All that runs on it ends at once.
type VMOrder struct {
	VM     tracker.VMID
	Wave   tracker.WaveID
	Holder string // name of the leader
	Token  Token
}

// VMRefusal tells why an order about a VM was not carried out.
type VMRefusal uint8

// The refusals of orders about VMs.
const (
	VMNotRefused     VMRefusal = iota
	VMRefusedToken             // another leader has used a higher token
	VMRefusedBusy              // the VM is not up, or leaves
	VMRefusedWave              // the VM does not belong to the wave
	VMRefusedUnknown           // there is no such VM
	VMRefusedRate              // too many calls
)

var vmRefusalNames = []string{"", "Token", "Busy", "Wave", "Unknown", "Rate"}

// String returns the name of r.
func (r VMRefusal) String() string {
	if int(r) < len(vmRefusalNames) {
		return vmRefusalNames[r]
	}
	return "Unknown"
}

// VMReport tells what became of an order about a VM. An order without an answer
// may have been carried out, or may be yet.
type VMReport struct {
	Order    VMOrder
	Answered bool
	Refusal  VMRefusal
}

// ListOrder asks for all VMs.
type ListOrder struct{ Token Token }

// ListReport is the list of all VMs.
type ListReport struct {
	Token    Token
	Answered bool
	VMs      []VM
}
