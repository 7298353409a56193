package planner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tracks jobs: which steps may start once their dependencies are done,
// how the end of a run affects its job, and what is stopped when a job ends.

// job is the leader's view of a job that has not ended, or still has runs.
type job struct {
	rec           *tracker.Job
	id            definer.JobID
	workspace     *workspace      // nil: none
	criticalPaths []time.Duration // longest time from the start of each step to the end of the job
	expected      expectation
	longestRuns   []time.Duration // of each step that is done
	deadline      time.Time       // objective of occurrence 0
	excess        bool            // its workspace was not entitled to it when it was accepted
	acceptedAt    time.Time       // by this leader or an earlier one
	runs          map[runKey]*run
	completed     []stepTiming          // timings of completed steps
	failures      map[*target]time.Time // when its runs last failed on each target
	faults        map[fault]bool        // its failures
	// estimates holds the declared run times, since the declaration of a job is
	// dropped when it ends.
	estimates []time.Duration
	preempted map[definer.TaskID]int // how often each task was preempted
	idleSince time.Time              // when its newest run ended, if it has none
	begun     bool                   // a target has confirmed a start, or listed the end of a run
	attempts  attempts
	exhausted []any // fields of the log about what has used up its attempts
}

// stepTiming is the time that a step spent waiting and running, for the log.
type stepTiming struct {
	step   definer.StepID
	waited time.Duration // until all of its tasks were placed for the first time
	ran    time.Duration // from then until the end of the step
	reruns int
}

// fault identifies what counts as one failure of a job: those of its runs on one target, or
// one run of a gang, whose members may fail on many targets from one cause.
type fault struct {
	target *target
	gang   definer.StepID
	number tracker.RunNumber // 0: not of a gang
}

// recordFault records that a run of the job has failed.
func (j *job) recordFault(r *run, now Moment) {
	if j.failures == nil {
		j.failures, j.faults = make(map[*target]time.Time), make(map[fault]bool)
	}
	j.failures[r.target] = now.Monotonic
	if r.def.Gang {
		j.faults[fault{gang: r.key.task.StepID(), number: r.key.number}] = true
		return
	}
	j.faults[fault{target: r.target}] = true
}

// avoids reports whether a step should use other targets of its pool, as a run of
// its job has recently failed on this one. Attempts are few, and a faulty target may
// fail the job again. Labels and the licensing service may leave a step no others; a
// long-running task, whose attempts aren't counted, waits only briefly for others, and
// so does a job that has nothing running.
func (p *Planner) avoids(s *step, pl *pool, t *target, now Moment) bool {
	at, failed := s.job.failures[t]
	since := now.Monotonic.Sub(at)
	if !failed || since >= avoidAfterFailure || 2*len(s.job.failures) >= len(pl.targets) {
		return false
	}
	if since < maxAvoidWait {
		return true
	}
	idle := len(s.job.runs) == 0 && now.Monotonic.Sub(s.job.idleSince) >= maxAvoidWait
	return !s.def.LongRunning && !idle && p.hasAlternative(s, pl, now)
}

// hasAlternative reports whether a step may use a target, now or later, on which no
// run of its job has failed.
func (p *Planner) hasAlternative(s *step, pl *pool, now Moment) bool {
	for _, t := range pl.targets {
		if _, failed := s.job.failures[t]; failed || !p.isEligible(s, t, now) || !s.def.Charge().FitsIn(t.rec.Capacity) {
			continue
		}
		if s.grants.mayAdmit(t) {
			return true
		}
	}
	return false
}

const (
	avoidAfterFailure = 8 * time.Second // faults of targets were observed to last 4 to 7 s
	// maxAvoidWait bounds the wait for another target. Callers may rely on no task
	// waiting for 3 s while there is free capacity.
	maxAvoidWait = 1500 * time.Millisecond
)

// recordCompletion records the timing of a completed step. If this leader placed
// none of its tasks, an earlier leader did.
func (j *job) recordCompletion(s *step, now Moment) {
	placedAt := s.placedAt
	if placedAt.IsZero() {
		placedAt = s.waitingSince
	}
	j.completed = append(j.completed, stepTiming{s.id, placedAt.Sub(s.waitingSince), now.Monotonic.Sub(placedAt), s.reruns})
}

// formatTiming formats p as occurrence.step:waited+ran/estimate(reruns), with
// times in milliseconds.
func (j *job) formatTiming(p stepTiming) string {
	return fmt.Sprintf("%d.%d:%d+%d/%d(%d)", p.step.Occurrence, p.step.Step, p.waited.Milliseconds(), p.ran.Milliseconds(),
		j.estimates[p.step.Step].Milliseconds(), p.reruns)
}

// step is a step whose dependencies are done, until it is done itself.
type step struct {
	id             definer.StepID
	def            *definer.Step
	rec            *tracker.Step
	job            *job
	pool           definer.PoolName
	priority       int
	latestStart    time.Time         // latest start that meets the job's objective
	waitingSince   time.Time         // when its dependencies were done
	placedAt       time.Time         // when the first run of a task was decided, for the newest such task
	reruns         int               // runs beyond the first of each task
	brokenBefore   tracker.RunNumber // the latest run of a gang that had lost a member when this leader took it over
	waiting        []waitingTask
	waitLoggedAt   time.Time
	lostRuns       int         // waiting tasks of a long-running step that have had a run; they are the first ones
	quickFailures  map[int]int // runs in a row of each task that failed soon after their start
	holding        bool        // capacity is held for it, and it has tickets for full targets
	held           []*target   // on which its capacity was held last
	heldFor        int         // tasks for which they were chosen
	heldAt         time.Time   // when they were chosen
	grants         grants
	pendingRequest TicketRequestID // 0: none
	requestAfter   time.Time
	elapsed        []time.Duration // run times of completed tasks
	moves          map[int]int     // moves and copies of each task
	preemptAt      time.Time       // it may preempt runs from then on
	rack           string          // required for its next tasks; empty: any
	deferredAt     time.Time       // it has had room since then that was left to others; zero: it has none
	typicalTime    time.Duration   // typical run time of a task; 0: unknown
	firstRack      string          // of its newest run, for noteRack
	spread         bool            // its tasks were started on several racks
	spaced         bool            // findings of interference prefer another target than the usual one for the next task
}

// addJob starts tracking a job of the replicated state.
func (p *Planner) addJob(rec *tracker.Job, now Moment) *job {
	j := &job{
		rec: rec, id: rec.ID, begun: rec.Begun, runs: make(map[runKey]*run), criticalPaths: criticalPathsOf(rec.Def), preempted: make(map[definer.TaskID]int),
		attempts: make(attempts), workspace: p.workspaceOf(rec.Workspace),
	}
	for i := range rec.Def.Steps {
		j.estimates = append(j.estimates, rec.Def.Steps[i].Estimate)
	}
	age := max(time.Duration(now.Wall-rec.Accepted)*time.Millisecond, 0)
	j.acceptedAt, j.idleSince = now.Monotonic.Add(-age), now.Monotonic
	p.reviseObjective(j)
	p.jobs[rec.ID] = j
	if rec.OccurrencesStarted < rec.Def.Occurrences() && !rec.State.Ended() {
		p.recurring[rec.ID] = true
	}
	for k, o := range rec.Occurrences {
		p.addOccurrence(j, k, o, now)
	}
	if rec.State == tracker.Failed {
		j.exhausted = p.describeExhausted(j, tasks{rec.Def, rec.Occurrences}, false)
	}
	if rec.State.Ended() {
		p.stopJob(j, "job ended", now)
	}
	return j
}

// criticalPathsOf returns for each step the longest time from its start to the end
// of the job, according to the declared estimates.
func criticalPathsOf(def *definer.Job) []time.Duration {
	times := make([]time.Duration, len(def.Steps))
	for i := range times {
		times[i] = def.Steps[i].Estimate
	}
	return longestPaths(def, times)
}

// longestPaths is criticalPathsOf for other times of the steps.
func longestPaths(def *definer.Job, times []time.Duration) []time.Duration {
	out := make([]time.Duration, len(def.Steps))
	for i := len(def.Steps) - 1; i >= 0; i-- {
		out[i] += times[i]
		for _, d := range def.Steps[i].DependsOn {
			out[d] = max(out[d], out[i])
		}
	}
	return out
}

// objective returns the time in which a job should be done.
func (p *Planner) objective(j *job) time.Duration { return objectiveOf(&j.rec.Queue, j.criticalPaths) }

// objectiveOf returns the objective of a job of a queue with the given critical paths.
func objectiveOf(q *definer.Queue, criticalPaths []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, c := range criticalPaths {
		longest = max(longest, c)
	}
	return time.Duration(float64(longest)*q.Slack) + q.Grace
}

func (p *Planner) addOccurrence(j *job, k int, o *tracker.Occurrence, now Moment) {
	for i := range o.Steps {
		id := definer.StepID{Job: j.id, Occurrence: k, Step: i}
		p.recoverRuns(j, id, &o.Steps[i], now)
		if !j.rec.State.Ended() {
			p.enqueueStep(j, id, o, now)
		}
	}
}

func (p *Planner) recoverRuns(j *job, id definer.StepID, rec *tracker.Step, now Moment) {
	for i := range rec.Tasks {
		for _, x := range rec.Tasks[i].Runs {
			t := p.targets[x.Target]
			if t == nil {
				continue
			}
			p.addRun(j, &j.rec.Def.Steps[id.Step], runKey{id.Task(i), x.Number}, t, runRecovered, now)
		}
	}
}

// enqueueStep makes a step wait for capacity if all of its dependencies are done.
func (p *Planner) enqueueStep(j *job, id definer.StepID, o *tracker.Occurrence, now Moment) {
	rec := &o.Steps[id.Step]
	if rec.TasksLeft == 0 || p.steps[id] != nil {
		return
	}
	def := &j.rec.Def.Steps[id.Step]
	for _, d := range def.DependsOn {
		if o.Steps[d].TasksLeft > 0 {
			return
		}
	}
	s := &step{
		id: id, def: def, rec: rec, job: j, pool: j.rec.Queue.Pool, priority: j.rec.Queue.Priority, waitingSince: now.Monotonic,
	}
	s.latestStart = p.stepDeadline(j, id, now).Add(-j.expected.paths[id.Step])
	if def.Gang {
		s.brokenBefore = rec.LatestBrokenRun()
	}
	for i := range rec.Tasks {
		if !rec.Tasks[i].Done && len(rec.Tasks[i].Runs) == 0 {
			s.addWaiting(i, s.firstWait(i, now))
		}
	}
	p.steps[id] = s
	p.insertStep(s)
	p.dirty = true
}

// firstWait returns since when a task waits that has no run when its step is added. The
// time under earlier leaders counts if the task could start when its job was accepted,
// since the time to its first run is bounded however often the leader changes.
func (s *step) firstWait(index int, now Moment) time.Time {
	if s.def.LongRunning && len(s.def.DependsOn) == 0 && s.id.Occurrence == 0 && s.rec.Tasks[index].LastRun == 0 && s.job.rec.Def.Due(0) == 0 {
		return s.job.acceptedAt
	}
	return now.Monotonic
}

// stepDeadline returns the time by which the step's occurrence should be done.
func (p *Planner) stepDeadline(j *job, id definer.StepID, now Moment) time.Time {
	if due := j.rec.Def.Due(id.Occurrence); due != 0 {
		return now.Monotonic.Add(time.Duration(due-now.Wall)*time.Millisecond + j.expected.objective)
	}
	return j.deadline
}

// startDueOccurrences starts the occurrences of recurring jobs that are due.
func (p *Planner) startDueOccurrences(now Moment) {
	for _, id := range slices.Sorted(maps.Keys(p.recurring)) {
		j := p.jobs[id]
		if j == nil || j.rec.State.Ended() || j.rec.OccurrencesStarted >= j.rec.Def.Occurrences() {
			delete(p.recurring, id)
			continue
		}
		for j.rec.OccurrencesStarted < j.rec.Def.Occurrences() && j.rec.Def.Due(j.rec.OccurrencesStarted) <= now.Wall {
			p.startOccurrence(j, now)
		}
	}
}

func (p *Planner) startOccurrence(j *job, now Moment) {
	k := j.rec.OccurrencesStarted
	p.emit(tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: j.id}}, now)
	p.addOccurrence(j, k, j.rec.Occurrences[k], now)
}

// settleTask updates the step and the job of a run that has ended.
func (p *Planner) settleTask(r *run, how tracker.End, now Moment) {
	j := r.job
	s := p.steps[r.key.task.StepID()]
	if s != nil && s.rec.TasksLeft == 0 {
		j.recordCompletion(s, now)
	}
	if j.rec.State.Ended() {
		p.finishJob(j, now)
		return
	}
	if s == nil {
		return
	}
	s.recordQuickFailure(r, how, now)
	if s.rec.TasksLeft == 0 {
		p.completeStep(s, now)
		return
	}
	task := &s.rec.Tasks[r.key.task.Index]
	if !task.Done && len(task.Runs) == 0 {
		s.addWaiting(r.key.task.Index, r.lastSeen(how, now))
	}
	if task.Done {
		p.stopTask(j, r.key.task, "another copy is done", now)
	}
}

// completeStep removes a step that is done and enqueues the steps that depend on it.
func (p *Planner) completeStep(s *step, now Moment) {
	p.dropStep(s)
	j := s.job
	p.recordLongestRun(s)
	p.reviseObjective(j)
	for i := range s.rec.Tasks {
		p.stopTask(j, s.id.Task(i), "step is done", now)
	}
	o := j.rec.Occurrences[s.id.Occurrence]
	if o == nil {
		return
	}
	for i := range o.Steps {
		p.enqueueStep(j, definer.StepID{Job: j.id, Occurrence: s.id.Occurrence, Step: i}, o, now)
	}
}

// stopTask stops the remaining runs of a task.
func (p *Planner) stopTask(j *job, id definer.TaskID, reason string, now Moment) {
	_, task := p.State.LookupTask(id)
	if task == nil {
		return
	}
	for _, x := range task.Runs {
		if r := j.runs[runKey{id, x.Number}]; r != nil {
			p.stop(r, reason, now)
		}
	}
}

// finishJob stops the remaining runs of an ended job, and removes the job once it
// has none. It is called when the job has ended and at the end of each remaining run.
func (p *Planner) finishJob(j *job, now Moment) {
	if p.jobs[j.id] == nil {
		return
	}
	if len(j.runs) > 0 {
		p.stopJob(j, "job "+j.rec.State.String(), now)
		return
	}
	p.removeJobSteps(j)
	delete(p.jobs, j.id)
	steps := make([]string, len(j.completed))
	waits := make([]time.Duration, len(j.completed))
	for i, x := range j.completed {
		steps[i], waits[i] = j.formatTiming(x), x.waited
	}
	took, objective := time.Duration(j.rec.Ended-j.rec.Accepted)*time.Millisecond, p.objective(j)
	p.round.Jobs = append(p.round.Jobs, JobEnd{j.rec.Queue.Name, j.rec.Workspace, j.rec.State, took, waits, took > objective})
	p.log("job ended", append([]any{"job", j.id.String(), "queue", j.rec.Queue.Name, "state", j.rec.State.String(),
		"took", took.Milliseconds(), "objective", objective.Milliseconds(), "late", took > objective, "steps", steps}, j.exhausted...)...)
}

func (p *Planner) stopJob(j *job, reason string, now Moment) {
	p.removeJobSteps(j)
	for _, r := range sortedRuns(j.runs) {
		p.stop(r, reason, now)
	}
}

func (p *Planner) removeJobSteps(j *job) {
	delete(p.recurring, j.id)
	for id, s := range p.steps {
		if id.Job == j.id {
			p.dropStep(s)
		}
	}
}

// Submission is a job that a caller submits.
type Submission struct {
	Host string
	Path string
	Job  *definer.Job
	Credential
}

// Verdict is the result of a caller's request.
type Verdict uint8

// The verdicts.
const (
	Accepted     Verdict = iota + 1
	NoQueue              // no queue matches the host and path
	Unknown              // no such job
	Busy                 // not accepted; the job will not run unless it is submitted again
	NotReady             // not accepted; there is no leader, or no document is in force
	Invalid              // not accepted; the request is malformed or contradicts itself
	Uncertain            // the outcome is unknown; retry the request
	Withdrawn            // not accepted; the job was cancelled before it arrived and will not run
	Unauthorized         // not accepted; the queue requires a valid key
	Forbidden            // not accepted; the job belongs to another workspace
)

var verdictNames = []string{"", "Accepted", "NoQueue", "Unknown", "Busy", "NotReady", "Invalid", "Uncertain", "Withdrawn", "Unauthorized", "Forbidden"}

// String returns the name of v.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return "Unknown"
}

// Answer is the response to a caller.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration
	Reason     string
}

// Submit decides whether a job is accepted. Reply is called once the decision is
// committed.
func (p *Planner) Submit(s *Submission, reply func(Answer), now Moment) {
	a, fields := p.submit(s, now)
	if a.Verdict != Accepted {
		p.Counters.Refused++
		p.countRejection(a)
		p.log("job refused", append([]any{"job", s.Job.ID.String(), "host", s.Host, "path", s.Path, "verdict", a.Verdict.String(), "reason", a.Reason,
			"retry", a.RetryAfter.Milliseconds()}, fields...)...)
	}
	p.doAfterCommit(Action{Done: func() { reply(a) }})
}

// submit decides on a submission. The fields of the log tell what a rejection rests on.
func (p *Planner) submit(s *Submission, now Moment) (Answer, []any) {
	x, a := p.keyring.enter(p.State, Place{s.Host, s.Path, s.Credential})
	if a.Verdict != Accepted {
		return a, nil
	}
	q := x.queue
	if id, err := definer.ParseJobID(x.rest); err != nil || id != s.Job.ID {
		return Answer{Verdict: Invalid, Reason: "the path does not end in the job's id"}, nil
	}
	if old := p.State.Jobs[s.Job.ID]; old != nil {
		return authorize(p.State.Document, old, x.caller, s.Credential), nil
	}
	if p.State.Withdrawal(s.Job.ID, x.owner()) != 0 {
		return Answer{Verdict: Withdrawn, Reason: "the job was cancelled before it arrived"}, nil
	}
	decision := p.admit(q, x.owner(), s.Job, now)
	if decision.answer.Verdict != Accepted {
		return decision.answer, decision.fields
	}
	p.emit(tracker.Event{JobAccepted: &tracker.JobAccepted{Job: s.Job, Queue: q.Name, Workspace: x.owner()}}, now)
	rec := p.State.Jobs[s.Job.ID]
	j := p.addJob(rec, now)
	j.excess = decision.excess
	p.Counters.Accepted++
	p.log("job accepted", append([]any{"job", j.id.String(), "queue", q.Name, "workspace", rec.Workspace, "steps", len(s.Job.Steps), "objective", p.objective(j).Milliseconds(),
		"priority", q.Priority, "version", int64(p.State.Document.Version), "tasks", describeSteps(s.Job)}, decision.fields...)...)
	for rec.OccurrencesStarted < s.Job.Occurrences() && s.Job.Due(rec.OccurrencesStarted) <= now.Wall {
		p.startOccurrence(j, now)
	}
	return Answer{Verdict: Accepted}, nil
}

// describeSteps returns short descriptions of a job's steps.
func describeSteps(j *definer.Job) []string {
	out := make([]string, len(j.Steps))
	for i := range j.Steps {
		out[i] = j.Steps[i].String()
	}
	return out
}

// CountPending returns the number of jobs of a queue that have not ended and of which no
// task is known to have started: an order to start may be refused, or get lost.
func (p *Planner) CountPending(queue definer.QueueName) int {
	n := 0
	for _, j := range p.jobs {
		if !j.begun && !j.rec.State.Ended() && j.rec.Queue.Name == queue {
			n++
		}
	}
	return n
}

const retryNoDocument = time.Second // documents are resent about every second

// Cancel cancels a job. Reply is called once the cancellation is committed.
func (p *Planner) Cancel(place Place, reply func(Answer), now Moment) {
	a := p.cancel(place, now)
	p.countRejection(a)
	p.doAfterCommit(Action{Done: func() { reply(a) }})
}

func (p *Planner) cancel(place Place, now Moment) Answer {
	id, x, a := p.keyring.enterJob(p.State, place)
	if a.Verdict != Accepted {
		return a
	}
	rec := p.State.Jobs[id]
	if rec == nil {
		p.withdraw(id, x.owner(), now)
		return noSuchJob
	}
	if a := authorize(p.State.Document, rec, x.caller, place.Credential); a.Verdict != Accepted {
		return a
	}
	if rec.State.Ended() {
		return Answer{Verdict: Accepted}
	}
	p.emit(tracker.Event{JobCancelled: &tracker.JobCancelled{Job: rec.ID}}, now)
	p.log("job cancelled", "job", rec.ID.String(), "runs", rec.ActiveRuns)
	if j := p.jobs[rec.ID]; j != nil {
		p.finishJob(j, now)
	}
	return Answer{Verdict: Accepted}
}

var noSuchJob = Answer{Verdict: Unknown, Reason: "no such job"}
