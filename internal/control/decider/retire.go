package decider

import (
	"slices"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/control/retirer"
)

// This file completes the retirement of callers and targets. The queued tasks
// of a retired caller end as NotRun and its running tasks are stopped. Once no
// task is left and every daemon has confirmed the change or lost its lease, the
// proof is logged.

func (d *Decider) checkRetirements(now time.Time) {
	d.processCancels(now)
	for name, c := range d.State.Callers {
		if c.State == registrar.CallerRetiring {
			d.retireCaller(name, now)
		}
	}
	for name, t := range d.State.Targets {
		if t.Retiring && t.State != registrar.TargetRetired {
			d.retireTarget(name, t, now)
		}
	}
}

func (d *Decider) retireCaller(name registrar.CallerName, now time.Time) {
	tasks := d.State.TasksOf(name)
	for i, t := range tasks {
		if i >= maxCancelsPerRound {
			break
		}
		d.cancelTask(t, "caller retired", now)
	}
	subject := registrar.Subject{Caller: name}
	if len(tasks) > 0 || len(d.State.Evidence[subject]) == 0 {
		return
	}
	if p := d.buildProof(subject, now); p != nil {
		p.Caller = name
		d.emitProof(p, func(data []byte) registrar.Event { return registrar.CallerRetirementProved{Name: name, Proof: data} })
	}
}

func (d *Decider) retireTarget(name registrar.TargetName, t *registrar.Target, now time.Time) {
	subject := registrar.Subject{Target: name}
	if len(d.State.ByTarget[name]) > 0 || len(d.State.Evidence[subject]) == 0 {
		return
	}
	if p := d.buildProof(subject, now); p != nil {
		p.Target = name
		d.emitProof(p, func(data []byte) registrar.Event { return registrar.TargetRetirementProved{Name: name, Proof: data} })
	}
}

func (d *Decider) emitProof(p *retirer.Proof, event func([]byte) registrar.Event) {
	data, err := p.Encode()
	if err != nil {
		return
	}
	d.emit(event(data))
}

// buildProof builds the proof of a retirement. It returns nil while a daemon
// may still act on an earlier revision.
func (d *Decider) buildProof(subject registrar.Subject, now time.Time) *retirer.Proof {
	links := d.State.Evidence[subject]
	record := d.retirementChange(links[0].Index)
	if record == nil {
		return nil
	}
	confirmed, lapsed, ok := d.inForce(record.Revision, now)
	if !ok {
		return nil
	}
	p := &retirer.Proof{
		Cell: d.Cell, Revision: record.Revision, Retiring: record.Index, Term: d.term,
		Index: d.State.Applied, At: registrar.MillisOf(now), Links: retirer.LinksOf(links),
		ChainAtEnd: hexChain(d.State.Chain),
	}
	for _, name := range confirmed {
		p.Daemons = append(p.Daemons, d.daemonProof(name, "Confirmed", record.Revision, now))
	}
	for _, name := range lapsed {
		p.Daemons = append(p.Daemons, d.daemonProof(name, "LeaseEnded", record.Revision, now))
	}
	slices.SortFunc(p.Daemons, func(a, b retirer.DaemonProof) int { return strings.Compare(string(a.Name), string(b.Name)) })
	p.Tasks, p.Targets = d.endedSince(subject, record, links)
	return p
}

// retirementChange returns the change that the log holds at an index, or nil.
func (d *Decider) retirementChange(index registrar.Index) *registrar.ChangeRecord {
	for _, c := range d.State.Changes {
		if c.Index == index {
			return c
		}
	}
	return nil
}

func (d *Decider) daemonProof(name registrar.DaemonName, how string, r registrar.Revision, now time.Time) retirer.DaemonProof {
	p := retirer.DaemonProof{Name: name, How: how, At: registrar.MillisOf(now)}
	if rec := d.State.Daemons[name]; rec != nil {
		p.Life = rec.Incarnation
	}
	for _, c := range d.confirmations {
		if c.Daemon == name && c.Revision >= r {
			p.At = registrar.MillisOf(c.At)
			break
		}
	}
	return p
}

// endedSince lists the tasks that ended according to the evidence, and the
// targets on which they ran.
func (d *Decider) endedSince(subject registrar.Subject, record *registrar.ChangeRecord, links []registrar.Link) ([]retirer.TaskProof, []retirer.TargetProof) {
	var tasks []retirer.TaskProof
	targets := make(map[registrar.TargetName]*retirer.TargetProof)
	for _, l := range links {
		e, err := registrar.DecodeEntry(l.Data)
		if err != nil || l.Index < record.Index {
			continue
		}
		for _, ev := range e.Events {
			tp, ok := d.taskProof(subject, ev)
			if !ok {
				continue
			}
			tp.Index, tp.At = l.Index, e.At
			tasks = append(tasks, tp)
			addTargetProof(targets, tp)
		}
	}
	var list []retirer.TargetProof
	for _, t := range targets {
		list = append(list, *t)
	}
	slices.SortFunc(list, func(a, b retirer.TargetProof) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return tasks, list
}

func (d *Decider) taskProof(subject registrar.Subject, ev registrar.Event) (retirer.TaskProof, bool) {
	switch ev := ev.(type) {
	case registrar.TaskEnded:
		t := d.State.Tasks[ev.ID]
		if t == nil || subject.Caller != "" && t.Caller != subject.Caller || subject.Target != "" && t.Target != subject.Target {
			return retirer.TaskProof{}, false
		}
		tp := retirer.TaskProof{ID: ev.ID, Attempt: ev.Attempt, Outcome: ev.Outcome, Reason: ev.Reason}
		if ev.Attempt > 0 {
			tp.Target = t.Target
		}
		return tp, true
	case registrar.TaskRequeued:
		if subject.Target == "" {
			return retirer.TaskProof{}, false
		}
		return retirer.TaskProof{ID: ev.ID, Attempt: ev.Attempt, Target: subject.Target, Reason: ev.Reason}, true
	}
	return retirer.TaskProof{}, false
}

func addTargetProof(targets map[registrar.TargetName]*retirer.TargetProof, tp retirer.TaskProof) {
	if tp.Target == "" {
		return
	}
	t := targets[tp.Target]
	if t == nil {
		t = &retirer.TargetProof{Name: tp.Target, How: "AttemptsEnded"}
		targets[tp.Target] = t
	}
	t.Tasks++
	t.At = max(t.At, tp.At)
}
