package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// This file plays a consumer that gets no answer to a job from a frozen gateway, and cancels it
// through another one.

const (
	cancelGateways = 10 // one of them freezes at a time
	cancelTrials   = 3
	cancelJobs     = 6 // that a gateway holds when it goes on
	freezeTime     = 500 * time.Millisecond
	patience       = 200 * time.Millisecond  // half of the objective of the most urgent queue
	cancelLimit    = 3400 * time.Millisecond // cancel_ms + stop-ms
	cancelWatch    = 7 * time.Second         // contact-ms and more after the gateway goes on
)

func playCancel(w *world) bool {
	w.gateways = cancelGateways
	w.startNodes()
	w.configure(4)
	for range 6 {
		w.addWorker("a", "r1-1")
	}
	time.Sleep(2500 * time.Millisecond)
	rule := false
	for i := range cancelTrials {
		w.note("trial %d", i+1)
		if w.cancelOnce(i) {
			rule = true
		}
	}
	return rule
}

func (w *world) cancelOnce(gateway int) bool {
	frozen := w.nodes[replicas+gateway]
	if w.trouble {
		w.note("%s freezes for %d ms", frozen.name, freezeTime.Milliseconds())
		_ = frozen.cmd.Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			_ = frozen.cmd.Process.Signal(syscall.SIGCONT)
			w.note("%s goes on", frozen.name)
		})
		time.Sleep(50 * time.Millisecond)
	}
	var ids []string
	var leaving sync.WaitGroup
	for range cancelJobs {
		id := w.newID()
		ids = append(ids, id)
		leaving.Go(func() { w.postAndLeave(id, gateway) })
	}
	leaving.Wait()
	acked := make(map[string]time.Time)
	for _, id := range ids {
		w.cancel(id, gateway+1)
		acked[id] = time.Now()
	}
	time.Sleep(cancelWatch)
	rule := false
	for _, id := range ids {
		if w.runsOn(id, acked[id]) {
			rule = true
			w.cancel(id, gateway+1) // so that the next trial begins without it
		}
	}
	return rule
}

// runsOn reports whether a task of a job ran on after its cancelling was acknowledged.
func (w *world) runsOn(id string, acked time.Time) bool {
	w.note("consumer: job %s is %q, %d ms after its cancelling was acknowledged", id, w.state(id), time.Since(acked).Milliseconds())
	rule := false
	for _, r := range w.runsOf(id) {
		r.worker.mu.Lock()
		end := r.endedAt
		r.worker.mu.Unlock()
		if end.IsZero() {
			end = time.Now()
		}
		w.note("%s began %d ms after the acknowledgement and ran until %d ms after it", r, r.startedAt.Sub(acked).Milliseconds(), end.Sub(acked).Milliseconds())
		if end.Sub(acked) > cancelLimit {
			w.note("UNASKED: %s ran on, later than cancel_ms + stop-ms after the acknowledgement", r)
			rule = true
		}
	}
	return rule
}

// cancel cancels a job, through one gateway after the other, until that is acknowledged.
func (w *world) cancel(id string, gateway int) {
	for i := gateway; ; i++ {
		status, _ := w.call(http.MethodDelete, w.gateway(i), prefix+id, host, nil)
		w.note("consumer: DELETE %s -> %d", id, status)
		if status/100 == 2 || status == http.StatusGone {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// postAndLeave hands a job in that lasts, waits for its answer for a short time and leaves.
func (w *world) postAndLeave(id string, gateway int) {
	body, _ := json.Marshal(map[string]any{
		"spec": "{}", "phases": []any{step(1, 1000, 500*time.Millisecond, map[string]any{"long-running": true})},
	})
	conn, err := net.Dial("tcp", w.gateway(gateway))
	if err != nil {
		fail("%v", err)
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Masticroad-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s",
		prefix, id, host, len(body), body)
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	answer := make([]byte, 12)
	n, _ := conn.Read(answer)
	time.Sleep(patience / 4)
	w.note("consumer: POST %s -> %q; it closes the channel", id, answer[:n])
}
