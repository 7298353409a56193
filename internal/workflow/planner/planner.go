// Package planner makes the leader's decisions about workflows: what is
// accepted, when and where each task runs, what is stopped, and what is
// believed about targets. It has no I/O and takes the present time as an
// argument. Its results are events for the log and orders that may be carried
// out at once or once those events are committed.
package planner

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file is read first: it holds the planner's working tables and the way
// of a round. Example: a report that a task is done arrives; Looked emits
// RunEnded, which frees room; Plan emits RunsStarted for a waiting task and an
// order to start it, which is carried out once both events are committed.

// Moment is the present time on both clocks of a VM.
type Moment struct {
	// Steady never jumps and goes on while the VM is suspended. Leases and
	// waiting times are judged by it.
	Steady time.Time
	// Wall is the time of day. Due times of repeated jobs are judged by it.
	Wall registrar.Millis
}

// Bounds are time bounds that the cell has to keep. They come from its
// settings.
type Bounds struct {
	MaxLease    time.Duration // longest lease of what runs on a target
	StopTime    time.Duration // a target ends a stopped run within this time
	GangTime    time.Duration // a member of a gang waits this long for the others
	SaveEvery   time.Duration // work between two checkpoints
	RemoteTimes int           // run time of a task away from its data, in multiples
	Retention   time.Duration // an ended job is known at least this long
	PaceDelay   time.Duration // from an order to throttle to its effect
	TailTime    time.Duration // a tail may be over its bound this long
	NoticeTime  time.Duration // a task counts as away this long after it went missing
	UpkeepTime  time.Duration // a VM is down this long for its upkeep
}

// Mechanism is a set of protections.
type Mechanism uint8

// The protections that tests can switch off.
const (
	WithoutLeaseWait    Mechanism = 1 << iota // what a silent target runs is given up at once
	WithoutEpochs                             // orders for an earlier life are not made void
	WithoutTokenCheck                         // answers to an earlier leadership are taken
	WithoutOrphanCharge                       // runs that the tables don't have take no room
	WithoutStopCharge                         // runs that are being stopped take no room
	WithoutDrainCheck                         // targets that leave get work
	WithoutLeaseRecord                        // a new leader takes all leases for short ones
)

func (p *Planner) without(m Mechanism) bool { return p.Disabled&m != 0 }

// Settings bound what the planner does. Zero values take the defaults.
type Settings struct {
	Bounds
	Region registrar.RegionName
	Holder string // names this leader to the service that keeps VMs
}

// Planner makes the decisions of one leader. The exported fields are set before
// Begin.
type Planner struct {
	State    *tracker.State // with all events that were emitted, committed or not
	Settings Settings
	Limits   Limits
	Disabled Mechanism // for tests that show that its absence is noticed

	term            registrar.Term
	targets         map[tracker.TargetID]*target
	byAddr          map[string]tracker.TargetID
	pools           map[definer.PoolName]*pool
	steps           map[definer.StepID]*step // that have begun and are not done
	jobs            map[definer.JobID]*job   // that have not ended, or still have runs
	recurring       map[definer.JobID]bool   // jobs with occurrences to begin
	licenceProxies  map[AdviserID]*licenceProxy
	ticketRequests  map[AskID]*ticketRequest
	lastRequest     AskID
	estimateBiases  map[definer.QueueName]*estimateBias
	upkeep          upkeep
	interference    map[imagePair]time.Time
	scans           map[definer.PoolName]*poolScan // of the present pass
	proxiesFull     bool                           // no daemon takes another question in this pass
	dirty           bool                           // something changed that placement depends on
	stepsByPriority []*step
	sweepAt         time.Time
	recentMisses    int       // calls without an answer, of late
	lastMissAt      time.Time // the newest of them
	// progressCheckedAt is when the progress of runs was checked last.
	progressCheckedAt time.Time
	Counters          Counters

	round Round
}

// Counters count decisions since Begin.
type Counters struct {
	Accepted, Refused, Started, Stopped, Lost, StartsRefused, TicketRequests, Preempted, Moved, Copies int
}

// Round is the result of the calls since the last one.
type Round struct {
	Events []tracker.Event
	After  []Action // to be carried out once Events are committed
	Now    []Action // to be carried out at once
	Notes  []Note
	Jobs   []JobEnd // that ended, with none of their runs left
}

// JobEnd tells how a job was served.
type JobEnd struct {
	Queue definer.QueueName
	State tracker.JobState
	Took  time.Duration   // from its acceptance
	Waits []time.Duration // of its steps, until each of their tasks was placed
	Late  bool            // against its objective by the declared run times
}

// Load tells what a leader has before it.
type Load struct {
	Waiting, Running, Jobs, Targets, Silent, Suspects, Asks int
}

// Load counts what is before the leader.
func (p *Planner) Load(now Moment) Load {
	l := Load{Jobs: len(p.jobs), Targets: len(p.targets), Asks: len(p.ticketRequests)}
	for _, s := range p.steps {
		l.Waiting += len(s.waiting)
	}
	for _, t := range p.targets {
		l.Running += len(t.runs)
		if !t.responsive {
			l.Silent++
		}
		if now.Steady.Before(t.health.quarantinedUntil) {
			l.Suspects++
		}
	}
	return l
}

// Note is a decision to be logged.
type Note struct {
	Text   string
	Fields []any // alternating names and values
}

// Begin rebuilds the working tables for a leader of the given term. Whatever
// an earlier leader may have ordered is held to be running until its target
// has been looked at or its lease is over.
func (p *Planner) Begin(term registrar.Term, now Moment) {
	p.term = term
	p.targets = make(map[tracker.TargetID]*target)
	p.byAddr = make(map[string]tracker.TargetID)
	p.pools = make(map[definer.PoolName]*pool)
	p.steps = make(map[definer.StepID]*step)
	p.jobs = make(map[definer.JobID]*job)
	p.recurring = make(map[definer.JobID]bool)
	p.licenceProxies = make(map[AdviserID]*licenceProxy)
	p.ticketRequests = make(map[AskID]*ticketRequest)
	p.estimateBiases = make(map[definer.QueueName]*estimateBias)
	p.upkeep = newUpkeep()
	p.interference = make(map[imagePair]time.Time)
	p.scans = make(map[definer.PoolName]*poolScan)
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
	p.recordShortLease(now)
	p.dirty = true
}

// Take returns the result of the calls since the last one.
func (p *Planner) Take() Round {
	r := p.round
	p.round = Round{}
	return r
}

// emit records an event and applies it to the tables.
func (p *Planner) emit(ev tracker.Event, now Moment) {
	p.round.Events = append(p.round.Events, ev)
	p.State.ApplyEvent(ev, now.Wall)
}

func (p *Planner) doAfterCommit(a Action) { p.round.After = append(p.round.After, a) }
func (p *Planner) doNow(a Action)         { p.round.Now = append(p.round.Now, a) }

func (p *Planner) log(text string, fields ...any) {
	p.round.Notes = append(p.round.Notes, Note{text, fields})
}

// sweepInterval is the time between checks that need no input. Leases last
// seconds, so a tenth of a second more is little.
const sweepInterval = 50 * time.Millisecond

// Due returns when Plan should be called though nothing arrived.
func (p *Planner) Due() time.Time { return p.sweepAt }

// Plan decides what the calls since the last one made possible.
func (p *Planner) Plan(now Moment) {
	if !now.Steady.Before(p.sweepAt) {
		p.sweepAt = now.Steady.Add(sweepInterval)
		p.sweep(now)
	}
	if p.dirty {
		p.dirty = false
		p.place(now)
	}
}

// sweep checks what changes by the passage of time alone.
func (p *Planner) sweep(now Moment) {
	p.startDueOccurrences(now)
	p.checkTargets(now)
	p.checkTicketRequests(now)
	if now.Steady.Sub(p.progressCheckedAt) >= progressInterval {
		p.progressCheckedAt = now.Steady
		p.checkProgress(now)
		p.checkWaves(now)
	}
	p.forgetEndedJobs(now)
	p.dirty = true
}

const retentionMargin = 30 * time.Second // over the promised time, for slow callers

func (p *Planner) forgetEndedJobs(now Moment) {
	before := now.Wall.Add(-p.Settings.Retention - retentionMargin)
	oldest := p.State.OldestEnded()
	if oldest != 0 && oldest < before.Add(-retentionMargin) {
		p.emit(tracker.Event{JobsForgotten: &tracker.JobsForgotten{Before: before}}, now)
	}
}
