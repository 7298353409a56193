package region

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/replica"
)

// This file sends callers' calls to their home region. A daemon knows only the
// callers of its own region; a call with another token is passed on. Example:
// a till of kelet-alfold that the balancer sends to vm1 gets its answer from
// vm3 by way of vm1.

// Home passes calls of callers of other regions on. The exported fields are set
// before use.
type Home struct {
	Router *Router
	// Knows reports whether a token's digest belongs to a caller of this region.
	Knows   func(digest string) bool
	MaxBody int64
	Now     func() time.Time

	mu    sync.Mutex
	homes map[string]home // by token digest
}

type home struct {
	region registrar.RegionName // empty: known nowhere
	until  time.Time
}

const (
	knownTime   = time.Minute
	unknownTime = 2 * time.Second
	keptHomes   = 4096
)

var passedHeaders = []string{"Authorization", "Content-Type"}

// Pass is a handler that comes before those of the callers' interface.
func (h *Home) Pass(ctx iris.Context) {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if !ok || ctx.GetHeader(HeaderRelayed) != "" || h.Knows(digest) {
		ctx.Next()
		return
	}
	known, cached := h.look(digest)
	if cached && known == "" {
		ctx.Next() // answers 401
		return
	}
	call, err := h.callOf(ctx)
	if err != nil {
		ctx.StatusCode(http.StatusRequestEntityTooLarge)
		return
	}
	h.passOn(ctx, digest, known, call)
}

func (h *Home) passOn(ctx iris.Context, digest string, known registrar.RegionName, call *replica.RelayCall) {
	regions := h.Router.Regions()
	if known != "" {
		regions = []registrar.RegionName{known}
	}
	unreachable := error(nil)
	for _, name := range regions {
		reply, err := h.Router.Relay(ctx.Request().Context(), name, call)
		if err != nil {
			unreachable = err
			continue
		}
		if reply.Status == http.StatusUnauthorized {
			continue
		}
		h.note(digest, name, knownTime)
		writeReply(ctx, reply)
		return
	}
	if unreachable != nil {
		writeUnreachable(ctx)
		return
	}
	h.note(digest, "", unknownTime)
	ctx.Next() // answers 401
}

func (h *Home) callOf(ctx iris.Context) (*replica.RelayCall, error) {
	body, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, h.MaxBody))
	if err != nil {
		return nil, err
	}
	u := ctx.Request().URL
	call := &replica.RelayCall{Method: ctx.Method(), Path: u.Path, Query: u.RawQuery, Body: body, Header: make(map[string]string)}
	for _, name := range passedHeaders {
		if v := ctx.GetHeader(name); v != "" {
			call.Header[name] = v
		}
	}
	return call, nil
}

func (h *Home) look(digest string) (registrar.RegionName, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.homes[digest]
	return x.region, ok && h.Now().Before(x.until)
}

func (h *Home) note(digest string, name registrar.RegionName, keep time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.homes == nil || len(h.homes) >= keptHomes {
		h.homes = make(map[string]home)
	}
	h.homes[digest] = home{name, h.Now().Add(keep)}
}

func writeReply(ctx iris.Context, reply *replica.RelayReply) {
	for name, value := range reply.Header {
		ctx.Header(name, value)
	}
	ctx.StatusCode(reply.Status)
	_, _ = ctx.Write(reply.Body) // the caller may be gone
}

// writeUnreachable answers without an outcome: an earlier call with the same key
// may be running at home.
func writeUnreachable(ctx iris.Context) {
	ctx.Header("Retry-After", "2")
	ctx.StatusCode(http.StatusServiceUnavailable)
	ctx.ContentType("application/json")
	_, _ = ctx.WriteString(`{"Reason":"the caller's home region can't be reached now","RetryAfter":"2s"}`)
}

// Serve carries out a call that another region passed on, by this daemon's own
// handler. An empty call is answered at once.
func Serve(ctx context.Context, handler http.Handler, call *replica.RelayCall) *replica.RelayReply {
	if call.Method == "" {
		return &replica.RelayReply{Status: http.StatusNoContent}
	}
	target := call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, strings.NewReader(string(call.Body)))
	if err != nil {
		return &replica.RelayReply{Status: http.StatusBadRequest}
	}
	req.RequestURI = target
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	req.Header.Set(HeaderRelayed, "true")
	w := &buffer{header: make(http.Header), status: http.StatusOK}
	handler.ServeHTTP(w, req)
	reply := &replica.RelayReply{Status: w.status, Header: make(map[string]string), Body: w.body}
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if v := w.header.Get(name); v != "" {
			reply.Header[name] = v
		}
	}
	return reply
}

// buffer takes in a whole answer.
type buffer struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the header of the answer.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader notes the status.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write adds to the body.
func (b *buffer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}
