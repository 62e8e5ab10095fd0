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
			is.Equal(MayClaim(VersionedRecord{Record: tt.record, FirstReadAt: now.Add(-tt.age)}, "me", StoreEra{}, now), tt.want)
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
			is.Equal(ConfirmsTerm(VersionedRecord{Record: tt.record, Exists: tt.exists}, 0, 2, 0), tt.want)
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

// TestClaimAfterRestore starts a failover when a restore may have lost another
// instance's claim, which is still valid for ClaimTTL.
func TestClaimAfterRestore(t *testing.T) {
	now := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		record Record
		// sinceEra is how long ago the instance first saw the store's era.
		sinceEra time.Duration
		want     bool
	}{
		"the record is lost":                         {sinceEra: ClaimTTL},
		"the copy has an older record":               {record: Record{Phase: PhaseNamed, Era: 1}, sinceEra: ClaimTTL},
		"the copy has an own claim":                  {record: Record{Phase: PhaseClaimed, Holder: "me", Era: 1}, sinceEra: ClaimTTL},
		"all claims of the older era have expired":   {record: Record{Phase: PhaseNamed, Era: 1}, sinceEra: claimTakeoverDelay + 1, want: true},
		"the record is confirmed in the store's era": {record: Record{Phase: PhaseNamed, Era: 2}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			era := StoreEra{Era: 2, Since: now.Add(-tt.sinceEra)}
			is.Equal(MayClaim(VersionedRecord{Record: tt.record}, "me", era, now), tt.want)
		})
	}
}

// TestRecordProvesNothingAfterRestore reads a record that a restore of the store may have
// put back: the primary that it names, or its absence, proves nothing.
func TestRecordProvesNothingAfterRestore(t *testing.T) {
	tests := map[string]struct {
		known VersionedRecord
		want  bool
	}{
		"the record is lost":              {},
		"the copy has an older record":    {known: VersionedRecord{Record: Record{Phase: PhaseNamed, Term: 2, Era: 1}, Exists: true}},
		"the record was confirmed since":  {known: VersionedRecord{Record: Record{Phase: PhaseNamed, Term: 2, Era: 2}, Exists: true}, want: true},
		"it was confirmed, then claimed":  {known: VersionedRecord{Record: Record{Phase: PhaseClaimed, Term: 2, Era: 2}, Exists: true}},
		"it was confirmed in a later era": {known: VersionedRecord{Record: Record{Phase: PhaseNamed, Term: 2, Era: 3}, Exists: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ConfirmsTerm(tt.known, 2, 2, 0), tt.want)
		})
	}
}

// TestConfirmWaitsForLostClaims checks from when on a proof of the primary is good enough:
// an instance whose claim the restore lost may still reach its barrier until the claim
// expires.
func TestConfirmWaitsForLostClaims(t *testing.T) {
	seen := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		known VersionedRecord
		want  bbrtype.Mono
	}{
		"the record is lost":            {want: seen.Add(claimTakeoverDelay)},
		"a late write came after it":    {known: VersionedRecord{FirstReadAt: seen.Add(time.Second)}, want: seen.Add(time.Second + claimTakeoverDelay)},
		"the record was read before it": {known: VersionedRecord{FirstReadAt: seen.Add(-time.Second)}, want: seen.Add(claimTakeoverDelay)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ConfirmableFrom(tt.known, StoreEra{Era: 2, Since: seen}), tt.want)
		})
	}
	is := is.New(t)
	r := Confirm(VersionedRecord{Record: Record{Phase: PhaseClaimed, FencingToken: 7, Holder: "other", Renewals: 3}}, "m1", 4, 2)
	is.Equal(r, Record{Phase: PhaseNamed, FencingToken: 7, Holder: "other", Primary: "m1", Term: 4, Era: 2})
}
