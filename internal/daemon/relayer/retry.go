package relayer

import (
	"time"

	"masticroad/internal/workflow/definer"
)

// This file decides when callers that were refused for want of a leader should come
// back. docs/design/leaderless.md gives the reasons.

const (
	// leaderWaitTimeout is how long calls wait for a new leader. An election takes
	// half of it; a longer absence of a leader may last.
	leaderWaitTimeout = time.Second
	// minRetryAfter is the shortest retry delay that the protocol can express.
	minRetryAfter = time.Second
	// maxRetryAfter bounds what a caller waits in vain when the leader is back just after
	// it was refused. Four times this, and the wait for an election, outlast 9 s without power
	// and a start of 4 s.
	maxRetryAfter = 3 * time.Second
	// retryGrowth is the growth of the retry delay with the time without a leader.
	// Simulated callers of long jobs gave up in 1.2 % of cases with it, and in 34 % without
	// growth, when the leader was away for 2 to 13 s.
	retryGrowth = 0.75
	// callerRetries is how often callers repeat a request before they give up.
	callerRetries = 4
	// worthFactor estimates for how long a job is worth something to its caller, as a
	// multiple of its longest chain: three objectives, each one and a half times the chain.
	worthFactor = 4.5
)

// Absence is what a daemon knows of the absence of a leader.
type Absence struct {
	Since time.Time // end of the last link to a leader, or start of the daemon
	// AnsweredSince is when a replica answered again after none had; zero: none answers, or
	// they never stopped.
	AnsweredSince time.Time
	// Named is set while a replica names a leader, which this daemon does not reach. Other
	// daemons may reach it.
	Named bool
}

// Age returns how long an election may have been under way: the time without a leader, less
// that in which no replica answered.
func (a Absence) Age(now time.Time) time.Duration {
	since := a.Since
	if a.AnsweredSince.After(since) {
		since = a.AnsweredSince
	}
	return max(now.Sub(since), 0)
}

// Overdue reports whether the leader is missing for longer than an election takes. Calls
// are refused then instead of waiting.
func (a Absence) Overdue(now time.Time) bool { return a.Age(now) > leaderWaitTimeout }

// RetryAfter returns when a caller should come back, in whole seconds. It grows with the
// absence of the leader, as long absences last longer, but is at most the share of one
// retry in the caller's patience (0: unknown). If another daemon may reach the leader, the
// caller should try that soon. Draw, from 0 to 1, differs between callers
// and spreads them.
func (a Absence) RetryAfter(now time.Time, patience time.Duration, draw float64) time.Duration {
	if a.Named {
		return minRetryAfter
	}
	delay := min(minRetryAfter+time.Duration(retryGrowth*float64(a.Age(now))), maxRetryAfter)
	if patience > 0 {
		delay = min(delay, patience/callerRetries)
	}
	whole := delay.Truncate(time.Second)
	if draw < (delay - whole).Seconds() {
		whole += time.Second
	}
	return max(whole, minRetryAfter)
}

// Patience returns for how long a job is worth something to its caller, by its declared run
// times, or 0 if it declares none.
func Patience(j *definer.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		for _, d := range j.Steps[i].DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return time.Duration(worthFactor * float64(longest))
}
