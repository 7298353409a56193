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

	until map[K]time.Time
}

// Begin forgets all leases and treats each given holder as holding one that
// was granted at now, since an earlier leader may have done so.
func (t *Table[K]) Begin(holders []K, now time.Time) {
	t.until = make(map[K]time.Time, len(holders))
	for _, h := range holders {
		t.until[h] = t.end(now)
	}
}

// Grant extends the lease of a holder and returns the duration to tell it.
func (t *Table[K]) Grant(h K, now time.Time) time.Duration {
	if t.until == nil {
		t.until = make(map[K]time.Time)
	}
	t.until[h] = t.end(now)
	return t.Duration
}

func (t *Table[K]) end(now time.Time) time.Time {
	return now.Add(t.Duration + t.Margin())
}

// Margin is the time that is added for clock drift.
func (t *Table[K]) Margin() time.Duration {
	return time.Duration(float64(t.Duration) * t.Drift)
}

// Held reports whether a holder may still believe in its lease.
func (t *Table[K]) Held(h K, now time.Time) bool {
	return now.Before(t.until[h])
}

// Until returns the time at which the lease of a holder is surely over.
func (t *Table[K]) Until(h K) time.Time { return t.until[h] }

// Drop forgets a holder that has confirmed that it gave its lease back.
func (t *Table[K]) Drop(h K) { delete(t.until, h) }

// Lapsed returns the holders whose leases are over, and forgets them.
func (t *Table[K]) Lapsed(now time.Time) []K {
	var out []K
	for h, until := range t.until {
		if !now.Before(until) {
			out = append(out, h)
			delete(t.until, h)
		}
	}
	return out
}

// Lease is the holder's side of a lease.
type Lease struct {
	until time.Time
}

// Extend takes a grant that answers a request sent at the given time.
func (l *Lease) Extend(sent time.Time, d time.Duration) {
	if end := sent.Add(d); end.After(l.until) {
		l.until = end
	}
}

// Valid reports whether the lease is in force.
func (l *Lease) Valid(now time.Time) bool { return now.Before(l.until) }

// Until returns the end of the lease.
func (l *Lease) Until() time.Time { return l.until }

// Revoke ends the lease at once.
func (l *Lease) Revoke() { l.until = time.Time{} }
