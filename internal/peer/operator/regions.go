package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/language/parser"
	"masticroad/internal/peer/replica"
)

// This file serves operators in a cell of several regions. What one region owns is
// changed in that region alone, also while other regions are unreachable. A policy
// concerns every region and is changed by two-phase commit: it is prepared in each
// region, then accepted by the first region, whose log decides, then by the others.
// It is refused with the reason when a region is unreachable.

// RegionRouter relays calls to other regions.
type RegionRouter interface {
	Regions() []registrar.RegionName
	First() registrar.RegionName
	Relay(ctx context.Context, name registrar.RegionName, call *replica.RelayCall) (*replica.RelayReply, error)
}

// RegionReply is the reply of another region.
type RegionReply struct {
	Region registrar.RegionName
	Reply  *Reply
}

// MethodCall marks a relayed call of this service, which only daemons make.
const MethodCall = "CALL"

// StateCall asks whether a change was accepted or dropped.
type StateCall struct {
	ChangeID registrar.ChangeID
}

func (s *Service) prepare(ctx context.Context, call *ChangeCall) (*Reply, error) {
	return s.changeAtStage(ctx, call, decider.StagePrepare)
}

func (s *Service) drop(ctx context.Context, call *ChangeCall) (*Reply, error) {
	return s.changeAtStage(ctx, call, decider.StageDrop)
}

func (s *Service) changeAtStage(ctx context.Context, call *ChangeCall, stage decider.Stage) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := s.Controller.Change(ctx, &decider.Change{ID: call.ChangeID, Ops: call.Ops, Text: call.Text, Stage: stage})
	if err != nil {
		return nil, err
	}
	return &Reply{Change: &result, Findings: result.Refused}, nil
}

// changeState reports whether this region accepted or dropped a change.
func (s *Service) changeState(ctx context.Context, call *StateCall) (*Reply, error) {
	reply := &Reply{}
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		if rec := t.State.Changes[call.ChangeID]; rec != nil {
			reply.Record = rec
		}
	})
	return reply, err
}

// callRegion executes a call in a region.
func (s *Service) callRegion(ctx context.Context, name registrar.RegionName, method string, in any) (*Reply, error) {
	if name == s.Region {
		return s.Do(ctx, method, in)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out, err := s.Router.Relay(ctx, name, &replica.RelayCall{Method: MethodCall, Path: method, Body: body})
	if err != nil {
		return nil, err
	}
	reply := &Reply{}
	if out.Status != http.StatusOK {
		return nil, errors.Errorf("region %s: %s", name, out.Body)
	}
	return reply, errors.Trace(json.Unmarshal(out.Body, reply))
}

// ServeRelayed executes a call from a daemon in another region.
func (s *Service) ServeRelayed(ctx context.Context, call *replica.RelayCall) *replica.RelayReply {
	reply, err := s.Do(ctx, call.Path, json.RawMessage(call.Body))
	if err != nil {
		return &replica.RelayReply{Status: http.StatusServiceUnavailable, Body: []byte(err.Error())}
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return &replica.RelayReply{Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return &replica.RelayReply{Status: http.StatusOK, Body: body}
}

func (s *Service) regions() []registrar.RegionName {
	all := append(s.Router.Regions(), s.Region)
	slices.Sort(all)
	return all
}

// changeAllRegions applies a change that concerns every region by two-phase commit.
func (s *Service) changeAllRegions(ctx context.Context, call *ChangeCall) (*Reply, error) {
	all := s.regions()
	for i, name := range all {
		reply, err := s.callRegion(ctx, name, "Prepare", call)
		if err == nil && len(reply.Findings) == 0 {
			continue
		}
		for _, done := range all[:i] {
			_, _ = s.callRegion(ctx, done, "Drop", call) // on failure, that region's Resolve decides the change
		}
		if err != nil {
			return &Reply{Findings: []string{fmt.Sprintf("refused, since it concerns every region: %v", err)}}, nil
		}
		return reply, nil
	}
	var first *Reply
	for _, name := range all {
		reply, err := s.callRegion(ctx, name, "Change", call)
		if err != nil {
			return nil, errors.Annotatef(err, "not yet in force in region %s; send it again with id %q", name, call.ChangeID)
		}
		if len(reply.Findings) > 0 {
			return reply, nil
		}
		if first == nil {
			first = reply
		} else {
			first.Elsewhere = append(first.Elsewhere, RegionReply{name, reply})
		}
	}
	return first, nil
}

// Age at which a prepared change is resolved, and dropped if it is still undecided.
const (
	resolveAfter = 3 * time.Second
	dropAfter    = 30 * time.Second
)

// Resolve decides the changes that were prepared here and whose coordinator did
// not finish. The first region's log tells whether they were accepted.
func (s *Service) Resolve(ctx context.Context, now time.Time) {
	var open []registrar.Prepared
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		for _, p := range t.State.Prepared {
			if now.Sub(p.At.Time()) >= resolveAfter {
				open = append(open, *p)
			}
		}
	})
	if err != nil {
		return
	}
	for i := range open {
		s.resolve(ctx, &open[i], now)
	}
}

func (s *Service) resolve(ctx context.Context, p *registrar.Prepared, now time.Time) {
	call := &ChangeCall{ChangeID: p.ID, Ops: p.Ops, Text: p.Text, Operator: "resolved"}
	first := s.Router.First()
	reply, err := s.callRegion(ctx, first, "State", &StateCall{p.ID})
	if err != nil {
		return // the first region is unreachable: the change remains undecided
	}
	old := now.Sub(p.At.Time()) >= dropAfter
	switch {
	case reply.Record != nil && !reply.Record.Dropped:
		_, _ = s.callRegion(ctx, s.Region, "Change", call) // the next Resolve retries
	case reply.Record != nil:
		_, _ = s.callRegion(ctx, s.Region, "Drop", call) // as above
	case old:
		if reply, err := s.callRegion(ctx, first, "Drop", call); err == nil && len(reply.Findings) == 0 {
			_, _ = s.callRegion(ctx, s.Region, "Drop", call) // as above
		}
	}
}

// Everywhere executes a statement in the regions that it concerns.
func (s *Service) Everywhere(ctx context.Context, call *StatementCall) (*Reply, error) {
	st, err := parser.Parse(call.Statement)
	if err != nil {
		return syntaxErrorReply(err), nil
	}
	c := &st.Command
	switch {
	case c.Show != nil:
		return s.showAllRegions(ctx, call)
	case c.Set != nil:
		return s.setPolicyAllRegions(ctx, call, st)
	}
	if name := namedRegion(c); name != "" && slices.Contains(s.Router.Regions(), name) {
		return s.callRegion(ctx, name, "Statement", call)
	}
	return s.statementByName(ctx, call)
}

func (s *Service) showAllRegions(ctx context.Context, call *StatementCall) (*Reply, error) {
	reply, err := s.Do(ctx, "Statement", call)
	if err != nil || len(reply.Findings) > 0 {
		return reply, err
	}
	for _, name := range s.Router.Regions() {
		other, err := s.callRegion(ctx, name, "Statement", call)
		if err != nil {
			other = &Reply{Findings: []string{err.Error()}}
		}
		reply.Elsewhere = append(reply.Elsewhere, RegionReply{name, other})
	}
	return reply, nil
}

func (s *Service) setPolicyAllRegions(ctx context.Context, call *StatementCall, st *parser.Statement) (*Reply, error) {
	name := decider.CanonicalPolicy(st.Command.Set.Name)
	cc := &ChangeCall{
		ChangeID: call.ChangeID, Text: call.Statement, Operator: call.Operator,
		Ops: []registrar.Op{{PutPolicy: &registrar.Policy{Name: name, Value: st.Command.Set.Value.Text}}},
	}
	if st.ID != nil {
		cc.ChangeID = registrar.ChangeID(*st.ID)
	}
	if st.Base != nil {
		return &Reply{Findings: []string{"each region counts its own revisions, so a change of every region takes no BASE"}}, nil
	}
	return s.changeAllRegions(ctx, cc)
}

// namedRegion returns the region that a command sets for a caller.
func namedRegion(c *parser.Command) registrar.RegionName {
	if c.Create == nil || !strings.EqualFold(c.Create.Kind, "CALLER") {
		return ""
	}
	for _, a := range c.Create.Set {
		if strings.EqualFold(a.Field, "Region") {
			return registrar.RegionName(a.Value.Text)
		}
	}
	return ""
}

// statementByName executes a statement in the region that has the objects it names.
func (s *Service) statementByName(ctx context.Context, call *StatementCall) (*Reply, error) {
	own, err := s.Do(ctx, "Statement", call)
	if err != nil || !reportsUnknownName(own) {
		return own, err
	}
	for _, name := range s.Router.Regions() {
		other, err := s.callRegion(ctx, name, "Statement", call)
		if err != nil {
			own.Findings = append(own.Findings, err.Error())
			continue
		}
		if !reportsUnknownName(other) {
			return other, nil
		}
	}
	return own, nil
}

func reportsUnknownName(r *Reply) bool {
	text := strings.Join(append(slices.Clone(r.Findings), r.Lines...), "\n")
	for _, sign := range []string{"does not exist", "is not known", "is not retired", "is not queued or running"} {
		if strings.Contains(text, sign) {
			return true
		}
	}
	return false
}

// ChangeIn applies a change of several operations in one region, or in every region
// when it sets policies.
func (s *Service) ChangeIn(ctx context.Context, name registrar.RegionName, call *ChangeCall) (*Reply, error) {
	policies := 0
	for _, op := range call.Ops {
		if op.PutPolicy != nil {
			policies++
		}
	}
	switch {
	case policies == len(call.Ops):
		call.Base = nil
		return s.changeAllRegions(ctx, call)
	case policies > 0:
		return &Reply{Findings: []string{"policies concern every region: set them in a change of their own"}}, nil
	case name == "":
		name = s.Region
	}
	return s.callRegion(ctx, name, "Change", call)
}

// ConfigurationOf returns the configuration of one region.
func (s *Service) ConfigurationOf(ctx context.Context, name registrar.RegionName) (*Reply, error) {
	if name == "" {
		name = s.Region
	}
	reply, err := s.callRegion(ctx, name, "Configuration", &struct{}{})
	if err == nil && reply.Config != nil {
		reply.Config.Region = name
		reply.Config.Regions = s.regions()
	}
	return reply, err
}
