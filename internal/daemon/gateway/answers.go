package gateway

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds answers for callers that send a request again. The oldest
// answers are evicted beyond a number of bytes or after a time.

type answerCache struct {
	maxBytes  int
	retention time.Duration

	byKey map[registrar.RequestKey]*cachedAnswer
	order []registrar.RequestKey
	bytes int
}

type cachedAnswer struct {
	content registrar.Digest
	result  Result
	at      time.Time
}

// answerOverhead is what an answer costs beside its body.
const answerOverhead = 512

func (c *answerCache) get(key registrar.RequestKey) *cachedAnswer { return c.byKey[key] }

func (c *answerCache) put(key registrar.RequestKey, content registrar.Digest, result Result, now time.Time) {
	if c.byKey == nil {
		c.byKey = make(map[registrar.RequestKey]*cachedAnswer)
	}
	if c.byKey[key] != nil {
		return
	}
	c.byKey[key] = &cachedAnswer{content, result, now}
	c.order = append(c.order, key)
	c.bytes += len(result.Body) + answerOverhead
	for c.bytes > c.maxBytes && len(c.order) > 1 {
		c.evict()
	}
}

func (c *answerCache) evict() {
	key := c.order[0]
	c.order = c.order[1:]
	if a := c.byKey[key]; a != nil {
		c.bytes -= len(a.result.Body) + answerOverhead
		delete(c.byKey, key)
	}
}

func (c *answerCache) expire(now time.Time) {
	for len(c.order) > 0 {
		a := c.byKey[c.order[0]]
		if a != nil && now.Sub(a.at) < c.retention {
			return
		}
		c.evict()
	}
}
