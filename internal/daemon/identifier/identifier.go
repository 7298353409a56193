// Package identifier tells which build of the program this process runs.
package identifier

import (
	"bytes"
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

// This file reads the revision that the Go tool has recorded, and the build id. A program
// that was built from a copy without version control has the build id only.

// unknown stands for what the program does not hold.
const unknown = "unknown"

// digits is the length to which revisions and build ids are shortened.
const digits = 12

// Program names a build.
type Program struct {
	// Revision is that of version control, shortened, such as "8d0ec6c1f2a4", and "+dirty"
	// if files were modified; "unknown" if none was recorded.
	Revision string
	// ID is the start of the hash of the program's content: the last part of what `go tool
	// buildid` prints. "unknown" if the program has none, or isn't an ELF file.
	ID string
}

// Build returns the build of this process.
var Build = sync.OnceValue(func() Program {
	p := Program{Revision: unknown, ID: unknown}
	if info, ok := debug.ReadBuildInfo(); ok {
		p.Revision = revision(info)
	}
	if path, err := os.Executable(); err == nil {
		p.ID = contentID(path)
	}
	return p
})

func revision(info *debug.BuildInfo) string {
	settings := make(map[string]string)
	for _, x := range info.Settings {
		settings[x.Key] = x.Value
	}
	out := settings["vcs.revision"]
	if out == "" {
		return unknown
	}
	out = out[:min(digits, len(out))]
	if settings["vcs.modified"] == "true" {
		out += "+dirty"
	}
	return out
}

// noteHeader is the length of the header of an ELF note with the name "Go".
const noteHeader = 16

// contentID returns the last part of the build id of a program, shortened.
func contentID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return unknown
	}
	defer func() { _ = f.Close() }() // it was only read
	section := f.Section(".note.go.buildid")
	if section == nil {
		return unknown
	}
	note, err := section.Data()
	if err != nil || len(note) < noteHeader {
		return unknown
	}
	size := int(min(f.ByteOrder.Uint32(note[4:]), uint32(len(note)-noteHeader)))
	id := string(bytes.TrimRight(note[noteHeader:noteHeader+size], "\x00"))
	id = id[strings.LastIndexByte(id, '/')+1:]
	if id == "" {
		return unknown
	}
	return id[:min(digits, len(id))]
}
