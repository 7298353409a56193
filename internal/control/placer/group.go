package placer

import (
	"masticroad/internal/control/registrar"
)

// This file places all-at-once jobs: every task gets a target, or none does.
// Example: 6 tasks of 4 cores on targets with 16 and 12 free cores take 4 and
// 2 places.

// PickAll chooses a target for each of count equal tasks by the BestFit policy
// and charges none of them. It returns nil when not all fit.
func PickAll(targets []*Target, w *Want, count int) []*Target {
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

// Places returns how many tasks of one need the capacity of a target holds
// when it is empty.
func Places(t *Target, need registrar.Need, slots int) int {
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

// Miss describes how near a need came to fitting an empty target.
type Miss struct {
	Resource string
	Needed   int64
	Largest  int64 // of any target
}

// NearestMiss reports whether a need fits some target when that is empty, and
// if not, on which resource it fails.
func NearestMiss(targets []*Target, w *Want) (Miss, bool) {
	var largest registrar.Need
	for _, t := range targets {
		if w.Region != "" && w.Region != t.Region {
			continue
		}
		if w.Need.FitsIn(t.Capacity) {
			return Miss{}, true
		}
		largest = largest.Max(t.Capacity)
	}
	return missOf(w.Need, largest), false
}

func missOf(need, largest registrar.Need) Miss {
	switch {
	case need.Accelerators > largest.Accelerators:
		return Miss{"accelerators", int64(need.Accelerators), int64(largest.Accelerators)}
	case need.Memory > largest.Memory:
		return Miss{"MiB of memory", int64(need.Memory), int64(largest.Memory)}
	case need.CPU > largest.CPU:
		return Miss{"milli-processors", int64(need.CPU), int64(largest.CPU)}
	}
	return Miss{Resource: "all resources on one target"}
}
