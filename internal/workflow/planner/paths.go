package planner

import (
	"time"

	"masticroad/internal/workflow/definer"
)

// This file estimates how long the steps of a job take, and from that its objective and the
// latest starts of its steps. An objective is a multiple of the time that the work of a job
// really takes, and declared run times are off by a factor of up to four. With declared times
// alone, a job whose tasks take longer counts as late although it is not, and waits behind
// all others. The longest run of a completed step replaces its declared time, and the usual
// ratio of both in the queue corrects those of the other steps. It applies while a document
// declares workspaces.

// expectation is what is expected of a job.
type expectation struct {
	paths     []time.Duration // longest time from the start of each step to the end of the job
	objective time.Duration   // in which the job should be done
}

// stepOverhead is the time of a step besides its runs: tickets, commits, orders, and the
// report of its end.
const stepOverhead = 150 * time.Millisecond

// expectationOf returns what is expected of a job whose steps take the given times.
func expectationOf(q *definer.Queue, def *definer.Job, times []time.Duration) expectation {
	x := expectation{objective: objectiveOf(q, longestPaths(def, times))}
	for i := range times {
		times[i] += stepOverhead
	}
	x.paths = longestPaths(def, times)
	return x
}

// expect returns what is expected of a job of which the longest runs of some steps are known.
func (p *Planner) expect(j *job) expectation {
	if !p.divides() || p.without(WithoutRevision) {
		return expectation{j.criticalPaths, objectiveOf(&j.rec.Queue, j.criticalPaths)}
	}
	bias := p.stepBiases[j.rec.Queue.Name]
	times := make([]time.Duration, len(j.rec.Def.Steps))
	for i := range times {
		times[i] = bias.adjust(j.rec.Def.Steps[i].Estimate)
		if i < len(j.longestRuns) && j.longestRuns[i] > 0 {
			times[i] = j.longestRuns[i]
		}
	}
	return expectationOf(&j.rec.Queue, j.rec.Def, times)
}

// expectNew returns what is expected of a new job.
func (p *Planner) expectNew(q *definer.Queue, def *definer.Job) expectation {
	times := make([]time.Duration, len(def.Steps))
	for i := range times {
		times[i] = p.stepBiases[q.Name].adjust(def.Steps[i].Estimate)
	}
	return expectationOf(q, def, times)
}

// reviseObjective brings the objective of a job up to date with what is expected of it.
func (p *Planner) reviseObjective(j *job) {
	if j.rec.Def == nil {
		return
	}
	j.expected = p.expect(j)
	j.deadline = j.acceptedAt.Add(j.expected.objective)
}

// recordLongestRun records the longest run time of a step that is done.
func (p *Planner) recordLongestRun(s *step) {
	longest := time.Duration(0)
	for _, x := range s.elapsed {
		longest = max(longest, x)
	}
	if longest == 0 || s.def.LongRunning {
		return
	}
	j := s.job
	if j.longestRuns == nil {
		j.longestRuns = make([]time.Duration, len(j.rec.Def.Steps))
	}
	j.longestRuns[s.id.Step] = max(j.longestRuns[s.id.Step], longest)
	b := p.stepBiases[j.rec.Queue.Name]
	if b == nil {
		b = &estimateBias{}
		p.stepBiases[j.rec.Queue.Name] = b
	}
	b.observe(s.def.Estimate, longest)
}
