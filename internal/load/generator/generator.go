package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// This file sends the requests. Arrivals follow a Poisson process from the
// seed, whether earlier requests were answered or not. Waiting time is from the
// planned arrival to the start on the target, both by this process's clock.

// Generator makes one run. The exported fields are set before Run.
type Generator struct {
	Mix      *Mix
	Rate     float64 // requests in a second
	Duration time.Duration
	Seed     int64
	Daemons  []string          // HTTP addresses
	Tokens   map[string]string // by caller
	Drain    time.Duration     // time for answers after the last arrival

	mu      sync.Mutex
	streams []*streamResult
	arrived []time.Time // by request number
	kinds   []uint8
	started []bool
	client  *http.Client
}

type streamResult struct {
	stream   *Stream
	sent     int
	wait     *hdrhistogram.Histogram // microseconds
	answer   *hdrhistogram.Histogram
	outcomes map[string]int
	inTime   int
	starts   int
	retries  int
	resends  int
}

const (
	maxMicros  = int64(10 * time.Minute / time.Microsecond)
	digits     = 3
	maxAnswers = 2 << 20
	idleConns  = 512
)

// What became of a call that has no outcome.
const (
	outcomeCut         = "Cut"
	outcomeUnavailable = "Unavailable"
	resendPause        = 50 * time.Millisecond
)

// body is what a request carries; the stand-in reads RunMillis and Seq.
type body struct {
	Seq       int
	RunMillis int64
}

// Open prepares the results. It must be called before Work and Run.
func (g *Generator) Open() {
	for i := range g.Mix.Streams {
		g.streams = append(g.streams, &streamResult{
			stream: &g.Mix.Streams[i], outcomes: make(map[string]int),
			wait: hdrhistogram.New(1, maxMicros, digits), answer: hdrhistogram.New(1, maxMicros, digits),
		})
	}
	transport := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns}
	g.client = &http.Client{Transport: transport}
}

// Work is the stand-in's work: it notes the start and tells the run time.
func (g *Generator) Work(s *target.Start) (time.Duration, []byte) {
	if s.Background {
		return endless, nil
	}
	var b body
	if json.Unmarshal(s.Body, &b) != nil {
		return 0, s.Body
	}
	g.noteStart(b.Seq)
	return time.Duration(b.RunMillis) * time.Millisecond, s.Body
}

// endless is the run time of the standing services.
const endless = 24 * time.Hour

func (g *Generator) noteStart(seq int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if seq < 0 || seq >= len(g.arrived) {
		return
	}
	r := g.streams[g.kinds[seq]]
	r.starts++
	if g.started[seq] {
		r.retries++
		return
	}
	g.started[seq] = true
	_ = r.wait.RecordValue(max(now.Sub(g.arrived[seq]).Microseconds(), 1)) // longer ones don't occur
}

// Run sends requests for the duration and returns once all are answered or the
// drain time is over.
func (g *Generator) Run(ctx context.Context) error {
	r := rand.New(rand.NewSource(g.Seed))
	end := time.Now().Add(g.Duration)
	next := time.Now()
	var wg sync.WaitGroup
	ctx, cancel := context.WithDeadline(ctx, end.Add(g.Drain))
	defer cancel()
	for {
		next = next.Add(time.Duration(r.ExpFloat64() / g.Rate * float64(time.Second)))
		if next.After(end) {
			break
		}
		if wait := time.Until(next); wait > 0 {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-time.After(wait):
			}
		}
		seq, stream := g.plan(r, next)
		turn := r.Intn(len(g.Daemons))
		run := stream.RunMin + time.Duration(r.Int63n(int64(stream.RunMax-stream.RunMin)+1))
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.send(ctx, turn, seq, stream, run, next)
		}()
	}
	wg.Wait()
	return nil
}

// plan notes the arrival of the next request.
func (g *Generator) plan(r *rand.Rand, at time.Time) (int, *Stream) {
	x := r.Float64()
	kind := 0
	for i := range g.Mix.Streams {
		x -= g.Mix.Streams[i].Share
		if x < 0 {
			kind = i
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	seq := len(g.arrived)
	g.arrived = append(g.arrived, at)
	g.kinds = append(g.kinds, uint8(kind))
	g.started = append(g.started, false)
	g.streams[kind].sent++
	return seq, &g.Mix.Streams[kind]
}

type requestForm struct {
	Key        string
	Need       registrar.Need
	Class      string
	Deadline   string `json:",omitempty"`
	Repeatable bool
	Body       body
}

// send sends a request until it has an outcome. After a cut connection, or when
// a daemon can't say anything, it sends the same key to the next daemon.
func (g *Generator) send(ctx context.Context, turn, seq int, s *Stream, run time.Duration, at time.Time) {
	form := requestForm{
		Key: fmt.Sprintf("%d-%d", g.Seed, seq), Need: s.Need, Class: s.Class.String(), Repeatable: !s.Once,
		Body: body{seq, run.Milliseconds()},
	}
	if s.Deadline > 0 {
		form.Deadline = s.Deadline.String()
	}
	outcome := ""
	resends := 0
	for {
		var after time.Duration
		outcome, after = g.post(ctx, g.Daemons[(turn+resends)%len(g.Daemons)], s, &form)
		if outcome != outcomeCut && outcome != outcomeUnavailable || ctx.Err() != nil {
			break
		}
		resends++
		select {
		case <-ctx.Done():
		case <-time.After(resendPause + after):
		}
	}
	took := time.Since(at)
	g.mu.Lock()
	defer g.mu.Unlock()
	result := g.streams[g.kinds[seq]]
	result.outcomes[outcome]++
	result.resends += resends
	if outcome == registrar.Done.String() {
		_ = result.answer.RecordValue(max(took.Microseconds(), 1)) // longer ones don't occur
		if s.Deadline == 0 || took <= s.Deadline {
			result.inTime++
		}
	}
}

// post sends one request and returns its outcome, or what became of the call,
// and the time that the daemon asks to wait before a resend.
func (g *Generator) post(ctx context.Context, address string, s *Stream, form *requestForm) (string, time.Duration) {
	data, err := json.Marshal(form)
	if err != nil {
		return "Unsent", 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/requests", bytes.NewReader(data))
	if err != nil {
		return "Unsent", 0
	}
	req.Header.Set("Authorization", "Bearer "+g.Tokens[string(s.Caller)])
	resp, err := g.client.Do(req)
	if err != nil {
		return outcomeCut, 0
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Outcome string
		Pending bool
		Body    body
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswers))
	if err != nil || json.Unmarshal(text, &a) != nil {
		return outcomeCut, 0
	}
	switch {
	case a.Outcome == registrar.Done.String() && a.Body != form.Body:
		return "WrongAnswer", 0
	case a.Outcome != "":
		return a.Outcome, 0
	case a.Pending:
		return "Pending", 0
	case resp.StatusCode == http.StatusServiceUnavailable:
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After")) // absent: at once
		return outcomeUnavailable, time.Duration(seconds) * time.Second
	}
	return fmt.Sprintf("Status%d", resp.StatusCode), 0
}
