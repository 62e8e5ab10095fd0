package bbrsuccession

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMayClaim(t *testing.T) {
	now := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		record Record
		age    time.Duration
		want   bool
	}{
		"no failover is running":                     {record: Record{Phase: PhaseNamed, Holder: "other"}, want: true},
		"there is no record":                         {want: true},
		"another instance holds a live claim":        {record: Record{Phase: PhaseClaimed, Holder: "other"}, age: ClaimTTL, want: false},
		"the claim of another instance has expired":  {record: Record{Phase: PhaseClaimed, Holder: "other"}, age: claimTakeoverDelay + 1, want: true},
		"an earlier process of the instance claimed": {record: Record{Phase: PhaseClaimed, Holder: "me"}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(MayClaim(VersionedRecord{Record: tt.record, FirstReadAt: now.Add(-tt.age)}, "me", now), tt.want)
		})
	}
}

func TestClaimRaisesTheFence(t *testing.T) {
	is := is.New(t)
	r := Claim(VersionedRecord{Record: Record{FencingToken: 4, Primary: "m1", Term: 3, Phase: PhaseNamed, Holder: "other", Renewals: 2}}, "me", 0)
	is.Equal(r, Record{FencingToken: 5, Primary: "m1", Term: 3, Phase: PhaseClaimed, Holder: "me"})
}

func TestProves(t *testing.T) {
	tests := map[string]struct {
		record Record
		exists bool
		want   bool
	}{
		"there is no record":                       {want: true},
		"the record has the term":                  {record: Record{Phase: PhaseNamed, Primary: "m1", Term: 2}, exists: true, want: true},
		"a failover has begun":                     {record: Record{Phase: PhaseClaimed, Primary: "m1", Term: 2}, exists: true},
		"the record has a newer term":              {record: Record{Phase: PhaseNamed, Primary: "m2", Term: 3}, exists: true},
		"the primary restarted under another name": {record: Record{Phase: PhaseNamed, Primary: "m0", Term: 2}, exists: true, want: true},
		"the record has an older term":             {record: Record{Phase: PhaseNamed, Primary: "m1", Term: 1}, exists: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ConfirmsTerm(tt.record, tt.exists, 2), tt.want)
		})
	}
}

// TestFenceAfterRestore claims a record whose last value a restore may have lost: the
// token is above all that were given out in older eras.
func TestFenceAfterRestore(t *testing.T) {
	lost := Claim(VersionedRecord{Record: Record{FencingToken: 4}}, "other", 1)
	tests := map[string]struct{ current Record }{
		"the record is known":        {current: lost},
		"the record is lost":         {},
		"the copy has an older one":  {current: Record{FencingToken: lost.FencingToken - 1}},
		"another era was lost whole": {current: Claim(VersionedRecord{}, "other", 2)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Claim(VersionedRecord{Record: tt.current}, "me", 3)
			is.True(got.FencingToken > lost.FencingToken)
			is.True(got.FencingToken > tt.current.FencingToken)
		})
	}
}
