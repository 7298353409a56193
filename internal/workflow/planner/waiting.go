package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tracks the tasks that wait for a run, and reports the tasks of
// long-running steps that have been without one for long. For the log, it counts
// the targets that each condition of a placement excludes.

// waitingTask is a task that is not done and has no run.
type waitingTask struct {
	index int
	since time.Time // when its last run was last known to be alive, or when the task began to wait
}

// addWaiting makes a task wait for capacity.
func (s *step) addWaiting(index int, since time.Time) {
	for _, w := range s.waiting {
		if w.index == index {
			return
		}
	}
	s.waiting = append(s.waiting, waitingTask{index, since})
}

// lastSeen returns when a run that has ended was last known to be alive.
func (r *run) lastSeen(how tracker.End, now Moment) time.Time {
	if how == tracker.EndTargetLost && r.target.lastContact.Before(now.Monotonic) {
		return r.target.lastContact
	}
	return now.Monotonic
}

// oldestWait returns since when the step has had a waiting task, now if it has none.
func (s *step) oldestWait(now Moment) time.Time {
	oldest := now.Monotonic
	for _, w := range s.waiting {
		if w.since.Before(oldest) {
			oldest = w.since
		}
	}
	return oldest
}

const (
	outageLogAfter    = 2 * time.Second // about twice the time in which a lost task is usually placed
	outageLogInterval = 2 * time.Second // for each step
)

// logOutages logs the long-running steps with tasks that have waited for long.
func (p *Planner) logOutages(now Moment) {
	for place, s := range p.stepsByPriority {
		if !s.def.LongRunning || len(s.waiting) == 0 || now.Monotonic.Sub(s.waitLoggedAt) < outageLogInterval {
			continue
		}
		if waited := now.Monotonic.Sub(s.oldestWait(now)); waited >= outageLogAfter {
			s.waitLoggedAt = now.Monotonic
			x := p.surveyTargets(s, now)
			p.log("long-running tasks without a run", "step", s.id.String(), "queue", s.job.rec.Queue.Name, "tasks", len(s.waiting),
				"waited", waited.Milliseconds(), "place", place, "steps", len(p.stepsByPriority), "targets", x.targets, "eligible", x.eligible,
				"closed", x.closed, "avoided", x.avoided, "room", x.room, "roomAdmitted", x.roomAdmitted, "asked", x.asked, "admitted", x.admitted,
				"tickets", x.tickets, "pending", s.pendingRequest != 0)
		}
	}
}

// survey counts the targets of a step's pool by what a placement there requires.
type survey struct {
	targets      int
	eligible     int // for new work of the step, capacity aside
	closed       int // schedulable, but failing the health check
	avoided      int // eligible, but a run of the job has recently failed there
	room         int // eligible, with capacity for one more task, held or not
	roomAdmitted int // the same, and known to be admitted by the licensing service
	asked        int // eligible, and named in an answered ticket request
	admitted     int // eligible, and known to be admitted
	tickets      int // eligible, with a valid ticket
}

func (p *Planner) surveyTargets(s *step, now Moment) survey {
	pl := p.pools[s.pool]
	if pl == nil {
		return survey{}
	}
	x := survey{targets: len(pl.targets)}
	for _, t := range pl.targets {
		if t.schedulable(now) && !t.passesHealthCheck(now) {
			x.closed++
		}
		if !p.isEligible(s, t, now) {
			continue
		}
		x.eligible++
		isAdmitted := s.grants.of(t) == admitted
		count(&x.asked, s.grants.of(t) != unasked)
		count(&x.admitted, isAdmitted)
		count(&x.tickets, s.grants.ticket(t).valid(now))
		if p.avoids(s, pl, t, now) {
			x.avoided++
		} else if s.def.Charge().FitsIn(t.rec.Capacity.Minus(t.used)) && (s.def.MaxPerTarget == 0 || p.runsOf(s, t) < s.def.MaxPerTarget) {
			x.room++
			count(&x.roomAdmitted, isAdmitted)
		}
	}
	return x
}

func count(n *int, condition bool) {
	if condition {
		*n++
	}
}

// longestOutage returns the longest time that a task of a long-running step has
// been without a run, or with a run on a target that does not answer.
func (p *Planner) longestOutage(now Moment) time.Duration {
	longest := time.Duration(0)
	for _, s := range p.steps {
		if s.def.LongRunning && len(s.waiting) > 0 {
			longest = max(longest, now.Monotonic.Sub(s.oldestWait(now)))
		}
	}
	for _, t := range p.targets {
		if t.responsive {
			continue
		}
		for _, r := range t.runs {
			if r.def.LongRunning {
				longest = max(longest, now.Monotonic.Sub(t.lastContact))
			}
		}
	}
	return longest
}

// UntrackedTasks returns the tasks of started steps that are not done and neither
// have a run nor wait for one. There should be none: such a task would never run.
func (p *Planner) UntrackedTasks() []definer.TaskID {
	var out []definer.TaskID
	for _, j := range p.jobs {
		if j.rec.State.Ended() {
			continue
		}
		for k, o := range j.rec.Occurrences {
			for i := range o.Steps {
				out = append(out, p.untrackedOf(j, definer.StepID{Job: j.id, Occurrence: k, Step: i}, o)...)
			}
		}
	}
	return out
}

func (p *Planner) untrackedOf(j *job, id definer.StepID, o *tracker.Occurrence) []definer.TaskID {
	idle := 0
	for i := range o.Steps[id.Step].Tasks {
		if task := &o.Steps[id.Step].Tasks[i]; !task.Done && len(task.Runs) == 0 {
			idle++
		}
	}
	if s := p.steps[id]; len(j.runs) == j.rec.ActiveRuns && (s != nil && idle == len(s.waiting) || s == nil && idle == 0) {
		return nil // all recorded runs are tracked, and all other tasks wait
	}
	for _, d := range j.rec.Def.Steps[id.Step].DependsOn {
		if o.Steps[d].TasksLeft > 0 {
			return nil
		}
	}
	waiting := make(map[int]bool)
	if s := p.steps[id]; s != nil {
		for _, w := range s.waiting {
			waiting[w.index] = true
		}
	}
	var out []definer.TaskID
	for i := range o.Steps[id.Step].Tasks {
		task := &o.Steps[id.Step].Tasks[i]
		if task.Done || waiting[i] {
			continue
		}
		tracked := false
		for _, x := range task.Runs {
			tracked = tracked || j.runs[runKey{id.Task(i), x.Number}] != nil
		}
		if !tracked {
			out = append(out, id.Task(i))
		}
	}
	return out
}
