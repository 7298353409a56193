package commander

import "github.com/spf13/cobra"

func newLoad(s *streams) *cobra.Command {
	return &cobra.Command{Use: "load"}
}
