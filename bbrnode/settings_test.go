package bbrnode

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const goodSettings = `[instance]
name = a
dataCentre = z1
grace = 6s
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
peers = 127.0.0.1:4
[peers]
seeds = 127.0.0.1:4,127.0.0.1:5
[platform]
store = 127.0.0.1:3
promoter = 127.0.0.1:3
`

func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("a.ini", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.Name, "a")
	is.Equal(s.Grace, 6*time.Second)
	is.Equal(s.Seeds, []string{"127.0.0.1:5"}) // not itself
}

func TestBadSettings(t *testing.T) {
	tests := map[string]string{
		"no name":          "[instance]\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\npromoter = 127.0.0.1:3\n",
		"an unknown key":   goodSettings + "[log]\nlevl = info\n",
		"an unknown level": goodSettings + "[log]\nlevel = loud\n",
		"a name for an IP": "[instance]\nname = a\n[listen]\ncallers = here:1\nready = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\npromoter = 127.0.0.1:3\n",
		"no INI":           "[instance\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSettings("a.ini", []byte(text))
			is.True(err != nil)
		})
	}
}
