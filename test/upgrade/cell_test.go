package upgrade_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/load/emulator"
	"masticroad/internal/load/mimic"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform"
	"masticroad/platform/codec"
)

// This file runs a cell of real processes, each of which can be started with one or the
// other program.

const (
	replicas    = 3
	gateways    = 2
	targets     = 6
	maxAttempts = 2
	playTimeout = 8 * time.Minute // generous: no check depends on it
	waitTimeout = 30 * time.Second
	stopTimeout = 10 * time.Second
	pollPause   = 50 * time.Millisecond
	mostCells   = 2 // at a time
)

var (
	cells    = make(chan struct{}, mostCells)
	founding sync.Mutex // held until a new cell uses its addresses
)

var limits = emulator.Limits{
	MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: time.Second, Restore: 100 * time.Millisecond,
}

// program is a build of the daemon and the options with which it acts as a version.
type program struct {
	name string
	path string
	args []string
	// format is the latest one that it follows.
	format tracker.Format
}

// pair is the program before an upgrade and the one after it.
type pair struct {
	earlier, present program
	snapshotBytes    int // size of the log at which both take a snapshot
}

const (
	earlierVariable    = "MASTICROAD_EARLIER"
	formatVariable     = "MASTICROAD_EARLIER_FORMAT" // of that program; not set: 0
	usualSnapshotBytes = 8 << 20
	quickSnapshotBytes = 256 << 10
)

// programs builds the present program. The earlier one is the file that the environment
// names, or else the present one that acts as a version from before formats.
func programs(t *testing.T) pair {
	path := filepath.Join(t.TempDir(), "masticroad")
	build := exec.Command("go", "build", "-o", path, "masticroad/cmd/masticroad")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	p := pair{earlier: program{name: "earlier", path: path}, present: program{name: "present", path: path, format: tracker.CurrentFormat}}
	if earlier := os.Getenv(earlierVariable); earlier != "" {
		p.earlier.path, p.earlier.format, p.snapshotBytes = earlier, tracker.Format(number(t, formatVariable)), usualSnapshotBytes
		return p
	}
	p.snapshotBytes = quickSnapshotBytes
	p.present.args = []string{fmt.Sprintf("--snapshot-bytes=%d", p.snapshotBytes)}
	return p.from(0)
}

// from returns p with the present program in the place of the earlier one, acting as a version whose latest format is
// the given one, unless the environment names an earlier program.
func (p pair) from(f tracker.Format) pair {
	if os.Getenv(earlierVariable) == "" {
		p.earlier.format = f
		p.earlier.args = append([]string{fmt.Sprintf("--act-as-format=%d", f)}, p.present.args...)
	}
	return p
}

// number returns a number of the environment; 0 if it is not set.
func number(t *testing.T, variable string) int64 {
	text := os.Getenv(variable)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

// process is a daemon that is started again and again, with one or the other program.
type process struct {
	*mimic.Node
	program program
	cmd     *exec.Cmd  // nil: it does not run
	ended   chan error // gets how cmd ended
	log     *os.File
}

// cell is a running cell with its targets and callers.
type cell struct {
	*quicktest.C
	pair
	ctx      context.Context
	folder   string
	procs    []*process // replicas before gateways
	fleet    *mimic.Fleet
	operator *mimic.Client
	jobs     jobs
	kept     map[*process]program // at the time when their data was copied; see keepData
	keyed    bool                 // the document declares workspaces
}

// start starts a cell of the earlier program with one queue, once there is room for it.
func start(t *testing.T, p pair) *cell {
	cells <- struct{}{}
	t.Cleanup(func() { <-cells })
	founding.Lock()
	defer founding.Unlock()
	c := &cell{C: quicktest.New(t), pair: p, folder: t.ArtifactDir(), kept: make(map[*process]program)}
	ctx, cancel := context.WithTimeout(context.Background(), playTimeout)
	c.ctx = ctx
	t.Cleanup(func() {
		for _, p := range c.procs {
			_ = c.end(p) // the play is over
		}
		cancel()
		if t.Failed() {
			c.trace()
		}
	})
	licences, err := (&mimic.Licences{}).Start(ctx)
	c.Assert(err, quicktest.IsNil)
	c.fleet = &mimic.Fleet{
		Targets: targets, Pool: "pool", Seed: 1, Interval: 200 * time.Millisecond, Limits: limits, Zones: []string{"a", "b", "c"},
		Capacity: mimic.Capacity{MilliCPU: 8000, MiB: 16384}, FailTogether: true,
		Audit: &emulator.Audit{Begun: time.Now(), CancelTime: 3 * time.Second, EarlyMargin: 250 * time.Millisecond},
	}
	keeper, err := (&mimic.Keeper{Fleet: c.fleet}).Start(ctx)
	c.Assert(err, quicktest.IsNil)
	nodes := &mimic.Cell{Folder: c.folder, Replicas: replicas, Gateways: gateways, Licences: licences, Keeper: keeper, Limits: limits, Retention: keptFor}
	c.Assert(nodes.Write(), quicktest.IsNil)
	for _, n := range nodes.Nodes {
		p := &process{Node: n}
		c.procs = append(c.procs, p)
		c.startProcess(p, c.earlier)
	}
	c.fleet.Daemons = nodes.Controls()
	c.Assert(c.fleet.Start(ctx), quicktest.IsNil)
	c.operator = mimic.NewClient(nodes.Controls(), "")
	c.jobs = newJobs(mimic.NewClient(nodes.Frontends(), queueHost))
	c.Assert(c.operator.Put(ctx, newDocument(1)), quicktest.IsNil)
	c.awaitReady()
	c.startService()
	return c
}

// newDocument returns a document with one queue.
func newDocument(version definer.Version) *definer.Document {
	return &definer.Document{
		Version: version, Pools: []definer.Pool{{Name: "pool", Health: "/healthz"}},
		Queues: []definer.Queue{{Name: "q", Host: queueHost, Prefix: queuePrefix, Pool: "pool", MaxAttempts: maxAttempts, Slack: 2, Grace: time.Second, Timeout: 3 * time.Second}},
	}
}

// startProcess starts a daemon with a program; its log is appended to.
func (c *cell) startProcess(p *process, with program) {
	log, err := os.OpenFile(c.logPath(p), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o644)
	c.Assert(err, quicktest.IsNil)
	p.program, p.log = with, log
	p.cmd = exec.Command(with.path, append([]string{"platform"}, with.args...)...)
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.Settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	c.note("start %s with the %s program", p.Name, with.name)
	c.Assert(p.cmd.Start(), quicktest.IsNil)
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan<- error) { ended <- cmd.Wait() }(p.cmd, p.ended)
}

func (c *cell) logPath(p *process) string { return filepath.Join(c.folder, p.Name+".log") }

// awaitLog waits until the log of a daemon holds a text.
func (c *cell) awaitLog(p *process, text string) {
	c.Helper()
	c.await(fmt.Sprintf("%q in the log of %s", text, p.Name), func() bool {
		data, err := os.ReadFile(c.logPath(p))
		return err == nil && strings.Contains(string(data), text)
	})
}

// note writes a line of the play.
func (c *cell) note(format string, args ...any) {
	c.Logf("%s "+format, append([]any{time.Now().UTC().Format("15:04:05.000")}, args...)...)
}

// stop makes a planned stop of a daemon.
func (c *cell) stop(p *process) {
	c.note("planned stop of %s", p.Name)
	c.Assert(c.end(p), quicktest.IsNil, quicktest.Commentf("%s", p.Name))
	c.Assert(p.Started(), quicktest.IsNil)
}

// kill ends a daemon without notice.
func (c *cell) kill(p *process) {
	c.note("kill %s", p.Name)
	_ = p.cmd.Process.Kill() // it may have ended
	_ = c.wait(p)            // it was killed
	c.Assert(p.Started(), quicktest.IsNil)
}

// wait waits until a process has ended, and returns how.
func (c *cell) wait(p *process) error {
	err := <-p.ended
	_ = p.log.Close() // a log that can't be written is incomplete
	p.cmd = nil
	return err
}

// awaitRefusal waits until a replica has stopped by itself, and checks that its last line
// tells what of the log or the snapshot it can't read.
func (c *cell) awaitRefusal(p *process, at string) {
	c.Helper()
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	err := c.wait(p)
	c.Assert(timer.Stop(), quicktest.IsTrue, quicktest.Commentf("%s did not stop by itself", p.Name))
	c.Assert(err, quicktest.IsNotNil)
	data, err := os.ReadFile(c.logPath(p))
	c.Assert(err, quicktest.IsNil)
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	last := lines[len(lines)-1]
	c.note("%s stopped: %s", p.Name, last)
	c.Assert(last, quicktest.Matches, "masticroad platform: coordinator: .*"+at+": .*(cbor|decode|format).*")
}

// end ends a process by a planned stop, if it runs, and returns how it ended.
func (c *cell) end(p *process) error {
	if p.cmd == nil {
		return nil
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	return c.wait(p)
}

// change replaces the program of a daemon by a planned stop, if it runs, and a start.
func (c *cell) change(p *process, to program) {
	if p.cmd != nil {
		c.stop(p)
	}
	c.startProcess(p, to)
	c.awaitReady()
}

func (c *cell) replicas() []*process { return c.procs[:replicas] }

func (c *cell) gateways() []*process { return c.procs[replicas:] }

func running(ps []*process) []*process {
	var out []*process
	for _, p := range ps {
		if p.cmd != nil {
			out = append(out, p)
		}
	}
	return out
}

func without(ps []*process, one *process) []*process {
	var out []*process
	for _, p := range ps {
		if p != one {
			out = append(out, p)
		}
	}
	return out
}

// await polls until a condition holds.
func (c *cell) await(what string, holds func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollPause) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("waited for %s", what))
	}
}

var leadingPattern = regexp.MustCompile(`(?m)^masticroad_leading 1$`)

// awaitLeader waits until exactly one replica leads and returns it.
func (c *cell) awaitLeader() *process {
	c.Helper()
	var leader *process
	c.await("one leader", func() bool {
		leaders := 0
		for _, p := range running(c.replicas()) {
			if leadingPattern.Match(c.get(p.Metrics, "/metrics").Body) {
				leader = p
				leaders++
			}
		}
		return leaders == 1
	})
	return leader
}

func (c *cell) get(address, path string) mimic.Response {
	return mimic.NewClient([]string{address}, "").TryRaw(c.ctx, http.MethodGet, path, nil)
}

// awaitReady waits until one replica leads, all that run know the voters, and all gateways
// that run are ready.
func (c *cell) awaitReady() {
	c.Helper()
	voters := fmt.Sprintf("masticroad_voters %d\n", replicas)
	c.await("the replicas", func() bool {
		for _, p := range running(c.replicas()) {
			if !strings.Contains(string(c.get(p.Metrics, "/metrics").Body), voters) {
				return false
			}
		}
		return true
	})
	c.awaitLeader()
	c.await("the gateways", func() bool {
		for _, p := range running(c.gateways()) {
			if c.get(p.Readiness, codec.PathReady).Status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// lead lets a replica lead: the other followers stop, so that the planned stop of the
// leader transfers leadership to it.
func (c *cell) lead(wanted *process) {
	c.Helper()
	for range 5 {
		leader := c.awaitLeader()
		if leader == wanted {
			c.note("%s leads", wanted.Name)
			return
		}
		stopped := append(without(without(running(c.replicas()), wanted), leader), leader)
		for _, p := range stopped {
			c.stop(p)
		}
		for _, p := range stopped {
			c.startProcess(p, p.program)
		}
		c.awaitReady()
	}
	c.Fatalf("%s does not lead", wanted.Name)
}
