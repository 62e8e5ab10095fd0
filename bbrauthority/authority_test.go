package bbrauthority

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const start = bbrtype.Mono(time.Hour)

func at(d time.Duration) bbrtype.Mono { return start.Add(d) }

func TestAuthorityByReads(t *testing.T) {
	is := is.New(t)
	h := LeaseHolder{Settings: DefaultSettings()}
	is.Equal(h.ExpiresAt(nil), bbrtype.Mono(0)) // no proof yet
	h.RecordRead(at(5 * time.Second))
	h.RecordRead(at(3 * time.Second)) // the reply to an earlier read does not shorten the authority
	is.Equal(h.ExpiresAt(nil), at(5*time.Second+DefaultDuration-DefaultMargin))
}

// TestAuthorityByPromisesOfAllStewards checks that grants extend the authority only if
// every steward has given one, and that the oldest grant counts.
func TestAuthorityByPromisesOfAllStewards(t *testing.T) {
	is := is.New(t)
	stewards := []bbrtype.InstanceID{"a", "b", "c"}
	h := LeaseHolder{Settings: DefaultSettings()}
	h.RecordRead(at(0))
	h.RecordGrant("a", at(9*time.Second))
	h.RecordGrant("b", at(8*time.Second))
	is.Equal(h.ExpiresAt(stewards), at(DefaultDuration-DefaultMargin)) // the grant of c is missing
	h.RecordGrant("c", at(7*time.Second))
	is.Equal(h.ExpiresAt(stewards), at(7*time.Second+DefaultDuration-DefaultMargin)) // the oldest grant counts
	is.Equal(h.ExpiresAt([]bbrtype.InstanceID{"a", "d"}), at(DefaultDuration-DefaultMargin))
}

func TestVouch(t *testing.T) {
	valid := GrantRequest{RequesterApplied: 7, StewardApplied: 7, IsSteward: true, RequesterIsInstance: true}
	cases := map[string]struct {
		change        func(r *GrantRequest)
		heartbeatSent bool
		elapsed       time.Duration
		want          bool
	}{
		"granted":                                {func(*GrantRequest) {}, true, time.Second, true},
		"requester has applied more records":     {func(r *GrantRequest) { r.RequesterApplied = 9 }, true, time.Second, true},
		"requester lacks a record":               {func(r *GrantRequest) { r.RequesterApplied = 6 }, true, time.Second, false},
		"receiver is not a steward":              {func(r *GrantRequest) { r.IsSteward = false }, true, time.Second, false},
		"requester is not listed in the journal": {func(r *GrantRequest) { r.RequesterIsInstance = false }, true, time.Second, false},
		"result of the steward's append unknown": {func(r *GrantRequest) { r.AppendPending = true }, true, time.Second, false},
		"steward is about to append a fence":     {func(r *GrantRequest) { r.FencePending = true }, true, time.Second, false},
		"no heartbeat yet":                       {func(*GrantRequest) {}, false, time.Second, false},
		"holdover has ended":                     {func(*GrantRequest) {}, true, DefaultHoldover + time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := LeaseGranter{Settings: DefaultSettings()}
			if c.heartbeatSent {
				g.RecordHeartbeat(start)
			}
			r := valid
			c.change(&r)
			now := at(c.elapsed)
			is.Equal(g.Grant(now, r), c.want)
			is.Equal(g.GrantsExpired(now), !c.want)
			is.True(g.GrantsExpired(now.Add(DefaultDuration))) // the grant has expired
		})
	}
}

// TestFenceAfterEveryPromise runs one holder and one steward whose clocks drift
// apart. It guards against a fence that is complete while the holder still has
// authority from a grant ("promise" in the name of the test).
func TestFenceAfterEveryPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		s := DefaultSettings()
		rate := 1 + float64(rapid.IntRange(-20, 20).Draw(t, "drift"))/1000
		h, g := LeaseHolder{Settings: s}, LeaseGranter{Settings: s}
		g.RecordHeartbeat(start)
		now := time.Duration(0)
		holderClock := func(d time.Duration) bbrtype.Mono { return at(time.Duration(float64(d) * rate)) }
		expiry := func() time.Duration { // the end of the authority on the steward's clock
			return time.Duration(float64(h.ExpiresAt([]bbrtype.InstanceID{"s"}).Sub(start)) / rate)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "read") {
				h.RecordRead(holderClock(now - time.Duration(rapid.IntRange(0, 500).Draw(t, "readAgeMs"))*time.Millisecond))
				continue
			}
			requestedAt := now
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "delayMs")) * time.Millisecond
			if g.Grant(at(now), GrantRequest{IsSteward: true, RequesterIsInstance: true}) {
				h.RecordGrant("s", holderClock(requestedAt))
			}
		}
		for !g.GrantsExpired(at(now)) {
			now += 10 * time.Millisecond
		}
		// The fence is appended now and is complete after the duration. The holder
		// does not read the journal again.
		is.True(expiry() <= now+s.Duration)
	})
}
