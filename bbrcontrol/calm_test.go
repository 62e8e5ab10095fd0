package bbrcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

var primaryRef = bbrmember.Ref{Group: "g", Member: "m1"}

// calmSteward returns a steward that hears everybody and has nothing to do.
func calmSteward(t *testing.T) (*Control, bbrtype.Mono) {
	t.Helper()
	c, now := steward(t)
	// What the start made it suspect is forgotten by then.
	now = now.Add(time.Minute)
	c.Step(now, HeadRead{SentAt: now, After: c.State().Applied})
	for _, id := range []bbrtype.InstanceID{"b", "c"} {
		hear(c, now, id, c.State().Applied)
	}
	for member, primary := range map[bbrtype.MemberName]bool{"m1": true, "m2": false} {
		ref := bbrmember.Ref{Group: "g", Member: member}
		c.Step(now, MemberAnswered{Ref: ref, SentAt: now, State: &bbrmember.State{Primary: primary, History: 1}, Probed: true})
	}
	c.Step(now, Tick{})
	return c, now
}

func TestWhatEndsACalmTime(t *testing.T) {
	cases := map[string]func(c *Control, now bbrtype.Mono) bbrtype.Mono{
		"a suspected member": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			c.Step(now, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureRefused})
			return now
		},
		"a peer that reports a failing primary": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			hear(c, now, "b", c.State().Applied, Report{Ref: primaryRef, Opinion: bbrfailover.OpinionFailing})
			return now
		},
		"a silent peer": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			later := now.Add(2 * c.opts.Silence)
			c.Step(later, HeadRead{SentAt: later, After: c.State().Applied})
			hear(c, later, "b", c.State().Applied)
			return later
		},
		"a peer that lags": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			apply(c, now, record(c, "b", "y", bbrjournal.StewardsNamed{Stewards: []bbrtype.InstanceID{"a"}}))
			return now
		},
		"a store that does not answer": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			later := now.Add(c.opts.Authority.Duration)
			hear(c, later, "b", c.State().Applied)
			hear(c, later, "c", c.State().Applied)
			return later
		},
		"a configuration to enter": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			c.Step(now, ConfigureRequested{ID: "r", Entry: bbrjournal.Configured{Version: 2}})
			return now
		},
		"a planned stop": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			c.Step(now, LeaveRequested{})
			return now
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := calmSteward(t)
			is.True(c.isCalm(now))
			is.True(!c.isCalm(disturb(c, now)))
		})
	}
}

// In calm times a report may be as old as the pause between two messages. It must
// not hold a change of primary back once this instance finds the primary failing.
func TestAnOldReportDoesNotHoldBackAChange(t *testing.T) {
	is := is.New(t)
	c, now := calmSteward(t)
	answering := Report{Ref: primaryRef, Opinion: bbrfailover.OpinionAnswering}
	hear(c, now, "b", c.State().Applied, answering)
	hear(c, now, "c", c.State().Applied, answering)
	later := now.Add(c.opts.Fresh + c.opts.CalmInterval/2)
	c.Step(later, HeadRead{SentAt: later, After: c.State().Applied})
	is.Equal(len(c.othersOf(later, primaryRef)), 2) // calm: the reports count
	c.Step(later, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureRefused})
	is.Equal(len(c.othersOf(later, primaryRef)), 0)
}

func TestACalmRequestKeepsTheReports(t *testing.T) {
	is := is.New(t)
	c, now := calmSteward(t)
	hear(c, now, "b", c.State().Applied, Report{Ref: primaryRef, Opinion: bbrfailover.OpinionAnswering})
	c.HandleExchange(now, Message{From: bbrjournal.Instance{ID: "b"}, Applied: c.State().Applied, Calm: true})
	is.Equal(len(c.othersOf(now, primaryRef)), 1)
}

func TestCalmIntervalFollowsTheLeastAge(t *testing.T) {
	cases := map[string]struct{ age, want time.Duration }{
		"no policy":  {0, time.Second},
		"old data":   {time.Minute, time.Second},
		"4 s":        {4 * time.Second, 500 * time.Millisecond},
		"fresh data": {500 * time.Millisecond, 250 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := calmSteward(t)
			c.Step(now, PoliciesChanged{LeastAge: tc.age})
			is.Equal(c.calmInterval(), tc.want)
		})
	}
}

// The probers of a primary need not be stewards: whoever fails first tells all.
func TestAFailureIsToldBeforeItCountsAsOne(t *testing.T) {
	is := is.New(t)
	c, now := calmSteward(t)
	apply(c, now, record(c, "a", "y", bbrjournal.StewardsNamed{Stewards: []bbrtype.InstanceID{"b"}}))
	c.Step(now, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureSilent, SentAt: now})
	reply, _ := c.HandleExchange(now, Message{From: bbrjournal.Instance{ID: "b"}, Applied: c.State().Applied})
	is.Equal(reply.Suspects, []bbrmember.Ref{primaryRef})
	later := now.Add(2 * c.opts.Silence)
	c.Step(later, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureSilent, SentAt: now})
	reply, _ = c.HandleExchange(later, Message{From: bbrjournal.Instance{ID: "b"}, Applied: c.State().Applied})
	is.Equal(len(reply.Suspects), 0) // alone for long: its own trouble
}

// With many members in use, what traffic shows would fill the messages.
func TestCalmReportsLeaveTrafficOut(t *testing.T) {
	is := is.New(t)
	c, now := calmSteward(t)
	c.opts.ProbersPerMember, c.probedAt = 0, 0
	c.Step(now, Tick{})
	is.Equal(len(c.reports(now)), 0)
	c.Step(now, MemberFailed{Ref: bbrmember.Ref{Group: "g", Member: "m2"}, Kind: bbrmember.FailureRefused})
	c.suspect(now, primaryRef)
	is.Equal(len(c.reports(now)), 1) // something goes on: the primary answers, by traffic
}
