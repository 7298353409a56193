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

// This file runs three nodes over channels, with disks that can be told to
// stand still or to fail.

// slowDisk is a storage that can be blocked or made to fail.
type slowDisk struct {
	mu       sync.Mutex
	gate     chan struct{} // nil: open; writes wait until it is closed
	failing  bool
	rewrites int
}

var errDisk = errors.New("the disk takes nothing")

func (d *slowDisk) wait() error {
	d.mu.Lock()
	gate, failing := d.gate, d.failing
	d.mu.Unlock()
	if gate != nil {
		<-gate
	}
	if failing {
		return errDisk
	}
	return nil
}

func (d *slowDisk) Save(replicator.HardState, []replicator.Entry) error { return d.wait() }

func (d *slowDisk) SaveSnapshot(replicator.Snapshot, replicator.HardState, []replicator.Entry) error {
	return d.wait()
}

func (d *slowDisk) Rewrite(replicator.Snapshot, replicator.HardState, []replicator.Entry) error {
	if err := d.wait(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rewrites++
	return nil
}

func (d *slowDisk) set(gate chan struct{}, failing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate, d.failing = gate, failing
}

type nodes struct {
	list  map[replicator.ReplicaID]*replicator.Node
	disks map[replicator.ReplicaID]*slowDisk
	mu    sync.Mutex
	seen  map[replicator.ReplicaID]int // entries delivered
}

// Send delivers messages at once.
func (n *nodes) Send(messages []replicator.Message) {
	for _, m := range messages {
		if to := n.list[m.To]; to != nil {
			to.Receive([]replicator.Message{m})
		}
	}
}

func startNodes(t *testing.T, count int) *nodes {
	n := &nodes{
		list: make(map[replicator.ReplicaID]*replicator.Node), disks: make(map[replicator.ReplicaID]*slowDisk), seen: make(map[replicator.ReplicaID]int),
	}
	var ids []replicator.ReplicaID
	for i := range count {
		ids = append(ids, replicator.ReplicaID(fmt.Sprintf("vm%d.1", i+1)))
	}
	for i, id := range ids {
		core := &replicator.Core{Group: 1, ID: id, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(int64(i)))}
		core.Start(replicator.Saved{Snapshot: replicator.Snapshot{Voters: ids}}, time.Now())
		n.disks[id] = &slowDisk{}
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
			if d.gate != nil {
				close(d.gate)
				d.gate = nil
			}
			d.mu.Unlock()
		}
		cancel()
		done.Wait()
	})
	return n
}

func (n *nodes) leader() replicator.ReplicaID {
	for id, node := range n.list {
		if node.Status().Role == replicator.Leader {
			return id
		}
	}
	return ""
}

func (n *nodes) delivered(id replicator.ReplicaID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen[id]
}

const patience = 30 * time.Second // a generous end for polling

func eventually(c *quicktest.C, what string, cond func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	c.Fatalf("%s did not happen within %s", what, patience)
}

func (n *nodes) propose(c *quicktest.C, leader replicator.ReplicaID) {
	node := n.list[leader]
	node.Propose(c.Context(), registrar.Term(node.Status().Term), []byte("x"))
}

func TestLeaderWithAStalledDiskGoesOn(t *testing.T) {
	c := quicktest.New(t)
	n := startNodes(t, 3)
	eventually(c, "an election", func() bool { return n.leader() != "" })
	leader := n.leader()
	eventually(c, "the first commit", func() bool { return n.delivered(leader) > 0 })
	n.disks[leader].set(make(chan struct{}), false)
	before := n.delivered(leader)
	n.propose(c, leader)
	n.propose(c, leader)
	eventually(c, "a commit by the others", func() bool { return n.delivered(leader) >= before+2 })
	term := n.list[leader].Status().Term
	time.Sleep(2 * replicator.DefaultTiming.ElectionMax)
	c.Assert(n.leader(), quicktest.Equals, leader)
	c.Assert(n.list[leader].Status().Term, quicktest.Equals, term)
}

func TestReplicaWithAFailingDiskComesBack(t *testing.T) {
	c := quicktest.New(t)
	n := startNodes(t, 3)
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
	// The others fail now, so that a commit needs the replica that came back.
	for id, d := range n.disks {
		if id != other && id != leader {
			d.set(nil, true)
		}
	}
	before = n.delivered(leader)
	n.propose(c, leader)
	eventually(c, "a commit with the disk that came back", func() bool { return n.delivered(leader) > before })
}
