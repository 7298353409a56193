package dispatcher

import (
	stderrors "errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"masticroad/internal/peer/connector"
	"masticroad/internal/workflow/planner"
)

// This file records calls without an answer: each in a counter by cause, and the
// first ones of each second in the log.

const (
	failureLogInterval = time.Second
	failuresPerLog     = 20 // lines in an interval; a lost target causes about two a second
)

// failureLog bounds the log lines about failed calls.
type failureLog struct {
	mu      sync.Mutex
	since   time.Time // begin of the present interval
	written int
	dropped int
}

// take reports whether a line may be written now, and how many were dropped since
// the previous interval.
func (l *failureLog) take(now time.Time) (write bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= failureLogInterval {
		l.since, l.written = now, 0
		dropped, l.dropped = l.dropped, 0
	}
	if l.written >= failuresPerLog {
		l.dropped++
		return false, dropped
	}
	l.written++
	return true, dropped
}

func (d *Dispatcher) recordFailure(kind, target string, err error, failure planner.SendFailure) {
	if err == nil {
		return
	}
	cause := "Answer" // it was answered, but not as the protocol demands
	var e *connector.CallError
	if stderrors.As(err, &e) {
		cause = e.Cause.String()
	}
	d.Meter.CallFailed(kind, cause)
	write, dropped := d.failures.take(time.Now())
	if dropped > 0 {
		d.Log.Warn("calls without an answer were not logged", "calls", dropped)
	}
	if write {
		d.Log.Warn("call was not answered", "call", kind, "target", target, "cause", cause, "sent", failure.String(), "error", err)
	}
}

// withoutPanic runs a call and turns a panic into an error: an answer that the decoders
// do not expect must not end the daemon.
func withoutPanic(call func() error) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("panic: %v\n%s", x, debug.Stack())
		}
	}()
	return call()
}
