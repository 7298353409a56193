package commander

import (
	"runtime/debug"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"masticroad/internal/daemon/runner"
	"masticroad/internal/settings/loader"
)

// This file holds `serve`, which runs a daemon in the foreground until SIGTERM.

func newServe(s *streams) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run a daemon until SIGTERM",
		Long:    "Runs a daemon. SIGTERM begins a planned stop: requests in flight finish, as long as Limits.StopGrace allows.",
		Example: "  masticroad serve --settings /etc/masticroad/cell.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := s.settings(path)
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(int64(settings.SoftMemory - settings.SoftMemory/softMargin))
			r := &runner.Runner{Settings: settings, Log: newLog(settings, s), Now: time.Now}
			return failed(r.Run(cmd.Context()))
		},
	}
	settingsFlag(cmd, &path)
	return cmd
}

// softMargin is the share of SoftMemory by which the runtime may exceed its limit for a
// moment: an eighth.
const softMargin = 8

func settingsFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "settings", "", "settings file (INI)")
	if err := cmd.MarkFlagRequired("settings"); err != nil {
		panic(err) // the flag was defined above
	}
}

// settings loads a file and prints its findings.
func (s *streams) settings(path string) (*loader.Settings, error) {
	settings, findings := loader.Load(path)
	for _, f := range findings {
		_, _ = s.err.Write([]byte(f.String() + "\n"))
	}
	if findings.Err() != nil {
		return nil, errPrinted
	}
	return settings, nil
}

func newLog(settings *loader.Settings, s *streams) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       string(settings.Name),
		Level:      hclog.LevelFromString(strings.ToUpper(settings.LogLevel)),
		JSONFormat: settings.LogFormat == "json",
		Output:     s.err,
	})
}
