package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file carries out waves of upkeep: every VM of a wave is drained and taken
// down once, within the wave's duration, with a bound on how many are down at
// once. VMs with the least load come first, and the next VM follows as soon as
// one is back.

// upkeep is the leader's state of all waves.
type upkeep struct {
	vmDrain         map[tracker.VMID]*vmDrain
	ordered         map[tracker.VMID]*vmOrder // orders without an answer
	blockedUntil    map[tracker.VMID]time.Time
	listRequestedAt time.Time // when the list of VMs was last requested
}

// vmDrain is a VM that is being drained before it is taken down.
type vmDrain struct {
	wave   tracker.WaveID
	stopAt time.Time // runs that are not done by then are stopped
}

// vmOrder is an order to take a VM down.
type vmOrder struct {
	wave    tracker.WaveID
	sentAt  time.Time // zero: not in flight
	retryAt time.Time // not sent again before
}

func newUpkeep() upkeep {
	return upkeep{
		vmDrain: make(map[tracker.VMID]*vmDrain), ordered: make(map[tracker.VMID]*vmOrder), blockedUntil: make(map[tracker.VMID]time.Time),
	}
}

const (
	vmOrderTimeout      = 2 * time.Second        // an order that is not answered within it is repeated
	vmRetry             = 300 * time.Millisecond // pause after an unanswered order
	vmRefusedPause      = time.Second            // pause after an order that was refused as busy or over the rate limit
	vmReturnTime        = 2 * time.Second        // from the end of the upkeep until the VM's new target has announced itself
	vmListInterval      = 2 * time.Second        // between lists, which are requested only when a VM does not come back
	minVMDrainTime      = 300 * time.Millisecond // allows short runs to end by themselves
	maxVMDrainTime      = 6 * time.Second
	overdueUpkeepFactor = 3 // multiple of the usual upkeep time, after which the list of VMs is checked
)

// PutWave accepts a wave. Reply is called once it is committed.
func (p *Planner) PutWave(w *tracker.WavePut, reply func(Answer), now Moment) {
	defer p.doAfterCommit(Action{Done: func() { reply(Answer{Verdict: Accepted}) }})
	if p.State.Waves[w.ID] != nil {
		return
	}
	p.emit(tracker.Event{WavePut: w}, now)
	p.log("wave accepted", "wave", int64(w.ID), "vms", len(w.VMs), "duration", w.Duration.Milliseconds(), "down", w.MaxDown)
}

// checkWaves advances all waves that are not complete.
func (p *Planner) checkWaves(now Moment) {
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		if len(w.Pending) == 0 && len(w.Down) == 0 {
			continue
		}
		p.sendVMOrders(w, now)
		p.startVMDrains(w, now)
		p.requestOverdueVMs(w, now)
	}
	for _, vm := range slices.Sorted(maps.Keys(p.upkeep.vmDrain)) {
		p.drainVM(vm, p.upkeep.vmDrain[vm], now)
	}
}

// sendVMOrders sends orders that are not answered, including those of earlier
// leaders.
func (p *Planner) sendVMOrders(w *tracker.Wave, now Moment) {
	for _, vm := range slices.Sorted(maps.Keys(w.Down)) {
		if !w.Pending[vm] {
			continue // its upkeep has started
		}
		o := p.upkeep.ordered[vm]
		if o == nil {
			o = &vmOrder{wave: w.ID}
			p.upkeep.ordered[vm] = o
		}
		waiting := !o.sentAt.IsZero() && now.Monotonic.Sub(o.sentAt) < vmOrderTimeout
		if waiting || now.Monotonic.Before(o.retryAt) {
			continue
		}
		o.sentAt = now.Monotonic
		p.doAfterCommit(Action{VM: &VMOrder{VM: vm, Wave: w.ID, Holder: p.Settings.Holder, Token: Token(p.term)}})
	}
}

// startVMDrains chooses the VMs to drain next, those with the least load first.
func (p *Planner) startVMDrains(w *tracker.Wave, now Moment) {
	free := w.MaxDown - len(w.Down)
	for _, e := range p.upkeep.vmDrain {
		if e.wave == w.ID {
			free--
		}
	}
	if free <= 0 {
		return
	}
	var next []tracker.VMID
	for vm := range w.Pending {
		_, down := w.Down[vm]
		if !down && p.upkeep.vmDrain[vm] == nil && !now.Monotonic.Before(p.upkeep.blockedUntil[vm]) {
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b tracker.VMID) int {
		return cmp.Or(cmp.Compare(p.vmLoad(a), p.vmLoad(b)), cmp.Compare(a, b))
	})
	for _, vm := range next[:min(free, len(next))] {
		drainTime := p.drainTime(w, now)
		p.upkeep.vmDrain[vm] = &vmDrain{w.ID, now.Monotonic.Add(drainTime)}
		p.log("vm emptied for upkeep", "vm", string(vm), "wave", int64(w.ID), "left", len(w.Pending), "down", len(w.Down), "patience", drainTime.Milliseconds())
		if t := p.targetOn(vm); t != nil {
			t.cordoned = true
		}
	}
}

// drainTime returns how long runs on a VM may continue before they are stopped: the
// remaining time of the wave is divided among the VMs that are left.
func (p *Planner) drainTime(w *tracker.Wave, now Moment) time.Duration {
	left := w.Duration - time.Duration(now.Wall-w.StartedAt)*time.Millisecond
	batches := (len(w.Pending) + w.MaxDown - 1) / w.MaxDown
	share := left / time.Duration(max(batches, 1))
	return min(max(share-p.Settings.UpkeepTime-vmReturnTime, minVMDrainTime), maxVMDrainTime)
}

// targetOn returns the target that runs on a VM, or nil. One that has answered counts more
// than one that was only announced.
func (p *Planner) targetOn(vm tracker.VMID) *target {
	if vm == "" {
		return nil
	}
	var found *target
	for _, t := range p.targets {
		if t.rec.VM != vm {
			continue
		}
		if found == nil || t.tokenConfirmed != found.tokenConfirmed && t.tokenConfirmed ||
			t.tokenConfirmed == found.tokenConfirmed && t.rec.Incarnation > found.rec.Incarnation {
			found = t
		}
	}
	return found
}

// vmLoad returns the weighted number of runs on a VM. Long-running tasks weigh more,
// as they have to be moved while others may end by themselves.
func (p *Planner) vmLoad(vm tracker.VMID) int {
	t := p.targetOn(vm)
	if t == nil {
		return 0
	}
	n := 0
	for _, r := range t.runs {
		n++
		if r.def.LongRunning {
			n += longRunningWeight
		}
	}
	return n
}

// longRunningWeight is added to the weight of a long-running run; a run that ends by
// itself weighs 1.
const longRunningWeight = 4

// drainVM moves runs off a VM, and takes it down once none are left.
func (p *Planner) drainVM(vm tracker.VMID, e *vmDrain, now Moment) {
	t := p.targetOn(vm)
	if t != nil {
		t.cordoned = true
		for _, r := range t.sortedRuns() {
			if (r.def.LongRunning || !now.Monotonic.Before(e.stopAt)) && p.mayDisrupt(r) {
				p.stop(r, "upkeep of its vm", now)
			}
		}
		if len(t.runs) > 0 || len(t.orphans) > 0 {
			return
		}
	}
	delete(p.upkeep.vmDrain, vm)
	taken := &tracker.VMTaken{Wave: e.wave, VM: vm}
	if t != nil {
		taken.Target, taken.Incarnation = t.rec.ID, t.rec.Incarnation
	}
	p.emit(tracker.Event{VMTaken: taken}, now)
	p.log("vm taken down", "vm", string(vm), "wave", int64(e.wave), "target", taken.Target)
	if w := p.State.Waves[e.wave]; w != nil {
		p.sendVMOrders(w, now)
	}
}

// VMOrderReported handles the outcome of an order about a VM.
func (p *Planner) VMOrderReported(r *VMReport, now Moment) {
	vm := r.Order.VM
	w, o := p.State.Waves[r.Order.Wave], p.upkeep.ordered[vm]
	if w == nil || o == nil || r.Order.Token != Token(p.term) {
		return
	}
	o.sentAt = time.Time{}
	p.log("order about a vm", "vm", string(vm), "wave", int64(w.ID), "answered", r.Answered, "refusal", r.Refusal.String())
	switch {
	case !r.Answered:
		o.retryAt = now.Monotonic.Add(vmRetry)
	case r.Refusal == VMNotRefused:
		p.recordVMServiced(w, vm, now)
	case r.Refusal == VMRefusedRate:
		o.retryAt = now.Monotonic.Add(vmRefusedPause)
	case r.Refusal == VMRefusedBusy:
		p.recordVMBack(w, vm, now)
		p.upkeep.blockedUntil[vm] = now.Monotonic.Add(vmRefusedPause)
	case r.Refusal == VMRefusedToken:
		// There is a newer leader; this one sends no more orders about the VM.
		o.retryAt = now.Monotonic.Add(fencedPause)
	default:
		p.emit(tracker.Event{VMServiced: &tracker.VMServiced{Wave: w.ID, VM: vm}}, now)
		p.recordVMBack(w, vm, now)
	}
}

// fencedPause is longer than a leader of a lower term can remain active beside one
// of a higher term.
const fencedPause = 10 * time.Minute

// recordVMServiced records that the upkeep of a VM has started, which ended its
// target.
func (p *Planner) recordVMServiced(w *tracker.Wave, vm tracker.VMID, now Moment) {
	delete(p.upkeep.ordered, vm)
	p.emit(tracker.Event{VMServiced: &tracker.VMServiced{Wave: w.ID, VM: vm}}, now)
	taken := w.Down[vm]
	if t := p.targets[taken.Target]; t != nil && t.rec.Incarnation == taken.Incarnation {
		p.loseRuns(t, "upkeep of its vm", now)
		p.removeTarget(t, now)
	}
	if len(w.Pending) == 0 {
		p.log("wave completed", "wave", int64(w.ID), "took", int64(now.Wall-w.StartedAt), "duration", w.Duration.Milliseconds())
	}
}

// recordVMBack records that a VM is not down.
func (p *Planner) recordVMBack(w *tracker.Wave, vm tracker.VMID, now Moment) {
	delete(p.upkeep.ordered, vm)
	p.emit(tracker.Event{VMBack: &tracker.VMBack{Wave: w.ID, VM: vm}}, now)
	if t := p.targetOn(vm); t != nil {
		t.cordoned = false
	}
	p.dirty = true
}

// recordVMReturn records that a VM is back if a target that has answered is not the
// incarnation that ran on it when it was taken down. An announcement does not suffice: it
// may have been delayed since before the upkeep.
func (p *Planner) recordVMReturn(rec *tracker.Target, now Moment) {
	if rec.VM == "" {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		taken, down := w.Down[rec.VM]
		if !down || w.Pending[rec.VM] {
			continue
		}
		if rec.ID != taken.Target || rec.Incarnation > taken.Incarnation {
			p.log("vm is back", "vm", string(rec.VM), "wave", int64(id), "target", rec.ID)
			p.recordVMBack(w, rec.VM, now)
		}
	}
}

// isTakenDown reports whether an announcement dates from before its VM was taken
// down.
func (p *Planner) isTakenDown(rec *tracker.Target) bool {
	if rec.VM == "" {
		return false
	}
	for _, w := range p.State.Waves {
		taken, down := w.Down[rec.VM]
		if down && !w.Pending[rec.VM] && rec.ID == taken.Target && rec.Incarnation <= taken.Incarnation {
			return true
		}
	}
	return false
}

// requestOverdueVMs requests the list of VMs when a VM is overdue.
func (p *Planner) requestOverdueVMs(w *tracker.Wave, now Moment) {
	if now.Monotonic.Sub(p.upkeep.listRequestedAt) < vmListInterval {
		return
	}
	for vm, taken := range w.Down {
		downFor := time.Duration(now.Wall-taken.At) * time.Millisecond
		if !w.Pending[vm] && downFor > overdueUpkeepFactor*p.Settings.UpkeepTime+vmReturnTime {
			p.upkeep.listRequestedAt = now.Monotonic
			p.doAfterCommit(Action{List: &ListOrder{Token: Token(p.term)}})
			return
		}
	}
}

// VMListReported handles the list of all VMs. An overdue VM that is up, or does not exist
// any more, no longer counts as down.
func (p *Planner) VMListReported(r *ListReport, now Moment) {
	if !r.Answered || r.Token != Token(p.term) {
		return
	}
	states, whole := p.listedStates(r)
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		for _, vm := range slices.Sorted(maps.Keys(w.Down)) {
			state, known := states[vm]
			if !known && !whole {
				continue
			}
			downFor := time.Duration(now.Wall-w.Down[vm].At) * time.Millisecond
			if !w.Pending[vm] && downFor > overdueUpkeepFactor*p.Settings.UpkeepTime && (!known || state == VMUp) {
				p.log("vm list shows that a vm is not down", "vm", string(vm), "wave", int64(id), "known", known)
				p.recordVMBack(w, vm, now)
			}
		}
	}
}

// listedStates returns the states of the VMs of a list, and whether the list holds all
// VMs. A VM has no state if two rows contradict each other. A row of a pool that the
// document does not name comes from another program.
func (p *Planner) listedStates(r *ListReport) (states map[tracker.VMID]VMState, whole bool) {
	states = make(map[tracker.VMID]VMState, len(r.VMs))
	whole = r.Unreadable == 0
	for _, vm := range r.VMs {
		if p.State.Document.Pool(vm.Pool) == nil {
			whole = false
			continue
		}
		state := vm.State
		if other, listed := states[vm.ID]; listed && other != state {
			state = 0
		}
		states[vm.ID] = state
	}
	return states, whole
}
