package bbrcontrol

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
)

// Two fleets can come to know each other's addresses, by a list that they share.
// A journal must never be taken over from another fleet.
func TestOtherFleetsAreNotListenedTo(t *testing.T) {
	cases := map[string]struct {
		fleet string
		taken bool
	}{
		"the same fleet": {"cell-1", true},
		"another fleet":  {"cell-2", false},
		"none named":     {"", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			old, now := calmSteward(t)
			old.opts.Fleet = "cell-1"
			o := DefaultOptions(bbrjournal.Instance{ID: "x", Address: "x"})
			o.Fleet, o.Nonce = tc.fleet, func() string { return "n" }
			joining := New(o)
			joining.Step(now, PeersListed{Addresses: []string{"a"}})
			ask, ok := find[Exchange](joining.Step(now, Tick{}))
			is.True(ok)
			reply, _ := old.HandleExchange(now, ask.Message)
			joining.Step(now, ExchangeReplied{SentAt: now, Reply: reply})
			// The first reply makes the asker known; the second brings the journal.
			reply, _ = old.HandleExchange(now, ask.Message)
			joining.Step(now, ExchangeReplied{SentAt: now, Reply: reply})
			is.Equal(joining.State().Applied > 0, tc.taken)
			_, known := old.peers["x"]
			is.Equal(known, tc.taken)
		})
	}
}
