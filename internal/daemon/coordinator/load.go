package coordinator

import (
	"time"

	"masticroad/internal/workflow/planner"
)

// This file logs once a second what the leader has done and has before it, which tells a
// leader that is out of processor time from one that waits for others.

// work is what the leader has done since the last line.
type work struct {
	rounds, calls, orders, polls, tickets int
	busy, longest                         time.Duration // of the rounds
}

func (w *work) add(inputs []input, took time.Duration) {
	w.rounds++
	w.busy += took
	w.longest = max(w.longest, took)
	for i := range inputs {
		switch in := &inputs[i]; {
		case in.call != nil:
			w.calls++
		case in.order != nil:
			w.orders++
		case in.poll != nil:
			w.polls++
		case in.tickets != nil:
			w.tickets++
		}
	}
}

func (c *Coordinator) logLoad(l *planner.Load) {
	w := &c.work
	c.Log.Info("leader load", "rounds", w.rounds, "busy", w.busy.Milliseconds(), "longest", w.longest.Milliseconds(), "lag", l.Lag.Milliseconds(), "calls", w.calls, "orders", w.orders,
		"polls", w.polls, "tickets", w.tickets, "queued", len(c.inputs), "inflight", len(c.inflight), "jobs", l.Jobs, "waiting", l.Waiting,
		"runs", l.Running, "requests", l.TicketRequests, "silent", l.Unresponsive, "cpu", l.UsedCPU, "memory", l.UsedMemory)
	c.work = work{}
}
