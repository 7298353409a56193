// Package caller serves callers over HTTP: requests with typed outcomes, jobs,
// status and cancellation.
package caller

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/scanner"
	"masticroad/internal/settings/collector"
)

// This file parses the bodies of requests and jobs by tables of their fields, and
// collects all findings about a body. A request looks like this:
//
//	{"Key": "q-17", "Need": {"MilliCPU": 500, "MemoryMiB": 256}, "Class": "Urgent",
//	 "Deadline": "2s", "Repeatable": true, "Body": {"Item": "coat"}}

// Finding is one error in a body.
type Finding struct {
	Field   string
	Text    string
	Allowed string `json:",omitempty"`
}

// Limits of fields.
const (
	maxKeyLength    = 200
	maxDeadline     = 7 * 24 * time.Hour
	maxMilliCPU     = 1 << 24
	maxMemoryMiB    = 1 << 30
	maxAccelerators = 1 << 16
	maxRetries      = 100
	maxFields       = 64 // of a body; each unknown one is a finding
)

type bodyField[T any] struct {
	name    string
	allowed string
	set     func(to *T, raw json.RawMessage) error
}

// requestBody holds the parsed body of a request.
type requestBody struct {
	admit       decider.Admit
	hasClass    bool
	timeLeft    time.Duration
	body        []byte
	contentType string
}

var requestFields = []bodyField[requestBody]{
	{"Key", "1 to 200 bytes", func(r *requestBody, raw json.RawMessage) error { return setKey(&r.admit.Key, raw) }},
	{"Need", `{"MilliCPU": n, "MemoryMiB": n, "Accelerators": n}`, func(r *requestBody, raw json.RawMessage) error { return setNeed(&r.admit.Need, raw) }},
	{"Class", "Urgent, Service, Standard, Batch", setRequestClass},
	{"Deadline", `a duration such as "2s", at most 168h`, func(r *requestBody, raw json.RawMessage) error { return setDuration(&r.timeLeft, raw) }},
	{"Repeatable", "true or false", func(r *requestBody, raw json.RawMessage) error { return setRepeatable(&r.admit.Once, raw) }},
	{"RunTime", `a duration such as "30s"`, func(r *requestBody, raw json.RawMessage) error { return setDuration(&r.admit.RunTime, raw) }},
	{"Region", "a name", func(r *requestBody, raw json.RawMessage) error { return setText(&r.admit.Region, raw) }},
	{"Body", "any JSON value", setJSONBody},
	{"BodyBase64", "bytes in base64, in place of Body", setBinaryBody},
}

var jobFields = []bodyField[registrar.Job]{
	{"Name", "letters, digits, dots, dashes", setJobName},
	{"Kind", "Service, Batch, AllAtOnce", setJobKind},
	{"Class", "Urgent, Service, Standard, Batch", func(j *registrar.Job, raw json.RawMessage) error { return setClass(&j.Class, raw) }},
	{"Need", `{"MilliCPU": n, "MemoryMiB": n, "Accelerators": n}`, func(j *registrar.Job, raw json.RawMessage) error { return setNeed(&j.Need, raw) }},
	{"Count", "1 to 10000", func(j *registrar.Job, raw json.RawMessage) error {
		return setNumber(&j.Count, 1, decider.MaxTasksPerJob, raw)
	}},
	{"Payload", "text", func(j *registrar.Job, raw json.RawMessage) error { return setText(&j.Payload, raw) }},
	{"RunTime", `a duration such as "30m"`, func(j *registrar.Job, raw json.RawMessage) error { return setDuration(&j.RunTime, raw) }},
	{"Retries", "0 to 100", func(j *registrar.Job, raw json.RawMessage) error { return setNumber(&j.Retries, 0, maxRetries, raw) }},
	{"Repeatable", "true or false", func(j *registrar.Job, raw json.RawMessage) error { return setRepeatable(&j.Once, raw) }},
	{"Region", "a name", func(j *registrar.Job, raw json.RawMessage) error { return setText(&j.Region, raw) }},
}

// readFields reads a JSON object by a table of fields.
func readFields[T any](data []byte, fields []bodyField[T], required []string, to *T) []Finding {
	if n := scanner.Entries(data); n > maxFields {
		return []Finding{{"", fmt.Sprintf("%d fields", n), fmt.Sprintf("at most %d fields", maxFields)}}
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return []Finding{{"", "not a JSON object: " + err.Error(), ""}}
	}
	var findings []Finding
	var names []string
	for _, f := range fields {
		names = append(names, f.name)
		value, ok := raw[f.name]
		if !ok {
			continue
		}
		delete(raw, f.name)
		if err := f.set(to, value); err != nil {
			findings = append(findings, Finding{f.name, err.Error(), f.allowed})
		}
	}
	for _, name := range required {
		if !bytes.Contains(data, []byte(`"`+name+`"`)) {
			findings = append(findings, Finding{name, "missing", ""})
		}
	}
	for name := range raw {
		text := "unknown field"
		if near := collector.Nearest(name, names); near != "" {
			text += "; did you mean " + near + "?"
		}
		findings = append(findings, Finding{name, text, strings.Join(names, ", ")})
	}
	return findings
}

func setText[S ~string | ~[]byte](to *S, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("not a text")
	}
	*to = S(text)
	return nil
}

func setKey(to *registrar.Key, raw json.RawMessage) error {
	if err := setText(to, raw); err != nil {
		return err
	}
	if len(*to) == 0 || len(*to) > maxKeyLength {
		return fmt.Errorf("a key of %d bytes", len(*to))
	}
	return nil
}

func setNumber[N ~int | ~int64](to *N, least, most int64, raw json.RawMessage) error {
	var n int64
	if err := json.Unmarshal(raw, &n); err != nil {
		return fmt.Errorf("not a whole number")
	}
	if n < least || n > most {
		return fmt.Errorf("%d is not between %d and %d", n, least, most)
	}
	*to = N(n)
	return nil
}

func setNeed(to *registrar.Need, raw json.RawMessage) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	switch {
	case to.CPU <= 0 || to.CPU > maxMilliCPU:
		return fmt.Errorf("processors of %d is not between 1 and %d", to.CPU, maxMilliCPU)
	case to.Memory <= 0 || to.Memory > maxMemoryMiB:
		return fmt.Errorf("memory of %d is not between 1 and %d", to.Memory, maxMemoryMiB)
	case to.Accelerators < 0 || to.Accelerators > maxAccelerators:
		return fmt.Errorf("accelerators of %d is not between 0 and %d", to.Accelerators, maxAccelerators)
	}
	return nil
}

func setDuration(to *time.Duration, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("not a duration in quotes")
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return fmt.Errorf("%q is not a duration between 0 and %s", text, maxDeadline)
	}
	*to = d
	return nil
}

func setClass(to *registrar.Class, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("not a text")
	}
	c, err := registrar.ParseClass(text)
	*to = c
	return err
}

func setRequestClass(r *requestBody, raw json.RawMessage) error {
	r.hasClass = true
	return setClass(&r.admit.Class, raw)
}

func setRepeatable(once *bool, raw json.RawMessage) error {
	var repeatable bool
	if err := json.Unmarshal(raw, &repeatable); err != nil {
		return fmt.Errorf("neither true nor false")
	}
	*once = !repeatable
	return nil
}

func setJSONBody(r *requestBody, raw json.RawMessage) error {
	r.body, r.contentType = raw, "application/json"
	return nil
}

func setBinaryBody(r *requestBody, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("not a text")
	}
	body, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return fmt.Errorf("not base64")
	}
	r.body, r.contentType = body, "application/octet-stream"
	return nil
}

func setJobName(j *registrar.Job, raw json.RawMessage) error {
	if err := setText(&j.Name, raw); err != nil {
		return err
	}
	if !decider.ValidName(string(j.Name)) {
		return fmt.Errorf("%q is not a name", j.Name)
	}
	return nil
}

func setJobKind(j *registrar.Job, raw json.RawMessage) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("not a text")
	}
	k, err := registrar.ParseKind(text)
	if err == nil && k == registrar.KindRequest {
		err = fmt.Errorf("a request is not a job")
	}
	j.Kind = k
	return err
}
