package region

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/receiver"
	"masticroad/internal/peer/replica"
)

// This file relays calls of callers to their home region. A daemon holds only the
// callers of its own region; a call with another token is tried in the other
// regions, and the region that accepts the token is cached.

// Home relays the calls of callers of other regions. The exported fields are set
// before use.
type Home struct {
	Router *Router
	// OwnsToken reports whether a token's digest belongs to a caller of this region.
	OwnsToken func(digest string) bool
	MaxBody   int64
	Receiver  *receiver.Receiver
	Now       func() time.Time

	mu    sync.Mutex
	homes map[string]home // by token digest
}

type home struct {
	region  registrar.RegionName // empty: no region accepts the token
	expires time.Time
}

const (
	homeCacheTTL    = time.Minute
	unknownTokenTTL = 2 * time.Second
	maxCachedHomes  = 4096
)

var relayedHeaders = []string{"Authorization", "Content-Type"}

// Handle is a handler that runs before those of the callers' interface.
func (h *Home) Handle(ctx iris.Context) {
	token, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if !ok || ctx.GetHeader(HeaderRelayed) != "" || h.OwnsToken(digest) {
		ctx.Next()
		return
	}
	known, cached := h.cachedHome(digest)
	if cached && known == "" {
		ctx.Next() // answers 401
		return
	}
	call, err := h.relayCallOf(ctx)
	if err != nil {
		ctx.StatusCode(receiver.Status(ctx.ResponseWriter().Naive(), err))
		return
	}
	h.relay(ctx, digest, known, call)
}

func (h *Home) relay(ctx iris.Context, digest string, known registrar.RegionName, call *replica.RelayCall) {
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
		h.cacheHome(digest, name, homeCacheTTL)
		writeReply(ctx, reply)
		return
	}
	if unreachable != nil {
		writeUnreachable(ctx)
		return
	}
	h.cacheHome(digest, "", unknownTokenTTL)
	ctx.Next() // answers 401
}

func (h *Home) relayCallOf(ctx iris.Context) (*replica.RelayCall, error) {
	body, err := h.Receiver.Read(ctx.ResponseWriter().Naive(), ctx.Request(), h.MaxBody)
	if err != nil {
		return nil, err
	}
	if _, err := receiver.Charge(ctx.Request(), int64(len(body))); err != nil { // the message to the other region
		return nil, err
	}
	u := ctx.Request().URL
	call := &replica.RelayCall{Method: ctx.Method(), Path: u.Path, Query: u.RawQuery, Body: body, Header: make(map[string]string)}
	for _, name := range relayedHeaders {
		if v := ctx.GetHeader(name); v != "" {
			call.Header[name] = v
		}
	}
	return call, nil
}

func (h *Home) cachedHome(digest string) (registrar.RegionName, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.homes[digest]
	return x.region, ok && h.Now().Before(x.expires)
}

func (h *Home) cacheHome(digest string, name registrar.RegionName, keep time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.homes == nil || len(h.homes) >= maxCachedHomes {
		h.homes = make(map[string]home)
	}
	h.homes[digest] = home{name, h.Now().Add(keep)}
}

func writeReply(ctx iris.Context, reply *replica.RelayReply) {
	for name, value := range reply.Header {
		ctx.Header(name, value)
	}
	ctx.StatusCode(reply.Status)
	_, _ = ctx.Write(reply.Body) // the caller may have disconnected
}

// writeUnreachable answers without an outcome, since an earlier call with the same
// key may be running in the home region.
func writeUnreachable(ctx iris.Context) {
	ctx.Header("Retry-After", "2")
	ctx.StatusCode(http.StatusServiceUnavailable)
	ctx.ContentType("application/json")
	_, _ = ctx.WriteString(`{"Reason":"the caller's home region can't be reached now","RetryAfter":"2s"}`)
}

// Serve runs a call relayed from another region through this daemon's own handler.
// A call without a method is a ping and is answered at once.
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
	w := &responseBuffer{header: make(http.Header), status: http.StatusOK}
	handler.ServeHTTP(w, req)
	reply := &replica.RelayReply{Status: w.status, Header: make(map[string]string), Body: w.body}
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if v := w.header.Get(name); v != "" {
			reply.Header[name] = v
		}
	}
	return reply
}

// responseBuffer collects a complete answer.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the header of the answer.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader records the status.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *responseBuffer) Write(p []byte) (int, error) {
	b.body = append(b.body, p...)
	return len(p), nil
}
