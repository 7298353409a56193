package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/receiver"
	"masticroad/internal/peer/scanner"
)

// This file implements the HTTP interface for operators.

// Server serves operators over HTTP. The exported fields are set before
// Routes.
type Server struct {
	Service *Service
	// Tokens maps the digests of operators' tokens to their names. If it is
	// empty, no authentication takes place.
	Tokens   map[string]string
	Receiver *receiver.Receiver
}

const (
	maxCallBytes = 8 << 20
	// maxCallValues bounds the decoded form: an operation of 3 bytes becomes 100.
	maxCallValues = 50_000
	callTimeout   = 12 * time.Second
)

// Routes adds the interface to an application.
func (s *Server) Routes(app *iris.Application) {
	app.Post("/v1/statements", s.statement)
	app.Post("/v1/changes", s.change)
	app.Get("/v1/configuration", s.configuration)
}

// authenticate returns the name of the authenticate, or answers 401.
func (s *Server) authenticate(ctx iris.Context) (string, bool) {
	if len(s.Tokens) == 0 {
		return "anyone", true
	}
	token, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	name, ok := "", false
	for known, who := range s.Tokens {
		if subtle.ConstantTimeCompare(digest, []byte(known)) == 1 {
			name, ok = who, true
		}
	}
	if !ok {
		write(ctx, http.StatusUnauthorized, &Reply{Findings: []string{"an operator's token is needed: Authorization: Bearer TOKEN"}})
	}
	return name, ok
}

func (s *Server) statement(ctx iris.Context) {
	var call StatementCall
	name, ok := s.authenticate(ctx)
	if !ok || !s.read(ctx, &call) {
		return
	}
	call.Operator = name
	if call.ChangeID == "" {
		call.ChangeID = registrar.ChangeID(rand.Text())
	}
	s.answer(ctx, func(c context.Context) (*Reply, error) {
		if s.Service.Router == nil {
			return s.Service.Do(c, "Statement", &call)
		}
		return s.Service.Everywhere(c, &call)
	})
}

func (s *Server) change(ctx iris.Context) {
	var call ChangeCall
	name, ok := s.authenticate(ctx)
	if !ok || !s.read(ctx, &call) {
		return
	}
	call.Operator = name
	s.answer(ctx, func(c context.Context) (*Reply, error) {
		if s.Service.Router == nil {
			return s.Service.Do(c, "Change", &call)
		}
		return s.Service.ChangeIn(c, registrar.RegionName(ctx.URLParam("region")), &call)
	})
}

func (s *Server) configuration(ctx iris.Context) {
	if _, ok := s.authenticate(ctx); !ok {
		return
	}
	s.answer(ctx, func(c context.Context) (*Reply, error) {
		if s.Service.Router == nil {
			return s.Service.Do(c, "Configuration", &struct{}{})
		}
		return s.Service.ConfigurationOf(c, registrar.RegionName(ctx.URLParam("region")))
	})
}

func (s *Server) answer(ctx iris.Context, f func(context.Context) (*Reply, error)) {
	c, cancel := context.WithTimeout(ctx.Request().Context(), callTimeout)
	defer cancel()
	reply, err := f(c)
	switch {
	case err != nil:
		write(ctx, http.StatusServiceUnavailable, &Reply{Findings: []string{err.Error()}})
	case len(reply.Findings) > 0 && reply.Column > 0:
		write(ctx, http.StatusBadRequest, reply)
	case len(reply.Findings) > 0:
		write(ctx, http.StatusConflict, reply)
	default:
		write(ctx, http.StatusOK, reply)
	}
}

func (s *Server) read(ctx iris.Context, to any) bool {
	w := ctx.ResponseWriter().Naive()
	data, err := s.Receiver.Read(w, ctx.Request(), maxCallBytes)
	if err != nil {
		write(ctx, receiver.Status(w, err), &Reply{Findings: []string{"the call can't be read: " + err.Error()}})
		return false
	}
	if n := scanner.Values(data); n > maxCallValues {
		err = fmt.Errorf("%d values, at most %d are allowed", n, maxCallValues)
	} else {
		err = json.Unmarshal(data, to)
	}
	if err != nil {
		write(ctx, http.StatusBadRequest, &Reply{Findings: []string{"the call can't be read: " + err.Error()}})
	}
	return err == nil
}

func write(ctx iris.Context, status int, r *Reply) {
	data, err := json.Marshal(r)
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	ctx.ContentType("application/json")
	ctx.StatusCode(status)
	_, _ = ctx.ResponseWriter().Write(data) // the operator may have disconnected
}
