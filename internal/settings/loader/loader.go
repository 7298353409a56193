// Package loader reads the settings of a daemon from an INI file and checks
// them. It returns all findings together.
package loader

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"masticroad/internal/control/registrar"
	"masticroad/internal/settings/collector"
)

// Settings is what a daemon is told at its start.
type Settings struct {
	Cell          string
	Voters        []string
	Name          registrar.DaemonName
	Region        registrar.RegionName
	Zone          registrar.ZoneName
	ListenHTTP    string
	ListenReplica string
	Peers         []Peer
	Operators     []Operator
	// Regions lists the daemons of each region, by the region's name. Empty:
	// all daemons keep one log.
	Regions []RegionMembers

	DataFolder      string
	SnapshotEntries int
	SnapshotBytes   int

	MaxBody           int
	MaxAnswer         int
	MaxInFlight       int
	TargetConnections int
	StopGrace         time.Duration
	BodyTimeout       time.Duration
	DrainPause        time.Duration
	SoftMemory        int

	Heartbeat    time.Duration
	ElectionMin  time.Duration
	ElectionMax  time.Duration
	ReplaceAfter time.Duration
	DaemonLease  time.Duration
	TargetLease  time.Duration
	StartWindow  time.Duration
	Transit      time.Duration

	TLSCert, TLSKey, TLSCA string

	LogLevel, LogFormat string
}

// Peer is a daemon of the cell, this one included.
type Peer struct {
	Name    registrar.DaemonName
	Address string
}

// Operator may change the cell.
type Operator struct {
	Name        string
	TokenDigest string // hex SHA-256
}

// Load reads a file. The findings may hold warnings even when the settings can
// be used; Findings.Err tells.
func Load(path string) (*Settings, collector.Findings) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, collector.Findings{{File: path, Text: err.Error()}}
	}
	return Parse(path, string(text))
}

// Parse reads the text of a settings file.
func Parse(path, text string) (*Settings, collector.Findings) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, []byte(text))
	if err != nil {
		return nil, collector.Findings{{File: path, Text: "not an INI file: " + err.Error()}}
	}
	p := &parsing{path: path, file: file, lines: collector.ReadLines(text), settings: &Settings{}}
	p.checkNames()
	p.readFields()
	p.readPeers()
	p.readOperators()
	p.readRegions()
	p.checkTogether()
	return p.settings, p.findings
}

type parsing struct {
	path     string
	file     *ini.File
	lines    collector.Lines
	settings *Settings
	findings collector.Findings
}

func (p *parsing) add(section, key, text, allowed string) {
	name := section
	if key != "" {
		name += "." + key
	}
	p.findings = append(p.findings, collector.Finding{File: p.path, Line: p.lines.Of(section, key), Key: name, Text: text, Allowed: allowed})
}

func (p *parsing) warn(section, text string) {
	p.findings = append(p.findings, collector.Finding{File: p.path, Line: p.lines.Of(section, ""), Key: section, Text: text, Severity: collector.Warning})
}

// checkNames reports sections and keys that are not in the table.
func (p *parsing) checkNames() {
	sections, keys := knownNames()
	for _, s := range p.file.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.add(name, k.Name(), "key stands before any section", "")
			}
			continue
		}
		if !slices.Contains(sections, name) {
			p.add(name, "", "unknown section"+guess(name, sections), strings.Join(sections, ", "))
			continue
		}
		if slices.Contains(openSections, name) {
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys[name], k.Name()) {
				p.add(name, k.Name(), "unknown key"+guess(k.Name(), keys[name]), strings.Join(keys[name], ", "))
			}
		}
	}
}

func guess(name string, known []string) string {
	if near := collector.Nearest(name, known); near != "" {
		return "; did you mean " + near + "?"
	}
	return ""
}

func knownNames() ([]string, map[string][]string) {
	var sections []string
	keys := make(map[string][]string)
	for _, f := range fields {
		if !slices.Contains(sections, f.section) {
			sections = append(sections, f.section)
		}
		keys[f.section] = append(keys[f.section], f.key)
	}
	return append(sections, openSections...), keys
}

func (p *parsing) readFields() {
	for _, f := range fields {
		text := f.fallback
		present := p.file.HasSection(f.section) && p.file.Section(f.section).HasKey(f.key)
		if present {
			text = strings.TrimSpace(p.file.Section(f.section).Key(f.key).String())
		}
		if text == "" && !f.required {
			continue
		}
		if text == "" {
			p.add(f.section, f.key, "missing", f.allowed)
			continue
		}
		if err := f.set(p.settings, text); err != nil {
			p.add(f.section, f.key, err.Error(), f.allowed)
		}
	}
}

func (p *parsing) readPeers() {
	for _, k := range p.file.Section("Peers").Keys() {
		if err := checkAddress(k.String()); err != nil {
			p.add("Peers", k.Name(), err.Error(), "IP:port")
			continue
		}
		p.settings.Peers = append(p.settings.Peers, Peer{nameOfDaemon(k.Name()), k.String()})
	}
	if len(p.settings.Peers) == 0 {
		p.add("Peers", "", "no daemon is listed", "Name = IP:port for each daemon of the cell")
	}
}

func (p *parsing) readOperators() {
	for _, k := range p.file.Section("Operators").Keys() {
		if err := checkDigest(k.String()); err != nil {
			p.add("Operators", k.Name(), err.Error(), "the SHA-256 digest of the operator's token, in hex")
			continue
		}
		p.settings.Operators = append(p.settings.Operators, Operator{k.Name(), strings.ToLower(k.String())})
	}
}

// checkTogether checks what concerns more than one key.
func (p *parsing) checkTogether() {
	s := p.settings
	p.checkVoters()
	if s.Name != "" && len(s.Peers) > 0 && !p.isPeer(string(s.Name)) {
		p.add("Daemon", "Name", fmt.Sprintf("%q is not in [Peers]", s.Name), p.peerNames())
	}
	if s.ElectionMin > 0 && s.ElectionMin < 3*s.Heartbeat {
		p.add("Timing", "ElectionMin", "shorter than three heartbeats", fmt.Sprintf("at least %s", 3*s.Heartbeat))
	}
	if s.ElectionMax > 0 && s.ElectionMax <= s.ElectionMin {
		p.add("Timing", "ElectionMax", "not above ElectionMin", fmt.Sprintf("more than %s", s.ElectionMin))
	}
	if s.DaemonLease > 0 && s.DaemonLease < time.Second {
		p.add("Timing", "DaemonLease", "too short", "at least 1s")
	}
	if s.TargetLease > 0 && s.TargetLease < time.Second {
		p.add("Timing", "TargetLease", "too short", "at least 1s")
	}
	p.checkTLS()
	p.checkRegions()
	if len(s.Operators) == 0 {
		p.warn("Operators", "no operator is listed: anyone who reaches this daemon may change the cell")
	}
}

func (p *parsing) checkTLS() {
	s := p.settings
	set := 0
	for _, path := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if path != "" {
			set++
		}
	}
	switch set {
	case 0:
		p.warn("TLS", "the daemons of this cell talk without TLS")
	case 3:
	default:
		p.add("TLS", "", "CertFile, KeyFile and CAFile go together", "all three or none")
	}
}

func (p *parsing) checkVoters() {
	s := p.settings
	for _, v := range s.Voters {
		if len(s.Peers) > 0 && !p.isPeer(v) {
			p.add("Cell", "Voters", fmt.Sprintf("%q is not in [Peers]", v), p.peerNames())
		}
	}
	if n := len(s.Voters); n > 0 && n%2 == 0 && len(s.Regions) == 0 {
		p.add("Cell", "Voters", fmt.Sprintf("%d voters survive no more losses than %d", n, n-1), "an odd number")
	}
	if slices.Contains(s.Voters, string(s.Name)) && s.DataFolder == "" {
		p.add("Storage", "DataFolder", fmt.Sprintf("%q votes, so it needs a data folder", s.Name), "a path")
	}
}

func (p *parsing) isPeer(name string) bool {
	return slices.ContainsFunc(p.settings.Peers, func(x Peer) bool { return string(x.Name) == name })
}

func (p *parsing) peerNames() string {
	var names []string
	for _, x := range p.settings.Peers {
		names = append(names, string(x.Name))
	}
	return strings.Join(names, ", ")
}

// Describe returns the table of all settings as Markdown, for the operators'
// page.
func Describe() string {
	var b strings.Builder
	b.WriteString("| Section | Key | Default | Allowed | Effect |\n|---|---|---|---|---|\n")
	for _, f := range fields {
		fallback := f.fallback
		if f.required {
			fallback = "(required)"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", f.section, f.key, fallback, f.allowed, f.effect)
	}
	b.WriteString("| Peers | name of a daemon | | IP:port | address of that daemon for the others |\n")
	b.WriteString("| Regions | name of a region | | names of daemons | daemons that keep a log of their own; without this section all keep one |\n")
	b.WriteString("| Operators | name of an operator | | SHA-256 in hex | digest of the operator's token |\n")
	return b.String()
}
