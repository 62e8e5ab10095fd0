package bbrbench

import (
	"os"
	"strconv"
	"strings"
)

// stealField is the place of the stolen time in the first line of /proc/stat.
const stealField = 8

// processorTime is what the system counts, in ticks.
type processorTime struct{ stolen, total float64 }

// readProcessorTime reads the system's counts, zero where there are none.
func readProcessorTime() processorTime {
	var t processorTime
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return t
	}
	line, _, _ := strings.Cut(string(b), "\n")
	for i, f := range strings.Fields(line) {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil {
			continue
		}
		t.total += n
		if i == stealField {
			t.stolen = n
		}
	}
	return t
}

// stolenSince returns the stolen part of the time since an earlier reading, in
// percent.
func (t processorTime) stolenSince(before processorTime) float64 {
	if t.total <= before.total {
		return 0
	}
	return 100 * (t.stolen - before.stolen) / (t.total - before.total)
}
