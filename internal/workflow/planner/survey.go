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

// survey is what a pass knows of a pool.
type survey struct {
	open   []*target        // those that may be given work, by id
	failed []registrar.Need // none of them has room for these
}

// beginPass forgets what the last pass has found.
func (p *Planner) beginPass() {
	clear(p.surveys)
	p.asksFull = false
}

func (p *Planner) survey(pl *pool, now Moment) *survey {
	v := p.surveys[pl.name]
	if v == nil {
		v = &survey{}
		for _, t := range pl.targets {
			if t.open(now) {
				v.open = append(v.open, t)
			}
		}
		p.surveys[pl.name] = v
	}
	return v
}

// roomReturned is called when room is given back during a pass.
func (p *Planner) roomReturned(name definer.PoolName) {
	if v := p.surveys[name]; v != nil {
		v.failed = nil
	}
}

// full reports whether an earlier step of the pass that needs no more has found
// no room.
func (v *survey) full(need registrar.Need) bool {
	for _, f := range v.failed {
		if f.FitsIn(need) {
			return true
		}
	}
	return false
}

// isFree reports whether nothing but a lack of room keeps a step off a target, so
// that what it finds tells about other steps.
func (s *step) isFree() bool {
	return s.def.Label == "" && s.rack == "" && s.def.MaxPerTarget == 0 && !s.def.Fills && len(s.job.failures) == 0
}
