package bbrproxy

import (
	"context"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrgroup"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// errSilent tells that a connection is dead although the member answers others.
var errSilent = errors.New("the connection went silent: the member does not run its statement")

// silentChecks is how often the member must say that it does not run the
// statement, so that an answer on its way is not taken for a silence.
const silentChecks = 2

// activitySQL asks a member what a connection does.
const activitySQL = "SELECT state FROM pg_stat_activity WHERE pid = "

// silentWatch decides, when a statement's connection has been silent for the
// patience, whether the member is slow or the connection is dead.
type silentWatch struct {
	c      *session
	group  *bbrgroup.Group
	pool   *bbrpool.Pool
	conn   *bbrpool.Conn
	member bbrtype.MemberName
	// idle counts how often the member said that it does not run the
	// statement.
	idle int
}

// check asks the member over a new connection. It returns an error if the
// connection is dead.
func (w *silentWatch) check() error {
	c := w.c
	dialer := &bbrpool.Dialer{Clock: c.srv.deps.Clock}
	ctx, cancel := context.WithTimeout(c.srv.ctx, c.srv.opts.AnswerPatience)
	defer cancel()
	probe, err := dialer.Dial(ctx, w.pool.Endpoint())
	var refused *bbrpool.MemberError
	if errors.As(err, &refused) {
		// The member lives and has no room for a look.
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "the member is silent")
	}
	defer probe.Close()
	rows, err := probe.Query(ctx, activitySQL+strconv.FormatUint(uint64(w.conn.PID), 10))
	if err != nil {
		return nil
	}
	if len(rows) == 1 && strings.HasPrefix(rows[0][0], "active") {
		w.idle = 0
		return nil
	}
	if w.idle++; w.idle < silentChecks {
		return nil
	}
	w.pool.Suspect()
	c.srv.deps.Metrics.Silent(w.group.Name, w.member)
	c.log().WithField("member", w.member).Warn("silent connection closed")
	return errSilent
}
