package commander

import (
	"os"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"masticroad/internal/daemon/logger"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform"
)

// This file holds `platform`, which runs a daemon on a VM that the platform
// prepared, until SIGTERM.

func newPlatform(s *streams) *cobra.Command {
	path := os.Getenv(platform.SettingsVariable)
	actAs, snapshotBytes := int(tracker.CurrentFormat), 0
	cmd := &cobra.Command{
		Use:     "platform [--settings FILE]",
		Short:   "Run a daemon on a VM of the platform until SIGTERM",
		Long:    "Runs a daemon with the settings that the platform wrote. The file is named by " + platform.SettingsVariable + " unless --settings is given.",
		Example: "  " + platform.SettingsVariable + "=/etc/masticroad/node.json masticroad platform",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			debug.SetGCPercent(platformGC)
			out := logger.New(s.out)
			defer out.Close()
			log := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: out, Level: hclog.Info})
			v := platform.Variant{SnapshotBytes: snapshotBytes}
			if cmd.Flags().Changed(actAsFlag) {
				format := tracker.Format(actAs)
				v.ActAs = &format
			}
			return failed(platform.RunVariant(cmd.Context(), path, log, v))
		},
	}
	cmd.Flags().StringVar(&path, "settings", path, "settings file that the platform wrote (JSON)")
	cmd.Flags().IntVar(&actAs, actAsFlag, actAs, "act as a version whose latest format of the log is this one, for tests of upgrades")
	cmd.Flags().IntVar(&snapshotBytes, snapshotFlag, snapshotBytes, "size of the log before a snapshot is taken (bytes), for tests; 0: the usual one")
	for _, name := range []string{actAsFlag, snapshotFlag} {
		_ = cmd.Flags().MarkHidden(name) // it exists
	}
	return cmd
}

const (
	actAsFlag    = "act-as-format"
	snapshotFlag = "snapshot-bytes"
)

// platformGC is the heap growth between garbage collections, in percent. The
// heaps are a few MB, so that collections cost more than memory.
const platformGC = 200
