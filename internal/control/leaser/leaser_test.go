package leaser_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/leaser"
)

var epoch = time.Unix(1_800_000_000, 0)

// While a lease is valid for its holder, the leader must regard it as held, with
// any delay of the request and any clock rates within the drift.
func TestLeaseExpiresAtHolderBeforeLeader(t *testing.T) {
	c := quicktest.New(t)
	r := rand.New(rand.NewSource(1))
	const drift = 0.02
	for range 10000 {
		holderRate := 1 + drift*(2*r.Float64()-1)/2
		leaderRate := 1 + drift*(2*r.Float64()-1)/2
		holderTime := func(real time.Duration) time.Time { return epoch.Add(time.Duration(float64(real) * holderRate)) }
		leaderTime := func(real time.Duration) time.Time { return epoch.Add(time.Duration(float64(real) * leaderRate)) }
		table := leaser.Table[int]{Duration: 10 * time.Second, Drift: drift}
		sent := time.Duration(r.Int63n(int64(time.Hour)))
		granted := sent + time.Duration(r.Int63n(int64(3*time.Second)))
		var lease leaser.Lease
		lease.Extend(holderTime(sent), table.Grant(1, leaderTime(granted)))
		for real := sent; real < sent+15*time.Second; real += 50 * time.Millisecond {
			if lease.Valid(holderTime(real)) && real >= granted {
				c.Assert(table.Held(1, leaderTime(real)), quicktest.IsTrue)
			}
		}
	}
}

func TestExpiredHolderIsReturnedOnce(t *testing.T) {
	c := quicktest.New(t)
	table := leaser.Table[string]{Duration: time.Second}
	table.Reset([]string{"old"}, epoch)
	c.Assert(table.RemoveExpired(epoch.Add(900*time.Millisecond)), quicktest.HasLen, 0)
	c.Assert(table.RemoveExpired(epoch.Add(time.Second)), quicktest.DeepEquals, []string{"old"})
	c.Assert(table.RemoveExpired(epoch.Add(time.Hour)), quicktest.HasLen, 0)
}
