package replicator

import "time"

// This file holds what replicas tell each other about the formats that they follow. A
// leader may put a format into force once Formats shows that every replica follows it.
// From then on a replica that does not tell so is left behind: it would apply the entries
// by other rules.

// Formats is what a leader knows about the formats that the replicas follow.
type Formats struct {
	// Common is the latest format that every voter and learner follows; 0 while one of
	// them does not tell, or has not answered this leader lately and is not gone.
	Common Format
	// Answered is the latest format that those of them follow that have answered, which
	// are a majority once the leader has committed an entry of its term.
	Answered Format
	// Missing are the replicas that follow less than the leader or have not answered.
	Missing []ReplicaID
	// LeftBehind are the replicas that have answered and get no entries, as they do not
	// follow the required format.
	LeftBehind []ReplicaID
}

// Require makes f the least format that a replica has to follow to get entries, votes or
// the leadership from this one. A lower format than the present one is ignored.
func (c *Core) Require(f Format) { c.required = max(c.required, f) }

// recordFormat records what the sender of a message follows. A forwarded message may be
// older than the sender's program.
func (c *Core) recordFormat(m Message) {
	if m.From == "" || m.Type == MsgJoin && m.To != "" {
		return
	}
	if _, known := c.formats[m.From]; known || m.Format > 0 {
		c.formats[m.From] = m.Format
	}
}

// follows reports whether a replica told last that it follows the required format.
func (c *Core) follows(id ReplicaID) bool { return c.formats[id] >= c.required }

// goneAfter is the silence after which a voter holds no format back any more: a VM that was
// lost for good may stay a voter. If it comes back with an earlier version it is left behind.
const goneAfter = 10 * time.Minute

// compareFormats returns what the voters and learners follow.
func (c *Core) compareFormats(now time.Time) Formats {
	f := Formats{Common: c.Format, Answered: c.Format}
	for _, id := range c.followers() {
		p := c.progress[id]
		if now.Sub(p.lastContact) >= goneAfter {
			continue
		}
		known := Format(0)
		if p.seq > 0 && now.Sub(p.lastContact) < c.leaderLossTimeout() {
			known = c.formats[id]
			f.Answered = min(f.Answered, known)
			if !c.follows(id) {
				f.LeftBehind = append(f.LeftBehind, id)
			}
		}
		f.Common = min(f.Common, known)
		if known < c.Format {
			f.Missing = append(f.Missing, id)
		}
	}
	return f
}
