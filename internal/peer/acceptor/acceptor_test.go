package acceptor_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/peer/acceptor"
)

// This file tests the bound of a listener with an HTTP server behind it.

const waitLimit = 10 * time.Second // generous: no check depends on it

// open starts a server with a bound. Requests to /hang are answered when release is
// closed.
func open(c *quicktest.C, raw net.Listener, limit int) (l *acceptor.Listener, address string, release chan struct{}) {
	l = acceptor.New(raw, limit)
	release = make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hang" {
			<-release
		}
	})
	s := &http.Server{Handler: l.Handler(handler), ConnState: l.ConnState, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	c.Cleanup(func() { _ = s.Close() })
	return l, raw.Addr().String(), release
}

func listen(c *quicktest.C) net.Listener {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	return raw
}

// get makes a request with a client of its own, which keeps its connection.
func get(address, path string) (*http.Response, error) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: waitLimit}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close() // it was read
	return resp, err
}

func await(c *quicktest.C, what func() bool) {
	end := time.Now().Add(waitLimit)
	for !what() {
		c.Assert(time.Now().Before(end), quicktest.IsTrue)
		time.Sleep(time.Millisecond)
	}
}

func TestNewCallersDisplaceIdleConnections(t *testing.T) {
	c := quicktest.New(t)
	l, address, _ := open(c, listen(c), 8)
	for range 40 {
		_, err := get(address, "/")
		c.Assert(err, quicktest.IsNil)
		c.Assert(l.Stats().Open <= 8, quicktest.IsTrue)
	}
}

func TestCrowdedListenerAsksForConnectionsToBeClosed(t *testing.T) {
	c := quicktest.New(t)
	l, address, _ := open(c, listen(c), 8)
	for n := range 8 {
		resp, err := get(address, "/")
		c.Assert(err, quicktest.IsNil)
		c.Assert(resp.Close, quicktest.Equals, n >= 6, quicktest.Commentf("connection %d", n+1))
	}
	await(c, func() bool { return l.Stats().Open <= 7 })
	c.Assert(l.Stats().ClosedForRoom, quicktest.Equals, 0)
}

func TestConnectionsInUseAreNotClosedForOthers(t *testing.T) {
	c := quicktest.New(t)
	l, address, release := open(c, listen(c), 3)
	errs := make(chan error, 6)
	for range 6 {
		go func() {
			_, err := get(address, "/hang")
			errs <- err
		}()
	}
	await(c, func() bool { return l.Stats().Open == 3 })
	time.Sleep(20 * time.Millisecond) // the others are in the queue of the system
	c.Assert(l.Stats().Open, quicktest.Equals, 3)
	close(release)
	for range 6 {
		c.Assert(<-errs, quicktest.IsNil)
	}
}

// scarce fails to accept for want of descriptors as often as told.
type scarce struct {
	net.Listener
	failures atomic.Int64
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

func TestAcceptSurvivesWantOfDescriptors(t *testing.T) {
	c := quicktest.New(t)
	raw := &scarce{Listener: listen(c)}
	raw.failures.Store(5)
	_, address, _ := open(c, raw, 3)
	_, err := get(address, "/")
	c.Assert(err, quicktest.IsNil)
}

// A planned stop waits for Accept to end.
func TestFullListenerCanBeClosed(t *testing.T) {
	c := quicktest.New(t)
	raw := listen(c)
	l := acceptor.New(raw, 1)
	for range 2 {
		conn, err := net.Dial("tcp", raw.Addr().String())
		c.Assert(err, quicktest.IsNil)
		defer func() { _ = conn.Close() }()
	}
	first, err := l.Accept()
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = first.Close() }()
	errs := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		errs <- err
	}()
	time.Sleep(20 * time.Millisecond) // Accept waits for room
	c.Assert(l.Close(), quicktest.IsNil)
	select {
	case err := <-errs:
		c.Assert(err, quicktest.ErrorIs, net.ErrClosed)
	case <-time.After(waitLimit):
		c.Fatal("Accept did not end")
	}
}
