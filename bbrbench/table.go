package bbrbench

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// numbers returns what is compared of a report, by name.
func (r *Report) numbers() map[string]float64 {
	out := map[string]float64{
		"stolenPercent":   r.StolenPercent,
		"replicaShare":    100 * r.Result.ReplicaReadShare,
		"statements":      float64(r.Result.Statements),
		"acknowledged":    float64(r.Result.AcknowledgedWrites),
		"unknown":         float64(r.Result.UnknownOutcomes),
		"lost":            float64(r.Result.LostAcknowledgedWrites),
		"stale":           float64(r.Result.StaleReads),
		"double":          float64(r.Result.DoubleRuns),
		"falseNotRun":     float64(r.Result.FalseNotRuns),
		"peakConnections": float64(r.Result.PeakConnections),
	}
	if len(r.GapsMs) > 0 {
		out["medianGapMs"] = float64(r.MedianGapMs())
	}
	if len(r.SpreadMs) > 0 {
		out["medianSpreadMs"] = float64(median(r.SpreadMs))
	}
	for k, v := range r.Result.LatencyUs {
		out[k+"Us"] = float64(v)
	}
	for k, v := range r.Extra {
		out[k] = v
	}
	return out
}

// WriteTable writes reports side by side, with each one's ratio to the first.
func WriteTable(w io.Writer, reports []*Report) error {
	if len(reports) == 0 {
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	var head strings.Builder
	head.WriteString("\t")
	for _, r := range reports {
		fmt.Fprintf(&head, "%s/%s/%s seed %d\t", r.Request.Experiment, r.Request.Deployment, r.Request.Policy, r.Request.Seed)
	}
	if _, err := fmt.Fprintln(tw, head.String()); err != nil {
		return err
	}
	first := reports[0].numbers()
	for _, name := range numberNames(reports) {
		var line strings.Builder
		line.WriteString(name + "\t")
		for i, r := range reports {
			v, ok := r.numbers()[name]
			switch base, has := first[name]; {
			case !ok:
				line.WriteString("-\t")
			case i > 0 && has && base != 0:
				fmt.Fprintf(&line, "%.6g (x%.2f)\t", v, v/base)
			default:
				fmt.Fprintf(&line, "%.6g\t", v)
			}
		}
		if _, err := fmt.Fprintln(tw, line.String()); err != nil {
			return err
		}
	}
	return tw.Flush()
}

// numberNames returns the names of all numbers in order.
func numberNames(reports []*Report) []string {
	seen := map[string]bool{}
	var names []string
	for _, r := range reports {
		for n := range r.numbers() {
			if !seen[n] {
				seen[n] = true
				names = append(names, n)
			}
		}
	}
	sort.Strings(names)
	return names
}
