package scanner_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/peer/scanner"
)

// Commas and brackets in strings are no entries; a text that is taken for a longer one
// is refused.
func TestEntriesAndValues(t *testing.T) {
	for text, want := range map[string][2]int{
		`[]`:                              {1, 2},
		`[1,2,3]`:                         {3, 4},
		`[{"a":1,"b":[1,2]},{}]`:          {2, 8},
		`["a,b","c\",[{\\",""]`:           {3, 4},
		`{"spec":"[{,","phases":[{},{}]}`: {2, 7},
	} {
		c := quicktest.New(t)
		c.Check(scanner.Entries([]byte(text)), quicktest.Equals, want[0], quicktest.Commentf(text))
		c.Check(scanner.Values([]byte(text)), quicktest.Equals, want[1], quicktest.Commentf(text))
	}
}
