package main

import "time"

// This file plays tasks that last on the only worker with their label, which fails all that it
// starts twice in a row and is sound after that.

const (
	greyTime   = 6500 * time.Millisecond
	greyPause  = 300 * time.Millisecond
	greyAgain  = 2800 * time.Millisecond
	afterwards = 14 * time.Second
)

func playLasting(w *world) bool {
	w.startNodes()
	w.configure(4)
	for range 11 {
		w.addWorker("a", "r1-1")
	}
	k := w.addWorker("b", "r1-1")
	time.Sleep(2500 * time.Millisecond)
	if w.trouble {
		w.note("%s: fails all that it starts from now on, for 6.5 s; its pings and its health stay good", k.id)
		k.setFailing(150 * time.Millisecond)
	}
	begin := time.Now()
	var jobs []string
	for range 3 {
		jobs = append(jobs, w.submit(`{}`, step(1, 1000, 500*time.Millisecond, map[string]any{"required-label": "b", "long-running": true})))
	}
	if w.trouble {
		time.Sleep(time.Until(begin.Add(greyTime)))
		k.setFailing(0)
		w.note("%s: is sound", k.id)
		time.Sleep(greyPause)
		w.note("%s: fails all that it starts again, for 2.8 s", k.id)
		k.setFailing(150 * time.Millisecond)
		time.Sleep(greyAgain)
		k.setFailing(0)
		w.note("%s: is sound from now on", k.id)
	} else {
		time.Sleep(greyTime + greyPause + greyAgain)
	}
	sound := time.Now()
	time.Sleep(afterwards)
	rule := false
	for _, id := range jobs {
		if w.stoodStill(id, sound) {
			rule = true
		}
	}
	return rule
}

// stoodStill reports whether the task of a job had no run for 3 s after 4 s of calm, later than
// 6 s after its last run.
func (w *world) stoodStill(id string, calm time.Time) bool {
	last, next := time.Time{}, time.Now()
	for _, r := range w.runsOf(id) {
		r.worker.mu.Lock()
		end := r.endedAt
		r.worker.mu.Unlock()
		switch {
		case r.startedAt.After(calm):
			if r.startedAt.Before(next) {
				next = r.startedAt
			}
		case end.IsZero() || end.After(calm.Add(4*time.Second)):
			w.note("job %s runs all the while", id)
			return false
		case end.After(last):
			last = end
		}
	}
	from := calm.Add(4 * time.Second)
	if x := last.Add(6 * time.Second); x.After(from) {
		from = x
	}
	gap := next.Sub(from)
	w.note("job %s: its last run ended %d ms before the calm, the next one began %d ms after its begin; %d ms of that count", id,
		calm.Sub(last).Milliseconds(), next.Sub(calm).Milliseconds(), gap.Milliseconds())
	if gap < 3*time.Second {
		return false
	}
	w.note("LOST: the task of job %s that lasts had no run for over 3 s of calm, with the service nearly empty", id)
	return true
}
