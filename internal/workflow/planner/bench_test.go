package planner_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file benchmarks rounds of decisions at the design size of a cell.

const (
	manyTargets = 580
	manyProxies = 43 // daemons through which tickets are requested
)

// loadedHarness returns a leader with many targets and a number of waiting steps
// with some tasks each. They wait for tickets if the queue needs them, else for
// capacity.
func loadedHarness(b *testing.B, steps, tasks int, licensed bool) *harness {
	s := newHarness(quicktest.New(b), manyTargets)
	q := definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second}
	if licensed {
		q.Licence = definer.Licence{Required: true, BaseLatency: 28 * time.Millisecond, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2 * time.Second}
	}
	s.put(q)
	for i := range manyProxies {
		s.p.AddLicenceProxy(planner.LicenceProxyID(fmt.Sprint("vm", i)), s.now)
	}
	if steps > 0 && !licensed {
		for n := range manyTargets {
			s.submitUnchecked(definer.JobID(n+1), definer.Step{Count: 1, Need: cpus(15), Estimate: time.Minute})
		}
		s.plan()
	}
	for n := range steps {
		s.submitUnchecked(definer.JobID(10_000+n), definer.Step{Count: tasks, Need: cpus(2 + n%5), Estimate: time.Second})
	}
	s.plan()
	s.orders = nil
	return s
}

func (s *harness) submitUnchecked(id definer.JobID, steps ...definer.Step) {
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}},
		func(planner.Answer) {}, s.now)
}

// declareWorkspaces puts the present document into force with a number of workspaces. Jobs have none.
func (s *harness) declareWorkspaces(n int) {
	if n == 0 {
		return
	}
	d := *s.p.State.Document
	d.Version++
	d.Queues = slices.Clone(d.Queues)
	d.Queues[0].Anonymous = true
	for i := range n {
		d.Workspaces = append(d.Workspaces, definer.Workspace{Name: definer.WorkspaceName(fmt.Sprint("w", i)), Weight: 2})
	}
	s.p.Put(&d, func(planner.Answer) {}, s.now)
}

// BenchmarkRound measures a round in which one target answers a poll and one job is
// submitted while others wait.
func BenchmarkRound(b *testing.B) {
	for _, x := range []struct {
		name         string
		steps, tasks int
		licensed     bool
		workspaces   int
	}{
		{"idle", 0, 0, false, 0},
		{"tickets=200x10", 200, 10, true, 0},
		{"room=200x10", 200, 10, false, 0},
		{"room=1000x10", 1000, 10, false, 0},
		{"room=200x10,workspaces", 200, 10, false, 20},
		{"room=1000x10,workspaces", 1000, 10, false, 20},
	} {
		b.Run(x.name, func(b *testing.B) {
			s := loadedHarness(b, x.steps, x.tasks, x.licensed)
			s.declareWorkspaces(x.workspaces)
			poll := &planner.PollOrder{To: planner.Destination{Target: targetID(1), Incarnation: 1, Token: 1 << 16}}
			var took []time.Duration
			id := definer.JobID(1 << 40)
			for b.Loop() {
				s.now.Monotonic = s.now.Monotonic.Add(5 * time.Millisecond)
				s.now.Wall = s.now.Wall.Add(5 * time.Millisecond)
				id++
				begun := time.Now()
				s.p.PollReported(s.report(poll), s.now)
				s.submitUnchecked(id, oneTask(cpus(2)))
				s.p.Plan(s.now)
				s.p.Take()
				took = append(took, time.Since(begun))
				s.p.Cancel(planner.Place{Host: host, Path: prefix + id.String()}, func(planner.Answer) {}, s.now)
			}
			reportPercentiles(b, took)
		})
	}
}

// BenchmarkBacklog measures rounds at the size of a large cell while many steps wait for
// tickets and capacity. The licensing service admits a third of the targets to a step and
// answers within a second. In each round some runs end.
func BenchmarkBacklog(b *testing.B) {
	for _, steps := range []int{100, 1000, 3000} {
		b.Run(fmt.Sprintf("steps=%dx13", steps), func(b *testing.B) {
			cell := newBacklog(b, steps)
			var took []time.Duration
			for b.Loop() {
				took = append(took, cell.round())
			}
			reportPercentiles(b, took)
		})
	}
}

// BenchmarkMixedBacklog measures rounds at the size of the largest cell: an urgent queue and a
// batch queue with long calls, each of which needs tickets, and 20 workspaces.
func BenchmarkMixedBacklog(b *testing.B) {
	for _, steps := range []int{300, 2000} {
		b.Run(fmt.Sprintf("steps=%dx10", steps), func(b *testing.B) {
			cell := newMixedBacklog(b, steps)
			var took []time.Duration
			for b.Loop() {
				took = append(took, cell.round())
			}
			reportPercentiles(b, took)
		})
	}
}

const (
	largestTargets    = 3000
	largestProxies    = 300
	largestWorkspaces = 20
	mixedTasks        = 10
)

// newMixedBacklog returns a full cell with a backlog of steps of both queues. As many jobs are
// submitted as end.
func newMixedBacklog(b *testing.B, steps int) *backlog {
	s := &backlog{harness: newHarness(quicktest.New(b), largestTargets), cursors: make(map[tracker.TargetID]int64)}
	queue := func(name definer.QueueName, priority int, call time.Duration) definer.Queue {
		return definer.Queue{
			Name: name, Host: host, Prefix: "/" + string(name) + "/", Pool: poolName, Priority: priority, MaxAttempts: 2, Slack: 2, Grace: time.Second,
			Licence: definer.Licence{Required: true, BaseLatency: call, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2500 * time.Millisecond},
		}
	}
	document := &definer.Document{Version: 9, Pools: []definer.Pool{{Name: poolName}}, Queues: []definer.Queue{queue(urgentQueue, 0, 20*time.Millisecond), queue(batchQueue, 2, 400*time.Millisecond)}}
	for i := range largestWorkspaces {
		document.Workspaces = append(document.Workspaces, definer.Workspace{Name: definer.WorkspaceName(fmt.Sprint("w", i)), Keys: []definer.Key{definer.Key(fmt.Sprint("key", i))}, Weight: 10})
	}
	s.p.Put(document, func(planner.Answer) {}, s.now)
	for i := range largestProxies {
		s.p.AddLicenceProxy(planner.LicenceProxyID(fmt.Sprint("vm", i)), s.now)
	}
	n := 0
	submit := func() {
		queue, need := urgentQueue, cpus(2+n%5)
		if n%3 == 0 {
			queue, need = batchQueue, cpus(8+n%5)
		}
		id := definer.JobID(10_000 + n)
		s.p.Submit(&planner.Submission{Host: host, Path: "/" + string(queue) + "/" + id.String(), Credential: planner.Credential{Key: definer.Key(fmt.Sprint("key", n%largestWorkspaces))},
			Job: &definer.Job{ID: id, Spec: "spec", Steps: []definer.Step{{Count: mixedTasks, Need: need, Estimate: 20 * time.Second}}}}, func(planner.Answer) {}, s.now)
		n++
	}
	for range steps + 700 {
		submit()
	}
	rounds := 0
	s.beforeRound = func() {
		if rounds++; rounds%2 == 0 {
			submit()
		}
	}
	for range 300 {
		s.round()
	}
	return s
}

const (
	largeTargets = 1100
	largeProxies = 154
	largeTasks   = 13 // of a step
	endsPerRound = 7  // 1,400 a second
)

// backlog is a full cell with a backlog of licensed steps.
type backlog struct {
	*harness
	running  []*planner.StartOrder
	requests []laterTickets
	polls    []laterPoll
	ended    int
	cursors  map[tracker.TargetID]int64

	beforeRound func() // nil: nothing
}

type laterPoll struct {
	order *planner.PollOrder
	at    time.Time
}

type laterTickets struct {
	request *planner.TicketRequest
	at      time.Time
}

func newBacklog(b *testing.B, steps int) *backlog {
	s := &backlog{harness: newHarness(quicktest.New(b), largeTargets), cursors: make(map[tracker.TargetID]int64)}
	s.put(definer.Queue{MaxAttempts: 2, Slack: 1.5, Grace: 400 * time.Millisecond, Licence: definer.Licence{
		Required: true, BaseLatency: 28 * time.Millisecond, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2500 * time.Millisecond}})
	for i := range largeProxies {
		s.p.AddLicenceProxy(planner.LicenceProxyID(fmt.Sprint("vm", i)), s.now)
	}
	for n := range steps {
		s.submitUnchecked(definer.JobID(10_000+n), definer.Step{Count: largeTasks, Need: cpus(2 + n%5), Estimate: time.Second})
	}
	for range 400 {
		s.round()
	}
	return s
}

// round answers what is due, lets a run end, and returns how long the leader decided.
func (s *backlog) round() time.Duration {
	s.now.Monotonic = s.now.Monotonic.Add(5 * time.Millisecond)
	s.now.Wall = s.now.Wall.Add(5 * time.Millisecond)
	for _, a := range s.orders {
		switch {
		case a.TicketRequest != nil:
			s.requests = append(s.requests, laterTickets{a.TicketRequest, s.now.Monotonic.Add(50 * time.Millisecond)})
		case a.Start != nil:
			s.running = append(s.running, a.Start)
		case a.Poll != nil:
			s.polls = append(s.polls, laterPoll{a.Poll, s.now.Monotonic.Add(500 * time.Millisecond)})
		}
	}
	for len(s.polls) > 0 && !s.polls[0].at.After(s.now.Monotonic) {
		r := s.report(s.polls[0].order)
		r.Partial = true // it still has its runs
		s.p.PollReported(r, s.now)
		s.polls = s.polls[1:]
	}
	begun := time.Now()
	if s.beforeRound != nil {
		s.beforeRound()
	}
	for len(s.requests) > 0 && !s.requests[0].at.After(s.now.Monotonic) {
		o := s.requests[0].request
		s.requests = s.requests[1:]
		r := &planner.TicketReport{ID: o.ID, Answered: true, Admitted: make(map[tracker.TargetID]string)}
		for _, id := range o.Targets {
			if admits(o.Step, id) {
				r.Admitted[id] = "ticket"
			}
		}
		s.p.TicketsReported(r, s.now)
	}
	for _, o := range s.running[s.ended:min(s.ended+endsPerRound, len(s.running))] {
		s.p.OrderReported(s.outcome(o, true), s.now)
		s.cursors[o.To.Target]++
		r := s.report(&planner.PollOrder{To: o.To})
		r.Partial = true // the others still run
		r.Finished = []planner.Finished{{Sequence: s.cursors[o.To.Target], Task: o.Task, Number: o.Number, How: tracker.EndDone}}
		s.p.PollReported(r, s.now)
		s.ended++
	}
	s.p.Plan(s.now)
	r := s.p.Take()
	took := time.Since(begun)
	s.orders = append(s.orders[:0], r.Immediate...)
	for _, a := range r.AfterCommit {
		if a.Done == nil {
			s.orders = append(s.orders, a)
		}
	}
	return took
}

// admits reports whether the licensing service admits a step to a target.
func admits(step definer.StepID, id tracker.TargetID) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, step, id) // never fails
	return h.Sum32()%3 == 0
}

func reportPercentiles(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
}

// BenchmarkRoundWithWaitingLongRunningSteps is BenchmarkRound while long-running
// steps wait for a run in a full cell.
func BenchmarkRoundWithWaitingLongRunningSteps(b *testing.B) {
	for _, x := range []struct {
		name     string
		steps    int
		licensed bool
	}{
		{"room=100x10", 100, false},
		{"tickets=100x10", 100, true},
	} {
		b.Run(x.name, func(b *testing.B) {
			s := loadedHarness(b, 1, 1, false)
			if x.licensed {
				s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second,
					Licence: definer.Licence{Required: true, BaseLatency: 28 * time.Millisecond, LatencyPerTarget: 400 * time.Microsecond, TicketValidity: 2 * time.Second}})
			}
			for n := range x.steps {
				s.submitUnchecked(definer.JobID(20_000+n), definer.Step{Count: 10, Need: cpus(2 + n%5), LongRunning: true})
			}
			s.now.Monotonic = s.now.Monotonic.Add(7 * time.Second)
			s.plan()
			poll := &planner.PollOrder{To: planner.Destination{Target: targetID(1), Incarnation: 1, Token: 1 << 16}}
			var took []time.Duration
			for b.Loop() {
				s.now.Monotonic = s.now.Monotonic.Add(5 * time.Millisecond)
				s.now.Wall = s.now.Wall.Add(5 * time.Millisecond)
				begun := time.Now()
				s.p.PollReported(s.report(poll), s.now)
				s.p.Plan(s.now)
				s.p.Take()
				took = append(took, time.Since(begun))
			}
			reportPercentiles(b, took)
		})
	}
}

// BenchmarkLoad measures the count that is taken for the metrics.
func BenchmarkLoad(b *testing.B) {
	s := loadedHarness(b, 1000, 10, false)
	for b.Loop() {
		s.p.Load(s.now)
	}
}

// BenchmarkInterference measures a pass that starts 3 tasks in a half-full cell, with
// what is learned about interference and without.
func BenchmarkInterference(b *testing.B) {
	for _, setting := range []planner.Interference{planner.IgnoreInterference, planner.ObserveInterference, planner.AvoidInterference} {
		b.Run(setting.String(), func(b *testing.B) {
			w := newInterferingWorld(quicktest.New(b), 350, setting, trueRatios)
			w.run(20*time.Second, 600)
			known := w.p.Load(w.now).Interfering
			var took []time.Duration
			for b.Loop() {
				w.arrive()
				begun := time.Now()
				w.p.Plan(w.now)
				took = append(took, time.Since(begun))
				id := definer.JobID(w.nextJob - 1)
				w.p.Cancel(planner.Place{Host: host, Path: prefix + id.String()}, func(planner.Answer) {}, w.now)
				w.plan()
				w.orders = nil
			}
			reportPercentiles(b, took)
			b.ReportMetric(float64(known), "pairs")
		})
	}
}
