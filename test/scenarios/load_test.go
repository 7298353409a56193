package scenarios_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/operator"
)

// This file keeps callers busy during a scenario and checks afterwards what
// must always hold. A caller resends the same key through another daemon until
// it has an outcome, as tills do.

type load struct {
	cell    *cell
	caller  string
	other   *load                      // of the other region's caller
	ready   atomic.Pointer[[]*process] // as the platform's balancer sees it; nil: all
	cancel  context.CancelFunc
	done    sync.WaitGroup
	mu      sync.Mutex
	results map[string]*request
	longest time.Duration // from the first send to the outcome
}

type request struct {
	key     string
	body    string
	once    bool
	outcome string
	answers []string // of every whole answer
	began   time.Time
	ended   time.Time
	cuts    int
	cutBy   string // the last one
}

// declare makes a caller whose token is its name, at home in the region of a
// daemon.
func declare(c *cell, p *process, name registrar.CallerName) error {
	sum := sha256.Sum256([]byte(name))
	call := &operator.ChangeCall{ChangeID: registrar.ChangeID("declare-" + name), Ops: []registrar.Op{
		{PutCaller: &registrar.Caller{Name: name, Class: registrar.Urgent, TokenDigest: hex.EncodeToString(sum[:])}},
	}}
	reply, err := c.post(p, "/v1/changes", call)
	if err != nil {
		return err
	}
	if len(reply.Findings) > 0 {
		return fmt.Errorf("declare: %v", reply.Findings)
	}
	return nil
}

// startLoad keeps workers busy; every tenth request is not repeatable.
func startLoad(c *cell, workers int, runMillis int) *load {
	return startLoadOf(c, "tills", workers, runMillis)
}

func startLoadOf(c *cell, caller string, workers int, runMillis int) *load {
	l := &load{cell: c, caller: caller, results: make(map[string]*request)}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for w := range workers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for n := 0; ctx.Err() == nil; n++ {
				r := &request{key: fmt.Sprintf("%s-%d-%d", caller, w, n), once: n%10 == 9, began: time.Now()}
				r.body = fmt.Sprintf(`{"Seq":"%s","RunMillis":%d}`, r.key, runMillis)
				l.mu.Lock()
				l.results[r.key] = r
				l.mu.Unlock()
				l.insist(r, w+n)
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	return l
}

// atHome returns the daemons that a caller's balancer sends to: those of its
// region. One daemon of the other region gets a share, as a resend there would.
func (l *load) atHome() []*process {
	if !l.cell.regional {
		return l.cell.procs
	}
	if l.caller == "tills" {
		return l.cell.procs[:4]
	}
	return l.cell.procs[2:]
}

// balance sends only to daemons that say that they are ready, as the platform's
// balancer does.
func (l *load) balance() {
	for {
		var ready []*process
		for _, p := range l.cell.procs {
			resp, err := quick.Get("http://" + p.http + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready = append(ready, p)
			}
		}
		if len(ready) > 0 { // a balancer without any has nowhere to send
			l.ready.Store(&ready)
		}
		select {
		case <-l.cell.ctx.Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// insist sends a request until it has an outcome or a minute is over.
func (l *load) insist(r *request, turn int) {
	for time.Since(r.began) < time.Minute {
		procs := l.atHome()
		if ready := l.ready.Load(); ready != nil && len(*ready) > 0 {
			procs = *ready
		}
		p := procs[turn%len(procs)]
		turn++
		outcome, body, err := l.send(p, r)
		l.mu.Lock()
		if err != nil {
			r.cuts++
			r.cutBy = time.Now().Format("15:04:05.000") + " " + err.Error()
		}
		if body != "" {
			r.answers = append(r.answers, body)
		}
		if outcome != "" {
			r.outcome = outcome
			r.ended = time.Now()
			l.longest = max(l.longest, r.ended.Sub(r.began))
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func (l *load) send(p *process, r *request) (outcome, answer string, err error) {
	form := fmt.Sprintf(`{"Key":%q,"Need":{"MilliCPU":500,"MemoryMiB":256},"Repeatable":%t,"Body":%s}`, r.key, !r.once, r.body)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.http+"/v1/requests", bytes.NewReader([]byte(form)))
	if err != nil {
		return "", "", err
	}
	req.Header.Set("Authorization", "Bearer "+l.caller)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Outcome    string
		RetryAfter string
		Body       json.RawMessage
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return "", "", err
	}
	if a.Outcome == "NotRun" && a.RetryAfter != "" {
		return "", "", nil // refused for now; nothing was logged
	}
	return a.Outcome, string(a.Body), nil
}

// stop ends the load and returns the number of requests.
func (l *load) stop() int {
	l.cancel()
	l.done.Wait()
	return len(l.results)
}

// slowest describes the request that waited longest for its outcome.
func (l *load) slowest() string {
	var worst *request
	for _, r := range l.results {
		if worst == nil || r.ended.Sub(r.began) > worst.ended.Sub(worst.began) {
			worst = r
		}
	}
	if worst == nil {
		return "none"
	}
	return fmt.Sprintf("%s from %s to %s, %d calls cut: %s", worst.key, worst.began.Format("15:04:05.000"), worst.ended.Format("15:04:05.000"), worst.cuts, l.cell.history.Trace(worst.body))
}

// check returns every broken promise.
func (l *load) check() []string {
	problems := l.cell.history.Violations()
	starts := l.cell.history.ByBody()
	counts := make(map[string]int)
	for _, r := range l.results {
		n := starts[r.body]
		counts[r.outcome]++
		switch {
		case r.outcome == "":
			problems = append(problems, fmt.Sprintf("%s has no outcome after a minute", r.key))
		case r.outcome == "NotRun" && n > 0:
			problems = append(problems, fmt.Sprintf("%s was NotRun but started: %s", r.key, l.cell.history.Trace(r.body)))
		case r.once && n > 1:
			problems = append(problems, fmt.Sprintf("%s is not repeatable but started: %s", r.key, l.cell.history.Trace(r.body)))
		case !r.once && r.outcome != "Done":
			problems = append(problems, fmt.Sprintf("%s ended as %s", r.key, r.outcome))
		case r.outcome == "Done" && n == 0:
			problems = append(problems, fmt.Sprintf("%s was done but never started", r.key))
		}
		for _, a := range r.answers {
			if a != r.body {
				problems = append(problems, fmt.Sprintf("%s got the answer %s", r.key, a))
			}
		}
	}
	if len(l.results) > 0 && counts["Done"] == 0 {
		problems = append(problems, "no request was done")
	}
	return problems
}

// agree waits until every running daemon shows the same tables.
func (c *cell) agree() error {
	queries := []string{
		"SHOW Callers COLUMNS Name, State, QuotaCPU STALE",
		"SHOW Changes COLUMNS Revision, ID, Index STALE",
		"SHOW Tasks COLUMNS ID, Key, State, Outcome, Attempt, Target STALE",
		"SHOW Targets COLUMNS Name, State, Draining STALE",
	}
	return poll(30*time.Second, func() error {
		for _, q := range queries {
			first := ""
			for _, p := range c.running() {
				reply, err := c.ask(p, q)
				if err != nil {
					return fmt.Errorf("%w; log of %s: %s", err, p.name, c.lastWords(p))
				}
				if reply.Table == nil {
					return fmt.Errorf("%s: %v", q, reply.Findings)
				}
				var rows []string
				for _, r := range reply.Table.Rows {
					rows = append(rows, strings.Join(r, "|"))
				}
				text := strings.Join(rows, "\n")
				if first == "" {
					first = text
				}
				if text != first {
					return fmt.Errorf("%s differs at %s: %d bytes and %d bytes", q, p.name, len(text), len(first))
				}
			}
		}
		return nil
	})
}
