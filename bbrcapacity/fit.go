package bbrcapacity

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/mat"
)

// quantity is one number of Spent.
type quantity struct {
	name string
	of   func(*Spent) *float64
}

// quantities are all numbers of Spent.
var quantities = []quantity{
	{"cpuPercent", func(s *Spent) *float64 { return &s.CPUPercent }},
	{"memoryMB", func(s *Spent) *float64 { return &s.MemoryMB }},
	{"heapMB", func(s *Spent) *float64 { return &s.HeapMB }},
	{"peerBytes", func(s *Spent) *float64 { return &s.PeerBytes }},
	{"storeBytes", func(s *Spent) *float64 { return &s.StoreBytes }},
	{"probeBytes", func(s *Spent) *float64 { return &s.ProbeBytes }},
	{"storeReads", func(s *Spent) *float64 { return &s.StoreReads }},
	{"storeWrites", func(s *Spent) *float64 { return &s.StoreWrites }},
}

// probersPerMember is how many instances probe each member.
const probersPerMember = 3

// term is one summand of the model of the grid.
type term struct {
	name string
	of   func(Size) float64
}

func peers(s Size) float64   { return float64(s.Instances - 1) }
func members(s Size) float64 { return float64(s.Groups * s.Members) }

// probed is the number of members that one instance probes.
func probed(s Size) float64 {
	return members(s) * float64(min(probersPerMember, s.Instances)) / float64(s.Instances)
}

// terms are the summands. Each instance exchanges messages with each peer, and
// a message reports the members that its sender probes.
var terms = []term{
	{"constant", func(Size) float64 { return 1 }},
	{"per peer", peers},
	{"per member probed", probed},
	{"per peer and member probed", func(s Size) float64 { return peers(s) * probed(s) }},
}

// Fit is a model of one quantity.
type Fit struct {
	Coefficients []float64
	// RMS is the root of the mean square residual, Worst the largest residual
	// as a part of the measured value.
	RMS   float64
	Worst float64
}

// at returns the model's value for a size.
func (f Fit) at(s Size) float64 {
	v := 0.0
	for i, t := range terms {
		v += f.Coefficients[i] * t.of(s)
	}
	return v
}

// fitGrid fits the model to the grid by least squares.
func fitGrid(samples []Sample, q quantity) (Fit, error) {
	if len(samples) < len(terms) {
		return Fit{}, errors.Errorf("%d samples are too few for %d terms", len(samples), len(terms))
	}
	a := mat.NewDense(len(samples), len(terms), nil)
	b := mat.NewVecDense(len(samples), nil)
	for i, s := range samples {
		for j, t := range terms {
			a.Set(i, j, t.of(s.Size))
		}
		b.SetVec(i, *q.of(&s.Mean))
	}
	var x mat.VecDense
	if err := x.SolveVec(a, b); err != nil {
		return Fit{}, errors.Wrapf(err, "fit %s", q.name)
	}
	f := Fit{Coefficients: x.RawVector().Data}
	for _, s := range samples {
		f.note(*q.of(&s.Mean), f.at(s.Size))
	}
	f.RMS = math.Sqrt(f.RMS / float64(len(samples)))
	return f, nil
}

// note adds a residual.
func (f *Fit) note(measured, modelled float64) {
	r := measured - modelled
	f.RMS += r * r
	if measured != 0 {
		f.Worst = max(f.Worst, math.Abs(r/measured))
	}
}
