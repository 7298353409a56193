package divider_test

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticroad/internal/daemon/divider"
)

// This file tests that a division never exceeds its limit, and its settings.

func TestSharesStayBelowTheLimit(t *testing.T) {
	all := []divider.Purpose{divider.Frontend, divider.Control, divider.Peers, divider.Targets}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5000).Draw(t, "limit")
		w := divider.DefaultWeights()
		var purposes []divider.Purpose
		for _, p := range all {
			w[p] = rapid.IntRange(1, 1000).Draw(t, string(p))
			if rapid.Bool().Draw(t, "has "+string(p)) {
				purposes = append(purposes, p)
			}
		}
		d, err := divider.Divide(limit, w, purposes...)
		if err != nil {
			return
		}
		sum := d.Services
		for _, n := range d.Shares {
			sum += n
		}
		if sum > limit {
			t.Fatalf("shares of %d for a limit of %d: %v", sum, limit, d)
		}
	})
}

func TestReplicaWithTheLimitsOfTheSites(t *testing.T) {
	c := quicktest.New(t)
	for _, limit := range []int{1024, 4096, 4324} {
		d, err := divider.Divide(limit, divider.DefaultWeights(), divider.Peers, divider.Control, divider.Targets)
		c.Assert(err, quicktest.IsNil)
		c.Assert(d.Shares[divider.Targets] > limit/3, quicktest.IsTrue, quicktest.Commentf("%v", d))
	}
	_, err := divider.Divide(400, divider.DefaultWeights(), divider.Peers, divider.Control, divider.Targets)
	c.Assert(err, quicktest.ErrorMatches, "descriptors: a limit of 400 leaves 7 for Peers, which needs 16")
}

func TestParseWeights(t *testing.T) {
	c := quicktest.New(t)
	w, err := divider.ParseWeights("Targets=80, Control=10")
	c.Assert(err, quicktest.IsNil)
	c.Assert(w[divider.Targets], quicktest.Equals, 80)
	c.Assert(w[divider.Control], quicktest.Equals, 10)
	c.Assert(w[divider.Peers], quicktest.Equals, divider.DefaultWeights()[divider.Peers])
	_, err = divider.ParseWeights("Target=80,Control=0,Peers")
	c.Assert(err, quicktest.ErrorMatches,
		`weights of descriptors: "Target=80" names no purpose; there are Control, Frontend, Peers, Targets; `+
			`"Control=0" has no weight from 1 to 1000; "Peers" has no weight from 1 to 1000`)
}
