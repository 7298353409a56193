package tracker

import (
	"maps"
	"slices"

	"masticroad/internal/workflow/definer"
)

// This file remembers withdrawals: cancellations of jobs that were not known. The caller
// was told that such a job does not exist, so that it must not be accepted afterwards,
// when its submission arrives after having been held up on its way.

// WithdrawalNumber numbers withdrawals, from 1, in the order in which they were made.
type WithdrawalNumber uint64

// Withdrawal is the cancellation of a job that was not known.
type Withdrawal struct {
	Job    definer.JobID    `cbor:"1,keyasint"`
	Number WithdrawalNumber `cbor:"2,keyasint"`
	// Workspace is that of the caller; empty: none. It withdraws no job of another one.
	Workspace definer.WorkspaceName `cbor:"3,keyasint,omitempty"`
}

// withdrawn identifies what a withdrawal withdraws.
type withdrawn struct {
	job       definer.JobID
	workspace definer.WorkspaceName
}

func (w *Withdrawal) subject() withdrawn { return withdrawn{w.Job, w.Workspace} }

// WithdrawalsForgotten ends the memory of the withdrawals up to a number.
type WithdrawalsForgotten struct {
	Through WithdrawalNumber `cbor:"1,keyasint"`
}

// withdrawals holds the withdrawals that are remembered.
type withdrawals struct {
	numbers map[withdrawn]WithdrawalNumber // of the latest withdrawal of each job
	order   []Withdrawal                   // by number; a job that was withdrawn again has earlier ones as well
	latest  WithdrawalNumber               // forgotten ones included
}

// Withdrawal returns the number of the latest withdrawal of a job of a workspace that is remembered, 0
// if there is none. One without a workspace is from before the document declared any.
func (s *State) Withdrawal(id definer.JobID, workspace definer.WorkspaceName) WithdrawalNumber {
	return max(s.withdrawals.numbers[withdrawn{id, workspace}], s.withdrawals.numbers[withdrawn{id, ""}])
}

// LatestWithdrawal returns the highest number of a withdrawal so far.
func (s *State) LatestWithdrawal() WithdrawalNumber { return s.withdrawals.latest }

// Withdrawals returns how many withdrawals are remembered, repeated ones included.
func (s *State) Withdrawals() int { return len(s.withdrawals.order) }

// OldestWithdrawals returns the number of the nth withdrawal that is remembered, counted
// from the oldest, which is 1.
func (s *State) OldestWithdrawals(n int) WithdrawalNumber { return s.withdrawals.order[n-1].Number }

func (s *State) withdraw(w Withdrawal) {
	x := &s.withdrawals
	if s.Jobs[w.Job] != nil || w.Number <= x.latest {
		return
	}
	if x.numbers == nil {
		x.numbers = make(map[withdrawn]WithdrawalNumber)
	}
	x.numbers[w.subject()] = w.Number
	x.order = append(x.order, w)
	x.latest = w.Number
}

func (s *State) forgetWithdrawals(through WithdrawalNumber) {
	x := &s.withdrawals
	n := 0
	for n < len(x.order) && x.order[n].Number <= through {
		if w := x.order[n]; x.numbers[w.subject()] == w.Number {
			delete(x.numbers, w.subject())
		}
		n++
	}
	x.order = slices.Clone(x.order[n:])
}

func (x *withdrawals) clone() withdrawals {
	return withdrawals{maps.Clone(x.numbers), slices.Clone(x.order), x.latest}
}

// restoreWithdrawals returns the withdrawals of a snapshot.
func restoreWithdrawals(order []Withdrawal, latest WithdrawalNumber) withdrawals {
	x := withdrawals{order: order, latest: latest}
	if len(order) > 0 {
		x.numbers = make(map[withdrawn]WithdrawalNumber, len(order))
	}
	for _, w := range order {
		x.numbers[w.subject()] = w.Number
	}
	return x
}
