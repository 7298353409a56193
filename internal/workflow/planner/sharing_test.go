package planner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file tests tasks that fill beside tasks that serve, and how many tasks of
// a step are taken away at once.

func (s *stage) paces() []*planner.PaceOrder {
	var out []*planner.PaceOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.Pace != nil }) {
		out = append(out, a.Pace)
	}
	return out
}

// stopped returns the tasks that were ordered to stop. Orders are repeated until
// the end is listed.
func (s *stage) stopped() []definer.TaskID {
	var out []definer.TaskID
	for _, o := range s.stops() {
		if !slices.Contains(out, o.Task) {
			out = append(out, o.Task)
		}
	}
	return out
}

// sharedTarget returns a stage where a task that serves and one that fills run
// on one target, with their rows of a list.
func sharedTarget(c *quicktest.C, targets int) (s *stage, serves, fills row) {
	s = newStage(c, targets)
	serving := definer.Step{Count: 1, Need: cpus(4), Lasting: true, Image: "web", TailTarget: 100 * time.Millisecond}
	filling := definer.Step{Count: 1, Need: cpus(8), Fills: true, Image: "batch", Estimate: time.Minute}
	for id, step := range map[definer.JobID]definer.Step{1: serving, 2: filling} {
		starts := s.submit(id, step)
		c.Assert(starts, quicktest.HasLen, 1)
		s.obey(starts[0])
		x := row{target: starts[0].To.Target, task: starts[0].Task, number: 1, percent: 100}
		if step.Fills {
			x.percent = 10
			fills = x
		} else {
			serves = x
		}
	}
	c.Assert(fills.target, quicktest.Equals, serves.target)
	return s, serves, fills
}

func TestWhatFillsIsThrottledBeforeATailIsTooLong(t *testing.T) {
	c := quicktest.New(t)
	s, serves, fills := sharedTarget(c, 1)
	report := func(tail int, d time.Duration) {
		for ; d > 0; d -= 500 * time.Millisecond {
			serves.gauge = tail
			s.answerLooks(serves, fills)
			s.pass(500 * time.Millisecond)
		}
	}
	report(40, 2*time.Second)
	c.Assert(s.paces(), quicktest.HasLen, 0)
	report(90, time.Second)
	orders := s.paces()
	c.Assert(orders, quicktest.Not(quicktest.HasLen), 0)
	c.Assert(orders[0].Percent, quicktest.Equals, 50)
	report(130, 500*time.Millisecond)
	orders = s.paces()
	c.Assert(orders[len(orders)-1].Percent, quicktest.Equals, 0, quicktest.Commentf("over its bound by far"))
	report(30, 2500*time.Millisecond)
	orders = s.paces()
	c.Assert(orders, quicktest.HasLen, 1)
	c.Assert(orders[0].Percent, quicktest.Equals, 20, quicktest.Commentf("the level above was bad just now"))
	report(30, 12*time.Second)
	orders = s.paces()
	c.Assert(orders[len(orders)-1].Percent, quicktest.Equals, 100)
}

func TestWhatIsHaltedForLongMoves(t *testing.T) {
	c := quicktest.New(t)
	s, serves, fills := sharedTarget(c, 1)
	s.announce(s.record(2))
	s.pass(50 * time.Millisecond)
	serves.gauge = 130
	for range 8 {
		s.answerLooks(serves, fills)
		s.pass(500 * time.Millisecond)
	}
	c.Assert(s.stopped(), quicktest.DeepEquals, []definer.TaskID{fills.task})
	s.answerLooks(serves, row{target: fills.target, task: fills.task, number: 1, how: tracker.EndStopped})
	s.pass(50 * time.Millisecond)
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 1)
	c.Assert(starts[0].To.Target, quicktest.Not(quicktest.Equals), serves.target)
}

// A leader that begins does not know what the one before it has throttled.
func TestNewLeaderSetsThePaceOfWhatItFinds(t *testing.T) {
	c := quicktest.New(t)
	s, serves, fills := sharedTarget(c, 1)
	serves.gauge = 40
	s.answerLooks(serves, fills)
	s.lead(2)
	s.answerLooks(serves, fills)
	orders := s.paces()
	c.Assert(orders, quicktest.HasLen, 1)
	c.Assert(orders[0].Percent, quicktest.Equals, 100)
}

// lastingStep runs 3 tasks of a step of which one may be away.
func lastingStep(c *quicktest.C) (*stage, []row) {
	s := newStage(c, 3)
	var rows []row
	for _, o := range s.submit(1, definer.Step{Count: 3, Need: cpus(10), Lasting: true, MaxUnavailable: 1}) {
		s.obey(o)
		rows = append(rows, row{target: o.To.Target, task: o.Task, number: 1, percent: 100})
	}
	c.Assert(rows, quicktest.HasLen, 3)
	s.answerLooks(rows...)
	return s, rows
}

func (s *stage) setVM(n int) {
	rec := s.record(n)
	rec.VM = tracker.VMID("m" + string(rec.ID))
	s.announce(rec)
}

func (s *stage) vmOrders() []*planner.VMOrder {
	var out []*planner.VMOrder
	for _, a := range s.take(func(a planner.Action) bool { return a.VM != nil }) {
		out = append(out, a.VM)
	}
	return out
}

func TestUpkeepTakesNoMoreTasksAwayThanDeclared(t *testing.T) {
	c := quicktest.New(t)
	s, rows := lastingStep(c)
	for n := 1; n <= 3; n++ {
		s.setVM(n)
	}
	s.p.PutWave(&tracker.WavePut{ID: 1, VMs: []tracker.VMID{"mt1", "mt2", "mt3"}, Duration: 20 * time.Second, MaxDown: 3}, func(planner.Answer) {}, s.now)
	for range 20 {
		s.pass(100 * time.Millisecond)
		s.answerLooks(rows...)
	}
	c.Assert(s.stopped(), quicktest.HasLen, 1, quicktest.Commentf("one of three may be away"))
	c.Assert(s.vmOrders(), quicktest.HasLen, 0)
}

func TestTasksThatAreAwayForAnotherReasonCount(t *testing.T) {
	c := quicktest.New(t)
	s, rows := lastingStep(c)
	for n := 1; n <= 3; n++ {
		s.setVM(n)
	}
	rows[0].percent = 0 // it comes up after a failure
	s.answerLooks(rows...)
	vm := tracker.VMID("m" + string(rows[1].target))
	s.p.PutWave(&tracker.WavePut{ID: 1, VMs: []tracker.VMID{vm}, Duration: 20 * time.Second, MaxDown: 1}, func(planner.Answer) {}, s.now)
	for range 20 {
		s.pass(100 * time.Millisecond)
		s.answerLooks(rows...)
	}
	c.Assert(s.stops(), quicktest.HasLen, 0)
	rows[0].percent = 100
	for range 10 {
		s.answerLooks(rows...)
		s.pass(100 * time.Millisecond)
	}
	c.Assert(s.stops(), quicktest.Not(quicktest.HasLen), 0)
}

// wave returns a stage with a wave of three idle VMs of which one may be down,
// and the first order.
func wave(c *quicktest.C) (*stage, *planner.VMOrder) {
	s := newStage(c, 3)
	for n := 1; n <= 3; n++ {
		s.setVM(n)
	}
	s.p.PutWave(&tracker.WavePut{ID: 5, VMs: []tracker.VMID{"mt1", "mt2", "mt3"}, Duration: 20 * time.Second, MaxDown: 1}, func(planner.Answer) {}, s.now)
	s.pass(200 * time.Millisecond)
	s.answerLooks()
	orders := s.vmOrders()
	c.Assert(orders, quicktest.HasLen, 1)
	return s, orders[0]
}

func (s *stage) vmAnswer(o *planner.VMOrder, answered bool, refusal planner.VMRefusal) {
	s.p.VMOrdered(&planner.VMReport{Order: *o, Answered: answered, Refusal: refusal}, s.now)
	s.plan()
}

func TestVMCountsAsDownUntilItIsBack(t *testing.T) {
	c := quicktest.New(t)
	s, first := wave(c)
	s.vmAnswer(first, true, planner.VMNotRefused)
	for range 20 {
		s.pass(100 * time.Millisecond)
		s.answerLooks()
	}
	c.Assert(s.vmOrders(), quicktest.HasLen, 0)
	rec := s.record(int(first.VM[2] - '0'))
	old := rec
	old.VM = first.VM
	s.announce(old) // a late announcement of the target that was there
	s.pass(500 * time.Millisecond)
	c.Assert(s.vmOrders(), quicktest.HasLen, 0)
	rec.ID, rec.Life, rec.VM = "new", 9, first.VM
	s.announce(rec)
	s.pass(500 * time.Millisecond)
	s.answerLooks()
	c.Assert(s.vmOrders(), quicktest.HasLen, 1)
}

func TestOrderAboutAVMWithoutAnswerIsRepeatedAndCounts(t *testing.T) {
	c := quicktest.New(t)
	s, first := wave(c)
	s.vmAnswer(first, false, planner.VMNotRefused)
	s.pass(500 * time.Millisecond)
	again := s.vmOrders()
	c.Assert(again, quicktest.HasLen, 1)
	c.Assert(again[0].VM, quicktest.Equals, first.VM)
	s.lead(2) // a new leader goes on with it, by its own token
	s.pass(500 * time.Millisecond)
	s.answerLooks()
	again = s.vmOrders()
	c.Assert(again, quicktest.HasLen, 1)
	c.Assert(again[0].VM, quicktest.Equals, first.VM)
	c.Assert(again[0].Token, quicktest.Equals, planner.Token(2))
}

func TestWaveIsCompletedWhenEveryVMHasBegun(t *testing.T) {
	c := quicktest.New(t)
	s, o := wave(c)
	state := s.p.State.Waves[5]
	s.vmAnswer(o, true, planner.VMNotRefused)
	c.Assert(state.Completed(), quicktest.IsFalse)
	for n := 0; n < 2; n++ {
		rec := s.record(int(o.VM[2] - '0'))
		rec.ID, rec.Life, rec.VM = tracker.TargetID("new"+string(rec.ID)), 9, o.VM
		s.announce(rec)
		s.pass(500 * time.Millisecond)
		s.answerLooks()
		orders := s.vmOrders()
		c.Assert(orders, quicktest.HasLen, 1)
		o = orders[0]
		refusal := planner.VMNotRefused
		if n == 1 {
			refusal = planner.VMRefusedUnknown // it is gone for good
		}
		s.vmAnswer(o, true, refusal)
	}
	c.Assert(s.p.State.Waves[5].Completed(), quicktest.IsTrue)
}

func TestBusyVMIsTriedAgain(t *testing.T) {
	c := quicktest.New(t)
	s, o := wave(c)
	s.vmAnswer(o, true, planner.VMRefusedBusy)
	c.Assert(s.p.State.Waves[5].Left[o.VM], quicktest.IsTrue)
	seen := make(map[tracker.VMID]bool)
	for range 40 {
		s.pass(100 * time.Millisecond)
		s.answerLooks()
		for _, x := range s.vmOrders() {
			seen[x.VM] = true
			s.vmAnswer(x, true, planner.VMRefusedBusy)
		}
	}
	c.Assert(seen[o.VM], quicktest.IsTrue)
}
