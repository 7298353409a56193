package commander

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/operator"
	"masticroad/internal/settings/declarer"
)

// This file holds `apply`, which brings the configuration in force to what
// files declare, as one change.

func newApply(s *streams) *cobra.Command {
	c := &daemonClient{}
	var dryRun bool
	var id string
	cmd := &cobra.Command{
		Use:   "apply FILE... [--dry-run] [--daemon ADDRESS]",
		Short: "Bring the configuration in force to what files declare",
		Long: "Compares declarations with the configuration in force, shows the plan, and applies it as one change that is based on\n" +
			"the revision it was compared with: all of it or nothing.",
		Example: "  masticroad apply cell/*.ini --dry-run\n  masticroad apply cell/*.ini",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			declared, findings := declarer.Load(args)
			for _, f := range findings {
				s.printf("%s\n", f)
			}
			if findings.Err() != nil {
				return errPrinted
			}
			a := &application{s, c, dryRun, id}
			return a.run(cmd.Context(), declared)
		},
	}
	daemonFlags(cmd, c)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the plan only")
	cmd.Flags().StringVar(&id, "id", rand.Text(), "change id; the same id is never applied twice")
	cmd.Flag("id").DefValue = "random"
	return cmd
}

// application applies declarations, region by region where the cell has
// several.
type application struct {
	*streams
	client *daemonClient
	dryRun bool
	id     string
}

func (a *application) run(ctx context.Context, d *declarer.Declared) error {
	config, err := a.configuration(ctx, "")
	if err != nil {
		return failed(err)
	}
	if len(config.Regions) == 0 {
		return a.change(ctx, "", declarer.Plan(d, config), config.Revision)
	}
	policies := declarer.Plan(&declarer.Declared{Policies: d.Policies}, &declarer.Configuration{Policies: config.Policies})
	if len(policies) > 0 {
		a.printf("every region: ")
		if err := a.change(ctx, "", policies, config.Revision); err != nil {
			return err
		}
	}
	for _, name := range config.Regions {
		have, err := a.configuration(ctx, name)
		if err != nil {
			return failed(err)
		}
		a.printf("region %s: ", name)
		if err := a.change(ctx, name, declarer.Plan(d.In(name, config.Region), have), have.Revision); err != nil {
			return err
		}
	}
	return nil
}

func (a *application) configuration(ctx context.Context, region registrar.RegionName) (*declarer.Configuration, error) {
	reply, err := a.client.do(ctx, http.MethodGet, "/v1/configuration?region="+url.QueryEscape(string(region)), nil)
	if err != nil {
		return nil, err
	}
	if reply.Config == nil {
		return nil, errors.Errorf("the configuration can't be read: %v", reply.Findings)
	}
	return reply.Config, nil
}

func (a *application) change(ctx context.Context, region registrar.RegionName, steps []declarer.Step, base registrar.Revision) error {
	a.printPlan(steps, base)
	if a.dryRun || len(steps) == 0 {
		return nil
	}
	id := a.id
	if region != "" {
		id += "-" + string(region)
	}
	call := &operator.ChangeCall{ChangeID: registrar.ChangeID(id), Base: &base, Text: "apply"}
	for _, st := range steps {
		call.Ops = append(call.Ops, st.Op)
	}
	reply, err := a.client.do(ctx, http.MethodPost, "/v1/changes?region="+url.QueryEscape(string(region)), call)
	if err != nil {
		return failed(err)
	}
	return a.printReply("", reply)
}

func (s *streams) printPlan(steps []declarer.Step, base registrar.Revision) {
	s.printf("plan of %d steps on revision %d\n", len(steps), base)
	for _, st := range steps {
		s.printf("  %s %s\n", st.Sign, st.Text)
	}
}
