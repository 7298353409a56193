package main

import (
	"time"
)

// This file plays a worker that leaves while the path to it is cut in one direction.

// step returns a step of a job.
func step(count, cpu int, estimate time.Duration, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem-mb": 512, "estimate-ms": estimate.Milliseconds()}
	for name, value := range more {
		s[name] = value
	}
	return s
}

// A worker of 18 leaves, which is less than the share of 0.065 of the pages.
const leaveWorkers = 18

func playLeave(w *world) bool {
	w.startNodes()
	w.configure(4)
	for range leaveWorkers {
		w.addWorker("a", "r1-1")
	}
	time.Sleep(2500 * time.Millisecond)
	const work = 8 * time.Second
	job := w.submit(`{"ms":8000,"gang":2}`, step(2, 2000, work, map[string]any{"gang": true}))
	w.await("the first runs", 5*time.Second, func() bool { return len(w.runsOf(job)) == 2 })
	k := w.runsOf(job)[0].worker
	time.Sleep(time.Second)
	done := make(chan struct{})
	go func() { defer close(done); k.leave(100*time.Millisecond, 3*time.Second) }()
	w.await("the confirmation of the draining", 3*time.Second, func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return !k.confirm.IsZero()
	})
	time.Sleep(1900 * time.Millisecond)
	if w.trouble {
		w.note("%s: nothing arrives at it from now on, for 5.5 s (a cut in one direction)", k.id)
		k.setDeaf(true)
		time.AfterFunc(5500*time.Millisecond, func() { k.setDeaf(false) })
	}
	<-done
	w.await("the end of the job", 40*time.Second, func() bool {
		s := w.state(job)
		return s == "completed" || s == "failed"
	})
	w.note("consumer: job %s is %s", job, w.state(job))
	time.Sleep(300 * time.Millisecond)
	return w.overlaps(job)
}

// overlaps reports whether two runs of a task of a job ran at the same time.
func (w *world) overlaps(job string) bool {
	runs := w.runsOf(job)
	found := false
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task {
				continue
			}
			a.worker.mu.Lock()
			end := a.endedAt
			a.worker.mu.Unlock()
			if end.IsZero() {
				end = time.Now()
			}
			if both := end.Sub(b.startedAt); both > 0 {
				w.note("TWICE: %s and %s ran at the same time for %d ms", a, b, both.Milliseconds())
				found = true
			}
		}
	}
	return found
}
