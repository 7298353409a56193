package placer

import (
	"masticroad/internal/control/registrar"
)

// This file does gang placement for all-at-once jobs: every task of the job
// gets a target, or none does. Each chosen target is charged while the rest are
// chosen, so that several tasks may share a target.

// PickAll chooses a target for each of count tasks with the same requirements
// by the BestFit policy. It returns nil unless all of them fit, and leaves no
// target charged.
func PickAll(targets []*Target, w *Requirements, count int) []*Target {
	var chosen []*Target
	defer func() {
		for _, t := range chosen {
			t.Release(w.Need)
		}
	}()
	for range count {
		t := Pick(BestFit{}, targets, w)
		if t == nil {
			return nil
		}
		t.Charge(w.Need)
		chosen = append(chosen, t)
	}
	return append([]*Target(nil), chosen...)
}

// MaxTasks returns how many tasks with the given need fit on the target when it
// is empty and has the given number of slots.
func MaxTasks(t *Target, need registrar.Need, slots int) int {
	n := slots
	if need.CPU > 0 {
		n = min(n, int(t.Capacity.CPU/need.CPU))
	}
	if need.Memory > 0 {
		n = min(n, int(t.Capacity.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int(t.Capacity.Accelerators/need.Accelerators))
	}
	return n
}

// Shortfall describes a need that fits no target even when the target is empty: the
// resource that falls short and the largest amount that a target offers.
type Shortfall struct {
	Resource string
	Needed   int64
	Largest  int64 // largest capacity of any target
}

// FindShortfall reports whether a need fits some target in its region when that
// target is empty. If none fits, it returns the shortfall. Targets that are
// closed or reserved are included, since they may become available.
func FindShortfall(targets []*Target, w *Requirements) (Shortfall, bool) {
	var largest registrar.Need
	for _, t := range targets {
		if w.Region != "" && w.Region != t.Region {
			continue
		}
		if w.Need.FitsIn(t.Capacity) {
			return Shortfall{}, true
		}
		largest = largest.Max(t.Capacity)
	}
	return shortfallOf(w.Need, largest), false
}

func shortfallOf(need, largest registrar.Need) Shortfall {
	switch {
	case need.Accelerators > largest.Accelerators:
		return Shortfall{"accelerators", int64(need.Accelerators), int64(largest.Accelerators)}
	case need.Memory > largest.Memory:
		return Shortfall{"MiB of memory", int64(need.Memory), int64(largest.Memory)}
	case need.CPU > largest.CPU:
		return Shortfall{"milli-processors", int64(need.CPU), int64(largest.CPU)}
	}
	return Shortfall{Resource: "all resources on one target"}
}
