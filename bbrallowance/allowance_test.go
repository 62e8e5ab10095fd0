package bbrallowance

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrallowance/allowancepb"
	"github.com/bluebellroute/bluebellroute/bbrlimit"
	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestMain(m *testing.M) { bbrtesthelpers.Main(m) }

// countingOwner grants as many tokens as it has been asked, and owns the tenant acme.
type countingOwner struct{ asked atomic.Int64 }

func (o *countingOwner) Grant(r Request) (bbrlimit.Grant, error) {
	if r.Tenant != "acme" {
		return bbrlimit.Grant{}, ErrNotOwner
	}
	return bbrlimit.Grant{Tokens: int(o.asked.Add(1)), RetryAfter: time.Second}, nil
}

func (o *countingOwner) Yield(tenant bbrtype.TenantName) bbrlimit.Handover {
	return bbrlimit.Handover{Owned: tenant == "acme", Tokens: int(o.asked.Load())}
}

// TestRepeatedResponses guards against tokens that are used twice because a response comes a
// second time, in place of that to the next request.
func TestRepeatedResponses(t *testing.T) {
	for _, when := range []bbrtesthelpers.Repetition{
		bbrtesthelpers.RepeatNever, bbrtesthelpers.RepeatAtOnce, bbrtesthelpers.RepeatLater, bbrtesthelpers.RepeatBeforeNext,
	} {
		t.Run(string(when), func(t *testing.T) {
			is := is.New(t)
			var owner countingOwner
			address := bbrtesthelpers.ServeRepeating(t, Handler(&owner), when)
			c := NewClient(&http.Transport{})
			for n := range 3 {
				grant, err := c.Take(t.Context(), address, Request{Tenant: "acme", Request: bbrlimit.Request{Needed: 10}})
				if err != nil {
					is.Equal(when, bbrtesthelpers.RepeatBeforeNext)
					is.Equal(n, 1)
				} else {
					is.Equal(grant, bbrlimit.Grant{Tokens: int(owner.asked.Load()), RetryAfter: time.Second})
				}
				time.Sleep(3 * bbrtesthelpers.RepeatDelay)
			}
		})
	}
}

func TestRepliesOfOtherInstances(t *testing.T) {
	is := is.New(t)
	address := bbrtesthelpers.ServeRepeating(t, Handler(&countingOwner{}), bbrtesthelpers.RepeatNever)
	c := NewClient(&http.Transport{})
	_, err := c.Take(t.Context(), address, Request{Tenant: "other", Request: bbrlimit.Request{Needed: 1}})
	is.Equal(err, ErrNotOwner)
	h, err := c.Yield(t.Context(), address, "acme")
	is.NoErr(err)
	is.True(h.Owned)
	_, err = c.Yield(t.Context(), "127.0.0.1:1", "acme")
	is.True(errors.Is(err, ErrNotRunning))
}

// TestGrantsBeyondTheRequestAreCut guards against a reply that would let an instance begin
// more operations than it asked for, or reject them for ever.
func TestGrantsBeyondTheRequestAreCut(t *testing.T) {
	cases := map[string]struct {
		reply *allowancepb.TakeReply
		want  bbrlimit.Grant
	}{
		"as asked":        {reply: &allowancepb.TakeReply{Tokens: 2}, want: bbrlimit.Grant{Tokens: 2}},
		"too many":        {reply: &allowancepb.TakeReply{Tokens: 1 << 30}, want: bbrlimit.Grant{Tokens: 3}},
		"negative":        {reply: &allowancepb.TakeReply{Tokens: -1, RetryAfterUs: -1}, want: bbrlimit.Grant{}},
		"for a very long": {reply: &allowancepb.TakeReply{RetryAfterUs: 1 << 62}, want: bbrlimit.Grant{RetryAfter: bbrlimit.MaxRetryAfter}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(decode(Request{Request: bbrlimit.Request{Needed: 1, Spare: 2}}, c.reply), c.want)
		})
	}
}
