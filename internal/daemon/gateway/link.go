package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/peer/replica"
)

// This file maintains the session with the leader. A session on which nothing is
// received for sessionTimeout is closed together with its connection, and a new
// one is opened. A new session repeats everything that the leader has not
// answered, except announcements, which their targets repeat.

// runSession opens a session and serves it until it ends.
func (g *Gateway) runSession(ctx context.Context) error {
	address := g.Leader()
	if address == "" {
		return errors.New("no leader is known")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := g.Client.OpenSession(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Close()
	if err := s.Send(g.hello()); err != nil {
		return errors.Trace(err)
	}
	received := make(chan struct{}, 1)
	failed := make(chan error, 1)
	go func() { failed <- g.receive(ctx, s, received) }()
	return g.sendLoop(ctx, s, address, received, failed)
}

// hello returns the first batch of a session. The announcements that wait are refused: the leader of
// the last session does not answer them any more, and what they list may be out of date by now.
func (g *Gateway) hello() *decider.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.Daemon
	up := &decider.Upstream{Hello: &d, Leaving: g.stopping}
	g.outbox = decider.Upstream{Cancels: g.outbox.Cancels, Jobs: g.outbox.Jobs}
	for _, waiter := range g.announceWaiters {
		close(waiter)
	}
	clear(g.announceWaiters)
	for _, p := range g.pending {
		up.Admits = append(up.Admits, p.request.Admit)
	}
	for _, r := range g.reports {
		up.Reports = append(up.Reports, r)
	}
	up.Renewal = g.renewal()
	return up
}

// renewal returns a request to extend the lease. The mutex is held.
func (g *Gateway) renewal() *decider.Renewal {
	g.renewSeq++
	g.renewals[g.renewSeq] = g.Now()
	delete(g.renewals, g.renewSeq-maxRenewals)
	v := g.View()
	return &decider.Renewal{Seq: g.renewSeq, Revision: v.Revision, Applied: v.Applied}
}

func (g *Gateway) sendLoop(ctx context.Context, s *replica.Session, address string, received <-chan struct{}, failed <-chan error) error {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	last := g.Now()
	revision := g.View().Revision
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-failed:
			return err
		case <-received:
			last = g.Now()
			continue
		case <-g.wake:
		case <-renew.C:
			due = true
		}
		if g.Now().Sub(last) > sessionTimeout {
			return errors.Timeoutf("session with %s", address)
		}
		if leader := g.Leader(); leader != "" && leader != address {
			return errors.Errorf("leader changed to %s", leader)
		}
		if r := g.View().Revision; r != revision {
			revision, due = r, true
		}
		up := g.drainOutbox(due)
		if up == nil {
			continue
		}
		if err := s.Send(up); err != nil {
			return errors.Trace(err)
		}
	}
}

// drainOutbox empties the outbox and returns its content, with a renewal of the
// lease if renew is set, or nil if there is nothing to send.
func (g *Gateway) drainOutbox(renew bool) *decider.Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	up := g.outbox
	g.outbox = decider.Upstream{}
	if renew {
		up.Renewal = g.renewal()
	}
	empty := len(up.Admits)+len(up.Reports)+len(up.Announcements)+len(up.Cancels)+len(up.Jobs) == 0
	if empty && up.Renewal == nil && !up.Leaving {
		return nil
	}
	return &up
}

// Wake makes the session check the view after a change of configuration.
func (g *Gateway) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.signal()
}

func (g *Gateway) receive(ctx context.Context, s *replica.Session, received chan<- struct{}) error {
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		select {
		case received <- struct{}{}:
		default:
		}
		g.handleDownstream(ctx, m)
	}
}

func (g *Gateway) handleDownstream(ctx context.Context, m *decider.Downstream) {
	if m.Grant != nil {
		g.handleGrant(m.Grant)
	}
	for i := range m.Settled {
		g.handleSettled(m.Settled[i])
	}
	for i := range m.Assignments {
		g.handleAssignment(&m.Assignments[i])
	}
	for i := range m.Replies {
		g.handleReply(ctx, &m.Replies[i])
	}
	for i := range m.Targets {
		g.handleTargetReply(&m.Targets[i])
	}
	for i := range m.Orders {
		g.handleOrder(&m.Orders[i])
	}
}

// handleGrant extends the lease from the time at which the renewal was sent. It
// ignores grants of terms older than the newest one that the replica knows.
func (g *Gateway) handleGrant(grant *decider.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	sent, ok := g.renewals[grant.Seq]
	if !ok || grant.Duration <= 0 || grant.Term < g.Term() {
		return
	}
	g.lease.Extend(sent, grant.Duration)
}

func (g *Gateway) handleSettled(ta decider.TaskAttempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.reports, ta)
	if ch := g.settled[ta]; ch != nil {
		close(ch)
		delete(g.settled, ta)
	}
}
