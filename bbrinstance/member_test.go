package bbrinstance

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrmember"
	"github.com/bluebellroute/bluebellroute/bbrpool"
	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// A member that was probed only while it was suspected gets its connection back,
// because the connections set aside for probes are few.
func TestProbesThatEndGiveTheirConnectionsBack(t *testing.T) {
	is := is.New(t)
	member, err := bbrstandindb.ListenCanned("127.0.0.1:0", true)
	is.NoErr(err)
	defer member.Close()
	clock := bbrtype.NewClock()
	p := newProbers(&Instance{deps: Deps{Clock: clock}, ctx: context.Background()})
	defer p.close()
	old, recent := bbrmember.Ref{Group: "g", Member: "m1"}, bbrmember.Ref{Group: "g", Member: "m2"}
	for _, ref := range []bbrmember.Ref{old, recent} {
		c, err := (&bbrpool.Dialer{Clock: clock}).Dial(context.Background(), bbrpool.Endpoint{Address: member.Addr(), Database: "g", User: "u"})
		is.NoErr(err)
		p.keep(ref, c)
	}
	p.sweep()
	is.Equal(len(p.conns), 2) // both were used just now
	k := p.conns[old]
	k.at = clock.Now().Add(-2 * keepProbe)
	p.conns[old] = k
	p.sweep()
	is.True(p.take(old) == nil)
	c := p.take(recent)
	is.True(c != nil)
	c.Close()
}
