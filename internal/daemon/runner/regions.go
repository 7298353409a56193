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

// This file connects a daemon with the daemons of other regions.

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

// announceAtHome passes the announcement of a target of another region on.
func (r *Runner) announceAtHome(ctx context.Context, home registrar.RegionName, body []byte) (status int, reply []byte, known bool) {
	if home == r.Settings.Region {
		return 0, nil, false
	}
	if _, ok := r.router.Elsewhere[home]; !ok {
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

// knows reports whether a token's digest belongs to a caller of this region.
func (r *Runner) knows(digest string) bool {
	for _, c := range r.control.View().Callers {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenDigest)) == 1 {
			return true
		}
	}
	return false
}
