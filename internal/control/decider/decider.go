package decider

import (
	"math/rand"
	"slices"
	"time"

	"masticroad/internal/control/admitter"
	"masticroad/internal/control/leaser"
	"masticroad/internal/control/placer"
	"masticroad/internal/control/predictor"
	"masticroad/internal/control/quarantiner"
	"masticroad/internal/control/queuer"
	"masticroad/internal/control/registrar"
	"masticroad/internal/control/retrier"
)

// This file holds the Decider: its working state, which every new leader
// rebuilds from the replicated state, and one round of decisions. A round reads
// only committed state, and its decisions take effect once its events are
// committed.

// Timing holds the durations that bound leases and starts.
type Timing struct {
	DaemonLease        time.Duration
	TargetLease        time.Duration
	Drift              float64       // bound on the relative drift of two clocks
	StartWindow        time.Duration // from the assignment until the last moment at which the start may be sent
	Transit            time.Duration // within which a sent start arrives or is dropped
	RevisionGrace      time.Duration // within which a daemon must apply a change
	CallerGrace        time.Duration // for a caller to reconnect after its daemon failed
	FullReportInterval time.Duration // between full announcements of a target
}

// DefaultTiming suits links of up to 20 ms and announcements every 5 s.
var DefaultTiming = Timing{
	DaemonLease:        2 * time.Second,
	TargetLease:        15 * time.Second,
	Drift:              0.02,
	StartWindow:        2 * time.Second,
	Transit:            2 * time.Second,
	RevisionGrace:      time.Second,
	CallerGrace:        10 * time.Second,
	FullReportInterval: time.Minute,
}

// Safeguards is a bit set of safety checks.
type Safeguards uint32

// Safety checks that a test can disable.
const (
	WithoutElectionWait Safeguards = 1 << iota // a new leader does not wait for earlier leases to expire
	WithoutAttemptCheck                        // reports of earlier attempts are accepted
	WithoutBaseCheck                           // changes are accepted on any base revision
	WithoutKeyCheck                            // a repeated key runs again
	WithoutLeaseWait                           // tasks of an unresponsive target start elsewhere immediately
	WithoutRetiredCheck                        // requests of retired callers are admitted
	WithoutConfirmation                        // changes are answered before they are in force
)

// Decider makes the decisions of one leader. The exported fields must be set
// before Begin is called.
type Decider struct {
	State  *registrar.State
	Rand   *rand.Rand
	Timing Timing
	Cell   string
	// FirstTask is the lowest task id of this log. It keeps the ids of the
	// regions of a cell distinct.
	FirstTask registrar.TaskID
	Disabled  Safeguards

	term            registrar.Term
	policies        Policies
	queue           *queuer.Queue
	delayed         []delayedTask
	targets         map[registrar.TargetName]*targetView
	aliveTargets    []*placer.Target
	totalCapacity   registrar.Need
	largestCapacity registrar.Need
	usedByCaller    map[registrar.CallerName]registrar.Need
	nextTask        registrar.TaskID
	running         int // number of assigned tasks
	// preemptible counts the assigned batch tasks that urgent tasks may
	// preempt.
	preemptible int

	sessions     map[registrar.DaemonName]*session
	daemonLeases leaser.Table[registrar.DaemonName]
	targetLeases leaser.Table[registrar.TargetName]

	judge       quarantiner.Detector
	learned     predictor.Table
	rates       admitter.Rates
	retryBudget retrier.Budget[registrar.CallerName]
	reservation reservation

	revision       registrar.Revision // including the changes accepted in this round
	pendingChanges []pendingChange
	confirmations  []Confirmation
	nextPreemption map[registrar.TaskID]time.Time
	watchers       map[registrar.RequestKey][]watcher
	deadlines      deadlineList
	detached       map[registrar.TaskID]registrar.Millis // queued requests of daemons that are not connected, since when
	overuse        []overuse
	pendingCancels []registrar.TaskID
	activeJobs     map[registrar.JobKey]bool
	failedRuns     map[registrar.JobKey]*failedRun // the latest of each all-at-once job
	roundPeers     map[registrar.JobKey][]*placer.Target
	stopOrderedAt  map[registrar.TaskID]time.Time // time of the last stop order
	lastSlowTick   time.Time
	lastTick       time.Time
	lastExpire     time.Time
	restartTokens  float64
	Counters       Counters

	round roundState
}

// Counters counts events since Begin, for metrics and tests.
type Counters struct {
	Admitted        int
	Refused         int
	Assigned        int
	Retried         int
	Preempted       int
	StaleReports    int
	Quarantined     int
	DroppedLate     int
	LostTargets     int
	ChangesAccepted int
	ChangesRefused  int
}

type roundState struct {
	Round
	touched           map[registrar.TaskID]bool
	newTasks          map[registrar.RequestKey]*registrar.Task
	changeDigests     map[registrar.ChangeID]registrar.Digest
	newJobs           map[registrar.JobKey]bool
	avoid             map[predictor.Work]map[registrar.TargetName]bool
	quarantined       map[registrar.TargetName]bool // in this round
	waitingAfterPlace int                           // queue length after the last placement pass of the round; -1 before the first
	// admitted maps each task admitted in this round to the index of its event.
	admitted map[registrar.TaskID]int
}

type delayedTask struct {
	id  registrar.TaskID
	due registrar.Millis
}

// tickInterval is the time between checks that run without any input.
const tickInterval = 100 * time.Millisecond

// Begin rebuilds the working state for a leader of the given term. It treats
// every lease that an earlier leader may have granted as still in force.
func (d *Decider) Begin(term registrar.Term, now time.Time) {
	d.term = term
	d.policies = EffectivePolicies(d.State.Policies)
	d.queue = queuer.New()
	d.queue.AgeStep = d.policies.AgeStep
	d.queue.Share = d.share
	d.delayed = nil
	d.running, d.preemptible = 0, 0
	d.targets = make(map[registrar.TargetName]*targetView)
	d.aliveTargets = nil
	d.usedByCaller = make(map[registrar.CallerName]registrar.Need)
	d.nextTask = max(d.State.NextTask, d.FirstTask)
	d.sessions = make(map[registrar.DaemonName]*session)
	d.nextPreemption = make(map[registrar.TaskID]time.Time)
	d.watchers = make(map[registrar.RequestKey][]watcher)
	d.revision = d.State.Revision
	d.pendingChanges, d.confirmations = nil, nil
	d.reservation = reservation{}
	d.Counters = Counters{}
	d.deadlines = nil
	d.detached = make(map[registrar.TaskID]registrar.Millis)
	d.overuse, d.pendingCancels = nil, nil
	d.activeJobs = make(map[registrar.JobKey]bool)
	d.failedRuns = make(map[registrar.JobKey]*failedRun)
	d.stopOrderedAt = make(map[registrar.TaskID]time.Time)
	d.lastTick = now
	d.lastExpire = now
	d.resetRound()
	d.beginPolicies()
	d.beginLeases(now)
	d.beginTasks(now)
}

func (d *Decider) beginPolicies() {
	d.judge = quarantiner.Detector{HalfLife: quarantineHalfLife}
	d.judge.Reset()
	d.learned = predictor.Table{MinReports: learnReports, Quantile: learnQuantile}
	d.rates = admitter.Rates{Window: rateWindow}
	d.retryBudget = retrier.Budget[registrar.CallerName]{}
	d.refreshPolicies()
}

const (
	quarantineHalfLife = time.Minute
	learnReports       = 5
	learnQuantile      = 0.9
	rateWindow         = time.Second
)

func (d *Decider) refreshPolicies() {
	d.policies = EffectivePolicies(d.State.Policies)
	p := &d.policies
	d.queue.AgeStep = p.AgeStep
	d.judge.MinFailures, d.judge.MaxFailureRate = p.QuarantineBlame, p.QuarantineRate
	d.judge.InitialDuration, d.judge.MaxDuration = p.QuarantinePause, p.QuarantineMax
	d.judge.MaxFraction = p.QuarantineShare
	d.retryBudget.Ratio, d.retryBudget.Burst = p.RetryRatio, p.RetryBurst
}

func (d *Decider) beginLeases(now time.Time) {
	d.daemonLeases.Duration, d.daemonLeases.Drift = d.Timing.DaemonLease, d.Timing.Drift
	d.targetLeases.Duration, d.targetLeases.Drift = d.Timing.TargetLease, d.Timing.Drift
	var daemons []registrar.DaemonName
	var targets []registrar.TargetName
	if d.Disabled&WithoutElectionWait == 0 {
		for name := range d.State.Daemons {
			daemons = append(daemons, name)
		}
		for name, t := range d.State.Targets {
			if t.State == registrar.TargetAlive {
				targets = append(targets, name)
			}
		}
	}
	d.daemonLeases.Reset(daemons, now)
	d.targetLeases.Reset(targets, now)
}

func (d *Decider) beginTasks(now time.Time) {
	for name := range d.State.Targets {
		d.refreshTarget(name, now)
	}
	for key := range d.State.Jobs {
		d.activeJobs[key] = true
	}
	ids := make([]registrar.TaskID, 0, len(d.State.Tasks))
	for id := range d.State.Tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := d.State.Tasks[id]
		if t.Canceled && t.State != registrar.Ended {
			d.pendingCancels = append(d.pendingCancels, id)
		}
		switch t.State {
		case registrar.Queued:
			d.enqueue(t, now)
		case registrar.Assigned:
			d.countRunning(t.Class, t.Once, 1)
			d.usedByCaller[t.Caller] = d.usedByCaller[t.Caller].Plus(t.Charge)
			d.trackDeadline(t)
		}
	}
}

func (d *Decider) resetRound() {
	d.round = roundState{
		Round:         Round{Down: make(map[registrar.DaemonName]*Downstream)},
		touched:       make(map[registrar.TaskID]bool),
		newTasks:      make(map[registrar.RequestKey]*registrar.Task),
		changeDigests: make(map[registrar.ChangeID]registrar.Digest),
		newJobs:       make(map[registrar.JobKey]bool),

		admitted:          make(map[registrar.TaskID]int),
		quarantined:       make(map[registrar.TargetName]bool),
		waitingAfterPlace: -1,
		avoid:             make(map[predictor.Work]map[registrar.TargetName]bool),
	}
	d.roundPeers = make(map[registrar.JobKey][]*placer.Target)
}

// Decide handles the inputs and changes received since the last round and
// returns the decisions. The caller must commit the events and call Committed
// before it calls Decide again. No other leader can have been elected before
// leaderUntil.
func (d *Decider) Decide(inputs []Input, changes []*Change, leaderUntil, now time.Time) Round {
	d.resetRound()
	for i := range inputs {
		d.handleInput(&inputs[i], leaderUntil, now)
	}
	for _, c := range changes {
		d.handleChange(c, now)
	}
	if now.Sub(d.lastTick) >= tickInterval {
		d.tick(now)
	}
	d.releaseDelayed(now)
	d.place(now)
	if len(d.pendingChanges) > 0 {
		d.answerChanges(now)
	}
	return d.round.Round
}

// RoundDelay returns the minimum time between two rounds.
func (d *Decider) RoundDelay() time.Duration { return d.policies.RoundDelay }

// HasDue reports whether Decide has work to do without any input.
func (d *Decider) HasDue(now time.Time) bool {
	return now.Sub(d.lastTick) >= tickInterval
}

func (d *Decider) tick(now time.Time) {
	elapsed := now.Sub(d.lastTick)
	d.lastTick = now
	d.restartTokens = min(d.restartTokens+d.policies.RestartPerSecond*elapsed.Seconds(), max(d.policies.RestartPerSecond, 1))
	d.expireDaemonLeases(now)
	d.expireTargetLeases(now)
	d.dropOverdue(now)
	d.limitOveruse(now)
	d.reconcileJobs(now)
	if now.Sub(d.lastSlowTick) >= slowTickInterval {
		d.lastSlowTick = now
		d.reconcileTargets(now)
	}
	d.checkRetirements(now)
	if now.Sub(d.lastExpire) >= expireInterval {
		d.lastExpire = now
		d.expire(now)
	}
}

// slowTickInterval is the time between checks that iterate over all targets.
const slowTickInterval = 500 * time.Millisecond

const expireInterval = 5 * time.Second

func (d *Decider) expire(now time.Time) {
	if len(d.State.Tasks) == 0 && len(d.State.Changes) == 0 {
		return
	}
	p := &d.policies
	ev := registrar.RecordsExpired{
		Repeatable: p.KeyRetention, Once: p.OnceRetention, Jobs: p.JobRetention, Changes: p.ChangeRetention, MaxRepeatable: p.MaxRepeatable,
	}
	if d.State.HasExpired(ev, registrar.MillisOf(now)) {
		d.emit(ev)
	}
}

func (d *Decider) emit(ev registrar.Event) {
	d.round.Events = append(d.round.Events, ev)
}

func (d *Decider) downstreamFor(name registrar.DaemonName) *Downstream {
	m := d.round.Down[name]
	if m == nil {
		m = &Downstream{}
		d.round.Down[name] = m
	}
	return m
}

// Committed updates the working state after the events of a round have been
// applied to the replicated state.
func (d *Decider) Committed(events []registrar.Event, now time.Time) {
	for _, ev := range events {
		d.committed(ev, now)
	}
}

func (d *Decider) committed(ev registrar.Event, now time.Time) {
	switch ev := ev.(type) {
	case registrar.ConfigChanged:
		d.refreshPolicies()
		for name := range d.State.Targets {
			d.refreshTarget(name, now)
		}
		d.recordCommittedOps(ev)
	case registrar.JobSubmitted:
		d.activeJobs[ev.Job.KeyOf()] = true
	case registrar.TaskAdmitted:
		if t := d.State.Tasks[ev.Task.ID]; t != nil && t.Job != "" && t.State == registrar.Queued {
			d.enqueue(t, now)
		}
	case registrar.TaskRequeued:
		if t := d.State.Tasks[ev.ID]; t != nil {
			d.enqueue(t, now)
		}
	case registrar.TaskAttached:
		if it := d.queue.Get(ev.ID); it != nil {
			it.Daemon, it.Incarnation = ev.Daemon, ev.Incarnation
		}
	case registrar.TargetAnnounced:
		d.refreshTarget(ev.Target.Name, now)
	case registrar.TargetMarked:
		d.refreshTarget(ev.Name, now)
	case registrar.TargetRetirementProved:
		d.refreshTarget(ev.Name, now)
	}
}

// share returns the dominant share of a caller divided by its weight.
func (d *Decider) share(name registrar.CallerName) float64 {
	weight := 1.0
	if c := d.State.Callers[name]; c != nil && c.Weight > 0 {
		weight = float64(c.Weight)
	}
	return d.usedByCaller[name].DominantShare(d.totalCapacity) / weight
}

// countRunning adjusts the counts of assigned and of preemptible tasks by n.
func (d *Decider) countRunning(c registrar.Class, once bool, n int) {
	d.running += n
	if c == registrar.Batch && !once {
		d.preemptible += n
	}
}

// liveTask returns a task that has not ended and that this round has not yet
// decided on, or nil.
func (d *Decider) liveTask(id registrar.TaskID) *registrar.Task {
	t := d.State.Tasks[id]
	if t == nil || t.State == registrar.Ended || d.round.touched[id] {
		return nil
	}
	return t
}
