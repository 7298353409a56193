// Package rehearser runs a cell of daemons as processes of their own on loopback,
// against stand-in targets, loads it with jobs, and lets things go wrong from a
// seed: kills, pauses, planned stops, lost data folders, links between daemons
// that go silent or break, targets that crash, drain, fail or do not answer. It
// checks what callers, operators and targets see.
package rehearser

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/load/mimic"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file is read first: it holds the run and its report. Example:
//
//	r := &Rehearsal{Program: "bin/masticroad", Folder: dir, Faults: true, Seed: 7}
//	report, err := r.Play(ctx)

// Rehearsal is one run. The exported fields are set before Play; zero values take
// the defaults.
type Rehearsal struct {
	Program  string // of the daemons
	Folder   string // for logs and data
	Replicas int    // daemons with a disk
	Gateways int    // daemons that serve callers
	Targets  int
	Rate     float64       // jobs in a second
	Width    int           // mean tasks of a job
	Run      time.Duration // mean run time of a task
	Duration time.Duration // of sending
	Seed     int64
	Faults   bool
	// Descriptors is the limit of each daemon; 0: the system's.
	Descriptors int
	// FullDisks replaces the faults by disks of replicas that are full, one after
	// another.
	FullDisks bool
	// Outage is the time for which all replicas are without power; callers give up then. 0: none.
	Outage  time.Duration
	Profile time.Duration // of processor profiles of the replicas; 0: none
	// Trace, when set, is told of each fault.
	Trace func(text string)

	cell     *mimic.Cell
	fleet    *mimic.Fleet
	callers  *mimic.Client
	operator *mimic.Client
	procs    []*process
	begun    time.Time
	// descriptors holds the highest number of each daemon; mu guards it.
	descriptors map[string]int

	mu       sync.Mutex
	times    []time.Duration
	lost     int
	problems []string
	gaveUp   int // callers
	answers  map[int]int
	worth    float64
	put      definer.Version // newest that was acknowledged
}

// Report is the result of a run.
type Report struct {
	Done, Lost int
	Times      []time.Duration // of jobs beyond their declared run times, ascending
	Daemons    []Daemon
	Problems   []string // what must never happen
	// GaveUp, Answers by status and Worth, on average of all jobs, tell of an outage.
	GaveUp  int
	Answers map[int]int
	Worth   float64
}

// Daemon is what a daemon cost during the load.
type Daemon struct {
	Name      string
	Processor time.Duration
	// Descriptors is the highest number that was seen, twice a second.
	Descriptors int
}

// At returns a quantile of the times.
func (r *Report) At(q float64) time.Duration {
	if len(r.Times) == 0 {
		return 0
	}
	return r.Times[int(q*float64(len(r.Times)-1))]
}

const (
	host       = "jobs.example"
	prefix     = "/q/"
	queue      = definer.QueueName("q")
	pool       = definer.PoolName("pool")
	settleTime = 90 * time.Second // for the last jobs to end
	warmTime   = 2 * time.Second  // for targets to announce themselves
	cpuMillis  = 16000            // of a target
	memoryMiB  = 32768
	attempts   = 2
	cancelTime = 3 * time.Second // from the answer to a cancellation to the last start
)

var limits = emulator.Limits{
	MaxLease: 6 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: time.Second, Restore: 100 * time.Millisecond,
}

func (r *Rehearsal) fill() {
	setDefault(&r.Replicas, 3)
	setDefault(&r.Gateways, 2)
	setDefault(&r.Targets, 12)
	setDefault(&r.Rate, 12)
	setDefault(&r.Width, 6)
	setDefault(&r.Run, 700*time.Millisecond)
	setDefault(&r.Duration, 10*time.Second)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Play runs the load and the faults, then lets all jobs end. An error tells that
// the run could not be made; what went wrong in it is in the report.
func (r *Rehearsal) Play(ctx context.Context) (*Report, error) {
	r.fill()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.stop()
	if err := r.open(ctx); err != nil {
		return nil, errors.Annotate(err, "rehearsal")
	}
	time.Sleep(warmTime)
	if r.Profile > 0 {
		go r.takeProfiles(ctx)
	}
	r.begun = time.Now()
	r.descriptors = make(map[string]int)
	go r.countDescriptors(ctx)
	before := r.processorTime()
	var others sync.WaitGroup
	calm := make(chan struct{})
	if r.Faults {
		faults := &injector{rehearsal: r, rand: rand.New(rand.NewSource(r.Seed))}
		inject := faults.run
		if r.FullDisks {
			inject = faults.fillDisks
		}
		others.Go(func() { inject(ctx, calm) })
		others.Go(func() { r.change(ctx, calm) })
	}
	if r.Outage > 0 {
		others.Go(func() { r.cutPower(ctx, calm) })
	}
	jobs := r.send(ctx)
	close(calm)
	others.Wait()
	after := r.processorTime()
	if r.FullDisks {
		r.checkChange(ctx)
	}
	jobs.Wait()
	r.checkDocument(ctx)
	r.checkVoters(ctx)
	return r.report(before, after), nil
}

// open starts everything.
func (r *Rehearsal) open(ctx context.Context) error {
	licences, err := (&mimic.Licences{Base: 20 * time.Millisecond}).Start(ctx)
	if err != nil {
		return err
	}
	r.fleet = &mimic.Fleet{
		Targets: r.Targets, Pool: pool, Seed: r.Seed, Zones: []string{"a", "b", "c"}, Capacity: mimic.Capacity{MilliCPU: cpuMillis, MiB: memoryMiB},
		Limits: limits, Audit: &emulator.Audit{Begun: time.Now(), CancelTime: cancelTime, EarlyMargin: 250 * time.Millisecond},
	}
	r.cell = &mimic.Cell{Folder: r.Folder, Replicas: r.Replicas, Gateways: r.Gateways, Licences: licences, Limits: limits, Relayed: r.Faults, Descriptors: r.Descriptors}
	if err := r.cell.Write(); err != nil {
		return err
	}
	for _, n := range r.cell.Nodes {
		p := &process{node: n, program: r.Program, folder: r.Folder, files: r.Descriptors}
		if r.Faults && n.Inner != "" {
			if p.relay, err = newRelay(ctx, n.Internal, n.Inner); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil {
			return err
		}
		r.procs = append(r.procs, p)
	}
	r.fleet.Daemons = r.cell.Controls()
	if err := r.fleet.Start(ctx); err != nil {
		return err
	}
	r.callers = mimic.NewClient(r.cell.Frontends(), host)
	r.operator = mimic.NewClient(r.cell.Controls(), "")
	r.put = 1
	return r.operator.Put(ctx, document(1))
}

func document(version definer.Version) *definer.Document {
	return &definer.Document{Version: version, Pools: []definer.Pool{{Name: pool}}, Queues: []definer.Queue{{
		Name: queue, Host: host, Prefix: prefix, Pool: pool, MaxAttempts: attempts, Slack: 1.5, Grace: 400 * time.Millisecond,
		Timeout: 3*time.Second + time.Duration(version)*time.Millisecond,
		Licence: definer.Licence{Required: version%2 == 0, BaseLatency: 20 * time.Millisecond, TicketValidity: 2 * time.Second},
	}}}
}

func (r *Rehearsal) stop() {
	for _, p := range r.procs {
		p.end()
	}
}

// problem notes something that must never happen.
func (r *Rehearsal) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf("%s: ", time.Since(r.begun).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// send submits jobs, each with a caller of its own, and returns the callers.
func (r *Rehearsal) send(ctx context.Context) *sync.WaitGroup {
	random := rand.New(rand.NewSource(r.Seed))
	jobs := &sync.WaitGroup{}
	at := r.begun
	for id := definer.JobID(1); ; id++ {
		at = at.Add(time.Duration(random.ExpFloat64() / r.Rate * float64(time.Second)))
		if at.Sub(r.begun) > r.Duration || ctx.Err() != nil {
			return jobs
		}
		j := r.job(id, random)
		cancel := r.Faults && random.Intn(10) == 0
		time.Sleep(time.Until(at))
		jobs.Go(func() { r.call(ctx, j, cancel) })
	}
}

// job draws a job of one step, or of two, whose tasks run for about the declared
// time.
func (r *Rehearsal) job(id definer.JobID, random *rand.Rand) *definer.Job {
	spread := func(sigma float64) float64 { return math.Exp(random.NormFloat64()*sigma - sigma*sigma/2) }
	j := &definer.Job{ID: id, Spec: fmt.Sprintf("job %s", id)}
	steps := 1
	if r.Faults {
		steps += random.Intn(2)
	}
	uneven := make([][]float64, steps)
	for k := range steps {
		s := definer.Step{
			Count: max(1, int(float64(r.Width)*spread(0.6))), Estimate: time.Duration(float64(r.Run) * spread(0.5)),
			Need: registrar.Need{CPU: 1300, Memory: 1800}, Checkpointing: random.Intn(2) == 0,
		}
		if k > 0 {
			s.DependsOn = []int{k - 1}
		}
		s.Gang = r.Faults && random.Intn(8) == 0
		for range s.Count {
			uneven[k] = append(uneven[k], spread(0.3))
		}
		j.Steps = append(j.Steps, s)
	}
	r.fleet.Know(j, func(task definer.TaskID, _ tracker.RunNumber) emulator.Work {
		s := &j.Steps[task.Step]
		w := emulator.Work{Need: s.Need, Saves: s.Checkpointing, Duration: time.Duration(float64(s.Estimate) * uneven[task.Step][task.Index])}
		if s.Gang {
			w.Gang = s.Count
		}
		return w
	})
	r.fleet.Do(func() { r.fleet.Audit.Submitted(j, attempts) })
	return j
}

// call plays the caller of a job.
func (r *Rehearsal) call(ctx context.Context, j *definer.Job, cancel bool) {
	ctx, done := context.WithTimeout(ctx, settleTime)
	defer done()
	begun := time.Now()
	submit := func() error { return r.callers.Submit(ctx, prefix, j) }
	if r.Outage > 0 {
		submit = func() error { return r.submitPatiently(ctx, j) }
	}
	if err := submit(); err != nil {
		if errors.Is(err, errGaveUp) {
			r.mu.Lock()
			r.gaveUp++
			r.mu.Unlock()
			return
		}
		r.loss(j, "was not accepted", err)
		return
	}
	r.fleet.Do(func() { r.fleet.Audit.Accepted(j.ID, time.Now()) })
	if cancel {
		if err := r.callers.Cancel(ctx, prefix, j.ID); err != nil {
			r.loss(j, "was not cancelled", err)
			return
		}
		r.fleet.Do(func() { r.fleet.Audit.Cancelled(j.ID, time.Now()) })
	}
	state, err := r.callers.Await(ctx, prefix, j.ID)
	switch {
	case err != nil:
		r.loss(j, "has no end", err)
	case state == tracker.Completed:
		r.fleet.Do(func() { r.fleet.Audit.Completed(j.ID, time.Now()) })
		r.value(j, time.Since(begun))
		r.done(time.Since(begun) - declared(j))
	case cancel && state == tracker.Cancelled, r.Faults && state == tracker.Failed:
		r.done(0) // targets fail runs by themselves
	default:
		r.loss(j, "is shown as "+state.String(), nil)
	}
}

func declared(j *definer.Job) time.Duration {
	sum := time.Duration(0)
	for i := range j.Steps {
		sum += j.Steps[i].Estimate
	}
	return sum
}

func (r *Rehearsal) done(over time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times = append(r.times, over)
}

func (r *Rehearsal) loss(j *definer.Job, what string, err error) {
	r.problem("job %s %s: %v", j.ID, what, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost++
}

// change puts documents in force one after the other, and checks that none is
// lost.
func (r *Rehearsal) change(ctx context.Context, calm <-chan struct{}) {
	for version := definer.Version(2); ; version++ {
		select {
		case <-calm:
			return
		case <-time.After(changePause):
		}
		if err := r.operator.Put(ctx, document(version)); err != nil {
			r.problem("document %d was refused: %v", version, err)
			return
		}
		r.mu.Lock()
		r.put = version
		r.mu.Unlock()
		r.checkDocument(ctx)
	}
}

const changePause = 700 * time.Millisecond

// checkChange checks that a change is acknowledged in time once all faults have
// ended.
func (r *Rehearsal) checkChange(ctx context.Context) {
	r.mu.Lock()
	r.put++
	version := r.put
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := r.operator.Put(ctx, document(version)); err != nil {
		r.problem("document %d was not acknowledged within %s after the faults: %v", version, changeTimeout, err)
	}
}

const changeTimeout = 4 * time.Second // in which operators are answered by a cell without faults

// checkDocument reads the document in force and compares it with the newest that
// was acknowledged.
func (r *Rehearsal) checkDocument(ctx context.Context) {
	r.mu.Lock()
	want := r.put
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	got, err := r.operator.Fetch(ctx)
	switch {
	case err != nil:
		r.problem("the document can't be read: %v", err)
	case got.Version < want:
		r.problem("document %d is read after %d was acknowledged", got.Version, want)
	case got.Queues[0].Timeout != document(got.Version).Queues[0].Timeout:
		r.problem("document %d has other content", got.Version)
	}
}

// checkVoters waits until every replica has the log and counts each replica as a
// voter once.
func (r *Rehearsal) checkVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	want := fmt.Sprintf("masticroad_voters %d\n", r.Replicas)
	for _, n := range r.cell.Nodes[:r.Replicas] {
		c := mimic.NewClient([]string{n.Metrics}, "")
		for !strings.Contains(string(c.TryRaw(ctx, "GET", "/metrics", nil).Body), want) {
			select {
			case <-ctx.Done():
				r.problem("%s does not count %d voters", n.Name, r.Replicas)
				return
			case <-time.After(changePause):
			}
		}
	}
}

func (r *Rehearsal) report(before, after []time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.times)
	out := &Report{Done: len(r.times), Lost: r.lost, Times: r.times, Problems: append(r.fleet.Problems(), r.problems...)}
	out.GaveUp, out.Answers, out.Worth = r.gaveUp, r.answers, r.worth/float64(max(out.Done+out.Lost+r.gaveUp, 1))
	for i, p := range r.procs {
		out.Daemons = append(out.Daemons, Daemon{p.node.Name, after[i] - before[i], r.descriptors[p.node.Name]})
	}
	return out
}

// takeProfiles writes a processor profile of each replica.
func (r *Rehearsal) takeProfiles(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range r.cell.Nodes[:r.Replicas] {
		all.Go(func() {
			c := mimic.NewClient([]string{n.Metrics}, "")
			c.SetTimeout(r.Profile + settleTime)
			answer := c.TryRaw(ctx, "GET", fmt.Sprintf("/debug/pprof/profile?seconds=%d", int(r.Profile.Seconds())), nil)
			_ = os.WriteFile(filepath.Join(r.Folder, n.Name+".pprof"), answer.Body, 0o644) // an empty profile shows that there was none
		})
	}
	all.Wait()
}
