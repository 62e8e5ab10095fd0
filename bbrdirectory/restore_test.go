package bbrdirectory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// TestRestoredEntries applies entries of a directory that was restored from an older copy.
func TestRestoredEntries(t *testing.T) {
	start := bbrtype.Mono(time.Hour)
	entry := func(startedAt, sequence int64, draining bool) Member {
		return Member{ID: "m1", Group: "g", Address: "a", StartedAtMs: startedAt, Sequence: sequence, Draining: draining}
	}
	tests := map[string]struct {
		known Member
		run   func(d *Directory)
		// inUse is whether the member is in use, draining whether it drains.
		inUse, draining bool
	}{
		"a member that drains is not ready again": {known: entry(1, 9, true), run: func(d *Directory) {
			d.Put(entry(1, 4, false), start)
		}, inUse: true, draining: true},
		"a member that has left is not back": {known: entry(1, 9, true), run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Put(entry(1, 4, false), start)
			d.Expire(start.Add(rewriteTimeout))
		}},
		"a member that has left drops out of the copy": {known: entry(1, 9, true), run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Put(entry(1, 4, false), start)
			d.MarkMissing("m1", start.Add(time.Second))
			d.Expire(start.Add(2 * rewriteTimeout))
		}},
		"a member under a name that left registers": {known: entry(1, 9, true), run: func(d *Directory) {
			d.MarkMissing("m1", start)
			d.Put(entry(2, 1, false), start)
		}, inUse: true},
		"an earlier process of the member is not back": {known: entry(2, 1, true), run: func(d *Directory) {
			d.Put(entry(1, 9, false), start)
		}, inUse: true, draining: true},
		"a draining member that the copy lacks stays": {known: entry(1, 9, true), run: func(d *Directory) {
			d.MarkLost("m1", start)
			d.Expire(start.Add(missingGrace))
		}, inUse: true, draining: true},
		"the member writes its entry again": {known: entry(1, 9, true), run: func(d *Directory) {
			d.Put(entry(1, 4, false), start)
			d.Put(entry(1, 10, false), start.Add(time.Second))
			d.Expire(start.Add(2 * rewriteTimeout))
		}, inUse: true},
		"a clock that went back delays a restart": {known: entry(2, 9, true), run: func(d *Directory) {
			d.Put(entry(1, 1, false), start)
			d.Expire(start.Add(rewriteTimeout + 1))
		}, inUse: true},
		"a member that restarts long after the restore": {known: entry(0, 9, true), run: func(d *Directory) {
			d.Put(entry(0, 1, false), start.Add(rewriteTimeout+1))
		}, inUse: true},
		"members that tell no sequence": {known: entry(0, 0, true), run: func(d *Directory) {
			d.Put(entry(0, 0, false), start)
		}, inUse: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			d.Put(tt.known, start)
			d.RecordRestore(start)
			tt.run(&d)
			members := d.Members("g")
			is.Equal(len(members) == 1, tt.inUse)
			if tt.inUse {
				is.Equal(members[0].Draining, tt.draining)
			}
		})
	}
}

// TestMemberLostByRestore removes a member whose entry does not come back: it may still
// confirm commits, for longer if the directory was restored around its removal.
func TestMemberLostByRestore(t *testing.T) {
	start := bbrtype.Mono(time.Hour)
	tests := map[string]struct {
		// restoredAt is the time of a restore after the entry disappeared, 0 for none.
		restoredAt, now time.Duration
		mayRun          bool
	}{
		"not restored":               {now: missingGrace + expiredRetention + time.Second},
		"restored before the grace":  {restoredAt: time.Second, now: missingGrace + expiredRetention + time.Second, mayRun: true},
		"restored after the removal": {restoredAt: missingGrace + time.Second, now: missingGrace + expiredRetention + time.Second, mayRun: true},
		"restored long ago":          {restoredAt: time.Second, now: missingGrace + restoredRetention + time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			d.Put(Member{ID: "m1", Group: "g", Address: "a"}, start)
			d.MarkMissing("m1", start)
			if tt.restoredAt != 0 && tt.restoredAt < missingGrace {
				d.RecordRestore(start.Add(tt.restoredAt))
			}
			d.Expire(start.Add(missingGrace + 1))
			if tt.restoredAt > missingGrace {
				d.RecordRestore(start.Add(tt.restoredAt))
			}
			d.Expire(start.Add(tt.now))
			is.Equal(len(d.Expired("g")) == 1, tt.mayRun)
		})
	}
}
