package bbrproxy

import (
	"context"
	"time"

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

// errReplaced tells that the statement's member is not the primary any more.
var errReplaced = errors.New("the member was replaced as the primary")

const (
	// answerOnItsWay is the wait before a second look at a connection whose
	// statement the member does not run.
	answerOnItsWay = 200 * time.Millisecond
	// maxSlowPause bounds the wait between two looks at a slow statement.
	maxSlowPause = time.Minute
)

// silentWatch decides, when a statement's connection has been silent for the
// patience, whether the member is slow or the connection is dead.
type silentWatch struct {
	c      *session
	group  *bbrgroup.Group
	pool   *bbrpool.Pool
	conn   *bbrpool.Conn
	member bbrtype.MemberName
	// wasPrimary is set if the member was the primary when the statement was
	// sent.
	wasPrimary bool
	slow       time.Duration
	// idle counts how often the member said that it does not run the
	// statement.
	idle int
}

// check decides about the connection. It returns an error if the connection is
// of no use any more. Otherwise it returns how long to wait before the next
// look: shortly, where an answer may be on its way.
func (w *silentWatch) check() (time.Duration, error) {
	c := w.c
	if w.isReplaced() {
		return 0, errReplaced
	}
	ctx, cancel := context.WithTimeout(c.srv.ctx, c.srv.opts.AnswerPatience)
	defer cancel()
	active, err := w.pool.IsActive(ctx, w.conn)
	var refused *bbrpool.MemberError
	switch {
	case errors.As(err, &refused):
		// The member lives and has no room for a look.
		return c.srv.opts.AnswerPatience, nil
	case err != nil:
		return 0, errors.Wrap(err, "the member is silent")
	case active:
		// A slow statement is looked at less and less often.
		w.idle = 0
		w.slow = min(max(2*w.slow, c.srv.opts.AnswerPatience), maxSlowPause)
		return w.slow, nil
	}
	if w.idle++; w.idle < silentChecks {
		return answerOnItsWay, nil
	}
	w.group.SuspectConnections()
	w.pool.Reap(w.conn.PID)
	c.srv.deps.Metrics.Silent(w.group.Name, w.member)
	c.log().WithField("member", w.member).Warn("silent connection closed")
	return 0, errSilent
}

// isReplaced reports whether the member was the primary when the statement was
// sent and another one is now.
func (w *silentWatch) isReplaced() bool {
	g := w.c.srv.deps.Registry.View().Group(w.group.Name)
	if g == nil {
		return false
	}
	l, ok := g.LastPrimary()
	return ok && w.wasPrimary && l.Member != w.member
}
