package runner

import (
	"context"
	"crypto/subtle"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/region"
	"masticroad/internal/peer/replica"
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

// knows reports whether a token's digest belongs to a caller of this region.
func (r *Runner) knows(digest string) bool {
	for _, c := range r.control.View().Callers {
		if subtle.ConstantTimeCompare([]byte(digest), []byte(c.TokenDigest)) == 1 {
			return true
		}
	}
	return false
}
