package queuer

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds one round of choosing work. A lane whose front items can't
// be placed is passed over for the rest of the round, and so is every item
// that needs at least as much as one that could not be placed. Example: when a
// task of 16 cores finds no room, other tasks of 16 or more cores are not
// tried again in this round, but one of 2 cores behind it is.

// LookAhead is the number of items tried in one lane before it is passed over.
const LookAhead = 16

// Round is one pass over a queue.
type Round struct {
	q      *Queue
	now    registrar.Millis
	cursor map[*lane]int
	failed []refusal
}

type refusal struct {
	need   registrar.Need
	region registrar.RegionName
	once   bool
	class  registrar.Class
}

type rank struct {
	lane  *lane
	level int
	share float64
	since registrar.Millis
}

// Begin starts a round at the given time.
func (q *Queue) Begin(now time.Time) *Round {
	return &Round{q: q, now: registrar.MillisOf(now), cursor: make(map[*lane]int)}
}

// Next returns the item to place next, or nil when the round is over. The
// caller either removes the item from the queue or calls Refuse.
func (r *Round) Next() *Item {
	for {
		l := r.best()
		if l == nil {
			return nil
		}
		it := r.front(l)
		if it == nil {
			r.cursor[l] = LookAhead
			continue
		}
		if r.refusedBefore(it) {
			r.cursor[l]++
			continue
		}
		return it
	}
}

// Refuse notes that an item found no room.
func (r *Round) Refuse(it *Item) {
	r.cursor[it.lane]++
	r.failed = append(r.failed, refusal{it.Need, it.Region, it.Once, it.Class})
}

// Skip passes over one item without a conclusion on others.
func (r *Round) Skip(it *Item) {
	r.cursor[it.lane]++
}

func (r *Round) refusedBefore(it *Item) bool {
	for _, f := range r.failed {
		sameOrStricter := f.region == it.Region && (it.Once || !f.once) && it.Class >= f.class
		if sameOrStricter && f.need.FitsIn(it.Need) {
			return true
		}
	}
	return false
}

// front returns the item at the lane's cursor.
func (r *Round) front(l *lane) *Item {
	skip := r.cursor[l]
	for _, it := range l.items {
		if it.removed {
			continue
		}
		if skip == 0 {
			return it
		}
		skip--
	}
	return nil
}

func (r *Round) best() *lane {
	var best *lane
	var bestRank rank
	for _, l := range r.q.order {
		if l.live == 0 || r.cursor[l] >= min(LookAhead, l.live) {
			continue
		}
		k := r.rankOf(l)
		if best == nil || k.before(bestRank) {
			best, bestRank = l, k
		}
	}
	return best
}

func (r *Round) rankOf(l *lane) rank {
	first := r.first(l)
	k := rank{lane: l, level: r.q.level(first, r.now), since: first.Since}
	if r.q.Share != nil {
		k.share = r.q.Share(l.key.caller)
	}
	return k
}

func (r *Round) first(l *lane) *Item {
	for _, it := range l.items {
		if !it.removed {
			return it
		}
	}
	return nil
}

// level returns the class of an item after ageing.
func (q *Queue) level(it *Item, now registrar.Millis) int {
	level := int(it.Class)
	if q.AgeStep > 0 {
		level -= int(int64(now-it.Since) / q.AgeStep.Milliseconds())
	}
	return max(level, 0)
}

func (k rank) before(o rank) bool {
	if k.level != o.level {
		return k.level < o.level
	}
	if k.share != o.share {
		return k.share < o.share
	}
	return k.since < o.since
}
