package upgrade_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/mimic"
	"masticroad/internal/workflow/definer"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform/codec"
)

// This file plays upgrades from a version that knows no workspaces, in a cell whose document declares some.

const (
	shopKey    = definer.Key("key-of-the-shop")
	foreignKey = definer.Key("key-of-another")
)

// Guards against a cell that serves callers without keys after its upgrade, or that ceases to serve callers with keys at
// gateways that pass them on.
func TestUpgradeToWorkspaces(t *testing.T) {
	p := programs(t).from(tracker.FormatChecked)
	if p.earlier.format < tracker.FormatChecked || p.earlier.format >= tracker.FormatWorkspaces {
		t.Skipf("the earlier program follows format %d", p.earlier.format)
	}
	for _, o := range []struct {
		name string
		play func(c *cell)
	}{
		{"leader first", leaderFirst}, {"leader last", leaderLast},
	} {
		t.Run(o.name, func(t *testing.T) {
			passOverKnownRed(t)
			t.Parallel()
			c := start(t, p)
			c.jobs.client = c.jobs.client.WithKey(shopKey)
			c.keyed = true
			c.Assert(c.operator.Put(c.ctx, c.newWorkspaces(2)), quicktest.IsNil)
			c.checkKeys("before the upgrade", http.StatusOK)
			o.play(c)
			c.finish()
			c.checkService()
			c.awaitFormat(tracker.FormatWorkspaces)
			c.checkKeys("after the upgrade", http.StatusUnauthorized)
			c.fill()
			c.leadInTurn()
			c.checkKeys("after a snapshot", http.StatusUnauthorized)
			c.checkOldGateway()
			c.Assert(c.operator.Put(c.ctx, c.newWorkspaces(3)), quicktest.IsNil)
			c.checkKeys("with another document", http.StatusUnauthorized)
			c.checkStates()
		})
	}
}

// answering returns the gateways that serve callers with keys: those of the earlier program pass none on, which counts
// once all replicas follow workspaces. See checkOldGateway.
func (c *cell) answering() []*process {
	out := running(c.gateways())
	if !c.keyed || len(c.presentReplicas()) < replicas {
		return out
	}
	return slices.DeleteFunc(out, func(g *process) bool { return g.program.name != c.present.name })
}

// newWorkspaces returns a document that declares a workspace for the jobs of the play and another one.
func (c *cell) newWorkspaces(version definer.Version) *definer.Document {
	d := newDocument(version)
	d.Workspaces = []definer.Workspace{
		{Name: "shop", Keys: []definer.Key{shopKey}, Weight: 1, Limit: registrar.Need{CPU: 8000}},
		{Name: "other", Keys: []definer.Key{foreignKey}, Weight: 1},
	}
	return d
}

// checkKeys checks the answers to a caller with a key, and to others. What callers get without a valid key is up to the
// format in force.
func (c *cell) checkKeys(when string, without int) {
	c.Helper()
	j := c.newJob("keys "+when, definer.Step{Count: 1}, 0, briefly)
	path := queuePrefix + j.ID.String()
	post := func(key definer.Key) int {
		return c.postOnce(c.jobs.client.WithKey(key), path, j)
	}
	c.Check(post(shopKey), quicktest.Equals, http.StatusOK, quicktest.Commentf(when))
	c.fleet.Do(func() { c.fleet.Audit.Accepted(j.ID, time.Now()) })
	c.Check(post(""), quicktest.Equals, without, quicktest.Commentf(when))
	c.Check(post("unknown"), quicktest.Equals, without, quicktest.Commentf(when))
	foreign := without
	if without == http.StatusUnauthorized {
		foreign = http.StatusForbidden
	}
	c.Check(post(foreignKey), quicktest.Equals, foreign, quicktest.Commentf(when))
	c.awaitEnd(j)
}

// postOnce submits a job until there is an answer that tells whether it may be submitted.
func (c *cell) postOnce(client *mimic.Client, path string, j *definer.Job) int {
	r, err := client.Do(c.ctx, http.MethodPost, path, codec.NewJob(j))
	c.Assert(err, quicktest.IsNil)
	return r.Status
}

// checkOldGateway puts a gateway back to the earlier program, which does not pass keys on. Its callers are told to call
// again, as others may serve them.
func (c *cell) checkOldGateway() {
	c.Helper()
	g := c.gateways()[0]
	c.change(g, c.earlier)
	client := mimic.NewClient([]string{g.Frontend}, queueHost).WithKey(shopKey)
	path := queuePrefix + c.jobs.service.ID.String()
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		c.Check(client.Try(c.ctx, 0, method, path, nil).Status, quicktest.Equals, http.StatusServiceUnavailable)
	}
	c.Check(client.Try(c.ctx, 0, http.MethodPost, path, codec.NewJob(c.jobs.service)).Status, quicktest.Equals, http.StatusServiceUnavailable)
	c.change(g, c.present)
}
