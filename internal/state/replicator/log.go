package replicator

import (
	"masticroad/internal/control/registrar"
)

// This file holds the log in memory: the last snapshot and the entries after it.
// entries[0] has the index that follows the snapshot's.

type raftLog struct {
	snap    Snapshot
	entries []Entry
}

func (l *raftLog) lastIndex() registrar.Index {
	return l.snap.Index + registrar.Index(len(l.entries))
}

func (l *raftLog) lastTerm() registrar.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i; ok is false if the entry is
// compacted or not appended yet.
func (l *raftLog) term(i registrar.Index) (t registrar.Term, ok bool) {
	if i == l.snap.Index {
		return l.snap.Term, true
	}
	if i < l.snap.Index || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.snap.Index-1].Term, true
}

// slice returns the entries from index lo to hi, both inclusive.
func (l *raftLog) slice(lo, hi registrar.Index) []Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.snap.Index-1 : hi-l.snap.Index]
}

// entriesFrom returns the entries from index lo on, up to maxBytes but at least
// one entry.
func (l *raftLog) entriesFrom(lo registrar.Index, maxBytes int) []Entry {
	if lo > l.lastIndex() {
		return nil
	}
	all := l.slice(lo, l.lastIndex())
	size := 0
	for i := range all {
		size += len(all[i].Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

func entriesSize(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + entryOverhead
	}
	return size
}

const entryOverhead = 16 // approximate bytes of an entry besides its data

// truncate removes the entries from index i on.
func (l *raftLog) truncate(i registrar.Index) {
	keep := l.slice(l.snap.Index+1, i-1)
	l.entries = append([]Entry(nil), keep...)
}

// compact replaces the log up to the snapshot's index by the snapshot. Entries
// after it are kept only if the log agrees with the snapshot there.
func (l *raftLog) compact(snap Snapshot) {
	var rest []Entry
	if t, ok := l.term(snap.Index); ok && t == snap.Term {
		rest = append(rest, l.slice(snap.Index+1, l.lastIndex())...)
	}
	l.snap = snap
	l.entries = rest
}

func (l *raftLog) isUpToDate(index registrar.Index, term registrar.Term) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}

// latestVoters returns the newest voter list, committed or not, and the index of
// its entry.
func (l *raftLog) latestVoters() ([]ReplicaID, registrar.Index) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Type == EntryVoters {
			return decodeVoters(l.entries[i].Data), l.entries[i].Index
		}
	}
	return l.snap.Voters, l.snap.Index
}
