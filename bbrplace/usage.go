package bbrplace

// usageSmoothing is the smoothing factor of what this instance usually has in flight at a
// member.
const usageSmoothing = 0.05

// usage is what this instance usually has in flight at a member, from which it estimates
// what each other instance has there.
type usage struct {
	// inFlight is the moving average of the number of statements.
	inFlight float64
	// pinned is the moving average of the fraction that no other member can run.
	pinned float64
}

// pinnedInFlight returns the number of statements that no other member can run.
func (u *usage) pinnedInFlight() float64 { return u.inFlight * u.pinned }

// sampleUsage updates what this instance usually has in flight, at each statement.
func (s *Scheduler) sampleUsage() {
	if !s.isShared() {
		return
	}
	for _, m := range s.members {
		m.usage.inFlight += usageSmoothing * (float64(m.inFlight) - m.usage.inFlight)
	}
}

// recordKind records whether a statement that was granted the member could have run at
// another one.
func (u *usage) recordKind(r *Requirements) {
	pinned := 0.0
	if r.PrimaryOnly || r.OnlyMember != "" {
		pinned = 1
	}
	u.pinned += usageSmoothing * (pinned - u.pinned)
}
