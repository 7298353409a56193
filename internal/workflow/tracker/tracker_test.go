package tracker_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

const pool = definer.PoolName("p")

func newState() *tracker.State {
	s := tracker.New()
	s.ApplyEvent(tracker.Event{DocumentPut: &tracker.DocumentPut{Document: &definer.Document{
		Version: 1, Pools: []definer.Pool{{Name: pool}}, Queues: []definer.Queue{{Name: "q", Pool: pool, MaxAttempts: 2}},
	}}}, 1)
	for _, id := range []tracker.TargetID{"t1", "t2"} {
		s.ApplyEvent(tracker.Event{TargetSeen: &tracker.TargetSeen{Target: tracker.Target{ID: id, Incarnation: 1, Pool: pool}}}, 1)
	}
	return s
}

// drawEvent draws an event about one of two jobs or a wave. The event may or may
// not match the state.
func drawEvent(t *rapid.T) tracker.Event {
	job := definer.JobID(rapid.IntRange(1, 2).Draw(t, "job"))
	step := definer.StepID{Job: job, Step: rapid.IntRange(0, 2).Draw(t, "step")}
	index := rapid.IntRange(0, 3).Draw(t, "index")
	number := tracker.RunNumber(rapid.IntRange(1, 3).Draw(t, "number"))
	target := rapid.SampledFrom([]tracker.TargetID{"t1", "t2", "t3"}).Draw(t, "target")
	switch rapid.IntRange(0, 12).Draw(t, "kind") {
	case 0:
		return tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: &definer.Job{ID: job, Steps: []definer.Step{
			{Count: 3}, {Count: 2, Gang: true, DependsOn: []int{0}},
		}}}}
	case 1:
		return tracker.Event{JobCancelled: &tracker.JobCancelled{Job: job}}
	case 2:
		return tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: job}}
	case 3:
		return tracker.Event{TargetGone: &tracker.TargetGone{Target: target}}
	case 4:
		return tracker.Event{JobsForgotten: &tracker.JobsForgotten{Before: registrar.Millis(rapid.IntRange(0, 100).Draw(t, "before"))}}
	case 5:
		return tracker.Event{WavePut: &tracker.WavePut{ID: 1, VMs: []tracker.VMID{"a", "b"}, Duration: time.Second, MaxDown: 1}}
	case 6:
		return tracker.Event{VMTaken: &tracker.VMTaken{Wave: 1, VM: "a"}}
	case 7:
		return tracker.Event{VMServiced: &tracker.VMServiced{Wave: 1, VM: "a"}}
	case 8:
		return tracker.Event{RunsStarted: &tracker.RunsStarted{Step: step, Number: number, Runs: []tracker.Placement{{Index: index, Target: target}}}}
	case 10:
		return tracker.Event{JobWithdrawn: &tracker.Withdrawal{Job: job, Number: tracker.WithdrawalNumber(rapid.IntRange(1, 9).Draw(t, "withdrawal"))}}
	case 11:
		return tracker.Event{WithdrawalsForgotten: &tracker.WithdrawalsForgotten{Through: tracker.WithdrawalNumber(rapid.IntRange(1, 9).Draw(t, "through"))}}
	case 9:
		return tracker.Event{FormatRaised: &tracker.FormatRaised{Format: tracker.CurrentFormat}}
	}
	how := rapid.SampledFrom([]tracker.End{tracker.EndDone, tracker.EndFailed, tracker.EndTargetLost}).Draw(t, "how")
	return tracker.Event{RunEnded: &tracker.RunEnded{Task: step.Task(index), Number: number, How: how, Checkpoint: "c"}}
}

// TestReplaySnapshotAndCloneGiveEqualState guards against replicas that diverge.
// For any sequence of events, applying them directly and replaying the log with
// duplicate entries and restored snapshots must give the same state, a clone must
// equal its original, and the counters must match the items that they count.
func TestReplaySnapshotAndCloneGiveEqualState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		direct, replayed := newState(), newState()
		for n := range rapid.IntRange(1, 60).Draw(t, "events") {
			ev := drawEvent(t)
			at := registrar.Millis(n + 2)
			data, err := (&tracker.Entry{At: at, Events: []tracker.Event{ev}}).Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := replayed.Apply(registrar.Index(n+1), data); err != nil {
				t.Fatal(err)
			}
			if _, err := replayed.Apply(registrar.Index(n+1), data); err != nil { // a duplicate has no effect
				t.Fatal(err)
			}
			direct.Applied, direct.Clock = registrar.Index(n+1), at
			direct.ApplyEvent(ev, at)
			checkCounts(t, replayed)
			if n%7 == 0 {
				replayed = restored(t, replayed)
			}
		}
		if a, b := encoded(t, direct), encoded(t, replayed); string(a) != string(b) {
			t.Fatalf("state after direct application and after replay differ:\n%x\n%x", a, b)
		}
		if a, b := encoded(t, replayed), encoded(t, replayed.Clone()); string(a) != string(b) {
			t.Fatal("clone differs from its original")
		}
	})
}

func encoded(t *rapid.T, s *tracker.State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restored(t *rapid.T, s *tracker.State) *tracker.State {
	out := tracker.New()
	if err := out.Restore(encoded(t, s)); err != nil {
		t.Fatal(err)
	}
	return out
}

// checkCounts compares the counters in the state with the items that they count.
func checkCounts(t *rapid.T, s *tracker.State) {
	for id, j := range s.Jobs {
		runs := 0
		for _, o := range j.Occurrences {
			left := 0
			for i := range o.Steps {
				undone := 0
				for k := range o.Steps[i].Tasks {
					task := &o.Steps[i].Tasks[k]
					runs += len(task.Runs)
					if !task.Done {
						undone++
					}
				}
				if s.Format >= tracker.FormatGangRuns && o.Steps[i].Failures > int(o.Steps[i].FailedRun) {
					t.Fatalf("job %s step %d: %d failed runs of a gang up to run %d", id, i, o.Steps[i].Failures, o.Steps[i].FailedRun)
				}
				if undone != o.Steps[i].TasksLeft {
					t.Fatalf("job %s step %d: %d tasks are not done, TasksLeft is %d", id, i, undone, o.Steps[i].TasksLeft)
				}
				if undone > 0 {
					left++
				}
			}
			if left != o.StepsLeft {
				t.Fatalf("job %s: %d steps are not done, StepsLeft is %d", id, left, o.StepsLeft)
			}
		}
		if runs != j.ActiveRuns {
			t.Fatalf("job %s has %d runs, ActiveRuns is %d", id, runs, j.ActiveRuns)
		}
		if j.State == tracker.Completed && j.Def != nil && j.OccurrencesCompleted != j.Def.Occurrences() {
			t.Fatalf("job %s is in state Completed with %d completed occurrences", id, j.OccurrencesCompleted)
		}
	}
}

func TestJobFailsWhenTaskReachesMaxAttempts(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	s.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: &definer.Job{ID: 1, Steps: []definer.Step{{Count: 1}}}}}, 2)
	s.ApplyEvent(tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: 1}}, 2)
	step := definer.StepID{Job: 1}
	for n := tracker.RunNumber(1); n <= 2; n++ {
		c.Assert(s.Jobs[1].State.Ended(), quicktest.IsFalse)
		s.ApplyEvent(tracker.Event{RunsStarted: &tracker.RunsStarted{Step: step, Number: n, Runs: []tracker.Placement{{Target: "t1"}}}}, 3)
		s.ApplyEvent(tracker.Event{RunEnded: &tracker.RunEnded{Task: step.Task(0), Number: n, How: tracker.EndFailed}}, 4)
	}
	c.Assert(s.Jobs[1].State, quicktest.Equals, tracker.Failed)
	c.Assert(s.Jobs[1].Def, quicktest.IsNil)
}

func FuzzDecodeEntry(f *testing.F) {
	data, err := (&tracker.Entry{At: 1, Events: []tracker.Event{{JobCancelled: &tracker.JobCancelled{Job: 1}}}}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := tracker.DecodeEntry(data)
		if err != nil {
			return
		}
		if _, err := e.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMain(m *testing.M) { runWithFixedSeed(m) }

// A job that was cancelled before it arrived is not accepted, whatever an entry says, and a
// snapshot, a clone and forgetting others change nothing about that.
func TestWithdrawalSurvivesSnapshotAndClone(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	for n, id := range []definer.JobID{1, 2, 1} {
		s.ApplyEvent(tracker.Event{JobWithdrawn: &tracker.Withdrawal{Job: id, Number: tracker.WithdrawalNumber(n + 1)}}, 2)
	}
	s.ApplyEvent(tracker.Event{WithdrawalsForgotten: &tracker.WithdrawalsForgotten{Through: 2}}, 3)
	data, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	restored := tracker.New()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	for _, x := range []*tracker.State{s, restored, s.Clone()} {
		for _, id := range []definer.JobID{1, 2} {
			x.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: &definer.Job{ID: id, Steps: []definer.Step{{Count: 1}}}}}, 4)
		}
		c.Assert(x.Jobs[1], quicktest.IsNil)
		c.Assert(x.Jobs[2], quicktest.IsNotNil)
		c.Assert(x.LatestWithdrawal(), quicktest.Equals, tracker.WithdrawalNumber(3))
	}
}

func TestLeasesSurviveSnapshotAndClone(t *testing.T) {
	c := quicktest.New(t)
	s := newState()
	s.ApplyEvent(tracker.Event{LeaseRaised: &tracker.LeaseRaised{Short: 3 * time.Second, Long: 6 * time.Second}}, 1)
	s.ApplyEvent(tracker.Event{LeaseRaised: &tracker.LeaseRaised{Short: 2 * time.Second}}, 2)
	data, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	restored := tracker.New()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	for _, x := range []*tracker.State{s, s.Clone(), restored} {
		c.Assert(x.ShortLease, quicktest.Equals, 3*time.Second)
		c.Assert(x.LongLease, quicktest.Equals, 6*time.Second)
	}
	s.ApplyEvent(tracker.Event{LeaseRaised: &tracker.LeaseRaised{Short: 3 * time.Second, Long: 5 * time.Second}}, 3)
	c.Assert(s.LongLease, quicktest.Equals, 5*time.Second)
}

// An entry that no replica can apply would end all of them, at each start.
func TestEntryWithTextThatIsNotUTF8IsApplied(t *testing.T) {
	c := quicktest.New(t)
	e := tracker.Entry{Events: []tracker.Event{{TargetSeen: &tracker.TargetSeen{Target: tracker.Target{ID: "\xff"}}}}}
	data, err := e.Encode()
	c.Assert(err, quicktest.IsNil)
	s := tracker.New()
	_, err = s.Apply(1, data)
	c.Assert(err, quicktest.IsNil)
	snapshot, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	c.Assert(tracker.New().Restore(snapshot), quicktest.IsNil)
}

func FuzzRestore(f *testing.F) {
	s := tracker.New()
	s.ApplyEvent(tracker.Event{TargetSeen: &tracker.TargetSeen{Target: tracker.Target{ID: "\xff", Labels: []string{"a"}}}}, 1)
	data, err := s.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = tracker.New().Restore(data) // an error or a state, no panic
	})
}
