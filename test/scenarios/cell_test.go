package scenarios_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/imitator"
	"masticroad/internal/load/launcher"
	"masticroad/internal/peer/operator"
)

// This file runs a cell of real processes. Each daemon reaches each other one
// by a proxy of its own, so that every direction can be cut.

type process struct {
	name    string
	http    string
	replica string
	folder  string
	cmd     *exec.Cmd
	voter   bool
	region  string
}

type cell struct {
	dir      string
	program  string
	procs    []*process
	proxies  map[string]*toxiproxy.Proxy // "vm1>vm2"
	silence  map[string]*relay
	history  *imitator.History
	targets  []*imitator.Target
	stops    []context.CancelFunc
	ctx      context.Context
	cancel   context.CancelFunc
	load     *load
	extra    string
	interval time.Duration
	regional bool
}

func newCell(dir, program string, daemons, voters int) (*cell, error) {
	c := &cell{
		dir: dir, program: program, proxies: make(map[string]*toxiproxy.Proxy), silence: make(map[string]*relay),
		history: imitator.NewHistory(), interval: 300 * time.Millisecond,
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i := range daemons {
		p := &process{name: fmt.Sprintf("vm%d", i+1), voter: i < voters, region: "r1"}
		var err error
		if p.http, err = launcher.FreeAddress(); err != nil {
			return nil, err
		}
		if p.replica, err = launcher.FreeAddress(); err != nil {
			return nil, err
		}
		if p.voter {
			p.folder = filepath.Join(dir, p.name)
		}
		c.procs = append(c.procs, p)
	}
	return c, c.connect()
}

// connect puts a relay and a proxy between each two daemons.
func (c *cell) connect() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	for _, from := range c.procs {
		for _, to := range c.procs {
			if from == to {
				continue
			}
			r, err := newRelay(to.replica)
			if err != nil {
				return err
			}
			name := from.name + ">" + to.name
			p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", r.address())
			if err := p.Start(); err != nil {
				return err
			}
			c.proxies[name], c.silence[name] = p, r
		}
	}
	return nil
}

func (c *cell) settings(p *process) string {
	var voters []string
	for _, x := range c.procs {
		if x.voter {
			voters = append(voters, x.name)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[Cell]\nName = test\nVoters = %s\n[Daemon]\nName = %s\nRegion = %s\nZone = a\n", strings.Join(voters, ","), p.name, p.region)
	fmt.Fprintf(&b, "ListenHTTP = %s\nListenReplica = %s\n[Peers]\n", p.http, p.replica)
	for _, x := range c.procs {
		address := x.replica
		if x != p {
			address = c.proxies[p.name+">"+x.name].Listen
		}
		fmt.Fprintf(&b, "%s = %s\n", x.name, address)
	}
	if p.folder != "" {
		fmt.Fprintf(&b, "[Storage]\nDataFolder = %s\nSnapshotEntries = 200\n", p.folder)
	} else {
		fmt.Fprintf(&b, "[Storage]\nSnapshotEntries = 200\n")
	}
	b.WriteString("[Timing]\nTargetLease = 3s\nReplaceAfter = 2s\nStartWindow = 1s\nTransit = 1s\n[Log]\nLevel = debug\n")
	if c.regional {
		members := make(map[string][]string)
		for _, x := range c.procs {
			members[x.region] = append(members[x.region], x.name)
		}
		fmt.Fprintf(&b, "[Regions]\nr1 = %s\nr2 = %s\n", strings.Join(members["r1"], ","), strings.Join(members["r2"], ","))
	}
	b.WriteString(c.extra)
	return b.String()
}

func (c *cell) settingsPath(p *process) string { return filepath.Join(c.dir, p.name+".ini") }

func (c *cell) find(name string) (*process, error) {
	for _, p := range c.procs {
		if p.name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no daemon %q", name)
}

// resolve returns the daemon of a name; "leader" and "follower" are chosen by
// who leads now.
func (c *cell) resolve(name string) (*process, error) {
	if name != "leader" && name != "follower" {
		return c.find(name)
	}
	leader, err := c.leader()
	if err != nil {
		return nil, err
	}
	if name == "leader" {
		return leader, nil
	}
	for _, p := range c.procs {
		if p != leader && p.voter && p.cmd != nil {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no follower runs")
}

func (c *cell) prepare(p *process) error {
	if err := os.WriteFile(c.settingsPath(p), []byte(c.settings(p)), 0o600); err != nil {
		return err
	}
	if !p.voter {
		return nil
	}
	out, err := exec.Command(c.program, "init", "--settings", c.settingsPath(p)).CombinedOutput()
	if err != nil {
		return fmt.Errorf("init: %v: %s", err, out)
	}
	return nil
}

func (c *cell) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(c.program, "serve", "--settings", c.settingsPath(p))
	p.cmd.Stdout, p.cmd.Stderr = log, log
	return p.cmd.Start()
}

// kill ends a daemon at once.
func (c *cell) kill(p *process) error {
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.name)
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // reports the kill
	p.cmd = nil
	return nil
}

// stop ends a daemon by a planned stop.
func (c *cell) stop(p *process) error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := p.cmd.Wait()
	p.cmd = nil
	return err
}

func (c *cell) signal(p *process, s syscall.Signal) error { return p.cmd.Process.Signal(s) }

func (c *cell) wipe(p *process) error { return os.RemoveAll(p.folder) }

// cut makes everything between two daemons vanish, in one direction.
func (c *cell) cut(from, to string) error {
	// A connection carries both directions of talk, so what from sends to to
	// travels on connections that either of them opened.
	if err := vanish(c.proxies[from+">"+to], stream.Upstream); err != nil {
		return err
	}
	return vanish(c.proxies[to+">"+from], stream.Downstream)
}

func vanish(p *toxiproxy.Proxy, d stream.Direction) error {
	name := "cut-" + d.String()
	for _, t := range p.Toxics.GetToxicArray() {
		if w, ok := t.(*toxics.ToxicWrapper); ok && w.Name == name {
			return nil
		}
	}
	body := fmt.Sprintf(`{"name": %q, "type": "timeout", "stream": %q, "attributes": {"timeout": 0}}`, name, d)
	_, err := p.Toxics.AddToxicJson(strings.NewReader(body))
	return err
}

// isolate cuts a daemon off from all others, silently.
func (c *cell) isolate(name string) error {
	for _, p := range c.procs {
		if p.name == name {
			continue
		}
		if err := c.cut(name, p.name); err != nil {
			return err
		}
		if err := c.cut(p.name, name); err != nil {
			return err
		}
	}
	return nil
}

// between calls f for each pair of daemons in unlike regions.
func (c *cell) between(f func(from, to *process) error) error {
	for _, from := range c.procs {
		for _, to := range c.procs {
			if from.region == to.region {
				continue
			}
			if err := f(from, to); err != nil {
				return err
			}
		}
	}
	return nil
}

// cutRegions makes what one region sends to the other vanish.
func (c *cell) cutRegions(fromRegion string) error {
	return c.between(func(from, to *process) error {
		if from.region != fromRegion {
			return nil
		}
		return c.cut(from.name, to.name)
	})
}

// slowLink gives the link between regions the latency and width of the users'.
func (c *cell) slowLink() error {
	return c.between(func(from, to *process) error {
		p := c.proxies[from.name+">"+to.name]
		for _, text := range []string{
			`{"name": "late-up", "type": "latency", "stream": "upstream", "attributes": {"latency": 8}}`,
			`{"name": "late-down", "type": "latency", "stream": "downstream", "attributes": {"latency": 8}}`,
			`{"name": "narrow-up", "type": "bandwidth", "stream": "upstream", "attributes": {"rate": 400}}`,
			`{"name": "narrow-down", "type": "bandwidth", "stream": "downstream", "attributes": {"rate": 400}}`,
		} {
			if _, err := p.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
				return err
			}
		}
		return nil
	})
}

func (c *cell) heal() {
	for _, p := range c.proxies {
		p.Toxics.ResetToxics(context.Background())
	}
}

// silenceOpen makes the connections that are open now go silent for good.
func (c *cell) silenceOpen() {
	for _, r := range c.silence {
		r.silence()
	}
}

func (c *cell) running() []*process {
	var out []*process
	for _, p := range c.procs {
		if p.cmd != nil {
			out = append(out, p)
		}
	}
	return out
}

// lastWords returns the end of a daemon's log.
func (c *cell) lastWords(p *process) string {
	data, err := os.ReadFile(filepath.Join(c.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-600):])
}

func (c *cell) awaitReady(names ...string) error {
	return poll(40*time.Second, func() error {
		for _, p := range c.running() {
			if len(names) > 0 && !contains(names, p.name) {
				continue
			}
			resp, err := quick.Get("http://" + p.http + "/ready")
			if err != nil {
				return err
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s is not ready: %s", p.name, text)
			}
		}
		return nil
	})
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

var quick = &http.Client{Timeout: 3 * time.Second}

// poll tries f until it succeeds or the limit is over.
func poll(limit time.Duration, f func() error) error {
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *cell) leader() (*process, error) {
	var found *process
	err := poll(20*time.Second, func() error {
		for _, p := range c.running() {
			resp, err := quick.Get("http://" + p.http + "/metrics")
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if bytes.Contains(text, []byte("\nmasticroad_leader 1\n")) {
				found = p
				return nil
			}
		}
		return fmt.Errorf("no daemon leads")
	})
	return found, err
}

// post calls a daemon's interface for operators.
func (c *cell) post(p *process, path string, in any) (*operator.Reply, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: 15 * time.Second}
	resp, err := client.Post("http://"+p.http+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply := &operator.Reply{}
	return reply, json.NewDecoder(resp.Body).Decode(reply)
}

// ask carries out a statement at a daemon.
func (c *cell) ask(p *process, statement string) (*operator.Reply, error) {
	return c.post(p, "/v1/statements", &operator.StatementCall{Statement: statement})
}

func (c *cell) startTargets(n int, region string, faults imitator.Faults) error {
	var daemons []string
	for _, p := range c.procs {
		daemons = append(daemons, p.http) // also those of the other region
	}
	for range n {
		t := &imitator.Target{
			Name: registrar.TargetName(fmt.Sprintf("t-%d", len(c.targets)+1)), Region: registrar.RegionName(region), Zone: "a",
			Rack:     registrar.RackName(fmt.Sprintf("rack-%d", len(c.targets)/4+1)),
			Capacity: registrar.Need{CPU: 16000, Memory: 32768}, Slots: 8, Connections: 64,
			Daemons: daemons, Interval: c.interval, History: c.history, Now: time.Now,
		}
		if err := t.Listen(); err != nil {
			return err
		}
		t.SetFaults(faults)
		ctx, cancel := context.WithCancel(c.ctx)
		c.targets = append(c.targets, t)
		c.stops = append(c.stops, cancel)
		go t.Run(ctx)
	}
	return nil
}

// close ends everything that the cell started.
func (c *cell) close() {
	c.cancel()
	for _, p := range c.running() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = c.kill(p)
	}
	for _, p := range c.proxies {
		p.Stop()
	}
	for _, r := range c.silence {
		r.close()
	}
}
