package coordinator

import (
	"slices"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
)

// This file keeps the replicas to the same rules: the leader raises the format once every
// replica has told that it follows it, and leaves replicas behind that do not follow the
// format in force.

const (
	formatLogDelay    = 3 * time.Second // from the start of a leadership, in which replicas answer
	formatLogInterval = time.Minute     // between lines about replicas that have not changed
)

// Announced returns what a replica tells the others whose latest format is known: versions
// before FormatChecked tell nothing.
func Announced(known tracker.Format) replicator.Format {
	if known < tracker.FormatChecked {
		return 0
	}
	return replicator.Format(known)
}

// restore replaces the replicated state by a snapshot.
func (c *Coordinator) restore(snap replicator.Snapshot) error {
	if err := c.state.Restore(snap.Data); err != nil {
		return err
	}
	c.check = check{}
	c.requireFormat()
	c.Meter.SetFormat(c.state.Format)
	c.Log.Info("snapshot restored", "index", int64(c.state.Applied), "format", int(c.state.Format), "known", int(c.state.Known), "jobs", len(c.state.Jobs))
	return nil
}

// applyEntry applies an entry to the replicated state.
func (c *Coordinator) applyEntry(index registrar.Index, data []byte) error {
	before := c.state.Format
	entry, err := c.state.Apply(index, data)
	if err != nil {
		return err
	}
	if c.state.Format != before {
		c.requireFormat()
		c.Meter.SetFormat(c.state.Format)
		c.Log.Info("format raised", "from", int(before), "to", int(c.state.Format), "known", int(c.state.Known), "index", int64(index))
	}
	for _, ev := range entry.Events {
		if ev.StateCheck != nil && c.state.Known >= tracker.FormatChecked {
			c.checkState(index, ev.StateCheck)
		}
	}
	return nil
}

// requireFormat makes the replicator leave replicas behind that do not follow the format in
// force. Formats before FormatChecked were raised without asking.
func (c *Coordinator) requireFormat() {
	if c.state.Format >= tracker.FormatChecked {
		c.Node.Require(c.ctx, replicator.Format(c.state.Format))
	}
}

// raiseFormat raises the format as far as every replica follows it, and logs which ones
// do not.
func (c *Coordinator) raiseFormat(now planner.Moment) {
	f := c.Node.Status().Formats
	common := f.Common
	if c.founding {
		common = f.Answered // the others have applied nothing, and are left behind if they do not follow it
	}
	c.Planner.RaiseFormat(tracker.Format(common), now)
	c.Meter.SetLeftBehind(len(f.LeftBehind))
	if now.Monotonic.Sub(c.leadingSince) >= formatLogDelay {
		c.logFormats(&f, now)
	}
}

// logFormats logs which replicas are left behind, or keep the format from being raised.
func (c *Coordinator) logFormats(f *replicator.Formats, now planner.Moment) {
	format, known := c.Planner.State.Format, c.Planner.State.Known
	if len(f.LeftBehind) == 0 && format >= known {
		return
	}
	same := slices.Equal(f.Missing, c.formats.Missing) && slices.Equal(f.LeftBehind, c.formats.LeftBehind)
	if same && now.Monotonic.Sub(c.formatsLoggedAt) < formatLogInterval {
		return
	}
	c.formats, c.formatsLoggedAt = *f, now.Monotonic
	if len(f.LeftBehind) > 0 {
		c.Log.Warn("replicas left behind; their versions do not follow the format", "format", int(format), "replicas", f.LeftBehind)
		return
	}
	c.Log.Info("format not raised", "format", int(format), "known", int(known), "missing", f.Missing)
}
