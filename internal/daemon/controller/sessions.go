package controller

import (
	"context"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/replica"
)

// This file passes messages between the sessions of daemons and the decider.

const sessionQueueSize = 512

// session is the leader's side of a daemon's session.
type session struct {
	daemon      registrar.DaemonName
	incarnation registrar.Incarnation
	queue       chan *decider.Downstream
	cancel      context.CancelFunc
	ready       chan bool
}

// enqueue queues a message. A daemon that does not keep up is disconnected and
// receives everything again after it reconnects.
func (s *session) enqueue(m *decider.Downstream) {
	select {
	case s.queue <- m:
	default:
		s.cancel()
	}
}

// Session serves a daemon's session while this replica leads.
func (c *Controller) Session(ctx context.Context, stream replica.SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Hello == nil {
		return errors.New("session: the first message must be a hello")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &session{
		daemon: first.Hello.Name, incarnation: first.Hello.Incarnation,
		queue: make(chan *decider.Downstream, sessionQueueSize), cancel: cancel, ready: make(chan bool, 1),
	}
	if !c.registerSession(ctx, s) {
		return errors.New("session: this daemon does not lead")
	}
	defer c.enqueue(context.Background(), decider.Input{Daemon: s.daemon, Incarnation: s.incarnation, Closed: true})
	c.enqueue(ctx, decider.Input{Daemon: s.daemon, Incarnation: s.incarnation, Up: first})
	go c.receive(ctx, s, stream)
	return s.sendAll(ctx, stream)
}

func (c *Controller) registerSession(ctx context.Context, s *session) bool {
	select {
	case c.attach <- s:
	case <-ctx.Done():
		return false
	}
	return <-s.ready
}

func (c *Controller) receive(ctx context.Context, s *session, stream replica.SessionStream) {
	defer s.cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return
		}
		c.enqueue(ctx, decider.Input{Daemon: s.daemon, Incarnation: s.incarnation, Up: up})
	}
}

func (c *Controller) enqueue(ctx context.Context, in decider.Input) {
	if in.Closed {
		select {
		case c.inputs <- in:
		default: // the decider also detects the closed session by the expired lease
		}
		return
	}
	select {
	case c.inputs <- in:
	case <-ctx.Done():
	}
}

func (s *session) sendAll(ctx context.Context, stream replica.SessionStream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.queue:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// attachSession registers a session if this replica leads, in place of the
// daemon's previous one. It runs on the control goroutine.
func (c *Controller) attachSession(s *session) {
	if !c.leading {
		s.ready <- false
		return
	}
	if old := c.sessions[s.daemon]; old != nil {
		old.cancel()
	}
	c.sessions[s.daemon] = s
	s.ready <- true
}

func (c *Controller) dropSessions() {
	for name, s := range c.sessions {
		s.cancel()
		delete(c.sessions, name)
	}
}
