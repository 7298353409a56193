// Package simulator plays the planner against emulated targets in virtual time,
// from a seed: leaders that are lost with rounds under way, orders that are
// lost or carried out late, targets that crash, are cut off, drain or turn
// slow, callers that repeat and cancel. It counts how well callers are served
// and gathers what must never happen.
package simulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file is read first: it holds the virtual clock and the leader's loop.
// Example: Simulation{Seed: 7, Targets: 20, Mix: Shops, Faults: Rough}.Run(30 s).

// Simulation is one experiment. The exported fields are set before Run.
type Simulation struct {
	Seed     int64
	Targets  int
	Mix      []Kind
	Faults   Faults
	Licensed bool // queues need tickets
	Proxies  int  // to the licensing service; 0: 5
	Listed   int  // ends that a target lists in one answer; 0: 500
	// SharedBy divides the callers among workspaces; nil: they have none.
	SharedBy  []Workspace
	Surges    []Surge
	Shortages []Shortage
	Size      float64 // of all targets, as a multiple of the usual one; 0: they differ
	// Workspaces makes each kind of job a workspace with its limit; there are none otherwise.
	Workspaces bool
	// FailTogether lets all members of a gang fail with one of them.
	FailTogether bool
	// Configure, when set, alters each new planner.
	Configure func(*planner.Planner)
	// Trace, when set, is told what the leader decides and orders.
	Trace func(at time.Duration, text string)

	Result Result

	rand    *rand.Rand
	demand  *rand.Rand // draws jobs; another one than rand if jobs must not depend on what the leader does
	begun   time.Time
	now     time.Time
	events  eventQueue
	order   int
	world   *emulator.World
	audit   *emulator.Audit
	targets []*host
	byID    map[tracker.TargetID]*host
	jobs    map[definer.JobID]*client
	nextJob uint64
	hosts   int

	leader    *leadership // nil: none
	term      registrar.Term
	committed *tracker.State
	log       []logEntry // proposed and not applied
	index     registrar.Index
	faultAt   time.Time // of the newest fault
	weak      int       // spells of slow, failing or hanging targets that go on
	healed    bool
	loadEnd   time.Time
	roughAt   time.Time                            // when there was last no leader, or a weak target
	advisers  map[planner.LicenceProxyID]time.Time // when each has answered all calls
	document  *definer.Document
}

type logEntry struct {
	data  []byte
	after []planner.Action
	at    time.Time // of the commit
	by    *leadership
}

// leadership is a planner that leads, or led.
type leadership struct {
	planner *planner.Planner
	inputs  []func(*planner.Planner, planner.Moment)
	roundAt time.Time
	planned bool // a round is due to be run
	frozen  time.Duration
	gone    bool
	replica int // which leads; it hears answers to calls of its earlier leaderships
}

// Result tells how callers were served.
type Result struct {
	Problems []string
	Kinds    []KindResult // as in Mix
	Counters planner.Counters
	Unended  int // jobs that were not done at the end
	// Workspaces holds the same as Kinds for each workspace.
	Workspaces map[definer.WorkspaceName][]KindResult
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int // keeps events of one time in the order in which they were made
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (s *Simulation) in(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, do})
}

func (s *Simulation) moment() planner.Moment {
	return planner.Moment{Monotonic: s.now, Wall: registrar.MillisOf(s.now)}
}

// between returns a random duration.
func (s *Simulation) between(low, high time.Duration) time.Duration {
	return between(s.rand, low, high)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int63n(int64(high-low)+1))
}

const (
	finishTime = 14 * time.Second  // after the load, until each job has to get on
	finishSpan = 5 * time.Second   // after that, until long-running jobs are cancelled
	healTime   = 240 * time.Second // without faults, for all jobs to end; a step of 11 tasks may have one target to run on, one after the other
	roundDelay = 5 * time.Millisecond
	minCommit  = 8 * time.Millisecond // a synced write here and on another replica
	maxCommit  = 25 * time.Millisecond
	minElect   = 300 * time.Millisecond
	maxElect   = 900 * time.Millisecond
)

// Run plays the given time under load and faults, then lets the jobs end.
func (s *Simulation) Run(length time.Duration) {
	s.open()
	end := s.begun.Add(length)
	s.play(end)
	s.healed, s.loadEnd = true, end
	s.heal()
	s.play(end.Add(finishTime + finishSpan))
	s.cancelLongRunning()
	s.play(end.Add(healTime))
	s.finish()
}

func (s *Simulation) open() {
	s.rand = rand.New(rand.NewSource(s.Seed))
	s.demand = s.rand
	if len(s.SharedBy) > 0 {
		s.demand = rand.New(rand.NewSource(s.Seed))
	}
	s.begun = time.UnixMilli(1_800_000_000_000)
	s.now = s.begun
	s.audit = &emulator.Audit{Begun: s.begun, CancelTime: cancelTime, DrainTime: drainTime, EarlyMargin: 250 * time.Millisecond, Calm: s.calm,
		RestartTime: 6 * time.Second, IdleTime: 3 * time.Second, CalmBefore: 4 * time.Second}
	if s.Workspaces {
		s.audit.Workspace = func(id definer.JobID) (definer.WorkspaceName, registrar.Need) {
			k := &s.Mix[s.jobs[id].kind]
			return definer.WorkspaceName(k.Name), k.Limit
		}
	}
	s.world = &emulator.World{Work: s.work, Audit: s.audit, FailTogether: s.FailTogether}
	s.committed = tracker.New()
	s.jobs = make(map[definer.JobID]*client)
	s.byID = make(map[tracker.TargetID]*host)
	s.advisers = make(map[planner.LicenceProxyID]time.Time)
	s.Result.Kinds = make([]KindResult, len(s.Mix))
	for range s.Targets {
		s.addHost()
	}
	s.elect(0)
	s.in(50*time.Millisecond, func() { s.putDocument() })
	s.in(loadBegin, func() { s.beginLoad() })
	s.in(loadBegin, s.sample)
	s.scheduleFaults()
	s.scheduleShortages()
}

// loadBegin lets targets announce themselves before the first job.
const loadBegin = 2 * time.Second

func (s *Simulation) play(until time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(until) && len(s.audit.Problems) == 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	if len(s.audit.Problems) == 0 {
		s.now = until
	}
}

// elect begins a leadership after a time.
func (s *Simulation) elect(after time.Duration) {
	s.term++
	term := s.term
	s.in(after, func() {
		if term != s.term {
			return
		}
		s.applyRest()
		p := &planner.Planner{State: s.committed.Clone(), Settings: settings()}
		if s.Configure != nil {
			s.Configure(p)
		}
		p.Begin(term, s.moment())
		p.RaiseFormat(tracker.CurrentFormat, s.moment())
		for i := range cmp.Or(s.Proxies, usualProxies) {
			p.AddLicenceProxy(planner.LicenceProxyID(fmt.Sprintf("vm%d", i+1)), s.moment())
		}
		s.leader = &leadership{planner: p, replica: s.rand.Intn(replicas)}
		s.wake(s.leader)
	})
}

// loseLeader ends the present leadership. Of the rounds under way a first part
// survives; the orders of that part are never sent, or late.
func (s *Simulation) loseLeader() {
	l := s.leader
	if l == nil {
		return
	}
	l.gone = true
	s.leader = nil
	s.trace("leader of term %d is lost, %d rounds under way", s.term, len(s.log))
	keep := s.rand.Intn(len(s.log) + 1)
	s.log = s.log[:keep]
	s.faultAt = s.now
	s.elect(s.between(minElect, maxElect))
}

// applyRest applies the rounds of earlier leaders that survived.
func (s *Simulation) applyRest() {
	for _, e := range s.log {
		s.apply(e)
	}
	s.log = nil
}

func (s *Simulation) apply(e logEntry) {
	s.index++
	if _, err := s.committed.Apply(s.index, e.data); err != nil {
		s.audit.Problems = append(s.audit.Problems, err.Error())
	}
}

// tell passes something to the leader, if there is one.
func (s *Simulation) tell(input func(*planner.Planner, planner.Moment)) {
	if s.leader == nil {
		return
	}
	s.leader.inputs = append(s.leader.inputs, input)
	s.wake(s.leader)
}

// wake lets a leadership run a round when one is due.
func (s *Simulation) wake(l *leadership) {
	if l.planned || l.gone {
		return
	}
	l.planned = true
	delay := max(l.roundAt.Add(roundDelay).Sub(s.now), 0) + l.frozen
	s.in(delay, func() { s.round(l) })
}

func (s *Simulation) round(l *leadership) {
	l.planned = false
	if l.gone {
		return
	}
	l.roundAt = s.now
	l.frozen = 0
	now := s.moment()
	inputs := l.inputs
	l.inputs = nil
	for _, in := range inputs {
		in(l.planner, now)
	}
	l.planner.Plan(now)
	r := l.planner.Take()
	for _, n := range r.LogRecords {
		s.trace("%s %v", n.Message, n.Fields)
	}
	s.carryOut(r.Immediate)
	s.propose(l, r)
	due := max(l.planner.Due().Sub(s.now), roundDelay)
	s.in(due, func() { s.wake(l) })
}

func (s *Simulation) trace(format string, args ...any) {
	if s.Trace != nil {
		s.Trace(s.now.Sub(s.begun), fmt.Sprintf(format, args...))
	}
}

func (s *Simulation) propose(l *leadership, r planner.Round) {
	if len(r.Events) == 0 {
		if n := len(s.log); n > 0 {
			s.log[n-1].after = append(s.log[n-1].after, r.AfterCommit...)
			return
		}
		s.carryOut(r.AfterCommit)
		return
	}
	entry := tracker.Entry{At: registrar.MillisOf(s.now), Events: r.Events}
	data, err := entry.Encode()
	if err != nil {
		s.audit.Problems = append(s.audit.Problems, err.Error())
		return
	}
	at := s.now.Add(s.between(minCommit, maxCommit))
	if n := len(s.log); n > 0 && at.Before(s.log[n-1].at) {
		at = s.log[n-1].at
	}
	s.log = append(s.log, logEntry{data, r.AfterCommit, at, l})
	s.in(at.Sub(s.now), func() { s.commit(l) })
}

func (s *Simulation) commit(l *leadership) {
	if l.gone || len(s.log) == 0 || s.log[0].by != l {
		return
	}
	e := s.log[0]
	s.log = s.log[1:]
	s.apply(e)
	s.carryOut(e.after)
}

func (s *Simulation) finish() {
	for _, c := range s.sortedJobs() {
		if !c.over {
			s.Result.Unended++
			if len(s.audit.Problems) == 0 {
				s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("job %s of kind %s was not done %s after the last fault: %s", c.id, s.Mix[c.kind].Name, healTime, c.describe()))
			}
		}
	}
	for _, c := range s.sortedJobs() {
		if c.gaveUp && s.committed.Jobs[c.id] != nil {
			s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("job %s was accepted after its caller was told that it is rejected", c.id))
		}
	}
	for _, c := range s.jobs {
		k := &s.Result.Kinds[c.kind]
		gap, idle := s.audit.Gaps(c.id)
		k.LongestGap, k.LongestIdle = max(k.LongestGap, gap), max(k.LongestIdle, idle)
	}
	s.checkCharges()
	if s.leader != nil {
		s.Result.Counters = s.leader.planner.Counters
	}
	s.Result.Problems = s.audit.Problems
}

// checkCharges checks that nothing is charged to workspaces once all jobs have ended: what is never released would keep
// them from starting anything.
func (s *Simulation) checkCharges() {
	if s.leader == nil || len(s.audit.Problems) > 0 {
		return
	}
	for _, w := range s.leader.planner.Load(s.moment()).Workspaces {
		if w.Usage != (registrar.Need{}) {
			s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("workspace %s is charged with %s at the end", w.Name, w.Usage))
		}
	}
}

func (s *Simulation) sortedJobs() []*client {
	out := make([]*client, 0, len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out = append(out, s.jobs[id])
	}
	return out
}

// calm reports whether no fault goes on or was near lately.
func (s *Simulation) calm(now time.Time) bool {
	return s.weak == 0 && (s.faultAt.IsZero() || now.Sub(s.faultAt) > calmTime)
}

const (
	calmTime     = 3 * time.Second
	cancelTime   = 3 * time.Second
	drainTime    = 2500 * time.Millisecond
	usualProxies = 5
	replicas     = 2 // that may lead
)

func settings() planner.Settings {
	return planner.Settings{Bounds: planner.Bounds{
		MaxLease: limits.MaxLease, StopTime: limits.StopTime, GangTime: limits.GangTime, CheckpointInterval: limits.SaveEvery, RemoteFactor: 3,
		Retention: 2 * time.Minute, PaceDelay: 100 * time.Millisecond, MaxTailViolation: 4 * time.Second, UnavailableAfter: 4500 * time.Millisecond,
	}}
}

var limits = emulator.Limits{
	MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: 2 * time.Second, Restore: 600 * time.Millisecond,
}
