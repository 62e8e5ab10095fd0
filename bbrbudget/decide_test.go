package bbrbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// receiving returns a holding of a message that is being received.
func receiving(quiet, age time.Duration) Holding {
	return Holding{Phase: PhaseReceiving, Held: MessageCost, Quiet: quiet, Age: age}
}

// sending returns a holding of a reply that is being sent.
func sending(quiet time.Duration, held Bytes) Holding {
	return Holding{Phase: PhaseSending, Held: held, Quiet: quiet, Age: quiet}
}

func TestStalled(t *testing.T) {
	tests := map[string]struct {
		all  []Holding
		want int
	}{
		"nobody":                       {nil, none},
		"all make progress":            {[]Holding{receiving(0, time.Second), sending(time.Second, Megabyte)}, none},
		"one stopped half-way":         {[]Holding{receiving(0, 5*time.Second), receiving(3*time.Second, 3*time.Second)}, 1},
		"the one quiet for longest":    {[]Holding{receiving(3*time.Second, 3*time.Second), sending(4*time.Second, Megabyte)}, 1},
		"quiet goes before long":       {[]Holding{receiving(0, 20*time.Second), receiving(3*time.Second, 3*time.Second)}, 1},
		"small pieces for a long time": {[]Holding{receiving(0, time.Second), receiving(0, 20*time.Second)}, 1},
		"never a statement under way":  {[]Holding{{Phase: PhaseWorking, Held: MessageCost, Quiet: time.Hour, Age: time.Hour}}, none},
		"nothing held":                 {[]Holding{{Phase: PhaseReceiving, Kept: Megabyte, Quiet: time.Hour, Age: time.Hour}}, none},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Stalled(tt.all), tt.want)
		})
	}
}

func TestSlowest(t *testing.T) {
	tests := map[string]struct {
		all  []Holding
		want int
	}{
		"nobody":                 {nil, none},
		"no message is given up": {[]Holding{receiving(time.Hour, time.Hour)}, none},
		"the slowest reader":     {[]Holding{sending(time.Second, Megabyte), sending(2*time.Second, Kilobyte)}, 1},
		"of equal ones":          {[]Holding{sending(time.Second, Kilobyte), sending(time.Second, Megabyte)}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Slowest(tt.all), tt.want)
		})
	}
}

func TestLargest(t *testing.T) {
	tests := map[string]struct {
		kept []Bytes
		than Bytes
		want int
	}{
		"nobody":                       {nil, 0, none},
		"the largest":                  {[]Bytes{10, 30, 20}, 15, 1},
		"none larger than the new one": {[]Bytes{10, 20}, 20, none},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all []Holding
			for _, kept := range tt.kept {
				all = append(all, Holding{Phase: PhaseWorking, Kept: kept})
			}
			is.Equal(Largest(all, tt.than), tt.want)
		})
	}
}

func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		open, limit, unused int
		want                Admission
	}{
		"room":                  {9, 10, 9, AdmitNew},
		"silent ones go first":  {10, 10, 1, AdmitReplace},
		"all have shown a use":  {10, 10, 0, AdmitRefuse},
		"more than the limit":   {11, 10, 0, AdmitRefuse},
		"no connection allowed": {0, 0, 0, AdmitRefuse},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Admit(tt.open, tt.limit, tt.unused), tt.want)
		})
	}
}

// TestWhoWorksIsNotClosed checks for any holdings that a statement under way is never given up,
// and that only who holds something is.
func TestWhoWorksIsNotClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Holding {
			quiet := rapid.Int64Range(0, int64(time.Minute)).Draw(t, "quiet")
			return Holding{
				Phase: rapid.SampledFrom([]Phase{PhaseReceiving, PhaseWorking, PhaseSending}).Draw(t, "phase"),
				Held:  Bytes(rapid.Int64Range(0, int64(MessageCost)).Draw(t, "held")),
				Quiet: time.Duration(quiet),
				Age:   time.Duration(rapid.Int64Range(quiet, int64(time.Hour)).Draw(t, "age")),
			}
		}), 0, 20).Draw(t, "all")
		for _, i := range []int{Stalled(all), Slowest(all)} {
			if i != none && (all[i].Phase == PhaseWorking || all[i].Held == 0) {
				t.Fatalf("closes %+v", all[i])
			}
		}
	})
}

// TestLimitsFitTheMachine checks that the parts stay within what they are parts of.
func TestLimitsFitTheMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := Bytes(rapid.IntRange(64, 8192).Draw(t, "memory")) * Megabyte
		descriptors := rapid.IntRange(64, 100_000).Draw(t, "descriptors")
		l := NewLimits(memory, descriptors)
		if sum := l.Messages + l.Peers + l.State; sum > l.Runtime {
			t.Fatalf("%d of %d bytes", sum, l.Runtime)
		}
		if sum := l.Callers + l.PeerConnections + 2*l.ProbeConnections; sum >= descriptors {
			t.Fatalf("%d of %d descriptors", sum, descriptors)
		}
		if l.SessionState < Megabyte || l.Messages < MessageCost {
			t.Fatalf("no room for a single message: %+v", l)
		}
	})
}

// TestDefaultsOfOrdinaryMachines guards against limits that callers inside the documented bounds
// meet.
func TestDefaultsOfOrdinaryMachines(t *testing.T) {
	tests := map[string]Limits{
		"small machine":   NewLimits(160*Megabyte, 4000),
		"no limits known": NewLimits(0, 0),
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(l.Callers >= 1000)
			is.True(l.PeerConnections >= 1200) // four of each of 300 other instances
			is.True(l.Messages >= 8*MessageCost)
			is.True(l.SessionState > Megabyte)
		})
	}
}
