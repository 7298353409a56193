package definer

import (
	"fmt"
	"strings"
	"time"
)

// This file validates declarations. The faults of a declaration are reported
// together, each with the path of the faulty field.

// Limits of a job. They keep the replicated state of one job below about 1 MB.
const (
	MaxSpecBytes   = 4000  // size promised to callers
	MaxSteps       = 64    // per job
	MaxTasks       = 4096  // per occurrence, over all steps
	MaxOccurrences = 10000 // per job
	MaxEstimate    = 31 * 24 * time.Hour
	maxNameLength  = 128 // bytes, of labels, racks and images
)

// Finding describes one fault of a declaration.
type Finding struct {
	Field string // path of the faulty field, such as "Steps[2].DependsOn[0]"
	Text  string // such as "step 5 is not an earlier step"
}

// String returns the path and the text of f on one line.
func (f Finding) String() string { return f.Field + ": " + f.Text }

// Findings lists the faults of a declaration. It implements error.
type Findings []Finding

// Error returns all findings, separated by semicolons.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "; ")
}

// Add appends a finding with a formatted text.
func (fs *Findings) Add(place, format string, args ...any) {
	*fs = append(*fs, Finding{place, fmt.Sprintf(format, args...)})
}

// CheckJob returns the faults of a job. It does not check whether any target has
// the resources that the job needs.
func CheckJob(j *Job) Findings {
	var fs Findings
	if len(j.Spec) > MaxSpecBytes {
		fs.Add("Spec", "has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		fs.Add("Steps", "has %d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
		return fs
	}
	tasks := 0
	for i := range j.Steps {
		checkStep(&fs, i, &j.Steps[i])
		tasks += min(max(j.Steps[i].Count, 0), MaxTasks+1)
	}
	if tasks > MaxTasks {
		fs.Add("Steps", "have more than %d tasks", MaxTasks)
	}
	checkRepeat(&fs, j)
	return fs
}

func checkStep(fs *Findings, i int, s *Step) {
	place := fmt.Sprintf("Steps[%d]", i)
	if s.Count < 1 || s.Count > MaxTasks {
		fs.Add(place+".Count", "is %d, 1 to %d are allowed", s.Count, MaxTasks)
	}
	if s.Need.CPU < 0 || s.Need.Memory < 0 || s.Need.Accelerators < 0 {
		fs.Add(place+".Need", "%s has a negative amount", s.Need)
	}
	if s.Estimate < 0 || s.Estimate > MaxEstimate {
		fs.Add(place+".Estimate", "is %s, 0 to %s are allowed", s.Estimate, MaxEstimate)
	}
	if s.MaxPerTarget < 0 || s.MaxUnavailable < 0 || s.TailLatencyLimit < 0 {
		fs.Add(place, "has a negative bound")
	}
	if len(s.DependsOn) > MaxSteps {
		fs.Add(place+".DependsOn", "has %d entries, at most %d are allowed", len(s.DependsOn), MaxSteps)
		return
	}
	for k, d := range s.DependsOn {
		if d < 0 || d >= i {
			fs.Add(fmt.Sprintf("%s.DependsOn[%d]", place, k), "step %d is not an earlier step", d)
		}
	}
	for _, name := range []string{s.Label, s.Rack, s.Image} {
		if len(name) > maxNameLength {
			fs.Add(place, "the name %q is longer than %d", truncate(name), maxNameLength)
		}
	}
}

func checkRepeat(fs *Findings, j *Job) {
	r := j.Repeat
	if r.Count < 0 || r.Count > MaxOccurrences {
		fs.Add("Repeat.Count", "is %d, 0 to %d are allowed", r.Count, MaxOccurrences)
	}
	if r.Count > 1 && r.Interval <= 0 {
		fs.Add("Repeat.Interval", "is %s", r.Interval)
	}
	if r.First < 0 {
		fs.Add("Repeat.First", "is before 1970")
	}
	if r.Count > 0 && j.HasLongRunningStep() {
		fs.Add("Repeat", "a job with a step that lasts runs once")
	}
}

// CheckDocument returns the faults of a configuration document.
func CheckDocument(d *Document) Findings {
	var fs Findings
	if d.Version <= 0 {
		fs.Add("Version", "is %d, not a positive number", d.Version)
	}
	pools := make(map[PoolName]bool)
	for i := range d.Pools {
		name := d.Pools[i].Name
		if name == "" || pools[name] {
			fs.Add(fmt.Sprintf("Pools[%d]", i), "the name %q is empty or taken", name)
		}
		pools[name] = true
	}
	type route struct{ host, prefix string }
	routes := make(map[route]QueueName)
	names := make(map[QueueName]bool)
	for i := range d.Queues {
		q := &d.Queues[i]
		place := fmt.Sprintf("Queues[%d]", i)
		checkQueue(&fs, place, q)
		if names[q.Name] {
			fs.Add(place+".Name", "%q is taken", q.Name)
		}
		names[q.Name] = true
		if !pools[q.Pool] {
			fs.Add(place+".Pool", "pool %q is not declared", q.Pool)
		}
		r := route{q.Host, q.Prefix}
		if other, taken := routes[r]; taken {
			fs.Add(place, "has the host and prefix of queue %q", other)
		}
		routes[r] = q.Name
	}
	checkWorkspaces(&fs, d.Workspaces)
	return fs
}

// checkWorkspaces checks workspaces. No finding holds a key.
func checkWorkspaces(fs *Findings, ws []Workspace) {
	names := make(map[WorkspaceName]bool)
	owners := make(map[Key]int)
	for i := range ws {
		w := &ws[i]
		place := fmt.Sprintf("Workspaces[%d]", i)
		if w.Name == "" || names[w.Name] {
			fs.Add(place+".Name", "%q is empty or taken", truncate(string(w.Name)))
		}
		names[w.Name] = true
		if w.Weight < 0 {
			fs.Add(place+".Weight", "is negative")
		}
		if l := w.Limit; min(int64(l.CPU), int64(l.Memory), int64(l.Accelerators)) < 0 {
			fs.Add(place+".Limit", "has a negative amount")
		}
		for k, key := range w.Keys {
			if other, taken := owners[key]; taken {
				fs.Add(fmt.Sprintf("%s.Keys[%d]", place, k), "is listed by Workspaces[%d] as well", other)
			}
			owners[key] = i
		}
	}
}

func checkQueue(fs *Findings, place string, q *Queue) {
	if q.Name == "" || q.Host == "" {
		fs.Add(place, "needs a name and a host")
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		fs.Add(place+".Prefix", "%q does not begin with a slash", q.Prefix)
	}
	if q.Timeout <= 0 {
		fs.Add(place+".Timeout", "is %s", q.Timeout)
	}
	if q.MaxAttempts < 0 || q.Slack < 0 || q.Grace < 0 || q.Priority < 0 {
		fs.Add(place, "has a negative value")
	}
	if q.Licence.BaseLatency < 0 || q.Licence.LatencyPerTarget < 0 || q.Licence.TicketValidity < 0 {
		fs.Add(place+".Licence", "has a negative time")
	}
}
