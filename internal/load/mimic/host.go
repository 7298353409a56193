package mimic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"masticroad/internal/control/registrar"
	"masticroad/internal/load/emulator"
	"masticroad/internal/workflow/planner"
	"masticroad/internal/workflow/tracker"
	"masticroad/platform/codec"
)

// This file holds one place at which targets live, one after the other: it
// serves their calls and announces them.

type host struct {
	fleet    *Fleet
	number   int
	address  string
	target   *emulator.Target
	sequence int64
	drainEnd time.Time
	next     string        // daemon that asked for the announcements
	kick     chan struct{} // something changed on the target
	waiting  []chan struct{}
}

func (h *host) open() error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+codec.PathStart, h.start)
	mux.HandleFunc("POST "+codec.PathStop, h.stop)
	mux.HandleFunc("POST "+codec.PathPace, h.pace)
	mux.HandleFunc("POST "+codec.PathPoll, h.hold)
	address, err := serve(h.fleet.ctx, "127.0.0.1:0", mux)
	h.address = address
	return err
}

// bear begins a life. The fleet's lock is held.
func (h *host) bear(now time.Time) {
	f := h.fleet
	rack := fmt.Sprintf("r%d", h.number/perRack)
	h.target = &emulator.Target{
		Record: tracker.Target{
			ID: f.newID(), Address: h.address, Zone: registrar.ZoneName(f.Zones[h.number%len(f.Zones)]), Pool: f.Pool, Release: "v1", Rack: rack,
			Labels: []string{"a", rack}, Slots: perRack, VM: tracker.VMID(fmt.Sprintf("m-%d", h.number)),
			Capacity: registrar.Need{CPU: registrar.MilliCPU(f.Capacity.MilliCPU), Memory: registrar.MiB(f.Capacity.MiB)},
		},
		Rate: 1 - 0.02*f.rand.Float64(), Limits: f.Limits, World: f.world,
	}
	h.target.Begin(tracker.Incarnation(now.UnixMilli()), now)
	h.sequence, h.drainEnd = 0, time.Time{}
	h.wake()
}

func (h *host) wake() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// run lets time pass on the target and wakes looks that wait for an end.
func (h *host) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.fleet.mu.Lock()
		now := time.Now()
		h.target.Advance(now)
		if h.target.HasEnds() || h.target.Down() {
			for _, w := range h.waiting {
				close(w)
			}
			h.waiting = nil
		}
		pause := time.Minute
		if at, ok := h.target.Next(now); ok {
			pause = max(at.Sub(now), time.Millisecond)
		}
		h.fleet.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-h.kick:
		case <-time.After(pause):
		}
	}
}

// announce sends announcements until ctx ends.
func (h *host) announce(ctx context.Context) {
	for ctx.Err() == nil {
		h.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(h.fleet.Interval):
		}
	}
}

// beat announces the target at the daemon that asked for it, or else at others
// until one acknowledges.
func (h *host) beat(ctx context.Context) {
	f := h.fleet
	f.mu.Lock()
	t := h.target
	if t.Down() {
		f.mu.Unlock()
		return
	}
	now := time.Now()
	h.sequence++
	a := &planner.Announcement{Target: t.Record, Clock: t.Clock(now), Sequence: h.sequence}
	if t.Record.Draining {
		a.DrainLeft = max(h.drainEnd.Sub(now), 0)
	}
	order := f.rand.Perm(len(f.Daemons))
	path := codec.PrefixInstances + string(t.Record.ID) + "/" + codec.ActionAnnounce
	f.mu.Unlock()
	addresses := make([]string, 0, len(order)+1)
	if h.next != "" {
		addresses = append(addresses, h.next)
	}
	for _, n := range order {
		addresses = append(addresses, f.Daemons[n])
	}
	for _, address := range addresses {
		var answer codec.AnnouncementReply
		if f.post(ctx, address, path, codec.NewBeat(a), &answer) == http.StatusOK {
			h.next = answer.NextAddress
			return
		}
		h.next = ""
		if ctx.Err() != nil {
			return
		}
	}
}

// leave says farewell and ends the target; another one begins a second later.
func (h *host) leave(t *emulator.Target) {
	f := h.fleet
	path := codec.PrefixInstances + string(t.Record.ID) + "/" + codec.ActionDeregister
	for _, address := range f.Daemons {
		if f.post(f.ctx, address, path, struct{}{}, nil) == http.StatusOK {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.target != t || t.Down() {
		return
	}
	t.Crash(time.Now())
	h.wake()
	time.AfterFunc(time.Second, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if h.target == t {
			h.bear(time.Now())
		}
	})
}

// post makes a call and returns its status, or 0 without an answer.
func (f *Fleet) post(ctx context.Context, address, path string, body, into any) int {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("mimic: %v", err)) // bodies are plain structs
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // what was needed has been read
	if into != nil && resp.StatusCode == http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
			return 0
		}
	}
	_, _ = io.Copy(io.Discard, resp.Body) // lets the connection be used again
	return resp.StatusCode
}

// fate tells what happens to a call.
type fate uint8

const (
	obeyed fate = iota
	unanswered
	late
	dropped
)

func (f *Fleet) fate() fate {
	x := f.rand.Float64()
	switch {
	case x < f.faults.Cut:
		return dropped
	case x < f.faults.Cut+f.faults.Late:
		return late
	case x < f.faults.Cut+f.faults.Late+f.faults.Lost:
		return unanswered
	}
	return obeyed
}

// handle carries out a call now, later or never, and answers it or not. Do runs
// with the fleet's lock held.
func (h *host) handle(w http.ResponseWriter, r *http.Request, into any, do func(to planner.Destination) (status int, body any)) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if err := json.Unmarshal(data, into); err != nil {
		write(w, http.StatusBadRequest, codec.Error{Error: err.Error()})
		return
	}
	f := h.fleet
	f.mu.Lock()
	life := h.target
	to := planner.Destination{Target: tracker.TargetID(r.Header.Get(codec.HeaderExpect)), Address: h.address}
	if life.Down() {
		f.mu.Unlock()
		hang(r)
		return
	}
	what := f.fate()
	switch what {
	case dropped:
		f.mu.Unlock()
		hang(r)
		return
	case late:
		delay := minLate + time.Duration(f.rand.Int63n(int64(maxLate-minLate)))
		time.AfterFunc(delay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if h.target == life && !life.Down() {
				do(to)
				h.wake()
			}
		})
		f.mu.Unlock()
		hang(r)
		return
	}
	status, body := do(to)
	h.wake()
	f.mu.Unlock()
	if what == unanswered {
		hang(r)
		return
	}
	write(w, status, body)
}

// hang waits until the caller gives the call up, and closes the connection.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func write(w http.ResponseWriter, status int, body any) {
	data, ok := body.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(fmt.Sprintf("mimic: %v", err)) // bodies are plain structs
		}
	}
	w.Header().Set("Content-Type", codec.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

func answerOrder(refusal planner.Refusal, clock planner.ClockMillis) (int, any) {
	status, reason := codec.EncodeRefusal(refusal)
	return status, codec.OrderAnswer{ClockMs: int64(clock), Reason: reason}
}

func (h *host) start(w http.ResponseWriter, r *http.Request) {
	var b codec.Order
	h.handle(w, r, &b, func(to planner.Destination) (int, any) {
		o, err := b.Start(to)
		if err != nil {
			return http.StatusBadRequest, codec.Error{Error: err.Error()}
		}
		return answerOrder(h.target.Start(o, time.Now()))
	})
}

func (h *host) stop(w http.ResponseWriter, r *http.Request) {
	var b codec.Order
	h.handle(w, r, &b, func(to planner.Destination) (int, any) {
		o, err := b.Stop(to)
		if err != nil {
			return http.StatusBadRequest, codec.Error{Error: err.Error()}
		}
		return answerOrder(h.target.Stop(o, time.Now()))
	})
}

func (h *host) pace(w http.ResponseWriter, r *http.Request) {
	var b codec.Order
	h.handle(w, r, &b, func(to planner.Destination) (int, any) {
		o, err := b.Pace(to)
		if err != nil {
			return http.StatusBadRequest, codec.Error{Error: err.Error()}
		}
		return answerOrder(h.target.Pace(o, time.Now()))
	})
}

// hold answers when something has ended or the wait is over.
func (h *host) hold(w http.ResponseWriter, r *http.Request) {
	var b codec.Look
	var ended chan struct{}
	var life *emulator.Target
	refused := false
	rec := &recorder{header: make(http.Header)}
	h.handle(rec, r, &b, func(to planner.Destination) (int, any) {
		now := time.Now()
		if refusal := h.target.Hold(b.Look(to), now); refusal != planner.NotRefused {
			refused = true
			return answerOrder(refusal, h.target.Clock(now))
		}
		life = h.target
		ended = make(chan struct{})
		if !life.HasEnds() {
			h.waiting = append(h.waiting, ended)
		} else {
			close(ended)
		}
		return http.StatusOK, struct{}{}
	})
	if refused || rec.status != http.StatusOK {
		write(w, rec.status, rec.body)
		return
	}
	select {
	case <-ended:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-time.After(codec.Millis(float64(b.WaitMs))):
	}
	h.list(w, r, life)
}

func (h *host) list(w http.ResponseWriter, r *http.Request, life *emulator.Target) {
	f := h.fleet
	f.mu.Lock()
	if h.target != life || life.Down() {
		f.mu.Unlock()
		hang(r)
		return
	}
	var report planner.PollReport
	life.List(&report, time.Now())
	f.mu.Unlock()
	data, err := codec.EncodeList(&report)
	if err != nil {
		panic(fmt.Sprintf("mimic: %v", err)) // rows are plain values
	}
	write(w, http.StatusOK, data)
}

// recorder keeps an answer that is not sent yet.
type recorder struct {
	header http.Header
	status int
	body   []byte
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(status int)      { r.status = status }
func (r *recorder) Write(b []byte) (int, error) { r.body = append(r.body, b...); return len(b), nil }

// hostOf returns the host part of an address.
func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}
