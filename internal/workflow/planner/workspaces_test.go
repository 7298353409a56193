package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file tests the keys and the limits of workspaces.

// putWorkspaces puts a document that declares workspaces into force. The queue with the prefix /open/ is
// anonymous.
func (s *harness) putWorkspaces(ws ...definer.Workspace) {
	d := *s.p.State.Document
	open := d.Queues[0]
	open.Name, open.Prefix, open.Anonymous = "open", "/open/", true
	d.Version, d.Queues, d.Workspaces = d.Version+1, []definer.Queue{d.Queues[0], open}, append([]definer.Workspace{}, ws...)
	s.p.Put(&d, func(planner.Answer) {}, s.now)
	s.plan()
	s.c.Assert(s.p.State.Document.Version, quicktest.Equals, d.Version)
}

func shop(name definer.WorkspaceName, limit registrar.Need) definer.Workspace {
	return definer.Workspace{Name: name, Keys: []definer.Key{definer.Key(name + "-1"), definer.Key(name + "-2")}, Weight: 1, Limit: limit}
}

// newShop returns a leader with a number of targets and one workspace, whose limit is a number of processors.
func newShop(c *quicktest.C, targets, limit int) *harness {
	s := newHarness(c, targets)
	s.putWorkspaces(shop("shop", registrar.Need{CPU: cpus(limit).CPU}))
	return s
}

func place(path string, id definer.JobID, key definer.Key) planner.Place {
	return planner.Place{Host: host, Path: path + id.String(), Credential: planner.Credential{Key: key}}
}

// post submits a job with a key.
func (s *harness) post(path string, id definer.JobID, key definer.Key, steps ...definer.Step) planner.Verdict {
	if len(steps) == 0 {
		steps = []definer.Step{oneTask(cpus(1))}
	}
	var a planner.Answer
	s.p.Submit(&planner.Submission{Host: host, Path: path + id.String(), Job: &definer.Job{ID: id, Spec: "spec", Steps: steps}, Credential: planner.Credential{Key: key}},
		func(x planner.Answer) { a = x }, s.now)
	s.plan()
	return a.Verdict
}

// call submits, queries and cancels a job with a key.
func (s *harness) call(path string, id definer.JobID, key definer.Key) (verdicts [3]planner.Verdict) {
	verdicts[0] = s.post(path, id, key)
	_, a := new(planner.Keyring).Find(s.p.State, place(path, id, key))
	verdicts[1] = a.Verdict
	s.p.Cancel(place(path, id, key), func(x planner.Answer) { verdicts[2] = x.Verdict }, s.now)
	s.plan()
	return verdicts
}

func all(v planner.Verdict) [3]planner.Verdict { return [3]planner.Verdict{v, v, v} }

// begin submits a job of the workspace and returns the orders to start.
func (s *harness) begin(id definer.JobID, steps ...definer.Step) []*planner.StartOrder {
	s.c.Assert(s.post(prefix, id, "shop-1", steps...), quicktest.Equals, planner.Accepted)
	return s.starts()
}

// usage returns the processors that a workspace is charged with, in thousandths.
func (s *harness) usage(name definer.WorkspaceName) registrar.MilliCPU {
	for _, w := range s.p.Load(s.now).Workspaces {
		if w.Name == name {
			return w.Usage.CPU
		}
	}
	return 0
}

func tasks(n, processors int) definer.Step {
	return definer.Step{Count: n, Need: cpus(processors), Estimate: time.Second}
}

func TestKeysDecideWhichJobsACallReaches(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.putWorkspaces(shop("a", registrar.Need{}), shop("b", registrar.Need{}))
	for _, key := range []definer.Key{"", "other", "A-1", "a-1 "} {
		c.Check(s.call(prefix, 1, key), quicktest.Equals, all(planner.Unauthorized), quicktest.Commentf("%q", string(key)))
	}
	c.Check(s.call("/none/", 1, "other"), quicktest.Equals, all(planner.NoQueue))
	c.Check(s.post(prefix, 2, "a-1"), quicktest.Equals, planner.Accepted)
	c.Check(s.p.State.Jobs[2].Workspace, quicktest.Equals, definer.WorkspaceName("a"))
	c.Check(s.call(prefix, 2, "b-1"), quicktest.Equals, all(planner.Forbidden))
	c.Check(s.call("/open/", 2, ""), quicktest.Equals, all(planner.Forbidden))
	c.Check(s.p.State.Jobs[2].State, quicktest.Equals, tracker.Active)
	c.Check(s.call(prefix, 2, "a-2"), quicktest.Equals, all(planner.Accepted), quicktest.Commentf("another key of the workspace"))
	c.Check(s.p.State.Jobs, quicktest.HasLen, 1)
	c.Check(s.post("/open/", 3, "a-1"), quicktest.Equals, planner.Accepted)
	c.Check(s.p.State.Jobs[3].Workspace, quicktest.Equals, definer.WorkspaceName(""))
	c.Check(s.call(prefix, 3, "b-1"), quicktest.Equals, all(planner.Accepted), quicktest.Commentf("a job without a workspace"))
}

// A key moves to another workspace, and the workspace of a job is removed.
func TestJobKeepsItsWorkspace(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.putWorkspaces(shop("a", registrar.Need{}))
	c.Assert(s.post(prefix, 1, "a-1"), quicktest.Equals, planner.Accepted)
	s.putWorkspaces(definer.Workspace{Name: "a", Keys: []definer.Key{"a-2"}}, definer.Workspace{Name: "b", Keys: []definer.Key{"a-1"}})
	c.Check(s.call(prefix, 1, "a-1"), quicktest.Equals, all(planner.Forbidden))
	c.Check(s.post(prefix, 1, "a-2"), quicktest.Equals, planner.Accepted)
	s.putWorkspaces(definer.Workspace{Name: "b", Keys: []definer.Key{"a-1"}})
	c.Check(s.call(prefix, 1, "a-2"), quicktest.Equals, all(planner.Unauthorized))
	c.Check(s.call(prefix, 1, "a-1"), quicktest.Equals, all(planner.Forbidden))
	s.putWorkspaces()
	c.Check(s.call(prefix, 1, "a-1"), quicktest.Equals, all(planner.Unauthorized), quicktest.Commentf("an empty list"))
	s.put(definer.Queue{})
	c.Check(s.call(prefix, 1, ""), quicktest.Equals, all(planner.Accepted), quicktest.Commentf("no workspaces are declared"))
}

// Guards against a caller who keeps a job of another workspace from being accepted.
func TestCancellationWithdrawsNoJobOfAnotherWorkspace(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.putWorkspaces(shop("a", registrar.Need{}), shop("b", registrar.Need{}))
	s.p.Cancel(place(prefix, 1, "b-1"), func(planner.Answer) {}, s.now)
	s.p.State = s.p.State.Clone()
	c.Check(s.post(prefix, 1, "b-2"), quicktest.Equals, planner.Withdrawn)
	c.Check(s.post(prefix, 1, "a-1"), quicktest.Equals, planner.Accepted)
}

// A daemon that does not pass keys on gets no answer that depends on them.
func TestCallsWithoutAPassedKeyAreNotReady(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.putWorkspaces(shop("a", registrar.Need{}))
	c.Assert(s.post(prefix, 1, "a-1"), quicktest.Equals, planner.Accepted)
	for path, want := range map[string]planner.Verdict{prefix: planner.NotReady, "/open/": planner.NotReady, "/none/": planner.NoQueue} {
		x := place(path, 1, "")
		x.Withheld = true
		_, a := new(planner.Keyring).Find(s.p.State, x)
		c.Check(a.Verdict, quicktest.Equals, want, quicktest.Commentf(path))
	}
}

func TestWorkspaceStaysWithinItsLimit(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 8)
	starts := s.begin(1, tasks(10, 3))
	c.Assert(starts, quicktest.HasLen, 2)
	s.advance(time.Second)
	c.Assert(s.starts(), quicktest.HasLen, 0)
	for _, o := range starts {
		s.acceptStart(o)
	}
	s.answerPolls(row{target: starts[0].To.Target, task: starts[0].Task, number: 1, how: tracker.EndDone})
	s.advance(50 * time.Millisecond)
	c.Check(s.starts(), quicktest.HasLen, 1)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(6).CPU)
	c.Check(s.post("/open/", 2, "", tasks(10, 3)), quicktest.Equals, planner.Accepted)
	c.Check(s.starts(), quicktest.HasLen, 10, quicktest.Commentf("a job without a workspace"))
}

func TestLimitsHoldForEachResource(t *testing.T) {
	for _, limit := range []registrar.Need{{CPU: 3999}, {Memory: 3 * 1024}, {CPU: 16000, Memory: 4000}} {
		c := quicktest.New(t)
		s := newHarness(c, 4)
		s.putWorkspaces(shop("shop", limit))
		c.Check(s.begin(1, tasks(10, 1)), quicktest.HasLen, 3, quicktest.Commentf("%s", limit))
	}
}

func TestGangCountsAsAWhole(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 8)
	gang := tasks(3, 2)
	gang.Gang = true
	first := s.begin(1, tasks(1, 3))
	c.Assert(s.begin(2, gang), quicktest.HasLen, 0)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(3).CPU)
	s.acceptStart(first[0])
	s.answerPolls(row{target: first[0].To.Target, task: first[0].Task, number: 1, how: tracker.EndDone})
	s.advance(50 * time.Millisecond)
	c.Check(s.starts(), quicktest.HasLen, 3)
}

// Guards against a workspace that stays charged with members for which there was room while there was none for others.
func TestGangThatDoesNotStartIsNotCharged(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 1, 100)
	gang := tasks(3, 8)
	gang.Gang = true
	c.Assert(s.begin(1, gang), quicktest.HasLen, 0)
	s.advance(time.Second)
	c.Check(s.usage("shop"), quicktest.Equals, registrar.MilliCPU(0))
}

// Targets aren't charged for processors of such tasks, and workspaces are.
func TestBestEffortTasksAreChargedWithTheirProcessors(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 8)
	step := tasks(10, 3)
	step.BestEffortCPU = true
	c.Check(s.begin(1, step), quicktest.HasLen, 2)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(6).CPU)
}

func TestLowerLimitStopsNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 8)
	starts := s.begin(1, tasks(10, 2))
	c.Assert(starts, quicktest.HasLen, 4)
	s.putWorkspaces(shop("shop", cpus(3)))
	for i, o := range starts {
		s.acceptStart(o)
		c.Check(s.stops(), quicktest.HasLen, 0)
		s.answerPolls(row{target: o.To.Target, task: o.Task, number: 1, how: tracker.EndDone})
		s.advance(50 * time.Millisecond)
		c.Check(s.starts(), quicktest.HasLen, i/3, quicktest.Commentf("%d have ended", i+1))
		s.advance(time.Second)
	}
}

// Guards against a removed workspace whose jobs may use everything, under the same leader, after a snapshot and
// under the next one.
func TestRemovedWorkspaceKeepsItsLastLimit(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 4)
	c.Assert(s.begin(1, tasks(10, 2)), quicktest.HasLen, 2)
	s.putWorkspaces(shop("other", registrar.Need{}))
	s.advance(time.Second)
	c.Check(s.starts(), quicktest.HasLen, 0)
	data, err := s.p.State.Encode()
	c.Assert(err, quicktest.IsNil)
	restored := tracker.New()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Check(restored.WorkspaceLimit("shop").CPU, quicktest.Equals, cpus(4).CPU)
	s.p.State = restored
	s.changeTerm(2)
	s.answerPolls()
	s.advance(50 * time.Millisecond)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(4).CPU)
	c.Check(s.starts(), quicktest.HasLen, 2, quicktest.Commentf("the targets did not list the first ones"))
}

// A run that is being stopped may go on until its end is listed.
func TestRunThatIsStoppedStaysCharged(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 4)
	starts := s.begin(1, tasks(1, 4))
	s.acceptStart(starts[0])
	s.answerPolls(row{target: starts[0].To.Target, task: starts[0].Task, number: 1, percent: 1})
	s.p.Cancel(place(prefix, 1, "shop-1"), func(planner.Answer) {}, s.now)
	s.plan()
	c.Assert(s.stops(), quicktest.HasLen, 1)
	c.Assert(s.begin(2, tasks(1, 4)), quicktest.HasLen, 0)
	s.advance(time.Second)
	s.answerPolls(row{target: starts[0].To.Target, task: starts[0].Task, number: 1, how: tracker.EndStopped})
	s.advance(50 * time.Millisecond)
	c.Check(s.starts(), quicktest.HasLen, 1)
}

// The runs of a target that does not answer stay charged until its lease is certainly over.
func TestRunsOfAnUnresponsiveTargetStayCharged(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 2, 4)
	start := s.begin(1, tasks(1, 4))[0]
	id := start.To.Target
	s.acceptStart(start)
	s.answerPolls(row{target: id, task: start.Task, number: 1, percent: 1})
	c.Assert(s.begin(2, tasks(1, 4)), quicktest.HasLen, 0)
	until := s.lapse(id, start.Deadline)
	for s.usage("shop") > 0 {
		s.starts()
		for _, o := range s.polls() {
			r := s.report(o)
			r.Answered = o.To.Target != id
			s.p.PollReported(r, s.now)
		}
		s.advance(50 * time.Millisecond)
		if s.usage("shop") > 0 && len(s.starts()) > 0 {
			break
		}
	}
	c.Check(s.now.Monotonic.After(until), quicktest.IsTrue)
}

// A leader is lost with a decision that is not committed, and one that is.
func TestNextLeaderChargesWhatTheLogHas(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 4, 8)
	committed := s.p.State.Clone()
	first := s.begin(1, tasks(10, 3))
	c.Assert(first, quicktest.HasLen, 2)
	for lost, want := range map[bool]registrar.MilliCPU{true: 0, false: cpus(6).CPU} {
		x := newHarness(c, 0)
		x.p.State = s.p.State.Clone()
		if lost {
			x.p.State = committed.Clone()
		}
		x.now = s.now
		x.p.Begin(2, x.now)
		c.Check(x.usage("shop"), quicktest.Equals, want, quicktest.Commentf("lost %v", lost))
		x.advance(50 * time.Millisecond)
		c.Check(x.starts(), quicktest.HasLen, 0)
	}
}

// A target lists a run that its leader has given up, as that of a job that still runs.
func TestStrayRunIsChargedToItsWorkspace(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 2, 8)
	start := s.begin(1, tasks(2, 3))[0]
	s.acceptStart(start)
	stray := row{target: start.To.Target, task: start.Task, number: 5, percent: 1}
	own := row{target: start.To.Target, task: start.Task, number: 1, percent: 1}
	s.answerPolls(own, stray)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(9).CPU)
	c.Check(s.begin(2, tasks(1, 2)), quicktest.HasLen, 0)
	s.advance(time.Second)
	s.answerPolls(own)
	s.advance(50 * time.Millisecond)
	c.Check(s.starts(), quicktest.HasLen, 1)
	c.Check(s.usage("shop"), quicktest.Equals, cpus(8).CPU)
}

// A target that lists a stray run announces another incarnation, which proves nothing of the former one.
func TestStrayRunOfAReplacedIncarnationStaysChargedForItsLease(t *testing.T) {
	c := quicktest.New(t)
	s := newShop(c, 1, 8)
	start := s.begin(1, tasks(1, 3))[0]
	s.acceptStart(start)
	s.answerPolls(row{target: "t1", task: start.Task, number: 1, percent: 1}, row{target: "t1", task: start.Task, number: 5, percent: 1})
	c.Assert(s.usage("shop"), quicktest.Equals, cpus(6).CPU)
	until := s.lapse("t1", start.Deadline)
	rec := s.record(1)
	rec.Incarnation = 2
	s.announce(rec)
	for s.now.Monotonic.Before(until) {
		c.Assert(s.usage("shop"), quicktest.Equals, cpus(6).CPU)
		s.advance(50 * time.Millisecond)
	}
	s.advance(10 * time.Second)
	c.Check(s.usage("shop") < cpus(6).CPU, quicktest.IsTrue)
}

// Guards against a workspace at its limit that takes the calls to the licensing service from others, and whose starts
// wait for an answer of it.
func TestOneStepAtTheLimitKeepsTickets(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 3)
	s.put(definer.Queue{MaxAttempts: 2, Slack: 2, Grace: time.Second, Licence: slowLicence})
	s.putWorkspaces(shop("shop", registrar.Need{CPU: 2000}))
	s.p.AddLicenceProxy("p", s.now)
	s.p.AddLicenceProxy("p2", s.now)
	answer := func() (asked int) {
		for _, a := range s.take(func(a planner.Action) bool { return a.TicketRequest != nil }) {
			asked++
			r := &planner.TicketReport{ID: a.TicketRequest.ID, Answered: true, Received: s.now.Monotonic, Admitted: make(map[tracker.TargetID]string)}
			for _, id := range a.TicketRequest.Targets {
				r.Admitted[id] = "ticket"
			}
			s.p.TicketsReported(r, s.now)
		}
		s.plan()
		return asked
	}
	for id := range definer.JobID(4) {
		c.Assert(s.post(prefix, id+1, "shop-1", definer.Step{Count: 2, Need: cpus(1), Estimate: time.Hour}), quicktest.Equals, planner.Accepted)
	}
	var running []row
	play := func(passes int) (asked int) {
		for range passes {
			asked += answer()
			for _, o := range s.starts() {
				s.acceptStart(o)
				running = append(running, row{target: o.To.Target, task: o.Task, number: 1, percent: 1})
			}
			s.answerPolls(running...)
			s.advance(200 * time.Millisecond)
		}
		return asked
	}
	play(10)
	c.Assert(running, quicktest.HasLen, 2)
	asked := play(50) // 10 s, in which tickets expire four times
	c.Check(asked > 2 && asked < 20, quicktest.IsTrue, quicktest.Commentf("%d requests, and 30 if all three steps keep tickets", asked))
	answer()
	s.starts()
	end := running[0]
	end.how = tracker.EndDone
	s.answerPolls(end, running[1])
	s.plan()
	c.Check(s.starts(), quicktest.HasLen, 1, quicktest.Commentf("without another answer"))
}

// Guards against steps at the limit of their workspace that take targets from others in vain.
func TestStepsAtTheLimitPreemptNothingAndHoldNothing(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.p.Limits.PreemptAfter = 100 * time.Millisecond
	s.putTwoQueues(0, 1)
	d := *s.p.State.Document
	d.Version++
	d.Workspaces = []definer.Workspace{shop("shop", cpus(1)), shop("other", registrar.Need{})}
	s.p.Put(&d, func(planner.Answer) {}, s.now)
	s.plan()
	filler := tasks(15, 1)
	filler.Checkpointing, filler.Estimate = true, time.Minute
	c.Assert(s.post("/queue2/", 1, "other-1", filler), quicktest.Equals, planner.Accepted)
	var rows []row
	for _, o := range s.starts() {
		s.acceptStart(o)
		rows = append(rows, row{target: o.To.Target, task: o.Task, number: 1, percent: 1})
	}
	s.answerPolls(rows...)
	long := definer.Step{Count: 4, Need: cpus(1), LongRunning: true}
	c.Assert(s.begin(2, long), quicktest.HasLen, 1)
	c.Assert(s.begin(3, definer.Step{Count: 1, Need: cpus(1), Estimate: time.Minute}), quicktest.HasLen, 0)
	s.advance(8 * time.Second)
	c.Check(s.stops(), quicktest.HasLen, 0)
	s.answerPolls(append(rows[1:], row{target: rows[0].target, task: rows[0].task, number: 1, how: tracker.EndDone})...)
	s.advance(50 * time.Millisecond)
	c.Check(s.post("/queue2/", 4, "other-1", tasks(1, 1)), quicktest.Equals, planner.Accepted)
	c.Check(s.starts(), quicktest.HasLen, 1, quicktest.Commentf("capacity is held"))
}

// A document that was stored by an earlier version comes into force with its workspaces once FormatWorkspaces is.
func TestStoredDocumentIsDecodedAgain(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	s.p.Decode = func(source []byte) (*definer.Document, definer.Findings) {
		d := *s.p.State.Document
		if _, err := fmt.Sscanf(string(source), "version %d", &d.Version); err != nil {
			return nil, definer.Findings{{Field: "body", Text: err.Error()}}
		}
		d.Source, d.Workspaces = source, []definer.Workspace{shop("shop", cpus(1))}
		return &d, nil
	}
	bare := *s.p.State.Document
	bare.Version, bare.Source = 7, []byte("version 7")
	s.p.State.ApplyEvent(tracker.Event{DocumentPut: &tracker.DocumentPut{Document: &bare}}, s.now.Wall)
	s.p.State.Format = tracker.FormatChecked
	s.p.Begin(2, s.now)
	var verdict planner.Verdict
	put := func(version definer.Version) planner.Verdict {
		d := bare // as a daemon of an earlier version passes it on
		d.Version, d.Source = version, fmt.Append(nil, "version ", version)
		s.p.Put(&d, func(a planner.Answer) { verdict = a.Verdict }, s.now)
		s.plan()
		return verdict
	}
	c.Check(put(8), quicktest.Equals, planner.NotReady)
	c.Check(s.p.State.Document, quicktest.Equals, &bare)
	s.p.RaiseFormat(tracker.FormatWorkspaces, s.now)
	s.plan()
	c.Check(s.p.State.Document.Version, quicktest.Equals, definer.Version(7))
	c.Check(s.p.State.Document.Workspaces, quicktest.HasLen, 1)
	c.Check(s.post(prefix, 1, ""), quicktest.Equals, planner.Unauthorized)
	c.Check(put(8), quicktest.Equals, planner.Accepted)
	c.Check(s.p.State.Document.Workspaces, quicktest.HasLen, 1)
	c.Check(put(8), quicktest.Equals, planner.Accepted, quicktest.Commentf("it is sent again, as the answer was lost"))
}
