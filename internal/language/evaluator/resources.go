// Package evaluator carries out statements of the operators' language on the
// tables of a daemon: queries give tables of cells, commands give the steps of
// a change.
package evaluator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/settings/collector"
	"masticroad/internal/state/replicator"
)

// This file is read first: it holds the table of what can be shown. A new
// thing is a list of columns, a function that gives its rows, and a line in
// the table. Example: `SHOW Targets COLUMNS Name, FreeCPU`.

// Source is what statements are evaluated on. Decider is nil on a daemon that
// does not lead; columns that only the leader knows are then empty.
type Source struct {
	State   *registrar.State
	Decider *decider.Decider
	Status  replicator.Status
	Now     time.Time
}

// Cell is one value of a table. Numbers sort and compare by Number.
type Cell struct {
	Text    string
	Number  float64
	Numeric bool
}

type row []Cell

// thing is a kind of rows. Columns named in sums are added up by GROUP BY.
type thing struct {
	name    string
	columns []string
	sums    []string
	rows    func(*Source) []row
}

var things = []thing{
	{
		"Tasks",
		[]string{"ID", "Caller", "Key", "Job", "Kind", "Class", "State", "Outcome", "Attempt", "Target", "Daemon", "CPU", "Memory", "Accelerators", "Since", "Submitted", "Reason", "Repeatable", "Region"},
		[]string{"CPU", "Memory", "Accelerators"}, taskRows,
	},
	{
		"Jobs",
		[]string{"Name", "Caller", "Kind", "Class", "Count", "Made", "Running", "Queued", "Done", "Failed", "State", "CPU", "Memory", "Accelerators", "Since"},
		[]string{"Count", "Running", "Queued", "Done", "Failed"}, jobRows,
	},
	{
		"Callers",
		[]string{"Name", "Region", "State", "Class", "QuotaCPU", "QuotaMemory", "QuotaAccelerators", "UsedCPU", "UsedMemory", "UsedAccelerators", "Running", "Queued", "Since"},
		[]string{"UsedCPU", "UsedMemory", "UsedAccelerators", "Running", "Queued"}, callerRows,
	},
	{
		"Targets",
		[]string{"Name", "Address", "Region", "Zone", "Rack", "State", "Draining", "Quarantine", "CPU", "Memory", "Accelerators", "Slots", "UsedCPU", "UsedMemory", "UsedAccelerators", "Running", "Since"},
		[]string{"CPU", "Memory", "Accelerators", "Slots", "UsedCPU", "UsedMemory", "UsedAccelerators", "Running"}, targetRows,
	},
	{
		"VMs",
		[]string{"Name", "Address", "Region", "Zone", "Connected", "Leased", "Revision", "Applied", "Since"},
		nil, daemonRows,
	},
	{
		"Changes",
		[]string{"Revision", "ID", "Index", "Operator", "Text", "Since"},
		nil, changeRows,
	},
	{
		"Confirmations",
		[]string{"Revision", "VM", "Since"},
		nil, confirmationRows,
	},
	{
		"Voters",
		[]string{"Replica", "VM", "Leader"},
		nil, voterRows,
	},
	{
		"Policies",
		[]string{"Name", "Value", "Default", "Effect"},
		nil, policyRows,
	},
	{
		"Counters",
		[]string{"Name", "Value"},
		nil, counterRows,
	},
}

func findThing(name string) (*thing, error) {
	var names []string
	for i := range things {
		if strings.EqualFold(things[i].name, name) {
			return &things[i], nil
		}
		names = append(names, things[i].name)
	}
	return nil, fmt.Errorf("there is nothing named %q to show%s; known: %s", name, guess(name, names), strings.Join(names, ", "))
}

func (t *thing) column(name string) (int, error) {
	for i, c := range t.columns {
		if strings.EqualFold(c, name) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%s have no column %q%s; known: %s", t.name, name, guess(name, t.columns), strings.Join(t.columns, ", "))
}

func guess(name string, known []string) string {
	if near := collector.Nearest(name, known); near != "" {
		return "; did you mean " + near + "?"
	}
	return ""
}

func text(s string) Cell { return Cell{Text: s} }

func number[N ~int | ~int64 | ~uint32 | ~uint64](n N) Cell {
	return Cell{Text: strconv.FormatInt(int64(n), 10), Number: float64(n), Numeric: true}
}

func flag(b bool) Cell { return Cell{Text: strconv.FormatBool(b)} }

func moment(m registrar.Millis) Cell {
	if m == 0 {
		return Cell{Numeric: true}
	}
	return Cell{Text: m.Time().Format("2006-01-02T15:04:05.000Z"), Number: float64(m), Numeric: true}
}

func taskRows(src *Source) []row {
	out := make([]row, 0, len(src.State.Tasks))
	for _, t := range src.State.Tasks {
		target, daemon := t.Target, t.Daemon
		if t.State == registrar.Queued {
			target = ""
		}
		need := t.Need
		if t.State == registrar.Assigned {
			need = t.Charge
		}
		out = append(out, row{
			number(t.ID), text(string(t.Caller)), text(string(t.Key)), text(string(t.Job)), text(t.Kind.String()),
			text(t.Class.String()), text(t.State.String()), text(t.Outcome.String()), number(t.Attempt),
			text(string(target)), text(string(daemon)), number(need.CPU), number(need.Memory),
			number(need.Accelerators), moment(t.Since), moment(t.Submitted), text(t.Reason), flag(!t.Once), text(string(t.Region)),
		})
	}
	return out
}

func jobRows(src *Source) []row {
	var out []row
	for key, j := range src.State.Jobs {
		running, queued := 0, 0
		for _, t := range src.State.ByJob[key] {
			if t.State == registrar.Assigned {
				running++
				continue
			}
			queued++
		}
		out = append(out, row{
			text(string(j.Name)), text(string(j.Caller)), text(j.Kind.String()), text(j.Class.String()), number(j.Count),
			number(j.Made), number(running), number(queued), number(j.Done), number(j.Failed), text(jobState(j, running+queued)),
			number(j.Need.CPU), number(j.Need.Memory), number(j.Need.Accelerators), moment(j.Since),
		})
	}
	return out
}

func jobState(j *registrar.Job, unfinished int) string {
	switch {
	case j.Canceled && unfinished > 0:
		return "Canceling"
	case j.Canceled:
		return "Canceled"
	case j.Kind != registrar.KindService && j.Done+j.Failed >= j.Count:
		return "Ended"
	}
	return "Active"
}

func callerRows(src *Source) []row {
	type sums struct {
		used            registrar.Need
		running, queued int
	}
	byCaller := make(map[registrar.CallerName]*sums)
	for name := range src.State.Callers {
		byCaller[name] = &sums{}
	}
	for _, t := range src.State.Tasks {
		s := byCaller[t.Caller]
		if s == nil {
			continue
		}
		switch t.State {
		case registrar.Assigned:
			s.used = s.used.Plus(t.Charge)
			s.running++
		case registrar.Queued:
			s.queued++
		}
	}
	var out []row
	for name, c := range src.State.Callers {
		s := byCaller[name]
		out = append(out, row{
			text(string(name)), text(string(c.Region)), text(c.State.String()), text(c.Class.String()),
			number(c.Quota.CPU), number(c.Quota.Memory), number(c.Quota.Accelerators),
			number(s.used.CPU), number(s.used.Memory), number(s.used.Accelerators),
			number(s.running), number(s.queued), moment(c.Since),
		})
	}
	return out
}

func targetRows(src *Source) []row {
	var out []row
	for name, t := range src.State.Targets {
		used, running := src.State.Used(name)
		draining := t.Draining || t.Leaving || t.Retiring
		out = append(out, row{
			text(string(name)), text(t.Address), text(string(t.Region)), text(string(t.Zone)), text(string(t.Rack)),
			text(t.State.String()), flag(draining), number(t.Quarantine), number(t.Capacity.CPU), number(t.Capacity.Memory),
			number(t.Capacity.Accelerators), number(t.Slots), number(used.CPU), number(used.Memory),
			number(used.Accelerators), number(running), moment(t.Since),
		})
	}
	return out
}

func daemonRows(src *Source) []row {
	var out []row
	if src.Decider == nil {
		for name, d := range src.State.Daemons {
			out = append(out, row{
				text(string(name)), text(d.HTTPAddr), text(string(d.Region)), text(string(d.Zone)),
				{}, {}, {}, {}, moment(d.Since),
			})
		}
		return out
	}
	for _, st := range src.Decider.DaemonStatuses(src.Now) {
		d := st.Daemon
		out = append(out, row{
			text(string(d.Name)), text(d.HTTPAddr), text(string(d.Region)), text(string(d.Zone)),
			flag(st.Connected), flag(st.Leased), number(st.Revision), number(st.Applied), moment(d.Since),
		})
	}
	return out
}

func changeRows(src *Source) []row {
	var out []row
	for _, c := range src.State.Changes {
		out = append(out, row{number(c.Revision), text(string(c.ID)), number(c.Index), text(c.Operator), text(c.Text), moment(c.At)})
	}
	return out
}

func confirmationRows(src *Source) []row {
	var out []row
	if src.Decider == nil {
		return out
	}
	for _, c := range src.Decider.Confirmations() {
		out = append(out, row{number(c.Revision), text(string(c.Daemon)), moment(registrar.MillisOf(c.At))})
	}
	return out
}

func voterRows(src *Source) []row {
	var out []row
	for _, id := range src.Status.Voters {
		out = append(out, row{text(string(id)), text(replicator.NameOf(id)), flag(id == src.Status.Leader)})
	}
	return out
}

func policyRows(src *Source) []row {
	var out []row
	for _, k := range decider.PolicyDefinitions {
		value, ok := src.State.Policies[k.Name]
		if !ok {
			value = k.Default
		}
		out = append(out, row{text(k.Name), text(value), text(k.Default), text(k.Effect)})
	}
	return out
}

func counterRows(src *Source) []row {
	if src.Decider == nil {
		return nil
	}
	c := src.Decider.Counters
	return []row{
		{text("Admitted"), number(c.Admitted)}, {text("Refused"), number(c.Refused)}, {text("Assigned"), number(c.Assigned)},
		{text("Retried"), number(c.Retried)}, {text("Preempted"), number(c.Preempted)}, {text("StaleReports"), number(c.StaleReports)},
		{text("Quarantined"), number(c.Quarantined)}, {text("DroppedLate"), number(c.DroppedLate)}, {text("LostTargets"), number(c.LostTargets)},
		{text("ChangesTaken"), number(c.ChangesAccepted)}, {text("ChangesDenied"), number(c.ChangesRefused)},
	}
}
