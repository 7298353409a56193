package decider

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file stops attempts because of cancellation, retirement, preemption,
// overuse or a target that is leaving. A stop is logged before it is ordered,
// and the order is resent until the target confirms that the attempt has ended.

// reasonPreempted marks stops that count as preemptions of the task.
const reasonPreempted = "preempted by urgent work"

// stop logs and orders the stop of an assigned attempt.
func (d *Decider) stop(t *registrar.Task, reason string, cancel bool, verb Verb, now time.Time) {
	if d.round.touched[t.ID] {
		return
	}
	d.round.touched[t.ID] = true
	d.emit(registrar.TaskStopping{ID: t.ID, Canceled: cancel, Reason: reason})
	d.stopOrderedAt[t.ID] = now
	d.sendOrder(t, verb, now)
}

// resendStop resends an unconfirmed stop order.
func (d *Decider) resendStop(t *registrar.Task, now time.Time) {
	if now.Sub(d.stopOrderedAt[t.ID]) < stopResendInterval {
		return
	}
	d.stopOrderedAt[t.ID] = now
	d.sendOrder(t, VerbStop, now)
}

const stopResendInterval = 2 * time.Second

// sendOrder sends an order through the daemon that acts on the target.
func (d *Decider) sendOrder(t *registrar.Task, verb Verb, now time.Time) {
	s := d.sessionFor(t.Daemon, t.Life)
	if s == nil || t.Kind != registrar.KindRequest {
		s = d.dispatcherFor(t.Target, now)
	}
	if v := d.targets[t.Target]; v != nil {
		v.needFullReport = true
	}
	if s == nil {
		return
	}
	m := d.downstreamFor(s.daemon.Name)
	m.Orders = append(m.Orders, Order{Task: t.ID, Attempt: t.Attempt, Target: t.Target, Verb: verb, Arrived: d.arrivalDeadline(t)})
}

// arrivalDeadline returns the time by which the start of an attempt has either
// arrived at its target or been lost.
func (d *Decider) arrivalDeadline(t *registrar.Task) registrar.Millis {
	return t.Since.Add(d.Timing.StartWindow + d.Timing.Transit)
}

// recordOveruse records a task that uses more than its charge. The next tick
// throttles it, or moves it if it uses more than severeOveruseFactor times its
// charge and is repeatable.
func (d *Decider) recordOveruse(t *registrar.Task, use registrar.Need) {
	if t.Stopping || t.State != registrar.Assigned || use.FitsIn(t.Charge) {
		return
	}
	d.overuse = append(d.overuse, overuse{t.ID, t.Attempt, !use.FitsIn(t.Charge.Times(severeOveruseFactor))})
}

const severeOveruseFactor = 2

type overuse struct {
	id      registrar.TaskID
	attempt registrar.Attempt
	severe  bool
}

// limitOveruse throttles or moves the tasks whose overuse was reported since
// the last tick.
func (d *Decider) limitOveruse(now time.Time) {
	for _, o := range d.overuse {
		t := d.liveTask(o.id)
		if t == nil || t.Attempt != o.attempt || t.Stopping || t.State != registrar.Assigned {
			continue
		}
		if o.severe && !t.Once {
			d.stop(t, "used more than it was charged", false, VerbCheckpoint, now)
			continue
		}
		d.sendOrder(t, VerbThrottle, now)
	}
	d.overuse = nil
}

// deadlineList holds queued tasks with a deadline.
type deadlineList []*registrar.Task

func (d *Decider) trackDeadline(t *registrar.Task) {
	if t.Deadline > 0 && t.State == registrar.Queued {
		d.deadlines = append(d.deadlines, t)
	}
}

// dropOverdue ends queued tasks whose deadline has passed, and requests whose
// caller did not reconnect after its daemon failed.
func (d *Decider) dropOverdue(now time.Time) {
	at := registrar.MillisOf(now)
	keep := d.deadlines[:0]
	for _, t := range d.deadlines {
		if d.queue.Get(t.ID) == nil {
			continue
		}
		if at < t.Deadline {
			keep = append(keep, t)
			continue
		}
		d.dropQueued(t.ID, "deadline passed before it could start", now)
	}
	d.deadlines = keep
	d.dropDetached(now)
}

func (d *Decider) dropQueued(id registrar.TaskID, reason string, now time.Time) {
	t := d.liveTask(id)
	if t == nil || t.State != registrar.Queued {
		return
	}
	d.Counters.DroppedLate++
	d.endTask(t, registrar.TaskEnded{ID: id, Outcome: notRunOutcome(t), Reason: reason}, now)
}

func (d *Decider) dropDetached(now time.Time) {
	at := registrar.MillisOf(now)
	for id, since := range d.detached {
		t := d.State.Tasks[id]
		if t == nil || t.State != registrar.Queued || d.daemonAlive(t.Daemon, t.Life, now) {
			delete(d.detached, id)
			continue
		}
		if at >= since.Add(d.Timing.CallerGrace) {
			delete(d.detached, id)
			d.dropQueued(id, "caller's connection was lost", now)
		}
	}
}
