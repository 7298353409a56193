package commander

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform"
	"masticroad/platform/mimic"
)

// This file holds `rehearse`, which runs a cell of daemons as processes of their
// own against stand-in targets and loads it with jobs.

type rehearsal struct {
	replicas, gateways, targets int
	rate                        float64
	width                       int
	run                         time.Duration
	duration                    time.Duration
	seed                        int64
	profile                     time.Duration

	folder  string
	cell    *mimic.Cell
	fleet   *mimic.Fleet
	callers *mimic.Client
	procs   []*exec.Cmd

	mu    sync.Mutex
	times []time.Duration
	lost  int
}

func newRehearse(s *streams) *cobra.Command {
	r := &rehearsal{}
	cmd := &cobra.Command{
		Use:   "rehearse [--targets N] [--rate N] [--duration D]",
		Short: "Load a cell of workflows on loopback, against stand-in targets",
		Long: "Starts replicas and gateways as processes with settings as the platform writes them, stand-in targets and the services\n" +
			"around them in this process, and submits jobs of one step, open loop and from a seed. Prints the times of the jobs,\n" +
			"the processor time of each daemon and what the targets saw that must never happen. Logs are in the folder it names.",
		Example: "  masticroad rehearse --targets 350 --rate 45 --duration 20s",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return r.play(cmd.Context(), s) },
	}
	f := cmd.Flags()
	f.IntVar(&r.replicas, "replicas", 3, "daemons with a disk")
	f.IntVar(&r.gateways, "gateways", 2, "daemons that serve callers")
	f.IntVar(&r.targets, "targets", 48, "stand-in targets")
	f.Float64Var(&r.rate, "rate", 12, "jobs in a second")
	f.IntVar(&r.width, "width", 10, "mean tasks of a job")
	f.DurationVar(&r.run, "run", 700*time.Millisecond, "mean run time of a task")
	f.DurationVar(&r.duration, "duration", 10*time.Second, "time of sending, at most 10m")
	f.Int64Var(&r.seed, "seed", 1, "seed of arrivals, sizes and run times")
	f.DurationVar(&r.profile, "profile", 0, "write processor profiles of this length of all daemons")
	return cmd
}

const (
	maxRehearsal  = 10 * time.Minute
	rehearsalHost = "jobs.example"
	rehearsalPath = "/q/"
	settleTime    = 30 * time.Second // for the last jobs to end
	warmTime      = 2 * time.Second  // for targets to announce themselves
)

func (r *rehearsal) play(ctx context.Context, s *streams) error {
	if r.duration > maxRehearsal || r.rate <= 0 || r.targets < 1 || r.replicas < 1 || r.gateways < 1 {
		return errors.Errorf("rehearse: needs targets, replicas, gateways and a rate above 0, and a duration of at most %s", maxRehearsal)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if r.folder, err = os.MkdirTemp("", "masticroad-rehearsal"); err != nil {
		return errors.Trace(err)
	}
	s.printf("logs and data: %s\n", r.folder)
	if err := r.open(ctx); err != nil {
		return errors.Annotate(err, "rehearse")
	}
	defer r.stop()
	time.Sleep(warmTime)
	if r.profile > 0 {
		go r.takeProfiles(ctx)
	}
	before := r.processorTime()
	r.send(ctx)
	after := r.processorTime()
	r.print(s, before, after)
	if problems := r.fleet.Problems(); len(problems) > 0 {
		return errors.Errorf("rehearse: %d problems, the first: %s", len(problems), problems[0])
	}
	return nil
}

// open starts everything.
func (r *rehearsal) open(ctx context.Context) error {
	licences, err := (&mimic.Licences{Base: 20 * time.Millisecond}).Start(ctx)
	if err != nil {
		return err
	}
	r.fleet = &mimic.Fleet{
		Targets: r.targets, Pool: "pool", Seed: r.seed, Zones: []string{"a", "b", "c"}, Capacity: mimic.Capacity{MilliCPU: 16000, MiB: 32768},
		Limits: emulator.Limits{
			MaxLease: 6 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: time.Second, Restore: 100 * time.Millisecond,
		},
		Audit: &emulator.Audit{Begun: time.Now(), CancelTime: 3 * time.Second, EarlyMargin: 250 * time.Millisecond},
	}
	r.cell = &mimic.Cell{Folder: r.folder, Replicas: r.replicas, Gateways: r.gateways, Licences: licences, Bounds: map[string]any{
		"hold-max-ms": 6000, "stop-ms": 400, "gang-ms": 3000, "save-s": 1,
	}}
	if err := r.cell.Write(); err != nil {
		return err
	}
	for _, n := range r.cell.Nodes {
		if err := r.launch(n); err != nil {
			return err
		}
	}
	r.fleet.Daemons = r.cell.Controls()
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	r.callers = mimic.NewClient(r.cell.Frontends(), rehearsalHost)
	return mimic.NewClient(r.cell.Controls(), "").Put(ctx, &definer.Document{
		Version: 1, Pools: []definer.Pool{{Name: "pool"}},
		Queues: []definer.Queue{{Name: "q", Host: rehearsalHost, Prefix: rehearsalPath, Pool: "pool", MaxAttempts: 2, Slack: 1.5, Grace: 400 * time.Millisecond, Timeout: 3 * time.Second}},
	})
}

// launch starts a daemon as a process.
func (r *rehearsal) launch(n *mimic.Node) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.folder, n.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own
	cmd := exec.Command(program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+n.Settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	r.procs = append(r.procs, cmd)
	return nil
}

func (r *rehearsal) stop() {
	for _, p := range r.procs {
		_ = p.Process.Signal(syscall.SIGTERM) // it may have ended
	}
	for _, p := range r.procs {
		_ = p.Wait() // how it ended is in its log
	}
}

// send submits jobs and waits for them.
func (r *rehearsal) send(ctx context.Context) {
	random := rand.New(rand.NewSource(r.seed))
	var jobs sync.WaitGroup
	begun := time.Now()
	at := begun
	for id := definer.JobID(1); ; id++ {
		at = at.Add(time.Duration(random.ExpFloat64() / r.rate * float64(time.Second)))
		if at.Sub(begun) > r.duration || ctx.Err() != nil {
			break
		}
		j := r.job(id, random)
		time.Sleep(time.Until(at))
		jobs.Go(func() { r.one(ctx, j) })
	}
	jobs.Wait()
}

// job draws a job whose tasks run for about the declared time.
func (r *rehearsal) job(id definer.JobID, random *rand.Rand) *definer.Job {
	spread := func(sigma float64) float64 { return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2) }
	run := time.Duration(float64(r.run) * spread(0.5))
	j := &definer.Job{ID: id, Spec: fmt.Sprintf("job %s", id), Steps: []definer.Step{{
		Count: max(1, int(float64(r.width)*spread(0.6))), Estimate: run, Need: registrar.Need{CPU: 1300, Memory: 1800},
	}}}
	uneven := make([]float64, j.Steps[0].Count)
	for i := range uneven {
		uneven[i] = spread(0.3)
	}
	r.fleet.Know(j, func(task definer.TaskID, _ tracker.RunNumber) emulator.Work {
		return emulator.Work{Need: j.Steps[0].Need, Duration: time.Duration(float64(run) * uneven[task.Index])}
	})
	r.fleet.Do(func() { r.fleet.Audit.Submitted(j, 2) })
	return j
}

func (r *rehearsal) one(ctx context.Context, j *definer.Job) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	begun := time.Now()
	err := r.callers.Submit(ctx, rehearsalPath, j)
	var state tracker.JobState
	if err == nil {
		state, err = r.callers.Await(ctx, rehearsalPath, j.ID)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || state != tracker.Completed {
		r.lost++
		return
	}
	r.times = append(r.times, time.Since(begun)-j.Steps[0].Estimate)
}

// processorTime returns what each process has used.
func (r *rehearsal) processorTime() []time.Duration {
	out := make([]time.Duration, len(r.procs))
	for i, p := range r.procs {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
		if err != nil {
			continue // it has ended
		}
		out[i] = parseStat(string(data))
	}
	return out
}

// parseStat reads the processor time from a line of /proc: the 14th and 15th
// field, counted from the process's name in brackets, which may hold spaces.
func parseStat(line string) time.Duration {
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0 // not a line of this kernel
	}
	return time.Duration(user+system) * tick
}

const tick = 10 * time.Millisecond // of the kernel's accounts

func (r *rehearsal) print(s *streams, before, after []time.Duration) {
	slices.Sort(r.times)
	at := func(q float64) time.Duration {
		if len(r.times) == 0 {
			return 0
		}
		return r.times[int(q*float64(len(r.times)-1))].Round(time.Millisecond)
	}
	s.printf("jobs: %d done, %d not; time beyond the declared run time: p50 %s, p90 %s, p99 %s\n", len(r.times), r.lost, at(0.5), at(0.9), at(0.99))
	for i, n := range r.cell.Nodes {
		used := after[i] - before[i]
		s.printf("%-12s %6s of processor time, %4.1f %% of a core\n", n.Name, used, 100*used.Seconds()/r.duration.Seconds())
	}
}

// takeProfiles writes a processor profile of each replica.
func (r *rehearsal) takeProfiles(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range r.cell.Nodes[:r.replicas] {
		all.Go(func() {
			c := mimic.NewClient([]string{n.Metrics}, "")
			c.SetTimeout(r.profile + settleTime)
			answer := c.TryRaw(ctx, "GET", fmt.Sprintf("/debug/pprof/profile?seconds=%d", int(r.profile.Seconds())), nil)
			_ = os.WriteFile(filepath.Join(r.folder, n.Name+".pprof"), answer.Body, 0o644) // an empty profile shows that there was none
		})
	}
	all.Wait()
}
