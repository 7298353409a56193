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

// This file is a small fake of the world around a decider: daemons that are
// always connected, and targets that run what they are given. Time is moved by
// hand.

var epoch = time.Unix(1_800_000_000, 0)

type world struct {
	t       testing.TB
	state   *registrar.State
	d       *decider.Decider
	now     time.Time
	index   registrar.Index
	targets map[registrar.TargetName]*fakeTarget
	inputs  []decider.Input
	changes []*decider.Change
	replies map[registrar.Key]decider.Reply
	settled int
	orders  []decider.Order
	auto    bool // orders to stop are confirmed at once
	life    registrar.Incarnation
	lease   bool // the leader's lease is in force
	keys    int
	starts  map[registrar.TaskID]int
	seen    map[decider.TaskAttempt]bool
}

type fakeTarget struct {
	rec     registrar.Target
	seq     uint64
	running map[registrar.TaskID]decider.Assignment
	dead    bool
	usage   float64
}

func newWorld(t testing.TB, disabled decider.Protection) *world {
	w := &world{
		t: t, state: registrar.New(), now: epoch, targets: make(map[registrar.TargetName]*fakeTarget),
		replies: make(map[registrar.Key]decider.Reply), life: 1, lease: true, auto: true,
		starts: make(map[registrar.TaskID]int), seen: make(map[decider.TaskAttempt]bool),
	}
	w.d = &decider.Decider{
		State: w.state, Rand: rand.New(rand.NewSource(1)), Timing: decider.DefaultTiming, Cell: "test", Disabled: disabled,
	}
	w.d.Begin(1, w.now)
	w.hello("vm1")
	w.run(0)
	return w
}

func (w *world) hello(name registrar.DaemonName) {
	w.input(name, &decider.Upstream{
		Hello:   &registrar.Daemon{Name: name, Life: w.life},
		Renewal: &decider.Renewal{Seq: 1, Revision: w.state.Revision},
	})
}

func (w *world) input(name registrar.DaemonName, up *decider.Upstream) {
	w.inputs = append(w.inputs, decider.Input{Daemon: name, Life: w.life, Up: up})
}

// caller declares a caller.
func (w *world) caller(c registrar.Caller) {
	w.change(registrar.Op{PutCaller: &c})
}

// change makes a change that must be accepted.
func (w *world) change(ops ...registrar.Op) {
	w.t.Helper()
	var result *decider.ChangeResult
	w.keys++
	w.changes = append(w.changes, &decider.Change{
		ID: registrar.ChangeID(fmt.Sprintf("c%d", w.keys)), Ops: ops,
		Done: func(r decider.ChangeResult) { result = &r },
	})
	for range 20 {
		w.run(50 * time.Millisecond)
		if result != nil {
			quicktest.Assert(w.t, result.Refused, quicktest.HasLen, 0)
			return
		}
	}
	w.t.Fatal("the change was not answered")
}

// target adds a target that announces itself.
func (w *world) target(name string, zone string, rack string, capacity registrar.Need, slots int) *fakeTarget {
	f := &fakeTarget{
		rec: registrar.Target{
			Name: registrar.TargetName(name), Address: "127.0.0.1:1", Region: "r1", Zone: registrar.ZoneName(zone), Rack: registrar.RackName(rack),
			Capacity: capacity, Slots: slots, Life: 1,
		},
		running: make(map[registrar.TaskID]decider.Assignment),
	}
	w.targets[f.rec.Name] = f
	w.announce(f)
	w.run(0)
	return f
}

func (w *world) announce(f *fakeTarget) {
	if f.dead {
		return
	}
	f.seq++
	rec := f.rec
	a := decider.Announcement{Name: rec.Name, Life: rec.Life, Seq: f.seq, Full: &rec}
	for id, as := range f.running {
		use := as.Need
		use.CPU = registrar.MilliCPU(float64(use.CPU) * max(f.usage, 1))
		a.Running = append(a.Running, decider.RunningTask{Task: id, Attempt: as.Attempt, Usage: use})
	}
	w.input("vm1", &decider.Upstream{Announces: []decider.Announcement{a}})
}

// admit sends a request and returns its key.
func (w *world) admit(a decider.Admit) registrar.Key {
	w.keys++
	if a.Key == "" {
		a.Key = registrar.Key(fmt.Sprintf("k%d", w.keys))
	}
	if a.Need.IsZero() {
		a.Need = registrar.Need{CPU: 1000, Memory: 1024}
	}
	w.input("vm1", &decider.Upstream{Admits: []decider.Admit{a}})
	return a.Key
}

// report tells the result of an attempt that a target ran.
func (w *world) report(f *fakeTarget, id registrar.TaskID, r decider.Result) {
	as, ok := f.running[id]
	if !ok {
		w.t.Fatalf("task %d does not run on %s", id, f.rec.Name)
	}
	delete(f.running, id)
	w.input("vm1", &decider.Upstream{Reports: []decider.Report{{Task: id, Attempt: as.Attempt, Result: r, RunTime: time.Second}}})
}

// run lets time pass and carries out one round.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	w.now = w.now.Add(d)
	w.input("vm1", &decider.Upstream{Renewal: &decider.Renewal{Seq: 1, Revision: w.state.Revision}})
	inputs, changes := w.inputs, w.changes
	w.inputs, w.changes = nil, nil
	until := w.now.Add(time.Second)
	if !w.lease {
		until = w.now
	}
	round := w.d.Decide(inputs, changes, until, w.now)
	w.commit(round)
	for _, m := range round.Down {
		w.takeDown(m)
	}
	for _, f := range round.Answers {
		f()
	}
	w.checkCapacity()
}

func (w *world) commit(round decider.Round) {
	if len(round.Events) == 0 {
		return
	}
	data, err := registrar.Entry{At: registrar.MillisOf(w.now), Events: round.Events}.Encode()
	quicktest.Assert(w.t, err, quicktest.IsNil)
	w.index++
	e, err := w.state.Apply(w.index, data)
	quicktest.Assert(w.t, err, quicktest.IsNil)
	w.d.Committed(e.Events, w.now)
}

func (w *world) takeDown(m *decider.Downstream) {
	for _, r := range m.Replies {
		w.replies[r.Key] = r
	}
	w.settled += len(m.Settled)
	for _, a := range m.Assignments {
		id := decider.TaskAttempt{Task: a.Task, Attempt: a.Attempt}
		if w.seen[id] {
			continue // a daemon starts an attempt once
		}
		w.seen[id] = true
		w.starts[a.Task]++
		if f := w.targets[a.Target]; f != nil && !f.dead {
			f.running[a.Task] = a
		}
	}
	for _, o := range m.Orders {
		w.orders = append(w.orders, o)
		f := w.targets[o.Target]
		_, runs := f.running[o.Task]
		if w.auto && runs && (o.Verb == decider.VerbStop || o.Verb == decider.VerbCheckpoint) {
			w.report(f, o.Task, decider.ResultStopped)
		}
	}
}

// pass lets time pass in steps, with announcements.
func (w *world) pass(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		for _, f := range w.targets {
			w.announce(f)
		}
		w.run(500 * time.Millisecond)
	}
}

// checkCapacity holds after every transition.
func (w *world) checkCapacity() {
	w.t.Helper()
	for name, t := range w.state.Targets {
		used, n := w.state.Used(name)
		if !used.FitsIn(t.Capacity) || n > t.Slots {
			w.t.Fatalf("target %s is over capacity: %s in %d tasks", name, used, n)
		}
	}
}

func (w *world) task(key registrar.Key) *registrar.Task {
	for _, t := range w.state.Tasks {
		if t.Key == key {
			return t
		}
	}
	return nil
}

func (w *world) count(state registrar.TaskState) int {
	n := 0
	for _, t := range w.state.Tasks {
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
