package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file tests nodes that are connected by direct calls and whose disks can be
// made to stall or to fail.

// faultyDisk is a storage that stores nothing and can be stalled or made to fail.
type faultyDisk struct {
	mu       sync.Mutex
	unblock  chan struct{} // writes wait until it is closed; nil: not stalled
	failing  bool
	rewrites int
}

var errDiskFailed = errors.New("disk write failed")

func (d *faultyDisk) wait() error {
	d.mu.Lock()
	unblock, failing := d.unblock, d.failing
	d.mu.Unlock()
	if unblock != nil {
		<-unblock
	}
	if failing {
		return errDiskFailed
	}
	return nil
}

func (d *faultyDisk) Save(replicator.HardState, []replicator.Entry) error { return d.wait() }

func (d *faultyDisk) SaveSnapshot(replicator.Snapshot, replicator.HardState, []replicator.Entry) error {
	return d.wait()
}

func (d *faultyDisk) Rewrite(replicator.Snapshot, replicator.HardState, []replicator.Entry) error {
	if err := d.wait(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rewrites++
	return nil
}

func (d *faultyDisk) set(unblock chan struct{}, failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unblock, d.failing = unblock, failing
}

type cluster struct {
	list  map[replicator.ReplicaID]*replicator.Node
	disks map[replicator.ReplicaID]*faultyDisk
	mu    sync.Mutex
	seen  map[replicator.ReplicaID]int // entries delivered
}

// Send delivers messages without delay.
func (n *cluster) Send(messages []replicator.Message) {
	for _, m := range messages {
		if to := n.list[m.To]; to != nil {
			to.Receive([]replicator.Message{m})
		}
	}
}

func startCluster(t *testing.T, count int) *cluster {
	n := &cluster{
		list: make(map[replicator.ReplicaID]*replicator.Node), disks: make(map[replicator.ReplicaID]*faultyDisk), seen: make(map[replicator.ReplicaID]int),
	}
	var ids []replicator.ReplicaID
	for i := range count {
		ids = append(ids, replicator.ReplicaID(fmt.Sprintf("vm%d.1", i+1)))
	}
	for i, id := range ids {
		core := &replicator.Core{Group: 1, ID: id, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(int64(i)))}
		core.Start(replicator.StoredState{Snapshot: replicator.Snapshot{Voters: ids}}, time.Now())
		n.disks[id] = &faultyDisk{}
		n.list[id] = &replicator.Node{Core: core, Storage: n.disks[id], Sender: n, Now: time.Now}
		n.list[id].Open()
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for id, node := range n.list {
		done.Go(func() { _ = node.Run(ctx) })
		done.Go(func() {
			for u := range node.Updates() {
				n.mu.Lock()
				n.seen[id] += len(u.Entries)
				n.mu.Unlock()
			}
		})
	}
	t.Cleanup(func() {
		for _, d := range n.disks {
			d.mu.Lock()
			if d.unblock != nil {
				close(d.unblock)
				d.unblock = nil
			}
			d.mu.Unlock()
		}
		cancel()
		done.Wait()
	})
	return n
}

func (n *cluster) leader() replicator.ReplicaID {
	for id, node := range n.list {
		if node.Status().Role == replicator.Leader {
			return id
		}
	}
	return ""
}

func (n *cluster) delivered(id replicator.ReplicaID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen[id]
}

const pollTimeout = 30 * time.Second // long enough for a loaded machine

func eventually(c *quicktest.C, what string, cond func() bool) {
	for end := time.Now().Add(pollTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	c.Fatalf("%s did not happen within %s", what, pollTimeout)
}

func (n *cluster) propose(c *quicktest.C, leader replicator.ReplicaID) {
	node := n.list[leader]
	node.Propose(c.Context(), registrar.Term(node.Status().Term), []byte("x"))
}

func TestLeaderWithStalledDiskKeepsLeadingAndCommitting(t *testing.T) {
	c := quicktest.New(t)
	n := startCluster(t, 3)
	eventually(c, "an election", func() bool { return n.leader() != "" })
	leader := n.leader()
	eventually(c, "the first commit", func() bool { return n.delivered(leader) > 0 })
	n.disks[leader].set(make(chan struct{}), false)
	before := n.delivered(leader)
	n.propose(c, leader)
	n.propose(c, leader)
	eventually(c, "a commit by the other replicas", func() bool { return n.delivered(leader) >= before+2 })
	term := n.list[leader].Status().Term
	time.Sleep(2 * replicator.DefaultTiming.ElectionMax)
	c.Assert(n.leader(), quicktest.Equals, leader)
	c.Assert(n.list[leader].Status().Term, quicktest.Equals, term)
}

func TestLeaderWithFullDiskKeepsLeadingAndCommitting(t *testing.T) {
	c := quicktest.New(t)
	n := startCluster(t, 3)
	eventually(c, "an election", func() bool { return n.leader() != "" })
	leader := n.leader()
	eventually(c, "the first commit", func() bool { return n.delivered(leader) > 0 })
	n.disks[leader].set(nil, true)
	before := n.delivered(leader)
	n.propose(c, leader)
	n.propose(c, leader)
	eventually(c, "a commit by the other replicas", func() bool { return n.delivered(leader) >= before+2 })
	term := n.list[leader].Status().Term
	time.Sleep(2 * replicator.DefaultTiming.ElectionMax)
	c.Assert(n.leader(), quicktest.Equals, leader)
	c.Assert(n.list[leader].Status().Term, quicktest.Equals, term)
}

func TestReplicaCountsForCommitAgainAfterDiskFailure(t *testing.T) {
	c := quicktest.New(t)
	n := startCluster(t, 3)
	eventually(c, "an election", func() bool { return n.leader() != "" })
	leader := n.leader()
	var other replicator.ReplicaID
	for id := range n.list {
		if id != leader {
			other = id
		}
	}
	n.disks[other].set(nil, true)
	before := n.delivered(leader)
	n.propose(c, leader)
	eventually(c, "a commit without the failing disk", func() bool { return n.delivered(leader) > before })
	n.disks[other].set(nil, false)
	eventually(c, "a rewrite", func() bool {
		n.disks[other].mu.Lock()
		defer n.disks[other].mu.Unlock()
		return n.disks[other].rewrites > 0
	})
	// The disk of the third replica fails, so that a commit needs the recovered one.
	for id, d := range n.disks {
		if id != other && id != leader {
			d.set(nil, true)
		}
	}
	before = n.delivered(leader)
	n.propose(c, leader)
	eventually(c, "a commit with the recovered disk", func() bool { return n.delivered(leader) > before })
}

// outbox keeps the messages that a node sends.
type outbox chan replicator.Message

func (o outbox) Send(messages []replicator.Message) {
	for _, m := range messages {
		o <- m
	}
}

// pausingSource is a source of random numbers that calls pause, once, when it is armed.
type pausingSource struct {
	rand.Source
	pause func()
}

func (s *pausingSource) Int63() int64 {
	if pause := s.pause; pause != nil {
		s.pause = nil
		pause()
	}
	return s.Source.Int63()
}

// A voter stands still while it handles the first of two messages that it handles together;
// a heartbeat draws a random election timeout. Guards against a promise to the leader that
// counts from before the leader's message was sent, so that another replica is elected
// within the leader's lease.
func TestPauseBetweenMessagesDoesNotShortenThePromiseToTheLeader(t *testing.T) {
	c := quicktest.New(t)
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	clock := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	pause := func() {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(5 * time.Second)
	}
	source := &pausingSource{Source: rand.NewSource(1)}
	voters := []replicator.ReplicaID{"a.1", "b.1", "c.1"}
	core := &replicator.Core{Group: 1, ID: "b.1", Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(source)}
	core.Start(replicator.StoredState{Snapshot: replicator.Snapshot{Voters: voters}}, clock())
	source.pause = pause
	sent := make(outbox, 64)
	n := &replicator.Node{Core: core, Storage: &faultyDisk{}, Sender: sent, Now: clock}
	n.Open()
	heartbeat := replicator.Message{Type: replicator.MsgAppend, Group: 1, From: "a.1", To: "b.1", Term: 1}
	n.Receive([]replicator.Message{heartbeat})
	n.Receive([]replicator.Message{heartbeat})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = n.Run(ctx) })
	done.Go(func() {
		for range n.Updates() {
		}
	})
	defer done.Wait()
	defer cancel()
	for acked := 0; acked < 2; {
		if m := <-sent; m.Type == replicator.MsgAppendReply {
			acked++
		}
	}
	n.Receive([]replicator.Message{{Type: replicator.MsgVote, Group: 1, From: "c.1", To: "b.1", Term: 9}})
	for {
		if m := <-sent; m.Type == replicator.MsgVoteReply {
			c.Assert(m.Reject, quicktest.IsTrue)
			return
		}
	}
}

// Guards against inputs in quick succession that keep the timer from firing, so that no election
// is started and a leader sends no heartbeats.
func TestFrequentInputsDoNotDelayElections(t *testing.T) {
	c := quicktest.New(t)
	const own = replicator.ReplicaID("a.1")
	core := &replicator.Core{Group: 1, ID: own, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(1))}
	core.Start(replicator.StoredState{Snapshot: replicator.Snapshot{Voters: []replicator.ReplicaID{own}}}, time.Now())
	n := &replicator.Node{Core: core, Storage: replicator.MemoryStorage{}, Sender: discard{}, Now: time.Now}
	n.Open()
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	c.Cleanup(func() { cancel(); parts.Wait() })
	parts.Go(func() { _ = n.Run(ctx) })
	for end := time.Now().Add(5 * time.Second); n.Status().Role != replicator.Leader; time.Sleep(100 * time.Microsecond) {
		c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("no election was started"))
		n.Receive(nil)
	}
}

// discard is a sender that sends nothing.
type discard struct{}

func (discard) Send([]replicator.Message) {}
