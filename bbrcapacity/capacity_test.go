package bbrcapacity

import (
	"bytes"
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
)

// modelled makes the grid that a known model would give.
func modelled(of func(Size) float64) []Sample {
	var out []Sample
	for _, s := range steps() {
		if s.Axis == AxisGrid {
			s.Mean.PeerBytes = of(s.Size)
			out = append(out, s)
		}
	}
	return out
}

func TestFitGridFindsTheModel(t *testing.T) {
	cases := map[string]struct {
		of    func(Size) float64
		exact bool
	}{
		"constant":             {func(Size) float64 { return 7 }, true},
		"by peers":             {func(s Size) float64 { return 5 + 3*peers(s) }, true},
		"by peers and members": {func(s Size) float64 { return 2*peers(s) + 0.5*probed(s) + 0.25*peers(s)*probed(s) }, true},
		"another model":        {func(s Size) float64 { return 50 * math.Pow(peers(s), 3) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := fitGrid(modelled(c.of), quantityOf("peerBytes"))
			is.NoErr(err)
			cell := PlannedSize().CellSize()
			is.Equal(math.Abs(f.at(cell)-c.of(cell)) < 1e-6*c.of(cell), c.exact)
			is.Equal(f.Worst < 1e-6, c.exact) // a wrong model shows in the residual
		})
	}
}

func TestFitGridNeedsEnoughSamples(t *testing.T) {
	is := is.New(t)
	_, err := fitGrid(modelled(peers)[:2], quantityOf("peerBytes"))
	is.True(err != nil)
}

func TestPlannedCells(t *testing.T) {
	is := is.New(t)
	p := PlannedSize()
	is.Equal(p.Cells(), 100)
	s := p.CellSize()
	is.Equal(s.Groups, 19)
	is.Equal(s.CallersEach, 2750.0)
	is.Equal(s.StatementsEach, 1500.0)
}

// The table is committed: it must be what the measurement says.
func TestTableIsInStep(t *testing.T) {
	is := is.New(t)
	m, err := Load("../docs/capacity/slopes.json")
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(WriteTable(&out, m, PlannedSize()))
	kept, err := os.ReadFile("../docs/capacity/table.md")
	is.NoErr(err)
	is.Equal(out.String(), string(kept)) // run: bbrbench capacity table
}
