package commander

import (
	"github.com/spf13/cobra"

	"masticroad/internal/settings/loader"
)

// This file holds `check`, which reports all findings about a settings file.

func newCheck(s *streams) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Report everything that is wrong with a settings file",
		Example: "  masticroad check --settings cell.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, findings := loader.Load(path)
			for _, f := range findings {
				s.printf("%s\n", f)
			}
			if findings.Err() != nil {
				return errPrinted
			}
			s.printf("%s: settings of daemon %s of cell %s can be used\n", path, settings.Name, settings.Cell)
			for _, line := range loader.Survives(settings) {
				s.printf("%s\n", line)
			}
			return nil
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}
