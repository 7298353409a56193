package imitator

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/target"
)

// This file records what really ran on the stand-ins of one experiment, and
// finds what must never happen: a task in two places, a target over its
// capacity. Example: Violations returns "task 7 ran on t-1 and t-2 at once".

// History is shared by the targets of an experiment.
type History struct {
	mu         sync.Mutex
	starts     map[registrar.TaskID][]Attempt
	inProgress map[registrar.TaskID]registrar.TargetName
	used       map[registrar.TargetName]registrar.Need
	tasks      map[registrar.TargetName]int
	violations []string
	peak       map[registrar.TargetName]registrar.Need
}

// Attempt is one start on a stand-in.
type Attempt struct {
	Attempt registrar.Attempt
	Target  registrar.TargetName
	Caller  registrar.CallerName
	Body    string
	Began   time.Time
	State   target.State
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		starts:     make(map[registrar.TaskID][]Attempt),
		inProgress: make(map[registrar.TaskID]registrar.TargetName),
		used:       make(map[registrar.TargetName]registrar.Need),
		tasks:      make(map[registrar.TargetName]int),
		peak:       make(map[registrar.TargetName]registrar.Need),
	}
}

func (h *History) began(t *Target, s *target.Start, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if other, ok := h.inProgress[s.Task]; ok && other != t.Name {
		h.violations = append(h.violations, fmt.Sprintf("task %d ran on %s and %s at once", s.Task, other, t.Name))
	}
	h.inProgress[s.Task] = t.Name
	h.starts[s.Task] = append(h.starts[s.Task], Attempt{s.Attempt, t.Name, s.Caller, string(s.Body), at, target.StateRunning})
	h.used[t.Name] = h.used[t.Name].Plus(s.Need)
	h.tasks[t.Name]++
	h.peak[t.Name] = h.peak[t.Name].Max(h.used[t.Name])
	if !h.used[t.Name].FitsIn(t.Capacity) || h.tasks[t.Name] > t.Slots {
		h.violations = append(h.violations, fmt.Sprintf("target %s is over capacity: %s in %d tasks of %s in %d slots", t.Name, h.used[t.Name], h.tasks[t.Name], t.Capacity, t.Slots))
	}
}

func (h *History) ended(t *Target, s *target.Start, state target.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inProgress[s.Task] == t.Name {
		delete(h.inProgress, s.Task)
	}
	h.used[t.Name] = h.used[t.Name].Minus(s.Need)
	h.tasks[t.Name]--
	for i := range h.starts[s.Task] {
		a := &h.starts[s.Task][i]
		if a.Attempt == s.Attempt && a.Target == t.Name {
			a.State = state
		}
	}
}

func (h *History) twice(id registrar.TaskID, a, b registrar.TargetName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("task %d ran twice at once on %s and %s", id, a, b))
}

// Violations returns what must never have happened.
func (h *History) Violations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// Starts returns the starts of a task in order.
func (h *History) Starts(id registrar.TaskID) []Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.starts[id])
}

// Begins returns when each task of a caller was first started.
func (h *History) Begins(caller registrar.CallerName) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []time.Time
	for _, list := range h.starts {
		if list[0].Caller == caller {
			out = append(out, list[0].Began)
		}
	}
	return out
}

// Total returns the number of tasks that were started and of all starts.
func (h *History) Total() (tasks, starts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.starts {
		starts += len(list)
	}
	return len(h.starts), starts
}

// ByBody returns how often each request body was started, for requests that
// carry a body of their own.
func (h *History) ByBody() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]int)
	for _, list := range h.starts {
		for _, a := range list {
			out[a.Body]++
		}
	}
	return out
}

// Trace lists every start of the requests with the given body.
func (h *History) Trace(body string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	for id, list := range h.starts {
		for _, a := range list {
			if a.Body == body {
				lines = append(lines, fmt.Sprintf("task %d attempt %d on %s at %s: %s", id, a.Attempt, a.Target, a.Began.Format("15:04:05.000"), a.State))
			}
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

// Peak returns the most that the tasks on a target used at one time.
func (h *History) Peak(name registrar.TargetName) registrar.Need {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak[name]
}

// Using returns what the tasks on all targets use now.
func (h *History) Using() (registrar.Need, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var sum registrar.Need
	n := 0
	for name, use := range h.used {
		sum = sum.Plus(use)
		n += h.tasks[name]
	}
	return sum, n
}
