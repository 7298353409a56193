package planner

import (
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file puts configuration documents into force. A daemon of an earlier version passes a document
// on, and stores it, without the workspaces that it declares. Its source is kept, so that it is decoded
// again.

// Put puts a document of queues and pools into force if its version is higher
// than the present one. Reply is called once that is committed.
func (p *Planner) Put(d *definer.Document, reply func(Answer), now Moment) {
	a := p.put(d, now)
	p.doAfterCommit(Action{Done: func() { reply(a) }})
}

func (p *Planner) put(d *definer.Document, now Moment) Answer {
	if p.State.Document != nil && d.Version <= p.State.Document.Version {
		p.log("document ignored as not newer", "version", int64(d.Version), "held", int64(p.State.Document.Version))
		return Answer{Verdict: Accepted}
	}
	d, a := p.withWorkspaces(d)
	if a.Verdict != Accepted {
		p.log("document refused", "version", int64(d.Version), "verdict", a.Verdict.String(), "reason", a.Reason)
		return a
	}
	p.putIntoForce(d, now)
	return a
}

func (p *Planner) putIntoForce(d *definer.Document, now Moment) {
	p.emit(tracker.Event{DocumentPut: &tracker.DocumentPut{Document: d}}, now)
	p.log("document in force", "version", int64(d.Version), "queues", len(d.Queues), "pools", len(d.Pools), "workspaces", len(d.Workspaces), "keyed", d.Workspaces != nil)
	for _, s := range p.steps {
		q := &s.job.rec.Queue
		s.pool, s.priority = q.Pool, q.Priority
	}
	p.stepsByPriority = nil
	for _, s := range p.steps {
		p.insertStep(s)
	}
	p.refreshLimits()
	p.dirty = true
}

// withWorkspaces returns a document with the workspaces that its source declares. The verdict is
// Accepted, or tells why the document can't come into force.
func (p *Planner) withWorkspaces(d *definer.Document) (*definer.Document, Answer) {
	if p.State.Known < tracker.FormatWorkspaces {
		return d.WithoutWorkspaces(), Answer{Verdict: Accepted}
	}
	if d.Workspaces == nil && p.Decode != nil {
		decoded, fs := p.Decode(d.Source)
		if len(fs) > 0 {
			return d, Answer{Verdict: Invalid, Reason: fs.Error()}
		}
		if decoded.Workspaces != nil {
			d = decoded
		}
	}
	if d.Workspaces != nil && p.State.Format < tracker.FormatWorkspaces {
		return d, Answer{Verdict: NotReady, RetryAfter: retryFormat, Reason: "not all replicas follow workspaces yet"}
	}
	return d, Answer{Verdict: Accepted}
}

// retryFormat is the time until a document with workspaces may be sent again; an upgrade of all replicas takes minutes.
const retryFormat = 5 * retryNoDocument

// adoptWorkspaces puts the workspaces of the document in force into force, if a leader of an earlier
// version has stored it without them. It is called once FormatWorkspaces is in force.
func (p *Planner) adoptWorkspaces(now Moment) {
	old := p.State.Document
	if old == nil || old.Workspaces != nil || p.State.Format < tracker.FormatWorkspaces {
		return
	}
	d, a := p.withWorkspaces(old)
	switch {
	case a.Verdict != Accepted:
		p.log("document in force can't be decoded again", "version", int64(old.Version), "reason", a.Reason)
	case d.Workspaces != nil && d.Version == old.Version:
		p.putIntoForce(d, now)
	}
}
