package decider

import (
	"cmp"
	"slices"
	"time"

	"masticroad/internal/control/placer"
	"masticroad/internal/control/queuer"
	"masticroad/internal/control/registrar"
)

// This file places all-at-once jobs. A job that does not fit reserves chosen
// targets until it fits or the reservation expires. Only one job holds a
// reservation at a time, and the next reservation goes to another waiting job,
// so two large jobs can't block each other. Smaller tasks are still backfilled
// onto reserved targets if they are expected to end before the job could start.

type reservation struct {
	holder     registrar.TaskID
	targets    map[registrar.TargetName]bool
	expiresAt  time.Time
	startAt    time.Time // expected start of the holder
	lastHolder registrar.TaskID
	notBefore  time.Time // earliest time at which lastHolder may reserve again while other jobs wait
}

func (r *reservation) active(now time.Time) bool {
	return r.holder != 0 && now.Before(r.expiresAt)
}

// blocks returns a filter that keeps other items off reserved targets, or nil
// for the holder and for items that can be backfilled.
func (r *reservation) blocks(it *queuer.Item, now time.Time) func(*placer.Target) bool {
	if it.ID == r.holder {
		return nil
	}
	canBackfill := it.RunTime > 0 && now.Add(it.RunTime).Before(r.startAt)
	if canBackfill {
		return nil
	}
	return func(t *placer.Target) bool { return r.targets[t.Name] }
}

// placeGroup assigns every task of an all-at-once job, or none.
func (d *Decider) placeGroup(r *queuer.Round, it *queuer.Item, now time.Time) bool {
	charge := d.charge(it)
	if !d.quotaAllows(it, charge.Times(it.Count)) {
		r.Skip(it)
		return false
	}
	w := d.newWant(it, charge, now)
	chosen := placer.PickAll(d.aliveTargets, w, it.Count)
	if chosen == nil {
		d.reserve(it, charge, now)
		r.Skip(it)
		return false
	}
	for _, target := range chosen {
		if d.dispatcherFor(target.Name, now) == nil {
			r.Skip(it)
			return false
		}
	}
	for i, target := range chosen {
		d.assign(it, it.Tasks[i], target, charge, now)
	}
	d.queue.Remove(it.ID)
	if d.reservation.holder == it.ID {
		d.reservation = reservation{lastHolder: it.ID}
	}
	return true
}

func (d *Decider) reserve(it *queuer.Item, charge registrar.Need, now time.Time) {
	r := &d.reservation
	if r.active(now) {
		return
	}
	if r.holder != 0 {
		r.lastHolder, r.notBefore = r.holder, now.Add(d.policies.HoldTime)
		r.holder = 0
	}
	if r.lastHolder == it.ID && now.Before(r.notBefore) && d.otherGroupWaits(it) {
		return
	}
	targets, startAt := d.chooseReservedTargets(it, charge, now)
	if targets == nil {
		return
	}
	*r = reservation{holder: it.ID, targets: targets, expiresAt: now.Add(d.policies.HoldTime), startAt: startAt, lastHolder: r.lastHolder, notBefore: r.notBefore}
}

func (d *Decider) otherGroupWaits(it *queuer.Item) bool {
	found := false
	d.queue.Each(func(other *queuer.Item) bool {
		found = other.Kind == registrar.KindAllAtOnce && other.ID != it.ID
		return !found
	})
	return found
}

// chooseReservedTargets returns the targets that are expected to have free
// capacity first, and the time at which the last of them has.
func (d *Decider) chooseReservedTargets(it *queuer.Item, charge registrar.Need, now time.Time) (map[registrar.TargetName]bool, time.Time) {
	type candidate struct {
		name   registrar.TargetName
		places int
		free   time.Time
	}
	var candidates []candidate
	for _, p := range d.aliveTargets {
		v := d.targets[p.Name]
		if !p.Schedulable || it.Region != "" && it.Region != p.Region {
			continue
		}
		if n := placer.MaxTasks(p, charge, slotsOf(v.record)); n > 0 {
			candidates = append(candidates, candidate{p.Name, n, d.freeAt(p.Name, now)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.free.UnixNano(), b.free.UnixNano()) })
	reserved := make(map[registrar.TargetName]bool)
	places, startAt := 0, now
	for _, c := range candidates {
		if places >= it.Count {
			break
		}
		reserved[c.name] = true
		places += c.places
		startAt = c.free
	}
	if places < it.Count {
		return nil, now
	}
	return reserved, startAt
}

// freeAt returns the time at which all tasks on a target are expected to have
// ended.
func (d *Decider) freeAt(name registrar.TargetName, now time.Time) time.Time {
	end := now
	for _, t := range d.State.ByTarget[name] {
		run := d.learned.RunTime(workOf(t), t.RunTime, learnQuantile)
		if t.Kind == registrar.KindService || run == 0 {
			run = defaultRunTime
		}
		if e := t.Since.Time().Add(run); e.After(end) {
			end = e
		}
	}
	return end
}

// defaultRunTime is assumed for services and for tasks whose run time is
// unknown.
const defaultRunTime = time.Hour
