// Package bbrcapacity works out what a node spends on control at a planned
// size. It measures fleets of real processes in steps, fits slopes to what the
// instances' own metrics show, and writes a table of the predictions.
//
// # Usage
//
//	m, err := bbrcapacity.Measure(ctx, bbrcapacity.Request{Programs: programs, Window: 8 * time.Second})
//	err = bbrcapacity.WriteTable(w, m, bbrcapacity.PlannedSize())
package bbrcapacity

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Axis names what a series of samples varies.
type Axis string

// The axes. AxisGrid varies instances and groups together, AxisCell has one fleet
// of the planned cell's size under load.
const (
	AxisGrid       Axis = "grid"
	AxisCallers    Axis = "callers"
	AxisStatements Axis = "statements"
	AxisChanges    Axis = "changes"
	AxisCell       Axis = "cell"
)

// Size is the size of a fleet.
type Size struct {
	Instances int `json:"instances"`
	Groups    int `json:"groups"`
	// Members are those of each group.
	Members int `json:"members"`
	// CallersEach and StatementsEach are per instance, the latter a second.
	CallersEach    float64 `json:"callersEach,omitempty"`
	StatementsEach float64 `json:"statementsEach,omitempty"`
	// Changes are configurations a second.
	Changes float64 `json:"changes,omitempty"`
}

// Spent is what one instance spends, as the mean of a fleet.
type Spent struct {
	// CPUPercent is in percent of one core.
	CPUPercent float64 `json:"cpuPercent"`
	// MemoryMB is the resident size, HeapMB the part in live objects.
	MemoryMB float64 `json:"memoryMB"`
	HeapMB   float64 `json:"heapMB"`
	// Bytes a second, sent and received. PeerBytes counts both those of calls
	// that the instance makes and of calls that it answers.
	PeerBytes  float64 `json:"peerBytes"`
	StoreBytes float64 `json:"storeBytes"`
	ProbeBytes float64 `json:"probeBytes"`
	// Calls of the table service a second.
	StoreReads  float64 `json:"storeReads"`
	StoreWrites float64 `json:"storeWrites"`
}

// ControlBytes is the sum over all links.
func (s Spent) ControlBytes() float64 { return s.PeerBytes + s.StoreBytes + s.ProbeBytes }

// Sample is one measured fleet.
type Sample struct {
	Axis  Axis  `json:"axis"`
	Size  Size  `json:"size"`
	Mean  Spent `json:"mean"`
	Worst Spent `json:"worst"`
}

// Document is the cost of a document that grows with the fleet: the journal's
// state or a configuration.
type Document struct {
	Instances int `json:"instances"`
	Groups    int `json:"groups"`
	Bytes     int `json:"bytes"`
	// HeapKB is what the decoded form holds, TakeMs the time to decode or to
	// copy it once.
	HeapKB float64 `json:"heapKB"`
	TakeMs float64 `json:"takeMs"`
}

// Measurement is all that the table is made from.
type Measurement struct {
	Cores   int      `json:"cores"`
	Go      string   `json:"go"`
	Samples []Sample `json:"samples"`
	// States and Configurations are measured in one process.
	States         []Document `json:"states"`
	Configurations []Document `json:"configurations"`
}

// Load reads a measurement.
func Load(file string) (*Measurement, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the measurement")
	}
	var m Measurement
	return &m, errors.Wrapf(json.Unmarshal(b, &m), "%s is not a measurement", file)
}

// Save writes a measurement.
func (m *Measurement) Save(file string) error {
	b, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the measurement")
	}
	return errors.Wrap(os.WriteFile(file, append(b, '\n'), 0o644), "write the measurement")
}

// on returns the samples of an axis.
func (m *Measurement) on(a Axis) []Sample {
	var out []Sample
	for _, s := range m.Samples {
		if s.Axis == a {
			out = append(out, s)
		}
	}
	return out
}
