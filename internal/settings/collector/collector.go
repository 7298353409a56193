// Package collector collects findings about configuration files with their file and
// line, so that all problems of a file are reported at once.
package collector

import (
	"bufio"
	"fmt"
	"slices"
	"strings"
)

// This file holds findings, the line index of INI files and suggestions for
// misspelled names. A finding is printed as:
//
//	cell.ini:12: Timing.Heartbeet: unknown key; did you mean Heartbeat?

// Severity says whether a finding makes a file unusable.
type Severity int

// The severities.
const (
	Error Severity = iota
	Warning
)

// Finding is one problem in a file.
type Finding struct {
	File     string
	Line     int    // 0: the file as a whole
	Key      string // section and key
	Text     string // what is wrong
	Allowed  string // what is allowed
	Severity Severity
}

// String formats the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Severity == Warning {
		b.WriteString("warning: ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Text)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Findings is a list of findings. Err reports whether any of them
// is an error.
type Findings []Finding

// Error formats all findings, one a line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when none is worse than a
// warning.
func (fs Findings) Err() error {
	if slices.ContainsFunc(fs, func(f Finding) bool { return f.Severity == Error }) {
		return fs
	}
	return nil
}

// LineIndex maps the sections and keys of an INI text to line numbers.
type LineIndex struct {
	byKey map[string]int
}

// NewLineIndex records the line of the first occurrence of each section and key.
func NewLineIndex(text string) LineIndex {
	l := LineIndex{byKey: make(map[string]int)}
	section := ""
	s := bufio.NewScanner(strings.NewReader(text))
	s.Buffer(nil, len(text)+1)
	for n := 1; s.Scan(); n++ {
		line := strings.TrimSpace(s.Text())
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			l.record(section, "", n)
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") && !strings.HasPrefix(line, ";") {
			l.record(section, strings.TrimSpace(key), n)
		}
	}
	return l
}

func (l LineIndex) record(section, key string, n int) {
	if _, ok := l.byKey[section+"\x00"+key]; !ok {
		l.byKey[section+"\x00"+key] = n
	}
}

// Line returns the line of a key, of its section when the key is absent, or 0.
func (l LineIndex) Line(section, key string) int {
	if n := l.byKey[section+"\x00"+key]; n > 0 {
		return n
	}
	return l.byKey[section+"\x00"]
}

// Nearest returns the known name with the smallest edit distance to name, or
// an empty string if none is close enough.
func Nearest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		prev := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, prev+cost)
			prev, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
