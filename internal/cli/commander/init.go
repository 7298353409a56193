package commander

import (
	"slices"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/daemon/runner"
)

// This file holds `init`, which prepares the data folder of a voter of a new
// cell. A folder that was not prepared joins a running cell as a learner.

func newInit(s *streams) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "init --settings FILE",
		Short: "Prepare the data folder of a voter of a new cell",
		Long: "Prepares the data folder of a first voter. Use it once on each VM of Cell.Voters when a cell is made, and never to\n" +
			"replace a VM: a VM whose folder was lost starts with an empty one and joins by itself.",
		Example: "  masticroad init --settings /etc/masticroad/cell.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := s.settings(path)
			if err != nil {
				return err
			}
			if !slices.Contains(settings.Voters, string(settings.Name)) {
				return failed(errors.Errorf("%s is not one of Cell.Voters", settings.Name))
			}
			if err := runner.Prepare(settings); err != nil {
				return failed(err)
			}
			s.printf("prepared %s for cell %s\n", settings.DataFolder, settings.Cell)
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}
