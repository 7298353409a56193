package coordinator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file serves the streams of other daemons while this replica leads.

const (
	downQueue     = 1024
	streamSilence = 3 * time.Second // three signs of life of a daemon that watches, seven of one that calls
)

// stream is this daemon's end of another daemon's stream.
type stream struct {
	daemon  planner.AdviserID
	watches bool
	queue   chan *leader.Down
	cancel  context.CancelFunc
	welcome chan leader.Welcome
}

// push queues a message; a daemon that does not keep up is disconnected, and
// repeats its calls when it connects anew.
func (s *stream) push(m *leader.Down) {
	select {
	case s.queue <- m:
	default:
		s.cancel()
	}
}

// Work serves a daemon's stream until it ends. A daemon that does not lead
// serves only streams that watch.
func (c *Coordinator) Work(ctx context.Context, conn leader.Stream) error {
	first, err := conn.Recv()
	if err != nil {
		return err
	}
	if first.Hello == nil {
		return errors.New("stream: the first message must be a hello")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stream{
		daemon: planner.AdviserID(first.Hello.Daemon), watches: first.Hello.Watch, queue: make(chan *leader.Down, downQueue),
		cancel: cancel, welcome: make(chan leader.Welcome, 1),
	}
	c.push(input{attach: s})
	select {
	case w := <-s.welcome:
		if err := conn.Send(&leader.Down{Welcome: &w}); err != nil || !w.Leading && !s.watches {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	defer c.push(input{detach: s})
	go c.receive(ctx, s, conn)
	return s.sendAll(ctx, conn)
}

func (c *Coordinator) receive(ctx context.Context, s *stream, conn leader.Stream) {
	defer s.cancel()
	silence := time.AfterFunc(streamSilence, s.cancel)
	defer silence.Stop()
	for {
		m, err := conn.Recv()
		if err != nil {
			return
		}
		silence.Reset(streamSilence)
		for i := range m.Tickets {
			c.push(input{ask: &m.Tickets[i]})
		}
		for _, k := range m.Calls {
			c.Handle(ctx, k, func(r leader.Reply) { s.push(&leader.Down{Replies: []leader.Reply{r}}) })
		}
		if m.Ping {
			s.push(&leader.Down{})
		}
	}
}

// sendAll sends queued messages, several as one when they have gathered.
func (s *stream) sendAll(ctx context.Context, conn leader.Stream) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-s.queue:
			s.merge(m)
			if err := conn.Send(m); err != nil {
				return err
			}
		}
	}
}

func (s *stream) merge(m *leader.Down) {
	for len(s.queue) > 0 {
		next := <-s.queue
		if next.Welcome != nil {
			m.Welcome = next.Welcome
		}
		m.Replies = append(m.Replies, next.Replies...)
		m.Asks = append(m.Asks, next.Asks...)
	}
}

// welcome tells who leads, as this replica knows it.
func (c *Coordinator) welcome() leader.Welcome {
	return leader.Welcome{
		Leading: c.leading.Load(), Leader: nameOf(c.status.Leader), Members: namesOf(c.status.Voters), Term: c.status.Term,
	}
}

// attachWatch keeps a stream that watches.
func (c *Coordinator) attachWatch(s *stream) {
	c.watchers[s] = true
	s.welcome <- c.welcome()
}

// tellWatchers passes on who leads.
func (c *Coordinator) tellWatchers() {
	w := c.welcome()
	c.Follow(w.Leader, w.Term)
	for s := range c.watchers {
		s.push(&leader.Down{Welcome: &w})
	}
}

func (c *Coordinator) attach(s *stream, now planner.Moment) {
	if old := c.streams[s.daemon]; old != nil {
		old.cancel()
	}
	c.streams[s.daemon] = s
	c.Planner.AddAdviser(s.daemon, now)
	s.welcome <- c.welcome()
}

func (c *Coordinator) detach(s *stream, now planner.Moment) {
	if c.streams[s.daemon] != s {
		return
	}
	delete(c.streams, s.daemon)
	c.Planner.RemoveAdviser(s.daemon, now)
}

// ask passes a question for the licensing service to the daemon that is to ask
// it.
func (c *Coordinator) ask(o *planner.AskOrder) {
	s := c.streams[o.Through]
	if s == nil {
		c.Dispatcher.Do(planner.Action{Ask: o})
		return
	}
	s.push(&leader.Down{Asks: []planner.AskOrder{*o}})
}
