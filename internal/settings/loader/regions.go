package loader

import (
	"fmt"
	"slices"
	"strings"

	"masticroad/internal/control/registrar"
)

// This file holds the region settings: which daemons replicate a log together
// and how many voter failures each layout tolerates.

// RegionMembers lists the daemons of one region, which replicate a log of their own.
type RegionMembers struct {
	Name    registrar.RegionName
	Daemons []registrar.DaemonName
}

// Members returns the daemons that replicate the same log as this one, including
// this one.
func (s *Settings) Members() []Peer {
	own := s.regionOf(s.Name)
	if own == nil {
		return s.Peers
	}
	var out []Peer
	for _, p := range s.Peers {
		if slices.Contains(own.Daemons, p.Name) {
			out = append(out, p)
		}
	}
	return out
}

// Elsewhere returns the daemons of every other region, by region.
func (s *Settings) Elsewhere() map[registrar.RegionName][]Peer {
	out := make(map[registrar.RegionName][]Peer)
	own := s.regionOf(s.Name)
	for i := range s.Regions {
		r := &s.Regions[i]
		if r == own {
			continue
		}
		for _, p := range s.Peers {
			if slices.Contains(r.Daemons, p.Name) {
				out[r.Name] = append(out[r.Name], p)
			}
		}
	}
	return out
}

// GroupVoters returns the initial voters of this daemon's log.
func (s *Settings) GroupVoters() []string {
	own := s.regionOf(s.Name)
	if own == nil {
		return s.Voters
	}
	var out []string
	for _, v := range s.Voters {
		if slices.Contains(own.Daemons, registrar.DaemonName(v)) {
			out = append(out, v)
		}
	}
	return out
}

// Group returns the number of this daemon's log, starting at 1.
func (s *Settings) Group() int {
	for i := range s.Regions {
		if slices.Contains(s.Regions[i].Daemons, s.Name) {
			return i + 1
		}
	}
	return 1
}

func (s *Settings) regionOf(name registrar.DaemonName) *RegionMembers {
	for i := range s.Regions {
		if slices.Contains(s.Regions[i].Daemons, name) {
			return &s.Regions[i]
		}
	}
	return nil
}

func (p *fileParser) readRegions() {
	for _, k := range p.file.Section("Regions").Keys() {
		r := RegionMembers{Name: registrar.RegionName(k.Name())}
		for _, name := range strings.Split(k.String(), ",") {
			name = strings.TrimSpace(name)
			if !p.isPeer(name) {
				p.addError("Regions", k.Name(), fmt.Sprintf("%q is not in [Peers]", name), p.peerNames())
				continue
			}
			if p.settings.regionOf(registrar.DaemonName(name)) != nil {
				p.addError("Regions", k.Name(), fmt.Sprintf("%q is in two regions", name), "each daemon once")
			}
			r.Daemons = append(r.Daemons, registrar.DaemonName(name))
		}
		p.settings.Regions = append(p.settings.Regions, r)
	}
	slices.SortFunc(p.settings.Regions, func(a, b RegionMembers) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// checkRegions checks that each daemon is in a region, that each region has an
// odd number of voters, and that the local daemon's region matches [Regions].
func (p *fileParser) checkRegions() {
	s := p.settings
	if len(s.Regions) == 0 {
		return
	}
	for _, peer := range s.Peers {
		if s.regionOf(peer.Name) == nil {
			p.addError("Regions", "", fmt.Sprintf("%q is in no region", peer.Name), "each daemon of [Peers] once")
		}
	}
	for i := range s.Regions {
		r := &s.Regions[i]
		n := 0
		for _, v := range s.Voters {
			if slices.Contains(r.Daemons, registrar.DaemonName(v)) {
				n++
			}
		}
		if n%2 == 0 {
			p.addError("Regions", string(r.Name), fmt.Sprintf("%d of its daemons vote", n), "an odd number of voters in each region")
		}
	}
	if own := s.regionOf(s.Name); own != nil && own.Name != s.Region {
		p.addError("Daemon", "Region", fmt.Sprintf("%q, but [Regions] has %s in %q", s.Region, s.Name, own.Name), string(own.Name))
	}
}

// Survives describes how many voter failures the layout tolerates, one line a
// log.
func Survives(s *Settings) []string {
	if len(s.Regions) == 0 {
		n := len(s.Voters)
		return []string{fmt.Sprintf("%d voters of %d daemons: the cell goes on after the loss of any %d of the voters", n, len(s.Peers), (n-1)/2)}
	}
	var out []string
	for i := range s.Regions {
		r := &s.Regions[i]
		n := 0
		for _, v := range s.Voters {
			if slices.Contains(r.Daemons, registrar.DaemonName(v)) {
				n++
			}
		}
		out = append(out, fmt.Sprintf("region %s: %d voters of %d daemons; it goes on after the loss of any %d of them, and while it is cut off from other regions", r.Name, n, len(r.Daemons), (n-1)/2))
	}
	return out
}
