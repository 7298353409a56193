package planner

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tracks runs from the order to start them to their end. An unanswered
// order is sent again, since a target starts a run at most once. The task may
// start elsewhere only when the target lists the run's end, or does not list the
// run in the answer to a poll that rules out that it still starts.

type runState uint8

const (
	runOrdered     runState = iota // the order to start was emitted
	runUnconfirmed                 // the order was not answered; it is sent again
	runStarted                     // the target has it
	runRecovered                   // ordered by an earlier leader, or to an earlier incarnation
	runRefused                     // refused as old; it does not run unless the target lists it
	runUnsent                      // the newest order could not be sent; see neverSent
)

// run is the leader's view of one run.
type run struct {
	key    runKey
	def    *definer.Step
	job    *job
	target *target
	charge registrar.Need
	state  runState

	ticket              string
	orderedAt           time.Time // when the run was decided
	sentAt              time.Time // of the newest order to start
	startedAt           time.Time // when the target first confirmed it
	retryAt             time.Time // of an unanswered order
	listed              bool      // the target has listed it as running
	unansweredAt        time.Time // when the latest unanswered order to start it was noticed
	pendingOrders       int       // orders to start it that are not reported yet
	mayBeSent           bool      // an order to start it has left this VM, or may have
	unsentOrders        int       // orders in a row that could not be sent
	stopping            bool
	stopReason          string
	stopRetryAt         time.Time // of the order to stop it
	stoppedAt           time.Time // when the target confirmed an order to stop; zero: it has not
	refusedAt           time.Time // when the target refused an order to start as old
	checkpoint          string
	percent             int
	sample              int
	sampledAt           time.Time
	decidedByThisLeader bool      // decided in this term
	ready               bool      // a long-running task has become ready
	progressedAt        time.Time // when its progress last changed
	resumed             bool      // it started from a checkpoint
	goneAt              time.Time // latest end of a run that only an earlier incarnation can have; zero: not known to be one
	image               imageID   // noImage: it isn't counted among the neighbours on its target
	isNeighbour         bool      // it is counted as started there
	beside              beside
	tailSum             float64 // of the logarithms of tail latencies since it was marked
	tails               int     // number of them
}

// mayBeInNewIncarnation reports whether a new incarnation of the run's target may
// have carried out an order to start it, or may still do so.
func (r *run) mayBeInNewIncarnation(window time.Duration, now Moment) bool {
	if r.listed {
		return !r.unansweredAt.IsZero() && now.Monotonic.Sub(r.unansweredAt) < window
	}
	return now.Monotonic.Sub(r.sentAt) < window
}

// neverSent reports whether no order to start a run has left this VM, which proves
// that the target does not run it.
func (r *run) neverSent() bool {
	return r.decidedByThisLeader && r.state != runRecovered && !r.mayBeSent && r.pendingOrders == 0
}

func (t *target) sortedRuns() []*run { return sortedRuns(t.runs) }

// sortedRuns returns runs ordered by task, so that decisions are deterministic.
func sortedRuns(runs map[runKey]*run) []*run {
	out := make([]*run, 0, len(runs))
	for _, r := range runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return compareKeys(a.key, b.key) })
	return out
}

func compareKeys(a, b runKey) int {
	return cmp.Or(cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence),
		cmp.Compare(a.task.Step, b.task.Step), cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.number, b.number))
}

// addRun adds a run to its job and its target, and charges the target with it.
func (p *Planner) addRun(j *job, def *definer.Step, key runKey, t *target, state runState, now Moment) *run {
	r := &run{key: key, def: def, job: j, target: t, charge: def.Charge(), state: state, decidedByThisLeader: state == runOrdered, orderedAt: now.Monotonic, sentAt: now.Monotonic}
	t.runs[key] = r
	t.used = t.used.Plus(r.charge)
	if def.LongRunning {
		t.usedLongRunning = t.usedLongRunning.Plus(r.charge)
	}
	p.recordCharge(t)
	j.runs[key] = r
	j.chargeWorkspace(def)
	p.addNeighbour(r, now)
	return r
}

// release returns the capacity that a run was charged with.
func (t *target) release(r *run) {
	t.used = t.used.Minus(r.charge)
	if r.def.LongRunning {
		t.usedLongRunning = t.usedLongRunning.Minus(r.charge)
	}
}

const fullPace = 100 // percent

// orderStart emits the order to start a run, to be sent once its event is committed.
func (p *Planner) orderStart(r *run, now Moment) {
	o := p.startOrder(r, now)
	if o == nil {
		r.retryAt = now.Monotonic.Add(p.Limits.OrderRetry)
		r.state = runUnconfirmed
		return
	}
	r.sentAt = now.Monotonic
	r.resumed = o.Checkpoint != ""
	p.emitStart(r, o)
}

func (p *Planner) emitStart(r *run, o *StartOrder) {
	r.pendingOrders++
	p.doAfterCommit(Action{Start: o})
}

func (p *Planner) startOrder(r *run, now Moment) *StartOrder {
	t := r.target
	if !t.hasClock || r.job.rec.Def == nil {
		return nil
	}
	_, task := p.State.LookupTask(r.key.task)
	return &StartOrder{
		To: p.destination(t), Task: r.key.task, Number: r.key.number, Spec: r.job.rec.Def.Spec,
		Deadline: p.extendLease(t, p.Limits.InitialLease, now), Checkpoint: task.Checkpoint, Ticket: r.ticket,
		Limit: p.orderTimeout(now), Urgent: r.def.Gang,
	}
}

// stop orders a run to be stopped. Its capacity stays charged until its end is
// listed.
func (p *Planner) stop(r *run, reason string, now Moment) {
	if r.stopping {
		return
	}
	p.measureStopped(r, now)
	r.stopping, r.stopReason = true, reason
	if p.without(WithoutStopCharge) {
		r.target.release(r)
		r.charge = registrar.Need{}
	}
	p.Counters.Stopped++
	if r.neverSent() {
		return // checkRuns ends it
	}
	p.sendStop(r, now)
}

func (p *Planner) sendStop(r *run, now Moment) {
	r.stopRetryAt = now.Monotonic.Add(p.Settings.StopTime + stopMargin)
	p.doAfterCommit(Action{Stop: &StopOrder{To: p.destination(r.target), Task: r.key.task, Number: r.key.number, Limit: p.orderTimeout(now)}})
}

// OrderReported handles the outcome of an order to start or to stop a run.
func (p *Planner) OrderReported(o *OrderReport, now Moment) {
	t := p.targets[o.Target]
	if t == nil || t.rec.Incarnation != o.Incarnation || !p.isCurrent(o.Token, t) {
		return
	}
	r := t.runs[runKey{o.Task, o.Number}]
	if r != nil && !o.Stop {
		r.pendingOrders--
		r.mayBeSent = r.mayBeSent || o.Answered || o.Failure == MayBeSent
	}
	p.observeLag(o.Answered, o.Sent, o.Limit, o.Received, now)
	if !o.Answered {
		p.unansweredOrder(t, r, o, now)
		return
	}
	if p.hasRestarted(t, o.Clock) {
		p.log("target restarted: its clock went back", "target", t.rec.ID, "clock", int64(o.Clock), "before", int64(t.clock))
		t.responsive, t.tokenConfirmed, t.hasClock, t.endCursor = false, false, false, 0
		for _, x := range t.runs {
			x.stoppedAt = time.Time{}
		}
		t.pollDue = now.Monotonic
		p.recordAnyLease(t, true, 0, now)
		t.anyLeaseEnd = time.Time{}
		p.assumeLease(t, p.Settings.MaxLease, now)
		if r != nil && !o.Stop {
			r.state = runUnconfirmed
		}
		return
	}
	if o.Refusal != RefusedIncarnation {
		p.recordAnswer(t, o.Clock, o.Received)
	}
	if r == nil {
		return
	}
	if o.Stop {
		r.recordStopAnswer(o, now)
		return
	}
	p.handleStartAnswer(r, o, now)
}

// hasRestarted reports whether the clock of an answer shows that it came from a
// new incarnation, whose clock has restarted. Answers may overtake each other,
// but none is older than the timeout of an order.
func (p *Planner) hasRestarted(t *target, clock ClockMillis) bool {
	return clock > 0 && t.hasClock && t.clock-clock > ClockMillis(restartClockStep.Milliseconds())
}

const restartClockStep = time.Second // more than the timeout of an order

func (p *Planner) unansweredOrder(t *target, r *run, o *OrderReport, now Moment) {
	// An order whose timeout this leader notices late says nothing about the target: its
	// answer may have come while this leader was busy. Polls go on to extend the lease.
	late := now.Monotonic.Sub(o.Sent) - o.Limit
	if o.Failure == NotConnected || o.Failure == MayBeSent && late < leaderBusyDelay {
		p.recordMiss(t, o.Failure, late, now)
	}
	if r == nil {
		return
	}
	if o.Stop {
		p.unansweredStop(t, r, o, now)
		return
	}
	if r.neverSent() {
		p.unsentStart(r, o, now)
		return
	}
	if r.stopping {
		return
	}
	if r.state == runOrdered || r.state == runUnsent {
		r.state = runUnconfirmed
	}
	if o.Failure != MayBeSent {
		r.retryAt = now.Monotonic.Add(p.Limits.OrderRetry)
		return
	}
	r.unansweredAt = now.Monotonic
	r.retryAt = now.Monotonic.Add(p.Limits.OrderRetry)
	if t.responsive {
		p.repeatStart(r, now)
	}
}

func (p *Planner) unansweredStop(t *target, r *run, o *OrderReport, now Moment) {
	switch {
	case o.Failure != MayBeSent:
		r.stopRetryAt = now.Monotonic.Add(p.Limits.OrderRetry)
	case t.responsive:
		p.sendStop(r, now)
	}
}

// unsentStart handles an order to start a run of which nothing has left this VM. The
// run is tried again there while the cause is a shortage here. It ends, so that its
// task is placed elsewhere, if the target can't be connected to, if the shortage
// lasts, or if the run is to be stopped.
func (p *Planner) unsentStart(r *run, o *OrderReport, now Moment) {
	r.unsentOrders++
	if o.Failure == NotConnected {
		r.target.pausedUntil = now.Monotonic.Add(p.Limits.UnhealthyPause)
	}
	if r.stopping || o.Failure == NotConnected || r.unsentOrders >= maxUnsentOrders {
		p.endUnsent(r, now)
		return
	}
	r.state = runUnsent
	r.retryAt = now.Monotonic.Add(p.Limits.UnsentRetry << (r.unsentOrders - 1))
}

// endUnsent ends a run that its target was never ordered to start.
func (p *Planner) endUnsent(r *run, now Moment) {
	p.Counters.StartsUnsent++
	p.endRun(r, tracker.EndRefused, r.checkpoint, "order was not sent", now)
}

// maxUnsentOrders bounds the wait for a connection to about a third of a second,
// most of it in pauses.
const maxUnsentOrders = 4

// repeatStart sends an unanswered order to start again. A target starts a run at
// most once.
func (p *Planner) repeatStart(r *run, now Moment) {
	if o := p.startOrder(r, now); o != nil {
		o.Repeated = true
		r.retryAt = now.Monotonic.Add(o.Limit + orderMargin)
		p.emitStart(r, o)
	}
}

// recordStopAnswer records that a target has carried out an order to stop. Orders
// to start the run that arrive there later have no effect.
func (r *run) recordStopAnswer(o *OrderReport, now Moment) {
	if o.Refusal == NotRefused && r.stoppedAt.IsZero() {
		r.stoppedAt = now.Monotonic
	}
}

func (p *Planner) handleStartAnswer(r *run, o *OrderReport, now Moment) {
	if o.Refusal == NotRefused {
		p.markStarted(r, now)
		return
	}
	if r.state == runStarted {
		return // an earlier copy of the order was carried out
	}
	p.log("start refused", "task", r.key.task.String(), "run", int(r.key.number), "target", r.target.rec.ID, "reason", o.Refusal.String())
	switch o.Refusal {
	case RefusedToken:
		r.state = runRecovered // there may be a new leader; the next poll shows
		r.target.pollDue = now.Monotonic
		return
	case RefusedOld:
		r.state, r.refusedAt = runRefused, now.Monotonic
		return
	case RefusedTicket:
		p.dropTicket(r)
	default:
		r.target.pausedUntil = now.Monotonic.Add(p.Limits.UnhealthyPause)
	}
	if r.state == runUnconfirmed || r.state == runRecovered {
		// An earlier copy of the order may still be carried out. A stop prevents that.
		p.stop(r, "refused after an order without an answer", now)
		return
	}
	p.Counters.StartsRefused++
	p.endRun(r, tracker.EndRefused, "", o.Refusal.String(), now)
}

// markStarted records that the target has the run.
func (p *Planner) markStarted(r *run, now Moment) {
	r.job.begun = true
	if r.state != runStarted {
		recovered := r.state == runRecovered
		r.state = runStarted
		r.startedAt = now.Monotonic
		p.startNeighbour(r, recovered, now)
	}
}

// recordFinished records the ends that a target lists, in any order.
func (p *Planner) recordFinished(t *target, report *PollReport, now Moment) {
	recorded := t.endCursor
	for i := range report.Finished {
		f := &report.Finished[i]
		if f.Sequence <= recorded {
			continue
		}
		t.endCursor = max(t.endCursor, f.Sequence)
		r := t.runs[runKey{f.Task, f.Number}]
		if r == nil {
			continue
		}
		checkpoint := f.Checkpoint
		if checkpoint == "" {
			checkpoint = r.checkpoint
		}
		p.endRun(r, f.How, checkpoint, "listed", now)
	}
}

// reconcileRuns compares the runs that a target lists with those it was ordered to
// start.
func (p *Planner) reconcileRuns(t *target, report *PollReport, now Moment) {
	p.releaseOrphans(t)
	for i := range report.Running {
		x := &report.Running[i]
		key := runKey{x.Task, x.Number}
		r := t.runs[key]
		if r == nil {
			p.stopOrphan(t, key, now)
			continue
		}
		p.markStarted(r, now)
		r.listed, r.goneAt = true, time.Time{}
		p.recordProgress(r, x, report, now)
	}
	if !report.isWhole() {
		p.logIncomplete(t, report, now)
	}
	if report.isWhole() || p.without(WithoutWholeLists) {
		for _, r := range t.unlistedRuns(report) {
			p.handleAbsence(r, report, now)
		}
	}
	p.adjustPace(t, now)
}

// unlistedRuns returns the runs of a target that a report does not list as running, ordered by
// task. There are seldom any, and few runs on a target.
func (t *target) unlistedRuns(report *PollReport) []*run {
	var out []*run
	for _, r := range t.runs {
		isListed := func(x Running) bool { return r.key == runKey{x.Task, x.Number} }
		if !slices.ContainsFunc(report.Running, isListed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return compareKeys(a.key, b.key) })
	return out
}

// logIncomplete logs lists that leave out ends or have rows that can't be read, at most
// once in incompleteInterval for a target.
func (p *Planner) logIncomplete(t *target, report *PollReport, now Moment) {
	if now.Monotonic.Sub(t.incompleteLoggedAt) < incompleteInterval {
		return
	}
	t.incompleteLoggedAt = now.Monotonic
	if report.Partial {
		p.log("target lists a part of its ends", "target", t.rec.ID, "ends", len(report.Finished), "cursor", t.endCursor, "runs", len(t.runs))
	}
	if report.Unreadable > 0 {
		p.log("target lists rows that can't be read", "target", t.rec.ID, "rows", report.Unreadable, "first", report.UnreadableReason)
	}
}

const incompleteInterval = 10 * time.Second

// releaseOrphans releases what is charged for orphans. Those that still run
// are in the present report and are charged again.
func (p *Planner) releaseOrphans(t *target) {
	for _, o := range t.orphans {
		t.used = t.used.Minus(o.charge)
		if o.workspace != nil {
			o.workspace.usage = o.workspace.usage.Minus(o.need)
		}
	}
	t.orphans = nil
}

// stopOrphan stops a run that the replicated state does not have on this target.
// It is charged to the target and to the workspace of its job until it is no longer listed.
func (p *Planner) stopOrphan(t *target, key runKey, now Moment) {
	t.chargeOrphan(key, p.newOrphan(t, key))
	p.log("stray run", "task", key.task.String(), "run", int(key.number), "target", t.rec.ID)
	p.doAfterCommit(Action{Stop: &StopOrder{To: p.destination(t), Task: key.task, Number: key.number, Limit: p.orderTimeout(now)}})
}

func (p *Planner) recordProgress(r *run, x *Running, report *PollReport, now Moment) {
	if x.Checkpoint != "" {
		r.checkpoint = x.Checkpoint
	}
	if x.Percent != r.percent || r.progressedAt.IsZero() {
		r.progressedAt = report.Received
	}
	r.percent, r.sample, r.sampledAt = x.Percent, x.Sample, report.Received
	p.measureTail(r, now)
	if r.def.LongRunning && x.Percent >= fullPace && !r.ready {
		r.ready = true
		r.target.health.recordSuccess()
	}
}

// handleAbsence handles a run that its target lists neither as running nor as
// ended. The answer to a poll is conclusive only about orders that were answered
// before the poll was sent: later ones may have been carried out after the target
// made its list.
func (p *Planner) handleAbsence(r *run, report *PollReport, now Moment) {
	asked := report.Sent
	switch r.state {
	case runStarted:
		if r.startedAt.Before(asked) {
			p.endRun(r, tracker.EndTargetLost, r.checkpoint, "target does not list it", now)
		}
	case runRecovered:
		// The target has seen the present token, so it rejects older orders.
		p.endRun(r, tracker.EndTargetLost, r.checkpoint, "target did not start it", now)
	case runRefused:
		if r.refusedAt.Before(asked) {
			p.endRun(r, tracker.EndRefused, r.checkpoint, "target refused it as old", now)
		}
	case runOrdered, runUnconfirmed, runUnsent:
		if !r.stoppedAt.IsZero() && r.stoppedAt.Before(asked) {
			p.endRun(r, tracker.EndRefused, r.checkpoint, "stopped before it began", now)
		}
	}
}

// checkRuns repeats unanswered orders. Orders to start are repeated only after the
// target has answered a poll with the present token, which confirms its
// incarnation: a new incarnation may have less capacity.
func (p *Planner) checkRuns(t *target, now Moment) {
	if !t.hasUnconfirmed() {
		return
	}
	for _, r := range t.sortedRuns() {
		switch {
		case r.neverSent() && (r.stopping || !t.responsive):
			p.endUnsent(r, now)
		case r.stopping:
			if !now.Monotonic.Before(r.stopRetryAt) {
				p.sendStop(r, now)
			}
		case r.needsRepeat() && t.responsive && t.tokenConfirmed && !now.Monotonic.Before(r.retryAt):
			p.repeatStart(r, now)
		}
	}
}

// hasUnconfirmed reports whether an order may have to be repeated.
func (t *target) hasUnconfirmed() bool {
	for _, r := range t.runs {
		if r.needsRepeat() || r.stopping {
			return true
		}
	}
	return false
}

// needsRepeat reports whether the order to start a run has to be sent again.
func (r *run) needsRepeat() bool { return r.state == runUnconfirmed || r.state == runUnsent }

const (
	orderMargin = 300 * time.Millisecond // in addition to the timeout of an order, until it is repeated without a report
	stopMargin  = 400 * time.Millisecond // in addition to StopTime, until a stop is repeated
)

// endRun records the end of a run and updates its target, step and job.
func (p *Planner) endRun(r *run, how tracker.End, checkpoint, reason string, now Moment) {
	t, j := r.target, r.job
	delete(t.runs, r.key)
	delete(j.runs, r.key)
	j.idleSince = now.Monotonic
	j.begun = j.begun || how.Listed()
	p.measureEnd(r, how, now)
	p.removeNeighbour(r, now)
	t.forgetPace(r.key)
	t.release(r)
	j.releaseWorkspace(r.def)
	p.dirty = true
	p.recordOutcome(r, how, now)
	if how == tracker.EndDone {
		p.recordRunTime(r, now)
	}
	counts := p.emitRunEnded(r, how, checkpoint, now)
	if how != tracker.EndDone {
		p.log("run ended", append([]any{"task", r.key.task.String(), "run", int(r.key.number), "target", t.rec.ID, "how", how.String(), "reason", reason,
			"stop", r.stopReason}, counts...)...)
	}
	if r.def.Gang && how != tracker.EndDone {
		p.stopGang(r, "its gang has lost a member", now)
	}
	p.settleTask(r, how, now)
}
