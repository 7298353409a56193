package rehearser

import (
	"context"
	"math/rand"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/workflow/definer"
	"masticroad/platform/codec"
)

// This file plays an outage of all replicas, and callers that give up: they wait for
// Retry-After, or for a pause of their own without it, and repeat a request four times.

const (
	outageStart   = 3 * time.Second // after the begin of sending
	callerRetries = 4
	minOwnPause   = 200 * time.Millisecond // of callers, when an answer has no Retry-After
	maxOwnPause   = 600 * time.Millisecond
	// worthFactor is for how many objectives a job is worth something to its caller.
	worthFactor = 3
	lateWorth   = 0.2 // of a job that has missed its objective
)

// errGaveUp tells that a caller has used up its retries.
var errGaveUp = errors.New("the caller gave up")

// cutPower silences all replicas, as an outage of power does, and starts them again.
func (r *Rehearsal) cutPower(ctx context.Context, calm <-chan struct{}) {
	if !sleep(ctx, calm, outageStart) {
		return
	}
	replicas := r.procs[:r.Replicas]
	for _, p := range replicas {
		p.signal(syscall.SIGSTOP)
	}
	sleep(ctx, nil, r.Outage)
	for _, p := range replicas {
		p.kill(syscall.SIGKILL)
		if err := p.node.Started(); err != nil {
			r.problem("%s: %v", p.node.Name, err)
		}
		if err := p.start(); err != nil {
			r.problem("%s: %v", p.node.Name, err)
		}
	}
}

// submitPatiently hands a job in as callers do that give up. After answers that all
// were refusals the job must never run.
func (r *Rehearsal) submitPatiently(ctx context.Context, j *definer.Job) error {
	refused := true
	for n := range callerRetries + 1 {
		answer := r.callers.Try(ctx, rand.Intn(r.Gateways), http.MethodPost, prefix+j.ID.String(), codec.NewJob(j))
		r.count(answer.Status)
		if answer.Status == http.StatusOK {
			return nil
		}
		refused = refused && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests)
		if n == callerRetries {
			break
		}
		pause := answer.RetryAfter
		if pause == 0 {
			pause = minOwnPause + time.Duration(rand.Int63n(int64(maxOwnPause-minOwnPause)))
		}
		time.Sleep(pause)
	}
	if refused {
		r.fleet.Do(func() { r.fleet.Audit.Refused(j.ID, time.Now()) })
	}
	return errGaveUp
}

// count counts an answer to a submission.
func (r *Rehearsal) count(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answers == nil {
		r.answers = make(map[int]int)
	}
	r.answers[status]++
}

// value adds what a job was worth to its caller: 0 if it took ages.
func (r *Rehearsal) value(j *definer.Job, took time.Duration) {
	objective := time.Duration(document(1).Queues[0].Slack*float64(declared(j))) + document(1).Queues[0].Grace
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case took <= objective:
		r.worth++
	case took <= worthFactor*objective:
		r.worth += lateWorth
	}
}
