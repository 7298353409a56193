package runner

import (
	"fmt"
	"math/rand"
	"net"
	"sync"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/daemon/gateway"
	"masticroad/internal/metrics/recorder"
	"masticroad/internal/peer/certifier"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
	"masticroad/internal/settings/loader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// This file creates the components of a daemon from its settings.

func (r *Runner) open() error {
	r.incarnation = registrar.Incarnation(r.Now().UnixNano())
	r.traffic = &replica.Traffic{}
	r.budget = &budgeter.Budget{Total: budgeter.Bytes(r.Settings.RequestBytes())}
	r.metrics = recorder.New()
	r.httpReady = make(chan struct{})
	r.nodeDone = make(chan struct{})
	if err := r.listen(); err != nil {
		return err
	}
	if err := r.openTLS(); err != nil {
		return err
	}
	if err := r.openStorage(); err != nil {
		return err
	}
	r.openComponents()
	return nil
}

func (r *Runner) listen() error {
	var err error
	if r.HTTP == nil {
		if r.HTTP, err = net.Listen("tcp", r.Settings.ListenHTTP); err != nil {
			return errors.Annotate(err, "daemon: HTTP address")
		}
	}
	if r.Replica == nil {
		if r.Replica, err = net.Listen("tcp", r.Settings.ListenReplica); err != nil {
			return errors.Annotate(err, "daemon: replica address")
		}
	}
	r.HTTP, r.Replica = &sharedListener{Listener: r.HTTP}, &sharedListener{Listener: r.Replica}
	return nil
}

// sharedListener is a listener that its server and the Runner close. Close returns when the
// address is free, whoever has closed it; a second Close of a plain one doesn't wait.
type sharedListener struct {
	net.Listener

	once sync.Once
	err  error
}

// Close closes the listener.
func (l *sharedListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

func (r *Runner) openTLS() error {
	s := r.Settings
	if s.TLSCert == "" {
		return nil
	}
	c := &certifier.Certifier{CertFile: s.TLSCert, KeyFile: s.TLSKey, CAFile: s.TLSCA, Now: r.Now}
	if err := c.Open(); err != nil {
		return err
	}
	r.creds = c.Credentials()
	return nil
}

// openStorage opens the data folder. A folder without an identity gets a new one,
// with which the replica joins as a learner.
func (r *Runner) openStorage() error {
	s := r.Settings
	fresh := replicator.ReplicaID(fmt.Sprintf("%s.%x", s.Name, r.incarnation))
	want := storer.Identity{Cell: s.Cell, Group: replicator.GroupID(s.Group()), Replica: fresh}
	if s.DataFolder == "" {
		r.identity = want
		return nil
	}
	_, known, err := storer.ReadIdentity(s.DataFolder)
	if err != nil {
		return err
	}
	if !known {
		if err := storer.Prepare(s.DataFolder, want); err != nil {
			return err
		}
	}
	r.store = &storer.Storer{Folder: s.DataFolder}
	r.identity, r.saved, err = r.store.Open(want)
	return err
}

func (r *Runner) openComponents() {
	s := r.Settings
	r.openNode()
	r.openController()
	r.client = &replica.Client{Credentials: r.creds, Traffic: r.traffic}
	for _, p := range s.Members() {
		if p.Name != s.Name {
			r.client.Peers = append(r.client.Peers, replica.Peer{Name: p.Name, Address: p.Address})
		}
	}
	r.client.Open()
	r.node.Sender = r.client
	targets := &target.Client{MaxConns: s.TargetConnections, MaxAnswer: s.MaxAnswer, Transit: s.Transit}
	targets.Open()
	r.gateway = &gateway.Gateway{
		Daemon: registrar.Daemon{
			Name: s.Name, Address: r.address(s.Name), HTTPAddr: r.HTTP.Addr().String(), Region: s.Region, Zone: s.Zone, Incarnation: r.incarnation,
		},
		Client: r.client, Targets: targets, Log: r.Log.Named("gateway"), Now: r.Now,
		View: r.controller.View, Leader: r.leader, OnRequestDone: r.metrics.Observe, Read: r.controller.Read,
		Term: func() registrar.Term { return r.node.Status().Term }, MaxHeldBytes: r.Settings.RequestBytes() / 2,
	}
	r.gateway.Open()
	r.operators = &operator.Service{
		Controller: r.controller, Node: r.node, Client: r.client, Leader: r.leader, Self: r.address(s.Name), Region: s.Region,
	}
	r.openRegions()
	r.registerMetrics()
}

func (r *Runner) openNode() {
	s := r.Settings
	timing := replicator.DefaultTiming
	timing.Heartbeat, timing.ElectionMin, timing.ElectionMax = s.Heartbeat, s.ElectionMin, s.ElectionMax
	timing.ReplaceAfter = s.ReplaceAfter
	core := &replicator.Core{
		Group: r.identity.Group, ID: r.identity.Replica, Durable: r.store != nil, Timing: timing,
		Rand: rand.New(rand.NewSource(int64(r.incarnation))),
	}
	core.Start(r.saved, r.Now())
	r.node = &replicator.Node{Core: core, Storage: replicator.MemoryStorage{}, Now: r.Now}
	if r.store != nil {
		r.node.Storage = r.store
	}
	r.node.Open()
}

func (r *Runner) openController() {
	s := r.Settings
	timing := decider.DefaultTiming
	timing.DaemonLease, timing.TargetLease = s.DaemonLease, s.TargetLease
	timing.StartWindow, timing.Transit = s.StartWindow, s.Transit
	d := &decider.Decider{State: registrar.New(), Rand: rand.New(rand.NewSource(int64(r.incarnation))), Timing: timing, Cell: s.Cell}
	d.FirstTask = registrar.TaskID(s.Group()-1)<<taskIDBits + 1
	r.controller = &controller.Controller{
		Node: r.node, Decider: d, Log: r.Log.Named("control"), Now: r.Now,
		MaxEntries: s.SnapshotEntries, MaxBytes: s.SnapshotBytes,
		OnViewChange: func() { r.gateway.Wake() },
		OnTaskStart:  r.metrics.ObserveJob,
	}
	r.controller.Open()
}

// Prepare writes the identity of an initial voter into its data folder.
func Prepare(s *loader.Settings) error {
	id := storer.Identity{Cell: s.Cell, Group: replicator.GroupID(s.Group()), Replica: firstReplica(string(s.Name))}
	for _, name := range s.GroupVoters() {
		id.Voters = append(id.Voters, firstReplica(name))
	}
	return storer.Prepare(s.DataFolder, id)
}

func firstReplica(name string) replicator.ReplicaID {
	return replicator.ReplicaID(name + ".1")
}
