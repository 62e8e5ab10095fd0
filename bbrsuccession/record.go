package bbrsuccession

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// ClaimTTL is how long an instance may act on its claim after it last wrote the
	// claim.
	ClaimTTL = 2 * time.Second
	// ClaimRenewAfter is the age at which the holder renews its claim.
	ClaimRenewAfter = 700 * time.Millisecond
	// claimTakeoverDelay is how long a claim must stay unrenewed before another instance
	// may take it over. The time counts from when that instance first read the claim's
	// version.
	claimTakeoverDelay = ClaimTTL + time.Second
)

// FencingToken is a fencing token. It grows with every failover of a group. Each era of
// the store has a range of its own, because a restore may lose the record with the last
// token that was used.
type FencingToken uint64

// tokensPerEra is the size of the range of fencing tokens of an era of the store.
const tokensPerEra = 1 << 20

// minToken returns a lower bound of the fencing tokens of an era, which is above all
// tokens of older eras.
func minToken(era bbrrows.Era) FencingToken { return FencingToken(era) * tokensPerEra }

// Phase is the state of a group's record.
type Phase string

// The phases of a record. PhaseClaimed means that the holder runs a failover.
// PhaseNamed means that the record names the current primary and that no failover is
// running.
const (
	PhaseClaimed Phase = "claimed"
	PhaseNamed   Phase = "named"
)

// Record is the value of a group's row in the table store.
type Record struct {
	Phase        Phase        `json:"phase"`
	FencingToken FencingToken `json:"fence"`
	// Holder is the instance that last claimed the record.
	Holder string `json:"holder"`
	// Primary and Term identify the primary that was last written to the record.
	Primary bbrtype.MemberName `json:"primary"`
	Term    bbrtype.Term       `json:"term"`
	// Renewals counts the renewals of the claim.
	Renewals int `json:"renewed,omitempty"`
	// Era is the era of the store in which the record was confirmed, see IsConfirmedIn.
	Era bbrrows.Era `json:"era,omitempty"`
	// Orders are the promotions that may have been requested and of which it is not known
	// that they can no longer take effect. A promotion is entered before it is requested.
	Orders []Order `json:"orders,omitempty"`
}

// Order is a promotion of a member in a failover.
type Order struct {
	Member       bbrtype.MemberName `json:"member"`
	FencingToken FencingToken       `json:"fence"`
}

// Equal reports whether two records have the same value.
func (r Record) Equal(o Record) bool {
	orders, others := r.Orders, o.Orders
	r.Orders, o.Orders = nil, nil
	return slices.Equal(orders, others) && reflect.DeepEqual(r, o)
}

const (
	// maxOrders is the highest number of orders in a usable record.
	maxOrders = 100
	// maxTerm is the highest term of a usable record, far above all that groups reach, so
	// that the terms that follow it can be counted.
	maxTerm = 1 << 53
	// maxToken is the highest fencing token of a usable record.
	maxToken = 1 << 62
)

// DecodeRecord decodes the value of a group's row. It returns an error for a value that is
// no usable record.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode the record")
	}
	switch {
	case r.Phase != PhaseClaimed && r.Phase != PhaseNamed:
		return Record{}, errors.Errorf("the record has the unknown phase %.60q", r.Phase)
	case r.Term > maxTerm || r.FencingToken > maxToken || r.Renewals < 0 || r.Era < 0:
		return Record{}, errors.Errorf("the record has term %d, fencing token %d, %d renewals and era %d", r.Term, r.FencingToken, r.Renewals, r.Era)
	case r.Phase == PhaseNamed && r.Primary == "":
		return Record{}, errors.New("the record names no primary")
	case len(r.Orders) > maxOrders:
		return Record{}, errors.Errorf("the record has %d orders", len(r.Orders))
	}
	return r, nil
}

// StoreEra is the store's era as an instance knows it.
type StoreEra struct {
	Era bbrrows.Era
	// Since is when the instance first received a reply of this era.
	Since bbrtype.Mono
}

// VersionedRecord is a group's record as an instance last read it.
type VersionedRecord struct {
	// Record is the row's last value that the instance has read. The row may be gone.
	Record Record
	// Exists is set if the table store has the row.
	Exists bool
	// Version is the version of the row, or of its removal by a restore of the store.
	Version bbrrows.Version
	// FirstReadAt is when the instance first read this version.
	FirstReadAt bbrtype.Mono
	// orderedAt is when each order of the record was last known to be one that its holder
	// may request.
	orderedAt map[Order]bbrtype.Mono
}

// OrderTTL is how long a promotion may still take effect after the last sign that its
// holder may request it: the holder's claim expires, its last request times out, and a
// machine that stood still meanwhile sends what it had not sent.
const OrderTTL = 20 * time.Second

// Next returns what is known once a version of the record is read at now. A restore of the
// store may have lost orders that may still take effect, so those are kept.
func (v VersionedRecord) Next(record Record, version bbrrows.Version, now bbrtype.Mono) VersionedRecord {
	if v.Version.Era != version.Era {
		record.Orders = slices.Clone(record.Orders)
		for _, o := range v.PendingOrders(now) {
			if !slices.Contains(record.Orders, o) {
				record.Orders = append(record.Orders, o)
			}
		}
	}
	next := VersionedRecord{Record: record, Exists: true, Version: version, FirstReadAt: now, orderedAt: map[Order]bbrtype.Mono{}}
	for _, o := range record.Orders {
		at, known := v.orderedAt[o]
		if !known || record.Phase == PhaseClaimed && o.FencingToken == record.FencingToken {
			at = now
		}
		next.orderedAt[o] = at
	}
	return next
}

// PendingOrders returns the orders of the record that may still take effect.
func (v VersionedRecord) PendingOrders(now bbrtype.Mono) []Order {
	var pending []Order
	for _, o := range v.Record.Orders {
		if at, known := v.orderedAt[o]; !known || now.Sub(at) < OrderTTL {
			pending = append(pending, o)
		}
	}
	return pending
}

// OrderedMembers returns the members whose promotion was entered in the record and may
// still take effect. A commit that one of them has not received may be lost.
func (v VersionedRecord) OrderedMembers(now bbrtype.Mono) []bbrtype.MemberName {
	var members []bbrtype.MemberName
	for _, o := range v.PendingOrders(now) {
		if !slices.Contains(members, o.Member) {
			members = append(members, o.Member)
		}
	}
	return members
}

// ExpectedVersion returns the version that the row must have for a write of the record.
func (v VersionedRecord) ExpectedVersion() bbrrows.Version {
	if !v.Exists {
		return bbrrows.Version{}
	}
	return v.Version
}

// IsConfirmedIn reports whether the record is confirmed in an era of the store: each
// failover since then shows in it. A restore of the store may lose claims and named
// primaries, so a record of an older era shows nothing, and neither does the absence of a
// record, unless the store does not report its era.
func (v VersionedRecord) IsConfirmedIn(era bbrrows.Era) bool { return v.Record.Era == era }

// MayClaim reports whether an instance may start a failover: no failover is running,
// its holder has stopped renewing the claim, or the claim was made by an earlier
// process of the same instance, which has ended. If the record is not confirmed in the
// store's era, a restore may have lost a claim, which has to expire first.
func MayClaim(current VersionedRecord, holder string, era StoreEra, now bbrtype.Mono) bool {
	if !current.IsConfirmedIn(era.Era) && now.Sub(era.Since) <= claimTakeoverDelay {
		return false
	}
	return !IsClaimHeld(current, now) || current.Record.Holder == holder
}

// IsClaimHeld reports whether a record shows a failover whose holder may still be running
// it. A holder that ends without a word leaves its claim behind, which then counts no more.
func IsClaimHeld(current VersionedRecord, now bbrtype.Mono) bool {
	return current.Record.Phase == PhaseClaimed && now.Sub(current.FirstReadAt) <= claimTakeoverDelay
}

// ConfirmsTerm reports whether a record shows that no failover has started since the
// primary of the given term took over, and that no promotion of an earlier one may act. The record must have been read from the store after
// that primary was found, because an older copy does not show what has begun since. The
// primary's name is not compared, because a member that crashed may restart under another
// name.
func ConfirmsTerm(current VersionedRecord, era bbrrows.Era, term bbrtype.Term, now bbrtype.Mono) bool {
	if !current.IsConfirmedIn(era) || current.mayBeOutdated(now) {
		return false
	}
	return !current.Exists || current.Record.Phase == PhaseNamed && current.Record.Term == term
}

// NamesTerm reports whether a record names the primary of the given term, so that the
// leases on its predecessors have expired. Unlike the absence of a record, this holds
// however old the copy of the record is.
func NamesTerm(known VersionedRecord, era bbrrows.Era, term bbrtype.Term, now bbrtype.Mono) bool {
	return known.Exists && ConfirmsTerm(known, era, term, now)
}

// mayBeOutdated reports whether a promotion that is not the record's may have taken effect,
// so that another member leads than the record names.
func (v VersionedRecord) mayBeOutdated(now bbrtype.Mono) bool {
	return slices.ContainsFunc(v.OrderedMembers(now), func(id bbrtype.MemberName) bool { return id != v.Record.Primary })
}

// LacksLeader reports whether a record names an older primary than one that leads a term,
// although no failover is running: a promotion that was given up has taken effect.
func (v VersionedRecord) LacksLeader(term bbrtype.Term) bool {
	return v.Exists && v.Record.Phase == PhaseNamed && v.Record.Term < term
}

// ConfirmableFrom returns the time from which a proof of the primary (see bbrproof) is
// good enough to confirm a record in the store's era: all claims that a restore may have
// lost, or that the restored copy still shows, have expired by then.
func ConfirmableFrom(current VersionedRecord, era StoreEra) bbrtype.Mono {
	return max(era.Since, current.FirstReadAt).Add(claimTakeoverDelay)
}

// Confirm returns the record to write when the given primary is proven, see
// ConfirmableFrom.
func Confirm(current VersionedRecord, primary bbrtype.MemberName, term bbrtype.Term, era bbrrows.Era) Record {
	r := current.Record
	r.Phase = PhaseNamed
	r.Primary = primary
	r.Term = term
	r.Renewals = 0
	r.Era = era
	return r
}

// WithOrder returns the record to write before the promotion of a member is requested. It
// keeps the orders of other failovers that may still take effect.
func WithOrder(current VersionedRecord, o Order, now bbrtype.Mono) Record {
	r := WithoutOrders(current, o.FencingToken, now)
	r.Orders = append(r.Orders, o)
	r.Renewals++
	return r
}

// WithoutOrders returns the record without the orders of a failover, none of which can take
// effect any more, and without those of others that have expired.
func WithoutOrders(current VersionedRecord, token FencingToken, now bbrtype.Mono) Record {
	r := current.Record
	r.Orders = slices.DeleteFunc(current.PendingOrders(now), func(o Order) bool { return o.FencingToken == token })
	return r
}

// Claim returns the record to write at the start of a failover in an era of the store.
func Claim(current VersionedRecord, holder string, era bbrrows.Era) Record {
	r := current.Record
	r.Phase = PhaseClaimed
	r.Holder = holder
	r.Renewals = 0
	r.FencingToken = max(r.FencingToken, minToken(era)) + 1
	return r
}
