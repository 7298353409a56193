package coordinator

import (
	"context"
	"hash/fnv"

	"masticroad/internal/peer/leader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/planner"
)

// This file serves calls. Calls that change the replicated state go to the
// planner; calls that read it wait until the read is linearizable.

// Handle serves a call of this daemon. It calls reply once, from any goroutine; reply must not
// block.
func (c *Coordinator) Handle(ctx context.Context, msg leader.Call, reply func(leader.Reply)) {
	c.handle(ctx, &call{Call: msg, reply: reply})
}

func (c *Coordinator) handle(ctx context.Context, req *call) {
	select {
	case c.inputs <- input{call: req}:
	case <-ctx.Done():
		req.reply(leader.Reply{ID: req.ID, Verdict: planner.Uncertain, Reason: "the daemon ends"})
	}
}

func (c *Coordinator) handleCall(req *call, now planner.Moment) {
	answer := func(a planner.Answer) {
		req.reply(leader.Reply{ID: req.ID, Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason})
	}
	accepted := func() { answer(planner.Answer{Verdict: planner.Accepted}) }
	switch {
	case req.Submit != nil:
		sub := *req.Submit // the relayer may still send the original
		sub.Withheld = req.withheld
		c.Planner.Submit(&sub, c.confirmed(answer), now)
	case req.Cancel != nil:
		c.Planner.Cancel(req.place(req.Cancel), c.confirmed(answer), now)
	case req.Authenticate != nil:
		c.authenticate(req)
	case req.Announce != nil:
		c.Planner.Announce(req.Announce, func() { c.acknowledge(req) }, now)
	case req.Depart != "":
		c.Planner.Depart(planner.Departure{Target: req.Depart, Incarnation: req.Departing}, accepted, now)
	case req.Put != nil:
		c.Planner.Put(req.Put, answer, now)
	case req.State != nil:
		c.read(func() { c.replyState(req) }, now)
	case req.Fetch:
		c.read(func() { c.replyDocument(req) }, now)
	case req.Wave != nil:
		c.Planner.PutWave(req.Wave, answer, now)
	case req.WaveStatus != 0:
		c.read(func() { c.replyWave(req) }, now)
	default:
		answer(planner.Answer{Verdict: planner.Invalid, Reason: "the call asks for nothing"})
	}
}

// acknowledge answers an announcement. Targets beyond MaxAnnouncers stay with the
// daemons that they have called, as each keeps a connection open where it announces
// itself.
func (c *Coordinator) acknowledge(req *call) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(req.Announce.Target.ID)) // never fails
	rank := int(h.Sum32() % uint32(max(len(c.Planner.State.Targets), 1)))
	req.reply(leader.Reply{ID: req.ID, Verdict: planner.Accepted, AtLeader: c.MaxAnnouncers == 0 || rank < c.MaxAnnouncers})
}

// authenticate answers whether a call to a place would be refused for its key.
func (c *Coordinator) authenticate(req *call) {
	keyless := !c.Planner.RequiresKeys()
	a := c.Planner.Authenticate(req.place(req.Authenticate))
	c.confirmed(func(a planner.Answer) {
		req.reply(leader.Reply{ID: req.ID, Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason, Keyless: keyless})
	})(a)
}

// place returns a place of the call with what is known of its caller.
func (req *call) place(x *leader.Place) planner.Place {
	return planner.Place{Host: x.Host, Path: x.Path, Credential: planner.Credential{Key: x.Key, Withheld: req.withheld}}
}

// confirmed returns answer, delayed until this replica is known to have led when it decided, if
// the newest document declares workspaces. Another leader may have revoked a key, and an answer that
// needs no commit may otherwise come from a replica that no longer leads.
func (c *Coordinator) confirmed(answer func(planner.Answer)) func(planner.Answer) {
	if !c.Planner.RequiresKeys() {
		return answer
	}
	return func(a planner.Answer) { c.read(func() { answer(a) }, c.Clock.Now()) }
}

// countRejection counts a read that was refused for the credential of its caller.
func (c *Coordinator) countRejection(a planner.Answer) {
	switch a.Verdict {
	case planner.Unauthorized:
		c.Meter.Unauthorized(1)
	case planner.Forbidden:
		c.Meter.Forbidden(1)
	}
}

// read runs f as a linearizable read: at once while the leader lease is valid,
// else after a majority has confirmed the leader.
func (c *Coordinator) read(f func(), now planner.Moment) {
	if now.Monotonic.Before(c.Node.Status().LeaseUntil) {
		f()
		return
	}
	c.nextRead++
	c.reads[c.nextRead] = append(c.reads[c.nextRead], f)
	c.Node.Read(c.ctx, c.nextRead)
}

func (c *Coordinator) runReads(id replicator.ReadID) {
	for _, f := range c.reads[id] {
		f()
	}
	delete(c.reads, id)
}

func (c *Coordinator) replyState(req *call) {
	r, place := leader.Reply{ID: req.ID}, req.place(req.State)
	if q, _ := c.keyring.FindQueue(c.state, place); q != nil {
		r.Verdict, r.IsQueue, r.Pending = planner.Accepted, true, c.Planner.CountPending(q.Name)
		req.reply(r)
		return
	}
	job, a := c.keyring.Find(c.state, place)
	c.countRejection(a)
	r.Verdict, r.RetryAfter, r.Reason = a.Verdict, a.RetryAfter, a.Reason
	if job != nil {
		r.Job = job.State
	}
	req.reply(r)
}

func (c *Coordinator) replyDocument(req *call) {
	if c.state.Document == nil {
		req.reply(leader.Reply{ID: req.ID, Verdict: planner.NotReady, Reason: "no document is in force"})
		return
	}
	req.reply(leader.Reply{ID: req.ID, Verdict: planner.Accepted, Document: c.state.Document.Source})
}

func (c *Coordinator) replyWave(req *call) {
	wave := c.state.Waves[req.WaveStatus]
	if wave == nil {
		req.reply(leader.Reply{ID: req.ID, Verdict: planner.Unknown, Reason: "no such wave"})
		return
	}
	req.reply(leader.Reply{ID: req.ID, Verdict: planner.Accepted, Completed: wave.Completed()})
}
