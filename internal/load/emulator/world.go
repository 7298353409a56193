package emulator

import (
	"fmt"
	"strconv"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds what targets share: the work of tasks, gangs, and the audit.

// World is shared by all targets of an experiment. Methods of its targets must
// not be called at the same time.
type World struct {
	// Work tells what a run of a task does.
	Work  func(task definer.TaskID, number tracker.RunNumber) Work
	Audit *Audit // nil: nothing is checked
	// FailTogether lets all members of a gang fail with one of them. Otherwise the others
	// end as broken.
	FailTogether bool

	gangs map[gangKey][]*Run
}

type gangKey struct {
	step   definer.StepID
	number tracker.RunNumber
}

func (w *World) started(r *Run, o *planner.StartOrder, now time.Time) {
	if w.Audit != nil {
		w.Audit.started(r, o, now)
	}
	if r.work.Gang == 0 {
		return
	}
	if w.gangs == nil {
		w.gangs = make(map[gangKey][]*Run)
	}
	key := gangKey{r.Key.Task.StepID(), r.Key.Number}
	w.gangs[key] = append(w.gangs[key], r)
	if len(w.gangs[key]) < r.work.Gang {
		return
	}
	for _, x := range w.gangs[key] {
		x.target.Advance(now)
		x.together = true
	}
}

// ended breaks the gang of a run that has ended otherwise than by success, and
// ends it as a whole by success.
func (w *World) ended(r *Run, how tracker.End, now time.Time) {
	if w.Audit != nil {
		w.Audit.ended(r, how, now)
	}
	if r.work.Gang == 0 {
		return
	}
	key := gangKey{r.Key.Task.StepID(), r.Key.Number}
	members := w.gangs[key]
	delete(w.gangs, key)
	if !r.together {
		// Members that have not come stay away by themselves.
		for _, x := range members {
			if x != r {
				w.gangs[key] = append(w.gangs[key], x)
			}
		}
		return
	}
	other := tracker.EndGangBroken
	if how == tracker.EndDone || how == tracker.EndFailed && w.FailTogether {
		other = how
	}
	for _, x := range members {
		if x != r && x.target.runs[x.Key] == x {
			x.target.end(x, other, now)
		}
	}
}

func (w *World) noted(t *Target, f *planner.Finished, now time.Time) {
	if w.Audit != nil {
		w.Audit.noted(t, f, now)
	}
}

func formatCheckpoint(done time.Duration) string { return fmt.Sprintf("%08x", done.Milliseconds()) }

func parseCheckpoint(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0 // checkpoints of other programs are worth nothing here
	}
	return time.Duration(ms) * time.Millisecond
}
