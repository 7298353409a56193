package replicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
)

// This file drives a Core on one goroutine: it gathers what arrived, lets the
// core decide, saves once for all of it (group commit), sends, and hands
// committed entries to the owner of the tables. Writes are made on a goroutine
// of their own, one at a time, so that a disk that is slow or stands still does
// not hold up heartbeats and commits by the other replicas.

const (
	minTick       = 5 * time.Millisecond
	inboxSize     = 1024
	maxInboxBatch = 256
)

// Sender passes messages to other replicas. It must not block.
type Sender interface {
	Send(messages []Message)
}

// Update is what a Node hands to the owner of the tables, in log order.
type Update struct {
	Status   Status
	Snapshot *Snapshot // to restore before Entries
	Entries  []Entry
	Reads    []ReadID
	Dropped  bool // a proposal was refused
}

// Node runs one replica.
type Node struct {
	Core    *Core
	Storage Storage
	Sender  Sender
	Now     func() time.Time

	// Failed, when set, is told about failures of the storage.
	Failed func(error)

	updates           chan Update
	inbox             chan func(now time.Time)
	status            atomic.Pointer[Status]
	pendingUpdates    []Update
	saving            bool      // a write is in progress, or is to be tried again
	retryAt           time.Time // of a write that failed; zero: none
	afterSave         []Message // to be sent when the write is done
	pendingCompaction func() (func() error, bool)
}

// Open prepares the channels. It must be called before any other method.
func (n *Node) Open() {
	n.updates = make(chan Update)
	n.inbox = make(chan func(time.Time), inboxSize)
	st := n.Core.Status()
	n.status.Store(&st)
}

// Updates returns the channel of updates. It is closed when Run returns.
func (n *Node) Updates() <-chan Update { return n.updates }

// Status returns the replica's newest status. It may be called from any
// goroutine.
func (n *Node) Status() Status { return *n.status.Load() }

// Receive takes in messages of other replicas; when the inbox is full they are
// dropped, as a network might.
func (n *Node) Receive(messages []Message) {
	f := func(now time.Time) {
		for _, m := range messages {
			n.Core.Step(m, now)
		}
	}
	select {
	case n.inbox <- f:
	default:
	}
}

// Propose appends data to the log if this replica still leads in the given
// term. Its commit, or that it was refused, shows in the updates.
func (n *Node) Propose(ctx context.Context, term registrar.Term, data []byte) {
	n.enqueue(ctx, func(now time.Time) {
		if n.Core.term == term {
			if _, err := n.Core.Propose(data, now); err != nil {
				n.pushUpdate(Update{Dropped: true})
			}
		}
	})
}

// Hurry tells the followers about the newest commit at once.
func (n *Node) Hurry(ctx context.Context) {
	n.enqueue(ctx, func(now time.Time) { n.Core.Hurry(now) })
}

// Read asks for a linearizable read; its id returns in an update, or never
// when leadership is lost.
func (n *Node) Read(ctx context.Context, id ReadID) {
	n.enqueue(ctx, func(now time.Time) {
		_ = n.Core.Read(id, now)
	})
}

// Transfer hands leadership over, if this replica leads.
func (n *Node) Transfer(ctx context.Context) {
	n.enqueue(ctx, func(now time.Time) { n.Core.Transfer(now) })
}

// StepDown ends the leadership of this replica, if it leads in the given term.
func (n *Node) StepDown(ctx context.Context, term registrar.Term) {
	n.enqueue(ctx, func(now time.Time) {
		if n.Core.term == term {
			n.Core.StepDown(now)
		}
	})
}

// Gone takes in that after a moment nobody listened at a daemon's address. News
// that finds the inbox full is passed over; it comes again.
func (n *Node) Gone(name string, since time.Time) {
	select {
	case n.inbox <- func(now time.Time) { n.Core.Gone(name, since, now) }:
	default:
	}
}

// ChangeVoter adds or removes a voter and returns the refusal, if any.
func (n *Node) ChangeVoter(ctx context.Context, id ReplicaID, add bool) error {
	result := make(chan error, 1)
	n.enqueue(ctx, func(now time.Time) {
		if add {
			result <- n.Core.AddVoter(id, now)
			return
		}
		result <- n.Core.RemoveVoter(id, now)
	})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Compact replaces the log up to index by a snapshot of the applied state.
func (n *Node) Compact(ctx context.Context, index registrar.Index, data []byte) {
	n.enqueue(ctx, func(time.Time) { n.pendingCompaction = func() (func() error, bool) { return n.compact(index, data) } })
}

func (n *Node) compact(index registrar.Index, data []byte) (func() error, bool) {
	snap, rest, ok := n.Core.Compact(index, data)
	if !ok {
		return nil, false
	}
	hard := n.Core.prevHardState
	return func() error { return n.Storage.SaveSnapshot(snap, hard, rest) }, true
}

func (n *Node) enqueue(ctx context.Context, f func(time.Time)) {
	select {
	case n.inbox <- f:
	case <-ctx.Done():
	}
}

// Run drives the core until ctx ends. A storage that fails is written anew from
// time to time; until that succeeds this replica acknowledges nothing.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.updates)
	jobs := make(chan func() error, 1)
	saved := make(chan error, 1)
	defer close(jobs)
	go func() {
		for job := range jobs {
			saved <- job()
		}
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		tick.Reset(max(n.nextWake().Sub(n.Now()), minTick))
		if err := n.wait(ctx, tick.C, saved); err != nil {
			n.awaitWrite(saved)
			return nil
		}
		n.flush(jobs)
	}
}

// awaitWrite waits for the write in progress, so that the storage can be closed.
func (n *Node) awaitWrite(saved <-chan error) {
	if n.saving && n.retryAt.IsZero() {
		<-saved
	}
}

func (n *Node) nextWake() time.Time {
	nextWake := n.Core.Due()
	if !n.retryAt.IsZero() && n.retryAt.Before(nextWake) {
		return n.retryAt
	}
	return nextWake
}

// wait blocks until there is work, then gathers what else has arrived.
func (n *Node) wait(ctx context.Context, tick <-chan time.Time, saved <-chan error) error {
	out, head := n.nextUpdate()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case out <- head:
		n.pendingUpdates = n.pendingUpdates[1:]
	case err := <-saved:
		n.handleSaveResult(err)
	case <-tick:
		n.Core.Tick(n.Now())
	case f := <-n.inbox:
		now := n.Now()
		f(now)
		n.drainInbox(now)
	}
	return nil
}

func (n *Node) nextUpdate() (chan Update, Update) {
	if len(n.pendingUpdates) == 0 {
		return nil, Update{}
	}
	return n.updates, n.pendingUpdates[0]
}

func (n *Node) drainInbox(now time.Time) {
	for range maxInboxBatch {
		select {
		case f := <-n.inbox:
			f(now)
		default:
			return
		}
	}
}

// flush sends what need not be saved, and begins the next write unless one is
// in progress.
func (n *Node) flush(jobs chan<- func() error) {
	n.Sender.Send(n.Core.TakeImmediate())
	if n.saving && !n.retryAt.IsZero() && !n.Now().Before(n.retryAt) {
		n.rewrite(jobs)
	}
	for !n.saving && n.Core.HasReady() {
		n.save(jobs)
	}
	if !n.saving && n.pendingCompaction != nil {
		job, ok := n.pendingCompaction()
		n.pendingCompaction = nil
		if ok {
			n.startWrite(jobs, job)
		}
	}
	n.pushUpdate(Update{Entries: n.Core.TakeCommitted()})
}

// save begins to write what the core decided. Its late messages are sent when
// that is on disk.
func (n *Node) save(jobs chan<- func() error) {
	r := n.Core.Ready()
	n.Sender.Send(r.Immediate)
	n.afterSave = append(n.afterSave, r.AfterSave...)
	n.pushUpdate(Update{Snapshot: r.Snapshot, Reads: r.Reads})
	if r.Snapshot == nil && len(r.Entries) == 0 && !r.HardStateChanged {
		n.handleSaveResult(nil)
		return
	}
	n.startWrite(jobs, func() error {
		if r.Snapshot != nil {
			return n.Storage.SaveSnapshot(*r.Snapshot, r.Hard, r.Entries)
		}
		return n.Storage.Save(r.Hard, r.Entries)
	})
}

func (n *Node) startWrite(jobs chan<- func() error, job func() error) {
	n.saving = true
	jobs <- job
}

// handleSaveResult sends the messages that waited for a write, or plans another try.
func (n *Node) handleSaveResult(err error) {
	if err != nil {
		if n.Failed != nil {
			n.Failed(err)
		}
		n.retryAt = n.Now().Add(rewriteDelay)
		return
	}
	n.saving = false
	n.Core.Advance()
	n.Sender.Send(n.afterSave)
	n.afterSave = nil
}

// rewriteDelay is the time between tries to write to a storage that failed.
const rewriteDelay = 300 * time.Millisecond

func (n *Node) rewrite(jobs chan<- func() error) {
	n.retryAt = time.Time{}
	w := n.Core.FullState()
	n.pushUpdate(Update{Snapshot: w.Restore})
	n.startWrite(jobs, func() error { return n.Storage.Rewrite(w.Snapshot, w.Hard, w.Entries) })
}

// pushUpdate queues an update unless it would tell nothing new.
func (n *Node) pushUpdate(u Update) {
	u.Status = n.Core.Status()
	old := n.status.Load()
	same := old.Role == u.Status.Role && old.Term == u.Status.Term && old.Leader == u.Status.Leader
	st := u.Status
	n.status.Store(&st)
	if same && u.Snapshot == nil && len(u.Entries) == 0 && len(u.Reads) == 0 && !u.Dropped {
		return
	}
	n.pendingUpdates = append(n.pendingUpdates, u)
}

// MemoryStorage keeps nothing, for daemons without a disk.
type MemoryStorage struct{}

// Save does nothing.
func (MemoryStorage) Save(HardState, []Entry) error { return nil }

// SaveSnapshot does nothing.
func (MemoryStorage) SaveSnapshot(Snapshot, HardState, []Entry) error { return nil }

// Rewrite does nothing.
func (MemoryStorage) Rewrite(Snapshot, HardState, []Entry) error { return nil }
