// Package soak_test plays rehearsals with faults: daemons as processes, behind
// relays, under load.
package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/load/rehearser"
)

// Seeds that have failed once stay here, with the cause.
var regressions = []struct {
	seed  int64
	cause string
}{}

// seeds returns the seeds to play: those that failed once, two fixed ones, and
// from MASTICROAD_SOAK_SEED on as many as MASTICROAD_SOAK_RUNS tells.
func seeds() []int64 {
	var out []int64
	for _, r := range regressions {
		out = append(out, r.seed)
	}
	runs, err := strconv.Atoi(os.Getenv("MASTICROAD_SOAK_RUNS"))
	if err != nil {
		return append(out, 1, 2)
	}
	first, err := strconv.ParseInt(os.Getenv("MASTICROAD_SOAK_SEED"), 10, 64)
	if err != nil {
		first = time.Now().Unix()
	}
	for n := range runs {
		out = append(out, first+int64(n))
	}
	return out
}

func TestSoak(t *testing.T) {
	program := build(t)
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := quicktest.New(t)
			r := &rehearser.Rehearsal{
				Program: program, Folder: t.ArtifactDir(), Faults: true, Seed: seed, Duration: 7 * time.Second, Trace: func(text string) { t.Log(text) },
				Replicas: 3 + 2*int(seed%2), // with 5, the leader need not be a seed
			}
			report, err := r.Play(context.Background())
			c.Assert(err, quicktest.IsNil)
			c.Assert(report.Problems, quicktest.HasLen, 0)
			c.Assert(report.Done > 0, quicktest.IsTrue)
		})
	}
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "masticroad")
	build := exec.Command("go", "build", "-o", program, "masticroad/cmd/masticroad")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// The disk of each replica is full for a while, one after another. Meanwhile no
// change is lost, and afterwards changes are acknowledged in time.
func TestChangesAreAcknowledgedAfterDisksWereFullInTurn(t *testing.T) {
	program := build(t)
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			c := quicktest.New(t)
			folder := t.ArtifactDir()
			r := &rehearser.Rehearsal{
				Program: program, Folder: folder, Replicas: 5, Faults: true, FullDisks: true, Seed: seed, Duration: 16 * time.Second, Trace: func(text string) { t.Log(text) },
			}
			report, err := r.Play(context.Background())
			c.Assert(err, quicktest.IsNil)
			c.Assert(report.Problems, quicktest.HasLen, 0)
			c.Assert(report.Done > 0, quicktest.IsTrue)
			for _, d := range report.Daemons[:r.Replicas] {
				log, err := os.ReadFile(filepath.Join(folder, d.Name+".log"))
				c.Assert(err, quicktest.IsNil)
				c.Assert(strings.Contains(string(log), "log can't be written"), quicktest.IsTrue, quicktest.Commentf("the disk of %s was never full", d.Name))
			}
		})
	}
}

// More targets than connections: targets take turns, and nothing that a daemon opens
// fails for want of descriptors.
func TestMoreTargetsThanConnections(t *testing.T) {
	const limit = 520 // 134 connections to targets
	program := build(t)
	for _, faults := range []bool{false, true} {
		t.Run(fmt.Sprintf("faults=%t", faults), func(t *testing.T) {
			c := quicktest.New(t)
			folder := t.ArtifactDir()
			r := &rehearser.Rehearsal{
				Program: program, Folder: folder, Targets: 300, Descriptors: limit, Faults: faults, Seed: 1, Rate: 30, Duration: 7 * time.Second,
				Trace: func(text string) { t.Log(text) },
			}
			report, err := r.Play(context.Background())
			c.Assert(err, quicktest.IsNil)
			c.Assert(report.Problems, quicktest.HasLen, 0)
			c.Assert(report.Done > 0, quicktest.IsTrue)
			most := 0
			for _, d := range report.Daemons {
				most = max(most, d.Descriptors)
				log, err := os.ReadFile(filepath.Join(folder, d.Name+".log"))
				c.Assert(err, quicktest.IsNil)
				c.Assert(strings.Contains(string(log), "too many open files"), quicktest.IsFalse, quicktest.Commentf("%s", d.Name))
				c.Assert(strings.Contains(string(log), "NoDescriptor"), quicktest.IsFalse, quicktest.Commentf("%s", d.Name))
			}
			c.Assert(most > 134, quicktest.IsTrue, quicktest.Commentf("the limit did not bind: %d descriptors", most))
			t.Logf("%d jobs, at most %d descriptors; beyond the declared run time p50 %s, p99 %s", report.Done, most, report.At(0.5), report.At(0.99))
		})
	}
}

// Guards against jobs that run although all answers to their callers were refusals, while all
// replicas are without power and callers give up.
func TestOutageOfAllReplicas(t *testing.T) {
	c := quicktest.New(t)
	r := &rehearser.Rehearsal{Program: build(t), Folder: t.ArtifactDir(), Seed: 1, Run: 200 * time.Millisecond, Duration: 9 * time.Second, Outage: 4 * time.Second}
	report, err := r.Play(context.Background())
	c.Assert(err, quicktest.IsNil)
	c.Assert(report.Problems, quicktest.HasLen, 0)
	c.Assert(report.Done > 0, quicktest.IsTrue)
	t.Logf("%d callers gave up, answers by status %v", report.GaveUp, report.Answers)
}
