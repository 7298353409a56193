package retirer_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/control/retirer"
)

// validProof returns a proof without findings: the retiring change is at entry 5
// and the end of one task at entry 6.
func validProof(c *quicktest.C) *retirer.Proof {
	s := registrar.New()
	var links []registrar.Link
	apply := func(index registrar.Index, events ...registrar.Event) {
		data, err := registrar.Entry{At: 1000, Events: events}.Encode()
		c.Assert(err, quicktest.IsNil)
		links = append(links, registrar.Link{Index: index, Before: s.Chain, Data: data})
		_, err = s.Apply(index, data)
		c.Assert(err, quicktest.IsNil)
	}
	apply(5, registrar.ConfigChanged{Record: registrar.ChangeRecord{ID: "x", Revision: 1}, Ops: []registrar.Op{{RetireCaller: "shop"}}})
	apply(6, registrar.TaskEnded{ID: 7, Attempt: 1, Outcome: registrar.Failed})
	return &retirer.Proof{
		Cell: "c", Caller: "shop", Revision: 1, Retiring: 5, Term: 1, Index: 9, Links: retirer.LinksOf(links),
		Daemons: []retirer.DaemonProof{{Name: "vm1", How: "Confirmed"}},
		Tasks:   []retirer.TaskProof{{ID: 7, Attempt: 1, Outcome: registrar.Failed, Index: 6}},
	}
}

func TestVerifyAcceptsExportedProof(t *testing.T) {
	c := quicktest.New(t)
	data, err := validProof(c).Encode()
	c.Assert(err, quicktest.IsNil)
	p, err := retirer.Decode(data)
	c.Assert(err, quicktest.IsNil)
	c.Assert(retirer.Verify(p), quicktest.HasLen, 0)
}

func TestVerifyRejectsForgedProof(t *testing.T) {
	for name, forge := range map[string]func(*retirer.Proof){
		"another caller":      func(p *retirer.Proof) { p.Caller = "other" },
		"another revision":    func(p *retirer.Proof) { p.Revision = 2 },
		"an altered entry":    func(p *retirer.Proof) { p.Links[1].Data[3] ^= 1 },
		"an altered digest":   func(p *retirer.Proof) { p.Links[0].Before = p.Links[0].After },
		"entries out of turn": func(p *retirer.Proof) { p.Links[0], p.Links[1] = p.Links[1], p.Links[0] },
		"a task too many":     func(p *retirer.Proof) { p.Tasks = append(p.Tasks, retirer.TaskProof{ID: 8, Index: 6}) },
		"another outcome":     func(p *retirer.Proof) { p.Tasks[0].Outcome = registrar.NotRun },
		"no daemon":           func(p *retirer.Proof) { p.Daemons = nil },
		"a daemon that might": func(p *retirer.Proof) { p.Daemons[0].How = "Hoped" },
		"no entries":          func(p *retirer.Proof) { p.Links = nil },
		"completed too early": func(p *retirer.Proof) { p.Index = 4 },
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			p := validProof(c)
			forge(p)
			c.Assert(len(retirer.Verify(p)) > 0, quicktest.IsTrue)
		})
	}
}

func FuzzVerify(f *testing.F) {
	f.Add([]byte(`{"Caller":"x","Links":[{"Index":1,"Before":"00","Data":"gg==","After":""}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if p, err := retirer.Decode(data); err == nil {
			_ = retirer.Verify(p) // must not panic
		}
	})
}
