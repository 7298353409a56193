// Package leaser keeps the leases that a leader has granted. A holder counts
// its lease from the moment it sent the request; the leader counts it from the
// moment it answered, plus a margin for clock drift. So the leader's end is
// always the later one.
package leaser

import "time"

// Table holds the leases of holders of one kind. Duration and Drift are set
// before use.
type Table[K comparable] struct {
	Duration time.Duration
	// Drift is the fraction by which two clocks may differ in speed.
	Drift float64

	expiry map[K]time.Time
}

// Begin forgets all leases and treats each given holder as holding one that
// was granted at now, since an earlier leader may have done so.
func (t *Table[K]) Begin(holders []K, now time.Time) {
	t.expiry = make(map[K]time.Time, len(holders))
	for _, h := range holders {
		t.expiry[h] = t.expiryOf(now)
	}
}

// Grant extends the lease of a holder and returns the duration to tell it.
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

// Margin is the time that is added for clock drift.
func (t *Table[K]) Margin() time.Duration {
	return time.Duration(float64(t.Duration) * t.Drift)
}

// Held reports whether a holder may still believe in its lease.
func (t *Table[K]) Held(h K, now time.Time) bool {
	return now.Before(t.expiry[h])
}

// Until returns the time at which the lease of a holder is surely over.
func (t *Table[K]) Until(h K) time.Time { return t.expiry[h] }

// Drop forgets a holder that has confirmed that it gave its lease back.
func (t *Table[K]) Drop(h K) { delete(t.expiry, h) }

// Lapsed returns the holders whose leases are over, and forgets them.
func (t *Table[K]) Lapsed(now time.Time) []K {
	var out []K
	for h, until := range t.expiry {
		if !now.Before(until) {
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

// Extend takes a grant that answers a request sent at the given time.
func (l *Lease) Extend(sent time.Time, d time.Duration) {
	if end := sent.Add(d); end.After(l.expiry) {
		l.expiry = end
	}
}

// Valid reports whether the lease is in force.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.expiry) }

// Until returns the end of the lease.
func (l *Lease) Until() time.Time { return l.expiry }

// Revoke ends the lease at once.
func (l *Lease) Revoke() { l.expiry = time.Time{} }
