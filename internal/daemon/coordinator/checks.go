package coordinator

import (
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file compares the states of the replicas. The leader writes a check to the log; each
// replica takes the digest of its state there and compares it, at the next check, with the
// one that the leader had.

const (
	checkInterval = 30 * time.Second // between two checks
	checkDelay    = 5 * time.Second  // from the start of a leadership to its first check
	// maxEntriesAhead bounds the entries that a replica may be behind to take part in a check.
	// The log of an idle cell is full of checks, which would delay a start by minutes.
	maxEntriesAhead = 16
)

// check is the digest of the state after an entry.
type check struct {
	index  registrar.Index
	digest tracker.Digest
}

// checkState compares the digest that this replica had at an earlier check with the
// leader's, and takes the one at index.
func (c *Coordinator) checkState(index registrar.Index, asked *tracker.StateCheck) {
	if c.entriesAhead > maxEntriesAhead {
		return
	}
	own := c.check
	if own.index != 0 && own.index == asked.Index && own.digest != asked.Digest {
		c.Log.Error("replica state differs", "index", int64(own.index), "digest", string(own.digest), "leader", string(asked.Digest), "format", int(c.state.Format))
		c.Meter.StateDiffers()
	}
	started := time.Now()
	digest, err := c.state.Digest()
	if err != nil {
		c.Log.Error("state can't be encoded", "error", err)
		return
	}
	c.check = check{index, digest}
	c.checkedAt = c.Clock.Now().Monotonic
	c.Log.Info("state checked", "index", int64(index), "digest", string(digest), "format", int(c.state.Format), "took", time.Since(started).Milliseconds())
}

// addCheck adds a check to a round when one is due.
func (c *Coordinator) addCheck(round *planner.Round, now planner.Moment) {
	if c.Planner.State.Format < tracker.FormatChecked || now.Monotonic.Sub(c.leadingSince) < checkDelay || now.Monotonic.Sub(c.checkedAt) < checkInterval {
		return
	}
	c.checkedAt = now.Monotonic
	round.Events = append(round.Events, tracker.Event{StateCheck: &tracker.StateCheck{Index: c.check.index, Digest: c.check.digest}})
}
