package simulator

import (
	"fmt"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file samples the state at regular intervals for tasks that have no run
// although a target has room for them.

const sampleTime = 100 * time.Millisecond

func (s *Simulation) sample() {
	s.in(sampleTime, s.sample)
	if s.leader == nil || s.weak > 0 {
		s.roughAt = s.now
	}
	for _, h := range s.targets {
		h.target.Advance(s.now)
	}
	s.checkTracking()
	s.audit.CheckLongRunning(s.now, s.calmSpan(), s.room)
	if s.healed && s.now.Sub(s.loadEnd) > finishTime {
		s.audit.CheckProgress(s.now, s.usedShare(), s.room)
	}
}

// checkTracking checks that the leader has a run for each task that can start, or
// lets the task wait.
func (s *Simulation) checkTracking() {
	if s.leader == nil {
		return
	}
	for _, id := range s.leader.planner.UntrackedTasks() {
		s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("%s: %s neither has a run nor waits for one", s.now.Sub(s.begun), id))
	}
}

// calmSpan returns for how long no fault has gone on or was near.
func (s *Simulation) calmSpan() time.Duration {
	last := s.begun
	for _, at := range []time.Time{s.faultAt, s.roughAt} {
		if at.After(last) {
			last = at
		}
	}
	return s.now.Sub(last)
}

// usedShare returns the share of the processors of all targets that runs take.
func (s *Simulation) usedShare() float64 {
	free, total := 0.0, 0.0
	for _, h := range s.targets {
		if !h.target.Down() {
			free += float64(h.target.Free().CPU)
			total += float64(h.target.Record.Capacity.CPU)
		}
	}
	return 1 - free/max(total, 1)
}

// room returns a target that could take a task of a step and has room for a number
// of them. A gang's room may be on several targets.
func (s *Simulation) room(id definer.StepID, step *definer.Step, tasks int) tracker.TargetID {
	if !s.audit.LimitAllows(id.Job, step.Need.Times(tasks)) {
		return ""
	}
	sum := 0
	for _, h := range s.targets {
		if !s.couldTake(h, id, step) {
			continue
		}
		n := 0
		for n < tasks && step.Charge().Times(n+1).FitsIn(h.target.Free()) {
			n++
		}
		if n == tasks {
			return h.target.Record.ID
		}
		if step.MaxPerTarget > 0 {
			n = min(n, step.MaxPerTarget-h.target.StepRuns(id))
		}
		if sum += n; step.Gang && sum >= tasks {
			return h.target.Record.ID
		}
	}
	return ""
}

// couldTake reports whether a step may run on a host's target, capacity aside.
func (s *Simulation) couldTake(h *host, id definer.StepID, step *definer.Step) bool {
	t := h.target
	if h.gone || h.cut || h.draining || !t.Sound() || step.Label != "" && !t.Record.HasLabel(step.Label) {
		return false
	}
	if step.MaxPerTarget > 0 && t.StepRuns(id) >= step.MaxPerTarget {
		return false
	}
	return !s.Licensed || s.admits(id, t.Record.ID)
}
