// Package memory_test sends requests of callers that keep to no rules to the processes
// of daemons, and checks that the processes live on within their memory.
package memory_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/load/emulator"
	"masticroad/internal/load/mimic"
	"masticroad/internal/workflow/definer"
	"masticroad/platform"
	"masticroad/platform/codec"
)

// The crowds and the bounds are fixed: against the code before the bounds of memory,
// they made the processes exceed their memory several times over. 600 connections to
// a VM of 184 MB are 313 to one of 96 MB; 200 with headers are 104.

const (
	host           = "jobs.example"
	prefix         = "/q/"
	gatewayMB      = 96
	gatewayBodies  = 313
	gatewayHeaders = 104
	replicaMB      = 160
	replicaBodies  = 235 // as 600 to one of 408 MB
	replicaHeaders = 78
	maxFiles       = 1800     // 1,261 connections of callers, 294 of targets and operators
	softMemory     = 64 << 20 // of serve
	serveMB        = 64 + 24  // as the page of settings states
	serveBodies    = 200
	serveHeaders   = 60
	serveFiles     = 800
	token          = "till-token"
)

// failures counts failed crowds. A test ends after some, as each takes a new process
// and much memory.
type failures int

const maxFailures = 3

func (f *failures) count(t *testing.T) {
	if *f++; *f == maxFailures {
		t.FailNow()
	}
}

// cell is one replica and one gateway.
type cell struct {
	c                *quicktest.C
	nodes            *mimic.Cell
	replica, gateway *process
	jobs             definer.JobID
	version          definer.Version
}

func newCell(t *testing.T) *cell {
	c := quicktest.New(t)
	folder, err := os.MkdirTemp(t.ArtifactDir(), "cell")
	c.Assert(err, quicktest.IsNil)
	x := &cell{c: c, nodes: &mimic.Cell{
		Folder: folder, Replicas: 1, Gateways: 1, Descriptors: maxFiles, GatewayMB: gatewayMB, ReplicaMB: replicaMB,
		Limits: emulator.Limits{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTime: 3 * time.Second, SaveEvery: time.Second},
	}}
	licences, err := (&mimic.Licences{}).Start(c.Context())
	c.Assert(err, quicktest.IsNil)
	x.nodes.Licences = licences
	c.Assert(x.nodes.Write(), quicktest.IsNil)
	run := func(n *mimic.Node) *process {
		return start(c, filepath.Join(folder, n.Name+".log"), platform.SettingsVariable+"="+n.Settings, "platform")
	}
	x.replica, x.gateway = run(x.nodes.Nodes[0]), run(x.nodes.Nodes[1])
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	x.version = 1
	c.Assert(mimic.NewClient(x.nodes.Controls(), "").Put(ctx, x.document()), quicktest.IsNil)
	c.Assert(x.submission().await(), quicktest.IsTrue)
	return x
}

// stop ends the daemons.
func (x *cell) stop() {
	x.gateway.kill()
	x.replica.kill()
}

func (x *cell) document() *definer.Document {
	return &definer.Document{Version: x.version, Pools: []definer.Pool{{Name: "pool"}}, Queues: []definer.Queue{{
		Name: "q", Host: host, Prefix: prefix, Pool: "pool", MaxAttempts: 2, Slack: 2, Timeout: time.Minute,
	}}}
}

// submission returns an ordinary submission of a new job, at the gateway.
func (x *cell) submission() *request {
	x.jobs++
	body, err := json.Marshal(&codec.Job{Spec: "x", Steps: []codec.Step{{Count: 1, CPU: 1000, EstimateMs: 100}}})
	x.c.Assert(err, quicktest.IsNil)
	return &request{method: http.MethodPost, address: x.frontend(), path: prefix + x.jobs.String(), body: body}
}

// change returns an ordinary change of the document, at the replica.
func (x *cell) change() *request {
	x.version++
	body, err := json.Marshal(codec.NewDocument(x.document()))
	x.c.Assert(err, quicktest.IsNil)
	return &request{method: http.MethodPost, address: x.control(), path: codec.PathPut, body: body}
}

func (x *cell) frontend() string { return x.nodes.Frontends()[0] }
func (x *cell) control() string  { return x.nodes.Controls()[0] }

// Requests that are nearly complete made gateways run out of memory.
func TestGatewayStaysWithinItsMemory(t *testing.T) {
	failures := failures(0)
	path := prefix + "%d"
	crowds := append(crowdsAt(path, gatewayBodies, gatewayHeaders),
		crowd{"empty steps", gatewayMB / 4, emptySteps(path)},
		crowd{"requests that have begun", 1400, begun(path)},
	)
	x := newCell(t)
	for i := range crowds {
		if !(&bounds{gatewayMB, maxFiles}).attack(x.c, x.gateway, x.frontend(), x.submission, &crowds[i]) {
			x.stop()
			x = newCell(t)
			failures.count(t)
		}
	}
	x.c.Assert(x.submission().largest(262_144).await(), quicktest.IsTrue)
	x.c.Assert(x.gateway.peakMB() < gatewayMB, quicktest.IsTrue)
}

// Requests that are nearly complete made replicas run out of memory.
func TestReplicaStaysWithinItsMemory(t *testing.T) {
	failures := failures(0)
	announce := codec.PrefixInstances + "i-%d/" + codec.ActionAnnounce
	crowds := append(crowdsAt(announce, replicaBodies, replicaHeaders),
		crowd{"documents", replicaBodies / 16, withLength(codec.PathPut+"?%d", 16<<20-100, 64<<10)},
		crowd{"requests that have begun", 400, begun(announce)},
	)
	x := newCell(t)
	for i := range crowds {
		if !(&bounds{replicaMB, maxFiles}).attack(x.c, x.replica, x.control(), x.change, &crowds[i]) {
			x.stop()
			x = newCell(t)
			failures.count(t)
		}
	}
	x.c.Assert(x.change().largest(262_144).await(), quicktest.IsTrue)
	x.c.Assert(x.change().filled(4<<20).await(), quicktest.IsTrue)
	(&bounds{replicaMB, maxFiles}).attack(x.c, x.replica, x.control(), x.change, &crowd{"documents that nobody reads", replicaBodies, unread(codec.PathFetch + "?%d")})
	x.c.Assert(x.replica.peakMB() < replicaMB, quicktest.IsTrue)
}

// The other ports of a VM can be reached by the same callers.
func TestOtherPortsAreBounded(t *testing.T) {
	crowds := []crowd{
		{"bodies with a length", 32, withLength("/%d", bodyBytes, bodyBytes)},
		{"short header lines", 32, headerLines("/%d", bodyBytes, shortLine)},
		{"requests that have begun", 32, begun("/%d")},
	}
	for _, name := range []string{"readiness", "metrics", "daemons"} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			for i := range crowds {
				if !x.attackPort(name, &crowds[i]) {
					x.stop()
					x = newCell(t)
				}
			}
		})
	}
}

func (x *cell) attackPort(name string, a *crowd) bool {
	replica, gateway := x.nodes.Nodes[0], x.nodes.Nodes[1]
	get := func(address, path string) func() *request {
		return func() *request { return &request{method: http.MethodGet, address: address, path: path} }
	}
	switch name {
	case "readiness":
		return (&bounds{gatewayMB, maxFiles}).attack(x.c, x.gateway, gateway.Readiness, get(gateway.Readiness, codec.PathReady), a)
	case "metrics":
		return (&bounds{gatewayMB, maxFiles}).attack(x.c, x.gateway, gateway.Metrics, get(gateway.Metrics, "/metrics"), a)
	}
	return (&bounds{replicaMB, maxFiles}).attack(x.c, x.replica, replica.Internal, x.submission, a)
}

// Requests that are nearly complete made a daemon of `serve` run out of memory.
func TestServeStaysWithinItsMemory(t *testing.T) {
	failures := failures(0)
	crowds := append(crowdsAt("/v1/announce?%d", serveBodies, serveHeaders),
		crowd{"changes", serveBodies / 8, withLength("/v1/changes?%d", 8<<20-100, 64<<10)},
		crowd{"requests of a caller", serveBodies, withLength("/v1/requests?%d", bodyBytes, bodyBytes, "Authorization: Bearer "+token)},
		crowd{"statements in small chunks", serveBodies, chunked("/v1/statements?%d", bodyBytes/2, 2)},
		crowd{"requests that have begun", serveFiles, begun("/v1/announce?%d")},
	)
	c := quicktest.New(t)
	p, address := serve(t, c)
	question := func() *request {
		return &request{method: http.MethodPost, address: address, path: "/v1/statements", body: []byte(`{"Statement":"SHOW VMs"}`)}
	}
	for i := range crowds {
		if !(&bounds{serveMB, serveFiles}).attack(c, p, address, question, &crowds[i]) {
			p.kill()
			p, address = serve(t, c)
			failures.count(t)
		}
	}
	c.Assert(question().largest(262_144).await(), quicktest.IsTrue)
	c.Assert(p.peakMB() < serveMB, quicktest.IsTrue)
}

// serve starts a cell of one daemon and returns its address.
func serve(t *testing.T, c *quicktest.C) (*process, string) {
	folder, err := os.MkdirTemp(t.ArtifactDir(), "cell")
	c.Assert(err, quicktest.IsNil)
	address := freeAddress(c)
	settings := filepath.Join(folder, "cell.ini")
	text := fmt.Sprintf("[Cell]\nName = memory\nVoters = vm1\n[Daemon]\nName = vm1\nRegion = r1\nZone = a\nListenHTTP = %s\nListenReplica = %s\n"+
		"[Peers]\nvm1 = 127.0.0.1:1\n[Storage]\nDataFolder = %s\n[Limits]\nSoftMemory = %d\nConnections = %d\n", address, freeAddress(c), filepath.Join(folder, "vm1"), softMemory, serveFiles-100)
	c.Assert(os.WriteFile(settings, []byte(text), 0o644), quicktest.IsNil)
	out, err := exec.Command(program, "init", "--settings", settings).CombinedOutput()
	c.Assert(err, quicktest.IsNil, quicktest.Commentf("%s", out))
	p := start(c, filepath.Join(folder, "vm1.log"), "", "serve", "--settings", settings)
	digest := sha256.Sum256([]byte(token))
	statement := &request{method: http.MethodPost, address: address, path: "/v1/statements"}
	statement.body = []byte(fmt.Sprintf(`{"Statement":"CREATE CALLER tills SET TokenDigest = %x","ChangeID":"first"}`, digest))
	c.Assert(statement.await(), quicktest.IsTrue)
	return p, address
}
