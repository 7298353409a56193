// Package coordinator runs the goroutine that owns the control state of a
// daemon of a cell of workflows: it applies the replicated log to the tables
// and, while this replica leads, lets the planner plan, proposes the results
// and carries out orders once they are committed.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/metrics/meter"
	"masticroad/internal/peer/leader"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds the loop. The planner works on tables of its own, ahead of
// the log, so that several rounds may be on their way to a majority; when
// leadership is lost those tables are dropped. Example: a job is accepted in
// round 5 and its tasks are placed in round 6 before round 5 is committed; the
// orders of round 6 are sent after the commit of round 6, which implies 5.

const (
	inputQueue   = 8192
	maxGather    = 4096
	maxInflight  = 16                     // rounds on their way to a majority
	idleInterval = time.Second            // of the loop of a replica that does not lead
	loadInterval = time.Second            // between counts of what is before the leader
	noteLimit    = 1500                   // log lines a second
	roundDelay   = 5 * time.Millisecond   // least time between rounds: half a synced write
	leaseRetry   = 100 * time.Millisecond // until a read is tried again without a lease
)

// Clock tells the time.
type Clock interface {
	Now() planner.Moment
}

// Dispatcher carries out orders.
type Dispatcher interface {
	Do(a planner.Action)
}

// Coordinator owns the tables. The exported fields are set before Open.
type Coordinator struct {
	Node       *replicator.Node
	Clock      Clock
	Log        hclog.Logger
	Dispatcher Dispatcher
	Planner    *planner.Planner
	Name       planner.AdviserID // of this daemon
	Meter      *meter.Meter      // nil: nothing is counted
	// MaxBytes of the log are kept before a snapshot is taken.
	MaxBytes int
	// Follow is told the address of the leader, or an empty text, and its term.
	Follow func(leader string, term registrar.Term)

	ctx      context.Context // of Run
	state    *tracker.State  // committed
	inputs   chan input
	status   replicator.Status
	leading  atomic.Bool
	term     registrar.Term
	noopTerm registrar.Term
	ended    registrar.Term // newest term in which leadership was given up
	inflight []planner.Round
	gathered []input
	roundAt  time.Time
	reads    map[replicator.ReadID][]func()
	nextRead replicator.ReadID
	tail     int // bytes of the log since the last snapshot
	streams  map[planner.AdviserID]*stream
	watchers map[*stream]bool
	loadAt   time.Time // when the meter was told the load last
	noted    int       // log lines of the present second
	notedAt  time.Time
	dropped  int
	Totals   Totals
}

// Totals count what was done, for metrics.
type Totals struct {
	Rounds, Events, Inputs atomic.Int64
}

// input is something for the control goroutine. Exactly one field is set.
type input struct {
	call   *call
	order  *planner.OrderReport
	look   *planner.LookReport
	ask    *planner.AskReport
	vm     *planner.VMReport
	list   *planner.ListReport
	attach *stream
	detach *stream
	query  func(*tracker.State)
}

type call struct {
	leader.Call
	reply func(leader.Reply)
}

// Open prepares the channels. It must be called before any other method, with
// the context of Run.
func (c *Coordinator) Open(ctx context.Context) {
	c.ctx = ctx
	c.state = tracker.New()
	c.inputs = make(chan input, inputQueue)
	c.reads = make(map[replicator.ReadID][]func())
	c.streams = make(map[planner.AdviserID]*stream)
	c.watchers = make(map[*stream]bool)
}

// Restore fills the tables from a snapshot, before Run.
func (c *Coordinator) Restore(snap replicator.Snapshot) error {
	if len(snap.Data) == 0 {
		return nil
	}
	return errors.Annotate(c.state.Restore(snap.Data), "coordinator")
}

// Leading reports whether this replica decides.
func (c *Coordinator) Leading() bool { return c.leading.Load() }

// Run owns the tables until its context ends or the log can't be applied.
func (c *Coordinator) Run() error {
	ctx := c.ctx
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case u, ok := <-c.Node.Updates():
			if !ok {
				return nil
			}
			if err := c.take(u); err != nil {
				return err
			}
		case in := <-c.inputs:
			c.gathered = append(c.gathered, in)
		case <-timer.C:
		}
		c.gather()
		timer.Reset(c.decide())
	}
}

func (c *Coordinator) gather() {
	for range maxGather {
		select {
		case in := <-c.inputs:
			c.gathered = append(c.gathered, in)
		default:
			return
		}
	}
}

// take applies an update of the log.
func (c *Coordinator) take(u replicator.Update) error {
	if u.Snapshot != nil {
		if err := c.state.Restore(u.Snapshot.Data); err != nil {
			return errors.Annotate(err, "coordinator: snapshot")
		}
		c.tail = 0
	}
	changed := u.Status.Leader != c.status.Leader || u.Status.Role != c.status.Role || u.Status.Term != c.status.Term
	if changed {
		c.Log.Info("replica changed", "role", u.Status.Role.String(), "term", u.Status.Term, "leader", string(u.Status.Leader), "voters", u.Status.Voters)
	}
	c.status = u.Status
	c.Meter.SetVoters(len(u.Status.Voters))
	if changed {
		c.tellWatchers()
	}
	c.checkLeadership(u.Dropped)
	for i := range u.Entries {
		if err := c.apply(&u.Entries[i]); err != nil {
			return err
		}
	}
	c.beginIfReady()
	for _, id := range u.Reads {
		c.answerRead(id)
	}
	c.compact()
	return nil
}

func (c *Coordinator) apply(e *replicator.Entry) error {
	c.tail += len(e.Data)
	if e.Type != replicator.EntryNormal {
		c.state.Skip(e.Index)
		if e.Type == replicator.EntryNoop {
			c.noopTerm = e.Term
		}
		return nil
	}
	if _, err := c.state.Apply(e.Index, e.Data); err != nil {
		return errors.Annotatef(err, "coordinator: entry %d", e.Index)
	}
	if c.leading.Load() && e.Term == c.term && len(c.inflight) > 0 {
		round := c.inflight[0]
		c.inflight = c.inflight[1:]
		c.carryOut(round.After)
	}
	return nil
}

// checkLeadership ends the planning when this replica no longer leads in the
// term that the planner was begun for, or a proposal was refused.
func (c *Coordinator) checkLeadership(dropped bool) {
	if !c.leading.Load() {
		return
	}
	if c.status.Role == replicator.Leader && c.status.Term == c.term && !dropped {
		return
	}
	c.Log.Info("leadership lost", "term", c.term, "rounds", len(c.inflight))
	c.leading.Store(false)
	c.Meter.Leading(false)
	c.ended = c.term
	if c.status.Role == replicator.Leader && c.status.Term == c.term {
		// Orders of this term may be under way, so another term has to begin.
		c.Node.StepDown(c.ctx, c.term)
	}
	c.inflight = nil
	c.reads = make(map[replicator.ReadID][]func())
	for id, s := range c.streams {
		s.cancel()
		delete(c.streams, id)
	}
	c.refuse()
}

// refuse answers calls that only a leader can answer.
func (c *Coordinator) refuse() {
	for _, in := range c.gathered {
		c.refuseInput(in)
	}
	c.gathered = nil
}

func (c *Coordinator) refuseInput(in input) {
	switch {
	case in.call != nil:
		in.call.reply(leader.Reply{ID: in.call.ID, Verdict: planner.Uncertain, Reason: "this daemon does not lead"})
	case in.attach != nil:
		if in.attach.watches {
			c.attachWatch(in.attach)
			return
		}
		in.attach.welcome <- c.welcome()
	case in.detach != nil:
		delete(c.watchers, in.detach)
	case in.query != nil:
		in.query(c.state)
	}
}

// beginIfReady starts planning once the first entry of the own term is applied,
// so that the tables hold everything that earlier leaders committed.
func (c *Coordinator) beginIfReady() {
	ready := c.status.Role == replicator.Leader && c.noopTerm == c.status.Term && c.status.Term > c.ended
	if c.leading.Load() || !ready {
		return
	}
	c.term = c.status.Term
	c.leading.Store(true)
	c.Meter.Leading(true)
	c.Planner.State = c.state.Clone()
	now := c.Clock.Now()
	c.Planner.Begin(c.term, now)
	c.Planner.AddAdviser(c.Name, now)
	c.Log.Info("leadership taken", "term", c.term, "jobs", len(c.state.Jobs), "targets", len(c.state.Targets))
}

// decide runs a round if one is due and returns the time to the next.
func (c *Coordinator) decide() time.Duration {
	if !c.leading.Load() {
		c.refuse()
		return idleInterval
	}
	now := c.Clock.Now()
	if wait := roundDelay - now.Steady.Sub(c.roundAt); wait > 0 {
		return wait
	}
	if len(c.inflight) >= maxInflight {
		return roundDelay
	}
	if len(c.gathered) > 0 || !now.Steady.Before(c.Planner.Due()) {
		c.roundAt = now.Steady
		c.round(now)
	}
	return max(c.Planner.Due().Sub(c.Clock.Now().Steady), roundDelay)
}

func (c *Coordinator) round(now planner.Moment) {
	begun := time.Now()
	inputs := c.gathered
	c.gathered = nil
	for _, in := range inputs {
		c.takeInput(in, now)
	}
	c.Planner.Plan(now)
	round := c.Planner.Take()
	c.measure(&round, time.Since(begun), now)
	c.Totals.Rounds.Add(1)
	c.Totals.Inputs.Add(int64(len(inputs)))
	c.logNotes(round.Notes, now)
	c.carryOut(round.Now)
	if len(round.Events) == 0 {
		c.afterInflight(round)
		return
	}
	c.Totals.Events.Add(int64(len(round.Events)))
	entry := tracker.Entry{At: now.Wall, Events: round.Events}
	data, err := entry.Encode()
	if err != nil {
		c.Log.Error("round can't be encoded", "error", err)
		c.checkLeadership(true)
		return
	}
	c.inflight = append(c.inflight, planner.Round{After: round.After})
	c.Node.Propose(c.ctx, c.term, data)
}

// measure counts what a round has decided.
func (c *Coordinator) measure(round *planner.Round, took time.Duration, now planner.Moment) {
	if c.Meter == nil {
		return
	}
	c.Meter.Round(took)
	for i := range round.Jobs {
		c.Meter.Job(&round.Jobs[i])
	}
	for i := range round.Events {
		if e := round.Events[i].RunEnded; e != nil {
			c.Meter.Run(e.How)
		}
	}
	if now.Steady.Sub(c.loadAt) >= loadInterval {
		c.loadAt = now.Steady
		c.Meter.SetLoad(c.Planner.Load(now))
	}
}

// afterInflight carries out the orders of a round without events once the
// rounds before it are committed, since they may rest on those.
func (c *Coordinator) afterInflight(round planner.Round) {
	if n := len(c.inflight); n > 0 {
		c.inflight[n-1].After = append(c.inflight[n-1].After, round.After...)
		return
	}
	c.carryOut(round.After)
}

func (c *Coordinator) carryOut(actions []planner.Action) {
	for _, a := range actions {
		switch {
		case a.Done != nil:
			a.Done()
		case a.Ask != nil:
			c.ask(a.Ask)
		default:
			c.Dispatcher.Do(a)
		}
	}
}

func (c *Coordinator) takeInput(in input, now planner.Moment) {
	switch {
	case in.call != nil:
		c.takeCall(in.call, now)
	case in.order != nil:
		c.Planner.Ordered(in.order, now)
	case in.look != nil:
		c.Planner.Looked(in.look, now)
	case in.ask != nil:
		c.Planner.Asked(in.ask, now)
	case in.vm != nil:
		c.Planner.VMOrdered(in.vm, now)
	case in.list != nil:
		c.Planner.Listed(in.list, now)
	case in.attach != nil && in.attach.watches:
		c.attachWatch(in.attach)
	case in.attach != nil:
		c.attach(in.attach, now)
	case in.detach != nil:
		delete(c.watchers, in.detach)
		c.detach(in.detach, now)
	case in.query != nil:
		in.query(c.state)
	}
}

// compact takes a snapshot when the log has grown.
func (c *Coordinator) compact() {
	if c.tail < c.MaxBytes {
		return
	}
	c.tail = 0
	data, err := c.state.Encode()
	if err != nil {
		c.Log.Error("snapshot failed", "error", err)
		return
	}
	c.Node.Compact(c.ctx, c.state.Applied, data)
}

// logNotes logs decisions, up to a number of lines a second.
func (c *Coordinator) logNotes(notes []planner.Note, now planner.Moment) {
	if now.Steady.Sub(c.notedAt) >= time.Second {
		if c.dropped > 0 {
			c.Log.Warn("log lines dropped", "lines", c.dropped)
		}
		c.notedAt, c.noted, c.dropped = now.Steady, 0, 0
	}
	for _, n := range notes {
		if c.noted >= noteLimit {
			c.dropped++
			continue
		}
		c.noted++
		c.Log.Info(n.Text, n.Fields...)
	}
}

// Report takes in what the dispatcher found.
func (c *Coordinator) Report(r any) {
	switch r := r.(type) {
	case *planner.OrderReport:
		c.push(input{order: r})
	case *planner.LookReport:
		c.push(input{look: r})
	case *planner.AskReport:
		c.push(input{ask: r})
	case *planner.VMReport:
		c.push(input{vm: r})
	case *planner.ListReport:
		c.push(input{list: r})
	}
}

func (c *Coordinator) push(in input) {
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
	}
}

func nameOf(id replicator.ReplicaID) string {
	if id == "" {
		return ""
	}
	return replicator.NameOf(id)
}

func namesOf(ids []replicator.ReplicaID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = replicator.NameOf(id)
	}
	return out
}
