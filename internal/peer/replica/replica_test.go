package replica_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/decider"
	"masticroad/internal/peer/replica"
	"masticroad/internal/state/replicator"
)

func FuzzCodec(f *testing.F) {
	codec := replica.NewCodec()
	for _, v := range []any{
		&replica.Envelope{Messages: []replicator.Message{{Type: replicator.MsgAppend, From: "vm1.1", Entries: []replicator.Entry{{Index: 1}}}}},
		&decider.Upstream{Admits: []decider.Admit{{Caller: "a", Key: "b"}}},
		&decider.Downstream{Settled: []decider.TaskAttempt{{Task: 1, Attempt: 1}}},
	} {
		data, err := codec.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, v := range []any{
			&replica.Envelope{}, &decider.Upstream{}, &decider.Downstream{}, &replica.Call{}, &replica.CallReply{},
			&replica.AnswerQuery{}, &replica.AnswerReply{}, &replica.RelayCall{}, &replica.RelayReply{},
		} {
			_ = codec.Unmarshal(data, v) // must not panic
		}
	})
}

// receiver passes received messages to a node.
type receiver struct {
	replica.Handler
	node *replicator.Node
}

func (r receiver) Receive(messages []replicator.Message) { r.node.Receive(messages) }

// member is a replica that serves gRPC on loopback.
type member struct {
	node     *replicator.Node
	client   *replica.Client
	listener net.Listener
}

func newMember(c *quicktest.C, id replicator.ReplicaID, saved replicator.StoredState) *member {
	core := &replicator.Core{Group: 1, ID: id, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(1))}
	core.Start(saved, time.Now())
	m := &member{node: &replicator.Node{Core: core, Storage: replicator.MemoryStorage{}, Now: time.Now}}
	m.node.Open()
	var err error
	m.listener, err = net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	return m
}

func (m *member) run(ctx context.Context, other *member) {
	m.client = &replica.Client{Traffic: &replica.Traffic{}}
	m.client.Peers = []replica.Peer{{Name: "vm1", Address: other.listener.Addr().String()}, {Name: "vm2", Address: other.listener.Addr().String()}}
	m.client.Open()
	m.node.Sender = m.client
	server := &replica.Server{Handler: receiver{node: m.node}, Listener: m.listener, Traffic: &replica.Traffic{}}
	go func() { _ = server.Run(ctx) }() // ends with ctx
	go m.client.Run(ctx)
	go func() { _ = m.node.Run(ctx) }() // ends with ctx
}

// BenchmarkCatchUp measures how long an empty learner takes to receive a
// snapshot from a leader over loopback.
func BenchmarkCatchUp(b *testing.B) {
	for _, size := range []int{256 << 10, 1 << 20, 4 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			for b.Loop() {
				catchUp(quicktest.New(b), size)
			}
		})
	}
}

func catchUp(c *quicktest.C, size int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	voters := []replicator.ReplicaID{"vm1.1"}
	snap := replicator.Snapshot{Index: 100, Term: 1, Voters: voters, Data: make([]byte, size)}
	leader := newMember(c, "vm1.1", replicator.StoredState{Hard: replicator.HardState{Term: 1}, Snapshot: snap})
	learner := newMember(c, "vm2.1", replicator.StoredState{Snapshot: replicator.Snapshot{Voters: voters}})
	leader.run(ctx, learner)
	learner.run(ctx, leader)
	go func() {
		for range leader.node.Updates() {
			continue
		}
	}()
	for u := range learner.node.Updates() {
		if u.Snapshot != nil {
			c.Assert(u.Snapshot.Data, quicktest.HasLen, size)
			return
		}
	}
}

func TestEmptyLearnerReceivesSnapshot(t *testing.T) {
	catchUp(quicktest.New(t), 300<<10)
}
