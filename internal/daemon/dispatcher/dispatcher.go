// Package dispatcher executes the planner's orders: it calls targets, the
// licensing service and the VM service, and reports the outcome of each call.
package dispatcher

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"masticroad/internal/metrics/meter"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds the interface to the platform, the timeouts of calls, and the
// calls themselves. A call without an answer within its timeout is reported as
// unanswered; the planner decides whether it is repeated.

// Answer is a target's answer to an order.
type Answer struct {
	Refusal planner.Refusal
	Clock   planner.ClockMillis
}

// Platform makes calls. An error means that there was no usable answer; the call
// may still have been executed.
type Platform interface {
	Start(ctx context.Context, o *planner.StartOrder) (Answer, error)
	Stop(ctx context.Context, o *planner.StopOrder) (Answer, error)
	Pace(ctx context.Context, o *planner.PaceOrder) (Answer, error)
	// Poll polls a target and fills in r with its answer.
	Poll(ctx context.Context, o *planner.PollOrder, r *planner.PollReport) error
	// RequestTickets requests tickets for a step from the licensing service.
	RequestTickets(ctx context.Context, step definer.StepID, targets []tracker.TargetID) (admitted map[tracker.TargetID]string, busy bool, err error)
	// ServiceVM takes a VM down for its upkeep.
	ServiceVM(ctx context.Context, o *planner.VMOrder) (planner.VMRefusal, error)
	ListVMs(ctx context.Context) ([]planner.VM, error)
}

// Limits are the timeouts of calls. Zero values select the defaults.
type Limits struct {
	Pace time.Duration // of an order to set the pace of a run
	Ask  time.Duration // of a ticket request
	VM   time.Duration // of a maintenance order for a VM, or a list of VMs
}

const (
	defaultPaceTimeout   = 200 * time.Millisecond  // ten round trips between regions
	defaultTicketTimeout = 12 * time.Second        // the service may have queued many calls before this one
	defaultVMTimeout     = 1500 * time.Millisecond // shorter than the interval after which the planner repeats it
)

// Dispatcher makes each call on its own goroutine. The exported fields are set
// before Open.
type Dispatcher struct {
	Platform Platform
	Log      hclog.Logger
	Now      func() time.Time // makes a system call; durations that only metrics need use time.Now
	Report   func(report any)
	Limits   Limits
	Meter    *meter.Meter // nil: no metrics are recorded

	ctx context.Context
}

// Open sets the context of all calls and the default limits.
func (d *Dispatcher) Open(ctx context.Context) {
	d.ctx = ctx
	if d.Limits.Pace == 0 {
		d.Limits.Pace = defaultPaceTimeout
	}
	if d.Limits.Ask == 0 {
		d.Limits.Ask = defaultTicketTimeout
	}
	if d.Limits.VM == 0 {
		d.Limits.VM = defaultVMTimeout
	}
}

// Do executes an order. It does not block.
func (d *Dispatcher) Do(a planner.Action) {
	switch {
	case a.Start != nil:
		go d.start(a.Start)
	case a.Stop != nil:
		go d.stop(a.Stop)
	case a.Pace != nil:
		go d.pace(a.Pace)
	case a.Poll != nil:
		go d.poll(a.Poll)
	case a.VM != nil:
		go d.serviceVM(a.VM)
	case a.List != nil:
		go d.listVMs(a.List)
	case a.TicketRequest != nil:
		go func() { d.Report(d.RequestTickets(a.TicketRequest)) }()
	}
}

func (d *Dispatcher) start(o *planner.StartOrder) {
	r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Limit: o.Limit}
	d.sendOrder("start", r, func(ctx context.Context) (Answer, error) { return d.Platform.Start(ctx, o) })
	d.Report(r)
}

func (d *Dispatcher) stop(o *planner.StopOrder) {
	r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Stop: true, Limit: o.Limit}
	d.sendOrder("stop", r, func(ctx context.Context) (Answer, error) { return d.Platform.Stop(ctx, o) })
	d.Report(r)
}

// pace makes no report: the next poll shows the effect.
func (d *Dispatcher) pace(o *planner.PaceOrder) {
	d.sendOrder("pace", &planner.OrderReport{Limit: d.Limits.Pace}, func(ctx context.Context) (Answer, error) { return d.Platform.Pace(ctx, o) })
}

// sendOrder makes a call and fills in r with its outcome.
func (d *Dispatcher) sendOrder(kind string, r *planner.OrderReport, call func(context.Context) (Answer, error)) {
	ctx, cancel := context.WithTimeout(d.ctx, r.Limit)
	defer cancel()
	r.Sent = d.Now()
	started := time.Now()
	answer, err := call(ctx)
	r.Answered, r.Refusal, r.Clock = err == nil, answer.Refusal, answer.Clock
	d.recordOutcome(kind, r.Answered, r.Refusal, time.Since(started))
}

func (d *Dispatcher) recordOutcome(kind string, answered bool, refusal planner.Refusal, took time.Duration) {
	outcome := "done"
	switch {
	case !answered:
		outcome = "unanswered"
	case refusal != planner.NotRefused:
		outcome = "refused " + refusal.String()
	}
	d.Meter.Order(kind, outcome, took)
}

func (d *Dispatcher) poll(o *planner.PollOrder) {
	r := &planner.PollReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Sent: d.Now(), Limit: o.Wait + o.Limit}
	ctx, cancel := context.WithTimeout(d.ctx, r.Limit)
	defer cancel()
	err := d.Platform.Poll(ctx, o, r)
	r.Answered = err == nil
	r.Received = d.Now()
	d.recordOutcome("look", r.Answered, r.Refusal, r.Received.Sub(r.Sent))
	d.Report(r)
}

func (d *Dispatcher) serviceVM(o *planner.VMOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	refusal, err := d.Platform.ServiceVM(ctx, o)
	if err != nil {
		d.Log.Warn("maintenance order for a vm was not answered", "vm", string(o.VM), "wave", int64(o.Wave), "error", err)
	}
	d.Report(&planner.VMReport{Order: *o, Answered: err == nil, Refusal: refusal})
}

func (d *Dispatcher) listVMs(o *planner.ListOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	vms, err := d.Platform.ListVMs(ctx)
	if err != nil {
		d.Log.Warn("list of vms was not answered", "error", err)
	}
	d.Report(&planner.ListReport{Token: o.Token, Answered: err == nil, VMs: vms})
}

// RequestTickets requests tickets from the licensing service and waits for its
// answer.
func (d *Dispatcher) RequestTickets(o *planner.TicketRequest) *planner.TicketReport {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.Ask)
	defer cancel()
	started := time.Now()
	admitted, busy, err := d.Platform.RequestTickets(ctx, o.Step, o.Targets)
	d.recordOutcome("licence", err == nil && !busy, planner.NotRefused, time.Since(started))
	return &planner.TicketReport{ID: o.ID, Answered: err == nil && !busy, Busy: busy, Admitted: admitted}
}
