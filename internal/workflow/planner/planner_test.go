package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds a leader under test, with targets that are played by hand.

const (
	poolName  = definer.PoolName("pool")
	queueName = definer.QueueName("queue")
	host      = "jobs.example"
	prefix    = "/q/"
)

// stage is a leader whose targets answer what a test lets them answer.
type stage struct {
	c      *quicktest.C
	p      *planner.Planner
	now    planner.Moment
	events []tracker.Event
	orders []planner.Action // that were not taken yet
	clocks map[tracker.TargetID]time.Time
	beats  int64
}

var bounds = planner.Bounds{
	MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: 2 * time.Second, RemoteTimes: 3,
	Retention: 2 * time.Minute, PaceDelay: 100 * time.Millisecond, TailTime: 4 * time.Second, NoticeTime: 4500 * time.Millisecond,
}

// newStage returns a leader of term 1 with a queue and some targets of 16
// processors that have answered.
func newStage(c *quicktest.C, targets int) *stage {
	s := &stage{c: c, clocks: make(map[tracker.TargetID]time.Time)}
	s.now = planner.Moment{Steady: time.Unix(1000, 0), Wall: registrar.MillisOf(time.Unix(1_800_000_000, 0))}
	s.p = &planner.Planner{State: tracker.New(), Settings: planner.Settings{Bounds: bounds}}
	s.p.Begin(1, s.now)
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second})
	for i := range targets {
		s.announce(s.record(i + 1))
	}
	s.pass(10 * time.Millisecond)
	s.answerLooks()
	return s
}

// put puts a document with one queue in force.
func (s *stage) put(q definer.Queue) {
	q.Name, q.Host, q.Prefix, q.Pool, q.Timeout = queueName, host, prefix, poolName, 3*time.Second
	version := definer.Version(1)
	if d := s.p.State.Document; d != nil {
		version = d.Version + 1
	}
	s.p.Put(&definer.Document{Version: version, Queues: []definer.Queue{q}, Pools: []definer.Pool{{Name: poolName}}}, func() {}, s.now)
}

func targetID(n int) tracker.TargetID { return tracker.TargetID(fmt.Sprintf("t%d", n)) }

// record describes target n; two targets share a rack.
func (s *stage) record(n int) tracker.Target {
	rack := fmt.Sprintf("r%d", (n-1)/2)
	return tracker.Target{
		ID: targetID(n), Life: 1, Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "a", Pool: poolName, Rack: rack, Labels: []string{"k", rack},
		Capacity: registrar.Need{CPU: 16000, Memory: 32768},
	}
}

func (s *stage) announce(rec tracker.Target) {
	s.beats++
	s.p.Announce(&planner.Announcement{Target: rec, Sequence: s.beats, Clock: 1}, func() {}, s.now)
	s.clocks[rec.ID] = s.now.Steady
}

// pass lets time pass and the leader plan.
func (s *stage) pass(d time.Duration) {
	for d > 0 {
		step := min(d, 50*time.Millisecond)
		d -= step
		s.now.Steady = s.now.Steady.Add(step)
		s.now.Wall = s.now.Wall.Add(step)
		s.plan()
	}
}

func (s *stage) plan() {
	s.p.Plan(s.now)
	r := s.p.Take()
	s.events = append(s.events, r.Events...)
	s.orders = append(s.orders, r.Now...)
	for _, a := range r.After {
		if a.Done != nil {
			a.Done()
			continue
		}
		s.orders = append(s.orders, a)
	}
}

// take removes the orders that match and returns them.
func (s *stage) take(match func(planner.Action) bool) []planner.Action {
	var out, rest []planner.Action
	for _, a := range s.orders {
		if match(a) {
			out = append(out, a)
		} else {
			rest = append(rest, a)
		}
	}
	s.orders = rest
	return out
}

func (s *stage) starts() []*planner.StartOrder {
	var out []*planner.StartOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Start != nil }) {
		out = append(out, a.Start)
	}
	return out
}

func (s *stage) stops() []*planner.StopOrder {
	var out []*planner.StopOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Stop != nil }) {
		out = append(out, a.Stop)
	}
	return out
}

func (s *stage) looks() []*planner.LookOrder {
	var out []*planner.LookOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Look != nil }) {
		out = append(out, a.Look)
	}
	return out
}

// clock returns a target's own time.
func (s *stage) clock(id tracker.TargetID) planner.ClockMillis {
	return planner.ClockMillis(1 + s.now.Steady.Sub(s.clocks[id]).Milliseconds())
}

// answerLooks answers all looks, with what the targets of the given rows run.
func (s *stage) answerLooks(rows ...row) {
	for _, o := range s.looks() {
		s.answerLook(o, rows...)
	}
}

// row is a run on a target, or its end when how is set.
type row struct {
	target  tracker.TargetID
	task    definer.TaskID
	number  tracker.RunNumber
	percent int
	gauge   int
	how     tracker.End
}

func (s *stage) answerLook(o *planner.LookOrder, rows ...row) {
	s.p.Looked(s.report(o, rows...), s.now)
	s.plan()
}

func (s *stage) report(o *planner.LookOrder, rows ...row) *planner.LookReport {
	id := o.To.Target
	r := &planner.LookReport{
		Target: id, Life: o.To.Life, Found: o.To.Life, Token: o.To.Token, Sent: s.now.Steady, Received: s.now.Steady, Answered: true, Clock: s.clock(id),
	}
	for i, x := range rows {
		switch {
		case x.target != id:
		case x.how != 0:
			r.Finished = append(r.Finished, planner.Finished{Sequence: o.Cursor + int64(i) + 1, Task: x.task, Number: x.number, How: x.how})
		default:
			r.Running = append(r.Running, planner.Running{Task: x.task, Number: x.number, Percent: x.percent, Gauge: x.gauge})
		}
	}
	return r
}

// obey answers an order to start.
func (s *stage) obey(o *planner.StartOrder) {
	s.p.Ordered(s.outcome(o, true), s.now)
	s.plan()
}

// ignore tells that an order to start got no answer.
func (s *stage) ignore(o *planner.StartOrder) {
	s.p.Ordered(s.outcome(o, false), s.now)
	s.plan()
}

func (s *stage) outcome(o *planner.StartOrder, answered bool) *planner.OrderReport {
	r := &planner.OrderReport{Target: o.To.Target, Life: o.To.Life, Token: o.To.Token, Task: o.Task, Number: o.Number, Answered: answered,
		Sent: s.now.Steady.Add(-o.Limit), Limit: o.Limit}
	if answered {
		r.Clock = s.clock(o.To.Target)
	}
	return r
}

// submit hands in a job and returns the orders to start.
func (s *stage) submit(id definer.JobID, steps ...definer.Step) []*planner.StartOrder {
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	s.c.Assert(a.Verdict, quicktest.Equals, planner.Accepted, quicktest.Commentf("%s", a.Reason))
	return s.starts()
}

// ends returns how the runs of a job have ended so far.
func (s *stage) ends(id definer.JobID) []tracker.End {
	var out []tracker.End
	for _, ev := range s.events {
		if e := ev.RunEnded; e != nil && e.Task.Job == id {
			out = append(out, e.How)
		}
	}
	return out
}

// lead lets another leadership of the same replica begin.
func (s *stage) lead(term registrar.Term) {
	s.p.State = s.p.State.Clone()
	s.p.Begin(term, s.now)
	s.orders = nil
	s.pass(50 * time.Millisecond)
}

func cpus(n int) registrar.Need {
	return registrar.Need{CPU: registrar.MilliCPU(n * 1000), Memory: 1024}
}

func oneTask(need registrar.Need) definer.Step {
	return definer.Step{Count: 1, Need: need, Estimate: time.Second}
}

func TestAnswerToAnEarlierLeadershipSettlesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	s.pass(time.Second)
	old := s.looks()
	c.Assert(old, quicktest.HasLen, 1)
	c.Assert(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, 1) // the order is under way
	report := s.report(old[0])
	s.lead(3)
	s.p.Looked(report, s.now)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0, quicktest.Commentf("the order may be carried out yet"))
	s.answerLooks()
	c.Assert(s.ends(7), quicktest.DeepEquals, []tracker.End{tracker.EndLost})
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

func TestOutcomeOfAnEarlierLeadershipSettlesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	s.pass(time.Second)
	start := s.submit(7, oneTask(cpus(1)))[0]
	refused := s.outcome(start, true)
	refused.Refusal = planner.RefusedUnwell
	s.lead(3)
	s.p.Ordered(refused, s.now)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0)
	c.Assert(s.stops(), quicktest.HasLen, 0)
}

func TestSilentTargetKeepsItsRunsUntilItsLeaseIsOver(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.obey(start)
	lease := time.Duration(start.Deadline-s.clock(start.To.Target)) * time.Millisecond
	silent := func() {
		for _, o := range s.looks() {
			if o.To.Target != start.To.Target {
				s.answerLook(o)
				continue
			}
			r := s.report(o)
			r.Answered = false
			s.p.Looked(r, s.now)
		}
	}
	end := s.now.Steady.Add(lease)
	for s.now.Steady.Before(end) {
		silent()
		s.pass(50 * time.Millisecond)
		c.Assert(s.starts(), quicktest.HasLen, 0, quicktest.Commentf("its lease lasts"))
	}
	for range 200 {
		silent()
		s.pass(50 * time.Millisecond)
	}
	again := s.starts()
	c.Assert(again, quicktest.HasLen, 1)
	c.Assert(again[0].To.Target, quicktest.Not(quicktest.Equals), start.To.Target)
}

// A target crashed and came back under its id. An order to start that got no
// answer before may be carried out in the new life until it is fenced.
func TestOrderWithoutAnswerIsAwaitedInTheNewLife(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.ignore(start)
	repeat := s.starts()
	c.Assert(repeat, quicktest.HasLen, 1)
	s.obey(repeat[0])
	s.pass(time.Second)
	s.answerLooks(row{target: start.To.Target, task: start.Task, number: 1, percent: 20})
	rec := s.record(int(start.To.Target[1] - '0'))
	rec.Life = 2
	s.announce(rec)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0)
	c.Assert(s.starts(), quicktest.HasLen, 0, quicktest.Commentf("the first order may start it in the new life"))
	s.pass(50 * time.Millisecond)
	for _, o := range s.looks() {
		s.answerLook(o)
	}
	c.Assert(s.ends(7), quicktest.DeepEquals, []tracker.End{tracker.EndLost})
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// A job is cancelled while the order to start its task is under way. A look that
// was sent before the target had stopped the run tells nothing about it.
func TestLookFromBeforeTheStopSettlesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	s.pass(time.Second)
	s.submit(7, oneTask(cpus(10))) // the order has no answer yet
	s.p.Cancel(host, prefix+definer.JobID(7).String(), func(planner.Answer) {}, s.now)
	s.plan()
	stop := s.stops()[0]
	s.pass(5 * time.Millisecond)
	look := s.looks()[0]
	early := s.report(look) // the target has neither order yet
	s.pass(50 * time.Millisecond)
	s.p.Ordered(&planner.OrderReport{
		Target: stop.To.Target, Life: stop.To.Life, Token: stop.To.Token, Task: stop.Task, Number: stop.Number, Stop: true,
		Sent: s.now.Steady, Limit: stop.Limit, Answered: true, Clock: s.clock(stop.To.Target),
	}, s.now)
	s.p.Looked(early, s.now)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0)
	c.Assert(s.submit(8, oneTask(cpus(10))), quicktest.HasLen, 0, quicktest.Commentf("what is being stopped takes room"))
}

// The same when the order to start has no answer: the stop may have come first.
func TestRunThatWasStoppedBeforeItBeganEndsByALaterLook(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	s.pass(time.Second)
	start := s.submit(7, oneTask(cpus(10)))[0]
	s.p.Cancel(host, prefix+definer.JobID(7).String(), func(planner.Answer) {}, s.now)
	s.plan()
	stop := s.stops()[0]
	s.ignore(start)
	s.pass(5 * time.Millisecond)
	early := s.report(s.looks()[0])
	s.pass(50 * time.Millisecond)
	s.p.Ordered(&planner.OrderReport{
		Target: stop.To.Target, Life: stop.To.Life, Token: stop.To.Token, Task: stop.Task, Number: stop.Number, Stop: true,
		Sent: s.now.Steady, Limit: stop.Limit, Answered: true, Clock: s.clock(stop.To.Target),
	}, s.now)
	s.p.Looked(early, s.now)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0)
	s.pass(10 * time.Millisecond)
	s.answerLooks()
	c.Assert(s.ends(7), quicktest.DeepEquals, []tracker.End{tracker.EndRefused})
}

// An order to start got no answer, and its copy is refused as old: the first was
// carried out and the run has ended. A look from before tells nothing about that.
func TestLookFromBeforeTheRefusalSettlesNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	s.pass(time.Second)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.pass(5 * time.Millisecond)
	early := s.report(s.looks()[0])
	s.pass(50 * time.Millisecond)
	s.ignore(start)
	refused := s.outcome(start, true)
	refused.Refusal = planner.RefusedOld
	s.p.Ordered(refused, s.now)
	s.p.Looked(early, s.now)
	s.plan()
	c.Assert(s.ends(7), quicktest.HasLen, 0, quicktest.Commentf("its end is listed by a later look"))
}
