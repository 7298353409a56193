package simulator

import (
	"fmt"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
)

// This file divides callers among workspaces and lets demand and capacity change: one
// workspace floods the cell, a burst of a kind of jobs, targets that are away for a time.
// Callers who are rejected come back when they are told to, a few times.

// Workspace is a part of the callers.
type Workspace struct {
	definer.Workspace
	Part float64 // of the load at its usual rate
}

// Surge multiplies the rate of some jobs for a time.
type Surge struct {
	Workspace definer.WorkspaceName // empty: of all workspaces
	Kind      string                // empty: all kinds
	Factor    float64
	From, To  time.Duration
}

// Shortage takes away a part of the targets for a time.
type Shortage struct {
	Part     float64
	From, To time.Duration
}

// EqualWorkspaces returns a number of workspaces with equal parts of the load. The weight of
// each is its part of the given rate.
func EqualWorkspaces(n int, rate float64) []Workspace {
	out := make([]Workspace, n)
	for i := range out {
		name := fmt.Sprintf("w%d", i+1)
		out[i] = Workspace{definer.Workspace{Name: definer.WorkspaceName(name), Keys: []definer.Key{definer.Key("key of " + name)}, Weight: rate / float64(n)}, 1 / float64(n)}
	}
	return out
}

const (
	maxReturns     = 4               // of a rejected caller
	callerPatience = 6 * time.Second // from the first attempt to the last one
)

// surgeOf returns the factor of the rate of a kind of a workspace.
func (s *Simulation) surgeOf(k *Kind, w definer.WorkspaceName) float64 {
	factor, since := 1.0, s.now.Sub(s.begun)
	for _, x := range s.Surges {
		if (x.Workspace == "" || x.Workspace == w) && (x.Kind == "" || x.Kind == k.Name) && since >= x.From && since < x.To {
			factor *= x.Factor
		}
	}
	return factor
}

// rateOf returns the present rate of a kind.
func (s *Simulation) rateOf(k *Kind) float64 {
	if len(s.SharedBy) == 0 {
		return k.Rate * s.surgeOf(k, "")
	}
	sum := 0.0
	for i := range s.SharedBy {
		sum += s.SharedBy[i].Part * s.surgeOf(k, s.SharedBy[i].Name)
	}
	return k.Rate * sum
}

// drawWorkspace returns the workspace of the next job of a kind, nil if there are none.
func (s *Simulation) drawWorkspace(k *Kind) *Workspace {
	if len(s.SharedBy) == 0 {
		return nil
	}
	left := s.demand.Float64() * s.rateOf(k) / k.Rate
	for i := range s.SharedBy {
		w := &s.SharedBy[i]
		if left -= w.Part * s.surgeOf(k, w.Name); left < 0 {
			return w
		}
	}
	return &s.SharedBy[len(s.SharedBy)-1]
}

// scheduleShortages lets targets be away.
func (s *Simulation) scheduleShortages() {
	for _, x := range s.Shortages {
		n := int(x.Part * float64(len(s.targets)))
		s.in(x.From, func() { s.setAway(n, true) })
		s.in(x.To, func() { s.setAway(n, false) })
	}
}

func (s *Simulation) setAway(n int, away bool) {
	s.faultAt = s.now
	for _, h := range s.targets[:n] {
		h.cut = away
	}
}

// rejected lets a caller come back at the time that it was told, or give up.
func (s *Simulation) rejected(c *client, a planner.Answer) {
	if a.RetryAfter < time.Second {
		s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("%s: job %s was rejected without a time to come back", s.now.Sub(s.begun), c.id))
	}
	c.rejections++
	c.returnAt = s.now.Add(a.RetryAfter)
	if c.rejections <= maxReturns && c.returnAt.Sub(c.sent) <= callerPatience {
		return
	}
	c.over, c.gaveUp = true, true
	s.count(c, func(r *KindResult) { r.Rejected++ })
}

// count counts the outcome of a job.
func (s *Simulation) count(c *client, add func(*KindResult)) {
	add(&s.Result.Kinds[c.kind])
	if c.workspace == nil {
		return
	}
	if s.Result.Workspaces == nil {
		s.Result.Workspaces = make(map[definer.WorkspaceName][]KindResult)
	}
	name := c.workspace.Name
	if s.Result.Workspaces[name] == nil {
		s.Result.Workspaces[name] = make([]KindResult, len(s.Mix))
	}
	add(&s.Result.Workspaces[name][c.kind])
}
