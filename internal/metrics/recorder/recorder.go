// Package recorder counts what the daemon does, for Prometheus: histograms of
// waiting and answering times for each caller and class, and gauges of the
// state.
package recorder

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/gateway"
)

const namespace = "masticroad"

// Recorder holds the metrics of one daemon.
type Recorder struct {
	registry *prometheus.Registry
	wait     *prometheus.HistogramVec
	total    *prometheus.HistogramVec
	outcomes *prometheus.CounterVec
}

// New returns a recorder with the process's own metrics.
func New() *Recorder {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16) // 1 ms to 33 s
	r := &Recorder{
		registry: prometheus.NewRegistry(),
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "wait_seconds", Help: "Time from request to start.", Buckets: buckets,
		}, []string{"caller", "class"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "answer_seconds", Help: "Time from request to answer.", Buckets: buckets,
		}, []string{"caller", "class"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "outcomes_total", Help: "Ended requests by outcome.",
		}, []string{"caller", "class", "outcome"}),
	}
	r.registry.MustRegister(r.wait, r.total, r.outcomes, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Observe takes in a finished request.
func (r *Recorder) Observe(o gateway.Observation) {
	caller, class := string(o.Caller), o.Class.String()
	if o.Started {
		r.wait.WithLabelValues(caller, class).Observe(o.Wait.Seconds())
	}
	r.total.WithLabelValues(caller, class).Observe(o.Total.Seconds())
	r.outcomes.WithLabelValues(caller, class, o.Outcome.String()).Inc()
}

// ObserveJob takes in the start of a job's task.
func (r *Recorder) ObserveJob(caller registrar.CallerName, class registrar.Class, wait time.Duration) {
	r.wait.WithLabelValues(string(caller), class.String()).Observe(wait.Seconds())
}

// LabeledGauge adds a gauge with fixed labels whose value f returns.
func (r *Recorder) LabeledGauge(name, help string, labels map[string]string, f func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, f))
}

// Gauge adds a gauge whose value f returns.
func (r *Recorder) Gauge(name, help string, f func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

// Counter adds a counter whose value f returns.
func (r *Recorder) Counter(name, help string, labels map[string]string, f func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
	}, f))
}

// Handler serves the metrics.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{Timeout: scrapeTimeout})
}

const scrapeTimeout = 5 * time.Second
