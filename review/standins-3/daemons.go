package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Ports of every daemon; each has a loopback address of its own.
const (
	controlPort   = 8166
	frontendPort  = 8161
	readinessPort = 8167
	metricsPort   = 9464
	firstInternal = 7720
	lastInternal  = 7735
)

// daemon is one process of the deploy file.
type daemon struct {
	name, ip, settings, data string
	edge                     bool
	facts                    map[string]any
	mu                       sync.Mutex
	process                  *exec.Cmd
	ended                    chan struct{}
}

// cell is a small deployment.
type cell struct {
	root, folder string
	rec          *record
	daemons      []*daemon
	mu           sync.Mutex
	over         bool // no process is to start any more
}

// newCell writes the settings of core and edge machines.
func newCell(root, folder string, rec *record, core, edge int, advice, cloud string) (*cell, error) {
	subnet, err := freeSubnet(core + edge)
	if err != nil {
		return nil, err
	}
	c := &cell{root: root, folder: folder, rec: rec}
	zones := map[string]string{"a": "r1", "b": "r1", "c": "r2"}
	var seeds []string
	for n := 0; n < min(core, 3); n++ {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", subnet, n+1, controlPort))
	}
	for n := 0; n < core+edge; n++ {
		d := &daemon{ip: fmt.Sprintf("%s.%d", subnet, n+1), edge: n >= core}
		zone := string("abc"[n%3])
		d.name = fmt.Sprintf("core-%d", n+1)
		listen := map[string]string{"control": fmt.Sprintf("%s:%d", d.ip, controlPort)}
		class, serves := "core", "control"
		var data any
		if d.edge {
			d.name = fmt.Sprintf("edge-%d", n-core+1)
			listen = map[string]string{"frontend": fmt.Sprintf("%s:%d", d.ip, frontendPort), "readiness": fmt.Sprintf("%s:%d", d.ip, readinessPort)}
			class, serves = "edge", "edge"
		} else {
			d.data = filepath.Join(folder, d.name)
			if err := os.MkdirAll(d.data, 0o755); err != nil {
				return nil, err
			}
			data = d.data
		}
		d.settings = filepath.Join(folder, d.name+".json")
		d.facts = map[string]any{
			"node-name": d.name, "role": class, "machine-class": class, "serves": []string{serves}, "ip": d.ip, "zone": zone, "region": zones[zone], "zones": zones,
			"listen": listen, "internal-port-range": []int{firstInternal, lastInternal}, "seeds": seeds, "bootstrap": true, "counts-as-loss": !d.edge,
			"limits":   map[string]any{"cpu-share": 0.8, "cores": 1, "memory-mb": 280, "max-fds": 4096, "link-mbps": 1000.0, "disk-mb": 128},
			"data-dir": data, "discovery": "registry", "entry": "vip", "heartbeat-interval-ms": beatInterval.Milliseconds(),
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"}, "fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2500, "grace-s": 6, "loss-slack-ms": 200,
				"config-apply-ms": 2500, "rollback-slack-ms": 250, "outer-ms": 5000, "recovery-s": 12, "hold-max-ms": holdMax.Milliseconds(), "stop-ms": stopTime.Milliseconds(),
				"gang-ms": gangTime.Milliseconds(), "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remote-factor": 3, "save-s": saveEvery.Seconds(),
				"restore-ms": 600, "notice-ms": noticeTime.Milliseconds(), "move-s": 1.5, "upkeep-s": upkeepTime.Seconds(), "fencing-enforced": true, "lease-ms": 3000, "thaw-ms": 300,
				"pace-ms": 100, "harm-ms": 4000,
			},
			"config_mode": "highest", "orders": "invoke", "advice": advice,
			"cloud-api": map[string]any{"address": cloud, "rate-per-s": 60.0, "duties": []string{}, "duty-per-s": 60.0},
		}
		if err := d.save(); err != nil {
			return nil, err
		}
		c.daemons = append(c.daemons, d)
	}
	return c, nil
}

func (d *daemon) save() error {
	data, err := json.MarshalIndent(d.facts, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(d.settings+".new", d.settings)
}

// start starts a daemon with the command of the deploy file.
func (c *cell) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(c.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(c.root, "target", "masticroad"), "platform")
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "MASTICROAD_SETTINGS=" + d.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.rec.note("process %s started", d.name)
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = cmd, ended
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // its end is noted
		c.rec.note("process %s ended: %v", d.name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a daemon.
func (c *cell) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil {
		c.rec.note("signal %v to process %s", s, d.name)
		_ = d.process.Process.Signal(s) // it may have ended
	}
}

// roll stops a daemon with SIGTERM, and starts it again once it has ended.
func (c *cell) roll(d *daemon) {
	c.signal(d, syscall.SIGTERM)
	go func() {
		<-d.ended
		d.facts["bootstrap"] = false
		if err := d.save(); err != nil {
			c.rec.note("settings of %s not written: %v", d.name, err)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.over {
			if err := c.start(d); err != nil {
				c.rec.note("process %s not started: %v", d.name, err)
			}
		}
	}()
}

func (c *cell) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.process != nil {
			_ = d.process.Process.Kill() // it may have ended
		}
		ended := d.ended
		d.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

func (c *cell) controls() []string {
	var out []string
	for _, d := range c.daemons {
		if !d.edge {
			out = append(out, fmt.Sprintf("%s:%d", d.ip, controlPort))
		}
	}
	return out
}

func (c *cell) frontends() []string {
	var out []string
	for _, d := range c.daemons {
		if d.edge {
			out = append(out, fmt.Sprintf("%s:%d", d.ip, frontendPort))
		}
	}
	return out
}

// byHolder returns the core machine that gives orders as a holder.
func (c *cell) byHolder(holder string) *daemon {
	for _, d := range c.daemons {
		if !d.edge && (strings.Contains(holder, d.ip+":") || strings.HasSuffix(holder, d.ip) || holder == d.name) {
			return d
		}
	}
	return nil
}

// freeSubnet returns the first three numbers of loopback addresses whose ports nobody uses.
func freeSubnet(addresses int) (string, error) {
	for n := 0; n < 200; n++ {
		subnet := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, os.Getpid()/7%250+1)
		free := true
		for a := 1; a <= addresses && free; a++ {
			for _, port := range []int{controlPort, frontendPort, readinessPort, metricsPort, firstInternal} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, a, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close() // it was only tried
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}
