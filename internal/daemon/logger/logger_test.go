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

// stuck is a stream that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
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

func TestNothingWaitsForAStreamThatIsStuck(t *testing.T) {
	c := quicktest.New(t)
	s := &stuck{release: make(chan struct{})}
	w := logger.New(s)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 4096 {
			_, _ = w.Write(line) // it never fails
		}
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		c.Fatal("a line waits for the stream")
	}
	close(s.release)
	w.Close()
	c.Assert(strings.Contains(s.out.String(), "log lines dropped"), quicktest.IsTrue)
	c.Assert(s.out.Len() < 3<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes were kept", s.out.Len()))
}
