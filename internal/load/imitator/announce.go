package imitator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// This file announces a stand-in to the daemons and follows their answers.

func (t *Target) announceSoon() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Target) announceLoop(ctx context.Context) {
	interval := t.Interval
	if interval == 0 {
		interval = defaultInterval
	}
	client := &http.Client{Timeout: announceTimeout}
	for ctx.Err() == nil {
		wait := interval
		if !t.announce(ctx, client) {
			wait = min(retryAnnounce, interval)
		}
		t.checkLease()
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-time.After(wait):
		}
	}
}

// checkLease stops everything once the lease is over.
func (t *Target) checkLease() {
	t.mu.Lock()
	over := !t.lease.IsZero() && t.Now().After(t.lease)
	t.mu.Unlock()
	if over {
		t.stopAll()
	}
}

func (t *Target) announcement() target.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	a := target.Announcement{
		Name: t.Name, Address: t.Address(), Region: t.Region, Zone: t.Zone, Rack: t.Rack, Capacity: t.Capacity,
		Slots: t.Slots, Connections: t.Connections, Incarnation: t.life, Seq: t.seq, Leaving: t.leaving,
	}
	factor := t.faults.UsageFactor
	if factor == 0 {
		factor = 1
	}
	for id, r := range t.running {
		use := r.start.Need
		use.CPU = registrar.MilliCPU(float64(use.CPU) * factor)
		use.Memory = registrar.MiB(float64(use.Memory) * factor)
		a.Running = append(a.Running, target.Running{Task: id, Attempt: r.start.Attempt, Background: r.start.Background, Usage: use})
	}
	sort.Slice(a.Running, func(i, j int) bool { return a.Running[i].Task < a.Running[j].Task })
	for _, e := range t.ended {
		if e.announce {
			a.Ended = append(a.Ended, e.status)
		}
	}
	return a
}

func (t *Target) announce(ctx context.Context, client *http.Client) bool {
	t.mu.Lock()
	silent := t.faults.Silent
	t.mu.Unlock()
	if silent || len(t.Daemons) == 0 {
		return false
	}
	a := t.announcement()
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	t.next++
	u := "http://" + t.Daemons[t.next%len(t.Daemons)] + target.PathAnnounce
	sent := t.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var reply target.AnnounceReply
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		return false
	}
	t.take(&reply, sent)
	return true
}

func (t *Target) take(reply *target.AnnounceReply, sent time.Time) {
	t.mu.Lock()
	if reply.LeaseMillis > 0 {
		t.lease = sent.Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	}
	faults := t.faults
	for _, ref := range reply.Forget {
		if e := t.ended[ref]; e != nil {
			e.announce = false
		}
	}
	t.mu.Unlock()
	for _, ref := range reply.Stop {
		t.stop(ref, faults)
	}
}
