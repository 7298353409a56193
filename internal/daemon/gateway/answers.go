package gateway

import (
	"time"

	"masticroad/internal/control/registrar"
)

// This file caches answers for callers that repeat a request. The oldest answers
// are evicted above a total size, and every answer after a retention time.

type answerCache struct {
	maxBytes  int
	retention time.Duration

	byKey map[registrar.RequestKey]*cachedAnswer
	order []registrar.RequestKey
	bytes int
}

type cachedAnswer struct {
	content  registrar.Digest
	result   Result
	storedAt time.Time
}

// answerOverhead is the assumed size of a cached answer without its body, in
// bytes.
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
		if a != nil && now.Sub(a.storedAt) < c.retention {
			return
		}
		c.evict()
	}
}
