package loader

import (
	"encoding/hex"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds the table of all settings keys. To add a setting, add a field
// to Settings and an entry to the table.

// field describes one settings key.
type field struct {
	section      string
	key          string
	defaultValue string // value of an absent key
	required     bool
	allowed      string
	effect       string
	set          func(*Settings, string) error
}

var fields = []field{
	{"Cell", "Name", "", true, "letters, digits, dots, dashes", "name of the cell; a data folder of another cell is refused", setName(func(s *Settings) *string { return &s.Cell })},
	{"Cell", "Voters", "", true, "names of daemons of [Peers], an odd number", "daemons that vote in a new cell; each needs a data folder", setList(func(s *Settings) *[]string { return &s.Voters })},
	{"Daemon", "Name", "", true, "a name of [Peers]", "name of this daemon", setName(func(s *Settings) *string { return (*string)(&s.Name) })},
	{"Daemon", "Region", "", true, "a name", "region of this VM", setName(func(s *Settings) *string { return (*string)(&s.Region) })},
	{"Daemon", "Zone", "", true, "a name", "availability zone of this VM", setName(func(s *Settings) *string { return (*string)(&s.Zone) })},
	{"Daemon", "ListenHTTP", "127.0.0.1:7070", false, "IP:port", "address for callers, targets, operators and the platform", setAddress(func(s *Settings) *string { return &s.ListenHTTP })},
	{"Daemon", "ListenReplica", "127.0.0.1:7071", false, "IP:port", "address for the other daemons", setAddress(func(s *Settings) *string { return &s.ListenReplica })},
	{"Storage", "DataFolder", "", false, "a path; empty on a VM without a disk", "folder for the log and its snapshots", setText(func(s *Settings) *string { return &s.DataFolder })},
	{"Storage", "SnapshotEntries", "20000", false, "a whole number from 100", "entries of the log before a snapshot", setNumber(100, func(s *Settings) *int { return &s.SnapshotEntries })},
	{"Storage", "SnapshotBytes", "4194304", false, "a whole number from 65536", "bytes of the log before a snapshot", setNumber(65536, func(s *Settings) *int { return &s.SnapshotBytes })},
	{"Limits", "MaxBody", "1048576", false, "bytes from 1024", "largest body of a request", setNumber(1024, func(s *Settings) *int { return &s.MaxBody })},
	{"Limits", "MaxAnswer", "1048576", false, "bytes from 1024", "largest answer of a target", setNumber(1024, func(s *Settings) *int { return &s.MaxAnswer })},
	{"Limits", "MaxInFlight", "1024", false, "a whole number from 1", "requests that this daemon holds at once", setNumber(1, func(s *Settings) *int { return &s.MaxInFlight })},
	{"Limits", "TargetConnections", "64", false, "a whole number from 1", "connections from this daemon to one target", setNumber(1, func(s *Settings) *int { return &s.TargetConnections })},
	{"Limits", "StopGrace", "30s", false, "a duration", "time for requests in flight at a planned stop", setDuration(func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"Limits", "SoftMemory", "41943040", false, "bytes from 16777216", "memory of the runtime above which it collects garbage more often; resident memory stays below it and 24 MB more, as long as Connections times 24 KB and RequestMemory fit into it with the 15 MB of an idle daemon", setNumber(16<<20, func(s *Settings) *int { return &s.SoftMemory })},
	{"Limits", "RequestMemory", "0", false, "bytes from 4194304; 0: a quarter of SoftMemory", "memory that requests of callers, targets and operators take at once; beyond it they wait, and are then refused with 503", setRequestMemory},
	{"Limits", "Connections", "2048", false, "a whole number from 16", "connections of callers, targets and operators; beyond them idle ones are closed, or those that have been inside a request for seconds", setNumber(16, func(s *Settings) *int { return &s.Connections })},
	{"Limits", "DrainPause", "1s", false, "several times the interval at which the balancer asks", "time at a planned stop for the balancer to see that the daemon is not ready", setDuration(func(s *Settings) *time.Duration { return &s.DrainPause })},
	{"Limits", "BodyTimeout", "10s", false, "a duration", "time in which the body of a request must arrive", setDuration(func(s *Settings) *time.Duration { return &s.BodyTimeout })},
	{"Timing", "Heartbeat", "100ms", false, "a duration", "time between a leader's messages to a voter", setDuration(func(s *Settings) *time.Duration { return &s.Heartbeat })},
	{"Timing", "ElectionMin", "400ms", false, "at least three heartbeats", "shortest time without a leader before an election", setDuration(func(s *Settings) *time.Duration { return &s.ElectionMin })},
	{"Timing", "ElectionMax", "700ms", false, "more than ElectionMin", "longest time without a leader before an election", setDuration(func(s *Settings) *time.Duration { return &s.ElectionMax })},
	{"Timing", "ReplaceAfter", "5s", false, "a duration", "silence after which a lost voter is replaced by its daemon's new replica", setDuration(func(s *Settings) *time.Duration { return &s.ReplaceAfter })},
	{"Timing", "DaemonLease", "2s", false, "at least 1s", "lease of a daemon", setDuration(func(s *Settings) *time.Duration { return &s.DaemonLease })},
	{"Timing", "TargetLease", "15s", false, "at least 1s", "lease of a target; targets announce themselves three times within it", setDuration(func(s *Settings) *time.Duration { return &s.TargetLease })},
	{"Timing", "StartWindow", "2s", false, "a duration", "time from an assignment to the latest start", setDuration(func(s *Settings) *time.Duration { return &s.StartWindow })},
	{"Timing", "Transit", "2s", false, "a duration", "time in which a sent start arrives or is dropped", setDuration(func(s *Settings) *time.Duration { return &s.Transit })},
	{"TLS", "CertFile", "", false, "a path", "certificate of this daemon, PEM", setText(func(s *Settings) *string { return &s.TLSCert })},
	{"TLS", "KeyFile", "", false, "a path", "key of the certificate, PEM", setText(func(s *Settings) *string { return &s.TLSKey })},
	{"TLS", "CAFile", "", false, "a path", "certificates that sign the other daemons', PEM", setText(func(s *Settings) *string { return &s.TLSCA })},
	{"Log", "Level", "info", false, "trace, debug, info, warn, error", "least severe message that is written", setChoice([]string{"trace", "debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.LogLevel })},
	{"Log", "Format", "text", false, "text, json", "form of the log", setChoice([]string{"text", "json"}, func(s *Settings) *string { return &s.LogFormat })},
}

// leastRequestMemory holds a body of the default MaxBody.
const leastRequestMemory = 4 << 20

func setRequestMemory(s *Settings, text string) error {
	if text == "0" {
		return nil
	}
	return setNumber(leastRequestMemory, func(s *Settings) *int { return &s.RequestMemory })(s, text)
}

// userKeyedSections are sections whose keys are names chosen by the user.
var userKeyedSections = []string{"Peers", "Operators", "Regions"}

func setName(f func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if !validName(text) {
			return fmt.Errorf("%q is not a name", text)
		}
		*f(s) = text
		return nil
	}
}

func validName(text string) bool {
	if text == "" || len(text) > 64 {
		return false
	}
	return strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
}

func setText(f func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		*f(s) = text
		return nil
	}
}

func setList(f func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		for _, item := range strings.Split(text, ",") {
			item = strings.TrimSpace(item)
			if !validName(item) {
				return fmt.Errorf("%q is not a name", item)
			}
			*f(s) = append(*f(s), item)
		}
		return nil
	}
}

func setAddress(f func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if err := checkAddress(text); err != nil {
			return err
		}
		*f(s) = text
		return nil
	}
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP number and a port", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q is not a port", port)
	}
	return nil
}

func setNumber(minimum int, f func(*Settings) *int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		n, err := strconv.Atoi(text)
		if err != nil || n < minimum {
			return fmt.Errorf("%q is not a whole number of at least %d", text, minimum)
		}
		*f(s) = n
		return nil
	}
}

func setDuration(f func(*Settings) *time.Duration) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return fmt.Errorf("%q is not a duration such as 500ms or 30s", text)
		}
		*f(s) = d
		return nil
	}
}

func setChoice(choices []string, f func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		for _, c := range choices {
			if strings.EqualFold(c, text) {
				*f(s) = c
				return nil
			}
		}
		return fmt.Errorf("%q is not one of the choices", text)
	}
}

func checkDigest(text string) error {
	if b, err := hex.DecodeString(text); err != nil || len(b) != 32 {
		return fmt.Errorf("%q is not a SHA-256 digest in hex", text)
	}
	return nil
}

func daemonName(text string) registrar.DaemonName { return registrar.DaemonName(text) }
