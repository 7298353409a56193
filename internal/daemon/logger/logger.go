// Package logger writes log lines to a stream without letting anything wait for
// it: lines are gathered and written together by a goroutine of its own, and
// dropped, and counted, when the stream does not take them.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// This file holds the writer. Example: w := logger.New(os.Stdout); the lines of
// a burst are written by one system call 20 ms later; w.Close() writes the rest.

const (
	maxBufferedBytes = 1 << 20               // bytes of lines that wait; a few seconds of the busiest leader
	maxWriteBytes    = 4 << 10               // bytes of one write; what a pipe takes as a whole
	flushInterval    = 20 * time.Millisecond // lines of a round of the leader are written together
)

// Writer is an io.Writer for whole lines. It may be used by several goroutines.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a writer to a stream.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	if first {
		w.signal()
	}
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushInterval)
		if !w.flush() {
			return
		}
	}
}

// flush writes what has gathered, and reports whether more may come.
func (w *Writer) flush() bool {
	w.mu.Lock()
	lines, dropped, closed := w.buffer, w.dropped, w.closed
	w.buffer, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	w.write(lines)
	w.mu.Lock()
	w.spare = lines[:0]
	w.mu.Unlock()
	return !closed
}

// write passes lines on in pieces of whole lines, since readers of a pipe may
// cut longer writes.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxWriteBytes {
			end = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if end == 0 {
			end = len(lines) // one line that is longer than a piece
		}
		_, _ = w.out.Write(lines[:end]) // there is nowhere else to tell
		lines = lines[end:]
	}
}

// Close writes what is left and waits for it. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}
