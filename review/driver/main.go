// Command driver runs one case of the review: it starts the system's own processes on
// loopback addresses, stands in for workers, consumers, the operator and the
// infrastructure, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

const (
	held    = 0
	broken  = 1
	notRun  = 2
	runTime = 110 * time.Second
)

// test is a case. It returns the breaks of its rule.
type test func(c *cell, trouble bool) ([]string, error)

var tests = map[string]test{
	"lost-after-restart": lostAfterRestart,
	"late-deregister":    lateDeregister,
	"many-ends":          manyEnds,
	"foreign-ping":       foreignPing,
	"leader-cut":         leaderCut,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || tests[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return notRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCell(rec, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer c.end()
	type result struct {
		breaks []string
		err    error
	}
	finished := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	runTest := func() {
		runtime.LockOSThread() // the processes end with the thread that has started them
		breaks, err := tests[os.Args[1]](c, trouble)
		finished <- result{breaks, err}
	}
	go runTest()
	select {
	case r := <-finished:
		return report(rec, r.breaks, r.err)
	case <-time.After(runTime):
		return report(rec, nil, fmt.Errorf("not finished within %s", runTime))
	case s := <-stop:
		return report(rec, nil, fmt.Errorf("stopped by %s", s))
	}
}

func report(rec *recorder, breaks []string, err error) int {
	if err != nil {
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		return notRun
	}
	for _, b := range breaks {
		rec.log("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		return broken
	}
	rec.log("held")
	fmt.Println("held")
	return held
}
