package replicator

import (
	"context"
	"sync"
	"time"

	"masticroad/internal/control/registrar"
)

// This file holds proposals that build on each other. Each is appended to the log only
// after all before it, and their proposer can find out which ones never will be.

// Sequence is a sequence of proposals of one term. The zero value is empty.
type Sequence struct {
	mu       sync.Mutex
	appended int
	ended    bool
}

// End keeps further proposals of the sequence out of the log and returns how many of
// them were appended. These may become committed or not.
func (s *Sequence) End() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.appended
}

// add calls appendEntry unless the sequence has ended. An error ends the sequence.
func (s *Sequence) add(appendEntry func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil
	}
	if err := appendEntry(); err != nil {
		s.ended = true
		return err
	}
	s.appended++
	return nil
}

// ProposeNext is Propose for the next entry of a sequence.
func (n *Node) ProposeNext(ctx context.Context, s *Sequence, term registrar.Term, data []byte) {
	n.enqueue(ctx, func(now time.Time) {
		if n.Core.term != term {
			s.End()
			return
		}
		err := s.add(func() error {
			_, err := n.Core.Propose(data, now)
			return err
		})
		if err != nil {
			n.pushUpdate(Update{ProposalDropped: true})
		}
	})
}
