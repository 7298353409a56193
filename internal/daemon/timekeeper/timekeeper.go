// Package timekeeper reads the clocks that leases need.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"

	"masticroad/internal/control/registrar"
	"masticroad/internal/workflow/planner"
)

// Timekeeper reads the VM's clocks.
type Timekeeper struct{}

// Monotonic returns the time since the VM was booted as a point in time. It never
// jumps. Unlike the monotonic reading of time.Now it advances while the VM is
// suspended, so that a leader finds its leases expired when it resumes.
func (Timekeeper) Monotonic() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timekeeper: the kernel has no CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has it
	}
	return time.Unix(ts.Unix())
}

// Now returns the current time of the monotonic and the wall clock.
func (t Timekeeper) Now() planner.Moment {
	return planner.Moment{Monotonic: t.Monotonic(), Wall: registrar.MillisOf(time.Now())}
}
