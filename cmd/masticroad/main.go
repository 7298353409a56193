// Command masticroad is a cluster scheduler for unlike workloads. See the
// commander package for its verbs.
package main

import (
	"os"

	"masticroad/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
