package commander

import (
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/internal/load/rehearser"
)

// This file holds `rehearse`, which runs a cell of daemons as processes of their
// own against stand-in targets, loads it with jobs and lets things go wrong.

func newRehearse(s *streams) *cobra.Command {
	r := &rehearser.Rehearsal{}
	cmd := &cobra.Command{
		Use:   "rehearse [--targets N] [--rate N] [--duration D] [--faults] [--seed N]",
		Short: "Load a cell of workflows on loopback, against stand-in targets",
		Long: "Starts replicas and gateways as processes with settings as the platform writes them, stand-in targets and the services\n" +
			"around them in this process, and submits jobs, open loop and from a seed. With --faults, daemons are killed, paused,\n" +
			"stopped and wiped, links and targets fail, and documents change all the time. Prints the times of the jobs, the\n" +
			"processor time of each daemon and what must never happen. Logs are in the folder that it names.",
		Example: "  masticroad rehearse --targets 350 --rate 45 --duration 20s\n  masticroad rehearse --faults --seed 7 --duration 15s",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return s.rehearse(cmd, r) },
	}
	f := cmd.Flags()
	f.IntVar(&r.Replicas, "replicas", 3, "daemons with a disk")
	f.IntVar(&r.Gateways, "gateways", 2, "daemons that serve callers")
	f.IntVar(&r.Targets, "targets", 12, "stand-in targets")
	f.Float64Var(&r.Rate, "rate", 12, "jobs in a second")
	f.IntVar(&r.Width, "width", 6, "mean tasks of a step")
	f.DurationVar(&r.Run, "run", 700*time.Millisecond, "mean run time of a task")
	f.DurationVar(&r.Duration, "duration", 10*time.Second, "time of sending, at most 10m")
	f.Int64Var(&r.Seed, "seed", 1, "seed of arrivals, sizes, run times and faults")
	f.IntVar(&r.Descriptors, "descriptors", 0, "limit of the descriptors of each daemon; 0: the system's")
	f.BoolVar(&r.Faults, "faults", false, "let things go wrong")
	f.DurationVar(&r.Outage, "outage", 0, "time for which all replicas are without power, 3s after the begin; callers repeat a request 4 times then")
	f.DurationVar(&r.Profile, "profile", 0, "write processor profiles of this length of the replicas")
	return cmd
}

const maxRehearsal = 10 * time.Minute

func (s *streams) rehearse(cmd *cobra.Command, r *rehearser.Rehearsal) error {
	if r.Duration <= 0 || r.Duration > maxRehearsal || r.Rate <= 0 || r.Targets < 1 || r.Replicas < 1 || r.Gateways < 1 {
		return errors.Errorf("rehearse: needs targets, replicas, gateways and a rate above 0, and a duration of at most %s", maxRehearsal)
	}
	var err error
	if r.Program, err = os.Executable(); err != nil {
		return errors.Trace(err)
	}
	if r.Folder, err = os.MkdirTemp("", "masticroad-rehearsal"); err != nil {
		return errors.Trace(err)
	}
	s.printf("logs and data: %s\n", r.Folder)
	r.Trace = func(text string) { s.printf("%s\n", text) }
	report, err := r.Play(cmd.Context())
	if err != nil {
		return err
	}
	ms := func(q float64) time.Duration { return report.At(q).Round(time.Millisecond) }
	s.printf("jobs: %d done, %d not; time beyond the declared run time: p50 %s, p90 %s, p99 %s\n", report.Done, report.Lost, ms(0.5), ms(0.9), ms(0.99))
	if r.Outage > 0 {
		s.printf("outage: %d callers gave up; answers by status %v; mean value of a job %.3f\n", report.GaveUp, report.Answers, report.Worth)
	}
	for _, d := range report.Daemons {
		s.printf("%-12s %6s of processor time, %4.1f %% of a core, %d descriptors\n", d.Name, d.Processor, 100*d.Processor.Seconds()/r.Duration.Seconds(), d.Descriptors)
	}
	for _, p := range report.Problems {
		s.printf("problem: %s\n", p)
	}
	if n := len(report.Problems); n > 0 {
		return errors.Errorf("rehearse: %d problems", n)
	}
	return nil
}
