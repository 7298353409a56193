package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// The bounds of a small deployment.
const (
	beatInterval = 1500 * time.Millisecond
	holdMax      = 10 * time.Second
	stopTime     = 400 * time.Millisecond
	gangTime     = 3 * time.Second
	saveEvery    = 2 * time.Second
	noticeTime   = 4500 * time.Millisecond
	upkeepTime   = 2 * time.Second
	startupTime  = 300 * time.Millisecond // of a task that lasts, until it is at work
	drainTime    = 3 * time.Second        // a draining worker goes on for this long after the confirmation
	serviceName  = "svc"
)

// work tells a worker what a task does. It is the spec of a job.
type work struct {
	Ms             int64 `json:"ms,omitempty"`
	Lasts          bool  `json:"lasts,omitempty"`
	Saves          bool  `json:"saves,omitempty"`
	Gang           int   `json:"gang,omitempty"` // members
	MaxUnavailable int   `json:"max-unavailable,omitempty"`
}

// run is one run of a task on a worker.
type run struct {
	task, step string
	number     int
	work       work
	came       time.Time
	began      time.Time // zero: its gang isn't complete
	from       int64     // ms of work done before it
	saved      string
	stopAt     time.Time
}

func (r *run) done(now time.Time) int64 {
	if r.began.IsZero() {
		return r.from
	}
	return r.from + now.Sub(r.began).Milliseconds()
}

func (r *run) percent(now time.Time) int {
	if r.work.Lasts {
		if !r.began.IsZero() && now.Sub(r.began) >= startupTime {
			return 100
		}
		return 0
	}
	return int(min(100*r.done(now)/max(r.work.Ms, 1), 100))
}

// save makes the checkpoint that is due, or one of the present state at a stop.
func (r *run) save(now time.Time, stop bool) {
	if !r.work.Saves {
		return
	}
	done := r.done(now)
	if !stop {
		done = done / saveEvery.Milliseconds() * saveEvery.Milliseconds()
	}
	if done > 0 && (r.saved == "" || parseSaved(r.saved) < done) {
		r.saved = fmt.Sprintf("%016x", done)
	}
}

func parseSaved(s string) int64 {
	var n int64
	_, _ = fmt.Sscanf(s, "%x", &n)
	return n
}

type end struct {
	n          int64
	task       string
	run        int
	how, saved string
}

// worker is one life of a machine.
type worker struct {
	id        string
	born      time.Time
	fence     int64
	deadline  int64 // on its clock
	runs      map[string]*run
	barred    map[string]int // by task: the highest run that was stopped or has ended
	ends      []end
	ended     int64
	seq       int64
	draining  bool
	drainEnd  time.Time
	confirmed bool
	wake      chan struct{} // closed at an end
}

func (w *worker) clock(now time.Time) int64 { return 1000 + now.Sub(w.born).Milliseconds() }

// machine is where workers live, one after the other.
type machine struct {
	name, address, rack string
	fleet               *fleet
	w                   *worker // nil: none
	state               string
	next                string // where beats are to go
	inWave              int64  // of its upkeep
}

// away tells why a task of a step that lasts is not at work.
type away struct {
	since   time.Time
	byOrder bool
}

// fleet holds all machines.
type fleet struct {
	mu       sync.Mutex
	rec      *record
	machines []*machine
	controls []string
	client   *http.Client
	lives    int
	// away holds the tasks of steps that last and are not at work, by task.
	away map[string]*away
	// starts holds the checkpoints of the starts of each run of a gang.
	starts map[string]map[string]string
	done   map[string]bool // tasks that have ended done
}

func newFleet(ctx context.Context, rec *record, machines int) (*fleet, error) {
	f := &fleet{rec: rec, client: &http.Client{Timeout: time.Second}, away: map[string]*away{}, starts: map[string]map[string]string{}, done: map[string]bool{}}
	for n := 0; n < machines; n++ {
		m := &machine{name: fmt.Sprintf("m-%02d", n), rack: fmt.Sprintf("r%d", n/8), fleet: f, state: "up"}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		m.address = l.Addr().String()
		mux := http.NewServeMux()
		mux.HandleFunc("POST /-/run-start", m.order(m.start))
		mux.HandleFunc("POST /-/run-stop", m.order(m.stop))
		mux.HandleFunc("POST /-/pace", m.order(m.pace))
		mux.HandleFunc("POST /-/hold", m.hold)
		s := &http.Server{Handler: mux}
		go func() { _ = s.Serve(l) }() // ends with the process
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// open starts the first worker of each machine.
func (f *fleet) open(ctx context.Context, controls []string) {
	f.mu.Lock()
	f.controls = controls
	for _, m := range f.machines {
		m.bear()
	}
	f.mu.Unlock()
	for _, m := range f.machines {
		go m.beats(ctx)
	}
	go func() {
		for ctx.Err() == nil {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	}()
}

// bear begins a worker's life. The fleet is locked.
func (m *machine) bear() {
	m.fleet.lives++
	m.w = &worker{id: fmt.Sprintf("i-%06d", m.fleet.lives), born: time.Now(), runs: map[string]*run{}, barred: map[string]int{}, wake: make(chan struct{})}
	m.state, m.next = "up", ""
	m.fleet.rec.note("worker %s begins on %s", m.w.id, m.name)
}

// terminate ends a worker and all that runs on it at once. The fleet is locked.
func (m *machine) terminate() {
	if m.w != nil {
		m.fleet.rec.note("worker %s on %s ends with %d runs", m.w.id, m.name, len(m.w.runs))
		close(m.w.wake)
		m.w = nil
	}
}

// finish ends a run. The fleet is locked.
func (m *machine) finish(r *run, how string, now time.Time) {
	w := m.w
	r.save(now, how == "stopped")
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.ended++
	w.ends = append(w.ends, end{w.ended, r.task, r.number, how, r.saved})
	m.fleet.rec.note("end of %s run %d on %s: %s, saved %q", r.task, r.number, m.name, how, r.saved)
	if how == "done" {
		m.fleet.done[r.task] = true
	}
	if r.work.Gang > 0 && !r.began.IsZero() {
		m.fleet.breakGang(r, how, now)
	}
	close(w.wake)
	w.wake = make(chan struct{})
}

// breakGang ends the other members of a gang that has begun.
func (f *fleet) breakGang(r *run, how string, now time.Time) {
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, m := range f.machines {
		if m.w == nil {
			continue
		}
		for _, x := range m.sorted() {
			if x != r && x.step == r.step && x.number == r.number && !x.began.IsZero() && m.w.runs[x.task] == x {
				x.save(now, false)
				began := x.began
				x.began = time.Time{} // no recursion
				x.from += now.Sub(began).Milliseconds()
				m.finish(x, other, now)
			}
		}
	}
}

func (m *machine) sorted() []*run {
	var out []*run
	for _, r := range m.w.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].task < out[b].task })
	return out
}

// advance lets time pass on all machines. The fleet is locked.
func (f *fleet) advance(now time.Time) {
	for _, m := range f.machines {
		if m.w == nil {
			continue
		}
		lapsed := len(m.w.runs) > 0 && m.w.clock(now) > m.w.deadline
		for _, r := range m.sorted() {
			if m.w.runs[r.task] != r {
				continue
			}
			r.save(now, false)
			switch {
			case lapsed:
				m.lose(r, now, false) // an impairment may be near
				m.finish(r, "lapsed", now)
			case !r.stopAt.IsZero() && !now.Before(r.stopAt):
				m.lose(r, now, true)
				m.finish(r, "stopped", now)
			case r.work.Gang > 0 && r.began.IsZero() && now.Sub(r.came) >= gangTime:
				m.finish(r, "alone", now)
			case !r.work.Lasts && !r.began.IsZero() && r.done(now) >= r.work.Ms:
				m.finish(r, "done", now)
			case r.work.Lasts && r.percent(now) == 100:
				delete(f.away, r.task)
			}
		}
	}
}

// lose marks a task that lasts as not at work any more. The fleet is locked.
func (m *machine) lose(r *run, now time.Time, byOrder bool) {
	if r.work.Lasts {
		if a := m.fleet.away[r.task]; a == nil || byOrder {
			m.fleet.away[r.task] = &away{now, byOrder}
		}
	}
}

// checkAvail checks the rule AVAIL for an order that ends a run. The fleet is locked.
func (m *machine) checkAvail(r *run, order string, now time.Time) {
	if !r.work.Lasts || r.work.MaxUnavailable == 0 || r.percent(now) < 100 || m.w.draining {
		return
	}
	others := []string{}
	for task, a := range m.fleet.away {
		if task != r.task && stepOf(task) == r.step && (a.byOrder || now.Sub(a.since) >= noticeTime) {
			others = append(others, task)
		}
	}
	sort.Strings(others)
	if len(others) >= r.work.MaxUnavailable {
		m.fleet.rec.breaks("AVAIL", "%s ends %s, which is at work on %s, while %v of its step are away and max-unavailable is %d", order, r.task, m.name, others, r.work.MaxUnavailable)
	}
}

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run-id"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      int64  `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Cursor     int64  `json:"ack-cursor"`
	Wait       int64  `json:"wait-ms"`
}

// admitted decodes a call and checks whom it is for and its fence; the fleet is locked.
// ok is false if it has been answered.
func (m *machine) admitted(w http.ResponseWriter, r *http.Request, b *orderBody) bool {
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, b) != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "the call can't be read"})
		return false
	}
	if m.w == nil {
		m.fleet.mu.Unlock()
		defer m.fleet.mu.Lock()
		panic(http.ErrAbortHandler) // nobody is there
	}
	if x := r.Header.Get("X-Masticroad-Expect-Instance"); x != "" && x != m.w.id {
		m.fleet.rec.note("call for %s on %s: 421, %s is there", x, m.name, m.w.id)
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock-ms": m.w.clock(time.Now())})
		return false
	}
	if b.Token < m.w.fence {
		m.fleet.rec.note("call on %s with token %d: 409 fence", m.name, b.Token)
		answer(w, http.StatusConflict, map[string]any{"clock-ms": m.w.clock(time.Now()), "reason": "fence"})
		return false
	}
	m.w.fence = b.Token
	return true
}

func (m *machine) extend(b *orderBody, now time.Time) {
	if b.Deadline > 0 {
		m.w.deadline = max(m.w.deadline, min(b.Deadline, m.w.clock(now)+holdMax.Milliseconds()))
	}
}

func (m *machine) order(do func(b *orderBody, now time.Time) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var b orderBody
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if !m.admitted(w, r, &b) {
			return
		}
		now := time.Now()
		m.fleet.advance(now)
		status, reason := do(&b, now)
		body := map[string]any{"clock-ms": m.w.clock(now)}
		if reason != "" {
			body["reason"] = reason
		}
		if status != http.StatusOK {
			m.fleet.rec.note("order about %s run %d on %s, token %d: %d %s", b.Task, b.Run, m.name, b.Token, status, reason)
		}
		answer(w, status, body)
	}
}

func (m *machine) start(b *orderBody, now time.Time) (int, string) {
	m.extend(b, now)
	if r := m.w.runs[b.Task]; r != nil && r.number == b.Run {
		return http.StatusOK, ""
	}
	if b.Run <= m.w.barred[b.Task] || m.w.runs[b.Task] != nil {
		return http.StatusConflict, "old"
	}
	if m.w.deadline <= m.w.clock(now) {
		return http.StatusConflict, "late"
	}
	r := &run{task: b.Task, step: stepOf(b.Task), number: b.Run, came: now, saved: b.Checkpoint, from: parseSaved(b.Checkpoint)}
	if err := json.Unmarshal([]byte(b.Spec), &r.work); err != nil {
		return http.StatusBadRequest, ""
	}
	m.w.runs[b.Task] = r
	m.fleet.rec.note("start of %s run %d on %s, token %d, checkpoint %q", b.Task, b.Run, m.name, b.Token, b.Checkpoint)
	if r.work.Gang == 0 {
		r.began = now
	} else {
		m.fleet.join(r, now)
	}
	return http.StatusOK, ""
}

// join lets a gang begin once all of its members are there, and checks that all carry the
// same checkpoint. The fleet is locked.
func (f *fleet) join(r *run, now time.Time) {
	key := fmt.Sprintf("%s run %d", r.step, r.number)
	if f.starts[key] == nil {
		f.starts[key] = map[string]string{}
	}
	f.starts[key][r.task] = r.saved
	var members []*run
	for _, m := range f.machines {
		if m.w == nil {
			continue
		}
		for _, x := range m.w.runs {
			if x.step == r.step && x.number == r.number {
				members = append(members, x)
			}
		}
	}
	if len(members) < r.work.Gang {
		return
	}
	values := map[string]bool{}
	for _, x := range members {
		x.began = now
		values[x.saved] = true
	}
	f.rec.note("gang %s is complete", key)
	if len(values) > 1 {
		f.rec.breaks("UNASKED", "the members of the gang %s were told to start with different checkpoints: %v", key, f.starts[key])
	}
}

func (m *machine) stop(b *orderBody, now time.Time) (int, string) {
	m.w.barred[b.Task] = max(m.w.barred[b.Task], b.Run)
	r := m.w.runs[b.Task]
	if r != nil && r.number == b.Run && r.stopAt.IsZero() {
		m.fleet.rec.note("stop of %s run %d on %s, token %d", b.Task, b.Run, m.name, b.Token)
		m.checkAvail(r, "a stop", now)
		r.stopAt = now.Add(stopTime / 2)
	}
	return http.StatusOK, ""
}

func (m *machine) pace(*orderBody, time.Time) (int, string) { return http.StatusOK, "" }

// hold extends the lease and lists what runs and has ended, at once or at an end.
func (m *machine) hold(w http.ResponseWriter, r *http.Request) {
	var b orderBody
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.admitted(w, r, &b) {
		return
	}
	life, now := m.w, time.Now()
	m.extend(&b, now)
	f.advance(now)
	kept := life.ends[:0:0]
	for _, e := range life.ends {
		if e.n > b.Cursor {
			kept = append(kept, e)
		}
	}
	life.ends = kept
	if len(life.ends) == 0 && b.Wait > 0 {
		wake := life.wake
		f.mu.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(b.Wait, 2000)) * time.Millisecond):
		}
		f.mu.Lock()
	}
	if m.w != life {
		f.mu.Unlock()
		defer f.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	now = time.Now()
	f.advance(now)
	running, finished := [][]any{}, [][]any{}
	for _, x := range m.sorted() {
		running = append(running, []any{x.task, x.number, x.saved, x.percent(now), 0})
	}
	for _, e := range life.ends {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": life.clock(now), "born": life.born.UnixMilli(), "running": running, "finished": finished})
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body) // plain values
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

// beats reports the worker of a machine until ctx ends.
func (m *machine) beats(ctx context.Context) {
	for ctx.Err() == nil {
		m.beat(ctx)
		for n := 0; n < 15 && ctx.Err() == nil; n++ {
			m.fleet.mu.Lock()
			first := m.w != nil && m.w.seq == 0
			m.fleet.mu.Unlock()
			if first {
				break
			}
			time.Sleep(beatInterval / 15)
		}
	}
}

func (m *machine) beat(ctx context.Context) {
	f := m.fleet
	f.mu.Lock()
	w := m.w
	if w == nil {
		f.mu.Unlock()
		return
	}
	w.seq++
	now := time.Now()
	body := map[string]any{
		"service": serviceName, "address": m.address, "zone": "a", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "labels": []string{"a", m.rack}, "clock-ms": w.clock(now), "seq": w.seq,
		"born": w.born.UnixMilli(), "machine": m.name,
	}
	draining := w.draining
	if draining {
		body["state"], body["drain-remaining-ms"] = "draining", drainTime.Milliseconds()
		if w.confirmed {
			body["drain-remaining-ms"] = max(w.drainEnd.Sub(now).Milliseconds(), 0)
		}
	}
	targets := append([]string{}, f.controls...)
	rand.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
	if m.next != "" {
		targets = append([]string{m.next}, targets...)
	}
	f.mu.Unlock()
	for _, address := range targets {
		status, data := post(f.client, "http://"+address+"/-/instances/"+w.id+"/heartbeat", body)
		var reply struct {
			Next string `json:"heartbeat-addr"`
		}
		f.mu.Lock()
		if status == http.StatusOK {
			_ = json.Unmarshal(data, &reply) // optional
			m.next = reply.Next
			if draining && !w.confirmed {
				w.confirmed, w.drainEnd = true, time.Now().Add(drainTime)
				f.rec.note("worker %s on %s: draining is confirmed", w.id, m.name)
			}
			f.mu.Unlock()
			return
		}
		m.next = ""
		f.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
	}
}

// scaleIn drains a worker and takes it away: it says that it leaves, goes on for the
// time that it has announced, says farewell and ends.
func (m *machine) scaleIn(ctx context.Context) {
	f := m.fleet
	f.mu.Lock()
	w := m.w
	w.draining = true
	f.rec.note("worker %s on %s says that it is draining", w.id, m.name)
	f.mu.Unlock()
	m.beat(ctx)
	for ctx.Err() == nil {
		f.mu.Lock()
		over := w.confirmed && time.Now().After(w.drainEnd)
		f.mu.Unlock()
		if over {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.rec.note("worker %s on %s says farewell", w.id, m.name)
	for _, address := range f.controls {
		status, _ := post(f.client, "http://"+address+"/-/instances/"+w.id+"/deregister", map[string]any{"born": w.born.UnixMilli()})
		f.rec.note("farewell of %s answered with %d", w.id, status)
		if status == http.StatusOK {
			break
		}
	}
	f.mu.Lock()
	if m.w == w {
		m.terminate()
		m.state = "down"
	}
	f.mu.Unlock()
}

func post(c *http.Client, url string, body any) (int, []byte) {
	data, _ := json.Marshal(body) // plain values
	resp, err := c.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}
