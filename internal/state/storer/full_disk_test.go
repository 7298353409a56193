package storer_test

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
	"masticroad/internal/state/storer"
)

// This file tests a disk that refuses every operation for a time: from a given
// operation or a given byte on, until there is room again.

// fullDisk counts the operations on its files and refuses some of them.
type fullDisk struct {
	operations int
	fullFrom   int // number of the first operation that is refused; negative: none
	fullTo     int // number of the operation before which there is room again
	torn       int // bytes that a refused write takes
	removals   bool
}

func (d *fullDisk) refuse() error {
	n := d.operations
	d.operations++
	if d.fullFrom >= 0 && n >= d.fullFrom && n < d.fullTo {
		return syscall.ENOSPC
	}
	return nil
}

// Create creates a file, which stays empty on a full disk.
func (d *fullDisk) Create(path string) (storer.File, error) {
	if err := d.refuse(); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	return &fullDiskFile{f, d}, err
}

// Rename renames a file.
func (d *fullDisk) Rename(from, to string) error {
	if err := d.refuse(); err != nil {
		return err
	}
	return os.Rename(from, to)
}

// Remove removes a file; with removals, a full disk refuses that too.
func (d *fullDisk) Remove(path string) error {
	if d.removals {
		if err := d.refuse(); err != nil {
			return err
		}
	}
	return os.Remove(path)
}

// SyncFolder syncs nothing: the process is stopped, the machine is not.
func (d *fullDisk) SyncFolder(string) error { return d.refuse() }

type fullDiskFile struct {
	file *os.File
	disk *fullDisk
}

// Write writes p; on a full disk, the first bytes of it.
func (f *fullDiskFile) Write(p []byte) (int, error) {
	if err := f.disk.refuse(); err != nil {
		n, _ := f.file.Write(p[:min(f.disk.torn, len(p))])
		return n, err
	}
	return f.file.Write(p)
}

// Sync syncs nothing.
func (f *fullDiskFile) Sync() error { return f.disk.refuse() }

// Close closes the file.
func (f *fullDiskFile) Close() error { return f.file.Close() }

// replicaState is the state that a replica has handed to its storage.
type replicaState struct {
	snap    replicator.Snapshot
	hard    replicator.HardState
	last    int // index of the newest entry
	entries []replicator.Entry
}

// assertHolds opens a copy of a folder, as a process does that is started again,
// and checks that it holds what was acknowledged and nothing that was not handed
// to the storage.
func assertHolds(c *quicktest.C, folder string, acked, handed replicaState, comment quicktest.Comment) {
	copied, err := os.MkdirTemp(folder+"-copies", "")
	c.Assert(err, quicktest.IsNil)
	copyFolder(c, folder, copied)
	s := &storer.Storer{Folder: copied, Files: &fullDisk{fullFrom: -1}}
	_, saved, err := s.Open(identity)
	c.Assert(err, quicktest.IsNil, comment)
	c.Assert(s.Close(), quicktest.IsNil)
	last := int(saved.Snapshot.Index) + len(saved.Entries)
	c.Assert(last >= acked.last && last <= handed.last, quicktest.IsTrue, comment)
	c.Assert(saved.Snapshot.Index >= acked.snap.Index && saved.Snapshot.Index <= handed.snap.Index, quicktest.IsTrue, comment)
	c.Assert(saved.Entries, quicktest.DeepEquals, entries(int(saved.Snapshot.Index)+1, last, 1), comment)
	c.Assert(saved.Hard == acked.hard || saved.Hard == handed.hard, quicktest.IsTrue, comment)
}

// stepsOfReplica are writes of a replica: appends and snapshots.
var stepsOfReplica = []func(*replicaState, *storer.Storer) error{
	func(r *replicaState, s *storer.Storer) error { return r.save(s, 3) },
	func(r *replicaState, s *storer.Storer) error { return r.save(s, 1) },
	func(r *replicaState, s *storer.Storer) error { return r.compact(s, 2) },
	func(r *replicaState, s *storer.Storer) error { return r.save(s, 2) },
	func(r *replicaState, s *storer.Storer) error { return r.compact(s, 6) },
	func(r *replicaState, s *storer.Storer) error { return r.save(s, 0) },
	func(r *replicaState, s *storer.Storer) error { return r.save(s, 4) },
}

func (r *replicaState) save(s *storer.Storer, count int) error {
	added := entries(r.last+1, r.last+count, 1)
	r.entries = append(r.entries, added...)
	r.last += count
	r.hard = replicator.HardState{Term: r.hard.Term + 1, Vote: "vm1.1"}
	return s.Save(r.hard, added)
}

func (r *replicaState) compact(s *storer.Storer, index int) error {
	r.entries = entries(index+1, r.last, 1)
	r.snap = replicator.Snapshot{Index: registrar.Index(index), Term: 1, Voters: identity.Voters, Data: []byte(fmt.Sprint("tables at ", index))}
	return s.SaveSnapshot(r.snap, r.hard, r.entries)
}

// playFullDisk plays the steps on a disk and rewrites the state after each error
// until that succeeds. After each error and at the end the folder must hold what
// was acknowledged, and after the next rewrite no other files.
func playFullDisk(c *quicktest.C, prepared string, disk *fullDisk, steps []func(*replicaState, *storer.Storer) error, comment quicktest.Comment) {
	parent := c.TempDir()
	folder := filepath.Join(parent, "data")
	c.Assert(os.MkdirAll(folder, 0o750), quicktest.IsNil)
	c.Assert(os.MkdirAll(folder+"-copies", 0o750), quicktest.IsNil)
	copyFolder(c, prepared, folder)
	s := &storer.Storer{Folder: folder, Files: disk}
	var acked, handed replicaState
	_, _, err := s.Open(identity)
	c.Assert(err, quicktest.IsNil, comment)
	for _, step := range steps {
		err := step(&handed, s)
		for attempt := 0; err != nil; attempt++ {
			c.Assert(attempt < 100, quicktest.IsTrue, comment)
			assertHolds(c, folder, acked, handed, comment)
			c.Assert(s.Save(handed.hard, nil), quicktest.IsNotNil, comment)
			err = s.Rewrite(handed.snap, handed.hard, handed.entries)
		}
		acked = handed
	}
	assertHolds(c, folder, handed, handed, comment)
	disk.fullFrom = -1
	c.Assert(s.Rewrite(handed.snap, handed.hard, handed.entries), quicktest.IsNil, comment)
	c.Assert(s.Close(), quicktest.IsNil, comment)
	assertHolds(c, folder, handed, handed, comment)
	c.Assert(glob(c, folder, "LOG-*"), quicktest.HasLen, 1, comment)
	c.Assert(glob(c, folder, "*.new"), quicktest.HasLen, 0, comment)
}

func glob(c *quicktest.C, folder, pattern string) []string {
	files, err := filepath.Glob(filepath.Join(folder, pattern))
	c.Assert(err, quicktest.IsNil)
	return files
}

func TestDiskFullFromAnyOperationOnKeepsAcknowledgedState(t *testing.T) {
	c := quicktest.New(t)
	prepared := prepare(c)
	count := &fullDisk{fullFrom: -1}
	playFullDisk(c, prepared, count, stepsOfReplica, quicktest.Commentf("no fault"))
	c.Assert(count.operations > 30, quicktest.IsTrue)
	for from := range count.operations {
		for _, length := range []int{1, 3, 12} {
			disk := &fullDisk{fullFrom: from, fullTo: from + length, torn: from * 7 % 60, removals: from%2 == 0}
			playFullDisk(c, prepared, disk, stepsOfReplica, quicktest.Commentf("operations %d to %d are refused", from, from+length))
		}
	}
}

func TestDiskFullAtAnyByteOfRecordKeepsAcknowledgedState(t *testing.T) {
	c := quicktest.New(t)
	prepared := prepare(c)
	probe := &fullDisk{fullFrom: -1}
	s := &storer.Storer{Folder: c.TempDir(), Files: probe}
	copyFolder(c, prepared, s.Folder)
	_, _, err := s.Open(identity)
	c.Assert(err, quicktest.IsNil)
	opened := probe.operations
	c.Assert(s.Close(), quicktest.IsNil)
	// The first operation after Open is the write of the first record, the second
	// one its sync. The largest record has 200 bytes.
	for torn := range 200 {
		disk := &fullDisk{fullFrom: opened, fullTo: opened + 1 + torn%8, torn: torn}
		playFullDisk(c, prepared, disk, stepsOfReplica[:2], quicktest.Commentf("%d bytes of the record are written", torn))
	}
}
