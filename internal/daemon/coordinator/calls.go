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
	c.enqueueCall(ctx, &call{Call: msg, reply: reply})
}

// enqueueCall queues a call. Calls beyond MaxWaitingBytes are refused.
func (c *Coordinator) enqueueCall(ctx context.Context, req *call) {
	size := int64(req.Bytes())
	if c.waitingBytes.Add(size) > max(size, int64(c.MaxWaitingBytes)) && c.MaxWaitingBytes > 0 {
		c.waitingBytes.Add(-size)
		req.refuse("too many calls wait for the leader")
		return
	}
	select {
	case c.inputs <- input{call: req}:
	case <-ctx.Done():
		c.waitingBytes.Add(-size)
		req.refuse("the call did not reach the leader's queue")
	}
}

func (c *Coordinator) handleCall(req *call, now planner.Moment) {
	c.waitingBytes.Add(-int64(req.Bytes()))
	if req.from != nil && c.streams[req.from.daemon] != req.from {
		// The daemon may have repeated the call over a newer stream and been answered.
		req.refuse("the stream was replaced")
		return
	}
	answer := func(a planner.Answer) {
		req.answer(leader.Reply{Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason})
	}
	req.repeated = req.Submit != nil && c.Planner.State.Jobs[req.Submit.Job.ID] != nil
	if req.HasEffect() {
		c.deciding = append(c.deciding, req)
	}
	accepted := func() { answer(planner.Answer{Verdict: planner.Accepted}) }
	switch {
	case req.Submit != nil:
		sub := *req.Submit // the relayer may still send the original
		sub.Withheld = req.withheld
		c.Planner.Submit(&sub, c.confirmed(req, answer), now)
	case req.Cancel != nil:
		c.Planner.Cancel(req.place(req.Cancel), c.confirmed(req, answer), now)
	case req.Authenticate != nil:
		c.authenticate(req)
	case req.Announce != nil:
		c.Planner.Announce(req.Announce, func() { c.acknowledge(req) }, now)
	case req.Depart != "":
		c.Planner.Depart(planner.Departure{Target: req.Depart, Incarnation: req.Departing}, accepted, now)
	case req.Put != nil:
		c.Planner.Put(req.Put, answer, now)
	case req.State != nil:
		c.read(req, func() { c.replyState(req) }, now)
	case req.Fetch:
		c.read(req, func() { c.replyDocument(req) }, now)
	case req.Wave != nil:
		c.Planner.PutWave(req.Wave, answer, now)
	case req.WaveStatus != 0:
		c.read(req, func() { c.replyWave(req) }, now)
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
	req.answer(leader.Reply{Verdict: planner.Accepted, AtLeader: c.MaxAnnouncers == 0 || rank < c.MaxAnnouncers})
}

// authenticate answers whether a call to a place would be refused for its key.
func (c *Coordinator) authenticate(req *call) {
	keyless := !c.Planner.RequiresKeys()
	a := c.Planner.Authenticate(req.place(req.Authenticate))
	c.confirmed(req, func(a planner.Answer) {
		req.answer(leader.Reply{Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason, Keyless: keyless})
	})(a)
}

// place returns a place of the call with what is known of its caller.
func (req *call) place(x *leader.Place) planner.Place {
	return planner.Place{Host: x.Host, Path: x.Path, Credential: planner.Credential{Key: x.Key, Withheld: req.withheld}}
}

// confirmed returns answer, delayed until this replica is known to have led when it decided, if
// the newest document declares workspaces. Another leader may have revoked a key, and an answer that
// needs no commit may otherwise come from a replica that no longer leads.
func (c *Coordinator) confirmed(req *call, answer func(planner.Answer)) func(planner.Answer) {
	if !c.Planner.RequiresKeys() {
		return answer
	}
	return func(a planner.Answer) {
		req.refused = req.Submit != nil && a.Verdict != planner.Accepted
		c.read(req, func() { answer(a) }, c.Clock.Now())
	}
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

// read is a call that waits until a majority has confirmed the leader.
type read struct {
	call *call
	run  func()
}

// read runs f, which answers req, as a linearizable read: at once while the leader
// lease is valid, else after a majority has confirmed the leader.
func (c *Coordinator) read(req *call, f func(), now planner.Moment) {
	if now.Monotonic.Before(c.Node.Status().LeaseUntil) {
		f()
		return
	}
	c.nextRead++
	c.reads[c.nextRead] = append(c.reads[c.nextRead], read{req, f})
	c.Node.Read(c.ctx, c.nextRead)
}

func (c *Coordinator) runReads(id replicator.ReadID) {
	for _, r := range c.reads[id] {
		r.run()
	}
	delete(c.reads, id)
}

func (c *Coordinator) replyState(req *call) {
	r, place := leader.Reply{}, req.place(req.State)
	if q, _ := c.keyring.FindQueue(c.state, place); q != nil {
		r.Verdict, r.IsQueue, r.Pending = planner.Accepted, true, c.Planner.CountPending(q.Name)
		req.answer(r)
		return
	}
	job, a := c.keyring.Find(c.state, place)
	c.countRejection(a)
	r.Verdict, r.RetryAfter, r.Reason = a.Verdict, a.RetryAfter, a.Reason
	if job != nil {
		r.Job = job.State
	}
	req.answer(r)
}

func (c *Coordinator) replyDocument(req *call) {
	if c.state.Document == nil {
		req.answer(leader.Reply{Verdict: planner.NotReady, Reason: "no document is in force"})
		return
	}
	req.answer(leader.Reply{Verdict: planner.Accepted, Document: c.state.Document.Source})
}

func (c *Coordinator) replyWave(req *call) {
	wave := c.state.Waves[req.WaveStatus]
	if wave == nil {
		req.answer(leader.Reply{Verdict: planner.Unknown, Reason: "no such wave"})
		return
	}
	req.answer(leader.Reply{Verdict: planner.Accepted, Completed: wave.Completed()})
}
