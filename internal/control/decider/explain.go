package decider

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"masticroad/internal/control/admitter"
	"masticroad/internal/control/placer"
	"masticroad/internal/control/registrar"
)

// This file explains to operators why a task runs on its target or why it
// waits, in terms of the policies and of free capacity.

func hexChain(c registrar.Chain) string { return hex.EncodeToString(c[:]) }

// Load describes queues and targets, for metrics.
type Load struct {
	Queued      [registrar.ClassCount]int
	Packing     float64 // fraction of the scarcest resource that is charged
	Targets     int
	Quarantined int
	Daemons     int
}

// Load returns the current load.
func (d *Decider) Load(now time.Time) Load {
	var l Load
	for class := range l.Queued {
		l.Queued[class] = d.queue.LenClass(registrar.Class(class))
	}
	var used registrar.Need
	for _, p := range d.aliveTargets {
		used = used.Plus(p.Capacity.Minus(p.Free))
		l.Targets++
		if d.State.Targets[p.Name].Quarantine > 0 {
			l.Quarantined++
		}
	}
	l.Packing = used.DominantShare(d.totalCapacity)
	for name := range d.State.Daemons {
		if d.daemonLeases.Held(name, now) {
			l.Daemons++
		}
	}
	return l
}

// Explain returns lines that describe why a task runs, waits or ended.
func (d *Decider) Explain(id registrar.TaskID, now time.Time) []string {
	t := d.State.Tasks[id]
	if t == nil {
		return []string{fmt.Sprintf("task %d is not known", id)}
	}
	lines := []string{fmt.Sprintf("task %d of caller %s, class %s, needs %s", t.ID, t.Caller, t.Class, t.Need)}
	switch t.State {
	case registrar.Ended:
		lines = append(lines, fmt.Sprintf("ended as %s since %s: %s", t.Outcome, t.Since.Time().Format(time.RFC3339), reasonOrDefault(t.Reason)))
	case registrar.Assigned:
		lines = append(lines, d.explainAssigned(t)...)
	case registrar.Queued:
		lines = append(lines, d.explainQueued(t, now)...)
	}
	return lines
}

func reasonOrDefault(text string) string {
	if text == "" {
		return "no reason given"
	}
	return text
}

func (d *Decider) explainAssigned(t *registrar.Task) []string {
	lines := []string{
		fmt.Sprintf("attempt %d runs on target %s by policy Placement.%s = %s", t.Attempt, t.Target, t.Class, d.policies.Placement[t.Class]),
		fmt.Sprintf("charged %s", t.Charge),
	}
	if t.Charge != t.Need {
		lines = append(lines, "charged above its declared need by policy Learn.Needs")
	}
	if t.Stopping {
		lines = append(lines, "being stopped: "+t.Reason)
	}
	return lines
}

func (d *Decider) explainQueued(t *registrar.Task, now time.Time) []string {
	if t.NotBefore > registrar.MillisOf(now) {
		return []string{fmt.Sprintf("waits until %s before its next attempt: %s", t.NotBefore.Time().Format(time.RFC3339), reasonOrDefault(t.Reason))}
	}
	it := d.newItem(t)
	charge := d.charge(it)
	if c := d.State.Callers[t.Caller]; c != nil && !admitter.QuotaAllows(c.Quota, d.usedByCaller[t.Caller], charge) {
		return []string{fmt.Sprintf("waits: its caller uses %s of a quota of %s", d.usedByCaller[t.Caller], c.Quota)}
	}
	if t.Kind == registrar.KindRequest && d.sessionFor(t.Daemon, t.Life) == nil {
		return []string{fmt.Sprintf("waits: daemon %s, which holds its body, is not connected", t.Daemon)}
	}
	if miss, ok := placer.FindShortfall(d.aliveTargets, &placer.Requirements{Need: charge, Region: t.Region}); !ok {
		return []string{fmt.Sprintf("can't run on any target: needs %d %s; the largest target has %d", miss.Needed, miss.Resource, miss.Largest)}
	}
	return d.explainWaiting(t, charge, now)
}

func (d *Decider) explainWaiting(t *registrar.Task, charge registrar.Need, now time.Time) []string {
	var largestFree registrar.Need
	var reserved []string
	open := 0
	for _, p := range d.aliveTargets {
		if !p.Schedulable || t.Region != "" && t.Region != p.Region {
			continue
		}
		open++
		largestFree = largestFree.Max(p.Free)
		if d.reservation.targets[p.Name] {
			reserved = append(reserved, string(p.Name))
		}
	}
	if open == 0 {
		return []string{"waits: no target takes new work"}
	}
	lines := []string{fmt.Sprintf("waits: %d targets take work; the most that any has free is %s", open, largestFree)}
	if charge.FitsIn(largestFree) {
		lines = append(lines, "no single target has all of its need free, or other work goes first by class and share")
	}
	if d.reservation.active(now) && len(reserved) > 0 {
		lines = append(lines, fmt.Sprintf("room is held on %s for task %d by policy AllAtOnce.HoldTime", strings.Join(reserved, ", "), d.reservation.holder))
	}
	return lines
}
