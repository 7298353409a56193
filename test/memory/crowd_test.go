package memory_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/frankban/quicktest"
)

// This file holds crowds: many connections at once, each with a request that is not
// quite complete.

const (
	bodyBytes   = 1_000_000 // the frontend accepts 1 MiB
	headerBytes = 16_384    // max-header-bytes of the deployments' documents
	shortBy     = 10        // bytes that are not sent
	sendLimit   = 4 * time.Second
)

// send writes one request, or most of it. The number tells one connection from
// another.
type send func(w io.Writer, number int) error

// crowd is a number of connections that send the same.
type crowd struct {
	name  string
	count int
	send  send
}

// open sends the requests of a crowd and leaves their connections open. Connections
// that the daemon closes or doesn't read from end early, which is allowed.
func (x *crowd) open(c *quicktest.C, address string) (end func()) {
	var mu sync.Mutex
	var conns []net.Conn
	var all sync.WaitGroup
	for n := range x.count {
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendLimit)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			if conn.SetDeadline(time.Now().Add(sendLimit)) == nil {
				_ = x.send(conn, n) // it may be refused
			}
		})
	}
	all.Wait()
	end = sync.OnceFunc(func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	c.Cleanup(end)
	return end
}

// head returns the start of a request; the path has a %d for the connection's number.
func head(method, path string, number int, lines ...string) string {
	return fmt.Sprintf("%s "+path+" HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s", method, number, host, strings.Join(append(lines, ""), "\r\n"))
}

// text returns the start of a JSON text of some size.
func text(size int) []byte {
	return append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), size)...)[:size]
}

// withLength sends a body with its length, in pieces, and stops short of its end.
func withLength(path string, size, piece int, lines ...string) send {
	body := text(size)
	lines = append(lines, fmt.Sprintf("Content-Length: %d", size), "")
	return func(w io.Writer, n int) error {
		start := head("POST", path, n, lines...)
		if piece >= size {
			_, err := w.Write(append([]byte(start), body[:size-shortBy]...))
			return err
		}
		if _, err := io.WriteString(w, start); err != nil {
			return err
		}
		for rest := body[:size-shortBy]; len(rest) > 0; {
			k := min(piece, len(rest))
			if _, err := w.Write(rest[:k]); err != nil {
				return err
			}
			rest = rest[k:]
		}
		return nil
	}
}

// chunked sends chunks of a body, without the last chunk.
func chunked(path string, size, chunk int) send {
	var b bytes.Buffer
	for rest := text(size); len(rest) > 0; {
		k := min(chunk, len(rest))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", k, rest[:k])
		rest = rest[k:]
	}
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, head("POST", path, n, "Transfer-Encoding: chunked", "")); err != nil {
			return err
		}
		_, err := w.Write(b.Bytes())
		return err
	}
}

// headerLines sends many header lines and stops inside the header.
func headerLines(path string, size int, line func(k int) string) send {
	lines := linesOf(size, line)
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head("POST", path, n)+lines)
		return err
	}
}

// legalHeader sends a whole header of the largest size, and then a body that stops
// short of its end.
func legalHeader(path string, line func(k int) string) send {
	lines := linesOf(headerBytes-300, line)
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head("POST", path, n, "Content-Length: 100")+lines+"\r\n{")
		return err
	}
}

func linesOf(size int, line func(k int) string) string {
	var b strings.Builder
	for k := 0; b.Len() < size; k++ {
		b.WriteString(line(k))
	}
	return b.String()
}

func shortLine(int) string { return "a:\r\n" }

func oddLine(k int) string { return fmt.Sprintf("x%x-!~:\t%c \r\n", k, 'a'+rune(k%26)) }

// emptySteps sends whole submissions whose decoded form is far larger than their text.
func emptySteps(path string) send {
	body := `{"spec":"x","phases":[` + strings.Repeat("{},", 300_000) + `{}]}`
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head("POST", path, n, fmt.Sprintf("Content-Length: %d", len(body)), "")+body)
		return err
	}
}

// begun sends the start of a request only.
func begun(path string) send {
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head("POST", path, n, "Content-Length: 100", "")+"{")
		return err
	}
}

// unread sends whole requests and doesn't read the answers.
func unread(path string) send {
	return func(w io.Writer, n int) error {
		_, err := io.WriteString(w, head("GET", path, n, ""))
		return err
	}
}

// crowdsAt returns the crowds at an address, for as many connections with large bodies
// and with large headers.
func crowdsAt(path string, bodies, headers int) []crowd {
	return []crowd{
		{"bodies with a length", bodies, withLength(path, bodyBytes, bodyBytes)},
		{"bodies with a length, piece by piece", bodies, withLength(path, bodyBytes, 16<<10)},
		{"large chunks", bodies, chunked(path, bodyBytes, 50_000)},
		{"small chunks", bodies, chunked(path, bodyBytes/2, 2)},
		{"short header lines", headers, headerLines(path, bodyBytes, shortLine)},
		{"odd header lines", headers, headerLines(path, bodyBytes, oddLine)},
		{"whole headers of short lines", bodies, legalHeader(path, shortLine)},
		{"whole headers of odd lines", bodies, legalHeader(path, oddLine)},
	}
}
