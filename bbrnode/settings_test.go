package bbrnode

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
)

const validSettings = `[instance]
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
	s, err := ParseSettings("a.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Name, "a")
	is.Equal(s.GracePeriod, 6*time.Second)
	is.Equal(s.PeerSeeds, []string{"127.0.0.1:5"}) // without the address of the instance itself
	is.Equal(s.EvenLoad, EvenLoadForwarded)
}

func TestSettingsOfLimits(t *testing.T) {
	tests := map[string]struct {
		text        string
		memory      bbrbudget.Bytes
		descriptors int
	}{
		"not told":  {"", 0, 0},
		"megabytes": {"[limits]\nmemory = 184MB\ndescriptors = 4200\n", 184 * bbrbudget.Megabyte, 4200},
		"gigabytes": {"[limits]\nmemory = 2 GB\n", 2048 * bbrbudget.Megabyte, 0},
		"bytes":     {"[limits]\nmemory = 67108864\n", 64 * bbrbudget.Megabyte, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := ParseSettings("a.ini", []byte(validSettings+tt.text))
			is.NoErr(err)
			is.Equal(s.Memory, tt.memory)
			is.Equal(s.Descriptors, tt.descriptors)
		})
	}
}

func TestBadSettings(t *testing.T) {
	tests := map[string]string{
		"missing name":                       "[instance]\n[listen]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\npromoter = 127.0.0.1:3\n",
		"unknown key":                        validSettings + "[log]\nlevl = info\n",
		"name with a blank":                  strings.Replace(validSettings, "name = a", "name = a b", 1),
		"unknown even load":                  validSettings + "[scheduling]\nevenLoad = sometimes\n",
		"unknown level":                      validSettings + "[log]\nlevel = loud\n",
		"host name instead of an IP address": "[instance]\nname = a\n[listen]\ncallers = here:1\nready = 127.0.0.1:2\n[platform]\nstore = 127.0.0.1:3\npromoter = 127.0.0.1:3\n",
		"too little memory":                  validSettings + "[limits]\nmemory = 63MB\n",
		"memory without a number":            validSettings + "[limits]\nmemory = MB\n",
		"too few descriptors":                validSettings + "[limits]\ndescriptors = 63\n",
		"malformed INI":                      "[instance\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseSettings("a.ini", []byte(text))
			is.True(err != nil)
		})
	}
}
