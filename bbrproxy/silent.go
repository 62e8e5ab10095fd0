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

// silentCheck returns a function that decides, when a statement's connection
// has been silent for the patience, whether the member is slow or the
// connection is dead. It asks the member over a new connection.
func (c *session) silentCheck(g *bbrgroup.Group, pool *bbrpool.Pool, conn *bbrpool.Conn, m bbrtype.MemberName) func() error {
	idle := 0
	dialer := &bbrpool.Dialer{Clock: c.srv.deps.Clock}
	return func() error {
		ctx, cancel := context.WithTimeout(c.srv.ctx, c.srv.opts.AnswerPatience)
		defer cancel()
		probe, err := dialer.Dial(ctx, pool.Endpoint())
		var refused *bbrpool.MemberError
		if errors.As(err, &refused) {
			// The member lives and has no room for a look.
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "the member is silent")
		}
		defer probe.Close()
		rows, err := probe.Query(ctx, activitySQL+strconv.FormatUint(uint64(conn.PID), 10))
		if err != nil {
			return nil
		}
		if len(rows) == 1 && strings.HasPrefix(rows[0][0], "active") {
			idle = 0
			return nil
		}
		if idle++; idle < silentChecks {
			return nil
		}
		pool.Suspect()
		c.srv.deps.Metrics.Silent(g.Name, m)
		c.log().WithField("member", m).Warn("silent connection closed")
		return errSilent
	}
}
