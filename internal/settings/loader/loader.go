// Package loader reads the settings of a daemon from an INI file and validates
// them. It reports all findings at once instead of stopping at the first.
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

// Settings holds the settings that a daemon reads at startup.
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
	// Regions lists the daemons of each region, sorted by region name. If it is
	// empty, all daemons share one replicated log.
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
	RequestMemory     int // 0: a part of SoftMemory
	Connections       int

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

// RequestBytes returns the memory for requests. Of SoftMemory, an idle daemon uses 15 MB.
func (s *Settings) RequestBytes() int {
	if s.RequestMemory > 0 {
		return s.RequestMemory
	}
	return s.SoftMemory / 4
}

// Peer is a daemon of the cell, including the local one.
type Peer struct {
	Name    registrar.DaemonName
	Address string
}

// Operator is allowed to change the configuration of the cell.
type Operator struct {
	Name        string
	TokenDigest string // hex SHA-256
}

// Load reads a settings file. The findings can contain warnings although the
// settings are valid; Findings.Err is nil in that case.
func Load(path string) (*Settings, collector.Findings) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, collector.Findings{{File: path, Text: err.Error()}}
	}
	return Parse(path, string(text))
}

// Parse parses the text of a settings file.
func Parse(path, text string) (*Settings, collector.Findings) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, []byte(text))
	if err != nil {
		return nil, collector.Findings{{File: path, Text: "not an INI file: " + err.Error()}}
	}
	p := &fileParser{path: path, file: file, lines: collector.NewLineIndex(text), settings: &Settings{}}
	p.checkUnknownNames()
	p.readFields()
	p.readPeers()
	p.readOperators()
	p.readRegions()
	p.checkCrossField()
	return p.settings, p.findings
}

type fileParser struct {
	path     string
	file     *ini.File
	lines    collector.LineIndex
	settings *Settings
	findings collector.Findings
}

func (p *fileParser) addError(section, key, text, allowed string) {
	name := section
	if key != "" {
		name += "." + key
	}
	p.findings = append(p.findings, collector.Finding{File: p.path, Line: p.lines.Line(section, key), Key: name, Text: text, Allowed: allowed})
}

func (p *fileParser) addWarning(section, text string) {
	p.findings = append(p.findings, collector.Finding{File: p.path, Line: p.lines.Line(section, ""), Key: section, Text: text, Severity: collector.Warning})
}

// checkUnknownNames reports unknown sections and keys.
func (p *fileParser) checkUnknownNames() {
	sections, keys := knownNames()
	for _, s := range p.file.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.addError(name, k.Name(), "key stands before any section", "")
			}
			continue
		}
		if !slices.Contains(sections, name) {
			p.addError(name, "", "unknown section"+suggestion(name, sections), strings.Join(sections, ", "))
			continue
		}
		if slices.Contains(userKeyedSections, name) {
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys[name], k.Name()) {
				p.addError(name, k.Name(), "unknown key"+suggestion(k.Name(), keys[name]), strings.Join(keys[name], ", "))
			}
		}
	}
}

func suggestion(name string, known []string) string {
	if nearest := collector.Nearest(name, known); nearest != "" {
		return "; did you mean " + nearest + "?"
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
	return append(sections, userKeyedSections...), keys
}

func (p *fileParser) readFields() {
	for _, f := range fields {
		text := f.defaultValue
		present := p.file.HasSection(f.section) && p.file.Section(f.section).HasKey(f.key)
		if present {
			text = strings.TrimSpace(p.file.Section(f.section).Key(f.key).String())
		}
		if text == "" && !f.required {
			continue
		}
		if text == "" {
			p.addError(f.section, f.key, "missing", f.allowed)
			continue
		}
		if err := f.set(p.settings, text); err != nil {
			p.addError(f.section, f.key, err.Error(), f.allowed)
		}
	}
}

func (p *fileParser) readPeers() {
	for _, k := range p.file.Section("Peers").Keys() {
		if err := checkAddress(k.String()); err != nil {
			p.addError("Peers", k.Name(), err.Error(), "IP:port")
			continue
		}
		p.settings.Peers = append(p.settings.Peers, Peer{daemonName(k.Name()), k.String()})
	}
	if len(p.settings.Peers) == 0 {
		p.addError("Peers", "", "no daemon is listed", "Name = IP:port for each daemon of the cell")
	}
}

func (p *fileParser) readOperators() {
	for _, k := range p.file.Section("Operators").Keys() {
		if err := checkDigest(k.String()); err != nil {
			p.addError("Operators", k.Name(), err.Error(), "the SHA-256 digest of the operator's token, in hex")
			continue
		}
		p.settings.Operators = append(p.settings.Operators, Operator{k.Name(), strings.ToLower(k.String())})
	}
}

// checkCrossField checks constraints between keys.
func (p *fileParser) checkCrossField() {
	s := p.settings
	p.checkVoters()
	if s.Name != "" && len(s.Peers) > 0 && !p.isPeer(string(s.Name)) {
		p.addError("Daemon", "Name", fmt.Sprintf("%q is not in [Peers]", s.Name), p.peerNames())
	}
	if s.ElectionMin > 0 && s.ElectionMin < 3*s.Heartbeat {
		p.addError("Timing", "ElectionMin", "shorter than three heartbeats", fmt.Sprintf("at least %s", 3*s.Heartbeat))
	}
	if s.ElectionMax > 0 && s.ElectionMax <= s.ElectionMin {
		p.addError("Timing", "ElectionMax", "not above ElectionMin", fmt.Sprintf("more than %s", s.ElectionMin))
	}
	if s.DaemonLease > 0 && s.DaemonLease < time.Second {
		p.addError("Timing", "DaemonLease", "too short", "at least 1s")
	}
	if s.TargetLease > 0 && s.TargetLease < time.Second {
		p.addError("Timing", "TargetLease", "too short", "at least 1s")
	}
	p.checkTLS()
	p.checkRegions()
	if len(s.Operators) == 0 {
		p.addWarning("Operators", "no operator is listed: anyone who reaches this daemon may change the cell")
	}
}

func (p *fileParser) checkTLS() {
	s := p.settings
	set := 0
	for _, path := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if path != "" {
			set++
		}
	}
	switch set {
	case 0:
		p.addWarning("TLS", "the daemons of this cell talk without TLS")
	case 3:
	default:
		p.addError("TLS", "", "CertFile, KeyFile and CAFile go together", "all three or none")
	}
}

func (p *fileParser) checkVoters() {
	s := p.settings
	for _, v := range s.Voters {
		if len(s.Peers) > 0 && !p.isPeer(v) {
			p.addError("Cell", "Voters", fmt.Sprintf("%q is not in [Peers]", v), p.peerNames())
		}
	}
	if n := len(s.Voters); n > 0 && n%2 == 0 && len(s.Regions) == 0 {
		p.addError("Cell", "Voters", fmt.Sprintf("%d voters survive no more losses than %d", n, n-1), "an odd number")
	}
	if slices.Contains(s.Voters, string(s.Name)) && s.DataFolder == "" {
		p.addError("Storage", "DataFolder", fmt.Sprintf("%q votes, so it needs a data folder", s.Name), "a path")
	}
}

func (p *fileParser) isPeer(name string) bool {
	return slices.ContainsFunc(p.settings.Peers, func(x Peer) bool { return string(x.Name) == name })
}

func (p *fileParser) peerNames() string {
	var names []string
	for _, x := range p.settings.Peers {
		names = append(names, string(x.Name))
	}
	return strings.Join(names, ", ")
}

// Describe returns the table of all settings as Markdown, for the operators'
// documentation.
func Describe() string {
	var b strings.Builder
	b.WriteString("| Section | Key | Default | Allowed | Effect |\n|---|---|---|---|---|\n")
	for _, f := range fields {
		fallback := f.defaultValue
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
