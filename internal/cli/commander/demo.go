package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"masticroad/examples"
	"masticroad/internal/control/registrar"
	"masticroad/internal/load/launcher"
	"masticroad/internal/peer/caller"
	"masticroad/internal/peer/operator"
	"masticroad/internal/settings/declarer"
)

// This file holds `demo`, which runs the shops' example in one process: three
// daemons, eight stand-in targets, a till's quotes, an overnight batch, a
// collection valuation and a renewal charge.

const (
	demoLimit  = 18 * time.Second
	demoQuotes = 60
)

func newDemo(s *streams) *cobra.Command {
	var keep bool
	cmd := &cobra.Command{
		Use:     "demo [--keep]",
		Short:   "Run a small cell with the shops' example in this process",
		Example: "  masticroad demo\n  masticroad demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := &demo{streams: s}
			return failed(d.run(cmd.Context(), keep))
		},
	}
	cmd.Flags().BoolVar(&keep, "keep", false, "leave the cell running until interrupted, and print its addresses")
	return cmd
}

type demo struct {
	*streams
	cell  *launcher.Cell
	waits map[registrar.Class][]time.Duration
	mu    sync.Mutex

	submitted time.Time // of the jobs
}

func (d *demo) run(ctx context.Context, keep bool) error {
	folder, err := os.MkdirTemp("", "masticroad-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	d.waits = make(map[registrar.Class][]time.Duration)
	limited, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if err := d.start(ctx, limited, folder); err != nil {
		return err
	}
	defer func() { _ = d.cell.Stop() }()
	if err := d.play(limited); err != nil {
		return err
	}
	if keep {
		d.printf("running until interrupted; daemons at %v\n", d.cell.HTTP())
		<-ctx.Done()
	}
	return nil
}

func (d *demo) start(ctx, limited context.Context, folder string) error {
	d.cell = &launcher.Cell{
		Name: "demo", Folder: folder, Daemons: 3, Voters: 3,
		Places: []launcher.Place{
			{Region: "kozep-magyar", Zone: "budapest-raktar"}, {Region: "kozep-magyar", Zone: "kecskemet-bolt"},
			{Region: "kelet-alfold", Zone: "debrecen-raktar"},
		},
		Targets: launcher.Shape{
			Count: 8, Capacity: registrar.Need{CPU: 16000, Memory: 32768}, Slots: 8, Connections: 64, PerRack: 8, Interval: time.Second,
		},
		Log: hclog.NewNullLogger(), Now: time.Now,
	}
	began := time.Now()
	started := make(chan error, 1)
	go func() { started <- d.cell.Start(ctx) }()
	select {
	case err := <-started:
		if err != nil {
			return err
		}
	case <-limited.Done():
		return errors.New("the cell did not start in time")
	}
	d.printf("three daemons and eight targets are up after %s\n", time.Since(began).Round(time.Millisecond))
	return nil
}

func (d *demo) play(ctx context.Context) error {
	if err := d.declare(ctx); err != nil {
		return err
	}
	if err := d.awaitTargets(ctx); err != nil {
		return err
	}
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	if err := d.quotes(ctx); err != nil {
		return err
	}
	if err := d.charge(ctx); err != nil {
		return err
	}
	if err := d.awaitJobs(ctx); err != nil {
		return err
	}
	d.printWaits()
	return d.show(ctx)
}

func (d *demo) operator() *daemonClient { return &daemonClient{address: d.cell.HTTP()[0]} }

// declare applies the example declarations.
func (d *demo) declare(ctx context.Context) error {
	text, err := examples.Files.ReadFile("shops/declarations.ini")
	if err != nil {
		return errors.Trace(err)
	}
	declared := &declarer.Declared{}
	if err := declared.Parse("shops/declarations.ini", string(text)).Err(); err != nil {
		return err
	}
	call := &operator.ChangeCall{ChangeID: "demo", Text: "example declarations of the shops"}
	for _, st := range declarer.Plan(declared, &declarer.Configuration{}) {
		call.Ops = append(call.Ops, st.Op)
	}
	reply, err := d.operator().do(ctx, http.MethodPost, "/v1/changes", call)
	if err != nil {
		return err
	}
	if len(reply.Findings) > 0 || reply.Change == nil {
		return errors.Errorf("the declarations were refused: %v", reply.Findings)
	}
	d.printf("declarations are in force as revision %d, confirmed by %d VMs\n", reply.Change.Revision, len(reply.Change.InForce))
	return nil
}

func (d *demo) awaitTargets(ctx context.Context) error {
	return d.await(ctx, "SHOW Targets WHERE State = Alive", 8)
}

// await polls a query until it gives n rows.
func (d *demo) await(ctx context.Context, statement string, n int) error {
	for {
		reply, err := d.operator().do(ctx, http.MethodPost, "/v1/statements", &operator.StatementCall{Statement: statement})
		if err == nil && reply.Table != nil && len(reply.Table.Rows) >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%q did not give %d rows in time", statement, n)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// call makes a caller's request and decodes the answer.
func (d *demo) call(ctx context.Context, token, method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, errors.Trace(err)
	}
	address := d.cell.HTTP()[len(path)%len(d.cell.Nodes)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, errors.Trace(json.NewDecoder(resp.Body).Decode(out))
}

type needBody struct {
	MilliCPU  int
	MemoryMiB int
}

type jobBody struct {
	Name    string
	Kind    string
	Class   string
	Count   int
	Need    needBody
	Payload string
}

type requestBody struct {
	Key        string
	Need       needBody
	Class      string `json:",omitempty"`
	Deadline   string `json:",omitempty"`
	Repeatable bool
	Body       any
}

type workBody struct {
	RunMillis int
	Item      string
	Answer    string
}

func (d *demo) submitJobs(ctx context.Context) error {
	d.submitted = time.Now()
	jobs := []struct {
		token string
		job   jobBody
	}{
		{"sorting-token", jobBody{"overnight", "Batch", "Batch", 40, needBody{2000, 2048}, `{"RunMillis": 200}`}},
		{"valuation-token", jobBody{"porcelain", "AllAtOnce", "Standard", 6, needBody{4000, 8192}, `{"RunMillis": 1500}`}},
	}
	for _, j := range jobs {
		var a caller.JobAnswer
		status, err := d.call(ctx, j.token, http.MethodPost, "/v1/jobs", j.job, &a)
		if err != nil {
			return err
		}
		if status != http.StatusCreated {
			return errors.Errorf("job %s: status %d: %s %v", j.job.Name, status, a.Reason, a.Findings)
		}
		d.printf("job %s accepted: %s of %d tasks\n", a.Name, a.Kind, a.Count)
	}
	return nil
}

// quotes asks for prices one after another, as a till does.
func (d *demo) quotes(ctx context.Context) error {
	var last caller.Answer
	for i := range demoQuotes {
		body := requestBody{
			Key: fmt.Sprintf("quote-%d", i), Need: needBody{500, 256}, Deadline: "2s", Repeatable: true,
			Body: workBody{RunMillis: 5, Item: "winter coat", Answer: `{"Forint": 4900}`},
		}
		began := time.Now()
		status, err := d.call(ctx, "till-token", http.MethodPost, "/v1/requests", body, &last)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.Errorf("quote %d: status %d: %s %v", i, status, last.Reason, last.Findings)
		}
		d.note(registrar.Urgent, time.Since(began))
	}
	d.printf("the till's last quote: task %d, attempt %d: %s\n", last.Task, last.Attempt, last.Body)
	return nil
}

func (d *demo) note(c registrar.Class, t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[c] = append(d.waits[c], t)
}

// charge sends one renewal charge twice; it runs once.
func (d *demo) charge(ctx context.Context) error {
	body := requestBody{
		Key: "charge-4711", Need: needBody{500, 256}, Repeatable: false,
		Body: workBody{RunMillis: 20, Item: "renewal", Answer: `{"Charged": true}`},
	}
	var tasks []registrar.TaskID
	for range 2 {
		var a caller.Answer
		status, err := d.call(ctx, "renewal-token", http.MethodPost, "/v1/requests", body, &a)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return errors.Errorf("charge: status %d: %s", status, a.Reason)
		}
		tasks = append(tasks, a.Task)
	}
	d.printf("the renewal charge was sent twice and ran once: task %d, starts on targets: %d\n", tasks[0], len(d.cell.History.Starts(tasks[0])))
	return nil
}

func (d *demo) awaitJobs(ctx context.Context) error {
	return d.await(ctx, "SHOW Jobs WHERE State = Ended", 2)
}

func (d *demo) printWaits() {
	for caller, class := range map[registrar.CallerName]registrar.Class{"sorting": registrar.Batch, "valuations": registrar.Standard} {
		for _, began := range d.cell.History.Begins(caller) {
			d.note(class, began.Sub(d.submitted))
		}
	}
	d.printf("waiting times by class; for urgent work until the answer, for jobs until the start:\n")
	for class := range registrar.Class(registrar.ClassCount) {
		list := d.waits[class]
		if len(list) == 0 {
			continue
		}
		slices.Sort(list)
		d.printf("  %s: %d, p50 %s, p99 %s\n", class, len(list), list[len(list)/2].Round(100*time.Microsecond), list[len(list)*99/100].Round(100*time.Microsecond))
	}
}

func (d *demo) show(ctx context.Context) error {
	for _, q := range []string{
		"SHOW Tasks COLUMNS Caller, Target, Count, Class, Outcome WHERE Kind = Request GROUP BY Caller, Class, Outcome, Target",
		"SHOW Tasks COLUMNS ID, Caller, Job, Target, Attempt, Since WHERE State = Assigned",
		"SHOW Jobs COLUMNS Name, Caller, Kind, Count, Running, Done, Failed, State",
	} {
		d.printf("\n> %s\n", q)
		if err := d.ask(ctx, d.operator(), q, "table"); err != nil {
			return err
		}
	}
	if v := d.cell.History.Violations(); len(v) > 0 {
		return errors.Errorf("broken promises: %v", v)
	}
	return nil
}
