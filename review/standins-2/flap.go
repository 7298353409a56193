package main

import (
	"time"
)

// This file plays a worker that goes down, comes back under its id, gets a task that lasts and
// goes down for good, while the leader is killed.

// contact is contact-ms. Calm is counted from then on, the reading that favours the system.
const contact = 3 * time.Second

const (
	flapDown    = time.Second             // the first time
	flapUp      = 1800 * time.Millisecond // from then until the job is handed in
	flapWork    = 900 * time.Millisecond
	flapRestart = 100 * time.Millisecond // from the end of the leader's process to its start
)

func playFlap(w *world) bool {
	w.startNodes()
	w.configure(4)
	k := w.addWorker("a", "r1-1")
	for range 11 {
		w.addWorker("a", "r1-1")
	}
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		k = k.restart(flapDown)
	}
	time.Sleep(flapUp)
	job := w.submit(`{}`, step(1, 1000, 500*time.Millisecond, map[string]any{"long-running": true}))
	w.await("the first run", 5*time.Second, func() bool { return len(w.runsOf(job)) > 0 })
	if at := w.runsOf(job)[0].worker; at != k {
		fail("the task was started on %s", at.id)
	}
	time.Sleep(flapWork)
	calm := time.Now()
	if w.trouble {
		k.stop("it is lost for good")
		calm = w.killLeader(k)
	}
	time.Sleep(time.Until(calm.Add(15 * time.Second)))
	if w.trouble {
		calm = calm.Add(contact)
	}
	return w.stoodStill(job, calm)
}

// restart crashes the worker and starts it again under its id and address.
func (k *worker) restart(after time.Duration) *worker {
	k.stop("it crashes")
	time.Sleep(after)
	n := k.w.addWorkerAt(k.id, k.address, k.labels...)
	k.w.note("%s: has started again", n.id)
	return n
}

// killLeader kills the process that the pings of a worker are sent to, which is the leader, and
// returns when it was started again.
func (w *world) killLeader(k *worker) time.Time {
	k.mu.Lock()
	n := w.nodes[k.next%replicas]
	k.mu.Unlock()
	w.note("SIGKILL to %s, which leads", n.name)
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	time.Sleep(flapRestart)
	w.startAgain(n)
	w.note("%s has started again", n.name)
	return time.Now()
}
