package decider

import (
	"slices"
	"time"

	"masticroad/internal/control/registrar"
)

// This file tracks the daemons: which are connected, which hold a lease, and
// which revision each has confirmed.

type session struct {
	daemon    registrar.Daemon
	connected bool
	leaving   bool
	revision  registrar.Revision
	applied   registrar.Index
}

// Confirmation records when a daemon confirmed a revision.
type Confirmation struct {
	Revision registrar.Revision
	Daemon   registrar.DaemonName
	At       time.Time
}

const maxConfirmations = 512

func (d *Decider) handleInput(in *Input, leaderUntil, now time.Time) {
	if in.Closed {
		if s := d.sessions[in.Daemon]; s != nil && s.daemon.Incarnation == in.Incarnation {
			s.connected = false
		}
		return
	}
	up := in.Up
	if up.Hello != nil {
		d.handleHello(*up.Hello, now)
	}
	s := d.sessions[in.Daemon]
	if s == nil || s.daemon.Incarnation != in.Incarnation {
		return // a session must begin with a Hello
	}
	s.leaving = s.leaving || up.Leaving
	d.handleBatch(s, up, leaderUntil, now)
	if up.Hello != nil {
		d.resendAssignments(s)
	}
}

func (d *Decider) handleBatch(s *session, up *Upstream, leaderUntil, now time.Time) {
	name := s.daemon.Name
	for i := range up.Reports {
		r := &up.Reports[i]
		d.handleReport(r, now)
		m := d.downstreamFor(name)
		m.Settled = append(m.Settled, TaskAttempt{Task: r.Task, Attempt: r.Attempt})
	}
	for i := range up.Announcements {
		d.handleAnnouncement(name, &up.Announcements[i], leaderUntil, now)
	}
	for i := range up.Cancels {
		d.handleCancel(&up.Cancels[i], now)
	}
	for i := range up.Jobs {
		d.handleJob(&up.Jobs[i])
	}
	for i := range up.Admits {
		d.handleAdmit(s, &up.Admits[i], now)
	}
	if up.Renewal != nil {
		d.handleRenewal(s, up.Renewal, leaderUntil, now)
	}
}

// handleHello begins a session.
func (d *Decider) handleHello(h registrar.Daemon, now time.Time) {
	old := d.State.Daemons[h.Name]
	if old != nil && h.Incarnation < old.Incarnation {
		return
	}
	if old == nil || old.Incarnation != h.Incarnation || old.Address != h.Address {
		d.emit(registrar.DaemonStarted{Daemon: h})
	}
	d.sessions[h.Name] = &session{daemon: h, connected: true}
}

// resendAssignments resends the assignments of a daemon's incarnation, since
// messages on an earlier connection may be lost. It omits attempts that the
// daemon has reported in the same batch.
func (d *Decider) resendAssignments(s *session) {
	name := s.daemon.Name
	for _, t := range d.assignedTo(name, s.daemon.Incarnation) {
		if d.round.touched[t.ID] {
			continue
		}
		m := d.downstreamFor(name)
		m.Assignments = append(m.Assignments, d.assignment(t, t.Attempt, t.Target, t.Since))
	}
}

func (d *Decider) assignedTo(name registrar.DaemonName, incarnation registrar.Incarnation) []*registrar.Task {
	var assigned []*registrar.Task
	for _, tasks := range d.State.ByTarget {
		for _, t := range tasks {
			if t.Daemon == name && t.Life == incarnation {
				assigned = append(assigned, t)
			}
		}
	}
	registrar.SortTasks(assigned)
	return assigned
}

// handleRenewal extends the lease of a daemon, unless the daemon has not
// applied a change within Timing.RevisionGrace.
func (d *Decider) handleRenewal(s *session, r *Renewal, leaderUntil, now time.Time) {
	s.applied = r.Applied
	if r.Revision > s.revision {
		s.revision = r.Revision
		d.confirmations = append(d.confirmations, Confirmation{r.Revision, s.daemon.Name, now})
		if len(d.confirmations) > maxConfirmations {
			d.confirmations = slices.Delete(d.confirmations, 0, maxConfirmations/2)
		}
	}
	outdated := s.revision < d.requiredRevision(now)
	grant := &Grant{Seq: r.Seq, Term: d.term}
	d.downstreamFor(s.daemon.Name).Grant = grant
	if !outdated && now.Before(leaderUntil) {
		grant.Duration = d.daemonLeases.Grant(s.daemon.Name, now)
	}
}

// requiredRevision returns the newest revision that every daemon has had time
// to apply.
func (d *Decider) requiredRevision(now time.Time) registrar.Revision {
	required := d.State.Revision
	for _, c := range d.pendingChanges {
		if now.Sub(c.committedAt) < d.Timing.RevisionGrace {
			required = min(required, c.revision-1)
		}
	}
	return required
}

// daemonAlive reports whether an incarnation of a daemon may still act or
// report.
func (d *Decider) daemonAlive(name registrar.DaemonName, incarnation registrar.Incarnation, now time.Time) bool {
	rec := d.State.Daemons[name]
	if rec == nil || rec.Incarnation != incarnation {
		return false
	}
	return d.daemonLeases.Held(name, now)
}

// sessionFor returns the connected session of a daemon's incarnation, or nil.
func (d *Decider) sessionFor(name registrar.DaemonName, incarnation registrar.Incarnation) *session {
	s := d.sessions[name]
	if s == nil || !s.connected || s.daemon.Incarnation != incarnation {
		return nil
	}
	return s
}

// dispatcherFor returns the session of the daemon that acts on a target, or
// nil. It stays the same while the set of daemons does, so that connections are
// reused.
func (d *Decider) dispatcherFor(target registrar.TargetName, now time.Time) *session {
	var names []registrar.DaemonName
	for name, s := range d.sessions {
		if s.connected && !s.leaving && d.daemonLeases.Held(name, now) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	i := uint64(DigestText(string(target))) % uint64(len(names))
	return d.sessions[names[i]]
}

// expireDaemonLeases removes the sessions of disconnected daemons whose leases
// have expired.
func (d *Decider) expireDaemonLeases(now time.Time) {
	for _, name := range d.daemonLeases.RemoveExpired(now) {
		if s := d.sessions[name]; s != nil && !s.connected {
			delete(d.sessions, name)
		}
	}
}

// Confirmations returns the most recent confirmations of this term.
func (d *Decider) Confirmations() []Confirmation { return slices.Clone(d.confirmations) }

// DaemonStatus describes a daemon as seen by the leader.
type DaemonStatus struct {
	Daemon    registrar.Daemon
	Connected bool
	Leased    bool
	Revision  registrar.Revision
	Applied   registrar.Index
}

// DaemonStatuses returns the status of every known daemon, sorted by name.
func (d *Decider) DaemonStatuses(now time.Time) []DaemonStatus {
	var statuses []DaemonStatus
	for name, rec := range d.State.Daemons {
		st := DaemonStatus{Daemon: *rec, Leased: d.daemonLeases.Held(name, now)}
		if s := d.sessions[name]; s != nil {
			st.Connected, st.Revision, st.Applied = s.connected, s.revision, s.applied
		}
		statuses = append(statuses, st)
	}
	slices.SortFunc(statuses, func(a, b DaemonStatus) int {
		if a.Daemon.Name < b.Daemon.Name {
			return -1
		}
		return 1
	})
	return statuses
}
