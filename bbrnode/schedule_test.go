package bbrnode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestTurns counts the inspections of a group by many instances while its primary is
// unhealthy for ten seconds. The total rate is bounded, and each instance still
// inspects the group at least every two intervals.
func TestTurns(t *testing.T) {
	const outage = 10 * time.Second
	tests := map[string]struct {
		instances int
		// maxPerSecond bounds the inspections per second by all instances together.
		maxPerSecond int
	}{
		"8":   {instances: 8, maxPerSecond: 45},
		"60":  {instances: 60, maxPerSecond: 110},
		"300": {instances: 300, maxPerSecond: 240},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			schedules := make([]inspectionSchedule, tt.instances)
			inspections := 0
			start := bbrtype.Mono(time.Hour)
			for now := start; now < start.Add(outage); now = now.Add(maintainInterval) {
				before := inspections
				for rank := range schedules {
					schedules[rank].setUnhealthy(true, now)
					if schedules[rank].isDue(rank, now) {
						schedules[rank].inspectedAt = now
						inspections++
					}
				}
				is.True(now != start || inspections-before == min(tt.instances, ranksPerStep)) // only a few inspect the group at first
			}
			for _, s := range schedules {
				is.True(s.inspectedAt >= start.Add(outage-2*maxInspectInterval)) // every instance still inspects the group
			}
			is.True(inspections <= tt.maxPerSecond*int(outage/time.Second))
		})
	}
}
