// Package budgeter bounds the memory that a process uses for requests of callers. Each
// connection has a room, which grows before memory is used for a request and is
// released with the request.
package budgeter

import (
	"container/list"
	"context"
	"errors"
	"runtime"
	"sync"
	"time"
)

// This file holds the budget. A request that finds no room waits, in the order of
// arrival. Meanwhile the requests that have been incomplete longest are aborted, since
// a caller that stops inside a request would keep its room for ever. A request that
// was received whole is never aborted. Example:
//
//	room := budget.NewRoom(func() { _ = conn.Close() })
//	if err := room.Grow(int64(len(buffer)), time.Now()); err != nil { ... }
//	room.Complete()
//	defer room.Release()

// Bytes is an amount of memory.
type Bytes int64

// Why there is no room. Each is an error and the label of a metric.
var (
	ErrAborted  = errors.New("the request was incomplete for too long while memory was short")
	ErrNoRoom   = errors.New("no memory is free for the request")
	ErrCrowded  = errors.New("too many requests wait for memory")
	ErrTooLarge = errors.New("the request needs more memory than any may have")
)

const (
	// SmallRoom is the size up to which a room may use the reserve. It covers a body of
	// 4 KB with its header, at the price of headers.
	SmallRoom Bytes = 64 << 10
	// reserveShare of the total is for small rooms.
	reserveShare = 8
	maxWait      = time.Second            // for room; callers of submissions wait 3 s in all
	minAge       = 250 * time.Millisecond // before a request is aborted; a whole one arrives sooner, except over slow links
	checkPause   = 50 * time.Millisecond  // between attempts to abort, while requests wait
	maxWaiting   = 256                    // requests that wait; each holds its connection and what it has read
)

// Budget is the memory for requests. Total is set before its first use.
type Budget struct {
	Total Bytes

	mu    sync.Mutex
	taken Bytes
	// returned is the part of taken that large rooms have returned and that is not
	// collected as garbage yet. Without it, requests that are begun and cut one after the
	// other would allocate faster than the runtime collects.
	returned   Bytes
	collecting bool
	aborted    Bytes     // of taken, by rooms that are about to be released
	reading    list.List // of *Room with incomplete requests that wait for their callers, the one whose last growth is longest ago first
	small      list.List // of *waiter
	large      list.List // of *waiter
	refusals   map[error]int
	highWater  Bytes
}

// Room is what one connection takes of a budget. A nil Room is unbounded.
type Room struct {
	budget  *Budget
	abort   func()
	size    Bytes
	grownAt time.Time
	element *list.Element // in reading; nil: not there
	whole   bool          // the request was received
	ended   bool          // aborted
}

type waiter struct {
	room *Room
	more Bytes
	done chan error
}

// Stats are the gauges and counters of a budget.
type Stats struct {
	Total, Taken, HighWater Bytes
	Returned                Bytes // not collected as garbage yet; not in Taken
	Waiting                 int
	Refusals                map[error]int
}

// Stats returns the present gauges and counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Total: b.Total, Taken: b.taken - b.returned, Returned: b.returned, HighWater: b.highWater, Waiting: b.small.Len() + b.large.Len(), Refusals: make(map[error]int)}
	for err, n := range b.refusals {
		s.Refusals[err] = n
	}
	return s
}

// Reasons returns all reasons of refusals.
func Reasons() map[string]error {
	return map[string]error{"Aborted": ErrAborted, "NoRoom": ErrNoRoom, "Crowded": ErrCrowded, "TooLarge": ErrTooLarge}
}

// Watch reports, once per interval at most, that requests were refused or aborted, until
// ctx ends.
func (b *Budget) Watch(ctx context.Context, interval time.Duration, report func(refused int, s Stats)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	reported := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s, all := b.Stats(), 0
		for _, n := range s.Refusals {
			all += n
		}
		if all > reported {
			report(all-reported, s)
			reported = all
		}
	}
}

// Largest returns the size of the largest room.
func (b *Budget) Largest() Bytes { return b.Total - b.Total/reserveShare }

// NewRoom returns a room without memory. Abort ends the request so that its room is
// released; it is called once at most.
func (b *Budget) NewRoom(abort func()) *Room {
	if b == nil {
		return nil
	}
	return &Room{budget: b, abort: abort}
}

// Grow takes more memory, and waits for it up to maxWait.
func (r *Room) Grow(more Bytes, now time.Time) error {
	if r == nil || more <= 0 {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	queue := b.queueOf(r, more)
	var err error
	switch {
	case r.ended:
		err = ErrAborted
	case r.size+more > max(b.Largest(), SmallRoom):
		err = ErrTooLarge
	case queue.Len() == 0 && b.fits(r, more):
		b.grant(r, more, now)
		b.mu.Unlock()
		return nil
	case b.small.Len()+b.large.Len() >= maxWaiting:
		err = ErrCrowded
	}
	if err != nil {
		b.refuse(err)
		b.mu.Unlock()
		return err
	}
	w := &waiter{room: r, more: more, done: make(chan error, 1)}
	b.unlist(r) // it waits for the budget, not for its caller
	e := queue.PushBack(w)
	b.mu.Unlock()
	return b.wait(w, queue, e)
}

// wait waits until there is room for a waiter.
func (b *Budget) wait(w *waiter, queue *list.List, e *list.Element) error {
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	tick := time.NewTicker(checkPause)
	defer tick.Stop()
	for {
		b.abortOldest(time.Now())
		b.collect()
		select {
		case err := <-w.done:
			return err
		case <-tick.C:
		case <-limit.C:
			return b.giveUp(w, queue, e)
		}
	}
}

// giveUp removes a waiter unless it has got its room.
func (b *Budget) giveUp(w *waiter, queue *list.List, e *list.Element) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	queue.Remove(e)
	b.refuse(ErrNoRoom)
	b.serve(time.Now()) // the next one may need less
	return ErrNoRoom
}

// abortOldest aborts as many incomplete requests as the first waiters need.
func (b *Budget) abortOldest(now time.Time) {
	b.mu.Lock()
	var victims []*Room
	for _, queue := range []*list.List{&b.small, &b.large} {
		if queue.Len() == 0 {
			continue
		}
		w := queue.Front().Value.(*waiter)
		for b.taken-b.returned-b.aborted+w.more > b.limit(w.room, w.more) {
			v := b.oldest(now)
			if v == nil {
				break
			}
			b.unlist(v)
			v.ended = true
			b.aborted += v.size
			b.refuse(ErrAborted)
			victims = append(victims, v)
		}
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.abort()
	}
}

// oldest returns the room that has been incomplete longest, or nil if none has been for
// minAge.
func (b *Budget) oldest(now time.Time) *Room {
	e := b.reading.Front()
	if e == nil || now.Sub(e.Value.(*Room).grownAt) < minAge {
		return nil
	}
	return e.Value.(*Room)
}

func (b *Budget) queueOf(r *Room, more Bytes) *list.List {
	if r.size+more <= SmallRoom {
		return &b.small
	}
	return &b.large
}

// limit returns how much may be taken with a growth.
func (b *Budget) limit(r *Room, more Bytes) Bytes {
	if r.size+more <= SmallRoom {
		return b.Total
	}
	return b.Largest()
}

func (b *Budget) fits(r *Room, more Bytes) bool { return b.taken+more <= b.limit(r, more) }

func (b *Budget) grant(r *Room, more Bytes, now time.Time) {
	r.size += more
	b.taken += more
	b.highWater = max(b.highWater, b.taken)
	b.unlist(r)
	if !r.whole {
		r.grownAt = now
		r.element = b.reading.PushBack(r)
	}
}

// serve gives room to waiters, small ones first.
func (b *Budget) serve(now time.Time) {
	for _, queue := range []*list.List{&b.small, &b.large} {
		for e := queue.Front(); e != nil; e = queue.Front() {
			w := e.Value.(*waiter)
			if !b.fits(w.room, w.more) {
				break
			}
			queue.Remove(e)
			b.grant(w.room, w.more, now)
			w.done <- nil
		}
	}
}

func (b *Budget) unlist(r *Room) {
	if r.element != nil {
		b.reading.Remove(r.element)
		r.element = nil
	}
}

func (b *Budget) refuse(err error) {
	if b.refusals == nil {
		b.refusals = make(map[error]int)
	}
	b.refusals[err]++
}

// Complete tells that the request was received whole, so that it isn't aborted any
// more. It returns ErrAborted if it was.
func (r *Room) Complete() error {
	if r == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.ended {
		return ErrAborted
	}
	r.whole = true
	r.budget.unlist(r)
	return nil
}

// Shrink returns a part of the room.
func (r *Room) Shrink(less Bytes, now time.Time) {
	if r == nil || less <= 0 {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	less = min(less, r.size)
	b.giveBack(r, less)
	b.serve(now)
}

// Release returns the room at the end of a request. The room may be used for the next
// one.
func (r *Room) Release(now time.Time) {
	if r == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(r)
	r.whole = false
	if r.size == 0 {
		return
	}
	b.giveBack(r, r.size)
	b.serve(now)
}

// giveBack returns a part of a room. The mutex is held.
func (b *Budget) giveBack(r *Room, less Bytes) {
	if r.size > SmallRoom {
		b.returned += less
	} else {
		b.taken -= less
	}
	if r.ended {
		b.aborted -= less
	}
	r.size -= less
}

// collect collects garbage if requests wait for what others have returned.
func (b *Budget) collect() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.returned == 0 || b.collecting {
		return
	}
	b.collecting = true
	returned := b.returned
	go func() {
		runtime.GC()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.collecting = false
		b.returned -= returned
		b.taken -= returned
		b.serve(time.Now())
	}()
}
