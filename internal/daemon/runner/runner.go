// Package runner assembles the components of a daemon and runs them until it is
// stopped.
package runner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/grpc/credentials"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/daemon/gateway"
	"masticroad/internal/daemon/identifier"
	"masticroad/internal/metrics/recorder"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
	"masticroad/internal/settings/loader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// This file holds the start and the planned stop. A planned stop ends readiness,
// transfers leadership, rejects new requests, and waits until those in flight
// have finished and their reports are settled.

// Runner is one daemon. The exported fields are set before Run.
type Runner struct {
	Settings *loader.Settings
	Log      hclog.Logger
	Now      func() time.Time
	// HTTP and Replica are listeners that are already open, for tests and the
	// demo; nil: listen on the addresses of the settings.
	HTTP    net.Listener
	Replica net.Listener

	incarnation registrar.Incarnation
	store       *storer.Storer
	node        *replicator.Node
	controller  *controller.Controller
	gateway     *gateway.Gateway
	client      *replica.Client
	operators   *operator.Service
	metrics     *recorder.Recorder
	traffic     *replica.Traffic
	budget      *budgeter.Budget // for requests of callers, targets and operators
	identity    storer.Identity
	saved       replicator.StoredState
	router      *region.Router // nil in a cell with a single log
	httpHandler atomic.Pointer[handlerBox]
	creds       credentials.TransportCredentials
	httpReady   chan struct{}
	nodeDone    chan struct{}
	httpServer  *http.Server
}

const (
	readHeaderTimeout    = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	refusalInterval      = time.Second // between log lines about refused requests
	maxHeaderBytes       = 16 << 10    // the server adds 4 KB
	transferPollInterval = 30 * time.Millisecond
	transferTimeout      = 2 * time.Second
	taskIDBits           = 40 // low bits of a task id; the bits above them hold the number of the log's group
	resolveInterval      = 2 * time.Second
)

// Run starts the daemon and returns after a planned stop, which begins when ctx
// ends, or with the error that ended it.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.open(); err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.Background())
	defer r.close(cancel)
	failed := make(chan error, 5)
	r.start(workCtx, failed)
	b := identifier.Build()
	r.Log.Info("daemon started", "revision", b.Revision, "build", b.ID, "http", r.HTTP.Addr().String(), "replica", r.Replica.Addr().String(), "id", string(r.identity.Replica))
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

// address returns the address at which other daemons reach a daemon, or an empty
// string.
func (r *Runner) address(name registrar.DaemonName) string {
	for _, p := range r.Settings.Peers {
		if p.Name == name {
			return p.Address
		}
	}
	return ""
}

// leader returns the address of the leader, or an empty string.
func (r *Runner) leader() string {
	id := r.node.Status().Leader
	if id == "" {
		return ""
	}
	return r.address(registrar.DaemonName(replicator.NameOf(id)))
}

func (r *Runner) start(ctx context.Context, failed chan<- error) {
	if err := r.controller.Restore(r.saved.Snapshot); err != nil {
		close(r.nodeDone)
		failed <- err
		return
	}
	r.saved = replicator.StoredState{}
	go func() {
		defer close(r.nodeDone)
		failed <- errors.Annotate(r.node.Run(ctx), "replica")
	}()
	go func() { failed <- errors.Annotate(r.controller.Run(ctx), "control") }()
	go r.client.Run(ctx)
	go r.gateway.Run(ctx)
	if r.router != nil {
		go r.router.Run(ctx)
		go r.resolveChanges(ctx)
	}
	server := &replica.Server{Handler: handler{r}, Listener: r.Replica, Credentials: r.creds, Traffic: r.traffic}
	go func() { failed <- errors.Annotate(server.Run(ctx), "replica server") }()
	go func() { failed <- r.serveHTTP() }()
	go r.budget.Watch(ctx, refusalInterval, func(refused int, s budgeter.Stats) {
		r.Log.Warn("requests refused for want of memory", "count", refused, "taken", int64(s.Taken), "total", int64(s.Total), "waiting", s.Waiting)
	})
}

// stop performs a planned stop.
func (r *Runner) stop() error {
	r.Log.Info("planned stop started")
	ctx, cancel := context.WithTimeout(context.Background(), r.Settings.StopGrace)
	defer cancel()
	r.gateway.BeginStop()
	time.Sleep(r.Settings.DrainPause)
	r.transferLeadership(ctx)
	r.gateway.Stop(ctx)
	<-r.httpReady
	if err := r.httpServer.Shutdown(ctx); err != nil {
		r.Log.Warn("connections still open at the end of the stop grace period", "error", err)
	}
	r.Log.Info("planned stop completed")
	return nil
}

// transferLeadership transfers leadership, if this replica leads, and waits until
// another one does or transferTimeout has passed.
func (r *Runner) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if r.node.Status().Role != replicator.Leader {
		return
	}
	r.node.TransferLeadership(ctx)
	for ctx.Err() == nil {
		st := r.node.Status()
		if st.Role != replicator.Leader && st.Leader != "" {
			return
		}
		time.Sleep(transferPollInterval)
	}
}

// close stops the components and releases the addresses and the data folder.
func (r *Runner) close(cancel func()) {
	cancel()
	<-r.nodeDone
	_ = r.HTTP.Close()
	_ = r.Replica.Close()
	if r.store != nil {
		_ = r.store.Close()
	}
}
