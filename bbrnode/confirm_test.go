package bbrnode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestRecordsConfirmedTogether counts the writes by which many instances confirm the
// records of many groups after a restore, whose primaries become proven one by one. Each
// write wakes all instances, so the number must not grow with either.
func TestRecordsConfirmedTogether(t *testing.T) {
	tests := map[string]struct{ instances, groups int }{
		"8 instances, 3 groups":    {8, 3},
		"300 instances, 20 groups": {300, 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			schedules := make([]confirmSchedule, tt.instances)
			confirmed, writes := 0, 0
			start := bbrtype.Mono(time.Hour)
			for ms := 0; ms < 10_000; ms += 10 {
				proven := min(tt.groups, ms/100) // one more every 100 ms
				seen := confirmed                // the instances hear of a write 10 ms later
				for rank := range schedules {
					if schedules[rank].isDue(proven-seen, tt.groups-seen, rank, start.Add(time.Duration(ms)*time.Millisecond)) {
						writes++
						confirmed = proven
					}
				}
			}
			is.Equal(confirmed, tt.groups)
			is.True(writes <= 3)
		})
	}
}
