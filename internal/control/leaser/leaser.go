// Package leaser implements both sides of a lease between a leader and its
// holders. The holder measures the duration from when it sent the request; the
// leader measures it from when it granted the lease, and adds a margin for clock
// drift. The lease therefore expires at the holder before it does at the leader.
package leaser

import "time"

// Table is the leader's side: the granted leases by holder. Duration and Drift
// must be set before use.
type Table[K comparable] struct {
	Duration time.Duration
	// Drift is the largest relative difference between the rates of two clocks.
	Drift float64

	expiry map[K]time.Time
}

// Reset replaces all leases: each given holder is assumed to have a lease granted
// at now, since an earlier leader may have granted one that is still valid.
func (t *Table[K]) Reset(holders []K, now time.Time) {
	t.expiry = make(map[K]time.Time, len(holders))
	for _, h := range holders {
		t.expiry[h] = t.expiryOf(now)
	}
}

// Grant grants or renews the lease of a holder and returns the duration to send
// to it.
func (t *Table[K]) Grant(h K, now time.Time) time.Duration {
	if t.expiry == nil {
		t.expiry = make(map[K]time.Time)
	}
	t.expiry[h] = t.expiryOf(now)
	return t.Duration
}

func (t *Table[K]) expiryOf(now time.Time) time.Time {
	return now.Add(t.Duration + t.Margin())
}

// Margin returns the time that the leader adds to Duration for clock drift.
func (t *Table[K]) Margin() time.Duration {
	return time.Duration(float64(t.Duration) * t.Drift)
}

// Held reports whether a holder may still regard its lease as valid.
func (t *Table[K]) Held(h K, now time.Time) bool {
	return now.Before(t.expiry[h])
}

// Expiry returns the time at which the lease of a holder has expired at the
// latest, or the zero time if the holder has none.
func (t *Table[K]) Expiry(h K) time.Time { return t.expiry[h] }

// Remove removes the lease of a holder that has confirmed its release.
func (t *Table[K]) Remove(h K) { delete(t.expiry, h) }

// RemoveExpired removes the expired leases and returns their holders.
func (t *Table[K]) RemoveExpired(now time.Time) []K {
	var out []K
	for h, expiry := range t.expiry {
		if !now.Before(expiry) {
			out = append(out, h)
			delete(t.expiry, h)
		}
	}
	return out
}

// Lease is the holder's side of a lease.
type Lease struct {
	expiry time.Time
}

// Extend applies a grant of duration d in response to a request sent at the given
// time. It never shortens the lease.
func (l *Lease) Extend(sent time.Time, d time.Duration) {
	if end := sent.Add(d); end.After(l.expiry) {
		l.expiry = end
	}
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.expiry) }

// Expiry returns the time at which the lease expires.
func (l *Lease) Expiry() time.Time { return l.expiry }

// Revoke makes the lease expire immediately.
func (l *Lease) Revoke() { l.expiry = time.Time{} }
