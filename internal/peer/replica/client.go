package replica

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file implements the client. It keeps one stream for log messages to each
// peer, and dials separate connections for calls and sessions.

const (
	sendQueueLength = 256                     // batches
	ackTimeout      = 1500 * time.Millisecond // without an Ack after a send, the connection is replaced
	redialDelay     = 60 * time.Millisecond
	callTimeout     = 10 * time.Second
	dialTimeout     = 300 * time.Millisecond // a starting VM drops the first SYN, and a new dial is sooner than the kernel's retransmission
)

// Peer is another daemon of the cell.
type Peer struct {
	Name    registrar.DaemonName
	Address string
}

// Client sends messages and calls to other daemons. The exported fields are set before Run.
type Client struct {
	Peers       []Peer
	Credentials credentials.TransportCredentials // nil: without TLS
	Traffic     *Traffic
	// NamedByAddress is set when the name of a daemon is its address. Peers are then
	// only the initial ones; a link to another daemon is added by the first message
	// to it.
	NamedByAddress bool
	// OnRefused, when set, is called with the time, read from Now, at which a dial
	// began that ended in ECONNREFUSED: the VM is up, but no process listens.
	Now       func() time.Time
	OnRefused func(daemon registrar.DaemonName, since time.Time)

	ctx     context.Context // of Run
	links   map[registrar.DaemonName]*link
	linksMu sync.Mutex // guards links
	connsMu sync.Mutex
	conns   map[string]*grpc.ClientConn // shared by calls
}

type link struct {
	client *Client
	peer   Peer
	queue  chan []replicator.Message
}

// Open prepares the links. It must be called before Send.
func (c *Client) Open() {
	c.links = make(map[registrar.DaemonName]*link)
	for _, p := range c.Peers {
		c.links[p.Name] = &link{c, p, make(chan []replicator.Message, sendQueueLength)}
	}
}

// Run keeps a stream to each peer until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.linksMu.Lock()
	c.ctx = ctx
	for _, l := range c.links {
		go l.run(ctx)
	}
	c.linksMu.Unlock()
	<-ctx.Done()
}

// linkFor returns the link to a daemon, or nil if the daemon is unknown. If
// NamedByAddress is set, it adds the missing link.
func (c *Client) linkFor(name registrar.DaemonName) *link {
	c.linksMu.Lock()
	defer c.linksMu.Unlock()
	l := c.links[name]
	if l == nil && c.NamedByAddress {
		l = &link{c, Peer{name, string(name)}, make(chan []replicator.Message, sendQueueLength)}
		c.links[name] = l
		if c.ctx != nil {
			go l.run(c.ctx)
		}
	}
	return l
}

func (c *Client) linkNames() []registrar.DaemonName {
	c.linksMu.Lock()
	defer c.linksMu.Unlock()
	names := make([]registrar.DaemonName, 0, len(c.links))
	for name := range c.links {
		names = append(names, name)
	}
	return names
}

// AddPeers adds daemons to the receivers of messages that are sent to every peer.
func (c *Client) AddPeers(names []registrar.DaemonName) {
	for _, name := range names {
		c.linkFor(name)
	}
}

// Send queues messages by receiver; a message without one goes to every peer.
// It drops messages when a queue is full; the protocol tolerates lost messages.
func (c *Client) Send(messages []replicator.Message) {
	if len(messages) == 0 {
		return
	}
	byPeer := make(map[registrar.DaemonName][]replicator.Message)
	for _, m := range messages {
		if m.To == "" {
			for _, name := range c.linkNames() {
				byPeer[name] = append(byPeer[name], m)
			}
			continue
		}
		name := registrar.DaemonName(replicator.NameOf(m.To))
		byPeer[name] = append(byPeer[name], m)
	}
	for name, batch := range byPeer {
		if l := c.linkFor(name); l != nil {
			l.enqueue(batch)
		}
	}
}

func (l *link) enqueue(batch []replicator.Message) {
	select {
	case l.queue <- batch:
	default:
	}
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = l.stream(ctx) // the loop opens another stream
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
	}
}

// stream sends queued messages over one new connection until it fails or
// acknowledgements stop.
func (l *link) stream(ctx context.Context) error {
	conn, err := l.client.dialPeer(l.peer)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := conn.NewStream(ctx, &serviceDesc.Streams[0], "/"+serviceName+"/Deliver")
	if err != nil {
		return errors.Trace(err)
	}
	acks := make(chan struct{}, 1)
	go readAcks(s, acks, cancel)
	return l.sendLoop(ctx, s, acks)
}

func readAcks(s grpc.ClientStream, acks chan<- struct{}, cancel func()) {
	defer cancel()
	for {
		var a Ack
		if s.RecvMsg(&a) != nil {
			return
		}
		select {
		case acks <- struct{}{}:
		default:
		}
	}
}

func (l *link) sendLoop(ctx context.Context, s grpc.ClientStream, acks <-chan struct{}) error {
	silence := time.NewTimer(ackTimeout)
	silence.Stop()
	defer silence.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-acks:
			waiting = false
			silence.Stop()
		case <-silence.C:
			return errors.Timeoutf("connection to %s", l.peer.Name)
		case batch := <-l.queue:
			if err := s.SendMsg(&Envelope{Messages: batch}); err != nil {
				return errors.Trace(err)
			}
			if !waiting {
				waiting = true
				silence.Reset(ackTimeout)
			}
		}
	}
}

// Dial prepares a connection to a daemon. The first call establishes it.
func (c *Client) Dial(address string) (*grpc.ClientConn, error) { return c.dial(address) }

// dialPeer prepares a connection to a peer, and reports refused dials
// to OnRefused.
func (c *Client) dialPeer(p Peer) (*grpc.ClientConn, error) {
	if c.OnRefused == nil {
		return c.dial(p.Address)
	}
	return c.dialObserved(p.Address, func(since time.Time, err error) {
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.OnRefused(p.Name, since)
		}
	})
}

func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	return c.dialObserved(address, nil)
}

// dialObserved prepares a connection. If observe is set, it is called after each
// dial.
func (c *Client) dialObserved(address string, observe func(since time.Time, err error)) (*grpc.ClientConn, error) {
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		var since time.Time
		if observe != nil {
			since = c.Now()
		}
		conn, err := d.DialContext(ctx, "tcp", address)
		if observe != nil {
			observe(since, err)
		}
		if err != nil || c.Traffic == nil {
			return conn, err
		}
		return countingConn{conn, c.Traffic, c.Traffic.Of(c.nameOf(address))}, nil
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(dialer),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(codec{}), grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialDelay, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: dialTimeout,
		}),
	)
}

// nameOf returns the name of the peer with an address, or "Self".
func (c *Client) nameOf(address string) registrar.DaemonName {
	for _, p := range c.Peers {
		if p.Address == address {
			return p.Name
		}
	}
	return "Self"
}

// AddressOf returns the address of a peer, or "" if it is unknown.
func (c *Client) AddressOf(name registrar.DaemonName) string {
	for _, p := range c.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// Session is a daemon's end of a session with the leader, on a connection of
// its own.
type Session struct {
	conn   *grpc.ClientConn
	stream grpc.ClientStream
	cancel context.CancelFunc
}

// OpenSession connects to the leader.
func (c *Client) OpenSession(ctx context.Context, address string) (*Session, error) {
	conn, err := c.dial(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s, err := conn.NewStream(ctx, &serviceDesc.Streams[1], "/"+serviceName+"/Session")
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	return &Session{conn, s, cancel}, nil
}

// Send sends a batch to the leader.
func (s *Session) Send(m *decider.Upstream) error { return s.stream.SendMsg(m) }

// Recv returns the next batch from the leader.
func (s *Session) Recv() (*decider.Downstream, error) {
	m := &decider.Downstream{}
	return m, s.stream.RecvMsg(m)
}

// Close ends the session and its connection.
func (s *Session) Close() {
	s.cancel()
	_ = s.conn.Close()
}

// Call forwards an operator's call to a daemon.
func (c *Client) Call(ctx context.Context, address string, call *Call) (*CallReply, error) {
	out := &CallReply{}
	return out, c.invoke(ctx, address, "Call", call, out)
}

// Answer fetches a request's answer that a daemon holds.
func (c *Client) Answer(ctx context.Context, address string, q *AnswerQuery) (*AnswerReply, error) {
	out := &AnswerReply{}
	return out, c.invoke(ctx, address, "Answer", q, out)
}

// Relay forwards an HTTP call to a daemon of another region over a shared
// connection. Large bodies are compressed, since traffic between regions is
// charged by volume.
func (c *Client) Relay(ctx context.Context, address string, call *RelayCall) (*RelayReply, error) {
	conn, err := c.sharedConn(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var opts []grpc.CallOption
	if len(call.Body) >= minCompressBytes {
		opts = append(opts, grpc.UseCompressor(gzip.Name))
	}
	out := &RelayReply{}
	if err := conn.Invoke(ctx, "/"+serviceName+"/Relay", call, out, opts...); err != nil {
		c.closeShared(address, conn)
		return nil, errors.Annotatef(err, "relay to %s", address)
	}
	return out, nil
}

// minCompressBytes is the smallest body that is compressed.
const minCompressBytes = 1 << 10

// sharedConn returns the connection to a daemon that all relayed calls share.
func (c *Client) sharedConn(address string) (*grpc.ClientConn, error) {
	c.connsMu.Lock()
	defer c.connsMu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return conn, nil
	}
	conn, err := c.dial(address)
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = make(map[string]*grpc.ClientConn)
	}
	c.conns[address] = conn
	return conn, nil
}

// closeShared closes a shared connection after a failed call, so that the next call
// dials a new one.
func (c *Client) closeShared(address string, conn *grpc.ClientConn) {
	c.connsMu.Lock()
	defer c.connsMu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
		_ = conn.Close()
	}
}

func (c *Client) invoke(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := c.dial(address)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	return errors.Annotatef(conn.Invoke(ctx, "/"+serviceName+"/"+method, in, out), "call %s at %s", method, address)
}
