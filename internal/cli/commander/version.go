package commander

import (
	"runtime"

	"github.com/spf13/cobra"

	"masticroad/internal/daemon/identifier"
	"masticroad/internal/workflow/tracker"
)

// This file holds `version`, which prints what `daemon started` in a log names.

func newVersion(s *streams) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print which build of the program this is",
		Long:    "Prints the revision that the program was built from, its build id, the newest format of the log that it knows and the version of Go.",
		Example: "  masticroad version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b := identifier.Build()
			s.printf("revision %s, build %s, formats %d, %s\n", b.Revision, b.ID, tracker.CurrentFormat, runtime.Version())
			return nil
		},
	}
}
