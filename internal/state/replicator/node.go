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
// committed entries to the owner of the tables.

const (
	minTick     = 5 * time.Millisecond
	inboxSize   = 1024
	gatherLimit = 256
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

	updates chan Update
	inbox   chan func(now time.Time)
	status  atomic.Pointer[Status]
	pending []Update
	failed  error
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
	n.do(ctx, func(now time.Time) {
		if n.Core.term == term {
			if _, err := n.Core.Propose(data, now); err != nil {
				n.push(Update{Dropped: true})
			}
		}
	})
}

// Hurry tells the followers about the newest commit at once.
func (n *Node) Hurry(ctx context.Context) {
	n.do(ctx, func(now time.Time) { n.Core.Hurry(now) })
}

// Read asks for a linearizable read; its id returns in an update, or never
// when leadership is lost.
func (n *Node) Read(ctx context.Context, id ReadID) {
	n.do(ctx, func(now time.Time) {
		_ = n.Core.Read(id, now)
	})
}

// Transfer hands leadership over, if this replica leads.
func (n *Node) Transfer(ctx context.Context) {
	n.do(ctx, func(now time.Time) { n.Core.Transfer(now) })
}

// StepDown ends the leadership of this replica, if it leads in the given term.
func (n *Node) StepDown(ctx context.Context, term registrar.Term) {
	n.do(ctx, func(now time.Time) {
		if n.Core.term == term {
			n.Core.StepDown(now)
		}
	})
}

// ChangeVoter adds or removes a voter and returns the refusal, if any.
func (n *Node) ChangeVoter(ctx context.Context, id ReplicaID, add bool) error {
	result := make(chan error, 1)
	n.do(ctx, func(now time.Time) {
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
	n.do(ctx, func(time.Time) {
		snap, rest, ok := n.Core.Compact(index, data)
		if !ok {
			return
		}
		hard := HardState{n.Core.term, n.Core.vote}
		if err := n.Storage.SaveSnapshot(snap, hard, rest); err != nil {
			n.failed = err
		}
	})
}

func (n *Node) do(ctx context.Context, f func(time.Time)) {
	select {
	case n.inbox <- f:
	case <-ctx.Done():
	}
}

// Run drives the core until ctx ends or the storage fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.updates)
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		tick.Reset(max(n.Core.Due().Sub(n.Now()), minTick))
		if err := n.wait(ctx, tick.C); err != nil {
			return nil
		}
		if err := n.flush(); err != nil {
			return errors.Annotate(err, "replica stopped")
		}
	}
}

// wait blocks until there is work, then gathers what else has arrived.
func (n *Node) wait(ctx context.Context, tick <-chan time.Time) error {
	out, head := n.nextUpdate()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case out <- head:
		n.pending = n.pending[1:]
	case <-tick:
		n.Core.Tick(n.Now())
	case f := <-n.inbox:
		now := n.Now()
		f(now)
		n.gather(now)
	}
	return nil
}

func (n *Node) nextUpdate() (chan Update, Update) {
	if len(n.pending) == 0 {
		return nil, Update{}
	}
	return n.updates, n.pending[0]
}

func (n *Node) gather(now time.Time) {
	for range gatherLimit {
		select {
		case f := <-n.inbox:
			f(now)
		default:
			return
		}
	}
}

// flush saves and sends what the core decided, until it is at rest.
func (n *Node) flush() error {
	for n.Core.HasWork() && n.failed == nil {
		r := n.Core.Ready()
		n.Sender.Send(r.Early)
		if err := n.save(r); err != nil {
			return err
		}
		committed := n.Core.Saved()
		n.Sender.Send(r.Late)
		n.push(Update{Snapshot: r.Snapshot, Entries: committed, Reads: r.Reads})
	}
	n.push(Update{})
	return n.failed
}

func (n *Node) save(r Ready) error {
	if r.Snapshot != nil {
		if err := n.Storage.SaveSnapshot(*r.Snapshot, r.Hard, nil); err != nil {
			return errors.Trace(err)
		}
	}
	if len(r.Entries) == 0 && !r.HardDirty {
		return nil
	}
	return errors.Trace(n.Storage.Save(r.Hard, r.Entries))
}

// push queues an update unless it would tell nothing new.
func (n *Node) push(u Update) {
	u.Status = n.Core.Status()
	old := n.status.Load()
	same := old.Role == u.Status.Role && old.Term == u.Status.Term && old.Leader == u.Status.Leader
	st := u.Status
	n.status.Store(&st)
	if same && u.Snapshot == nil && len(u.Entries) == 0 && len(u.Reads) == 0 && !u.Dropped {
		return
	}
	n.pending = append(n.pending, u)
}

// MemoryStorage keeps nothing, for daemons without a disk.
type MemoryStorage struct{}

// Save does nothing.
func (MemoryStorage) Save(HardState, []Entry) error { return nil }

// SaveSnapshot does nothing.
func (MemoryStorage) SaveSnapshot(Snapshot, HardState, []Entry) error { return nil }
