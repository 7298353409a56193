// Package receiver reads the bodies of requests within the memory budget of the process
// and within a time limit.
package receiver

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"masticroad/internal/daemon/budgeter"
	"masticroad/internal/peer/acceptor"
)

// This file reads bodies. A buffer grows only after the room of its connection has grown,
// so that a body that waits for room isn't read further.

const (
	firstPiece = 4 << 10 // bytes of the first buffer, unless the body is known to be smaller
	// timePerMiB extends the time for a body with what has arrived: at 2 Mbit/s a MiB
	// takes 4.2 s.
	timePerMiB = 6 * time.Second
	// RetryAfter is given with refusals for want of memory. Incomplete requests lose their
	// room within a second.
	RetryAfter = time.Second
)

// Receiver reads bodies. The exported fields are set before its use.
type Receiver struct {
	// Timeout is how long a body may take, apart from timePerMiB.
	Timeout time.Duration
}

// Errors of Read, beside *http.MaxBytesError and those of the budget.
var (
	ErrLate   = errors.New("the body did not arrive whole in time")
	ErrBroken = errors.New("the body did not arrive whole")
)

// Read reads the body of a request of at most limit bytes. Its room is released with
// the request. After an error the connection is closed behind the answer.
func (v *Receiver) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	data, err := v.read(w, r, limit)
	if err == nil {
		err = acceptor.Complete(r)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // the rest isn't waited for; some writers have no deadline
		return nil, err
	}
	return data, nil
}

func (v *Receiver) read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	b := &body{room: acceptor.Room(r), from: http.MaxBytesReader(w, r.Body, limit), known: r.ContentLength, limit: limit}
	control := http.NewResponseController(w)
	deadline := time.Now().Add(v.Timeout)
	_ = control.SetReadDeadline(deadline) // some writers have none
	for extended := 0; ; {
		err := b.fill(time.Now())
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, b.cause(err, deadline)
		}
		if arrived := len(b.data) >> 20; arrived > extended {
			extended = arrived
			deadline = deadline.Add(timePerMiB)
			_ = control.SetReadDeadline(deadline)
		}
	}
	_ = control.SetReadDeadline(time.Time{}) // answers may take longer
	return b.data, nil
}

// body is a body that is being read.
type body struct {
	room  *budgeter.Room
	from  io.Reader
	known int64 // length; negative: not known
	limit int64
	data  []byte
	err   error // of the connection
}

// fill reads until the buffer is full, or the body has ended, which is io.EOF.
func (b *body) fill(now time.Time) error {
	if len(b.data) == cap(b.data) {
		if err := b.grow(now); err != nil {
			return err
		}
	}
	n, err := b.from.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if err != nil {
		b.err = err
	}
	return err
}

// grow moves the body into a larger buffer. Both buffers are charged meanwhile.
func (b *body) grow(now time.Time) error {
	old := int64(cap(b.data))
	size := max(2*old, firstPiece)
	switch {
	case old == 0 && b.known >= 0:
		size = min(size, b.known+1) // the last read tells that the body has ended
	case b.known >= 0:
		size = b.known + 1
	default:
		size = min(size, b.limit+1)
	}
	if err := b.room.Grow(budgeter.Bytes(size), now); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.room.Shrink(budgeter.Bytes(old), now)
	return nil
}

// cause returns what ended the reading.
func (b *body) cause(err error, deadline time.Time) error {
	var tooLarge *http.MaxBytesError
	switch {
	case b.err == nil || errors.As(err, &tooLarge):
		return err
	case !time.Now().Before(deadline):
		return ErrLate
	}
	return ErrBroken
}

// Charge takes room for what is made of a request, such as its decoded form, and
// returns a function that returns the room.
func Charge(r *http.Request, size int64) (done func(), err error) {
	room := acceptor.Room(r)
	if err := room.Grow(budgeter.Bytes(size), time.Now()); err != nil {
		return nil, err
	}
	return func() { room.Shrink(budgeter.Bytes(size), time.Now()) }, nil
}

// Status returns the status of the answer to an error of Read or Charge, and sets
// Retry-After if the request may be made again. With 503 the request was not carried out.
func Status(w http.ResponseWriter, err error) int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || errors.Is(err, budgeter.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrLate):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrBroken):
		return http.StatusBadRequest
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	return http.StatusServiceUnavailable
}
