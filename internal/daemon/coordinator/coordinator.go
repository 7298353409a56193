// Package coordinator runs the goroutine that owns the control state of a
// daemon in a workflow cell. It applies the log to the replicated state. While
// this replica leads, it also runs the planner, proposes the planned events and
// executes the orders once those events are committed.
package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/metrics/meter"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds the loop. The planner works on its own copy of the state,
// ahead of the log, so that several rounds can be in flight to a majority. The
// copy is dropped when leadership is lost. A round may build on rounds that are
// not committed yet; its orders are sent after its own commit, which implies the
// commit of all earlier rounds.

const (
	inputQueueSize       = 8192
	maxBatch             = 4096
	maxInflightRounds    = 16                     // proposed, not yet committed
	idleInterval         = time.Second            // between passes of the loop of a replica that does not lead
	loadInterval         = time.Second            // between updates of the leader's load metrics
	maxLogLinesPerSecond = 1500                   // of decisions
	roundDelay           = 5 * time.Millisecond   // minimum between starts of rounds: half the time of a synced write
	leaseRetry           = 100 * time.Millisecond // before a read without a lease is retried
)

// Clock reads the monotonic and the wall clock.
type Clock interface {
	Now() planner.Moment
}

// Dispatcher executes orders.
type Dispatcher interface {
	Do(a planner.Action)
}

// Coordinator owns the replicated state. The exported fields are set before
// Open.
type Coordinator struct {
	Node       *replicator.Node
	Clock      Clock
	Log        hclog.Logger
	Dispatcher Dispatcher
	Planner    *planner.Planner
	Name       planner.LicenceProxyID // of this daemon
	Meter      *meter.Meter           // nil: no metrics are recorded
	// MaxBytes is the size of the log after the last snapshot at which the next
	// snapshot is taken.
	MaxBytes int
	// MaxAnnouncers bounds the targets that are told to announce themselves at the
	// leader. 0: no bound.
	MaxAnnouncers int
	// MaxWaitingBytes bounds the calls that wait to be decided, about. A single one may
	// be larger. 0: no bound.
	MaxWaitingBytes int
	// ActAs is the latest format that this replica follows; see tracker.State.Known. nil:
	// tracker.CurrentFormat.
	ActAs *tracker.Format
	// OnLeaderChange receives the address of the leader, empty if there is none,
	// and its term, each time they change.
	OnLeaderChange func(leader string, term registrar.Term)

	ctx             context.Context // of Run
	state           *tracker.State  // committed
	inputs          chan input
	waitingBytes    atomic.Int64 // of the calls in inputs and pendingInputs
	status          replicator.Status
	leading         atomic.Bool
	term            registrar.Term
	noopTerm        registrar.Term
	steppedDownTerm registrar.Term // newest term in which leadership ended
	inflight        []inflightRound
	proposals       *replicator.Sequence // of the present leadership
	proposed        int                  // rounds in proposals
	deciding        []*call              // of the round that is being decided
	pendingInputs   []input
	lastRoundAt     time.Time
	reads           map[replicator.ReadID][]read
	nextRead        replicator.ReadID
	logBytes        int // bytes of the log since the last snapshot
	streams         map[planner.LicenceProxyID]*stream
	watchers        map[*stream]bool
	loadReportedAt  time.Time // last update of the load metrics
	loggedLines     int       // log lines written in the current second
	logWindowStart  time.Time
	droppedLines    int
	work            work
	check           check              // of the state, the newest here
	checkedAt       time.Time          // of that
	entriesAhead    int                // committed entries that follow the one that is applied
	leadingSince    time.Time          // of the present leadership
	founding        bool               // nothing had been written when it began
	formats         replicator.Formats // as logged last
	formatsLoggedAt time.Time
	keyring         planner.Keyring // of the committed document
	Totals          Totals
}

// Totals holds counters for metrics.
type Totals struct {
	Rounds, Events, Inputs atomic.Int64
}

// input is a message to the control goroutine. Exactly one field is set.
type input struct {
	call    *call
	order   *planner.OrderReport
	poll    *planner.PollReport
	tickets *planner.TicketReport
	vm      *planner.VMReport
	list    *planner.ListReport
	attach  *stream
	detach  *stream
	query   func(*tracker.State)
}

// Open initializes the coordinator. It must be called before any other method;
// Run ends when ctx does.
func (c *Coordinator) Open(ctx context.Context) {
	c.ctx = ctx
	c.state = tracker.New()
	if c.ActAs != nil {
		c.state.Known = *c.ActAs
	}
	c.Meter.SetFormat(c.state.Format)
	c.inputs = make(chan input, inputQueueSize)
	c.reads = make(map[replicator.ReadID][]read)
	c.streams = make(map[planner.LicenceProxyID]*stream)
	c.watchers = make(map[*stream]bool)
}

// Restore loads the replicated state from a snapshot. It must be called before
// Run.
func (c *Coordinator) Restore(snap replicator.Snapshot) error {
	if len(snap.Data) == 0 {
		return nil
	}
	return errors.Annotate(c.restore(snap), "coordinator")
}

// Leading reports whether this replica leads and runs the planner.
func (c *Coordinator) Leading() bool { return c.leading.Load() }

// Run owns the replicated state until the context given to Open ends or the log
// can't be applied.
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
			if err := c.applyUpdate(u); err != nil {
				return err
			}
		case in := <-c.inputs:
			c.pendingInputs = append(c.pendingInputs, in)
		case <-timer.C:
		}
		c.drainInputs()
		timer.Reset(c.runRoundIfDue())
	}
}

func (c *Coordinator) drainInputs() {
	for range maxBatch {
		select {
		case in := <-c.inputs:
			c.pendingInputs = append(c.pendingInputs, in)
		default:
			return
		}
	}
}

// applyUpdate applies an update from the replicator: a snapshot, a change of
// status, committed entries and confirmed reads.
func (c *Coordinator) applyUpdate(u replicator.Update) error {
	if u.Snapshot != nil {
		if err := c.restore(*u.Snapshot); err != nil {
			return errors.Annotate(err, "coordinator: snapshot")
		}
		c.logBytes = 0
	}
	changed := u.Status.Leader != c.status.Leader || u.Status.Role != c.status.Role || u.Status.Term != c.status.Term
	if changed {
		c.Log.Info("replica status changed", "role", u.Status.Role.String(), "term", u.Status.Term, "leader", string(u.Status.Leader), "voters", u.Status.Voters)
	}
	c.status = u.Status
	c.Meter.SetVoters(len(u.Status.Voters))
	if changed {
		c.notifyWatchers()
	}
	c.checkLeadership(u.ProposalDropped)
	for i := range u.Entries {
		c.entriesAhead = len(u.Entries) - 1 - i
		if err := c.apply(&u.Entries[i]); err != nil {
			return err
		}
	}
	c.startIfReady()
	for _, id := range u.Reads {
		c.runReads(id)
	}
	c.compact()
	return nil
}

func (c *Coordinator) apply(e *replicator.Entry) error {
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
		return errors.Errorf("coordinator: entry %d is of type %d, which this version does not know", e.Index, e.Type)
	}
	if err := c.applyEntry(e.Index, e.Data); err != nil {
		return errors.Annotatef(err, "coordinator: entry %d", e.Index)
	}
	if c.leading.Load() && e.Term == c.term && len(c.inflight) > 0 {
		round := c.inflight[0]
		c.inflight = c.inflight[1:]
		c.countEnds(&round.Round)
		c.execute(round.AfterCommit)
	}
	return nil
}

// checkLeadership stops planning when this replica no longer leads in the term
// in which the planner was started, or when a proposal was dropped.
func (c *Coordinator) checkLeadership(dropped bool) {
	if !c.leading.Load() {
		return
	}
	if c.status.Role == replicator.Leader && c.status.Term == c.term && !dropped {
		return
	}
	c.leading.Store(false)
	c.Meter.Leading(false)
	c.steppedDownTerm = c.term
	if c.status.Role == replicator.Leader && c.status.Term == c.term {
		// Orders of this term may be in flight, so planning resumes only in a new term.
		c.Node.StepDown(c.ctx, c.term)
	}
	rounds := len(c.inflight)
	n := c.endCalls()
	c.rejectPending()
	c.endStreams()
	c.Log.Info("leadership lost", "term", c.term, "rounds", rounds, "uncertain", n.uncertain, "not_taken", n.notTaken)
}

// rejectPending rejects the pending calls, which only a leader can serve, and
// handles the other inputs that need no leader.
func (c *Coordinator) rejectPending() {
	for _, in := range c.pendingInputs {
		c.rejectInput(in)
	}
	c.pendingInputs = nil
}

func (c *Coordinator) rejectInput(in input) {
	switch {
	case in.call != nil:
		c.waitingBytes.Add(-int64(in.call.Bytes()))
		in.call.refuse("this daemon does not lead")
	case in.attach != nil:
		if in.attach.watchOnly {
			c.addWatcher(in.attach)
			return
		}
		in.attach.welcome <- c.welcome()
	case in.detach != nil:
		delete(c.watchers, in.detach)
	case in.query != nil:
		in.query(c.state)
	}
}

// startIfReady starts planning once the first entry of this replica's own term
// is applied, so that the state includes everything that earlier leaders
// committed.
func (c *Coordinator) startIfReady() {
	ready := c.status.Role == replicator.Leader && c.noopTerm == c.status.Term && c.status.Term > c.steppedDownTerm
	if c.leading.Load() || !ready {
		return
	}
	c.term = c.status.Term
	c.proposals, c.proposed = &replicator.Sequence{}, 0
	c.leading.Store(true)
	c.Meter.Leading(true)
	c.Planner.State = c.state.Clone()
	now := c.Clock.Now()
	c.Planner.Begin(c.term, now)
	c.leadingSince, c.founding = now.Monotonic, c.state.Clock == 0
	c.Planner.AddLicenceProxy(c.Name, now)
	c.Log.Info("leadership taken", "term", c.term, "format", int(c.state.Format), "jobs", len(c.state.Jobs), "targets", len(c.state.Targets))
}

// runRoundIfDue runs a round if one is due and returns the time until the next.
func (c *Coordinator) runRoundIfDue() time.Duration {
	if !c.leading.Load() {
		c.rejectPending()
		return idleInterval
	}
	now := c.Clock.Now()
	if wait := roundDelay - now.Monotonic.Sub(c.lastRoundAt); wait > 0 {
		return wait
	}
	if len(c.inflight) >= maxInflightRounds {
		return roundDelay
	}
	if len(c.pendingInputs) > 0 || !now.Monotonic.Before(c.Planner.Due()) {
		c.lastRoundAt = now.Monotonic
		c.runRound(now)
	}
	return max(c.Planner.Due().Sub(c.Clock.Now().Monotonic), roundDelay)
}

func (c *Coordinator) runRound(now planner.Moment) {
	started := time.Now()
	inputs := c.pendingInputs
	c.pendingInputs = nil
	for _, in := range inputs {
		c.handleInput(in, now)
	}
	c.raiseFormat(now)
	c.Planner.Plan(now)
	round := c.Planner.Take()
	c.addCheck(&round, now)
	took := time.Since(started)
	c.Planner.Pace(took, c.Clock.Now())
	c.recordMetrics(&round, inputs, took, now)
	c.Totals.Rounds.Add(1)
	c.Totals.Inputs.Add(int64(len(inputs)))
	c.writeLogRecords(round.LogRecords, now)
	c.execute(round.Immediate)
	if len(round.Events) == 0 {
		c.executeAfterInflight(round)
		return
	}
	c.Totals.Events.Add(int64(len(round.Events)))
	entry := tracker.Entry{At: now.Wall, Events: round.Events}
	data, err := entry.Encode()
	if err != nil {
		c.Log.Error("events of the round can't be encoded; stepping down", "error", err)
		c.checkLeadership(true)
		return
	}
	c.founding = false
	c.proposed++
	c.inflight = append(c.inflight, inflightRound{
		Round:  planner.Round{Events: round.Events, AfterCommit: round.AfterCommit, Jobs: round.Jobs, FailedRuns: round.FailedRuns},
		number: c.proposed, calls: c.deciding,
	})
	c.deciding = nil
	c.Node.ProposeNext(c.ctx, c.proposals, c.term, data)
}

// countEnds counts the ends of jobs and runs in a committed round. If a leader is lost before
// the commit, the next one may decide them again.
func (c *Coordinator) countEnds(round *planner.Round) {
	for i := range round.Jobs {
		c.Meter.Job(&round.Jobs[i])
	}
	for i := range round.Events {
		if e := round.Events[i].RunEnded; e != nil {
			c.Meter.Run(e.How)
		}
	}
	c.Meter.FailedRuns(round.FailedRuns)
}

// recordMetrics updates the metrics with what a round has done.
func (c *Coordinator) recordMetrics(round *planner.Round, inputs []input, took time.Duration, now planner.Moment) {
	c.Meter.Round(took)
	for i, n := range round.Ignored {
		c.Meter.ClaimsIgnored(planner.Claim(i).String(), n)
	}
	c.Meter.WithdrawalsDropped(round.WithdrawalsDropped)
	for _, r := range round.Rejections {
		c.Meter.Rejection(r)
	}
	c.Meter.Unauthorized(round.Unauthorized)
	c.Meter.Forbidden(round.Forbidden)
	c.work.add(inputs, took)
	if now.Monotonic.Sub(c.loadReportedAt) >= loadInterval {
		c.loadReportedAt = now.Monotonic
		load := c.Planner.Load(now)
		c.Meter.SetLoad(load)
		c.logLoad(&load)
	}
}

// executeAfterInflight executes the orders of a round without events, and counts its ended
// jobs, once the rounds before it are committed, on which they may depend.
func (c *Coordinator) executeAfterInflight(round planner.Round) {
	if n := len(c.inflight); n > 0 {
		last := &c.inflight[n-1]
		last.AfterCommit = append(last.AfterCommit, round.AfterCommit...)
		last.Jobs = append(last.Jobs, round.Jobs...)
		last.calls = append(last.calls, c.deciding...)
		c.deciding = nil
		return
	}
	c.deciding = nil
	c.countEnds(&round)
	c.execute(round.AfterCommit)
}

func (c *Coordinator) execute(actions []planner.Action) {
	for _, a := range actions {
		switch {
		case a.Done != nil:
			a.Done()
		case a.TicketRequest != nil:
			c.requestTickets(a.TicketRequest)
		default:
			c.Dispatcher.Do(a)
		}
	}
}

func (c *Coordinator) handleInput(in input, now planner.Moment) {
	switch {
	case in.call != nil:
		c.handleCall(in.call, now)
	case in.order != nil:
		c.Planner.OrderReported(in.order, now)
	case in.poll != nil:
		c.Planner.PollReported(in.poll, now)
	case in.tickets != nil:
		c.Planner.TicketsReported(in.tickets, now)
	case in.vm != nil:
		c.Planner.VMOrderReported(in.vm, now)
	case in.list != nil:
		c.Planner.VMListReported(in.list, now)
	case in.attach != nil && in.attach.watchOnly:
		c.addWatcher(in.attach)
	case in.attach != nil:
		c.attachStream(in.attach, now)
	case in.detach != nil:
		delete(c.watchers, in.detach)
		c.detachStream(in.detach, now)
	case in.query != nil:
		in.query(c.state)
	}
}

// compact takes a snapshot when the log has reached MaxBytes.
func (c *Coordinator) compact() {
	if c.logBytes < c.MaxBytes {
		return
	}
	c.logBytes = 0
	data, err := c.state.Encode()
	if err != nil {
		c.Log.Error("snapshot can't be encoded", "error", err)
		return
	}
	c.Node.Compact(c.ctx, c.state.Applied, data)
}

// writeLogRecords logs decisions, at most maxLogLinesPerSecond, and counts the
// lines that it drops.
func (c *Coordinator) writeLogRecords(records []planner.LogRecord, now planner.Moment) {
	if now.Monotonic.Sub(c.logWindowStart) >= time.Second {
		if c.droppedLines > 0 {
			c.Log.Warn("log lines dropped", "lines", c.droppedLines)
		}
		c.logWindowStart, c.loggedLines, c.droppedLines = now.Monotonic, 0, 0
	}
	for _, rec := range records {
		if c.loggedLines >= maxLogLinesPerSecond {
			c.droppedLines++
			continue
		}
		c.loggedLines++
		c.Log.Info(rec.Message, rec.Fields...)
	}
}

// Report accepts a report of the dispatcher.
func (c *Coordinator) Report(r any) {
	switch r := r.(type) {
	case *planner.OrderReport:
		c.enqueue(input{order: r})
	case *planner.PollReport:
		c.enqueue(input{poll: r})
	case *planner.TicketReport:
		r.Received = c.Clock.Now().Monotonic
		c.enqueue(input{tickets: r})
	case *planner.VMReport:
		c.enqueue(input{vm: r})
	case *planner.ListReport:
		c.enqueue(input{list: r})
	}
}

func (c *Coordinator) enqueue(in input) {
	select {
	case c.inputs <- in:
	case <-c.ctx.Done():
	}
}

func daemonName(id replicator.ReplicaID) string {
	if id == "" {
		return ""
	}
	return replicator.NameOf(id)
}

func daemonNames(ids []replicator.ReplicaID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = replicator.NameOf(id)
	}
	return out
}
