// Package meter counts what a daemon of a cell of workflows does, for
// Prometheus: how jobs of each queue were served, calls of callers and targets,
// calls to targets, and what the leader has before it.
package meter

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/peer/acceptor"
	"masticroad/internal/peer/connector"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds all metrics. A nil *Meter counts nothing.

const namespace = "masticroad"

// Meter holds the metrics of one daemon.
type Meter struct {
	registry *prometheus.Registry
	jobs     *prometheus.HistogramVec
	waits    *prometheus.HistogramVec
	rejected *prometheus.CounterVec
	// workspaceWaits has series only while a document declares workspaces.
	workspaceWaits *prometheus.HistogramVec
	late           *prometheus.CounterVec
	calls          *prometheus.HistogramVec
	undone         *prometheus.CounterVec // calls that were not decided
	orders         *prometheus.HistogramVec
	rounds         prometheus.Histogram
	ends           *prometheus.CounterVec
	failures       *prometheus.CounterVec
	ignored        *prometheus.CounterVec
	dropped        prometheus.Counter
	unknown        prometheus.Counter
	foreign        prometheus.Counter
	failed         *prometheus.CounterVec
	format         *prometheus.GaugeVec // without labels, as only replicas show it
	leading        prometheus.Gauge
	voters         prometheus.Gauge
	differs        prometheus.Counter
	behind         prometheus.Gauge
	load           atomic.Pointer[planner.Load]
}

// New returns a meter with the process's own metrics.
func New() *Meter {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16) // 1 ms to 33 s
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	}
	m := &Meter{
		registry:       prometheus.NewRegistry(),
		jobs:           histogram("job_seconds", "Time from a job's acceptance to its end.", "queue", "state"),
		waits:          histogram("step_wait_seconds", "Time from when a step could begin until each of its tasks was placed.", "queue"),
		workspaceWaits: histogram("workspace_wait_seconds", "Time from when a step of a workspace could begin until each of its tasks was placed.", "workspace"),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "jobs_rejected_total", Help: "Submissions that were rejected for want of room, by reason, at the leader.",
		}, []string{"queue", "workspace", "reason"}),
		calls:  histogram("call_seconds", "Time of calls passed on to the leader.", "kind", "verdict"),
		orders: histogram("order_seconds", "Time of calls to targets and services.", "kind", "outcome"),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "jobs_late_total", Help: "Jobs that took longer than their objective by the declared run times.",
		}, []string{"queue"}),
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "runs_ended_total", Help: "Runs by how they ended.",
		}, []string{"how"}),
		undone: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_not_decided_total", Help: "Calls that the leader has not decided, by the answer and why it is certain or not.",
		}, []string{"kind", "verdict", "cause"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_failed_total", Help: "Calls to targets and services without an answer, by cause.",
		}, []string{"kind", "cause"}),
		ignored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_claims_ignored_total", Help: "Calls about targets that had no effect, by what they claimed, at the leader.",
		}, []string{"claim"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "withdrawals_dropped_total", Help: "Cancellations of unknown jobs that were forgotten early, as there were too many, at the leader.",
		}),
		unknown: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_unauthorized_total", Help: "Calls refused as they had no valid key, at the leader.",
		}),
		foreign: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_forbidden_total", Help: "Calls refused as their job belongs to another workspace, at the leader.",
		}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "failed_runs_total", Help: "Failed runs of tasks that are not long-running, by whether they used up an attempt of a task or gang, at the leader.",
		}, []string{"counted"}),
		format: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "format", Help: "Number of the rules by which this replica applies the log.",
		}, nil),
		rounds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "round_seconds", Help: "Time that the leader decides in one round.",
			Buckets: prometheus.ExponentialBuckets(0.00001, 2, 16), // 10 us to 0.3 s
		}),
		leading: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "leading", Help: "1 while this daemon leads."}),
	}
	m.voters = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "voters", Help: "Voters of the log, as this replica knows them."})
	m.differs = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "state_differences_total", Help: "Comparisons in which the state of this replica differed from the leader's.",
	})
	m.behind = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "replicas_left_behind", Help: "Replicas that get no entries since their versions do not follow the format in force, at the leader.",
	})
	m.load.Store(&planner.Load{})
	m.registry.MustRegister(m.jobs, m.waits, m.rejected, m.workspaceWaits, m.calls, m.undone, m.orders, m.late, m.ends, m.failures, m.ignored, m.dropped, m.failed, m.format, m.rounds, m.leading, m.voters, m.differs, m.behind, m.unknown, m.foreign, workspaces{m},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.gauges()
	return m
}

func (m *Meter) gauges() {
	gauge := func(name, help string, value func(*planner.Load) int) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value(m.load.Load())) }))
	}
	gauge("tasks_waiting", "Tasks that could run and have no run, at the leader.", func(l *planner.Load) int { return l.Waiting })
	gauge("runs", "Runs that have not ended, at the leader.", func(l *planner.Load) int { return l.Running })
	gauge("jobs", "Jobs that have not ended, at the leader.", func(l *planner.Load) int { return l.Jobs })
	gauge("targets", "Targets, at the leader.", func(l *planner.Load) int { return l.Targets })
	gauge("targets_silent", "Targets that do not answer, at the leader.", func(l *planner.Load) int { return l.Unresponsive })
	gauge("targets_suspected", "Targets that get no new work for a time, at the leader.", func(l *planner.Load) int { return l.Quarantined })
	gauge("tasks_untracked", "Tasks that neither have a run nor wait for one, at the leader. It should be 0.", func(l *planner.Load) int { return l.Untracked })
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "longest_outage_seconds", Help: "Longest time that a task of a long-running job has been without a run, at the leader.",
	}, func() float64 { return m.load.Load().LongestOutage.Seconds() }))
	gauge("withdrawals", "Cancellations of unknown jobs that are remembered, at the leader.", func(l *planner.Load) int { return l.Withdrawals })
	gauge("licence_calls", "Calls of the licensing service without an answer, at the leader.", func(l *planner.Load) int { return l.TicketRequests })
}

// Job takes in the end of a job.
func (m *Meter) Job(e *planner.JobEnd) {
	if m == nil {
		return
	}
	queue := string(e.Queue)
	m.jobs.WithLabelValues(queue, e.State.String()).Observe(e.Duration.Seconds())
	for _, wait := range e.Waits {
		m.waits.WithLabelValues(queue).Observe(wait.Seconds())
		if e.Workspace != "" {
			m.workspaceWaits.WithLabelValues(string(e.Workspace)).Observe(wait.Seconds())
		}
	}
	if e.Late {
		m.late.WithLabelValues(queue).Inc()
	}
}

// Rejection takes in a submission that was rejected for want of room.
func (m *Meter) Rejection(r planner.Rejection) {
	if m != nil {
		m.rejected.WithLabelValues(string(r.Queue), string(r.Workspace), r.Reason.String()).Inc()
	}
}

// Run takes in the end of a run.
func (m *Meter) Run(how tracker.End) {
	if m != nil {
		m.ends.WithLabelValues(how.String()).Inc()
	}
}

// ClaimsIgnored takes in calls about targets that had no effect.
func (m *Meter) ClaimsIgnored(claim string, n int) {
	if m != nil && n > 0 {
		m.ignored.WithLabelValues(claim).Add(float64(n))
	}
}

// WithdrawalsDropped takes in cancellations of unknown jobs that were forgotten early.
func (m *Meter) WithdrawalsDropped(n int) {
	if m != nil {
		m.dropped.Add(float64(n))
	}
}

// Unauthorized takes in calls without a valid key.
func (m *Meter) Unauthorized(n int) {
	if m != nil {
		m.unknown.Add(float64(n))
	}
}

// Forbidden takes in calls for jobs of another workspace.
func (m *Meter) Forbidden(n int) {
	if m != nil {
		m.foreign.Add(float64(n))
	}
}

// FailedRuns takes in failed runs by whether they used up an attempt.
func (m *Meter) FailedRuns(n planner.FailedRuns) {
	if m != nil {
		m.failed.WithLabelValues("true").Add(float64(n.Counted))
		m.failed.WithLabelValues("false").Add(float64(n.Uncounted))
	}
}

// SetFormat tells the format in force at this replica.
func (m *Meter) SetFormat(f tracker.Format) {
	if m != nil {
		m.format.WithLabelValues().Set(float64(f))
	}
}

// Call takes in a call that was passed on to the leader.
func (m *Meter) Call(kind, verdict string, took time.Duration) {
	if m != nil {
		m.calls.WithLabelValues(kind, verdict).Observe(took.Seconds())
	}
}

// CallNotDecided counts a call that the leader has not decided.
func (m *Meter) CallNotDecided(kind, verdict, cause string) {
	if m != nil {
		m.undone.WithLabelValues(kind, verdict, cause).Inc()
	}
}

// Order takes in a call to a target or a service.
func (m *Meter) Order(kind, outcome string, took time.Duration) {
	if m != nil {
		m.orders.WithLabelValues(kind, outcome).Observe(took.Seconds())
	}
}

// CallFailed takes in a call to a target or a service without an answer.
func (m *Meter) CallFailed(kind, cause string) {
	if m != nil {
		m.failures.WithLabelValues(kind, cause).Inc()
	}
}

// Pool adds the gauges and counters of a pool of connections.
func (m *Meter) Pool(name string, stats func() connector.Stats) {
	m.connections(name, "open", "Connections that are open.", func() float64 { return float64(stats().Open) })
	m.connections(name, "idle", "Connections without a request.", func() float64 { return float64(stats().Idle) })
	m.connections(name, "waiting", "Requests that wait for a connection.", func() float64 { return float64(stats().Waiting) })
	m.connections(name, "dialled_total", "Connections that were opened.", func() float64 { return float64(stats().Dialled) })
	m.connections(name, "closed_for_room_total", "Idle connections that were closed for another one.", func() float64 { return float64(stats().ClosedForRoom) })
}

// Listener adds the gauges and counters of a bounded listener.
func (m *Meter) Listener(name string, stats func() acceptor.Stats) {
	m.connections(name, "open", "Connections that are open.", func() float64 { return float64(stats().Open) })
	m.connections(name, "idle", "Connections without a request.", func() float64 { return float64(stats().Idle) })
	m.connections(name, "closed_for_room_total", "Idle connections that were closed for another one.", func() float64 { return float64(stats().ClosedForRoom) })
	m.connections(name, "cut_for_room_total", "Connections that were closed inside a request for another one.", func() float64 { return float64(stats().CutForRoom) })
}

// Memory adds the gauges and counters of the memory for requests.
func (m *Meter) Memory(stats func() budgeter.Stats) {
	if m == nil {
		return
	}
	gauge := func(name, help string, value func(budgeter.Stats) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Subsystem: "request_memory", Name: name, Help: help},
			func() float64 { return value(stats()) }))
	}
	gauge("total_bytes", "Memory for requests of callers.", func(s budgeter.Stats) float64 { return float64(s.Total) })
	gauge("taken_bytes", "Memory that requests take now.", func(s budgeter.Stats) float64 { return float64(s.Taken) })
	gauge("taken_most_bytes", "Most memory that requests have taken.", func(s budgeter.Stats) float64 { return float64(s.HighWater) })
	gauge("returned_bytes", "Memory that requests have returned and that is not collected as garbage yet.", func(s budgeter.Stats) float64 { return float64(s.Returned) })
	gauge("waiting", "Requests that wait for memory.", func(s budgeter.Stats) float64 { return float64(s.Waiting) })
	for reason, err := range budgeter.Reasons() {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Subsystem: "request_memory", Name: "refused_total", Help: "Requests that were refused or cut for want of memory, by reason.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(stats().Refusals[err]) }))
	}
}

func (m *Meter) connections(purpose, name, help string, value func() float64) {
	if m == nil {
		return
	}
	opts := prometheus.Opts{Namespace: namespace, Subsystem: "connections", Name: name, Help: help, ConstLabels: prometheus.Labels{"purpose": purpose}}
	if strings.HasSuffix(name, "_total") {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts(opts), value))
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts(opts), value))
}

// Descriptors tells how the descriptors of the process are divided.
func (m *Meter) Descriptors(limit int, shares map[string]int) {
	if m == nil {
		return
	}
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "descriptors_bound", Help: "Most descriptors for a purpose; Limit is that of the process.",
	}, []string{"purpose"})
	gauge.WithLabelValues("Limit").Set(float64(limit))
	for name, n := range shares {
		gauge.WithLabelValues(name).Set(float64(n))
	}
	m.registry.MustRegister(gauge)
}

// Build tells which build this daemon runs. It may be called once.
func (m *Meter) Build(revision, id string) {
	if m == nil {
		return
	}
	gauge := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace, Name: "build_info", Help: "1, labelled with the build of this daemon.",
		ConstLabels: prometheus.Labels{"revision": revision, "build": id},
	})
	gauge.Set(1)
	m.registry.MustRegister(gauge)
}

// Round takes in a round of the leader.
func (m *Meter) Round(took time.Duration) {
	if m != nil {
		m.rounds.Observe(took.Seconds())
	}
}

// Leading tells whether this daemon leads. What it had before it is forgotten
// when it does not.
func (m *Meter) Leading(leads bool) {
	if m == nil {
		return
	}
	if leads {
		m.leading.Set(1)
		return
	}
	m.leading.Set(0)
	m.load.Store(&planner.Load{})
}

// StateDiffers counts a comparison in which this replica's state differed from the leader's.
func (m *Meter) StateDiffers() {
	if m != nil {
		m.differs.Inc()
	}
}

// SetLeftBehind tells how many replicas get no entries because of their format.
func (m *Meter) SetLeftBehind(n int) {
	if m != nil {
		m.behind.Set(float64(n))
	}
}

// SetVoters tells how many voters the log has.
func (m *Meter) SetVoters(n int) {
	if m != nil {
		m.voters.Set(float64(n))
	}
}

// SetLoad tells what the leader has before it.
func (m *Meter) SetLoad(l planner.Load) {
	if m != nil {
		m.load.Store(&l)
	}
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: scrapeTimeout})
}

const scrapeTimeout = 5 * time.Second
