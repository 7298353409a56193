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

// Handle serves a call. It calls reply once, from any goroutine; reply must not
// block. Calls beyond MaxWaitingBytes are not taken in.
func (c *Coordinator) Handle(ctx context.Context, msg leader.Call, reply func(leader.Reply)) {
	if size := int64(msg.Bytes()); c.waitingBytes.Add(size) > max(size, int64(c.MaxWaitingBytes)) && c.MaxWaitingBytes > 0 {
		c.waitingBytes.Add(-size)
		// It may be the repetition of a call that was taken in.
		reply(leader.Reply{ID: msg.ID, Verdict: planner.Uncertain, Reason: "too many calls wait for the leader"})
		return
	}
	select {
	case c.inputs <- input{call: &call{msg, reply}}:
	case <-ctx.Done():
		c.waitingBytes.Add(-int64(msg.Bytes()))
		reply(leader.Reply{ID: msg.ID, Verdict: planner.Uncertain, Reason: "the daemon ends"})
	}
}

func (c *Coordinator) handleCall(req *call, now planner.Moment) {
	c.waitingBytes.Add(-int64(req.Bytes()))
	answer := func(a planner.Answer) {
		req.reply(leader.Reply{ID: req.ID, Verdict: a.Verdict, RetryAfter: a.RetryAfter, Reason: a.Reason})
	}
	accepted := func() { answer(planner.Answer{Verdict: planner.Accepted}) }
	switch {
	case req.Submit != nil:
		c.Planner.Submit(req.Submit, answer, now)
	case req.Cancel != nil:
		c.Planner.Cancel(req.Cancel.Host, req.Cancel.Path, answer, now)
	case req.Announce != nil:
		c.Planner.Announce(req.Announce, func() { c.acknowledge(req) }, now)
	case req.Depart != "":
		c.Planner.Depart(planner.Departure{Target: req.Depart, Incarnation: req.Departing}, accepted, now)
	case req.Put != nil:
		c.Planner.Put(req.Put, accepted, now)
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
	r := leader.Reply{ID: req.ID}
	q, rest := c.state.Document.Route(req.State.Host, req.State.Path)
	if q != nil && rest == "" {
		r.Verdict, r.IsQueue, r.Pending = planner.Accepted, true, c.Planner.CountPending(q.Name)
		req.reply(r)
		return
	}
	job, a := planner.Find(c.state, req.State.Host, req.State.Path)
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
