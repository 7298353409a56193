package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// This file plays a worker as the users' pages describe it: runs under a lease on its own
// clock, fencing tokens, ends that are listed until they are acknowledged, gangs, pings,
// and the planned end.

// run is one run of a task on a worker.
type run struct {
	worker *worker
	task   string
	number int
	spec   runSpec

	startedAt time.Time
	workSince time.Time // zero: it waits for its gang
	endedAt   time.Time // zero: it runs
	how       string
}

// runSpec is what a job's spec says about its tasks, in JSON.
type runSpec struct {
	Ms    int `json:"ms"`   // of work; 0: the task lasts
	Gang  int `json:"gang"` // members; 0: none
	Width int `json:"width"`
}

func (r *run) job() string { return strings.SplitN(r.task, ".", 2)[0] }

// gangKey names the gang of a run: its step and run number.
func (r *run) gangKey() string {
	return fmt.Sprintf("%s#%d", r.task[:strings.LastIndexByte(r.task, '.')], r.number)
}

func (r *run) String() string {
	return fmt.Sprintf("task %s run %d on %s", r.task, r.number, r.worker.id)
}

type ended struct {
	sequence int
	run      *run
}

// worker is one worker.
type worker struct {
	w       *world
	id      string
	address string
	labels  []string
	cpu     int
	born    time.Time
	control []string // control addresses
	server  *http.Server
	client  *http.Client

	// Behaviour, set by a case.
	unhealthy bool // it rejects starts with 503
	failAfter time.Duration

	mu       sync.Mutex
	deaf     bool          // nothing arrives at it any more: a cut in one direction
	hears    chan struct{} // closed while it is not deaf
	stopped  bool
	state    string
	drainEnd time.Time
	seq      int
	token    int64
	deadline int64 // of the lease, on its own clock
	cursor   int
	lastEnd  int
	running  map[string]*run
	past     map[string]int // highest number of a run of a task that was stopped or has ended
	finished []ended
	changed  chan struct{} // closed at the next end
	next     int           // control address in use
	confirm  time.Time     // when its draining was confirmed
	lastPing time.Time     // when its newest ping was answered
}

// addWorker starts a worker and its pings.
func (w *world) addWorker(labels ...string) *worker {
	w.nextHost++
	ip := fmt.Sprintf("%s.%d", w.subnet, 30+w.nextHost)
	return w.addWorkerAt(fmt.Sprintf("i-%08x", 0x7f3a0000+w.nextHost), fmt.Sprintf("%s:%d", ip, workerPort), labels...)
}

// addWorkerAt starts a boot of a worker with an id at an address.
func (w *world) addWorkerAt(id, address string, labels ...string) *worker {
	k := &worker{
		w: w, id: id, address: address, labels: labels, cpu: 16000,
		born: time.Now(), control: w.controlAddresses(), state: "ready", running: make(map[string]*run), past: make(map[string]int),
		changed: make(chan struct{}), hears: make(chan struct{}), next: w.nextHost % replicas,
	}
	close(k.hears)
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		fail("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", k.order(k.serveStart))
	mux.HandleFunc("POST /-/run-stop", k.order(k.serveStop))
	mux.HandleFunc("POST /-/pace", k.order(k.servePace))
	mux.HandleFunc("POST /-/hold", k.order(k.serveHold))
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	k.server = &http.Server{Handler: mux}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := k.hear(ctx); err != nil { // the answer to the opening packet does not arrive
			return nil, err
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &wire{c, k}, nil
	}
	k.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: dial, IdleConnTimeout: time.Minute}}
	go func() { _ = k.server.Serve(&ear{l, k}) }()
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	go k.work()
	go k.ping()
	return k
}

// ear and wire carry what arrives at a worker. While it is deaf, bytes and openings that
// others have sent wait, as behind a cut; what it sends itself leaves.
type ear struct {
	net.Listener
	k *worker
}

func (e *ear) Accept() (net.Conn, error) {
	c, err := e.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &wire{c, e.k}, nil
}

type wire struct {
	net.Conn
	k *worker
}

func (c *wire) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.k.hear(context.Background()) != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// hear waits while the worker is deaf.
func (k *worker) hear(ctx context.Context) error {
	k.mu.Lock()
	hears, stopped := k.hears, k.stopped
	k.mu.Unlock()
	if stopped {
		return net.ErrClosed
	}
	select {
	case <-hears:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setDeaf begins or ends a cut of the direction to the worker.
func (k *worker) setDeaf(deaf bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if deaf == k.deaf {
		return
	}
	k.deaf = deaf
	if deaf {
		k.hears = make(chan struct{})
	} else {
		close(k.hears)
	}
}

// clock is the worker's steady clock in milliseconds.
func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + 1000 }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run-id"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    int64  `json:"fencing-token"`
	Cursor   int    `json:"ack-cursor"`
	Wait     int64  `json:"wait-ms"`
}

// order wraps what all orders share: the intended boot, the token and the lease.
func (k *worker) order(serve func(http.ResponseWriter, *order)) http.HandlerFunc {
	return func(plain http.ResponseWriter, r *http.Request) {
		rw := &answered{ResponseWriter: plain}
		var o order
		defer func() {
			k.w.note("%s: received %s task %q run %d deadline %d token %d cursor %d -> %d", k.id, r.URL.Path, o.Task, o.Run, o.Deadline, o.Token, o.Cursor, rw.status)
		}()
		if want := r.Header.Get("X-Masticroad-Expect-Instance"); want != "" && want != k.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = json.Unmarshal(data, &o)
		}
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		k.mu.Lock()
		if o.Token < k.token {
			k.mu.Unlock()
			k.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		k.token = o.Token
		k.mu.Unlock()
		serve(rw, &o)
	}
}

// answered keeps the status of an answer for the record.
type answered struct {
	http.ResponseWriter
	status int
}

// WriteHeader writes the status.
func (a *answered) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

func (k *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	fields["clock-ms"] = k.clock()
	data, _ := json.Marshal(fields)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// extend extends the lease. The mutex is held.
func (k *worker) extend(deadline int64) {
	k.deadline = max(k.deadline, min(deadline, k.clock()+10000))
}

func (k *worker) serveStart(rw http.ResponseWriter, o *order) {
	k.mu.Lock()
	if k.unhealthy {
		k.mu.Unlock()
		k.w.note("%s: start of task %s run %d -> 503", k.id, o.Task, o.Run)
		k.answer(rw, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	k.extend(o.Deadline)
	reason := ""
	r := k.running[o.Task]
	switch {
	case r != nil && r.number == o.Run:
		k.mu.Unlock()
		k.answer(rw, http.StatusOK, map[string]any{})
		return
	case o.Run <= k.past[o.Task] || r != nil:
		reason = "old"
	case o.Deadline <= k.clock():
		reason = "late"
	}
	if reason != "" {
		k.mu.Unlock()
		k.w.note("%s: start of task %s run %d -> 409 %s", k.id, o.Task, o.Run, reason)
		k.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	r = &run{worker: k, task: o.Task, number: o.Run, startedAt: time.Now()}
	_ = json.Unmarshal([]byte(o.Spec), &r.spec)
	if r.spec.Gang == 0 {
		r.workSince = r.startedAt
	}
	k.running[o.Task] = r
	k.mu.Unlock()
	k.w.begun(r)
	k.w.note("%s: begins task %s run %d", k.id, o.Task, o.Run)
	k.answer(rw, http.StatusOK, map[string]any{})
}

// begun records the begin of a run. A gang works from the moment when it is complete.
func (w *world) begun(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, r)
	if r.spec.Gang == 0 {
		return
	}
	key := r.gangKey()
	w.gangs[key] = append(w.gangs[key], r)
	if len(w.gangs[key]) == r.spec.Gang {
		for _, x := range w.gangs[key] {
			x.worker.mu.Lock()
			x.workSince = time.Now()
			x.worker.mu.Unlock()
		}
	}
}

func (k *worker) serveStop(rw http.ResponseWriter, o *order) {
	k.mu.Lock()
	k.past[o.Task] = max(k.past[o.Task], o.Run)
	r := k.running[o.Task]
	k.mu.Unlock()
	if r != nil && r.number <= o.Run {
		time.AfterFunc(150*time.Millisecond, func() { k.end(r, "stopped") })
	}
	k.w.note("%s: order to stop task %s run %d", k.id, o.Task, o.Run)
	k.answer(rw, http.StatusOK, map[string]any{})
}

func (k *worker) servePace(rw http.ResponseWriter, _ *order) {
	k.answer(rw, http.StatusOK, map[string]any{})
}

func (k *worker) serveHold(rw http.ResponseWriter, o *order) {
	k.mu.Lock()
	k.extend(o.Deadline)
	k.cursor = max(k.cursor, o.Cursor)
	rest := k.finished[:0:0]
	for _, e := range k.finished {
		if e.sequence > k.cursor {
			rest = append(rest, e)
		}
	}
	k.finished = rest
	changed, waits := k.changed, len(rest) == 0 && o.Wait > 0
	k.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	k.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range k.running {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, e := range k.finished {
		finished = append(finished, []any{e.sequence, e.run.task, e.run.number, e.run.how, ""})
	}
	k.mu.Unlock()
	k.answer(rw, http.StatusOK, map[string]any{"born": k.born.UnixMilli(), "running": running, "finished": finished})
}

func (r *run) percent() int {
	switch {
	case r.workSince.IsZero():
		return 0
	case r.spec.Ms == 0:
		if time.Since(r.workSince) > 300*time.Millisecond {
			return 100
		}
		return 0
	}
	return int(min(99, 100*time.Since(r.workSince)/(time.Duration(r.spec.Ms)*time.Millisecond)))
}

// end ends a run. The members of a gang end done together; any other end breaks it.
func (k *worker) end(r *run, how string) {
	if !k.endOne(r, how) || r.spec.Gang == 0 {
		return
	}
	k.w.mu.Lock()
	members := append([]*run(nil), k.w.gangs[r.gangKey()]...)
	k.w.mu.Unlock()
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, x := range members {
		x.worker.endOne(x, other)
	}
}

func (k *worker) endOne(r *run, how string) bool {
	k.mu.Lock()
	if k.running[r.task] != r || k.stopped {
		k.mu.Unlock()
		return false
	}
	delete(k.running, r.task)
	k.past[r.task] = max(k.past[r.task], r.number)
	r.endedAt, r.how = time.Now(), how
	k.lastEnd++
	k.finished = append(k.finished, ended{k.lastEnd, r})
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	k.w.note("%s: task %s run %d ends: %s", k.id, r.task, r.number, how)
	return true
}

// work ends runs that are done, and all when the lease is over.
func (k *worker) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		k.mu.Lock()
		if k.stopped {
			k.mu.Unlock()
			return
		}
		lapsed := k.clock() > k.deadline
		ends := make(map[*run]string)
		for _, r := range k.running {
			worked := time.Since(r.workSince)
			switch {
			case lapsed:
				ends[r] = "lapsed"
			case r.workSince.IsZero() && r.spec.Gang > 0 && time.Since(r.startedAt) > 3*time.Second:
				ends[r] = "alone"
			case r.workSince.IsZero():
			case k.failAfter > 0 && worked >= k.failAfter:
				ends[r] = "failed"
			case r.spec.Ms > 0 && worked >= time.Duration(r.spec.Ms)*time.Millisecond:
				ends[r] = "done"
			}
		}
		k.mu.Unlock()
		// What a worker fails, it fails at once; only then do others learn of it.
		for r, how := range ends {
			if how == "failed" {
				k.endOne(r, how)
			}
		}
		for r, how := range ends {
			if how != "failed" {
				k.end(r, how)
				continue
			}
			k.w.mu.Lock()
			members := append([]*run(nil), k.w.gangs[r.gangKey()]...)
			k.w.mu.Unlock()
			for _, x := range members {
				x.worker.endOne(x, "broken")
			}
		}
	}
}

const (
	pingInterval = 1500 * time.Millisecond
	drainTime    = 2500 * time.Millisecond // drain-ms
)

var errNoAnswer = errors.New("no answer")

// post calls the control interface.
func (k *worker) post(address, action string, body any) (int, []byte, error) {
	data, _ := json.Marshal(body)
	resp, err := k.client.Post("http://"+address+"/-/instances/"+k.id+"/"+action, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil, errNoAnswer
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// announce sends one ping to one daemon after the other until one confirms it.
func (k *worker) announce() bool {
	for range k.control {
		k.mu.Lock()
		if k.stopped {
			k.mu.Unlock()
			return false
		}
		k.seq++
		body := map[string]any{
			"service": service, "address": k.address, "zone": zone, "version": "v1", "slots": 8, "state": k.state, "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": k.cpu, "mem-mb": 32768, "gpu": 0}, "labels": k.labels, "clock-ms": k.clock(), "seq": k.seq,
			"born": k.born.UnixMilli(), "machine": "m-" + k.id[2:],
		}
		if k.state == "draining" {
			body["drain-remaining-ms"] = max(time.Until(k.drainEnd), 0).Milliseconds()
		}
		address, state, seq := k.control[k.next%len(k.control)], k.state, k.seq
		k.mu.Unlock()
		status, data, err := k.post(address, "heartbeat", body)
		k.w.note("%s: sent ping %d (%s) to %s -> %d", k.id, seq, state, address, status)
		if err == nil && status/100 == 2 {
			var reply struct {
				Next string `json:"heartbeat-addr"`
			}
			_ = json.Unmarshal(data, &reply)
			k.mu.Lock()
			k.lastPing = time.Now()
			for i, c := range k.control {
				if c == reply.Next {
					k.next = i
				}
			}
			k.mu.Unlock()
			return true
		}
		k.mu.Lock()
		k.next++
		k.mu.Unlock()
	}
	return false
}

func (k *worker) ping() {
	for {
		k.mu.Lock()
		ready := k.state == "ready" && !k.stopped
		k.mu.Unlock()
		if !ready {
			return
		}
		k.announce()
		time.Sleep(pingInterval)
	}
}

// leave plays the planned end: the worker says that it drains, works on for drain-ms after
// the confirmation and a little longer, says that it leaves, and ends. Without a
// confirmation it ends some seconds later all the same.
func (k *worker) leave(little, without time.Duration) {
	k.mu.Lock()
	k.state, k.drainEnd = "draining", time.Now().Add(drainTime)
	k.mu.Unlock()
	for !k.announce() {
		time.Sleep(100 * time.Millisecond)
	}
	k.mu.Lock()
	k.confirm, k.drainEnd = time.Now(), time.Now().Add(drainTime)
	k.mu.Unlock()
	k.w.note("%s: its draining is confirmed", k.id)
	end := time.Now().Add(drainTime + little)
	for time.Until(end) > pingInterval {
		time.Sleep(pingInterval)
		k.announce()
	}
	time.Sleep(time.Until(end))
	k.w.note("%s: says that it leaves", k.id)
	left := time.Now().Add(without)
	for time.Now().Before(left) {
		k.mu.Lock()
		address := k.control[k.next%len(k.control)]
		k.next++
		k.mu.Unlock()
		status, _, err := k.post(address, "deregister", map[string]any{"born": k.born.UnixMilli()})
		if err == nil && status/100 == 2 {
			k.w.note("%s: its leaving is confirmed", k.id)
			break
		}
		k.w.note("%s: no confirmation of its leaving (status %d)", k.id, status)
	}
	k.stop("it has left")
}

// stop ends the worker and all that runs on it.
func (k *worker) stop(why string) {
	k.mu.Lock()
	k.stopped = true
	now := time.Now()
	for _, r := range k.running {
		r.endedAt, r.how = now, "gone"
	}
	k.mu.Unlock()
	_ = k.server.Close()
	k.w.note("%s: ends: %s", k.id, why)
}
