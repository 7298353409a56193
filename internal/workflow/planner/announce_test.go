package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/workflow/planner"
)

// A target says that it leaves. Its announcement from before was held up and
// arrives when another leader has begun, which must not take the target for one
// that stays.
func TestAnnouncementFromBeforeTheDrainIsPassedOver(t *testing.T) {
	c := quicktest.New(t)
	s := newStage(c, 1)
	before := &planner.Announcement{Target: s.record(1), Sequence: s.beats + 1, Clock: 1}
	s.beats++
	leaving := s.record(1)
	leaving.Draining = true
	s.announce(leaving)
	s.plan()
	s.lead(2)
	s.answerLooks()
	s.p.Announce(before, func() {}, s.now)
	s.pass(100 * time.Millisecond)
	s.answerLooks()
	c.Assert(s.submit(7, oneTask(cpus(1))), quicktest.HasLen, 0)
}
