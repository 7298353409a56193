// Package supervisor assembles the components of a daemon in a workflow cell and
// runs them until it is stopped. A daemon with a data folder keeps a replica of
// the log and can lead; one without only forwards calls to the leader.
package supervisor

import (
	"cmp"
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
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds the settings, the start, and the transfer of leadership before
// a planned stop.

// Settings configure a daemon.
type Settings struct {
	Name       string // address for other daemons, such as "10.1.0.16:7720"; it names the daemon
	Cell       string
	Region     registrar.RegionName
	DataFolder string // empty: no replica
	Bootstrap  bool   // bootstrap the cell if the data folder is empty
	Bounds     planner.Bounds
	Timing     replicator.Timing
	// MaxTargetConnections and MaxControlConnections bound the connections to targets
	// and those that targets open for their announcements. 0: no bound.
	MaxTargetConnections, MaxControlConnections int
	// MaxWaitingBytes bounds the calls that wait at the leader. 0: no bound.
	MaxWaitingBytes int
	// ActAs makes the daemon act as a version whose latest format it is, for tests of
	// upgrades; nil: the present one.
	ActAs *tracker.Format
	// SnapshotBytes is the size of the log before a snapshot is taken, for tests; 0: the
	// usual one.
	SnapshotBytes int
}

// known returns the latest format that the daemon follows.
func (s *Settings) known() tracker.Format {
	if s.ActAs != nil {
		return *s.ActAs
	}
	return tracker.CurrentFormat
}

// orderReserve is the part of the connections to targets that polls leave to orders.
const orderReserve = 4 // a quarter

// limits returns the planner's limits.
func (s *Settings) limits() planner.Limits {
	return planner.Limits{MaxHeldPolls: s.MaxTargetConnections - s.MaxTargetConnections/orderReserve}
}

// logGroup is the only group of a workflow cell.
const logGroup = 1

const (
	snapshotBytes        = 8 << 20 // size of the log before a snapshot is taken; a tenth of the smallest disk
	transferTimeout      = time.Second
	transferPollInterval = 20 * time.Millisecond
)

// Supervisor is one daemon. The exported fields are set before Open.
type Supervisor struct {
	Settings Settings
	Seeds    func() []string // current names of daemons that keep replicas
	Platform dispatcher.Platform
	// Decode decodes and checks the source of a configuration document; nil: documents are taken as
	// they come.
	Decode   func(source []byte) (*definer.Document, definer.Findings)
	Log      hclog.Logger
	Listener net.Listener // for other daemons; nil: listen on Settings.Name

	Relayer *relayer.Relayer
	Meter   *meter.Meter // nil: no metrics are recorded

	clock       timekeeper.Timekeeper
	node        *replicator.Node
	client      *replica.Client
	store       *storer.Storer
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	saved       replicator.StoredState
	nodeDone    chan struct{} // closed when the node has ended
}

// Open creates the components.
func (s *Supervisor) Open(ctx context.Context) error {
	s.client = &replica.Client{NamedByAddress: true, Traffic: &replica.Traffic{}}
	s.dispatcher = &dispatcher.Dispatcher{Platform: s.Platform, Now: s.clock.Monotonic, Log: s.Log.Named("dispatcher"), Meter: s.Meter}
	s.nodeDone = make(chan struct{})
	s.Relayer = &relayer.Relayer{
		Name: s.Settings.Name, Dial: func(a string) (*grpc.ClientConn, error) { return s.client.Dial(a) }, Seeds: s.Seeds,
		RequestTickets: s.dispatcher.RequestTickets, Log: s.Log.Named("relay"), Now: s.clock.Monotonic, Meter: s.Meter,
		WithoutWorkspaces: s.Settings.known() < tracker.FormatWorkspaces,
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
		Group: logGroup, ID: identity.Replica, Durable: true, OpenMembership: true, Timing: s.Settings.Timing, Format: coordinator.Announced(s.Settings.known()),
		Rand: rand.New(rand.NewSource(time.Now().UnixNano())),
	}
	core.Start(s.saved, s.clock.Monotonic())
	s.client.Open()
	s.node = &replicator.Node{
		Core: core, Storage: s.store, Sender: s.client, Now: s.clock.Monotonic,
		OnStorageError: func(err error) { s.Log.Error("log can't be written; it is tried again", "error", err) },
	}
	s.node.Open()
	s.client.Now = s.clock.Monotonic
	s.client.OnRefused = func(daemon registrar.DaemonName, since time.Time) {
		s.node.ReportConnectionRefused(string(daemon), since)
	}
	s.coordinator = &coordinator.Coordinator{
		Node: s.node, Clock: s.clock, Log: s.Log.Named("coordinator"), Dispatcher: s.dispatcher, Name: planner.LicenceProxyID(s.Settings.Name),
		Planner:  &planner.Planner{Settings: planner.Settings{Bounds: s.Settings.Bounds, Region: s.Settings.Region, Holder: s.Settings.Name}, Limits: s.Settings.limits(), Decode: s.Decode},
		MaxBytes: cmp.Or(s.Settings.SnapshotBytes, snapshotBytes), OnLeaderChange: s.Relayer.UpdateLeader, Meter: s.Meter, MaxAnnouncers: s.Settings.MaxControlConnections / 2,
		ActAs: s.Settings.ActAs, MaxWaitingBytes: s.Settings.MaxWaitingBytes,
	}
	s.coordinator.Open(ctx)
	s.dispatcher.Report = s.coordinator.Report
	s.dispatcher.Leads = func(term registrar.Term) bool {
		status := s.node.Status()
		return status.Term == term && s.clock.Monotonic().Before(status.LeaseUntil)
	}
	s.dispatcher.Open(ctx)
	s.Relayer.Local = s.coordinator
	s.Log.Info("replica opened", "id", string(identity.Replica), "applied", s.saved.Snapshot.Index, "entries", len(s.saved.Entries))
	return s.coordinator.Restore(s.saved.Snapshot)
}

// awaitStorage opens the data folder and retries while the disk is unavailable.
// It fails at once if the folder is damaged or belongs to another daemon.
func (s *Supervisor) awaitStorage(ctx context.Context) (storer.Identity, error) {
	for {
		identity, err := s.openStorage()
		if err == nil || !isDiskUnavailable(err) {
			return identity, err
		}
		s.Log.Error("data folder can't be written; retrying", "error", err)
		select {
		case <-ctx.Done():
			return identity, ctx.Err()
		case <-time.After(diskRetryInterval):
		}
	}
}

const diskRetryInterval = 300 * time.Millisecond

// isDiskUnavailable reports whether an error means that a disk is full or
// currently can't be written.
func isDiskUnavailable(err error) bool {
	for _, e := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS} {
		if stderrors.Is(errors.Cause(err), e) {
			return true
		}
	}
	return false
}

// openStorage opens the data folder. An empty folder gets an identity: that of an
// initial voter if the cell is being bootstrapped and this daemon is one of its
// seeds, else a new one, with which the replica joins.
func (s *Supervisor) openStorage() (storer.Identity, error) {
	set := &s.Settings
	fresh := replicator.ReplicaID(fmt.Sprintf("%s.%x", set.Name, time.Now().UnixNano()))
	want := storer.Identity{Cell: set.Cell, Group: logGroup, Replica: fresh}
	_, known, err := storer.ReadIdentity(set.DataFolder)
	if err != nil {
		return want, err
	}
	if !known {
		if seeds := s.Seeds(); set.Bootstrap && slices.Contains(seeds, set.Name) {
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

// Run runs the components until ctx ends or one of them fails. It must be called
// with the context given to Open. Once ctx has ended, Run returns when no component
// uses the address or the data folder any more; after a failure it returns at once.
func (s *Supervisor) Run(ctx context.Context) error {
	go s.Relayer.Run(ctx)
	if s.node == nil {
		close(s.nodeDone)
		<-ctx.Done()
		return nil
	}
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 3)
	var parts sync.WaitGroup
	runPart := func(name string, run func() error) {
		parts.Go(func() { failed <- errors.Annotate(run(), name) })
	}
	s.saved = replicator.StoredState{}
	go s.client.Run(work)
	s.client.AddPeers(peerNames(s.Seeds(), s.Settings.Name))
	runPart("replica", func() error {
		defer close(s.nodeDone)
		return s.node.Run(work)
	})
	runPart("coordinator", s.coordinator.Run)
	server := &replica.Server{
		Handler: handler{s}, Listener: s.Listener, Traffic: s.client.Traffic,
		Register: func(r grpc.ServiceRegistrar) { leader.Register(r, s.coordinator) },
	}
	runPart("server for daemons", func() error { return server.Run(work) })
	go s.refreshPeers(work)
	select {
	case err := <-failed:
		if ctx.Err() == nil {
			return err
		}
		// It ended because of ctx, before this goroutine noticed.
	case <-ctx.Done():
	}
	parts.Wait()
	return errors.Annotate(s.store.Close(), "daemon: data folder")
}

// seedRefreshInterval is the time between reads of the seeds, which change when
// VMs are replaced.
const seedRefreshInterval = time.Second

// refreshPeers passes the current seeds and voters to the replica's client.
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
		s.client.AddPeers(peerNames(names, s.Settings.Name))
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

// TransferLeadership transfers leadership to another replica, if this daemon leads. If none
// takes it over in time, the daemon steps down.
func (s *Supervisor) TransferLeadership(ctx context.Context) {
	if s.node == nil || s.node.Status().Role != replicator.Leader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	s.node.TransferLeadership(ctx)
	for ctx.Err() == nil {
		st := s.node.Status()
		if st.Role != replicator.Leader && st.Leader != "" {
			s.Log.Info("leadership transferred", "to", string(st.Leader))
			return
		}
		time.Sleep(transferPollInterval)
	}
	// Without this, the other daemons may take a closed address of this one as the
	// end of its leadership while it still leads.
	st := s.node.Status()
	s.node.StepDown(context.Background(), st.Term)
	s.Log.Warn("leadership transfer timed out; stepped down", "term", st.Term)
}

// handler receives messages of the replicated log. The other methods of the
// protocol are not served in a workflow cell.
type handler struct {
	s *Supervisor
}

var errNotServed = errors.New("this call is not served in a workflow cell")

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
