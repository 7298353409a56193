package receiver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/peer/acceptor"
	"masticroad/internal/peer/receiver"
)

// This file tests the memory budget with an HTTP server: room that is not returned would
// cause callers to be refused for ever.

const (
	waitLimit = 10 * time.Second // generous: no check depends on it
	total     = 4 << 20
	maxBody   = 1 << 20
)

type server struct {
	c       *quicktest.C
	budget  *budgeter.Budget
	address string
	hold    chan struct{}
	inside  atomic.Int64 // handlers that hold
}

func newServer(c *quicktest.C, timeout time.Duration) *server {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &server{c: c, budget: &budgeter.Budget{Total: total}, address: raw.Addr().String(), hold: make(chan struct{})}
	l := acceptor.New(raw, 100)
	l.Budget = s.budget
	v := &receiver.Receiver{Timeout: timeout}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := v.Read(w, r, maxBody)
		if err != nil {
			w.WriteHeader(receiver.Status(w, err))
			return
		}
		switch r.URL.Path {
		case "/hold":
			s.inside.Add(1)
			<-s.hold
		case "/panic":
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprint(w, len(data))
	})
	web := &http.Server{Handler: l.Handler(h), ConnState: l.ConnState, ConnContext: l.ConnContext, ReadHeaderTimeout: waitLimit, MaxHeaderBytes: 16 << 10}
	go func() { _ = web.Serve(l) }()
	c.Cleanup(func() { _ = web.Close() })
	return s
}

// send opens a connection and writes a text.
func (s *server) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, quicktest.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	s.c.Assert(err, quicktest.IsNil)
	return conn
}

func (s *server) status(conn net.Conn) int {
	s.c.Assert(conn.SetReadDeadline(time.Now().Add(waitLimit)), quicktest.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.c.Assert(err, quicktest.IsNil)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *server) await(what func() bool) {
	end := time.Now().Add(waitLimit)
	for !what() {
		s.c.Assert(time.Now().Before(end), quicktest.IsTrue)
		time.Sleep(time.Millisecond)
	}
}

func (s *server) awaitTaken(least budgeter.Bytes) {
	s.await(func() bool { return s.budget.Stats().Taken >= least })
}

func (s *server) awaitReturned() {
	s.await(func() bool { return s.budget.Stats().Taken == 0 })
}

func head(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(append(lines, "", ""), "\r\n")
}

func body(size int) string { return strings.Repeat("x", size) }

// Connections break at each stage of a request; the room returns.
func TestRoomReturnsWhenConnectionsBreak(t *testing.T) {
	for name, text := range map[string]string{
		"in a header":           "POST / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a: b\r\n", 1000),
		"in a body":             head("/", "Content-Length: 900000") + body(500_000),
		"in a chunk":            head("/", "Transfer-Encoding: chunked") + "186a0\r\n" + body(100_000-10),
		"in a handler":          head("/hold", "Content-Length: 500000") + body(500_000),
		"in an answer":          head("/", "Content-Length: 500000") + body(500_000),
		"after a panic":         head("/panic", "Content-Length: 500000") + body(500_000),
		"in the second request": head("/", "Content-Length: 3") + "abc" + head("/", "Content-Length: 900000") + body(500_000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(quicktest.New(t), waitLimit)
			conn := s.send(text)
			switch name {
			case "in an answer", "after a panic":
			case "in a handler":
				s.await(func() bool { return s.inside.Load() == 1 })
				s.c.Assert(s.budget.Stats().Taken >= 500_000, quicktest.IsTrue)
			default:
				s.awaitTaken(10_000)
			}
			s.c.Assert(conn.Close(), quicktest.IsNil)
			close(s.hold)
			s.awaitReturned()
		})
	}
}

// A body that stops short is not waited for longer than the timeout.
func TestLateBodyIsRefused(t *testing.T) {
	s := newServer(quicktest.New(t), 50*time.Millisecond)
	conn := s.send(head("/", "Content-Length: 900000") + body(1000))
	s.c.Assert(s.status(conn), quicktest.Equals, http.StatusRequestTimeout)
	s.awaitReturned()
}

// The deadline of a body doesn't end a handler that takes longer.
func TestHandlerMayTakeLongerThanItsBody(t *testing.T) {
	s := newServer(quicktest.New(t), 20*time.Millisecond)
	conn := s.send(head("/hold", "Content-Length: 3") + "abc")
	s.await(func() bool { return s.inside.Load() == 1 })
	time.Sleep(50 * time.Millisecond) // the deadline of the body passes
	close(s.hold)
	s.c.Assert(s.status(conn), quicktest.Equals, http.StatusOK)
}

// Requests that stop short lose their room to others; whole ones don't.
func TestIncompleteRequestsYield(t *testing.T) {
	s := newServer(quicktest.New(t), waitLimit)
	held := s.send(head("/hold", "Content-Length: 900000") + body(900_000))
	s.await(func() bool { return s.inside.Load() == 1 })
	for range 20 {
		s.send(head("/", "Content-Length: 900000") + body(800_000))
	}
	s.awaitTaken(2 * 900_000)
	s.c.Assert(s.status(s.send(head("/", "Content-Length: 3")+"abc")), quicktest.Equals, http.StatusOK)
	s.await(func() bool { return s.budget.Stats().Refusals[budgeter.ErrAborted] > 0 })
	s.c.Assert(s.budget.Stats().HighWater <= total, quicktest.IsTrue)
	close(s.hold)
	s.c.Assert(s.status(held), quicktest.Equals, http.StatusOK)
}

// Whole requests that wait inside fill the budget: others are refused with 503, and are
// served once there is room.
func TestWholeRequestsAreNotAborted(t *testing.T) {
	s := newServer(quicktest.New(t), waitLimit)
	var conns []net.Conn
	for range 3 {
		conns = append(conns, s.send(head("/hold", "Content-Length: 1000000")+body(1_000_000)))
	}
	s.await(func() bool { return s.inside.Load() == 3 })
	s.c.Assert(s.status(s.send(head("/", "Content-Length: 1000000")+body(1_000_000))), quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(s.status(s.send(head("/", "Content-Length: 3")+"abc")), quicktest.Equals, http.StatusOK)
	close(s.hold)
	for _, conn := range conns {
		s.c.Assert(s.status(conn), quicktest.Equals, http.StatusOK)
	}
	s.c.Assert(s.status(s.send(head("/", "Content-Length: 1000000")+body(1_000_000))), quicktest.Equals, http.StatusOK)
}

// A request that would need more than any may have is refused at once.
func TestTooLargeRoomIsRefused(t *testing.T) {
	c := quicktest.New(t)
	b := &budgeter.Budget{Total: total}
	room := b.NewRoom(func() {})
	err := room.Grow(total, time.Now())
	c.Assert(errors.Is(err, budgeter.ErrTooLarge), quicktest.IsTrue)
	c.Assert(b.Stats().Taken, quicktest.Equals, budgeter.Bytes(0))
}
