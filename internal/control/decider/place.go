package decider

import (
	"maps"
	"slices"
	"time"

	"masticroad/internal/control/admitter"
	"masticroad/internal/control/placer"
	"masticroad/internal/control/queuer"
	"masticroad/internal/control/registrar"
)

// This file places queued items. A pass over the queue offers items in order;
// each is assigned, or refused or skipped for the rest of the round. An urgent
// item that finds no free capacity preempts batch tasks, and is placed once
// their stop is confirmed.

// maxAssignmentsPerRound bounds the number of items placed in one round.
const maxAssignmentsPerRound = 512

func (d *Decider) place(now time.Time) {
	if d.queue.Len() == 0 {
		return
	}
	r := d.queue.StartRound(now)
	for n := 0; n < maxAssignmentsPerRound; {
		it := r.Next()
		if it == nil {
			return
		}
		if it.Deadline > 0 && registrar.MillisOf(now) >= it.Deadline {
			r.Skip(it) // the next tick ends it
			continue
		}
		if d.tryPlace(r, it, now) {
			n++
		}
	}
}

func (d *Decider) tryPlace(r *queuer.Round, it *queuer.Item, now time.Time) bool {
	if it.Kind == registrar.KindAllAtOnce {
		return d.placeGroup(r, it, now)
	}
	if it.Kind == registrar.KindRequest && d.sessionFor(it.Daemon, it.Incarnation) == nil {
		d.markDetached(it, now)
		d.reattach(it)
		r.Skip(it)
		return false
	}
	charge := d.charge(it)
	if !d.quotaAllows(it, charge) {
		r.Skip(it)
		return false
	}
	w := d.newWant(it, charge, now)
	target := placer.PickNamed(d.policies.Placement[it.Class], d.aliveTargets, w)
	if target == nil {
		d.preempt(it, charge, now)
		r.MarkUnplaceable(it)
		return false
	}
	if !d.assign(it, it.ID, target, charge, now) {
		r.Skip(it)
		return false
	}
	d.queue.Remove(it.ID)
	return true
}

func (d *Decider) markDetached(it *queuer.Item, now time.Time) {
	if _, ok := d.detached[it.ID]; !ok {
		d.detached[it.ID] = registrar.MillisOf(now)
	}
}

func (d *Decider) charge(it *queuer.Item) registrar.Need {
	if !d.policies.LearnNeeds {
		return it.Need
	}
	w := workOfItem(it)
	return d.learned.Charge(w, it.Need, d.largestCapacity)
}

// quotaAllows reports whether a charge fits the caller's quota. Batch items
// other than services may borrow idle capacity above it.
func (d *Decider) quotaAllows(it *queuer.Item, charge registrar.Need) bool {
	c := d.State.Callers[it.Caller]
	if c == nil {
		return false
	}
	if admitter.QuotaAllows(c.Quota, d.usedByCaller[it.Caller], charge) {
		return true
	}
	return d.policies.Borrow && it.Class == registrar.Batch && it.Kind != registrar.KindService
}

func (d *Decider) newWant(it *queuer.Item, charge registrar.Need, now time.Time) *placer.Requirements {
	w := &placer.Requirements{Need: charge, Region: it.Region, Once: it.Once, Avoid: d.avoidedByItem(it, now)}
	if it.Kind == registrar.KindService {
		w.Peers = d.peersOf(it)
	}
	if d.reservation.active(now) && it.Class != registrar.Urgent {
		w.Reserved = d.reservation.blocks(it, now)
	}
	return w
}

// avoidedByWork returns the targets on which this kind of work fails, computed
// once per round.
func (d *Decider) avoidedByWork(it *queuer.Item, now time.Time) map[registrar.TargetName]bool {
	work := workOfItem(it)
	if set, ok := d.round.avoid[work]; ok {
		return set
	}
	set := d.judge.TargetsToAvoid(work, now)
	d.round.avoid[work] = set
	return set
}

// avoidedByItem returns avoidedByWork plus the target on which the item itself
// failed last.
func (d *Decider) avoidedByItem(it *queuer.Item, now time.Time) map[registrar.TargetName]bool {
	set := d.avoidedByWork(it, now)
	if it.FailedOn == "" || set[it.FailedOn] {
		return set
	}
	combined := map[registrar.TargetName]bool{it.FailedOn: true}
	maps.Copy(combined, set)
	return combined
}

func (d *Decider) peersOf(it *queuer.Item) *placer.Peers {
	p := &placer.Peers{}
	for _, t := range d.State.ByJob[registrar.JobKey{Caller: it.Caller, Name: it.Job}] {
		if v := d.targets[t.Target]; t.State == registrar.Assigned && v != nil {
			p.Add(v.placement)
		}
	}
	for _, a := range d.roundPeers[registrar.JobKey{Caller: it.Caller, Name: it.Job}] {
		p.Add(a)
	}
	return p
}

// assign charges the target and sends the assignment to the daemon that starts
// the task. It reports whether it assigned the task.
func (d *Decider) assign(it *queuer.Item, id registrar.TaskID, target *placer.Target, charge registrar.Need, now time.Time) bool {
	s := d.startingDaemon(it, target.Name, now)
	if s == nil {
		return false
	}
	t := d.queuedTask(it, id)
	if t == nil {
		return false
	}
	target.Charge(charge)
	target.Probing = false
	d.usedByCaller[it.Caller] = d.usedByCaller[it.Caller].Plus(charge)
	d.round.touched[id] = true
	d.countRunning(it.Class, it.Once, 1)
	delete(d.nextPreemption, id)
	d.Counters.Assigned++
	d.rates.ObserveStart(it.Class, now)
	attempt := t.Attempt + 1
	if attempt == 1 && (it.Kind == registrar.KindBatch || it.Kind == registrar.KindAllAtOnce && id == it.ID) {
		d.retryBudget.Deposit(it.Caller) // requests have done so at their admission
	}
	d.emitAssigned(t, attempt, target.Name, s.daemon.Name, charge)
	m := d.downstreamFor(s.daemon.Name)
	m.Assignments = append(m.Assignments, d.assignment(t, attempt, target.Name, registrar.MillisOf(now)))
	if it.Kind == registrar.KindService {
		key := registrar.JobKey{Caller: it.Caller, Name: it.Job}
		d.roundPeers[key] = append(d.roundPeers[key], target)
	}
	return true
}

// emitAssigned logs an assignment. If the task was admitted in the same round,
// the assignment is merged into that event.
func (d *Decider) emitAssigned(t *registrar.Task, attempt registrar.Attempt, target registrar.TargetName, daemon registrar.DaemonName, charge registrar.Need) {
	logged := charge
	if charge == t.Need {
		logged = registrar.Need{}
	}
	if index, ok := d.round.admitted[t.ID]; ok {
		ev := d.round.Events[index].(registrar.TaskAdmitted)
		ev.Task.State, ev.Task.Attempt, ev.Task.Target, ev.Task.Charge = registrar.Assigned, attempt, target, logged
		d.round.Events[index] = ev
		return
	}
	if daemon == t.Daemon {
		daemon = ""
	}
	d.emit(registrar.TaskAssigned{ID: t.ID, Attempt: attempt, Target: target, Daemon: daemon, Charge: logged})
}

// startingDaemon returns the session of the daemon that starts an item. For a
// request, that is the daemon that holds its body.
func (d *Decider) startingDaemon(it *queuer.Item, target registrar.TargetName, now time.Time) *session {
	if it.Kind == registrar.KindRequest {
		return d.sessionFor(it.Daemon, it.Incarnation)
	}
	return d.dispatcherFor(target, now)
}

// queuedTask returns the queued task of an item, or nil if this round has
// already decided on it. The task may have been admitted in this round.
func (d *Decider) queuedTask(it *queuer.Item, id registrar.TaskID) *registrar.Task {
	if t := d.State.Tasks[id]; t != nil {
		if t.State != registrar.Queued || d.round.touched[id] {
			return nil
		}
		return t
	}
	return d.round.newTasks[registrar.RequestKey{Caller: it.Caller, Key: it.Key}]
}

func (d *Decider) assignment(t *registrar.Task, attempt registrar.Attempt, target registrar.TargetName, since registrar.Millis) Assignment {
	a := Assignment{
		Task: t.ID, Attempt: attempt, Target: target, Caller: t.Caller, Key: t.Key, Kind: t.Kind, Need: t.Need,
		Job: t.Job, Ordinal: t.Ordinal, Checkpoint: t.Checkpoint, Term: d.term, Once: t.Once,
		StartBy: since.Add(d.Timing.StartWindow),
	}
	if j := d.State.Jobs[registrar.JobKey{Caller: t.Caller, Name: t.Job}]; j != nil && t.Job != "" {
		a.Payload = j.Payload
	}
	return a
}

// enqueue queues a task of the replicated state, immediately or when its delay
// is over.
func (d *Decider) enqueue(t *registrar.Task, now time.Time) {
	if t.Kind == registrar.KindAllAtOnce {
		return // reconcileJobs queues the job as one item
	}
	if t.NotBefore > registrar.MillisOf(now) {
		d.delayed = append(d.delayed, delayedTask{t.ID, t.NotBefore})
		return
	}
	d.queue.Push(d.newItem(t))
	d.trackDeadline(t)
}

func (d *Decider) releaseDelayed(now time.Time) {
	at := registrar.MillisOf(now)
	due := d.delayed
	d.delayed = slices.DeleteFunc(slices.Clone(due), func(x delayedTask) bool { return x.due <= at })
	for _, x := range due {
		if t := d.liveTask(x.id); x.due <= at && t != nil && t.State == registrar.Queued {
			d.queue.Push(d.newItem(t))
			d.trackDeadline(t)
		}
	}
}
