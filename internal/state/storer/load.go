package storer

import (
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/state/replicator"
)

// This file loads a data folder. The first frame of a segment holds the hard state
// and all entries after the snapshot, so one segment is enough. Two exist if the
// process stopped between writing a new one and removing the old one.

var decMode = mustDecMode()

// maxElements bounds the entries of a frame, which maxFrameSize bounds as well.
const maxElements = 1 << 26

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// load reads the snapshot and the newest segment with a valid first frame.
func (s *Storer) load(id Identity) (replicator.StoredState, error) {
	saved, err := s.loadSnapshot(id)
	if err != nil {
		return saved, err
	}
	numbers, err := s.segments()
	if err != nil {
		return saved, err
	}
	for i := len(numbers) - 1; i >= 0; i-- {
		s.segmentNumber = max(s.segmentNumber, numbers[i])
		found, err := s.loadSegment(numbers[i], i > 0, &saved)
		if err != nil || found {
			return saved, err
		}
	}
	return saved, nil
}

func (s *Storer) loadSnapshot(id Identity) (replicator.StoredState, error) {
	saved := replicator.StoredState{Snapshot: replicator.Snapshot{Voters: id.Voters}}
	path := filepath.Join(s.Folder, snapshotName)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return saved, nil
	}
	if err != nil {
		return saved, errors.Annotate(err, "storage: read snapshot")
	}
	f, ok := readFrame(data)
	if !ok {
		return saved, &CorruptionError{path, 0, "checksum of the snapshot does not match"}
	}
	if err := decMode.Unmarshal(f.payload, &saved.Snapshot); err != nil {
		return saved, &CorruptionError{path, 0, err.Error()}
	}
	return saved, nil
}

// loadSegment reads the frames of a segment and reports whether the first one is
// valid. If it is torn and an older segment exists, the segment is skipped.
func (s *Storer) loadSegment(number uint64, hasOlder bool, saved *replicator.StoredState) (bool, error) {
	path := s.segmentPath(number)
	data, err := os.ReadFile(path)
	if err != nil {
		return false, errors.Annotate(err, "storage: read segment")
	}
	offset, first := 0, true
	for offset < len(data) {
		f, ok := readFrame(data[offset:])
		if !ok || !first && f.number != s.lastFrame+1 {
			return !first, s.checkTail(path, data, offset, first, hasOlder)
		}
		if err := applyRecord(f.payload, saved); err != nil {
			return false, &CorruptionError{path, int64(offset), err.Error()}
		}
		s.lastFrame = f.number
		first = false
		offset += f.size
	}
	return !first, nil
}

// checkTail distinguishes a torn tail, which is discarded, from corruption of
// synced frames, for which it returns an error. Older segments are removed only
// after the first frame of a newer one is synced, so a torn first frame without
// an older segment is corruption, except in the first segment of a folder.
func (s *Storer) checkTail(path string, data []byte, offset int, first, hasOlder bool) error {
	if first && hasOlder {
		return nil
	}
	if first && s.segmentNumber > 1 || findLaterFrame(data[offset:], s.lastFrame) >= 0 {
		return &CorruptionError{path, int64(offset), "checksum of a synced frame does not match"}
	}
	return nil
}

func applyRecord(payload []byte, saved *replicator.StoredState) error {
	var r record
	if err := decMode.Unmarshal(payload, &r); err != nil {
		return errors.Trace(err)
	}
	saved.Hard = r.Hard
	for _, e := range r.Entries {
		if e.Index <= saved.Snapshot.Index {
			continue
		}
		keep := e.Index - saved.Snapshot.Index - 1
		if keep > registrar.Index(len(saved.Entries)) {
			return errors.Errorf("entry %d leaves a gap after %d", e.Index, saved.Snapshot.Index+registrar.Index(len(saved.Entries)))
		}
		saved.Entries = append(saved.Entries[:keep], e)
	}
	return nil
}
