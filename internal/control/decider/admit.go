package decider

import (
	"fmt"
	"slices"
	"time"

	"masticroad/internal/control/admitter"
	"masticroad/internal/control/placer"
	"masticroad/internal/control/predictor"
	"masticroad/internal/control/queuer"
	"masticroad/internal/control/registrar"
)

// This file admits requests. Keys are idempotent: a repeated key gets the
// outcome of the first request, also when it arrives through another daemon
// while the first attempt still runs; that daemon is sent the outcome once
// there is one. A refused request is never logged, so it provably did not run.

func (d *Decider) handleAdmit(s *session, a *Admit, now time.Time) {
	key := registrar.RequestKey{Caller: a.Caller, Key: a.Key}
	if d.Disabled&WithoutKeyCheck == 0 {
		if t := d.State.Lookup(key); t != nil {
			d.answerDuplicate(s, a, t, now)
			return
		}
		if t := d.round.newTasks[key]; t != nil {
			if t.Content != a.Content {
				d.reply(s, conflictReply(a))
				return
			}
			d.addWatcher(key, &s.daemon)
			return
		}
	}
	if r := d.refusal(a, now); r != nil {
		d.Counters.Refused++
		d.reply(s, Reply{
			Caller: a.Caller, Key: a.Key, Outcome: registrar.NotRun, Reason: r.Reason,
			RetryAfter: r.RetryAfter, Retired: d.callerInactive(a.Caller),
		})
		return
	}
	d.admit(s, a, now)
}

func conflictReply(a *Admit) Reply {
	return Reply{Caller: a.Caller, Key: a.Key, Conflict: true, Reason: "the key was used with other content"}
}

func (d *Decider) reply(s *session, r Reply) {
	m := d.downstreamFor(s.daemon.Name)
	m.Replies = append(m.Replies, r)
}

func (d *Decider) callerInactive(name registrar.CallerName) bool {
	c := d.State.Callers[name]
	return c == nil || c.State != registrar.CallerActive
}

// refusal returns the reason why a request is not admitted, or nil.
func (d *Decider) refusal(a *Admit, now time.Time) *admitter.Refusal {
	c := d.State.Callers[a.Caller]
	if c == nil {
		return &admitter.Refusal{Reason: "caller is not known", Permanent: true}
	}
	if c.State != registrar.CallerActive && d.Disabled&WithoutRetiredCheck == 0 {
		return &admitter.Refusal{Reason: "caller is retired", Permanent: true}
	}
	if r := d.feasibilityRefusal(c, a.Need, a.Region); r != nil {
		return r
	}
	mayBorrow := d.policies.Borrow && a.Class == registrar.Batch
	if !mayBorrow && !admitter.QuotaAllows(c.Quota, d.usedByCaller[a.Caller], a.Need) {
		return &admitter.Refusal{Reason: fmt.Sprintf("over quota: the caller uses %s of %s", d.usedByCaller[a.Caller], c.Quota), RetryAfter: minRetryAfter}
	}
	r := d.queueRefusal(a, c, now)
	if r == nil || d.queue.Len() == d.round.waitingAfterPlace {
		return r
	}
	// Targets may have free capacity for requests that arrived earlier in the
	// same round, so place those before refusing this one.
	d.place(now)
	d.round.waitingAfterPlace = d.queue.Len()
	return d.queueRefusal(a, c, now)
}

// queueRefusal returns the reason why the queue does not accept a request, or
// nil.
func (d *Decider) queueRefusal(a *Admit, c *registrar.Caller, now time.Time) *admitter.Refusal {
	untilDeadline := time.Duration(-1)
	if a.Deadline > 0 && d.policies.DeadlineAdmission {
		untilDeadline = max(a.Deadline.Time().Sub(now), 0)
	}
	queued := d.queue.LenClass(a.Class)
	load := admitter.Load{
		CallerWaiting: d.queue.LenOf(a.Caller, a.Class),
		ClassWaiting:  queued,
		Predicted:     d.rates.PredictWait(a.Class, d.waitingAhead(a.Class, queued), d.running, now),
	}
	bounds := admitter.Limits{
		MaxWait:   d.maxWait(a.Class),
		PerCaller: d.policies.QueuePerCaller, PerClass: d.policies.QueuePerClass,
		MinRetry: minRetryAfter, MaxRetry: maxRetryAfter,
	}
	return bounds.Check(load, c.QueueBound, untilDeadline)
}

// waitingAhead returns the number of queued items of a class that a new request
// has to wait for. It does not count urgent items that preemption can free
// capacity for.
func (d *Decider) waitingAhead(c registrar.Class, waiting int) int {
	if c != registrar.Urgent || !d.policies.Preemption {
		return waiting
	}
	return max(waiting-d.preemptible, 0)
}

// maxWait returns the longest predicted wait with which a request of a class is
// admitted; 0 means no bound.
func (d *Decider) maxWait(c registrar.Class) time.Duration {
	if c == registrar.Urgent {
		return d.policies.UrgentWait
	}
	return 0
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// feasibilityRefusal refuses a request that no target could run even when
// empty, or that exceeds its caller's quota on its own.
func (d *Decider) feasibilityRefusal(c *registrar.Caller, need registrar.Need, region registrar.RegionName) *admitter.Refusal {
	if !admitter.QuotaAllows(c.Quota, registrar.Need{}, need) {
		return &admitter.Refusal{Reason: fmt.Sprintf("needs %s, above the caller's quota of %s", need, c.Quota), Permanent: true}
	}
	if len(d.aliveTargets) == 0 {
		return nil // targets may still announce themselves
	}
	miss, ok := placer.FindShortfall(d.aliveTargets, &placer.Requirements{Need: need, Region: region})
	if ok {
		return nil
	}
	text := fmt.Sprintf("needs %d %s; the largest target has %d", miss.Needed, miss.Resource, miss.Largest)
	return &admitter.Refusal{Reason: text, Permanent: true}
}

func (d *Decider) admit(s *session, a *Admit, now time.Time) {
	t := &registrar.Task{
		ID: d.nextTask, Caller: a.Caller, Key: a.Key, Content: a.Content,
		Class: a.Class, Need: a.Need, Once: a.Once, Submitted: registrar.MillisOf(now),
		Deadline: a.Deadline, RunTime: a.RunTime, Daemon: s.daemon.Name, Life: s.daemon.Incarnation, Region: a.Region,
	}
	d.nextTask++
	d.Counters.Admitted++
	d.retryBudget.Deposit(a.Caller)
	logged := *t
	logged.Submitted, logged.Life = 0, 0
	d.round.admitted[t.ID] = len(d.round.Events)
	d.emit(registrar.TaskAdmitted{Task: logged})
	d.round.newTasks[registrar.RequestKey{Caller: a.Caller, Key: a.Key}] = t
	d.queue.Push(d.newItem(t))
	d.trackDeadline(t)
}

func (d *Decider) newItem(t *registrar.Task) *queuer.Item {
	run := d.learned.RunTime(workOf(t), t.RunTime, learnQuantile)
	failedOn := registrar.TargetName("")
	if t.Failures > 0 {
		failedOn = t.Target
	}
	return &queuer.Item{
		FailedOn: failedOn,
		ID:       t.ID, Caller: t.Caller, Class: t.Class, Kind: t.Kind, Need: t.Need, Count: 1, Once: t.Once,
		Job: t.Job, Region: t.Region, Since: t.Submitted, Deadline: t.Deadline, RunTime: run,
		Daemon: t.Daemon, Incarnation: t.Life, Failures: t.Failures, Key: t.Key, Attempt: t.Attempt,
	}
}

func workOf(t *registrar.Task) predictor.Work {
	return predictor.Work{Caller: t.Caller, Job: t.Job, Class: t.Class}
}

// answerDuplicate handles a request whose key is in the replicated state.
func (d *Decider) answerDuplicate(s *session, a *Admit, t *registrar.Task, now time.Time) {
	if t.Content != a.Content {
		d.reply(s, conflictReply(a))
		return
	}
	if t.State == registrar.Ended {
		d.answerEnded(s, a, t, now)
		return
	}
	sameIncarnation := t.Daemon == s.daemon.Name && t.Life == s.daemon.Incarnation
	if sameIncarnation {
		return
	}
	if t.State == registrar.Queued && d.sessionFor(t.Daemon, t.Life) == nil && !d.round.touched[t.ID] {
		d.attach(t.ID, s)
		return
	}
	d.addWatcher(registrar.RequestKey{Caller: a.Caller, Key: a.Key}, &s.daemon)
}

// answerEnded repeats the outcome of an ended task. It admits a repeatable
// request again when the daemon reports that its answer is lost.
func (d *Decider) answerEnded(s *session, a *Admit, t *registrar.Task, now time.Time) {
	answerLost := a.Rerun && !t.Once && t.Outcome == registrar.Done
	if !answerLost {
		d.reply(s, outcomeReply(t))
		return
	}
	if r := d.refusal(a, now); r != nil {
		d.reply(s, Reply{Caller: a.Caller, Key: a.Key, Task: t.ID, Attempt: t.Attempt, Outcome: registrar.Unknown, Reason: "the answer is lost, and it can't run again: " + r.Reason})
		return
	}
	d.admit(s, a, now)
}

// attach moves a queued request to a daemon that holds its body. The request
// has no running attempt, so the earlier daemon can't start it.
func (d *Decider) attach(id registrar.TaskID, s *session) {
	d.round.touched[id] = true
	d.emit(registrar.TaskAttached{ID: id, Daemon: s.daemon.Name, Incarnation: s.daemon.Incarnation})
}

// reattach attaches a queued request whose daemon is not connected to a
// connected daemon that waits for its outcome.
func (d *Decider) reattach(it *queuer.Item) {
	if d.round.touched[it.ID] || d.State.Tasks[it.ID] == nil {
		return
	}
	for _, w := range d.watchers[registrar.RequestKey{Caller: it.Caller, Key: it.Key}] {
		if s := d.sessionFor(w.daemon, w.incarnation); s != nil {
			d.attach(it.ID, s)
			return
		}
	}
}

func outcomeReply(t *registrar.Task) Reply {
	return Reply{
		Caller: t.Caller, Key: t.Key, Task: t.ID, Attempt: t.Attempt, Outcome: t.Outcome,
		Reason: t.Reason, Answer: t.Answer, Status: t.Status, Holder: t.Daemon,
	}
}

// watcher is an incarnation of a daemon that waits for the outcome of a request that another daemon
// holds. It has the body of the request.
type watcher struct {
	daemon      registrar.DaemonName
	incarnation registrar.Incarnation
}

// addWatcher records a daemon that waits for the outcome of a request that
// another daemon holds.
func (d *Decider) addWatcher(key registrar.RequestKey, daemon *registrar.Daemon) {
	w := watcher{daemon.Name, daemon.Incarnation}
	if !slices.Contains(d.watchers[key], w) {
		d.watchers[key] = append(d.watchers[key], w)
	}
}

// notifyWatchers sends the outcome of a request to the daemons that wait for
// it.
func (d *Decider) notifyWatchers(t *registrar.Task) {
	key := registrar.RequestKey{Caller: t.Caller, Key: t.Key}
	for _, w := range d.watchers[key] {
		m := d.downstreamFor(w.daemon)
		m.Replies = append(m.Replies, outcomeReply(t))
	}
	delete(d.watchers, key)
}

// handleCancel cancels a request or a job on behalf of its caller.
func (d *Decider) handleCancel(c *Cancel, now time.Time) {
	if c.Job != "" {
		d.cancelJob(registrar.JobKey{Caller: c.Caller, Name: c.Job}, "canceled by the caller", now)
		return
	}
	t := d.State.Lookup(registrar.RequestKey{Caller: c.Caller, Key: c.Key})
	if t != nil {
		d.cancelTask(t, "canceled by the caller", now)
	}
}

// cancelTask ends a queued task and stops a running one.
func (d *Decider) cancelTask(t *registrar.Task, reason string, now time.Time) {
	if d.liveTask(t.ID) == nil {
		return
	}
	if t.State == registrar.Queued {
		d.endTask(t, registrar.TaskEnded{ID: t.ID, Outcome: notRunOutcome(t), Reason: reason}, now)
		return
	}
	if !t.Stopping || !t.Canceled {
		d.stop(t, reason, true, VerbStop, now)
	}
}

// notRunOutcome returns the outcome of a task that ends while it is queued:
// NotRun if none of its attempts ever started, else Failed.
func notRunOutcome(t *registrar.Task) registrar.Outcome {
	if t.Attempt == t.Never {
		return registrar.NotRun
	}
	return registrar.Failed
}
