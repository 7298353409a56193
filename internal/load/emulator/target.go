// Package emulator is a model of the targets that the planner orders: leases by
// their own clocks, tokens, runs with progress and checkpoints, ends that are
// listed until they are acknowledged, gangs across targets. It has no I/O and
// takes the present time as an argument, so that it serves simulations as well
// as stand-ins that speak a protocol. An Audit notes what must never happen.
package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file is read first: it holds one target. Example: Start takes a run in,
// Advance lets time pass, Look lists what runs and what has ended.

// Work tells what a run of a task does.
type Work struct {
	Need     registrar.Need
	Duration time.Duration // on a sound target
	Fails    bool          // it fails when half of the work is done
	Lasting  bool
	Saves    bool // it makes checkpoints
	Gang     int  // members; 0: none
	Fills    bool
}

// Faults are ways to fail, each switched on by a value that is not zero.
type Faults struct {
	Slow    float64 // run times are multiplied by it; 0 counts as 1
	FailAll bool    // every run fails at once
	Hang    bool    // nothing makes progress
	Unwell  bool    // starts are refused
}

// Limits are time bounds of targets.
type Limits struct {
	MaxLease  time.Duration
	StopTime  time.Duration // from an order to stop to the end
	GangTime  time.Duration // a member waits this long for the others
	SaveEvery time.Duration // work between two checkpoints
	Restore   time.Duration // of a run that begins at a checkpoint
	Listed    int           // ends in one answer; 0: 500
}

// Target is one target. The exported fields are set before Begin.
type Target struct {
	Record tracker.Target
	Guards bool                // it refuses what does not fit
	Rate   float64             // of its clock against true time
	Origin planner.ClockMillis // what its clock shows at the begin of a life
	Limits Limits
	World  *World
	// DrainAcked is when it was told that its leaving is known; zero: it stays.
	DrainAcked time.Time
	// Late is set while it carries out a call that was held up on its way.
	Late bool

	begun    time.Time
	down     bool
	faults   Faults
	token    planner.Token
	deadline planner.ClockMillis
	runs     map[Key]*Run
	barred   map[definer.TaskID]tracker.RunNumber // numbers up to it are refused
	ends     []planner.Finished
	sequence int64
	used     registrar.Need
	at       time.Time
	lapses   []time.Time // when the lease was over
}

// Key identifies a run.
type Key struct {
	Task   definer.TaskID
	Number tracker.RunNumber
}

// Run is a run on a target.
type Run struct {
	Key      Key
	work     Work
	target   *Target
	came     time.Time
	done     time.Duration // work done
	saved    time.Duration // work in the newest checkpoint
	restore  time.Duration // left
	stopAt   time.Time     // zero: not being stopped
	pace     int           // percent
	together bool          // all members of its gang are there
}

// Begin starts a life of the target.
func (t *Target) Begin(life tracker.Incarnation, now time.Time) {
	t.Record.Incarnation = life
	t.begun, t.at = now, now
	t.down = false
	t.token, t.deadline, t.sequence = 0, 0, 0
	t.used = registrar.Need{}
	t.runs = make(map[Key]*Run)
	t.barred = make(map[definer.TaskID]tracker.RunNumber)
	t.ends = nil
	t.faults = Faults{}
}

// Crash ends the present life.
func (t *Target) Crash(now time.Time) {
	t.Advance(now)
	for _, r := range t.sorted() {
		t.World.ended(r, tracker.EndTargetLost, now)
	}
	t.runs = make(map[Key]*Run)
	t.used = registrar.Need{}
	t.ends = nil
	t.down = true
}

// Down reports whether the target has no life at present.
func (t *Target) Down() bool { return t.down }

// RunsOf returns how many runs of a job the target has.
func (t *Target) RunsOf(id definer.JobID) int {
	n := 0
	for key := range t.runs {
		if key.Task.Job == id {
			n++
		}
	}
	return n
}

// Free returns the capacity that no run takes.
func (t *Target) Free() registrar.Need { return t.Record.Capacity.Minus(t.used) }

// Sound reports whether the target is up and has no faults.
func (t *Target) Sound() bool { return !t.down && t.faults == (Faults{}) }

// StepRuns returns how many runs of a step the target has.
func (t *Target) StepRuns(id definer.StepID) int {
	n := 0
	for key := range t.runs {
		if key.Task.StepID() == id {
			n++
		}
	}
	return n
}

// SetFaults changes the target's faults.
func (t *Target) SetFaults(f Faults, now time.Time) {
	t.Advance(now)
	t.faults = f
}

// Clock returns the target's own time.
func (t *Target) Clock(now time.Time) planner.ClockMillis {
	return t.Origin + planner.ClockMillis(float64(now.Sub(t.begun).Milliseconds())*t.Rate)
}

// after returns the true time at which the target's clock shows a time.
func (t *Target) after(c planner.ClockMillis) time.Time {
	return t.begun.Add(time.Duration(math.Ceil(float64(c-t.Origin)/t.Rate)) * time.Millisecond)
}

// heed checks the sender of an order and extends the lease.
func (t *Target) heed(to *planner.Destination, deadline planner.ClockMillis, now time.Time) planner.Refusal {
	t.Advance(now)
	if to.Target != t.Record.ID {
		return planner.RefusedIncarnation
	}
	if to.Token < t.token {
		return planner.RefusedToken
	}
	t.token = to.Token
	if end := t.after(t.deadline); t.deadline > 0 && !end.After(now) {
		t.lapses = append(t.lapses, end)
	}
	longest := t.Clock(now) + planner.ClockMillis(t.Limits.MaxLease.Milliseconds())
	t.deadline = max(t.deadline, min(deadline, longest))
	return planner.NotRefused
}

// lapsedBetween reports whether the lease was over at some time in between.
func (t *Target) lapsedBetween(from, to time.Time) bool {
	for _, at := range t.lapses {
		if !at.Before(from) && !at.After(to) {
			return true
		}
	}
	return false
}

// Start carries out an order to start a run.
func (t *Target) Start(o *planner.StartOrder, now time.Time) (planner.Refusal, planner.ClockMillis) {
	refusal := t.heed(&o.To, o.Deadline, now)
	key := Key{o.Task, o.Number}
	switch {
	case refusal != planner.NotRefused:
	case t.runs[key] != nil:
	case t.faults.Unwell:
		refusal = planner.RefusedUnhealthy
	case o.Number <= t.barred[o.Task]:
		refusal = planner.RefusedOld
	case o.Deadline <= t.Clock(now):
		refusal = planner.RefusedLate
	default:
		refusal = t.take(key, o, now)
	}
	return refusal, t.Clock(now)
}

func (t *Target) take(key Key, o *planner.StartOrder, now time.Time) planner.Refusal {
	work := t.World.Work(key.Task, key.Number)
	need := work.Need
	if work.Fills {
		need.CPU = 0
	}
	if t.Guards && !t.used.Plus(need).FitsIn(t.Record.Capacity) {
		return planner.RefusedCapacity
	}
	r := &Run{Key: key, work: work, target: t, came: now, pace: fullPace}
	if o.Checkpoint != "" {
		r.done = parseCheckpoint(o.Checkpoint)
		r.saved = r.done
		r.restore = t.Limits.Restore
	}
	t.runs[key] = r
	t.used = t.used.Plus(need)
	t.World.started(r, o, now)
	t.Advance(now)
	return planner.NotRefused
}

const fullPace = 100 // percent

// Stop carries out an order to stop a run.
func (t *Target) Stop(o *planner.StopOrder, now time.Time) (planner.Refusal, planner.ClockMillis) {
	if refusal := t.heed(&o.To, 0, now); refusal != planner.NotRefused {
		return refusal, t.Clock(now)
	}
	t.barred[o.Task] = max(t.barred[o.Task], o.Number)
	if r := t.runs[Key{o.Task, o.Number}]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(t.Limits.StopTime)
	}
	return planner.NotRefused, t.Clock(now)
}

// Pace throttles a run.
func (t *Target) Pace(o *planner.PaceOrder, now time.Time) (planner.Refusal, planner.ClockMillis) {
	if refusal := t.heed(&o.To, 0, now); refusal != planner.NotRefused {
		return refusal, t.Clock(now)
	}
	if r := t.runs[Key{o.Task, o.Number}]; r != nil {
		r.pace = o.Percent
	}
	return planner.NotRefused, t.Clock(now)
}

// Hold carries out the part of a look that changes the target: it extends the
// lease and forgets ends. List tells the rest, when something has ended or the
// wait is over.
func (t *Target) Hold(o *planner.PollOrder, now time.Time) planner.Refusal {
	if refusal := t.heed(&o.To, o.Deadline, now); refusal != planner.NotRefused {
		return refusal
	}
	n := 0
	for n < len(t.ends) && t.ends[n].Sequence <= o.Cursor {
		t.World.noted(t, &t.ends[n], now)
		n++
	}
	t.ends = slices.Clone(t.ends[n:])
	return planner.NotRefused
}

// HasEnds reports whether there are ends that were not acknowledged.
func (t *Target) HasEnds() bool { return len(t.ends) > 0 }

const maxListed = 500 // ends in one answer, if Limits do not tell

// List fills in what runs and what has ended.
func (t *Target) List(r *planner.PollReport, now time.Time) {
	t.Advance(now)
	r.Answering, r.Clock = t.Record.Incarnation, t.Clock(now)
	for _, x := range t.sorted() {
		r.Running = append(r.Running, planner.Running{
			Task: x.Key.Task, Number: x.Key.Number, Checkpoint: x.checkpoint(), Percent: x.percent(),
		})
	}
	n := min(len(t.ends), cmp.Or(t.Limits.Listed, maxListed))
	r.Finished = slices.Clone(t.ends[:n])
	r.Partial = n == cmp.Or(t.Limits.Listed, maxListed)
}

func (t *Target) sorted() []*Run {
	out := make([]*Run, 0, len(t.runs))
	for _, r := range t.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int { return compareKeys(a.Key, b.Key) })
	return out
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}

// Advance lets time pass up to now: work is done, runs end, the lease lapses.
func (t *Target) Advance(now time.Time) {
	if t.down || !now.After(t.at) {
		t.settle(now)
		return
	}
	end := now
	lapse := t.after(t.deadline)
	if len(t.runs) > 0 && lapse.Before(end) {
		end = lapse
	}
	for _, r := range t.sorted() {
		r.progress(end.Sub(t.at), t.speed())
	}
	t.at = now
	t.settle(end)
	if len(t.runs) > 0 && !lapse.After(now) {
		for _, r := range t.sorted() {
			t.end(r, tracker.EndLeaseExpired, lapse)
		}
	}
}

func (t *Target) speed() float64 {
	if t.faults.Hang {
		return 0
	}
	if t.faults.Slow > 0 {
		return 1 / t.faults.Slow
	}
	return 1
}

// settle ends the runs that are due.
func (t *Target) settle(now time.Time) {
	for _, r := range t.sorted() {
		if t.runs[r.Key] != r {
			continue // it ended with another member of its gang
		}
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			r.save(true)
			t.end(r, tracker.EndStopped, r.stopAt)
		case t.faults.FailAll, r.work.Fails && r.done >= r.work.Duration/2:
			t.end(r, tracker.EndFailed, now)
		case r.work.Gang > 0 && !r.together && now.Sub(r.came) >= t.Limits.GangTime:
			t.end(r, tracker.EndGangIncomplete, now)
		case !r.work.Lasting && r.done >= r.work.Duration:
			t.end(r, tracker.EndDone, now)
		}
	}
}

func (t *Target) end(r *Run, how tracker.End, now time.Time) {
	delete(t.runs, r.Key)
	need := r.work.Need
	if r.work.Fills {
		need.CPU = 0
	}
	t.used = t.used.Minus(need)
	t.barred[r.Key.Task] = max(t.barred[r.Key.Task], r.Key.Number)
	t.sequence++
	t.ends = append(t.ends, planner.Finished{Sequence: t.sequence, Task: r.Key.Task, Number: r.Key.Number, How: how, Checkpoint: r.checkpoint()})
	t.World.ended(r, how, now)
}

func (r *Run) progress(d time.Duration, speed float64) {
	if r.work.Gang > 0 && !r.together {
		return
	}
	if r.restore > 0 {
		used := min(r.restore, d)
		r.restore -= used
		d -= used
	}
	r.done += time.Duration(float64(d) * speed * float64(r.pace) / fullPace)
	r.save(false)
}

// save makes a checkpoint if one is due.
func (r *Run) save(always bool) {
	if !r.work.Saves {
		return
	}
	every := r.target.Limits.SaveEvery
	if always {
		r.saved = r.done
	} else if every > 0 {
		r.saved = max(r.saved, r.done/every*every)
	}
}

func (r *Run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return formatCheckpoint(r.saved)
}

func (r *Run) percent() int {
	if r.work.Lasting {
		if r.done >= r.work.Duration {
			return fullPace
		}
		return 0
	}
	if r.work.Duration <= 0 {
		return fullPace
	}
	return int(min(r.done*fullPace/r.work.Duration, fullPace))
}

// Next returns when something changes on the target by itself; ok is false when
// nothing does.
func (t *Target) Next(now time.Time) (at time.Time, ok bool) {
	take := func(x time.Time) {
		if !ok || x.Before(at) {
			at, ok = x, true
		}
	}
	if t.down || len(t.runs) == 0 {
		return at, false
	}
	take(t.after(t.deadline))
	speed := t.speed()
	for _, r := range t.runs {
		if !r.stopAt.IsZero() {
			take(r.stopAt)
		}
		if r.work.Gang > 0 && !r.together {
			take(r.came.Add(t.Limits.GangTime))
			continue
		}
		left := r.work.Duration - r.done
		if r.work.Fails {
			left = r.work.Duration/2 - r.done
		}
		if pace := speed * float64(r.pace) / fullPace; pace > 0 && (!r.work.Lasting || r.work.Fails) {
			take(now.Add(r.restore + time.Duration(float64(max(left, 0))/pace) + time.Millisecond))
		}
	}
	return at, ok
}
