package coordinator_test

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
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
	"masticroad/internal/workflow/tracker"
)

// This file tests answers to calls with keys.

// link delivers messages to another node of the process until it is cut.
type link struct {
	to  *replicator.Node
	cut *atomic.Bool
}

func (l *link) Send(messages []replicator.Message) {
	if len(messages) > 0 && !l.cut.Load() { // empty batches would make the nodes wake each other without end
		l.to.Receive(messages)
	}
}

// lateClock shows a time at which each lease of a leader is over, so that each read has to be confirmed.
type lateClock struct{}

func (lateClock) Now() planner.Moment {
	now := time.Now().Add(time.Hour)
	return planner.Moment{Monotonic: now, Wall: registrar.MillisOf(now)}
}

// pairOfReplicas is a cell of two replicas, of which the first one has a coordinator.
type pairOfReplicas struct {
	*coordinator.Coordinator
	c     *quicktest.C
	nodes [2]*replicator.Node
	cut   atomic.Bool
}

func startPair(c *quicktest.C) *pairOfReplicas {
	p := &pairOfReplicas{c: c}
	voters := []replicator.ReplicaID{"a.1", "b.1"}
	links := [2]link{}
	for i, id := range voters {
		core := &replicator.Core{
			Group: 1, ID: id, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(int64(i))), Format: coordinator.Announced(tracker.CurrentFormat),
		}
		core.Start(replicator.StoredState{Hard: replicator.HardState{Term: 1}, Snapshot: replicator.Snapshot{Voters: voters}}, time.Now())
		links[i].cut = &p.cut
		p.nodes[i] = &replicator.Node{Core: core, Storage: replicator.MemoryStorage{}, Sender: &links[i], Now: time.Now}
		p.nodes[i].Open()
	}
	links[0].to, links[1].to = p.nodes[1], p.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	p.Coordinator = &coordinator.Coordinator{
		Node: p.nodes[0], Clock: lateClock{}, Log: hclog.NewNullLogger(), Planner: &planner.Planner{}, MaxBytes: 1 << 20, OnLeaderChange: func(string, registrar.Term) {},
	}
	p.Open(ctx)
	var parts sync.WaitGroup
	for _, n := range p.nodes {
		parts.Go(func() { _ = n.Run(ctx) })
	}
	parts.Go(func() { _ = p.Run() })
	parts.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-p.nodes[1].Updates():
			case <-ctx.Done():
			}
		}
	})
	c.Cleanup(func() { cancel(); parts.Wait() })
	return p
}

// answer makes a call and returns its verdict, 0 if there is none in a while.
func (p *pairOfReplicas) answer(call leader.Call) planner.Verdict {
	done := make(chan planner.Verdict, 1)
	p.Handle(p.c.Context(), call, func(r leader.Reply) { done <- r.Verdict })
	select {
	case v := <-done:
		return v
	case <-time.After(time.Second):
		return 0
	}
}

// await repeats a call until it is accepted.
func (p *pairOfReplicas) await(call leader.Call) {
	p.c.Helper()
	for end := time.Now().Add(30 * time.Second); p.answer(call) != planner.Accepted; time.Sleep(20 * time.Millisecond) {
		p.c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("%s is not accepted", call.Kind()))
		p.nodes[1].TransferLeadership(p.c.Context())
	}
}

// A leader is cut off from the other replicas, which may elect another one that puts a document with other keys into
// force. Guards against answers by the keys of the former document, which need no commit.
func TestLeaderThatIsCutOffAnswersNothingByItsKeys(t *testing.T) {
	c := quicktest.New(t)
	p := startPair(c)
	p.await(leader.Call{Put: &definer.Document{
		Version: 1, Pools: []definer.Pool{{Name: "p"}}, Queues: []definer.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}},
		Workspaces: []definer.Workspace{{Name: "a", Keys: []definer.Key{"key"}}},
	}})
	place := &leader.Place{Host: "h", Path: "/q/" + definer.JobID(7).String(), Key: "key"}
	submit := leader.Call{Submit: &planner.Submission{Host: place.Host, Path: place.Path, Job: &definer.Job{ID: 7, Steps: []definer.Step{{Count: 1}}}, Credential: planner.Credential{Key: "key"}}}
	unknown := &leader.Place{Host: place.Host, Path: place.Path, Key: "other"}
	calls := []leader.Call{submit, {State: place}, {Cancel: place}, {Authenticate: place}, {Cancel: place}}
	for _, call := range calls {
		p.await(call) // the last ones repeat what needs no commit
	}
	c.Assert(p.answer(leader.Call{Cancel: unknown}), quicktest.Equals, planner.Unauthorized)
	p.cut.Store(true)
	for _, call := range append(calls, leader.Call{Cancel: unknown}, leader.Call{State: unknown}) {
		v := p.answer(call)
		c.Check(v == 0 || v == planner.Uncertain, quicktest.IsTrue, quicktest.Commentf("%s: %s", call.Kind(), v))
	}
}
