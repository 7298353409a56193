package evaluator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/language/parser"
)

// This file turns commands into the steps of a change. A CHANGE starts from
// what the tables hold, so fields that it does not name stay. Example: `CHANGE
// CALLER x SET Weight = 2` gives one PutCaller step with the old quota.

// IsChange reports whether a statement changes the cell's configuration.
func IsChange(st *parser.Statement) bool {
	c := &st.Command
	return c.Create != nil || c.Change != nil || c.Set != nil || c.Cancel != nil || c.Drain != nil || c.Retire != nil
}

// Ops returns the steps of a command.
func Ops(st *parser.Statement, s *registrar.State) ([]registrar.Op, error) {
	c := &st.Command
	switch {
	case c.Create != nil:
		return create(c.Create, s)
	case c.Change != nil:
		return alter(c.Change, s)
	case c.Set != nil:
		name := decider.CanonicalPolicy(c.Set.Name)
		return one(registrar.Op{PutPolicy: &registrar.Policy{Name: name, Value: c.Set.Value.Text}}), nil
	case c.Cancel != nil && c.Cancel.Task != 0:
		return one(registrar.Op{CancelTask: registrar.TaskID(c.Cancel.Task)}), nil
	case c.Cancel != nil:
		key := registrar.JobKey{Caller: registrar.CallerName(c.Cancel.Caller), Name: registrar.JobName(c.Cancel.Job)}
		return one(registrar.Op{CancelJob: &key}), nil
	case c.Drain != nil:
		on := strings.EqualFold(c.Drain.Verb, "DRAIN")
		return one(registrar.Op{DrainTarget: &registrar.TargetMark{Name: registrar.TargetName(c.Drain.Target), On: on}}), nil
	case c.Retire != nil && strings.EqualFold(c.Retire.Kind, "CALLER"):
		return one(registrar.Op{RetireCaller: registrar.CallerName(c.Retire.Name)}), nil
	case c.Retire != nil:
		return one(registrar.Op{RetireTarget: registrar.TargetName(c.Retire.Name)}), nil
	}
	return nil, fmt.Errorf("the statement is not a change")
}

func one(op registrar.Op) []registrar.Op { return []registrar.Op{op} }

func create(c *parser.Create, s *registrar.State) ([]registrar.Op, error) {
	if strings.EqualFold(c.Kind, "CALLER") {
		if s.Callers[registrar.CallerName(c.Name)] != nil {
			return nil, fmt.Errorf("caller %q exists; use CHANGE CALLER", c.Name)
		}
		return putCaller(registrar.Caller{Name: registrar.CallerName(c.Name), Class: registrar.Standard}, c.Set)
	}
	j, err := newJob(c.Kind, c.Name, c.Caller)
	if err != nil {
		return nil, err
	}
	if s.Jobs[j.KeyOf()] != nil {
		return nil, fmt.Errorf("job %q of caller %q exists; use CHANGE", c.Name, c.Caller)
	}
	return putJob(j, c.Set)
}

func alter(c *parser.Alter, s *registrar.State) ([]registrar.Op, error) {
	if strings.EqualFold(c.Kind, "CALLER") {
		old := s.Callers[registrar.CallerName(c.Name)]
		if old == nil {
			return nil, fmt.Errorf("caller %q does not exist", c.Name)
		}
		return putCaller(*old, c.Set)
	}
	j, err := newJob(c.Kind, c.Name, c.Caller)
	if err != nil {
		return nil, err
	}
	old := s.Jobs[j.KeyOf()]
	if old == nil {
		return nil, fmt.Errorf("job %q of caller %q does not exist", c.Name, c.Caller)
	}
	return putJob(*old, c.Set)
}

func newJob(kind, name, caller string) (registrar.Job, error) {
	if caller == "" {
		return registrar.Job{}, fmt.Errorf("a job belongs to a caller: add FOR and the caller's name")
	}
	k, err := registrar.ParseKind(kind)
	if err != nil {
		return registrar.Job{}, err
	}
	j := registrar.Job{Name: registrar.JobName(name), Caller: registrar.CallerName(caller), Kind: k, Count: 1, Class: registrar.Batch}
	if k == registrar.KindService {
		j.Class = registrar.Service
	}
	return j, nil
}

func putCaller(c registrar.Caller, set []parser.Assignment) ([]registrar.Op, error) {
	for _, a := range set {
		if err := SetCallerField(&c, a.Field, a.Value.Text); err != nil {
			return nil, err
		}
	}
	return one(registrar.Op{PutCaller: &c}), nil
}

func putJob(j registrar.Job, set []parser.Assignment) ([]registrar.Op, error) {
	for _, a := range set {
		if err := SetJobField(&j, a.Field, a.Value.Text); err != nil {
			return nil, err
		}
	}
	j.Digest = decider.DigestJob(&j)
	return one(registrar.Op{PutJob: &j}), nil
}

// CallerFields names the fields of a caller that a declaration may set.
var CallerFields = []string{"Region", "Quota.CPU", "Quota.Memory", "Quota.Accelerators", "Weight", "TokenDigest", "Class", "QueueBound"}

// SetCallerField sets one field of a caller from its text.
func SetCallerField(c *registrar.Caller, field, value string) error {
	switch strings.ToLower(field) {
	case "region":
		c.Region = registrar.RegionName(value)
		return nil
	case "quota.cpu":
		return setInt(&c.Quota.CPU, field, value)
	case "quota.memory":
		return setInt(&c.Quota.Memory, field, value)
	case "quota.accelerators":
		return setInt(&c.Quota.Accelerators, field, value)
	case "weight":
		return setInt(&c.Weight, field, value)
	case "queuebound":
		return setInt(&c.QueueBound, field, value)
	case "tokendigest":
		if len(value) != 64 || strings.Trim(value, "0123456789abcdef") != "" {
			return fmt.Errorf("TokenDigest: %q is not a SHA-256 digest in hex", value)
		}
		c.TokenDigest = value
		return nil
	case "class":
		return setParsed(&c.Class, registrar.ParseClass, value)
	}
	return fmt.Errorf("a caller has no field %q%s; known: %s", field, guess(field, CallerFields), strings.Join(CallerFields, ", "))
}

// JobFields names the fields of a job that a declaration may set.
var JobFields = []string{"CPU", "Memory", "Accelerators", "Count", "Class", "Payload", "RunTime", "Retries", "Region", "Repeatable"}

// SetJobField sets one field of a job from its text.
func SetJobField(j *registrar.Job, field, value string) error {
	switch strings.ToLower(field) {
	case "cpu":
		return setInt(&j.Need.CPU, field, value)
	case "memory":
		return setInt(&j.Need.Memory, field, value)
	case "accelerators":
		return setInt(&j.Need.Accelerators, field, value)
	case "count":
		return setInt(&j.Count, field, value)
	case "retries":
		return setInt(&j.Retries, field, value)
	case "class":
		return setParsed(&j.Class, registrar.ParseClass, value)
	case "payload":
		j.Payload = []byte(value)
		return nil
	case "runtime":
		return setParsed(&j.RunTime, time.ParseDuration, value)
	case "region":
		j.Region = registrar.RegionName(value)
		return nil
	case "repeatable":
		repeatable, err := strconv.ParseBool(value)
		j.Once = !repeatable
		return err
	}
	return fmt.Errorf("a job has no field %q%s; known: %s", field, guess(field, JobFields), strings.Join(JobFields, ", "))
}

func setInt[N ~int | ~int64](to *N, field, value string) error {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("%s: %q is not a whole number of at least 0", field, value)
	}
	*to = N(n)
	return nil
}

func setParsed[T any](to *T, parse func(string) (T, error), value string) error {
	v, err := parse(value)
	if err != nil {
		return err
	}
	*to = v
	return nil
}
