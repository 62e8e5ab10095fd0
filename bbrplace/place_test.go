package bbrplace

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

const start = bbrtype.Mono(time.Hour)

func place(n uint64) bbrmessage.Place { return bbrmessage.Place{Term: 1, Number: n} }

func threeMembers() *Board {
	b := &Board{}
	b.SetMember(Member{ID: "p", Primary: true, Near: true, Limit: 2})
	b.SetMember(Member{ID: "r1", Near: true, Limit: 2})
	b.SetMember(Member{ID: "r2", Limit: 2})
	return b
}

// ask returns the member that a statement gets at once, empty if it waits.
func ask(b *Board, w Want, now bbrtype.Mono) bbrtype.MemberName {
	var got bbrtype.MemberName
	waiter := &Waiter{Want: w, Granted: func(id bbrtype.MemberName) { got = id }}
	b.Ask(waiter, now)
	b.Remove(waiter)
	return got
}

func TestPlacement(t *testing.T) {
	tests := map[string]struct {
		prepare func(*Board)
		want    Want
		member  bbrtype.MemberName
	}{
		"a connection that is open saves another": {prepare: func(b *Board) { b.SetOpen("r2", 1) }, member: "r2"},
		"a read goes to the replica nearby":       {want: Want{}, member: "r1"},
		"what only the primary can do":            {want: Want{PrimaryOnly: true}, member: "p"},
		"the one nearby is busy":                  {prepare: func(b *Board) { ask(b, Want{Only: "r1"}, start) }, member: "r2"},
		"a replica that lags is left out": {prepare: func(b *Board) {
			b.Refused("r1", place(9), start)
		}, want: Want{Floor: place(9)}, member: "r2"},
		"a replica that lags serves what it has": {prepare: func(b *Board) {
			b.Refused("r1", place(9), start)
		}, want: Want{Floor: place(8)}, member: "r1"},
		"an answer after a refusal": {prepare: func(b *Board) {
			b.Refused("r1", place(9), start)
			b.Answered("r1", time.Millisecond, place(7), start)
		}, want: Want{Floor: place(9)}, member: "r2"},
		"a replica that caught up": {prepare: func(b *Board) {
			b.Refused("r1", place(9), start)
			b.Answered("r1", time.Millisecond, place(9), start)
		}, want: Want{Floor: place(9)}, member: "r1"},
		"both replicas lag": {prepare: func(b *Board) {
			b.Refused("r1", place(9), start)
			b.Refused("r2", place(9), start)
		}, want: Want{Floor: place(9)}, member: "p"},
		"one that leaves takes nothing new": {prepare: func(b *Board) {
			b.SetMember(Member{ID: "r1", Near: true, Leaving: true, Limit: 2})
		}, member: "r2"},
		"a full member is used as far as it took connections": {prepare: func(b *Board) {
			ask(b, Want{Only: "r1"}, start)
			b.Full("r1", 1, start)
		}, member: "r2"},
		"one that did not answer rests": {prepare: func(b *Board) { b.Failed("r1", start) }, member: "r2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := threeMembers()
			if tt.prepare != nil {
				tt.prepare(b)
			}
			is.Equal(ask(b, tt.want, start), tt.member)
		})
	}
}

func TestRefusalsAreAskedRarer(t *testing.T) {
	is := is.New(t)
	b := threeMembers()
	b.Refused("r1", place(9), start)
	now := start.Add(laggingPause + 1)
	is.Equal(ask(b, Want{Floor: place(9), Avoid: []bbrtype.MemberName{"r2"}}, now), bbrtype.MemberName("r1"))
	b.Refused("r1", place(9), now)
	now = now.Add(laggingPause + 1)
	is.Equal(ask(b, Want{Floor: place(9), Avoid: []bbrtype.MemberName{"r2"}}, now), bbrtype.MemberName("p"))
}

func TestPatienceFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	b := threeMembers()
	is.Equal(b.Patience("p"), leastPatience)
	is.Equal(b.Patience("unknown"), leastPatience)
	for range 100 {
		b.Answered("p", 200*time.Millisecond, place(1), start)
	}
	is.True(b.Patience("p") > 4*leastPatience)
	is.Equal(b.Patience("r1"), leastPatience)
}

// TestBoard checks that limits hold, that nobody waits while there is room, and
// that priorities go first, whatever happens.
func TestBoard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := threeMembers()
		now := start
		inUse := map[bbrtype.MemberName]int{}
		var at []bbrtype.MemberName
		waiting := map[*Waiter]bool{}
		grant := func(w *Waiter) func(bbrtype.MemberName) {
			return func(id bbrtype.MemberName) {
				inUse[id]++
				at = append(at, id)
				delete(waiting, w)
				for o := range waiting {
					if o.Priority < w.Priority && o.PrimaryOnly == w.PrimaryOnly {
						t.Fatalf("priority %d went before %d", w.Priority, o.Priority)
					}
				}
				if inUse[id] > 2 {
					t.Fatalf("%d statements at %s", inUse[id], id)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				w := &Waiter{Want: Want{PrimaryOnly: rapid.Bool().Draw(t, "primary"), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}}
				w.Granted = grant(w)
				waiting[w] = true
				b.Ask(w, now)
			case 1:
				if len(at) > 0 {
					i := rapid.IntRange(0, len(at)-1).Draw(t, "which")
					id := at[i]
					at = append(at[:i], at[i+1:]...)
					inUse[id]--
					b.Release(id, now)
				}
			case 2:
				for w := range waiting {
					if !b.Remove(w) {
						t.Fatal("a waiter is not in the queue")
					}
					delete(waiting, w)
					break
				}
			}
			if b.Waiting() != len(waiting) {
				t.Fatalf("%d wait, not %d", b.Waiting(), len(waiting))
			}
			for w := range waiting {
				if inUse["p"] < 2 || !w.PrimaryOnly && (inUse["r1"] < 2 || inUse["r2"] < 2) {
					t.Fatal("a statement waits while there is room")
				}
			}
		}
	})
}
