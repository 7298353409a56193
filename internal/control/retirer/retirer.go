// Package retirer defines and verifies proofs that a caller or a target is
// retired: that none of its tasks is queued or running or can start again.
package retirer

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"masticroad/internal/control/registrar"
)

// Proof holds the evidence of a retirement. It is exported as JSON.
type Proof struct {
	Cell       string
	Caller     registrar.CallerName `json:",omitempty"`
	Target     registrar.TargetName `json:",omitempty"`
	Revision   registrar.Revision   // of the change that retires the subject
	Retiring   registrar.Index      // log entry with that change
	Term       registrar.Term       // of the leader that completed the retirement
	Index      registrar.Index      // last applied entry at completion
	At         registrar.Millis
	Daemons    []DaemonProof
	Targets    []TargetProof
	Tasks      []TaskProof
	Links      []Link
	ChainAtEnd string // hex digest of the log up to Index
}

// DaemonProof states why a daemon can no longer start a task of the subject.
type DaemonProof struct {
	Name registrar.DaemonName
	Life registrar.Incarnation
	How  string // "Confirmed" or "LeaseEnded"
	At   registrar.Millis
}

// TargetProof states how many attempts of the subject a target had to end.
type TargetProof struct {
	Name  registrar.TargetName
	Tasks int // attempts that had to end
	How   string
	At    registrar.Millis
}

// TaskProof states how a task of the subject ended after the retiring change.
type TaskProof struct {
	ID      registrar.TaskID
	Attempt registrar.Attempt
	Target  registrar.TargetName `json:",omitempty"`
	Outcome registrar.Outcome
	Reason  string
	At      registrar.Millis
	Index   registrar.Index
}

// Link is a log entry with the chained digest of the log before and after it.
type Link struct {
	Index  registrar.Index
	Before string // hex
	Data   []byte
	After  string // hex
}

// LinksOf converts links to the form that is exported.
func LinksOf(links []registrar.Link) []Link {
	var out []Link
	for _, l := range links {
		after := l.After()
		out = append(out, Link{l.Index, hex.EncodeToString(l.Before[:]), l.Data, hex.EncodeToString(after[:])})
	}
	return out
}

// Encode returns the JSON form of a proof.
func (p *Proof) Encode() ([]byte, error) {
	return json.MarshalIndent(p, "", "  ")
}

// Decode reads the JSON form of a proof; unknown fields are errors.
func Decode(data []byte) (*Proof, error) {
	var p Proof
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("proof: %w", err)
	}
	return &p, nil
}

// Finding is one reason why a proof is invalid.
type Finding struct {
	Place string // field of the proof
	Text  string
}

// String returns the place and the text of the finding.
func (f Finding) String() string { return f.Place + ": " + f.Text }

// Verify checks a proof offline and returns all findings. It checks the digests
// and the order of the log entries, that one of them holds the retiring change,
// that they end each listed task, that none admits a task of a retired caller
// after the change, and that each listed daemon has confirmed or has lost its
// lease.
func Verify(p *Proof) []Finding {
	v := verifier{proof: p, ended: make(map[registrar.TaskID]TaskProof)}
	v.checkHeader()
	for i, l := range p.Links {
		v.checkLink(i, l)
	}
	v.checkTasks()
	v.checkDaemons()
	return v.findings
}

// verifier collects the findings of one Verify call.
type verifier struct {
	proof               *Proof
	findings            []Finding
	ended               map[registrar.TaskID]TaskProof // task ends found in the entries
	retiringChangeFound bool
	lastIndex           registrar.Index // of the previous entry
}

func (v *verifier) addFinding(place, format string, args ...any) {
	v.findings = append(v.findings, Finding{place, fmt.Sprintf(format, args...)})
}

func (v *verifier) checkHeader() {
	p := v.proof
	if (p.Caller == "") == (p.Target == "") {
		v.addFinding("Caller", "a proof names either a caller or a target")
	}
	if len(p.Links) == 0 {
		v.addFinding("Links", "no log entry is given")
	}
	if p.Retiring == 0 || p.Index < p.Retiring {
		v.addFinding("Index", "the retirement at entry %d was completed at entry %d", p.Retiring, p.Index)
	}
}

func (v *verifier) checkLink(i int, l Link) {
	place := fmt.Sprintf("Links[%d]", i)
	before, err := hex.DecodeString(l.Before)
	if err != nil || len(before) != len(registrar.Chain{}) {
		v.addFinding(place, "the digest before the entry is not readable")
		return
	}
	link := registrar.Link{Index: l.Index, Before: registrar.Chain(before), Data: l.Data}
	after := link.After()
	if hex.EncodeToString(after[:]) != l.After {
		v.addFinding(place, "the digest of entry %d does not match its content", l.Index)
	}
	if l.Index <= v.lastIndex || l.Index > v.proof.Index {
		v.addFinding(place, "entry %d is out of order", l.Index)
	}
	if i > 0 && l.Index == v.lastIndex+1 && v.proof.Links[i-1].After != l.Before {
		v.addFinding(place, "entry %d does not follow entry %d", l.Index, v.lastIndex)
	}
	v.lastIndex = l.Index
	v.readEntry(place, l)
}

func (v *verifier) readEntry(place string, l Link) {
	e, err := registrar.DecodeEntry(l.Data)
	if err != nil {
		v.addFinding(place, "%v", err)
		return
	}
	for _, ev := range e.Events {
		v.readEvent(ev, l.Index, e.At)
	}
}

func (v *verifier) readEvent(ev registrar.Event, index registrar.Index, at registrar.Millis) {
	switch ev := ev.(type) {
	case registrar.ConfigChanged:
		for _, op := range ev.Ops {
			hit := v.proof.Caller != "" && op.RetireCaller == v.proof.Caller
			hit = hit || v.proof.Target != "" && op.RetireTarget == v.proof.Target
			if hit && index == v.proof.Retiring && ev.Record.Revision == v.proof.Revision {
				v.retiringChangeFound = true
			}
		}
	case registrar.TaskEnded:
		v.ended[ev.ID] = TaskProof{ID: ev.ID, Attempt: ev.Attempt, Outcome: ev.Outcome, Index: index, At: at}
	case registrar.TaskRequeued:
		if v.proof.Target != "" {
			v.ended[ev.ID] = TaskProof{ID: ev.ID, Attempt: ev.Attempt, Index: index, At: at}
		}
	case registrar.TaskAdmitted:
		if v.proof.Caller != "" && ev.Task.Caller == v.proof.Caller && index > v.proof.Retiring {
			v.addFinding("Links", "entry %d admits task %d after the retirement", index, ev.Task.ID)
		}
	}
}

func (v *verifier) checkTasks() {
	if !v.retiringChangeFound {
		v.addFinding("Retiring", "no entry holds the retiring change of revision %d at entry %d", v.proof.Revision, v.proof.Retiring)
	}
	for i, t := range v.proof.Tasks {
		e, ok := v.ended[t.ID]
		if !ok || e.Index != t.Index || e.Outcome != t.Outcome {
			v.addFinding(fmt.Sprintf("Tasks[%d]", i), "no entry ends task %d as %s at entry %d", t.ID, t.Outcome, t.Index)
		}
	}
}

func (v *verifier) checkDaemons() {
	if len(v.proof.Daemons) == 0 {
		v.addFinding("Daemons", "no daemon is listed")
	}
	for i, d := range v.proof.Daemons {
		if d.How != "Confirmed" && d.How != "LeaseEnded" {
			v.addFinding(fmt.Sprintf("Daemons[%d]", i), "daemon %s neither confirmed nor lost its lease", d.Name)
		}
	}
}
