// Package queuer orders waiting work: by class with ageing, among the callers
// of a class by weighted dominant share, and within a caller first come, first
// served.
package queuer

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the queue. A lane is the list of one class and caller; the
// number of lanes is small, so choosing the next one is a scan. Example: an
// urgent quote goes before a batch until the batch has waited three ageing
// steps.

// Item is a waiting task, or all the tasks of an all-at-once job.
type Item struct {
	ID       registrar.TaskID
	Caller   registrar.CallerName
	Class    registrar.Class
	Kind     registrar.Kind
	Need     registrar.Need
	Count    int // tasks that must start together; 1 for others
	Once     bool
	Job      registrar.JobName
	Region   registrar.RegionName
	Since    registrar.Millis
	Deadline registrar.Millis // 0: none
	RunTime  time.Duration    // predicted; 0: not known
	Daemon   registrar.DaemonName
	Life     registrar.Incarnation
	Failures int
	FailedOn registrar.TargetName // the last attempt failed there
	Key      registrar.Key
	Attempt  registrar.Attempt  // of the last start
	Tasks    []registrar.TaskID // of an all-at-once job

	lane    *lane
	removed bool
}

type laneKey struct {
	class  registrar.Class
	caller registrar.CallerName
}

type lane struct {
	key   laneKey
	items []*Item
	live  int
}

// Queue holds waiting work. Share and AgeStep are set before use.
type Queue struct {
	// Share returns the dominant share that a caller uses, over its weight.
	Share func(registrar.CallerName) float64
	// AgeStep is the waiting time that raises work by one class.
	AgeStep time.Duration

	lanes map[laneKey]*lane
	order []*lane
	byID  map[registrar.TaskID]*Item
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{lanes: make(map[laneKey]*lane), byID: make(map[registrar.TaskID]*Item)}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.byID) }

// LenOf returns the number of waiting items of a caller in a class.
func (q *Queue) LenOf(c registrar.CallerName, class registrar.Class) int {
	if l := q.lanes[laneKey{class, c}]; l != nil {
		return l.live
	}
	return 0
}

// LenClass returns the number of waiting items of a class.
func (q *Queue) LenClass(class registrar.Class) int {
	n := 0
	for _, l := range q.order {
		if l.key.class == class {
			n += l.live
		}
	}
	return n
}

// Get returns a waiting item, or nil.
func (q *Queue) Get(id registrar.TaskID) *Item { return q.byID[id] }

// Push adds an item at the end of its lane.
func (q *Queue) Push(it *Item) {
	if q.byID[it.ID] != nil {
		return
	}
	key := laneKey{it.Class, it.Caller}
	l := q.lanes[key]
	if l == nil {
		l = &lane{key: key}
		q.lanes[key] = l
		q.order = append(q.order, l)
	}
	it.lane, it.removed = l, false
	l.items = append(l.items, it)
	l.live++
	q.byID[it.ID] = it
}

// Remove takes an item out. The lane forgets it when it comes to the front.
func (q *Queue) Remove(id registrar.TaskID) *Item {
	it := q.byID[id]
	if it == nil {
		return nil
	}
	delete(q.byID, id)
	it.removed = true
	it.lane.live--
	it.lane.trim()
	return it
}

func (l *lane) trim() {
	n := 0
	for n < len(l.items) && l.items[n].removed {
		l.items[n] = nil
		n++
	}
	l.items = l.items[n:]
	if l.live == 0 {
		l.items = nil
	}
	if len(l.items) > 2*l.live+compactAt {
		l.compact()
	}
}

const compactAt = 64

func (l *lane) compact() {
	keep := make([]*Item, 0, l.live)
	for _, it := range l.items {
		if !it.removed {
			keep = append(keep, it)
		}
	}
	l.items = keep
}

// Each calls f for every waiting item until f returns false. Items may be
// removed meanwhile.
func (q *Queue) Each(f func(*Item) bool) {
	for _, l := range q.order {
		for _, it := range append([]*Item(nil), l.items...) {
			if it != nil && !it.removed && !f(it) {
				return
			}
		}
	}
}
