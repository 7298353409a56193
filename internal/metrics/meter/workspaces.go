package meter

import "github.com/prometheus/client_golang/prometheus"

// This file shows what workspaces use. Which ones there are changes with the document.

var (
	usageDesc   = prometheus.NewDesc(namespace+"_workspace_usage", "What may be running of a workspace, at the leader, by resource.", []string{"workspace", "resource"}, nil)
	limitDesc   = prometheus.NewDesc(namespace+"_workspace_limit", "What a workspace may use in total, at the leader, by resource. 0: no limit.", []string{"workspace", "resource"}, nil)
	shareDesc   = prometheus.NewDesc(namespace+"_workspace_share", "Part of a pool that the runs of a workspace take, by the resource of which they take most, at the leader.", []string{"workspace"}, nil)
	waitingDesc = prometheus.NewDesc(namespace+"_workspace_tasks_waiting", "Tasks of a workspace that could run and have no run, at the leader.", []string{"workspace"}, nil)
)

// workspaces collects the usage, the limits and the shares of workspaces from the latest load.
type workspaces struct{ meter *Meter }

// Describe implements prometheus.Collector.
func (w workspaces) Describe(ch chan<- *prometheus.Desc) {
	ch <- usageDesc
	ch <- limitDesc
	ch <- shareDesc
	ch <- waitingDesc
}

// Collect implements prometheus.Collector.
func (w workspaces) Collect(ch chan<- prometheus.Metric) {
	for _, x := range w.meter.load.Load().Workspaces {
		name := string(x.Name)
		ch <- prometheus.MustNewConstMetric(shareDesc, prometheus.GaugeValue, x.Share, name)
		ch <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(x.Waiting), name)
		for _, r := range []struct {
			name         string
			usage, limit int64
		}{
			{"cpu_millis", int64(x.Usage.CPU), int64(x.Limit.CPU)}, {"memory_mib", int64(x.Usage.Memory), int64(x.Limit.Memory)},
			{"accelerators", int64(x.Usage.Accelerators), int64(x.Limit.Accelerators)},
		} {
			ch <- prometheus.MustNewConstMetric(usageDesc, prometheus.GaugeValue, float64(r.usage), name, r.name)
			ch <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(r.limit), name, r.name)
		}
	}
}
