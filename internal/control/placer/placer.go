// Package placer chooses the target of a task. It looks only at what it is
// given: targets with their free capacity, and the task's need. Policies are a
// type parameter, so that the scan over targets calls them directly.
package placer

import (
	"masticroad/internal/control/registrar"
)

// This file is read first: it holds the policy interface and the table of all
// policies. A new policy is a type with a Score method and a line in the
// table. Example: "BestFit" fills the fullest target that still has room.

// Target is a target as the placer sees it. The owner keeps Free and FreeSlots
// current.
type Target struct {
	Name      registrar.TargetName
	Region    registrar.RegionName
	Zone      registrar.ZoneName
	Rack      registrar.RackName
	Capacity  registrar.Need
	Free      registrar.Need
	FreeSlots int
	Open      bool // takes new tasks
	Probing   bool // takes one repeatable task, to end its quarantine

	inverse [3]float64 // 1 over each capacity
}

// Want is what a task asks of a target.
type Want struct {
	Need   registrar.Need
	Region registrar.RegionName // empty: any
	Once   bool
	// Peers holds where the other replicas of a service run, for policies that
	// spread. It is nil for other work.
	Peers *Peers
	// Avoid names targets that are taken only when no other has room.
	Avoid map[registrar.TargetName]bool
	// Blocked, when set, reports whether a target is held for other work.
	Blocked func(*Target) bool
}

// Policy ranks targets that have room for a task. The highest score wins.
type Policy interface {
	Score(t *Target, w *Want) float64
}

// Name identifies a policy in settings and declarations.
type Name string

// The policies.
const (
	NameFirstFit Name = "FirstFit"
	NameRandom   Name = "Random"
	NameBestFit  Name = "BestFit"
	NameSpread   Name = "Spread"
)

type picker func([]*Target, *Want) *Target

var table = []struct {
	name Name
	pick picker
}{
	{NameFirstFit, pickWith(FirstFit{})},
	{NameRandom, pickWith(&Random{state: 1})},
	{NameBestFit, pickWith(BestFit{})},
	{NameSpread, pickWith(Spread{})},
}

func pickWith[P Policy](p P) picker {
	return func(targets []*Target, w *Want) *Target {
		return Pick(p, targets, w)
	}
}

// Names returns the names of all policies.
func Names() []string {
	var out []string
	for _, row := range table {
		out = append(out, string(row.name))
	}
	return out
}

// Known reports whether a policy of that name exists.
func Known(name Name) bool {
	for _, row := range table {
		if row.name == name {
			return true
		}
	}
	return false
}

// PickNamed chooses a target by the policy of the given name, BestFit if there
// is none.
func PickNamed(name Name, targets []*Target, w *Want) *Target {
	for _, row := range table {
		if row.name == name {
			return row.pick(targets, w)
		}
	}
	return Pick(BestFit{}, targets, w)
}

// Pick returns the target with room for the task that has the highest score,
// or nil when none has room.
func Pick[P Policy](p P, targets []*Target, w *Want) *Target {
	var best *Target
	bestScore, bestAvoided := 0.0, false
	for _, t := range targets {
		if !t.admits(w) {
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

func (t *Target) admits(w *Want) bool {
	if t.FreeSlots <= 0 || !w.Need.FitsIn(t.Free) {
		return false
	}
	if !t.Open && (!t.Probing || w.Once) {
		return false
	}
	if w.Region != "" && w.Region != t.Region {
		return false
	}
	return w.Blocked == nil || !w.Blocked(t)
}

// Charge takes need and a slot from the target.
func (t *Target) Charge(need registrar.Need) {
	t.Free = t.Free.Minus(need)
	t.FreeSlots--
}

// Release gives need and a slot back.
func (t *Target) Release(need registrar.Need) {
	t.Free = t.Free.Plus(need)
	t.FreeSlots++
}

// Prepare computes what the policies need of the capacity. It is called after
// each change of Capacity.
func (t *Target) Prepare() {
	t.inverse = [3]float64{inverse(int64(t.Capacity.CPU)), inverse(int64(t.Capacity.Memory)), inverse(int64(t.Capacity.Accelerators))}
}

func inverse(n int64) float64 {
	if n <= 0 {
		return 0
	}
	return 1 / float64(n)
}
