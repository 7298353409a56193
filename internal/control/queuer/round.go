package queuer

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file selects the items to place in one round. Two rules bound the work of
// a round: at most LookAhead items of a sub-queue are tried, and an item is
// skipped if it needs at least as much as one that could not be placed. After a
// task of 16 cores found no capacity, for example, tasks of 16 or more cores
// are not tried again in the round, but one of 2 cores behind it is.

// LookAhead is the number of items that a round tries in one sub-queue.
const LookAhead = 16

// Round is one pass over a queue, in order of priority.
type Round struct {
	q           *Queue
	now         registrar.Millis
	cursor      map[*subqueue]int // items passed over so far
	unplaceable []unplaceableItem
}

// unplaceableItem describes an item that could not be placed in this round.
type unplaceableItem struct {
	need   registrar.Need
	region registrar.RegionName
	once   bool
	class  registrar.Class
}

// rank is the position of a sub-queue in the order of service.
type rank struct {
	subqueue  *subqueue
	agedClass int
	share     float64
	since     registrar.Millis
}

// StartRound starts a round at the given time, which is that used for ageing.
func (q *Queue) StartRound(now time.Time) *Round {
	return &Round{q: q, now: registrar.MillisOf(now), cursor: make(map[*subqueue]int)}
}

// Next returns the item to place next, or nil when the round is over. The user
// then removes the item from the queue, or calls MarkUnplaceable or Skip; otherwise Next
// returns the same item again.
func (r *Round) Next() *Item {
	for {
		sq := r.bestSubqueue()
		if sq == nil {
			return nil
		}
		it := r.itemAtCursor(sq)
		if it == nil {
			r.cursor[sq] = LookAhead
			continue
		}
		if r.isKnownUnplaceable(it) {
			r.cursor[sq]++
			continue
		}
		return it
	}
}

// MarkUnplaceable records that no target had the capacity for an item, so that Next skips
// the items that need at least as much.
func (r *Round) MarkUnplaceable(it *Item) {
	r.cursor[it.subqueue]++
	r.unplaceable = append(r.unplaceable, unplaceableItem{it.Need, it.Region, it.Once, it.Class})
}

// Skip passes over one item without affecting others.
func (r *Round) Skip(it *Item) {
	r.cursor[it.subqueue]++
}

// isKnownUnplaceable reports whether this round failed to place an item of the
// same region that was no harder to place: its need was no larger, it was
// repeatable if this one is, and its class was no less urgent.
func (r *Round) isKnownUnplaceable(it *Item) bool {
	for _, f := range r.unplaceable {
		sameOrStricter := f.region == it.Region && (it.Once || !f.once) && it.Class >= f.class
		if sameOrStricter && f.need.FitsIn(it.Need) {
			return true
		}
	}
	return false
}

// itemAtCursor returns the first item that was not passed over, or nil.
func (r *Round) itemAtCursor(sq *subqueue) *Item {
	skip := r.cursor[sq]
	for _, it := range sq.items {
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

// bestSubqueue returns the sub-queue of the highest rank that has items left to
// try, or nil.
func (r *Round) bestSubqueue() *subqueue {
	var bestSubqueue *subqueue
	var bestRank rank
	for _, sq := range r.q.scanOrder {
		if sq.waiting == 0 || r.cursor[sq] >= min(LookAhead, sq.waiting) {
			continue
		}
		k := r.rankOf(sq)
		if bestSubqueue == nil || k.before(bestRank) {
			bestSubqueue, bestRank = sq, k
		}
	}
	return bestSubqueue
}

func (r *Round) rankOf(sq *subqueue) rank {
	head := r.head(sq)
	k := rank{subqueue: sq, agedClass: r.q.agedClass(head, r.now), since: head.Since}
	if r.q.Share != nil {
		k.share = r.q.Share(sq.key.caller)
	}
	return k
}

func (r *Round) head(sq *subqueue) *Item {
	for _, it := range sq.items {
		if !it.removed {
			return it
		}
	}
	return nil
}

// agedClass returns the class of an item, raised by its ageing. The smallest
// class is served first.
func (q *Queue) agedClass(it *Item, now registrar.Millis) int {
	agedClass := int(it.Class)
	if q.AgeStep > 0 {
		agedClass -= int(int64(now-it.Since) / q.AgeStep.Milliseconds())
	}
	return max(agedClass, 0)
}

// before orders by aged class, then by the caller's share, then by the waiting
// time of the head.
func (k rank) before(o rank) bool {
	if k.agedClass != o.agedClass {
		return k.agedClass < o.agedClass
	}
	if k.share != o.share {
		return k.share < o.share
	}
	return k.since < o.since
}
