package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/planner"
)

// A target announces that it drains. An earlier announcement of it is delayed and
// reaches the leader of the next term, which must not consider the target
// schedulable.
func TestAnnouncementFromBeforeDrainIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	s := newHarness(c, 1)
	before := &planner.Announcement{Target: s.record(1), Sequence: s.announcements + 1, Clock: 1}
	s.announcements++
	leaving := s.record(1)
	leaving.Draining = true
	s.announce(leaving)
	s.plan()
	s.changeTerm(2)
	s.answerPolls()
	s.p.Announce(before, func() {}, s.now)
	s.advance(100 * time.Millisecond)
	s.answerPolls()
	c.Assert(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, 0)
}
