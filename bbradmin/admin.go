// Package bbradmin is the administration API: operators check, apply, compare
// and list configurations, and read the status. It is a twirp service, served
// as JSON and as protocol buffers.
//
// An operator names itself in the Authorization header: Bearer NAME:KEY. The
// process setting adminKey is the key of the operator "admin", who may change
// everything and who applies the first configuration.
//
// # Usage
//
//	h := bbradmin.NewHandler(deps)
//	mux.Handle(bbradmin.PathPrefix, h)
package bbradmin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"

	"github.com/bluebellroute/bluebellroute/bbradmin/adminpb"
	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrinstance"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrstatus"
)

// PathPrefix is where the handler is to be mounted.
const PathPrefix = adminpb.AdminPathPrefix

const (
	// adminName is the operator whose key is a process setting.
	adminName bbrconfig.OperatorName = "admin"
	// applyTimeout bounds the wait for the store.
	applyTimeout = 20 * time.Second
	// maxBody bounds a request, in bytes.
	maxBody = 32 << 20
)

// Deps are what the API works with.
type Deps struct {
	Instance *bbrinstance.Instance
	// AdminKey is the key of the operator "admin". Empty switches it off.
	AdminKey string
	Status   func() *bbrstatus.Report
	Log      logrus.FieldLogger
}

// service implements the API.
type service struct{ deps Deps }

var _ adminpb.Admin = (*service)(nil)

// operatorKey is the key of the operator in a request's context.
type operatorKey struct{}

// NewHandler returns the API's HTTP handler.
func NewHandler(deps Deps) http.Handler {
	s := &service{deps: deps}
	inner := adminpb.NewAdminServer(s)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		o, err := s.authenticate(r.Header.Get("Authorization"))
		if err != nil {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, err.Error()))
			return
		}
		inner.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, o)))
	})
}

// authenticate finds the operator that a header names.
func (s *service) authenticate(header string) (*bbrconfig.Operator, error) {
	denied := errors.New("unknown operator or wrong key: send Authorization: Bearer NAME:KEY")
	bearer, ok := strings.CutPrefix(header, "Bearer ")
	name, key, ok2 := strings.Cut(bearer, ":")
	if !ok || !ok2 {
		return nil, denied
	}
	if bbrconfig.OperatorName(name) == adminName {
		if s.deps.AdminKey != "" && subtle.ConstantTimeCompare([]byte(key), []byte(s.deps.AdminKey)) == 1 {
			return &bbrconfig.Operator{Name: adminName, Teams: []string{"*"}}, nil
		}
		return nil, denied
	}
	_, cfg := s.inForce()
	if cfg == nil || cfg.Operators[bbrconfig.OperatorName(name)] == nil || !cfg.Operators[bbrconfig.OperatorName(name)].HasKey(key) {
		return nil, denied
	}
	return cfg.Operators[bbrconfig.OperatorName(name)], nil
}

func operatorOf(ctx context.Context) *bbrconfig.Operator {
	if o, ok := ctx.Value(operatorKey{}).(*bbrconfig.Operator); ok {
		return o
	}
	return &bbrconfig.Operator{}
}

// inForce returns the newest version of the journal, and the configuration that
// this instance has in force.
func (s *service) inForce() (bbrjournal.ConfigVersion, *bbrconfig.Config) {
	view := s.deps.Instance.View()
	v, _ := view.Journal.CurrentConfig()
	return v, view.Config
}

func problemsToProto(problems []bbrini.Problem) []*adminpb.Problem {
	out := make([]*adminpb.Problem, len(problems))
	for i, p := range problems {
		out[i] = &adminpb.Problem{File: p.File, Section: p.Section, Key: p.Key, What: p.What, Hint: p.Hint}
	}
	return out
}

// Check implements adminpb.Admin.
func (s *service) Check(_ context.Context, r *adminpb.CheckRequest) (*adminpb.CheckReply, error) {
	_, problems := bbrconfig.Parse(r.GetFile(), r.GetBody())
	return &adminpb.CheckReply{Problems: problemsToProto(problems)}, nil
}

// Apply implements adminpb.Admin.
func (s *service) Apply(ctx context.Context, r *adminpb.ApplyRequest) (*adminpb.ApplyReply, error) {
	o := operatorOf(ctx)
	cfg, problems := bbrconfig.Parse(r.GetFile(), r.GetBody())
	if len(problems) > 0 {
		return &adminpb.ApplyReply{Result: adminpb.ApplyResult_INVALID, Problems: problemsToProto(problems)}, nil
	}
	current, _ := s.inForce()
	old, err := s.bodyOf(ctx, current)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	changes := bbrconfig.Diff(old, r.GetBody())
	if !r.GetAnyVersion() && r.GetExpect() != current.Version {
		return s.conflict(current.Version, changes, "another version is in force"), nil
	}
	if len(changes) == 0 && current.Version > 0 {
		return &adminpb.ApplyReply{Result: adminpb.ApplyResult_UNCHANGED, Version: current.Version}, nil
	}
	for _, c := range changes {
		if !o.MayChange(c) {
			return &adminpb.ApplyReply{
				Result:  adminpb.ApplyResult_DENIED,
				Message: "operator " + string(o.Name) + " may not change [" + c.Section + "]: it is owned by another team",
			}, nil
		}
	}
	return s.apply(ctx, r, cfg, current, changes)
}

// apply submits a checked configuration.
func (s *service) apply(ctx context.Context, r *adminpb.ApplyRequest, cfg *bbrconfig.Config, current bbrjournal.ConfigVersion, changes []bbrconfig.Change) (*adminpb.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	author := string(operatorOf(ctx).Name)
	if r.GetAuthor() != "" && r.GetAuthor() != author {
		author += " for " + r.GetAuthor()
	}
	entry := bbrjournal.Configured{
		Version: current.Version + 1, Author: author, Note: r.GetNote(), SubmittedAt: time.Now().UnixMilli(),
	}
	done, err := s.deps.Instance.Configure(ctx, r.GetBody(), cfg, entry)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, "nothing was applied: "+err.Error())
	}
	log := s.deps.Log.WithFields(logrus.Fields{"version": entry.Version, "operator": author, "result": done.Result, "changes": len(changes)})
	switch done.Result {
	case bbrcontrol.ConfigureInForce:
		log.Info("configuration applied")
		return &adminpb.ApplyReply{Result: adminpb.ApplyResult_IN_FORCE, Version: entry.Version}, nil
	case bbrcontrol.ConfigureConflict:
		log.Info("configuration not applied")
		latest, _ := s.inForce()
		message := "another configuration was applied first"
		if latest.Version == current.Version {
			message = "the change of primary that the configuration needs did not come about"
		}
		if body, err := s.bodyOf(ctx, latest); err == nil {
			changes = bbrconfig.Diff(body, r.GetBody())
		}
		return s.conflict(latest.Version, changes, message), nil
	}
	log.Warn("configuration of unknown fate")
	return &adminpb.ApplyReply{
		Result: adminpb.ApplyResult_UNKNOWN, Version: entry.Version,
		Message: "the store gave no answer: the configuration may be in force; look with: bluebellroute history",
	}, nil
}

func (s *service) conflict(version uint64, changes []bbrconfig.Change, message string) *adminpb.ApplyReply {
	return &adminpb.ApplyReply{
		Result: adminpb.ApplyResult_CONFLICT, Version: version, Diff: bbrconfig.FormatDiff(changes), Message: message,
	}
}

// bodyOf returns a version's body, empty before the first version.
func (s *service) bodyOf(ctx context.Context, v bbrjournal.ConfigVersion) ([]byte, error) {
	if v.Version == 0 {
		return nil, nil
	}
	return s.deps.Instance.FetchConfiguration(ctx, v.Hash)
}

// find returns a version by its number, 0 for the newest.
func (s *service) find(number uint64) (bbrjournal.ConfigVersion, error) {
	versions := s.deps.Instance.View().Journal.ConfigVersions
	for i := len(versions) - 1; i >= 0; i-- {
		if number == 0 || versions[i].Version == number {
			return versions[i], nil
		}
	}
	return bbrjournal.ConfigVersion{}, twirp.NotFoundError("there is no such version")
}

func versionToProto(v bbrjournal.ConfigVersion) *adminpb.Version {
	return &adminpb.Version{Version: v.Version, Hash: v.Hash, Author: v.Author, Note: v.Note, AppliedAtMs: v.SubmittedAt}
}

// Show implements adminpb.Admin.
func (s *service) Show(ctx context.Context, r *adminpb.ShowRequest) (*adminpb.ShowReply, error) {
	v, err := s.find(r.GetVersion())
	if err != nil {
		return nil, err
	}
	body, err := s.bodyOf(ctx, v)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &adminpb.ShowReply{Version: versionToProto(v), Body: body}, nil
}

// Diff implements adminpb.Admin.
func (s *service) Diff(ctx context.Context, r *adminpb.DiffRequest) (*adminpb.DiffReply, error) {
	from, err := s.Show(ctx, &adminpb.ShowRequest{Version: r.GetFrom()})
	if err != nil {
		return nil, err
	}
	to := r.GetBody()
	if r.GetTo() > 0 {
		shown, err := s.Show(ctx, &adminpb.ShowRequest{Version: r.GetTo()})
		if err != nil {
			return nil, err
		}
		to = shown.GetBody()
	}
	return &adminpb.DiffReply{Diff: bbrconfig.FormatDiff(bbrconfig.Diff(from.GetBody(), to))}, nil
}

// History implements adminpb.Admin.
func (s *service) History(_ context.Context, r *adminpb.HistoryRequest) (*adminpb.HistoryReply, error) {
	out := &adminpb.HistoryReply{}
	versions := s.deps.Instance.View().Journal.ConfigVersions
	for i := len(versions) - 1; i >= 0 && (r.GetLimit() == 0 || len(out.Versions) < int(r.GetLimit())); i-- {
		out.Versions = append(out.Versions, versionToProto(versions[i]))
	}
	return out, nil
}

// Spread implements adminpb.Admin.
func (s *service) Spread(_ context.Context, r *adminpb.SpreadRequest) (*adminpb.SpreadReply, error) {
	inForce, missing := s.deps.Instance.Spread(r.GetVersion())
	return &adminpb.SpreadReply{InForce: inForce, Missing: missing}, nil
}

// Status implements adminpb.Admin.
func (s *service) Status(context.Context, *adminpb.StatusRequest) (*adminpb.StatusReply, error) {
	b, err := json.Marshal(s.deps.Status())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &adminpb.StatusReply{Json: string(b)}, nil
}
