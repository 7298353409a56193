package coordinator_test

import (
	"context"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/coordinator"
	"masticroad/internal/peer/leader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
)

// gate lets a goroutine pass until it is closed.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // nil: open
}

func (g *gate) pass() {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut != nil {
		<-shut
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// gatedDisk is a disk whose writes stall while its gate is closed.
type gatedDisk struct {
	replicator.MemoryStorage
	*gate
}

func (d gatedDisk) Save(replicator.HardState, []replicator.Entry) error {
	d.pass()
	return nil
}

// gatedSender holds up the replica's goroutine while its gate is closed.
type gatedSender struct{ *gate }

func (s gatedSender) Send([]replicator.Message) { s.pass() }

// lone is the only replica of a cell, which leads.
type lone struct {
	*coordinator.Coordinator
	disk, loop gate
}

func startLone(c *quicktest.C) *lone {
	l := &lone{}
	const own = replicator.ReplicaID("a.1")
	core := &replicator.Core{Group: 1, ID: own, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(1))}
	core.Start(replicator.StoredState{Hard: replicator.HardState{Term: 1}, Snapshot: replicator.Snapshot{Voters: []replicator.ReplicaID{own}}}, time.Now())
	node := &replicator.Node{Core: core, Storage: gatedDisk{gate: &l.disk}, Sender: gatedSender{&l.loop}, Now: time.Now}
	node.Open()
	ctx, cancel := context.WithCancel(context.Background())
	l.Coordinator = &coordinator.Coordinator{
		Node: node, Clock: systemClock{}, Log: hclog.NewNullLogger(), Planner: &planner.Planner{}, MaxBytes: 1 << 20,
		OnLeaderChange: func(string, registrar.Term) {},
	}
	l.Open(ctx)
	var parts sync.WaitGroup
	parts.Go(func() { _ = node.Run(ctx) })
	parts.Go(func() { _ = l.Run() })
	c.Cleanup(func() {
		l.disk.open()
		l.loop.open()
		cancel()
		parts.Wait()
	})
	for !l.Leading() {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond) // the first rounds, such as the one that raises the format
	return l
}

func (l *lone) stepDown() {
	l.Node.StepDown(context.Background(), l.Node.Status().Term)
}

// put returns a call that changes the state, and the channel of its reply.
func (l *lone) put() chan leader.Reply {
	out := make(chan leader.Reply, 1)
	l.Handle(context.Background(), leader.Call{ID: 7, Put: &definer.Document{Version: 1}}, func(r leader.Reply) { out <- r })
	return out
}

func receive(c *quicktest.C, replies <-chan leader.Reply) leader.Reply {
	select {
	case r := <-replies:
		return r
	case <-time.After(10 * time.Second):
		c.Fatal("the call was not answered")
		return leader.Reply{}
	}
}

// Guards against a call that is reported as not taken although its decision is in the log,
// from where a later leader may commit it.
func TestCallInTheLogIsUncertainWhenLeadershipIsLost(t *testing.T) {
	c := quicktest.New(t)
	l := startLone(c)
	l.disk.close()
	replies := l.put()
	time.Sleep(100 * time.Millisecond) // the round is proposed, and its write stalls
	l.stepDown()
	r := receive(c, replies)
	c.Assert(r.ID, quicktest.Equals, uint64(7))
	c.Assert(r.Verdict, quicktest.Equals, planner.Uncertain)
	c.Assert(r.NotTaken, quicktest.IsFalse)
}

// Guards against a call that is reported as uncertain, or never answered, although its
// decision was not in the log when the replica stepped down.
func TestCallIsNotTakenWhenItsProposalComesTooLate(t *testing.T) {
	c := quicktest.New(t)
	l := startLone(c)
	l.loop.close()
	l.stepDown()
	replies := l.put()
	time.Sleep(100 * time.Millisecond) // the round is decided, and its proposal waits behind the end of the leadership
	l.loop.open()
	r := receive(c, replies)
	c.Assert(r.Verdict, quicktest.Equals, planner.Uncertain)
	c.Assert(r.NotTaken, quicktest.IsTrue)
}

// Guards against a call that reaches a replica without leadership and counts as uncertain.
func TestCallIsNotTakenByAReplicaThatDoesNotLead(t *testing.T) {
	c := quicktest.New(t)
	l := startLone(c)
	l.disk.close() // no new election succeeds
	l.stepDown()
	for l.Leading() {
		time.Sleep(time.Millisecond)
	}
	r := receive(c, l.put())
	c.Assert(r.Verdict, quicktest.Equals, planner.Uncertain)
	c.Assert(r.NotTaken, quicktest.IsTrue)
}

// Guards against a job that is reported as not taken while its answer waits for the confirmation
// of the leader, though its acceptance is committed.
func TestAcceptedJobIsUncertainWhenItsAnswerIsNotConfirmed(t *testing.T) {
	c := quicktest.New(t)
	p := startPair(c)
	p.await(leader.Call{Put: &definer.Document{
		Version: 1, Pools: []definer.Pool{{Name: "p"}}, Queues: []definer.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}},
		Workspaces: []definer.Workspace{{Name: "a", Keys: []definer.Key{"key"}}},
	}})
	submit := func(id definer.JobID, key definer.Key) leader.Call {
		return leader.Call{Submit: &planner.Submission{
			Host: "h", Path: "/q/" + id.String(), Job: &definer.Job{ID: id, Steps: []definer.Step{{Count: 1}}}, Credential: planner.Credential{Key: key},
		}}
	}
	p.await(submit(7, "key"))
	p.cut.Store(true)
	for _, test := range []struct {
		call     leader.Call
		notTaken bool
	}{
		{submit(7, "key"), false}, {submit(8, "other"), true}, {leader.Call{State: &leader.Place{Host: "h", Path: "/q/7", Key: "key"}}, true},
	} {
		replies := make(chan leader.Reply, 1)
		p.Handle(c.Context(), test.call, func(r leader.Reply) { replies <- r })
		r := receive(c, replies)
		c.Check(r.Verdict, quicktest.Equals, planner.Uncertain)
		c.Check(r.NotTaken, quicktest.Equals, test.notTaken, quicktest.Commentf("%s: %s", test.call.Kind(), r.Reason))
	}
}
