package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"masticroad/internal/peer/connector"
)

// This file tests the bound of the pool, who waits for whom at the bound, and what an
// error tells about whether a request was sent.

// dialer opens pipes and counts those that are open.
type dialer struct {
	mu      sync.Mutex
	open    int
	highest int
	limit   int // 0: none; the system refuses more
}

type pipe struct {
	net.Conn
	dialer *dialer
	once   sync.Once
}

func (p *pipe) Close() error {
	p.once.Do(func() {
		p.dialer.mu.Lock()
		defer p.dialer.mu.Unlock()
		p.dialer.open--
	})
	return p.Conn.Close()
}

func (d *dialer) dial(context.Context, connector.Address) (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limit > 0 && d.open >= d.limit {
		return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
	}
	d.open++
	d.highest = max(d.highest, d.open)
	conn, _ := net.Pipe()
	return &pipe{Conn: conn, dialer: d}, nil
}

func newPool(d *dialer, limit int) *connector.Pool {
	return &connector.Pool{Max: limit, MaxOfHost: limit, Dial: d.dial, Now: time.Now}
}

func address(n int) connector.Address { return connector.Address(fmt.Sprintf("10.0.0.%d:80", n)) }

func TestPoolStaysWithinItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &dialer{}
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		p := newPool(d, limit)
		var held []*connector.Conn
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // requests that would have to wait fail at once
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			switch a := address(rapid.IntRange(1, 8).Draw(t, "address")); rapid.IntRange(0, 3).Draw(t, "call") {
			case 0, 1:
				c := context.Background()
				if len(held) == limit {
					c = ctx
				}
				conn, err := p.Acquire(c, a, connector.Normal)
				if len(held) == limit {
					if err == nil {
						t.Fatalf("%d connections are in use, and another one was granted", limit+1)
					}
					continue
				}
				if err != nil {
					t.Fatalf("%d of %d connections are in use, and none was granted: %v", len(held), limit, err)
				}
				held = append(held, conn)
			case 2, 3:
				if len(held) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "which")
				if rapid.Bool().Draw(t, "usable") {
					p.Release(held[i])
				} else {
					p.Discard(held[i])
				}
				held = append(held[:i], held[i+1:]...)
			}
			if s := p.Stats(); s.Open != d.open || s.Open != len(held)+s.Idle {
				t.Fatalf("the pool counts %d open and %d idle connections; %d are open and %d in use", s.Open, s.Idle, d.open, len(held))
			}
		}
		if d.highest > limit {
			t.Fatalf("%d connections were open, and the bound is %d", d.highest, limit)
		}
	})
}

func TestEachWaitingRequestGetsAConnection(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(&dialer{}, 2)
	var done sync.WaitGroup
	var failed atomic.Int64
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for n := range 300 {
		done.Go(func() {
			conn, err := p.Acquire(ctx, address(n%7), connector.Priority(n%3))
			if err != nil {
				failed.Add(1)
				return
			}
			time.Sleep(time.Millisecond)
			if n%5 == 0 {
				p.Discard(conn)
				return
			}
			p.Release(conn)
		})
	}
	done.Wait()
	c.Assert(failed.Load(), quicktest.Equals, int64(0))
	c.Assert(p.Stats().Waiting, quicktest.Equals, 0)
}

// waitFor lets requests wait, in order, and returns the order in which they were
// granted once the connection in use is released.
func waitFor(c *quicktest.C, p *connector.Pool, ranks []connector.Priority) []int {
	first, err := p.Acquire(context.Background(), address(1), connector.Normal)
	c.Assert(err, quicktest.IsNil)
	granted := make(chan int, len(ranks))
	var done sync.WaitGroup
	for n, rank := range ranks {
		done.Go(func() {
			conn, err := p.Acquire(context.Background(), address(1), rank)
			if err != nil {
				c.Error(err)
				return
			}
			granted <- n
			p.Release(conn)
		})
		for p.Stats().Waiting != n+1 {
			time.Sleep(time.Millisecond)
		}
	}
	p.Release(first)
	done.Wait()
	close(granted)
	var out []int
	for n := range granted {
		out = append(out, n)
	}
	return out
}

func TestUrgentRequestsComeFirst(t *testing.T) {
	c := quicktest.New(t)
	got := waitFor(c, newPool(&dialer{}, 1), []connector.Priority{connector.Background, connector.Normal, connector.Urgent})
	c.Assert(got, quicktest.DeepEquals, []int{2, 1, 0})
}

func TestNoRequestStarvesBehindUrgentOnes(t *testing.T) {
	c := quicktest.New(t)
	ranks := []connector.Priority{connector.Background}
	for range 20 {
		ranks = append(ranks, connector.Urgent)
	}
	got := waitFor(c, newPool(&dialer{}, 1), ranks)
	at := 0
	for i, n := range got {
		if n == 0 {
			at = i
		}
	}
	c.Assert(at < 8, quicktest.IsTrue, quicktest.Commentf("it came as number %d of %v", at+1, got))
}

func TestConnectionIdleLongestIsClosedForAnother(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(&dialer{}, 2)
	now := time.Now()
	p.Now = func() time.Time { return now }
	for _, n := range []int{1, 2, 3, 2} {
		use(c, p, n)
		now = now.Add(4 * time.Second) // no address is used again soon
	}
	s := p.Stats()
	c.Assert(s.Dialled, quicktest.Equals, 3)
	c.Assert(s.ClosedForRoom, quicktest.Equals, 1)
}

// Load: 120 targets that are polled in turn over 100 connections. Guards against a new
// connection for each poll.
func TestTargetsInTurnKeepTheirConnections(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(&dialer{}, 100)
	for n := range 1200 {
		use(c, p, n%120)
	}
	s := p.Stats()
	c.Assert(s.Open, quicktest.Equals, 100)
	c.Assert(s.Dialled < 400, quicktest.IsTrue, quicktest.Commentf("%d connections for 1200 requests", s.Dialled))
}

func use(c *quicktest.C, p *connector.Pool, n int) {
	conn, err := p.Acquire(context.Background(), address(n), connector.Normal)
	c.Assert(err, quicktest.IsNil)
	p.Release(conn)
}

func TestIdleConnectionsAreClosedWhenTheSystemHasNoDescriptor(t *testing.T) {
	c := quicktest.New(t)
	p := newPool(&dialer{limit: 3}, 10)
	for n := range 8 {
		use(c, p, n)
	}
	c.Assert(p.Stats().Open, quicktest.Equals, 3)
}

// send makes a request and returns the cause of its failure.
func send(c *quicktest.C, p *connector.Pool, r connector.Request, limit time.Duration) (*connector.CallError, int) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + string(r.Address) + "/x")
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.MaxBody = 1000
	err := p.Do(ctx, &r, req, resp)
	if err == nil {
		return nil, resp.StatusCode()
	}
	var e *connector.CallError
	c.Assert(errors.As(err, &e), quicktest.IsTrue, quicktest.Commentf("%v", err))
	return e, 0
}

func tcpPool(limit int) *connector.Pool {
	d := &net.Dialer{}
	return &connector.Pool{Max: limit, Now: time.Now, Dial: func(ctx context.Context, a connector.Address) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", string(a))
	}}
}

// serve answers each connection by handle.
func serve(c *quicktest.C, handle func(net.Conn)) (connector.Address, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go handle(conn)
		}
	}()
	return connector.Address(l.Addr().String()), &accepted
}

// answer reads requests without a body and answers each with text.
func answer(text string) func(net.Conn) {
	return func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

const empty = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestFailuresTellWhetherTheRequestWasSent(t *testing.T) {
	silent := func(conn net.Conn) { _, _ = io.ReadAll(conn) }
	hangUp := func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	for _, test := range []struct {
		name   string
		handle func(net.Conn)
		cause  connector.Cause
	}{
		{"no answer", silent, connector.CauseTimeout},
		{"connection closed", hangUp, connector.CauseClosed},
		{"answer of another protocol", answer("SSH-2.0 server\r\n\r\n"), connector.CauseInvalid},
		{"answer too large", answer("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n"), connector.CauseInvalid},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			a, _ := serve(c, test.handle)
			e, _ := send(c, tcpPool(2), connector.Request{Address: a, Timeout: 200 * time.Millisecond}, time.Second)
			c.Assert(e, quicktest.IsNotNil)
			c.Assert(e.Cause.String(), quicktest.Equals, test.cause.String())
			c.Assert(e.NotSent(), quicktest.IsFalse)
		})
	}
}

func TestRefusedConnectionIsNotSentAndIsTheTargets(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Assert(l.Close(), quicktest.IsNil)
	e, _ := send(c, tcpPool(2), connector.Request{Address: connector.Address(l.Addr().String()), Timeout: time.Second}, time.Second)
	c.Assert(e.Cause, quicktest.Equals, connector.CauseRefused)
	c.Assert(e.NotSent(), quicktest.IsTrue)
	c.Assert(e.Local(), quicktest.IsFalse)
}

func TestShortageHereIsNotSentAndNotTheTargets(t *testing.T) {
	c := quicktest.New(t)
	a, accepted := serve(c, answer(empty))
	p := tcpPool(1)
	conn, err := p.Acquire(context.Background(), a, connector.Normal)
	c.Assert(err, quicktest.IsNil)
	e, _ := send(c, p, connector.Request{Address: a, Timeout: time.Second}, 60*time.Millisecond)
	c.Assert(e.Cause, quicktest.Equals, connector.CauseNoConnection)
	c.Assert(e.NotSent() && e.Local(), quicktest.IsTrue)
	p.Release(conn)
	// A permission that ran out between the decision and the connection.
	e, _ = send(c, p, connector.Request{Address: a, Timeout: time.Second, Check: func() error { return errors.New("too late") }}, time.Second)
	c.Assert(e.Cause, quicktest.Equals, connector.CauseDeadline)
	c.Assert(e.NotSent() && e.Local(), quicktest.IsTrue)
	q := &connector.Pool{Max: 1, Now: time.Now, Dial: (&dialer{limit: -1}).refuse}
	e, _ = send(c, q, connector.Request{Address: a, Timeout: time.Second}, time.Second)
	c.Assert(e.Cause, quicktest.Equals, connector.CauseNoDescriptor)
	c.Assert(e.NotSent() && e.Local(), quicktest.IsTrue)
	c.Assert(accepted.Load(), quicktest.Equals, int64(1))
}

func (d *dialer) refuse(context.Context, connector.Address) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.EMFILE}
}

func TestRequestsReuseAConnection(t *testing.T) {
	c := quicktest.New(t)
	a, accepted := serve(c, answer(empty))
	p := tcpPool(4)
	for range 10 {
		e, status := send(c, p, connector.Request{Address: a, Timeout: time.Second}, time.Second)
		c.Assert(e == nil, quicktest.IsTrue)
		c.Assert(status, quicktest.Equals, 200)
	}
	c.Assert(accepted.Load(), quicktest.Equals, int64(1))
}

// Something between the two ends may lose track of all connections at once.
func TestTimeoutOnAReusedConnectionClosesTheOtherIdleOnes(t *testing.T) {
	c := quicktest.New(t)
	var deaf atomic.Bool
	a, accepted := serve(c, func(conn net.Conn) {
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			if !deaf.Load() {
				_, _ = io.WriteString(conn, empty)
			}
		}
	})
	p := tcpPool(8)
	var held []*connector.Conn
	for range 3 {
		conn, err := p.Acquire(context.Background(), a, connector.Normal)
		c.Assert(err, quicktest.IsNil)
		held = append(held, conn)
	}
	for _, conn := range held {
		p.Release(conn)
	}
	deaf.Store(true)
	e, _ := send(c, p, connector.Request{Address: a, Timeout: 50 * time.Millisecond}, time.Second)
	c.Assert(e.Cause, quicktest.Equals, connector.CauseTimeout)
	deaf.Store(false)
	e, _ = send(c, p, connector.Request{Address: a, Timeout: time.Second}, time.Second)
	c.Assert(e == nil, quicktest.IsTrue)
	c.Assert(accepted.Load(), quicktest.Equals, int64(4))
}
