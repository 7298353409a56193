// Package planner makes the leader's decisions about workflows: what is
// accepted, when and where each task runs, what is stopped, and which state
// each target is assumed to be in. It does no I/O and takes the present time as
// an argument. Its results are events for the replicated log, and actions to be
// carried out either at once or after those events are committed.
package planner

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file holds the planner's in-memory state and its round: reports are
// applied first and may free capacity, then Plan places waiting tasks. Events of
// the round, such as RunEnded and RunsStarted, are committed before the orders
// that follow from them are sent.

// Moment is the present time on both clocks of a VM.
type Moment struct {
	// Monotonic is a monotonic clock that also advances while the VM is suspended.
	// Leases and waiting times are measured with it.
	Monotonic time.Time
	// Wall is the time of day. It decides when occurrences of recurring jobs are due.
	Wall registrar.Millis
}

// Bounds are limits that the cell has to keep, read from its settings.
type Bounds struct {
	MaxLease           time.Duration // longest lease of the runs on a target
	StopTime           time.Duration // a target ends a stopped run within this time
	GangTime           time.Duration // a gang member waits this long for the others to start
	CheckpointInterval time.Duration // work between two checkpoints
	RemoteFactor       int           // run time of a task away from its data, as a multiple of its run time near them
	Retention          time.Duration // an ended job can be queried at least this long
	PaceDelay          time.Duration // time until an order to throttle takes effect
	MaxTailViolation   time.Duration // a tail latency may exceed its bound for this long
	UnavailableAfter   time.Duration // a task counts as unavailable this long after it went missing
	UpkeepTime         time.Duration // usual time that a VM is down for its upkeep
}

// Mechanism is a set of safety mechanisms.
type Mechanism uint32

// The safety mechanisms that tests can disable.
const (
	WithoutLeaseWait       Mechanism = 1 << iota // runs on an unresponsive target are ended without waiting for the lease
	WithoutEpochs                                // orders to an earlier incarnation are not fenced
	WithoutTokenCheck                            // answers to calls of an earlier term are accepted
	WithoutOrphanCharge                          // orphaned runs are not charged to their target
	WithoutStopCharge                            // runs that are being stopped are not charged to their target
	WithoutDrainCheck                            // draining targets get new work
	WithoutLeaseRecord                           // a new leader assumes that only short leases were granted
	WithoutDepartureCheck                        // a departure ends whichever incarnation is present
	WithoutWholeLists                            // a run that a part of a list leaves out is lost
	WithoutAddressProof                          // an announcement replaces the target at its address
	WithoutDepartureProof                        // a departure and a silent poll prove the end of a target
	WithoutGangRuns                              // a run of a gang counts as failed for each member that fails
	WithoutWithdrawals                           // cancellations of unknown jobs are not remembered
	WithoutWorkspaceLimits                       // workspaces may exceed their limits
	WithoutShares                                // pools are not divided among workspaces
	WithoutAdmission                             // jobs that would end too late are accepted
	WithoutCallDivision                          // long calls to the licensing service are made like short ones
	WithoutRevision                              // objectives and latest starts follow the declared run times
)

func (p *Planner) without(m Mechanism) bool { return p.Disabled&m != 0 }

// Settings configures a Planner.
type Settings struct {
	Bounds
	Region       registrar.RegionName
	Holder       string // identifies this leader to the VM service
	Interference Interference
}

// Planner makes the decisions of one leader. The exported fields are set before
// Begin.
type Planner struct {
	State    *tracker.State // with all emitted events applied, committed or not
	Settings Settings
	Limits   Limits
	// Decode decodes and checks the source of a document; nil: documents are taken as they come.
	Decode   func(source []byte) (*definer.Document, definer.Findings)
	Disabled Mechanism // for tests that check that a missing mechanism is detected

	term            registrar.Term
	begunAt         time.Time
	targets         map[tracker.TargetID]*target
	byAddress       map[string][]*target // that have announced it
	refuted         map[tracker.TargetID]refutation
	claimLoggedAt   time.Time // when an ignored claim was logged
	claimsUnlogged  int       // ignored claims since then
	removedEpochs   map[tracker.TargetID]removedEpoch
	pools           map[definer.PoolName]*pool
	steps           map[definer.StepID]*step // started and not done
	jobs            map[definer.JobID]*job   // not ended, or with runs left
	recurring       map[definer.JobID]bool   // jobs with occurrences left to start
	licenceProxies  map[LicenceProxyID]*licenceProxy
	proxyQueue      proxyQueue // the same, by their backlog
	ticketRequests  map[TicketRequestID]*ticketRequest
	lastRequest     TicketRequestID
	estimateBiases  map[definer.QueueName]*estimateBias
	stepBiases      map[definer.QueueName]*estimateBias // of the longest run of a step
	upkeep          upkeep
	withdrawals     []recordedWithdrawal // that are remembered, by number
	droppedLoggedAt time.Time            // when withdrawals that were forgotten early were logged
	interference    map[imagePair]time.Time
	allowances      map[definer.WorkspaceName]*allowance
	outlooks        map[definer.PoolName]*outlook
	workspaces      map[definer.WorkspaceName]*workspace // declared, or with jobs or runs left
	formerStrays    []formerStray
	passes          uint64 // of placement
	keyring         Keyring
	images          *images                            // nil: interference between images is ignored
	exposed         []exposure                         // of the run that is being observed
	slots           slot                               // taken so far
	freeSlots       []slot                             // of removed targets
	scans           map[definer.PoolName]*poolScan     // of the current pass
	spareRoomy      map[definer.PoolName][]roomyTarget // lists of earlier passes, to be used again
	holding         []*target                          // with capacity held by the newest pass
	endangered      []*step                            // see refreshEndangered
	endangeredRuns  map[*step]int                      // the runs that each of them may lose
	holders         int                                // steps for which that pass holds capacity
	longCalls       int                                // pending calls of the licensing service that count as long
	sought          map[definer.PoolName]*sought       // in the current pass
	proxiesFull     bool                               // no proxy accepts another ticket request in this pass
	passDue         time.Time                          // no placement before
	dirty           bool                               // placement has to run again
	stepsByPriority []*step
	sweepAt         time.Time
	heldPolls       int // polls on their way that a target may hold for their wait
	lag             lagEstimate
	recentMisses    int       // unanswered calls; reset after lossyWindow without one
	lastMissAt      time.Time // when the newest of them was noticed
	// progressCheckedAt is when the progress of runs was checked last.
	progressCheckedAt time.Time
	Counters          Counters

	round Round
}

// Counters count decisions since Begin.
type Counters struct {
	Accepted, Refused, Started, Stopped, Lost, StartsRefused, StartsUnsent, TicketRequests, Preempted, Moved, Copies, Withdrawn int
}

// Round is the outcome of all calls since the previous Take.
type Round struct {
	Events      []tracker.Event
	AfterCommit []Action // to be carried out after Events are committed
	Immediate   []Action // to be carried out at once
	LogRecords  []LogRecord
	Jobs        []JobEnd    // ended jobs without any runs left
	Ignored     [Claims]int // claims about targets that had no effect
	// WithdrawalsDropped counts withdrawals that were forgotten early, as there were too many.
	WithdrawalsDropped int
	// PlacementsSpaced counts runs for which findings of interference prefer another target than is chosen without
	// them.
	PlacementsSpaced int
	FailedRuns       FailedRuns
	Rejections       []Rejection // submissions that were rejected for want of room
	Unauthorized     int         // calls without a valid key
	Forbidden        int         // calls for jobs of other workspaces
}

// FailedRuns are numbers of failed runs of tasks that aren't long-running.
type FailedRuns struct {
	Counted   int // those that used up an attempt of a task or gang
	Uncounted int // the others, such as further members of a gang in the same run
}

// JobEnd describes an ended job.
type JobEnd struct {
	Queue definer.QueueName
	// Workspace is that of the job; empty: none, or workspaces are not declared.
	Workspace definer.WorkspaceName
	State     tracker.JobState
	Duration  time.Duration   // since its acceptance
	Waits     []time.Duration // for each step, until all of its tasks were placed
	Late      bool            // it missed the objective derived from the declared run times
}

// Load is the size of what a leader manages.
type Load struct {
	Waiting, Running, Jobs, Targets, Unresponsive, Quarantined, TicketRequests int
	// LongestOutage is the longest time that a task of a long-running step has
	// been without a run that is known to be alive.
	LongestOutage time.Duration
	Untracked     int // tasks of started steps that neither have a run nor wait for one
	Withdrawals   int // cancellations of unknown jobs that are remembered
	// UsedCPU and UsedMemory are what runs occupy of the targets that answer, in percent.
	UsedCPU, UsedMemory int
	Workspaces          []WorkspaceLoad
	Interfering         int // pairs of images of which one is found to slow the other
	// Lag is how late this leader handles what has arrived; timeouts allow for it.
	Lag time.Duration
}

// Load counts tasks, runs, jobs, targets and ticket requests.
func (p *Planner) Load(now Moment) Load {
	l := Load{Jobs: len(p.jobs), Targets: len(p.targets), TicketRequests: len(p.ticketRequests), Lag: p.lag.present(now.Monotonic)}
	for _, s := range p.steps {
		l.Waiting += len(s.waiting)
	}
	var used, capacity registrar.Need
	for _, t := range p.targets {
		l.Running += len(t.runs)
		if t.responsive {
			used, capacity = used.Plus(t.used), capacity.Plus(t.rec.Capacity)
		} else {
			l.Unresponsive++
		}
		if now.Monotonic.Before(t.health.quarantinedUntil) {
			l.Quarantined++
		}
	}
	l.UsedCPU, l.UsedMemory = percentOf(used.CPU, capacity.CPU), percentOf(used.Memory, capacity.Memory)
	l.LongestOutage = p.longestOutage(now)
	l.Untracked = len(p.UntrackedTasks())
	l.Withdrawals = p.State.Withdrawals()
	l.Workspaces = p.workspaceLoads(now)
	if p.images != nil {
		l.Interfering = p.images.pairs
	}
	return l
}

func percentOf[T registrar.MilliCPU | registrar.MiB](part, whole T) int {
	return int(100 * part / max(whole, 1))
}

// LogRecord is a log record about a decision.
type LogRecord struct {
	Message string
	Fields  []any // alternating names and values
}

// Begin rebuilds the in-memory state for a leader of the given term. Whatever an
// earlier leader may have ordered is assumed to be running until its target has
// answered a poll or the target's lease has expired.
func (p *Planner) Begin(term registrar.Term, now Moment) {
	p.term, p.begunAt = term, now.Monotonic
	p.targets = make(map[tracker.TargetID]*target)
	p.byAddress = make(map[string][]*target)
	p.refuted = make(map[tracker.TargetID]refutation)
	p.removedEpochs = make(map[tracker.TargetID]removedEpoch)
	p.pools = make(map[definer.PoolName]*pool)
	p.steps = make(map[definer.StepID]*step)
	p.jobs = make(map[definer.JobID]*job)
	p.recurring = make(map[definer.JobID]bool)
	p.longCalls, p.sought = 0, make(map[definer.PoolName]*sought)
	p.licenceProxies, p.proxyQueue = make(map[LicenceProxyID]*licenceProxy), nil
	p.ticketRequests = make(map[TicketRequestID]*ticketRequest)
	p.estimateBiases = make(map[definer.QueueName]*estimateBias)
	p.stepBiases = make(map[definer.QueueName]*estimateBias)
	p.upkeep = newUpkeep()
	p.recoverWithdrawals(now)
	p.interference = make(map[imagePair]time.Time)
	p.allowances = make(map[definer.WorkspaceName]*allowance)
	p.outlooks = make(map[definer.PoolName]*outlook)
	p.workspaces, p.formerStrays = make(map[definer.WorkspaceName]*workspace), nil
	p.refreshLimits()
	p.images = nil
	if p.Settings.Interference != IgnoreInterference {
		p.images = newImages()
	}
	p.scans, p.spareRoomy = make(map[definer.PoolName]*poolScan), make(map[definer.PoolName][]roomyTarget)
	p.slots, p.freeSlots = 0, nil
	p.passDue = time.Time{}
	p.holding, p.endangered = nil, nil
	p.heldPolls = 0
	p.lag = lagEstimate{}
	p.stepsByPriority = nil
	p.round = Round{}
	p.Counters = Counters{}
	p.Limits.fill()
	for _, t := range p.State.Targets {
		p.addTarget(t, now)
	}
	for _, j := range p.State.Jobs {
		if j.Def != nil {
			p.addJob(j, now)
		}
	}
	p.recordLeases(now)
	p.dirty = true
}

// RaiseFormat puts the latest format that every replica follows into force.
func (p *Planner) RaiseFormat(common tracker.Format, now Moment) {
	f := min(common, p.State.Known)
	if f <= p.State.Format || p.without(WithoutGangRuns) {
		return
	}
	p.emit(tracker.Event{FormatRaised: &tracker.FormatRaised{Format: f}}, now)
	p.adoptWorkspaces(now)
}

// Take returns the outcome of all calls since the previous Take.
func (p *Planner) Take() Round {
	r := p.round
	p.round = Round{}
	return r
}

// emit adds an event to the round and applies it to the state.
func (p *Planner) emit(ev tracker.Event, now Moment) {
	p.round.Events = append(p.round.Events, ev)
	p.State.ApplyEvent(ev, now.Wall)
}

func (p *Planner) doAfterCommit(a Action) { p.round.AfterCommit = append(p.round.AfterCommit, a) }
func (p *Planner) doNow(a Action)         { p.round.Immediate = append(p.round.Immediate, a) }

func (p *Planner) log(text string, fields ...any) {
	p.round.LogRecords = append(p.round.LogRecords, LogRecord{text, fields})
}

// sweepInterval is the time between checks that need no input. Leases last for
// seconds, so a delay of a tenth of a second is insignificant.
const sweepInterval = 50 * time.Millisecond

// Due returns when Plan should be called even if no input arrives.
func (p *Planner) Due() time.Time {
	if p.dirty && p.passDue.Before(p.sweepAt) {
		return p.passDue
	}
	return p.sweepAt
}

// Plan runs the periodic checks that are due, and places waiting tasks if
// anything changed that placement depends on.
func (p *Planner) Plan(now Moment) {
	if !now.Monotonic.Before(p.sweepAt) {
		p.sweepAt = now.Monotonic.Add(sweepInterval)
		p.sweep(now)
	}
	if p.dirty && !now.Monotonic.Before(p.passDue) {
		p.dirty = false
		p.place(now)
	}
}

// Pace tells how long the newest round took, from which the time of the next placement
// follows. Polls and leases must not wait for the placement of a long backlog, so that it
// takes a part of the time only.
func (p *Planner) Pace(took time.Duration, now Moment) {
	long, pause := longRound, time.Duration(placementPause)
	if len(p.targets) > largeCell {
		long, pause = longRoundOfLargeCell, placementPauseOfLargeCell
	}
	if took > long {
		p.passDue = now.Monotonic.Add(min(pause*took, maxPlacementPause))
	}
}

const (
	longRound         = 5 * time.Millisecond
	placementPause    = 2 // pause after a long round, as a multiple of its time
	maxPlacementPause = 250 * time.Millisecond
)

// In a cell with more than largeCell targets most rounds have inputs, and a round of a few
// milliseconds every five would take the leader's share of a processor.
const (
	largeCell                 = 1500
	longRoundOfLargeCell      = time.Millisecond
	placementPauseOfLargeCell = 4
)

// sweep runs the checks that depend on time alone.
func (p *Planner) sweep(now Moment) {
	p.startDueOccurrences(now)
	p.checkTargets(now)
	p.checkTicketRequests(now)
	p.refreshEndangered(now)
	if now.Monotonic.Sub(p.progressCheckedAt) >= progressInterval {
		p.progressCheckedAt = now.Monotonic
		p.checkProgress(now)
		p.checkGangs(now)
		p.checkWaves(now)
	}
	p.evaluateInterference(now)
	p.logOutages(now)
	p.recordLeases(now)
	p.forgetEndedJobs(now)
	p.forgetEpochs(now)
	p.forgetRefutations(now)
	p.forgetWithdrawals(now)
	p.releaseFormerStrays(now)
	p.dirty = true
}

const retentionMargin = 30 * time.Second // beyond Bounds.Retention, for slow callers

func (p *Planner) forgetEndedJobs(now Moment) {
	before := now.Wall.Add(-p.Settings.Retention - retentionMargin)
	oldest := p.State.OldestEndTime()
	if oldest != 0 && oldest < before.Add(-retentionMargin) {
		p.emit(tracker.Event{JobsForgotten: &tracker.JobsForgotten{Before: before}}, now)
	}
}
