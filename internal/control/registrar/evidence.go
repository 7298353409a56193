package registrar

import (
	"crypto/sha256"
	"encoding/binary"
)

// This file gathers the log entries that a retirement rests on. Every applied
// entry extends a chain of digests, so that an exported proof shows at which
// place of the log each of its entries stands. Example: the chain after entry
// 9 is SHA-256 of the chain before it, the number 9 and the bytes of the entry.

// Chain is the digest over all entries up to one index.
type Chain [sha256.Size]byte

// Link is one entry of the log with the chain before it.
type Link struct {
	Index  Index  `cbor:"1,keyasint" json:"Index"`
	Before Chain  `cbor:"2,keyasint" json:"-"`
	Data   []byte `cbor:"3,keyasint" json:"Data"`
}

// After returns the chain after the link.
func (l Link) After() Chain {
	h := sha256.New()
	h.Write(l.Before[:])
	var index [8]byte
	binary.BigEndian.PutUint64(index[:], uint64(l.Index))
	h.Write(index[:])
	h.Write(l.Data)
	var out Chain
	h.Sum(out[:0])
	return out
}

// Subject is what is being retired: a caller or a target.
type Subject struct {
	Caller CallerName `cbor:"1,keyasint,omitempty"`
	Target TargetName `cbor:"2,keyasint,omitempty"`
}

// String returns a form that sorts.
func (s Subject) String() string {
	return "caller " + string(s.Caller) + " target " + string(s.Target)
}

// RetirementEvidence is the evidence of one retirement.
type RetirementEvidence struct {
	Subject Subject `cbor:"1,keyasint"`
	Links   []Link  `cbor:"2,keyasint"`
}

// collectEvidence keeps the entry for each retirement that it concerns. It runs before
// the entry is applied, while the tables still show what its tasks were.
func (s *State) collectEvidence(link Link, e Entry) {
	var concerned []Subject
	for _, ev := range e.Events {
		concerned = s.subjectsOf(ev, concerned)
	}
	for _, subject := range concerned {
		links := s.Evidence[subject]
		if n := len(links); n == 0 || links[n-1].Index != link.Index {
			s.Evidence[subject] = append(links, link)
		}
	}
}

func (s *State) subjectsOf(ev Event, out []Subject) []Subject {
	switch ev := ev.(type) {
	case ConfigChanged:
		for _, op := range ev.Ops {
			if c := s.Callers[op.RetireCaller]; c != nil && c.State == CallerActive {
				out = append(out, Subject{Caller: c.Name})
			}
			if t := s.Targets[op.RetireTarget]; t != nil && !t.Retiring {
				out = append(out, Subject{Target: t.Name})
			}
		}
	case TaskEnded:
		out = s.subjectsOfTask(ev.ID, out)
	case TaskRequeued:
		out = s.subjectsOfTask(ev.ID, out)
	}
	return out
}

func (s *State) subjectsOfTask(id TaskID, out []Subject) []Subject {
	t := s.Tasks[id]
	if t == nil {
		return out
	}
	if c := s.Callers[t.Caller]; c != nil && c.State == CallerRetiring {
		out = append(out, Subject{Caller: c.Name})
	}
	if target := s.Targets[t.Target]; target != nil && target.Retiring && t.State == Assigned {
		out = append(out, Subject{Target: target.Name})
	}
	return out
}
