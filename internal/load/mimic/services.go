package mimic

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"masticroad/internal/workflow/tracker"
	"masticroad/platform/codec"
)

// This file holds the licensing service and the service that keeps VMs.

// Licences is the licensing service. The exported fields are set before Start.
type Licences struct {
	Base, Each time.Duration // time of a call, and of each target named
	// Admits reports whether a step may run on a target; nil admits all.
	Admits func(step string, target tracker.TargetID) bool

	mu     sync.Mutex
	queues map[string]*sync.Mutex // by calling VM
	Calls  int
}

// Start serves the service and returns its address.
func (l *Licences) Start(ctx context.Context) (string, error) {
	l.queues = make(map[string]*sync.Mutex)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+codec.PathTickets, l.advise)
	return serve(ctx, "127.0.0.1:0", mux)
}

func (l *Licences) advise(w http.ResponseWriter, r *http.Request) {
	var b codec.Question
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		write(w, http.StatusBadRequest, codec.Error{Error: err.Error()})
		return
	}
	l.mu.Lock()
	l.Calls++
	vm := hostOf(r.RemoteAddr)
	queue := l.queues[vm]
	if queue == nil {
		queue = &sync.Mutex{}
		l.queues[vm] = queue
	}
	l.mu.Unlock()
	queue.Lock()
	time.Sleep(l.Base + time.Duration(len(b.Workers))*l.Each)
	queue.Unlock()
	var admitted [][]string
	for _, id := range b.Workers {
		if l.Admits == nil || l.Admits(b.Step, id) {
			admitted = append(admitted, []string{string(id), "ticket-" + string(id)})
		}
	}
	write(w, http.StatusOK, codec.Licences{Admitted: rows(admitted)})
}

// Keeper is the service that keeps the VMs of a fleet. The exported fields are
// set before Start.
type Keeper struct {
	Fleet      *Fleet
	UpkeepTime time.Duration

	mu    sync.Mutex
	waves map[int64]map[string]bool // VMs that have had their upkeep
	down  map[string]bool
	most  int // VMs that were down at once
}

// Start serves the service and returns its address.
func (k *Keeper) Start(ctx context.Context) (string, error) {
	k.waves = make(map[int64]map[string]bool)
	k.down = make(map[string]bool)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+codec.PathUpkeep, k.upkeep)
	mux.HandleFunc("GET "+codec.PathVMs, k.list)
	return serve(ctx, "127.0.0.1:0", mux)
}

// Most returns how many VMs were down at once.
func (k *Keeper) Most() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.most
}

// Serviced returns how many VMs of a wave have had their upkeep.
func (k *Keeper) Serviced(wave int64) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waves[wave])
}

func (k *Keeper) upkeep(w http.ResponseWriter, r *http.Request) {
	var b codec.MachineOrder
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || r.Header.Get(codec.HeaderHolder) == "" || r.Header.Get(codec.HeaderToken) == "" {
		write(w, http.StatusBadRequest, codec.Error{Error: "the order can't be read"})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waves[b.Wave] == nil {
		k.waves[b.Wave] = make(map[string]bool)
	}
	h := k.Fleet.hostOfVM(b.VM)
	switch {
	case h == nil:
		write(w, http.StatusBadRequest, codec.Error{Error: "no such machine"})
		return
	case k.waves[b.Wave][b.VM]:
		write(w, http.StatusOK, struct{}{})
		return
	case k.down[b.VM]:
		write(w, http.StatusConflict, codec.MachineAnswer{Reason: "busy"})
		return
	}
	k.waves[b.Wave][b.VM], k.down[b.VM] = true, true
	k.most = max(k.most, len(k.down))
	k.Fleet.Crash(h.number, k.UpkeepTime, false)
	time.AfterFunc(k.UpkeepTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.down, b.VM)
	})
	write(w, http.StatusOK, struct{}{})
}

func (f *Fleet) hostOfVM(vm string) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if string(h.target.Record.VM) == vm {
			return h
		}
	}
	return nil
}

func (k *Keeper) list(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	down := make(map[string]bool, len(k.down))
	for vm := range k.down {
		down[vm] = true
	}
	k.mu.Unlock()
	f := k.Fleet
	f.mu.Lock()
	var machines []codec.Machine
	for _, h := range f.hosts {
		rec := &h.target.Record
		m := codec.Machine{Machine: string(rec.VM), Pool: string(rec.Pool), State: "up", Zone: string(rec.Zone), Labels: rec.Labels,
			Capacity: codec.NewCapacity(rec.Capacity), ID: string(rec.ID)}
		if down[m.Machine] {
			m.State, m.ID = "upkeep", ""
		}
		machines = append(machines, m)
	}
	f.mu.Unlock()
	write(w, http.StatusOK, codec.Machines{Machines: rows(machines)})
}

func rows[T any](items []T) []json.RawMessage {
	out, err := codec.Rows(items)
	if err != nil {
		panic(fmt.Sprintf("mimic: %v", err)) // rows are plain values
	}
	return out
}
