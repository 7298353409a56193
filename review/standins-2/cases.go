package main

import "time"

// This file plays a gang on a worker that fails all that it starts, and jobs that wait for
// an unhealthy worker.

// gangAttempts is the queue's max-attempts, as of the first two queues of the deployments.
const gangAttempts = 2

func playGang(w *world) bool {
	w.startNodes()
	w.configure(gangAttempts)
	for range 12 {
		w.addWorker("a", "r1-1")
	}
	time.Sleep(2500 * time.Millisecond)
	// The worker that gets the first gang is the one that turns bad.
	probe := w.submit(`{"ms":300,"gang":2}`, step(2, 2000, 300*time.Millisecond, map[string]any{"gang": true}))
	w.await("the end of the first job", 10*time.Second, func() bool { return w.state(probe) == "completed" })
	runs := w.runsOf(probe)
	k := runs[0].worker
	if runs[1].worker != k {
		fail("the members of the gang were not placed together")
	}
	if w.trouble {
		w.note("%s: fails all that it starts from now on, for 6.5 s; its pings and its health stay good", k.id)
		k.setFailing(200 * time.Millisecond)
		time.AfterFunc(6500*time.Millisecond, func() { k.setFailing(0); w.note("%s: is sound again", k.id) })
	}
	job := w.submit(`{"ms":1000,"gang":2}`, step(2, 2000, time.Second, map[string]any{"gang": true}))
	state := ""
	w.await("the end of the second job", 20*time.Second, func() bool {
		state = w.state(job)
		return state == "completed" || state == "failed"
	})
	numbers := make(map[int]bool)
	failed := make(map[int]bool)
	for _, r := range w.runsOf(job) {
		numbers[r.number] = true
		r.worker.mu.Lock()
		if r.how == "failed" {
			failed[r.number] = true
		}
		r.worker.mu.Unlock()
	}
	w.note("consumer: job %s is %s after %d runs of its gang, %d of which failed; max-attempts is %d", job, state, len(numbers), len(failed), gangAttempts)
	if state == "failed" && len(failed) < gangAttempts {
		w.note("LOST: the job is shown as failed, though its gang has not failed %d times", gangAttempts)
		return true
	}
	return false
}

func (k *worker) setFailing(after time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failAfter = after
}

func playPending(w *world) bool {
	w.startNodes()
	w.configure(4)
	for range 11 {
		w.addWorker("a", "r1-1")
	}
	k := w.addWorker("b", "r1-1")
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		w.note("%s: unhealthy from now on, for 6.5 s; it rejects starts with 503, its pings go on", k.id)
		k.setUnhealthy(true)
	}
	begin := time.Now()
	var jobs []string
	for range 4 {
		jobs = append(jobs, w.submit(`{"ms":500}`, step(1, 1000, 500*time.Millisecond, map[string]any{"required-label": "b"})))
	}
	accepted := time.Now()
	time.AfterFunc(time.Until(begin.Add(6500*time.Millisecond)), func() {
		if w.trouble {
			k.setUnhealthy(false)
			w.note("%s: is healthy again", k.id)
		}
	})
	rule := false
	for time.Since(begin) < 8*time.Second {
		time.Sleep(250 * time.Millisecond)
		// visible_ms + 2 s after the last job was accepted. Only a job that has still not begun
		// after the answer was due when it was asked for.
		old := time.Since(accepted) > 5*time.Second
		n := w.pending()
		waiting := 0
		for _, id := range jobs {
			if len(w.runsOf(id)) == 0 {
				waiting++
			}
		}
		w.note("consumer: GET %s -> pending %d; %d jobs have not begun (states %q)", prefix, n, waiting, w.state(jobs[0]))
		if old && n >= 0 && 2*n < waiting {
			w.note("MIXED: pending is %d, under half of the %d jobs that were accepted over 5 s before and have not begun", n, waiting)
			rule = true
		}
	}
	w.await("the end of the jobs", 30*time.Second, func() bool {
		for _, id := range jobs {
			if w.state(id) != "completed" {
				return false
			}
		}
		return true
	})
	w.note("consumer: all jobs are completed")
	return rule
}

func (k *worker) setUnhealthy(unhealthy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unhealthy = unhealthy
}
