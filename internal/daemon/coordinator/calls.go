package coordinator

import (
	"context"

	"masticroad/internal/peer/leader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/planner"
)

// This file serves calls: those that change the tables go to the planner, those
// that read them wait until the read is linearizable.

// Handle serves a call. Reply is called once, from any goroutine; it must not
// block.
func (c *Coordinator) Handle(ctx context.Context, call_ leader.Call, reply func(leader.Reply)) {
	select {
	case c.inputs <- input{call: &call{call_, reply}}:
	case <-ctx.Done():
		reply(leader.Reply{ID: call_.ID, Verdict: planner.Uncertain, Reason: "the daemon ends"})
	}
}

func (c *Coordinator) takeCall(k *call, now planner.Moment) {
	answer := func(a planner.Answer) {
		k.reply(leader.Reply{ID: k.ID, Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason})
	}
	accepted := func() { answer(planner.Answer{Verdict: planner.Accepted}) }
	switch {
	case k.Submit != nil:
		c.Planner.Submit(k.Submit, answer, now)
	case k.Cancel != nil:
		c.Planner.Cancel(k.Cancel.Host, k.Cancel.Path, answer, now)
	case k.Announce != nil:
		c.Planner.Announce(k.Announce, accepted, now)
	case k.Depart != "":
		c.Planner.Depart(k.Depart, accepted, now)
	case k.Put != nil:
		c.Planner.Put(k.Put, accepted, now)
	case k.State != nil:
		c.read(func() { c.replyState(k) }, now)
	case k.Fetch:
		c.read(func() { c.replyDocument(k) }, now)
	case k.Wave != nil:
		c.Planner.PutWave(k.Wave, answer, now)
	case k.WaveOf != 0:
		c.read(func() { c.replyWave(k) }, now)
	default:
		answer(planner.Answer{Verdict: planner.Invalid, Reason: "the call asks for nothing"})
	}
}

// read runs f once no other leader can have changed what it reads.
func (c *Coordinator) read(f func(), now planner.Moment) {
	if now.Steady.Before(c.Node.Status().LeaseUntil) {
		f()
		return
	}
	c.nextRead++
	c.reads[c.nextRead] = append(c.reads[c.nextRead], f)
	c.Node.Read(c.ctx, c.nextRead)
}

func (c *Coordinator) answerRead(id replicator.ReadID) {
	for _, f := range c.reads[id] {
		f()
	}
	delete(c.reads, id)
}

func (c *Coordinator) replyState(k *call) {
	r := leader.Reply{ID: k.ID}
	q, rest := c.state.Document.Route(k.State.Host, k.State.Path)
	if q != nil && rest == "" {
		r.Verdict, r.IsQueue, r.Pending = planner.Accepted, true, c.state.Pending(q.Name)
		k.reply(r)
		return
	}
	job, a := planner.Find(c.state, k.State.Host, k.State.Path)
	r.Verdict, r.RetryAfter, r.Reason = a.Verdict, a.RetryAfter, a.Reason
	if job != nil {
		r.Job = job.State
	}
	k.reply(r)
}

func (c *Coordinator) replyDocument(k *call) {
	if c.state.Document == nil {
		k.reply(leader.Reply{ID: k.ID, Verdict: planner.NotReady, Reason: "no document is in force"})
		return
	}
	k.reply(leader.Reply{ID: k.ID, Verdict: planner.Accepted, Document: c.state.Document.Source})
}

func (c *Coordinator) replyWave(k *call) {
	w := c.state.Waves[k.WaveOf]
	if w == nil {
		k.reply(leader.Reply{ID: k.ID, Verdict: planner.Unknown, Reason: "no such wave"})
		return
	}
	k.reply(leader.Reply{ID: k.ID, Verdict: planner.Accepted, Completed: w.Completed()})
}
