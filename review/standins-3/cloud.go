package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is the infrastructure's service for machines.
type cloud struct {
	fleet    *fleet
	maxCount map[int64]int // by wave

	mu          sync.Mutex
	fences      map[string]int64          // by machine
	done        map[int64]map[string]bool // upkeeps that are done, by wave
	unavailable bool                      // every call gets 503
	loseAnswer  bool                      // the next upkeep is carried out and not answered
	holder      string                    // of the newest call
	refused     int                       // calls that got 503
	begun       map[int64]map[string]bool // upkeeps that have begun, by wave
	known       map[int64]map[string]bool // machines of a wave
}

func newCloud(f *fleet) (*cloud, string, error) {
	c := &cloud{fleet: f, maxCount: map[int64]int{}, fences: map[string]int64{}, done: map[int64]map[string]bool{}, begun: map[int64]map[string]bool{}, known: map[int64]map[string]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	mux.HandleFunc("GET /-/machines", c.list)
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(l) }() // ends with the process
	return c, l.Addr().String(), nil
}

// expect tells what a wave holds.
func (c *cloud) expect(wave int64, machines []string, maxCount int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxCount[wave], c.known[wave] = maxCount, map[string]bool{}
	c.done[wave], c.begun[wave] = map[string]bool{}, map[string]bool{}
	for _, m := range machines {
		c.known[wave][m] = true
	}
}

func (c *cloud) setUnavailable(x bool) {
	c.mu.Lock()
	c.unavailable = x
	c.mu.Unlock()
	c.fleet.rec.note("the infrastructure's service is unavailable: %v", x)
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, tokenErr := strconv.ParseInt(r.Header.Get("X-Masticroad-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Masticroad-Lease-Holder")
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || tokenErr != nil || holder == "" {
		answer(w, http.StatusBadRequest, map[string]string{"error": "the call can't be read"})
		return
	}
	f := c.fleet
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = holder
	if c.unavailable {
		c.refused++
		f.rec.note("upkeep of %s in wave %d by %s, token %d: 503", b.Machine, b.Wave, holder, token)
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.advance(now)
	m := f.machineOf(b.Machine)
	refuse := func(status int, reason string) {
		f.rec.note("upkeep of %s in wave %d by %s, token %d: %d %s", b.Machine, b.Wave, holder, token, status, reason)
		answer(w, status, map[string]string{"reason": reason})
	}
	switch {
	case m == nil:
		refuse(http.StatusBadRequest, "")
		return
	case token < c.fences[m.name]:
		refuse(http.StatusConflict, "fence")
		return
	}
	c.fences[m.name] = token
	switch {
	case !c.known[b.Wave][m.name]:
		refuse(http.StatusConflict, "wave")
		return
	case c.done[b.Wave][m.name]:
		f.rec.note("upkeep of %s in wave %d by %s, token %d: 200, it is done already", m.name, b.Wave, holder, token)
		answer(w, http.StatusOK, struct{}{})
		return
	case m.state != "up" || m.w != nil && m.w.draining:
		refuse(http.StatusConflict, "busy")
		return
	}
	c.begin(m, b.Wave, now)
	lost := c.loseAnswer
	c.loseAnswer = false
	f.rec.note("upkeep of %s in wave %d by %s, token %d: begun, answer lost: %v", m.name, b.Wave, holder, token, lost)
	if lost {
		panic(http.ErrAbortHandler) // the connection is reset
	}
	answer(w, http.StatusOK, struct{}{})
}

// begin begins the upkeep of a machine, and checks the rules on it. Both are locked.
func (c *cloud) begin(m *machine, wave int64, now time.Time) {
	f := c.fleet
	var down []string
	for _, x := range f.machines {
		if x.state == "upkeep" && x.inWave == wave {
			down = append(down, x.name)
		}
	}
	if len(down) >= c.maxCount[wave] {
		f.rec.breaks("LIMIT", "the upkeep of %s begins while %v of its wave are down for theirs, and max-count is %d", m.name, down, c.maxCount[wave])
	}
	if m.w != nil {
		for _, r := range m.sorted() {
			m.checkAvail(r, "an upkeep", now)
			m.lose(r, now, true)
		}
	}
	m.terminate()
	m.state, m.inWave = "upkeep", wave
	c.begun[wave][m.name] = true
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		f.mu.Lock()
		defer f.mu.Unlock()
		c.done[wave][m.name] = true
		m.bear()
	})
}

func (f *fleet) machineOf(name string) *machine {
	for _, m := range f.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	unavailable := c.unavailable
	c.mu.Unlock()
	if unavailable {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "unavailable"})
		return
	}
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	var rows []map[string]any
	for _, m := range c.fleet.machines {
		row := map[string]any{
			"machine": m.name, "pool": serviceName, "state": m.state, "zone": "a", "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "id": "",
		}
		if m.w != nil {
			row["id"] = m.w.id
		}
		rows = append(rows, row)
	}
	c.fleet.rec.note("the list of machines is read")
	answer(w, http.StatusOK, map[string]any{"machines": rows})
}

// upkeeps returns how many upkeeps of a wave have begun, and the newest holder.
func (c *cloud) upkeeps(wave int64) (begun, refused int, holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.begun[wave]), c.refused, c.holder
}

// wait waits until a condition holds.
func wait(ctx context.Context, most time.Duration, cond func() bool) bool {
	end := time.Now().Add(most)
	for !cond() {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}
