package planner

import (
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file stops gangs that can't become complete. The members that have started wait
// for the others for GangTime, and use their capacity in vain. A member whose target
// does not answer may be held by its lease for longer than that. At the end it chooses what
// is written of failed members before FormatGangRuns.

// gangMargin is added to StopTime, for the commit and the transmission of the orders.
const gangMargin = 300 * time.Millisecond

// gangStart is what is known of the start of a gang.
type gangStart struct {
	firstAt time.Time // when the first of its members was confirmed to have started; zero: none was
	missing *run      // a member that is not known to have started, the first one by task
}

// checkGangs stops gangs of which a member has not started shortly before the others
// give up waiting for it.
func (p *Planner) checkGangs(now Moment) {
	patience := p.Settings.GangTime - p.Settings.StopTime - gangMargin
	for _, s := range p.stepsByPriority {
		if !s.def.Gang {
			continue
		}
		for _, g := range s.gangStarts() {
			if g.missing != nil && !g.firstAt.IsZero() && now.Monotonic.Sub(g.firstAt) >= patience {
				p.stopGang(g.missing, "its gang is incomplete", now)
			}
		}
	}
}

// gangStarts returns the starts of the gangs of a step by run number.
func (s *step) gangStarts() map[tracker.RunNumber]gangStart {
	out := make(map[tracker.RunNumber]gangStart)
	for _, r := range sortedRuns(s.job.runs) {
		if r.key.task.StepID() != s.id || r.stopping {
			continue
		}
		g := out[r.key.number]
		switch {
		case r.state != runStarted && g.missing == nil:
			g.missing = r
		case r.state == runStarted && (g.firstAt.IsZero() || r.startedAt.Before(g.firstAt)):
			g.firstAt = r.startedAt
		}
		out[r.key.number] = g
	}
	return out
}

// stopGang stops the members of the gang of a run.
func (p *Planner) stopGang(r *run, reason string, now Moment) {
	for _, x := range sortedRuns(r.job.runs) {
		if x.key.task.StepID() == r.key.task.StepID() && x.key.number == r.key.number {
			p.stop(x, reason, now)
		}
	}
}

// recordedEnd returns the end of a run that is written. Before FormatGangRuns each failed
// member of a gang is counted, so that those that must not count are written as broken.
func (p *Planner) recordedEnd(r *run, how tracker.End) tracker.End {
	if how != tracker.EndFailed || !r.def.Gang || p.State.Format >= tracker.FormatGangRuns || p.without(WithoutGangRuns) {
		return how
	}
	gang, number := r.key.task.StepID(), r.key.number
	s := p.steps[gang]
	if s == nil || s.rec.TasksLeft == 0 {
		return tracker.EndGangBroken
	}
	counted := slices.Contains(r.job.attempts[gang.Task(tracker.WholeGang)], number) || s.rec.Failures >= int(number)
	// Whether an earlier leader counted a run that it saw broken isn't recorded. One that
	// counts for nothing costs a run, and one that counts twice costs the job.
	if counted || s.rec.Failures > 0 && number <= s.brokenBefore {
		return tracker.EndGangBroken
	}
	return how
}
