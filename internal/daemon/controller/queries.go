package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file runs read functions over the replicated state for other goroutines.
// A linearizable read waits until a majority has confirmed the leader.

// QueryState is the state that a query may read.
type QueryState struct {
	State   *registrar.State
	Decider *decider.Decider // nil unless this replica leads
	Status  replicator.Status
	Now     time.Time
}

type query struct {
	read  func(*QueryState)
	stale bool
	done  chan error
	since time.Time
}

// ErrNotLeader is returned for a read that only the leader can serve.
var ErrNotLeader = errors.New("this daemon does not lead")

const readTimeout = 3 * time.Second

// Read runs f on the control goroutine once the read is linearizable. With
// stale set, f runs at once, on any daemon. f must not retain references to what
// it reads.
func (c *Controller) Read(ctx context.Context, stale bool, f func(*QueryState)) error {
	q := &query{read: f, stale: stale, done: make(chan error, 1)}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case c.queries <- q:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// Change passes an operator's change to the decider and waits for the result.
func (c *Controller) Change(ctx context.Context, ch *decider.Change) (decider.ChangeResult, error) {
	result := make(chan decider.ChangeResult, 1)
	ch.Done = func(r decider.ChangeResult) { result <- r }
	select {
	case c.changes <- ch:
	case <-ctx.Done():
		return decider.ChangeResult{}, errors.Trace(ctx.Err())
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return decider.ChangeResult{Uncertain: true}, nil
	}
}

func (c *Controller) handleQuery(ctx context.Context, q *query) {
	switch {
	case q.stale:
		c.runQuery(q)
	case !c.leading:
		q.done <- ErrNotLeader
	default:
		c.nextRead++
		q.since = c.Now()
		c.reads[c.nextRead] = q
		c.Node.Read(ctx, c.nextRead)
	}
}

func (c *Controller) runQuery(q *query) {
	t := &QueryState{State: c.state, Status: c.status, Now: c.Now()}
	if c.leading {
		t.Decider = c.Decider
	}
	q.read(t)
	q.done <- nil
}

func (c *Controller) runReads(ids []replicator.ReadID) {
	for _, id := range ids {
		if q := c.reads[id]; q != nil {
			delete(c.reads, id)
			c.runQuery(q)
		}
	}
}

func (c *Controller) failQueries() {
	for id, q := range c.reads {
		delete(c.reads, id)
		q.done <- ErrNotLeader
	}
}

// Confirm waits until an accepted change is active and returns its original
// result.
func (c *Controller) Confirm(ctx context.Context, id registrar.ChangeID, digest registrar.Digest) (decider.ChangeResult, error) {
	return c.Change(ctx, &decider.Change{ID: id, Known: &digest})
}
