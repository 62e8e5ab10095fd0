package bbrcontrol

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrjournal"
)

// Instances of two fleets can find each other's addresses in a shared list. An
// instance must never install the journal state of another fleet.
func TestOtherFleetsAreNotListenedTo(t *testing.T) {
	cases := map[string]struct {
		fleet    string
		accepted bool
	}{
		"same fleet":    {"cell-1", true},
		"another fleet": {"cell-2", false},
		"no fleet":      {"", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			established, now := newSteadySteward(t)
			established.opts.FleetName = "cell-1"
			o := DefaultOptions(bbrjournal.Instance{ID: "x", Address: "x"})
			o.FleetName, o.Nonce = tc.fleet, func() string { return "n" }
			joining := New(o)
			joining.Step(now, PeerAddressesListed{Addresses: []string{"a"}})
			request, ok := findAction[Exchange](joining.Step(now, Tick{}))
			is.True(ok)
			reply, _ := established.HandleExchange(now, request.Message)
			joining.Step(now, ExchangeReplied{SentAt: now, Reply: reply})
			// The first message only registers the sender as a peer. The reply
			// to the second one includes the journal state.
			reply, _ = established.HandleExchange(now, request.Message)
			joining.Step(now, ExchangeReplied{SentAt: now, Reply: reply})
			is.Equal(joining.State().AppliedIndex > 0, tc.accepted)
			_, known := established.peers["x"]
			is.Equal(known, tc.accepted)
		})
	}
}
