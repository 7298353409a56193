package dispatcher_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/dispatcher"
	"masticroad/internal/peer/connector"
	"masticroad/internal/workflow/planner"
)

// This file tests what the dispatcher reports of calls that fail, and that it sends
// nothing on a decision that has become too old on the way.

// platform is a dispatcher.Platform. Before the guard of a call it runs delay; a call
// that passes the guard counts as sent and gets err. The embedded interface is nil: no
// other call is expected.
type platform struct {
	dispatcher.Platform
	delay  func()
	err    error
	mu     sync.Mutex
	sent   int
	polled planner.PollOrder // the last one
}

func (p *platform) send(c *dispatcher.Call) error {
	if p.delay != nil {
		p.delay()
	}
	if c.Guard != nil {
		if err := c.Guard(); err != nil {
			return &connector.CallError{Cause: connector.CauseDeadline, Err: err}
		}
	}
	p.mu.Lock()
	p.sent++
	p.mu.Unlock()
	return p.err
}

func (p *platform) Start(_ context.Context, _ *planner.StartOrder, c *dispatcher.Call) (dispatcher.Answer, error) {
	return dispatcher.Answer{}, p.send(c)
}

func (p *platform) Stop(_ context.Context, _ *planner.StopOrder, c *dispatcher.Call) (dispatcher.Answer, error) {
	return dispatcher.Answer{}, p.send(c)
}

func (p *platform) Poll(_ context.Context, o *planner.PollOrder, c *dispatcher.Call, _ *planner.PollReport) error {
	p.polled = *o
	return p.send(c)
}

func (p *platform) ServiceVM(_ context.Context, _ *planner.VMOrder, c *dispatcher.Call) (planner.VMRefusal, error) {
	return planner.VMNotRefused, p.send(c)
}

// clock is a clock that tests move.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (k *clock) Now() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

func (k *clock) advance(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now = k.now.Add(d)
}

// run carries out an action and returns its report.
func run(c *quicktest.C, p *platform, k *clock, leads func(registrar.Term) bool, a planner.Action) any {
	reports := make(chan any, 1)
	d := &dispatcher.Dispatcher{Platform: p, Log: hclog.NewNullLogger(), Now: k.Now, Report: func(r any) { reports <- r }, Leads: leads}
	d.Open(context.Background())
	d.Do(a)
	select {
	case r := <-reports:
		return r
	case <-time.After(10 * time.Second):
		c.Fatal("no report")
		return nil
	}
}

func TestReportsTellWhetherAnOrderWasSent(t *testing.T) {
	for _, test := range []struct {
		err  error
		want planner.SendFailure
	}{
		{&connector.CallError{Cause: connector.CauseNoDescriptor}, planner.NotSent},
		{&connector.CallError{Cause: connector.CauseNoConnection}, planner.NotSent},
		{&connector.CallError{Cause: connector.CauseDeadline}, planner.NotSent},
		{&connector.CallError{Cause: connector.CauseRefused}, planner.NotConnected},
		{&connector.CallError{Cause: connector.CauseUnreachable}, planner.NotConnected},
		{&connector.CallError{Cause: connector.CauseTimeout}, planner.MayBeSent},
		{&connector.CallError{Cause: connector.CauseClosed}, planner.MayBeSent},
		{fmt.Errorf("start: %w", &connector.CallError{Cause: connector.CauseInvalid}), planner.MayBeSent},
		{errors.New("status 500"), planner.MayBeSent},
	} {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			c := quicktest.New(t)
			p, k := &platform{err: test.err}, &clock{now: time.Unix(1000, 0)}
			limit := 200 * time.Millisecond
			started := run(c, p, k, nil, planner.Action{Start: &planner.StartOrder{Limit: limit}}).(*planner.OrderReport)
			c.Assert(started.Answered, quicktest.IsFalse)
			c.Assert(started.Failure, quicktest.Equals, test.want)
			polled := run(c, p, k, nil, planner.Action{Poll: &planner.PollOrder{Limit: limit, Wait: limit}}).(*planner.PollReport)
			c.Assert(polled.Answered, quicktest.IsFalse)
			c.Assert(polled.Failure, quicktest.Equals, test.want)
			c.Assert(polled.Held, quicktest.IsTrue)
		})
	}
}

// A VM is suspended between the decision and the connection; another leader may have
// decided otherwise meanwhile.
func TestNothingIsSentOnADecisionFromBeforeAPause(t *testing.T) {
	for name, a := range map[string]planner.Action{
		"start": {Start: &planner.StartOrder{Limit: 200 * time.Millisecond}},
		"stop":  {Stop: &planner.StopOrder{Limit: 200 * time.Millisecond}},
		"poll":  {Poll: &planner.PollOrder{Limit: 300 * time.Millisecond, Wait: time.Second}},
		"vm":    {VM: &planner.VMOrder{VM: "m-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			k := &clock{now: time.Unix(1000, 0)}
			p := &platform{}
			run(c, p, k, nil, a)
			c.Assert(p.sent, quicktest.Equals, 1)
			p = &platform{delay: func() { k.advance(5 * time.Second) }}
			run(c, p, k, nil, a)
			c.Assert(p.sent, quicktest.Equals, 0)
		})
	}
}

// The VM service may not check tokens, so two leaders must not both send.
func TestOrderAboutAVMIsNotSentAfterTheLeaderLease(t *testing.T) {
	c := quicktest.New(t)
	p, k := &platform{}, &clock{now: time.Unix(1000, 0)}
	leads := true
	p.delay = func() { leads = false }
	leadsInTerm := func(term registrar.Term) bool { return leads && term == 3 }
	r := run(c, p, k, leadsInTerm, planner.Action{VM: &planner.VMOrder{VM: "m-1", Token: 3}}).(*planner.VMReport)
	c.Assert(r.Answered, quicktest.IsFalse)
	c.Assert(p.sent, quicktest.Equals, 0)
	leads, p.delay = true, nil
	r = run(c, p, k, leadsInTerm, planner.Action{VM: &planner.VMOrder{VM: "m-1", Token: 2}}).(*planner.VMReport)
	c.Assert(r.Answered, quicktest.IsFalse, quicktest.Commentf("an order of an earlier term"))
	r = run(c, p, k, leadsInTerm, planner.Action{VM: &planner.VMOrder{VM: "m-1", Token: 3}}).(*planner.VMReport)
	c.Assert(r.Answered, quicktest.IsTrue)
	c.Assert(p.sent, quicktest.Equals, 1)
}

func TestLogOfFailedCallsIsBounded(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	var reports sync.WaitGroup
	p := &platform{err: &connector.CallError{Cause: connector.CauseTimeout, Err: errors.New("no answer")}}
	d := &dispatcher.Dispatcher{
		Platform: p, Log: hclog.New(&hclog.LoggerOptions{Output: &out, Mutex: &sync.Mutex{}}), Now: time.Now, Report: func(any) { reports.Done() },
	}
	d.Open(context.Background())
	for range 500 {
		reports.Add(1)
		d.Do(planner.Action{Start: &planner.StartOrder{To: planner.Destination{Target: "t1"}, Limit: time.Second}})
	}
	reports.Wait()
	lines := strings.Count(out.String(), "call was not answered")
	c.Assert(lines >= 1 && lines <= 60, quicktest.IsTrue, quicktest.Commentf("%d lines", lines))
	c.Assert(out.String(), quicktest.Contains, "target=t1 cause=Timeout sent=MayBeSent")
}

func TestPanicInACallIsItsFailureAlone(t *testing.T) {
	c := quicktest.New(t)
	p, k := &platform{delay: func() { panic("deliberate") }}, &clock{now: time.Unix(1000, 0)}
	limit := 200 * time.Millisecond
	r := run(c, p, k, nil, planner.Action{Start: &planner.StartOrder{Limit: limit}}).(*planner.OrderReport)
	c.Assert(r.Answered, quicktest.IsFalse)
	c.Assert(r.Failure, quicktest.Equals, planner.MayBeSent)
	polled := run(c, p, k, nil, planner.Action{Poll: &planner.PollOrder{Limit: limit}}).(*planner.PollReport)
	c.Assert(polled.Answered, quicktest.IsFalse)
	vm := run(c, p, k, nil, planner.Action{VM: &planner.VMOrder{}}).(*planner.VMReport)
	c.Assert(vm.Answered, quicktest.IsFalse)
}

// Another leader may have begun, which takes no lease to have been extended after that.
func TestPollOutsideTheLeaderLeaseExtendsNoLease(t *testing.T) {
	c := quicktest.New(t)
	for _, leads := range []bool{true, false} {
		p, k := &platform{}, &clock{now: time.Unix(1000, 0)}
		o := &planner.PollOrder{Deadline: 5000, Cursor: 7, Wait: time.Second, Limit: time.Second}
		r := run(c, p, k, func(registrar.Term) bool { return leads }, planner.Action{Poll: o}).(*planner.PollReport)
		c.Assert(r.Answered, quicktest.IsTrue)
		c.Assert(p.polled.Deadline != 0, quicktest.Equals, leads)
		c.Assert(p.polled.Cursor, quicktest.Equals, o.Cursor)
		c.Assert(r.Limit, quicktest.Equals, p.polled.Wait+o.Limit)
		c.Assert(o.Deadline, quicktest.Equals, planner.ClockMillis(5000))
	}
}

// token returns a token of a term.
func token(term registrar.Term) planner.Token { return planner.Token(term) << 16 }

// The leader of term 1 decides to poll after its lease, another one leads in term 2, and
// the first one leads again in term 3 when the poll leaves: the lease of term 3 is no
// permission for it.
func TestPollOfAnEarlierTermExtendsNoLease(t *testing.T) {
	c := quicktest.New(t)
	leads := func(term registrar.Term) bool { return term == 3 }
	for term, extends := range map[registrar.Term]bool{1: false, 3: true} {
		p, k := &platform{}, &clock{now: time.Unix(1000, 0)}
		run(c, p, k, leads, planner.Action{Poll: &planner.PollOrder{To: planner.Destination{Token: token(term)}, Deadline: 5000, Limit: time.Second}})
		c.Assert(p.polled.Deadline != 0, quicktest.Equals, extends, quicktest.Commentf("term %d", term))
	}
}

// A leader whose lease is over repeats an order to start that was not answered. Its lease
// of the target would outlast what the next leader counts from its start.
func TestRepeatedStartIsNotSentOutsideTheLeaderLease(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct{ leads, repeated, sent bool }{{true, true, true}, {false, true, false}, {false, false, true}} {
		p, k := &platform{}, &clock{now: time.Unix(1000, 0)}
		o := &planner.StartOrder{Deadline: 5000, Limit: time.Second, Repeated: test.repeated}
		r := run(c, p, k, func(registrar.Term) bool { return test.leads }, planner.Action{Start: o}).(*planner.OrderReport)
		c.Assert(p.sent == 1, quicktest.Equals, test.sent, quicktest.Commentf("%+v", test))
		if !test.sent {
			c.Assert(r.Answered, quicktest.IsFalse)
			c.Assert(r.Failure, quicktest.Equals, planner.NotSent)
		}
	}
}

// A busy daemon notices late that a connection was not there in time. It may have been: the
// target is not taken for unreachable.
func TestConnectionThatIsMissedLateSaysNothingAboutTheTarget(t *testing.T) {
	c := quicktest.New(t)
	limit := 200 * time.Millisecond
	for _, test := range []struct {
		after time.Duration
		want  planner.SendFailure
	}{{limit, planner.NotConnected}, {limit + 100*time.Millisecond, planner.NotSent}} {
		k := &clock{now: time.Unix(1000, 0)}
		p := &platform{err: &connector.CallError{Cause: connector.CauseUnreachable}, delay: func() { k.advance(test.after) }}
		started := run(c, p, k, nil, planner.Action{Start: &planner.StartOrder{Limit: limit}}).(*planner.OrderReport)
		c.Assert(started.Failure, quicktest.Equals, test.want, quicktest.Commentf("start after %s", test.after))
		polled := run(c, p, k, nil, planner.Action{Poll: &planner.PollOrder{Limit: limit, Wait: time.Second}}).(*planner.PollReport)
		c.Assert(polled.Failure, quicktest.Equals, test.want, quicktest.Commentf("poll after %s", test.after))
	}
}
