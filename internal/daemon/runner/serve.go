package runner

import (
	"context"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"masticroad/internal/peer/acceptor"
	"masticroad/internal/peer/balancer"
	"masticroad/internal/peer/caller"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/receiver"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
	"masticroad/internal/state/replicator"
)

// This file serves the daemon's HTTP interfaces and the calls of other daemons.

func (r *Runner) serveHTTP() error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	r.routes(app)
	if err := app.Build(); err != nil {
		return errors.Annotate(err, "daemon: HTTP routes")
	}
	r.httpHandler.Store(&handlerBox{app})
	l := acceptor.New(r.HTTP, r.Settings.Connections)
	l.Budget = r.budget
	r.httpServer = &http.Server{
		Handler: l.Handler(app), ConnState: l.ConnState, ConnContext: l.ConnContext, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	r.registerRequestMetrics(l)
	close(r.httpReady)
	err := r.httpServer.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "daemon: HTTP")
}

func (r *Runner) routes(app *iris.Application) {
	s := r.Settings
	app.UseRouter(r.closeConnectionsOnStop)
	bodies := &receiver.Receiver{Timeout: s.BodyTimeout}
	callers := &caller.Server{
		Gateway: r.gateway, View: r.controller.View, Operator: r.operators, Now: r.Now,
		MaxBody: s.MaxBody, MaxInFlight: s.MaxInFlight, Receiver: bodies,
	}
	if r.router != nil {
		home := &region.Home{Router: r.router, OwnsToken: r.isCallerToken, MaxBody: int64(s.MaxBody) * 2, Receiver: bodies, Now: r.Now}
		app.UseRouter(func(ctx iris.Context) {
			if strings.HasPrefix(ctx.Path(), "/v1/requests") || strings.HasPrefix(ctx.Path(), "/v1/jobs") {
				home.Handle(ctx)
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
	operators := &operator.Server{Service: r.operators, Tokens: tokens, Receiver: bodies}
	operators.Routes(app)
	targets := &target.Server{Announcer: r.gateway, Receiver: bodies}
	if r.router != nil {
		targets.Home = r.relayAnnouncement
	}
	targets.Routes(app)
	probes := &balancer.Server{Ready: r.notReadyReason, Metrics: r.metrics.Handler()}
	probes.Routes(app)
}

// closeConnectionsOnStop makes clients close their connections during a planned
// stop, so that the daemon closes none while a request is in flight on it.
func (r *Runner) closeConnectionsOnStop(ctx iris.Context) {
	if r.gateway.Stopping() {
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

// notReadyReason returns why the balancer should send no requests, or an empty
// string. During an election the lease remains valid and requests wait, so the
// daemon stays ready.
func (r *Runner) notReadyReason() string {
	switch {
	case r.gateway.Stopping():
		return "stopping"
	case !r.gateway.Leased():
		return "no lease"
	}
	return ""
}

// handler serves the replica protocol with the daemon's components.
type handler struct {
	r *Runner
}

func (h handler) Receive(messages []replicator.Message) { h.r.node.Receive(messages) }

func (h handler) Relay(ctx context.Context, c *replica.RelayCall) (*replica.RelayReply, error) {
	if c.Method == operator.MethodCall {
		return h.r.operators.ServeRelayed(ctx, c), nil
	}
	box := h.r.httpHandler.Load()
	if box == nil {
		return nil, errors.New("the daemon is starting")
	}
	return region.Serve(ctx, box.handler, c), nil
}

// handlerBox wraps the HTTP handler for an atomic pointer.
type handlerBox struct {
	handler http.Handler
}

func (h handler) Session(ctx context.Context, s replica.SessionStream) error {
	return h.r.controller.Session(ctx, s)
}

func (h handler) Call(ctx context.Context, c *replica.Call) (*replica.CallReply, error) {
	return h.r.operators.Call(ctx, c)
}

func (h handler) Answer(ctx context.Context, q *replica.AnswerQuery) (*replica.AnswerReply, error) {
	return h.r.gateway.Answer(ctx, q)
}
