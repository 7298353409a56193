package commander

import (
	"crypto/rand"
	"net/http"

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
			reply, err := c.do(cmd.Context(), http.MethodGet, "/v1/configuration", nil)
			if err != nil {
				return failed(err)
			}
			if reply.Config == nil {
				return failed(errors.Errorf("the configuration can't be read: %v", reply.Findings))
			}
			steps := declarer.Plan(declared, reply.Config)
			s.printPlan(steps, reply.Config.Revision)
			if dryRun || len(steps) == 0 {
				return nil
			}
			call := &operator.ChangeCall{ChangeID: registrar.ChangeID(id), Base: &reply.Config.Revision, Text: "apply"}
			for _, st := range steps {
				call.Ops = append(call.Ops, st.Op)
			}
			reply, err = c.do(cmd.Context(), http.MethodPost, "/v1/changes", call)
			if err != nil {
				return failed(err)
			}
			return s.printReply("", reply)
		},
	}
	daemonFlags(cmd, c)
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "show the plan only")
	cmd.Flags().StringVar(&id, "id", rand.Text(), "change id; the same id is never applied twice")
	cmd.Flag("id").DefValue = "random"
	return cmd
}

func (s *streams) printPlan(steps []declarer.Step, base registrar.Revision) {
	s.printf("plan of %d steps on revision %d\n", len(steps), base)
	for _, st := range steps {
		s.printf("  %s %s\n", st.Sign, st.Text)
	}
}
