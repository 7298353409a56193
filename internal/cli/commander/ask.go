package commander

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/language/evaluator"
	"masticroad/internal/peer/operator"
)

// This file holds `ask`, which carries out statements of the operators'
// language. A command is sent with an id, so that it is safe to send it again.

func newAsk(s *streams) *cobra.Command {
	c := &daemonClient{}
	var format string
	cmd := &cobra.Command{
		Use:   "ask [STATEMENT] [--daemon ADDRESS] [--format table|json]",
		Short: "Ask what runs where, for whom, since when; or change it",
		Long:  "Carries out one statement, or those on standard input, one a line. The grammar is in docs/LANGUAGE.md.",
		Example: "  masticroad ask 'SHOW Tasks COLUMNS ID, Caller, Target, Since WHERE State = Assigned'\n" +
			"  masticroad ask 'RETIRE CALLER till-budapest'\n" +
			"  masticroad ask 'PROVE CALLER till-budapest RETIRED' --format json > proof.json",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if format != "table" && format != "json" {
				return errors.Errorf("format %q is not table or json", format)
			}
			if len(args) == 1 {
				return s.ask(cmd.Context(), c, args[0], format)
			}
			return s.askLines(cmd.Context(), c, format)
		},
	}
	daemonFlags(cmd, c)
	cmd.Flags().StringVar(&format, "format", "table", "table or json")
	return cmd
}

func (s *streams) askLines(ctx context.Context, c *daemonClient, format string) error {
	lines := bufio.NewScanner(s.in)
	var result error
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "--") {
			continue
		}
		if err := s.ask(ctx, c, line, format); err != nil {
			result = err
		}
	}
	if err := lines.Err(); err != nil {
		return failed(err)
	}
	return result
}

func (s *streams) ask(ctx context.Context, c *daemonClient, statement, format string) error {
	call := &operator.StatementCall{Statement: statement, ChangeID: registrar.ChangeID(rand.Text())}
	reply, err := c.do(ctx, http.MethodPost, "/v1/statements", call)
	if err != nil {
		return failed(err)
	}
	if format == "json" {
		return s.printJSON(reply)
	}
	return s.printReply(statement, reply)
}

func (s *streams) printJSON(reply *operator.Reply) error {
	var v any = reply
	if reply.Proof != nil && len(reply.Findings) == 0 {
		v = reply.Proof
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return failed(err)
	}
	s.printf("%s\n", data)
	if len(reply.Findings) > 0 {
		return errPrinted
	}
	return nil
}

func (s *streams) printReply(statement string, reply *operator.Reply) error {
	for _, f := range reply.Findings {
		if reply.Column > 0 {
			s.printf("%s\n%s^\n", statement, strings.Repeat(" ", reply.Column-1))
		}
		s.printf("refused: %s\n", f)
	}
	if len(reply.Findings) > 0 {
		return errPrinted
	}
	for _, line := range reply.Lines {
		s.printf("%s\n", line)
	}
	s.printTable(reply.Table)
	s.printChange(reply.Change)
	for _, r := range reply.Elsewhere {
		s.printf("region %s:\n", r.Region)
		_ = s.printReply(statement, r.Reply) // its findings are printed; the own region's reply stands
	}
	if p := reply.Proof; p != nil {
		s.printf("proved: retired by revision %d at entry %d; completed at entry %d in term %d\n", p.Revision, p.Retiring, p.Index, p.Term)
		for _, d := range p.Daemons {
			s.printf("  VM %s: %s at %s\n", d.Name, d.How, d.At.Time().Format(timeLayout))
		}
		for _, t := range p.Tasks {
			s.printf("  task %d attempt %d on %q ended as %s at entry %d: %s\n", t.ID, t.Attempt, t.Target, t.Outcome, t.Index, t.Reason)
		}
	}
	return nil
}

const timeLayout = "2006-01-02T15:04:05.000Z"

func (s *streams) printTable(t *evaluator.Table) {
	if t == nil {
		return
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = w.Write([]byte(strings.Join(t.Columns, "\t") + "\n"))
	for _, r := range t.Rows {
		_, _ = w.Write([]byte(strings.Join(r, "\t") + "\n"))
	}
	_ = w.Flush() // as for printf
	s.printf("%d rows at index %d of term %d\n", len(t.Rows), t.Index, t.Term)
}

func (s *streams) printChange(c *decider.ChangeResult) {
	if c == nil {
		return
	}
	again := ""
	if c.Repeated {
		again = " (this change was accepted before)"
	}
	s.printf("in force as revision %d, log index %d%s\n", c.Revision, c.Index, again)
	s.printf("confirmed by %d VMs; lease over for %d VMs\n", len(c.InForce), len(c.Lapsed))
}
