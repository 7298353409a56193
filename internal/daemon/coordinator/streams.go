package coordinator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file serves the streams of other daemons: those that send calls while
// this replica leads, and those that only watch for changes of the leader.

const (
	streamQueueSize = 1024
	streamTimeout   = 3 * time.Second // three ping intervals of a watching daemon, seven of a calling one
)

// stream is the server side of another daemon's stream.
type stream struct {
	daemon    planner.LicenceProxyID
	watchOnly bool
	keys      bool // it passes the keys of callers on
	queue     chan *leader.Down
	cancel    context.CancelFunc
	welcome   chan leader.Welcome
}

// enqueue queues a message. A daemon that does not keep up is disconnected; it
// repeats its calls after it reconnects.
func (s *stream) enqueue(m *leader.Down) {
	select {
	case s.queue <- m:
	default:
		s.cancel()
	}
}

// Work serves a daemon's stream until it ends. A replica that does not lead
// serves only watching streams.
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
		daemon: planner.LicenceProxyID(first.Hello.Daemon), watchOnly: first.Hello.Watch, keys: first.Hello.Keys, queue: make(chan *leader.Down, streamQueueSize),
		cancel: cancel, welcome: make(chan leader.Welcome, 1),
	}
	c.enqueue(input{attach: s})
	select {
	case w := <-s.welcome:
		if err := conn.Send(&leader.Down{Welcome: &w}); err != nil || !w.Leading && !s.watchOnly {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	defer c.enqueue(input{detach: s})
	go c.receive(ctx, s, conn)
	return s.sendAll(ctx, conn)
}

func (c *Coordinator) receive(ctx context.Context, s *stream, conn leader.Stream) {
	defer s.cancel()
	timeout := time.AfterFunc(streamTimeout, s.cancel)
	defer timeout.Stop()
	for {
		m, err := conn.Recv()
		if err != nil {
			return
		}
		timeout.Reset(streamTimeout)
		for i := range m.Tickets {
			m.Tickets[i].Received = c.Clock.Now().Monotonic
			c.enqueue(input{tickets: &m.Tickets[i]})
		}
		for _, k := range m.Calls {
			reply := func(r leader.Reply) { s.enqueue(&leader.Down{Replies: []leader.Reply{r}}) }
			c.enqueueCall(ctx, &call{Call: k, from: s, reply: reply, withheld: !s.keys})
		}
		if m.Ping {
			s.enqueue(&leader.Down{})
		}
	}
}

// sendAll sends queued messages and merges those that are queued together.
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
		m.TicketRequests = append(m.TicketRequests, next.TicketRequests...)
	}
}

// welcome returns the leader, voters and term that this replica knows.
func (c *Coordinator) welcome() leader.Welcome {
	return leader.Welcome{
		Leading: c.leading.Load(), Leader: daemonName(c.status.Leader), Members: daemonNames(c.status.Voters), Term: c.status.Term,
	}
}

// addWatcher registers a watching stream.
func (c *Coordinator) addWatcher(s *stream) {
	c.watchers[s] = true
	s.welcome <- c.welcome()
}

// notifyWatchers sends a change of the leader to the local relayer and to all
// watching streams.
func (c *Coordinator) notifyWatchers() {
	w := c.welcome()
	c.OnLeaderChange(w.Leader, w.Term)
	for s := range c.watchers {
		s.enqueue(&leader.Down{Welcome: &w})
	}
}

func (c *Coordinator) attachStream(s *stream, now planner.Moment) {
	if old := c.streams[s.daemon]; old != nil {
		old.cancel()
	}
	c.streams[s.daemon] = s
	c.Planner.AddLicenceProxy(s.daemon, now)
	s.welcome <- c.welcome()
}

func (c *Coordinator) detachStream(s *stream, now planner.Moment) {
	if c.streams[s.daemon] != s {
		return
	}
	delete(c.streams, s.daemon)
	c.Planner.RemoveLicenceProxy(s.daemon, now)
}

// requestTickets sends a ticket request to the daemon that is to call the
// licensing service. Without a stream to that daemon, this one makes the call.
func (c *Coordinator) requestTickets(o *planner.TicketRequest) {
	s := c.streams[o.Proxy]
	if s == nil {
		c.Dispatcher.Do(planner.Action{TicketRequest: o})
		return
	}
	s.enqueue(&leader.Down{TicketRequests: []planner.TicketRequest{*o}})
}
