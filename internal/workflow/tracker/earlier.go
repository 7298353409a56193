package tracker

// This file lets a replica act as a version from before FormatChecked or FormatGangRuns,
// for tests of upgrades. Such a version passes over events and fields that it does not know.

// decodeLeniently decodes an entry as versions before FormatChecked do.
func decodeLeniently(data []byte) (Entry, error) {
	var e Entry
	err := decMode.Unmarshal(data, &e)
	return e, err
}

// withoutFormats returns what an earlier version reads of an event.
func (ev Event) withoutFormats() Event {
	ev.FormatRaised, ev.JobWithdrawn, ev.WithdrawalsForgotten = nil, nil, nil
	if ev.TargetSeen != nil {
		seen := *ev.TargetSeen
		seen.Target.AnyLeaseLeft = 0
		ev.TargetSeen = &seen
	}
	return ev
}

// dropFormats removes what an earlier version does not read of a snapshot.
func (s *State) dropFormats() {
	s.Format = 0
	s.withdrawals = withdrawals{}
	for _, t := range s.Targets {
		t.AnyLeaseLeft = 0
	}
	for _, j := range s.Jobs {
		j.Begun = false
		for _, o := range j.Occurrences {
			for i := range o.Steps {
				o.Steps[i].FailedRun = 0
			}
		}
	}
}
