// Package declarer parses declaration files, which are kept in version control,
// and compares them with the active configuration.
package declarer

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/language/evaluator"
	"masticroad/internal/settings/collector"
)

// Declared is the content of declaration files.
type Declared struct {
	Callers  []registrar.Caller
	Jobs     []registrar.Job
	Policies []registrar.Policy
}

// Configuration is the active configuration as a daemon reports it.
type Configuration struct {
	Region   registrar.RegionName   `json:",omitempty"`
	Regions  []registrar.RegionName `json:",omitempty"` // of the cell; empty if all daemons share one log
	Revision registrar.Revision
	Index    registrar.Index
	Callers  []registrar.Caller
	Jobs     []registrar.Job
	Policies []registrar.Policy
}

// Step is one line of a plan.
type Step struct {
	Sign string // + create, ~ change, - cancel
	Text string
	Op   registrar.Op
}

// Load reads declaration files and returns the findings of all of them.
func Load(paths []string) (*Declared, collector.Findings) {
	d := &Declared{}
	var findings collector.Findings
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			findings = append(findings, collector.Finding{File: path, Text: err.Error()})
			continue
		}
		findings = append(findings, d.Parse(path, string(data))...)
	}
	return d, findings
}

// Parse parses the text of one file and adds its declarations.
func (d *Declared) Parse(path, text string) collector.Findings {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, []byte(text))
	if err != nil {
		return collector.Findings{{File: path, Text: "not an INI file: " + err.Error()}}
	}
	p := &fileParser{path: path, lines: collector.NewLineIndex(text), out: d}
	for _, s := range file.Sections() {
		if s.Name() != ini.DefaultSection || len(s.Keys()) > 0 {
			p.parseSection(s)
		}
	}
	return p.findings
}

type fileParser struct {
	path     string
	lines    collector.LineIndex
	out      *Declared
	findings collector.Findings
}

const sectionSyntax = "[Policies], [Caller name], [Service caller/name], [Batch caller/name], [AllAtOnce caller/name]"

func (p *fileParser) addError(section, key, text, allowed string) {
	name := section
	if key != "" {
		name += "." + key
	}
	p.findings = append(p.findings, collector.Finding{File: p.path, Line: p.lines.Line(section, key), Key: name, Text: text, Allowed: allowed})
}

func (p *fileParser) parseSection(s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	name = strings.TrimSpace(name)
	switch kind {
	case "Policies":
		p.parsePolicies(s)
	case "Caller":
		p.parseCaller(s, name)
	case "Service", "Batch", "AllAtOnce":
		p.parseJob(s, kind, name)
	default:
		p.addError(s.Name(), "", "unknown section", sectionSyntax)
	}
}

func (p *fileParser) parsePolicies(s *ini.Section) {
	for _, k := range s.Keys() {
		if err := decider.CheckPolicy(k.Name(), k.String()); err != nil {
			p.addError(s.Name(), k.Name(), err.Error(), "")
			continue
		}
		p.out.Policies = append(p.out.Policies, registrar.Policy{Name: decider.CanonicalPolicy(k.Name()), Value: k.String()})
	}
}

func (p *fileParser) parseCaller(s *ini.Section, name string) {
	if !decider.ValidName(name) {
		p.addError(s.Name(), "", fmt.Sprintf("%q is not a name of a caller", name), "letters, digits, dots, dashes")
		return
	}
	c := registrar.Caller{Name: registrar.CallerName(name), Class: registrar.Standard}
	for _, k := range s.Keys() {
		if err := evaluator.SetCallerField(&c, k.Name(), k.String()); err != nil {
			p.addError(s.Name(), k.Name(), err.Error(), "")
		}
	}
	if c.TokenDigest == "" {
		p.addError(s.Name(), "TokenDigest", "missing", "the SHA-256 digest of the caller's token, in hex")
	}
	if slices.ContainsFunc(p.out.Callers, func(o registrar.Caller) bool { return o.Name == c.Name }) {
		p.addError(s.Name(), "", "declared twice", "")
	}
	p.out.Callers = append(p.out.Callers, c)
}

func (p *fileParser) parseJob(s *ini.Section, kind, name string) {
	caller, job, ok := strings.Cut(name, "/")
	if !ok || !decider.ValidName(caller) || !decider.ValidName(job) {
		p.addError(s.Name(), "", fmt.Sprintf("%q does not name a caller and a job", name), sectionSyntax)
		return
	}
	k, _ := registrar.ParseKind(kind)
	j := registrar.Job{Name: registrar.JobName(job), Caller: registrar.CallerName(caller), Kind: k, Count: 1, Class: registrar.Batch}
	if k == registrar.KindService {
		j.Class = registrar.Service
	}
	for _, key := range s.Keys() {
		if err := evaluator.SetJobField(&j, key.Name(), key.String()); err != nil {
			p.addError(s.Name(), key.Name(), err.Error(), "")
		}
	}
	if j.Need.CPU <= 0 || j.Need.Memory <= 0 {
		p.addError(s.Name(), "", "CPU and Memory are required", "whole numbers above 0")
	}
	j.Digest = decider.DigestJob(&j)
	p.out.Jobs = append(p.out.Jobs, j)
}

// In returns the part of the declarations that belongs to one region: the
// callers whose home region it is and their jobs. Callers that name no region belong to
// fallback.
func (d *Declared) In(region, fallback registrar.RegionName) *Declared {
	out := &Declared{}
	for _, c := range d.Callers {
		if c.Region == region || c.Region == "" && region == fallback {
			out.Callers = append(out.Callers, c)
		}
	}
	for _, j := range d.Jobs {
		if declaresCaller(out, j.Caller) {
			out.Jobs = append(out.Jobs, j)
		}
	}
	return out
}

// Plan returns the steps that change the active configuration into the declared
// one. Undeclared callers are kept, since retirement cannot be undone; undeclared
// services of declared callers are canceled.
func Plan(d *Declared, active *Configuration) []Step {
	steps := planPolicies(d, active)
	steps = append(steps, planCallers(d, active)...)
	return append(steps, planJobs(d, active)...)
}

func planPolicies(d *Declared, active *Configuration) []Step {
	var steps []Step
	for i := range d.Policies {
		p := d.Policies[i]
		if slices.Contains(active.Policies, p) {
			continue
		}
		steps = append(steps, Step{"~", fmt.Sprintf("policy %s = %s", p.Name, p.Value), registrar.Op{PutPolicy: &p}})
	}
	return steps
}

func planCallers(d *Declared, active *Configuration) []Step {
	var steps []Step
	for i := range d.Callers {
		c := d.Callers[i]
		at := slices.IndexFunc(active.Callers, func(o registrar.Caller) bool { return o.Name == c.Name })
		if at < 0 {
			steps = append(steps, Step{"+", "caller " + string(c.Name), registrar.Op{PutCaller: &c}})
			continue
		}
		if old := declaredFields(active.Callers[at]); !reflect.DeepEqual(old, c) {
			steps = append(steps, Step{"~", fmt.Sprintf("caller %s (%s)", c.Name, describeDiff(old, c)), registrar.Op{PutCaller: &c}})
		}
	}
	return steps
}

func declaredFields(c registrar.Caller) registrar.Caller {
	c.State, c.Since, c.Proof = 0, 0, nil
	return c
}

// describeDiff lists the fields in which two records differ, with both values.
func describeDiff(a, b any) string {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	var out []string
	for i := range va.NumField() {
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if !reflect.DeepEqual(x, y) {
			out = append(out, fmt.Sprintf("%s: %v to %v", va.Type().Field(i).Name, x, y))
		}
	}
	return strings.Join(out, ", ")
}

func planJobs(d *Declared, active *Configuration) []Step {
	var steps []Step
	for i := range d.Jobs {
		j := d.Jobs[i]
		at := slices.IndexFunc(active.Jobs, func(o registrar.Job) bool { return o.KeyOf() == j.KeyOf() })
		title := fmt.Sprintf("%s %s/%s", strings.ToLower(j.Kind.String()), j.Caller, j.Name)
		if at < 0 {
			steps = append(steps, Step{"+", title, registrar.Op{PutJob: &j}})
			continue
		}
		old := active.Jobs[at]
		if j.Kind == registrar.KindService && (old.Digest != j.Digest || old.Count != j.Count) {
			steps = append(steps, Step{"~", fmt.Sprintf("%s (Count: %d to %d)", title, old.Count, j.Count), registrar.Op{PutJob: &j}})
		}
	}
	for _, old := range active.Jobs {
		key := old.KeyOf()
		declared := slices.ContainsFunc(d.Jobs, func(o registrar.Job) bool { return o.KeyOf() == key })
		if !declared && old.Kind == registrar.KindService && !old.Canceled && declaresCaller(d, old.Caller) {
			steps = append(steps, Step{"-", fmt.Sprintf("service %s/%s", old.Caller, old.Name), registrar.Op{CancelJob: &key}})
		}
	}
	return steps
}

func declaresCaller(d *Declared, name registrar.CallerName) bool {
	return slices.ContainsFunc(d.Callers, func(c registrar.Caller) bool { return c.Name == name })
}
