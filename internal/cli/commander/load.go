package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/generator"
	"masticroad/internal/load/imitator"
	"masticroad/internal/load/launcher"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/target"
)

// This file holds `load`, the load and experiment tool. It starts stand-in
// targets in its own process, and a cell as well unless --daemons names one.

type loadOptions struct {
	mix       string
	rate      float64
	duration  time.Duration
	seed      int64
	targets   int
	daemons   []string
	policies  []string
	failShare float64
	loseRack  bool
	interval  time.Duration
	format    string
	count     int
	settle    time.Duration
	sweep     []float64
	plot      string
}

func newLoad(s *streams) *cobra.Command {
	o := &loadOptions{}
	cmd := &cobra.Command{
		Use:   "load [--mix NAME] [--rate N] [--duration D] [--daemons ADDRESS,...]",
		Short: "Make load against a cell and measure waits, packing and control cost",
		Long: "Sends requests at a given rate, open loop and from a seed, to a cell on loopback. Without --daemons a cell of three\n" +
			"daemons runs in this process, and its processor time can't be told apart. Mixes: " + mixNames() + ".",
		Example: "  masticroad load --mix shops --rate 500 --duration 10s\n" +
			"  masticroad load --mix shops --rate 500 --policy Placement.Urgent=FirstFit --format json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.load(cmd.Context(), o)
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.mix, "mix", "shops", "mix of requests")
	f.Float64Var(&o.rate, "rate", 200, "requests in a second")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "time of sending, at most 10m")
	f.Int64Var(&o.seed, "seed", 1, "seed of arrivals and run times")
	f.IntVar(&o.targets, "targets", 50, "stand-in targets")
	f.StringSliceVar(&o.daemons, "daemons", nil, "HTTP addresses of a running cell, on loopback")
	f.StringSliceVar(&o.policies, "policy", nil, "policy to set first, NAME=VALUE")
	f.Float64Var(&o.failShare, "fail-share", 0, "share of targets that fail everything")
	f.BoolVar(&o.loseRack, "lose-rack", false, "end the targets of one rack halfway")
	f.DurationVar(&o.interval, "announce", time.Second, "time between announcements of a target")
	f.Float64SliceVar(&o.sweep, "sweep", nil, "rates to run one after another, in place of --rate")
	f.StringVar(&o.plot, "plot", "", "SVG file for waiting time against the rates of --sweep")
	f.StringVar(&o.format, "format", "table", "table or json")
	f.DurationVar(&o.settle, "settle", 0, "time between the declarations and the load")
	f.IntVar(&o.count, "services", 0, "replicas of a long-running service that stay up beside the load")
	return cmd
}

func mixNames() string {
	var names []string
	for _, m := range generator.Mixes {
		names = append(names, m.Name+" ("+m.Effect+")")
	}
	return strings.Join(names, "; ")
}

const (
	maxLoadTime  = 10 * time.Minute
	drainTime    = 20 * time.Second
	packSample   = 50 * time.Millisecond
	perRack      = 8
	loadFolder   = "masticroad-load-"
	loadDaemons  = 3
	loopbackName = "127."
)

type loadRun struct {
	*streams
	o       *loadOptions
	mix     *generator.Mix
	gen     atomic.Pointer[generator.Generator]
	cell    *launcher.Cell
	history *imitator.History
	workers []*imitator.Target
	stops   []context.CancelFunc
	client  *daemonClient
}

func (s *streams) load(ctx context.Context, o *loadOptions) error {
	mix := generator.FindMix(o.mix)
	if mix == nil {
		return errors.Errorf("mix %q is not one of %s", o.mix, mixNames())
	}
	if o.rate <= 0 || o.duration <= 0 || o.duration > maxLoadTime || o.targets < 1 {
		return errors.Errorf("rate, duration (at most %s) and targets must be above 0", maxLoadTime)
	}
	for _, d := range o.daemons {
		if !strings.HasPrefix(d, loopbackName) {
			return errors.Errorf("daemon %q is not on loopback; load goes nowhere else", d)
		}
	}
	r := &loadRun{streams: s, o: o, mix: mix}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reports, err := r.run(ctx)
	if err != nil {
		return failed(err)
	}
	if o.plot != "" {
		if err := generator.Plot(o.plot, reports); err != nil {
			return failed(err)
		}
	}
	return failed(s.printReports(reports, o.format))
}

func (s *streams) printReports(reports []*generator.Report, format string) error {
	for _, report := range reports {
		if format != "json" {
			if err := report.Print(s.out); err != nil {
				return err
			}
			continue
		}
		data, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return errors.Trace(err)
		}
		s.printf("%s\n", data)
	}
	return nil
}

// newGenerator replaces the generator by one for the given rate. The stand-in
// targets report to the newest one.
func (r *loadRun) newGenerator(rate float64, seed int64) {
	g := &generator.Generator{
		Mix: r.mix, Rate: rate, Duration: r.o.duration, Seed: seed, Daemons: r.o.daemons,
		Tokens: make(map[string]string), Drain: drainTime,
	}
	if old := r.gen.Load(); old != nil {
		g.Daemons, g.Tokens = old.Daemons, old.Tokens
	}
	g.Open()
	r.gen.Store(g)
}

func (r *loadRun) run(ctx context.Context) ([]*generator.Report, error) {
	rates := r.o.sweep
	if len(rates) == 0 {
		rates = []float64{r.o.rate}
	}
	r.newGenerator(rates[0], r.o.seed)
	if len(r.o.daemons) == 0 {
		stop, err := r.startCell(ctx)
		if err != nil {
			return nil, err
		}
		defer stop()
	}
	r.client = &daemonClient{address: r.gen.Load().Daemons[0], token: os.Getenv(tokenVariable)}
	if err := r.startTargets(ctx); err != nil {
		return nil, err
	}
	if err := r.declare(ctx); err != nil {
		return nil, err
	}
	if err := r.awaitTargets(ctx); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	case <-time.After(r.o.settle):
	}
	var reports []*generator.Report
	for i, rate := range rates {
		r.newGenerator(rate, r.o.seed+int64(i))
		report, err := r.measure(ctx)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

func (r *loadRun) startCell(ctx context.Context) (func(), error) {
	folder, err := os.MkdirTemp("", loadFolder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.cell = &launcher.Cell{
		Name: "load", Folder: folder, Daemons: loadDaemons, Voters: loadDaemons,
		Places: []launcher.Place{{Region: "r1", Zone: "a"}, {Region: "r1", Zone: "b"}, {Region: "r1", Zone: "c"}},
		Log:    hclog.NewNullLogger(), Now: time.Now,
	}
	if err := r.cell.Start(ctx); err != nil {
		return nil, err
	}
	r.gen.Load().Daemons = r.cell.HTTP()
	return func() {
		_ = r.cell.Stop()
		_ = os.RemoveAll(folder)
	}, nil
}

func (r *loadRun) startTargets(ctx context.Context) error {
	c := &launcher.Cell{
		Places: []launcher.Place{{Region: "r1", Zone: "a"}, {Region: "r1", Zone: "b"}, {Region: "r1", Zone: "c"}},
		Targets: launcher.Shape{
			Count: r.o.targets, Capacity: r.mix.Target, Slots: r.mix.Slots, Connections: 64, PerRack: perRack, Interval: r.o.interval,
		},
		Now: time.Now,
	}
	if err := c.StartTargets(ctx, r.gen.Load().Daemons, r.work); err != nil {
		return err
	}
	r.history, r.workers, r.stops = c.History, c.Workers, c.WorkerStops
	bad := int(r.o.failShare * float64(len(r.workers)))
	for i := range bad {
		r.workers[i].SetFaults(imitator.Faults{FailAll: true})
	}
	return nil
}

func (r *loadRun) work(w *imitator.Target) {
	w.Work = func(s *target.Start) (time.Duration, []byte) { return r.gen.Load().Work(s) }
}

// declare creates the callers of the mix and sets the policies.
func (r *loadRun) declare(ctx context.Context) error {
	call := &operator.ChangeCall{ChangeID: registrar.ChangeID("load-" + time.Now().Format(time.RFC3339Nano)), Text: "load"}
	for i := range r.mix.Streams {
		st := &r.mix.Streams[i]
		token := "token-" + string(st.Caller)
		sum := sha256.Sum256([]byte(token))
		r.gen.Load().Tokens[string(st.Caller)] = token
		c := &registrar.Caller{Name: st.Caller, Class: st.Class, TokenDigest: hex.EncodeToString(sum[:])}
		call.Ops = append(call.Ops, registrar.Op{PutCaller: c})
	}
	for _, p := range r.o.policies {
		name, value, _ := strings.Cut(p, "=")
		call.Ops = append(call.Ops, registrar.Op{PutPolicy: &registrar.Policy{Name: name, Value: value}})
	}
	if r.o.count > 0 {
		j := &registrar.Job{
			Name: "standing", Caller: r.mix.Streams[0].Caller, Kind: registrar.KindService, Class: registrar.Service,
			Count: r.o.count, Need: registrar.Need{CPU: 100, Memory: 64},
		}
		call.Ops = append(call.Ops, registrar.Op{PutJob: j})
	}
	reply, err := r.client.do(ctx, http.MethodPost, "/v1/changes", call)
	if err != nil {
		return err
	}
	if len(reply.Findings) > 0 {
		return errors.Errorf("declarations refused: %v", reply.Findings)
	}
	return nil
}

func (r *loadRun) awaitTargets(ctx context.Context) error {
	end := time.Now().Add(drainTime)
	for time.Now().Before(end) {
		reply, err := r.client.do(ctx, http.MethodPost, "/v1/statements", &operator.StatementCall{Statement: "SHOW Targets WHERE State = Alive"})
		if err == nil && reply.Table != nil && len(reply.Table.Rows) >= r.o.targets {
			return nil
		}
		time.Sleep(packSample)
	}
	return errors.New("the targets did not come up in time")
}

func (r *loadRun) measure(ctx context.Context) (*generator.Report, error) {
	before := make(map[string]generator.Sample)
	for _, d := range r.gen.Load().Daemons {
		before[d], _ = generator.Scrape(ctx, d) // a daemon that is down costs nothing
	}
	var packing generator.PackingReport
	sampled := make(chan struct{})
	sampling := &atomic.Bool{}
	sampling.Store(true)
	go func() {
		defer close(sampled)
		packing = r.samplePacking(sampling)
	}()
	if r.o.loseRack {
		time.AfterFunc(r.o.duration/2, r.loseRack)
	}
	time.AfterFunc(r.o.duration, func() { sampling.Store(false) })
	if err := r.gen.Load().Run(ctx); err != nil {
		return nil, err
	}
	<-sampled
	report := r.gen.Load().Report()
	report.Packing = packing
	report.Policies = r.o.policies
	report.Violations = r.history.Violations()
	if r.cell != nil {
		return report, nil
	}
	for _, d := range r.gen.Load().Daemons {
		after, err := generator.Scrape(ctx, d)
		if err != nil {
			continue
		}
		report.Control = append(report.Control, generator.Cost(d, before[d], after, report.Done()))
	}
	return report, nil
}

// loseRack ends the targets of the first rack of the first zone.
func (r *loadRun) loseRack() {
	rack := r.workers[0].Rack
	for i, w := range r.workers {
		if w.Rack == rack {
			r.stops[i]()
		}
	}
}

func (r *loadRun) samplePacking(on *atomic.Bool) generator.PackingReport {
	total := float64(r.mix.Target.CPU) * float64(r.o.targets)
	sum, n, peak := 0.0, 0, 0.0
	for on.Load() {
		used, _ := r.history.Using()
		share := float64(used.CPU) / total
		sum += share
		n++
		peak = max(peak, share)
		time.Sleep(packSample)
	}
	return generator.PackingReport{MeanCPU: sum / float64(max(n, 1)), PeakCPU: peak, Targets: r.o.targets}
}
