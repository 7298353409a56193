package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file carries out waves of upkeep: every VM of a wave is taken down once,
// within the wave's time, with a bound on how many are down at once. Example: of
// a wave of 12 VMs two may be down; the two with the least work are emptied,
// taken down, and followed by the next as soon as each is back.

// upkeep is the leader's view of all waves.
type upkeep struct {
	vmDrain         map[tracker.VMID]*vmDrain
	ordered         map[tracker.VMID]*vmOrder // orders that have no answer yet
	blockedUntil    map[tracker.VMID]time.Time
	listRequestedAt time.Time // of the newest list that was asked for
}

// vmDrain is a VM that is being emptied to be taken down.
type vmDrain struct {
	wave   tracker.WaveID
	stopAt time.Time // runs that are not done by then are stopped
}

// vmOrder is an order to take a VM down.
type vmOrder struct {
	wave    tracker.WaveID
	sentAt  time.Time // zero: not on its way
	retryAt time.Time // not before
}

func newUpkeep() upkeep {
	return upkeep{
		vmDrain: make(map[tracker.VMID]*vmDrain), ordered: make(map[tracker.VMID]*vmOrder), blockedUntil: make(map[tracker.VMID]time.Time),
	}
}

const (
	vmOrderTimeout      = 2 * time.Second        // an order about a VM is answered within it or repeated
	vmRetry             = 300 * time.Millisecond // pause after an order without an answer
	vmRefusedPause      = time.Second            // pause after an order that came too early or too often
	vmReturnTime        = 2 * time.Second        // from the end of the upkeep until the new target has announced itself
	vmListInterval      = 2 * time.Second        // between lists, which are asked for only when a VM does not come back
	minVMDrainTime      = 300 * time.Millisecond // for runs to end by themselves
	maxVMDrainTime      = 6 * time.Second
	overdueUpkeepFactor = 3 // multiples of the usual time, from which a VM is looked for in the list
)

// PutWave accepts a wave. Reply is called once it is recorded.
func (p *Planner) PutWave(w *tracker.WavePut, reply func(Answer), now Moment) {
	defer p.doAfterCommit(Action{Done: func() { reply(Answer{Verdict: Accepted}) }})
	if p.State.Waves[w.ID] != nil {
		return
	}
	p.emit(tracker.Event{WavePut: w}, now)
	p.log("wave accepted", "wave", int64(w.ID), "vms", len(w.VMs), "duration", w.Duration.Milliseconds(), "down", w.MaxDown)
}

// checkWaves takes waves further.
func (p *Planner) checkWaves(now Moment) {
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		if len(w.Left) == 0 && len(w.Down) == 0 {
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

// sendVMOrders sends orders that have no answer, also those of earlier leaders.
func (p *Planner) sendVMOrders(w *tracker.Wave, now Moment) {
	for _, vm := range slices.Sorted(maps.Keys(w.Down)) {
		if !w.Left[vm] {
			continue // its upkeep has begun
		}
		o := p.upkeep.ordered[vm]
		if o == nil {
			o = &vmOrder{wave: w.ID}
			p.upkeep.ordered[vm] = o
		}
		waiting := !o.sentAt.IsZero() && now.Steady.Sub(o.sentAt) < vmOrderTimeout
		if waiting || now.Steady.Before(o.retryAt) {
			continue
		}
		o.sentAt = now.Steady
		p.doAfterCommit(Action{VM: &VMOrder{VM: vm, Wave: w.ID, Holder: p.Settings.Holder, Token: Token(p.term)}})
	}
}

// startVMDrains chooses the VMs that are emptied next, those with the least work
// first.
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
	for vm := range w.Left {
		_, down := w.Down[vm]
		if !down && p.upkeep.vmDrain[vm] == nil && !now.Steady.Before(p.upkeep.blockedUntil[vm]) {
			next = append(next, vm)
		}
	}
	slices.SortFunc(next, func(a, b tracker.VMID) int {
		return cmp.Or(cmp.Compare(p.vmLoad(a), p.vmLoad(b)), cmp.Compare(a, b))
	})
	for _, vm := range next[:min(free, len(next))] {
		drainTime := p.drainTime(w, now)
		p.upkeep.vmDrain[vm] = &vmDrain{w.ID, now.Steady.Add(drainTime)}
		p.log("vm emptied for upkeep", "vm", string(vm), "wave", int64(w.ID), "left", len(w.Left), "down", len(w.Down), "patience", drainTime.Milliseconds())
		if t := p.targetOn(vm); t != nil {
			t.cordoned = true
		}
	}
}

// drainTime returns how long runs on a VM may go on before they are stopped: the
// wave's time is shared by the VMs that are left.
func (p *Planner) drainTime(w *tracker.Wave, now Moment) time.Duration {
	left := w.Duration - time.Duration(now.Wall-w.Begun)*time.Millisecond
	turns := (len(w.Left) + w.MaxDown - 1) / w.MaxDown
	share := left / time.Duration(max(turns, 1))
	return min(max(share-p.Settings.UpkeepTime-vmReturnTime, minVMDrainTime), maxVMDrainTime)
}

// targetOn returns the target that lives on a VM, or nil.
func (p *Planner) targetOn(vm tracker.VMID) *target {
	if vm == "" {
		return nil
	}
	var found *target
	for _, t := range p.targets {
		if t.rec.VM == vm && (found == nil || t.rec.Life > found.rec.Life) {
			found = t
		}
	}
	return found
}

// vmLoad weighs what a VM runs: tasks that last are moved, others may end first.
func (p *Planner) vmLoad(vm tracker.VMID) int {
	t := p.targetOn(vm)
	if t == nil {
		return 0
	}
	n := 0
	for _, r := range t.runs {
		n++
		if r.def.Lasting {
			n += longRunningWeight
		}
	}
	return n
}

// longRunningWeight is the weight of a run that has to be moved, in runs that end by
// themselves.
const longRunningWeight = 4

// drainVM moves runs off a VM, and takes it down once nothing is left.
func (p *Planner) drainVM(vm tracker.VMID, e *vmDrain, now Moment) {
	t := p.targetOn(vm)
	if t != nil {
		t.cordoned = true
		for _, r := range t.sortedRuns() {
			if (r.def.Lasting || !now.Steady.Before(e.stopAt)) && p.mayDisrupt(r) {
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
		taken.Target, taken.Life = t.rec.ID, t.rec.Life
	}
	p.emit(tracker.Event{VMTaken: taken}, now)
	p.log("vm taken down", "vm", string(vm), "wave", int64(e.wave), "target", taken.Target)
	if w := p.State.Waves[e.wave]; w != nil {
		p.sendVMOrders(w, now)
	}
}

// VMOrdered takes in what became of an order about a VM.
func (p *Planner) VMOrdered(r *VMReport, now Moment) {
	vm := r.Order.VM
	w, o := p.State.Waves[r.Order.Wave], p.upkeep.ordered[vm]
	if w == nil || o == nil || r.Order.Token != Token(p.term) {
		return
	}
	o.sentAt = time.Time{}
	p.log("order about a vm", "vm", string(vm), "wave", int64(w.ID), "answered", r.Answered, "refusal", r.Refusal.String())
	switch {
	case !r.Answered:
		o.retryAt = now.Steady.Add(vmRetry)
	case r.Refusal == VMNotRefused:
		p.recordVMServiced(w, vm, now)
	case r.Refusal == VMRefusedRate:
		o.retryAt = now.Steady.Add(vmRefusedPause)
	case r.Refusal == VMRefusedBusy:
		p.recordVMBack(w, vm, now)
		p.upkeep.blockedUntil[vm] = now.Steady.Add(vmRefusedPause)
	case r.Refusal == VMRefusedToken:
		// Another leader has begun; this one orders nothing about the VM any more.
		o.retryAt = now.Steady.Add(fencedPause)
	default:
		p.emit(tracker.Event{VMServiced: &tracker.VMServiced{Wave: w.ID, VM: vm}}, now)
		p.recordVMBack(w, vm, now)
	}
}

// fencedPause is longer than any leader's term lasts beside a higher one.
const fencedPause = 10 * time.Minute

// recordVMServiced notes that the upkeep of a VM has begun: its target has ended.
func (p *Planner) recordVMServiced(w *tracker.Wave, vm tracker.VMID, now Moment) {
	delete(p.upkeep.ordered, vm)
	p.emit(tracker.Event{VMServiced: &tracker.VMServiced{Wave: w.ID, VM: vm}}, now)
	taken := w.Down[vm]
	if t := p.targets[taken.Target]; t != nil && t.rec.Life == taken.Life {
		p.loseRuns(t, "upkeep of its vm", now)
		p.removeTarget(t, now)
	}
	if len(w.Left) == 0 {
		p.log("wave completed", "wave", int64(w.ID), "took", int64(now.Wall-w.Begun), "duration", w.Duration.Milliseconds())
	}
}

// recordVMBack notes that a VM is not down.
func (p *Planner) recordVMBack(w *tracker.Wave, vm tracker.VMID, now Moment) {
	delete(p.upkeep.ordered, vm)
	p.emit(tracker.Event{VMBack: &tracker.VMBack{Wave: w.ID, VM: vm}}, now)
	if t := p.targetOn(vm); t != nil {
		t.cordoned = false
	}
	p.dirty = true
}

// recordVMReturn notes that a VM is back when another target lives on it than the
// one that was there when it was taken down.
func (p *Planner) recordVMReturn(rec *tracker.Target, now Moment) {
	if rec.VM == "" {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		taken, down := w.Down[rec.VM]
		if !down || w.Left[rec.VM] {
			continue
		}
		if rec.ID != taken.Target || rec.Life > taken.Life {
			p.log("vm is back", "vm", string(rec.VM), "wave", int64(id), "target", rec.ID)
			p.recordVMBack(w, rec.VM, now)
		}
	}
}

// isTakenDown reports whether an announcement was made before its VM was taken
// down.
func (p *Planner) isTakenDown(rec *tracker.Target) bool {
	if rec.VM == "" {
		return false
	}
	for _, w := range p.State.Waves {
		taken, down := w.Down[rec.VM]
		if down && !w.Left[rec.VM] && rec.ID == taken.Target && rec.Life <= taken.Life {
			return true
		}
	}
	return false
}

// requestOverdueVMs asks for a list when a VM does not come back.
func (p *Planner) requestOverdueVMs(w *tracker.Wave, now Moment) {
	if now.Steady.Sub(p.upkeep.listRequestedAt) < vmListInterval {
		return
	}
	for vm, taken := range w.Down {
		away := time.Duration(now.Wall-taken.At) * time.Millisecond
		if !w.Left[vm] && away > overdueUpkeepFactor*p.Settings.UpkeepTime+vmReturnTime {
			p.upkeep.listRequestedAt = now.Steady
			p.doAfterCommit(Action{List: &ListOrder{Token: Token(p.term)}})
			return
		}
	}
}

// Listed takes in the list of all VMs. A VM that is up, or not there any more,
// is not down.
func (p *Planner) Listed(r *ListReport, now Moment) {
	if !r.Answered || r.Token != Token(p.term) {
		return
	}
	states := make(map[tracker.VMID]VMState, len(r.VMs))
	for _, vm := range r.VMs {
		states[vm.ID] = vm.State
	}
	for _, id := range slices.Sorted(maps.Keys(p.State.Waves)) {
		w := p.State.Waves[id]
		for _, vm := range slices.Sorted(maps.Keys(w.Down)) {
			state, known := states[vm]
			away := time.Duration(now.Wall-w.Down[vm].At) * time.Millisecond
			if !w.Left[vm] && away > overdueUpkeepFactor*p.Settings.UpkeepTime && (!known || state == VMUp) {
				p.log("vm is back by the list", "vm", string(vm), "wave", int64(id), "known", known)
				p.recordVMBack(w, vm, now)
			}
		}
	}
}
