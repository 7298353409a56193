package planner

import (
	"slices"
	"time"

	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
)

// This file remembers cancellations of jobs that are not known. A daemon or a link may
// hold a submission back while its caller leaves and cancels the job through another
// daemon; see docs/design/withdrawals.md.

const (
	// withdrawalTime is how long a withdrawal is remembered: longer than a submission that
	// was sent before it may be held back.
	withdrawalTime = 40 * time.Second
	// withdrawalRefresh is the age from which a repeated cancellation is recorded again, so
	// that it is remembered for as long as the first.
	withdrawalRefresh = time.Second
	// maxWithdrawals bounds the withdrawals that are remembered: 400 a second.
	maxWithdrawals = 16384
)

// recordedWithdrawal tells when this leader recorded or found a withdrawal.
type recordedWithdrawal struct {
	number tracker.WithdrawalNumber
	at     time.Time
}

// recoverWithdrawals lets the withdrawals of earlier leaders count from now: their clocks
// are not comparable.
func (p *Planner) recoverWithdrawals(now Moment) {
	p.withdrawals = nil
	if p.State.Withdrawals() > 0 {
		p.withdrawals = append(p.withdrawals, recordedWithdrawal{p.State.LatestWithdrawal(), now.Monotonic})
	}
}

// withdraw remembers the cancellation of a job that is not known, by a caller of a workspace.
func (p *Planner) withdraw(id definer.JobID, owner definer.WorkspaceName, now Moment) {
	if p.without(WithoutWithdrawals) || p.State.Format < tracker.FormatBegun {
		return
	}
	if n := p.State.Withdrawal(id, owner); n > 0 && now.Monotonic.Sub(p.withdrawnAt(n)) < withdrawalRefresh {
		return
	}
	number := p.State.LatestWithdrawal() + 1
	p.emit(tracker.Event{JobWithdrawn: &tracker.Withdrawal{Job: id, Number: number, Workspace: owner}}, now)
	p.withdrawals = append(p.withdrawals, recordedWithdrawal{number, now.Monotonic})
	p.Counters.Withdrawn++
}

// withdrawnAt returns when a withdrawal that is remembered was recorded, or found.
func (p *Planner) withdrawnAt(n tracker.WithdrawalNumber) time.Time {
	i, _ := slices.BinarySearchFunc(p.withdrawals, n, func(w recordedWithdrawal, n tracker.WithdrawalNumber) int {
		if w.number < n {
			return -1
		}
		return 1
	})
	return p.withdrawals[i].at
}

// forgetWithdrawals forgets withdrawals that are old, and the oldest if there are too
// many.
func (p *Planner) forgetWithdrawals(now Moment) {
	through := tracker.WithdrawalNumber(0)
	n := 0
	for n < len(p.withdrawals) && now.Monotonic.Sub(p.withdrawals[n].at) > withdrawalTime {
		through = p.withdrawals[n].number
		n++
	}
	if early := p.State.Withdrawals() - maxWithdrawals; early > 0 {
		if last := p.State.OldestWithdrawals(early); last > through {
			p.round.WithdrawalsDropped += int(last - max(through, p.State.OldestWithdrawals(1)-1))
			through = last
		}
	}
	if through == 0 {
		return
	}
	for n < len(p.withdrawals) && p.withdrawals[n].number <= through {
		n++
	}
	p.withdrawals = slices.Clone(p.withdrawals[n:])
	p.emit(tracker.Event{WithdrawalsForgotten: &tracker.WithdrawalsForgotten{Through: through}}, now)
	if p.round.WithdrawalsDropped > 0 && now.Monotonic.Sub(p.droppedLoggedAt) >= droppedLogInterval {
		p.droppedLoggedAt = now.Monotonic
		p.log("cancellations of unknown jobs forgotten early", "remembered", p.State.Withdrawals(), "dropped", p.round.WithdrawalsDropped)
	}
}

// droppedLogInterval bounds the lines about withdrawals that are forgotten early.
const droppedLogInterval = time.Second
