package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"masticroad/internal/control/registrar"
)

// This file implements the client of targets. A start is sent at most once: the
// HTTP library does not retry it, and the error shows whether any byte may have
// been sent. The kernel drops unacknowledged bytes after Transit, so that a start
// does not arrive long after the cell has given up on it.

const (
	idleConnsPerTarget = 4
	idleTimeout        = 30 * time.Second
	connectTimeout     = time.Second
	maxStatusBody      = 8 << 20
)

// Client calls targets. The exported fields are set before Open.
type Client struct {
	MaxConns  int // connections to one target
	MaxAnswer int // bytes of one answer
	Transit   time.Duration

	pooled *http.Client // keeps connections
	single *http.Client // a new connection for each call
}

// NotStartedError reports that a start provably did not reach its target.
type NotStartedError struct {
	Cause error
}

// Error describes the cause.
func (e *NotStartedError) Error() string { return "not started: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// InvalidAnswerError reports that an answer is incomplete, corrupt or of another
// attempt.
type InvalidAnswerError struct {
	Reason string
}

// Error describes the defect.
func (e *InvalidAnswerError) Error() string { return "broken answer: " + e.Reason }

// FailedError reports that the attempt ran and failed.
type FailedError struct {
	Status int
	Reason string
}

// Error describes the failure.
func (e *FailedError) Error() string {
	return fmt.Sprintf("failed with status %d: %s", e.Status, e.Reason)
}

// Open prepares the HTTP clients.
func (c *Client) Open() {
	dialer := &net.Dialer{Timeout: connectTimeout, Control: c.setUserTimeout}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     c.MaxConns,
		MaxIdleConnsPerHost: idleConnsPerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	single := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	c.pooled = &http.Client{Transport: pooled, CheckRedirect: noRedirect}
	c.single = &http.Client{Transport: single, CheckRedirect: noRedirect}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setUserTimeout makes the kernel drop a connection whose bytes are not
// acknowledged within Transit.
func (c *Client) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.Transit.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Start sends one start and waits for its answer, which is empty for a background
// start. mayStart, if set, is called once there is a connection; its error
// prevents the start.
func (c *Client) Start(ctx context.Context, address string, s *Start, mayStart func() error) (*Answer, error) {
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := c.startRequest(httptrace.WithClientTrace(ctx, trace), address, s)
	if err != nil {
		return nil, &NotStartedError{err}
	}
	req.Body = &guardedBody{Reader: bytes.NewReader(s.Body), check: mayStart}
	started := time.Now()
	resp, err := c.pooled.Do(req)
	if err != nil {
		if guard := req.Body.(*guardedBody); guard.refused != nil {
			return nil, &NotStartedError{guard.refused}
		}
		if !connected.Load() {
			return nil, &NotStartedError{err}
		}
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readAnswer(resp, s, started)
}

// guardedBody calls check when the HTTP library first reads the body, which is
// after it has a connection. The declared length is never 0, so a start whose
// body was withheld is always incomplete.
type guardedBody struct {
	*bytes.Reader
	check   func() error
	refused error
	checked bool
}

// Read returns the body if check succeeded.
func (g *guardedBody) Read(p []byte) (int, error) {
	if !g.checked {
		g.checked = true
		if g.check != nil {
			g.refused = g.check()
		}
	}
	if g.refused != nil {
		return 0, g.refused
	}
	return g.Reader.Read(p)
}

// Close does nothing.
func (g *guardedBody) Close() error { return nil }

func (c *Client) startRequest(ctx context.Context, address string, s *Start) (*http.Request, error) {
	u := taskURL(address, s.Task, "start", s.Attempt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
	if err != nil {
		return nil, err
	}
	if len(s.Body) == 0 {
		s.Body = []byte("{}")
	}
	req.ContentLength = int64(len(s.Body))
	h := req.Header
	h.Set("Content-Type", s.Type)
	h.Set(HeaderTask, strconv.FormatUint(uint64(s.Task), 10))
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(s.Attempt), 10))
	h.Set(HeaderTerm, strconv.FormatUint(uint64(s.Term), 10))
	h.Set(HeaderStartBy, strconv.FormatInt(int64(s.StartBy), 10))
	h.Set(HeaderDigest, DigestOf(s.Body))
	h.Set(HeaderCaller, string(s.Caller))
	h.Set(HeaderNeed, FormatNeed(s.Need))
	if s.Background {
		h.Set(HeaderBackground, "true")
		h.Set(HeaderJob, string(s.Job))
		h.Set(HeaderOrdinal, strconv.Itoa(s.Ordinal))
	}
	if s.Checkpoint != "" {
		h.Set(HeaderCheckpoint, s.Checkpoint)
	}
	return req, nil
}

// readAnswer reads a complete answer and checks that it belongs to its attempt.
func (c *Client) readAnswer(resp *http.Response, s *Start, started time.Time) (*Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.MaxAnswer)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > c.MaxAnswer {
		return nil, &FailedError{resp.StatusCode, fmt.Sprintf("answer is larger than %d bytes", c.MaxAnswer)}
	}
	if err := checkAnswer(resp, s, body); err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, &FailedError{resp.StatusCode, firstLine(body)}
	}
	return &Answer{resp.StatusCode, resp.Header.Get("Content-Type"), body, time.Since(started)}, nil
}

func checkAnswer(resp *http.Response, s *Start, body []byte) error {
	if got, want := resp.Header.Get(HeaderTask), strconv.FormatUint(uint64(s.Task), 10); got != want {
		return &InvalidAnswerError{fmt.Sprintf("it is for task %q, not %q", got, want)}
	}
	if got, want := resp.Header.Get(HeaderAttempt), strconv.FormatUint(uint64(s.Attempt), 10); got != want {
		return &InvalidAnswerError{fmt.Sprintf("it is for attempt %q, not %q", got, want)}
	}
	if resp.ContentLength >= 0 && resp.ContentLength != int64(len(body)) {
		return &InvalidAnswerError{fmt.Sprintf("%d of %d bytes arrived", len(body), resp.ContentLength)}
	}
	if got := resp.Header.Get(HeaderDigest); got != DigestOf(body) {
		return &InvalidAnswerError{"its digest does not match"}
	}
	return nil
}

const maxReason = 200

func firstLine(body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), maxReason)])
}

func taskURL(address string, id registrar.TaskID, verb string, a registrar.Attempt) string {
	path := PathTasks + strconv.FormatUint(uint64(id), 10)
	if verb != "" {
		path += "/" + verb
	}
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: "attempt=" + strconv.FormatUint(uint64(a), 10)}
	return u.String()
}

// QueryStatus queries the state of an attempt over a new connection.
func (c *Client) QueryStatus(ctx context.Context, address string, id registrar.TaskID, a registrar.Attempt) (*TaskStatus, error) {
	return c.status(ctx, http.MethodGet, taskURL(address, id, "", a))
}

// Order sends "stop", "checkpoint" or "throttle" for an attempt and returns its
// state afterwards.
func (c *Client) Order(ctx context.Context, address string, id registrar.TaskID, a registrar.Attempt, verb string) (*TaskStatus, error) {
	return c.status(ctx, http.MethodPost, taskURL(address, id, verb, a))
}

func (c *Client) status(ctx context.Context, method, u string) (*TaskStatus, error) {
	req, err := http.NewRequestWithContext(ctx, method, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.single.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var st TaskStatus
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBody))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &FailedError{resp.StatusCode, firstLine(body)}
	}
	if err := json.Unmarshal(body, &st); err != nil {
		return nil, &InvalidAnswerError{err.Error()}
	}
	return &st, nil
}
