package runner

import (
	"context"
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"masticroad/internal/peer/balancer"
	"masticroad/internal/peer/caller"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
	"masticroad/internal/state/replicator"
)

// This file serves the daemon's HTTP interfaces and what other daemons send.

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
	if r.router != nil {
		targets.Home = r.announceAtHome
	}
	targets.Routes(app)
	p := &balancer.Server{Ready: r.notReady, Metrics: r.metrics.Handler()}
	p.Routes(app)
}

// endConnections lets clients close their connections during a planned stop,
// so that none is closed while a request is on its way.
func (r *Runner) endConnections(ctx iris.Context) {
	if r.gate.Stopping() {
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

// notReady returns why the balancer should send no requests, or nothing. While
// a leader is elected the lease goes on, and requests wait.
func (r *Runner) notReady() string {
	switch {
	case r.gate.Stopping():
		return "stopping"
	case !r.gate.Leased():
		return "no lease"
	}
	return ""
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
