// Package commander is the command line: one verb a file, with its usage text
// beside its code.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// This file is read first: it holds the table of verbs and the exit codes. A
// new verb is a file with a function that returns its command, and a line in
// the table.

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

var verbs = []func(*streams) *cobra.Command{
	newServe,
	newPlatform,
	newRehearse,
	newInit,
	newCheck,
	newDemo,
	newAsk,
	newApply,
	newLoad,
	newVerify,
	newVersion,
}

// streams are the standard streams of the process.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// failure is an error of a verb that was used rightly. Text that was already
// printed is not printed again.
type failure struct {
	cause   error
	printed bool
}

// Error describes the cause.
func (f *failure) Error() string { return f.cause.Error() }

func failed(err error) error {
	if err == nil {
		return nil
	}
	return &failure{cause: err}
}

var errPrinted = &failure{cause: errors.New("refused"), printed: true}

// Main runs the command line and returns the exit code: 0 done, 1 refused or
// failed, 2 wrong use.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := &streams{in, out, errOut}
	root := &cobra.Command{
		Use:           "masticroad",
		Short:         "A cluster scheduler for unlike workloads",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	for _, verb := range verbs {
		root.AddCommand(verb(s))
	}
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	return s.exitCode(root.ExecuteContextC(ctx))
}

func (s *streams) exitCode(cmd *cobra.Command, err error) int {
	if err == nil {
		return exitDone
	}
	var f *failure
	if errors.As(err, &f) {
		if !f.printed {
			_, _ = fmt.Fprintf(s.err, "masticroad %s: %v\n", cmd.Name(), f.cause)
		}
		return exitFailed
	}
	_, _ = fmt.Fprintf(s.err, "masticroad %s: %v\nRun '%s --help' for usage.\n", cmd.Name(), err, cmd.CommandPath())
	return exitUsage
}

func (s *streams) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format, args...) // a closed standard output ends the process by SIGPIPE
}
