package planner

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file declares the actions that the planner requests and the reports about
// their outcome.

// Action is one call to carry out. Exactly one of its fields is set.
type Action struct {
	Start         *StartOrder
	Stop          *StopOrder
	Pace          *PaceOrder
	Poll          *PollOrder
	TicketRequest *TicketRequest
	VM            *VMOrder
	List          *ListOrder
	Done          func() // answers a caller
}

// Token is a fencing token: a target rejects calls with a lower token than the
// highest that it has seen.
type Token int64

// Destination addresses one incarnation of a target.
type Destination struct {
	Target      tracker.TargetID
	Incarnation tracker.Incarnation
	Address     string
	Token       Token
}

// ClockMillis is a time on a target's own monotonic clock, in milliseconds.
type ClockMillis int64

// StartOrder orders a target to start a run.
type StartOrder struct {
	To         Destination
	Task       definer.TaskID
	Number     tracker.RunNumber
	Spec       string
	Deadline   ClockMillis // end of the lease of all runs on the target
	Checkpoint string
	Ticket     string
	Limit      time.Duration // timeout, after which the order counts as unanswered
	Urgent     bool          // it precedes others where connections are scarce
	Repeated   bool          // no event was committed between its decision and now
}

// StopOrder orders a target to stop a run.
type StopOrder struct {
	To     Destination
	Task   definer.TaskID
	Number tracker.RunNumber
	Limit  time.Duration
}

// PaceOrder throttles a run to a percentage of its full speed.
type PaceOrder struct {
	To      Destination
	Task    definer.TaskID
	Number  tracker.RunNumber
	Percent int
}

// PollOrder polls a target: it extends the lease of the runs on it, acknowledges
// ends that are recorded, and requests the lists of running and ended runs.
type PollOrder struct {
	To       Destination
	Deadline ClockMillis // end of the lease; 0: it is not extended
	Cursor   int64       // ends up to this sequence number are recorded
	Wait     time.Duration
	Limit    time.Duration // timeout in addition to Wait
	Urgent   bool          // it precedes others where connections are scarce
}

// SendFailure tells whether a call without an answer may have left this VM. Only one
// that may have can have been carried out.
type SendFailure uint8

// The failures. Zero also stands for an answered call.
const (
	MayBeSent    SendFailure = iota
	NotSent                  // for want of a descriptor, a connection or time here: it says nothing about the target
	NotConnected             // the target refused the connection, or it could not be opened in time
)

var sendFailureNames = []string{"MayBeSent", "NotSent", "NotConnected"}

// String returns the name of f.
func (f SendFailure) String() string {
	if int(f) < len(sendFailureNames) {
		return sendFailureNames[f]
	}
	return "Unknown"
}

// Refusal is the reason why a target rejected a call.
type Refusal uint8

// The refusals.
const (
	NotRefused         Refusal = iota
	RefusedToken               // it has seen a higher token
	RefusedOld                 // this run or a later one of the task was stopped or has ended there
	RefusedLate                // the deadline of the lease has passed
	RefusedCapacity            // not enough free capacity
	RefusedTicket              // the ticket is missing or invalid
	RefusedUnhealthy           // the target is unhealthy
	RefusedIncarnation         // the call is meant for another incarnation
	RefusedInvalid             // the order can't be decoded
)

var refusalNames = []string{"", "Token", "Old", "Late", "Room", "Ticket", "Unwell", "Life", "Invalid"}

// String returns the name of r.
func (r Refusal) String() string {
	if int(r) < len(refusalNames) {
		return refusalNames[r]
	}
	return "Unknown"
}

// OrderReport is the outcome of an order to start or to stop a run.
type OrderReport struct {
	Target      tracker.TargetID
	Incarnation tracker.Incarnation
	Token       Token // that the order carried
	Task        definer.TaskID
	Number      tracker.RunNumber
	Stop        bool      // it was an order to stop
	Sent        time.Time // when the order was sent
	Limit       time.Duration
	Answered    bool        // false: no response
	Failure     SendFailure // of an order without a response
	Refusal     Refusal
	Received    time.Time   // when the response came
	Clock       ClockMillis // of the response
}

// PollReport is the outcome of a poll.
type PollReport struct {
	Target      tracker.TargetID
	Incarnation tracker.Incarnation // that the poll was sent to
	Token       Token               // that the poll carried
	Sent        time.Time
	Limit       time.Duration // timeout, including the wait of the poll
	Held        bool          // the poll let the target wait for an end
	Received    time.Time     // when the response came, or its lack was noticed
	Answered    bool
	Failure     SendFailure // of a poll without a response
	Refusal     Refusal
	Answering   tracker.Incarnation // that answered
	Clock       ClockMillis
	Running     []Running
	Finished    []Finished
	// Partial tells that the target may have further ends, beyond the most that one
	// answer lists. A run that is not listed may be among them.
	Partial bool
	// Unreadable counts rows of the lists that can't be read. A run that is not listed
	// may be one of them.
	Unreadable       int
	UnreadableReason string // of the first one
}

// isWhole reports whether the lists hold all runs of the target, so that one that is
// absent neither runs there nor has an end that is not recorded.
func (r *PollReport) isWhole() bool { return !r.Partial && r.Unreadable == 0 }

// AddUnreadable counts a row that can't be read.
func (r *PollReport) AddUnreadable(err error) {
	if r.Unreadable == 0 {
		r.UnreadableReason = err.Error()
	}
	r.Unreadable++
}

// Running is a run that a target lists as running.
type Running struct {
	Task       definer.TaskID
	Number     tracker.RunNumber
	Checkpoint string
	Percent    int // of the work that is done; for a long-running task, 100 when it is ready
	Sample     int // progress sample: tail latency in ms for a serving task, else thousandths of a processor in use
}

// Finished is an ended run that a target lists.
type Finished struct {
	Sequence   int64 // numbers the ends of an incarnation
	Task       definer.TaskID
	Number     tracker.RunNumber
	How        tracker.End
	Checkpoint string
}

// LicenceProxyID identifies a daemon that acts as a proxy to the licensing service.
type LicenceProxyID string

// TicketRequestID numbers the requests to the licensing service.
type TicketRequestID int64

// TicketRequest requests tickets: it asks the licensing service which of the targets
// may run a step.
type TicketRequest struct {
	ID      TicketRequestID
	Proxy   LicenceProxyID
	Step    definer.StepID
	Targets []tracker.TargetID
}

// TicketReport is the outcome of a ticket request.
type TicketReport struct {
	ID       TicketRequestID
	Received time.Time `cbor:"-"` // by the leader; the validity of the tickets counts from then
	Answered bool
	Busy     bool                        // the service has too many calls waiting
	Admitted map[tracker.TargetID]string // tickets of the admitted targets
	// Unreadable counts rows that can't be read. A target without a ticket may be in one of
	// them.
	Unreadable int
}

// VMState is the state of a VM as the VM service reports it.
type VMState uint8

// The states of a VM. Zero is an unknown state.
const (
	VMUp        VMState = iota + 1
	VMMoving            // to another pool
	VMServicing         // down for its upkeep
	VMDown              // switched off
)

// VM is a VM that hosts at most one target at a time.
type VM struct {
	ID       tracker.VMID
	Pool     definer.PoolName
	State    VMState
	Zone     registrar.ZoneName
	Target   tracker.TargetID // that runs on it; empty: none
	Capacity registrar.Need
}

// VMOrder takes a VM down for its upkeep. All runs on it end at once.
type VMOrder struct {
	VM     tracker.VMID
	Wave   tracker.WaveID
	Holder string // identifies the leader
	Token  Token
}

// Term returns the term of the leader that decided the order. It is the order's token, as
// there is no epoch of a VM.
func (o *VMOrder) Term() registrar.Term { return registrar.Term(o.Token) }

// VMRefusal is the reason why the VM service rejected an order.
type VMRefusal uint8

// The refusals of orders about VMs.
const (
	VMNotRefused     VMRefusal = iota
	VMRefusedToken             // another leader has used a higher token
	VMRefusedBusy              // the VM is not up, or is about to leave its pool
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

// VMReport is the outcome of an order about a VM. An unanswered order may have
// been carried out, or may still be.
type VMReport struct {
	Order    VMOrder
	Answered bool
	Refusal  VMRefusal
}

// ListOrder requests the list of all VMs.
type ListOrder struct{ Token Token }

// ListReport is the list of all VMs.
type ListReport struct {
	Token      Token
	Answered   bool
	VMs        []VM
	Unreadable int // rows that can't be read; a VM that is not listed may be one of them
}
