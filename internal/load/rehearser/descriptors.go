package rehearser

import (
	"context"
	"time"
)

// This file watches how many descriptors the daemons have open.

const descriptorInterval = 500 * time.Millisecond

func (r *Rehearsal) countDescriptors(ctx context.Context) {
	tick := time.NewTicker(descriptorInterval)
	defer tick.Stop()
	for {
		for _, p := range r.procs {
			n := p.descriptors()
			r.mu.Lock()
			r.descriptors[p.node.Name] = max(r.descriptors[p.node.Name], n)
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
