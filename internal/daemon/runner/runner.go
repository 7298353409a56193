// Package runner puts the parts of a daemon together and runs them until it is
// stopped.
package runner

import (
	"context"
	"crypto/subtle"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
	"google.golang.org/grpc/credentials"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/daemon/gateway"
	"masticroad/internal/metrics/recorder"
	"masticroad/internal/peer/caller"
	"masticroad/internal/peer/certifier"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/platform"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
	"masticroad/internal/settings/loader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// This file holds the start and the planned stop. Example of a stop by SIGTERM:
// readiness turns false, leadership is handed over, no new request is taken,
// those in flight finish, their reports are settled, the process ends.

// Runner is one daemon. The exported fields are set before Run.
type Runner struct {
	Settings *loader.Settings
	Log      hclog.Logger
	Now      func() time.Time
	// HTTP and Replica are listeners that are already open, for tests and the
	// demo; nil: the addresses of the settings.
	HTTP    net.Listener
	Replica net.Listener

	life       registrar.Incarnation
	store      *storer.Storer
	node       *replicator.Node
	control    *controller.Controller
	gate       *gateway.Gateway
	client     *replica.Client
	operators  *operator.Service
	metrics    *recorder.Recorder
	traffic    *replica.Traffic
	identity   storer.Identity
	saved      replicator.Saved
	router     *region.Router // nil in a cell of one log
	app        atomic.Pointer[handlerBox]
	creds      credentials.TransportCredentials
	ready      chan struct{}
	nodeDone   chan struct{}
	httpServer *http.Server
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	drainPause        = 300 * time.Millisecond // for the balancer to see readiness
	handOver          = 2 * time.Second
	taskIDBits        = 40 // of a region's own task ids
	resolveInterval   = 2 * time.Second
)

// Run starts the daemon and returns after a planned stop, which begins when ctx
// ends, or with the error that ended it.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.open(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer r.close(cancel)
	failed := make(chan error, 5)
	r.start(work, failed)
	r.Log.Info("daemon started", "http", r.HTTP.Addr().String(), "replica", r.Replica.Addr().String(), "id", string(r.identity.Replica))
	for {
		select {
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return r.stop()
		}
	}
}

func (r *Runner) open() error {
	r.life = registrar.Incarnation(r.Now().UnixNano())
	r.traffic = &replica.Traffic{}
	r.metrics = recorder.New()
	r.ready = make(chan struct{})
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
	r.openParts()
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
	return nil
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

// openStorage opens the data folder. A folder without an identity gets a new
// one: the replica joins as a learner.
func (r *Runner) openStorage() error {
	s := r.Settings
	fresh := replicator.ReplicaID(fmt.Sprintf("%s.%x", s.Name, r.life))
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

func (r *Runner) openParts() {
	s := r.Settings
	r.openNode()
	r.openControl()
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
	r.gate = &gateway.Gateway{
		Daemon: registrar.Daemon{
			Name: s.Name, Address: r.address(s.Name), HTTPAddr: r.HTTP.Addr().String(), Region: s.Region, Zone: s.Zone, Life: r.life,
		},
		Client: r.client, Targets: targets, Log: r.Log.Named("gateway"), Now: r.Now,
		View: r.control.View, Leader: r.leader, Watch: r.metrics.Observe, Read: r.control.Read,
		Term: func() registrar.Term { return r.node.Status().Term },
	}
	r.gate.Open()
	r.operators = &operator.Service{
		Controller: r.control, Node: r.node, Client: r.client, Leader: r.leader, Self: r.address(s.Name), Region: s.Region,
	}
	r.openRegions()
	r.gauges()
}

// openRegions prepares the calls to other regions, if the cell has any.
func (r *Runner) openRegions() {
	elsewhere := r.Settings.Elsewhere()
	if len(elsewhere) == 0 {
		return
	}
	far := &replica.Client{Credentials: r.creds, Traffic: r.traffic}
	peers := make(map[registrar.RegionName][]replica.Peer)
	for name, list := range elsewhere {
		for _, p := range list {
			peer := replica.Peer{Name: p.Name, Address: p.Address}
			peers[name] = append(peers[name], peer)
			far.Peers = append(far.Peers, peer)
		}
	}
	r.router = &region.Router{Own: r.Settings.Region, Elsewhere: peers, Client: far, Now: r.Now}
	r.operators.Far = r.router
}

// resolve decides changes of every region that were left undecided, while this
// daemon leads.
func (r *Runner) resolve(ctx context.Context) {
	if r.router == nil {
		return
	}
	tick := time.NewTicker(resolveInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if r.node.Status().Role == replicator.Leader {
			r.operators.Resolve(ctx, r.Now())
		}
	}
}

func (r *Runner) openNode() {
	s := r.Settings
	timing := replicator.DefaultTiming
	timing.Heartbeat, timing.ElectionMin, timing.ElectionMax = s.Heartbeat, s.ElectionMin, s.ElectionMax
	timing.ReplaceAfter = s.ReplaceAfter
	core := &replicator.Core{
		Group: r.identity.Group, ID: r.identity.Replica, Durable: r.store != nil, Timing: timing,
		Rand: rand.New(rand.NewSource(int64(r.life))),
	}
	core.Start(r.saved, r.Now())
	r.node = &replicator.Node{Core: core, Storage: replicator.MemoryStorage{}, Now: r.Now}
	if r.store != nil {
		r.node.Storage = r.store
	}
	r.node.Open()
}

func (r *Runner) openControl() {
	s := r.Settings
	timing := decider.DefaultTiming
	timing.DaemonLease, timing.TargetLease = s.DaemonLease, s.TargetLease
	timing.StartWindow, timing.Transit = s.StartWindow, s.Transit
	d := &decider.Decider{State: registrar.New(), Rand: rand.New(rand.NewSource(int64(r.life))), Timing: timing, Cell: s.Cell}
	d.FirstTask = registrar.TaskID(s.Group()-1)<<taskIDBits + 1
	r.control = &controller.Controller{
		Node: r.node, Decider: d, Log: r.Log.Named("control"), Now: r.Now,
		MaxEntries: s.SnapshotEntries, MaxBytes: s.SnapshotBytes,
		Changed: func() { r.gate.Wake() },
		Observe: r.metrics.ObserveJob,
	}
	r.control.Open()
}

// address returns the address of a daemon for the others.
func (r *Runner) address(name registrar.DaemonName) string {
	for _, p := range r.Settings.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// leader returns the address of the leader, or an empty text.
func (r *Runner) leader() string {
	id := r.node.Status().Leader
	if id == "" {
		return ""
	}
	return r.address(registrar.DaemonName(replicator.NameOf(id)))
}

func (r *Runner) start(ctx context.Context, failed chan<- error) {
	if err := r.control.Restore(r.saved.Snapshot); err != nil {
		close(r.nodeDone)
		failed <- err
		return
	}
	r.saved = replicator.Saved{}
	go func() {
		defer close(r.nodeDone)
		failed <- errors.Annotate(r.node.Run(ctx), "replica")
	}()
	go func() { failed <- errors.Annotate(r.control.Run(ctx), "control") }()
	go r.client.Run(ctx)
	go r.gate.Run(ctx)
	go r.resolve(ctx)
	server := &replica.Server{Handler: handler{r}, Listener: r.Replica, Credentials: r.creds, Traffic: r.traffic}
	go func() { failed <- errors.Annotate(server.Run(ctx), "replica server") }()
	go func() { failed <- r.serveHTTP() }()
}

func (r *Runner) serveHTTP() error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	r.routes(app)
	if err := app.Build(); err != nil {
		return errors.Annotate(err, "daemon: HTTP routes")
	}
	r.app.Store(&handlerBox{app})
	r.httpServer = &http.Server{Handler: app, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	close(r.ready)
	err := r.httpServer.Serve(r.HTTP)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "daemon: HTTP")
}

func (r *Runner) routes(app *iris.Application) {
	s := r.Settings
	app.UseRouter(r.endConnections)
	callers := &caller.Server{
		Gateway: r.gate, View: r.control.View, Operator: r.operators, Now: r.Now,
		MaxBody: s.MaxBody, MaxInFlight: s.MaxInFlight, BodyTimeout: s.BodyTimeout,
	}
	if r.router != nil {
		home := &region.Home{Router: r.router, Knows: r.knows, MaxBody: int64(s.MaxBody) * 2, Now: r.Now}
		app.UseRouter(func(ctx iris.Context) {
			if strings.HasPrefix(ctx.Path(), "/v1/requests") || strings.HasPrefix(ctx.Path(), "/v1/jobs") {
				home.Pass(ctx)
				return
			}
			ctx.Next()
		})
	}
	callers.Routes(app)
	tokens := make(map[string]string)
	for _, o := range s.Operators {
		tokens[o.TokenDigest] = o.Name
	}
	operators := &operator.Server{Service: r.operators, Tokens: tokens}
	operators.Routes(app)
	targets := &target.Server{Announcer: r.gate}
	targets.Routes(app)
	p := &platform.Server{Ready: r.notReady, Metrics: r.metrics.Handler()}
	p.Routes(app)
}

// knows reports whether a token's digest belongs to a caller of this region.
func (r *Runner) knows(digest string) bool {
	for _, c := range r.control.View().Callers {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenDigest)) == 1 {
			return true
		}
	}
	return false
}

// endConnections lets clients close their connections during a planned stop,
// so that none is closed while a request is on its way.
func (r *Runner) endConnections(ctx iris.Context) {
	if r.gate.Stopping() {
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

// notReady returns why the balancer should send no requests, or nothing.
func (r *Runner) notReady() string {
	switch {
	case r.gate.Stopping():
		return "stopping"
	case r.node.Status().Leader == "":
		return "no leader is known"
	case !r.gate.Leased():
		return "no lease"
	}
	return ""
}

// stop carries out a planned stop.
func (r *Runner) stop() error {
	r.Log.Info("planned stop began")
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.StopGrace)
	defer cancel()
	r.gate.Refuse()
	time.Sleep(drainPause)
	r.handOver(ctx)
	r.gate.Stop(ctx)
	<-r.ready
	if err := r.httpServer.Shutdown(ctx); err != nil {
		r.Log.Warn("connections were cut at the end of the stop grace", "error", err)
	}
	r.Log.Info("planned stop done")
	return nil
}

// handOver transfers leadership and waits until another replica leads.
func (r *Runner) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	if r.node.Status().Role != replicator.Leader {
		return
	}
	r.node.Transfer(ctx)
	for ctx.Err() == nil {
		st := r.node.Status()
		if st.Role != replicator.Leader && st.Leader != "" {
			return
		}
		time.Sleep(drainPause / 10)
	}
}

// close ends the parts and releases the addresses and the data folder.
func (r *Runner) close(cancel func()) {
	cancel()
	<-r.nodeDone
	_ = r.HTTP.Close()
	_ = r.Replica.Close()
	if r.store != nil {
		_ = r.store.Close()
	}
}

// gauges adds the metrics that are read when they are asked for. Those of the
// leader's decisions are 0 on other daemons.
func (r *Runner) gauges() {
	m := r.metrics
	for class := range registrar.ClassCount {
		m.LabeledGauge("queue_length", "Waiting work by class, at the leader.", map[string]string{"class": registrar.Class(class).String()},
			func() float64 { return float64(r.control.Load().Queued[class]) })
	}
	m.Gauge("packing_ratio", "Share of the scarcest resource that is charged, at the leader.", func() float64 { return r.control.Load().Packing })
	m.Gauge("targets_alive", "Targets that hold a lease, at the leader.", func() float64 { return float64(r.control.Load().Targets) })
	m.Gauge("targets_quarantined", "Targets in quarantine, at the leader.", func() float64 { return float64(r.control.Load().Quarantined) })
	m.Gauge("daemons_leased", "Daemons that hold a lease, at the leader.", func() float64 { return float64(r.control.Load().Daemons) })
	for _, p := range append(r.client.Peers, replica.Peer{Name: replica.Incoming}) {
		t := r.traffic.Of(p.Name)
		m.Counter("peer_bytes_total", "Bytes between daemons by peer.", map[string]string{"direction": "sent", "peer": string(p.Name)}, func() float64 { return float64(t.Sent.Load()) })
		m.Counter("peer_bytes_total", "Bytes between daemons by peer.", map[string]string{"direction": "received", "peer": string(p.Name)}, func() float64 { return float64(t.Received.Load()) })
	}
	m.Gauge("leader", "1 while this daemon leads.", func() float64 {
		if r.node.Status().Role == replicator.Leader {
			return 1
		}
		return 0
	})
	m.Gauge("term", "Election term.", func() float64 { return float64(r.node.Status().Term) })
	m.Gauge("revision", "Configuration revision in force here.", func() float64 { return float64(r.control.View().Revision) })
	m.Gauge("leased", "1 while this daemon's lease is in force.", func() float64 {
		if r.gate.Leased() {
			return 1
		}
		return 0
	})
	m.Gauge("requests_in_flight", "Requests that wait for their outcome.", func() float64 {
		n, _ := r.gate.InFlight()
		return float64(n)
	})
	m.Gauge("attempts_in_flight", "Attempts that this daemon has started.", func() float64 {
		_, n := r.gate.InFlight()
		return float64(n)
	})
	m.Counter("control_bytes_total", "Bytes between daemons.", map[string]string{"direction": "sent"}, func() float64 { return float64(r.traffic.Sent.Load()) })
	m.Counter("control_bytes_total", "Bytes between daemons.", map[string]string{"direction": "received"}, func() float64 { return float64(r.traffic.Received.Load()) })
}

// handler connects the replica protocol with the parts.
type handler struct {
	r *Runner
}

func (h handler) Receive(messages []replicator.Message) { h.r.node.Receive(messages) }

func (h handler) Relay(ctx context.Context, c *replica.RelayCall) (*replica.RelayReply, error) {
	if c.Method == operator.MethodCall {
		return h.r.operators.ServeFar(ctx, c), nil
	}
	box := h.r.app.Load()
	if box == nil {
		return nil, errors.New("the daemon is starting")
	}
	return region.Serve(ctx, box.handler, c), nil
}

// handlerBox holds the HTTP handler once it is built.
type handlerBox struct {
	handler http.Handler
}

func (h handler) Session(ctx context.Context, s replica.SessionStream) error {
	return h.r.control.Session(ctx, s)
}

func (h handler) Call(ctx context.Context, c *replica.Call) (*replica.CallReply, error) {
	return h.r.operators.Call(ctx, c)
}

func (h handler) Answer(ctx context.Context, q *replica.AnswerQuery) (*replica.AnswerReply, error) {
	return h.r.gate.Answer(ctx, q)
}

// Prepare writes the identity of a first voter into its data folder.
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
