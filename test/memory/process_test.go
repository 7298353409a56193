package memory_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// This file builds, starts and watches the processes of daemons.

const (
	patience   = 30 * time.Second       // generous: no check depends on it
	startLimit = time.Minute            // of a cell, on a machine that is busy with other work
	tryLimit   = 3 * time.Second        // of one try of a request, as callers wait
	pollPause  = 100 * time.Millisecond // between tries
)

var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "memory")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(folder, "masticroad")
	if out, err := exec.Command("go", "build", "-o", program, "masticroad/cmd/masticroad").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// process is a running daemon.
type process struct {
	c    *quicktest.C
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs the program until the test ends.
func start(c *quicktest.C, log string, env string, args ...string) *process {
	file, err := os.Create(log)
	c.Assert(err, quicktest.IsNil)
	p := &process{c: c, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	c.Assert(p.cmd.Start(), quicktest.IsNil)
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // whether it lives is checked by the test
		_ = file.Close()
	}()
	c.Cleanup(p.kill)
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.done
}

// lives reports whether the process still runs.
func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// peakMB returns the highest resident memory that the process has had.
func (p *process) peakMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	p.c.Assert(err, quicktest.IsNil)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.Fields(rest)[0])
			p.c.Assert(err, quicktest.IsNil)
			return kB >> 10
		}
	}
	p.c.Fatal("no VmHWM")
	return 0
}

func (p *process) descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	p.c.Assert(err, quicktest.IsNil)
	return len(open)
}

// request is a whole request.
type request struct {
	method, address, path string
	headers               http.Header
	body                  []byte
}

// try makes a request over a connection of its own and returns the status, 0 if there
// is no answer.
func (r *request) try() int {
	client := &http.Client{Timeout: tryLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(r.method, "http://"+r.address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0
	}
	for name, values := range r.headers {
		req.Header[name] = values
	}
	req.Host = host
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// await makes a request again and again until it is answered with 200, and reports
// whether it was.
func (r *request) await() bool {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		if r.try() == http.StatusOK {
			return true
		}
		time.Sleep(pollPause)
	}
	return false
}

// filled returns the request with a body of some size, by a field that is ignored.
func (r *request) filled(size int) *request {
	x := *r
	start := bytes.TrimSuffix(bytes.TrimSpace(r.body), []byte("}"))
	filler := size - len(start) - len(`,"Filler":""}`)
	x.body = []byte(fmt.Sprintf(`%s,"Filler":"%s"}`, start, strings.Repeat("x", filler)))
	return &x
}

// largest returns the request with a header of headerBytes and a body of some size.
func (r *request) largest(size int) *request {
	x := r.filled(size)
	x.headers = http.Header{}
	left := headerBytes - len("POST  HTTP/1.1\r\n\r\n") - len(r.path) - 300 // lines that the client adds
	for k := 0; left > 500; k++ {
		name, value := fmt.Sprintf("X-Filler-%03d", k), strings.Repeat("y", 400)
		x.headers[name] = []string{value}
		left -= len(name) + len(value) + len(": \r\n")
	}
	return x
}

// attack sends a crowd to an address of a process and checks the process. It returns
// false if a check has failed: the process then holds memory that would count against
// the next crowd.
func (b *bounds) attack(c *quicktest.C, p *process, address string, ordinary func() *request, x *crowd) bool {
	before := p.peakMB()
	end := x.open(c, address)
	descriptors := p.descriptors()
	answered := ordinary().await()
	end()
	answeredAfter := ordinary().await()
	if !p.lives() {
		c.Errorf("%s: the process has ended", x.name)
		return false
	}
	c.Logf("%s, %d connections: peak %d MB, before it %d MB, bound %d MB; %d descriptors", x.name, x.count, p.peakMB(), before, b.memoryMB, descriptors)
	if p.peakMB() < b.memoryMB && descriptors <= b.descriptors && answered && answeredAfter {
		return true
	}
	c.Errorf("%s: peak %d MB, bound %d MB; %d descriptors, bound %d; an ordinary request is answered beside the crowd: %t, after it: %t",
		x.name, p.peakMB(), b.memoryMB, descriptors, b.descriptors, answered, answeredAfter)
	return false
}

// bounds are what a process may use.
type bounds struct{ memoryMB, descriptors int }

// freeAddress returns an address on loopback that nobody listens on.
func freeAddress(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
