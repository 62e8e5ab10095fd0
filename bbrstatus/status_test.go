package bbrstatus

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

func TestJudge(t *testing.T) {
	serving := Input{HasAuthority: true, HasPrimary: true, Primary: bbrfailover.ReachabilityResponding, Replicas: 2, Members: 3}
	cases := map[string]struct {
		change  func(in *Input)
		verdict Verdict
		cause   Cause
	}{
		"serving":                  {func(*Input) {}, VerdictOK, CauseServing},
		"no replica":               {func(in *Input) { in.Replicas = 0 }, VerdictOK, CauseNoReplica},
		"change of primary":        {func(in *Input) { in.HasPrimary = false }, VerdictWait, CauseChangeOfPrimary},
		"no authority":             {func(in *Input) { in.HasAuthority = false }, VerdictWait, CauseNoAuthority},
		"primary failing":          {func(in *Input) { in.Primary = bbrfailover.ReachabilityFailing }, VerdictWait, CausePrimaryFailing},
		"down for long":            {func(in *Input) { in.HasPrimary = false; in.DownFor = 14 * time.Second }, VerdictAlarm, CauseOverdue},
		"turned away lately":       {func(in *Input) { in.TurnedAway = 3 }, VerdictRetry, CauseTurnedAway},
		"an unknown outcome":       {func(in *Input) { in.TurnedAway = 3; in.Unknown = 1 }, VerdictWait, CauseUnknownOutcome},
		"a possible loss":          {func(in *Input) { in.LossAgo = time.Minute }, VerdictAlarm, CausePossibleLoss},
		"a possible loss long ago": {func(in *Input) { in.LossAgo = time.Hour }, VerdictOK, CauseServing},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			in := serving
			c.change(&in)
			verdict, cause := Judge(in)
			is.Equal(verdict, c.verdict)
			is.Equal(cause, c.cause)
		})
	}
}

// TestVerdictsAreTruthful checks the two rules that scripts rely on.
func TestVerdictsAreTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Input{
			HasAuthority: rapid.Bool().Draw(t, "authority"), HasPrimary: rapid.Bool().Draw(t, "primary"),
			Primary: rapid.SampledFrom([]bbrfailover.Reachability{bbrfailover.ReachabilityUnknown, bbrfailover.ReachabilityResponding, bbrfailover.ReachabilityFailing}).Draw(t, "opinion"),
			Unknown: rapid.IntRange(0, 2).Draw(t, "unknown"), TurnedAway: rapid.IntRange(0, 2).Draw(t, "turnedAway"),
			DownFor: time.Duration(rapid.IntRange(0, 20).Draw(t, "down")) * time.Second,
			LossAgo: time.Duration(rapid.IntRange(0, 2000).Draw(t, "loss")) * time.Second, Members: 3, Replicas: rapid.IntRange(0, 2).Draw(t, "replicas"),
		}
		verdict, _ := Judge(in)
		if verdict == VerdictOK && !in.HasAuthority {
			t.Fatal("ok without authority")
		}
		if verdict == VerdictRetry && in.Unknown > 0 {
			t.Fatal("retry although a first try may have run")
		}
	})
}

func TestText(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	is.NoErr(WriteText(&b, &Report{Instance: "i1", Version: 7, ViewAgeMs: 210, Groups: []Group{
		{Name: "billing", Verdict: VerdictOK, Cause: CauseServing, Primary: "m1", Term: 3, Replicas: 2},
		{Name: "orders", Verdict: VerdictWait, Cause: CauseChangeOfPrimary, Term: 4, Unknown: 1, TurnedAway: 2},
	}}))
	is.Equal(b.String(), `bluebellroute-status 1 instance=i1 version=7 viewAgeMs=210
group=billing verdict=ok cause=serving primary=m1 term=3 replicas=2 unknown=0 turnedAway=0
group=orders verdict=wait cause=changeOfPrimary primary=none term=4 replicas=0 unknown=1 turnedAway=2
`)
}
