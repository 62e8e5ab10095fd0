package bbrcapacity

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// slope is how a quantity grows along an axis.
type slope struct {
	axis Axis
	unit string
	of   func(Size) float64
}

var slopes = []slope{
	{AxisCallers, "caller connected and idle", func(s Size) float64 { return s.CallersEach }},
	{AxisStatements, "statement a second", func(s Size) float64 { return s.StatementsEach }},
	{AxisChanges, "configuration a second", func(s Size) float64 { return s.Changes }},
}

// along returns the growth of a quantity for each unit of an axis.
func (m *Measurement) along(l slope, q quantity) float64 {
	var x, y []float64
	for _, s := range m.on(l.axis) {
		x = append(x, l.of(s.Size))
		y = append(y, *q.of(&s.Mean))
	}
	if len(x) < 2 {
		return 0
	}
	_, growth := stat.LinearRegression(x, y, nil, false)
	return growth
}

// Prediction is what a node spends at a size, by the fits.
type Prediction struct {
	Name  string
	Size  Size
	Spent Spent
}

// predict returns what a node of a fleet spends on control: without its callers
// and their statements.
func (m *Measurement) predict(name string, s Size) (Prediction, error) {
	p := Prediction{Name: name, Size: s}
	for _, q := range quantities {
		f, err := fitGrid(m.on(AxisGrid), q)
		if err != nil {
			return p, err
		}
		*q.of(&p.Spent) = max(0, f.at(s)+s.Changes*m.along(slopes[2], q))
	}
	return p, nil
}

// WriteTable writes the measurement and its predictions for a plan as Markdown.
func WriteTable(w io.Writer, m *Measurement, p Plan) error {
	t := &table{w: w}
	t.line("Made by `bbrbench capacity table` from `slopes.json`. Measured on %d cores with %s.", m.Cores, m.Go)
	t.grid(m)
	if err := t.fits(m); err != nil {
		return err
	}
	t.axes(m)
	t.underLoad(m)
	t.documents("Journal state: copied once for each batch of records", m.States)
	t.documents("Configuration: read once for each version", m.Configurations)
	if err := t.predictions(m, p); err != nil {
		return err
	}
	t.store(m, p)
	return t.err
}

// table writes lines until one fails.
type table struct {
	w   io.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *table) head(title string, columns ...string) {
	t.line("\n## %s\n", title)
	t.line("| %s |", strings.Join(columns, " | "))
	t.line("|%s", strings.Repeat(" --- |", len(columns)))
}

func (t *table) grid(m *Measurement) {
	t.head("Measured: one instance, idle fleet, mean of the fleet",
		"instances", "databases", "core %", "resident MB", "heap MB", "peers KB/s", "store KB/s", "probes KB/s", "all KB/s", "all KB/s, worst instance", "reads/s")
	for _, s := range m.on(AxisGrid) {
		a := s.Mean
		t.line("| %d | %d | %.2f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f |", s.Size.Instances, s.Size.Groups,
			a.CPUPercent, a.MemoryMB, a.HeapMB, a.PeerBytes/1000, a.StoreBytes/1000, a.ProbeBytes/1000, a.ControlBytes()/1000, s.Worst.ControlBytes()/1000, a.StoreReads)
	}
}

func (t *table) fits(m *Measurement) error {
	columns := []string{"quantity"}
	for _, term := range terms {
		columns = append(columns, term.name)
	}
	t.head("Slopes of the grid, by least squares", append(columns, "residual (RMS)", "largest residual")...)
	for _, q := range quantities {
		f, err := fitGrid(m.on(AxisGrid), q)
		if err != nil {
			return err
		}
		row := []string{q.name}
		for _, c := range f.Coefficients {
			row = append(row, fmt.Sprintf("%.4g", c))
		}
		t.line("| %s | %.3g | %.0f %% |", strings.Join(row, " | "), f.RMS, 100*f.Worst)
	}
	return nil
}

func (t *table) axes(m *Measurement) {
	t.head("Slopes of an instance along other axes", "for each", "core %", "resident MB", "peer bytes/s", "store bytes/s")
	for _, l := range slopes {
		row := []string{l.unit}
		for _, name := range []string{"cpuPercent", "memoryMB", "peerBytes", "storeBytes"} {
			row = append(row, fmt.Sprintf("%.4g", m.along(l, quantityOf(name))))
		}
		t.line("| %s |", strings.Join(row, " | "))
	}
}

// underLoad compares a cell whose databases are all in use with the grid's fit.
func (t *table) underLoad(m *Measurement) {
	t.head("A cell under load", "instances", "databases", "statements/s of an instance", "peers KB/s", "the same, idle, by the fit", "all KB/s", "worst instance")
	for _, s := range m.on(AxisCell) {
		f, err := fitGrid(m.on(AxisGrid), quantityOf("peerBytes"))
		if err != nil {
			t.err = err
			return
		}
		t.line("| %d | %d | %.0f | %.2f | %.2f | %.2f | %.2f |", s.Size.Instances, s.Size.Groups, s.Size.StatementsEach,
			s.Mean.PeerBytes/1000, f.at(s.Size)/1000, s.Mean.ControlBytes()/1000, s.Worst.ControlBytes()/1000)
	}
}

func quantityOf(name string) quantity {
	for _, q := range quantities {
		if q.name == name {
			return q
		}
	}
	panic("bbrcapacity: no quantity " + name)
}

func (t *table) documents(title string, list []Document) {
	t.head(title, "instances", "databases", "bytes", "heap KB, beyond what is shared", "ms")
	for _, d := range list {
		t.line("| %d | %d | %d | %.0f | %.2f |", d.Instances, d.Groups, d.Bytes, d.HeapKB, d.TakeMs)
	}
}

func (t *table) predictions(m *Measurement, p Plan) error {
	t.head("Predicted: control of one instance", "fleet", "instances", "databases", "core %", "resident MB", "KB/s", "table reads/s")
	today := Size{Instances: 8, Groups: 3, Members: p.MembersPerDatabase}
	for _, c := range []struct {
		name string
		size Size
	}{{"today", today}, {"one cell of the plan", p.CellSize()}, {"the plan without cells", p.WholeSize()}} {
		got, err := m.predict(c.name, c.size)
		if err != nil {
			return err
		}
		s := got.Spent
		t.line("| %s | %d | %d | %.2f | %.0f | %.1f | %.2f |", c.name, c.size.Instances, c.size.Groups,
			s.CPUPercent, s.MemoryMB, s.ControlBytes()/1000, s.StoreReads)
	}
	b := p.Budget
	t.line("| budget | | | %.1f | %.0f | %.0f | %.2f |", b.CPUPercent, b.MemoryMB, b.KBPerSecond, b.StoreReadsPerSecond/float64(p.Nodes))
	s := p.CellSize()
	t.line("\nBeside control, an instance carries %.0f callers (%.0f MB) and %.0f statements a second (%.0f %% of a core).",
		s.CallersEach, s.CallersEach*m.along(slopes[0], quantityOf("memoryMB")),
		s.StatementsEach, s.StatementsEach*m.along(slopes[1], quantityOf("cpuPercent")))
	return nil
}

// measuredCell returns the grid's fleet of a planned cell's size.
func (m *Measurement) measuredCell(p Plan) (Spent, error) {
	cell := p.CellSize()
	for _, s := range m.on(AxisGrid) {
		if s.Size.Instances == cell.Instances && s.Size.Groups == cell.Groups {
			return s.Mean, nil
		}
	}
	return Spent{}, errors.Errorf("no fleet of %d instances and %d databases was measured", cell.Instances, cell.Groups)
}

// store adds up what all nodes ask of the platform, by the measured cell.
func (t *table) store(m *Measurement, p Plan) {
	got, err := m.measuredCell(p)
	if err != nil {
		t.err = err
		return
	}
	nodes := float64(p.Nodes)
	entries := p.ReplacementsPerDay*2 + p.PrimariesPerDay*4 + p.ChangesPerDay*float64(p.Cells())
	t.head("The platform's store, all cells together", "", "a second", "budget")
	t.line("| table reads | %.0f | %.0f |", nodes*got.StoreReads, p.Budget.StoreReadsPerSecond)
	t.line("| table writes, heartbeats of stewards | %.0f | %.0f |", nodes*got.StoreWrites, p.Budget.StoreWritesPerSecond)
	t.line("| table writes, journal records | %.2f | |", perSecond(entries))
}
