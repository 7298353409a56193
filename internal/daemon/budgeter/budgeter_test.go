package budgeter_test

import (
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/daemon/budgeter"
)

const total = 4 << 20

// A budget that loses room refuses callers for ever; one that gives too much doesn't
// bound memory.
func TestRoomIsNeitherLostNorExceeded(t *testing.T) {
	c := quicktest.New(t)
	b := &budgeter.Budget{Total: total}
	var all sync.WaitGroup
	for seed := range 40 {
		all.Go(func() {
			random := rand.New(rand.NewSource(int64(seed)))
			room := b.NewRoom(func() {})
			for range 40 {
				size := budgeter.Bytes(random.Intn(200_000) + 1)
				if err := room.Grow(size, time.Now()); err != nil {
					break
				}
				switch random.Intn(4) {
				case 0:
					room.Shrink(size, time.Now())
				case 1:
					_ = room.Complete() // it may have been aborted
				case 2:
					room.Release(time.Now())
				}
			}
			room.Release(time.Now())
		})
	}
	all.Wait()
	s := b.Stats()
	c.Assert(s.Taken, quicktest.Equals, budgeter.Bytes(0))
	c.Assert(s.Waiting, quicktest.Equals, 0)
	c.Assert(s.HighWater <= total, quicktest.IsTrue)
	room := b.NewRoom(func() {})
	c.Assert(room.Grow(b.Largest(), time.Now()), quicktest.IsNil)
}

// Large requests that fill their part leave the reserve to small ones.
func TestLargeRequestsLeaveTheReserve(t *testing.T) {
	c := quicktest.New(t)
	b := &budgeter.Budget{Total: total}
	large := b.NewRoom(func() {})
	c.Assert(large.Grow(b.Largest(), time.Now()), quicktest.IsNil)
	c.Assert(large.Complete(), quicktest.IsNil)
	small := b.NewRoom(func() {})
	c.Assert(small.Grow(budgeter.SmallRoom, time.Now()), quicktest.IsNil)
	c.Assert(b.NewRoom(func() {}).Grow(budgeter.SmallRoom+1, time.Now()), quicktest.ErrorIs, budgeter.ErrNoRoom)
	small.Release(time.Now())
	large.Release(time.Now())
	c.Assert(b.Stats().Taken, quicktest.Equals, budgeter.Bytes(0))
}

// The request that has been incomplete longest makes room; its own room counts until it
// has returned it.
func TestOldestIncompleteRequestIsAborted(t *testing.T) {
	c := quicktest.New(t)
	b := &budgeter.Budget{Total: total}
	aborted := make(chan int, 2)
	var rooms [2]*budgeter.Room
	before := time.Now().Add(-time.Minute)
	for i := range rooms {
		rooms[i] = b.NewRoom(func() { aborted <- i })
		c.Assert(rooms[i].Grow(b.Largest()/2, before), quicktest.IsNil)
	}
	granted := make(chan error, 1)
	go func() { granted <- b.NewRoom(func() {}).Grow(100_000, time.Now()) }()
	c.Assert(<-aborted, quicktest.Equals, 0)
	c.Assert(rooms[0].Complete(), quicktest.ErrorIs, budgeter.ErrAborted)
	c.Assert(b.Stats().Waiting, quicktest.Equals, 1)
	rooms[0].Release(time.Now())
	c.Assert(<-granted, quicktest.IsNil)
	c.Assert(rooms[1].Complete(), quicktest.IsNil)
}

// What an ordinary request costs: one growth, one release.
func BenchmarkRequest(b *testing.B) {
	budget := &budgeter.Budget{Total: total}
	room := budget.NewRoom(func() {})
	now := time.Now()
	for b.Loop() {
		_ = room.Grow(400, now)
		_ = room.Complete()
		room.Release(now)
	}
}
