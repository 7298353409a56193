package relayer

import (
	"time"

	"masticroad/internal/peer/leader"
)

// This file judges by the messages of a stream whether the leader still answers.

const (
	silenceCheckInterval = 100 * time.Millisecond
	// probeDelay is the time from a call without any message since to the ping that tells
	// whether the leader answers: a commit takes a fifth of it.
	probeDelay = 100 * time.Millisecond
	// pingTimeout is the time from a ping without any message since until the leader counts
	// as silent: ten round trips between regions. The leader answers pings at once.
	pingTimeout = 250 * time.Millisecond
)

// hearing is what was heard and written on a link. Each message of the leader resets it.
type hearing struct {
	heardAt  time.Time
	calledAt time.Time // of the first call since then; zero: none
	pingedAt time.Time // of the first ping since then; zero: none
}

// wrote records a message to the leader.
func (h *hearing) wrote(m *leader.Up, now time.Time) {
	if m.Ping && h.pingedAt.IsZero() {
		h.pingedAt = now
	}
	if len(m.Calls) > 0 && h.calledAt.IsZero() {
		h.calledAt = now
	}
}

// pingDue reports whether the leader should be pinged.
func (h *hearing) pingDue(now time.Time) bool {
	if !h.pingedAt.IsZero() {
		return false
	}
	return now.Sub(h.heardAt) >= pingInterval || !h.calledAt.IsZero() && now.Sub(h.calledAt) >= probeDelay
}

// silent reports whether the leader has left a ping unanswered.
func (h *hearing) silent(now time.Time) bool {
	return !h.pingedAt.IsZero() && now.Sub(h.pingedAt) >= pingTimeout
}

// noteHeard records when a message from the leader came.
func (r *Relayer) noteHeard(l *link, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.heardAt = now
}
