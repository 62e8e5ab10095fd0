package bbrforward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrforward/forwardpb"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// operation is the name of a statement's operation in messages.
type operation string

// The operations of statements that are forwarded.
const (
	operationRead     operation = "read"
	operationWrite    operation = "write"
	operationExecute  operation = "execute"
	operationCommit   operation = "commit"
	operationRollback operation = "rollback"
)

// operationName returns the name of a statement's operation, empty for one that is not
// forwarded.
func operationName(op bbrmessage.Operation) operation {
	switch op.(type) {
	case bbrmessage.Read:
		return operationRead
	case bbrmessage.Write:
		return operationWrite
	case bbrmessage.Execute:
		return operationExecute
	case bbrmessage.Commit:
		return operationCommit
	case bbrmessage.Rollback:
		return operationRollback
	}
	return ""
}

// decodeOperation returns the operation of a request.
func decodeOperation(r *forwardpb.RunRequest) (bbrmessage.Operation, error) {
	switch operation(r.GetOperation()) {
	case operationRead:
		return bbrmessage.Read{}, nil
	case operationWrite:
		return bbrmessage.Write{}, nil
	case operationExecute:
		return bbrmessage.Execute{Name: string(r.GetExecuteName()), Arguments: string(r.GetExecuteArguments())}, nil
	case operationCommit:
		return bbrmessage.Commit{}, nil
	case operationRollback:
		return bbrmessage.Rollback{}, nil
	}
	return nil, errors.Errorf("the operation %q is not known", r.GetOperation())
}

func encodeStatement(s Statement) *forwardpb.RunRequest {
	r := &forwardpb.RunRequest{
		RequestId: []byte(s.ID), Text: []byte(s.Text), Operation: string(operationName(s.Op)), Route: encodeRoute(s.Route),
		ArrivedAgoUs: s.ArrivedAgo.Microseconds(), BegunAgoUs: s.BegunAgo.Microseconds(),
		LastWrite: encodePosition(s.LastWrite), Values: encodeValues(s.Values),
		InTransaction: s.InTransaction, ReadOnly: s.ReadOnly, Transaction: string(s.Transaction), LastResort: s.LastResort, Tenant: []byte(s.Tenant),
	}
	if x, ok := s.Op.(bbrmessage.Execute); ok {
		r.ExecuteName, r.ExecuteArguments = []byte(x.Name), []byte(x.Arguments)
		if p, ok := s.Prepared[x.Name]; ok {
			r.Prepared = &forwardpb.Prepared{Name: []byte(x.Name), MemberName: []byte(p.Name), Access: string(p.Access), Definition: []byte(p.Definition)}
		}
	}
	return r
}

func decodeStatement(r *forwardpb.RunRequest) (Statement, error) {
	op, err := decodeOperation(r)
	if err != nil {
		return Statement{}, err
	}
	s := Statement{
		Statement:  bbrmessage.Statement{ID: bbrmessage.RequestID(r.GetRequestId()), Text: string(r.GetText()), Op: op},
		ArrivedAgo: microseconds(r.GetArrivedAgoUs()), BegunAgo: microseconds(r.GetBegunAgoUs()),
		LastWrite: decodePosition(r.GetLastWrite()), Values: decodeValues(r.GetValues()),
		InTransaction: r.GetInTransaction(), ReadOnly: r.GetReadOnly(), Transaction: TransactionID(r.GetTransaction()), LastResort: r.GetLastResort(),
		Tenant: bbrtype.TenantName(r.GetTenant()),
	}
	if s.Route, err = decodeRoute(r.GetRoute()); err != nil {
		return Statement{}, err
	}
	if p := r.GetPrepared(); p != nil {
		access := bbrmessage.Access(p.GetAccess())
		if access != bbrmessage.AccessRead && access != bbrmessage.AccessWrite {
			return Statement{}, errors.Errorf("the access %q of a prepared statement is not known", access)
		}
		s.Prepared = map[string]bbrmessage.Prepare{string(p.GetName()): {Name: string(p.GetMemberName()), Access: access, Definition: string(p.GetDefinition())}}
	}
	return s, nil
}

func encodeValues(values map[string]string) []*forwardpb.Value {
	var out []*forwardpb.Value
	for name, value := range values {
		out = append(out, &forwardpb.Value{Name: []byte(name), Value: []byte(value)})
	}
	return out
}

func decodeValues(values []*forwardpb.Value) map[string]string {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]string, len(values))
	for _, v := range values {
		out[string(v.GetName())] = string(v.GetValue())
	}
	return out
}

func encodeRoute(r bbrcatalog.Route) *forwardpb.Route {
	return &forwardpb.Route{
		Name: string(r.Name), Database: r.Database, Group: string(r.Group), Policy: string(r.Policy),
		StatementTimeoutUs: r.StatementTimeout.Microseconds(), LatencyObjectiveUs: r.LatencyObjective.Microseconds(),
		MaxStalenessUs: r.MaxStaleness.Microseconds(), Priority: int32(r.Priority),
	}
}

func decodeRoute(r *forwardpb.Route) (bbrcatalog.Route, error) {
	policy := bbrcatalog.ReadPolicy(r.GetPolicy())
	switch policy {
	case bbrcatalog.PolicyPrimary, bbrcatalog.PolicyBoundedStaleness, bbrcatalog.PolicyReadYourWrites:
	default:
		return bbrcatalog.Route{}, errors.Errorf("the read policy %q is not known", policy)
	}
	return bbrcatalog.Route{
		Name: bbrtype.RouteName(r.GetName()), Database: r.GetDatabase(), Group: bbrtype.GroupName(r.GetGroup()), Policy: policy,
		StatementTimeout: microseconds(r.GetStatementTimeoutUs()), LatencyObjective: microseconds(r.GetLatencyObjectiveUs()),
		MaxStaleness: microseconds(r.GetMaxStalenessUs()), Priority: int(r.GetPriority()),
	}, nil
}

func encodeResult(r Result) *forwardpb.RunReply {
	out := &forwardpb.RunReply{
		Declined: r.Declined, Stopping: r.Stopping, Rows: encodeRows(r.Reply.Rows), Signature: []byte(r.Reply.Signature), LastWrite: encodePosition(r.LastWrite),
		Transaction: string(r.Transaction), TookUs: r.Took.Microseconds(),
		Phases: &forwardpb.Phases{
			QueueUs: r.Phases.Queue.Microseconds(), ConnectUs: r.Phases.Connect.Microseconds(), ProofUs: r.Phases.Proof.Microseconds(),
			MemberUs: r.Phases.Member.Microseconds(), PauseUs: r.Phases.Pause.Microseconds(),
			Attempts: int32(r.Phases.Attempts), ConnectFailures: int32(r.Phases.ConnectFailures),
		},
	}
	if f := r.Reply.Failure; f != nil {
		out.FailureClass, out.FailureText = string(f.Class), []byte(f.Text)
	}
	return out
}

func encodeRows(rows []string) [][]byte {
	var out [][]byte
	for _, row := range rows {
		out = append(out, []byte(row))
	}
	return out
}

func decodeRows(rows [][]byte) []string {
	var out []string
	for _, row := range rows {
		out = append(out, string(row))
	}
	return out
}

// errNoOutcome means that a reply names neither an outcome nor a reason to decline.
var errNoOutcome = errors.New("the instance's reply has no outcome")

func decodeResult(r *forwardpb.RunReply) (Result, error) {
	p := r.GetPhases()
	out := Result{
		Declined:  r.GetDeclined(),
		Stopping:  r.GetStopping(),
		Reply:     bbrmessage.Reply{Rows: decodeRows(r.GetRows()), Signature: string(r.GetSignature())},
		LastWrite: decodePosition(r.GetLastWrite()), Transaction: TransactionID(r.GetTransaction()), Took: microseconds(r.GetTookUs()),
		Phases: Phases{
			Queue: microseconds(p.GetQueueUs()), Connect: microseconds(p.GetConnectUs()), Proof: microseconds(p.GetProofUs()),
			Member: microseconds(p.GetMemberUs()), Pause: microseconds(p.GetPauseUs()),
			Attempts: int(p.GetAttempts()), ConnectFailures: int(p.GetConnectFailures()),
		},
	}
	switch {
	case r.GetFailureClass() != "":
		out.Reply.Failure = &bbrmessage.Failure{Class: bbrmessage.FailureClass(r.GetFailureClass()), Text: string(r.GetFailureText())}
	case len(r.GetSignature()) == 0 && r.GetDeclined() == "":
		return out, errNoOutcome
	}
	return out, nil
}

func encodePosition(p bbrmessage.LogPosition) *forwardpb.Position {
	return &forwardpb.Position{Term: uint64(p.Term), Index: p.Index}
}

func decodePosition(p *forwardpb.Position) bbrmessage.LogPosition {
	return bbrmessage.LogPosition{Term: bbrtype.Term(p.GetTerm()), Index: p.GetIndex()}
}

// maxDuration is the longest time that a message may state.
const maxDuration = 24 * time.Hour

// microseconds returns the duration of a message's field, from 0 to maxDuration.
func microseconds(us int64) time.Duration {
	return time.Duration(min(max(0, us), maxDuration.Microseconds())) * time.Microsecond
}
