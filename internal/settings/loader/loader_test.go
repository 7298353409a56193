package loader_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/examples"
	"masticroad/internal/settings/declarer"
	"masticroad/internal/settings/loader"
)

// Checks that the settings and declarations of both example deployments parse
// without findings.
func TestExamplesAreAccepted(t *testing.T) {
	for _, cell := range []string{"shops", "fjordstrikk"} {
		files, err := examples.Files.ReadDir(cell)
		quicktest.Assert(t, err, quicktest.IsNil)
		daemons := 0
		for _, f := range files {
			t.Run(cell+"/"+f.Name(), func(t *testing.T) {
				c := quicktest.New(t)
				text, err := examples.Files.ReadFile(cell + "/" + f.Name())
				c.Assert(err, quicktest.IsNil)
				if strings.HasPrefix(f.Name(), "vm") {
					daemons++
					s, findings := loader.Parse(f.Name(), string(text))
					c.Assert(findings, quicktest.HasLen, 0)
					c.Assert(string(s.Name)+".ini", quicktest.Equals, f.Name())
					c.Assert(s.Peers, quicktest.HasLen, 7)
					return
				}
				d := &declarer.Declared{}
				c.Assert(d.Parse(f.Name(), string(text)), quicktest.HasLen, 0)
				steps := declarer.Plan(d, &declarer.Configuration{})
				c.Assert(len(steps) > 4, quicktest.IsTrue)
			})
		}
		quicktest.Assert(t, daemons, quicktest.Equals, 7)
	}
}

func TestParseReportsAllFindings(t *testing.T) {
	c := quicktest.New(t)
	_, findings := loader.Parse("x.ini", strings.Join([]string{
		"[Cell]", "Name = a b", "Voters = vm1, vm9, vm1, vm2",
		"[Deamon]", "Name = vm1",
		"[Peers]", "vm1 = somewhere:1", "vm2 = 127.0.0.1:7071",
		"[Limits]", "MaxBody = lots",
		"[TLS]", "CertFile = x",
	}, "\n"))
	text := findings.Error()
	for _, want := range []string{
		`x.ini:2: Cell.Name: "a b" is not a name`,
		`x.ini:3: Cell.Voters: "vm9" is not in [Peers]`,
		`4 voters survive no more losses than 3`,
		`x.ini:4: Deamon: unknown section; did you mean Daemon?`,
		`Daemon.Name: missing`,
		`x.ini:7: Peers.vm1: "somewhere:1" is not an IP number and a port`,
		`x.ini:10: Limits.MaxBody: "lots" is not a whole number`,
		`TLS: CertFile, KeyFile and CAFile go together`,
		`warning: Operators: no operator is listed`,
	} {
		c.Check(text, quicktest.Contains, want)
	}
	c.Assert(findings.Err(), quicktest.IsNotNil)
}

func FuzzParse(f *testing.F) {
	f.Add("[Cell]\nName = x\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = loader.Parse("f", text) // must not panic
	})
}
