package registrar_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
)

// randomLog returns n encoded entries with random events on callers, tasks and
// targets.
func randomLog(seed int64, n int) [][]byte {
	r := rand.New(rand.NewSource(seed))
	var out [][]byte
	revision := registrar.Revision(0)
	for i := range n {
		id := registrar.TaskID(r.Intn(40) + 1)
		var ev registrar.Event
		switch r.Intn(9) {
		case 0, 1, 2:
			ev = registrar.TaskAdmitted{Task: registrar.Task{ID: registrar.TaskID(i + 100), Caller: "a", Key: registrar.Key(string(rune('a' + r.Intn(20)))), Need: registrar.Need{CPU: 5}}}
		case 3:
			ev = registrar.TaskAssigned{ID: id + 100, Attempt: 1, Target: "t1", Daemon: "vm1"}
		case 4:
			ev = registrar.TaskEnded{ID: id + 100, Attempt: registrar.Attempt(r.Intn(2)), Outcome: registrar.Done}
		case 5:
			ev = registrar.TargetAnnounced{Target: registrar.Target{Name: "t1", Incarnation: registrar.Incarnation(i), Slots: 4}}
		case 6:
			revision++
			ev = registrar.ConfigChanged{Record: registrar.ChangeRecord{ID: registrar.ChangeID(string(rune('A' + i%26))), Revision: revision}, Ops: []registrar.Op{{PutCaller: &registrar.Caller{Name: "a", Weight: i}}}}
		case 7:
			ev = registrar.RecordsExpired{Repeatable: time.Minute, Once: time.Hour, Jobs: time.Hour, Changes: time.Hour}
		case 8:
			ev = registrar.TaskRequeued{ID: id + 100, Attempt: 1}
		}
		data, err := registrar.Entry{At: registrar.Millis(1e12 + i*7000), Events: []registrar.Event{ev}}.Encode()
		if err != nil {
			panic(err)
		}
		out = append(out, data)
	}
	return out
}

func encoded(c *quicktest.C, s *registrar.State) []byte {
	data, err := s.Freeze().Encode()
	c.Assert(err, quicktest.IsNil)
	return data
}

// A replica that restores a snapshot taken at any index and applies the rest of
// the log must have the same state as one that applied the complete log.
func TestRestoreAtAnyIndexGivesEqualState(t *testing.T) {
	c := quicktest.New(t)
	for seed := range int64(20) {
		log := randomLog(seed, 200)
		full := registrar.New()
		restoreAt := int(seed) * 10
		var restored *registrar.State
		for i, data := range log {
			if i == restoreAt {
				restored = registrar.New()
				c.Assert(restored.Restore(encoded(c, full)), quicktest.IsNil)
			}
			for _, s := range []*registrar.State{full, restored} {
				if s == nil {
					continue
				}
				_, err := s.Apply(registrar.Index(i+1), data)
				c.Assert(err, quicktest.IsNil)
			}
		}
		c.Assert(bytes.Equal(encoded(c, full), encoded(c, restored)), quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
		c.Assert(full.Chain, quicktest.Equals, restored.Chain)
	}
}

func TestUsedCountsAssignedTasks(t *testing.T) {
	c := quicktest.New(t)
	s := registrar.New()
	for i, data := range randomLog(3, 500) {
		_, err := s.Apply(registrar.Index(i+1), data)
		c.Assert(err, quicktest.IsNil)
		n := 0
		for _, task := range s.Tasks {
			if task.State == registrar.Assigned {
				n++
			}
		}
		_, used := s.Used("t1")
		c.Assert(used, quicktest.Equals, n)
	}
}

func TestNonRepeatableRequestIsRetainedAfterRepeatableExpires(t *testing.T) {
	c := quicktest.New(t)
	s := registrar.New()
	events := []registrar.Event{
		registrar.TaskAdmitted{Task: registrar.Task{ID: 1, Caller: "a", Key: "repeatable"}},
		registrar.TaskAdmitted{Task: registrar.Task{ID: 2, Caller: "a", Key: "once", Once: true}},
		registrar.TaskEnded{ID: 1, Outcome: registrar.Done},
		registrar.TaskEnded{ID: 2, Outcome: registrar.Done, Answer: []byte("paid")},
	}
	apply(c, s, 1, 0, events...)
	apply(c, s, 2, registrar.Millis(3*time.Minute/time.Millisecond), registrar.RecordsExpired{Repeatable: time.Minute, Once: time.Hour})
	c.Assert(s.Lookup(registrar.RequestKey{Caller: "a", Key: "repeatable"}), quicktest.IsNil)
	c.Assert(string(s.Lookup(registrar.RequestKey{Caller: "a", Key: "once"}).Answer), quicktest.Equals, "paid")
}

func apply(c *quicktest.C, s *registrar.State, index registrar.Index, at registrar.Millis, events ...registrar.Event) {
	data, err := registrar.Entry{At: at, Events: events}.Encode()
	c.Assert(err, quicktest.IsNil)
	_, err = s.Apply(index, data)
	c.Assert(err, quicktest.IsNil)
}

func TestDecodeEntryRejectsUnknownEventTag(t *testing.T) {
	c := quicktest.New(t)
	_, err := registrar.DecodeEntry([]byte{0x82, 0x01, 0x81, 0x82, 0x18, 0xc8, 0xa0})
	c.Assert(err, quicktest.ErrorMatches, ".*event tag 200 is not known.*")
}

func FuzzDecodeEntry(f *testing.F) {
	for _, data := range randomLog(1, 30) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := registrar.New()
		if _, err := s.Apply(1, data); err != nil {
			return
		}
		if _, err := s.Freeze().Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = registrar.New().Restore(data) // must not panic
	})
}

func BenchmarkApply(b *testing.B) {
	log := randomLog(1, 1000)
	b.ReportAllocs()
	for b.Loop() {
		s := registrar.New()
		for i, data := range log {
			if _, err := s.Apply(registrar.Index(i+1), data); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkSnapshot measures the encoding of a snapshot by its number of ended
// tasks. One week at 3,300 jobs a day gives 23,100.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{2100, 8400, 25200} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			s := stateWithEndedTasks(b, n)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := s.Freeze().Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/task")
		})
	}
}

// BenchmarkRestore measures the restore of a snapshot, as when a daemon starts.
func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{2100, 8400, 25200} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			data, err := stateWithEndedTasks(b, n).Freeze().Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				s := registrar.New()
				if err := s.Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap memory per ended task.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{2100, 8400, 25200} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := stateWithEndedTasks(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/task")
		})
	}
}

// stateWithEndedTasks returns a state with n ended tasks.
func stateWithEndedTasks(b *testing.B, n int) *registrar.State {
	s := registrar.New()
	for i := range n {
		task := registrar.Task{
			ID: registrar.TaskID(i + 1), Caller: "tills", Key: registrar.Key(fmt.Sprintf("quote-2026-12-04-%d", i)), Class: registrar.Batch,
			Job: "overnight", Kind: registrar.KindBatch, Ordinal: i, Need: registrar.Need{CPU: 2000, Memory: 2048}, Target: "t-001", Daemon: "vm1",
			State: registrar.Assigned, Attempt: 1,
		}
		events := []registrar.Event{registrar.TaskAdmitted{Task: task}, registrar.TaskEnded{ID: task.ID, Attempt: 1, Outcome: registrar.Done}}
		data, err := registrar.Entry{At: registrar.Millis(1e12), Events: events}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Apply(registrar.Index(i+1), data); err != nil {
			b.Fatal(err)
		}
	}
	return s
}
