package replica_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"masticroad/internal/peer/leader"
	"masticroad/internal/peer/replica"
)

// This file tests that a handler that panics ends its own stream and nothing else.

type panicky struct{ answer leader.Welcome }

func (p panicky) Work(_ context.Context, stream leader.Stream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Hello == nil {
		panic("deliberate")
	}
	return stream.Send(&leader.Down{Welcome: &p.answer})
}

func TestPanicInAHandlerEndsItsStreamAlone(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	server := &replica.Server{
		Listener: l, Traffic: &replica.Traffic{},
		Register: func(r grpc.ServiceRegistrar) { leader.Register(r, panicky{leader.Welcome{Leader: "x"}}) },
	}
	go func() { _ = server.Run(ctx) }()
	client := &replica.Client{NamedByAddress: true, Traffic: &replica.Traffic{}}
	conn, err := client.Dial(l.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = conn.Close() }()
	for range 3 {
		stream, err := leader.Open(ctx, conn)
		c.Assert(err, quicktest.IsNil)
		c.Assert(stream.Send(&leader.Up{Ping: true}), quicktest.IsNil)
		_, err = stream.Recv()
		c.Assert(err, quicktest.ErrorMatches, "(?s).*panic: deliberate.*")
	}
	stream, err := leader.Open(ctx, conn)
	c.Assert(err, quicktest.IsNil)
	c.Assert(stream.Send(&leader.Up{Hello: &leader.Hello{Daemon: "d"}}), quicktest.IsNil)
	down, err := stream.Recv()
	c.Assert(err, quicktest.IsNil)
	c.Assert(down.Welcome.Leader, quicktest.Equals, "x")
}
