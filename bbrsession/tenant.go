package bbrsession

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrcatalog"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// tenantOf returns the tenant for which a caller's operation runs on a route, empty where
// callers are not identified. It returns false if no tenant holds the caller's key.
func (sess *session) tenantOf(route bbrcatalog.Route) (bbrtype.TenantName, bool) {
	c := sess.server.Catalog.Current()
	if c == nil || !c.HasTenants() {
		return "", true
	}
	if name, ok := c.TenantOf(sess.key); ok {
		return name, true
	}
	return bbrcatalog.GuestTenant, route.Public
}

// identify sets the tenant for which the session's next operation runs. It returns the
// failure to report if no tenant holds the caller's key.
func (sess *session) identify(route bbrcatalog.Route) *bbrmessage.Failure {
	tenant, ok := sess.tenantOf(route)
	if !ok {
		return &bbrmessage.Failure{Class: bbrmessage.ClassUnknownKey, Text: "no tenant holds the key"}
	}
	sess.tenant = tenant
	return nil
}

// keepsTenant reports whether the key of the caller still belongs to the tenant for which the
// open transaction has begun.
func (sess *session) keepsTenant() bool {
	tenant, ok := sess.tenantOf(sess.tx.route)
	return ok && tenant == sess.tenant
}

// rejectForKey rejects a statement of a transaction whose key was taken away, and rolls the
// transaction back.
func (sess *session) rejectForKey(op bbrmessage.Operation) bbrmessage.Reply {
	sess.server.logUnknownKey(sess.tx.route)
	reply := sess.rollbackAndFail(&bbrmessage.Failure{Class: bbrmessage.ClassAborted, Text: "the key is not valid any more; the transaction is rolled back"})
	if _, isCommit := op.(bbrmessage.Commit); isCommit {
		sess.tx = nil
		reply.State = sess.transactionState()
	}
	return reply
}

// startOperation returns the route and the group of an operation that begins, or the failure
// to report: of the route, of the caller's key, or of the tenant's limit.
func (sess *session) startOperation(ctx context.Context) (bbrcatalog.Route, *bbrlink.Group, *bbrmessage.Failure) {
	route, group, failure := sess.resolveRoute()
	if failure == nil {
		failure = sess.identify(route)
	}
	if failure == nil {
		failure = sess.admit(ctx)
	}
	return route, group, failure
}

// admit counts an operation of the session's tenant, or returns the failure to report if the
// tenant has reached its limit.
func (sess *session) admit(ctx context.Context) *bbrmessage.Failure {
	if sess.server.Limiter == nil || sess.tenant == "" || sess.tenant == bbrcatalog.GuestTenant {
		return nil
	}
	ok, retryAfter := sess.server.Limiter.Admit(ctx, sess.tenant)
	if ok {
		return nil
	}
	return limitFailure(retryAfter)
}

// limitFailure returns the failure of an operation beyond the tenant's limit. Its text tells
// when to come back, in milliseconds.
func limitFailure(retryAfter time.Duration) *bbrmessage.Failure {
	return busyFailure(fmt.Sprintf("the tenant has reached its limit; retry after %d ms", max(1, retryAfter.Milliseconds())))
}

// logUnknownKey logs that a caller's key is unknown, without the key.
func (s *Server) logUnknownKey(route bbrcatalog.Route) {
	if s.Recorder != nil {
		s.Recorder.RecordStatement(route.Name, route.Policy, string(bbrmessage.ClassUnknownKey), 0)
	}
	s.Log.WithFields(logrus.Fields{"route": route.Name, "database": route.Database, "version": s.configVersion()}).Info("no tenant holds the caller's key")
}
