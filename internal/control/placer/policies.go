package placer

import "masticroad/internal/control/registrar"

// This file holds the placement policies.

// FirstFit chooses the first feasible target.
type FirstFit struct{}

// Score returns the same value for all targets, so the first one wins.
func (FirstFit) Score(*Target, *Requirements) float64 { return 0 }

// Random chooses a feasible target at random.
type Random struct {
	state uint64 // of the xorshift generator; not 0
}

// Score returns a pseudo-random number; the seed is fixed.
func (r *Random) Score(*Target, *Requirements) float64 {
	r.state ^= r.state << 13
	r.state ^= r.state >> 7
	r.state ^= r.state << 17
	return float64(r.state >> 11)
}

// BestFit chooses the target with the least capacity left after placement, so
// that large free blocks remain for large tasks. It prefers targets whose
// remaining CPU and memory are in balance.
type BestFit struct{}

// Score falls with the fractions of CPU and memory that would remain free, and
// with the difference between the two.
func (BestFit) Score(t *Target, w *Requirements) float64 {
	cpu := float64(t.Free.CPU-w.Need.CPU) * t.inverse[0]
	mem := float64(t.Free.Memory-w.Need.Memory) * t.inverse[1]
	acc := float64(t.Free.Accelerators-w.Need.Accelerators) * t.inverse[2]
	imbalance := cpu - mem
	if imbalance < 0 {
		imbalance = -imbalance
	}
	score := -(cpu + mem) - imbalance
	if w.Need.Accelerators == 0 {
		return score - 4*acc // leaves accelerators to tasks that need them
	}
	return score - acc
}

// Spread distributes the replicas of a service over availability zones, racks
// and targets. Among equals it chooses the target with the most free capacity.
type Spread struct{}

// Score penalties for each replica in the same zone, in the same rack and on the
// same target. The free capacity adds at most 2 to a score, so any of them
// outweighs it.
const (
	peerInZonePenalty   = 10.0
	peerInRackPenalty   = 100.0
	peerOnTargetPenalty = 1000.0
)

// Score rises with free capacity and falls with each replica of the same
// service in the same zone, in the same rack or on the same target.
func (Spread) Score(t *Target, w *Requirements) float64 {
	score := float64(t.Free.CPU)*t.inverse[0] + float64(t.Free.Memory)*t.inverse[1]
	if w.Peers == nil {
		return score
	}
	score -= peerInZonePenalty * float64(w.Peers.Zones[t.Zone])
	score -= peerInRackPenalty * float64(w.Peers.Racks[t.Rack])
	score -= peerOnTargetPenalty * float64(w.Peers.Targets[t.Name])
	return score
}

// Peers counts the replicas of one service by zone, rack and target.
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
