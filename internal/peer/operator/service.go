// Package operator serves operators: statements of the query and command
// language and changes of the configuration. A daemon that does not lead
// forwards them to the leader.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"masticroad/internal/control/decider"
	"masticroad/internal/control/registrar"
	"masticroad/internal/control/retirer"
	"masticroad/internal/daemon/controller"
	"masticroad/internal/language/evaluator"
	"masticroad/internal/language/parser"
	"masticroad/internal/peer/replica"
	"masticroad/internal/settings/declarer"
	"masticroad/internal/state/replicator"
)

// This file defines the calls and the table of their methods. Each call is a method
// of Service and an entry in the table.

// StatementCall executes one statement. ChangeID applies to a command that does not
// name an id.
type StatementCall struct {
	Statement string
	ChangeID  registrar.ChangeID `json:",omitempty"`
	Operator  string             `json:",omitempty"`
}

// ChangeCall applies a change of several operations atomically.
type ChangeCall struct {
	ChangeID registrar.ChangeID
	Base     *registrar.Revision `json:",omitempty"`
	Ops      []registrar.Op
	Text     string `json:",omitempty"`
	Operator string `json:",omitempty"`
}

// Reply answers a call.
type Reply struct {
	Table     *evaluator.Table        `json:",omitempty"`
	Lines     []string                `json:",omitempty"`
	Proof     *retirer.Proof          `json:",omitempty"`
	Change    *decider.ChangeResult   `json:",omitempty"`
	Config    *declarer.Configuration `json:",omitempty"`
	Lookup    *Lookup                 `json:",omitempty"`
	Findings  []string                `json:",omitempty"` // why the call is refused
	Record    *registrar.ChangeRecord `json:",omitempty"`
	Elsewhere []RegionReply           `json:",omitempty"` // of other regions
	Column    int                     `json:",omitempty"` // of a syntax error
}

// LookupCall asks for the state of a caller's request.
type LookupCall struct {
	Caller registrar.CallerName
	Key    registrar.Key
}

// Lookup is the state of a caller's request.
type Lookup struct {
	Found   bool
	Task    registrar.Task
	Holder  registrar.DaemonName
	Pending bool
}

// Service serves the calls. The exported fields are set before use.
type Service struct {
	Controller *controller.Controller
	Node       *replicator.Node
	Client     *replica.Client
	Leader     func() string // address of the leader for other daemons, or empty
	Self       string        // own address for other daemons
	Region     registrar.RegionName
	Router     RegionRouter // nil in a cell of one log
}

type method func(s *Service, ctx context.Context, body []byte) (*Reply, error)

var methods = map[string]method{
	"Statement":     decodeBody((*Service).statement),
	"Change":        decodeBody((*Service).change),
	"Configuration": decodeBody((*Service).configuration),
	"Lookup":        decodeBody((*Service).lookup),
	"Prepare":       decodeBody((*Service).prepare),
	"Drop":          decodeBody((*Service).drop),
	"State":         decodeBody((*Service).changeState),
}

func decodeBody[In any](f func(*Service, context.Context, *In) (*Reply, error)) method {
	return func(s *Service, ctx context.Context, body []byte) (*Reply, error) {
		in := new(In)
		if err := json.Unmarshal(body, in); err != nil {
			return nil, errors.Annotate(err, "operator call")
		}
		return f(s, ctx, in)
	}
}

// Limits of forwarding and of changes.
const (
	maxForwardAttempts = 20
	forwardRetryDelay  = 100 * time.Millisecond
	changeTimeout      = 8 * time.Second
)

// Do executes a call, here or at the leader. It retries while a leader is being
// elected. Retrying a change is safe, since it carries an id.
func (s *Service) Do(ctx context.Context, name string, in any) (*Reply, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply, done := s.answerStale(ctx, name, in, body); done {
		return reply, nil
	}
	last := errors.New("no leader is known")
	for range maxForwardAttempts {
		reply, err := s.tryLeader(ctx, name, body)
		if err == nil {
			return reply, nil
		}
		last = err
		select {
		case <-ctx.Done():
			return nil, errors.Trace(ctx.Err())
		case <-time.After(forwardRetryDelay):
		}
	}
	return nil, errors.Annotatef(last, "operator call %s", name)
}

// answerStale answers a STALE query from this daemon's own copy of the replicated state.
func (s *Service) answerStale(ctx context.Context, name string, in any, body []byte) (*Reply, bool) {
	call, ok := in.(*StatementCall)
	if !ok {
		return nil, false
	}
	st, err := parser.Parse(call.Statement)
	if err != nil || st.Command.Show == nil || !st.Command.Show.Stale {
		return nil, false
	}
	reply, err := methods[name](s, ctx, body)
	return reply, err == nil
}

func (s *Service) tryLeader(ctx context.Context, name string, body []byte) (*Reply, error) {
	address := s.Leader()
	if address == "" {
		return nil, errors.New("no leader is known")
	}
	if address == s.Self {
		return s.serve(ctx, name, body)
	}
	out, err := s.Client.Call(ctx, address, &replica.Call{Method: name, Body: body})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if out.NotLeader {
		return nil, controller.ErrNotLeader
	}
	reply := &Reply{}
	return reply, errors.Trace(json.Unmarshal(out.Body, reply))
}

func (s *Service) serve(ctx context.Context, name string, body []byte) (*Reply, error) {
	m := methods[name]
	if m == nil {
		return nil, errors.NotFoundf("operator call %q", name)
	}
	reply, err := m(s, ctx, body)
	if err == nil && reply.Change != nil && reply.Change.Uncertain {
		return nil, errors.New("leadership was lost before the change was answered")
	}
	return reply, err
}

// Call serves a call that another daemon forwarded.
func (s *Service) Call(ctx context.Context, c *replica.Call) (*replica.CallReply, error) {
	reply, err := s.serve(ctx, c.Method, c.Body)
	if errors.Is(err, controller.ErrNotLeader) {
		return &replica.CallReply{NotLeader: true}, nil
	}
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(reply)
	return &replica.CallReply{Body: body}, err
}

func (s *Service) statement(ctx context.Context, call *StatementCall) (*Reply, error) {
	st, err := parser.Parse(call.Statement)
	if err != nil {
		return syntaxErrorReply(err), nil
	}
	if evaluator.IsChange(st) {
		return s.changeByStatement(ctx, call, st)
	}
	c := &st.Command
	switch {
	case c.Voter != nil:
		return s.voter(ctx, c.Voter)
	case c.Prove != nil:
		return s.prove(ctx, c.Prove)
	}
	reply := &Reply{}
	stale := c.Show != nil && c.Show.Stale
	err = s.Controller.Read(ctx, stale, func(t *controller.QueryState) {
		src := &evaluator.Source{State: t.State, Decider: t.Decider, Status: t.Status, Now: t.Now}
		s.evaluate(st, src, reply)
	})
	return reply, err
}

func syntaxErrorReply(err error) *Reply {
	reply := &Reply{Findings: []string{err.Error()}}
	var syntax *parser.SyntaxError
	if errors.As(err, &syntax) {
		reply.Column = syntax.Column
	}
	return reply
}

func (s *Service) evaluate(st *parser.Statement, src *evaluator.Source, reply *Reply) {
	if e := st.Command.Explain; e != nil {
		reply.Lines = src.Decider.Explain(registrar.TaskID(e.Task), src.Now)
		return
	}
	table, err := evaluator.Show(st.Command.Show, src)
	if err != nil {
		reply.Findings = []string{err.Error()}
		return
	}
	reply.Table = table
}

func (s *Service) changeByStatement(ctx context.Context, call *StatementCall, st *parser.Statement) (*Reply, error) {
	var ops []registrar.Op
	var opsErr error
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		ops, opsErr = evaluator.Ops(st, t.State)
	})
	if err != nil {
		return nil, err
	}
	id := call.ChangeID
	if st.ID != nil {
		id = registrar.ChangeID(*st.ID)
	}
	if known, err := s.repeatedChange(ctx, id, call.Statement); known != nil || err != nil {
		return known, err
	}
	if opsErr != nil {
		return &Reply{Findings: []string{opsErr.Error()}}, nil
	}
	cc := &ChangeCall{ChangeID: id, Ops: ops, Text: call.Statement, Operator: call.Operator}
	if st.Base != nil {
		base := registrar.Revision(*st.Base)
		cc.Base = &base
	}
	return s.change(ctx, cc)
}

// repeatedChange answers a statement that was sent again with the same id: the
// operations of a command depend on the replicated state, so the text of the
// statement is compared instead.
func (s *Service) repeatedChange(ctx context.Context, id registrar.ChangeID, statement string) (*Reply, error) {
	var rec *registrar.ChangeRecord
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) { rec = t.State.Changes[id] })
	if err != nil || rec == nil {
		return nil, err
	}
	if rec.Text != statement {
		return &Reply{Findings: []string{fmt.Sprintf("change id %q was used with other content", id)}}, nil
	}
	result, err := s.Controller.Confirm(ctx, id, rec.Digest)
	return &Reply{Change: &result}, err
}

func (s *Service) change(ctx context.Context, call *ChangeCall) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := s.Controller.Change(ctx, &decider.Change{
		ID: call.ChangeID, Base: call.Base, Ops: call.Ops, Text: call.Text, Operator: call.Operator,
	})
	if err != nil {
		return nil, err
	}
	return &Reply{Change: &result, Findings: result.Refused}, nil
}

func (s *Service) voter(ctx context.Context, v *parser.Voter) (*Reply, error) {
	add := v.Verb == "ADD" || v.Verb == "add"
	if err := s.Node.ChangeVoter(ctx, replicator.ReplicaID(v.Replica), add); err != nil {
		return &Reply{Findings: []string{"the voters can't be changed now: " + err.Error()}}, nil
	}
	return &Reply{Lines: []string{"the change of voters is in the log; SHOW Voters tells when it is in force"}}, nil
}

// prove returns the logged proof of a retirement after checking it against the
// current replicated state.
func (s *Service) prove(ctx context.Context, p *parser.Prove) (*Reply, error) {
	reply := &Reply{}
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		reply.Proof, reply.Findings = proofOf(p, t.State)
	})
	return reply, err
}

func proofOf(p *parser.Prove, state *registrar.State) (*retirer.Proof, []string) {
	data, running := retiredSubject(p, state)
	if data == nil {
		return nil, []string{fmt.Sprintf("%s %q is not retired", p.Kind, p.Name)}
	}
	proof, err := retirer.Decode(data)
	if err != nil {
		return nil, []string{err.Error()}
	}
	var findings []string
	if running > 0 {
		findings = append(findings, fmt.Sprintf("%d tasks are queued or running", running))
	}
	for _, f := range retirer.Verify(proof) {
		findings = append(findings, f.String())
	}
	return proof, findings
}

func retiredSubject(p *parser.Prove, state *registrar.State) ([]byte, int) {
	if p.Kind == "CALLER" || p.Kind == "caller" {
		name := registrar.CallerName(p.Name)
		c := state.Callers[name]
		if c == nil || c.State != registrar.CallerRetired {
			return nil, 0
		}
		return c.Proof, len(state.TasksOf(name))
	}
	name := registrar.TargetName(p.Name)
	t := state.Targets[name]
	if t == nil || t.State != registrar.TargetRetired {
		return nil, 0
	}
	return t.Proof, len(state.ByTarget[name])
}

func (s *Service) configuration(ctx context.Context, _ *struct{}) (*Reply, error) {
	c := &declarer.Configuration{}
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		c.Revision, c.Index = t.State.Revision, t.State.Applied
		for _, x := range t.State.Callers {
			copied := *x
			copied.Proof = nil
			c.Callers = append(c.Callers, copied)
		}
		for _, x := range t.State.Jobs {
			c.Jobs = append(c.Jobs, *x)
		}
		for name, value := range t.State.Policies {
			c.Policies = append(c.Policies, registrar.Policy{Name: name, Value: value})
		}
	})
	return &Reply{Config: c}, err
}

func (s *Service) lookup(ctx context.Context, call *LookupCall) (*Reply, error) {
	out := &Lookup{}
	err := s.Controller.Read(ctx, false, func(t *controller.QueryState) {
		task := t.State.Lookup(registrar.RequestKey{Caller: call.Caller, Key: call.Key})
		if task == nil {
			return
		}
		out.Found, out.Task, out.Holder = true, *task, task.Daemon
		out.Pending = task.State != registrar.Ended
	})
	return &Reply{Lookup: out}, err
}
