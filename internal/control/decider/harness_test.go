package decider_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
)

// This file holds a test harness for the decider: a fake daemon that is always
// connected, fake targets that run the tasks assigned to them, and a manual
// clock.

var epoch = time.Unix(1_800_000_000, 0)

type harness struct {
	t               testing.TB
	state           *registrar.State
	d               *decider.Decider
	now             time.Time
	index           registrar.Index
	targets         map[registrar.TargetName]*fakeTarget
	inputs          []decider.Input
	changes         []*decider.Change
	replies         map[registrar.Key]decider.Reply
	settled         int
	orders          []decider.Order
	confirmStops    bool // confirm stop orders immediately
	incarnation     registrar.Incarnation
	leaderLease     bool // the leader's own lease is in force
	lastKey         int
	starts          map[registrar.TaskID]int
	startedAttempts map[decider.TaskAttempt]bool
}

type fakeTarget struct {
	record  registrar.Target
	seq     uint64
	running map[registrar.TaskID]decider.Assignment
	dead    bool
	usage   float64
}

func newHarness(t testing.TB, disabled decider.Safeguards) *harness {
	h := &harness{
		t: t, state: registrar.New(), now: epoch, targets: make(map[registrar.TargetName]*fakeTarget),
		replies: make(map[registrar.Key]decider.Reply), incarnation: 1, leaderLease: true, confirmStops: true,
		starts: make(map[registrar.TaskID]int), startedAttempts: make(map[decider.TaskAttempt]bool),
	}
	h.d = &decider.Decider{
		State: h.state, Rand: rand.New(rand.NewSource(1)), Timing: decider.DefaultTiming, Cell: "test", Disabled: disabled,
	}
	h.d.Begin(1, h.now)
	h.connect("vm1")
	h.runRound(0)
	return h
}

func (h *harness) connect(name registrar.DaemonName) {
	h.send(name, &decider.Upstream{
		Hello:   &registrar.Daemon{Name: name, Incarnation: h.incarnation},
		Renewal: &decider.Renewal{Seq: 1, Revision: h.state.Revision},
	})
}

func (h *harness) send(name registrar.DaemonName, up *decider.Upstream) {
	h.inputs = append(h.inputs, decider.Input{Daemon: name, Incarnation: h.incarnation, Up: up})
}

// addCaller declares a caller.
func (h *harness) addCaller(c registrar.Caller) {
	h.applyChange(registrar.Op{PutCaller: &c})
}

// applyChange submits a change that must be accepted.
func (h *harness) applyChange(ops ...registrar.Op) {
	h.t.Helper()
	var result *decider.ChangeResult
	h.lastKey++
	h.changes = append(h.changes, &decider.Change{
		ID: registrar.ChangeID(fmt.Sprintf("c%d", h.lastKey)), Ops: ops,
		Done: func(r decider.ChangeResult) { result = &r },
	})
	for range 20 {
		h.runRound(50 * time.Millisecond)
		if result != nil {
			quicktest.Assert(h.t, result.Refused, quicktest.HasLen, 0)
			return
		}
	}
	h.t.Fatal("the change was not answered")
}

// addTarget adds a target that announces itself.
func (h *harness) addTarget(name string, zone string, rack string, capacity registrar.Need, slots int) *fakeTarget {
	f := &fakeTarget{
		record: registrar.Target{
			Name: registrar.TargetName(name), Address: "127.0.0.1:1", Region: "r1", Zone: registrar.ZoneName(zone), Rack: registrar.RackName(rack),
			Capacity: capacity, Slots: slots, Incarnation: 1,
		},
		running: make(map[registrar.TaskID]decider.Assignment),
	}
	h.targets[f.record.Name] = f
	h.announce(f)
	h.runRound(0)
	return f
}

func (h *harness) announce(f *fakeTarget) {
	if f.dead {
		return
	}
	f.seq++
	record := f.record
	a := decider.Announcement{Name: record.Name, Incarnation: record.Incarnation, Seq: f.seq, Full: &record}
	for id, as := range f.running {
		use := as.Need
		use.CPU = registrar.MilliCPU(float64(use.CPU) * max(f.usage, 1))
		a.Running = append(a.Running, decider.RunningTask{Task: id, Attempt: as.Attempt, Usage: use})
	}
	h.send("vm1", &decider.Upstream{Announcements: []decider.Announcement{a}})
}

// admit sends a request and returns its key.
func (h *harness) admit(a decider.Admit) registrar.Key {
	h.lastKey++
	if a.Key == "" {
		a.Key = registrar.Key(fmt.Sprintf("k%d", h.lastKey))
	}
	if a.Need.IsZero() {
		a.Need = registrar.Need{CPU: 1000, Memory: 1024}
	}
	h.send("vm1", &decider.Upstream{Admits: []decider.Admit{a}})
	return a.Key
}

// report reports the result of an attempt that a target ran.
func (h *harness) report(f *fakeTarget, id registrar.TaskID, r decider.Result) {
	as, ok := f.running[id]
	if !ok {
		h.t.Fatalf("task %d does not run on %s", id, f.record.Name)
	}
	delete(f.running, id)
	h.send("vm1", &decider.Upstream{Reports: []decider.Report{{Task: id, Attempt: as.Attempt, Result: r, RunTime: time.Second}}})
}

// runRound advances the clock and runs one round.
func (h *harness) runRound(d time.Duration) {
	h.t.Helper()
	h.now = h.now.Add(d)
	h.send("vm1", &decider.Upstream{Renewal: &decider.Renewal{Seq: 1, Revision: h.state.Revision}})
	inputs, changes := h.inputs, h.changes
	h.inputs, h.changes = nil, nil
	until := h.now.Add(time.Second)
	if !h.leaderLease {
		until = h.now
	}
	round := h.d.Decide(inputs, changes, until, h.now)
	h.commit(round)
	for _, m := range round.Down {
		h.deliver(m)
	}
	for _, f := range round.Answers {
		f()
	}
	h.checkCapacity()
}

func (h *harness) commit(round decider.Round) {
	if len(round.Events) == 0 {
		return
	}
	data, err := registrar.Entry{At: registrar.MillisOf(h.now), Events: round.Events}.Encode()
	quicktest.Assert(h.t, err, quicktest.IsNil)
	h.index++
	e, err := h.state.Apply(h.index, data)
	quicktest.Assert(h.t, err, quicktest.IsNil)
	h.d.Committed(e.Events, h.now)
}

func (h *harness) deliver(m *decider.Downstream) {
	for _, r := range m.Replies {
		h.replies[r.Key] = r
	}
	h.settled += len(m.Settled)
	for _, a := range m.Assignments {
		id := decider.TaskAttempt{Task: a.Task, Attempt: a.Attempt}
		if h.startedAttempts[id] {
			continue // a daemon starts an attempt once
		}
		h.startedAttempts[id] = true
		h.starts[a.Task]++
		if f := h.targets[a.Target]; f != nil && !f.dead {
			f.running[a.Task] = a
		}
	}
	for _, o := range m.Orders {
		h.orders = append(h.orders, o)
		f := h.targets[o.Target]
		_, runs := f.running[o.Task]
		if h.confirmStops && runs && (o.Verb == decider.VerbStop || o.Verb == decider.VerbCheckpoint) {
			h.report(f, o.Task, decider.ResultStopped)
		}
	}
}

// advance advances the clock in steps of 500 ms, each with announcements and a
// round.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		for _, f := range h.targets {
			h.announce(f)
		}
		h.runRound(500 * time.Millisecond)
	}
}

// checkCapacity is an invariant that holds after every round.
func (h *harness) checkCapacity() {
	h.t.Helper()
	for name, t := range h.state.Targets {
		used, n := h.state.Used(name)
		if !used.FitsIn(t.Capacity) || n > t.Slots {
			h.t.Fatalf("target %s is over capacity: %s in %d tasks", name, used, n)
		}
	}
}

func (h *harness) task(key registrar.Key) *registrar.Task {
	for _, t := range h.state.Tasks {
		if t.Key == key {
			return t
		}
	}
	return nil
}

func (h *harness) count(state registrar.TaskState) int {
	n := 0
	for _, t := range h.state.Tasks {
		if t.State == state {
			n++
		}
	}
	return n
}

var (
	large = registrar.Need{CPU: 16000, Memory: 32768}
	small = registrar.Need{CPU: 1000, Memory: 1024}
)
