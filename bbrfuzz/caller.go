package bbrfuzz

import (
	"fmt"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Durations of a caller's requests.
const (
	patience        = 5 * time.Second
	answerPatience  = 2 * time.Second
	confirmWait     = 2 * time.Second
	resolvePatience = 8 * time.Second
	retryPause      = 40 * time.Millisecond
	pollPause       = 15 * time.Millisecond
	callerPatience  = 30 * time.Second
)

// fakeCaller is a session that writes and reads, one request after another.
type fakeCaller struct {
	w     *World
	name  string
	group bbrtype.GroupName
	at    int

	token         bbrtoken.Token
	positionKnown bool
	seenAt        bbrtype.Mono
	// lost is set when the session is to be told that its position was lost.
	lost bool
	// retry is a keyed request that is to be sent again.
	retry *request
}

// request is one write of a caller.
type request struct {
	id     int
	group  bbrtype.GroupName
	caller *fakeCaller
	key    string
}

func (w *World) addCaller(n int) {
	names := make([]bbrtype.GroupName, 0, len(w.groups))
	for i := range len(w.groups) {
		names = append(names, bbrtype.GroupName(fmt.Sprintf("g%d", i+1)))
	}
	c := &fakeCaller{w: w, name: fmt.Sprintf("c%d", n+1), group: names[n%len(names)], at: n % w.opts.Instances}
	w.callers = append(w.callers, c)
	w.after(time.Duration(w.r.Int64N(int64(time.Second))), c.next)
}

// next begins the caller's next request.
func (c *fakeCaller) next() {
	c.w.after(time.Duration(c.w.r.Int64N(int64(2*callerThink))), func() {
		n := c.w.nodes[c.at]
		if !n.up || n.leaving || c.w.r.IntN(25) == 0 {
			c.move()
			n = c.w.nodes[c.at]
		}
		if !n.up || n.leaving {
			c.next()
			return
		}
		op := &operation{c: c, w: c.w, n: n, incarnation: n.incarnation}
		n.run(n.incarnation, func() {
			op.startedAt = n.clock()
			op.start()
		})
		// Now and then a caller hangs up before its answer comes.
		limit := callerPatience
		if c.w.r.IntN(20) == 0 {
			limit = time.Duration(c.w.r.Int64N(int64(patience)))
		}
		c.w.after(limit, op.giveUp)
	})
}

// move takes the session to another instance, with its token or without.
func (c *fakeCaller) move() {
	c.at = c.w.r.IntN(len(c.w.nodes))
	if c.w.r.IntN(2) == 0 {
		c.token, c.positionKnown = bbrtoken.Token{}, false
		c.w.oracle.movedWithoutToken(c)
	}
	c.seenAt = 0
}
