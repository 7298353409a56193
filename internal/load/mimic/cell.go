package mimic

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"masticroad/internal/load/emulator"
	"masticroad/platform/codec"
)

// This file writes the settings of the daemons of a cell. Every daemon has an
// address of its own on loopback, so that all use the same ports, as VMs do.

// Cell is a set of daemons. The exported fields are set before Write.
type Cell struct {
	Folder   string
	Replicas int // daemons with a disk; the first three are the seeds
	Gateways int // daemons that serve callers
	Licences string
	Keeper   string
	Limits   emulator.Limits // of the targets
	Upkeep   time.Duration   // of a VM
	// Retention is how long an ended job can be queried; 0: the daemons' default.
	Retention time.Duration
	// Relayed lets daemons listen for others on another address than the one that
	// others know, so that a relay can stand in between.
	Relayed     bool
	Descriptors int // limit of each daemon; 0: none is declared
	// GatewayMB and ReplicaMB are the memory of the VMs; 0: none is declared.
	GatewayMB, ReplicaMB int

	Nodes []*Node
	zones map[string]string
}

// Node is one daemon.
type Node struct {
	Name      string
	Settings  string // path of its settings file
	Control   string // address for targets and operators; empty: none
	Frontend  string // address for callers; empty: none
	Readiness string
	Internal  string // address for other daemons
	Inner     string // where it listens for them, when a relay is in between
	Metrics   string
	DataDir   string // empty: none

	facts codec.NodeSettings
}

const (
	controlPort   = 8166
	frontendPort  = 8161
	readinessPort = 8167
	metricsPort   = 8168
	firstInternal = 7720
	lastInternal  = 7735
	mostSeeds     = 3
	netTries      = 64
)

// Write chooses free addresses and writes all settings for a first start.
func (c *Cell) Write() error {
	subnet, err := freeSubnet(c.Replicas + c.Gateways)
	if err != nil {
		return err
	}
	c.zones = map[string]string{"a": "r1", "b": "r1", "c": "r2"}
	names := []string{"a", "b", "c"}
	for n := range c.Replicas + c.Gateways {
		ip := fmt.Sprintf("%s.%d", subnet, n+1)
		node := &Node{Internal: net.JoinHostPort(ip, strconv.Itoa(firstInternal)), Metrics: net.JoinHostPort(ip, strconv.Itoa(metricsPort))}
		listen := map[string]string{"metrics": node.Metrics}
		serves, memory := "control", c.ReplicaMB
		if n < c.Replicas {
			node.Name = fmt.Sprintf("replica-%d", n+1)
			node.Control = net.JoinHostPort(ip, strconv.Itoa(controlPort))
			node.DataDir = filepath.Join(c.Folder, node.Name)
			listen["control"] = node.Control
			if c.Relayed {
				node.Inner = net.JoinHostPort(ip, strconv.Itoa(lastInternal))
				listen["internal"] = node.Inner
			}
		} else {
			serves, memory = "edge", c.GatewayMB
			node.Name = fmt.Sprintf("gateway-%d", n-c.Replicas+1)
			node.Frontend = net.JoinHostPort(ip, strconv.Itoa(frontendPort))
			node.Readiness = net.JoinHostPort(ip, strconv.Itoa(readinessPort))
			listen["frontend"], listen["readiness"] = node.Frontend, node.Readiness
		}
		node.facts = codec.NodeSettings{
			Name: node.Name, Serves: serves, IP: ip, Zone: names[n%len(names)], Zones: c.zones, Listen: listen, Ports: [2]int{firstInternal, lastInternal},
			Bootstrap: true, DataDir: node.DataDir, LicensingAddress: c.Licences, VMServiceAddress: c.Keeper, Limits: c.Limits, Upkeep: c.Upkeep, Retention: c.Retention,
			Descriptors: c.Descriptors, MemoryMB: memory,
		}
		node.Settings = filepath.Join(c.Folder, node.Name+".json")
		c.Nodes = append(c.Nodes, node)
	}
	for _, n := range c.Nodes {
		n.facts.Seeds = c.Seeds()
		if err := n.save(); err != nil {
			return err
		}
	}
	return nil
}

// Seeds returns the control addresses that every daemon is told.
func (c *Cell) Seeds() []string { return c.Controls()[:min(mostSeeds, c.Replicas)] }

// Controls returns the control addresses of all daemons.
func (c *Cell) Controls() []string {
	var out []string
	for _, n := range c.Nodes {
		if n.Control != "" {
			out = append(out, n.Control)
		}
	}
	return out
}

// Frontends returns the addresses for callers of all daemons.
func (c *Cell) Frontends() []string {
	var out []string
	for _, n := range c.Nodes {
		if n.Frontend != "" {
			out = append(out, n.Frontend)
		}
	}
	return out
}

// Started makes the settings those of a later start: the cell has been founded.
func (n *Node) Started() error {
	n.facts.Bootstrap = false
	return n.save()
}

// Wipe removes a daemon's data. The daemon must be stopped.
func (n *Node) Wipe() error {
	if n.DataDir == "" {
		return nil
	}
	if err := os.RemoveAll(n.DataDir); err != nil {
		return err
	}
	return os.MkdirAll(n.DataDir, 0o755)
}

// save replaces the settings file, so that no daemon reads half of it.
func (n *Node) save() error {
	data, err := n.facts.Encode()
	if err != nil {
		return err
	}
	if n.DataDir != "" {
		if err := os.MkdirAll(n.DataDir, 0o755); err != nil {
			return err
		}
	}
	if err := os.WriteFile(n.Settings+".new", data, 0o644); err != nil {
		return err
	}
	return os.Rename(n.Settings+".new", n.Settings)
}

// freeSubnet returns the first three numbers of loopback addresses whose ports
// nobody uses.
func freeSubnet(addresses int) (string, error) {
	for n := range netTries {
		subnet := fmt.Sprintf("127.%d.%d", 64+n, os.Getpid()%250+1)
		if isFree(subnet, addresses) {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("mimic: no free loopback addresses for %d daemons", addresses)
}

func isFree(subnet string, addresses int) bool {
	for n := range addresses {
		for _, port := range []int{controlPort, frontendPort, readinessPort, metricsPort, firstInternal} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, n+1, port))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only tried
		}
	}
	return true
}
