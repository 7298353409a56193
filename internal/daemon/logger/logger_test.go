package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/daemon/logger"
)

// blockingStream is a stream whose writes block until release is closed.
type blockingStream struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockingStream) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(b)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	w := logger.New(&out)
	for i := range 1000 {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		c.Assert(err, quicktest.IsNil)
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Assert(lines, quicktest.HasLen, 1000)
	c.Assert(lines[999], quicktest.Equals, "line 999")
}

// truncatingStream keeps only the first 4 KiB of each write, as some readers of a
// pipe do.
type truncatingStream struct{ out bytes.Buffer }

func (s *truncatingStream) Write(b []byte) (int, error) {
	s.out.Write(b[:min(len(b), 4096)])
	return len(b), nil
}

func TestLongBurstsAreSplitAtLineEnds(t *testing.T) {
	c := quicktest.New(t)
	s := &truncatingStream{}
	w := logger.New(s)
	for i := range 500 {
		_, _ = fmt.Fprintf(w, "line %d %s\n", i, strings.Repeat("x", 100)) // Write never fails
	}
	w.Close()
	lines := strings.Split(strings.TrimSpace(s.out.String()), "\n")
	c.Assert(lines, quicktest.HasLen, 500)
	for i, line := range lines {
		c.Assert(strings.HasPrefix(line, fmt.Sprintf("line %d ", i)), quicktest.IsTrue)
	}
}

func TestWriteDoesNotBlockWhileStreamBlocks(t *testing.T) {
	c := quicktest.New(t)
	s := &blockingStream{release: make(chan struct{})}
	w := logger.New(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 4096 {
			_, _ = w.Write(line) // Write never fails
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		c.Fatal("Write blocked while the stream blocked")
	}
	close(s.release)
	w.Close()
	c.Assert(strings.Contains(s.out.String(), "log lines dropped"), quicktest.IsTrue)
	c.Assert(s.out.Len() < 3<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes were buffered", s.out.Len()))
}
