// Package supervisor puts the parts of a daemon of a cell of workflows together
// and runs them until it is stopped. A daemon with a data folder keeps a replica
// of the log and may lead; one without passes calls on to the leader.
package supervisor

import (
	"context"
	stderrors "errors"
	"fmt"
	"math/rand"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/coordinator"
	"masticroad/internal/daemon/dispatcher"
	"masticroad/internal/daemon/relayer"
	"masticroad/internal/daemon/timekeeper"
	"masticroad/internal/metrics/meter"
	"masticroad/internal/peer/leader"
	"masticroad/internal/peer/replica"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
	"masticroad/internal/workflow/planner"
)

// This file is read first: it holds the settings, the start and the planned
// stop.

// Settings are what a daemon needs to know at its start.
type Settings struct {
	Name       string // address for other daemons, such as "10.1.0.16:7720"; it names the daemon
	Cell       string
	Region     registrar.RegionName
	DataFolder string // empty: no replica is kept
	Found      bool   // the cell is being founded, with an empty data folder
	Bounds     planner.Bounds
	Timing     replicator.Timing
}

// logGroup is the one group of a cell of workflows.
const logGroup = 1

const (
	snapshotBytes        = 8 << 20 // of the log; a tenth of the smallest disk
	transferTimeout      = time.Second
	transferPollInterval = 20 * time.Millisecond
)

// Supervisor is one daemon. The exported fields are set before Open.
type Supervisor struct {
	Settings Settings
	Seeds    func() []string // names of daemons that keep replicas, as known now
	Platform dispatcher.Platform
	Log      hclog.Logger
	Listener net.Listener // for other daemons; nil: the address in Settings

	Relayer *relayer.Relayer
	Meter   *meter.Meter // nil: nothing is counted

	clock       timekeeper.Timekeeper
	node        *replicator.Node
	client      *replica.Client
	store       *storer.Storer
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	saved       replicator.Saved
	nodeDone    chan struct{} // closed when the node has ended
}

// Open makes the parts.
func (s *Supervisor) Open(ctx context.Context) error {
	s.client = &replica.Client{Named: true, Traffic: &replica.Traffic{}}
	s.dispatcher = &dispatcher.Dispatcher{Platform: s.Platform, Now: s.clock.Monotonic, Log: s.Log.Named("dispatcher"), Meter: s.Meter}
	s.nodeDone = make(chan struct{})
	s.Relayer = &relayer.Relayer{
		Name: s.Settings.Name, Dial: func(a string) (*grpc.ClientConn, error) { return s.client.Dial(a) }, Seeds: s.Seeds,
		RequestTickets: s.dispatcher.RequestTickets, Log: s.Log.Named("relay"), Now: s.clock.Monotonic, Meter: s.Meter,
	}
	s.Relayer.Open()
	if s.Settings.DataFolder == "" {
		s.dispatcher.Open(ctx)
		return nil
	}
	return s.openReplica(ctx)
}

func (s *Supervisor) openReplica(ctx context.Context) error {
	identity, err := s.awaitStorage(ctx)
	if err != nil {
		return err
	}
	if s.Listener == nil {
		if s.Listener, err = net.Listen("tcp", s.Settings.Name); err != nil {
			return errors.Annotate(err, "daemon: address for other daemons")
		}
	}
	core := &replicator.Core{
		Group: logGroup, ID: identity.Replica, Durable: true, Open: true, Timing: s.Settings.Timing,
		Rand: rand.New(rand.NewSource(time.Now().UnixNano())),
	}
	core.Start(s.saved, s.clock.Monotonic())
	s.client.Open()
	s.node = &replicator.Node{
		Core: core, Storage: s.store, Sender: s.client, Now: s.clock.Monotonic,
		Failed: func(err error) { s.Log.Error("log can't be written; it is tried again", "error", err) },
	}
	s.node.Open()
	s.client.Now = s.clock.Monotonic
	s.client.Refused = func(daemon registrar.DaemonName, since time.Time) { s.node.Gone(string(daemon), since) }
	s.coordinator = &coordinator.Coordinator{
		Node: s.node, Clock: s.clock, Log: s.Log.Named("coordinator"), Dispatcher: s.dispatcher, Name: planner.AdviserID(s.Settings.Name),
		Planner:  &planner.Planner{Settings: planner.Settings{Bounds: s.Settings.Bounds, Region: s.Settings.Region, Holder: s.Settings.Name}},
		MaxBytes: snapshotBytes, OnLeaderChange: s.Relayer.UpdateLeader, Meter: s.Meter,
	}
	s.coordinator.Open(ctx)
	s.dispatcher.Report = s.coordinator.Report
	s.dispatcher.Open(ctx)
	s.Relayer.Local = s.coordinator
	s.Log.Info("replica opened", "id", string(identity.Replica), "applied", s.saved.Snapshot.Index, "entries", len(s.saved.Entries))
	return s.coordinator.Restore(s.saved.Snapshot)
}

// awaitStorage opens the data folder, again and again while the disk takes
// nothing. Damage and a folder of another daemon are errors at once.
func (s *Supervisor) awaitStorage(ctx context.Context) (storer.Identity, error) {
	for {
		identity, err := s.openStorage()
		if err == nil || !isDiskUnavailable(err) {
			return identity, err
		}
		s.Log.Error("data folder can't be written; it is tried again", "error", err)
		select {
		case <-ctx.Done():
			return identity, ctx.Err()
		case <-time.After(diskRetryInterval):
		}
	}
}

const diskRetryInterval = 300 * time.Millisecond

// isDiskUnavailable reports whether an error tells that a disk takes no more, or not now.
func isDiskUnavailable(err error) bool {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS} {
		if stderrors.Is(errors.Cause(err), e) {
			return true
		}
	}
	return false
}

// openStorage opens the data folder. An empty one gets an identity: that of a
// first voter if the cell is being founded and this daemon is one of its seeds,
// else a new one, with which the replica joins.
func (s *Supervisor) openStorage() (storer.Identity, error) {
	set := &s.Settings
	fresh := replicator.ReplicaID(fmt.Sprintf("%s.%x", set.Name, time.Now().UnixNano()))
	want := storer.Identity{Cell: set.Cell, Group: logGroup, Replica: fresh}
	_, known, err := storer.ReadIdentity(set.DataFolder)
	if err != nil {
		return want, err
	}
	if !known {
		if seeds := s.Seeds(); set.Found && slices.Contains(seeds, set.Name) {
			want.Replica = firstReplica(set.Name)
			for _, name := range seeds {
				want.Voters = append(want.Voters, firstReplica(name))
			}
			slices.Sort(want.Voters)
		}
		if err := storer.Prepare(set.DataFolder, want); err != nil {
			return want, err
		}
	}
	s.store = &storer.Storer{Folder: set.DataFolder}
	identity, saved, err := s.store.Open(want)
	s.saved = saved
	return identity, err
}

func firstReplica(name string) replicator.ReplicaID { return replicator.ReplicaID(name + ".1") }

// Run runs the parts until ctx, which must be that of Open, ends, or one fails.
func (s *Supervisor) Run(ctx context.Context) error {
	go s.Relayer.Run(ctx)
	if s.node == nil {
		close(s.nodeDone)
		<-ctx.Done()
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 3)
	var parts sync.WaitGroup
	part := func(name string, run func() error) {
		parts.Go(func() { failed <- errors.Annotate(run(), name) })
	}
	s.saved = replicator.Saved{}
	go s.client.Run(ctx)
	s.client.Know(peerNames(s.Seeds(), s.Settings.Name))
	part("replica", func() error {
		defer close(s.nodeDone)
		return s.node.Run(ctx)
	})
	part("coordinator", s.coordinator.Run)
	server := &replica.Server{
		Handler: handler{s}, Listener: s.Listener, Traffic: s.client.Traffic,
		Register: func(r grpc.ServiceRegistrar) { leader.Register(r, s.coordinator) },
	}
	part("server for daemons", func() error { return server.Run(ctx) })
	go s.refreshPeers(ctx)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		// The address and the data folder are free once the parts have ended.
		parts.Wait()
		return errors.Annotate(s.store.Close(), "daemon: data folder")
	}
}

// seedRefreshInterval is the time between looks at the seeds in the settings, which
// change when VMs are replaced.
const seedRefreshInterval = time.Second

// refreshPeers makes the present seeds and voters known to the replica.
func (s *Supervisor) refreshPeers(ctx context.Context) {
	tick := time.NewTicker(seedRefreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		names := s.Seeds()
		for _, id := range s.node.Status().Voters {
			names = append(names, replicator.NameOf(id))
		}
		s.client.Know(peerNames(names, s.Settings.Name))
	}
}

func peerNames(names []string, own string) []registrar.DaemonName {
	var out []registrar.DaemonName
	for _, n := range names {
		if n != own {
			out = append(out, registrar.DaemonName(n))
		}
	}
	return out
}

// HandOver passes leadership on, if this daemon leads.
func (s *Supervisor) HandOver(ctx context.Context) {
	if s.node == nil || s.node.Status().Role != replicator.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s.node.Transfer(ctx)
	for ctx.Err() == nil {
		st := s.node.Status()
		if st.Role != replicator.Leader && st.Leader != "" {
			s.Log.Info("leadership handed over", "to", string(st.Leader))
			return
		}
		time.Sleep(transferPollInterval)
	}
	// The others may take a closed address for the end of this leadership.
	st := s.node.Status()
	s.node.StepDown(context.Background(), st.Term)
	s.Log.Warn("leadership given up, nobody took it over", "term", st.Term)
}

// handler takes in messages of the replicated log; the other methods of the
// protocol have no use in a cell of workflows.
type handler struct {
	s *Supervisor
}

var errNotServed = errors.New("a cell of workflows does not serve this call")

func (h handler) Receive(messages []replicator.Message) { h.s.node.Receive(messages) }

func (h handler) Session(context.Context, replica.SessionStream) error { return errNotServed }

func (h handler) Call(context.Context, *replica.Call) (*replica.CallReply, error) {
	return nil, errNotServed
}

func (h handler) Answer(context.Context, *replica.AnswerQuery) (*replica.AnswerReply, error) {
	return nil, errNotServed
}

func (h handler) Relay(context.Context, *replica.RelayCall) (*replica.RelayReply, error) {
	return nil, errNotServed
}
