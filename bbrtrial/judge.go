package bbrtrial

import (
	"fmt"
	"sort"
	"time"

	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Result is what a workload and the members' logs show.
type Result struct {
	Statements             int64            `json:"statements"`
	AcknowledgedWrites     int              `json:"acknowledgedWrites"`
	LostAcknowledgedWrites int              `json:"lostAcknowledgedWrites"`
	StaleReads             int64            `json:"staleReads"`
	DoubleRuns             int              `json:"doubleRuns"`
	FalseNotRuns           int              `json:"falseNotRuns"`
	UnknownOutcomes        int              `json:"unknownOutcomes"`
	LostPositionsTold      int64            `json:"lostPositionsTold"`
	ReplicaReadShare       float64          `json:"replicaReadShare"`
	FailoverGapMs          int64            `json:"failoverGapMs"`
	PeakConnections        int              `json:"peakConnections"`
	Failures               map[string]int   `json:"failures,omitempty"`
	LatencyUs              map[string]int64 `json:"latencyUs,omitempty"`
	Examples               []string         `json:"examples,omitempty"`
}

// Broken returns the number of broken promises.
func (r *Result) Broken() int {
	return r.LostAcknowledgedWrites + int(r.StaleReads) + r.DoubleRuns + r.FalseNotRuns
}

// example keeps an example of what went wrong.
func (r *Result) example(format string, args ...any) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// quantiles of the latency that are reported.
var quantiles = []float64{50, 99, 99.9}

// Judge compares what callers were told with the surviving history: the log of
// each group's present primary.
func (w *Workload) Judge() *Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{
		Statements: w.statements.Load(), StaleReads: w.stale.Load(), LostPositionsTold: w.lostTokens.Load(),
		Failures: w.failures, LatencyUs: map[string]int64{}, Examples: w.examples,
	}
	runs := w.f.runs()
	for _, a := range w.attempts {
		n := runs[a.group][a.id]
		switch {
		case a.outcome == bbroutcome.Done:
			r.AcknowledgedWrites++
			if n == 0 {
				r.LostAcknowledgedWrites++
				r.example("write %d was acknowledged and is lost", a.id)
			}
		case a.outcome == bbroutcome.NotRun && n > 0:
			r.FalseNotRuns++
			r.example("write %d was said not to have run and has", a.id)
		case a.outcome == bbroutcome.Unknown:
			r.UnknownOutcomes++
		}
		if n > 1 {
			r.DoubleRuns++
			r.example("write %d ran %d times", a.id, n)
		}
	}
	r.ReplicaReadShare = w.f.ReplicaShare()
	r.PeakConnections = w.f.PeakConnections()
	for op, h := range w.latency {
		if h.TotalCount() == 0 {
			continue
		}
		for _, q := range quantiles {
			r.LatencyUs[fmt.Sprintf("%s.p%v", op, q)] = h.ValueAtQuantile(q)
		}
	}
	return r
}

// runs counts how often each write is in the surviving history of its group.
func (f *Fleet) runs() map[bbrtype.GroupName]map[int64]int {
	out := map[bbrtype.GroupName]map[int64]int{}
	for _, g := range f.Shape.Groups {
		out[g] = map[int64]int{}
		for _, e := range f.Primary(g).DB.Log() {
			for _, c := range e.Changes {
				if c.Table != "payments" || len(c.Values) == 0 {
					continue
				}
				if id, ok := c.Values[0].(int64); ok {
					out[g][id]++
				}
			}
		}
	}
	return out
}

// ReplicaShare returns the part of reads that replicas have served so far, as
// the members counted them.
func (f *Fleet) ReplicaShare() float64 {
	primary, replica := f.Reads()
	if primary+replica == 0 {
		return 0
	}
	return float64(replica) / float64(primary+replica)
}

// Reads returns how many reads the members have served as primaries and as
// replicas.
func (f *Fleet) Reads() (primary, replica int64) {
	for _, g := range f.Members {
		for _, m := range g {
			p, r := m.DB.Reads()
			primary += p
			replica += r
		}
	}
	return primary, replica
}

// PeakConnections returns the highest number of connections to any member.
func (f *Fleet) PeakConnections() int {
	peak := 0
	for _, g := range f.Members {
		for _, m := range g {
			peak = max(peak, m.Server.PeakConnections())
		}
	}
	return peak
}

// Gap returns the longest time, at or after a moment, in which no write of a
// group was acknowledged.
func (w *Workload) Gap(g bbrtype.GroupName, from time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var acks []time.Time
	for _, a := range w.attempts {
		if a.group == g && a.outcome == bbroutcome.Done {
			acks = append(acks, a.ackedAt)
		}
	}
	sort.Slice(acks, func(i, j int) bool { return acks[i].Before(acks[j]) })
	longest := time.Duration(0)
	last := from
	for _, at := range acks {
		if at.Before(from) {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}
