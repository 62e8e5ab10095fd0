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
	}{
		"gone in calm": {run: func(d *Directory) { d.Remove("m1", start) }, want: 0},
		"gone around an outage": {run: func(d *Directory) {
			d.Trouble(start.Add(-time.Second))
			d.Remove("m1", start)
			d.Expire(start.Add(time.Second))
		}, want: 1},
		"not back after an outage": {run: func(d *Directory) {
			d.Trouble(start.Add(-time.Second))
			d.Remove("m1", start)
			d.Expire(start.Add(returnGrace + 1))
		}, want: 0},
		"the outage goes on": {run: func(d *Directory) {
			d.Trouble(start)
			d.Remove("m1", start)
			d.Trouble(start.Add(returnGrace))
			d.Expire(start.Add(returnGrace + 1))
		}, want: 1},
		"back after an outage": {run: func(d *Directory) {
			d.Trouble(start.Add(-time.Second))
			d.Remove("m1", start)
			d.Put(m)
			d.Expire(start.Add(time.Hour))
		}, want: 1},
		"missing in a whole reading": {run: func(d *Directory) { d.Replace(nil, start) }, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var d Directory
			d.Put(m)
			tt.run(&d)
			is.Equal(len(d.Members("g")), tt.want)
		})
	}
}
