package placer

import "masticroad/internal/control/registrar"

// This file holds the policies. Example for BestFit: a task of 4 cores goes to
// the target with 5 cores free rather than to one with 12, so that the 12 stay
// whole for a large task.

// FirstFit takes the first target with room.
type FirstFit struct{}

// Score is the same for all targets, so the first one wins.
func (FirstFit) Score(*Target, *Want) float64 { return 0 }

// Random takes any target with room.
type Random struct {
	state uint64
}

// Score is a pseudo-random number from a fixed seed.
func (r *Random) Score(*Target, *Want) float64 {
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return float64(r.state >> 11)
}

// BestFit takes the target that is left with the least of its resources, and
// prefers one whose remaining shape matches the task's.
type BestFit struct{}

// Score is higher the less remains, and lower the more the remaining
// processors and memory are out of balance.
func (BestFit) Score(t *Target, w *Want) float64 {
	cpu := float64(t.Free.CPU-w.Need.CPU) * t.inverse[0]
	mem := float64(t.Free.Memory-w.Need.Memory) * t.inverse[1]
	acc := float64(t.Free.Accelerators-w.Need.Accelerators) * t.inverse[2]
	skew := cpu - mem
	if skew < 0 {
		skew = -skew
	}
	score := -(cpu + mem) - skew
	if w.Need.Accelerators == 0 {
		return score - 4*acc // keeps accelerators for tasks that need them
	}
	return score - acc
}

// Spread keeps the replicas of a service in unlike zones and racks, then on
// the emptiest target.
type Spread struct{}

// Weights of a peer in the same zone, rack and target.
const (
	peerInZone   = 10.0
	peerInRack   = 100.0
	peerOnTarget = 1000.0
)

// Score is lower the more replicas of the same service are near.
func (Spread) Score(t *Target, w *Want) float64 {
	score := float64(t.Free.CPU)*t.inverse[0] + float64(t.Free.Memory)*t.inverse[1]
	if w.Peers == nil {
		return score
	}
	score -= peerInZone * float64(w.Peers.Zones[t.Zone])
	score -= peerInRack * float64(w.Peers.Racks[t.Rack])
	score -= peerOnTarget * float64(w.Peers.Targets[t.Name])
	return score
}

// Peers counts the replicas of one service by place.
type Peers struct {
	Zones   map[registrar.ZoneName]int
	Racks   map[registrar.RackName]int
	Targets map[registrar.TargetName]int
}

// Add counts a replica on a target.
func (p *Peers) Add(t *Target) {
	if p.Targets == nil {
		p.Zones = make(map[registrar.ZoneName]int)
		p.Racks = make(map[registrar.RackName]int)
		p.Targets = make(map[registrar.TargetName]int)
	}
	p.Zones[t.Zone]++
	p.Racks[t.Rack]++
	p.Targets[t.Name]++
}
