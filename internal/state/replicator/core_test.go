package replicator_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"masticroad/internal/state/replicator"
)

// schedule runs the fault schedule of a seed and returns the problems found.
func schedule(seed int64, disabled replicator.Mechanism) []string {
	voters := 3
	if seed%3 == 0 {
		voters = 5
	}
	return runFaultSchedule(newDriver(seed, voters, disabled))
}

// openMembershipSchedule runs the fault schedule of a seed with open membership.
func openMembershipSchedule(seed int64) []string {
	return runFaultSchedule(newOpenMembershipDriver(seed, 3, int(seed%4)))
}

// fullDiskSchedule runs the fault schedule of a seed while disks are full, one
// after another, beside the other faults.
func fullDiskSchedule(seed int64, open bool) []string {
	d := newDriver(seed, 5, 0)
	if open {
		d = newOpenMembershipDriver(seed, 3, 2)
	}
	d.fullDisks = true
	return runFaultSchedule(d)
}

func runFaultSchedule(d *driver) []string {
	for client := 0; client < 24 && len(d.problems) == 0; client++ {
		d.run(time.Duration(50+d.rand.Intn(400)) * time.Millisecond)
		d.runClientOperations(client)
	}
	before := len(d.history)
	d.heal()
	if len(d.problems) > 0 {
		return d.problems
	}
	if d.leader() == nil {
		d.addProblem("no leader after all faults ended")
	}
	for _, m := range d.members {
		if len(m.applied) < before {
			d.addProblem("%s applied %d values, but %d were applied before", m.core.ID, len(m.applied), before)
		}
		if len(m.applied) != len(d.history) {
			d.addProblem("%s applied %d of %d values", m.core.ID, len(m.applied), len(d.history))
		}
	}
	if !d.linearizable() {
		d.addProblem("the history is not linearizable")
	}
	return d.problems
}

// seedCount returns the number of seeds to run. MASTICROAD_SCHEDULES overrides it.
func seedCount(normal int64) int64 {
	if n, err := strconv.ParseInt(os.Getenv("MASTICROAD_SCHEDULES"), 10, 64); err == nil {
		return n
	}
	return normal
}

func TestLogsAgreeUnderRandomFaults(t *testing.T) {
	for seed := range seedCount(300) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, schedule(seed, 0), quicktest.HasLen, 0)
		})
	}
}

func TestLogsAgreeUnderRandomFaultsWithOpenMembership(t *testing.T) {
	for seed := range seedCount(300) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, openMembershipSchedule(seed), quicktest.HasLen, 0)
		})
	}
}

func TestLogsAgreeWhileDisksAreFullInTurn(t *testing.T) {
	for seed := range seedCount(300) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			quicktest.Assert(t, fullDiskSchedule(seed, seed%2 == 0), quicktest.HasLen, 0)
		})
	}
}

// After the disks of all voters were full, one after another, a change commits
// within an election and a rewrite, and every replica catches up.
func TestGroupCommitsAfterDisksWereFullInTurn(t *testing.T) {
	const bound = 4 * time.Second
	for seed := range seedCount(100) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			d := newOpenMembershipDriver(seed, 3, 2)
			d.faults = false
			d.run(5 * time.Second)
			for n := 0; n < 2*len(d.members); n++ {
				d.fullUntil = 0
				d.fillDisks()
				for client := 0; d.now < d.fullUntil; client++ {
					d.run(time.Duration(20+d.rand.Intn(200)) * time.Millisecond)
					d.runClientOperations(n*1000 + client)
				}
			}
			before, end := len(d.history), d.now+bound
			for client := 0; len(d.history) == before || d.lagging() > 0; client++ {
				c.Assert(d.now < end, quicktest.IsTrue, quicktest.Commentf("%d of %d members lag behind, %d values committed since", d.lagging(), len(d.members), len(d.history)-before))
				if len(d.history) == before {
					d.runClientOperations(100000 + client)
				}
				d.run(100 * time.Millisecond)
			}
			c.Assert(d.problems, quicktest.HasLen, 0)
			c.Assert(d.linearizable(), quicktest.IsTrue)
		})
	}
}

// These seeds failed before; the cause is given with each.
func TestFormerlyFailingSeeds(t *testing.T) {
	for seed, cause := range map[int64]string{
		383:  "a restarted replica voted for itself while a lease that it had granted was valid",
		3940: "same cause as seed 383",
	} {
		quicktest.Assert(t, schedule(seed, 0), quicktest.HasLen, 0, quicktest.Commentf("%s", cause))
		quicktest.Assert(t, openMembershipSchedule(seed), quicktest.HasLen, 0, quicktest.Commentf("%s", cause))
	}
}

func TestEveryDurableReplicaBecomesVoterWithOpenMembership(t *testing.T) {
	c := quicktest.New(t)
	d := newOpenMembershipDriver(1, 3, 2)
	d.faults = false
	d.run(5 * time.Second)
	c.Assert(d.leader().core.Status().Voters, quicktest.HasLen, 5)
	d.replace(d.members[4])
	d.boot(d.members[4])
	d.run(20 * time.Second)
	voters := d.leader().core.Status().Voters
	c.Assert(voters, quicktest.HasLen, 5)
	c.Assert(voters, quicktest.Contains, d.members[4].core.ID)
}

// A replica without a log knows the seeds only, and none of them may lead.
func TestReplicaWithEmptyDiskJoinsLeaderThatIsNoSeed(t *testing.T) {
	for name, lose := range map[string]func(d *driver, m *member){"wiped": (*driver).wipe, "replaced": (*driver).replace} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			d := newOpenMembershipDriver(1, 3, 2)
			d.faults = false
			for _, m := range d.members[:3] {
				d.seeds = append(d.seeds, m.name)
			}
			d.run(5 * time.Second)
			lead, next := d.leader(), d.members[3]
			transfer := replicator.Message{Type: replicator.MsgTimeoutNow, Group: 1, From: lead.core.ID, To: next.core.ID, Term: lead.core.Status().Term}
			next.core.Step(transfer, d.clock(next))
			d.run(time.Second)
			c.Assert(d.leader(), quicktest.Equals, next)
			lost := d.members[0]
			lose(d, lost)
			d.run(time.Second)
			d.boot(lost)
			d.run(20 * time.Second)
			voters := d.leader().core.Status().Voters
			c.Assert(voters, quicktest.HasLen, 5)
			c.Assert(voters, quicktest.Contains, lost.core.ID)
			c.Assert(d.leader(), quicktest.Equals, next)
		})
	}
}

// The leader loses its disk when the removal of a voter has reached only that voter,
// whose vote the others need.
func TestLeaderIsElectedAfterUncommittedRemovalOfVoter(t *testing.T) {
	c := quicktest.New(t)
	d := newOpenMembershipDriver(1, 4, 0)
	d.faults = false
	d.run(3 * time.Second)
	lead := d.leader()
	var removed *member
	for _, m := range d.members {
		switch {
		case m == lead:
		case removed == nil:
			removed = m
		default:
			m.pause = time.Second
			d.blocked[[2]string{lead.name, m.name}] = true
		}
	}
	c.Assert(lead.core.RemoveVoter(removed.core.ID, d.clock(lead)), quicktest.IsNil)
	for n := 0; removed.core.IsVoter(); n++ {
		c.Assert(n < 100, quicktest.IsTrue)
		d.run(10 * time.Millisecond)
	}
	d.wipe(lead)
	clear(d.blocked)
	d.run(5 * time.Second)
	c.Assert(d.leader(), quicktest.IsNotNil)
}

// A restarted follower catches up over a slow link while the leader continues to
// append. Replies are late because of the queue on the link; the leader must not
// take that for loss and resend entries in flight.
func TestCatchUpOverSlowLinkDoesNotResendEntries(t *testing.T) {
	c := quicktest.New(t)
	const (
		backlog = 2000
		size    = 1024 // bytes of an entry
		rate    = 1 << 19
		// The follower learns of a commit within 100 ms, in which ten more entries
		// are proposed.
		maxUnapplied = 10
	)
	d := newDriver(1, 3, 0)
	d.faults, d.noCompaction = false, true
	d.run(3 * time.Second)
	lead := d.leader()
	var lagging *member
	for _, m := range d.members {
		if m != lead {
			lagging = m
		}
	}
	link := [2]string{lead.name, lagging.name}
	d.linkRate, d.linkFreeAt, d.sentBytes = map[[2]string]int{link: rate}, map[[2]string]time.Duration{}, map[[2]string]int{}
	d.crash(lagging)
	value := strings.Repeat("x", size)
	for n := range backlog {
		_, err := lead.core.Propose([]byte(fmt.Sprint(n, value)), d.clock(lead))
		c.Assert(err, quicktest.IsNil)
		d.run(2 * time.Millisecond)
	}
	d.inflight, d.linkFreeAt[link] = nil, 0 // messages sent while the follower was down are lost
	d.boot(lagging)
	d.sentBytes[link] = 0
	total := len(lead.applied)
	for n := 0; len(lagging.applied) < total-maxUnapplied; n++ {
		c.Assert(n < 2000, quicktest.IsTrue, quicktest.Commentf("follower applied %d of %d entries", len(lagging.applied), total))
		_, err := lead.core.Propose([]byte(fmt.Sprint("more", n, value)), d.clock(lead))
		c.Assert(err, quicktest.IsNil)
		total++
		d.run(10 * time.Millisecond)
	}
	d.run(time.Second)
	c.Assert(len(lagging.applied), quicktest.Equals, len(lead.applied))
	c.Logf("sent %d bytes for %d bytes of entries", d.sentBytes[link], total*size)
	c.Assert(d.leader(), quicktest.Equals, lead)
	c.Assert(float64(d.sentBytes[link]) < 1.2*float64(total*size), quicktest.IsTrue,
		quicktest.Commentf("%d bytes were sent for %d bytes of entries", d.sentBytes[link], total*size))
}

// With a safety mechanism switched off, at least one fault schedule must fail.
// Otherwise the checks above would not detect its loss.
func TestFaultSchedulesDetectDisabledProtections(t *testing.T) {
	for name, disabled := range map[string]replicator.Mechanism{
		"sync":         replicator.WithoutSync,
		"check-quorum": replicator.WithoutCheckQuorum | replicator.WithoutLeaderStickiness,
		"log-check":    replicator.WithoutLogCheck,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(2000) {
				if len(schedule(seed, disabled)) > 0 {
					return
				}
			}
			t.Fatalf("all 2000 fault schedules passed without %s", name)
		})
	}
}

func TestLogsAgreeForRandomlyDrawnSeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64Range(0, 1<<40).Draw(t, "seed")
		if problems := schedule(seed, 0); len(problems) > 0 {
			t.Fatalf("seed %d: %v", seed, problems)
		}
	})
}

func TestMain(m *testing.M) {
	// rapid takes its seed from a flag; a fixed one makes runs repeatable.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flagSet(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestNewLeaderIsElectedAfterLeaderCrash(t *testing.T) {
	c := quicktest.New(t)
	d := newDriver(1, 3, 0)
	d.faults = false
	d.run(2 * time.Second)
	first := d.leader()
	c.Assert(first, quicktest.IsNotNil)
	d.crash(first)
	d.run(2 * time.Second)
	second := d.leader()
	c.Assert(second, quicktest.IsNotNil)
	c.Assert(second.name, quicktest.Not(quicktest.Equals), first.name)
}

func TestLeadershipTransferDoesNotWaitForElectionTimeout(t *testing.T) {
	c := quicktest.New(t)
	d := newDriver(2, 3, 0)
	d.faults = false
	d.run(2 * time.Second)
	first := d.leader()
	c.Assert(first.core.TransferLeadership(d.clock(first)), quicktest.IsTrue)
	d.flush(first)
	d.run(300 * time.Millisecond) // shorter than any election timeout
	c.Assert(first.core.Status().Role, quicktest.Equals, replicator.Follower)
	c.Assert(d.leader(), quicktest.IsNotNil)
}

func TestWipedVoterIsReplacedBySuccessor(t *testing.T) {
	c := quicktest.New(t)
	d := newDriver(3, 3, 0)
	d.faults = false
	d.run(2 * time.Second)
	for i := range 20 {
		d.runClientOperations(i)
		d.run(50 * time.Millisecond)
	}
	lost := d.members[0]
	if lost == d.leader() {
		lost = d.members[1]
	}
	d.wipe(lost)
	d.run(500 * time.Millisecond)
	d.boot(lost)
	d.run(10 * time.Second)
	voters := d.leader().core.Status().Voters
	c.Assert(voters, quicktest.HasLen, 3)
	c.Assert(voters, quicktest.Contains, lost.core.ID)
	c.Assert(lost.applied, quicktest.DeepEquals, d.history)
	// After the replacement the group tolerates another failure.
	for _, m := range d.members {
		if m != lost {
			d.crash(m)
			break
		}
	}
	d.run(3 * time.Second)
	c.Assert(d.leader(), quicktest.IsNotNil)
}

func TestPartitionedLeaderLosesItsLease(t *testing.T) {
	c := quicktest.New(t)
	d := newDriver(4, 3, 0)
	d.faults = false
	d.run(2 * time.Second)
	old := d.leader()
	for _, m := range d.members {
		d.blocked[[2]string{m.name, old.name}] = true
		d.blocked[[2]string{old.name, m.name}] = true
	}
	d.run(time.Minute)
	c.Assert(old.core.Status().Role, quicktest.Not(quicktest.Equals), replicator.Leader)
	term := d.leader().core.Status().Term
	clear(d.blocked)
	d.run(2 * time.Second)
	c.Assert(d.leader().core.Status().Term, quicktest.Equals, term) // pre-vote did not increase the term
	c.Assert(d.problems, quicktest.HasLen, 0)
}

// A follower whose disk is full delays its replies, so the leader sends a chunk of
// the snapshot several times. The delayed replies must not multiply the chunks
// that follow.
func TestSnapshotIsSentOnceToFollowerWhoseDiskWasFull(t *testing.T) {
	c := quicktest.New(t)
	d := newDriver(1, 3, 0)
	d.faults, d.noCompaction = false, true
	d.run(3 * time.Second)
	lead := d.leader()
	lagging := d.members[0]
	if lagging == lead {
		lagging = d.members[1]
	}
	d.crash(lagging)
	value := strings.Repeat("x", 4096)
	for n := range 512 {
		_, err := lead.core.Propose([]byte(fmt.Sprint(n, value)), d.clock(lead))
		c.Assert(err, quicktest.IsNil)
		d.run(step)
	}
	d.run(time.Second)
	snap, rest, ok := lead.core.Compact(lead.index, joinValues(lead.applied))
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(lead.disk.SaveSnapshot(snap, lead.disk.saved.Hard, rest), quicktest.IsNil)
	link := [2]string{lead.name, lagging.name}
	d.linkRate, d.linkFreeAt, d.sentBytes = map[[2]string]int{link: 4 << 20}, map[[2]string]time.Duration{}, map[[2]string]int{}
	d.boot(lagging)
	d.run(300 * time.Millisecond)
	lagging.diskFullUntil = d.now + 6*time.Second
	d.run(6 * time.Second)
	d.run(4 * time.Second)
	c.Assert(lagging.applied, quicktest.DeepEquals, lead.applied)
	c.Logf("sent %d bytes for a snapshot of %d", d.sentBytes[link], len(snap.Data))
	c.Assert(float64(d.sentBytes[link]) < 1.5*float64(len(snap.Data)), quicktest.IsTrue, quicktest.Commentf("%d bytes were sent for a snapshot of %d", d.sentBytes[link], len(snap.Data)))
}
