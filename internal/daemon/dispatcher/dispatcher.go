// Package dispatcher executes the planner's orders: it calls targets, the
// licensing service and the VM service, and reports the outcome of each call.
package dispatcher

import (
	"context"
	stderrors "errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/metrics/meter"
	"masticroad/internal/peer/connector"
	"masticroad/internal/workflow/planner"
)

// This file holds the interface to the platform, the timeouts of calls, and the
// calls themselves. A call without an answer within its timeout is reported as
// unanswered; the planner decides whether it is repeated.

// Answer is a target's answer to an order.
type Answer struct {
	Refusal planner.Refusal
	Clock   planner.ClockMillis
}

// Call holds the bounds of one call. The context that comes with it bounds the time
// until there is a connection.
type Call struct {
	Timeout time.Duration // from when the call is sent until its answer
	// Guard is called right before the call is sent; its error prevents that. A process
	// may be paused between the decision and the connection.
	Guard func() error
}

// Platform makes calls. An error means that there was no usable answer; the call
// may still have been executed unless the error is a *connector.CallError that
// excludes it.
type Platform interface {
	Start(ctx context.Context, o *planner.StartOrder, c *Call) (Answer, error)
	Stop(ctx context.Context, o *planner.StopOrder, c *Call) (Answer, error)
	Pace(ctx context.Context, o *planner.PaceOrder, c *Call) (Answer, error)
	// Poll polls a target and fills in r with its answer.
	Poll(ctx context.Context, o *planner.PollOrder, c *Call, r *planner.PollReport) error
	// RequestTickets requests tickets for a step from the licensing service and fills in r
	// with its answer.
	RequestTickets(ctx context.Context, o *planner.TicketRequest, c *Call, r *planner.TicketReport) error
	// ServiceVM takes a VM down for its upkeep.
	ServiceVM(ctx context.Context, o *planner.VMOrder, c *Call) (planner.VMRefusal, error)
	// ListVMs returns the VMs of the list, and the number of rows that can't be read.
	ListVMs(ctx context.Context, c *Call) (vms []planner.VM, unreadable int, err error)
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
	Now      func() time.Time // advances while the VM is suspended; makes a system call, so durations that only metrics need use time.Now
	Report   func(report any)
	// Leads reports whether this daemon holds the leader lease of a term now, so that no
	// later leader has begun; nil: it does. Only then are orders about VMs sent, since the
	// VM service may not check tokens, and leases of targets extended by an order that was
	// decided without a commit, since the next leader counts them from its start. An order
	// of an earlier term was decided before another leader began, so that the lease of a
	// present term is no permission for it.
	Leads  func(registrar.Term) bool
	Limits Limits
	Meter  *meter.Meter // nil: no metrics are recorded

	ctx      context.Context
	failures failureLog
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
		go d.start(a.Start, d.Now())
	case a.Stop != nil:
		go d.stop(a.Stop, d.Now())
	case a.Pace != nil:
		go d.pace(a.Pace, d.Now())
	case a.Poll != nil:
		go d.poll(a.Poll, d.Now())
	case a.VM != nil:
		go d.serviceVM(a.VM, d.Now())
	case a.List != nil:
		go d.listVMs(a.List)
	case a.TicketRequest != nil:
		go func() { d.Report(d.RequestTickets(a.TicketRequest)) }()
	}
}

var (
	errOutdated   = errors.New("the decision is too old to be sent")
	errNotLeading = errors.New("the leader lease is over")
)

// guard returns the check of a call that was decided at a time and waits for a
// connection for up to wait.
func (d *Dispatcher) guard(decided time.Time, wait time.Duration) func() error {
	return func() error {
		if d.Now().Sub(decided) > wait+schedulingDelay {
			return errOutdated
		}
		return nil
	}
}

// schedulingDelay is allowed in addition to the wait for a connection. It covers a busy
// daemon; a suspended VM exceeds it.
const schedulingDelay = 300 * time.Millisecond

func (d *Dispatcher) start(o *planner.StartOrder, decided time.Time) {
	r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Limit: o.Limit}
	if o.Repeated && !d.leads(o.To.Token.Term()) {
		// The commit of the first order proves that no later leader had begun when its lease
		// was decided; nothing proves it for this one.
		r.Sent, r.Failure = decided, planner.NotSent
		d.recordOutcome("start", "unsent", 0)
		d.Report(r)
		return
	}
	d.sendOrder("start", r, decided, func(ctx context.Context, c *Call) (Answer, error) { return d.Platform.Start(ctx, o, c) })
	d.Report(r)
}

func (d *Dispatcher) stop(o *planner.StopOrder, decided time.Time) {
	r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Stop: true, Limit: o.Limit}
	d.sendOrder("stop", r, decided, func(ctx context.Context, c *Call) (Answer, error) { return d.Platform.Stop(ctx, o, c) })
	d.Report(r)
}

// pace makes no report: the next poll shows the effect.
func (d *Dispatcher) pace(o *planner.PaceOrder, decided time.Time) {
	r := &planner.OrderReport{Target: o.To.Target, Limit: d.Limits.Pace}
	d.sendOrder("pace", r, decided, func(ctx context.Context, c *Call) (Answer, error) { return d.Platform.Pace(ctx, o, c) })
}

// sendOrder makes a call and fills in r with its outcome. Sent is the time of the
// check right before the call was sent.
func (d *Dispatcher) sendOrder(kind string, r *planner.OrderReport, decided time.Time, call func(context.Context, *Call) (Answer, error)) {
	ctx, cancel := context.WithTimeout(d.ctx, r.Limit)
	defer cancel()
	r.Sent = decided
	check := d.guard(decided, r.Limit)
	started := time.Now()
	var answer Answer
	err := withoutPanic(func() (err error) {
		answer, err = call(ctx, &Call{Timeout: r.Limit, Guard: func() error { r.Sent = d.Now(); return check() }})
		return err
	})
	r.Received = d.Now()
	r.Answered, r.Refusal, r.Clock, r.Failure = err == nil, answer.Refusal, answer.Clock, sendFailure(err, r.Received.Sub(decided)-r.Limit)
	d.recordOutcome(kind, outcomeOf(err, r.Refusal), time.Since(started))
	d.recordFailure(kind, string(r.Target), err, r.Failure)
}

// sendFailure tells from the error of a call whether it may have left this VM. Late is how
// long after the time for a connection that was noticed: the connection may have been there
// in time, so that a busy daemon says nothing about a target that it did not reach.
func sendFailure(err error, late time.Duration) planner.SendFailure {
	var e *connector.CallError
	switch {
	case err == nil || !stderrors.As(err, &e) || !e.NotSent():
		return planner.MayBeSent
	case e.Local() || late > lateNotice:
		return planner.NotSent
	}
	return planner.NotConnected
}

// lateNotice is how late an idle daemon notices that a time is over, at most.
const lateNotice = 40 * time.Millisecond

func outcomeOf(err error, refusal planner.Refusal) string {
	switch {
	case err != nil && sendFailure(err, 0) != planner.MayBeSent:
		return "unsent"
	case err != nil:
		return "unanswered"
	case refusal != planner.NotRefused:
		return "refused " + refusal.String()
	}
	return "done"
}

func (d *Dispatcher) recordOutcome(kind, outcome string, took time.Duration) {
	d.Meter.Order(kind, outcome, took)
}

func (d *Dispatcher) poll(o *planner.PollOrder, decided time.Time) {
	if o.Deadline != 0 && !d.leads(o.To.Token.Term()) {
		// The next poll extends the lease, or that of the next leader.
		unextended := *o
		unextended.Deadline, unextended.Wait = 0, min(o.Wait, unextendedPollWait)
		o = &unextended
	}
	r := &planner.PollReport{
		Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Sent: decided, Limit: o.Wait + o.Limit, Held: o.Wait > 0,
	}
	ctx, cancel := context.WithTimeout(d.ctx, o.Limit)
	defer cancel()
	check := d.guard(decided, o.Limit)
	err := withoutPanic(func() error {
		return d.Platform.Poll(ctx, o, &Call{Timeout: r.Limit, Guard: func() error { r.Sent = d.Now(); return check() }}, r)
	})
	r.Received = d.Now()
	r.Answered, r.Failure = err == nil, sendFailure(err, r.Received.Sub(decided)-o.Limit)
	d.recordOutcome("look", outcomeOf(err, r.Refusal), r.Received.Sub(decided))
	d.recordFailure("look", string(r.Target), err, r.Failure)
	d.Report(r)
}

// unextendedPollWait is how long a target holds a poll that does not extend its lease.
const unextendedPollWait = 100 * time.Millisecond

func (d *Dispatcher) leads(term registrar.Term) bool { return d.Leads == nil || d.Leads(term) }

func (d *Dispatcher) serviceVM(o *planner.VMOrder, decided time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	check := d.guard(decided, d.Limits.VM)
	guard := func() error {
		if !d.leads(o.Term()) {
			return errNotLeading
		}
		return check()
	}
	var refusal planner.VMRefusal
	err := withoutPanic(func() (err error) {
		refusal, err = d.Platform.ServiceVM(ctx, o, &Call{Timeout: d.Limits.VM, Guard: guard})
		return err
	})
	if err != nil {
		d.Log.Warn("maintenance order for a vm was not answered", "vm", string(o.VM), "wave", int64(o.Wave), "error", err)
	}
	d.Report(&planner.VMReport{Order: *o, Answered: err == nil, Refusal: refusal})
}

func (d *Dispatcher) listVMs(o *planner.ListOrder) {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.VM)
	defer cancel()
	var vms []planner.VM
	var unreadable int
	err := withoutPanic(func() (err error) {
		vms, unreadable, err = d.Platform.ListVMs(ctx, &Call{Timeout: d.Limits.VM})
		return err
	})
	if err != nil || unreadable > 0 {
		d.Log.Warn("list of vms was not answered, or has rows that can't be read", "rows", unreadable, "error", err)
	}
	d.Report(&planner.ListReport{Token: o.Token, Answered: err == nil, VMs: vms, Unreadable: unreadable})
}

// RequestTickets requests tickets from the licensing service and waits for its
// answer.
func (d *Dispatcher) RequestTickets(o *planner.TicketRequest) *planner.TicketReport {
	ctx, cancel := context.WithTimeout(d.ctx, d.Limits.Ask)
	defer cancel()
	started := time.Now()
	r := &planner.TicketReport{ID: o.ID}
	err := withoutPanic(func() error { return d.Platform.RequestTickets(ctx, o, &Call{Timeout: d.Limits.Ask}, r) })
	outcome := outcomeOf(err, planner.NotRefused)
	if r.Busy {
		outcome = "busy"
	}
	d.recordOutcome("licence", outcome, time.Since(started))
	d.recordFailure("licence", "", err, sendFailure(err, 0))
	r.Answered = err == nil && !r.Busy
	return r
}
