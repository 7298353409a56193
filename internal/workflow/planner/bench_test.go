package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
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

// BenchmarkRound measures a round in which one target answers a poll and one job is
// submitted while others wait.
func BenchmarkRound(b *testing.B) {
	for _, x := range []struct {
		name         string
		steps, tasks int
		licensed     bool
	}{
		{"idle", 0, 0, false},
		{"tickets=200x10", 200, 10, true},
		{"room=200x10", 200, 10, false},
		{"room=1000x10", 1000, 10, false},
	} {
		b.Run(x.name, func(b *testing.B) {
			s := loadedHarness(b, x.steps, x.tasks, x.licensed)
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
				s.p.Cancel(host, prefix+id.String(), func(planner.Answer) {}, s.now)
			}
			reportPercentiles(b, took)
		})
	}
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
