// Package retrier limits retries: a budget in proportion to first attempts for
// each caller and target, and a delay with exponential backoff and full jitter.
package retrier

import (
	"math/rand"
	"time"
)

// Budget is a token bucket that fills by a fraction of a token with each first
// attempt and loses one with each retry. Ratio and Burst are set before use.
type Budget[K comparable] struct {
	Ratio float64
	Burst float64

	tokens map[K]float64
}

// Earn counts a first attempt.
func (b *Budget[K]) Earn(k K) {
	b.set(k, min(b.get(k)+b.Ratio, b.Burst))
}

// Spend takes a token for a retry and reports whether there was one.
func (b *Budget[K]) Spend(k K) bool {
	have := b.get(k)
	if have < 1 {
		return false
	}
	b.set(k, have-1)
	return true
}

func (b *Budget[K]) get(k K) float64 {
	if have, ok := b.tokens[k]; ok {
		return have
	}
	return b.Burst
}

func (b *Budget[K]) set(k K, tokens float64) {
	if b.tokens == nil {
		b.tokens = make(map[K]float64)
	}
	b.tokens[k] = tokens
}

// Backoff gives the delay before a retry.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns a time between 0 and Base doubled with each earlier failure,
// at most Max.
func (b Backoff) Delay(failures int, r *rand.Rand) time.Duration {
	top := b.Base
	for range failures {
		top *= 2
		if top >= b.Max {
			top = b.Max
			break
		}
	}
	if top <= 0 {
		return 0
	}
	return time.Duration(r.Int63n(int64(top)))
}
