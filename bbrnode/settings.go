package bbrnode

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Settings are the settings of one process, read from an INI file.
type Settings struct {
	Name       string
	DataCentre bbrtype.DataCentre
	// Callers, Ready and Metrics are the addresses listened on.
	Callers, Ready, Metrics string
	// Peers is the address for other instances. Without it the instance asks and
	// answers none.
	Peers string
	// Seeds are addresses of other instances, asked while the store lists none.
	Seeds []string
	// Store and Promoter are the addresses of the platform's services.
	Store, Promoter string
	// ConfigBound is the time within which a configuration has to be in force,
	// DrainBound the one after which a member that leaves may get no work.
	ConfigBound, DrainBound time.Duration
	// Grace is the time from the order to stop to the end of the process.
	Grace    time.Duration
	LogLevel logrus.Level
}

// LoadSettings reads and checks a settings file.
func LoadSettings(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings")
	}
	return ParseSettings(file, text)
}

// ParseSettings reads and checks the text of a settings file.
func ParseSettings(file string, text []byte) (*Settings, error) {
	var problems bbrini.Problems
	f := bbrini.Load(file, text, &problems)
	if f == nil {
		return nil, problems.List[0]
	}
	s := &Settings{}
	r := bbrini.NewReader(file, f.Section("instance"), &problems)
	s.Name = r.Text("name", "")
	if s.Name == "" {
		r.Problem("name", "is missing", "give the instance a name")
	}
	s.DataCentre = bbrtype.DataCentre(r.Text("dataCentre", ""))
	s.Grace = r.Duration("grace", 6*time.Second)
	r.Finish()
	r = bbrini.NewReader(file, f.Section("listen"), &problems)
	s.Callers = r.Address("callers", "")
	s.Ready = r.Address("ready", "")
	s.Metrics = r.Address("metrics", "127.0.0.1:9464")
	if r.Text("peers", "") != "" {
		s.Peers = r.Address("peers", "")
	}
	r.Finish()
	r = bbrini.NewReader(file, f.Section("peers"), &problems)
	for _, seed := range r.List("seeds") {
		if seed != s.Peers {
			s.Seeds = append(s.Seeds, seed)
		}
	}
	r.Finish()
	r = bbrini.NewReader(file, f.Section("platform"), &problems)
	s.Store = r.Address("store", "")
	s.Promoter = r.Address("promoter", "")
	r.Finish()
	r = bbrini.NewReader(file, f.Section("bounds"), &problems)
	s.ConfigBound = r.Duration("configuration", 3*time.Second)
	s.DrainBound = r.Duration("drain", 7*time.Second)
	r.Finish()
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
