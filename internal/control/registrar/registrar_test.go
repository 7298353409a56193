package registrar_test

import (
	"bytes"
	"math/rand"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
)

// script returns entries that touch every table.
func script(seed int64, n int) [][]byte {
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
			ev = registrar.TargetAnnounced{Target: registrar.Target{Name: "t1", Life: registrar.Incarnation(i), Slots: 4}}
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

// A replica that restores a snapshot anywhere in the log ends with the same
// tables as one that applied all of it.
func TestSnapshotAnywhereGivesEqualTables(t *testing.T) {
	c := quicktest.New(t)
	for seed := range int64(20) {
		log := script(seed, 200)
		whole := registrar.New()
		cut := int(seed) * 10
		var other *registrar.State
		for i, data := range log {
			if i == cut {
				other = registrar.New()
				c.Assert(other.Restore(encoded(c, whole)), quicktest.IsNil)
			}
			for _, s := range []*registrar.State{whole, other} {
				if s == nil {
					continue
				}
				_, err := s.Apply(registrar.Index(i+1), data)
				c.Assert(err, quicktest.IsNil)
			}
		}
		c.Assert(bytes.Equal(encoded(c, whole), encoded(c, other)), quicktest.IsTrue, quicktest.Commentf("seed %d", seed))
		c.Assert(whole.Chain, quicktest.Equals, other.Chain)
	}
}

func TestUsedFollowsAssignments(t *testing.T) {
	c := quicktest.New(t)
	s := registrar.New()
	for i, data := range script(3, 500) {
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

func TestOnceKeysOutliveRepeatableOnes(t *testing.T) {
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

func TestUnknownEventIsAnError(t *testing.T) {
	c := quicktest.New(t)
	_, err := registrar.DecodeEntry([]byte{0x82, 0x01, 0x81, 0x82, 0x18, 0xc8, 0xa0})
	c.Assert(err, quicktest.ErrorMatches, ".*event tag 200 is not known.*")
}

func FuzzDecodeEntry(f *testing.F) {
	for _, data := range script(1, 30) {
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
	log := script(1, 1000)
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
