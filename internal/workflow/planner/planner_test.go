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

// This file holds the test harness, a leader whose targets are simulated by the
// tests, and tests of runs, polls and orders.

const (
	poolName  = definer.PoolName("pool")
	queueName = definer.QueueName("queue")
	host      = "jobs.example"
	prefix    = "/q/"
)

// harness is a leader under test; the test supplies the answers of its targets.
type harness struct {
	c             *quicktest.C
	p             *planner.Planner
	now           planner.Moment
	events        []tracker.Event
	orders        []planner.Action // not yet returned by take
	records       []planner.LogRecord
	clocks        map[tracker.TargetID]time.Time
	slow          float64 // share by which the clocks of targets run slow
	announcements int64
	running       []row // that targets list; see keepRunning
	spaced        int   // sum of Round.PlacementsSpaced
}

var bounds = planner.Bounds{
	MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, CheckpointInterval: 2 * time.Second, RemoteFactor: 3,
	Retention: 2 * time.Minute, PaceDelay: 100 * time.Millisecond, MaxTailViolation: 4 * time.Second, UnavailableAfter: 4500 * time.Millisecond,
}

// newHarness returns a leader of term 1 with one queue and a number of targets of
// 16 processors each, which have answered a poll.
func newHarness(c *quicktest.C, targets int) *harness {
	return newConfiguredHarness(c, targets, planner.Settings{Bounds: bounds})
}

func newConfiguredHarness(c *quicktest.C, targets int, settings planner.Settings) *harness {
	s := &harness{c: c, clocks: make(map[tracker.TargetID]time.Time)}
	s.now = planner.Moment{Monotonic: time.Unix(1000, 0), Wall: registrar.MillisOf(time.Unix(1_800_000_000, 0))}
	s.p = &planner.Planner{State: tracker.New(), Settings: settings}
	s.p.Begin(1, s.now)
	s.p.RaiseFormat(tracker.CurrentFormat, s.now)
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second})
	for i := range targets {
		s.announce(s.record(i + 1))
	}
	s.advance(10 * time.Millisecond)
	s.answerPolls()
	return s
}

// put puts a document with one queue into force.
func (s *harness) put(q definer.Queue) {
	q.Name, q.Host, q.Prefix, q.Pool, q.Timeout = queueName, host, prefix, poolName, 3*time.Second
	version := definer.Version(1)
	if d := s.p.State.Document; d != nil {
		version = d.Version + 1
	}
	s.p.Put(&definer.Document{Version: version, Queues: []definer.Queue{q}, Pools: []definer.Pool{{Name: poolName}}}, func(planner.Answer) {}, s.now)
}

func targetID(n int) tracker.TargetID { return tracker.TargetID(fmt.Sprintf("t%d", n)) }

// record describes target n; two targets share a rack.
func (s *harness) record(n int) tracker.Target {
	rack := fmt.Sprintf("r%d", (n-1)/2)
	return tracker.Target{
		ID: targetID(n), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", n), Zone: "a", Pool: poolName, Rack: rack, Labels: []string{"k", rack},
		Capacity: registrar.Need{CPU: 16000, Memory: 32768},
	}
}

func (s *harness) announce(rec tracker.Target) {
	s.announcements++
	s.p.Announce(&planner.Announcement{Target: rec, Sequence: s.announcements, Clock: 1}, func() {}, s.now)
	s.clocks[rec.ID] = s.now.Monotonic
}

// advance advances the clocks and lets the leader plan every 50 ms.
func (s *harness) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 50*time.Millisecond)
		d -= step
		s.now.Monotonic = s.now.Monotonic.Add(step)
		s.now.Wall = s.now.Wall.Add(step)
		s.plan()
	}
}

func (s *harness) plan() {
	s.p.Plan(s.now)
	r := s.p.Take()
	s.spaced += r.PlacementsSpaced
	s.events = append(s.events, r.Events...)
	s.orders = append(s.orders, r.Immediate...)
	s.records = append(s.records, r.LogRecords...)
	for _, a := range r.AfterCommit {
		if a.Done != nil {
			a.Done()
			continue
		}
		s.orders = append(s.orders, a)
	}
}

// take removes the orders that match and returns them.
func (s *harness) take(match func(planner.Action) bool) []planner.Action {
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

func (s *harness) starts() []*planner.StartOrder {
	var out []*planner.StartOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Start != nil }) {
		out = append(out, a.Start)
	}
	return out
}

func (s *harness) stops() []*planner.StopOrder {
	var out []*planner.StopOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Stop != nil }) {
		out = append(out, a.Stop)
	}
	return out
}

func (s *harness) polls() []*planner.PollOrder {
	var out []*planner.PollOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Poll != nil }) {
		out = append(out, a.Poll)
	}
	return out
}

// clock returns the time on a target's own clock.
func (s *harness) clock(id tracker.TargetID) planner.ClockMillis {
	return s.clockAt(id, s.now.Monotonic)
}

func (s *harness) clockAt(id tracker.TargetID, now time.Time) planner.ClockMillis {
	return planner.ClockMillis(1 + time.Duration(float64(now.Sub(s.clocks[id]))*(1-s.slow)).Milliseconds())
}

// answerPolls answers all polls; each target lists the rows that name it.
func (s *harness) answerPolls(rows ...row) {
	for _, o := range s.polls() {
		s.answerPoll(o, rows...)
	}
}

// row is a run that a target lists, or its end if how is set.
type row struct {
	target  tracker.TargetID
	task    definer.TaskID
	number  tracker.RunNumber
	percent int
	sample  int
	how     tracker.End
}

func (s *harness) answerPoll(o *planner.PollOrder, rows ...row) {
	s.p.PollReported(s.report(o, rows...), s.now)
	s.plan()
}

func (s *harness) report(o *planner.PollOrder, rows ...row) *planner.PollReport {
	id := o.To.Target
	r := &planner.PollReport{
		Target: id, Incarnation: o.To.Incarnation, Answering: o.To.Incarnation, Token: o.To.Token, Sent: s.now.Monotonic, Received: s.now.Monotonic, Answered: true, Clock: s.clock(id),
	}
	for i, x := range rows {
		switch {
		case x.target != id:
		case x.how != 0:
			r.Finished = append(r.Finished, planner.Finished{Sequence: o.Cursor + int64(i) + 1, Task: x.task, Number: x.number, How: x.how})
		default:
			r.Running = append(r.Running, planner.Running{Task: x.task, Number: x.number, Percent: x.percent, Sample: x.sample})
		}
	}
	return r
}

// acceptStart reports that an order to start was carried out.
func (s *harness) acceptStart(o *planner.StartOrder) {
	s.p.OrderReported(s.outcome(o, true), s.now)
	s.plan()
}

// loseAnswer reports that an order to start was not answered.
func (s *harness) loseAnswer(o *planner.StartOrder) {
	s.p.OrderReported(s.outcome(o, false), s.now)
	s.plan()
}

func (s *harness) outcome(o *planner.StartOrder, answered bool) *planner.OrderReport {
	r := &planner.OrderReport{Target: o.To.Target, Incarnation: o.To.Incarnation, Token: o.To.Token, Task: o.Task, Number: o.Number, Answered: answered,
		Sent: s.now.Monotonic.Add(-o.Limit), Limit: o.Limit, Received: s.now.Monotonic}
	if answered {
		r.Clock = s.clock(o.To.Target)
	}
	return r
}

// submit submits a job, which must be accepted, and returns the orders to start.
func (s *harness) submit(id definer.JobID, steps ...definer.Step) []*planner.StartOrder {
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	s.c.Assert(a.Verdict, quicktest.Equals, planner.Accepted, quicktest.Commentf("%s", a.Reason))
	return s.starts()
}

// runEnds returns how the runs of a job have ended so far.
func (s *harness) runEnds(id definer.JobID) []tracker.End {
	var out []tracker.End
	for _, ev := range s.events {
		if e := ev.RunEnded; e != nil && e.Task.Job == id {
			out = append(out, e.How)
		}
	}
	return out
}

// changeTerm makes the same replica leader again in another term.
func (s *harness) changeTerm(term registrar.Term) {
	s.p.State = s.p.State.Clone()
	s.p.Begin(term, s.now)
	s.orders = nil
	s.advance(50 * time.Millisecond)
}

func cpus(n int) registrar.Need {
	return registrar.Need{CPU: registrar.MilliCPU(n * 1000), Memory: 1024}
}

func oneTask(need registrar.Need) definer.Step {
	return definer.Step{Count: 1, Need: need, Estimate: time.Second}
}

func TestPollAnswerOfEarlierTermIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(time.Second)
	old := s.polls()
	c.Assert(old, quicktest.HasLen, 1)
	c.Assert(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, 1) // the order is in flight
	report := s.report(old[0])
	s.changeTerm(3)
	s.p.PollReported(report, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0, quicktest.Commentf("the order may still be carried out"))
	s.answerPolls()
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

func TestOrderOutcomeOfEarlierTermIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(time.Second)
	start := s.submit(7, oneTask(cpus(1)))[0]
	refused := s.outcome(start, true)
	refused.Refusal = planner.RefusedUnhealthy
	s.changeTerm(3)
	s.p.OrderReported(refused, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	c.Assert(s.stops(), quicktest.HasLen, 0)
}

func TestUnresponsiveTargetKeepsItsRunsUntilItsLeaseExpires(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.acceptStart(start)
	lease := time.Duration(start.Deadline-s.clock(start.To.Target)) * time.Millisecond
	losePolls := func() {
		for _, o := range s.polls() {
			if o.To.Target != start.To.Target {
				s.answerPoll(o)
				continue
			}
			r := s.report(o)
			r.Answered = false
			s.p.PollReported(r, s.now)
		}
	}
	end := s.now.Monotonic.Add(lease)
	for s.now.Monotonic.Before(end) {
		losePolls()
		s.advance(50 * time.Millisecond)
		c.Assert(s.starts(), quicktest.HasLen, 0, quicktest.Commentf("its lease has not expired"))
	}
	for range 200 {
		losePolls()
		s.advance(50 * time.Millisecond)
	}
	again := s.starts()
	c.Assert(again, quicktest.HasLen, 1)
	c.Assert(again[0].To.Target, quicktest.Not(quicktest.Equals), start.To.Target)
}

// A target crashes and restarts under the same id. An unanswered order to start
// from before may be carried out by the new incarnation until it has seen the
// present token.
func TestUnansweredOrderMayStartInNewIncarnation(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 2)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.loseAnswer(start)
	repeat := s.starts()
	c.Assert(repeat, quicktest.HasLen, 1)
	s.acceptStart(repeat[0])
	s.advance(time.Second)
	s.answerPolls(row{target: start.To.Target, task: start.Task, number: 1, percent: 20})
	rec := s.record(int(start.To.Target[1] - '0'))
	rec.Incarnation = 2
	s.announce(rec)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	c.Assert(s.starts(), quicktest.HasLen, 0, quicktest.Commentf("the new incarnation may carry out the first order"))
	s.advance(50 * time.Millisecond)
	for _, o := range s.polls() {
		s.answerPoll(o)
	}
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndTargetLost})
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// A job is cancelled while the order to start its task is in flight. A poll that
// was sent before the target stopped the run is not conclusive about the run.
func TestPollSentBeforeStopDoesNotEndRun(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(time.Second)
	s.submit(7, oneTask(cpus(10))) // the order is not answered yet
	s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(7).String()}, func(planner.Answer) {}, s.now)
	s.plan()
	stop := s.stops()[0]
	s.advance(5 * time.Millisecond)
	poll := s.polls()[0]
	early := s.report(poll) // the target has received neither order
	s.advance(50 * time.Millisecond)
	s.p.OrderReported(&planner.OrderReport{
		Target: stop.To.Target, Incarnation: stop.To.Incarnation, Token: stop.To.Token, Task: stop.Task, Number: stop.Number, Stop: true,
		Sent: s.now.Monotonic, Limit: stop.Limit, Answered: true, Received: s.now.Monotonic, Clock: s.clock(stop.To.Target),
	}, s.now)
	s.p.PollReported(early, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	c.Assert(s.submit(8, oneTask(cpus(10))), quicktest.HasLen, 0, quicktest.Commentf("a run that is being stopped is charged"))
}

// As above, but the order to start is not answered: the target may have received
// the stop first.
func TestRunStoppedBeforeItStartedEndsAtALaterPoll(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(time.Second)
	start := s.submit(7, oneTask(cpus(10)))[0]
	s.p.Cancel(planner.Place{Host: host, Path: prefix + definer.JobID(7).String()}, func(planner.Answer) {}, s.now)
	s.plan()
	stop := s.stops()[0]
	s.loseAnswer(start)
	s.advance(5 * time.Millisecond)
	early := s.report(s.polls()[0])
	s.advance(50 * time.Millisecond)
	s.p.OrderReported(&planner.OrderReport{
		Target: stop.To.Target, Incarnation: stop.To.Incarnation, Token: stop.To.Token, Task: stop.Task, Number: stop.Number, Stop: true,
		Sent: s.now.Monotonic, Limit: stop.Limit, Answered: true, Received: s.now.Monotonic, Clock: s.clock(stop.To.Target),
	}, s.now)
	s.p.PollReported(early, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0)
	s.advance(10 * time.Millisecond)
	s.answerPolls()
	c.Assert(s.runEnds(7), quicktest.DeepEquals, []tracker.End{tracker.EndRefused})
}

// An order to start is not answered, and its copy is refused as old: the first one
// was carried out and the run has ended. A poll sent before is not conclusive about
// that end.
func TestPollSentBeforeRefusalDoesNotEndRun(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.advance(time.Second)
	start := s.submit(7, oneTask(cpus(1)))[0]
	s.advance(5 * time.Millisecond)
	early := s.report(s.polls()[0])
	s.advance(50 * time.Millisecond)
	s.loseAnswer(start)
	refused := s.outcome(start, true)
	refused.Refusal = planner.RefusedOld
	s.p.OrderReported(refused, s.now)
	s.p.PollReported(early, s.now)
	s.plan()
	c.Assert(s.runEnds(7), quicktest.HasLen, 0, quicktest.Commentf("a later poll lists its end"))
}
