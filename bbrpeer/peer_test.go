package bbrpeer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbrpeer"
	"github.com/bluebellroute/bluebellroute/bbrtrial"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// echo answers each message with itself.
type echo struct{ bbrpeer.Service }

// Exchange implements bbrpeer.Service.
func (echo) Exchange(_ context.Context, m bbrcontrol.Message) (bbrcontrol.Message, error) {
	return m, nil
}

// listen serves echoes and returns the address.
func listen(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{Handler: bbrpeer.NewHandler(echo{}), ReadHeaderTimeout: time.Minute, Protocols: protocols}
	var group errgroup.Group
	group.Go(func() error { return srv.Serve(l) })
	t.Cleanup(func() {
		_ = srv.Close()
		_ = group.Wait()
	})
	return l.Addr().String()
}

// full is a message that uses every field.
var full = bbrcontrol.Message{
	From:         bbrjournal.Instance{ID: "i1-1", Name: "i1", Address: "10.0.0.1:7432", DataCentre: "derby"},
	AppliedIndex: 7, Joining: true, Leaving: true, ConfigVersion: 3, GrantRequested: true, Granted: true, ReportsOmitted: true, FleetName: "cell-1",
	Records: []bbrjournal.Record{{Index: 7, Writer: "i1-1", Nonce: "n", Entries: []bbrjournal.Entry{bbrjournal.Fenced{Group: "orders", Term: 2}}}},
	Reports: []bbrcontrol.MemberReport{
		{Ref: bbrmember.Ref{Group: "orders", Member: "m1"}, Reachability: bbrfailover.ReachabilityFailing},
		{
			Ref: bbrmember.Ref{Group: "orders", Member: "m2"}, Reachability: bbrfailover.ReachabilityResponding,
			State: &bbrmember.State{Primary: true, Position: 900, Received: 1000, History: 4}, StateAge: 120 * time.Millisecond,
		},
	},
	SilentInstances:  []bbrtype.InstanceID{"i2-1"},
	SuspectedMembers: []bbrmember.Ref{{Group: "orders", Member: "m1"}},
	Switchovers:      []bbrcontrol.SwitchoverRequest{{Group: "orders", Excluded: "m1"}},
}

func TestMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	clients := bbrpeer.NewClients(nil, bbrmetric.New())
	defer clients.Close()
	got, err := clients.Exchange(context.Background(), listen(t), full)
	is.NoErr(err)
	is.Equal(got, full)
}

func TestASilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	link, err := bbrtrial.NewLink(listen(t))
	is.NoErr(err)
	defer link.Close()
	clients := bbrpeer.NewClients(nil, bbrmetric.New())
	defer clients.Close()
	exchange := func(patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		_, err := clients.Exchange(ctx, link.Addr(), bbrcontrol.Message{From: bbrjournal.Instance{ID: bbrtype.InstanceID("i1")}})
		return err
	}
	is.NoErr(exchange(time.Minute))
	link.Silence()
	is.True(exchange(100*time.Millisecond) != nil) // the old connection says nothing
	is.NoErr(exchange(time.Minute))                // a new one does
}
