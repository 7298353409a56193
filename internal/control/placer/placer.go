// Package placer chooses the target of a task. It depends only on its inputs:
// the targets with their free capacity, and the task's requirements. Policies
// are a type parameter, so that the scan over targets makes no interface call
// per target.
package placer

import (
	"masticroad/internal/control/registrar"
)

// This file holds the policy interface, the table of all policies, and the
// filter-and-score scan over the targets. A new policy is a type with a Score
// method and an entry in the table.

// Target holds the attributes of a target that placement uses. The owner keeps
// Free and FreeSlots up to date.
type Target struct {
	Name        registrar.TargetName
	Region      registrar.RegionName
	Zone        registrar.ZoneName
	Rack        registrar.RackName
	Capacity    registrar.Need
	Free        registrar.Need
	FreeSlots   int
	Schedulable bool // accepts new tasks
	Probing     bool // quarantined, but accepts one repeatable task as a probe

	inverse [3]float64 // reciprocals of the capacity: CPU, memory, accelerators
}

// Requirements holds the requirements of a task.
type Requirements struct {
	Need   registrar.Need
	Region registrar.RegionName // empty: any
	Once   bool                 // not repeatable
	// Peers counts the other replicas of a service by failure domain, for
	// policies that spread them. It is nil for other work.
	Peers *Peers
	// Avoid names targets that are chosen only when no other target is feasible.
	Avoid map[registrar.TargetName]bool
	// Reserved, if set, reports whether the target is reserved for other work.
	Reserved func(*Target) bool
}

// Policy ranks the feasible targets of a task. The highest score wins.
type Policy interface {
	Score(t *Target, w *Requirements) float64
}

// Name identifies a policy in settings and declarations.
type Name string

// Names of the policies.
const (
	NameFirstFit Name = "FirstFit"
	NameRandom   Name = "Random"
	NameBestFit  Name = "BestFit"
	NameSpread   Name = "Spread"
)

type pickFunc func([]*Target, *Requirements) *Target

var policyTable = []struct {
	name Name
	pick pickFunc
}{
	{NameFirstFit, pickFuncFor(FirstFit{})},
	{NameRandom, pickFuncFor(&Random{state: 1})},
	{NameBestFit, pickFuncFor(BestFit{})},
	{NameSpread, pickFuncFor(Spread{})},
}

func pickFuncFor[P Policy](p P) pickFunc {
	return func(targets []*Target, w *Requirements) *Target {
		return Pick(p, targets, w)
	}
}

// Names returns the names of all policies.
func Names() []string {
	var out []string
	for _, row := range policyTable {
		out = append(out, string(row.name))
	}
	return out
}

// HasPolicy reports whether a policy of the given name exists.
func HasPolicy(name Name) bool {
	for _, row := range policyTable {
		if row.name == name {
			return true
		}
	}
	return false
}

// PickNamed chooses a target by the policy of the given name, or by BestFit if
// there is no such policy.
func PickNamed(name Name, targets []*Target, w *Requirements) *Target {
	for _, row := range policyTable {
		if row.name == name {
			return row.pick(targets, w)
		}
	}
	return Pick(BestFit{}, targets, w)
}

// Pick returns the feasible target with the highest score, or nil if there is
// none. Targets in w.Avoid rank below all others. On equal scores the target
// that comes first in the list wins.
func Pick[P Policy](p P, targets []*Target, w *Requirements) *Target {
	var best *Target
	bestScore, bestAvoided := 0.0, false
	for _, t := range targets {
		if !t.isFeasibleFor(w) {
			continue
		}
		avoided := len(w.Avoid) > 0 && w.Avoid[t.Name]
		score := p.Score(t, w)
		better := score > bestScore
		if avoided != bestAvoided {
			better = bestAvoided
		}
		if best == nil || better {
			best, bestScore, bestAvoided = t, score, avoided
		}
	}
	return best
}

// isFeasibleFor reports whether the target has the free capacity for the task
// and may accept it.
func (t *Target) isFeasibleFor(w *Requirements) bool {
	if t.FreeSlots <= 0 || !w.Need.FitsIn(t.Free) {
		return false
	}
	if !t.Schedulable && (!t.Probing || w.Once) {
		return false
	}
	if w.Region != "" && w.Region != t.Region {
		return false
	}
	return w.Reserved == nil || !w.Reserved(t)
}

// Charge subtracts need and one slot from what is free on the target.
func (t *Target) Charge(need registrar.Need) {
	t.Free = t.Free.Minus(need)
	t.FreeSlots--
}

// Release undoes a Charge of the same need.
func (t *Target) Release(need registrar.Need) {
	t.Free = t.Free.Plus(need)
	t.FreeSlots++
}

// UpdateInverse computes the values that the policies derive from Capacity. It must
// be called after each change of Capacity.
func (t *Target) UpdateInverse() {
	t.inverse = [3]float64{inverse(int64(t.Capacity.CPU)), inverse(int64(t.Capacity.Memory)), inverse(int64(t.Capacity.Accelerators))}
}

func inverse(n int64) float64 {
	if n <= 0 {
		return 0
	}
	return 1 / float64(n)
}
