package tracker_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file tests what a replica does with entries and snapshots of versions that it can't
// follow, and the comparison of states.

func encode(c *quicktest.C, v any) []byte {
	data, err := cbor.Marshal(v)
	c.Assert(err, quicktest.IsNil)
	return data
}

// Guards against a replica that passes over an event and goes on with another state.
func TestEntryThatIsNotKnownIsAnError(t *testing.T) {
	type fields = map[int]any
	for name, test := range map[string]struct {
		event any
		want  string
	}{
		"event": {fields{40: fields{1: 1}}, fmt.Sprintf(`decode entry: this version does not know events of kind \[40\]; it follows formats up to %d`, tracker.CurrentFormat)},
		"field": {fields{13: fields{1: 1, 2: "vm", 9: 1}}, "decode entry: .*unknown field.*"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newState()
			_, err := s.Apply(1, encode(c, fields{1: 5, 2: []any{test.event}}))
			c.Assert(err, quicktest.ErrorMatches, test.want)
			c.Assert(s.Applied, quicktest.Equals, registrar.Index(0))
		})
	}
}

func raise(c *quicktest.C, f tracker.Format) []byte {
	e := tracker.Entry{Events: []tracker.Event{{FormatRaised: &tracker.FormatRaised{Format: f}}}}
	data, err := e.Encode()
	c.Assert(err, quicktest.IsNil)
	return data
}

func TestLaterFormatIsAnError(t *testing.T) {
	c := quicktest.New(t)
	message := fmt.Sprintf(".*format %d is in force, and this version follows formats up to %d", tracker.CurrentFormat+1, tracker.CurrentFormat)
	_, err := newState().Apply(1, raise(c, tracker.CurrentFormat+1))
	c.Assert(err, quicktest.ErrorMatches, message)
	later := newState()
	later.Format = tracker.CurrentFormat + 1
	data, err := later.Encode()
	c.Assert(err, quicktest.IsNil)
	c.Assert(newState().Restore(data), quicktest.ErrorMatches, message)
}

// Versions from before FormatChecked pass over events that they do not know, and have to
// stop at this entry and this snapshot.
func TestEarlierVersionCannotReadCheckedFormats(t *testing.T) {
	c := quicktest.New(t)
	for _, known := range []tracker.Format{0, tracker.FormatBegun} {
		earlier := newState()
		earlier.Known = known
		_, err := earlier.Apply(1, raise(c, tracker.FormatChecked))
		c.Assert(err, quicktest.IsNotNil)
		s := newState()
		_, err = s.Apply(1, raise(c, tracker.FormatChecked))
		c.Assert(err, quicktest.IsNil)
		c.Assert(s.Format, quicktest.Equals, tracker.FormatChecked)
		data, err := s.Encode()
		c.Assert(err, quicktest.IsNil)
		c.Assert(earlier.Restore(data), quicktest.IsNotNil)
		c.Assert(newState().Restore(data), quicktest.IsNil)
	}
}

// A replica that restored a snapshot in between has the same digest as one that has applied
// all entries, and one that counts by other rules has another.
func TestDigestTellsStatesOfOtherRulesApart(t *testing.T) {
	c := quicktest.New(t)
	digest := func(s *tracker.State) tracker.Digest {
		d, err := s.Digest()
		c.Assert(err, quicktest.IsNil)
		return d
	}
	s := newGang(1)
	s.start(1)
	data, err := s.Encode()
	c.Assert(err, quicktest.IsNil)
	restored, earlier := &gang{newState(), s.step}, &gang{newState(), s.step}
	c.Assert(restored.Restore(data), quicktest.IsNil)
	c.Assert(earlier.Restore(data), quicktest.IsNil)
	earlier.Format = 0
	for _, x := range []*gang{s, restored, earlier} {
		x.end(1, tracker.EndFailed, tracker.EndFailed)
		x.ApplyEvent(tracker.Event{JobAccepted: &tracker.JobAccepted{Queue: "q", Job: &definer.Job{ID: 2, Steps: []definer.Step{{Count: 1}}}}}, 5)
		x.ApplyEvent(tracker.Event{OccurrenceBegun: &tracker.OccurrenceBegun{Job: 2}}, 5)
	}
	c.Assert(digest(s.State), quicktest.Equals, digest(restored.State))
	earlier.Format = s.Format
	c.Assert(digest(s.State), quicktest.Not(quicktest.Equals), digest(earlier.State))
}
