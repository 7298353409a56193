package decider

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"masticroad/internal/control/registrar"
)

// This file handles changes by operators. A change carries an id and may name
// the revision that it is based on; of several concurrent changes on one base
// revision exactly one is accepted, and the others are refused with the current
// revision. A change is answered once every daemon has confirmed it or lost its
// lease.

// Change is a change by an operator, as submitted to a round.
type Change struct {
	ID       registrar.ChangeID
	Base     *registrar.Revision // nil: any current revision
	Ops      []registrar.Op
	Text     string
	Operator string
	// Known, if set, is the digest of a change that was accepted before. The
	// submitter only wants its answer again.
	Known *registrar.Digest
	// Stage is set for a change that affects every region.
	Stage Stage
	// Done is called exactly once, with the result.
	Done func(ChangeResult)
}

// Stage is a step in the two-phase acceptance of a change that affects every
// region.
type Stage int

// Stages of a change. StageNone is a change that affects only this region, or
// the final step of one that affects every region.
const (
	StageNone Stage = iota
	StagePrepare
	StageDrop
)

// ChangeResult is the answer to a change.
type ChangeResult struct {
	Revision  registrar.Revision // of the change, or the current one on refusal
	Index     registrar.Index
	Refused   []string // findings; empty if accepted
	Repeated  bool     // the id is known; this repeats the first answer
	Uncertain bool     // leadership was lost; resend with the same id
	InForce   []registrar.DaemonName
	Lapsed    []registrar.DaemonName
}

type pendingChange struct {
	id          registrar.ChangeID
	revision    registrar.Revision
	committedAt time.Time
	repeated    bool
	done        func(ChangeResult)
}

// DigestChange returns the digest of the base revision and the operations of a
// change.
func DigestChange(base *registrar.Revision, ops []registrar.Op) registrar.Digest {
	data, err := cbor.Marshal(struct {
		Base *registrar.Revision
		Ops  []registrar.Op
	}{base, ops})
	if err != nil {
		return 0
	}
	return DigestText(string(data))
}

func (d *Decider) handleChange(c *Change, now time.Time) {
	digest := DigestChange(c.Base, c.Ops)
	if c.Known != nil {
		digest = *c.Known
	}
	if c.Stage != StageNone {
		d.handleStage(c, digest)
		return
	}
	if d.answerRepeatedChange(c, digest, now) {
		return
	}
	if findings := d.checkChange(c); len(findings) > 0 {
		d.Counters.ChangesRefused++
		d.refuseChange(c, findings)
		return
	}
	d.revision++
	d.Counters.ChangesAccepted++
	d.round.changeDigests[c.ID] = digest
	d.emit(registrar.ConfigChanged{
		Record: registrar.ChangeRecord{ID: c.ID, Digest: digest, Revision: d.revision, Text: c.Text, Operator: c.Operator},
		Ops:    c.Ops,
	})
	d.pendingChanges = append(d.pendingChanges, pendingChange{id: c.ID, revision: d.revision, committedAt: now, done: c.Done})
}

// answerRepeatedChange handles a change whose id is known and reports whether
// it is.
func (d *Decider) answerRepeatedChange(c *Change, digest registrar.Digest, now time.Time) bool {
	known, ok := d.round.changeDigests[c.ID]
	revision := d.revision
	if rec := d.State.Changes[c.ID]; rec != nil {
		known, ok, revision = rec.Digest, true, rec.Revision
		if rec.Dropped {
			d.refuseChange(c, []string{fmt.Sprintf("change %q was dropped, since another region did not take it", c.ID)})
			return true
		}
	}
	if !ok {
		return false
	}
	if known != digest {
		d.refuseChange(c, []string{fmt.Sprintf("change id %q was used with other content", c.ID)})
		return true
	}
	d.pendingChanges = append(d.pendingChanges, pendingChange{id: c.ID, revision: revision, committedAt: now, repeated: true, done: c.Done})
	return true
}

func (d *Decider) refuseChange(c *Change, findings []string) {
	current := d.revision
	d.round.Answers = append(d.round.Answers, func() {
		c.Done(ChangeResult{Revision: current, Refused: findings})
	})
}

// handleStage prepares or drops a change that affects every region. Both steps
// are idempotent.
func (d *Decider) handleStage(c *Change, digest registrar.Digest) {
	rec, prepared := d.State.Changes[c.ID], d.State.Prepared[c.ID]
	accepted := rec != nil && !rec.Dropped
	var findings []string
	switch {
	case c.Stage == StageDrop && accepted:
		findings = append(findings, fmt.Sprintf("change %q is accepted", c.ID))
	case c.Stage == StageDrop && rec == nil:
		d.emit(registrar.ConfigDropped{ID: c.ID, Digest: digest})
	case c.Stage == StagePrepare && rec != nil && (rec.Dropped || rec.Digest != digest):
		findings = append(findings, fmt.Sprintf("change %q was dropped or had other content", c.ID))
	case c.Stage == StagePrepare && prepared == nil && !accepted:
		if findings = d.checkChange(c); len(findings) == 0 {
			d.emit(registrar.ConfigPrepared{ID: c.ID, Digest: digest, Ops: c.Ops, Text: c.Text})
		}
	}
	revision := d.revision
	d.round.Answers = append(d.round.Answers, func() {
		c.Done(ChangeResult{Revision: revision, Refused: findings})
	})
}

// otherPrepared returns a prepared change with another id that is not yet
// decided, or nil.
func (d *Decider) otherPrepared(id registrar.ChangeID) *registrar.Prepared {
	for other, p := range d.State.Prepared {
		if other != id {
			return p
		}
	}
	return nil
}

// affectsAllRegions reports whether a change has an operation that every region
// must accept.
func affectsAllRegions(ops []registrar.Op) bool {
	return slices.ContainsFunc(ops, func(op registrar.Op) bool { return op.PutPolicy != nil })
}

func (d *Decider) checkChange(c *Change) []string {
	var findings []string
	if c.ID == "" {
		findings = append(findings, "a change needs an id")
	}
	if len(c.Ops) == 0 {
		findings = append(findings, "a change needs at least one step")
	}
	if c.Base != nil && *c.Base != d.revision && d.Disabled&WithoutBaseCheck == 0 {
		findings = append(findings, fmt.Sprintf("based on revision %d, but the present revision is %d", *c.Base, d.revision))
	}
	if p := d.otherPrepared(c.ID); p != nil && affectsAllRegions(c.Ops) {
		findings = append(findings, fmt.Sprintf("change %q of every region is not decided yet", p.ID))
	}
	for i, op := range c.Ops {
		if text := d.checkOp(c.Ops[:i], op); text != "" {
			findings = append(findings, fmt.Sprintf("step %d: %s", i+1, text))
		}
	}
	return findings
}

func (d *Decider) checkOp(earlier []registrar.Op, op registrar.Op) string {
	switch {
	case op.PutCaller != nil:
		return d.checkCaller(op.PutCaller)
	case op.RetireCaller != "":
		return d.checkRetire(op.RetireCaller)
	case op.PutPolicy != nil:
		if err := CheckPolicy(op.PutPolicy.Name, op.PutPolicy.Value); err != nil {
			return err.Error()
		}
	case op.PutJob != nil:
		return d.checkPutJob(earlier, op.PutJob)
	case op.CancelJob != nil:
		if d.State.Jobs[*op.CancelJob] == nil {
			return fmt.Sprintf("job %q of caller %q does not exist", op.CancelJob.Name, op.CancelJob.Caller)
		}
	case op.DrainTarget != nil:
		return d.checkTarget(op.DrainTarget.Name)
	case op.RetireTarget != "":
		return d.checkTarget(op.RetireTarget)
	case op.CancelTask != 0:
		if t := d.State.Tasks[op.CancelTask]; t == nil || t.State == registrar.Ended {
			return fmt.Sprintf("task %d is not queued or running", op.CancelTask)
		}
	default:
		return "the step does nothing"
	}
	return ""
}

func (d *Decider) checkCaller(c *registrar.Caller) string {
	old := d.State.Callers[c.Name]
	switch {
	case !ValidName(string(c.Name)):
		return fmt.Sprintf("caller name %q must have 1 to %d letters, digits, dots or dashes", c.Name, maxNameLength)
	case old != nil && old.State != registrar.CallerActive:
		return fmt.Sprintf("caller %q is retired; a retired name is not used again", c.Name)
	case c.Quota.CPU < 0 || c.Quota.Memory < 0 || c.Quota.Accelerators < 0:
		return fmt.Sprintf("the quota of caller %q is negative", c.Name)
	}
	return ""
}

func (d *Decider) checkRetire(name registrar.CallerName) string {
	c := d.State.Callers[name]
	switch {
	case c == nil:
		return fmt.Sprintf("caller %q does not exist", name)
	case c.State != registrar.CallerActive:
		return fmt.Sprintf("caller %q is already %s", name, c.State)
	}
	return ""
}

func (d *Decider) checkPutJob(earlier []registrar.Op, j *registrar.Job) string {
	for _, op := range earlier {
		if op.PutCaller != nil && op.PutCaller.Name == j.Caller {
			return "" // an earlier operation of this change creates the caller
		}
	}
	if old := d.State.Jobs[j.KeyOf()]; old != nil && (old.Kind != j.Kind || old.Canceled) {
		return fmt.Sprintf("job %q of caller %q exists with another kind or is canceled", j.Name, j.Caller)
	}
	return CheckJob(d.State, j)
}

func (d *Decider) checkTarget(name registrar.TargetName) string {
	t := d.State.Targets[name]
	switch {
	case t == nil:
		return fmt.Sprintf("target %q does not exist", name)
	case t.State == registrar.TargetRetired || t.Retiring:
		return fmt.Sprintf("target %q is retired", name)
	}
	return ""
}

const maxNameLength = 64

// ValidName reports whether a name has 1 to maxNameLength letters, digits,
// dots, dashes and underscores.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && r != '-' && r != '.' && r != '_'
	}) < 0
}

// answerChanges answers the pending changes that are in force: each daemon has
// confirmed them or lost its lease.
func (d *Decider) answerChanges(now time.Time) {
	keep := d.pendingChanges[:0]
	for _, w := range d.pendingChanges {
		rec := d.State.Changes[w.id]
		inForce, lapsed, ok := d.inForce(w.revision, now)
		if rec == nil || !ok && d.Disabled&WithoutConfirmation == 0 {
			keep = append(keep, w)
			continue
		}
		result := ChangeResult{Revision: rec.Revision, Index: rec.Index, Repeated: w.repeated, InForce: inForce, Lapsed: lapsed}
		done := w.done
		d.round.Answers = append(d.round.Answers, func() { done(result) })
	}
	d.pendingChanges = keep
}

// inForce reports whether each daemon has confirmed a revision or lost
// its lease, and lists the daemons of either kind.
func (d *Decider) inForce(r registrar.Revision, now time.Time) (confirmed, lapsed []registrar.DaemonName, ok bool) {
	for name := range d.State.Daemons {
		s := d.sessions[name]
		switch {
		case s != nil && s.revision >= r:
			confirmed = append(confirmed, name)
		case !d.daemonLeases.Held(name, now):
			lapsed = append(lapsed, name)
		default:
			return nil, nil, false
		}
	}
	return confirmed, lapsed, true
}

// FailPendingChanges answers every pending change as uncertain. It is called when
// leadership is lost.
func (d *Decider) FailPendingChanges() {
	for _, w := range d.pendingChanges {
		w.done(ChangeResult{Uncertain: true})
	}
	d.pendingChanges = nil
}

// recordCommittedOps records the task cancellations and the jobs of a committed
// change for the next tick.
func (d *Decider) recordCommittedOps(ev registrar.ConfigChanged) {
	for _, op := range ev.Ops {
		if op.CancelTask != 0 {
			d.pendingCancels = append(d.pendingCancels, op.CancelTask)
		}
		if op.PutJob != nil {
			d.activeJobs[op.PutJob.KeyOf()] = true
		}
	}
}

func (d *Decider) processCancels(now time.Time) {
	ids := d.pendingCancels
	d.pendingCancels = nil
	for _, id := range ids {
		if t := d.State.Tasks[id]; t != nil {
			d.cancelTask(t, "canceled by an operator", now)
		}
	}
}
