package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/dispatcher"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file proves the bound of a target's lease at a change of leaders on virtual time:
// replicas, planners and the dispatcher are the real ones, and messages, disks and the next
// leader take no time at all. docs/design/leases.md has the sum.

// cutCell is a cell of three replicas of which the leader is cut off from the others,
// together with a target.
type cutCell struct {
	c        *quicktest.C
	now      time.Time
	cores    []*replicator.Core
	lead     *replicator.Core
	cut      bool
	planner  *planner.Planner // of the leader
	stuck    bool             // a round waits for its commit, which can't come
	dispatch *dispatcher.Dispatcher
	reports  chan any
	waiting  []waitingReport
	waits    time.Duration // of answers in the leader
	target   slowTarget
}

type waitingReport struct {
	due    time.Time
	report any
}

// slowTarget is a target whose clock runs 2 % slow. It answers polls at once, and orders to
// start only job 7.
type slowTarget struct {
	dispatcher.Platform
	cell     *cutCell
	deadline planner.ClockMillis
	running  []planner.Running
}

const (
	clockShare = 0.98
	killTime   = 90 * time.Millisecond // from the end of its lease until a target has killed what it runs
)

var begin = time.Unix(1000, 0)

func targetClock(now time.Time) planner.ClockMillis {
	return planner.ClockMillis(1 + time.Duration(float64(now.Sub(begin))*clockShare).Milliseconds())
}

func (t *slowTarget) extend(deadline planner.ClockMillis) { t.deadline = max(t.deadline, deadline) }

func (t *slowTarget) Start(_ context.Context, o *planner.StartOrder, call *dispatcher.Call) (dispatcher.Answer, error) {
	if err := call.Guard(); err != nil {
		return dispatcher.Answer{}, err
	}
	t.extend(o.Deadline)
	if o.Task.Job != 7 {
		return dispatcher.Answer{}, errors.New("no answer")
	}
	t.running = []planner.Running{{Task: o.Task, Number: o.Number, Percent: 1}}
	return dispatcher.Answer{Clock: targetClock(t.cell.now)}, nil
}

func (t *slowTarget) Poll(_ context.Context, o *planner.PollOrder, call *dispatcher.Call, r *planner.PollReport) error {
	if err := call.Guard(); err != nil {
		return err
	}
	t.extend(o.Deadline)
	r.Answering, r.Clock, r.Running = o.To.Incarnation, targetClock(t.cell.now), t.running
	return nil
}

func newCutCell(c *quicktest.C, waits time.Duration) *cutCell {
	s := &cutCell{c: c, now: begin, reports: make(chan any, 64), waits: waits}
	s.target.cell = s
	voters := []replicator.ReplicaID{"a.1", "b.1", "c.1"}
	for i, id := range voters {
		core := &replicator.Core{Group: 1, ID: id, Durable: true, Timing: replicator.DefaultTiming, Rand: rand.New(rand.NewSource(int64(i)))}
		core.Start(replicator.StoredState{Snapshot: replicator.Snapshot{Voters: voters}}, s.now)
		s.cores = append(s.cores, core)
	}
	for s.lead == nil {
		s.stepReplicas()
		s.now = s.now.Add(time.Millisecond)
		s.lead = s.leaderOf(s.cores)
	}
	s.dispatch = &dispatcher.Dispatcher{
		Platform: &s.target, Log: hclog.NewNullLogger(), Now: func() time.Time { return s.now }, Report: func(r any) { s.reports <- r },
		Leads: func(term registrar.Term) bool {
			st := s.lead.Status()
			return st.Term == term && s.now.Before(st.LeaseUntil)
		},
	}
	s.dispatch.Open(c.Context())
	s.planner = newPlanner(tracker.New())
	s.planner.Begin(s.lead.Status().Term, s.moment())
	s.planner.RaiseFormat(tracker.CurrentFormat, s.moment())
	queue := definer.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p", MaxAttempts: 2, Slack: 2, Grace: time.Second, Timeout: 3 * time.Second}
	s.planner.Put(&definer.Document{Version: 1, Queues: []definer.Queue{queue}, Pools: []definer.Pool{{Name: "p"}}}, func(planner.Answer) {}, s.moment())
	s.planner.Announce(&planner.Announcement{Sequence: 1, Clock: 1, Target: tracker.Target{
		ID: "t1", Incarnation: 1, Address: "10.0.0.1:80", Zone: "a", Pool: "p", Capacity: registrar.Need{CPU: 16000, Memory: 32768},
	}}, func() {}, s.moment())
	return s
}

func newPlanner(state *tracker.State) *planner.Planner {
	return &planner.Planner{State: state, Settings: planner.Settings{Bounds: planner.Bounds{
		MaxLease: 10 * time.Second, StopTime: 400 * time.Millisecond, GangTime: 3 * time.Second, CheckpointInterval: 2 * time.Second, RemoteFactor: 3, Retention: time.Minute,
	}}}
}

func (s *cutCell) moment() planner.Moment {
	return planner.Moment{Monotonic: s.now, Wall: registrar.MillisOf(s.now)}
}

func (s *cutCell) submit(id definer.JobID) {
	job := &definer.Job{ID: id, Spec: "spec", Steps: []definer.Step{{Count: 1, Need: registrar.Need{CPU: 1000, Memory: 1024}, Estimate: time.Minute}}}
	s.planner.Submit(&planner.Submission{Host: "h", Path: "/q/" + id.String(), Job: job}, func(planner.Answer) {}, s.moment())
}

func (s *cutCell) leaderOf(cores []*replicator.Core) *replicator.Core {
	for _, core := range cores {
		if core.Status().Role == replicator.Leader && core != s.lead {
			return core
		}
	}
	return nil
}

// stepReplicas lets the replicas exchange messages until there are none.
func (s *cutCell) stepReplicas() {
	for _, core := range s.cores {
		if s.cut && core != s.lead {
			core.ReportConnectionRefused(replicator.NameOf(s.lead.ID), s.now, s.now)
		}
		if !s.now.Before(core.Due()) {
			core.Tick(s.now)
		}
	}
	for again := true; again; {
		again = false
		for _, from := range s.cores {
			r := from.Ready()
			from.Advance()
			for _, m := range append(r.Immediate, r.AfterSave...) {
				again = true
				for _, to := range s.cores {
					if to != from && (!s.cut || (from == s.lead) == (to == s.lead)) {
						to.Step(m, s.now)
					}
				}
			}
		}
	}
}

// stepLeader lets the leader handle the reports that are due and plan, and sends what it
// decides. Without a majority nothing is sent that follows an event.
func (s *cutCell) stepLeader() {
	for len(s.waiting) > 0 && !s.now.Before(s.waiting[0].due) {
		switch r := s.waiting[0].report.(type) {
		case *planner.PollReport:
			s.planner.PollReported(r, s.moment())
		case *planner.OrderReport:
			s.planner.OrderReported(r, s.moment())
		}
		s.waiting = s.waiting[1:]
	}
	s.planner.Plan(s.moment())
	round := s.planner.Take()
	s.stuck = s.stuck || s.cut && len(round.Events) > 0
	if s.stuck {
		return
	}
	for _, a := range append(round.Immediate, round.AfterCommit...) {
		if a.Done != nil {
			a.Done()
			continue
		}
		s.dispatch.Do(a)
		s.waiting = append(s.waiting, waitingReport{s.now.Add(s.waits), <-s.reports})
	}
}

// run steps the cell every millisecond while the condition holds.
func (s *cutCell) run(while func() bool) {
	for while() {
		s.stepReplicas()
		if s.lead.Status().Role == replicator.Leader {
			s.stepLeader()
		}
		s.now = s.now.Add(time.Millisecond)
	}
}

func (s *cutCell) runFor(d time.Duration) {
	end := s.now.Add(d)
	s.run(func() bool { return s.now.Before(end) })
}

// The leader and a target are cut off from the other replicas, which elect another leader as
// soon as they may. Each term of the bound is at its worst: the target's clock is slow, its
// last answers have waited in the leader, one order to start is not answered and repeated,
// the cut begins at any time of a heartbeat interval, the first leader acts until it gives
// up, and messages, votes and the beginning of the next leader take no time. Guards against
// a next leader that starts tasks elsewhere while the target still works on them.
func TestLeaseOfACutOffTargetEndsBeforeTheNextLeaderCountsItOut(t *testing.T) {
	for _, waits := range []time.Duration{0, 30 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond} {
		for phase := time.Duration(0); phase < 100*time.Millisecond; phase += 7 * time.Millisecond {
			t.Run(fmt.Sprintf("answers wait %s, cut at %s", waits, phase), func(t *testing.T) {
				c := quicktest.New(t)
				s := newCutCell(c, waits)
				s.runFor(10*time.Second + phase)
				s.submit(7)
				s.runFor(4 * time.Second)
				c.Assert(s.target.running, quicktest.HasLen, 1)
				s.submit(8)
				s.runFor(200 * time.Millisecond)
				s.cut = true
				cutAt := s.now
				s.run(func() bool { return s.leaderOf(s.cores) == nil })
				next := newPlanner(s.planner.State.Clone())
				begun := s.moment()
				next.Begin(s.leaderOf(s.cores).Status().Term, begun)
				next.Plan(begun)
				first := next.Take().AfterCommit
				c.Assert(begun.Monotonic.Sub(cutAt) < time.Second, quicktest.IsTrue, quicktest.Commentf("the next leader began after %s", begun.Monotonic.Sub(cutAt)))
				s.runFor(2 * time.Second)
				lapse := s.now
				for targetClock(lapse) < s.target.deadline {
					lapse = lapse.Add(time.Millisecond)
				}
				s.now = lapse.Add(killTime)
				for _, a := range first {
					if a.Poll != nil {
						r := &planner.PollReport{Target: "t1", Incarnation: 1, Token: a.Poll.To.Token, Sent: s.now, Received: s.now}
						next.PollReported(r, s.moment())
					}
				}
				next.Plan(s.moment())
				for _, ev := range next.Take().Events {
					c.Assert(ev.RunEnded, quicktest.IsNil, quicktest.Commentf("given up %s after the next leader began, while the target still works", s.now.Sub(begun.Monotonic)))
				}
			})
		}
	}
}
