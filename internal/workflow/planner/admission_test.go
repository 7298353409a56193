package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file tests which jobs are accepted and in which order workspaces are served.

// putWeighted puts a document with workspaces into force. The key of each is its name.
func (s *harness) putWeighted(workspaces ...definer.Workspace) {
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second})
	d := *s.p.State.Document
	d.Version++
	d.Workspaces = workspaces
	for i := range d.Workspaces {
		d.Workspaces[i].Keys = []definer.Key{definer.Key(d.Workspaces[i].Name)}
	}
	s.p.Put(&d, func(planner.Answer) {}, s.now)
}

// submitAs submits a job for a workspace.
func (s *harness) submitAs(workspace definer.WorkspaceName, id definer.JobID, steps ...definer.Step) planner.Answer {
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: prefix + id.String(), Credential: planner.Credential{Key: definer.Key(workspace)}, Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	return a
}

// finish lets the ordered runs start, and ends them as done after their run time.
func (s *harness) finish(after time.Duration, starts ...*planner.StartOrder) {
	for _, o := range starts {
		s.acceptStart(o)
	}
	running := func(how tracker.End) (rows []row) {
		for _, o := range starts {
			rows = append(rows, row{target: o.To.Target, task: o.Task, number: o.Number, how: how})
		}
		return rows
	}
	for range int(after / (500 * time.Millisecond)) {
		s.advance(500 * time.Millisecond)
		s.answerPolls(running(0)...)
	}
	s.advance(500 * time.Millisecond)
	s.answerPolls(running(tracker.EndDone)...)
}

// newSharedCell returns a cell of four targets of 16 processors that knows the run times of
// its queue, with two workspaces that are entitled to a job in ten seconds.
func newSharedCell(c *quicktest.C) *harness {
	s := newHarness(c, 4)
	s.putWeighted(definer.Workspace{Name: "a", Weight: 0.1, Limit: registrar.Need{CPU: 60000}}, definer.Workspace{Name: "b", Weight: 0.1})
	s.learnRunTimes(1)
	return s
}

func (s *harness) learnRunTimes(id definer.JobID) {
	s.c.Assert(s.submitAs("b", id, oneTask(cpus(1))).Verdict, quicktest.Equals, planner.Accepted)
	s.finish(time.Second, s.starts()...)
}

// flood submits jobs of four tasks, which fill the cell each, and returns those that were
// accepted and the answers to the others.
func (s *harness) flood(workspace definer.WorkspaceName, first definer.JobID, jobs int) (accepted []definer.JobID, rejections []planner.Answer) {
	for i := range jobs {
		id := first + definer.JobID(i)
		if a := s.submitAs(workspace, id, definer.Step{Count: 4, Need: cpus(15), Estimate: time.Second}); a.Verdict == planner.Accepted {
			accepted = append(accepted, id)
		} else {
			rejections = append(rejections, a)
		}
		s.keepRunning()
		s.advance(50 * time.Millisecond)
	}
	return accepted, rejections
}

// keepRunning accepts the ordered starts and lists them as running.
func (s *harness) keepRunning() {
	for _, o := range s.starts() {
		s.acceptStart(o)
		s.running = append(s.running, row{target: o.To.Target, task: o.Task, number: o.Number})
	}
	s.answerPolls(s.running...)
}

// Load: a workspace floods the pool. Guards against its jobs beyond its weight taking the
// time in which jobs of others would have ended.
func TestJobsBeyondTheWeightAreRejectedWhenTheyWouldBeLate(t *testing.T) {
	c := quicktest.New(t)
	s := newSharedCell(c)
	accepted, rejections := s.flood("a", 100, 20)
	c.Assert(len(accepted) >= 6, quicktest.IsTrue, quicktest.Commentf("%d accepted", len(accepted))) // its allowance
	c.Assert(len(rejections) >= 8, quicktest.IsTrue, quicktest.Commentf("%d rejected", len(rejections)))
	for _, a := range rejections {
		c.Assert(a.Verdict, quicktest.Equals, planner.Busy)
		c.Assert(a.RetryAfter >= time.Second && a.RetryAfter%time.Second == 0, quicktest.IsTrue, quicktest.Commentf("%s", a.RetryAfter))
	}
	c.Assert(rejections[len(rejections)-1].RetryAfter > rejections[0].RetryAfter, quicktest.IsTrue)

	c.Log("A job of another workspace is accepted, and so is a repeat of an accepted one.")
	c.Assert(s.submitAs("b", 200, oneTask(cpus(15))).Verdict, quicktest.Equals, planner.Accepted)
	c.Assert(s.submitAs("a", accepted[5], oneTask(cpus(1))).Verdict, quicktest.Equals, planner.Accepted)

	c.Log("A rejected job has left no trace.")
	c.Assert(s.p.State.Jobs, quicktest.HasLen, len(accepted)+2)
}

// Guards against rejections by an allowance that the earlier leader has used up.
func TestAllowanceIsFullAfterAChangeOfTheLeader(t *testing.T) {
	c := quicktest.New(t)
	s := newSharedCell(c)
	s.flood("a", 100, 20)
	s.records = nil
	s.changeTerm(2)
	s.submitAs("a", 300, oneTask(cpus(1)))
	c.Assert(s.fieldOf("job accepted", "excess"), quicktest.Equals, any(false))
}

// fieldOf returns a field of the newest log record with a message.
func (s *harness) fieldOf(message, name string) any {
	for i := len(s.records) - 1; i >= 0; i-- {
		if s.records[i].Message != message {
			continue
		}
		for k := 0; k+1 < len(s.records[i].Fields); k += 2 {
			if s.records[i].Fields[k] == name {
				return s.records[i].Fields[k+1]
			}
		}
	}
	return nil
}

// Guards against jobs that hold capacity for ever as they can never have it at a time.
func TestJobsBeyondTheLimitOfTheirWorkspaceAreRejected(t *testing.T) {
	c := quicktest.New(t)
	s := newSharedCell(c)
	c.Assert(s.submitAs("a", 100, oneTask(cpus(61))).Verdict, quicktest.Equals, planner.Busy)
	c.Assert(s.submitAs("a", 101, definer.Step{Count: 5, Need: cpus(13), Gang: true}).Verdict, quicktest.Equals, planner.Busy)
	idle := oneTask(cpus(61))
	idle.BestEffortCPU = true
	c.Assert(s.submitAs("a", 102, idle).Verdict, quicktest.Equals, planner.Busy)
	c.Assert(s.submitAs("a", 103, definer.Step{Count: 5, Need: cpus(13)}).Verdict, quicktest.Equals, planner.Accepted)
	c.Assert(s.submitAs("b", 104, oneTask(cpus(61))).Verdict, quicktest.Equals, planner.Accepted)
}

// Guards against predictions that count work which can never start.
func TestJobsThatFitNoTargetDelayNoOthers(t *testing.T) {
	c := quicktest.New(t)
	s := newSharedCell(c)
	for id := range definer.JobID(20) {
		c.Assert(s.submitAs("b", 100+id, definer.Step{Count: 50, Need: cpus(17), Estimate: time.Second}).Verdict, quicktest.Equals, planner.Accepted)
	}
	c.Assert(s.submitAs("b", 200, oneTask(cpus(15))).Verdict, quicktest.Equals, planner.Accepted)
	c.Assert(s.starts(), quicktest.HasLen, 1)
}

// Load: a workspace floods the pool. Guards against steps of others that wait behind it; without
// shares the step that was submitted first starts first.
func TestWorkspacesBelowTheirShareGoFirst(t *testing.T) {
	for _, x := range []struct {
		disabled planner.Mechanism
		first    definer.JobID
	}{{0, 300}, {planner.WithoutShares, 200}} {
		c := quicktest.New(t)
		s := newSharedCell(c)
		s.p.Disabled = x.disabled
		s.flood("a", 100, 1)
		s.submitAs("a", 200, oneTask(cpus(15)))
		s.advance(100 * time.Millisecond)
		s.submitAs("b", 300, oneTask(cpus(15)))
		c.Assert(s.starts(), quicktest.HasLen, 0)
		s.advance(time.Second)
		done := s.running[0]
		done.how = tracker.EndDone
		s.answerPolls(append(s.running[1:], done)...)
		starts := s.starts()
		c.Assert(starts, quicktest.HasLen, 1)
		c.Assert(starts[0].Task.Job, quicktest.Equals, x.first)
	}
}

// Guards against work on a job that is worth nothing any more, while another one of a lower
// priority can still be in time.
func TestHopelessStepsGoLast(t *testing.T) {
	c := quicktest.New(t)
	s := newSharedCell(c)
	d := *s.p.State.Document
	d.Version++
	low := d.Queues[0]
	low.Name, low.Prefix, low.Priority = "low", "/low/", 2
	d.Queues = append(d.Queues, low)
	s.p.Put(&d, func(planner.Answer) {}, s.now)
	s.flood("a", 100, 1)
	s.submitAs("b", 200, oneTask(cpus(15)))
	for range 30 {
		s.advance(500 * time.Millisecond)
		s.answerPolls(s.running...)
	}
	job := &definer.Job{ID: 300, Spec: "spec", Steps: []definer.Step{oneTask(cpus(15))}}
	s.p.Submit(&planner.Submission{Host: host, Path: "/low/" + job.ID.String(), Credential: planner.Credential{Key: "b"}, Job: job}, func(planner.Answer) {}, s.now)
	done := s.running[0]
	done.how = tracker.EndDone
	s.answerPolls(append(s.running[1:], done)...)
	starts := s.starts()
	c.Assert(starts, quicktest.HasLen, 1)
	c.Assert(starts[0].Task.Job, quicktest.Equals, job.ID)
}

// Guards against changes for deployments without workspaces.
func TestWithoutWorkspacesEveryJobIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 4)
	s.learnRunTimes(1)
	accepted, _ := s.flood("", 100, 100)
	c.Assert(accepted, quicktest.HasLen, 100)
}
