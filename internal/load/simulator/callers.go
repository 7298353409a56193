package simulator

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file holds callers: kinds of jobs, submissions with repeats, looks at
// the state, cancellations, and how well they are served.

// Kind is a kind of job.
type Kind struct {
	Name        string
	Rate        float64 // jobs a second
	Steps       float64 // mean; at least 1
	Width       float64 // mean tasks of a step
	Run         time.Duration
	CPU, Memory float64 // mean of a task, thousandths of a processor and MiB
	MaxCPU      float64 // of a task; 0: 7000
	Priority    int
	MaxAttempts int
	Slack       float64
	Grace       time.Duration
	Worth       float64
	ErrorShare  float64 // of runs that fail by themselves
	Estimate    float64 // spread of declared against actual run times
	Uneven      float64 // spread of run times within a step
	Saves       float64 // share of steps with checkpoints
	Gang        float64 // share of gangs
	Copies      float64 // share of steps of which copies may run
	Apart       float64 // share of steps with a bound on tasks per target
	Cancel      float64 // share of jobs that are cancelled
	Lasting     bool
	Stays       time.Duration // until a lasting job is cancelled
	Licence     definer.Licence
	Admitted    float64        // share of targets that get a ticket
	Burst       float64        // factor of the rate in the burst
	Poison      float64        // share of jobs that can't be done
	Initial     int            // jobs at the start of the load
	Limit       registrar.Need // of all runs, if Simulation.Workspaces is set; 0: none
}

// KindResult tells how the callers of a kind were served.
type KindResult struct {
	Jobs, InTime, Late, Failed int
	Rejected                   int // callers who gave up
	Credit, Owed               float64
	Waits                      []time.Duration // from submission to completion, against the objective
	LongestGap                 time.Duration   // of a task of a long-running step without a run
	LongestIdle                time.Duration   // the same with room for it, from a restart time after its last run
}

// client is the caller of one job.
type client struct {
	id        definer.JobID
	kind      int
	def       *definer.Job
	sent      time.Time
	objective time.Duration
	accepted  bool
	poison    bool
	cancelled bool
	withdrawn bool // the caller was told that the job which it cancelled does not exist
	over      bool
	tries     int
	workspace *Workspace // nil: none
	// rejections and returnAt tell how often the caller was rejected, and until when it waits.
	rejections int
	returnAt   time.Time
	gaveUp     bool
}

func (c *client) describe() string {
	return fmt.Sprintf("accepted %t, cancelled %t, steps %v", c.accepted, c.cancelled, stepsOf(c.def))
}

func stepsOf(j *definer.Job) []string {
	out := make([]string, len(j.Steps))
	for i := range j.Steps {
		out[i] = j.Steps[i].String()
	}
	return out
}

// draw returns a number in [0, 1) that depends on a seed and a name alone.
func draw(seed uint64, name string) float64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%d %s", seed, name) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (s *Simulation) putDocument() {
	d := &definer.Document{Version: 1, Source: []byte("{}"), Pools: []definer.Pool{{Name: poolName}}}
	for i := range s.Mix {
		k := &s.Mix[i]
		q := definer.Queue{
			Name: definer.QueueName(k.Name), Host: "h", Prefix: "/" + k.Name + "/", Pool: poolName, Priority: k.Priority, MaxAttempts: k.MaxAttempts,
			Slack: k.Slack, Grace: k.Grace, Timeout: 3 * time.Second,
		}
		if s.Licensed {
			q.Licence = k.Licence
		}
		d.Queues = append(d.Queues, q)
		if s.Workspaces {
			d.Workspaces = append(d.Workspaces, definer.Workspace{Name: definer.WorkspaceName(k.Name), Keys: []definer.Key{definer.Key(k.Name)}, Weight: 1, Limit: k.Limit})
		}
	}
	for i := range s.SharedBy {
		d.Workspaces = append(d.Workspaces, s.SharedBy[i].Workspace)
	}
	s.document = d
	var put func()
	put = func() {
		if s.committed.Document != nil {
			return
		}
		s.tell(func(p *planner.Planner, now planner.Moment) { p.Put(d, func(planner.Answer) {}, now) })
		s.in(300*time.Millisecond, put)
	}
	put()
}

func (s *Simulation) beginLoad() {
	for i := range s.Mix {
		for range s.Mix[i].Initial {
			s.submitNew(i)
		}
		s.nextOf(i)
	}
}

// nextOf submits the next job of a kind after a random time.
func (s *Simulation) nextOf(kind int) {
	k := &s.Mix[kind]
	rate := k.Rate
	if since := s.now.Sub(s.begun); k.Burst > 0 && since > burstBegin && since < burstEnd {
		rate *= k.Burst
	}
	if len(s.SharedBy) > 0 || len(s.Surges) > 0 {
		rate = s.rateOf(k)
	}
	s.in(time.Duration(s.demand.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.healed {
			return
		}
		s.submitNew(kind)
		s.nextOf(kind)
	})
}

const (
	burstBegin = 10 * time.Second
	burstEnd   = 14 * time.Second
)

func (s *Simulation) submitNew(kind int) {
	k := &s.Mix[kind]
	s.nextJob++
	c := &client{id: definer.JobID(s.nextJob), kind: kind, sent: s.now, poison: s.demand.Float64() < k.Poison}
	c.workspace = s.drawWorkspace(k)
	c.def = s.newJob(c.id, k)
	s.jobs[c.id] = c
	c.objective = time.Duration(k.Slack*float64(s.chain(c)))*1 + k.Grace
	s.audit.Submitted(c.def, k.MaxAttempts)
	r := &s.Result.Kinds[kind]
	s.count(c, func(r *KindResult) { r.Jobs, r.Owed = r.Jobs+1, r.Owed+k.Worth })
	if s.Faults.Held > 0 && s.demand.Float64() < s.Faults.Held {
		r.Owed -= k.Worth
		s.submitHeld(c)
		return
	}
	s.submit(c)
	switch {
	case k.Lasting:
		s.in(between(s.demand, k.Stays/2, k.Stays*3/2), func() { s.cancel(c) })
	case s.demand.Float64() < k.Cancel:
		s.count(c, func(r *KindResult) { r.Owed -= k.Worth })
		s.in(between(s.demand, 0, 2*k.Run), func() { s.cancel(c) })
	}
}

// spread returns a random factor around 1.
func (s *Simulation) spread(sigma float64) float64 {
	return math.Exp(s.demand.NormFloat64()*sigma - sigma*sigma/2)
}

func (s *Simulation) newJob(id definer.JobID, k *Kind) *definer.Job {
	def := &definer.Job{ID: id, Spec: fmt.Sprintf("job %s", id)}
	steps := 1
	for !k.Lasting && steps < maxSteps && s.demand.Float64() < 1-1/k.Steps {
		steps++
	}
	for i := range steps {
		run := time.Duration(float64(k.Run) * s.spread(0.5))
		st := definer.Step{
			Count: max(1, int(k.Width*s.spread(0.6))), Estimate: time.Duration(float64(run) * s.spread(k.Estimate)),
			Need:        registrar.Need{CPU: registrar.MilliCPU(min(k.CPU*s.spread(0.45), cmp.Or(k.MaxCPU, 7000))), Memory: registrar.MiB(min(k.Memory*s.spread(0.5), 14000))},
			LongRunning: k.Lasting, Checkpointing: s.demand.Float64() < k.Saves, Gang: s.demand.Float64() < k.Gang,
		}
		if st.Gang {
			st.Count = min(st.Count, 6)
		} else {
			st.Speculative = s.demand.Float64() < k.Copies
		}
		if s.demand.Float64() < k.Apart {
			st.MaxPerTarget = 1 + s.demand.Intn(2)
		}
		if i > 0 {
			st.DependsOn = []int{s.demand.Intn(i)}
		}
		st.Image = run.String() // the actual mean, which the planner does not read
		def.Steps = append(def.Steps, st)
	}
	return def
}

const maxSteps = 4

// work tells what a run of a task does.
func (s *Simulation) work(task definer.TaskID, number tracker.RunNumber) emulator.Work {
	c := s.jobs[task.Job]
	k := &s.Mix[c.kind]
	st := &c.def.Steps[task.Step]
	w := emulator.Work{Need: st.Need, Duration: s.duration(c, task), Lasting: st.LongRunning, Saves: st.Checkpointing}
	if st.Gang {
		w.Gang = st.Count
	}
	w.Fails = c.poison || draw(uint64(s.Seed), fmt.Sprintf("%s %d", task, number)) < k.ErrorShare
	return w
}

func (s *Simulation) duration(c *client, task definer.TaskID) time.Duration {
	mean, err := time.ParseDuration(c.def.Steps[task.Step].Image)
	if err != nil {
		panic(err) // newJob wrote it
	}
	u := draw(uint64(s.Seed), task.String())
	factor := math.Exp(s.Mix[c.kind].Uneven * normal(u))
	return time.Duration(float64(mean) * factor)
}

// normal returns about the value that a normal variable is below in a share u
// of cases.
func normal(u float64) float64 {
	return math.Sqrt2 * math.Erfinv(2*min(max(u, 0.001), 0.999)-1)
}

// chain returns the longest chain of work of a job.
func (s *Simulation) chain(c *client) time.Duration {
	ends := make([]time.Duration, len(c.def.Steps))
	longest := time.Duration(0)
	for i := range c.def.Steps {
		st := &c.def.Steps[i]
		begin := time.Duration(0)
		for _, d := range st.DependsOn {
			begin = max(begin, ends[d])
		}
		id := definer.StepID{Job: c.id, Step: i}
		for n := range st.Count {
			ends[i] = max(ends[i], begin+s.duration(c, id.Task(n)))
		}
		longest = max(longest, ends[i])
	}
	return longest
}

const (
	maxTries  = 6
	retryTime = 700 * time.Millisecond
	pollTime  = 100 * time.Millisecond
)

// submit hands a job in, again and again until there is an answer.
func (s *Simulation) submit(c *client) {
	if c.accepted || c.cancelled || c.gaveUp {
		return
	}
	if left := c.returnAt.Sub(s.now); left > 0 {
		s.in(left, func() { s.submit(c) })
		return
	}
	c.tries++
	sub := s.submission(c)
	l := s.leader
	s.in(s.between(minWay, maxWay), func() {
		if l != s.leader {
			return
		}
		s.tell(func(p *planner.Planner, now planner.Moment) {
			p.Submit(sub, func(a planner.Answer) { s.submitted(c, a) }, now)
		})
	})
	s.in(retryTime, func() { s.submit(c) })
}

const (
	maxHeld      = 12 * time.Second // by a daemon, before it passes a submission on
	maxPatience  = 400 * time.Millisecond
	repeatedHeld = 0.3 // share of submissions that arrive a second time
)

// submitHeld hands a job in at a daemon that holds it back. The caller leaves and cancels it
// through another one.
func (s *Simulation) submitHeld(c *client) {
	arrive := func() {
		s.tell(func(p *planner.Planner, now planner.Moment) {
			p.Submit(s.submission(c), func(a planner.Answer) {
				s.trace("held job %s arrives: %s", c.id, a.Verdict)
				if a.Verdict == planner.Accepted && c.withdrawn {
					s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("%s: job %s was accepted after its caller was told that it does not exist", s.now.Sub(s.begun), c.id))
				}
			}, now)
		})
	}
	s.in(s.between(0, maxHeld), arrive)
	if s.rand.Float64() < repeatedHeld {
		s.in(s.between(0, maxHeld), arrive)
	}
	s.in(s.between(0, maxPatience), func() { s.withdraw(c) })
	s.in(maxHeld+maxCommit+time.Second, func() { s.endHeld(c) })
}

// withdraw cancels a job that was held back, again and again until there is an answer.
func (s *Simulation) withdraw(c *client) {
	if c.cancelled {
		return
	}
	s.audit.CancelSent(c.id)
	s.tell(func(p *planner.Planner, now planner.Moment) {
		p.Cancel(planner.Place{Host: "h", Path: s.path(c), Credential: s.credential(c)}, func(a planner.Answer) {
			s.trace("held job %s is cancelled: %s", c.id, a.Verdict)
			c.cancelled = c.cancelled || a.Verdict == planner.Accepted || a.Verdict == planner.Unknown
			c.withdrawn = c.withdrawn || a.Verdict == planner.Unknown
			if c.cancelled {
				s.audit.Cancelled(c.id, s.now)
			}
		}, now)
	})
	s.in(retryTime, func() { s.withdraw(c) })
}

// endHeld waits until none of the runs of a job that was held back is left.
func (s *Simulation) endHeld(c *client) {
	rec := s.committed.Jobs[c.id]
	if c.cancelled && (rec == nil || rec.Def == nil) {
		c.over = true
		return
	}
	s.in(pollTime, func() { s.endHeld(c) })
}

func (s *Simulation) path(c *client) string { return "/" + s.Mix[c.kind].Name + "/" + c.id.String() }

// credential returns that of the caller of a job.
func (s *Simulation) credential(c *client) planner.Credential {
	if c.workspace != nil {
		return planner.Credential{Key: c.workspace.Keys[0]}
	}
	return planner.Credential{Key: definer.Key(s.Mix[c.kind].Name)}
}

func (s *Simulation) submission(c *client) *planner.Submission {
	return &planner.Submission{Host: "h", Path: s.path(c), Job: c.def, Credential: s.credential(c)}
}

func (s *Simulation) submitted(c *client, a planner.Answer) {
	if a.Verdict == planner.Busy && !c.accepted && !c.over {
		s.rejected(c, a)
	}
	if a.Verdict != planner.Accepted || c.accepted {
		return
	}
	c.accepted = true
	s.audit.Accepted(c.id, s.now)
	s.poll(c)
}

// poll asks for a job's state until it has ended.
func (s *Simulation) poll(c *client) {
	if c.over {
		return
	}
	s.in(pollTime, func() { s.poll(c) })
	if s.leader == nil {
		return
	}
	rec, a := new(planner.Keyring).Find(s.committed, planner.Place{Host: "h", Path: s.path(c), Credential: s.credential(c)})
	if rec == nil {
		s.audit.Problems = append(s.audit.Problems, fmt.Sprintf("accepted job %s: %s", c.id, a.Reason))
		return
	}
	switch rec.State {
	case tracker.Completed:
		s.audit.Completed(c.id, s.now)
		s.settle(c, !c.poison)
	case tracker.Failed:
		s.audit.Failed(c.id, s.now)
		s.settle(c, c.poison)
	case tracker.Cancelled:
		c.over = rec.Def == nil // none of its runs is left
	}
}

// settle counts how a job was served.
func (s *Simulation) settle(c *client, right bool) {
	c.over = true
	s.audit.Ended(c.id)
	k := &s.Mix[c.kind]
	took := s.now.Sub(c.sent)
	s.count(c, func(r *KindResult) {
		r.Waits = append(r.Waits, took-c.objective)
		switch {
		case !right || took > 3*c.objective:
			r.Failed++
		case took > c.objective:
			r.Late++
			r.Credit += lateWorth * k.Worth
		default:
			r.InTime++
			r.Credit += k.Worth
		}
	})
}

const lateWorth = 0.2 // of a job that is late, against one in time

// cancel ends a job, again and again until there is an answer.
func (s *Simulation) cancel(c *client) {
	if c.over || !c.accepted {
		if !c.over {
			s.in(retryTime, func() { s.cancel(c) })
		}
		return
	}
	c.cancelled = true
	s.audit.CancelSent(c.id)
	path := s.path(c)
	answered := false
	s.tell(func(p *planner.Planner, now planner.Moment) {
		p.Cancel(planner.Place{Host: "h", Path: path, Credential: s.credential(c)}, func(a planner.Answer) {
			if a.Verdict == planner.Accepted {
				answered = true
				s.audit.Cancelled(c.id, s.now)
			}
		}, now)
	})
	s.in(retryTime, func() {
		if !answered {
			s.cancel(c)
		}
	})
}
