package planner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"masticroad/internal/workflow/tracker"
)

// This file detects which images slow each other down on a target, and prefers targets
// where a task would not interfere. Run times and tail latencies are the evidence; what
// is explained otherwise is left out. docs/design/interference.md has the reasons.

// Interference tells what is done about interference between images.
type Interference uint8

// The values of the setting.
const (
	IgnoreInterference  Interference = iota // nothing is learned
	ObserveInterference                     // findings are reported
	AvoidInterference                       // findings are reported, and influence placement
)

var interferenceNames = []string{"off", "observe", "avoid"}

// String returns the value as it is written in settings.
func (i Interference) String() string {
	if int(i) < len(interferenceNames) {
		return interferenceNames[i]
	}
	return "unknown"
}

// ParseInterference returns the value of a setting; the empty text is off.
func ParseInterference(text string) (Interference, error) {
	if i := slices.Index(interferenceNames, text); i >= 0 {
		return Interference(i), nil
	}
	if text == "" {
		return IgnoreInterference, nil
	}
	return IgnoreInterference, fmt.Errorf("%q is none of %q", text, interferenceNames)
}

const (
	minMeasured        = 100 * time.Millisecond // shorter run times are mostly the time of calls
	minPredictPercent  = 25                     // progress from which the run time of a stopped run is predicted
	tailInterval       = 2 * time.Second        // of serving runs, over which a tail latency is averaged
	tailWeight         = 0.5                    // of such an average; those of one run resemble each other
	maxTargetRuns      = 200                    // over which the speed of a target is averaged
	speedPrior         = 10                     // runs of usual speed that are assumed of each target; noise against spread of speeds
	maxSpeedLog        = 0.223                  // logarithm of 1.25, the usual range of speeds; more is no property of the target
	maxNeighbourCost   = 0.3                    // in a score; smaller than the penalty of a single failed run, 1/3
	halfNeighbourCost  = 0.4                    // sum of effects that costs half of it, such as one run of a pair with a ratio of 1.5
	ampleRoom          = 0.4                    // share of a pool that must be free for findings to influence placement
	shortageMemory     = 2 * time.Second        // after a task found no room, they don't
	roundedRatioDigits = 100
)

// targetSpeed is the mean of the logarithms by which runs on a target take longer than
// their images and neighbours explain.
type targetSpeed struct{ sum, runs float64 }

func (s *targetSpeed) observe(residual float64) {
	if s.runs >= maxTargetRuns {
		s.sum -= s.sum / s.runs
		s.runs--
	}
	s.sum += residual
	s.runs++
}

// log returns the part that is attributed to the target.
func (s *targetSpeed) log() float64 {
	return max(-maxSpeedLog, min(maxSpeedLog, s.sum/(s.runs+speedPrior)))
}

// isMeasurable reports whether how long a run takes tells anything about interference.
// Members of gangs wait for each other, and best-effort runs for idle processors.
func (r *run) isMeasurable() bool {
	if r.def.Gang || r.def.BestEffortCPU {
		return false
	}
	if r.def.LongRunning {
		return r.def.TailLatencyLimit > 0
	}
	return r.def.TailLatencyLimit == 0 && r.def.Estimate > 0
}

// isExplained reports whether a run takes longer or shorter for a reason that is known.
func (p *Planner) isExplained(r *run, now Moment) bool {
	switch s := p.steps[r.key.task.StepID()]; {
	case r.resumed, !r.unansweredAt.IsZero(): // a part of the work, or an unknown start
	case r.def.Rack != "" && r.def.Rack != r.target.rec.Rack:
	case r.target.health.slow(now.Monotonic):
	case r.def.RackLocal && (s == nil || s.spread):
	default:
		return false
	}
	return true
}

// noteRack records whether the tasks of a step were spread over racks.
func (s *step) noteRack(rack string) {
	s.spread = s.spread || s.firstRack != "" && s.firstRack != rack
	s.firstRack = rack
}

// measureEnd observes the run time of a run that is done.
func (p *Planner) measureEnd(r *run, how tracker.End, now Moment) {
	if how != tracker.EndDone || r.def.LongRunning || r.beside.since.IsZero() || r.startedAt.IsZero() {
		return
	}
	p.measure(r, now.Monotonic.Sub(r.startedAt), now)
}

// measureStopped observes a run that is to be stopped, by its progress.
func (p *Planner) measureStopped(r *run, now Moment) {
	if r.def.LongRunning || r.beside.since.IsZero() || r.percent < minPredictPercent || r.observedTime() < minElapsed ||
		r.sampledAt.Sub(r.progressedAt) >= stallTime {
		return
	}
	p.measure(r, r.predictedTime(), now)
	r.beside = beside{}
}

func (p *Planner) measure(r *run, took time.Duration, now Moment) {
	if took < minMeasured || p.isExplained(r, now) {
		return
	}
	speed := &r.target.speed
	y := math.Log(float64(took) / float64(r.def.Estimate))
	p.exposed = r.exposures(p.exposed[:0], now)
	residual, known := p.images.residual(r.image, p.exposed, y)
	p.images.observe(r.image, p.exposed, y-speed.log(), 1, r.target.slot, now.Monotonic)
	if known {
		speed.observe(residual)
	}
}

// measureTail observes the tail latency of a serving run, averaged over tailInterval.
func (p *Planner) measureTail(r *run, now Moment) {
	if r.beside.since.IsZero() || !r.def.LongRunning || p.images == nil {
		return
	}
	if r.percent < fullPace || r.sample <= 0 {
		r.markNeighbours(now)
		r.tailSum, r.tails = 0, 0
		return
	}
	r.tailSum += math.Log(float64(time.Duration(r.sample)*time.Millisecond) / float64(r.def.TailLatencyLimit))
	r.tails++
	if now.Monotonic.Sub(r.beside.since) < tailInterval {
		return
	}
	if !r.target.health.slow(now.Monotonic) {
		p.exposed = r.exposures(p.exposed[:0], now)
		p.images.observe(r.image, p.exposed, r.tailSum/float64(r.tails), tailWeight, r.target.slot, now.Monotonic)
	}
	r.markNeighbours(now)
	r.tailSum, r.tails = 0, 0
}

// evaluateInterference evaluates the images that are due, and makes and drops findings.
func (p *Planner) evaluateInterference(now Moment) {
	m := p.images
	if m == nil {
		return
	}
	changed := false
	for looked, evaluated := 0, 0; looked < len(m.list) && evaluated < maxEvaluations; looked++ {
		m.next = imageID((int(m.next) + 1) % len(m.list))
		x := m.list[m.next].model
		if x == nil || now.Monotonic.Sub(x.evaluatedAt) < evaluationPause {
			continue
		}
		evaluated++
		x.evaluate(&m.fit, now.Monotonic)
		for i := range x.neighbours {
			found := x.neighbours[i].found
			if x.judge(i) {
				p.logFinding(m, m.next, i)
			}
			changed = changed || found || x.neighbours[i].found
		}
	}
	if changed {
		m.updateCosts()
	}
}

func (p *Planner) logFinding(m *images, id imageID, i int) {
	x, n := m.list[id].model, &m.list[id].model.neighbours[i]
	text := "interference is over"
	if n.found {
		text = "interference found"
	}
	p.log(text, "image", m.list[id].key.image, "beside", m.list[n.image].key.image, "serving", m.list[id].key.serving, "ratio", rounded(math.Exp(n.effect)),
		"error", rounded(n.deviation), "runs", int(x.sums.matrix[0][0]), "together", int(x.sums.matrix[i+1][0]), "targets", n.targetCount())
}

func rounded(x float64) float64 { return math.Round(x*roundedRatioDigits) / roundedRatioDigits }

// neighbourCosts returns what placing a task of a step beside runs of each image costs,
// or nil if nothing is known or the pool is short of room.
func (p *Planner) neighbourCosts(s *step, pl *pool, now Moment) []float32 {
	if p.images == nil || p.images.pairs == 0 || !p.hasAmpleRoom(pl, now) {
		return nil
	}
	return p.images.costs[p.images.lookup(s.def)]
}

// hasAmpleRoom reports whether a pool has so much room that it does not matter for others
// which of several targets a task takes.
func (p *Planner) hasAmpleRoom(pl *pool, now Moment) bool {
	return p.poolScan(pl, now).isAmple() && (pl.shortAt.IsZero() || now.Monotonic.Sub(pl.shortAt) >= shortageMemory)
}

// noteShortage records that a step's waiting tasks have found no room in their pool. Those
// that wait for a rack, a ticket or a certain target don't count while others have room.
func (p *Planner) noteShortage(s *step, pl *pool, now Moment) {
	if p.images == nil || s.rack != "" {
		return
	}
	constrained := !s.isUnconstrained() || s.job.rec.Queue.Licence.Required
	if constrained && len(p.poolScan(pl, now).withRoom(s.def.Charge())) > 0 {
		return
	}
	pl.shortAt = now.Monotonic
}

// neighbourCost returns what is added to the score of a target, given what its images
// cost. It is less than maxNeighbourCost, and the more the more runs interfere.
func (t *target) neighbourCost(costs []float32) float64 {
	sum := float32(0)
	for i := range t.neighbours.list {
		sum += float32(t.neighbours.list[i].placed) * costs[t.neighbours.list[i].image]
	}
	return maxNeighbourCost * float64(sum) / (float64(sum) + halfNeighbourCost)
}

// choice keeps the best target by the usual score and the best one by the score with the
// costs of neighbours.
type choice struct {
	costs         []float32 // nil: they are the same
	usual, spaced bestTarget
}

func (c *choice) consider(t *target, score float64) {
	c.usual.consider(t, score)
	if c.costs != nil {
		c.spaced.consider(t, score+t.neighbourCost(c.costs))
	}
}

// settle returns the target that is chosen for a step.
func (p *Planner) settle(s *step, c *choice) *target {
	s.spaced = c.costs != nil && c.spaced.target != c.usual.target
	if s.spaced && p.Settings.Interference == AvoidInterference {
		return c.spaced.target
	}
	return c.usual.target
}
