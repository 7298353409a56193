// Package imitator is a stand-in for a target: it speaks the targets' protocol,
// starts whatever it is given, and can be told to fail in the ways that targets
// fail. It serves the demo, the load tool and the tests.
package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// Faults are ways to fail, each switched on by a value that is not zero.
type Faults struct {
	Late        time.Duration // added to each answer
	LoseAnswers bool          // the connection is cut in place of an answer
	Truncate    bool          // half of the answer is sent
	Mislabel    bool          // the answer names another task
	Duplicate   bool          // the answer is sent twice on the connection
	FailAll     bool          // every task fails at once
	ForgetStart bool          // a start is acknowledged, then lost
	Silent      bool          // connections are taken and never answered
	IgnoreStop  bool          // stops are not carried out
	UsageFactor float64       // of the declared need, in reports; 0: 1
}

// Work tells how long a task runs and what it answers; nil: the time in the
// body's RunMillis field, and an echo.
type Work func(s *target.Start) (time.Duration, []byte)

// Target is one stand-in. The exported fields are set before Run.
type Target struct {
	Name        registrar.TargetName
	Region      registrar.RegionName
	Zone        registrar.ZoneName
	Rack        registrar.RackName
	Capacity    registrar.Need
	Slots       int
	Connections int
	Daemons     []string // HTTP addresses of the daemons
	Interval    time.Duration
	Work        Work
	History     *History // shared by the targets of one experiment
	Now         func() time.Time

	listener net.Listener
	life     registrar.Incarnation
	mu       sync.Mutex
	faults   Faults
	leaving  bool
	seq      uint64
	running  map[registrar.TaskID]*run
	ended    map[target.AttemptRef]*endedRun
	order    []target.AttemptRef
	lease    time.Time
	next     int
	wake     chan struct{}
}

type run struct {
	start   target.Start
	began   time.Time
	stop    chan string // reason
	stopped bool
	done    chan struct{}
}

type endedRun struct {
	status   target.TaskStatus
	announce bool // until the cell tells to forget it
}

const (
	keptEnded       = 2000
	announceTimeout = 4 * time.Second
	defaultInterval = 5 * time.Second
	retryAnnounce   = 200 * time.Millisecond
)

// Listen opens the target's address. It is called before Run.
func (t *Target) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.listener = l
	t.life = registrar.Incarnation(t.Now().UnixNano())
	t.running = make(map[registrar.TaskID]*run)
	t.ended = make(map[target.AttemptRef]*endedRun)
	t.wake = make(chan struct{}, 1)
	return nil
}

// Address returns the address that the target serves.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetFaults switches faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Leave announces that the target is leaving.
func (t *Target) Leave() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	t.announceSoon()
}

// Running returns the number of attempts that run.
func (t *Target) Running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// Run serves and announces until ctx ends.
func (t *Target) Run(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc(target.PathTasks, t.serve)
	server := &http.Server{Handler: mux}
	go t.announceLoop(ctx)
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	_ = server.Serve(t.listener) // ends with ctx
	t.stopAll()
}

// stopAll ends every attempt, as the end of the target's process does.
func (t *Target) stopAll() {
	t.mu.Lock()
	var refs []target.AttemptRef
	for id, r := range t.running {
		refs = append(refs, target.AttemptRef{Task: id, Attempt: r.start.Attempt})
	}
	t.mu.Unlock()
	for _, ref := range refs {
		t.stop(ref, Faults{})
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	rest := strings.TrimPrefix(r.URL.Path, target.PathTasks)
	idText, verb, _ := strings.Cut(rest, "/")
	id, err := strconv.ParseUint(idText, 10, 64)
	n, err2 := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	if err != nil || err2 != nil {
		http.Error(w, "bad task or attempt", http.StatusBadRequest)
		return
	}
	ref := target.AttemptRef{Task: registrar.TaskID(id), Attempt: registrar.Attempt(n)}
	switch verb {
	case "start":
		t.start(w, r, ref, faults)
	case "stop", "checkpoint":
		t.stop(ref, faults)
		t.writeStatus(w, ref)
	default:
		t.writeStatus(w, ref)
	}
}

func (t *Target) start(w http.ResponseWriter, r *http.Request, ref target.AttemptRef, f Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the start did not arrive whole
	}
	s := target.Start{
		Task: ref.Task, Attempt: ref.Attempt, Body: body, Background: r.Header.Get(target.HeaderBackground) == "true",
		Caller: registrar.CallerName(r.Header.Get(target.HeaderCaller)), Need: needOf(r.Header.Get(target.HeaderNeed)),
		Checkpoint: r.Header.Get(target.HeaderCheckpoint),
	}
	if f.ForgetStart {
		t.acknowledge(w, &s, f)
		return
	}
	run := t.begin(&s)
	if s.Background {
		go t.work(run, f)
		w.Header().Set(target.HeaderTask, strconv.FormatUint(uint64(ref.Task), 10))
		t.label(w, ref, nil)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	t.work(run, f)
	t.answer(w, ref, f)
}

func needOf(text string) registrar.Need {
	var n registrar.Need
	_, _ = fmt.Sscanf(text, "%d,%d,%d", &n.CPU, &n.Memory, &n.Accelerators) // absent: zero
	return n
}

func (t *Target) acknowledge(w http.ResponseWriter, s *target.Start, f Faults) {
	if s.Background {
		t.label(w, target.AttemptRef{Task: s.Task, Attempt: s.Attempt}, nil)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	cut(w)
}

func (t *Target) begin(s *target.Start) *run {
	r := &run{start: *s, began: t.Now(), stop: make(chan string, 1), done: make(chan struct{})}
	t.mu.Lock()
	old := t.running[s.Task]
	t.running[s.Task] = r
	t.mu.Unlock()
	if old != nil {
		t.History.twice(s.Task, t.Name, t.Name)
	}
	t.History.began(t, s, r.began)
	return r
}

// work waits for the task's run time, or for a stop.
func (t *Target) work(r *run, f Faults) {
	d, answer := t.plan(&r.start)
	st := target.TaskStatus{Task: r.start.Task, Attempt: r.start.Attempt, State: target.StateDone, Answer: answer, Status: http.StatusOK}
	if f.FailAll {
		d = 0
		st.State, st.Reason, st.Answer, st.Status = target.StateFailed, "told to fail", nil, http.StatusInternalServerError
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case reason := <-r.stop:
		st.State, st.Reason, st.Answer = target.StateStopped, reason, nil
		st.Checkpoint = fmt.Sprintf("%s/%d after %s", t.Name, r.start.Task, t.Now().Sub(r.began).Round(time.Millisecond))
	}
	st.RunMillis = t.Now().Sub(r.began).Milliseconds()
	t.finish(r, st)
}

// endless is the run time of a background task that names none.
const endless = 24 * time.Hour

type workBody struct {
	RunMillis int64
	Answer    string
}

func (t *Target) plan(s *target.Start) (time.Duration, []byte) {
	if t.Work != nil {
		return t.Work(s)
	}
	var b workBody
	_ = json.Unmarshal(s.Body, &b) // other bodies run for no time
	if s.Background && b.RunMillis == 0 {
		return endless, nil
	}
	answer := append([]byte(nil), s.Body...)
	if b.Answer != "" {
		answer = []byte(b.Answer)
	}
	return time.Duration(b.RunMillis) * time.Millisecond, answer
}

func (t *Target) finish(r *run, st target.TaskStatus) {
	t.mu.Lock()
	if t.running[st.Task] == r {
		delete(t.running, st.Task)
	}
	ref := target.AttemptRef{Task: st.Task, Attempt: st.Attempt}
	t.ended[ref] = &endedRun{st, r.start.Background}
	t.order = append(t.order, ref)
	for len(t.order) > keptEnded {
		delete(t.ended, t.order[0])
		t.order = t.order[1:]
	}
	background := r.start.Background
	t.mu.Unlock()
	t.History.ended(t, &r.start, st.State)
	close(r.done)
	if background {
		t.announceSoon()
	}
}

func (t *Target) answer(w http.ResponseWriter, ref target.AttemptRef, f Faults) {
	t.mu.Lock()
	st := t.ended[ref].status
	t.mu.Unlock()
	if f.Late > 0 {
		time.Sleep(f.Late)
	}
	if f.LoseAnswers || st.State == target.StateStopped {
		cut(w)
		return
	}
	body := st.Answer
	if st.State == target.StateFailed {
		body = []byte(st.Reason)
	}
	if f.Mislabel {
		ref.Task++
	}
	if f.Duplicate {
		t.answerTwice(w, ref, body)
		return
	}
	t.label(w, ref, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(st.Status)
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		cut(w)
		return
	}
	_, _ = w.Write(body) // the daemon asks again
}

// answerTwice sends the same answer twice on one connection, which then stays
// open.
func (t *Target) answerTwice(w http.ResponseWriter, ref target.AttemptRef, body []byte) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		target.HeaderTask, ref.Task, target.HeaderAttempt, ref.Attempt, target.HeaderDigest, target.DigestOf(body), len(body), body)
	_, _ = c.Write([]byte(text + text)) // the daemon asks again
}

func (t *Target) label(w http.ResponseWriter, ref target.AttemptRef, body []byte) {
	h := w.Header()
	h.Set(target.HeaderTask, strconv.FormatUint(uint64(ref.Task), 10))
	h.Set(target.HeaderAttempt, strconv.FormatUint(uint64(ref.Attempt), 10))
	h.Set(target.HeaderDigest, target.DigestOf(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
}

func cut(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

// stop stops an attempt and waits until it has ended.
func (t *Target) stop(ref target.AttemptRef, f Faults) {
	t.mu.Lock()
	r := t.running[ref.Task]
	if r == nil || r.start.Attempt != ref.Attempt || f.IgnoreStop {
		t.mu.Unlock()
		return
	}
	first := !r.stopped
	r.stopped = true
	t.mu.Unlock()
	if first {
		r.stop <- "stopped by order"
	}
	<-r.done
}

func (t *Target) writeStatus(w http.ResponseWriter, ref target.AttemptRef) {
	t.mu.Lock()
	var st target.TaskStatus
	if e := t.ended[ref]; e != nil {
		st = e.status
	} else {
		st = target.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, State: target.StateAbsent}
		if r := t.running[ref.Task]; r != nil && r.start.Attempt == ref.Attempt {
			st.State = target.StateRunning
		}
	}
	t.mu.Unlock()
	data, err := json.Marshal(st)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the daemon asks again
}

func (t *Target) announceSoon() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Target) announceLoop(ctx context.Context) {
	interval := t.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	client := &http.Client{Timeout: announceTimeout}
	for ctx.Err() == nil {
		wait := interval
		if !t.announce(ctx, client) {
			wait = min(retryAnnounce, interval)
		}
		t.checkLease()
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-time.After(wait):
		}
	}
}

// checkLease stops everything once the lease is over.
func (t *Target) checkLease() {
	t.mu.Lock()
	over := !t.lease.IsZero() && t.Now().After(t.lease)
	t.mu.Unlock()
	if over {
		t.stopAll()
	}
}

func (t *Target) announcement() target.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	a := target.Announcement{
		Name: t.Name, Address: t.Address(), Region: t.Region, Zone: t.Zone, Rack: t.Rack, Capacity: t.Capacity,
		Slots: t.Slots, Connections: t.Connections, Incarnation: t.life, Seq: t.seq, Leaving: t.leaving,
	}
	factor := t.faults.UsageFactor
	if factor == 0 {
		factor = 1
	}
	for id, r := range t.running {
		use := r.start.Need
		use.CPU = registrar.MilliCPU(float64(use.CPU) * factor)
		use.Memory = registrar.MiB(float64(use.Memory) * factor)
		a.Running = append(a.Running, target.Running{Task: id, Attempt: r.start.Attempt, Background: r.start.Background, Usage: use})
	}
	sort.Slice(a.Running, func(i, j int) bool { return a.Running[i].Task < a.Running[j].Task })
	for _, e := range t.ended {
		if e.announce {
			a.Ended = append(a.Ended, e.status)
		}
	}
	return a
}

func (t *Target) announce(ctx context.Context, client *http.Client) bool {
	t.mu.Lock()
	silent := t.faults.Silent
	t.mu.Unlock()
	if silent || len(t.Daemons) == 0 {
		return false
	}
	a := t.announcement()
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	t.next++
	u := "http://" + t.Daemons[t.next%len(t.Daemons)] + target.PathAnnounce
	sent := t.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var reply target.AnnounceReply
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return false
	}
	t.take(&reply, sent)
	return true
}

func (t *Target) take(reply *target.AnnounceReply, sent time.Time) {
	t.mu.Lock()
	if reply.LeaseMillis > 0 {
		t.lease = sent.Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	faults := t.faults
	for _, ref := range reply.Forget {
		if e := t.ended[ref]; e != nil {
			e.announce = false
		}
	}
	t.mu.Unlock()
	for _, ref := range reply.Stop {
		t.stop(ref, faults)
	}
}
