// Package scenarios_test runs scripted scenarios against cells of real
// processes behind a fault-injecting proxy.
package scenarios_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"masticroad/internal/cli/commander"
	"masticroad/internal/load/imitator"
	"masticroad/internal/peer/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"masticroad": func() { os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// The scenarios of faults run one at a time, so that they don't starve each
// other of processors.
func TestFaults(t *testing.T) { run(t, "faults") }

func TestProgram(t *testing.T) { run(t, "program") }

func run(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Setup: func(env *testscript.Env) error {
			env.Values[cellKey{}] = &holder{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cell": cellCommand, "daemon": daemonCommand, "net": netCommand, "targets": targetsCommand,
			"load": loadCommand, "ask": askCommand, "race": raceCommand, "pause": pauseCommand, "await": awaitCommand,
			"running": runningCommand, "changes": changesCommand,
		},
	})
}

type cellKey struct{}

func cellOf(ts *testscript.TestScript) *cell {
	c, ok := ts.Value(cellKey{}).(*holder)
	if !ok || c.cell == nil {
		ts.Fatalf("no cell was started")
	}
	return c.cell
}

type holder struct{ cell *cell }

// cellCommand: cell start DAEMONS VOTERS [SETTINGS LINE...] | cell agree
func cellCommand(ts *testscript.TestScript, _ bool, args []string) {
	switch args[0] {
	case "start":
		program, err := exec.LookPath("masticroad")
		ts.Check(err)
		c, err := newCell(ts.MkAbs("."), program, number(ts, args[1]), number(ts, args[2]))
		ts.Check(err)
		ts.Defer(c.close)
		c.extra = strings.Join(args[3:], "\n") + "\n"
		holderOf(ts).cell = c
		ts.Setenv("DAEMON", c.procs[0].http)
		for _, p := range c.procs {
			ts.Check(c.prepare(p))
			ts.Check(c.start(p))
		}
		ts.Check(c.awaitReady())
		ts.Check(declare(c, c.running()[0], "tills"))
	case "regions":
		program, err := exec.LookPath("masticroad")
		ts.Check(err)
		c, err := newCell(ts.MkAbs("."), program, 6, 6)
		ts.Check(err)
		ts.Defer(c.close)
		c.regional = true
		for i, p := range c.procs {
			p.region = []string{"r1", "r2"}[i/3]
		}
		holderOf(ts).cell = c
		for _, p := range c.procs {
			ts.Check(c.prepare(p))
			ts.Check(c.start(p))
		}
		ts.Check(c.awaitReady())
		ts.Check(declare(c, c.procs[0], "tills"))
		ts.Check(declare(c, c.procs[3], "renewals"))
	case "agree":
		ts.Check(cellOf(ts).agree())
	default:
		ts.Fatalf("cell %v", args)
	}
}

func holderOf(ts *testscript.TestScript) *holder {
	h, ok := ts.Value(cellKey{}).(*holder)
	if !ok {
		ts.Fatalf("no holder")
	}
	return h
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// daemonCommand: daemon kill|stop|start|pause|resume|wipe|ready NAME. The
// daemon that was meant by "leader" or "follower" is "last" afterwards.
func daemonCommand(ts *testscript.TestScript, neg bool, args []string) {
	c := cellOf(ts)
	name := args[1]
	if name == "last" {
		name = ts.Getenv("LAST")
	}
	p, err := c.resolve(name)
	ts.Check(err)
	ts.Setenv("LAST", p.name)
	ts.Setenv("LAST_HTTP", p.http)
	ts.Logf("daemon %s %s", args[0], p.name)
	switch args[0] {
	case "kill":
		err = c.kill(p)
	case "stop":
		err = c.stop(p)
	case "start":
		err = c.start(p)
	case "pause":
		err = c.signal(p, syscall.SIGSTOP)
	case "resume":
		err = c.signal(p, syscall.SIGCONT)
	case "wipe":
		err = c.wipe(p)
	case "ready":
		err = c.awaitReady(p.name)
	case "which":
	default:
		ts.Fatalf("daemon %v", args)
	}
	if neg != (err != nil) {
		ts.Fatalf("daemon %v: %v", args, err)
	}
}

// netCommand: net isolate NAME | net cut FROM TO | net heal | net silence
func netCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "isolate":
		p, err := c.resolve(args[1])
		ts.Check(err)
		ts.Setenv("LAST", p.name)
		ts.Setenv("LAST_HTTP", p.http)
		ts.Check(c.isolate(p.name))
	case "cut":
		ts.Check(c.cut(args[1], args[2]))
	case "part": // net part REGION...: what these regions send to others vanishes
		for _, name := range args[1:] {
			ts.Check(c.cutRegions(name))
		}
	case "slow":
		ts.Check(c.slowLink())
	case "heal":
		c.heal()
	case "silence":
		c.silenceOpen()
	default:
		ts.Fatalf("net %v", args)
	}
}

// targetsCommand: targets start N [FAULT] | targets fault I FAULT | targets
// kill I | targets leave I
func targetsCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "start":
		n := number(ts, args[1])
		if c.regional {
			ts.Check(c.startTargets(n, "r1", imitator.Faults{}))
			ts.Check(c.startTargets(n, "r2", imitator.Faults{}))
		} else {
			ts.Check(c.startTargets(n, "r1", faultOf(ts, args[2:])))
		}
		want := len(c.targets)
		ts.Check(poll(30*time.Second, func() error {
			reply, err := c.ask(c.running()[0], "SHOW Targets WHERE State = Alive")
			if err != nil || reply.Table == nil || rowsOf(reply) < want {
				return fmt.Errorf("%d targets are not up: %v", want, err)
			}
			return nil
		}))
	case "fault":
		c.targets[number(ts, args[1])-1].SetFaults(faultOf(ts, args[2:]))
	case "kill":
		c.stops[number(ts, args[1])-1]()
	case "leave":
		c.targets[number(ts, args[1])-1].Leave()
	default:
		ts.Fatalf("targets %v", args)
	}
}

func faultOf(ts *testscript.TestScript, args []string) imitator.Faults {
	var f imitator.Faults
	for _, name := range args {
		switch name {
		case "late":
			f.Late = 3 * time.Second
		case "lose":
			f.LoseAnswers = true
		case "truncate":
			f.Truncate = true
		case "mislabel":
			f.Mislabel = true
		case "double":
			f.Duplicate = true
		case "fail":
			f.FailAll = true
		case "forget":
			f.ForgetStart = true
		case "silent":
			f.Silent = true
		case "greedy":
			f.UsageFactor = 3
		case "none":
		default:
			ts.Fatalf("fault %q", name)
		}
	}
	return f
}

// loadCommand: load start WORKERS [RUN MILLIS] | load stop [LONGEST]
func loadCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "start":
		run := 20
		if len(args) > 2 {
			run = number(ts, args[2])
		}
		c.load = startLoad(c, number(ts, args[1]), run)
		if c.regional {
			c.load.other = startLoadOf(c, "renewals", number(ts, args[1]), run)
		}
	case "balance":
		go c.load.balance()
		ts.Check(poll(10*time.Second, func() error {
			if c.load.ready.Load() == nil {
				return fmt.Errorf("no daemon was looked at")
			}
			return nil
		}))
	case "stop":
		var problems []string
		for l := c.load; l != nil; l = l.other {
			n := l.stop()
			problems = append(problems, l.check()...)
			ts.Logf("%s: %d requests, longest %s: %s", l.caller, n, l.longest.Round(time.Millisecond), l.slowest())
			if len(args) > 1 { // load stop LONGEST
				limit, err := time.ParseDuration(args[1])
				ts.Check(err)
				if l.longest > limit {
					ts.Fatalf("%s waited %s for an outcome", l.caller, l.longest)
				}
			}
		}
		if len(problems) > 0 {
			ts.Fatalf("%d broken promises, the first: %s", len(problems), strings.Join(problems[:min(len(problems), 5)], "; "))
		}
	case "cuts":
		for _, r := range c.load.results {
			if r.cuts > 0 {
				ts.Fatalf("request %s saw %d cut connections: %s", r.key, r.cuts, r.cutBy)
			}
		}
	default:
		ts.Fatalf("load %v", args)
	}
}

// askCommand: ask NAME STATEMENT. The answer goes to standard output.
func askCommand(ts *testscript.TestScript, neg bool, args []string) {
	c := cellOf(ts)
	name := args[0]
	if name == "last" {
		name = ts.Getenv("LAST")
	}
	if name == "any" {
		name = c.running()[0].name
	}
	p, err := c.resolve(name)
	ts.Check(err)
	err = ts.Exec("masticroad", "ask", args[1], "--daemon", p.http)
	if neg != (err != nil) {
		ts.Fatalf("ask %v: %v", args, err)
	}
}

// awaitCommand: await ROWS QUERY polls until the query gives that many rows.
func awaitCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	want := number(ts, args[0])
	ts.Check(poll(60*time.Second, func() error {
		var last error
		for _, p := range c.running() {
			reply, err := c.ask(p, args[1])
			if err != nil || reply.Table == nil {
				last = fmt.Errorf("%s: %v", args[1], err)
				continue
			}
			if rowsOf(reply) == want {
				return nil
			}
			return fmt.Errorf("%s gave %d rows, not %d: %v", args[1], len(reply.Table.Rows), want, reply.Table.Rows)
		}
		return last
	}))
}

// rowsOf counts the rows of a query over all regions.
func rowsOf(r *operator.Reply) int {
	n := len(r.Table.Rows)
	for _, x := range r.Elsewhere {
		if x.Reply.Table != nil {
			n += len(x.Reply.Table.Rows)
		}
	}
	return n
}

// runningCommand: running N polls until the targets run N tasks.
func runningCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	want := number(ts, args[0])
	ts.Check(poll(60*time.Second, func() error {
		if _, n := c.history.Using(); n != want {
			return fmt.Errorf("%d tasks run, not %d", n, want)
		}
		return nil
	}))
}

// raceCommand: race N changes one caller N times at once on one base, through
// all daemons in turn; exactly one must be accepted.
func raceCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	n := number(ts, args[0])
	results := make(chan string, n)
	base := revisionOf(ts, c)
	for i := range n {
		go func() {
			p := c.running()[i%len(c.running())]
			st := fmt.Sprintf("CHANGE CALLER tills SET Weight = %d BASE %d ID \"race-%d-%d\"", i+1, base, base, i)
			reply, err := c.ask(p, st)
			switch {
			case err != nil:
				results <- "error: " + err.Error()
			case len(reply.Findings) > 0:
				results <- "refused: " + reply.Findings[0]
			default:
				results <- "accepted"
			}
		}()
	}
	accepted := 0
	for range n {
		r := <-results
		if r == "accepted" {
			accepted++
		} else if !strings.HasPrefix(r, "refused: based on revision") {
			ts.Fatalf("race: %s", r)
		}
	}
	if accepted != 1 {
		ts.Fatalf("%d of %d racing changes were accepted", accepted, n)
	}
}

// changesCommand: changes N makes N changes one after another.
func changesCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	for i := range number(ts, args[0]) {
		reply, err := c.ask(c.running()[0], fmt.Sprintf("CHANGE CALLER tills SET Weight = %d", i+1))
		ts.Check(err)
		if len(reply.Findings) > 0 {
			ts.Fatalf("change %d: %v", i, reply.Findings)
		}
	}
}

func revisionOf(ts *testscript.TestScript, c *cell) int {
	reply, err := c.ask(c.running()[0], "SHOW Changes COLUMNS Revision ORDER BY Revision DESC LIMIT 1")
	ts.Check(err)
	return number(ts, reply.Table.Rows[0][0])
}

// pauseCommand: pause DURATION lets time pass while faults last.
func pauseCommand(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}
