// Package retrier limits retries by a retry budget, which grows with the number
// of first attempts, and by exponential backoff with full jitter.
package retrier

import (
	"math/rand"
	"time"
)

// Budget holds a token bucket per key, such as a caller or a target. Each first
// attempt adds a fraction of a token and each retry takes one token. A bucket is
// full at first. Ratio and Burst must be set before use.
type Budget[K comparable] struct {
	Ratio float64 // tokens added per first attempt
	Burst float64 // capacity of a bucket, in tokens

	tokens map[K]float64
}

// Deposit adds the tokens for one first attempt.
func (b *Budget[K]) Deposit(k K) {
	b.set(k, min(b.get(k)+b.Ratio, b.Burst))
}

// Withdraw takes one token for a retry and reports whether the bucket held one.
func (b *Budget[K]) Withdraw(k K) bool {
	balance := b.get(k)
	if balance < 1 {
		return false
	}
	b.set(k, balance-1)
	return true
}

func (b *Budget[K]) get(k K) float64 {
	if balance, ok := b.tokens[k]; ok {
		return balance
	}
	return b.Burst
}

func (b *Budget[K]) set(k K, tokens float64) {
	if b.tokens == nil {
		b.tokens = make(map[K]float64)
	}
	b.tokens[k] = tokens
}

// Backoff computes the delay before a retry.
type Backoff struct {
	Base time.Duration // upper bound of the delay after 0 failures; doubled by each failure
	Max  time.Duration // upper bound of all delays
}

// Delay returns a random delay in [0, min(Base*2^failures, Max)).
func (b Backoff) Delay(failures int, r *rand.Rand) time.Duration {
	ceiling := b.Base
	for range failures {
		ceiling *= 2
		if ceiling >= b.Max {
			ceiling = b.Max
			break
		}
	}
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(r.Int63n(int64(ceiling)))
}
