package commander

import (
	"os"

	"github.com/spf13/cobra"

	"masticroad/internal/control/retirer"
)

// This file holds `verify`, which checks an exported proof without a cell.

func newVerify(s *streams) *cobra.Command {
	return &cobra.Command{
		Use:     "verify FILE",
		Short:   "Check an exported proof of retirement offline",
		Example: "  masticroad verify proof.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return failed(err)
			}
			p, err := retirer.Decode(data)
			if err != nil {
				return failed(err)
			}
			findings := retirer.Verify(p)
			for _, f := range findings {
				s.printf("%s: %s\n", args[0], f)
			}
			if len(findings) > 0 {
				return errPrinted
			}
			s.printf("%s: holds; %s%s was retired at entry %d and the proof completed at entry %d\n", args[0], p.Caller, p.Target, p.Retiring, p.Index)
			return nil
		},
	}
}
