package planner

import (
	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file bounds what a pass over the waiting steps costs when many of them
// wait. A pass looks once which targets of a pool are open; when none of them has
// room for a need, no step that needs as much is tried again in that pass. Example:
// a thousand steps wait in a full cell; the first that needs 2 processors looks at
// all targets, the others at what it found.

// poolScan is what a pass knows of a pool.
type poolScan struct {
	schedulable []*target        // those that may be given work, by id
	infeasible  []registrar.Need // none of them has room for these
}

// beginPass forgets what the last pass has found.
func (p *Planner) beginPass() {
	clear(p.scans)
	p.proxiesFull = false
}

func (p *Planner) poolScan(pl *pool, now Moment) *poolScan {
	v := p.scans[pl.name]
	if v == nil {
		v = &poolScan{}
		for _, t := range pl.targets {
			if t.schedulable(now) {
				v.schedulable = append(v.schedulable, t)
			}
		}
		p.scans[pl.name] = v
	}
	return v
}

// capacityReturned is called when room is given back during a pass.
func (p *Planner) capacityReturned(name definer.PoolName) {
	if v := p.scans[name]; v != nil {
		v.infeasible = nil
	}
}

// knownInfeasible reports whether an earlier step of the pass that needs no more has found
// no room.
func (v *poolScan) knownInfeasible(need registrar.Need) bool {
	for _, f := range v.infeasible {
		if f.FitsIn(need) {
			return true
		}
	}
	return false
}

// isUnconstrained reports whether nothing but a lack of room keeps a step off a target, so
// that what it finds tells about other steps.
func (s *step) isUnconstrained() bool {
	return s.def.Label == "" && s.rack == "" && s.def.MaxPerTarget == 0 && !s.def.Fills && len(s.job.failures) == 0
}
