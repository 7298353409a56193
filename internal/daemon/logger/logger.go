// Package logger writes log lines to a stream without blocking the caller. Lines
// are buffered and written together by a separate goroutine. Lines that exceed
// the buffer while the stream blocks are dropped and counted.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// This file holds the writer. It flushes the buffer flushInterval after the first
// line, in writes of at most maxWriteBytes, and once more on Close.

const (
	maxBufferedBytes = 1 << 20               // bytes of buffered lines; a few seconds of the busiest leader
	maxWriteBytes    = 4 << 10               // bytes of one write; a pipe writes this much atomically
	flushInterval    = 20 * time.Millisecond // long enough to write the lines of one round of the leader together
)

// Writer is an io.Writer for complete lines. It is safe for concurrent use.
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

// New returns a Writer to a stream and starts its goroutine, which Close ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line. It never blocks and never fails: a line that does not fit
// is dropped and counted.
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

// flush writes the buffered lines and reports whether the writer is still open.
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

// write writes lines in chunks of complete lines, since readers of a pipe may
// truncate longer writes.
func (w *Writer) write(lines []byte) {
	for len(lines) > 0 {
		end := len(lines)
		if end > maxWriteBytes {
			end = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if end == 0 {
			end = len(lines) // one line that is longer than maxWriteBytes
		}
		_, _ = w.out.Write(lines[:end]) // a failure of the log stream can't be logged
		lines = lines[end:]
	}
}

// Close writes the buffered lines and waits until they are written. Later lines
// are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}
