// Package launcher runs a whole cell inside one process, on free loopback ports:
// daemons with data folders, and stand-in targets. It serves the demo, the load
// tool and the tests.
package launcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/runner"
	"masticroad/internal/load/imitator"
	"masticroad/internal/settings/loader"
)

// Place is an availability zone.
type Place struct {
	Region registrar.RegionName
	Zone   registrar.ZoneName
}

// Shape describes the targets of a cell.
type Shape struct {
	Count       int
	Capacity    registrar.Need
	Slots       int
	Connections int
	PerRack     int
	Interval    time.Duration // between announcements
}

// Cell is a running cell. The exported fields are set before Start.
type Cell struct {
	Name    string
	Folder  string
	Daemons int
	Voters  int
	Places  []Place
	Targets Shape
	Adjust  func(s *loader.Settings) // changes each daemon's settings
	Log     hclog.Logger
	Now     func() time.Time

	History *imitator.History
	Nodes   []*Node
	Workers []*imitator.Target
	// WorkerStops end single targets.
	WorkerStops []context.CancelFunc

	ctx     context.Context
	cancel  context.CancelFunc
	outside []string // addresses of daemons that run elsewhere
}

// Node is one daemon of a cell.
type Node struct {
	Settings *loader.Settings
	cell     *Cell
	cancel   context.CancelFunc
	done     chan error
}

const readyPoll = 20 * time.Millisecond

// Launch starts the daemons and does not wait for them.
func (c *Cell) Launch(ctx context.Context) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.History = imitator.NewHistory()
	if err := c.prepare(); err != nil {
		return err
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	return nil
}

// Start runs the cell and returns once every daemon is ready.
func (c *Cell) Start(ctx context.Context) error {
	if err := c.Launch(ctx); err != nil {
		return err
	}
	if err := c.AwaitReady(ctx); err != nil {
		return err
	}
	return c.startWorkers(nil)
}

// StartTargets runs only the stand-in targets of the cell, against daemons that
// run elsewhere. Adjust, when set, changes each target before it starts.
func (c *Cell) StartTargets(ctx context.Context, daemons []string, adjust func(*imitator.Target)) error {
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.History = imitator.NewHistory()
	c.outside = daemons
	return c.startWorkers(adjust)
}

// prepare chooses addresses and writes the data folders.
func (c *Cell) prepare() error {
	peers := make([]loader.Peer, c.Daemons)
	https := make([]string, c.Daemons)
	for i := range c.Daemons {
		replicaAddr, err := FreeAddress()
		if err != nil {
			return err
		}
		if https[i], err = FreeAddress(); err != nil {
			return err
		}
		peers[i] = loader.Peer{Name: registrar.DaemonName(fmt.Sprintf("vm%d", i+1)), Address: replicaAddr}
	}
	for i := range c.Daemons {
		s, err := c.settings(i, peers, https[i])
		if err != nil {
			return err
		}
		if i < c.Voters {
			if err := runner.Prepare(s); err != nil {
				return err
			}
		}
		c.Nodes = append(c.Nodes, &Node{Settings: s, cell: c})
	}
	return nil
}

// Ports that are given out lie below those that the kernel gives to outgoing
// connections. Each process takes whole blocks of them and holds the first port
// of a block, so that a port stays its own while the daemon that used it is
// down.
const (
	firstPort = 10000
	blocks    = 110
	blockSize = 200
)

var ports struct {
	sync.Mutex
	guards []net.Listener
	next   int // port; 0: none left in the block
	left   int
}

// FreeAddress returns a loopback address that no process listens on and that
// is given out once.
func FreeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range blocks * blockSize {
		if ports.left == 0 && !takeBlock() {
			break
		}
		ports.next++
		ports.left--
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address, nil
	}
	return "", errors.New("launcher: no free port")
}

// takeBlock takes the next block that no other process holds.
func takeBlock() bool {
	for i := range blocks {
		n := (os.Getpid() + i) % blocks
		port := firstPort + n*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		ports.guards = append(ports.guards, l)
		ports.next, ports.left = port, blockSize-1
		return true
	}
	return false
}

func (c *Cell) settings(i int, peers []loader.Peer, httpAddr string) (*loader.Settings, error) {
	place := c.Places[i%len(c.Places)]
	text := fmt.Sprintf("[Cell]\nName = %s\nVoters = vm1\n[Daemon]\nName = %s\nRegion = %s\nZone = %s\nListenHTTP = %s\nListenReplica = %s\n[Peers]\nvm1 = 127.0.0.1:1\n%s = 127.0.0.1:1\n[Storage]\nDataFolder = unset\n",
		c.Name, peers[i].Name, place.Region, place.Zone, httpAddr, peers[i].Address, peers[i].Name)
	s, findings := loader.Parse("launcher", text)
	if err := findings.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	s.Peers = peers
	s.Voters = nil
	for v := range c.Voters {
		s.Voters = append(s.Voters, string(peers[v].Name))
	}
	s.DataFolder = ""
	if i < c.Voters {
		s.DataFolder = filepath.Join(c.Folder, string(peers[i].Name))
	}
	if c.Adjust != nil {
		c.Adjust(s)
	}
	return s, nil
}

func (c *Cell) startWorkers(adjust func(*imitator.Target)) error {
	for i := range c.Targets.Count {
		place := c.Places[i%len(c.Places)]
		w := &imitator.Target{
			Name:   registrar.TargetName(fmt.Sprintf("t-%03d", i+1)),
			Region: place.Region, Zone: place.Zone,
			Rack:     registrar.RackName(fmt.Sprintf("%s-r%d", place.Zone, i/len(c.Places)/max(c.Targets.PerRack, 1)+1)),
			Capacity: c.Targets.Capacity, Slots: c.Targets.Slots, Connections: c.Targets.Connections,
			Daemons: c.HTTP(), Interval: c.Targets.Interval, History: c.History, Now: c.Now,
		}
		if adjust != nil {
			adjust(w)
		}
		if err := w.Listen(); err != nil {
			return errors.Trace(err)
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.Workers = append(c.Workers, w)
		c.WorkerStops = append(c.WorkerStops, cancel)
		go w.Run(ctx)
	}
	return nil
}

// HTTP returns the HTTP addresses of the daemons.
func (c *Cell) HTTP() []string {
	out := c.outside
	for _, n := range c.Nodes {
		out = append(out, n.Settings.ListenHTTP)
	}
	return out
}

// AwaitReady returns once every running daemon is ready.
func (c *Cell) AwaitReady(ctx context.Context) error {
	for _, n := range c.Nodes {
		if n.done == nil {
			continue
		}
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends the cell by planned stops.
func (c *Cell) Stop() error {
	var first error
	for _, n := range c.Nodes {
		n.cancelIfRunning()
	}
	for _, n := range c.Nodes {
		if err := n.await(); err != nil && first == nil {
			first = err
		}
	}
	c.cancel()
	return first
}

// Start runs the daemon.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(n.cell.ctx)
	n.cancel = cancel
	n.done = make(chan error, 1)
	r := &runner.Runner{Settings: n.Settings, Log: n.cell.Log.Named(string(n.Settings.Name)), Now: n.cell.Now}
	done := n.done
	go func() { done <- r.Run(ctx) }()
}

// Stop ends the daemon by a planned stop.
func (n *Node) Stop() error {
	n.cancelIfRunning()
	return n.await()
}

func (n *Node) cancelIfRunning() {
	if n.cancel != nil {
		n.cancel()
	}
}

func (n *Node) await() error {
	if n.done == nil {
		return nil
	}
	err := <-n.done
	n.done, n.cancel = nil, nil
	return err
}

// AwaitReady returns once the daemon is ready.
func (n *Node) AwaitReady(ctx context.Context) error {
	for {
		select {
		case err := <-n.done:
			n.done <- err
			return errors.Annotatef(err, "daemon %s ended", n.Settings.Name)
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "daemon %s is not ready", n.Settings.Name)
		case <-time.After(readyPoll):
		}
		resp, err := http.Get("http://" + n.Settings.ListenHTTP + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
}
