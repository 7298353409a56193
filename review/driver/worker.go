package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file holds the stand-in for a worker. It keeps the rules of PROTOCOL.md: fencing
// tokens, leases on its own clock, run ids, and ends that are listed until they are
// acknowledged, 500 at a time.

const (
	beatInterval = 1500 * time.Millisecond
	callTimeout  = time.Second // of a heartbeat
	listedEnds   = 500         // in one answer
	maxWait      = 2 * time.Second
	startupTime  = 300 * time.Millisecond // until a task that lasts is at work
	stopTime     = 200 * time.Millisecond // at most stop-ms, 400 ms
)

// worker is a worker with one id and address; boots follow one another.
type worker struct {
	cell    *cell
	id      string
	address string
	zone    string
	machine string
	cpu     int
	labels  []string
	// dial opens the connection of a call to a control daemon; nil: directly.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// accepts, if set, tells whether a connection gets through to the worker.
	accepts func(net.Conn) bool
	// reaches, if set, tells whether a control daemon can be reached.
	reaches func(address string) bool

	mu    sync.Mutex
	boot  *boot
	beatN int // index of the control daemon that is called next
}

// boot is one life of a worker.
type boot struct {
	w      *worker
	born   int64
	begun  time.Time
	server *http.Server
	cancel context.CancelFunc
	ctx    context.Context

	mu       sync.Mutex
	token    int64
	deadline int64 // of the lease, on the worker's clock
	runs     map[runID]*run
	highest  map[string]int // highest run stopped or ended, by task
	ends     []end
	sequence int64
	changed  chan struct{} // closed at an end
	draining bool
	acked    chan struct{} // closed when a draining heartbeat was acknowledged
	seq      int64
	watching bool // a timer watches the lease
}

type runID struct {
	task string
	run  int
}

type run struct {
	id         runID
	begun      time.Time
	takes      time.Duration // 0: it lasts
	checkpoint string
	span       *span
	timer      *time.Timer
}

type end struct {
	n    int64
	id   runID
	how  string
	span *span
}

// start begins a new life.
func (w *worker) start() error {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &boot{
		w: w, born: time.Now().UnixMilli(), begun: time.Now(), ctx: ctx, cancel: cancel, runs: make(map[runID]*run),
		highest: make(map[string]int), changed: make(chan struct{}), acked: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", b.serveStart)
	mux.HandleFunc("POST /-/run-stop", b.serveStop)
	mux.HandleFunc("POST /-/hold", b.serveHold)
	mux.HandleFunc("POST /-/pace", b.servePace)
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	b.server = &http.Server{Handler: b.guard(mux)}
	if w.accepts != nil {
		l = &gate{Listener: l, accepts: w.accepts}
	}
	go func() { _ = b.server.Serve(l) }()
	w.mu.Lock()
	w.boot = b
	w.mu.Unlock()
	w.cell.rec.log("worker %s is up at %s (born %d)", w.id, w.address, b.born)
	go b.beats()
	return nil
}

// crash ends the present life without a word.
func (w *worker) crash(how string) {
	b := w.current()
	b.cancel()
	_ = b.server.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.runs {
		r.timer.Stop()
		w.cell.rec.ended(r.span, how)
		delete(b.runs, id)
	}
	w.cell.rec.log("worker %s is down: %s", w.id, how)
}

func (w *worker) current() *boot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot
}

// clock is the time on the worker's own clock, in ms since its start.
func (b *boot) clock() int64 { return time.Since(b.begun).Milliseconds() + 1 }

// guard rejects calls that are meant for another boot, and records all calls with their
// answers.
func (b *boot) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		arrived := time.Now()
		body, _ := io.ReadAll(in.Body)
		in.Body = io.NopCloser(bytes.NewReader(body))
		answer := &recordedAnswer{ResponseWriter: out, status: http.StatusOK}
		if want := in.Header.Get("X-Masticroad-Expect-Instance"); want != "" && want != b.w.id {
			reply(answer, http.StatusMisdirectedRequest, map[string]any{"clock-ms": b.clock()})
		} else {
			next.ServeHTTP(answer, in)
		}
		b.w.cell.rec.log("worker %s (born %d) gets %s %s, answers after %d ms: %d %s", b.w.id, b.born, in.URL.Path, body,
			time.Since(arrived).Milliseconds(), answer.status, summaryOf(answer.body.Bytes()))
	})
}

// recordedAnswer keeps what is answered.
type recordedAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader keeps the status.
func (a *recordedAnswer) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

// Write keeps the body.
func (a *recordedAnswer) Write(data []byte) (int, error) {
	a.body.Write(data)
	return a.ResponseWriter.Write(data)
}

// summaryOf returns an answer, with the lengths of long lists of runs in their place.
func summaryOf(data []byte) string {
	var x struct {
		Clock    int64   `json:"clock-ms"`
		Born     int64   `json:"born"`
		Running  [][]any `json:"running"`
		Finished [][]any `json:"finished"`
	}
	if len(data) < maxRecorded || json.Unmarshal(data, &x) != nil {
		return string(data)
	}
	text := fmt.Sprintf("clock-ms %d, born %d, %d running, %d finished", x.Clock, x.Born, len(x.Running), len(x.Finished))
	if n := len(x.Finished); n > 0 {
		text += fmt.Sprintf(" (numbers %.0f to %.0f)", x.Finished[0][0], x.Finished[n-1][0])
	}
	return text
}

const maxRecorded = 400 // bytes of an answer

func reply(out http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(data)
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run-id"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack-cursor"`
	Wait       int64  `json:"wait-ms"`
}

func decode(out http.ResponseWriter, in *http.Request) (*order, bool) {
	var o order
	if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
		reply(out, http.StatusBadRequest, map[string]any{})
		return nil, false
	}
	return &o, true
}

// admit checks the token of a call. The lock is held.
func (b *boot) admit(out http.ResponseWriter, o *order) bool {
	if o.Token < b.token {
		reply(out, http.StatusConflict, map[string]any{"clock-ms": b.clock(), "reason": "fence"})
		return false
	}
	b.token = o.Token
	return true
}

// extend extends the lease. The lock is held.
func (b *boot) extend(deadline int64) {
	b.noteLapse()
	if deadline == 0 {
		return
	}
	deadline = min(deadline, b.clock()+b.w.cell.holdMax.Milliseconds())
	if deadline > b.deadline {
		b.deadline = deadline
	}
}

// noteLapse records the ends that were listed when the lease lapsed: rule TWICE excuses
// what follows them. The lock is held.
func (b *boot) noteLapse() {
	if b.deadline == 0 || b.clock() < b.deadline {
		return
	}
	for _, e := range b.ends {
		b.w.cell.rec.excuse(e.span)
	}
}

func (b *boot) serveStart(out http.ResponseWriter, in *http.Request) {
	if o, ok := decode(out, in); ok {
		b.startRun(out, o)
	}
}

func (b *boot) startRun(out http.ResponseWriter, o *order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx.Err() != nil {
		return
	}
	if !b.admit(out, o) {
		return
	}
	refuse := func(reason string) {
		reply(out, http.StatusConflict, map[string]any{"clock-ms": b.clock(), "reason": reason})
	}
	id := runID{o.Task, o.Run}
	if b.runs[id] != nil {
		b.extend(o.Deadline)
		reply(out, http.StatusOK, map[string]any{"clock-ms": b.clock()})
		return
	}
	b.extend(o.Deadline)
	if o.Run <= b.highest[o.Task] {
		refuse("old")
		return
	}
	if b.deadline <= b.clock() {
		refuse("late")
		return
	}
	r := &run{id: id, begun: time.Now(), takes: workOf(o.Spec), checkpoint: o.Checkpoint}
	r.span = &span{task: o.Task, worker: b.w.id, born: b.born, run: o.Run, begin: r.begun}
	b.w.cell.rec.started(r.span)
	b.runs[id] = r
	if r.takes > 0 {
		r.timer = time.AfterFunc(r.takes, func() { b.finish(id, "done") })
	} else {
		r.timer = time.NewTimer(time.Hour)
	}
	b.watchLease()
	reply(out, http.StatusOK, map[string]any{"clock-ms": b.clock()})
}

// workOf reads the work of a task from the spec that the consumer wrote: work-ms=N, or
// lasts.
func workOf(spec string) time.Duration {
	if text, ok := strings.CutPrefix(spec, "work-ms="); ok {
		n, _ := strconv.Atoi(text)
		return time.Duration(n) * time.Millisecond
	}
	return 0
}

// finish ends a run.
func (b *boot) finish(id runID, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finishLocked(id, how)
}

func (b *boot) finishLocked(id runID, how string) {
	r := b.runs[id]
	if r == nil || b.ctx.Err() != nil {
		return
	}
	r.timer.Stop()
	delete(b.runs, id)
	b.highest[id.task] = max(b.highest[id.task], id.run)
	b.sequence++
	b.ends = append(b.ends, end{b.sequence, id, how, r.span})
	b.w.cell.rec.ended(r.span, how)
	close(b.changed)
	b.changed = make(chan struct{})
}

// watchLease kills what runs when the lease is over. The lock is held.
func (b *boot) watchLease() {
	if b.watching {
		return
	}
	b.watching = true
	left := time.Duration(b.deadline-b.clock()) * time.Millisecond
	time.AfterFunc(left+time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.watching = false
		if b.ctx.Err() != nil || len(b.runs) == 0 {
			return
		}
		if b.clock() < b.deadline {
			b.watchLease()
			return
		}
		for id := range b.runs {
			b.finishLocked(id, "lapsed")
		}
	})
}

func (b *boot) serveStop(out http.ResponseWriter, in *http.Request) {
	if o, ok := decode(out, in); ok {
		b.stopRun(out, o)
	}
}

func (b *boot) stopRun(out http.ResponseWriter, o *order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.admit(out, o) {
		return
	}
	b.highest[o.Task] = max(b.highest[o.Task], o.Run)
	if id := (runID{o.Task, o.Run}); b.runs[id] != nil {
		time.AfterFunc(stopTime, func() { b.finish(id, "stopped") })
	}
	reply(out, http.StatusOK, map[string]any{"clock-ms": b.clock()})
}

func (b *boot) servePace(out http.ResponseWriter, in *http.Request) {
	o, ok := decode(out, in)
	if !ok {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.admit(out, o) {
		reply(out, http.StatusOK, map[string]any{"clock-ms": b.clock()})
	}
}

func (b *boot) serveHold(out http.ResponseWriter, in *http.Request) {
	o, ok := decode(out, in)
	if !ok {
		return
	}
	b.mu.Lock()
	if !b.admit(out, o) {
		b.mu.Unlock()
		return
	}
	b.noteLapse()
	for len(b.ends) > 0 && b.ends[0].n <= o.Cursor {
		b.w.cell.rec.ack(b.ends[0].span)
		b.ends = b.ends[1:]
	}
	b.extend(o.Deadline)
	if wait := time.Duration(o.Wait) * time.Millisecond; wait > 0 && len(b.ends) == 0 {
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(wait, maxWait)):
		case <-b.ctx.Done():
			return
		}
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for id, r := range b.runs {
		running = append(running, []any{id.task, id.run, r.checkpoint, r.percent(), 100})
	}
	for _, e := range b.ends[:min(len(b.ends), listedEnds)] {
		finished = append(finished, []any{e.n, e.id.task, e.id.run, e.how, ""})
	}
	reply(out, http.StatusOK, map[string]any{"clock-ms": b.clock(), "born": b.born, "running": running, "finished": finished})
}

func (r *run) percent() int {
	since := time.Since(r.begun)
	if r.takes > 0 {
		return min(int(since*100/r.takes), 99)
	}
	if since >= startupTime {
		return 100
	}
	return 0
}

// beats announces the worker until its life ends.
func (b *boot) beats() {
	next := ""
	for b.ctx.Err() == nil {
		next = b.beat(next)
		select {
		case <-b.ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}

// beat sends one heartbeat, to further daemons if one does not answer, and returns the
// address for the next one.
func (b *boot) beat(address string) string {
	controls := b.w.cell.controls()
	for range 2 * len(controls) {
		if b.ctx.Err() != nil {
			return ""
		}
		if address == "" {
			b.w.mu.Lock()
			address = controls[b.w.beatN%len(controls)]
			b.w.beatN++
			b.w.mu.Unlock()
		}
		b.mu.Lock()
		b.seq++
		state, draining := "ready", b.draining
		if draining {
			state = "draining"
		}
		body := map[string]any{
			"service": b.w.cell.service, "address": b.w.address, "zone": b.w.zone, "version": "v1", "slots": 8, "state": state,
			"cold-remaining-ms": 0, "capacity": map[string]any{"cpu": b.w.cpu, "mem-mb": memoryOf(b.w.cpu), "gpu": 0}, "labels": b.w.labels,
			"machine": b.w.machine, "clock-ms": b.clock(), "seq": b.seq, "born": b.born,
		}
		if draining {
			body["drain-remaining-ms"] = drainTime.Milliseconds()
		}
		b.mu.Unlock()
		status, answer, err := b.w.post(b.ctx, address, "/-/instances/"+b.w.id+"/heartbeat", body)
		b.w.cell.rec.log("worker %s (born %d) sends ping %v (%s) to %s: %d %s %v", b.w.id, b.born, body["seq"], state, address, status, answer, err)
		if err == nil && status/100 == 2 {
			if draining {
				b.mu.Lock()
				select {
				case <-b.acked:
				default:
					close(b.acked)
				}
				b.mu.Unlock()
			}
			var x struct {
				Next string `json:"heartbeat-addr"`
			}
			if json.Unmarshal(answer, &x) == nil && x.Next != "" {
				return x.Next
			}
			return address
		}
		address = ""
	}
	return ""
}

const drainTime = 2500 * time.Millisecond

// drain announces that the worker leaves, and returns once that is acknowledged and the
// drain time is over.
func (w *worker) drain() {
	b := w.current()
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	w.cell.rec.log("worker %s drains", w.id)
	b.beat("")
	<-b.acked
	time.Sleep(drainTime)
}

// deregister tells a control daemon that the worker ends. It waits for the answer for a
// second at most.
func (w *worker) deregister(address string) {
	b := w.current()
	w.cell.rec.log("worker %s (born %d) sends deregister to %s", w.id, b.born, address)
	status, _, err := w.post(context.Background(), address, "/-/instances/"+w.id+"/deregister", map[string]any{"born": b.born})
	w.cell.rec.log("worker %s (born %d) deregister: status %d, error %v", w.id, b.born, status, err)
}

// post sends a call to a control daemon.
func (w *worker) post(ctx context.Context, address, path string, body any) (int, []byte, error) {
	if w.reaches != nil && !w.reaches(address) {
		time.Sleep(callTimeout)
		return 0, nil, fmt.Errorf("no way to %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, _ := json.Marshal(body)
	in, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	in.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	if w.dial != nil {
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return w.dial(ctx, address) }
	}
	out, err := (&http.Client{Transport: transport}).Do(in)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = out.Body.Close() }()
	answer, err := io.ReadAll(out.Body)
	return out.StatusCode, answer, err
}

// gate lets only some connections through to a worker. What others send goes nowhere.
type gate struct {
	net.Listener
	accepts func(net.Conn) bool
}

// Accept returns the next connection.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, accepts: g.accepts}, nil
}

type gatedConn struct {
	net.Conn
	accepts func(net.Conn) bool
}

// Read reads what gets through.
func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || c.accepts(c.Conn) {
			return n, err
		}
	}
}

// Write sends what gets through; the rest is lost.
func (c *gatedConn) Write(p []byte) (int, error) {
	if !c.accepts(c.Conn) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
