package replica

import (
	"cmp"
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"masticroad/internal/control/decider"
)

// This file implements the server.

const (
	ackInterval         = 300 * time.Millisecond
	keepaliveInterval   = 10 * time.Second
	keepaliveTimeout    = 3 * time.Second
	gracefulStopTimeout = time.Second
	windowSize          = 1 << 20
	handshakeTimeout    = 5 * time.Second // other programs may connect and say nothing
	maxHeaderListBytes  = 64 << 10
)

// Server serves the protocol. The exported fields are set before Run.
type Server struct {
	Handler     Handler
	Listener    net.Listener
	Credentials credentials.TransportCredentials // nil: without TLS
	Traffic     *Traffic
	// Register, when set, adds further services.
	Register func(grpc.ServiceRegistrar)
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	opts := []grpc.ServerOption{
		grpc.ForceServerCodec(codec{}),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	opts = append(opts, grpc.ChainUnaryInterceptor(recoverCall), grpc.ChainStreamInterceptor(recoverStream))
	if s.Credentials != nil {
		opts = append(opts, grpc.Creds(s.Credentials))
	}
	g := grpc.NewServer(opts...)
	g.RegisterService(&serviceDesc, s.Handler)
	if s.Register != nil {
		s.Register(g)
	}
	go func() {
		<-ctx.Done()
		timer := time.AfterFunc(gracefulStopTimeout, g.Stop)
		g.GracefulStop()
		timer.Stop()
	}()
	return g.Serve(countingListener{s.Listener, s.Traffic})
}

// recoverCall ends a call whose handler panics, and no other.
func recoverCall(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
	defer func() { err = cmp.Or(panicError(recover()), err) }()
	return next(ctx, req)
}

// recoverStream is recoverCall for streams.
func recoverStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer func() { err = cmp.Or(panicError(recover()), err) }()
	return next(srv, stream)
}

func panicError(x any) error {
	if x == nil {
		return nil
	}
	return status.Errorf(codes.Internal, "panic: %v\n%s", x, debug.Stack())
}

// serveDeliver handles envelopes and acknowledges them every ackInterval, so that
// the sender detects a dead connection.
func serveDeliver(srv any, stream grpc.ServerStream) error {
	h := srv.(Handler)
	var count atomic.Uint64
	go sendAcks(stream, &count)
	for {
		var e Envelope
		if err := stream.RecvMsg(&e); err != nil {
			return err
		}
		count.Add(1)
		h.Receive(e.Messages)
	}
}

func sendAcks(stream grpc.ServerStream, count *atomic.Uint64) {
	tick := time.NewTicker(ackInterval)
	defer tick.Stop()
	acked := uint64(0)
	for {
		select {
		case <-stream.Context().Done():
			return
		case <-tick.C:
		}
		n := count.Load()
		if n == acked {
			continue
		}
		acked = n
		if stream.SendMsg(&Ack{Count: n}) != nil {
			return
		}
	}
}

func serveSession(srv any, stream grpc.ServerStream) error {
	return srv.(Handler).Session(stream.Context(), serverSession{stream})
}

type serverSession struct {
	stream grpc.ServerStream
}

func (s serverSession) Send(m *decider.Downstream) error { return s.stream.SendMsg(m) }

func (s serverSession) Recv() (*decider.Upstream, error) {
	m := &decider.Upstream{}
	return m, s.stream.RecvMsg(m)
}
