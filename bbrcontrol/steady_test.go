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

// newSteadySteward returns a steward in the steady state, with recent messages
// from all peers.
func newSteadySteward(t *testing.T) (*Control, bbrtype.Mono) {
	t.Helper()
	c, now := newSteward(t)
	// The temporary probes from the start have ended by then.
	now = now.Add(time.Minute)
	c.Step(now, JournalRead{SentAt: now, After: c.State().AppliedIndex})
	for _, id := range []bbrtype.InstanceID{"b", "c"} {
		receiveMessage(c, now, id, c.State().AppliedIndex)
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
		"a member that failed": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			c.Step(now, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureRefused})
			return now
		},
		"a peer that reports a failing primary": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			receiveMessage(c, now, "b", c.State().AppliedIndex, MemberReport{Ref: primaryRef, Reachability: bbrfailover.ReachabilityFailing})
			return now
		},
		"a silent peer": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			later := now.Add(2 * c.opts.PeerTimeout)
			c.Step(later, JournalRead{SentAt: later, After: c.State().AppliedIndex})
			receiveMessage(c, later, "b", c.State().AppliedIndex)
			return later
		},
		"a peer that has not applied a record": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			applyRecord(c, now, nextRecord(c, "b", "y", bbrjournal.StewardsNamed{Stewards: []bbrtype.InstanceID{"a"}}))
			return now
		},
		"an unavailable store": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			later := now.Add(c.opts.Authority.Duration)
			receiveMessage(c, later, "b", c.State().AppliedIndex)
			receiveMessage(c, later, "c", c.State().AppliedIndex)
			return later
		},
		"a pending configuration": func(c *Control, now bbrtype.Mono) bbrtype.Mono {
			c.Step(now, ConfigurationRequested{ID: "r", Entry: bbrjournal.Configured{Version: 2}})
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
			c, now := newSteadySteward(t)
			is.True(c.isSteady(now))
			is.True(!c.isSteady(disturb(c, now)))
		})
	}
}

// In the steady state a report may be as old as the interval between two
// messages. After a failed request to the primary, such a report is too old and
// must not delay a change of primary.
func TestAnOldReportDoesNotHoldBackAChange(t *testing.T) {
	is := is.New(t)
	c, now := newSteadySteward(t)
	answering := MemberReport{Ref: primaryRef, Reachability: bbrfailover.ReachabilityResponding}
	receiveMessage(c, now, "b", c.State().AppliedIndex, answering)
	receiveMessage(c, now, "c", c.State().AppliedIndex, answering)
	later := now.Add(c.opts.ObservationTTL + c.opts.SteadyInterval/2)
	c.Step(later, JournalRead{SentAt: later, After: c.State().AppliedIndex})
	is.Equal(len(c.peerReachabilities(later, primaryRef)), 2) // in the steady state the reports are valid
	c.Step(later, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureRefused})
	is.Equal(len(c.peerReachabilities(later, primaryRef)), 0)
}

func TestACalmRequestKeepsTheReports(t *testing.T) {
	is := is.New(t)
	c, now := newSteadySteward(t)
	receiveMessage(c, now, "b", c.State().AppliedIndex, MemberReport{Ref: primaryRef, Reachability: bbrfailover.ReachabilityResponding})
	c.HandleExchange(now, Message{From: bbrjournal.Instance{ID: "b"}, AppliedIndex: c.State().AppliedIndex, ReportsOmitted: true})
	is.Equal(len(c.peerReachabilities(now, primaryRef)), 1)
}

func TestCalmIntervalFollowsTheLeastAge(t *testing.T) {
	cases := map[string]struct{ age, want time.Duration }{
		"no read policy":                 {0, time.Second},
		"maximum age above the interval": {time.Minute, time.Second},
		"maximum age of 4 s":             {4 * time.Second, 500 * time.Millisecond},
		"maximum age of 500 ms":          {500 * time.Millisecond, 250 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, now := newSteadySteward(t)
			c.Step(now, PoliciesChanged{LowestMaxAge: tc.age})
			is.Equal(c.steadyInterval(), tc.want)
		})
	}
}

// The probers of a primary need not be stewards. An instance therefore requests
// probes from all others after its first failed request, before the member
// counts as failing. It stops requesting if no other instance confirms the
// failure.
func TestAFailureIsToldBeforeItCountsAsOne(t *testing.T) {
	is := is.New(t)
	c, now := newSteadySteward(t)
	applyRecord(c, now, nextRecord(c, "a", "y", bbrjournal.StewardsNamed{Stewards: []bbrtype.InstanceID{"b"}}))
	c.Step(now, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureNoResponse, SentAt: now})
	reply, _ := c.HandleExchange(now, Message{From: bbrjournal.Instance{ID: "b"}, AppliedIndex: c.State().AppliedIndex})
	is.Equal(reply.SuspectedMembers, []bbrmember.Ref{primaryRef})
	later := now.Add(2 * c.opts.PeerTimeout)
	c.Step(later, MemberFailed{Ref: primaryRef, Kind: bbrmember.FailureNoResponse, SentAt: now})
	reply, _ = c.HandleExchange(later, Message{From: bbrjournal.Instance{ID: "b"}, AppliedIndex: c.State().AppliedIndex})
	is.Equal(len(reply.SuspectedMembers), 0) // no other instance confirms the failure
}

// If every instance reported each member that it observes through traffic, the
// size of the messages would grow with the number of members.
func TestCalmReportsLeaveTrafficOut(t *testing.T) {
	is := is.New(t)
	c, now := newSteadySteward(t)
	c.opts.ProbersPerMember, c.assignedIndex = 0, 0
	c.Step(now, Tick{})
	is.Equal(len(c.buildReports(now)), 0)
	c.Step(now, MemberFailed{Ref: bbrmember.Ref{Group: "g", Member: "m2"}, Kind: bbrmember.FailureRefused})
	c.probeTemporarily(now, primaryRef)
	is.Equal(len(c.buildReports(now)), 1) // not in the steady state: a member observed only through traffic is reported too
}
