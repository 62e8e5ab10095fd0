package bbrnode

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestTurns counts the inspections of a group by many instances while the group
// needs inspection for ten seconds. The total rate is bounded, and each instance has
// inspected the group within the last 2*maxInspectInterval.
func TestTurns(t *testing.T) {
	const outage = 10 * time.Second
	tests := map[string]struct {
		instances int
		// maxPerSecond bounds the inspections per second by all instances together.
		maxPerSecond int
	}{
		"8 instances":   {instances: 8, maxPerSecond: 45},
		"60 instances":  {instances: 60, maxPerSecond: 110},
		"300 instances": {instances: 300, maxPerSecond: 240},
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
					schedules[rank].setNeedsInspection(true, now)
					if schedules[rank].isDue(rank, now) {
						schedules[rank].inspectedAt = now
						inspections++
					}
				}
				is.True(now != start || inspections-before == min(tt.instances, ranksPerStep)) // only the first-ranked instances inspect the group at once
			}
			for _, s := range schedules {
				is.True(s.inspectedAt >= start.Add(outage-2*maxInspectInterval)) // every instance still inspects the group
			}
			is.True(inspections <= tt.maxPerSecond*int(outage/time.Second))
		})
	}
}
