package decider

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"masticroad/internal/control/registrar"
)

// This file computes the digest of what a target runs, which stands for the
// whole list in most announcements. Example: a target with the attempts 7/1
// and 9/2 gives DigestAttempt(7, 1) ^ DigestAttempt(9, 2).

// DigestAttempt returns the digest of one running attempt.
func DigestAttempt(id registrar.TaskID, a registrar.Attempt) registrar.Digest {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(id))
	binary.LittleEndian.PutUint32(b[8:], uint32(a))
	return registrar.Digest(xxhash.Sum64(b[:]))
}

// DigestLeaving returns the part of the digest that tells whether a target
// leaves.
func DigestLeaving(leaving bool) registrar.Digest {
	if leaving {
		return registrar.Digest(xxhash.Sum64String("leaving"))
	}
	return 0
}

// DigestText returns the digest of a name or of any other text.
func DigestText(name string) registrar.Digest {
	return registrar.Digest(xxhash.Sum64String(name))
}

// DigestJob returns the digest of what a job declares. Tasks of a service with
// another digest are replaced.
func DigestJob(j *registrar.Job) registrar.Digest {
	text := fmt.Sprintf("%d|%d|%v|%s|%d|%s|%t", j.Kind, j.Class, j.Need, j.Payload, j.RunTime, j.Region, j.Once)
	return DigestText(text)
}
