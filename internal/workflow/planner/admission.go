package planner

import (
	"math"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
)

// This file decides whether a job is accepted. A job that can only end when it is worth
// nothing any more is rejected at once, so that its caller can come back, and so that the
// work is done for others. It applies while a document declares workspaces.
//
// The prediction compares the capacity that waits to be taken by the job and by what is
// placed before it with the capacity that is free, and that becomes free as runs end. It is
// cautious: a wrong rejection costs a caller its job. What it does not know, such as run
// times of a queue that has run nothing yet, counts in favour of the job.

// allowance is a bucket of tokens of a workspace. Each accepted job takes one. A job that
// finds none is beyond what its workspace is entitled to.
type allowance struct {
	tokens float64
	at     time.Time // when tokens was brought up to date
}

const (
	// allowanceTime is how long a workspace may have saved up its entitlement. Arrivals at
	// the usual rate vary by about this much.
	allowanceTime = 6 * time.Second
	minAllowance  = 6 // jobs
)

// allowanceOf returns the bucket of a workspace with the tokens that it has now. It is full
// at first, so that callers lose nothing by a change of the leader.
func (p *Planner) allowanceOf(name definer.WorkspaceName, now Moment) *allowance {
	weight := p.weightOf(name)
	most := max(weight*allowanceTime.Seconds(), minAllowance)
	a := p.allowances[name]
	if a == nil {
		a = &allowance{tokens: most}
		p.allowances[name] = a
	} else {
		a.tokens = min(a.tokens+weight*now.Monotonic.Sub(a.at).Seconds(), most)
	}
	a.at = now.Monotonic
	return a
}

// flow is the work of the jobs of a workspace in a pool of one priority.
type flow struct {
	waiting  [openProspects]bySlack // that no run has yet, by the prospect of the job
	running  amount
	released amount // a second, as runs end
}

// bySlack holds amounts by the time that is left until the latest start, which is the order
// of placement within a prospect.
type bySlack [slackBins]amount

const (
	slackBins = 16
	minSlack  = 250 * time.Millisecond // of the second bin; each further one begins at a slack that is longer by a half
)

// slackBin returns the index of the amounts with a slack.
func slackBin(slack time.Duration) int {
	if slack < minSlack {
		return 0
	}
	return min(1+int(math.Log2(slack.Seconds()/minSlack.Seconds())/math.Log2(1.5)), slackBins-1)
}

// upTo returns the amounts with at most the slack of a bin.
func (b *bySlack) upTo(bin int) (sum amount) {
	for i := range bin + 1 {
		sum.add(b[i], 1)
	}
	return sum
}

type flowKey struct {
	workspace definer.WorkspaceName
	priority  int
}

// outlook is what a prediction for a pool is based on.
type outlook struct {
	at    time.Time
	free  amount
	flows map[flowKey]*flow
	// returning is what rejected jobs will take when their callers come back at the time
	// that they were told, so that not all are told the same time.
	returning amount
}

// outlookTime is how long an outlook is used; what is accepted meanwhile is added to it.
const outlookTime = 50 * time.Millisecond

// outlookOf returns the outlook of a pool.
func (p *Planner) outlookOf(name definer.PoolName, now Moment) *outlook {
	x := p.outlooks[name]
	if x != nil && now.Monotonic.Sub(x.at) < outlookTime {
		return x
	}
	next := &outlook{at: now.Monotonic, flows: make(map[flowKey]*flow)}
	if pl := p.pools[name]; pl != nil {
		for _, t := range pl.targets {
			if t.responsive {
				next.free.add(amountOf(t.rec.Capacity.Minus(t.used).Max(registrar.Need{}), 1), 1)
			}
		}
	}
	for _, s := range p.stepsByPriority {
		if s.pool == name && !s.def.LongRunning {
			next.count(p, s, now)
		}
	}
	if x != nil {
		next.returning = x.returning
		next.arrive(now.Monotonic.Sub(x.at))
	}
	p.outlooks[name] = next
	return next
}

func (x *outlook) flow(name definer.WorkspaceName, priority int) *flow {
	key := flowKey{name, priority}
	f := x.flows[key]
	if f == nil {
		f = &flow{}
		x.flows[key] = f
	}
	return f
}

// count adds a step, and those that depend on it.
func (x *outlook) count(p *Planner, s *step, now Moment) {
	f := x.flow(s.job.rec.Workspace, s.priority)
	if running := float64(s.runningTasks()); running > 0 {
		need := amountOf(s.def.Charge(), running)
		f.running.add(need, 1)
		f.released.add(need, 1/p.releaseTime(s, now).Seconds())
	}
	worth := p.prospectOf(s, now)
	if worth == hopeless || p.isHomeless(s) {
		return
	}
	f.waiting[worth][slackBin(s.latestStart.Sub(now.Monotonic))].add(amountOf(s.def.Charge(), float64(len(s.waiting))), 1)
	deadline := s.latestStart.Add(s.job.expected.paths[s.id.Step])
	o := s.job.rec.Occurrences[s.id.Occurrence]
	if o == nil || s.job.rec.Def == nil {
		return
	}
	for i := range o.Steps {
		def := &s.job.rec.Def.Steps[i]
		if isFirstDependency(def, s.id.Step) && !def.LongRunning {
			slack := deadline.Add(-s.job.expected.paths[i]).Sub(now.Monotonic)
			f.waiting[worth][slackBin(slack)].add(amountOf(def.Charge(), float64(o.Steps[i].TasksLeft)), 1)
		}
	}
}

// isFirstDependency reports whether a step is the first one that another depends on, so
// that each step is counted once.
func isFirstDependency(def *definer.Step, step int) bool {
	return len(def.DependsOn) > 0 && def.DependsOn[0] == step
}

// releaseTime returns in which time the running tasks of a step are expected to release what
// they take: their mean run time while they are young, and what is left of it later.
func (p *Planner) releaseTime(s *step, now Moment) time.Duration {
	usual := max(p.estimateBiases[s.job.rec.Queue.Name].adjust(s.def.Estimate), minReleaseTime)
	if s.typicalTime > 0 {
		// Progress says little about tasks that have just begun or stand still.
		usual = max(min(s.typicalTime, 2*usual), usual/2)
	}
	if s.placedAt.IsZero() {
		return usual
	}
	return max(min(usual, 2*(usual-now.Monotonic.Sub(s.placedAt))), usual/4)
}

const minReleaseTime = 100 * time.Millisecond // an estimate of 0 is none

// arrive removes the callers that have come back since.
func (x *outlook) arrive(since time.Duration) {
	for _, f := range x.flows {
		x.returning.add(f.released, -since.Seconds())
	}
	for i := range x.returning {
		x.returning[i] = max(x.returning[i], 0)
	}
}

// prediction is when a job is expected to end, and why.
type prediction struct {
	start time.Duration // until its first tasks have started
	chain time.Duration // from then to its end
	ahead amount        // that is placed before it
	rate  amount        // a second, that becomes free for both
	by    string        // what the start waits for: Pool, Share or Limit
}

func (r *prediction) end() time.Duration { return r.start + r.chain }

// demand is what a prediction has to know of a job.
type demand struct {
	queue     *definer.Queue
	workspace definer.WorkspaceName
	first     amount          // of the steps that can start at once
	paths     []time.Duration // as declared
	objective time.Duration
	chain     time.Duration // expected
	slack     time.Duration // until its latest start
}

func (p *Planner) demandOf(q *definer.Queue, workspace definer.WorkspaceName, def *definer.Job) demand {
	x := p.expectNew(q, def)
	d := demand{queue: q, workspace: workspace, paths: x.paths, objective: x.objective}
	for i := range def.Steps {
		if s := &def.Steps[i]; len(s.DependsOn) == 0 {
			d.first.add(amountOf(s.Charge(), float64(s.Count)), 1)
		}
	}
	longest := time.Duration(0)
	for _, c := range d.paths {
		longest = max(longest, c)
	}
	d.chain, d.slack = longest, d.objective-longest
	return d
}

// predict estimates when a job starts that is placed among those of a prospect, or after all
// those that are late.
func (p *Planner) predict(x *outlook, d *demand, as prospect) prediction {
	ahead, own := d.first, d.first
	var rate, ownRate, ownRunning amount
	weights, weight := 0.0, p.weightOf(d.workspace)
	seen := map[definer.WorkspaceName]bool{d.workspace: true}
	for key, f := range x.flows {
		if !seen[key.workspace] {
			seen[key.workspace] = true
			weights += p.weightOf(key.workspace)
		}
		isOwn := key.workspace == d.workspace
		if isOwn {
			ownRunning.add(f.running, 1)
			ownRate.add(f.released, 1)
		}
		if key.priority > d.queue.Priority {
			rate.add(f.released, 1)
			continue
		}
		if key.priority == d.queue.Priority {
			rate.add(f.released, 1)
		}
		var before amount
		for i := range f.waiting {
			if key.priority == d.queue.Priority && prospect(i) > as {
				break
			}
			bin := slackBins - 1
			if key.priority == d.queue.Priority && prospect(i) == as && as < late {
				bin = slackBin(d.slack)
			}
			before.add(f.waiting[i].upTo(bin), 1)
		}
		if isOwn {
			own.add(before, 1)
		}
		before.limit(p.workspaceLimit(key.workspace)) // the rest waits for its own runs to end
		ahead.add(before, 1)
	}
	out := prediction{chain: d.chain, ahead: ahead, rate: rate, by: "Pool"}
	out.start = timeToTake(ahead, x.free, rate)
	// A workspace that runs less than its share waits for its own steps alone.
	fair := rate
	for i := range fair {
		fair[i] *= weight / (weight + weights)
	}
	if alone := timeToTake(own, x.free, fair); alone < out.start {
		out.start, out.by = alone, "Share"
	}
	limit := amountOf(p.workspaceLimit(d.workspace), 1)
	for i := range limit {
		if limit[i] == 0 {
			limit[i] = math.Inf(1)
		}
		limit[i] -= ownRunning[i]
	}
	if limited := timeToTake(own, limit, ownRate); limited > out.start {
		out.start, out.by = limited, "Limit"
	}
	return out
}

// timeToTake returns how long it takes until an amount can be taken, of what is free and
// what becomes free. It is 0 if nothing becomes free, as nothing is known then.
func timeToTake(need, free, rate amount) time.Duration {
	longest := 0.0
	for i := range need {
		if missing := need[i] - max(free[i], 0); missing > 0 && rate[i] > 0 {
			longest = max(longest, missing/rate[i])
		}
	}
	return time.Duration(min(longest, maxPrediction.Seconds()) * float64(time.Second))
}

const maxPrediction = time.Hour // of a wait, so that it can be represented

// Rejection tells which submission was rejected and why.
type Rejection struct {
	Queue     definer.QueueName
	Workspace definer.WorkspaceName
	Reason    RejectionReason
}

// RejectionReason is the reason why a job was not accepted.
type RejectionReason uint8

// The reasons.
const (
	RejectedLimit  RejectionReason = iota // a task or gang exceeds the limit of its workspace
	RejectedExcess                        // beyond the entitlement of its workspace, and it would be late
	RejectedLate                          // it would end when it is worth nothing any more
)

var rejectionNames = []string{"Limit", "Excess", "Late"}

// String returns the name of r.
func (r RejectionReason) String() string {
	if int(r) < len(rejectionNames) {
		return rejectionNames[r]
	}
	return "Unknown"
}

const (
	// minWaitShare is the wait, as a part of the objective, below which no job is rejected:
	// declared run times alone may be longer than the objective allows.
	minWaitShare = 0.2
	// limitRetry is the pause after a job that the limit of its workspace rules out. Only an
	// operator can change that.
	limitRetry = time.Minute
	maxRetry   = 2 * time.Minute // a longer time says no more to a caller
	// longestPatience is the longest pause after which callers are expected to come back. They
	// give up within some seconds.
	longestPatience = 10 * time.Second
)

// decision is the outcome of the admission of a submission.
type decision struct {
	answer Answer
	excess bool  // the workspace is not entitled to the job
	fields []any // of the log: the numbers that decided it
}

// admit decides whether a job is accepted. It changes nothing but the account of callers
// that come back.
func (p *Planner) admit(q *definer.Queue, workspace definer.WorkspaceName, def *definer.Job, now Moment) decision {
	if !p.divides() {
		return decision{answer: Answer{Verdict: Accepted}}
	}
	if place, need := beyondLimit(def, p.workspaceLimit(workspace)); place >= 0 {
		p.recordRejection(q, workspace, RejectedLimit)
		return decision{answer: Answer{Busy, limitRetry, "a task or gang of the job exceeds the limit of its workspace"},
			fields: []any{"workspace", workspace, "step", place, "need", need.String(), "limit", p.workspaceLimit(workspace).String()}}
	}
	a := p.allowanceOf(workspace, now)
	out := decision{Answer{Verdict: Accepted}, a.tokens < 1, []any{"workspace", workspace, "excess", a.tokens < 1}}
	if p.estimateBiases[q.Name].isKnown() && !def.HasLongRunningStep() && def.Due(0) <= now.Wall && !p.without(WithoutAdmission) {
		out = p.decide(q, workspace, def, out.excess, now)
	}
	if !out.excess && out.answer.Verdict == Accepted {
		a.tokens--
	}
	return out
}

// decide predicts the end of a job and rejects the job if that is too late. A job that its
// workspace is entitled to is placed after those that are late once it is late itself.
func (p *Planner) decide(q *definer.Queue, workspace definer.WorkspaceName, def *definer.Job, excess bool, now Moment) decision {
	x, d := p.outlookOf(q.Pool, now), p.demandOf(q, workspace, def)
	least := time.Duration(minWaitShare * float64(d.objective))
	bound := time.Duration(doubtFactor * float64(d.objective))
	reason, text := RejectedExcess, "the job is beyond the weight of its workspace and would be late"
	as := inTime
	if excess {
		as = excessInTime
	}
	r := p.predict(x, &d, as)
	if r.end() > bound && !excess {
		bound *= lateFactor
		reason, text = RejectedLate, "the job would end when it is worth nothing any more"
		r = p.predict(x, &d, late)
	}
	out := decision{Answer{Verdict: Accepted}, excess, []any{"workspace", workspace, "excess", excess, "start", r.start.Milliseconds(),
		"end", r.end().Milliseconds(), "bound", bound.Milliseconds(), "by", r.by, "ahead", int64(r.ahead[0]), "free", int64(x.free[0]), "perSecond", int64(r.rate[0])}}
	if r.start <= least || r.end() <= bound {
		x.accept(&d, def, excess)
		return out
	}
	room := max(bound-r.chain, least)
	wait := r.start - room + timeToTake(x.returning, amount{}, r.rate)
	wait = min(max(wait.Truncate(time.Second)+time.Second, time.Second), maxRetry)
	if wait <= longestPatience {
		x.returning.add(d.first, 1)
	}
	p.recordRejection(q, workspace, reason)
	out.answer = Answer{Busy, wait, text}
	out.fields = append(out.fields, "rejected", reason.String(), "objective", d.objective.Milliseconds())
	return out
}

// accept adds an accepted job to the outlook.
func (x *outlook) accept(d *demand, def *definer.Job, excess bool) {
	f, worth := x.flow(d.workspace, d.queue.Priority), inTime
	if excess {
		worth = excessInTime
	}
	for i := range def.Steps {
		s := &def.Steps[i]
		f.waiting[worth][slackBin(d.objective-d.paths[i])].add(amountOf(s.Charge(), float64(s.Count)), 1)
	}
}

func (p *Planner) recordRejection(q *definer.Queue, workspace definer.WorkspaceName, reason RejectionReason) {
	p.round.Rejections = append(p.round.Rejections, Rejection{q.Name, workspace, reason})
}

// beyondLimit returns the first step of which one task, or the gang as a whole, needs more
// than a limit, and that need; -1 if there is none. Tasks that use only idle processors are
// charged for all that they declare.
func beyondLimit(def *definer.Job, limit registrar.Need) (step int, need registrar.Need) {
	for i := range def.Steps {
		need := def.Steps[i].Need
		if def.Steps[i].Gang {
			need = need.Times(def.Steps[i].Count)
		}
		if exceeds(need.CPU, limit.CPU) || exceeds(need.Memory, limit.Memory) || exceeds(need.Accelerators, limit.Accelerators) {
			return i, need
		}
	}
	return -1, registrar.Need{}
}

// exceeds reports whether an amount is above a limit; 0: no limit.
func exceeds[T registrar.MilliCPU | registrar.MiB | registrar.Accelerators](n, limit T) bool {
	return limit > 0 && n > limit
}
