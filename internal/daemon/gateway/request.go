package gateway

import (
	"context"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/peer/replica"
)

// This file accepts requests and returns their results to the waiting callers.
// Calls with the same key share one result.

// Request is a caller's request.
type Request struct {
	Admit decider.Admit
	Body  []byte
	Type  string // content type of the body
}

// Result is the outcome of a request.
type Result struct {
	Outcome    registrar.Outcome
	Task       registrar.TaskID
	Attempt    registrar.Attempt
	Reason     string
	RetryAfter time.Duration
	Status     int // of the target's answer
	Body       []byte
	Type       string
	Conflict   bool
	Retired    bool
	Pending    bool // no outcome yet
	AnswerLost bool // done, but no daemon holds the answer any more
	// Unavailable means that this daemon doesn't know the outcome of the request:
	// one with the same key may run through another daemon.
	Unavailable bool
}

type pending struct {
	request   *Request
	arrived   time.Time
	startedAt time.Time
	done      chan struct{}
	result    *Result
	waiters   int
	leftAt    time.Time
	started   bool
}

// Handle runs a request and returns its result. When ctx ends first, the request
// continues and Pending is set in the result.
func (g *Gateway) Handle(ctx context.Context, r *Request) Result {
	key := registrar.RequestKey{Caller: r.Admit.Caller, Key: r.Admit.Key}
	p, refused := g.join(key, r)
	if refused != nil {
		return *refused
	}
	defer g.leave(p)
	select {
	case <-p.done:
	case <-ctx.Done():
		return Result{Pending: true, Reason: "the request is still in progress"}
	}
	return *p.result
}

// join attaches a call to a request in progress, returns a cached answer or a
// refusal, or starts a new request.
func (g *Gateway) join(key registrar.RequestKey, r *Request) (*pending, *Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pending[key]; p != nil {
		if p.request.Admit.Content != r.Admit.Content {
			return nil, &Result{Conflict: true, Reason: "the key was used with other content"}
		}
		p.waiters++
		g.waitingCalls++
		return p, nil
	}
	if a := g.answers.get(key); a != nil && g.leased() {
		if a.content != r.Admit.Content {
			return nil, &Result{Conflict: true, Reason: "the key was used with other content"}
		}
		result := a.result
		return nil, &result
	}
	if g.closed || !g.leased() {
		return nil, &Result{Unavailable: true, Reason: "this daemon takes no new work now", RetryAfter: time.Second}
	}
	if g.MaxHeldBytes > 0 && g.heldBytes+len(r.Body) > g.MaxHeldBytes {
		return nil, &Result{Unavailable: true, Reason: "this daemon holds too many bytes of requests", RetryAfter: time.Second}
	}
	g.heldBytes += len(r.Body)
	p := &pending{request: r, arrived: g.Now(), done: make(chan struct{}), waiters: 1}
	g.pending[key] = p
	g.waitingCalls++
	g.outbox.Admits = append(g.outbox.Admits, r.Admit)
	g.signal()
	return p, nil
}

func (g *Gateway) leave(p *pending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waitingCalls--
	p.waiters--
	p.leftAt = g.Now()
}

// Cancel queues the cancellation of a request or a job for the leader.
func (g *Gateway) Cancel(c decider.Cancel) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outbox.Cancels = append(g.outbox.Cancels, c)
	g.signal()
}

// SubmitJob queues a job for the leader. Its acceptance shows in the replicated
// state.
func (g *Gateway) SubmitJob(j registrar.Job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outbox.Jobs = append(g.outbox.Jobs, decider.JobRequest{Job: j})
	g.signal()
}

// LookupResult returns the result of a request that this daemon holds, if any.
func (g *Gateway) LookupResult(key registrar.RequestKey) *Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.pending[key]; p != nil {
		return &Result{Pending: true, Reason: "the request is still in progress"}
	}
	if a := g.answers.get(key); a != nil {
		result := a.result
		return &result
	}
	return nil
}

// complete passes a result to all waiters and caches the answer of a request that
// is done. The mutex is held.
func (g *Gateway) complete(key registrar.RequestKey, result Result) {
	p := g.pending[key]
	if p == nil {
		return
	}
	delete(g.pending, key)
	g.heldBytes -= len(p.request.Body)
	p.result = &result
	close(p.done)
	if result.Outcome == registrar.Done {
		g.answers.put(key, p.request.Admit.Content, result, g.Now())
	}
	if g.OnRequestDone == nil {
		return
	}
	o := Observation{
		Caller: key.Caller, Class: p.request.Admit.Class, Outcome: result.Outcome,
		Total: g.Now().Sub(p.arrived), Started: !p.startedAt.IsZero(),
	}
	if o.Started {
		o.Wait = p.startedAt.Sub(p.arrived)
	}
	g.OnRequestDone(o)
}

// handleReply handles the leader's answer to an admission.
func (g *Gateway) handleReply(ctx context.Context, r *decider.Reply) {
	key := registrar.RequestKey{Caller: r.Caller, Key: r.Key}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pending[key]
	if p == nil {
		return
	}
	result := Result{
		Outcome: r.Outcome, Task: r.Task, Attempt: r.Attempt, Reason: r.Reason, RetryAfter: r.RetryAfter,
		Status: r.Status, Body: r.Answer, Conflict: r.Conflict, Retired: r.Retired,
	}
	if r.Outcome == registrar.Done && r.Answer == nil {
		go g.fetchAnswer(ctx, key, r.Holder, result)
		return
	}
	g.complete(key, result)
}

// fetchAnswer gets an answer that another daemon holds. When it is no longer
// held, a repeatable request is run once more.
func (g *Gateway) fetchAnswer(ctx context.Context, key registrar.RequestKey, holder registrar.DaemonName, result Result) {
	reply := &replica.AnswerReply{}
	if address := g.Client.AddressOf(holder); address != "" && holder != g.Daemon.Name {
		q := &replica.AnswerQuery{Caller: key.Caller, Key: key.Key}
		if got, err := g.Client.Answer(ctx, address, q); err == nil {
			reply = got
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.pending[key]
	if p == nil {
		return
	}
	if reply.Held {
		result.Status, result.Body, result.Type = reply.Status, reply.Body, reply.Type
		g.complete(key, result)
		return
	}
	if p.request.Admit.Once || p.request.Admit.Rerun {
		result.AnswerLost = true
		result.Reason = "done, but the answer is not held any more"
		g.complete(key, result)
		return
	}
	p.request.Admit.Rerun = true
	g.outbox.Admits = append(g.outbox.Admits, p.request.Admit)
	g.signal()
}

// Answer serves another daemon's query for an answer that this daemon holds.
func (g *Gateway) Answer(_ context.Context, q *replica.AnswerQuery) (*replica.AnswerReply, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.answers.get(registrar.RequestKey{Caller: q.Caller, Key: q.Key})
	if a == nil {
		return &replica.AnswerReply{}, nil
	}
	return &replica.AnswerReply{Held: true, Status: a.result.Status, Body: a.result.Body, Type: a.result.Type}, nil
}

// EndedResult returns the result of a request whose task has ended, with the answer
// from the daemon that holds it.
func (g *Gateway) EndedResult(ctx context.Context, t *registrar.Task) Result {
	result := Result{Outcome: t.Outcome, Task: t.ID, Attempt: t.Attempt, Reason: t.Reason, Status: t.Status, Body: t.Answer}
	if t.Outcome != registrar.Done || t.Answer != nil {
		return result
	}
	address := g.Client.AddressOf(t.Daemon)
	q := &replica.AnswerQuery{Caller: t.Caller, Key: t.Key}
	if got, err := g.Client.Answer(ctx, address, q); err == nil && got.Held {
		result.Body, result.Status, result.Type = got.Body, got.Status, got.Type
		return result
	}
	result.AnswerLost = true
	result.Reason = "done, but the answer is not held any more"
	return result
}

// LookupJob returns a job from this daemon's replicated state.
func (g *Gateway) LookupJob(ctx context.Context, key registrar.JobKey) *registrar.Job {
	var out *registrar.Job
	err := g.Read(ctx, true, func(t *controller.QueryState) { out = t.State.Jobs[key] })
	if err != nil {
		return g.View().Jobs[key]
	}
	return out
}
