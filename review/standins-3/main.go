// Command standin plays one case of the review: it starts the project's programs with
// stand-ins for workers, the infrastructure, the operator and consumers beside them, and
// checks a rule.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play is what a case works with.
type play struct {
	ctx     context.Context
	rec     *record
	fleet   *fleet
	cloud   *cloud
	cell    *cell
	callers *callers
	trouble bool
}

// errCase tells why a case could not run.
type errCase string

func (e errCase) Error() string { return string(e) }

type scene struct {
	core, edge, machines int
	run                  func(p *play) error
}

var scenes = map[string]scene{
	"lost-answer": {3, 1, 8, lostAnswer},
	"hand-over":   {3, 1, 8, handOver},
	"gang":        {3, 1, 16, gangCheckpoints},
}

func main() {
	name := flag.String("case", "", "the case")
	root := flag.String("root", "", "the repository")
	out := flag.String("record", "record.txt", "where to write the record")
	keep := flag.String("logs", "", "folder that keeps the processes' logs; empty: a temporary one")
	flag.Parse()
	os.Exit(playCase(*name, *root, *out, *keep))
}

func playCase(name, root, out, keep string) int {
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	s, ok := scenes[name]
	if !ok {
		rec.note("no such case: %q", name)
		return couldNot
	}
	folder := keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "case"); err != nil {
			rec.note("%v", err)
			return couldNot
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 105*time.Second)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	p, err := open(ctx, rec, s, root, folder, os.Getenv("TROUBLE") != "0")
	if p != nil && p.cell != nil {
		defer p.cell.stopAll()
	}
	if err == nil {
		err = s.run(p)
	}
	if found := rec.brokenRules(); len(found) > 0 {
		rec.note("result: broken")
		for _, x := range found {
			fmt.Println(x)
		}
		return broken
	}
	if err != nil {
		rec.note("result: the case could not run: %v", err)
		fmt.Println(err)
		return couldNot
	}
	rec.note("result: held")
	return held
}

// open starts the stand-ins and the processes, and waits until jobs are accepted.
func open(ctx context.Context, rec *record, s scene, root, folder string, trouble bool) (*play, error) {
	p := &play{ctx: ctx, rec: rec, trouble: trouble}
	rec.note("trouble: %v", trouble)
	var err error
	if p.fleet, err = newFleet(ctx, rec, s.machines); err != nil {
		return p, err
	}
	address := ""
	if p.cloud, address, err = newCloud(p.fleet); err != nil {
		return p, err
	}
	if p.cell, err = newCell(root, folder, rec, s.core, s.edge, address, address); err != nil {
		return p, err
	}
	for _, d := range p.cell.daemons {
		if err := p.cell.start(d); err != nil {
			return p, err
		}
	}
	p.callers = &callers{ctx, rec, p.cell, &http.Client{Timeout: 3 * time.Second}}
	if !p.callers.configure() {
		return p, errCase("the first desired state was not confirmed")
	}
	p.fleet.open(ctx, p.cell.controls())
	// A short job shows that all is ready.
	if !p.callers.submit("00000000000000aa", work{Ms: 200}, step{Count: s.machines, CPU: 1000, MemMB: 100, EstimateMs: 200, MaxPerServer: 1}) {
		return p, errCase("the first job was not accepted")
	}
	if !wait(ctx, 20*time.Second, func() bool { return p.fleet.countDone("00000000000000aa") == s.machines }) {
		return p, errCase("the first job was not done")
	}
	time.Sleep(3 * time.Second)
	return p, nil
}
