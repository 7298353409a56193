package decider

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/placer"
	"masticroad/internal/control/registrar"
)

// This file holds the policies and their definitions, which the parser of
// declarations, the operators' page and the decider share. A new policy takes a
// field in Policies and an entry in PolicyDefinitions. Operators set one with, for example,
// `SET POLICY Quarantine.Pause = 30s`.

// Policies holds the values in force.
type Policies struct {
	Placement         [registrar.ClassCount]placer.Name
	AgeStep           time.Duration
	QueuePerCaller    int
	QueuePerClass     int
	MaxAttempts       int
	RetryRatio        float64
	RetryBurst        float64
	BackoffBase       time.Duration
	BackoffMax        time.Duration
	Preemption        bool
	MaxPreemptions    int
	Borrow            bool
	HoldTime          time.Duration
	QuarantineBlame   float64
	QuarantineRate    float64
	QuarantinePause   time.Duration
	QuarantineMax     time.Duration
	QuarantineShare   float64
	KeyRetention      time.Duration
	OnceRetention     time.Duration
	JobRetention      time.Duration
	ChangeRetention   time.Duration
	LearnNeeds        bool
	DeadlineAdmission bool
	RestartPerSecond  float64
	RoundDelay        time.Duration
	MaxRepeatable     int
	UrgentWait        time.Duration
	PreemptAfter      time.Duration
}

// PolicyDefinition describes one policy.
type PolicyDefinition struct {
	Name    string
	Default string
	Effect  string
	set     func(*Policies, string) error
}

// PolicyDefinitions lists the definitions of all policies.
var PolicyDefinitions = []PolicyDefinition{
	{"Placement.Urgent", "BestFit", "how targets are ranked for urgent work", placementSetter(registrar.Urgent)},
	{"Placement.Service", "Spread", "how targets are ranked for the replicas of services", placementSetter(registrar.Service)},
	{"Placement.Standard", "BestFit", "how targets are ranked for standard work", placementSetter(registrar.Standard)},
	{"Placement.Batch", "BestFit", "how targets are ranked for batches", placementSetter(registrar.Batch)},
	{"Age.Step", "5m", "waiting time that raises work by one class; 0 turns ageing off", durationSetter(func(p *Policies) *time.Duration { return &p.AgeStep })},
	{"Queue.PerCaller", "10000", "waiting requests of one caller in a class before refusal", intSetter(func(p *Policies) *int { return &p.QueuePerCaller })},
	{"Queue.PerClass", "20000", "waiting requests of a class before refusal", intSetter(func(p *Policies) *int { return &p.QueuePerClass })},
	{"Queue.DeadlineAdmission", "true", "refuse a request whose predicted wait exceeds its deadline", boolSetter(func(p *Policies) *bool { return &p.DeadlineAdmission })},
	{"Queue.UrgentWait", "5ms", "refuse an urgent request whose predicted wait is longer; 0 admits any", durationSetter(func(p *Policies) *time.Duration { return &p.UrgentWait })},
	{"Retry.MaxAttempts", "8", "starts of one task that may fail", intSetter(func(p *Policies) *int { return &p.MaxAttempts })},
	{"Retry.Ratio", "0.2", "retries allowed for each first attempt of a caller", floatSetter(func(p *Policies) *float64 { return &p.RetryRatio })},
	{"Retry.Burst", "50", "retries that a caller may save up", floatSetter(func(p *Policies) *float64 { return &p.RetryBurst })},
	{"Retry.BackoffBase", "100ms", "upper bound of the first delay before a retry", durationSetter(func(p *Policies) *time.Duration { return &p.BackoffBase })},
	{"Retry.BackoffMax", "30s", "upper bound of any delay before a retry", durationSetter(func(p *Policies) *time.Duration { return &p.BackoffMax })},
	{"Preemption.Enabled", "true", "stop batch work when urgent work finds no room", boolSetter(func(p *Policies) *bool { return &p.Preemption })},
	{"Preemption.After", "300ms", "time for which urgent work waits before it preempts", durationSetter(func(p *Policies) *time.Duration { return &p.PreemptAfter })},
	{"Preemption.MaxPerTask", "3", "times that one task may be preempted", intSetter(func(p *Policies) *int { return &p.MaxPreemptions })},
	{"Quota.Borrow", "true", "batch work may use idle capacity above its caller's quota, and is preempted first", boolSetter(func(p *Policies) *bool { return &p.Borrow })},
	{"AllAtOnce.HoldTime", "30s", "time for which room is held for one all-at-once job", durationSetter(func(p *Policies) *time.Duration { return &p.HoldTime })},
	{"Quarantine.MinBlame", "1.5", "failures to a target's account before quarantine", floatSetter(func(p *Policies) *float64 { return &p.QuarantineBlame })},
	{"Quarantine.MaxRate", "0.5", "failures per attempt that lead to quarantine", floatSetter(func(p *Policies) *float64 { return &p.QuarantineRate })},
	{"Quarantine.Pause", "10s", "time before the first probe; doubled at each step", durationSetter(func(p *Policies) *time.Duration { return &p.QuarantinePause })},
	{"Quarantine.MaxPause", "10m", "longest time between probes", durationSetter(func(p *Policies) *time.Duration { return &p.QuarantineMax })},
	{"Quarantine.MaxShare", "0.3", "share of an availability zone's targets that may be in quarantine", floatSetter(func(p *Policies) *float64 { return &p.QuarantineShare })},
	{"Retention.Repeatable", "2m", "time for which the key of an ended repeatable request is known", durationSetter(func(p *Policies) *time.Duration { return &p.KeyRetention })},
	{"Retention.MaxRepeatable", "10000", "ended repeatable requests whose keys are known; the oldest are forgotten first", intSetter(func(p *Policies) *int { return &p.MaxRepeatable })},
	{"Retention.Once", "840h", "time for which the key and answer of a request that is not repeatable are known", durationSetter(func(p *Policies) *time.Duration { return &p.OnceRetention })},
	{"Retention.Jobs", "168h", "time for which an ended job and its tasks are known", durationSetter(func(p *Policies) *time.Duration { return &p.JobRetention })},
	{"Retention.Changes", "168h", "time for which a change id is known", durationSetter(func(p *Policies) *time.Duration { return &p.ChangeRetention })},
	{"Learn.Needs", "true", "charge a task with the learned use of its kind where that is above its declared need", boolSetter(func(p *Policies) *bool { return &p.LearnNeeds })},
	{"Round.Delay", "5ms", "least time between two rounds of decisions; a longer one costs waiting time and saves control traffic", durationSetter(func(p *Policies) *time.Duration { return &p.RoundDelay })},
	{"Restart.PerSecond", "200", "tasks of lost targets that are queued again in a second", floatSetter(func(p *Policies) *float64 { return &p.RestartPerSecond })},
}

func placementSetter(c registrar.Class) func(*Policies, string) error {
	return func(p *Policies, text string) error {
		if !placer.HasPolicy(placer.Name(text)) {
			return fmt.Errorf("%q is not one of %s", text, strings.Join(placer.Names(), ", "))
		}
		p.Placement[c] = placer.Name(text)
		return nil
	}
}

func durationSetter(field func(*Policies) *time.Duration) func(*Policies, string) error {
	return func(p *Policies, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("%q is not a duration such as 30s or 5m", text)
		}
		*field(p) = d
		return nil
	}
}

func intSetter(field func(*Policies) *int) func(*Policies, string) error {
	return func(p *Policies, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return fmt.Errorf("%q is not a whole number of at least 0", text)
		}
		*field(p) = n
		return nil
	}
}

func floatSetter(field func(*Policies) *float64) func(*Policies, string) error {
	return func(p *Policies, text string) error {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || f < 0 || f > 1e9 {
			return fmt.Errorf("%q is not a number of at least 0", text)
		}
		*field(p) = f
		return nil
	}
}

func boolSetter(field func(*Policies) *bool) func(*Policies, string) error {
	return func(p *Policies, text string) error {
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is not true or false", text)
		}
		*field(p) = b
		return nil
	}
}

// CheckPolicy returns an error unless name is a policy and value is valid for
// it.
func CheckPolicy(name, value string) error {
	for _, definition := range PolicyDefinitions {
		if strings.EqualFold(definition.Name, name) {
			var p Policies
			if err := definition.set(&p, value); err != nil {
				return fmt.Errorf("policy %s: %w", definition.Name, err)
			}
			return nil
		}
	}
	return fmt.Errorf("policy %q does not exist", name)
}

// CanonicalPolicy returns the name of a policy in its canonical spelling.
func CanonicalPolicy(name string) string {
	for _, definition := range PolicyDefinitions {
		if strings.EqualFold(definition.Name, name) {
			return definition.Name
		}
	}
	return name
}

// EffectivePolicies returns the values in force: the given values, and defaults
// for those that are missing or invalid.
func EffectivePolicies(values map[string]string) Policies {
	var p Policies
	for _, definition := range PolicyDefinitions {
		text, ok := values[definition.Name]
		if !ok || definition.set(&p, text) != nil {
			_ = definition.set(&p, definition.Default) // defaults are valid
		}
	}
	return p
}
