package runner

import (
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/daemon/identifier"
	"masticroad/internal/peer/acceptor"
	"masticroad/internal/peer/replica"
	"masticroad/internal/state/replicator"
)

// This file registers the metrics of the daemon's components.

// registerPeerTraffic registers counters of the bytes exchanged with one peer, in
// any region.
func (r *Runner) registerPeerTraffic(name registrar.DaemonName) {
	t := r.traffic.Of(name)
	help := "Bytes between daemons by peer."
	sent := map[string]string{"direction": "sent", "peer": string(name)}
	received := map[string]string{"direction": "received", "peer": string(name)}
	r.metrics.Counter("peer_bytes_total", help, sent, func() float64 { return float64(t.Sent.Load()) })
	r.metrics.Counter("peer_bytes_total", help, received, func() float64 { return float64(t.Received.Load()) })
}

// registerMetrics registers the metrics that are read at scrape time. Those of
// the leader's decisions are 0 on other daemons.
func (r *Runner) registerMetrics() {
	m := r.metrics
	b := identifier.Build()
	m.LabeledGauge("build_info", "1, labelled with the build of this daemon.", map[string]string{"revision": b.Revision, "build": b.ID}, func() float64 { return 1 })
	for class := range registrar.ClassCount {
		m.LabeledGauge("queue_length", "Waiting work by class, at the leader.", map[string]string{"class": registrar.Class(class).String()},
			func() float64 { return float64(r.controller.Load().Queued[class]) })
	}
	m.Gauge("packing_ratio", "Share of the scarcest resource that is charged, at the leader.", func() float64 { return r.controller.Load().Packing })
	m.Gauge("targets_alive", "Targets that hold a lease, at the leader.", func() float64 { return float64(r.controller.Load().Targets) })
	m.Gauge("targets_quarantined", "Targets in quarantine, at the leader.", func() float64 { return float64(r.controller.Load().Quarantined) })
	m.Gauge("daemons_leased", "Daemons that hold a lease, at the leader.", func() float64 { return float64(r.controller.Load().Daemons) })
	r.registerPeerTraffic(replica.Incoming)
	for _, p := range r.Settings.Peers {
		r.registerPeerTraffic(p.Name)
	}
	m.Gauge("leader", "1 while this daemon leads.", func() float64 {
		if r.node.Status().Role == replicator.Leader {
			return 1
		}
		return 0
	})
	m.Gauge("term", "Election term.", func() float64 { return float64(r.node.Status().Term) })
	m.Gauge("revision", "Configuration revision in force here.", func() float64 { return float64(r.controller.View().Revision) })
	m.Gauge("leased", "1 while this daemon's lease is in force.", func() float64 {
		if r.gateway.Leased() {
			return 1
		}
		return 0
	})
	m.Gauge("requests_in_flight", "Requests that wait for their outcome.", func() float64 {
		n, _ := r.gateway.InFlight()
		return float64(n)
	})
	m.Gauge("attempts_in_flight", "Attempts that this daemon has started.", func() float64 {
		_, n := r.gateway.InFlight()
		return float64(n)
	})
	m.Counter("control_bytes_total", "Bytes between daemons.", map[string]string{"direction": "sent"}, func() float64 { return float64(r.traffic.Sent.Load()) })
	m.Counter("control_bytes_total", "Bytes between daemons.", map[string]string{"direction": "received"}, func() float64 { return float64(r.traffic.Received.Load()) })
}

// registerRequestMetrics adds the metrics of connections and of the memory for requests.
func (r *Runner) registerRequestMetrics(l *acceptor.Listener) {
	m := r.metrics
	m.Gauge("connections_open", "Connections of callers, targets and operators.", func() float64 { return float64(l.Stats().Open) })
	m.Counter("connections_closed_for_room_total", "Idle connections that were closed for another one.", nil, func() float64 { return float64(l.Stats().ClosedForRoom) })
	m.Counter("connections_cut_for_room_total", "Connections that were closed inside a request for another one.", nil, func() float64 { return float64(l.Stats().CutForRoom) })
	m.Gauge("request_memory_total_bytes", "Memory for requests.", func() float64 { return float64(r.budget.Total) })
	m.Gauge("request_memory_taken_bytes", "Memory that requests take now.", func() float64 { return float64(r.budget.Stats().Taken) })
	m.Gauge("request_memory_taken_most_bytes", "Most memory that requests have taken.", func() float64 { return float64(r.budget.Stats().HighWater) })
	m.Gauge("request_memory_waiting", "Requests that wait for memory.", func() float64 { return float64(r.budget.Stats().Waiting) })
	for reason, err := range budgeter.Reasons() {
		m.Counter("request_memory_refused_total", "Requests that were refused or cut for want of memory, by reason.", map[string]string{"reason": reason},
			func() float64 { return float64(r.budget.Stats().Refusals[err]) })
	}
}
