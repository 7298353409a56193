package coordinator

import (
	"time"

	"masticroad/internal/peer/leader"
	"masticroad/internal/workflow/planner"
)

// This file answers the calls that are open when leadership is lost. A call is answered
// as not taken only if nothing that it caused is in the log or will be; the daemon that
// passed it on then knows that it is safe to refuse it.

// farewellTime is how long streams stay open after leadership was lost, so that daemons
// receive the answers: ten round trips between regions.
const farewellTime = 200 * time.Millisecond

// call is a call that has not been answered.
type call struct {
	leader.Call
	reply    func(leader.Reply)
	from     *stream // nil: of this daemon
	answered bool
	// repeated is set if the job was known when the call arrived: an earlier submission of
	// it may still be accepted.
	repeated bool
	// refused is set if the call is a submission that was refused, which has no effect.
	refused  bool
	withheld bool // the daemon that passed it on does not pass keys on
}

// answer answers a call unless it has been answered.
func (req *call) answer(reply leader.Reply) {
	if req.answered {
		return
	}
	req.answered = true
	reply.ID = req.ID
	req.reply(reply)
}

// refuse answers that the call was not taken.
func (req *call) refuse(reason string) {
	req.answer(leader.Reply{Verdict: planner.Uncertain, NotTaken: true, Reason: reason})
}

// inflightRound is a round that was proposed and is not committed yet.
type inflightRound struct {
	planner.Round
	number int     // in the sequence of proposals
	calls  []*call // decided in it, or in rounds without events that followed
}

// ended counts the calls that were open when leadership was lost.
type ended struct {
	uncertain, notTaken int
}

// endCalls answers the calls that this leader has begun to serve. Rounds that never got
// into the log have no effect; of the others the next leader tells.
func (c *Coordinator) endCalls() ended {
	var n ended
	logged := c.proposals.End()
	for i := range c.inflight {
		for _, req := range c.inflight[i].calls {
			n.end(req, c.inflight[i].number <= logged)
		}
	}
	for _, req := range c.deciding {
		n.end(req, false)
	}
	for _, reads := range c.reads {
		for _, r := range reads {
			n.end(r.call, r.call.HasEffect() && !r.call.refused) // an effect is committed
		}
	}
	c.inflight, c.deciding = nil, nil
	clear(c.reads)
	return n
}

func (n *ended) end(req *call, logged bool) {
	switch {
	case req.answered:
	case logged || req.repeated:
		n.uncertain++
		req.answer(leader.Reply{Verdict: planner.Uncertain, Reason: "leadership was lost before the decision was committed"})
	default:
		n.notTaken++
		req.refuse("leadership was lost before the decision was in the log")
	}
}

// endStreams tells the daemons that this replica does not lead any more. Calls that
// arrive until their streams end are answered as not taken.
func (c *Coordinator) endStreams() {
	w := c.welcome()
	for id, s := range c.streams {
		s.enqueue(&leader.Down{Welcome: &w})
		time.AfterFunc(farewellTime, s.cancel)
		delete(c.streams, id)
	}
}
