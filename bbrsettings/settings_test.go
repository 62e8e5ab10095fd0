package bbrsettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const good = `[instance]
name = i1
dataCentre = derby
[store]
tableEndpoint = http://127.0.0.1:8000
objectEndpoint = 127.0.0.1:9000
listURL = http://127.0.0.1:8000/instances
[secrets]
tokenKey = sixteen characters
storeAccessKey = a
storeSecretKey = b
billingPassword = c
`

func TestParse(t *testing.T) {
	is := is.New(t)
	s, problems := Parse("i.ini", []byte(good+"[limits]\ndrain = 5s\n"))
	is.Equal(len(problems), 0)
	is.Equal(s.Callers, DefaultCallers)
	is.Equal(s.Drain, 5*time.Second)
	is.Equal(s.Timing.Self.Name, "i1")
	password, ok := s.Secret("billingPassword")
	is.True(ok)
	is.Equal(password, "c")
}

func TestSecretsCanLieInFiles(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(file, []byte("a key that lies in a file\n"), 0o600))
	s, problems := Parse("i.ini", []byte(strings.Replace(good, "sixteen characters", "@"+file, 1)))
	is.Equal(len(problems), 0)
	is.Equal(string(s.TokenKey), "a key that lies in a file")
}

func TestProblems(t *testing.T) {
	cases := map[string]struct{ from, to, want string }{
		"unknown section":      {"[store]", "[stores]\n[store]", "[stores]: unknown section; did you mean store?"},
		"unknown key":          {"name = i1", "nam = i1", "nam: unknown key; did you mean name?"},
		"no name":              {"name = i1", "name =", `[instance] name: "" is not a name`},
		"no data centre":       {"dataCentre = derby", "", "the data centre is missing"},
		"not a URL":            {"http://127.0.0.1:8000\n", "127.0.0.1:8000\n", "is not a URL"},
		"a short key":          {"sixteen characters", "short", "less than 16 characters"},
		"no store key":         {"storeAccessKey = a", "", "the keys of the platform's store are missing"},
		"a missing file":       {"sixteen characters", "@/no/such/file", "the secret's file can't be read"},
		"half a certificate":   {"[store]", "[tls]\ncallerCert = a.pem\n[store]", "a certificate needs its key"},
		"TLS without any":      {"[store]", "[tls]\nrequireCallers = true\n[store]", "TLS can't be required without a certificate"},
		"half of mutual TLS":   {"[store]", "[tls]\npeerCert = a\n[store]", "needs a certificate, its key and an authority"},
		"reads too seldom":     {"[store]", "[timing]\nheadInterval = 1s\n[store]", "more than a third of the authority's 2s"},
		"too wide a margin":    {"[store]", "[timing]\nauthorityMargin = 1s\n[store]", "more than a quarter"},
		"an unknown log level": {"[store]", "[log]\nlevel = loud\n[store]", `"loud" is not a level`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, problems := Parse("i.ini", []byte(strings.Replace(good, c.from, c.to, 1)))
			all := ""
			for _, p := range problems {
				all += p.Error() + "\n"
			}
			is.True(strings.Contains(all, c.want))
			is.True(!strings.Contains(all, "sixteen characters")) // secrets are not told
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(_ *testing.T, text []byte) { Parse("f", text) })
}
