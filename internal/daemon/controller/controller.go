// Package controller runs the goroutine that owns the control state of a daemon.
// It applies the log to the replicated state. While this replica leads, it also
// runs the decider, proposes the decided events and sends the messages of a
// round once its events are committed.
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file holds the loop. One round is in flight at a time, so each round
// decides on committed state. Inputs that arrive meanwhile are decided together
// in the next round.

const (
	tickInterval     = 100 * time.Millisecond // between passes of the loop of a leader
	idleTickInterval = time.Second
	inputQueueSize   = 4096
	maxBatch         = 2048
)

// Controller owns the replicated state. The exported fields are set before Open.
type Controller struct {
	Node    *replicator.Node
	Decider *decider.Decider
	Log     hclog.Logger
	Now     func() time.Time
	// MaxEntries and MaxBytes are the sizes of the log after the last snapshot at
	// which the next snapshot is taken.
	MaxEntries int
	MaxBytes   int
	// OnViewChange, when set, is called after a new view is published.
	OnViewChange func()
	// OnTaskStart, when set, is called on the leader for each started task of a job
	// with the time that the task waited.
	OnTaskStart func(caller registrar.CallerName, class registrar.Class, wait time.Duration)

	ctx      context.Context // of Run
	state    *registrar.State
	views    atomic.Pointer[View]
	inputs   chan decider.Input
	changes  chan *decider.Change
	queries  chan *query
	attach   chan *session
	sessions map[registrar.DaemonName]*session

	status          replicator.Status
	leading         bool
	fastTick        bool
	term            registrar.Term // in which the decider was started
	noopTerm        registrar.Term // newest term whose no-op entry is applied
	inflight        *decider.Round
	pendingInputs   []decider.Input
	pendingChanges  []*decider.Change
	reads           map[replicator.ReadID]*query
	nextRead        replicator.ReadID
	dirty           bool
	load            atomic.Pointer[decider.Load]
	loadPublishedAt time.Time
	compacting      chan struct{}
	lastRoundAt     time.Time
	wake            chan struct{}
	wakeScheduled   bool
	logEntries      int
	logBytes        int
}

// Open initializes the controller. It must be called before any other method.
func (c *Controller) Open() {
	c.state = c.Decider.State
	c.inputs = make(chan decider.Input, inputQueueSize)
	c.changes = make(chan *decider.Change, inputQueueSize)
	c.queries = make(chan *query, inputQueueSize)
	c.attach = make(chan *session)
	c.sessions = make(map[registrar.DaemonName]*session)
	c.reads = make(map[replicator.ReadID]*query)
	c.compacting = make(chan struct{}, 1)
	c.wake = make(chan struct{}, 1)
	c.state.OnEvent = c.markDirty
	c.publish()
}

// Run owns the replicated state until ctx ends or the log can't be applied.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(idleTickInterval)
	defer tick.Stop()
	defer c.Decider.FailPendingChanges()
	c.ctx = ctx
	for {
		select {
		case <-ctx.Done():
			return nil
		case u, ok := <-c.Node.Updates():
			if !ok {
				return nil
			}
			if err := c.applyUpdate(ctx, u); err != nil {
				return err
			}
		case in := <-c.inputs:
			c.pendingInputs = append(c.pendingInputs, in)
		case ch := <-c.changes:
			c.pendingChanges = append(c.pendingChanges, ch)
		case q := <-c.queries:
			c.handleQuery(ctx, q)
		case s := <-c.attach:
			c.attachSession(s)
		case <-c.wake:
			c.wakeScheduled = false
		case <-tick.C:
		}
		c.drainQueues()
		if err := c.runRoundIfDue(ctx); err != nil {
			return err
		}
		c.setTickInterval(tick)
		c.publishLoad(c.Now())
	}
}

// Restore loads the replicated state from a snapshot. It must be called before
// Run.
func (c *Controller) Restore(snap replicator.Snapshot) error {
	if len(snap.Data) == 0 {
		return nil
	}
	if err := c.state.Restore(snap.Data); err != nil {
		return errors.Annotate(err, "control: snapshot")
	}
	c.publish()
	return nil
}

// setTickInterval uses the short tick interval while this replica leads.
func (c *Controller) setTickInterval(tick *time.Ticker) {
	if c.leading == c.fastTick {
		return
	}
	c.fastTick = c.leading
	if c.fastTick {
		tick.Reset(tickInterval)
		return
	}
	tick.Reset(idleTickInterval)
}

func (c *Controller) drainQueues() {
	for range maxBatch {
		select {
		case in := <-c.inputs:
			c.pendingInputs = append(c.pendingInputs, in)
		case ch := <-c.changes:
			c.pendingChanges = append(c.pendingChanges, ch)
		default:
			return
		}
	}
}

// applyUpdate applies an update from the replicator: a snapshot, a change of
// status, committed entries and confirmed reads.
func (c *Controller) applyUpdate(ctx context.Context, u replicator.Update) error {
	if u.Snapshot != nil {
		if err := c.state.Restore(u.Snapshot.Data); err != nil {
			return errors.Annotate(err, "control: snapshot")
		}
		c.logEntries, c.logBytes = 0, 0
		c.dirty = true
	}
	c.status = u.Status
	c.checkLeadership()
	if u.ProposalDropped && c.leading {
		c.endLeadership()
	}
	for i := range u.Entries {
		if err := c.apply(&u.Entries[i]); err != nil {
			return err
		}
	}
	c.startIfReady()
	if c.dirty {
		c.publish()
		if c.OnViewChange != nil {
			c.OnViewChange()
		}
	}
	c.runReads(u.Reads)
	c.compact(ctx)
	return nil
}

func (c *Controller) apply(e *replicator.Entry) error {
	c.logEntries++
	c.logBytes += len(e.Data)
	switch e.Type {
	case replicator.EntryNormal:
	case replicator.EntryNoop:
		c.noopTerm = e.Term
		c.state.Skip(e.Index)
		return nil
	case replicator.EntryVoters:
		c.state.Skip(e.Index)
		return nil
	default:
		return errors.Errorf("control: entry %d is of type %d, which this version does not know", e.Index, e.Type)
	}
	entry, err := c.state.Apply(e.Index, e.Data)
	if err != nil {
		return errors.Annotatef(err, "control: entry %d", e.Index)
	}
	if c.inflight != nil && c.leading && e.Term == c.term {
		round := c.inflight
		c.inflight = nil
		c.Decider.Committed(entry.Events, c.Now())
		c.reportStartWaits(entry)
		c.sendRound(round)
		if changesConfiguration(entry.Events) {
			c.Node.BroadcastCommit(c.ctx)
		}
	}
	return nil
}

// reportStartWaits reports how long the started tasks of jobs waited.
func (c *Controller) reportStartWaits(entry registrar.Entry) {
	if c.OnTaskStart == nil {
		return
	}
	for _, ev := range entry.Events {
		a, ok := ev.(registrar.TaskAssigned)
		if !ok {
			continue
		}
		if t := c.state.Tasks[a.ID]; t != nil && t.Kind != registrar.KindRequest {
			c.OnTaskStart(t.Caller, t.Class, time.Duration(entry.At-t.Submitted)*time.Millisecond)
		}
	}
}

// Load returns the last published load of queues and targets. It is empty on a
// daemon that does not lead.
func (c *Controller) Load() decider.Load {
	if l := c.load.Load(); l != nil {
		return *l
	}
	return decider.Load{}
}

// publishLoad publishes the decider's load once per loadInterval.
func (c *Controller) publishLoad(now time.Time) {
	if now.Sub(c.loadPublishedAt) < loadInterval {
		return
	}
	c.loadPublishedAt = now
	l := decider.Load{}
	if c.leading {
		l = c.Decider.Load(now)
	}
	c.load.Store(&l)
}

// loadInterval is the time between two updates of the load.
const loadInterval = time.Second

// changesConfiguration reports whether the events change the configuration. An
// operator's call waits until every daemon has applied such a change.
func changesConfiguration(events []registrar.Event) bool {
	for _, ev := range events {
		if _, ok := ev.(registrar.ConfigChanged); ok {
			return true
		}
	}
	return false
}

// checkLeadership ends leadership when this replica no longer leads in the term
// in which the decider was started.
func (c *Controller) checkLeadership() {
	if !c.leading || c.status.Role == replicator.Leader && c.status.Term == c.term {
		return
	}
	c.endLeadership()
}

// endLeadership stops the decider, answers pending queries and changes, and
// drops the round that is not committed.
func (c *Controller) endLeadership() {
	c.Log.Info("leadership lost", "term", c.term)
	c.leading = false
	c.inflight = nil
	c.pendingInputs = nil
	c.Decider.FailPendingChanges()
	c.dropSessions()
	c.failQueries()
	for _, ch := range c.pendingChanges {
		ch.Done(decider.ChangeResult{Uncertain: true})
	}
	c.pendingChanges = nil
}

// startIfReady starts the decider once the first entry of this replica's own
// term is applied, so that the state includes everything that earlier leaders
// committed.
func (c *Controller) startIfReady() {
	if c.leading || c.status.Role != replicator.Leader || c.noopTerm != c.status.Term {
		return
	}
	c.leading = true
	c.term = c.status.Term
	c.Decider.Begin(c.term, c.Now())
	c.Log.Info("leadership taken", "term", c.term)
}

// runRoundIfDue runs a round if there is something to decide and none is in
// flight.
func (c *Controller) runRoundIfDue(ctx context.Context) error {
	if !c.leading {
		c.rejectPending()
		return nil
	}
	if c.inflight != nil {
		return nil
	}
	now := c.Now()
	if wait := c.Decider.RoundDelay() - now.Sub(c.lastRoundAt); wait > 0 {
		c.wakeAfter(wait)
		return nil
	}
	if len(c.pendingInputs) == 0 && len(c.pendingChanges) == 0 && !c.Decider.HasDue(now) {
		return nil
	}
	c.lastRoundAt = now
	inputs, changes := c.pendingInputs, c.pendingChanges
	c.pendingInputs, c.pendingChanges = nil, nil
	round := c.Decider.Decide(inputs, changes, c.Node.Status().LeaseUntil, now)
	if len(round.Events) == 0 {
		c.sendRound(&round)
		return nil
	}
	entry := registrar.Entry{At: registrar.MillisOf(now), Events: round.Events}
	data, err := entry.Encode()
	if err != nil {
		return errors.Annotate(err, "control: encode round")
	}
	c.inflight = &round
	c.Node.Propose(ctx, c.term, data)
	return nil
}

// wakeAfter schedules another pass of the loop after the given time.
func (c *Controller) wakeAfter(d time.Duration) {
	if c.wakeScheduled {
		return
	}
	c.wakeScheduled = true
	time.AfterFunc(d, func() {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	})
}

// rejectPending drops pending inputs and answers pending changes with an
// uncertain result: this replica does not lead.
func (c *Controller) rejectPending() {
	c.pendingInputs = nil
	for _, ch := range c.pendingChanges {
		ch.Done(decider.ChangeResult{Uncertain: true})
	}
	c.pendingChanges = nil
}

// sendRound sends the messages of a committed round.
func (c *Controller) sendRound(r *decider.Round) {
	for name, m := range r.Down {
		if s := c.sessions[name]; s != nil {
			s.enqueue(m)
		}
	}
	for _, answer := range r.Answers {
		answer()
	}
}

// compact takes a snapshot when the log has reached MaxEntries or MaxBytes. The
// state is copied here and encoded on another goroutine.
func (c *Controller) compact(ctx context.Context) {
	if c.logEntries < c.MaxEntries && c.logBytes < c.MaxBytes {
		return
	}
	select {
	case c.compacting <- struct{}{}:
	default:
		return // a snapshot is being encoded
	}
	c.logEntries, c.logBytes = 0, 0
	frozen := c.state.Freeze()
	go func() {
		defer func() { <-c.compacting }()
		data, err := frozen.Encode()
		if err != nil {
			c.Log.Error("snapshot can't be encoded", "error", err)
			return
		}
		c.Node.Compact(ctx, frozen.Applied, data)
	}()
}

func (c *Controller) markDirty(ev registrar.Event) {
	switch ev.(type) {
	case registrar.ConfigChanged, registrar.TargetAnnounced, registrar.TargetMarked, registrar.CallerRetirementProved,
		registrar.TargetRetirementProved, registrar.DaemonStarted, registrar.JobSubmitted, registrar.JobCanceled:
		c.dirty = true
	}
}
