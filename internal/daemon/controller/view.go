package controller

import (
	"maps"

	"masticroad/internal/control/registrar"
)

// This file publishes the part of the replicated state that other goroutines
// read on each request: callers, targets, daemons and jobs. A published view is
// immutable.

// View is a copy of that part of the state at one log index.
type View struct {
	Applied  registrar.Index
	Revision registrar.Revision
	Callers  map[registrar.CallerName]*registrar.Caller
	Targets  map[registrar.TargetName]*registrar.Target
	Daemons  map[registrar.DaemonName]*registrar.Daemon
	Jobs     map[registrar.JobKey]*registrar.Job
}

// View returns the newest view.
func (c *Controller) View() *View { return c.views.Load() }

func (c *Controller) publish() {
	c.dirty = false
	c.views.Store(&View{
		Applied:  c.state.Applied,
		Revision: c.state.Revision,
		Callers:  maps.Clone(c.state.Callers),
		Targets:  maps.Clone(c.state.Targets),
		Daemons:  maps.Clone(c.state.Daemons),
		Jobs:     maps.Clone(c.state.Jobs),
	})
}
