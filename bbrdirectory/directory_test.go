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
		run  func(d *Directory)
		want int
		// departed is the number of members that may still be at work.
		departed int
	}{
		// The directory may have been away unnoticed.
		"gone": {run: func(d *Directory) {
			d.Remove("m1", start)
			d.Expire(start.Add(returnGrace))
		}, want: 1},
		"gone for good": {run: func(d *Directory) {
			d.Remove("m1", start)
			d.Expire(start.Add(returnGrace + 1))
		}, want: 0, departed: 1},
		"gone for long": {run: func(d *Directory) {
			d.Remove("m1", start)
			d.Expire(start.Add(returnGrace + 1))
			d.Expire(start.Add(returnGrace + departedTime + 2))
		}, want: 0},
		"another one at its address": {run: func(d *Directory) {
			d.Remove("m1", start)
			d.Expire(start.Add(returnGrace + 1))
			d.Put(Member{ID: "m2", Group: "g", Address: "a"})
		}, want: 1},
		"gone after a drain": {run: func(d *Directory) {
			d.Put(Member{ID: "m1", Group: "g", Address: "a", Draining: true})
			d.Remove("m1", start)
		}, want: 0},
		"the outage goes on": {run: func(d *Directory) {
			d.Trouble(start)
			d.Remove("m1", start)
			d.Trouble(start.Add(returnGrace))
			d.Expire(start.Add(returnGrace + 1))
		}, want: 1},
		"back after an outage": {run: func(d *Directory) {
			d.Remove("m1", start)
			d.Put(m)
			d.Expire(start.Add(time.Hour))
		}, want: 1},
		"missing in a whole reading": {run: func(d *Directory) {
			d.Replace(nil, start)
			d.Expire(start.Add(returnGrace + 1))
		}, want: 0, departed: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			d.Put(m)
			tt.run(&d)
			is.Equal(len(d.Members("g")), tt.want)
			is.Equal(len(d.Departed("g")), tt.departed)
		})
	}
}
