package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callers are the operator and consumers.
type callers struct {
	ctx    context.Context
	rec    *record
	cell   *cell
	client *http.Client
}

const (
	queueHost   = "queue.example"
	queuePrefix = "/q/"
)

type step struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu,omitempty"`
	MemMB          int    `json:"mem-mb,omitempty"`
	EstimateMs     int    `json:"estimate-ms,omitempty"`
	Checkpointing  bool   `json:"checkpointing,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	MaxPerServer   int    `json:"max-per-server,omitempty"`
	LongRunning    bool   `json:"long-running,omitempty"`
	MaxUnavailable int    `json:"max-unavailable,omitempty"`
	Label          string `json:"required-label,omitempty"`
}

func (c *callers) call(method, address, host, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // plain values
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Header.Set("X-Masticroad-Deadline-Ms", "3000")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// insist repeats a call at one address after the other until it gets a clear answer.
func (c *callers) insist(method string, addresses []string, host, path string, body any, most time.Duration) (int, []byte) {
	end := time.Now().Add(most)
	for n := 0; ; n++ {
		status, data := c.call(method, addresses[n%len(addresses)], host, path, body)
		if status >= 200 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			c.rec.note("%s %s%s: %d %.200s", method, host, path, status, data)
			return status, data
		}
		if time.Now().After(end) || c.ctx.Err() != nil {
			c.rec.note("%s %s%s: no clear answer, last %d", method, host, path, status)
			return status, data
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// configure sends the first desired state.
func (c *callers) configure() bool {
	body := map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-q", "host": queueHost, "path-prefix": queuePrefix, "kind": "non_idempotent", "timeout-ms": 3000, "target-runtime-ms": 1200, "priority": 1,
			"service": serviceName, "max-attempts": 4, "slack-factor": 2.0,
		}},
		"services": []map[string]any{{"name": serviceName, "health-path": "/healthz", "max-conns": 64, "protocol": "h1", "tls": false, "enforces-capacity": false, "standby": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	status, _ := c.insist(http.MethodPost, c.cell.controls(), "", "/-/config/replace", body, 15*time.Second)
	return status == http.StatusOK
}

func (c *callers) startWave(wave int64, machines []string, seconds, maxCount int) bool {
	status, _ := c.insist(http.MethodPost, c.cell.controls(), "", "/-/wave-start", map[string]any{"wave": wave, "machines": machines, "duration-s": seconds, "max-count": maxCount}, 10*time.Second)
	return status == http.StatusOK
}

func (c *callers) waveState(wave int64) string {
	_, data := c.insist(http.MethodGet, c.cell.controls(), "", fmt.Sprintf("/-/wave-get/%d", wave), nil, 5*time.Second)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &b) // empty: unknown
	return b.State
}

// submit hands a job in.
func (c *callers) submit(id string, w work, steps ...step) bool {
	spec, _ := json.Marshal(w) // plain values
	status, _ := c.insist(http.MethodPost, c.cell.frontends(), queueHost, queuePrefix+id, map[string]any{"spec": string(spec), "phases": steps}, 10*time.Second)
	return status >= 200 && status < 300
}

func (c *callers) state(id string) string {
	_, data := c.insist(http.MethodGet, c.cell.frontends(), queueHost, queuePrefix+id, nil, 5*time.Second)
	var b struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(data, &b) // empty: unknown
	return b.State
}
