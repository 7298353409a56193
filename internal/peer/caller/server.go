package caller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/daemon/gateway"
	"masticroad/internal/peer/operator"
	"masticroad/internal/peer/receiver"
)

// This file implements the HTTP interface. Each answer carries the typed outcome;
// the HTTP status follows from it.

// Server serves callers. The exported fields are set before Routes.
type Server struct {
	Gateway     *gateway.Gateway
	View        func() *controller.View
	Operator    *operator.Service // for look-ups at the leader
	Now         func() time.Time
	MaxBody     int
	MaxInFlight int
	Receiver    *receiver.Receiver

	slots          chan struct{}
	nonUrgentSlots chan struct{} // for requests that are not urgent
}

// Answer is the JSON form of a request's outcome.
type Answer struct {
	Outcome    registrar.Outcome `json:",omitempty"`
	Key        registrar.Key     `json:",omitempty"`
	Task       registrar.TaskID  `json:",omitempty"`
	Attempt    registrar.Attempt `json:",omitempty"`
	Pending    bool              `json:",omitempty"`
	Reason     string            `json:",omitempty"`
	RetryAfter string            `json:",omitempty"`
	Status     int               `json:",omitempty"` // of the target's answer
	Body       json.RawMessage   `json:",omitempty"`
	BodyBase64 string            `json:",omitempty"`
	Findings   []Finding         `json:",omitempty"`
}

// JobAnswer is the JSON form of a job's state.
type JobAnswer struct {
	Name     registrar.JobName
	Kind     string `json:",omitempty"`
	Count    int    `json:",omitempty"`
	Done     int
	Failed   int
	Canceled bool      `json:",omitempty"`
	Ended    bool      `json:",omitempty"`
	Reason   string    `json:",omitempty"`
	Findings []Finding `json:",omitempty"`
}

const (
	maxWait            = 10 * time.Minute
	jobWaitTimeout     = 5 * time.Second
	jobPollInterval    = 20 * time.Millisecond
	maxOtherFieldBytes = 64 << 10 // allowance for the fields other than the body
)

// Routes adds the interface to an application.
func (s *Server) Routes(app *iris.Application) {
	s.slots = make(chan struct{}, s.MaxInFlight)
	s.nonUrgentSlots = make(chan struct{}, max(s.MaxInFlight/nonUrgentDivisor, 1))
	app.Post("/v1/requests", s.post)
	app.Get("/v1/requests/{key:string}", s.get)
	app.Delete("/v1/requests/{key:string}", s.cancel)
	app.Post("/v1/jobs", s.postJob)
	app.Get("/v1/jobs/{name:string}", s.getJob)
	app.Delete("/v1/jobs/{name:string}", s.cancelJob)
}

// authenticate returns the caller whose token the request carries, or answers
// 401 or 403.
func (s *Server) authenticate(ctx iris.Context) *registrar.Caller {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	var found *registrar.Caller
	for _, c := range s.View().Callers {
		if subtle.ConstantTimeCompare(digest, []byte(c.TokenDigest)) == 1 {
			found = c
		}
	}
	switch {
	case !ok || found == nil:
		write(ctx, http.StatusUnauthorized, Answer{Reason: "a valid token is needed: Authorization: Bearer TOKEN"})
		return nil
	case found.State != registrar.CallerActive:
		write(ctx, http.StatusForbidden, Answer{Outcome: registrar.NotRun, Reason: "the caller is retired"})
		return nil
	}
	return found
}

func (s *Server) post(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	if !tryAcquire(s.slots) {
		writeResult(ctx, "", tooManyRequests)
		return
	}
	defer func() { <-s.slots }()
	data, ok := s.readBody(ctx)
	if !ok {
		return
	}
	r, findings := ParseRequest(c, data, s.MaxBody, s.Now())
	if len(findings) > 0 {
		write(ctx, http.StatusBadRequest, Answer{Reason: "the request is not valid", Findings: findings})
		return
	}
	if r.Admit.Class != registrar.Urgent {
		if !tryAcquire(s.nonUrgentSlots) {
			writeResult(ctx, r.Admit.Key, tooManyRequests)
			return
		}
		defer func() { <-s.nonUrgentSlots }()
	}
	wait, cancel := context.WithTimeout(ctx.Request().Context(), waitTimeout(ctx))
	defer cancel()
	writeResult(ctx, r.Admit.Key, s.Gateway.Handle(wait, r))
}

// nonUrgentDivisor limits requests that are not urgent to MaxInFlight divided by
// it. The remaining slots are reserved for urgent requests.
const nonUrgentDivisor = 2

var tooManyRequests = gateway.Result{Unavailable: true, Reason: "this daemon holds too many requests", RetryAfter: time.Second}

// tryAcquire takes a slot without blocking, and reports whether one was free.
func tryAcquire(places chan struct{}) bool {
	select {
	case places <- struct{}{}:
		return true
	default:
		return false
	}
}

// readBody reads the body, and takes room for its decoded form until the request is
// answered.
func (s *Server) readBody(ctx iris.Context) ([]byte, bool) {
	limit := int64(s.MaxBody)*base64SizePercent/100 + maxOtherFieldBytes
	w := ctx.ResponseWriter().Naive()
	data, err := s.Receiver.Read(w, ctx.Request(), limit)
	if err == nil {
		_, err = receiver.Charge(ctx.Request(), int64(len(data))*decodedSize)
	}
	switch {
	case err == nil:
		return data, true
	case errors.Is(err, receiver.ErrLate) || errors.Is(err, receiver.ErrBroken):
		write(ctx, http.StatusRequestTimeout, Answer{Reason: "the body did not arrive whole in time"})
		return nil, false
	}
	a := Answer{Reason: err.Error(), RetryAfter: receiver.RetryAfter.String()}
	status := receiver.Status(w, err)
	if status == http.StatusRequestEntityTooLarge {
		a = Answer{Reason: fmt.Sprintf("the body is larger than %d bytes", s.MaxBody)}
	}
	write(ctx, status, a)
	return nil, false
}

// decodedSize is the size of a decoded body in times of its text: its fields, and the
// body for the target.
const decodedSize = 2

// base64SizePercent is the size of base64 in percent of the bytes it holds.
const base64SizePercent = 137

// ParseRequest reads the body of a request of a caller, and returns all
// findings about it.
func ParseRequest(c *registrar.Caller, data []byte, maxBody int, now time.Time) (*gateway.Request, []Finding) {
	var b requestBody
	findings := readFields(data, requestFields, []string{"Key", "Need"}, &b)
	if len(b.body) > maxBody {
		findings = append(findings, Finding{"Body", fmt.Sprintf("%d bytes", len(b.body)), fmt.Sprintf("at most %d bytes", maxBody)})
	}
	if len(findings) > 0 {
		return nil, findings
	}
	b.admit.Caller = c.Name
	if !b.hasClass {
		b.admit.Class = c.Class
	}
	b.admit.Content = contentDigest(&b)
	if b.timeLeft > 0 {
		b.admit.Deadline = registrar.MillisOf(now.Add(b.timeLeft))
	}
	return &gateway.Request{Admit: b.admit, Body: b.body, Type: b.contentType}, nil
}

// contentDigest returns the digest of a request's content. It excludes the deadline,
// since a resend comes later and computes another one.
func contentDigest(b *requestBody) registrar.Digest {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%v|%d|%t|%s|%s|", b.admit.Need, b.admit.Class, b.admit.Once, b.admit.Region, b.contentType) // a hash never fails
	_, _ = h.Write(b.body)
	return registrar.Digest(h.Sum64())
}

// waitTimeout returns how long to wait for the outcome, at most maxWait.
func waitTimeout(ctx iris.Context) time.Duration {
	if d, err := time.ParseDuration(ctx.URLParam("wait")); err == nil && d >= 0 {
		return min(d, maxWait)
	}
	return maxWait
}

// get returns the outcome of a request by its key, from any daemon.
func (s *Server) get(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	key := registrar.RequestKey{Caller: c.Name, Key: registrar.Key(ctx.Params().Get("key"))}
	if r := s.Gateway.LookupResult(key); r != nil && !r.Pending {
		writeResult(ctx, key.Key, *r)
		return
	}
	reply, err := s.Operator.Do(ctx.Request().Context(), "Lookup", &operator.LookupCall{Caller: key.Caller, Key: key.Key})
	switch {
	case err != nil:
		write(ctx, http.StatusServiceUnavailable, Answer{Key: key.Key, Reason: "the state can't be read now: " + err.Error()})
	case !reply.Lookup.Found:
		write(ctx, http.StatusNotFound, Answer{Key: key.Key, Reason: "no request with this key is known"})
	case reply.Lookup.Pending:
		writeResult(ctx, key.Key, gateway.Result{Pending: true, Task: reply.Lookup.Task.ID, Attempt: reply.Lookup.Task.Attempt, Reason: "the request is still in progress"})
	default:
		writeResult(ctx, key.Key, s.Gateway.EndedResult(ctx.Request().Context(), &reply.Lookup.Task))
	}
}

func (s *Server) cancel(ctx iris.Context) {
	c := s.authenticate(ctx)
	if c == nil {
		return
	}
	key := registrar.Key(ctx.Params().Get("key"))
	s.Gateway.Cancel(decider.Cancel{Caller: c.Name, Key: key})
	write(ctx, http.StatusAccepted, Answer{Key: key, Pending: true, Reason: "the cancellation is on its way; GET tells the outcome"})
}

func writeResult(ctx iris.Context, key registrar.Key, r gateway.Result) {
	a := Answer{Outcome: r.Outcome, Key: key, Task: r.Task, Attempt: r.Attempt, Pending: r.Pending, Reason: r.Reason, Status: r.Status}
	if r.RetryAfter > 0 {
		a.RetryAfter = r.RetryAfter.String()
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		ctx.Header("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if r.Outcome == registrar.Done && !r.AnswerLost {
		if json.Valid(r.Body) {
			a.Body = r.Body
		} else {
			a.BodyBase64 = base64.StdEncoding.EncodeToString(r.Body)
		}
	}
	write(ctx, statusOf(r), a)
}

// statusOf returns the HTTP status that goes with a result.
func statusOf(r gateway.Result) int {
	switch {
	case r.Conflict:
		return http.StatusConflict
	case r.Retired:
		return http.StatusForbidden
	case r.Unavailable:
		return http.StatusServiceUnavailable
	case r.Pending:
		return http.StatusAccepted
	case r.AnswerLost:
		return http.StatusGone
	}
	switch r.Outcome {
	case registrar.Done:
		return http.StatusOK
	case registrar.NotRun:
		if r.RetryAfter > 0 {
			return http.StatusTooManyRequests
		}
		return http.StatusUnprocessableEntity
	case registrar.Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

func write(ctx iris.Context, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	h := ctx.ResponseWriter().Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	ctx.StatusCode(status)
	_, _ = ctx.ResponseWriter().Write(data) // the caller may have disconnected
}
