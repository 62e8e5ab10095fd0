package bbrdirectory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

func TestRemovedEntries(t *testing.T) {
	start := bbrtype.Mono(time.Hour)
	m := Member{ID: "m1", Group: "g", Address: "a"}
	tests := map[string]struct {
		run func(d *Directory)
		// inUse is the number of members in use, missing that of those without an entry.
		inUse, missing int
		// expired is the number of removed members that may still be running.
		expired int
	}{
		// The entry may be missing because of an outage that caused no read error.
		"missing within the grace period": {run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Expire(start.Add(missingGrace))
		}, inUse: 1, missing: 1},
		"missing beyond the grace period": {run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Expire(start.Add(missingGrace + 1))
		}, inUse: 0, expired: 1},
		"missing beyond the grace period and the retention": {run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Expire(start.Add(missingGrace + 1))
			d.Expire(start.Add(missingGrace + expiredRetention + 2))
		}, inUse: 0},
		"address reused by another member": {run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Expire(start.Add(missingGrace + 1))
			d.Put(Member{ID: "m2", Group: "g", Address: "a"}, start)
		}, inUse: 1},
		"missing while draining": {run: func(d *Directory) {
			d.Put(Member{ID: "m1", Group: "g", Address: "a", Draining: true}, start)
			d.MarkMissing("m1", start)
		}, inUse: 0},
		"reads of the directory still fail": {run: func(d *Directory) {
			d.RecordReadFailure(start)
			d.MarkMissing("m1", start)
			d.RecordReadFailure(start.Add(missingGrace))
			d.Expire(start.Add(missingGrace + 1))
		}, inUse: 1, missing: 1},
		"registered again within the grace period": {run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Put(m, start)
			d.Expire(start.Add(time.Hour))
		}, inUse: 1},
		"missing from a complete listing": {run: func(d *Directory) {
			d.ApplyListing(nil, start)
			d.Expire(start.Add(missingGrace + 1))
		}, inUse: 0, expired: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			d.Put(m, start)
			tt.run(&d)
			is.Equal(len(d.Members("g")), tt.inUse)
			missing := 0
			for _, m := range d.Members("g") {
				if m.EntryMissing {
					missing++
				}
			}
			is.Equal(missing, tt.missing)
			is.Equal(len(d.Expired("g")), tt.expired)
		})
	}
}
