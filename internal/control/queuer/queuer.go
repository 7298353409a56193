// Package queuer orders waiting work: by class with ageing, between the callers
// of a class by weighted dominant share, and within a caller first in, first
// out.
package queuer

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the queue. It has one sub-queue for each pair of class and
// caller; their number is small, so a linear scan finds the next one. With
// ageing, Batch work that has waited three ageing steps ranks level with Urgent
// work.

// Item is a waiting task, or all the tasks of an all-at-once job.
type Item struct {
	ID          registrar.TaskID
	Caller      registrar.CallerName
	Class       registrar.Class
	Kind        registrar.Kind
	Need        registrar.Need
	Count       int  // number of tasks that must start together; 1 except for all-at-once jobs
	Once        bool // not repeatable
	Job         registrar.JobName
	Region      registrar.RegionName
	Since       registrar.Millis // time of submission, from which ageing counts
	Deadline    registrar.Millis // 0: none
	RunTime     time.Duration    // predicted; 0: unknown
	Daemon      registrar.DaemonName
	Incarnation registrar.Incarnation // of Daemon
	Failures    int
	FailedOn    registrar.TargetName // target of the last failed attempt; empty: none
	Key         registrar.Key
	Attempt     registrar.Attempt  // of the last start
	Tasks       []registrar.TaskID // of an all-at-once job

	subqueue *subqueue
	removed  bool
}

type subqueueKey struct {
	class  registrar.Class
	caller registrar.CallerName
}

// subqueue holds the items of one class and caller in order of arrival.
type subqueue struct {
	key     subqueueKey
	items   []*Item // includes removed items until they are reclaimed
	waiting int
}

// Queue holds waiting work. Share and AgeStep must be set before use.
type Queue struct {
	// Share returns the dominant share that a caller uses, divided by its weight.
	Share func(registrar.CallerName) float64
	// AgeStep is the waiting time after which an item rises by one class; 0: no
	// ageing.
	AgeStep time.Duration

	subqueues map[subqueueKey]*subqueue
	scanOrder []*subqueue
	byID      map[registrar.TaskID]*Item
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{subqueues: make(map[subqueueKey]*subqueue), byID: make(map[registrar.TaskID]*Item)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// LenOf returns the number of items of one caller and class.
func (q *Queue) LenOf(c registrar.CallerName, class registrar.Class) int {
	if sq := q.subqueues[subqueueKey{class, c}]; sq != nil {
		return sq.waiting
	}
	return 0
}

// LenClass returns the number of items of one class.
func (q *Queue) LenClass(class registrar.Class) int {
	n := 0
	for _, sq := range q.scanOrder {
		if sq.key.class == class {
			n += sq.waiting
		}
	}
	return n
}

// Get returns the item with the given id, or nil if it is not waiting.
func (q *Queue) Get(id registrar.TaskID) *Item { return q.byID[id] }

// Push appends an item to its sub-queue. An id that is already waiting is ignored.
func (q *Queue) Push(it *Item) {
	if q.byID[it.ID] != nil {
		return
	}
	key := subqueueKey{it.Class, it.Caller}
	sq := q.subqueues[key]
	if sq == nil {
		sq = &subqueue{key: key}
		q.subqueues[key] = sq
		q.scanOrder = append(q.scanOrder, sq)
	}
	it.subqueue, it.removed = sq, false
	sq.items = append(sq.items, it)
	sq.waiting++
	q.byID[it.ID] = it
}

// Remove removes the item with the given id and returns it, or nil if it is not
// waiting. Its entry in the sub-queue is only marked here and reclaimed later,
// which saves shifting the entries behind it.
func (q *Queue) Remove(id registrar.TaskID) *Item {
	it := q.byID[id]
	if it == nil {
		return nil
	}
	delete(q.byID, id)
	it.removed = true
	it.subqueue.waiting--
	it.subqueue.reclaim()
	return it
}

// reclaim drops removed entries from the head, and compacts the sub-queue once
// removed entries outnumber the waiting ones by compactMinRemoved.
func (sq *subqueue) reclaim() {
	n := 0
	for n < len(sq.items) && sq.items[n].removed {
		sq.items[n] = nil
		n++
	}
	sq.items = sq.items[n:]
	if sq.waiting == 0 {
		sq.items = nil
	}
	if len(sq.items) > 2*sq.waiting+compactMinRemoved {
		sq.compact()
	}
}

// compactMinRemoved limits how often a short sub-queue is compacted.
const compactMinRemoved = 64

func (sq *subqueue) compact() {
	keep := make([]*Item, 0, sq.waiting)
	for _, it := range sq.items {
		if !it.removed {
			keep = append(keep, it)
		}
	}
	sq.items = keep
}

// Each calls f for every waiting item until f returns false. f may remove items.
func (q *Queue) Each(f func(*Item) bool) {
	for _, sq := range q.scanOrder {
		for _, it := range append([]*Item(nil), sq.items...) {
			if it != nil && !it.removed && !f(it) {
				return
			}
		}
	}
}
