package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/planner"
)

// This file tests what happens to long-running tasks that have no run.

// recordsOf returns the log records with a message.
func (s *harness) recordsOf(message string) []planner.LogRecord {
	var out []planner.LogRecord
	for _, r := range s.records {
		if r.Message == message {
			out = append(out, r)
		}
	}
	return out
}

func field(r planner.LogRecord, name string) any {
	for i := 0; i+1 < len(r.Fields); i += 2 {
		if r.Fields[i] == name {
			return r.Fields[i+1]
		}
	}
	return nil
}

func TestOutageOfLongRunningTaskIsLogged(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	step := oneTask(cpus(4))
	step.LongRunning, step.Count = true, 5 // four of them fit
	c.Assert(s.submit(7, step), quicktest.HasLen, 4)
	s.advance(1900 * time.Millisecond)
	c.Assert(s.recordsOf("long-running tasks without a run"), quicktest.HasLen, 0)
	s.advance(3 * time.Second)
	records := s.recordsOf("long-running tasks without a run")
	c.Assert(records, quicktest.HasLen, 2)
	c.Assert(field(records[0], "tasks"), quicktest.Equals, 1)
	c.Assert(field(records[0], "eligible"), quicktest.Equals, 1)
	c.Assert(field(records[0], "room"), quicktest.Equals, 0)
	c.Assert(s.p.Load(s.now).LongestOutage, quicktest.Equals, 4900*time.Millisecond)
	c.Assert(s.p.UntrackedTasks(), quicktest.HasLen, 0)
}
