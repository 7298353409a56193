package rehearser

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"masticroad/internal/load/mimic"
	"masticroad/platform"
)

// This file holds the processes of daemons.

// process is a daemon that is started again and again.
type process struct {
	node    *mimic.Node
	program string
	folder  string
	relay   *relay // nil: other daemons reach it directly
	files   int    // limit of its descriptors; 0: the system's

	mu     sync.Mutex
	cmd    *exec.Cmd // nil: it does not run
	log    *os.File  // of the running process
	paused bool
	used   time.Duration // by its earlier processes
}

// start starts the daemon; its log is appended to.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.node.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.program, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.node.Settings)
	// The process writes to a pipe, which its limit on file sizes does not apply to.
	out := struct{ io.Writer }{log}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.log = log
	p.cmd = cmd
	if p.files == 0 {
		return nil
	}
	limit := unix.Rlimit{Cur: uint64(p.files), Max: uint64(p.files)}
	return unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// descriptors returns how many descriptors the running process has open.
func (p *process) descriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0 // it has ended
	}
	return len(open)
}

// signal sends a signal to the daemon, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
	_ = p.cmd.Process.Signal(s) // it may have ended
}

// kill ends the daemon at once, or lets it stop as planned, and waits for its
// end. It reports whether the daemon ran.
func (p *process) kill(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	p.used += processorTime(p.cmd.Process.Pid)
	if p.paused {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // or SIGTERM would wait
		p.paused = false
	}
	_ = p.cmd.Process.Signal(s) // it may have ended
	timer := time.AfterFunc(stopLimit, func() { _ = p.cmd.Process.Kill() })
	_ = p.cmd.Wait() // how it ended is in its log
	timer.Stop()
	_ = p.log.Close() // a log that can't be written is incomplete
	p.cmd = nil
	return true
}

// setDiskFull makes every write of the running process to a file fail, or ends
// that. It sets the process's limit on file sizes.
func (p *process) setDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	var limit unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 0
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

const stopLimit = 8 * time.Second // of a planned stop

// end ends the daemon for good.
func (p *process) end() {
	p.kill(syscall.SIGTERM)
}

// time returns the processor time that the daemon has used.
func (p *process) time() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return p.used
	}
	return p.used + processorTime(p.cmd.Process.Pid)
}

func (r *Rehearsal) processorTime() []time.Duration {
	out := make([]time.Duration, len(r.procs))
	for i, p := range r.procs {
		out[i] = p.time()
	}
	return out
}

func processorTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0 // it has ended
	}
	return parseStat(string(data))
}

// parseStat reads the processor time from a line of /proc: the 14th and 15th
// field, counted from the process's name in brackets, which may hold spaces.
func parseStat(line string) time.Duration {
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, errUser := strconv.ParseInt(fields[11], 10, 64)
	system, errSystem := strconv.ParseInt(fields[12], 10, 64)
	if errors.Join(errUser, errSystem) != nil {
		return 0 // not a line of this kernel
	}
	return time.Duration(user+system) * tick
}

const tick = 10 * time.Millisecond // of the kernel's accounts
