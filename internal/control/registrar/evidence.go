package registrar

import (
	"crypto/sha256"
	"encoding/binary"
)

// This file collects the log entries that are the evidence of a retirement. Every
// applied entry extends a hash chain, which binds each entry of an exported proof
// to its index in the log: the chain after entry 9 is the SHA-256 of the chain
// before it, the index 9 as 8 bytes big-endian, and the bytes of the entry.

// Chain is the digest over all entries up to an index.
type Chain [sha256.Size]byte

// Link is a log entry with the chain before it.
type Link struct {
	Index  Index  `cbor:"1,keyasint" json:"Index"`
	Before Chain  `cbor:"2,keyasint" json:"-"`
	Data   []byte `cbor:"3,keyasint" json:"Data"`
}

// After returns the chain after the entry.
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

// Subject is the caller or the target that is being retired.
type Subject struct {
	Caller CallerName `cbor:"1,keyasint,omitempty"`
	Target TargetName `cbor:"2,keyasint,omitempty"`
}

// String returns a unique text, by which snapshots sort the evidence.
func (s Subject) String() string {
	return "caller " + string(s.Caller) + " target " + string(s.Target)
}

// RetirementEvidence holds the evidence of one retirement in a snapshot.
type RetirementEvidence struct {
	Subject Subject `cbor:"1,keyasint"`
	Links   []Link  `cbor:"2,keyasint"`
}

// collectEvidence adds the entry to the evidence of each retirement that it
// concerns. It must run before the entry is applied, since it needs the state of
// the tasks and subjects before the entry.
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

// subjectsOf appends the subjects whose retirement the event starts or concerns.
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

// subjectsOfTask appends the subjects in retirement to which the task belongs.
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
