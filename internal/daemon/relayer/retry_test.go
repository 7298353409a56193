package relayer_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/daemon/relayer"
	"masticroad/internal/workflow/definer"
)

const second = time.Second

// Guards against callers that give up while the leader is missing, or come back all at once
// or long after it is back.
func TestRetryAfterGrowsWithTheAbsence(t *testing.T) {
	lost := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		answered time.Duration // since the loss; 0: none
		now      time.Duration // since the loss
		patience time.Duration
		draw     float64
		named    bool // by a replica
		want     time.Duration
	}{
		{"just lost", 0, 0, 0, 0, false, second},
		{"election over, early caller", 0, second, 0, 0.8, false, second},
		{"election over, late caller", 0, second, 0, 0.7, false, 2 * second},
		{"later", 0, 2 * second, 0, 0.6, false, 2 * second},
		{"long", 0, 4 * second, 0, 0, false, 3 * second},
		{"very long", 0, time.Hour, 0, 0, false, 3 * second},
		{"replicas back", 7 * second, 7 * second, 0, 0, false, second},
		{"replicas seen before the loss", -second, 4 * second, 0, 0, false, 3 * second},
		{"short job", 0, 6 * second, 4 * second, 0, false, second},
		{"long job", 0, 6 * second, 45 * second, 0, false, 3 * second},
		{"clock set back", 0, -second, 0, 0, false, second},
		{"leader elsewhere", 0, 6 * second, 0, 0, true, second},
	} {
		a := relayer.Absence{Since: lost, Named: test.named}
		if test.answered != 0 {
			a.AnsweredSince = lost.Add(test.answered)
		}
		got := a.RetryAfter(lost.Add(test.now), test.patience, test.draw)
		quicktest.Check(t, got, quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}

// Guards against callers of long jobs that use up their retries before an outage is over. An
// average caller that began with it has to outlast 10 s, one that began later 13 s: 9 s without
// power and 4 s of start.
func TestRetriesOutlastTheLongestOutage(t *testing.T) {
	lost := time.Unix(1000, 0)
	for _, begun := range []time.Duration{0, 2 * second, 4 * second, 6 * second, 8 * second} {
		want := 10 * second
		if begun >= 2*second {
			want = 13 * second
		}
		now, total := lost.Add(max(begun, second)), time.Duration(0)
		for range 4 {
			d := relayer.Absence{Since: lost}.RetryAfter(now, 0, 0.5)
			now, total = now.Add(d), total+d
		}
		quicktest.Check(t, now.Sub(lost) >= want, quicktest.IsTrue, quicktest.Commentf("begun at %s: last retry at %s", begun, now.Sub(lost)))
	}
}

// Guards against short jobs whose callers wait until they are worth nothing.
func TestPatienceFollowsTheLongestChain(t *testing.T) {
	j := &definer.Job{Steps: []definer.Step{{Estimate: second}, {Estimate: 3 * second}, {Estimate: 2 * second, DependsOn: []int{0, 1}}}}
	quicktest.Check(t, relayer.Patience(j), quicktest.Equals, 22500*time.Millisecond)
	quicktest.Check(t, relayer.Patience(&definer.Job{}), quicktest.Equals, time.Duration(0))
}
