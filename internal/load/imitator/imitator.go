// Package imitator is a stand-in for a target: it speaks the targets' protocol,
// starts whatever it is given, and can be told to fail in the ways that targets
// fail. It serves the demo, the load tool and the tests.
package imitator

import (
	"cmp"
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
	FailText    string        // what a task that fails tells; empty: a short text
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
		st.State, st.Reason, st.Answer, st.Status = target.StateFailed, cmp.Or(f.FailText, "told to fail"), nil, http.StatusInternalServerError
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
