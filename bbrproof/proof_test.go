package bbrproof

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

func TestAuthority(t *testing.T) {
	is := is.New(t)
	var l PrimaryLease
	start := bbrtype.Mono(time.Hour)
	l.Reset(2, start)
	is.True(!l.IsProvenAt(start))

	l.AddSample(bbrmessage.LogPosition{Term: 2, Index: 5}, start)
	_, ok := l.MinPosition(start, time.Second)
	is.True(!ok) // a sample without a proof gives no position

	l.AddProof(1, start)
	is.True(!l.IsProvenAt(start)) // the proof is for another term

	l.AddProof(2, start)
	is.True(l.IsProvenAt(start.Add(LeaseDuration - 1)))
	is.True(!l.IsProvenAt(start.Add(LeaseDuration)))
	pos, ok := l.MinPosition(start.Add(time.Second), time.Second)
	is.True(ok)
	is.Equal(pos.Index, uint64(5))
	_, ok = l.MinPosition(start.Add(time.Second+1), time.Second)
	is.True(!ok) // the sample is too old

	// A late response of the old primary is ignored once the new primary is in use,
	// even if a proof for the new primary exists.
	resetAt := start.Add(2 * time.Second)
	l.Reset(3, resetAt)
	l.AddProof(3, resetAt.Add(1))
	l.AddSample(bbrmessage.LogPosition{Term: 2, Index: 6}, resetAt.Add(-1))
	_, ok = l.MinPosition(resetAt, 2*time.Second)
	is.True(!ok)
	l.AddSample(bbrmessage.LogPosition{Term: 3, Index: 7}, resetAt)
	pos, ok = l.MinPosition(resetAt, 2*time.Second)
	is.True(ok)
	is.Equal(pos.Index, uint64(7))
}

// TestFloorIsNeverTooLow replaces a primary at a random time. It guards against a
// floor that lacks a commit acknowledged before now - maxAge, and against a lease that
// is still valid after the next primary has acknowledged a commit.
func TestFloorIsNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l PrimaryLease
		now := bbrtype.Mono(time.Hour)
		l.Reset(1, now)
		number := uint64(1)
		type commit struct {
			at  bbrtype.Mono
			pos bbrmessage.LogPosition
		}
		var acked []commit
		// The first primary acknowledges commits before the barrier. The second primary
		// acknowledges commits from barrier + LeaseDuration on. These are not sampled.
		barrier := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "barrierMs")) * time.Millisecond)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				if now < barrier {
					number++
					acked = append(acked, commit{at: now, pos: bbrmessage.LogPosition{Term: 1, Index: number}})
				} else if now >= barrier.Add(LeaseDuration) {
					acked = append(acked, commit{at: now, pos: bbrmessage.LogPosition{Term: 2, Index: number + uint64(len(acked))}})
				}
			case 1:
				l.AddSample(bbrmessage.LogPosition{Term: 1, Index: number}, now)
			case 2:
				if now < barrier {
					l.AddProof(1, now)
				}
			case 3:
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ageMs")) * time.Millisecond
				minPos, ok := l.MinPosition(now, age)
				for _, c := range acked {
					if ok && c.at < now.Add(-age) && minPos.IsBefore(c.pos) {
						t.Fatalf("floor %v at %v of age %v lacks %v of %v", minPos, now, age, c.pos, c.at)
					}
				}
				for _, c := range acked {
					if l.IsProvenAt(now) && c.pos.Term == 2 && c.at <= now {
						t.Fatalf("authority at %v after a commit of the next primary at %v", now, c.at)
					}
				}
			}
		}
	})
}
