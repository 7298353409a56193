package runner

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
	"masticroad/internal/peer/target"
	"masticroad/internal/state/replicator"
)

// This file connects a daemon to the daemons of other regions.

// openRegions creates the router to other regions, if the cell has any.
func (r *Runner) openRegions() {
	elsewhere := r.Settings.Elsewhere()
	if len(elsewhere) == 0 {
		return
	}
	remote := &replica.Client{Credentials: r.creds, Traffic: r.traffic}
	peers := make(map[registrar.RegionName][]replica.Peer)
	for name, list := range elsewhere {
		for _, p := range list {
			peer := replica.Peer{Name: p.Name, Address: p.Address}
			peers[name] = append(peers[name], peer)
			remote.Peers = append(remote.Peers, peer)
		}
	}
	r.router = &region.Router{Own: r.Settings.Region, Peers: peers, Client: remote, Now: r.Now}
	r.operators.Router = r.router
}

// resolveChanges periodically decides changes of every region that were left
// undecided, while this daemon leads.
func (r *Runner) resolveChanges(ctx context.Context) {
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

// relayAnnouncement relays the announcement of a target of another region to its
// home region. Known is false if the home region is this one.
func (r *Runner) relayAnnouncement(ctx context.Context, home registrar.RegionName, body []byte) (status int, reply []byte, known bool) {
	if home == r.Settings.Region {
		return 0, nil, false
	}
	if _, ok := r.router.Peers[home]; !ok {
		text := fmt.Sprintf("announcement: region %q is not one of this cell\n", home)
		return http.StatusBadRequest, []byte(text), true
	}
	call := &replica.RelayCall{Method: http.MethodPost, Path: target.PathAnnounce, Body: body}
	out, err := r.router.Relay(ctx, home, call)
	if err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error()), true
	}
	return out.Status, out.Body, true
}

// isCallerToken reports whether a token's digest belongs to a caller of this
// region.
func (r *Runner) isCallerToken(digest string) bool {
	for _, c := range r.controller.View().Callers {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenDigest)) == 1 {
			return true
		}
	}
	return false
}
