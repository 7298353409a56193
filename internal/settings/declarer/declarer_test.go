package declarer_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/settings/declarer"
)

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// Checks that a plan is empty once the previous plan has been applied.
func TestPlanIsEmptyAfterApply(t *testing.T) {
	c := quicktest.New(t)
	d := &declarer.Declared{}
	findings := d.Parse("a.ini", "[Policies]\nAge.Step = 3m\n[Caller shop]\nTokenDigest = "+digest+"\n[Service shop/web]\nCPU = 1\nMemory = 1\nCount = 2\n")
	c.Assert(findings, quicktest.HasLen, 0)
	have := &declarer.Configuration{}
	steps := declarer.Plan(d, have)
	c.Assert(steps, quicktest.HasLen, 3)
	for _, st := range steps {
		switch {
		case st.Op.PutCaller != nil:
			have.Callers = append(have.Callers, *st.Op.PutCaller)
		case st.Op.PutJob != nil:
			have.Jobs = append(have.Jobs, *st.Op.PutJob)
		case st.Op.PutPolicy != nil:
			have.Policies = append(have.Policies, *st.Op.PutPolicy)
		}
	}
	c.Assert(declarer.Plan(d, have), quicktest.HasLen, 0)
	// A service that is no longer declared is canceled; its caller is not retired.
	d.Jobs = nil
	steps = declarer.Plan(d, have)
	c.Assert(steps, quicktest.HasLen, 1)
	c.Assert(*steps[0].Op.CancelJob, quicktest.Equals, registrar.JobKey{Caller: "shop", Name: "web"})
}

func FuzzParse(f *testing.F) {
	f.Add("[Caller x]\nTokenDigest = 1\n[Batch x/y]\nCPU = -1\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_ = (&declarer.Declared{}).Parse("f", text) // must not panic
	})
}
