package decider_test

import (
	"fmt"
	"testing"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
)

// BenchmarkRound measures one round that admits and places one urgent request
// while others are queued, for several numbers of targets and queued tasks.
func BenchmarkRound(b *testing.B) {
	for _, targets := range []int{50, 200, 580} {
		for _, queued := range []int{10, 1000, 10000} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", targets, queued), func(b *testing.B) { benchmarkRound(b, targets, queued) })
		}
	}
}

func benchmarkRound(b *testing.B, targets, queued int) {
	h := newHarness(b, 0)
	h.addCaller(registrar.Caller{Name: "batch"})
	h.addCaller(registrar.Caller{Name: "tills"})
	for i := range targets {
		h.addTarget(fmt.Sprintf("t%03d", i), "a", fmt.Sprint("r", i/8), large, 8)
	}
	for range queued { // does not fit beside the batch tasks that already run
		h.admit(decider.Admit{Caller: "batch", Class: registrar.Batch, Need: registrar.Need{CPU: 12000, Memory: 1024}})
	}
	for range targets/64 + 4 {
		h.runRound(0)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		key := registrar.Key(fmt.Sprintf("u%d", i))
		in := []decider.Input{{Daemon: "vm1", Incarnation: 1, Up: &decider.Upstream{Admits: []decider.Admit{{Caller: "tills", Key: key, Need: registrar.Need{CPU: 100, Memory: 64}}}}}}
		round := h.d.Decide(in, nil, h.now.Add(time.Second), h.now)
		b.StopTimer()
		h.commit(round)
		for _, m := range round.Down {
			for _, a := range m.Assignments { // end immediately to keep the load constant
				h.inputs = nil
				done := h.d.Decide([]decider.Input{{Daemon: "vm1", Incarnation: 1, Up: &decider.Upstream{Reports: []decider.Report{{Task: a.Task, Attempt: a.Attempt, Result: decider.ResultDone}}}}}, nil, h.now, h.now)
				h.commit(done)
			}
		}
		b.StartTimer()
	}
}
