package generator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// This file turns a run into a report: a table for people, JSON for programs,
// so that two runs compare.

// Report is the result of one run.
type Report struct {
	Mix      string
	Rate     float64
	Seconds  float64
	Seed     int64
	Policies []string `json:",omitempty"`
	Streams  []StreamReport
	Packing  PackingReport
	Control  []ControlReport
	// Violations lists broken promises that the stand-ins saw.
	Violations []string
}

// StreamReport is the part of one stream. Times are in milliseconds.
type StreamReport struct {
	Name     string
	Class    string
	Sent     int
	Outcomes map[string]int
	InTime   int // answered before the deadline
	Starts   int
	Retries  int // starts after the first of a request
	Resends  int // of the same key by the caller
	Wait     Times
	Answer   Times
}

// Times holds quantiles in milliseconds.
type Times struct {
	P50, P99, P999, Max float64
}

// PackingReport tells how full the targets were, sampled over the run.
type PackingReport struct {
	MeanCPU float64 // fraction of all processors charged
	PeakCPU float64
	Targets int
}

// ControlReport is the cost of one daemon over the run.
type ControlReport struct {
	Daemon        string
	CPUSeconds    float64
	CPUPercent    float64 // of one core
	BytesSent     float64 // to other daemons
	BytesReceived float64
	ResidentMiB   float64
	Leader        bool
	MicrosPerDone float64 // processor time of this daemon per answered request of the run
}

func timesOf(h *hdrhistogram.Histogram) Times {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Times{ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.ValueAtQuantile(99.9)), ms(h.Max())}
}

// Report returns the streams' part of the result.
func (g *Generator) Report() *Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &Report{Mix: g.Mix.Name, Rate: g.Rate, Seconds: g.Duration.Seconds(), Seed: g.Seed}
	for _, s := range g.streams {
		r.Streams = append(r.Streams, StreamReport{
			Name: s.stream.Name, Class: s.stream.Class.String(), Sent: s.sent, Outcomes: s.outcomes, InTime: s.inTime,
			Starts: s.starts, Retries: s.retries, Resends: s.resends, Wait: timesOf(s.wait), Answer: timesOf(s.answer),
		})
	}
	return r
}

// Done returns the number of requests that were answered as done.
func (r *Report) Done() int {
	n := 0
	for _, s := range r.Streams {
		n += s.Outcomes["Done"]
	}
	return n
}

// Print writes the report for people.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) } // Flush returns the error
	row("mix %s, %.0f requests/s for %.0f s, seed %d %s\n", r.Mix, r.Rate, r.Seconds, r.Seed, strings.Join(r.Policies, " "))
	row("stream\tclass\tsent\tin time\tstarts\tretries\tresends\twait p50\tp99\tp99.9\tmax ms\tanswer p50\tp99 ms\toutcomes\n")
	for _, s := range r.Streams {
		row("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%s\n", s.Name, s.Class, s.Sent, s.InTime, s.Starts,
			s.Retries, s.Resends, s.Wait.P50, s.Wait.P99, s.Wait.P999, s.Wait.Max, s.Answer.P50, s.Answer.P99, outcomesText(s.Outcomes))
	}
	row("packing: %d targets, processors in use mean %.1f%%, peak %.1f%%\n", r.Packing.Targets, 100*r.Packing.MeanCPU, 100*r.Packing.PeakCPU)
	if len(r.Control) > 0 {
		row("daemon\tleads\tcpu %%\tcpu µs/done\tsent B/s\treceived B/s\tresident MiB\n")
	}
	for _, c := range r.Control {
		row("%s\t%t\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\n", c.Daemon, c.Leader, c.CPUPercent, c.MicrosPerDone, c.BytesSent/r.Seconds, c.BytesReceived/r.Seconds, c.ResidentMiB)
	}
	for _, v := range r.Violations {
		row("VIOLATION: %s\n", v)
	}
	return errors.Trace(w.Flush())
}

func outcomesText(m map[string]int) string {
	var parts []string
	for k, n := range m {
		parts = append(parts, fmt.Sprintf("%s=%d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// Sample is the cost counters of a daemon at one moment.
type Sample struct {
	At       time.Time
	CPU      float64
	Sent     float64
	Received float64
	Resident float64
	Leader   bool
}

// Scrape reads a daemon's counters.
func Scrape(ctx context.Context, address string) (Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return Sample{}, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Sample{}, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	s := Sample{At: time.Now()}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		s.take(lines.Text())
	}
	return s, errors.Trace(lines.Err())
}

func (s *Sample) take(line string) {
	name, text, ok := strings.Cut(line, " ")
	value, err := strconv.ParseFloat(text, 64)
	if !ok || err != nil {
		return
	}
	switch name {
	case "process_cpu_seconds_total":
		s.CPU = value
	case "process_resident_memory_bytes":
		s.Resident = value
	case `masticroad_control_bytes_total{direction="sent"}`:
		s.Sent = value
	case `masticroad_control_bytes_total{direction="received"}`:
		s.Received = value
	case "masticroad_leader":
		s.Leader = value > 0
	}
}

// Cost returns what a daemon spent between two samples.
func Cost(daemon string, a, b Sample, done int) ControlReport {
	c := ControlReport{
		Daemon: daemon, CPUSeconds: b.CPU - a.CPU, BytesSent: b.Sent - a.Sent, BytesReceived: b.Received - a.Received,
		ResidentMiB: b.Resident / (1 << 20), Leader: b.Leader,
	}
	if span := b.At.Sub(a.At).Seconds(); span > 0 {
		c.CPUPercent = 100 * c.CPUSeconds / span
	}
	if done > 0 {
		c.MicrosPerDone = c.CPUSeconds * 1e6 / float64(done)
	}
	return c
}
