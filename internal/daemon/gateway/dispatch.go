package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// This file starts assigned attempts. The lease and the latest start time are
// checked right before the bytes are sent. When the outcome of a start is
// unknown, the target is queried on new connections; the start itself is never
// sent again.

type attempt struct {
	assignment decider.Assignment
	receivedAt time.Time
	cancel     context.CancelFunc
	answerType string
}

const (
	defaultRunLimit = 10 * time.Minute
	queryTimeout    = 2 * time.Second
	queryPauseMin   = 50 * time.Millisecond
	queryPauseMax   = 2 * time.Second
	startTimeout    = 3 * time.Second // of a background start
	transit         = 2 * time.Second
)

// Reasons why a start is refused right before it is sent.
var (
	errNoLease         = errors.New("the daemon's lease is over")
	errStartWindowOver = errors.New("the time to start is over")
	errRetired         = errors.New("the target or the caller is retired")
	errUnknownTarget   = errors.New("the target is not known to this daemon")
	errNoBody          = errors.New("the daemon does not hold the request")
)

func (g *Gateway) handleAssignment(a *decider.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := decider.TaskAttempt{Task: a.Task, Attempt: a.Attempt}
	if _, seen := g.assignedAt[id]; seen {
		return // the leader repeats assignments after a reconnect
	}
	g.assignedAt[id] = g.Now()
	ctx, cancel := context.WithCancel(context.Background())
	at := &attempt{assignment: *a, receivedAt: g.Now(), cancel: cancel}
	g.attempts[id] = at
	var p *pending
	if a.Kind == registrar.KindRequest {
		p = g.pending[registrar.RequestKey{Caller: a.Caller, Key: a.Key}]
	}
	go g.runAttempt(ctx, at, p)
}

// runAttempt starts an attempt on its target and reports the result.
func (g *Gateway) runAttempt(ctx context.Context, at *attempt, p *pending) {
	defer at.cancel()
	a := &at.assignment
	if a.Kind == registrar.KindRequest && p == nil {
		g.finish(at, nil, notStarted(errNoBody))
		return
	}
	rec := g.awaitTarget(ctx, a)
	if rec == nil {
		g.finish(at, p, notStarted(errUnknownTarget))
		return
	}
	start := g.newStart(a, p)
	limit := g.runLimit(a, p)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := g.Targets.Start(ctx, rec.Address, start, func() error { return g.mayStart(a, p) })
	if err == nil {
		at.answerType = answer.Type
		g.finish(at, p, g.doneReport(a, answer))
		return
	}
	g.finish(at, p, g.resolveOutcome(at, rec.Address, err))
}

// awaitTarget returns the target of an assignment, or nil if it stays unknown. It
// polls the view, since the replica of this daemon may lag behind the leader.
func (g *Gateway) awaitTarget(ctx context.Context, a *decider.Assignment) *registrar.Target {
	for range viewPolls {
		v := g.View()
		if rec := v.Targets[a.Target]; rec != nil && v.Callers[a.Caller] != nil {
			return rec
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(viewPause):
		}
	}
	return nil
}

const (
	viewPolls = 100
	viewPause = 10 * time.Millisecond
)

func (g *Gateway) newStart(a *decider.Assignment, p *pending) *target.Start {
	s := &target.Start{
		Task: a.Task, Attempt: a.Attempt, Term: a.Term, StartBy: a.StartBy, Caller: a.Caller, Job: a.Job,
		Ordinal: a.Ordinal, Checkpoint: a.Checkpoint, Need: a.Need,
		Background: a.Kind != registrar.KindRequest, Body: a.Payload, Type: "application/octet-stream",
	}
	if p != nil {
		s.Body, s.Type = p.request.Body, p.request.Type
	}
	return s
}

// runLimit returns how long to wait for the answer to a start.
func (g *Gateway) runLimit(a *decider.Assignment, p *pending) time.Duration {
	if p == nil {
		return startTimeout
	}
	limit := defaultRunLimit
	if d := p.request.Admit.Deadline; d > 0 {
		limit = min(limit, max(d.Time().Sub(g.Now()), startTimeout))
	}
	if r := p.request.Admit.RunTime; r > 0 {
		limit = min(limit, max(runTimeFactor*r, startTimeout))
	}
	return limit
}

// runTimeFactor is the multiple of its declared run time that a request may take
// before its target is queried.
const runTimeFactor = 4

// mayStart checks whether an attempt may still be started and marks its request
// as started. It is called right before the first byte is sent.
func (g *Gateway) mayStart(a *decider.Assignment, p *pending) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.View()
	t, c := v.Targets[a.Target], v.Callers[a.Caller]
	switch {
	case !g.leased():
		return errNoLease
	case registrar.MillisOf(g.Now()) >= a.StartBy && !g.WithoutLeaseCheck:
		return errStartWindowOver
	case t == nil || t.State == registrar.TargetRetired || t.Retiring || t.Draining || t.Leaving:
		return errRetired
	case c == nil || c.State != registrar.CallerActive:
		return errRetired
	}
	if p != nil {
		p.started = true
		p.startedAt = g.Now()
	}
	return nil
}

func notStarted(err error) decider.Report {
	return decider.Report{Result: decider.ResultRefused, Reason: err.Error()}
}

func (g *Gateway) doneReport(a *decider.Assignment, answer *target.Answer) decider.Report {
	if a.Kind != registrar.KindRequest {
		return decider.Report{} // the target's announcements report the end
	}
	return decider.Report{
		Result: decider.ResultDone, Answer: answer.Body, Status: answer.Status, RunTime: answer.RunTime,
	}
}

// resolveOutcome determines the outcome of a start without a complete answer.
func (g *Gateway) resolveOutcome(at *attempt, address string, err error) decider.Report {
	var never *target.NotStartedError
	if errors.As(err, &never) {
		if errors.Is(err, errNoLease) || errors.Is(err, errStartWindowOver) || errors.Is(err, errRetired) {
			return notStarted(never.Cause)
		}
		return decider.Report{Result: decider.ResultNotStarted, Reason: err.Error()}
	}
	var failed *target.FailedError
	if errors.As(err, &failed) {
		return decider.Report{Result: decider.ResultFailed, Reason: failed.Error(), Status: failed.Status}
	}
	return g.queryUntilResolved(at, address, err.Error())
}

// queryUntilResolved queries the state of an attempt until the target returns its
// outcome, or the leader has ended the attempt because the target's lease
// expired.
func (g *Gateway) queryUntilResolved(at *attempt, address, reason string) decider.Report {
	a := &at.assignment
	id := decider.TaskAttempt{Task: a.Task, Attempt: a.Attempt}
	pause := queryPauseMin
	arrived := a.StartBy.Add(transit)
	reportedSilent := false
	for {
		if rec := g.View().Targets[a.Target]; rec != nil {
			address = rec.Address // a restarted target may have another one
		}
		st, err := g.queryAttempt(address, a)
		if err == nil {
			if r, ok := reportFromStatus(st, reason, registrar.MillisOf(g.Now()) >= arrived); ok {
				return r
			}
		} else if !reportedSilent {
			reportedSilent = true
			g.queueUnsettledReport(decider.Report{Task: a.Task, Attempt: a.Attempt, Result: decider.ResultUnresponsive, Reason: reason})
		}
		if !g.ownsAttempt(id) {
			return decider.Report{}
		}
		time.Sleep(pause)
		pause = min(2*pause, queryPauseMax)
	}
}

func (g *Gateway) queryAttempt(address string, a *decider.Assignment) (*target.TaskStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	return g.Targets.QueryStatus(ctx, address, a.Task, a.Attempt)
}

// ownsAttempt reports whether this daemon still waits for the outcome of an
// attempt.
func (g *Gateway) ownsAttempt(id decider.TaskAttempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := g.attempts[id]
	if at == nil {
		return false
	}
	a := &at.assignment
	if a.Kind != registrar.KindRequest {
		return g.Now().Sub(at.receivedAt) < defaultRunLimit
	}
	p := g.pending[registrar.RequestKey{Caller: a.Caller, Key: a.Key}]
	return p != nil && g.isNewestAttempt(id)
}

// isNewestAttempt reports whether this daemon holds no later attempt of the same
// task. The mutex is held.
func (g *Gateway) isNewestAttempt(id decider.TaskAttempt) bool {
	for other := range g.attempts {
		if other.Task == id.Task && other.Attempt > id.Attempt {
			return false
		}
	}
	return true
}

// reportFromStatus converts a target's status of an attempt into a report. It
// returns false while the outcome is open; an absent attempt is an outcome only
// once the start must have arrived.
func reportFromStatus(st *target.TaskStatus, reason string, arrived bool) (decider.Report, bool) {
	r := decider.Report{Reason: st.Reason, Status: st.Status, RunTime: time.Duration(st.RunMillis) * time.Millisecond}
	switch st.State {
	case target.StateDone:
		r.Result, r.Answer = decider.ResultDone, st.Answer
		if r.Status == 0 {
			r.Status = http.StatusOK
		}
	case target.StateFailed:
		r.Result = decider.ResultFailed
	case target.StateStopped:
		r.Result, r.Checkpoint = decider.ResultStopped, st.Checkpoint
	case target.StateAbsent:
		if !arrived {
			return r, false
		}
		r.Result, r.Reason = decider.ResultAbsent, reason
	default:
		return r, false
	}
	return r, true
}

// finish reports the result of an attempt and answers the caller: at once for a
// repeatable request, else once the outcome is committed.
func (g *Gateway) finish(at *attempt, p *pending, r decider.Report) {
	a := &at.assignment
	id := decider.TaskAttempt{Task: a.Task, Attempt: a.Attempt}
	r.Task, r.Attempt = a.Task, a.Attempt
	body := r.Answer
	if !a.Once {
		r.Answer = nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.attempts[id] != nil && g.isNewestAttempt(id)
	delete(g.attempts, id)
	if r.Result == 0 {
		return
	}
	var settled chan struct{}
	if r.Result == decider.ResultDone && a.Once && p != nil {
		settled = make(chan struct{})
		g.settled[id] = settled
	}
	g.queueReport(r)
	if r.Result != decider.ResultDone || p == nil || !current {
		return
	}
	key := registrar.RequestKey{Caller: a.Caller, Key: a.Key}
	result := Result{Outcome: registrar.Done, Task: a.Task, Attempt: a.Attempt, Status: r.Status, Body: body, Type: at.answerType}
	if settled == nil {
		g.complete(key, result)
		return
	}
	go g.completeSettled(key, result, settled)
}

func (g *Gateway) completeSettled(key registrar.RequestKey, result Result, settled <-chan struct{}) {
	<-settled
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete(key, result)
}

// queueReport queues a report in the outbox and keeps it until it is settled. The
// mutex is held.
func (g *Gateway) queueReport(r decider.Report) {
	id := decider.TaskAttempt{Task: r.Task, Attempt: r.Attempt}
	g.reports[id] = r
	g.outbox.Reports = append(g.outbox.Reports, r)
	if r.Result == decider.ResultDone && r.Answer == nil && !g.stopping {
		g.signalLater() // no caller waits for it
		return
	}
	g.signal()
}

// queueUnsettledReport queues a report that need not be settled.
func (g *Gateway) queueUnsettledReport(r decider.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outbox.Reports = append(g.outbox.Reports, r)
	g.signal()
}
