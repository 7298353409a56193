package planner

import (
	"slices"
	"time"
)

// This file records which images run on a target, and for how long they have run beside
// each run. It serves the detection of interference (interference.go); with that
// disabled, nothing is recorded.

// neighbour is an image on a target.
type neighbour struct {
	image   imageID
	placed  int       // its runs there, ordered ones included
	started int       // those that the target has confirmed
	paced   bool      // they are best-effort runs, which may be throttled
	seconds float64   // sum of their run times, up to neighbours.at
	idleAt  time.Time // when the last of them ended
}

// neighbours are the images on a target. There are few, so that lists are searched.
type neighbours struct {
	at   time.Time // up to which run times are summed
	list []neighbour
}

// exposure is the mean number of runs of an image beside a run.
type exposure struct {
	image imageID
	runs  float64
}

// beside is what a run needs to determine its exposures: the sums of the images on its
// target when it was marked.
type beside struct {
	since time.Time // zero: it is not marked
	marks []mark
}

type mark struct {
	image   imageID
	seconds float64
}

// maxIdleNeighbours bounds the images that are kept for a target after the end of their
// runs there, beside those that some run still needs.
const maxIdleNeighbours = 32

func (n *neighbours) find(image imageID) *neighbour {
	for i := range n.list {
		if n.list[i].image == image {
			return &n.list[i]
		}
	}
	return nil
}

// advance adds the time since the last call to the sums. A throttled run counts by its
// pace.
func (n *neighbours) advance(now time.Time, pace float64) {
	elapsed := now.Sub(n.at).Seconds()
	n.at = now
	if elapsed <= 0 {
		return
	}
	for i := range n.list {
		x := &n.list[i]
		if x.started == 0 {
			continue
		}
		added := elapsed * float64(x.started)
		if x.paced {
			added *= pace
		}
		x.seconds += added
	}
}

// advanceNeighbours brings the sums of a target up to date, before its runs or their pace
// change.
func (t *target) advanceNeighbours(now Moment) {
	t.neighbours.advance(now.Monotonic, float64(paceLevels[t.throttling.level])/fullPace)
}

// addNeighbour counts a run that is placed on its target.
func (p *Planner) addNeighbour(r *run, now Moment) {
	if p.images == nil {
		return
	}
	if r.image = p.images.intern(r.def, now.Monotonic); r.image == noImage {
		return
	}
	p.images.retain(r.image)
	n := &r.target.neighbours
	x := n.find(r.image)
	if x == nil {
		r.target.dropIdleNeighbours()
		n.list = append(n.list, neighbour{image: r.image, paced: r.def.BestEffortCPU})
		x = &n.list[len(n.list)-1]
	}
	x.placed++
}

// startNeighbour counts a run that its target has confirmed. When a recovered run started
// is not known.
func (p *Planner) startNeighbour(r *run, recovered bool, now Moment) {
	if r.image == noImage {
		return
	}
	r.target.advanceNeighbours(now)
	if !r.isNeighbour { // else it is confirmed again, after its target's clock went back
		r.target.neighbours.find(r.image).started++
		r.isNeighbour = true
	}
	r.beside = beside{}
	if r.isMeasurable() && (!recovered || r.def.LongRunning) {
		r.markNeighbours(now)
	}
}

// removeNeighbour removes a run that has ended, or was not emitted.
func (p *Planner) removeNeighbour(r *run, now Moment) {
	if r.image == noImage {
		return
	}
	r.target.advanceNeighbours(now)
	x := r.target.neighbours.find(r.image)
	x.placed--
	if r.isNeighbour {
		x.started--
	}
	if x.placed == 0 {
		x.idleAt = now.Monotonic
	}
	p.images.release(r.image, now.Monotonic)
	r.image, r.isNeighbour = noImage, false
}

// markNeighbours marks the present sums; later exposures of the run count from now on.
func (r *run) markNeighbours(now Moment) {
	r.beside.since = now.Monotonic
	r.beside.marks = r.beside.marks[:0]
	for _, x := range r.target.neighbours.list {
		r.beside.marks = append(r.beside.marks, mark{x.image, x.seconds})
	}
}

// exposures appends the exposures of a run since it was marked to out. Images that were
// beside it for a negligible time are left out.
func (r *run) exposures(out []exposure, now Moment) []exposure {
	r.target.advanceNeighbours(now)
	total := now.Monotonic.Sub(r.beside.since).Seconds()
	if total <= 0 {
		return out
	}
	for _, x := range r.target.neighbours.list {
		seconds := x.seconds
		for _, m := range r.beside.marks {
			if m.image == x.image {
				seconds -= m.seconds
				break
			}
		}
		if x.image == r.image {
			seconds -= total // the run itself
		}
		if runs := seconds / total; runs >= minExposure {
			out = append(out, exposure{x.image, runs})
		}
	}
	return out
}

const minExposure = 0.02 // runs; a fiftieth of the time changes no run time measurably

// dropIdleNeighbours removes images whose last run on the target ended before any
// present run was marked.
func (t *target) dropIdleNeighbours() {
	if len(t.neighbours.list) < maxIdleNeighbours {
		return
	}
	oldest := t.neighbours.at
	for _, r := range t.runs {
		if !r.beside.since.IsZero() && r.beside.since.Before(oldest) {
			oldest = r.beside.since
		}
	}
	dropped := func(x neighbour) bool { return x.placed == 0 && x.idleAt.Before(oldest) }
	for _, r := range t.runs {
		// A mark would be wrong for an image that is added again, with a sum of zero.
		r.beside.marks = slices.DeleteFunc(r.beside.marks, func(m mark) bool {
			x := t.neighbours.find(m.image)
			return x == nil || dropped(*x)
		})
	}
	t.neighbours.list = slices.DeleteFunc(t.neighbours.list, dropped)
}
