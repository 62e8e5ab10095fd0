package bbrnode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestTurns counts the looks of many instances during a trouble of ten seconds.
func TestTurns(t *testing.T) {
	const trouble = 10 * time.Second
	tests := map[string]struct {
		instances int
		// most is the largest number of looks a second of all instances together.
		most int
	}{
		"8":   {instances: 8, most: 45},
		"60":  {instances: 60, most: 110},
		"300": {instances: 300, most: 240},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			turns := make([]turn, tt.instances)
			looks := 0
			start := bbrtype.Mono(time.Hour)
			for now := start; now < start.Add(trouble); now = now.Add(keepEvery) {
				before := looks
				for rank := range turns {
					turns[rank].note(true, now)
					if turns[rank].isDue(rank, now) {
						turns[rank].lookedAt = now
						looks++
					}
				}
				is.True(now != start || looks-before == min(tt.instances, firstRanks)) // few look at once
			}
			for _, x := range turns {
				is.True(x.lookedAt >= start.Add(trouble-2*longestTurn)) // each one looks
			}
			is.True(looks <= tt.most*int(trouble/time.Second))
		})
	}
}
