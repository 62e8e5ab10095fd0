// Package bbrshare lets instances ask each other for what they would otherwise ask
// the store: proofs of primaries, their positions, and rows of the tables that they
// follow. An answer is as good as one of the store, but older; ages are told as
// durations, counted from the moment at which the answer is made, so that no two
// clocks are compared: who asked at t knows that something of age a is not older
// than t - a.
//
// # Usage
//
//	handler := bbrshare.Handler(source)
//	c := bbrshare.NewClient(dial)
//	k, err := c.Pull(ctx, "10.0.0.7:7440", bbrshare.Question{Versions: versions})
package bbrshare

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrecho"
	"github.com/bluebellroute/bluebellroute/bbrlink"
	"github.com/bluebellroute/bluebellroute/bbrmessage"
	"github.com/bluebellroute/bluebellroute/bbrrows"
	"github.com/bluebellroute/bluebellroute/bbrshare/sharepb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Versions are the versions of tables that an instance has.
type Versions map[string]bbrrows.Version

// Knowledge is what an instance knows.
type Knowledge struct {
	Groups []bbrlink.GroupProof
	Rows   []bbrrows.Row
	// Records is the newest read of the groups' records that the instance knows of.
	Records RecordsRead
	// Reads are how far the instance knows the tables that it was asked to follow.
	Reads []TableRead
}

// TableRead is how far an instance knows a table of the store.
type TableRead struct {
	Table string
	// Version is a version up to which all changes are known.
	Version bbrrows.Version
	// Age is how long before the question arrived the newest read was sent that showed such a
	// version. It is negative if the read was sent while the question waited.
	Age time.Duration
	// IsWhole is set if the rows are the whole table, not the changes since a version.
	IsWhole bool
	// IsOmitted is set if the table has changed, and the rows are too large to be sent.
	IsOmitted bool
}

// RecordsRead is a read of the table of the groups' records.
type RecordsRead struct {
	// Version is the version that was read.
	Version bbrrows.Version
	// Age is how long ago the read was sent, 0 if no read is known.
	Age time.Duration
}

// Question is what an instance asks another one.
type Question struct {
	// Versions are the versions of the tables whose rows are wanted.
	Versions Versions
	// Groups are the groups whose proofs are wanted, with the primaries in use; all if it
	// is empty.
	Groups []GroupPrimary
	// RenewOlder asks to renew proofs that are older, 0 not to.
	RenewOlder time.Duration
	// Rows are rows that the asked instance is to know before it answers.
	Rows []bbrrows.Row
	// FollowFor asks to follow the store for the asker, and to answer as soon as a row of
	// the tables has changed, after FollowFor at the latest. 0 means not to.
	FollowFor time.Duration
}

// GroupPrimary is the primary that an instance uses for a group.
type GroupPrimary struct {
	Group   bbrtype.GroupName
	Primary bbrtype.MemberName
	Term    bbrtype.Term
}

// Source tells what an instance knows: proofs, and rows newer than versions.
type Source func(ctx context.Context, q Question) Knowledge

// Handler answers other instances.
func Handler(s Source) http.Handler {
	return bbrecho.Handler(sharepb.NewShareServer(&server{source: s}))
}

type server struct{ source Source }

// Pull implements the service.
func (s *server) Pull(ctx context.Context, r *sharepb.PullRequest) (*sharepb.Knowledge, error) {
	q := Question{Versions: Versions{}, RenewOlder: time.Duration(r.RenewOlderUs) * time.Microsecond}
	q.FollowFor = min(max(0, time.Duration(r.FollowUs)*time.Microsecond), maxFollowFor)
	for _, t := range r.Tables {
		q.Versions[t.Table] = bbrrows.Version{Era: bbrrows.Era(t.Era), Number: t.Version}
	}
	for _, g := range r.Groups {
		q.Groups = append(q.Groups, GroupPrimary{Group: bbrtype.GroupName(g.Group), Primary: bbrtype.MemberName(g.Primary), Term: bbrtype.Term(g.Term)})
	}
	q.Rows = decodeRows(r.Rows)
	return encode(s.source(ctx, q)), nil
}

// Client asks other instances.
type Client struct{ http *http.Client }

// NewClient returns a client that makes its connections by a transport.
func NewClient(t http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: bbrecho.Transport{Base: t}}}
}

// Pull asks an instance at an address.
func (c *Client) Pull(ctx context.Context, address string, q Question) (Knowledge, error) {
	r := &sharepb.PullRequest{RenewOlderUs: q.RenewOlder.Microseconds(), FollowUs: q.FollowFor.Microseconds()}
	for table, version := range q.Versions {
		r.Tables = append(r.Tables, &sharepb.TableVersion{Table: table, Era: int64(version.Era), Version: version.Number})
	}
	for _, g := range q.Groups {
		r.Groups = append(r.Groups, &sharepb.GroupPrimary{Group: string(g.Group), Primary: string(g.Primary), Term: uint64(g.Term)})
	}
	r.Rows = encodeRows(q.Rows)
	k, err := sharepb.NewShareProtobufClient("http://"+address, c.http).Pull(ctx, r)
	if err != nil {
		return Knowledge{}, errors.Wrapf(err, "ask the instance at %s", address)
	}
	return decode(k), nil
}

func encode(k Knowledge) *sharepb.Knowledge {
	out := &sharepb.Knowledge{}
	for _, g := range k.Groups {
		out.Groups = append(out.Groups, &sharepb.GroupProof{
			Group: string(g.Group), Primary: string(g.Primary), Term: uint64(g.Term),
			ProvenAgoUs: g.ProofAge.Microseconds(),
			PlaceTerm:   uint64(g.Position.Term), PlaceNumber: g.Position.Index, PlaceAgoUs: g.PositionAge.Microseconds(),
			AckedTerm: uint64(g.LastAcked.Term), AckedNumber: g.LastAcked.Index,
		})
	}
	out.Rows = encodeRows(k.Rows)
	if k.Records.Age > 0 {
		out.RecordsEra, out.RecordsVersion = int64(k.Records.Version.Era), k.Records.Version.Number
		out.RecordsAgoUs = max(1, k.Records.Age.Microseconds())
	}
	for _, r := range k.Reads {
		out.Reads = append(out.Reads, &sharepb.TableRead{
			Table: r.Table, Era: int64(r.Version.Era), Version: r.Version.Number,
			AgoUs: r.Age.Microseconds(), Whole: r.IsWhole, Omitted: r.IsOmitted,
		})
	}
	return out
}

func encodeRows(rows []bbrrows.Row) (out []*sharepb.Row) {
	for _, r := range rows {
		out = append(out, &sharepb.Row{Table: r.Table, Key: r.Key, Value: r.Value, Era: int64(r.Version.Era), Version: r.Version.Number, Deleted: r.Deleted})
	}
	return out
}

// decodeRows returns rows without those of versions that no store gives out.
func decodeRows(rows []*sharepb.Row) (out []bbrrows.Row) {
	for _, r := range rows {
		if r.Era < 0 || r.Version < 0 {
			continue
		}
		out = append(out, bbrrows.Row{
			RowKey: bbrrows.RowKey{Table: r.Table, Key: r.Key}, Value: r.Value, Deleted: r.Deleted,
			Version: bbrrows.Version{Era: bbrrows.Era(r.Era), Number: r.Version},
		})
	}
	return out
}

// maxFollowFor bounds the time for which an answer may wait for changes.
const maxFollowFor = 10 * time.Second

// maxAge is the longest age that a message may state. An older proof is worthless.
const maxAge = 10 * 365 * 24 * time.Hour

// isAge reports whether a message's age, in microseconds, is one. A negative age would make
// a proof of it that holds longer than it should.
func isAge(us int64) bool { return us >= 0 && us <= maxAge.Microseconds() }

// decode returns what another instance knows. What no instance can know is left out.
func decode(k *sharepb.Knowledge) Knowledge {
	var out Knowledge
	for _, g := range k.Groups {
		if !isAge(g.ProvenAgoUs) || !isAge(g.PlaceAgoUs) {
			continue
		}
		out.Groups = append(out.Groups, bbrlink.GroupProof{
			Group: bbrtype.GroupName(g.Group), Primary: bbrtype.MemberName(g.Primary), Term: bbrtype.Term(g.Term),
			// A part of a microsecond is counted as a whole one: ages are never
			// told too low.
			ProofAge:    time.Duration(g.ProvenAgoUs+1) * time.Microsecond,
			Position:    bbrmessage.LogPosition{Term: bbrtype.Term(g.PlaceTerm), Index: g.PlaceNumber},
			PositionAge: time.Duration(g.PlaceAgoUs+1) * time.Microsecond,
			LastAcked:   bbrmessage.LogPosition{Term: bbrtype.Term(g.AckedTerm), Index: g.AckedNumber},
		})
	}
	out.Rows = decodeRows(k.Rows)
	if k.RecordsAgoUs > 0 && isAge(k.RecordsAgoUs) && k.RecordsEra >= 0 && k.RecordsVersion >= 0 {
		out.Records = RecordsRead{
			Version: bbrrows.Version{Era: bbrrows.Era(k.RecordsEra), Number: k.RecordsVersion},
			Age:     time.Duration(k.RecordsAgoUs+1) * time.Microsecond,
		}
	}
	for _, r := range k.Reads {
		if !isAge(r.AgoUs+maxFollowFor.Microseconds()) || r.Era < 0 || r.Version < 0 {
			continue
		}
		out.Reads = append(out.Reads, TableRead{
			Table: r.Table, Version: bbrrows.Version{Era: bbrrows.Era(r.Era), Number: r.Version},
			Age: time.Duration(r.AgoUs+1) * time.Microsecond, IsWhole: r.Whole, IsOmitted: r.Omitted,
		})
	}
	return out
}
