// Package controller runs the one goroutine that owns the control state of a
// daemon: it applies the replicated log to the tables and, while this replica
// leads, lets the decider decide, proposes the result and releases its messages
// once it is committed.
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
// decides on committed state, and what arrives meanwhile is decided together.

const (
	tickInterval = 100 * time.Millisecond // of a leader
	idleTick     = time.Second
	inputQueue   = 4096
	maxGather    = 2048
)

// Controller owns the tables. The exported fields are set before Open.
type Controller struct {
	Node    *replicator.Node
	Decider *decider.Decider
	Log     hclog.Logger
	Now     func() time.Time
	// MaxEntries and MaxBytes of the log are kept before a snapshot is taken.
	MaxEntries int
	MaxBytes   int
	// Changed, when set, is called after a new view was published.
	Changed func()
	// Observe, when set, is told by the leader about the start of each task of a
	// job and how long it waited.
	Observe func(caller registrar.CallerName, class registrar.Class, wait time.Duration)

	ctx      context.Context // of Run
	state    *registrar.State
	views    atomic.Pointer[View]
	inputs   chan decider.Input
	changes  chan *decider.Change
	queries  chan *query
	attach   chan *session
	sessions map[registrar.DaemonName]*session

	status    replicator.Status
	leading   bool
	ticking   bool
	term      registrar.Term // that the decider was begun for
	noopTerm  registrar.Term // newest term whose first entry is applied
	inflight  *decider.Round
	gathered  []decider.Input
	wanted    []*decider.Change
	reads     map[replicator.ReadID]*query
	nextRead  replicator.ReadID
	dirty     bool
	load      atomic.Pointer[decider.Load]
	loadAt    time.Time
	compacted chan struct{}
	roundAt   time.Time
	wake      chan struct{}
	waking    bool
	tailCount int
	tailBytes int
}

// Open prepares the channels. It must be called before any other method.
func (c *Controller) Open() {
	c.state = c.Decider.State
	c.inputs = make(chan decider.Input, inputQueue)
	c.changes = make(chan *decider.Change, inputQueue)
	c.queries = make(chan *query, inputQueue)
	c.attach = make(chan *session)
	c.sessions = make(map[registrar.DaemonName]*session)
	c.reads = make(map[replicator.ReadID]*query)
	c.compacted = make(chan struct{}, 1)
	c.wake = make(chan struct{}, 1)
	c.state.OnEvent = c.noteEvent
	c.publish()
}

// Run owns the tables until ctx ends or the log can't be applied.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(idleTick)
	defer tick.Stop()
	defer c.Decider.Abandon()
	c.ctx = ctx
	for {
		select {
		case <-ctx.Done():
			return nil
		case u, ok := <-c.Node.Updates():
			if !ok {
				return nil
			}
			if err := c.take(ctx, u); err != nil {
				return err
			}
		case in := <-c.inputs:
			c.gathered = append(c.gathered, in)
		case ch := <-c.changes:
			c.wanted = append(c.wanted, ch)
		case q := <-c.queries:
			c.takeQuery(ctx, q)
		case s := <-c.attach:
			c.attachSession(s)
		case <-c.wake:
			c.waking = false
		case <-tick.C:
		}
		c.gather()
		if err := c.decide(ctx); err != nil {
			return err
		}
		c.setTick(tick)
		c.noteLoad(c.Now())
	}
}

// Restore fills the tables from a snapshot, before Run.
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

// setTick lets the ticker run fast while this replica leads.
func (c *Controller) setTick(tick *time.Ticker) {
	if c.leading == c.ticking {
		return
	}
	c.ticking = c.leading
	if c.ticking {
		tick.Reset(tickInterval)
		return
	}
	tick.Reset(idleTick)
}

func (c *Controller) gather() {
	for range maxGather {
		select {
		case in := <-c.inputs:
			c.gathered = append(c.gathered, in)
		case ch := <-c.changes:
			c.wanted = append(c.wanted, ch)
		default:
			return
		}
	}
}

// take applies an update of the log.
func (c *Controller) take(ctx context.Context, u replicator.Update) error {
	if u.Snapshot != nil {
		if err := c.state.Restore(u.Snapshot.Data); err != nil {
			return errors.Annotate(err, "control: snapshot")
		}
		c.tailCount, c.tailBytes = 0, 0
		c.dirty = true
	}
	c.status = u.Status
	c.checkLeadership()
	if u.Dropped && c.leading {
		c.endLeadership()
	}
	for i := range u.Entries {
		if err := c.apply(&u.Entries[i]); err != nil {
			return err
		}
	}
	c.beginIfReady()
	if c.dirty {
		c.publish()
		if c.Changed != nil {
			c.Changed()
		}
	}
	c.answerReads(u.Reads)
	c.compact(ctx)
	return nil
}

func (c *Controller) apply(e *replicator.Entry) error {
	c.tailCount++
	c.tailBytes += len(e.Data)
	if e.Type != replicator.EntryNormal {
		c.state.Skip(e.Index)
		if e.Type == replicator.EntryNoop {
			c.noopTerm = e.Term
		}
		return nil
	}
	entry, err := c.state.Apply(e.Index, e.Data)
	if err != nil {
		return errors.Annotatef(err, "control: entry %d", e.Index)
	}
	if c.inflight != nil && c.leading && e.Term == c.term {
		round := c.inflight
		c.inflight = nil
		c.Decider.Committed(entry.Events, c.Now())
		c.observe(entry)
		c.release(round)
		if changesConfiguration(entry.Events) {
			c.Node.Hurry(c.ctx)
		}
	}
	return nil
}

// observe tells how long the tasks of jobs waited for their start.
func (c *Controller) observe(entry registrar.Entry) {
	if c.Observe == nil {
		return
	}
	for _, ev := range entry.Events {
		a, ok := ev.(registrar.TaskAssigned)
		if !ok {
			continue
		}
		if t := c.state.Tasks[a.ID]; t != nil && t.Kind != registrar.Request {
			c.Observe(t.Caller, t.Class, time.Duration(entry.At-t.Submitted)*time.Millisecond)
		}
	}
}

// Load returns what the decider last told about queues and targets; it is empty
// on a daemon that does not lead.
func (c *Controller) Load() decider.Load {
	if l := c.load.Load(); l != nil {
		return *l
	}
	return decider.Load{}
}

// noteLoad publishes the decider's load from time to time.
func (c *Controller) noteLoad(now time.Time) {
	if now.Sub(c.loadAt) < loadInterval {
		return
	}
	c.loadAt = now
	l := decider.Load{}
	if c.leading {
		l = c.Decider.Load(now)
	}
	c.load.Store(&l)
}

// loadInterval is the time between two looks at queues and targets.
const loadInterval = time.Second

// changesConfiguration reports whether operators wait until every daemon has
// applied the events.
func changesConfiguration(events []registrar.Event) bool {
	for _, ev := range events {
		if _, ok := ev.(registrar.ConfigChanged); ok {
			return true
		}
	}
	return false
}

// checkLeadership ends the decider's work when this replica no longer leads in
// the term that the decider was begun for.
func (c *Controller) checkLeadership() {
	if !c.leading || c.status.Role == replicator.Leader && c.status.Term == c.term {
		return
	}
	c.endLeadership()
}

// endLeadership answers what waits and drops what was not committed.
func (c *Controller) endLeadership() {
	c.Log.Info("leadership lost", "term", c.term)
	c.leading = false
	c.inflight = nil
	c.gathered = nil
	c.Decider.Abandon()
	c.dropSessions()
	c.failQueries()
	for _, ch := range c.wanted {
		ch.Done(decider.ChangeResult{Uncertain: true})
	}
	c.wanted = nil
}

// beginIfReady starts deciding once the first entry of the own term is
// applied, so that the tables hold everything earlier leaders committed.
func (c *Controller) beginIfReady() {
	if c.leading || c.status.Role != replicator.Leader || c.noopTerm != c.status.Term {
		return
	}
	c.leading = true
	c.term = c.status.Term
	c.Decider.Begin(c.term, c.Now())
	c.Log.Info("leadership taken", "term", c.term)
}

// decide runs a round unless one is in flight.
func (c *Controller) decide(ctx context.Context) error {
	if !c.leading {
		c.rejectWaiting()
		return nil
	}
	if c.inflight != nil {
		return nil
	}
	now := c.Now()
	if wait := c.Decider.RoundDelay() - now.Sub(c.roundAt); wait > 0 {
		c.wakeAfter(wait)
		return nil
	}
	if len(c.gathered) == 0 && len(c.wanted) == 0 && !c.Decider.HasDue(now) {
		return nil
	}
	c.roundAt = now
	inputs, changes := c.gathered, c.wanted
	c.gathered, c.wanted = nil, nil
	round := c.Decider.Decide(inputs, changes, c.Node.Status().LeaseUntil, now)
	if len(round.Events) == 0 {
		c.release(&round)
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

// wakeAfter makes the loop go round once more after the given time.
func (c *Controller) wakeAfter(d time.Duration) {
	if c.waking {
		return
	}
	c.waking = true
	time.AfterFunc(d, func() {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	})
}

// rejectWaiting answers what only a leader can answer.
func (c *Controller) rejectWaiting() {
	c.gathered = nil
	for _, ch := range c.wanted {
		ch.Done(decider.ChangeResult{Uncertain: true})
	}
	c.wanted = nil
}

// release sends the messages of a committed round.
func (c *Controller) release(r *decider.Round) {
	for name, m := range r.Down {
		if s := c.sessions[name]; s != nil {
			s.push(m)
		}
	}
	for _, answer := range r.Answers {
		answer()
	}
}

// compact takes a snapshot when the log has grown. Copying the tables is done
// here, encoding them on another goroutine.
func (c *Controller) compact(ctx context.Context) {
	if c.tailCount < c.MaxEntries && c.tailBytes < c.MaxBytes {
		return
	}
	select {
	case c.compacted <- struct{}{}:
	default:
		return // one at a time
	}
	c.tailCount, c.tailBytes = 0, 0
	frozen := c.state.Freeze()
	go func() {
		defer func() { <-c.compacted }()
		data, err := frozen.Encode()
		if err != nil {
			c.Log.Error("snapshot failed", "error", err)
			return
		}
		c.Node.Compact(ctx, frozen.Applied, data)
	}()
}

func (c *Controller) noteEvent(ev registrar.Event) {
	switch ev.(type) {
	case registrar.ConfigChanged, registrar.TargetAnnounced, registrar.TargetMarked, registrar.CallerProved,
		registrar.TargetProved, registrar.DaemonSeen, registrar.JobSubmitted, registrar.JobCanceled:
		c.dirty = true
	}
}
