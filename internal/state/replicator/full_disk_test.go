package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// This file tests nodes that store their logs in files on disks that are full for
// some seconds, one after another. Time is simulated.

// fillableDisk is a disk whose writes fail while it is full. The first bytes of a
// failed write are written.
type fillableDisk struct {
	mu     sync.Mutex
	rand   *rand.Rand
	full   bool
	failed int // writes
}

func (d *fillableDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// refuse returns an error and the number of bytes that are written nevertheless,
// if the disk is full. A write takes a few milliseconds.
func (d *fillableDisk) refuse(size int) (int, error) {
	time.Sleep(2 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.full {
		return size, nil
	}
	d.failed++
	return d.rand.Intn(size + 1), syscall.ENOSPC
}

// Create creates a file; on a full disk, every second time.
func (d *fillableDisk) Create(path string) (storer.File, error) {
	if n, err := d.refuse(1); err != nil && n == 0 {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	return &fillableFile{f, d}, err
}

// Rename renames a file.
func (d *fillableDisk) Rename(from, to string) error {
	if _, err := d.refuse(0); err != nil {
		return err
	}
	return os.Rename(from, to)
}

// Remove removes a file, which a full disk allows.
func (d *fillableDisk) Remove(path string) error { return os.Remove(path) }

// SyncFolder syncs nothing.
func (d *fillableDisk) SyncFolder(string) error {
	_, err := d.refuse(0)
	return err
}

type fillableFile struct {
	file *os.File
	disk *fillableDisk
}

// Write writes p, or its first bytes.
func (f *fillableFile) Write(p []byte) (int, error) {
	n, refused := f.disk.refuse(len(p))
	n, err := f.file.Write(p[:n])
	return n, errors.Join(refused, err)
}

// Sync syncs nothing.
func (f *fillableFile) Sync() error {
	_, err := f.disk.refuse(0)
	return err
}

// Close closes the file.
func (f *fillableFile) Close() error { return f.file.Close() }

// diskNode is a node with a disk that can be stopped and started again.
type diskNode struct {
	name   string
	id     replicator.ReplicaID
	folder string
	disk   *fillableDisk
	node   atomic.Pointer[replicator.Node]
	stop   func()

	mu      sync.Mutex
	applied []string
	index   registrar.Index
}

// diskGroup is a group of such nodes with links that take a few milliseconds.
type diskGroup struct {
	c     *quicktest.C
	rand  *rand.Rand
	nodes []*diskNode

	mu      sync.Mutex
	history []string // longest applied sequence seen
	problem string
	next    int    // number of the next proposal
	padding string // of the values
}

const compactAfter = 40 // entries

// Send delivers messages after a delay. It is called by each node's goroutine.
func (g *diskGroup) Send(messages []replicator.Message) {
	for _, m := range messages {
		time.AfterFunc(3*time.Millisecond, func() {
			for _, n := range g.nodes {
				if node := n.node.Load(); node != nil && n.id != m.From && (m.To == n.id || m.To == "") {
					node.Receive([]replicator.Message{m})
				}
			}
		})
	}
}

func newDiskGroup(c *quicktest.C, seed int64, voters, joiners int) *diskGroup {
	g := &diskGroup{c: c, rand: rand.New(rand.NewSource(seed))}
	folder := c.TempDir()
	var ids []replicator.ReplicaID
	for i := range voters {
		ids = append(ids, replicator.ReplicaID(fmt.Sprintf("10.0.0.%d:7.1", i+1)))
	}
	for i := range voters + joiners {
		n := &diskNode{name: fmt.Sprintf("10.0.0.%d:7", i+1), folder: filepath.Join(folder, fmt.Sprint(i))}
		n.id = replicator.ReplicaID(n.name + ".1")
		n.disk = &fillableDisk{rand: rand.New(rand.NewSource(g.rand.Int63()))}
		identity := storer.Identity{Cell: "c", Group: 1, Replica: n.id}
		if i < voters {
			identity.Voters = ids
		}
		c.Assert(storer.Prepare(n.folder, identity), quicktest.IsNil)
		g.nodes = append(g.nodes, n)
	}
	for _, n := range g.nodes {
		g.start(n)
	}
	return g
}

// start opens the folder of a node and runs it.
func (g *diskGroup) start(n *diskNode) {
	store := &storer.Storer{Folder: n.folder, Files: n.disk}
	_, saved, err := store.Open(storer.Identity{Cell: "c", Group: 1, Replica: n.id})
	g.c.Assert(err, quicktest.IsNil)
	core := &replicator.Core{
		Group: 1, ID: n.id, Durable: true, OpenMembership: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(g.rand.Int63())),
	}
	core.Start(saved, time.Now())
	n.mu.Lock()
	n.applied, n.index = splitValues(saved.Snapshot.Data), saved.Snapshot.Index
	g.compare(n, 0)
	n.mu.Unlock()
	node := &replicator.Node{Core: core, Storage: store, Sender: g, Now: time.Now}
	node.Open()
	ctx, cancel := context.WithCancel(g.c.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = node.Run(ctx) })
	done.Go(func() {
		compactedAt := n.index
		for u := range node.Updates() {
			g.apply(n, &u)
			if n.index >= compactedAt+compactAfter {
				compactedAt = n.index
				node.Compact(ctx, n.index, joinValues(n.applied))
			}
		}
	})
	n.node.Store(node)
	n.stop = func() {
		cancel()
		done.Wait()
		_ = store.Close() // the disk may be full
	}
}

func (g *diskGroup) apply(n *diskNode, u *replicator.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from := len(n.applied)
	if u.Snapshot != nil {
		n.applied, n.index = splitValues(u.Snapshot.Data), u.Snapshot.Index
		from = 0
	}
	for _, e := range u.Entries {
		if e.Index != n.index+1 {
			g.report("%s applied index %d after %d", n.name, e.Index, n.index)
		}
		n.index = e.Index
		if e.Type == replicator.EntryNormal {
			n.applied = append(n.applied, string(e.Data))
		}
	}
	g.compare(n, from)
}

// compare compares the values that a node has applied, from a position on, with
// those of the others.
func (g *diskGroup) compare(n *diskNode, from int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := from; i < len(n.applied); i++ {
		if i == len(g.history) {
			g.history = append(g.history, n.applied[i])
		}
		if g.history[i] != n.applied[i] {
			g.problem = n.name + " applied a different sequence than an earlier replica"
			return
		}
	}
}

func (g *diskGroup) report(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.problem = fmt.Sprintf(format, args...)
}

// restart stops a node and starts it again from its files.
func (g *diskGroup) restart(n *diskNode) {
	n.stop()
	g.start(n)
}

// describe returns the status of each node.
func (g *diskGroup) describe() string {
	var out strings.Builder
	for _, n := range g.nodes {
		st := n.node.Load().Status()
		n.mu.Lock()
		fmt.Fprintf(&out, "%s: %s, term %d, leader %q, commit %d, applied %d, voters %v, lease %t\n",
			n.name, st.Role, st.Term, st.Leader, st.Commit, n.index, st.Voters, time.Now().Before(st.LeaseUntil))
		n.mu.Unlock()
	}
	return out.String()
}

func (g *diskGroup) stop() {
	for _, n := range g.nodes {
		n.stop()
	}
}

// leader returns the node that leads in the highest term, or nil. After a transfer
// that failed it has no lease.
func (g *diskGroup) leader() *diskNode {
	var lead *diskNode
	term := registrar.Term(0)
	for _, n := range g.nodes {
		if st := n.node.Load().Status(); st.Role == replicator.Leader && st.Term > term {
			lead, term = n, st.Term
		}
	}
	return lead
}

// propose proposes the next value at the leader, if there is one.
func (g *diskGroup) propose() {
	lead := g.leader()
	if lead == nil {
		return
	}
	g.next++
	lead.node.Load().Propose(g.c.Context(), lead.node.Load().Status().Term, []byte(fmt.Sprintf("v%d", g.next)+g.padding))
}

func (g *diskGroup) committed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.history)
}

// lagging returns the number of nodes that have not applied every value.
func (g *diskGroup) lagging() int {
	count := g.committed()
	lagging := 0
	for _, n := range g.nodes {
		n.mu.Lock()
		if len(n.applied) < count {
			lagging++
		}
		n.mu.Unlock()
	}
	return lagging
}

// work proposes values for the given time.
func (g *diskGroup) work(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(10+g.rand.Intn(80)) * time.Millisecond) {
		g.propose()
	}
}

// fillInTurn makes the disk of each node full, in random order and never two at
// once. Meanwhile the node or another one may be restarted, or the leader
// transfers its leadership.
func (g *diskGroup) fillInTurn() {
	for _, i := range g.rand.Perm(len(g.nodes)) {
		n := g.nodes[i]
		if lead := g.leader(); lead != nil && g.rand.Intn(3) == 0 {
			n = lead
		}
		n.disk.setFull(true)
		g.work(time.Duration(500+g.rand.Intn(2500)) * time.Millisecond)
		switch other := g.nodes[g.rand.Intn(len(g.nodes))]; g.rand.Intn(5) {
		case 0:
			g.restart(n)
		case 1:
			if other != n {
				g.restart(other)
			}
		case 2:
			if lead := g.leader(); lead != nil {
				lead.node.Load().TransferLeadership(g.c.Context())
			}
		}
		g.work(time.Duration(500+g.rand.Intn(2500)) * time.Millisecond)
		n.disk.setFull(false)
		g.work(time.Duration(g.rand.Intn(4000)) * time.Millisecond)
	}
}

// Four seconds are the bound for the answer to an operator's change.
const commitBound = 4 * time.Second

func TestProposalsCommitAfterDisksWereFullInTurn(t *testing.T) {
	for seed := range seedCount(16) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				joiners := 2
				if seed%8 == 7 {
					joiners = 6
				}
				g := newDiskGroup(c, seed, 3, joiners)
				defer g.stop()
				if seed%4 == 1 {
					g.padding = strings.Repeat("x", 1024) // a snapshot is sent in chunks
				}
				g.work(5 * time.Second)
				c.Assert(g.committed() > 0, quicktest.IsTrue)
				for range 2 {
					g.fillInTurn()
				}
				before, start := g.committed(), time.Now()
				for g.committed() == before || g.lagging() > 0 {
					c.Assert(time.Since(start) < commitBound, quicktest.IsTrue, quicktest.Commentf("%d values committed, %d nodes lag behind\n%s", g.committed()-before, g.lagging(), g.describe()))
					if g.committed() == before {
						g.propose()
					}
					time.Sleep(100 * time.Millisecond)
				}
				g.stop()
				failed := 0
				for _, n := range g.nodes {
					failed += n.disk.failed
				}
				c.Assert(failed > 0, quicktest.IsTrue)
				c.Assert(g.problem, quicktest.Equals, "")
			})
		})
	}
}
