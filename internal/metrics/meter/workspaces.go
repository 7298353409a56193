package meter

import "github.com/prometheus/client_golang/prometheus"

// This file shows what workspaces use. Which ones there are changes with the document.

var (
	usageDesc = prometheus.NewDesc(namespace+"_workspace_usage", "What may be running of a workspace, at the leader, by resource.", []string{"workspace", "resource"}, nil)
	limitDesc = prometheus.NewDesc(namespace+"_workspace_limit", "What a workspace may use in total, at the leader, by resource. 0: no limit.", []string{"workspace", "resource"}, nil)
)

// workspaces collects the usage and the limits of workspaces from the latest load.
type workspaces struct{ meter *Meter }

// Describe implements prometheus.Collector.
func (w workspaces) Describe(ch chan<- *prometheus.Desc) {
	ch <- usageDesc
	ch <- limitDesc
}

// Collect implements prometheus.Collector.
func (w workspaces) Collect(ch chan<- prometheus.Metric) {
	for _, x := range w.meter.load.Load().Workspaces {
		name := string(x.Name)
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
