// Package balancer serves liveness, readiness and metrics to the load balancer and
// the monitoring of a daemon.
package balancer

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// Server serves the endpoints. The exported fields are set before Routes.
type Server struct {
	// Ready returns "" if the daemon is ready for requests, or else the reason.
	Ready   func() string
	Metrics http.Handler
}

// Routes adds the interface to an application.
func (s *Server) Routes(app *iris.Application) {
	app.Get("/live", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/ready", s.ready)
	app.Get("/metrics", iris.FromStd(s.Metrics))
}

func (s *Server) ready(ctx iris.Context) {
	reason := s.Ready()
	if reason == "" {
		ctx.StatusCode(http.StatusOK)
		return
	}
	ctx.StatusCode(http.StatusServiceUnavailable)
	_, _ = ctx.WriteString(reason + "\n") // the client may have disconnected
}
