// Package divider divides the descriptors that a process may have open among the
// purposes for which it opens them, so that no purpose can take those of another.
package divider

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// This file holds the division. Files, services and a reserve have fixed numbers;
// the rest is divided by weights among the purposes that the daemon has. Example:
//
//	weights, err := divider.ParseWeights("Targets=80,Control=10")
//	d, err := divider.Divide(4324, weights, divider.Control, divider.Targets, divider.Peers)

// Purpose is what descriptors are opened for.
type Purpose string

// The purposes that are divided by weight.
const (
	Frontend Purpose = "Frontend" // connections of callers
	Control  Purpose = "Control"  // connections of targets and operators
	Peers    Purpose = "Peers"    // connections to and from other daemons
	Targets  Purpose = "Targets"  // connections to targets
)

// Weights are the shares of the purposes, relative to each other.
type Weights map[Purpose]int

// DefaultWeights returns the weights that settings may change. A target takes a
// connection for its poll and, while it is given orders, another; its announcement
// takes one for as long as the daemon lets it stay open.
func DefaultWeights() Weights {
	return Weights{Frontend: 60, Control: 20, Peers: 10, Targets: 70}
}

const (
	systemFiles = 200 // of the limit, for files that the system and the runtime open
	reserve     = 64  // listeners, standard streams, poller, readiness checks, metrics, and connections that are being closed
	diskFiles   = 16  // the log, snapshots and their folder
	services    = 48  // connections to the licensing service and the VM service: the former accepts 32 calls
	minShare    = 16  // with fewer for a purpose a daemon can't work
)

// Division is the bound of each purpose, in descriptors.
type Division struct {
	Limit    int // of the process
	Services int // connections to the licensing service and the VM service
	Shares   map[Purpose]int
}

// Divide divides a limit among purposes.
func Divide(limit int, w Weights, purposes ...Purpose) (Division, error) {
	d := Division{Limit: limit, Services: services, Shares: make(map[Purpose]int)}
	left := limit - systemFiles - reserve - diskFiles - services
	if left < minShare {
		return d, errors.Errorf("descriptors: a limit of %d leaves %d for connections of callers, daemons and targets", limit, max(left, 0))
	}
	sum := 0
	for _, p := range purposes {
		sum += w[p]
	}
	for _, p := range purposes {
		share := 0
		if sum > 0 {
			share = left * w[p] / sum
		}
		if share < minShare {
			return d, errors.Errorf("descriptors: a limit of %d leaves %d for %s, which needs %d", limit, share, p, minShare)
		}
		d.Shares[p] = share
	}
	return d, nil
}

// String returns the division as it is logged.
func (d Division) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Services=%d", d.Services)
	for _, p := range slices.Sorted(maps.Keys(d.Shares)) {
		fmt.Fprintf(&b, ",%s=%d", p, d.Shares[p])
	}
	return b.String()
}

// ParseWeights parses changes of the default weights, such as "Targets=80,Control=10".
// The error lists every finding.
func ParseWeights(text string) (Weights, error) {
	w := DefaultWeights()
	var findings []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		if _, known := w[Purpose(name)]; !known {
			findings = append(findings, fmt.Sprintf("%q names no purpose; there are %s", part, formatPurposes()))
			continue
		}
		n, err := strconv.Atoi(value)
		if err != nil || n < 1 || n > maxWeight {
			findings = append(findings, fmt.Sprintf("%q has no weight from 1 to %d", part, maxWeight))
			continue
		}
		w[Purpose(name)] = n
	}
	if len(findings) > 0 {
		return nil, errors.Errorf("weights of descriptors: %s", strings.Join(findings, "; "))
	}
	return w, nil
}

const maxWeight = 1000

func formatPurposes() string {
	names := make([]string, 0, len(DefaultWeights()))
	for _, p := range slices.Sorted(maps.Keys(DefaultWeights())) {
		names = append(names, string(p))
	}
	return strings.Join(names, ", ")
}

// Limit returns the number of descriptors that this process may have open: the lower
// one of the system's limit and a declared one. 0: none is declared.
func Limit(declared int) (int, error) {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return 0, errors.Annotate(err, "descriptors: limit of the system")
	}
	limit := int(min(r.Cur, maxLimit))
	if declared > 0 {
		limit = min(limit, declared)
	}
	return limit, nil
}

// maxLimit bounds what an unlimited system allows: a hundred connections to each
// target of the largest cell would be far fewer.
const maxLimit = 1 << 20
