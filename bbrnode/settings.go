package bbrnode

import (
	"fmt"
	"os"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrbudget"
	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Settings are the settings of an instance's process, read from an INI file. The
// keys of the file are those in ParseSettings; most are shorter than the names of
// the fields.
type Settings struct {
	Name       string
	DataCentre bbrtype.DataCentre
	// CallerAddress, ReadyAddress and MetricsAddress are the addresses to listen on:
	// for callers, for the readiness check and for metrics.
	CallerAddress, ReadyAddress, MetricsAddress string
	// PeerAddress is the address to listen on for other instances. They are not
	// served if it is empty.
	PeerAddress string
	// PeerSeeds are the addresses of other instances, used as long as the store
	// lists none.
	PeerSeeds []string
	// StoreAddress and PromoterAddress are the addresses of the platform's services.
	StoreAddress, PromoterAddress string
	// ConfigTimeout is the time within which a new configuration has to take effect.
	// DrainTimeout is the time after which a draining member must receive no more
	// statements.
	ConfigTimeout, DrainTimeout time.Duration
	// GracePeriod is the time from the signal to stop to the exit of the process.
	GracePeriod time.Duration
	// EvenLoad is for which groups the members' load is spread evenly.
	EvenLoad EvenLoad
	LogLevel logrus.Level
	// Memory and Descriptors are what the process may use of its machine, 0 if the settings do
	// not tell.
	Memory      bbrbudget.Bytes
	Descriptors int
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return ParseSettings(file, text)
}

// ParseSettings parses and checks the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	var problems bbrini.Problems
	f := bbrini.Load(file, text, &problems)
	if f == nil {
		return nil, problems.List[0]
	}
	s := &Settings{}
	r := bbrini.NewReader(file, f.Section("instance"), &problems)
	s.Name = r.Text("name", "")
	switch {
	case s.Name == "":
		r.Problem("name", "is missing", "give the instance a name")
	case strings.ContainsFunc(s.Name, unicode.IsSpace):
		r.Problem("name", fmt.Sprintf("%q is not a name", s.Name), "give the instance a name without white space")
	}
	s.DataCentre = bbrtype.DataCentre(r.Text("dataCentre", ""))
	s.GracePeriod = r.Duration("grace", 6*time.Second)
	r.Finish()
	r = bbrini.NewReader(file, f.Section("listen"), &problems)
	s.CallerAddress = r.Address("callers", "")
	s.ReadyAddress = r.Address("ready", "")
	s.MetricsAddress = r.Address("metrics", "127.0.0.1:9464")
	if r.Text("peers", "") != "" {
		s.PeerAddress = r.Address("peers", "")
	}
	r.Finish()
	r = bbrini.NewReader(file, f.Section("peers"), &problems)
	for _, seed := range r.List("seeds") {
		if seed != s.PeerAddress {
			s.PeerSeeds = append(s.PeerSeeds, seed)
		}
	}
	r.Finish()
	r = bbrini.NewReader(file, f.Section("platform"), &problems)
	s.StoreAddress = r.Address("store", "")
	s.PromoterAddress = r.Address("promoter", "")
	r.Finish()
	r = bbrini.NewReader(file, f.Section("bounds"), &problems)
	s.ConfigTimeout = r.Duration("configuration", 3*time.Second)
	s.DrainTimeout = r.Duration("drain", 7*time.Second)
	r.Finish()
	r = bbrini.NewReader(file, f.Section("scheduling"), &problems)
	s.EvenLoad = bbrini.Choice(r, "evenLoad", EvenLoadForwarded, EvenLoadForwarded, EvenLoadAlways, EvenLoadNever)
	r.Finish()
	s.readLimits(bbrini.NewReader(file, f.Section("limits"), &problems))
	r = bbrini.NewReader(file, f.Section("log"), &problems)
	level := bbrini.Choice(r, "level", "info", "debug", "info", "warn", "error")
	r.Finish()
	if len(problems.List) > 0 {
		return nil, problems.List[0]
	}
	var err error
	s.LogLevel, err = logrus.ParseLevel(level)
	return s, errors.Wrap(err, "log level")
}

const (
	// minMemory is the smallest memory that an instance runs in.
	minMemory = 64 * bbrbudget.Megabyte
	// minDescriptors and maxDescriptors are the bounds of the number of descriptors.
	minDescriptors = 64
	maxDescriptors = 1 << 20
)

// readLimits reads the limits of the machine.
func (s *Settings) readLimits(r *bbrini.Reader) {
	s.Memory = bbrbudget.Bytes(r.Size("memory"))
	if s.Memory > 0 && s.Memory < minMemory {
		r.Problem("memory", "the memory is too small", fmt.Sprintf("an instance takes at least %dMB", minMemory/bbrbudget.Megabyte))
	}
	if s.Descriptors = r.Integer("descriptors", 0, 0, maxDescriptors); s.Descriptors > 0 && s.Descriptors < minDescriptors {
		r.Problem("descriptors", "there are too few descriptors", fmt.Sprintf("an instance takes at least %d", minDescriptors))
	}
	r.Finish()
}
