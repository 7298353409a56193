package registrar

import (
	"fmt"
	"time"
)

// This file defines types for the ids and units that the other packages use, so
// that the compiler rejects, for example, a CPU amount where a memory size is
// expected. A target with 16 cores and 32 GiB has the capacity
// Need{CPU: 16000, Memory: 32768}.

// CallerName identifies a caller, which is the customer on whose behalf work runs.
type CallerName string

// TargetName identifies a target, a back end that runs tasks.
type TargetName string

// DaemonName identifies one daemon of the cell.
type DaemonName string

// ZoneName identifies an availability zone.
type ZoneName string

// RegionName identifies a region, which holds availability zones.
type RegionName string

// RackName identifies a rack within an availability zone.
type RackName string

// JobName identifies a job within its caller.
type JobName string

// Key is the idempotency key that a caller assigns to a request.
type Key string

// ChangeID identifies an operator's change, also when it is resent.
type ChangeID string

// TaskID identifies a task in the cell. Ids are not reused.
type TaskID uint64

// Attempt counts the starts of a task, from 1.
type Attempt uint32

// Incarnation distinguishes the restarts of a daemon or target. It grows with each
// restart.
type Incarnation uint64

// Revision counts the accepted changes of the configuration.
type Revision uint64

// Index is a position in the replicated log.
type Index uint64

// Term is an election term of the replicated log.
type Term uint64

// Digest is a 64-bit hash of encoded content.
type Digest uint64

// MilliCPU is a thousandth of a processor.
type MilliCPU int64

// MiB is a memory size in mebibytes.
type MiB int64

// Accelerators is a number of accelerators.
type Accelerators int64

// Millis is a point in time, in milliseconds since the Unix epoch.
type Millis int64

// MillisOf converts t to milliseconds since the Unix epoch.
func MillisOf(t time.Time) Millis {
	return Millis(t.UnixMilli())
}

// Time converts m to a time in UTC.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m)).UTC()
}

// Add returns the point in time d after m.
func (m Millis) Add(d time.Duration) Millis {
	return m + Millis(d.Milliseconds())
}

// Need is an amount of each resource: the request of a task, the capacity of a
// target, or a quota.
type Need struct {
	CPU          MilliCPU     `cbor:"1,keyasint,omitempty" json:"MilliCPU"`
	Memory       MiB          `cbor:"2,keyasint,omitempty" json:"MemoryMiB"`
	Accelerators Accelerators `cbor:"3,keyasint,omitempty" json:"Accelerators"`
}

// Plus returns n increased by m.
func (n Need) Plus(m Need) Need {
	return Need{n.CPU + m.CPU, n.Memory + m.Memory, n.Accelerators + m.Accelerators}
}

// Minus returns n reduced by m.
func (n Need) Minus(m Need) Need {
	return Need{n.CPU - m.CPU, n.Memory - m.Memory, n.Accelerators - m.Accelerators}
}

// Times returns n multiplied by k.
func (n Need) Times(k int) Need {
	return Need{n.CPU * MilliCPU(k), n.Memory * MiB(k), n.Accelerators * Accelerators(k)}
}

// FitsIn reports whether n is at most capacity in every resource.
func (n Need) FitsIn(capacity Need) bool {
	return n.CPU <= capacity.CPU && n.Memory <= capacity.Memory && n.Accelerators <= capacity.Accelerators
}

// Max returns the larger of n and m in each resource.
func (n Need) Max(m Need) Need {
	return Need{max(n.CPU, m.CPU), max(n.Memory, m.Memory), max(n.Accelerators, m.Accelerators)}
}

// IsZero reports whether n is zero in every resource.
func (n Need) IsZero() bool {
	return n == Need{}
}

// DominantShare returns the largest fraction that n has of any resource in total.
// Resources that are zero in total are ignored.
func (n Need) DominantShare(total Need) float64 {
	share := 0.0
	if total.CPU > 0 {
		share = max(share, float64(n.CPU)/float64(total.CPU))
	}
	if total.Memory > 0 {
		share = max(share, float64(n.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(n.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// String returns n in a readable form.
func (n Need) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d acc", n.CPU, n.Memory, n.Accelerators)
}
