// Package storer stores the log, the hard state and the snapshot of a replica in
// its data folder. A write is acknowledged once it is synced. A torn tail is
// discarded when the folder is opened; corruption before the tail is an error.
//
// The folder holds LOCK, IDENTITY (cell, group, replica), SNAPSHOT, and log
// segments of frames, named LOG-<number>.
package storer

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

const (
	lockName      = "LOCK"
	identityName  = "IDENTITY"
	snapshotName  = "SNAPSHOT"
	segmentPrefix = "LOG-"
	folderMode    = 0o750
	fileMode      = 0o640
)

// Identity names the owner of a data folder.
type Identity struct {
	Cell    string                 `cbor:"1,keyasint"`
	Group   replicator.GroupID     `cbor:"2,keyasint"`
	Replica replicator.ReplicaID   `cbor:"3,keyasint"`
	Voters  []replicator.ReplicaID `cbor:"4,keyasint,omitempty"` // at the bootstrap of a cell
}

// CorruptionError reports that synced data is invalid.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("storage: %s at offset %d: %s; restore this replica by wiping the folder and letting it join anew", e.File, e.Offset, e.Reason)
}

// IdentityError reports that a folder belongs to another cell, group or daemon.
type IdentityError struct {
	Folder     string
	Want, Have Identity
}

// Error describes the mismatch.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("storage: %s belongs to cell %q, group %d, replica %q, not to cell %q, group %d, daemon %q", e.Folder, e.Have.Cell, e.Have.Group, e.Have.Replica, e.Want.Cell, e.Want.Group, replicator.NameOf(e.Want.Replica))
}

// File is the part of os.File that a Storer uses. Tests inject faults by it.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Files is the part of the file system that a Storer writes to. Tests inject
// faults by it.
type Files interface {
	Create(path string) (File, error) // fails if the file exists
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// record is the payload of a frame: the hard state and entries of one write.
type record struct {
	Hard    replicator.HardState `cbor:"1,keyasint"`
	Entries []replicator.Entry   `cbor:"2,keyasint,omitempty"`
}

// Storer stores the state of one replica. Folder must be set before Open.
type Storer struct {
	Folder string
	Files  Files // nil: those of the operating system

	lock          *os.File
	segment       File
	segmentNumber uint64          // of the open segment
	lastSegment   uint64          // highest number given to a segment
	snapshotIndex registrar.Index // of the snapshot on disk
	lastFrame     uint64          // of the newest frame
	lastErr       error
}

// Prepare creates a folder, if needed, and writes the identity into it. It fails
// if there is one already.
func Prepare(folder string, id Identity) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Annotate(err, "storage: create folder")
	}
	if _, err := os.Stat(filepath.Join(folder, identityName)); err == nil {
		return errors.Errorf("storage: %s already has an identity", folder)
	}
	data, err := cbor.Marshal(id)
	if err != nil {
		return errors.Trace(err)
	}
	return writeFileAtomic(systemFiles{}, folder, identityName, appendFrame(nil, 0, data))
}

// ReadIdentity returns the identity of a folder. ok is false if it has none.
func ReadIdentity(folder string) (id Identity, ok bool, err error) {
	path := filepath.Join(folder, identityName)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return id, false, nil
	}
	if err != nil {
		return id, false, errors.Annotate(err, "storage: read identity")
	}
	f, valid := readFrame(data)
	if !valid {
		return id, false, &CorruptionError{path, 0, "checksum of the identity does not match"}
	}
	if err := cbor.Unmarshal(f.payload, &id); err != nil {
		return id, false, &CorruptionError{path, 0, err.Error()}
	}
	return id, true, nil
}

// Open locks the folder, checks that it belongs to want (cell, group and the
// daemon's name) and loads its content. After an error the folder is unlocked.
func (s *Storer) Open(want Identity) (Identity, replicator.StoredState, error) {
	if err := s.lockFolder(); err != nil {
		return Identity{}, replicator.StoredState{}, err
	}
	id, saved, err := s.open(want)
	if err != nil {
		_ = s.Close()
	}
	return id, saved, err
}

func (s *Storer) open(want Identity) (Identity, replicator.StoredState, error) {
	var saved replicator.StoredState
	id, ok, err := ReadIdentity(s.Folder)
	if err != nil {
		return id, saved, err
	}
	if !ok {
		return id, saved, errors.NotFoundf("storage: identity in %s", s.Folder)
	}
	sameName := replicator.NameOf(id.Replica) == replicator.NameOf(want.Replica)
	if id.Cell != want.Cell || id.Group != want.Group || !sameName {
		return id, saved, &IdentityError{s.Folder, want, id}
	}
	saved, err = s.load(id)
	if err != nil {
		return id, saved, err
	}
	s.snapshotIndex, s.lastSegment = saved.Snapshot.Index, s.segmentNumber
	// An error here is not fatal: a later Rewrite may succeed.
	s.lastErr = s.startSegment(saved.Hard, saved.Entries)
	return id, saved, nil
}

// Err returns the error of the last write, or nil. While it is not nil, Save and
// SaveSnapshot fail.
func (s *Storer) Err() error { return s.lastErr }

func (s *Storer) lockFolder() error {
	if err := os.MkdirAll(s.Folder, folderMode); err != nil {
		return errors.Annotate(err, "storage: create folder")
	}
	f, err := os.OpenFile(filepath.Join(s.Folder, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Annotate(err, "storage: open lock")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return errors.Errorf("storage: %s is in use by another process", s.Folder)
	}
	s.lock = f
	return nil
}

// Close closes the files and unlocks the folder.
func (s *Storer) Close() error {
	var err error
	if s.segment != nil {
		err = s.segment.Close()
	}
	if s.lock != nil {
		_ = s.lock.Close()
		s.lock = nil
	}
	return errors.Trace(err)
}

// Save appends one frame and syncs it. After an error every further call fails
// until Rewrite succeeds, since the content of the disk is then unknown.
func (s *Storer) Save(hard replicator.HardState, entries []replicator.Entry) error {
	if s.lastErr != nil {
		return s.lastErr
	}
	if err := s.writeFrame(s.segment, s.segmentPath(s.segmentNumber), hard, entries); err != nil {
		s.lastErr = err
		return err
	}
	return nil
}

func (s *Storer) writeFrame(f File, path string, hard replicator.HardState, entries []replicator.Entry) error {
	payload, err := cbor.Marshal(record{hard, entries})
	if err != nil {
		return errors.Trace(err)
	}
	s.lastFrame++
	if _, err := f.Write(appendFrame(nil, s.lastFrame, payload)); err != nil {
		return errors.Annotatef(err, "storage: write %s", path)
	}
	return errors.Annotatef(f.Sync(), "storage: sync %s", path)
}

// SaveSnapshot writes the snapshot, then starts a segment that holds only the
// entries after it, then removes the older segments.
func (s *Storer) SaveSnapshot(snap replicator.Snapshot, hard replicator.HardState, rest []replicator.Entry) error {
	if s.lastErr != nil {
		return s.lastErr
	}
	s.lastErr = s.replaceState(snap, hard, rest)
	return s.lastErr
}

// Rewrite writes the complete state. It can be called after an error, and if it
// succeeds the Storer can be used again.
func (s *Storer) Rewrite(snap replicator.Snapshot, hard replicator.HardState, entries []replicator.Entry) error {
	s.lastErr = s.replaceState(snap, hard, entries)
	return s.lastErr
}

func (s *Storer) replaceState(snap replicator.Snapshot, hard replicator.HardState, rest []replicator.Entry) error {
	if snap.Index > s.snapshotIndex {
		data, err := cbor.Marshal(snap)
		if err != nil {
			return errors.Trace(err)
		}
		if err := writeFileAtomic(s.files(), s.Folder, snapshotName, appendFrame(nil, uint64(snap.Index), data)); err != nil {
			return err
		}
		s.snapshotIndex = snap.Index
	}
	return s.startSegment(hard, rest)
}

// startSegment starts a new segment with the given content and removes the older
// ones once it is synced. On an error the current segment remains.
func (s *Storer) startSegment(hard replicator.HardState, entries []replicator.Entry) error {
	old, err := s.segments()
	if err != nil {
		return err
	}
	s.lastSegment++
	path := s.segmentPath(s.lastSegment)
	f, err := s.files().Create(path)
	if err != nil {
		return errors.Annotate(err, "storage: create segment")
	}
	err = s.writeFrame(f, path, hard, entries)
	if err == nil {
		err = s.files().SyncFolder(s.Folder)
	}
	if err != nil {
		_ = f.Close()
		_ = s.files().Remove(path) // frees the space on a full disk; the older segments hold the synced data
		return err
	}
	if s.segment != nil {
		_ = s.segment.Close()
	}
	s.segment, s.segmentNumber = f, s.lastSegment
	for _, n := range old {
		if n < s.segmentNumber {
			_ = s.files().Remove(s.segmentPath(n))
		}
	}
	return nil
}

func (s *Storer) files() Files {
	if s.Files != nil {
		return s.Files
	}
	return systemFiles{}
}

func (s *Storer) segmentPath(n uint64) string {
	return filepath.Join(s.Folder, fmt.Sprintf("%s%012d", segmentPrefix, n))
}

func (s *Storer) segments() ([]uint64, error) {
	files, err := os.ReadDir(s.Folder)
	if err != nil {
		return nil, errors.Annotate(err, "storage: list folder")
	}
	var out []uint64
	for _, f := range files {
		text, ok := strings.CutPrefix(f.Name(), segmentPrefix)
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(text, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out, nil
}

func writeFileAtomic(files Files, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	temp := path + ".new"
	_ = files.Remove(temp) // left by an earlier attempt
	f, err := files.Create(temp)
	if err != nil {
		return errors.Annotate(err, "storage: create file")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Annotatef(err, "storage: write %s", temp)
	}
	if err := files.Rename(temp, path); err != nil {
		return errors.Annotatef(err, "storage: rename %s", temp)
	}
	return files.SyncFolder(folder)
}

// systemFiles are the files of the operating system.
type systemFiles struct{}

// Create creates a file for writing.
func (systemFiles) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// Rename replaces to by from.
func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (systemFiles) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the names in a folder durable.
func (systemFiles) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Annotate(err, "storage: open folder")
	}
	defer func() { _ = f.Close() }()
	return errors.Annotate(f.Sync(), "storage: sync folder")
}
