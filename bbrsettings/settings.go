// Package bbrsettings reads the settings of one process: its addresses and data
// centre, how the platform's services are reached, certificates, limits, logs
// and secrets. They are read once at start, from an INI file.
//
// # Usage
//
//	s, problems := bbrsettings.Parse("instance.ini", text)
//	if len(problems) > 0 {
//		// the process must not start
//	}
package bbrsettings

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/ini.v1"

	"github.com/bluebellroute/bluebellroute/bbrauthority"
	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrstore"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// LogFormat is the form of the log.
type LogFormat string

// The forms of the log.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// minTokenKey is the least length of the token key, in bytes.
const minTokenKey = 16

// Defaults of settings.
const (
	DefaultDrain = 30 * time.Second
	// DefaultCallers and DefaultControl are the default addresses.
	DefaultCallers = "127.0.0.1:6432"
	DefaultControl = "127.0.0.1:7432"
)

// TLS names the files of certificates. Empty names switch TLS off.
type TLS struct {
	CallerCert, CallerKey string
	// RequireCallers turns callers without TLS away.
	RequireCallers bool
	// PeerCert and PeerKey identify this instance to others, PeerCA checks the
	// others and operators.
	PeerCert, PeerKey, PeerCA string
	// MemberCA checks members.
	MemberCA string
}

// Settings are all settings of a process.
type Settings struct {
	Name       string
	DataCentre bbrtype.DataCentre
	// Callers is where callers connect.
	Callers string
	// Control is where instances, operators and monitoring connect.
	Control string
	// Advertised is the control address that others are told. It is Control
	// unless set.
	Advertised string
	Seeds      []string
	// Profiling serves profiles of the process on the control port.
	Profiling bool

	Store  bbrstore.Options
	TLS    TLS
	Limits bbrproxy.Options
	// Timing are the options of the control logic.
	Timing bbrcontrol.Options
	// FixedQuota divides connections equally, without regard to demand.
	// Measurements compare with it.
	FixedQuota bool
	// Drain bounds a planned stop.
	Drain time.Duration

	LogLevel  logrus.Level
	LogFormat LogFormat

	// TokenKey signs session tokens. All instances share it.
	TokenKey []byte

	secrets map[bbrconfig.SecretName]string
}

// Secret returns a password by its name.
func (s *Settings) Secret(name bbrconfig.SecretName) (string, bool) {
	v, ok := s.secrets[name]
	return v, ok
}

// Load reads a settings file.
func Load(file string) (*Settings, []bbrini.Problem) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, []bbrini.Problem{{File: file, What: err.Error(), Hint: "name the file with --settings"}}
	}
	return Parse(file, text)
}

// Parse reads and checks settings. They are to be used only if there are no
// problems.
func Parse(file string, text []byte) (*Settings, []bbrini.Problem) {
	p := &parser{file: file, s: &Settings{secrets: map[bbrconfig.SecretName]string{}}}
	f := bbrini.Load(file, text, &p.problems)
	if f == nil {
		return p.s, p.problems.List
	}
	for _, s := range f.Sections() {
		if !slices.Contains(sectionNames, s.Name()) && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			p.problems.Add(file, s.Name(), "", "unknown section", bbrini.Suggest(s.Name(), sectionNames))
		}
	}
	// The order matters: timing builds on the instance.
	for _, name := range sectionNames {
		s, err := f.GetSection(name)
		if err != nil {
			s, _ = f.NewSection(name)
		}
		r := bbrini.NewReader(file, s, &p.problems)
		if name == "secrets" {
			p.secrets(r, s)
			continue
		}
		p.read(name, r)
		r.Finish()
	}
	return p.s, p.problems.List
}

// read takes the keys of a section.
func (p *parser) read(section string, r *bbrini.Reader) {
	switch section {
	case "instance":
		p.instance(r)
	case "store":
		p.store(r)
	case "tls":
		p.tls(r)
	case "limits":
		p.limits(r)
	case "timing":
		p.timing(r)
	case "log":
		p.log(r)
	}
}

var sectionNames = []string{"instance", "store", "tls", "limits", "timing", "log", "secrets"}

// parser collects settings and their problems.
type parser struct {
	file     string
	s        *Settings
	problems bbrini.Problems
}

func (p *parser) instance(r *bbrini.Reader) {
	p.s.Name = r.Text("name", "")
	p.s.DataCentre = bbrtype.DataCentre(r.Text("dataCentre", ""))
	p.s.Callers = r.Address("callers", DefaultCallers)
	p.s.Control = r.Address("control", DefaultControl)
	p.s.Advertised = r.Address("advertised", p.s.Control)
	p.s.Seeds = r.List("seeds")
	p.s.Profiling = r.Boolean("profiling", false)
	if p.s.Name == "" || strings.ContainsAny(p.s.Name, " /") {
		r.Problem("name", fmt.Sprintf("%q is not a name", p.s.Name), "give the instance a name of its own, without spaces and slashes")
	}
	if p.s.DataCentre == "" {
		r.Problem("dataCentre", "the data centre is missing", "name the data centre that the instance runs in")
	}
}

func (p *parser) store(r *bbrini.Reader) {
	p.s.Store = bbrstore.Options{
		Name:           p.s.Name,
		TableEndpoint:  r.Text("tableEndpoint", ""),
		Table:          r.Text("table", "bluebellroute"),
		Region:         r.Text("region", "us-east-1"),
		ObjectEndpoint: r.Text("objectEndpoint", ""),
		Bucket:         r.Text("bucket", "bluebellroute"),
		ObjectTLS:      r.Boolean("objectTLS", false),
		ListURL:        r.Text("listURL", ""),
	}
	for key, v := range map[string]string{"tableEndpoint": p.s.Store.TableEndpoint, "listURL": p.s.Store.ListURL} {
		if !strings.HasPrefix(v, "http://") && !strings.HasPrefix(v, "https://") {
			r.Problem(key, fmt.Sprintf("%q is not a URL", v), "write it as http://10.0.0.9:8000")
		}
	}
	if p.s.Store.ObjectEndpoint == "" || strings.Contains(p.s.Store.ObjectEndpoint, "/") {
		r.Problem("objectEndpoint", fmt.Sprintf("%q is not a host and a port", p.s.Store.ObjectEndpoint), "write it as 10.0.0.9:9000")
	}
}

func (p *parser) tls(r *bbrini.Reader) {
	t := &p.s.TLS
	t.CallerCert, t.CallerKey = r.Text("callerCert", ""), r.Text("callerKey", "")
	t.RequireCallers = r.Boolean("requireCallers", false)
	t.PeerCert, t.PeerKey, t.PeerCA = r.Text("peerCert", ""), r.Text("peerKey", ""), r.Text("peerCA", "")
	t.MemberCA = r.Text("memberCA", "")
	if (t.CallerCert == "") != (t.CallerKey == "") {
		r.Problem("callerCert", "a certificate needs its key", "set callerCert and callerKey, or none of them")
	}
	if t.RequireCallers && t.CallerCert == "" {
		r.Problem("requireCallers", "TLS can't be required without a certificate", "set callerCert and callerKey")
	}
	given := 0
	for _, v := range []string{t.PeerCert, t.PeerKey, t.PeerCA} {
		if v != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		r.Problem("peerCert", "TLS between instances needs a certificate, its key and an authority", "set peerCert, peerKey and peerCA, or none of them")
	}
}

func (p *parser) limits(r *bbrini.Reader) {
	p.s.Limits = bbrproxy.Options{
		MaxMessage:      r.Integer("maxMessage", bbrproxy.DefaultMaxMessage, 1<<10, 1<<30),
		MaxCallers:      r.Integer("maxCallers", bbrproxy.DefaultMaxCallers, 1, 1000000),
		AuthTimeout:     r.Duration("authTimeout", bbrproxy.DefaultAuthTimeout),
		AnswerPatience:  r.Duration("answerPatience", bbrproxy.DefaultAnswerPatience),
		ResolvePatience: r.Duration("resolvePatience", bbrproxy.DefaultResolvePatience),
		RequireTLS:      p.s.TLS.RequireCallers,
		Baseline:        bbrini.Choice(r, "baseline", bbrproxy.BaselineNone, bbrproxy.BaselineNone, bbrproxy.BaselinePrimary, bbrproxy.BaselineRandom),
	}
	p.s.Drain = r.Duration("drain", DefaultDrain)
	p.s.FixedQuota = r.Boolean("fixedQuota", false)
}

// timing reads durations that all instances of a fleet must share.
func (p *parser) timing(r *bbrini.Reader) {
	self := bbrjournal.Instance{Name: p.s.Name, Address: p.s.Advertised, DataCentre: p.s.DataCentre}
	o := bbrcontrol.DefaultOptions(self)
	o.Authority.Duration = r.Duration("authority", bbrauthority.DefaultDuration)
	o.Authority.Margin = r.Duration("authorityMargin", bbrauthority.DefaultMargin)
	o.Authority.Holdover = r.Duration("holdover", bbrauthority.DefaultHoldover)
	o.JournalReadInterval = r.Duration("headInterval", o.JournalReadInterval)
	o.ExchangeInterval = r.Duration("exchangeInterval", o.ExchangeInterval)
	o.SteadyInterval = r.Duration("calmInterval", o.SteadyInterval)
	o.ProbeInterval = r.Duration("probeInterval", o.ProbeInterval)
	o.ProbeTimeout = r.Duration("probeTimeout", o.ProbeTimeout)
	o.FailureLimits.Refused = r.Duration("refusedAfter", o.FailureLimits.Refused)
	o.FailureLimits.NoResponse = r.Duration("silentAfter", o.FailureLimits.NoResponse)
	o.RemoveAfter = r.Duration("removeAfter", o.RemoveAfter)
	o.StewardCount = r.Integer("stewards", o.StewardCount, 1, 5)
	o.AlwaysAwaitExpiry = r.Boolean("waitOut", false)
	p.s.Timing = o
	if o.Authority.Margin*4 > o.Authority.Duration {
		r.Problem("authorityMargin", fmt.Sprintf("%v is more than a quarter of the authority's %v", o.Authority.Margin, o.Authority.Duration), "lower it")
	}
	if o.JournalReadInterval*3 > o.Authority.Duration {
		r.Problem("headInterval", fmt.Sprintf("%v is more than a third of the authority's %v", o.JournalReadInterval, o.Authority.Duration), "lower it")
	}
	if o.JournalReadInterval < time.Millisecond || o.ExchangeInterval < time.Millisecond || o.ProbeInterval < time.Millisecond {
		r.Problem("headInterval", "an interval is below 1ms", "raise headInterval, exchangeInterval and probeInterval")
	}
}

func (p *parser) log(r *bbrini.Reader) {
	level := r.Text("level", "info")
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		r.Problem("level", fmt.Sprintf("%q is not a level", level), "use debug, info, warning or error")
	}
	p.s.LogLevel = parsed
	p.s.LogFormat = bbrini.Choice(r, "format", LogText, LogText, LogJSON)
}

// secrets reads passwords and keys. A value that begins with @ names a file.
func (p *parser) secrets(r *bbrini.Reader, s *ini.Section) {
	for _, key := range s.KeyStrings() {
		v := r.Text(key, "")
		if file, ok := strings.CutPrefix(v, "@"); ok {
			b, err := os.ReadFile(file)
			if err != nil {
				r.Problem(key, "the secret's file can't be read", "check its name and rights")
				continue
			}
			v = strings.TrimSpace(string(b))
		}
		p.s.secrets[bbrconfig.SecretName(key)] = v
	}
	p.s.TokenKey = []byte(p.s.secrets["tokenKey"])
	p.s.Store.AccessKey = p.s.secrets["storeAccessKey"]
	p.s.Store.SecretKey = p.s.secrets["storeSecretKey"]
	if len(p.s.TokenKey) < minTokenKey {
		r.Problem("tokenKey", fmt.Sprintf("the key that signs session tokens has less than %d characters", minTokenKey), "give all instances the same random key")
	}
	if p.s.Store.AccessKey == "" || p.s.Store.SecretKey == "" {
		r.Problem("storeAccessKey", "the keys of the platform's store are missing", "set storeAccessKey and storeSecretKey")
	}
}
