package tracker_test

import (
	"encoding/hex"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tests how often a gang has failed: its members fail together, or break when
// one of them fails.

// gang is a state with one job, a gang of three tasks in a queue with two attempts.
type gang struct {
	*tracker.State
	step definer.StepID
}

func newGang(occurrences int) *gang {
	s := &gang{newState(), definer.StepID{Job: 1}}
	s.ApplyEvent(tracker.Event{FormatRaised: &tracker.FormatRaised{Format: tracker.CurrentFormat}}, 1)
	job := &definer.Job{ID: 1, Steps: []definer.Step{{Count: 3, Gang: true}}}
	if occurrences > 1 {
		job.Repeat = definer.Repeat{Count: occurrences, First: 1, Interval: 1}
	}
	s.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: job}}, 2)
	for range occurrences {
		s.ApplyEvent(tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: 1}}, 2)
	}
	return s
}

func (s *gang) start(number tracker.RunNumber) {
	s.ApplyEvent(tracker.Event{RunsStarted: &tracker.RunsStarted{Step: s.step, Number: number, Runs: []tracker.Placement{
		{Index: 0, Target: "t1"}, {Index: 1, Target: "t1"}, {Index: 2, Target: "t2"},
	}}}, 3)
}

func (s *gang) end(number tracker.RunNumber, ends ...tracker.End) {
	for i, how := range ends {
		s.ApplyEvent(tracker.Event{RunEnded: &tracker.RunEnded{Task: s.step.Task(i), Number: number, How: how}}, 4)
	}
}

// Guards against a gang that is given up after one run because several of its members
// have failed in it.
func TestMembersOfAGangThatFailTogetherAreOneFailedRun(t *testing.T) {
	const failed, broken = tracker.EndFailed, tracker.EndGangBroken
	for name, ends := range map[string][]tracker.End{
		"all":             {failed, failed, failed},
		"on one target":   {failed, failed, broken},
		"on two targets":  {broken, failed, failed},
		"one":             {broken, broken, failed},
		"one of a target": {failed, tracker.EndTargetLost, tracker.EndTargetLost},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newGang(1)
			s.start(1)
			s.end(1, ends...)
			s.end(1, ends...) // listed again
			c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Active)
			c.Assert(s.Jobs[1].Occurrences[0].Steps[0].Failures, quicktest.Equals, 1)
			s.start(2)
			s.end(2, ends...)
			c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Failed, quicktest.Commentf("after as many runs as are allowed"))
		})
	}
}

// A snapshot is restored between two ends of one run.
func TestFailedRunOfAGangIsCountedOnceAcrossASnapshot(t *testing.T) {
	c := quicktest.New(t)
	s := newGang(1)
	s.start(1)
	s.end(1, tracker.EndFailed)
	data, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.Restore(data), quicktest.IsNil)
	s.end(1, tracker.EndFailed, tracker.EndFailed, tracker.EndFailed)
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Active)
	c.Assert(s.Clone().Jobs[1].Occurrences[0].Steps[0].Failures, quicktest.Equals, 1)
}

// Each occurrence of a recurring job has attempts of its own.
func TestFailedRunsOfAGangAreCountedForEachOccurrence(t *testing.T) {
	c := quicktest.New(t)
	s := newGang(2)
	for k := range 2 {
		s.step.Occurrence = k
		s.start(1)
		s.end(1, tracker.EndFailed, tracker.EndFailed, tracker.EndFailed)
	}
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Active)
	s.start(2)
	s.end(2, tracker.EndGangBroken, tracker.EndFailed)
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Failed)
}

// A member fails in the run in which another one succeeds, which is the success of all.
func TestFailureAfterTheSuccessOfAGangDoesNotCount(t *testing.T) {
	c := quicktest.New(t)
	s := newGang(1)
	s.start(1)
	s.end(1, tracker.EndFailed, tracker.EndGangBroken, tracker.EndGangBroken)
	s.start(2)
	s.end(2, tracker.EndDone, tracker.EndFailed, tracker.EndDone)
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Completed)
}

// The same with a later step, for which the job goes on.
func TestFailureAfterTheSuccessOfAGangDoesNotEndItsJob(t *testing.T) {
	c := quicktest.New(t)
	s := &gang{newState(), definer.StepID{Job: 1}}
	s.ApplyEvent(tracker.Event{FormatRaised: &tracker.FormatRaised{Format: tracker.CurrentFormat}}, 1)
	s.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: &definer.Job{ID: 1, Steps: []definer.Step{{Count: 3, Gang: true}, {Count: 1, DependsOn: []int{0}}}}}}, 2)
	s.ApplyEvent(tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: 1}}, 2)
	s.start(1)
	s.end(1, tracker.EndFailed, tracker.EndGangBroken, tracker.EndGangBroken)
	s.start(2)
	s.end(2, tracker.EndDone, tracker.EndFailed, tracker.EndDone)
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Active)
}

func readHex(c *quicktest.C, name string) [][]byte {
	text, err := os.ReadFile("testdata/" + name)
	c.Assert(err, quicktest.IsNil)
	var out [][]byte
	for _, line := range strings.Fields(string(text)) {
		data, err := hex.DecodeString(line)
		c.Assert(err, quicktest.IsNil)
		out = append(out, data)
	}
	return out
}

// A log and a snapshot that were written when failed ends were counted. In both, job 1 has
// ended as failed, which callers were shown, and the gang of job 2 has had one run, which
// failed with both members, and is in its second of three.
func TestLogAndSnapshotOfBeforeGangRunsAreRead(t *testing.T) {
	c := quicktest.New(t)
	replayed, restored := tracker.New(), tracker.New()
	for n, data := range readHex(c, "before-gang-runs.log") {
		_, err := replayed.Apply(registrar.Index(n+1), data)
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(restored.Restore(readHex(c, "before-gang-runs.snapshot")[0]), quicktest.IsNil)
	for name, s := range map[string]*tracker.State{"log": replayed, "snapshot": restored} {
		c.Run(name, func(c *quicktest.C) {
			c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Failed)
			c.Assert(s.Jobs[2].Occurrences[0].Steps[0].Failures, quicktest.Equals, 2)
			raise := tracker.Event{FormatRaised: &tracker.FormatRaised{Format: tracker.CurrentFormat}}
			s.ApplyEvent(raise, 20)
			s.ApplyEvent(raise, 21)
			c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Failed)
			c.Assert(s.Jobs[2].Occurrences[0].Steps[0].Failures, quicktest.Equals, 1, quicktest.Commentf("one run has failed"))
			g := &gang{s, definer.StepID{Job: 2}}
			g.end(2, tracker.EndFailed, tracker.EndFailed)
			c.Assert(s.Jobs[2].State, quicktest.Equals, tracker.Active)
			g.ApplyEvent(tracker.Event{RunsStarted: &tracker.RunsStarted{Step: g.step, Number: 3, Runs: []tracker.Placement{{Index: 0, Target: "t1"}, {Index: 1, Target: "t2"}}}}, 22)
			g.end(3, tracker.EndFailed, tracker.EndFailed)
			c.Assert(s.Jobs[2].State, quicktest.Equals, tracker.Failed)
		})
	}
	a, err := replayed.Encode()
	c.Assert(err, quicktest.IsNil)
	b, err := restored.Encode()
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(a), quicktest.Equals, string(b))
}
