package bbrtrial

import (
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

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
func (w *Workload) Judge() (*Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &Result{
		Statements: w.statements.Load(), StaleReads: w.stale.Load(), LostPositionsTold: w.lostTokens.Load(),
		Failures: w.failures, LatencyUs: map[string]int64{}, Examples: w.examples,
	}
	runs, err := w.runs()
	if err != nil {
		return nil, err
	}
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
	r.ReplicaReadShare = replicaShare(w.s.Reads())
	r.PeakConnections = w.s.PeakConnections()
	for op, h := range w.latency {
		if h.TotalCount() == 0 {
			continue
		}
		for _, q := range quantiles {
			r.LatencyUs[fmt.Sprintf("%s.p%v", op, q)] = h.ValueAtQuantile(q)
		}
	}
	return r, nil
}

// runs counts how often each write is in the surviving history of its group.
func (w *Workload) runs() (map[bbrtype.GroupName]map[int64]int, error) {
	out := map[bbrtype.GroupName]map[int64]int{}
	for _, g := range w.s.Groups() {
		out[g] = map[int64]int{}
		log, err := w.s.SurvivingLog(g)
		if err != nil {
			return nil, errors.Wrapf(err, "read the log of %s", g)
		}
		for _, e := range log {
			for _, c := range e.Changes {
				if c.Table != "payments" || len(c.Values) == 0 {
					continue
				}
				switch id := c.Values[0].(type) {
				case int64:
					out[g][id]++
				case float64:
					out[g][int64(id)]++
				}
			}
		}
	}
	return out, nil
}

// replicaShare returns the part of reads that replicas have served.
func replicaShare(primary, replica int64) float64 {
	if primary+replica == 0 {
		return 0
	}
	return float64(replica) / float64(primary+replica)
}

// ResetLatency forgets the latencies so far.
func (w *Workload) ResetLatency() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.latency {
		h.Reset()
	}
}

// Quantile returns a quantile of an operation's latency, in microseconds.
func (w *Workload) Quantile(op Operation, q float64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latency[op].ValueAtQuantile(q)
}

// timelineStep is the length of a part of the timeline.
const timelineStep = 100 * time.Millisecond

// Timeline counts the acknowledged writes of each group by tenths of a second.
func (w *Workload) Timeline(from time.Time, d time.Duration) map[bbrtype.GroupName][]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[bbrtype.GroupName][]int{}
	for _, g := range w.s.Groups() {
		out[g] = make([]int, d/timelineStep)
	}
	for _, a := range w.attempts {
		i := int(a.ackedAt.Sub(from) / timelineStep)
		if a.outcome == bbroutcome.Done && i >= 0 && i < len(out[a.group]) {
			out[a.group][i]++
		}
	}
	return out
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
