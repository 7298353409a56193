// Package dispatcher carries out the planner's orders: it calls targets and the
// licensing service, and reports what became of each call.
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

// This file is read first: it holds the interface to the platform, and the
// time limits of calls. Example: a start that is not answered within the limit
// is reported as such; the planner decides what follows.

// Answer is a target's answer to an order.
type Answer struct {
	Refusal planner.Refusal
	Clock   planner.ClockMillis
}

// Platform makes calls. An error tells that there was no usable answer, so that
// the call may have been carried out.
type Platform interface {
	Start(ctx context.Context, o *planner.StartOrder) (Answer, error)
	Stop(ctx context.Context, o *planner.StopOrder) (Answer, error)
	Pace(ctx context.Context, o *planner.PaceOrder) (Answer, error)
	// Look fills in what the target answered.
	Look(ctx context.Context, o *planner.LookOrder, r *planner.LookReport) error
	Ask(ctx context.Context, step definer.StepID, targets []tracker.TargetID) (admitted map[tracker.TargetID]string, busy bool, err error)
	// ServiceVM takes a VM down for its upkeep.
	ServiceVM(ctx context.Context, o *planner.VMOrder) (planner.VMRefusal, error)
	ListVMs(ctx context.Context) ([]planner.VM, error)
}

// Limits bound calls. Zero values take the defaults.
type Limits struct {
	Pace time.Duration // an order to throttle without an answer counts as not answered
	Ask  time.Duration
	VM   time.Duration // an order about a VM, or a list of them
}

const (
	defaultPace = 200 * time.Millisecond  // ten round trips between regions
	defaultAsk  = 12 * time.Second        // the service may have many calls before this one
	defaultVM   = 1500 * time.Millisecond // less than the pause after which the planner repeats it
)

// Dispatcher makes each call on a goroutine of its own. The exported fields are
// set before Open.
type Dispatcher struct {
	Platform Platform
	Log      hclog.Logger
	Now      func() time.Time // a system call; times that only metrics need are taken without it
	Report   func(report any)
	Limits   Limits
	Meter    *meter.Meter // nil: nothing is counted

	ctx context.Context
}

// Open sets the context in which calls are made.
func (d *Dispatcher) Open(ctx context.Context) {
	d.ctx = ctx
	if d.Limits.Pace == 0 {
		d.Limits.Pace = defaultPace
	}
	if d.Limits.Ask == 0 {
		d.Limits.Ask = defaultAsk
	}
	if d.Limits.VM == 0 {
		d.Limits.VM = defaultVM
	}
}

// Do carries out an order. It does not block.
func (d *Dispatcher) Do(a planner.Action) {
	switch {
	case a.Start != nil:
		go d.start(a.Start)
	case a.Stop != nil:
		go d.stop(a.Stop)
	case a.Pace != nil:
		go d.pace(a.Pace)
	case a.Look != nil:
		go d.look(a.Look)
	case a.VM != nil:
		go d.orderVM(a.VM)
	case a.List != nil:
		go d.list(a.List)
	case a.Ask != nil:
		go func() { d.Report(d.Ask(a.Ask)) }()
	}
}

func (d *Dispatcher) start(o *planner.StartOrder) {
	r := &planner.OrderReport{Target: o.To.Target, Life: o.To.Life, Token: o.To.Token, Task: o.Task, Number: o.Number, Limit: o.Limit}
	d.order("start", r, func(ctx context.Context) (Answer, error) { return d.Platform.Start(ctx, o) })
	d.Report(r)
}

func (d *Dispatcher) stop(o *planner.StopOrder) {
	r := &planner.OrderReport{Target: o.To.Target, Life: o.To.Life, Token: o.To.Token, Task: o.Task, Number: o.Number, Stop: true, Limit: o.Limit}
	d.order("stop", r, func(ctx context.Context) (Answer, error) { return d.Platform.Stop(ctx, o) })
	d.Report(r)
}

// pace makes no report: the effect shows in the next look.
func (d *Dispatcher) pace(o *planner.PaceOrder) {
	d.order("pace", &planner.OrderReport{Limit: d.Limits.Pace}, func(ctx context.Context) (Answer, error) { return d.Platform.Pace(ctx, o) })
}

// order makes a call and fills in what became of it.
func (d *Dispatcher) order(kind string, r *planner.OrderReport, call func(context.Context) (Answer, error)) {
	ctx, cancel := context.WithTimeout(d.ctx, r.Limit)
	defer cancel()
	r.Sent = d.Now()
	begun := time.Now()
	answer, err := call(ctx)
	r.Answered, r.Refusal, r.Clock = err == nil, answer.Refusal, answer.Clock
	d.count(kind, r.Answered, r.Refusal, time.Since(begun))
}

func (d *Dispatcher) count(kind string, answered bool, refusal planner.Refusal, took time.Duration) {
	outcome := "done"
	switch {
	case !answered:
		outcome = "unanswered"
	case refusal != planner.NotRefused:
		outcome = "refused " + refusal.String()
	}
	d.Meter.Order(kind, outcome, took)
}

func (d *Dispatcher) look(o *planner.LookOrder) {
	r := &planner.LookReport{Target: o.To.Target, Life: o.To.Life, Token: o.To.Token, Sent: d.Now(), Limit: o.Wait + o.Limit}
	ctx, cancel := context.WithTimeout(d.ctx, r.Limit)
	defer cancel()
	err := d.Platform.Look(ctx, o, r)
	r.Answered = err == nil
	r.Received = d.Now()
	d.count("look", r.Answered, r.Refusal, r.Received.Sub(r.Sent))
	d.Report(r)
}

func (d *Dispatcher) orderVM(o *planner.VMOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	refusal, err := d.Platform.ServiceVM(ctx, o)
	if err != nil {
		d.Log.Warn("order about a vm has no answer", "vm", string(o.VM), "wave", int64(o.Wave), "error", err)
	}
	d.Report(&planner.VMReport{Order: *o, Answered: err == nil, Refusal: refusal})
}

func (d *Dispatcher) list(o *planner.ListOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	vms, err := d.Platform.ListVMs(ctx)
	if err != nil {
		d.Log.Warn("vms can't be listed", "error", err)
	}
	d.Report(&planner.ListReport{Token: o.Token, Answered: err == nil, VMs: vms})
}

// Ask calls the licensing service and waits for its answer.
func (d *Dispatcher) Ask(o *planner.AskOrder) *planner.AskReport {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.Ask)
	defer cancel()
	begun := time.Now()
	admitted, busy, err := d.Platform.Ask(ctx, o.Step, o.Targets)
	d.count("licence", err == nil && !busy, planner.NotRefused, time.Since(begun))
	return &planner.AskReport{ID: o.ID, Answered: err == nil && !busy, Busy: busy, Admitted: admitted}
}
