package tracker_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// putDocument returns the event of a document with a source and some workspaces.
func putDocument(version definer.Version, source string, ws []definer.Workspace) tracker.Event {
	return tracker.Event{DocumentPut: &tracker.DocumentPut{Document: &definer.Document{
		Version: version, Queues: []definer.Queue{{Name: "q", MaxAttempts: 2}}, Source: []byte(source), Workspaces: ws,
	}}}
}

// Guards against replicas of which some take a document of the version in force and others don't.
func TestDocumentOfTheSameVersionOnlyAddsWorkspaces(t *testing.T) {
	c := quicktest.New(t)
	ws := []definer.Workspace{{Name: "a", Keys: []definer.Key{"k"}, Limit: registrar.Need{CPU: 7}}}
	for _, f := range []tracker.Format{tracker.FormatChecked, tracker.FormatWorkspaces} {
		s := tracker.New()
		s.Format = f
		s.ApplyEvent(putDocument(3, "first", nil), 1)
		s.ApplyEvent(putDocument(3, "second", nil), 1)
		c.Check(string(s.Document.Source), quicktest.Equals, "first")
		s.ApplyEvent(putDocument(3, "first", ws), 1)
		c.Check(s.Document.Workspaces != nil, quicktest.Equals, f >= tracker.FormatWorkspaces)
		s.ApplyEvent(putDocument(3, "third", []definer.Workspace{}), 1)
		c.Check(string(s.Document.Source), quicktest.Equals, "first")
	}
}

// A removed workspace is remembered while it has jobs, in snapshots too, and not longer.
func TestRemovedWorkspacesAreRememberedForTheirJobs(t *testing.T) {
	c := quicktest.New(t)
	s := tracker.New()
	s.Format = tracker.FormatWorkspaces
	s.ApplyEvent(putDocument(1, "", []definer.Workspace{{Name: "a", Keys: []definer.Key{"secret"}, Limit: registrar.Need{CPU: 7}}, {Name: "b", Limit: registrar.Need{CPU: 8}}}), 1)
	s.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Workspace: "a", Job: &definer.Job{ID: 1, Steps: []definer.Step{{Count: 1}}}}}, 1)
	s.ApplyEvent(putDocument(2, "", nil), 1)
	data, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	restored := tracker.New()
	c.Assert(restored.Restore(data), quicktest.IsNil)
	for _, x := range []*tracker.State{s, s.Clone(), restored} {
		c.Check(x.WorkspaceLimit("a").CPU, quicktest.Equals, registrar.MilliCPU(7))
		c.Check(x.WorkspaceLimit("b").CPU, quicktest.Equals, registrar.MilliCPU(0))
		x.ApplyEvent(tracker.Event{JobCancelled: &tracker.JobCancelled{Job: 1}}, 5)
		x.ApplyEvent(tracker.Event{JobsForgotten: &tracker.JobsForgotten{Before: 6}}, 7)
		c.Check(x.WorkspaceLimit("a").CPU, quicktest.Equals, registrar.MilliCPU(0))
	}
}
