package caller

import (
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
)

// This file serves jobs. A job is accepted once it is in the replicated state; a
// resend with the same name and content gets the same answer.

func (s *Server) postJob(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	data, ok := s.readBody(ctx)
	if !ok {
		return
	}
	j := registrar.Job{Caller: c.Name, Kind: registrar.KindBatch, Class: registrar.Batch, Count: 1}
	if findings := readFields(data, jobFields, []string{"Name", "Need"}, &j); len(findings) > 0 {
		writeJob(ctx, http.StatusBadRequest, JobAnswer{Reason: "the job is not valid", Findings: findings})
		return
	}
	j.Digest = decider.DigestJob(&j)
	if !s.Gateway.Leased() {
		ctx.Header("Retry-After", "1")
		writeJob(ctx, http.StatusTooManyRequests, JobAnswer{Name: j.Name, Reason: "this daemon takes no new work now"})
		return
	}
	s.submit(ctx, &j)
}

func (s *Server) submit(ctx iris.Context, j *registrar.Job) {
	end := time.Now().Add(jobWaitTimeout)
	s.Gateway.SubmitJob(*j)
	for tries := 1; time.Now().Before(end); tries++ {
		if have := s.View().Jobs[j.KeyOf()]; have != nil {
			s.answerSubmitted(ctx, j, have)
			return
		}
		if tries%pollsPerResubmit == 0 {
			s.Gateway.SubmitJob(*j)
		}
		time.Sleep(jobPollInterval)
	}
	ctx.Header("Retry-After", "1")
	writeJob(ctx, http.StatusServiceUnavailable, JobAnswer{Name: j.Name, Reason: "not confirmed in time; send the same job again"})
}

// pollsPerResubmit is the number of polls after which a job is submitted again.
const pollsPerResubmit = 50

func (s *Server) answerSubmitted(ctx iris.Context, j, have *registrar.Job) {
	if have.Digest != j.Digest || have.Count != j.Count || have.Kind != j.Kind {
		writeJob(ctx, http.StatusConflict, JobAnswer{Name: j.Name, Reason: "a job of this name exists with other content"})
		return
	}
	writeJob(ctx, http.StatusCreated, newJobAnswer(have))
}

func newJobAnswer(j *registrar.Job) JobAnswer {
	return JobAnswer{
		Name: j.Name, Kind: j.Kind.String(), Count: j.Count, Done: j.Done, Failed: j.Failed, Canceled: j.Canceled,
		Ended: j.Kind != registrar.KindService && j.Done+j.Failed >= j.Count,
	}
}

func (s *Server) getJob(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	name := registrar.JobName(ctx.Params().Get("name"))
	j := s.Gateway.LookupJob(ctx.Request().Context(), registrar.JobKey{Caller: c.Name, Name: name})
	if j == nil {
		writeJob(ctx, http.StatusNotFound, JobAnswer{Name: name, Reason: "no job of this name is known"})
		return
	}
	writeJob(ctx, http.StatusOK, newJobAnswer(j))
}

func (s *Server) cancelJob(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	name := registrar.JobName(ctx.Params().Get("name"))
	s.Gateway.Cancel(decider.Cancel{Caller: c.Name, Job: name})
	writeJob(ctx, http.StatusAccepted, JobAnswer{Name: name, Reason: "the cancellation is on its way; GET tells the state"})
}

func writeJob(ctx iris.Context, status int, a JobAnswer) { write(ctx, status, a) }
