package replicator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/state/replicator"
)

// This file ends fault schedules by a final fault: right after a write was
// acknowledged, as many disks are lost as are tolerated while all other members
// lose power, which loses the writes that they have not synced. Disks are lost
// during the schedule too, never more than are tolerated at a time.

// catchUpTime is the time for which a member counts as lost after it is back and
// reachable with an empty disk.
const catchUpTime = 4 * time.Second

// victims selects the members whose disks the final fault loses.
type victims struct {
	name   string
	choose func(d *driver, value string, count int) []*member
}

var victimChoices = []victims{
	{"leader", func(d *driver, _ string, count int) []*member {
		return d.pick(count, func(m *member) bool { return m.core.Status().Role == replicator.Leader })
	}},
	{"synced", func(d *driver, value string, count int) []*member {
		return d.pick(count, func(m *member) bool { return m.disk.holds(value) })
	}},
	{"synced, leader last", func(d *driver, value string, count int) []*member {
		return d.pick(count, func(m *member) bool {
			return m.disk.holds(value) && m.core.Status().Role != replicator.Leader
		})
	}},
	{"oldest", func(d *driver, _ string, count int) []*member {
		return d.pick(count, func(m *member) bool { return m.incarnation == 1 && m.lostUntil == 0 })
	}},
	{"any", func(d *driver, _ string, count int) []*member {
		return d.pick(count, func(*member) bool { return false })
	}},
}

// pick returns members whose disk is not lost already in random order, preferred
// ones first.
func (d *driver) pick(count int, preferred func(*member) bool) []*member {
	var first, rest []*member
	for _, i := range d.rand.Perm(len(d.members)) {
		switch m := d.members[i]; {
		case m.lostUntil > d.now:
		case preferred(m):
			first = append(first, m)
		default:
			rest = append(rest, m)
		}
	}
	return append(first, rest...)[:count]
}

func (d *disk) holds(value string) bool {
	if slices.Contains(splitValues(d.saved.Snapshot.Data), value) {
		return true
	}
	return slices.ContainsFunc(d.saved.Entries, func(e replicator.Entry) bool {
		return e.Type == replicator.EntryNormal && string(e.Data) == value
	})
}

// lostDisks returns the number of members that lost their disk and have not had
// catchUpTime since.
func (d *driver) lostDisks() int {
	n := 0
	for _, m := range d.members {
		if m.lostUntil > d.now {
			n++
		}
	}
	return n
}

// trackLosses extends the time for which a member without its former disk counts
// as lost while it is impaired, or half of all members are.
func (d *driver) trackLosses() {
	impaired := 0
	for _, m := range d.members {
		if d.impaired(m) {
			impaired++
		}
	}
	for _, m := range d.members {
		if m.lostUntil > d.now && (d.impaired(m) || 2*impaired >= len(d.members)) {
			m.lostUntil = d.now + catchUpTime
		}
	}
}

// impaired reports whether a member is down, paused, cut off from another one or
// can't write.
func (d *driver) impaired(m *member) bool {
	for link, blocked := range d.blocked {
		if blocked && (link[0] == m.name || link[1] == m.name) {
			return true
		}
	}
	return m.down || m.pause > 0 || m.diskStalledUntil > d.now
}

// loseDisk wipes or replaces a member.
func (d *driver) loseDisk(m *member) {
	if d.openMembership && d.rand.Intn(2) == 0 {
		d.replace(m)
	} else {
		d.wipe(m)
	}
	m.lostUntil = d.now + catchUpTime
}

// finalFault loses the disks of the chosen members and the power of all others,
// together with all messages in flight, and starts all of them again.
func (d *driver) finalFault(value string, v victims) {
	lost := v.choose(d, value, d.tolerated-d.lostDisks())
	for _, m := range d.members {
		if slices.Contains(lost, m) {
			d.wipe(m)
		} else if !m.down {
			d.crash(m)
		}
	}
	d.inflight = nil
	d.heal()
}

// acknowledged returns the values of the writes that were answered.
func (d *driver) acknowledged() []string {
	var out []string
	for _, o := range d.ops {
		if o.write && o.done {
			out = append(out, o.value)
		}
	}
	return out
}

// finalFaultSchedule runs a fault schedule that ends by a final fault right after
// an acknowledgement, and returns the problems found.
func finalFaultSchedule(seed int64, founders, members, tolerated int, disabled replicator.Mechanism) []string {
	d := newOpenMembershipDriver(seed, founders, members-founders)
	d.disabled = disabled
	for i, m := range d.members {
		d.boot(m) // with the disabled mechanisms
		if i < founders {
			d.seeds = append(d.seeds, m.name)
		}
	}
	d.faults = false
	d.run(10 * time.Second)
	if l := d.leader(); l == nil || len(l.core.Status().Voters) != members {
		d.addProblem("not all members are voters after 10 s")
		return d.problems
	}
	d.faults, d.tolerated = true, tolerated
	v := victimChoices[d.rand.Intn(len(victimChoices))]
	rounds := 8 + d.rand.Intn(24)
	for client := 0; client < rounds && len(d.problems) == 0; client++ {
		d.run(time.Duration(50+d.rand.Intn(400)) * time.Millisecond)
		d.runClientOperations(client)
	}
	for client := rounds; client < rounds+200 && len(d.problems) == 0; client++ {
		before := len(d.acknowledged())
		d.runClientOperations(client)
		for n := 0; n < 20 && len(d.problems) == 0 && len(d.acknowledged()) == before; n++ {
			d.run(step)
		}
		if acked := d.acknowledged(); len(acked) > before {
			d.finalFault(acked[len(acked)-1], v)
			break
		}
	}
	if len(d.problems) > 0 {
		return d.problems
	}
	lead := d.leader()
	if lead == nil {
		d.addProblem("%s: no leader after the final fault", v.name)
		return d.problems
	}
	for _, value := range d.acknowledged() {
		if !slices.Contains(lead.applied, value) {
			d.addProblem("%s: %s was acknowledged and is lost", v.name, value)
		}
	}
	for _, m := range d.members {
		if len(m.applied) != len(lead.applied) {
			d.addProblem("%s: %s applied %d of %d values", v.name, m.core.ID, len(m.applied), len(lead.applied))
		}
	}
	if !d.linearizable() {
		d.addProblem("%s: the history is not linearizable", v.name)
	}
	return d.problems
}

// finalFaultCells are the founding voters, members and tolerated disk losses of
// the cells that the schedules below run in turn. Lost members and their successors
// are voters together for a time, and in cells of 3 or 6 members the others are no
// quorum then if as many disks are lost again.
var finalFaultCells = [][3]int{{3, 5, 1}, {3, 9, 2}, {3, 4, 1}, {3, 7, 2}}

func TestAcknowledgedWriteSurvivesLostDisksWhileAllOthersLosePower(t *testing.T) {
	for seed := range seedCount(250) {
		cell := finalFaultCells[seed%int64(len(finalFaultCells))]
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, finalFaultSchedule(seed, cell[0], cell[1], cell[2], 0), quicktest.HasLen, 0)
		})
	}
}

func TestFinalFaultDetectsAcknowledgementBeforeSync(t *testing.T) {
	for seed := range int64(2000) {
		if len(finalFaultSchedule(seed, 3, 5, 1, replicator.WithoutSync)) > 0 {
			return
		}
	}
	t.Fatal("all 2000 schedules passed without sync")
}
