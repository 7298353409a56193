package replicator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
)

// This file drives a Core on one goroutine: it steps a batch of inputs, saves
// their results in one write (group commit), sends messages and delivers
// committed entries to the owner of the replicated state. Writes run on a
// separate goroutine, one at a time, so that a slow or stalled disk delays
// neither heartbeats nor commits by the other replicas.

const (
	minTick       = 5 * time.Millisecond // between ticks
	inboxSize     = 1024                 // inputs
	maxInboxBatch = 256                  // inputs per write
)

// Sender sends messages to other replicas. Send must not block.
type Sender interface {
	Send(messages []Message)
}

// Update is delivered to the owner of the replicated state. Updates come in log
// order.
type Update struct {
	Status          Status
	Snapshot        *Snapshot // to restore before Entries
	Entries         []Entry
	Reads           []ReadID
	ProposalDropped bool // a proposal was rejected
}

// Node runs one replica.
type Node struct {
	Core    *Core
	Storage Storage
	Sender  Sender
	Now     func() time.Time

	// OnStorageError, if set, is called with each error of the storage.
	OnStorageError func(error)

	updates           chan Update
	inbox             chan func(now time.Time)
	status            atomic.Pointer[Status]
	pendingUpdates    []Update
	tickedAt          time.Time // last tick of the core
	saving            bool      // a write is in progress or waits for a retry
	retryAt           time.Time // when a failed write is retried; zero: none failed
	afterSave         []Message // to be sent once the write is synced
	pendingCompaction func() (func() error, bool)
}

// Open creates the channels. It must be called before any other method.
func (n *Node) Open() {
	n.updates = make(chan Update)
	n.inbox = make(chan func(time.Time), inboxSize)
	st := n.Core.Status()
	n.status.Store(&st)
}

// Updates returns the channel of updates. It is closed when Run returns.
func (n *Node) Updates() <-chan Update { return n.updates }

// Status returns the replica's last status. It is safe for concurrent use.
func (n *Node) Status() Status { return *n.status.Load() }

// Receive enqueues messages from other replicas. If the inbox is full they are
// dropped; Raft tolerates lost messages.
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

// Propose appends data to the log if this replica still leads in the given term.
// An update delivers the committed entry or reports that the proposal was
// rejected.
func (n *Node) Propose(ctx context.Context, term registrar.Term, data []byte) {
	n.enqueue(ctx, func(now time.Time) {
		if n.Core.term == term {
			if _, err := n.Core.Propose(data, now); err != nil {
				n.pushUpdate(Update{ProposalDropped: true})
			}
		}
	})
}

// BroadcastCommit sends the newest commit index to the other replicas at once.
func (n *Node) BroadcastCommit(ctx context.Context) {
	n.enqueue(ctx, func(now time.Time) { n.Core.BroadcastCommit(now) })
}

// Read requests a linearizable read. An update returns id once the read may be
// answered; if this replica does not lead or loses its leadership, none does.
func (n *Node) Read(ctx context.Context, id ReadID) {
	n.enqueue(ctx, func(now time.Time) {
		_ = n.Core.Read(id, now)
	})
}

// TransferLeadership transfers leadership to another voter, if this replica leads.
func (n *Node) TransferLeadership(ctx context.Context) {
	n.enqueue(ctx, func(now time.Time) { n.Core.TransferLeadership(now) })
}

// StepDown ends the leadership of this replica, if it leads in the given term.
func (n *Node) StepDown(ctx context.Context, term registrar.Term) {
	n.enqueue(ctx, func(now time.Time) {
		if n.Core.term == term {
			n.Core.StepDown(now)
		}
	})
}

// ReportConnectionRefused reports that a connection to the address of a daemon was refused at some
// time after since. If the inbox is full the report is dropped, since the next
// refused connection repeats it.
func (n *Node) ReportConnectionRefused(name string, since time.Time) {
	select {
	case n.inbox <- func(now time.Time) { n.Core.ReportConnectionRefused(name, since, now) }:
	default:
	}
}

// ChangeVoter adds or removes a voter. It returns an error if the change was
// rejected.
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

// Require makes a format the least that a replica has to follow to get entries or votes
// from this one. A lower format than the present one is ignored.
func (n *Node) Require(ctx context.Context, f Format) {
	n.enqueue(ctx, func(time.Time) { n.Core.Require(f) })
}

// Compact replaces the log up to index by a snapshot with data, which holds the
// applied state at that index.
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

// Run drives the core until ctx is done. After a storage error it retries to
// rewrite the complete content; until that succeeds this replica acknowledges
// nothing.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.updates)
	writes := make(chan func() error, 1)
	saved := make(chan error, 1)
	defer close(writes)
	go func() {
		for write := range writes {
			saved <- write()
		}
	}()
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		tick.Reset(n.nextWake().Sub(n.Now()))
		if err := n.wait(ctx, tick.C, saved); err != nil {
			n.awaitWrite(saved)
			return nil
		}
		n.tickIfDue(n.Now())
		n.flush(writes)
	}
}

// awaitWrite waits for the write in progress, after which the storage can be
// closed.
func (n *Node) awaitWrite(saved <-chan error) {
	if n.saving && n.retryAt.IsZero() {
		<-saved
	}
}

func (n *Node) nextWake() time.Time {
	nextWake := n.Core.Due()
	if earliest := n.tickedAt.Add(minTick); nextWake.Before(earliest) {
		nextWake = earliest
	}
	if !n.retryAt.IsZero() && n.retryAt.Before(nextWake) {
		return n.retryAt
	}
	return nextWake
}

// tickIfDue ticks the core after any input, not only when the timer fires: inputs that
// arrive in quick succession reset the timer each time.
func (n *Node) tickIfDue(now time.Time) {
	if !now.Before(n.Core.Due()) && now.Sub(n.tickedAt) >= minTick {
		n.tickedAt = now
		n.Core.Tick(now)
	}
}

// wait blocks until there is an input or a tick is due, then handles the inputs that have
// arrived meanwhile.
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
	case f := <-n.inbox:
		f(n.Now())
		n.drainInbox()
	}
	return nil
}

func (n *Node) nextUpdate() (chan Update, Update) {
	if len(n.pendingUpdates) == 0 {
		return nil, Update{}
	}
	return n.updates, n.pendingUpdates[0]
}

// drainInbox handles the inputs that have arrived. Each is handled at a time after its
// arrival: this replica promises a leader not to vote for another for a time that counts
// from the handling of a heartbeat, and the leader's lease begins when it is sent.
func (n *Node) drainInbox() {
	for range maxInboxBatch {
		select {
		case f := <-n.inbox:
			f(n.Now())
		default:
			return
		}
	}
}

// flush sends the messages that do not depend on a write, and starts the next
// write unless one is in progress.
func (n *Node) flush(writes chan<- func() error) {
	n.Sender.Send(n.Core.TakeImmediate())
	if n.saving && !n.retryAt.IsZero() && !n.Now().Before(n.retryAt) {
		n.rewrite(writes)
	}
	for !n.saving && n.Core.HasReady() {
		n.save(writes)
	}
	if !n.saving && n.pendingCompaction != nil {
		write, ok := n.pendingCompaction()
		n.pendingCompaction = nil
		if ok {
			n.startWrite(writes, write)
		}
	}
	n.pushUpdate(Update{Entries: n.Core.TakeCommitted()})
}

// save starts to write the results of the core. The messages that depend on them
// are sent once they are on disk.
func (n *Node) save(writes chan<- func() error) {
	r := n.Core.Ready()
	n.Sender.Send(r.Immediate)
	n.afterSave = append(n.afterSave, r.AfterSave...)
	n.pushUpdate(Update{Snapshot: r.Snapshot, Reads: r.Reads})
	if r.Snapshot == nil && len(r.Entries) == 0 && !r.HardStateChanged {
		n.handleSaveResult(nil)
		return
	}
	n.startWrite(writes, func() error {
		if r.Snapshot != nil {
			return n.Storage.SaveSnapshot(*r.Snapshot, r.Hard, r.Entries)
		}
		return n.Storage.Save(r.Hard, r.Entries)
	})
}

func (n *Node) startWrite(writes chan<- func() error, write func() error) {
	n.saving = true
	writes <- write
}

// handleSaveResult sends the messages that waited for a write, or schedules a
// retry if it failed.
func (n *Node) handleSaveResult(err error) {
	if err != nil {
		if n.OnStorageError != nil {
			n.OnStorageError(err)
		}
		n.retryAt = n.Now().Add(rewriteDelay)
		return
	}
	n.saving = false
	n.Core.Advance()
	n.Sender.Send(n.afterSave)
	n.afterSave = nil
}

// rewriteDelay is the time from a storage error to the next rewrite.
const rewriteDelay = 300 * time.Millisecond

func (n *Node) rewrite(writes chan<- func() error) {
	n.retryAt = time.Time{}
	state := n.Core.FullState()
	n.pushUpdate(Update{Snapshot: state.Restore})
	n.startWrite(writes, func() error { return n.Storage.Rewrite(state.Snapshot, state.Hard, state.Entries) })
}

// pushUpdate queues an update unless it is empty and role, term and leader are
// unchanged.
func (n *Node) pushUpdate(u Update) {
	u.Status = n.Core.Status()
	old := n.status.Load()
	same := old.Role == u.Status.Role && old.Term == u.Status.Term && old.Leader == u.Status.Leader
	st := u.Status
	n.status.Store(&st)
	if same && u.Snapshot == nil && len(u.Entries) == 0 && len(u.Reads) == 0 && !u.ProposalDropped {
		return
	}
	n.pendingUpdates = append(n.pendingUpdates, u)
}

// MemoryStorage stores nothing. It is used by daemons without a disk.
type MemoryStorage struct{}

// Save does nothing.
func (MemoryStorage) Save(HardState, []Entry) error { return nil }

// SaveSnapshot does nothing.
func (MemoryStorage) SaveSnapshot(Snapshot, HardState, []Entry) error { return nil }

// Rewrite does nothing.
func (MemoryStorage) Rewrite(Snapshot, HardState, []Entry) error { return nil }
