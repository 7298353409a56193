package decider

import (
	"slices"
	"strings"
	"time"

	"masticroad/internal/control/placer"
	"masticroad/internal/control/registrar"
)

// This file tracks the targets: their free capacity, whether they accept new
// tasks, and their leases. A target that announces a new incarnation has lost
// the attempts of the earlier one, but may already run a start that was sent
// before the leader knew of the restart. Therefore an attempt ends only when
// the target does not list it and its start can no longer arrive.

type targetView struct {
	record         *registrar.Target
	placement      *placer.Target
	lastFullReport time.Time // time of the last full announcement in this term
	needFullReport bool
	newestSeq      uint64 // of the announcements of the record's incarnation in this term
}

// refreshTarget rebuilds the view of a target from the replicated state.
func (d *Decider) refreshTarget(name registrar.TargetName, now time.Time) {
	record := d.State.Targets[name]
	if record == nil {
		return
	}
	v := d.targets[name]
	if v == nil {
		v = &targetView{placement: &placer.Target{Name: name}, needFullReport: true}
		d.targets[name] = v
	}
	if v.record != nil && v.record.Incarnation != record.Incarnation {
		d.judge.Clear(name)
		v.newestSeq = 0
	}
	v.record = record
	used, tasks := d.State.Used(name)
	p := v.placement
	p.Region, p.Zone, p.Rack = record.Region, record.Zone, record.Rack
	p.Capacity = record.Capacity
	p.Free = record.Capacity.Minus(used)
	p.FreeSlots = slotsOf(record) - tasks
	p.UpdateInverse()
	d.refreshAvailability(v, now)
	d.refreshAliveTargets()
}

// slotsOf returns the number of tasks that a target runs concurrently: its
// slots, bounded by its connections.
func slotsOf(t *registrar.Target) int {
	if t.Connections > 0 {
		return min(t.Slots, t.Connections)
	}
	return t.Slots
}

func (d *Decider) refreshAvailability(v *targetView, now time.Time) {
	t := v.record
	usable := t.State == registrar.TargetAlive && !t.Draining && !t.Leaving && !t.Retiring
	usable = usable && d.leaseCoversStart(t.Name, now)
	v.placement.Schedulable = usable && t.Quarantine == 0
	_, running := d.State.Used(t.Name)
	v.placement.Probing = usable && t.Quarantine > 0 && registrar.MillisOf(now) >= t.ProbeAfter && running == 0
}

// leaseCoversStart reports whether a start that is decided now reaches the
// target before its lease can expire. Otherwise a start could arrive after the
// target was declared lost.
func (d *Decider) leaseCoversStart(name registrar.TargetName, now time.Time) bool {
	return d.targetLeases.Held(name, now.Add(d.Timing.StartWindow+d.Timing.Transit))
}

// refreshAliveTargets rebuilds the list of alive targets, in order of their
// names, and their total and largest capacity.
func (d *Decider) refreshAliveTargets() {
	d.aliveTargets = d.aliveTargets[:0]
	d.totalCapacity, d.largestCapacity = registrar.Need{}, registrar.Need{}
	for _, v := range d.targets {
		if v.record.State != registrar.TargetAlive {
			continue
		}
		d.aliveTargets = append(d.aliveTargets, v.placement)
		d.totalCapacity = d.totalCapacity.Plus(v.record.Capacity)
		d.largestCapacity = d.largestCapacity.Max(v.record.Capacity)
	}
	slices.SortFunc(d.aliveTargets, func(a, b *placer.Target) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// handleAnnouncement handles a target's heartbeat.
func (d *Decider) handleAnnouncement(from registrar.DaemonName, a *Announcement, leaderUntil, now time.Time) {
	reply := TargetReply{Name: a.Name, Incarnation: a.Incarnation, Seq: a.Seq}
	rec := d.State.Targets[a.Name]
	if rec != nil && rec.State == registrar.TargetRetired {
		reply.Retired = true
		d.answerTarget(from, reply)
		return
	}
	if rec != nil && a.Incarnation < rec.Incarnation {
		d.answerTarget(from, reply) // an earlier incarnation gets no lease
		return
	}
	if v := d.targets[a.Name]; v != nil && v.record.Incarnation == a.Incarnation {
		if a.Seq < v.newestSeq {
			d.answerTarget(from, reply) // it was delayed: what it lists is out of date
			return
		}
		v.newestSeq = a.Seq
	}
	if a.Full != nil {
		d.handleFullReport(a, rec, &reply, now)
	}
	v := d.targets[a.Name]
	known := rec != nil && rec.Incarnation == a.Incarnation && rec.State == registrar.TargetAlive
	if known && v != nil {
		reply.SendFull = a.Full == nil && d.fullReportDue(v, a, now)
	} else {
		reply.SendFull = a.Full == nil
	}
	if (known || a.Full != nil) && now.Before(leaderUntil) {
		reply.Duration = d.targetLeases.Grant(a.Name, now)
	}
	if v != nil {
		d.refreshAvailability(v, now)
	}
	d.answerTarget(from, reply)
}

func (d *Decider) answerTarget(to registrar.DaemonName, r TargetReply) {
	m := d.downstreamFor(to)
	m.Targets = append(m.Targets, r)
}

func (d *Decider) fullReportDue(v *targetView, a *Announcement, now time.Time) bool {
	if v.needFullReport || now.Sub(v.lastFullReport) >= d.Timing.FullReportInterval {
		return true
	}
	return a.Digest != d.expectedDigest(a.Name, v.record.Leaving)
}

// expectedDigest returns the digest of a target that runs exactly the
// background tasks that are assigned to it.
func (d *Decider) expectedDigest(name registrar.TargetName, leaving bool) registrar.Digest {
	sum := DigestLeaving(leaving)
	for _, t := range d.State.ByTarget[name] {
		if t.Kind != registrar.KindRequest {
			sum ^= DigestAttempt(t.ID, t.Attempt)
		}
	}
	return sum
}

// handleFullReport handles a full announcement.
func (d *Decider) handleFullReport(a *Announcement, rec *registrar.Target, reply *TargetReply, now time.Time) {
	announced := *a.Full
	announced.Name, announced.Incarnation = a.Name, a.Incarnation
	announced.State = registrar.TargetAlive
	if rec == nil || announcementDiffers(rec, &announced) {
		d.emit(registrar.TargetAnnounced{Target: announced})
	}
	v := d.targets[a.Name]
	if v == nil || rec == nil {
		return
	}
	v.lastFullReport, v.needFullReport = now, false
	for i := range a.Ended {
		d.handleEnded(&a.Ended[i], reply, now)
	}
	d.reconcileRunning(v, a, reply, now)
}

// announcementDiffers reports whether an announcement differs from the target's
// replicated record.
func announcementDiffers(old, announced *registrar.Target) bool {
	return old.Address != announced.Address || old.Capacity != announced.Capacity || old.Slots != announced.Slots ||
		old.Connections != announced.Connections || old.Incarnation != announced.Incarnation || old.Zone != announced.Zone ||
		old.Region != announced.Region || old.Rack != announced.Rack || old.Leaving != announced.Leaving ||
		old.State != registrar.TargetAlive
}

func (d *Decider) handleEnded(r *Report, reply *TargetReply, now time.Time) {
	reply.Forget = append(reply.Forget, TaskAttempt{Task: r.Task, Attempt: r.Attempt})
	d.handleReport(r, now)
}

// reconcileRunning compares the attempts that a target runs with those assigned
// to it.
func (d *Decider) reconcileRunning(v *targetView, a *Announcement, reply *TargetReply, now time.Time) {
	running := make(map[registrar.TaskID]registrar.Attempt, len(a.Running))
	for _, r := range a.Running {
		running[r.Task] = r.Attempt
		t := d.State.Tasks[r.Task]
		assigned := t != nil && t.State == registrar.Assigned && t.Target == a.Name && t.Attempt == r.Attempt
		if !assigned || t.Stopping {
			reply.Stop = append(reply.Stop, TaskAttempt{Task: r.Task, Attempt: r.Attempt})
			v.needFullReport = true
		}
		if assigned {
			d.handleUsage(t, r.Usage)
		}
	}
	for _, t := range d.State.ByTarget[a.Name] {
		if running[t.ID] == t.Attempt {
			continue
		}
		d.checkAbsent(v, t, now)
	}
}

// checkAbsent ends an attempt that its target does not run. It waits while the
// start may still arrive. It also leaves a request to its daemon while that is
// alive, since the daemon reports the result.
func (d *Decider) checkAbsent(v *targetView, t *registrar.Task, now time.Time) {
	if registrar.MillisOf(now) < d.arrivalDeadline(t) {
		v.needFullReport = true
		return
	}
	if t.Kind == registrar.KindRequest && d.daemonAlive(t.Daemon, t.Life, now) {
		return
	}
	d.handleReport(&Report{Task: t.ID, Attempt: t.Attempt, Result: ResultAbsent, Reason: "target does not run it", ByTarget: true}, now)
}

// expireTargetLeases marks targets whose leases have expired as lost.
func (d *Decider) expireTargetLeases(now time.Time) {
	for _, name := range d.targetLeases.RemoveExpired(now) {
		rec := d.State.Targets[name]
		if rec == nil || rec.State != registrar.TargetAlive {
			continue
		}
		d.Counters.LostTargets++
		d.emit(registrar.TargetMarked{Name: name, State: registrar.TargetLost, Quarantine: rec.Quarantine, ProbeAfter: rec.ProbeAfter})
		d.endAttemptsOn(name, "target lost", now)
	}
}

// endAttemptsOn ends every attempt on a target that provably runs none of them.
func (d *Decider) endAttemptsOn(name registrar.TargetName, reason string, now time.Time) {
	tasks := make([]*registrar.Task, 0, len(d.State.ByTarget[name]))
	for _, t := range d.State.ByTarget[name] {
		tasks = append(tasks, t)
	}
	registrar.SortTasks(tasks)
	for _, t := range tasks {
		d.handleReport(&Report{Task: t.ID, Attempt: t.Attempt, Result: ResultAbsent, Reason: reason}, now)
	}
}

// reconcileTargets moves tasks off targets that are being drained or are
// leaving, resends unconfirmed stops, and requests full announcements of
// targets that run attempts of failed daemons.
func (d *Decider) reconcileTargets(now time.Time) {
	for name, v := range d.targets {
		d.refreshAvailability(v, now)
		leaving := v.record.Draining || v.record.Leaving || v.record.Retiring
		for _, t := range d.State.ByTarget[name] {
			daemonFailed := t.Kind == registrar.KindRequest && !d.daemonAlive(t.Daemon, t.Life, now)
			if daemonFailed {
				v.needFullReport = true
			}
			mustMove := t.Kind == registrar.KindService || v.record.Leaving && t.Kind != registrar.KindRequest
			if leaving && mustMove && !t.Stopping {
				d.stop(t, "target is leaving", false, VerbCheckpoint, now)
			}
			if t.Stopping {
				d.resendStop(t, now)
			}
		}
	}
}
