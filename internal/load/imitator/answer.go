package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"masticroad/internal/peer/target"
)

// This file answers calls, well or in the ways that the faults tell.

func (t *Target) acknowledge(w http.ResponseWriter, s *target.Start, f Faults) {
	if s.Background {
		t.label(w, target.AttemptRef{Task: s.Task, Attempt: s.Attempt}, nil)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	cut(w)
}

func (t *Target) answer(w http.ResponseWriter, ref target.AttemptRef, f Faults) {
	t.mu.Lock()
	st := t.ended[ref].status
	t.mu.Unlock()
	if f.Late > 0 {
		time.Sleep(f.Late)
	}
	if f.LoseAnswers || st.State == target.StateStopped {
		cut(w)
		return
	}
	body := st.Answer
	if st.State == target.StateFailed {
		body = []byte(st.Reason)
	}
	if f.Mislabel {
		ref.Task++
	}
	if f.Duplicate {
		t.answerTwice(w, ref, body)
		return
	}
	t.label(w, ref, body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(st.Status)
	if f.Truncate {
		_, _ = w.Write(body[:len(body)/2])
		cut(w)
		return
	}
	_, _ = w.Write(body) // the daemon asks again
}

// answerTwice sends the same answer twice on one connection, which then stays
// open.
func (t *Target) answerTwice(w http.ResponseWriter, ref target.AttemptRef, body []byte) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %d\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		target.HeaderTask, ref.Task, target.HeaderAttempt, ref.Attempt, target.HeaderDigest, target.DigestOf(body), len(body), body)
	_, _ = c.Write([]byte(text + text)) // the daemon asks again
}

func (t *Target) label(w http.ResponseWriter, ref target.AttemptRef, body []byte) {
	h := w.Header()
	h.Set(target.HeaderTask, strconv.FormatUint(uint64(ref.Task), 10))
	h.Set(target.HeaderAttempt, strconv.FormatUint(uint64(ref.Attempt), 10))
	h.Set(target.HeaderDigest, target.DigestOf(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
}

func cut(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
		}
	}
}

func (t *Target) writeStatus(w http.ResponseWriter, ref target.AttemptRef) {
	t.mu.Lock()
	var st target.TaskStatus
	if e := t.ended[ref]; e != nil {
		st = e.status
	} else {
		st = target.TaskStatus{Task: ref.Task, Attempt: ref.Attempt, State: target.StateAbsent}
		if r := t.running[ref.Task]; r != nil && r.start.Attempt == ref.Attempt {
			st.State = target.StateRunning
		}
	}
	t.mu.Unlock()
	data, err := json.Marshal(st)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // the daemon asks again
}
