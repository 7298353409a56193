// Package leader defines the gRPC stream between a daemon and the leader of a
// workflow cell. It carries calls to the leader, and replies and ticket requests
// to the daemon. Messages are encoded as CBOR.
package leader

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file defines the messages and the gRPC service. A reply carries the ID of
// its call; a submission is answered once the job is stored.

// Up is what a daemon sends to the leader. The first message has Hello set.
type Up struct {
	Hello   *Hello                 `cbor:"1,keyasint,omitempty"`
	Calls   []Call                 `cbor:"2,keyasint,omitempty"`
	Tickets []planner.TicketReport `cbor:"3,keyasint,omitempty"`
	Ping    bool                   `cbor:"4,keyasint,omitempty"`
}

// Down is what the leader sends to a daemon. The first message has Welcome set.
type Down struct {
	Welcome        *Welcome                `cbor:"1,keyasint,omitempty"`
	Replies        []Reply                 `cbor:"2,keyasint,omitempty"`
	TicketRequests []planner.TicketRequest `cbor:"3,keyasint,omitempty"`
}

// Hello names the daemon that opens a stream.
type Hello struct {
	Daemon string `cbor:"1,keyasint"`
	// Watch requests only the current leader and a Welcome at each change of leader.
	Watch bool `cbor:"2,keyasint,omitempty"`
	// Keys tells that the daemon passes the keys of callers on.
	Keys bool `cbor:"3,keyasint,omitempty"`
}

// Welcome reports the leader. It is the first message of a stream, and is sent
// again on each change of leader if Hello.Watch was set. On a calling stream it is
// sent again when its daemon stops leading; calls that come after it are not taken.
type Welcome struct {
	Leading bool           `cbor:"1,keyasint,omitempty"` // the daemon that was called leads
	Leader  string         `cbor:"2,keyasint,omitempty"` // address of the leader; empty if unknown
	Members []string       `cbor:"3,keyasint,omitempty"` // addresses of the voters
	Term    registrar.Term `cbor:"4,keyasint,omitempty"` // term of Leader
}

// Call is a request to the leader. Exactly one of the fields after ID is set, beside
// Departing.
// After a lost stream a call may be sent again with another ID; every call names
// its subject, so calls are idempotent.
type Call struct {
	ID         uint64                `cbor:"1,keyasint"`
	Submit     *planner.Submission   `cbor:"2,keyasint,omitempty"`
	State      *Place                `cbor:"3,keyasint,omitempty"` // of a job or a queue
	Cancel     *Place                `cbor:"4,keyasint,omitempty"`
	Announce   *planner.Announcement `cbor:"5,keyasint,omitempty"`
	Depart     tracker.TargetID      `cbor:"6,keyasint,omitempty"`
	Put        *definer.Document     `cbor:"7,keyasint,omitempty"`
	Fetch      bool                  `cbor:"8,keyasint,omitempty"` // fetches the active document
	Wave       *tracker.WavePut      `cbor:"9,keyasint,omitempty"`
	WaveStatus tracker.WaveID        `cbor:"10,keyasint,omitempty"`
	Departing  tracker.Incarnation   `cbor:"11,keyasint,omitempty"` // of Depart; 0: not known
	// Authenticate asks only whether a call to the place would be refused for its key.
	Authenticate *Place `cbor:"12,keyasint,omitempty"`
}

// Kind returns the name of the field that is set.
func (c *Call) Kind() string {
	switch {
	case c.Submit != nil:
		return "Submit"
	case c.State != nil:
		return "State"
	case c.Cancel != nil:
		return "Cancel"
	case c.Authenticate != nil:
		return "Authenticate"
	case c.Announce != nil:
		return "Announce"
	case c.Depart != "":
		return "Depart"
	case c.Put != nil:
		return "Put"
	case c.Fetch:
		return "Fetch"
	case c.Wave != nil:
		return "Wave"
	case c.WaveStatus != 0:
		return "WaveOf"
	}
	return "None"
}

// HasEffect reports whether a call may change the replicated state.
func (c *Call) HasEffect() bool {
	return c.State == nil && !c.Fetch && c.WaveStatus == 0 && c.Authenticate == nil
}

// Subject returns the job, queue, target, document version or wave that a call
// refers to.
func (c *Call) Subject() string {
	switch {
	case c.Submit != nil:
		return c.Submit.Job.ID.String()
	case c.State != nil:
		return c.State.Path
	case c.Cancel != nil:
		return c.Cancel.Path
	case c.Authenticate != nil:
		return c.Authenticate.Path
	case c.Announce != nil:
		return string(c.Announce.Target.ID)
	case c.Depart != "":
		return string(c.Depart)
	case c.Put != nil:
		return fmt.Sprint(c.Put.Version)
	case c.Wave != nil:
		return fmt.Sprint(c.Wave.ID)
	case c.WaveStatus != 0:
		return fmt.Sprint(c.WaveStatus)
	}
	return ""
}

// Bytes returns about how much memory a call takes.
func (c *Call) Bytes() int {
	n := callBytes
	switch {
	case c.Submit != nil && c.Submit.Job != nil:
		n += len(c.Submit.Job.Spec) + len(c.Submit.Path)
		for i := range c.Submit.Job.Steps {
			n += stepBytes + 8*len(c.Submit.Job.Steps[i].DependsOn)
		}
	case c.Put != nil:
		n += 2 * len(c.Put.Source) // its text and what is made of it
	case c.Wave != nil:
		n += vmBytes * len(c.Wave.VMs)
	}
	return n
}

// Sizes without what varies most.
const (
	callBytes = 300
	stepBytes = 400 // with names of usual length
	vmBytes   = 40
)

// Place is the host and path of a caller's call, and its key.
type Place struct {
	Host string `cbor:"1,keyasint"`
	Path string `cbor:"2,keyasint"`
	// Key is that of the caller; empty: none.
	Key definer.Key `cbor:"3,keyasint,omitempty"`
}

// Reply answers a Call.
type Reply struct {
	ID         uint64           `cbor:"1,keyasint"`
	Verdict    planner.Verdict  `cbor:"2,keyasint"`
	RetryAfter time.Duration    `cbor:"3,keyasint,omitempty"`
	Reason     string           `cbor:"4,keyasint,omitempty"`
	Job        tracker.JobState `cbor:"5,keyasint,omitempty"`
	IsQueue    bool             `cbor:"6,keyasint,omitempty"` // the path names a queue, not a job
	Pending    int              `cbor:"7,keyasint,omitempty"`
	Document   []byte           `cbor:"8,keyasint,omitempty"`
	Completed  bool             `cbor:"9,keyasint,omitempty"`  // of a wave
	AtLeader   bool             `cbor:"10,keyasint,omitempty"` // the target is to announce itself at the leader from now on
	Keyless    bool             `cbor:"11,keyasint,omitempty"` // no call needs a key; in the answer to Authenticate
	// NotTaken is set beside the verdict Uncertain when this sending of the call has had
	// no effect and will have none. Versions that do not know it take the outcome as
	// unknown.
	NotTaken bool `cbor:"20,keyasint,omitempty"`
}

// Handler serves the streams of daemons on the leader.
type Handler interface {
	// Work serves the stream of one daemon until it ends.
	Work(ctx context.Context, stream Stream) error
}

// Stream is the leader's end of a daemon's stream.
type Stream interface {
	Send(*Down) error
	Recv() (*Up, error)
}

const serviceName = "masticroad.Leader"

var serviceDesc = grpc.ServiceDesc{
	ServiceName: serviceName,
	HandlerType: (*Handler)(nil),
	Streams: []grpc.StreamDesc{
		{StreamName: "Work", Handler: serveWork, ServerStreams: true, ClientStreams: true},
	},
}

// Register adds the service to a server.
func Register(r grpc.ServiceRegistrar, h Handler) { r.RegisterService(&serviceDesc, h) }

func serveWork(srv any, stream grpc.ServerStream) error {
	return srv.(Handler).Work(stream.Context(), serverStream{stream})
}

type serverStream struct {
	stream grpc.ServerStream
}

func (s serverStream) Send(m *Down) error { return s.stream.SendMsg(m) }

func (s serverStream) Recv() (*Up, error) {
	m := &Up{}
	return m, s.stream.RecvMsg(m)
}

// Open opens a stream over a connection.
func Open(ctx context.Context, conn *grpc.ClientConn) (*ClientStream, error) {
	s, err := conn.NewStream(ctx, &serviceDesc.Streams[0], "/"+serviceName+"/Work")
	if err != nil {
		return nil, err
	}
	return &ClientStream{s}, nil
}

// ClientStream is a daemon's end of its stream.
type ClientStream struct {
	stream grpc.ClientStream
}

// Send sends a message to the leader. If it fails, the leader never gets the message:
// gRPC hands a message to the connection whole or, with an error, not at all.
func (s *ClientStream) Send(m *Up) error { return s.stream.SendMsg(m) }

// Recv returns the next message from the leader.
func (s *ClientStream) Recv() (*Down, error) {
	m := &Down{}
	return m, s.stream.RecvMsg(m)
}
