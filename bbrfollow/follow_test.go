package bbrfollow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// instances returns the ids of n instances.
func instances(n int) []bbrtype.InstanceID {
	var out []bbrtype.InstanceID
	for i := range n {
		out = append(out, bbrtype.InstanceID(fmt.Sprintf("10.0.0.%d:7440", i)))
	}
	return out
}

// without returns the ids but one.
func without(ids []bbrtype.InstanceID, id bbrtype.InstanceID) []bbrtype.InstanceID {
	var out []bbrtype.InstanceID
	for _, other := range ids {
		if other != id {
			out = append(out, other)
		}
	}
	return out
}

func TestFewInstancesFollowTheStore(t *testing.T) {
	for n := 1; n < MinInstances; n++ {
		is := is.New(t)
		ids := instances(n)
		for _, self := range ids {
			is.Equal(Choose(self, without(ids, self), &Left{}, 1), Store{})
		}
	}
}

// TestOneFollowsForAll checks that with the same list all instances choose the same
// follower, and that this one follows the store.
func TestOneFollowsForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := instances(rapid.IntRange(MinInstances, 200).Draw(t, "instances"))
		first := bbrrendezvous.Top(RankKey, ids, 1)[0]
		for _, self := range ids {
			want := Source(Follower{ID: first})
			if self == first {
				want = Store{}
			}
			if got := Choose(self, without(ids, self), &Left{}, 1); got != want {
				t.Fatalf("%s follows %v, not %v", self, got, want)
			}
		}
	})
}

// TestFollowersInTurn leaves one follower after the other, at any times: none is asked
// again before its time, no more than maxFollowers are, and then the store is.
func TestFollowersInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := instances(rapid.IntRange(MinInstances, 60).Draw(t, "instances"))
		self := rapid.SampledFrom(ids).Draw(t, "self")
		others := without(ids, self)
		var left Left
		leftAt := map[bbrtype.InstanceID]bbrtype.Mono{}
		asked := map[bbrtype.InstanceID]bool{}
		now := bbrtype.Mono(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			f, ok := Choose(self, others, &left, now).(Follower)
			if !ok {
				continue
			}
			if at, wasLeft := leftAt[f.ID]; wasLeft && now.Sub(at) < leaveTime {
				t.Fatalf("%s is asked again after %v", f.ID, now.Sub(at))
			}
			if asked[f.ID] = true; len(asked) > maxFollowers {
				t.Fatalf("%d followers are asked", len(asked))
			}
			left.Leave(f.ID, now)
			leftAt[f.ID] = now
		}
		for _, id := range ids {
			left.Leave(id, now)
		}
		if got := Choose(self, others, &left, now); got != (Store{}) {
			t.Fatalf("all are left, and %v is asked", got)
		}
	})
}

func TestJudge(t *testing.T) {
	const now = bbrtype.Mono(time.Hour)
	limits := Limits{"a": {MaxReadAge: time.Second}, "b": {MaxReadAge: 5 * time.Second, PollInterval: time.Second}}
	read := func(era bbrrows.Era, age time.Duration) TableRead {
		return TableRead{Version: bbrrows.Version{Era: era, Number: 9}, SentAt: now.Add(-age)}
	}
	tests := map[string]struct {
		reads TableReads
		want  Reason
		// left is the time that is left.
		left time.Duration
	}{
		"fresh":                       {TableReads{"a": read(2, 0), "b": read(2, 0)}, ReasonNone, limits["a"].MaxAge()},
		"as old as may be":            {TableReads{"a": read(2, 1450*time.Millisecond), "b": read(2, 6400*time.Millisecond)}, ReasonNone, 50 * time.Millisecond},
		"one table too old":           {TableReads{"a": read(2, 1550*time.Millisecond), "b": read(2, 0)}, ReasonStale, 0},
		"one table missing":           {TableReads{"a": read(2, 0)}, ReasonNotFollowing, 0},
		"nothing":                     {nil, ReasonNotFollowing, 0},
		"of before a restore":         {TableReads{"a": read(1, 0), "b": read(2, 0)}, ReasonOldEra, limits["a"].MaxAge()},
		"a newer era than is known":   {TableReads{"a": read(3, 0), "b": read(3, 0)}, ReasonNone, limits["a"].MaxAge()},
		"too old, and another era":    {TableReads{"a": read(1, time.Minute), "b": read(1, time.Minute)}, ReasonOldEra, 0},
		"one that nobody has to tell": {TableReads{"a": read(2, 0), "b": read(2, 0), "c": read(0, time.Minute)}, ReasonNone, limits["a"].MaxAge()},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Judge(limits, tt.reads, 2, now), tt.want)
			is.Equal(TimeLeft(limits, tt.reads, now), tt.left)
		})
	}
}

// TestRefresh guards against a table that counts as read though it may have changed.
func TestRefresh(t *testing.T) {
	const old, now = bbrtype.Mono(time.Second), bbrtype.Mono(time.Minute)
	tests := map[string]struct {
		known, seen bbrrows.Version
		want        bbrtype.Mono
	}{
		"nothing has changed":               {bbrrows.Version{Era: 1, Number: 7}, bbrrows.Version{Era: 1, Number: 7}, now},
		"more is known of this table":       {bbrrows.Version{Era: 1, Number: 8}, bbrrows.Version{Era: 1, Number: 7}, now},
		"something has changed":             {bbrrows.Version{Era: 1, Number: 7}, bbrrows.Version{Era: 1, Number: 8}, old},
		"the store was restored":            {bbrrows.Version{Era: 1, Number: 7}, bbrrows.Version{Era: 2, Number: 7}, old},
		"restored, and the number is lower": {bbrrows.Version{Era: 1, Number: 7}, bbrrows.Version{Era: 2, Number: 5}, old},
		"a late reply of before a restore":  {bbrrows.Version{Era: 2, Number: 7}, bbrrows.Version{Era: 1, Number: 7}, old},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reads := TableReads{"a": {Version: tt.known, SentAt: old}}
			reads.Refresh(tt.seen, now)
			is.Equal(reads["a"], TableRead{Version: tt.known, SentAt: tt.want})
			reads.Refresh(tt.known, old-1)
			is.Equal(reads["a"].SentAt, tt.want) // never older
		})
	}
}
