// Package balancer serves the balancer and the monitoring before a daemon: liveness,
// readiness and metrics.
package balancer

import (
	"net/http"

	"github.com/kataras/iris/v12"
)

// Server serves them. The exported fields are set before Routes.
type Server struct {
	// Ready returns an empty text, or why the daemon should get no requests.
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
	_, _ = ctx.WriteString(reason + "\n") // the caller may be gone
}
