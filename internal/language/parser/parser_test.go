package parser_test

import (
	"errors"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/language/parser"
)

func TestErrorsNameTheColumn(t *testing.T) {
	for text, column := range map[string]int{
		"FOO":                          1,
		"SHOW":                         5,
		"SHOW Tasks WHERE":             17,
		"SHOW Tasks WHERE a ~ 3":       20,
		"RETIRE CALER x":               8,
		"SHOW Tasks LIMIT many":        18,
		"CANCEL JOB x":                 13,
		"SET POLICY Age.Step 5m":       21,
		"SHOW Tasks ORDER Since":       18,
		"CREATE CALLER x SET Region =": 29,
	} {
		t.Run(text, func(t *testing.T) {
			c := quicktest.New(t)
			_, err := parser.Parse(text)
			var syntax *parser.SyntaxError
			c.Assert(errors.As(err, &syntax), quicktest.IsTrue)
			c.Assert(syntax.Column, quicktest.Equals, column, quicktest.Commentf("%v", err))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("SHOW Tasks WHERE State = Assigned AND (Class = Urgent OR ID IN (1, 2)) GROUP BY Caller")
	f.Add("CREATE CALLER x SET Quota.CPU = 1 BASE 4 ID \"a\"")
	f.Fuzz(func(t *testing.T, text string) {
		st, err := parser.Parse(text)
		if err == nil && st == nil {
			t.Fatal("neither a statement nor an error")
		}
	})
}
