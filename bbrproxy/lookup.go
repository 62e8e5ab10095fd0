package bbrproxy

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrrequest"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// lookupPatience bounds a lookup by request key.
const lookupPatience = 5 * time.Second

// RequestState is the answer to a lookup by request key.
type RequestState string

// The states of a request. RequestNotRun is final for what was sent so far.
const (
	RequestRun       RequestState = "run"
	RequestNotRun    RequestState = "notRun"
	RequestResolving RequestState = "beingResolved"
)

// lookupReply is the answer's form.
type lookupReply struct {
	Key     bbrtype.RequestKey `json:"key"`
	State   RequestState       `json:"state"`
	Message string             `json:"message,omitempty"`
}

// ServeRequestLookup answers whether a request has run: GET or POST
// /request?route=ROUTE&key=KEY with the caller's name and password. The answer
// notRun closes the key for what was sent before.
func (s *Server) ServeRequestLookup(w http.ResponseWriter, r *http.Request) {
	name, password, _ := r.BasicAuth()
	caller, err := s.checkPassword(bbrtype.CallerName(name), password)
	if err != nil {
		w.Header().Set("WWW-Authenticate", `Basic realm="bluebellroute"`)
		http.Error(w, err.Error(), http.StatusUnauthorized)
		return
	}
	key := r.FormValue("key")
	route := bbrtype.RouteName(r.FormValue("route"))
	if err := bbrstatement.CheckRequestKey(key); err != nil || !caller.MayUse(route) {
		http.Error(w, "give a key, and a route that the caller may use", http.StatusBadRequest)
		return
	}
	reply := s.lookupRequest(caller, route, bbrtype.RequestKey(key))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// checkPassword finds the caller with a password.
func (s *Server) checkPassword(name bbrtype.CallerName, password string) (*bbrconfig.Caller, error) {
	denied := errors.New("unknown caller or wrong password")
	cfg := s.deps.Registry.View().Config
	if cfg == nil || cfg.Callers[name] == nil {
		return nil, denied
	}
	caller := cfg.Callers[name]
	want, err := bbrconfig.ParseVerifier(caller.Verifier)
	if err != nil {
		return nil, denied
	}
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return nil, denied
	}
	got := client.GetStoredCredentials(want.KeyFactors)
	if subtle.ConstantTimeCompare(got.StoredKey, want.StoredKey) != 1 {
		return nil, denied
	}
	return caller, nil
}

// lookupRequest finds out the fate of a request, as a session does that lost
// its answer.
func (s *Server) lookupRequest(caller *bbrconfig.Caller, route bbrtype.RouteName, key bbrtype.RequestKey) lookupReply {
	c := &session{srv: s, caller: caller.Name, tenant: caller.Tenant, route: route}
	reply := lookupReply{Key: key, State: RequestResolving}
	r, err := c.newRequest(&batch{})
	if err != nil {
		reply.Message = err.Error()
		return reply
	}
	r.key = key
	r.deadline = s.deps.Clock.Now().Add(lookupPatience)
	for {
		state, err := c.lookupOnce(r)
		if err == nil {
			reply.State = state
			return reply
		}
		if !c.pause(r.deadline, gatePause) {
			reply.Message = err.Error()
			return reply
		}
	}
}

// lookupOnce makes one try.
func (c *session) lookupOnce(r *request) (RequestState, error) {
	told, err := c.tryResolve(r, bbrrequest.AnyFingerprint)
	if err != nil {
		return "", err
	}
	if told.Reason == bbroutcome.ReasonAlreadyRun {
		return RequestRun, nil
	}
	return RequestNotRun, nil
}
