package decider

import (
	"net/http"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/control/retrier"
)

// This file turns the results of attempts into outcomes and retries, and
// releases their charges. A report counts only for the current attempt of its
// task; a report of an earlier one is counted as stale and has no effect.

func (d *Decider) handleReport(r *Report, now time.Time) {
	t := d.liveTask(r.Task)
	if t == nil || t.State != registrar.Assigned {
		d.Counters.StaleReports++
		return
	}
	if t.Attempt != r.Attempt && d.Disabled&WithoutAttemptCheck == 0 {
		d.Counters.StaleReports++
		return
	}
	if r.Usage != nil {
		d.handleUsage(t, *r.Usage)
	}
	d.observe(t, r, now)
	switch r.Result {
	case ResultDone:
		d.handleDone(t, r, now)
	case ResultFailed:
		d.handleFailed(t, r, now)
	case ResultNotStarted, ResultRefused:
		d.handleNotStarted(t, r, now)
	case ResultAbsent:
		d.handleAbsent(t, r, now)
	case ResultStopped:
		d.handleStopped(t, r, now)
	case ResultUnresponsive:
		d.handleUnresponsive(t, now)
	}
}

// observe updates the learned run times and the failure records of the target
// and of the kind of work.
func (d *Decider) observe(t *registrar.Task, r *Report, now time.Time) {
	failed := r.Result == ResultFailed || r.Result == ResultNotStarted
	if !failed && r.Result != ResultDone {
		return
	}
	if r.Result == ResultDone && r.RunTime > 0 {
		d.rates.ObserveRunTime(r.RunTime)
		d.learned.AddRunTime(workOf(t), r.RunTime)
	}
	rec := d.State.Targets[t.Target]
	if rec == nil || failed && d.isRepeatedFailure(t) {
		return
	}
	verdict := d.judge.Observe(workOf(t), t.Target, failed, rec.Quarantine, now)
	switch {
	case rec.Quarantine > 0 && failed && t.Since < rec.ProbeAfter:
		// It had started before the quarantine, so that it is no probe.
	case rec.Quarantine > 0 && failed:
		d.quarantine(rec, rec.Quarantine+1, now)
	case rec.Quarantine > 0:
		d.judge.Clear(rec.Name)
		d.setQuarantine(rec, 0, 0)
	case verdict.Quarantine:
		d.quarantine(rec, verdict.Step, now)
	}
}

// failedRun is a run of an all-at-once job with a failed task. The tasks of a run start in
// one entry, and fail together from one cause.
type failedRun struct {
	started  registrar.Millis
	observed bool // by the quarantiner
	decided  bool // whether it is tried again
	retried  bool
}

// failedRunOf returns the run of an all-at-once job that a failed task belongs to.
func (d *Decider) failedRunOf(t *registrar.Task) *failedRun {
	key := registrar.JobKey{Caller: t.Caller, Name: t.Job}
	r := d.failedRuns[key]
	if r == nil || r.started != t.Since {
		r = &failedRun{started: t.Since}
		d.failedRuns[key] = r
	}
	return r
}

// isRepeatedFailure reports whether another task of the same run of an all-at-once job has
// failed before.
func (d *Decider) isRepeatedFailure(t *registrar.Task) bool {
	if t.Kind != registrar.KindAllAtOnce {
		return false
	}
	r := d.failedRunOf(t)
	repeated := r.observed
	r.observed = true
	return repeated
}

// withdrawRetry takes a retry from the budget of a task's caller and reports whether there
// was one. The tasks of a run of an all-at-once job take one together.
func (d *Decider) withdrawRetry(t *registrar.Task) bool {
	if t.Kind != registrar.KindAllAtOnce {
		return d.retryBudget.Withdraw(t.Caller)
	}
	r := d.failedRunOf(t)
	if !r.decided {
		r.decided, r.retried = true, d.retryBudget.Withdraw(t.Caller)
	}
	return r.retried
}

func (d *Decider) quarantine(rec *registrar.Target, step int, now time.Time) {
	if d.round.quarantined[rec.Name] {
		return
	}
	quarantined, total := 0, 0
	for _, t := range d.State.Targets {
		if t.Zone != rec.Zone || t.State != registrar.TargetAlive {
			continue
		}
		total++
		if t.Quarantine > 0 && t.Name != rec.Name {
			quarantined++
		}
	}
	if !d.judge.MayQuarantine(quarantined, total) {
		return
	}
	d.round.quarantined[rec.Name] = true
	d.Counters.Quarantined++
	pause := min(d.policies.QuarantinePause<<min(step-1, 16), d.policies.QuarantineMax)
	d.setQuarantine(rec, step, registrar.MillisOf(now.Add(pause)))
}

func (d *Decider) setQuarantine(rec *registrar.Target, step int, probeAfter registrar.Millis) {
	d.emit(registrar.TargetMarked{Name: rec.Name, State: rec.State, Quarantine: step, ProbeAfter: probeAfter})
	if v := d.targets[rec.Name]; v != nil && step > 0 {
		v.placement.Schedulable, v.placement.Probing = false, false
	}
}

func (d *Decider) handleUsage(t *registrar.Task, use registrar.Need) {
	if !use.IsZero() {
		d.learned.AddUsage(workOf(t), use)
	}
	d.recordOveruse(t, use)
}

// handleDone records a complete answer. The answer itself is stored only for
// requests that are not repeatable.
func (d *Decider) handleDone(t *registrar.Task, r *Report, now time.Time) {
	ev := registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Done}
	if r.Status != http.StatusOK {
		ev.Status = r.Status
	}
	if t.Once {
		ev.Answer = r.Answer
	}
	if t.Kind == registrar.KindService && !t.Canceled {
		d.requeue(t, registrar.TaskRequeued{Reason: "service ended", Failed: true}, now)
		return
	}
	d.endTask(t, ev, now)
	if r.ByTarget && t.Kind == registrar.KindRequest {
		ended := *t
		ended.Outcome, ended.Answer, ended.Status = ev.Outcome, ev.Answer, ev.Status
		d.notifyHolder(&ended)
	}
}

// handleFailed retries a task within its bounds, or ends it as Failed.
func (d *Decider) handleFailed(t *registrar.Task, r *Report, now time.Time) {
	if t.Kind == registrar.KindService && !t.Canceled {
		d.requeue(t, registrar.TaskRequeued{Reason: r.Reason, Failed: true}, now)
		return
	}
	if d.mayRetry(t, now) {
		d.requeue(t, registrar.TaskRequeued{Reason: r.Reason, Failed: true}, now)
		return
	}
	d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Failed, Reason: r.Reason, Status: r.Status}, now)
}

func (d *Decider) mayRetry(t *registrar.Task, now time.Time) bool {
	if t.Once || t.Canceled || t.Failures+1 >= d.maxAttempts(t) {
		return false
	}
	if t.Deadline > 0 && registrar.MillisOf(now) >= t.Deadline {
		return false
	}
	if d.callerInactive(t.Caller) || d.judge.IsWorkFaulty(workOf(t), max(minFaultTargets, len(d.aliveTargets)/faultTargetDivisor)) && t.Failures > 0 {
		return false
	}
	return d.withdrawRetry(t)
}

// A kind of work is itself at fault if it fails on most of the targets it ran
// on. It must have run on at least minFaultTargets targets, and on one in
// faultTargetDivisor of all.
const (
	minFaultTargets    = 3
	faultTargetDivisor = 5
)

func (d *Decider) maxAttempts(t *registrar.Task) int {
	if j := d.State.Jobs[registrar.JobKey{Caller: t.Caller, Name: t.Job}]; j != nil && j.Retries > 0 {
		return j.Retries + 1
	}
	return d.policies.MaxAttempts
}

// handleNotStarted handles an attempt of which no byte was sent. Such an
// attempt does not count, so a task that is not repeatable may be assigned
// again.
func (d *Decider) handleNotStarted(t *registrar.Task, r *Report, now time.Time) {
	switch {
	case t.Canceled:
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: notStartedOutcome(t), Reason: t.Reason}, now)
	default:
		d.requeue(t, registrar.TaskRequeued{Reason: r.Reason, Failed: r.Result == ResultNotStarted, NeverStarted: true}, now)
	}
}

// notStartedOutcome returns the outcome of a task whose current attempt never
// started: NotRun if none of its attempts did, else Failed.
func notStartedOutcome(t *registrar.Task) registrar.Outcome {
	if t.Attempt == t.Never+1 {
		return registrar.NotRun
	}
	return registrar.Failed
}

// handleAbsent handles an attempt that provably no longer runs. Whether it ran
// before is not known.
func (d *Decider) handleAbsent(t *registrar.Task, r *Report, now time.Time) {
	switch {
	case t.Canceled:
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Failed, Reason: t.Reason}, now)
	case t.Once:
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Unknown, Reason: r.Reason}, now)
	default:
		d.requeue(t, registrar.TaskRequeued{Reason: r.Reason, Checkpoint: r.Checkpoint}, now)
	}
}

// handleStopped handles an attempt that its target stopped as ordered.
func (d *Decider) handleStopped(t *registrar.Task, r *Report, now time.Time) {
	if t.Canceled || t.Once {
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Failed, Reason: t.Reason}, now)
		return
	}
	d.requeue(t, registrar.TaskRequeued{Reason: t.Reason, Checkpoint: r.Checkpoint, Preempted: t.Reason == reasonPreempted}, now)
}

// handleUnresponsive requests a full announcement of a target that a daemon
// can't reach. The attempt stays charged until the target reports or its lease
// expires.
func (d *Decider) handleUnresponsive(t *registrar.Task, now time.Time) {
	if v := d.targets[t.Target]; v != nil {
		v.needFullReport = true
	}
	if d.Disabled&WithoutLeaseWait != 0 {
		d.requeue(t, registrar.TaskRequeued{Reason: "target is silent"}, now)
	}
}

// endTask records the outcome of a task and releases its charge.
func (d *Decider) endTask(t *registrar.Task, ev registrar.TaskEnded, now time.Time) {
	d.round.touched[t.ID] = true
	d.queue.Remove(t.ID)
	delete(d.nextPreemption, t.ID)
	d.releaseCharge(t)
	d.emit(ev)
	ended := *t
	ended.State, ended.Outcome, ended.Reason = registrar.Ended, ev.Outcome, ev.Reason
	ended.Answer, ended.Status = ev.Answer, ev.Status
	if t.Kind != registrar.KindRequest {
		return
	}
	if ev.Outcome != registrar.Done {
		d.notifyHolder(&ended)
	}
	d.notifyWatchers(&ended)
}

// notifyHolder sends an outcome to the daemon that holds the caller's
// connection. A complete answer needs no such message, since the daemon that
// reported it replies to the caller itself.
func (d *Decider) notifyHolder(t *registrar.Task) {
	if d.sessionFor(t.Daemon, t.Life) == nil {
		return
	}
	m := d.downstreamFor(t.Daemon)
	m.Replies = append(m.Replies, outcomeReply(t))
}

func (d *Decider) releaseCharge(t *registrar.Task) {
	delete(d.stopOrderedAt, t.ID)
	if t.State != registrar.Assigned {
		return
	}
	d.countRunning(t.Class, t.Once, -1)
	d.usedByCaller[t.Caller] = d.usedByCaller[t.Caller].Minus(t.Charge)
	if v := d.targets[t.Target]; v != nil {
		v.placement.Release(t.Charge)
	}
}

// requeue ends an attempt and queues the task again: after a backoff if it
// failed, and else at a bounded rate, since a lost target can requeue many
// tasks at once.
func (d *Decider) requeue(t *registrar.Task, ev registrar.TaskRequeued, now time.Time) {
	if t.Canceled || t.Kind == registrar.KindRequest && d.callerInactive(t.Caller) {
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Attempt: t.Attempt, Outcome: registrar.Failed, Reason: ev.Reason}, now)
		return
	}
	d.round.touched[t.ID] = true
	d.releaseCharge(t)
	ev.ID, ev.Attempt = t.ID, t.Attempt
	b := retrier.Backoff{Base: d.policies.BackoffBase, Max: d.policies.BackoffMax}
	switch {
	case ev.Failed:
		ev.NotBefore = registrar.MillisOf(now.Add(b.Delay(t.Failures, d.Rand)))
	default:
		ev.NotBefore = registrar.MillisOf(now.Add(d.restartDelay()))
	}
	d.Counters.Retried++
	d.emit(ev)
}

// restartDelay spreads simultaneous restarts of many tasks over time.
func (d *Decider) restartDelay() time.Duration {
	d.restartTokens--
	if d.restartTokens >= 0 {
		return 0
	}
	return time.Duration(-d.restartTokens / max(d.policies.RestartPerSecond, 1) * float64(time.Second))
}
