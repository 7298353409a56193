// Package replica implements the gRPC protocol between daemons: messages of the
// replicated log, the session between a daemon and the leader, forwarded operator
// calls, answers held by a daemon, and HTTP calls relayed between regions. Messages are encoded as CBOR by the
// fxamacker library, so the service needs no generated code.
package replica

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file defines the messages, the codec and the gRPC service.

// Envelope carries messages of the replicated log.
type Envelope struct {
	Messages []replicator.Message `cbor:"1,keyasint"`
}

// Ack acknowledges envelopes, so that their sender can detect a dead connection.
type Ack struct {
	Count uint64 `cbor:"1,keyasint"`
}

// Call is an operator's call that is forwarded to the leader.
type Call struct {
	Method   string `cbor:"1,keyasint"`
	Body     []byte `cbor:"2,keyasint"`
	Operator string `cbor:"3,keyasint,omitempty"`
}

// CallReply answers a Call. NotLeader names the leader, if it is known.
type CallReply struct {
	Body      []byte               `cbor:"1,keyasint,omitempty"`
	NotLeader bool                 `cbor:"2,keyasint,omitempty"`
	Leader    replicator.ReplicaID `cbor:"3,keyasint,omitempty"`
}

// AnswerQuery asks for the answer that a daemon holds for a request.
type AnswerQuery struct {
	Caller registrar.CallerName `cbor:"1,keyasint"`
	Key    registrar.Key        `cbor:"2,keyasint"`
}

// AnswerReply returns the answer to an AnswerQuery, if the daemon holds it.
type AnswerReply struct {
	Held   bool   `cbor:"1,keyasint,omitempty"`
	Status int    `cbor:"2,keyasint,omitempty"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
	Type   string `cbor:"4,keyasint,omitempty"`
}

// RelayCall is an HTTP call that is forwarded to a daemon of another region.
type RelayCall struct {
	Method string            `cbor:"1,keyasint"`
	Path   string            `cbor:"2,keyasint"`
	Query  string            `cbor:"3,keyasint,omitempty"`
	Header map[string]string `cbor:"4,keyasint,omitempty"`
	Body   []byte            `cbor:"5,keyasint,omitempty"`
}

// RelayReply is the complete answer of a relayed call.
type RelayReply struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
}

// Handler handles messages and calls from other daemons.
type Handler interface {
	// Receive handles messages of the replicated log.
	Receive(messages []replicator.Message)
	// Session runs one session on the leader's side until it ends. Send
	// passes a message to the daemon, Recv returns the next one from it.
	Session(ctx context.Context, stream SessionStream) error
	// Call serves an operator's call if this daemon leads.
	Call(ctx context.Context, call *Call) (*CallReply, error)
	// Answer returns an answer that this daemon holds.
	Answer(ctx context.Context, q *AnswerQuery) (*AnswerReply, error)
	// Relay serves an HTTP call that a daemon of another region forwards.
	Relay(ctx context.Context, c *RelayCall) (*RelayReply, error)
}

// SessionStream is the leader's end of a session.
type SessionStream interface {
	Send(*decider.Downstream) error
	Recv() (*decider.Upstream, error)
}

// NewCodec returns the codec of all messages.
func NewCodec() encoding.Codec { return codec{} }

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return cbor.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
func (codec) Name() string                       { return "cbor" }

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		UTF8: cbor.UTF8DecodeInvalid, // one call that is not text must not end the stream with all others
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

const (
	maxElements = 1 << 20
	maxMessage  = 64 << 20
	serviceName = "masticroad.Replica"
)

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Methods: []grpc.MethodDesc{
		{MethodName: "Call", Handler: unary(func(h Handler, ctx context.Context, in *Call) (*CallReply, error) { return h.Call(ctx, in) })},
		{MethodName: "Answer", Handler: unary(func(h Handler, ctx context.Context, in *AnswerQuery) (*AnswerReply, error) {
			return h.Answer(ctx, in)
		})},
		{MethodName: "Relay", Handler: unary(func(h Handler, ctx context.Context, in *RelayCall) (*RelayReply, error) {
			return h.Relay(ctx, in)
		})},
	},
	Streams: []grpc.StreamDesc{
		{StreamName: "Deliver", Handler: serveDeliver, ServerStreams: true, ClientStreams: true},
		{StreamName: "Session", Handler: serveSession, ServerStreams: true, ClientStreams: true},
	},
}

func unary[In, Out any](f func(Handler, context.Context, *In) (*Out, error)) grpc.MethodHandler {
	return func(srv any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		in := new(In)
		if err := dec(in); err != nil {
			return nil, err
		}
		return f(srv.(Handler), ctx, in)
	}
}
