package gateway

import (
	"context"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// This file executes the leader's orders to stop, checkpoint or throttle
// attempts, and forwards announcements of targets.

const (
	orderTimeout    = 3 * time.Second
	announceTimeout = 3 * time.Second
)

var verbNames = map[decider.Verb]string{
	decider.VerbStop:       "stop",
	decider.VerbCheckpoint: "checkpoint",
	decider.VerbThrottle:   "throttle",
}

func (g *Gateway) handleOrder(o *decider.Order) {
	rec := g.View().Targets[o.Target]
	if rec == nil {
		return
	}
	go g.sendOrder(*o, rec.Address)
}

// sendOrder sends an order to a target and reports the result. The leader repeats
// an order that fails.
func (g *Gateway) sendOrder(o decider.Order, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	st, err := g.Targets.Order(ctx, address, o.Task, o.Attempt, verbNames[o.Verb])
	if err != nil || o.Verb == decider.VerbThrottle {
		return
	}
	arrived := registrar.MillisOf(g.Now()) >= o.Arrived
	r, ok := reportFromStatus(st, "stopped by order", arrived)
	if !ok {
		return
	}
	r.Task, r.Attempt = o.Task, o.Attempt
	g.mu.Lock()
	defer g.mu.Unlock()
	id := decider.TaskAttempt{Task: o.Task, Attempt: o.Attempt}
	if at := g.attempts[id]; at != nil && r.Result == decider.ResultDone {
		return // the start's own answer carries the result
	}
	g.queueReport(r)
}

type announceKey struct {
	name        registrar.TargetName
	incarnation registrar.Incarnation
	seq         uint64
}

// Announce forwards a target's announcement to the leader and returns its reply.
// Most announcements are forwarded as a digest; the leader requests the full one
// when it needs it. The result is false if no leader answered in time, or if the
// session ended before.
func (g *Gateway) Announce(ctx context.Context, a *target.Announcement) (target.AnnounceReply, bool) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	full := len(a.Ended) > 0
	reply, ok := g.forwardAnnouncement(ctx, a, full)
	if ok && reply.SendFull && !full {
		reply, ok = g.forwardAnnouncement(ctx, a, true)
	}
	out := target.AnnounceReply{
		LeaseMillis: reply.Duration.Milliseconds(), Retired: reply.Retired,
		Stop: attemptRefs(reply.Stop), Forget: attemptRefs(reply.Forget),
	}
	return out, ok
}

func attemptRefs(list []decider.TaskAttempt) []target.AttemptRef {
	var out []target.AttemptRef
	for _, ta := range list {
		out = append(out, target.AttemptRef{Task: ta.Task, Attempt: ta.Attempt})
	}
	return out
}

func (g *Gateway) forwardAnnouncement(ctx context.Context, a *target.Announcement, full bool) (decider.TargetReply, bool) {
	key := announceKey{a.Name, a.Incarnation, a.Seq}
	ch := make(chan decider.TargetReply, 1)
	g.mu.Lock()
	if !g.leased() {
		g.mu.Unlock()
		return decider.TargetReply{}, false
	}
	g.announceWaiters[key] = ch
	g.outbox.Announcements = append(g.outbox.Announcements, newAnnouncement(a, full))
	g.signal()
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.announceWaiters[key] == ch {
			delete(g.announceWaiters, key)
		}
	}()
	select {
	case r, ok := <-ch:
		return r, ok
	case <-ctx.Done():
		return decider.TargetReply{}, false
	}
}

func (g *Gateway) handleTargetReply(r *decider.TargetReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ch := g.announceWaiters[announceKey{r.Name, r.Incarnation, r.Seq}]; ch != nil {
		select {
		case ch <- *r:
		default:
		}
	}
}

func newAnnouncement(a *target.Announcement, full bool) decider.Announcement {
	out := decider.Announcement{Name: a.Name, Incarnation: a.Incarnation, Seq: a.Seq, Digest: decider.DigestLeaving(a.Leaving)}
	for _, r := range a.Running {
		if r.Background {
			out.Digest ^= decider.DigestAttempt(r.Task, r.Attempt)
		}
	}
	if !full {
		return out
	}
	out.Full = &registrar.Target{
		Name: a.Name, Address: a.Address, Region: a.Region, Zone: a.Zone, Rack: a.Rack, Capacity: a.Capacity,
		Slots: a.Slots, Connections: a.Connections, Leaving: a.Leaving,
	}
	for _, r := range a.Running {
		out.Running = append(out.Running, decider.RunningTask{Task: r.Task, Attempt: r.Attempt, Usage: r.Usage})
	}
	for i := range a.Ended {
		if r, ok := reportFromStatus(&a.Ended[i], "ended on its target", true); ok {
			r.Task, r.Attempt, r.ByTarget = a.Ended[i].Task, a.Ended[i].Attempt, true
			out.Ended = append(out.Ended, r)
		}
	}
	return out
}
