package decider

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"masticroad/internal/control/registrar"
)

// This file computes the digest of the attempts that a target runs, which
// replaces the complete list in most announcements. It is the XOR of the
// digests of all attempts and of DigestLeaving, so it does not depend on their
// order.

// DigestAttempt returns the digest of one running attempt.
func DigestAttempt(id registrar.TaskID, a registrar.Attempt) registrar.Digest {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[0:], uint64(id))
	binary.LittleEndian.PutUint32(b[8:], uint32(a))
	return registrar.Digest(xxhash.Sum64(b[:]))
}

// DigestLeaving returns the part of the digest that encodes whether a target is
// leaving.
func DigestLeaving(leaving bool) registrar.Digest {
	if leaving {
		return registrar.Digest(xxhash.Sum64String("leaving"))
	}
	return 0
}

// DigestText returns the digest of a name or other text.
func DigestText(name string) registrar.Digest {
	return registrar.Digest(xxhash.Sum64String(name))
}

// DigestJob returns the digest of a job's declaration. Service tasks with
// another digest are replaced.
func DigestJob(j *registrar.Job) registrar.Digest {
	text := fmt.Sprintf("%d|%d|%v|%s|%d|%s|%t", j.Kind, j.Class, j.Need, j.Payload, j.RunTime, j.Region, j.Once)
	return DigestText(text)
}
