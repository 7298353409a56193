package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file holds the deployment: the system's own processes, started as the deploy file
// says, each with its own loopback address, and the operator's and the consumers' calls.

const (
	controlPort   = "8166"
	frontendPort  = "8161"
	readinessPort = "8167"
	internalPort  = "7720"
	workerPort    = "8080"
	serviceName   = "arazo1"
	hostName      = "shop.example"
	prefix        = "/batch/"
)

// site holds what the cases take from a site file.
type site struct {
	zones   []string
	regions map[string]string
	memory  int // MB for each thousandth of a core of a worker
	holdMax time.Duration
	saveS   int
	restore int // ms
}

var (
	mese = site{
		zones:   []string{"budapest-raktar", "debrecen-raktar", "kecskemet-bolt"},
		regions: map[string]string{"budapest-raktar": "kozep-magyar", "debrecen-raktar": "kelet-alfold", "kecskemet-bolt": "kozep-magyar"},
		memory:  2, holdMax: 10 * time.Second, saveS: 2, restore: 600,
	}
	fjordstrikk = site{
		zones:   []string{"ostland-a", "vestland-a", "ostland-b"},
		regions: map[string]string{"ostland-a": "ostland", "ostland-b": "ostland", "vestland-a": "vestland"},
		memory:  4, holdMax: 6 * time.Second, saveS: 1, restore: 100,
	}
)

// zones are those of the site of the case.
var zones = mese.zones

// present is the site of the case.
var present = &mese

// use makes a site that of the case.
func (c *cell) use(s *site) {
	present, zones, c.holdMax = s, s.zones, s.holdMax
}

func memoryOf(cpu int) int { return present.memory * cpu }

// cell is one deployment.
type cell struct {
	rec     *recorder
	root    string // of the repository
	dir     string // temporary folder
	block   string // first three bytes of all addresses
	service string
	holdMax time.Duration
	// listenInternal, if set, returns where a daemon listens for other daemons; a relay
	// of the case stands at the daemon's own address.
	listenInternal func(ip string) string
	workerPause    time.Duration // between the starts of two workers

	mu      sync.Mutex
	nodes   []*node
	workers []*worker
	stops   []func()
}

// node is one process of the system.
type node struct {
	cell *cell
	name string
	ip   string
	core bool
	zone string
	cmd  *exec.Cmd
	done chan struct{}
}

func newCell(rec *recorder, root string) (*cell, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cell{rec: rec, root: root, dir: dir, service: serviceName, holdMax: mese.holdMax}
	if c.block = freeBlock(); c.block == "" {
		err = fmt.Errorf("no free loopback addresses")
	} else {
		err = c.startPlatform()
	}
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return c, nil
}

// freeBlock returns the first three bytes of loopback addresses that nobody uses.
func freeBlock() string {
	for range 50 {
		block := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		free := true
		for _, port := range []string{controlPort, frontendPort, readinessPort, internalPort, workerPort, "7730", "8169"} {
			l, err := net.Listen("tcp", block+".11:"+port)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return block
		}
	}
	return ""
}

// startPlatform serves the infrastructure's list of machines and an advice service that
// no queue of the cases uses.
func (c *cell) startPlatform() error {
	l, err := net.Listen("tcp", c.platformAddress())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(out http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		c.mu.Lock()
		for _, w := range c.workers {
			rows = append(rows, map[string]any{
				"machine": w.machine, "pool": c.service, "state": "up", "zone": w.zone, "labels": w.labels,
				"capacity": map[string]any{"cpu": w.cpu, "mem-mb": memoryOf(w.cpu), "gpu": 0}, "id": w.id,
			})
		}
		c.mu.Unlock()
		reply(out, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
	})
	mux.HandleFunc("POST /-/advise", func(out http.ResponseWriter, _ *http.Request) {
		reply(out, http.StatusOK, map[string]any{"admitted": []any{}, "valid-ms": 2500})
	})
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(l) }()
	c.stops = append(c.stops, func() { _ = s.Close() })
	return nil
}

func (c *cell) platformAddress() string { return c.block + ".200:8169" }

// addNodes adds core and edge machines, spread over the zones.
func (c *cell) addNodes(cores, edges int) {
	for i := range cores {
		c.nodes = append(c.nodes, &node{cell: c, name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", c.block, 21+i), core: true, zone: zones[i%len(zones)]})
	}
	for i := range edges {
		c.nodes = append(c.nodes, &node{cell: c, name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", c.block, 41+i), zone: zones[i%len(zones)]})
	}
}

func (c *cell) cores() []*node {
	var out []*node
	for _, n := range c.nodes {
		if n.core {
			out = append(out, n)
		}
	}
	return out
}

func (c *cell) edges() []*node {
	var out []*node
	for _, n := range c.nodes {
		if !n.core {
			out = append(out, n)
		}
	}
	return out
}

// controls returns the control addresses.
func (c *cell) controls() []string {
	var out []string
	for _, n := range c.cores() {
		out = append(out, n.ip+":"+controlPort)
	}
	return out
}

// settings returns the settings file of a process, with the bounds of mese-arazo.
func (n *node) settings() []byte {
	c := n.cell
	listen := map[string]string{"frontend": n.ip + ":" + frontendPort, "readiness": n.ip + ":" + readinessPort}
	serves, class, role := []string{"edge"}, "edge", "gateway"
	var dataDir any
	if n.core {
		listen, serves, class, role = map[string]string{"control": n.ip + ":" + controlPort}, []string{"control"}, "core", "replica"
		dataDir = filepath.Join(c.dir, n.name, "data")
		if c.listenInternal != nil {
			listen["internal"] = c.listenInternal(n.ip)
		}
	}
	data, _ := json.MarshalIndent(map[string]any{
		"node-name": n.name, "role": role, "machine-class": class, "serves": serves, "ip": n.ip, "zone": n.zone, "region": present.regions[n.zone],
		"zones": present.regions, "listen": listen, "internal-port-range": []int{7720, 7735}, "seeds": c.controls()[:3], "bootstrap": true,
		"counts-as-loss": n.core, "limits": map[string]any{"cpu-share": 0.8, "cores": 1, "memory-mb": 280, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 128},
		"data-dir": dataDir, "discovery": "registry", "entry": "vip", "heartbeat-interval-ms": 1500,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"},
		"fault-tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 6,
			"loss-slack-ms": 200, "config-apply-ms": 2500, "rollback-slack-ms": 250, "outer-ms": 5000, "recovery-s": 12, "hold-max-ms": c.holdMax.Milliseconds(),
			"stop-ms": 400, "gang-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			"remote-factor": 3, "save-s": present.saveS, "restore-ms": present.restore, "notice-ms": 4500, "move-s": 1.5, "upkeep-s": 2, "fencing-enforced": true,
			"lease-ms": 3000, "thaw-ms": 300, "pace-ms": 100, "harm-ms": 4000,
		},
		"config_mode": "highest", "orders": "invoke", "advice": c.platformAddress(),
		"cloud-api": map[string]any{"address": c.platformAddress(), "rate-per-s": 60.0, "duties": []string{}, "duty-per-s": 60.0},
	}, "", "  ")
	return data
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	dir := filepath.Join(n.cell.dir, n.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, "node.json")
	if err := os.WriteFile(path, n.settings(), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command(filepath.Join(n.cell.root, "target", "masticroad"), "platform")
	n.cmd.Dir = n.cell.root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MASTICROAD_SETTINGS=" + path}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.done = make(chan struct{})
	cmd, done := n.cmd, n.done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	n.cell.rec.log("process %s is started at %s in %s", n.name, n.ip, n.zone)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.cell.rec.log("process %s gets %s", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// addWorker adds a worker; it is started later.
func (c *cell) addWorker(cpu int, zone string, labels ...string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.workers) + 1
	w := &worker{
		cell: c, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), address: fmt.Sprintf("%s.%d:%s", c.block, 100+n, workerPort), zone: zone,
		machine: fmt.Sprintf("m-%05x", 0x0a3f0+n), cpu: cpu, labels: append([]string{"a"}, labels...), beatN: n,
	}
	c.workers = append(c.workers, w)
	return w
}

// end ends all processes that the case has started, and removes its folder.
func (c *cell) end() {
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, stop := range c.stops {
		stop()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, n := range c.nodes {
			data, _ := os.ReadFile(filepath.Join(c.dir, n.name, "log"))
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o644)
		}
	}
	_ = os.RemoveAll(c.dir)
}

// startAll starts the processes and the workers, puts the first desired state, and waits
// until the leader has polled every worker.
func (c *cell) startAll(config map[string]any) error {
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	if err := c.putConfig(config, 15*time.Second); err != nil {
		return err
	}
	for _, w := range c.workers {
		if err := w.start(); err != nil {
			return err
		}
		time.Sleep(c.workerPause)
	}
	for _, n := range c.edges() {
		if err := waitFor(15*time.Second, func() bool { return c.ready(n) }); err != nil {
			return fmt.Errorf("%s is not ready: %w", n.name, err)
		}
	}
	return waitFor(15*time.Second, func() bool {
		for _, w := range c.workers {
			b := w.current()
			b.mu.Lock()
			token := b.token
			b.mu.Unlock()
			if token == 0 {
				return false
			}
		}
		return true
	})
}

func waitFor(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s", limit)
}

func (c *cell) ready(n *node) bool {
	status, _, err := call(http.MethodGet, n.ip+":"+readinessPort, "/-/readyz", "", nil)
	return err == nil && status == http.StatusOK
}

// config returns a desired state with one queue, which needs no advice.
func (c *cell) config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": hostName, "path-prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-runtime-ms": 1200,
			"priority": 1, "service": c.service, "max-attempts": 4, "slack-factor": 2.2,
		}},
		"services": []any{map[string]any{
			"name": c.service, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// putConfig sends a desired state, to one control daemon after the other, until it is
// acknowledged.
func (c *cell) putConfig(config map[string]any, limit time.Duration) error {
	controls := c.controls()
	n := 0
	return waitFor(limit, func() bool {
		address := controls[n%len(controls)]
		n++
		status, answer, err := call(http.MethodPost, address, "/-/config/replace", "", config)
		c.rec.log("operator sends version %v to %s: %d %s %v", config["version"], address, status, answer, err)
		return err == nil && status == http.StatusOK
	})
}

// submit hands a job in, at one edge daemon after the other, until it is accepted.
func (c *cell) submit(id, spec string, phases ...map[string]any) error {
	edges := c.edges()
	n := 0
	return waitFor(10*time.Second, func() bool {
		e := edges[n%len(edges)]
		n++
		status, answer, err := call(http.MethodPost, e.ip+":"+frontendPort, prefix+id, hostName, map[string]any{"spec": spec, "phases": phases})
		c.rec.log("consumer submits job %s at %s: %d %s %v", id, e.name, status, answer, err)
		return err == nil && status/100 == 2
	})
}

// state asks for the state of a job.
func (c *cell) state(id string) string {
	for _, e := range c.edges() {
		status, answer, err := call(http.MethodGet, e.ip+":"+frontendPort, prefix+id, hostName, nil)
		c.rec.log("consumer asks for job %s at %s: %d %s %v", id, e.name, status, answer, err)
		var x struct {
			State string `json:"state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(answer, &x) == nil {
			return x.State
		}
	}
	return ""
}

// call makes one call and waits for its answer for three seconds at most.
func call(method, address, path, host string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var data io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		data = bytes.NewReader(text)
	}
	in, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, data)
	if err != nil {
		return 0, nil, err
	}
	in.Header.Set("Content-Type", "application/json")
	in.Header.Set("X-Masticroad-Deadline-Ms", "3000")
	if host != "" {
		in.Host = host
	}
	out, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(in)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = out.Body.Close() }()
	answer, err := io.ReadAll(out.Body)
	return out.StatusCode, answer, err
}

// leader returns the core process that leads, by its own metrics or by the address that
// it gives to workers.
func (c *cell) leader() *node {
	for _, w := range c.workers {
		w.mu.Lock()
		b := w.boot
		w.mu.Unlock()
		if b == nil || b.ctx.Err() != nil {
			continue
		}
		for _, n := range c.cores() {
			if address := b.beat(n.ip + ":" + controlPort); address != "" {
				host, _, _ := strings.Cut(address, ":")
				for _, x := range c.cores() {
					if x.ip == host {
						return x
					}
				}
			}
		}
	}
	return nil
}
