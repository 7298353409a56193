package mimic

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform/codec"
)

// This file holds operators and callers, with the retries that they make.

const (
	callTimeout = 3 * time.Second // the deadline of callers
	retryPause  = 100 * time.Millisecond
	maxBody     = 4 << 20
)

// Client calls daemons, one after the other until one gives a final answer. It
// may be used by several goroutines.
type Client struct {
	Daemons []string    // addresses
	Host    string      // of the queue; empty for operators
	Key     definer.Key // of the caller's workspace; empty: none
	http    *http.Client
}

// NewClient returns a client of some daemons.
func NewClient(daemons []string, host string) *Client {
	d := &net.Dialer{Timeout: time.Second}
	return &Client{Daemons: daemons, Host: host, http: &http.Client{
		Timeout: callTimeout, Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 256},
	}}
}

// WithKey returns a client that shares the connections of c and calls with a key.
func (c *Client) WithKey(key definer.Key) *Client {
	x := *c
	x.Key = key
	return &x
}

// SetTimeout changes how long a call waits.
func (c *Client) SetTimeout(d time.Duration) { c.http.Timeout = d }

// Response is the answer to a call. Status is 0 when there was none.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration // 0: the answer names none
}

// Try makes a call once, at daemon n of the list.
func (c *Client) Try(ctx context.Context, n int, method, path string, body any) Response {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(fmt.Sprintf("mimic: %v", err)) // bodies are plain structs
		}
	}
	return c.try(ctx, n, method, path, data)
}

// TryRaw sends bytes once, to the first daemon.
func (c *Client) TryRaw(ctx context.Context, method, path string, data []byte) Response {
	return c.try(ctx, 0, method, path, data)
}

func (c *Client) try(ctx context.Context, n int, method, path string, data []byte) Response {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Daemons[n%len(c.Daemons)]+path, bytes.NewReader(data))
	if err != nil {
		return Response{}
	}
	if c.Host != "" {
		req.Host = c.Host
		req.Header.Set(codec.HeaderDeadline, strconv.Itoa(int(callTimeout.Milliseconds())))
	}
	if c.Key != "" {
		req.Header.Set(codec.HeaderKey, string(c.Key))
	}
	req.Header.Set("Content-Type", codec.ContentType)
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}
	}
	defer func() { _ = resp.Body.Close() }() // what was needed has been read
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return Response{}
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // 0 if there is none
	return Response{resp.StatusCode, answer, time.Duration(seconds) * time.Second}
}

// final reports whether a status ends a call.
func final(status int) bool {
	return status >= 200 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// Do makes a call again and again, at one daemon after the other, until there is
// a final answer or ctx ends.
func (c *Client) Do(ctx context.Context, method, path string, body any) (Response, error) {
	for n := rand.Intn(len(c.Daemons)); ; n++ {
		r := c.Try(ctx, n, method, path, body)
		if final(r.Status) {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(retryPause):
		}
	}
}

// ErrRefused tells that a call was answered by a final refusal.
var ErrRefused = errors.New("refused")

func (c *Client) done(ctx context.Context, method, path string, body any) (Response, error) {
	r, err := c.Do(ctx, method, path, body)
	if err == nil && r.Status >= http.StatusMultipleChoices {
		err = fmt.Errorf("%s %s: status %d, %s: %w", method, path, r.Status, r.Body, ErrRefused)
	}
	return r, err
}

// Submit hands a job in until it is accepted.
func (c *Client) Submit(ctx context.Context, prefix string, job *definer.Job) error {
	_, err := c.done(ctx, http.MethodPost, prefix+job.ID.String(), codec.NewJob(job))
	return err
}

// Cancel cancels a job until that is acknowledged.
func (c *Client) Cancel(ctx context.Context, prefix string, id definer.JobID) error {
	_, err := c.done(ctx, http.MethodDelete, prefix+id.String(), nil)
	return err
}

// State asks for a job's state until there is an answer.
func (c *Client) State(ctx context.Context, prefix string, id definer.JobID) (tracker.JobState, error) {
	r, err := c.done(ctx, http.MethodGet, prefix+id.String(), nil)
	if err != nil {
		return 0, err
	}
	var b codec.State
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return 0, err
	}
	state, ok := b.JobState()
	if !ok {
		return 0, fmt.Errorf("state %q is not known", b.State)
	}
	return state, nil
}

// Await asks for a job's state until it has ended.
func (c *Client) Await(ctx context.Context, prefix string, id definer.JobID) (tracker.JobState, error) {
	for {
		state, err := c.State(ctx, prefix, id)
		if err != nil || state.Ended() {
			return state, err
		}
		select {
		case <-ctx.Done():
			return state, ctx.Err()
		case <-time.After(retryPause):
		}
	}
}

// Put sends a configuration until it is acknowledged.
func (c *Client) Put(ctx context.Context, d *definer.Document) error {
	_, err := c.done(ctx, http.MethodPost, codec.PathPut, codec.NewDocument(d))
	return err
}

// Fetch reads the configuration in force.
func (c *Client) Fetch(ctx context.Context) (*definer.Document, error) {
	r, err := c.done(ctx, http.MethodGet, codec.PathFetch, nil)
	if err != nil {
		return nil, err
	}
	d, fs := codec.DecodeDocument(r.Body)
	if len(fs) > 0 {
		return nil, fs
	}
	return d, nil
}

// StartWave asks for the upkeep of VMs until that is acknowledged.
func (c *Client) StartWave(ctx context.Context, w *codec.Wave) error {
	_, err := c.done(ctx, http.MethodPost, codec.PathWave, w)
	return err
}

// WaveDone reports whether a wave is completed.
func (c *Client) WaveDone(ctx context.Context, wave int64) (bool, error) {
	r, err := c.done(ctx, http.MethodGet, codec.PrefixWaveGet+strconv.FormatInt(wave, 10), nil)
	if err != nil {
		return false, err
	}
	var b codec.State
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return false, err
	}
	return b == codec.WaveState(true), nil
}
