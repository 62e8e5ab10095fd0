package bbrtrial

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bluebellroute/bluebellroute/bbrconfig"
	"github.com/bluebellroute/bluebellroute/bbrproxy"
	"github.com/bluebellroute/bluebellroute/bbrsettings"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Secrets of trial fleets. They protect nothing.
const (
	trialPassword = "trial"
	trialKey      = "a key for trials only"
)

// startTimeout bounds the start of a fleet.
const startTimeout = 60 * time.Second

// Shape describes a fleet.
type Shape struct {
	Name        string
	DataCentres []bbrtype.DataCentre
	Instances   int
	Groups      []bbrtype.GroupName
	Members     int
	Connections int
	Slots       int
	// ConnectDelay is the time that a new connection to a member takes.
	ConnectDelay time.Duration
	// Lag is the replicas' delay of replay.
	Lag time.Duration
	// ServiceTime is the time that a statement occupies a slot.
	ServiceTime time.Duration
	MaxAge      time.Duration
	CatchUpWait time.Duration
	Patience    time.Duration
	Baseline    bbrproxy.Baseline
	// Confirm is the group's key of the same name.
	Confirm int
	// FarDelay is the one-way delay between data centres.
	FarDelay time.Duration
	// Links puts a link before each member, so that it can be cut.
	Links bool
	// Canned makes the members give the same answer to everything.
	Canned bool
	// Cores bounds the processor cores of each instance. 0 means no bound.
	Cores int
	// Settings are more lines of the settings of each instance.
	Settings string
	// Stderr takes the logs of processes.
	Stderr io.Writer
	// Tune changes the settings of each instance before it starts.
	Tune func(*bbrsettings.Settings)
	Log  logrus.FieldLogger
}

// Small is the fleet of the demo.
func Small() Shape {
	return Shape{
		Name: "demo", DataCentres: []bbrtype.DataCentre{"north", "south", "east"}, Instances: 3,
		Groups: []bbrtype.GroupName{"orders"}, Members: 3, Connections: 25, Slots: 3,
		ConnectDelay: 10 * time.Millisecond, Lag: 20 * time.Millisecond, ServiceTime: 200 * time.Microsecond,
		MaxAge: 10 * time.Second, CatchUpWait: 100 * time.Millisecond, Patience: 10 * time.Second,
	}
}

// Trentvale is a fleet like that of the water works.
func Trentvale() Shape {
	s := Small()
	s.Name = "trentvale"
	s.DataCentres = []bbrtype.DataCentre{"nottingham", "derby", "leicester", "loughborough"}
	s.Instances = 8
	s.Groups = []bbrtype.GroupName{"customers", "billing", "bookings"}
	s.FarDelay = 1500 * time.Microsecond
	s.Confirm = 1
	return s
}

// Cedarsteam is a fleet like that of the cooperage.
func Cedarsteam() Shape {
	s := Small()
	s.Name = "cedarsteam"
	s.DataCentres = []bbrtype.DataCentre{"abbotsford", "chilliwack", "langley", "mission"}
	s.Instances = 6
	s.Groups = []bbrtype.GroupName{"orders", "inventory", "finance"}
	s.Connections = 40
	s.FarDelay = 500 * time.Microsecond
	s.Confirm = 1
	return s
}

// memberName returns the name of a group's n-th member.
func memberName(n int) bbrtype.MemberName { return bbrtype.MemberName(fmt.Sprintf("m%d", n+1)) }

func (s *Shape) centreOfMember(n int) bbrtype.DataCentre { return s.DataCentres[n%len(s.DataCentres)] }

// callerURL returns the address at which a caller reaches a group.
func callerURL(addr, caller string, g bbrtype.GroupName) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", caller, trialPassword, addr, g)
}

// settingsText writes the settings of the n-th instance.
func (s *Shape) settingsText(n int, platform string) string {
	return fmt.Sprintf(`[instance]
name = i%d
dataCentre = %s
callers = 127.0.0.1:0
control = 127.0.0.1:0
profiling = true
[store]
tableEndpoint = http://%s
objectEndpoint = %s
listURL = http://%s/instances
[secrets]
tokenKey = %s
adminKey = %s
storeAccessKey = trial
storeSecretKey = trial
[limits]
baseline = %s
%s
`, n+1, s.DataCentres[n%len(s.DataCentres)], platform, platform, platform, trialKey, trialKey, s.Baseline, s.Settings)
}

// ConfigText writes the fleet's configuration. address returns where a group's
// n-th member is reached.
func (s *Shape) ConfigText(address func(g bbrtype.GroupName, n int) string) (string, error) {
	verifier, err := bbrconfig.NewVerifier(trialPassword, []byte("a salt of trials"))
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %s\n", s.Name)
	fmt.Fprintf(&b, "[readPolicy view]\nmaxAge = %v\ncatchUpWait = %v\n", s.MaxAge, s.CatchUpWait)
	fmt.Fprintf(&b, "[class order]\npriority = 2\ntables = payments, orders, bookings\n")
	fmt.Fprintf(&b, "[class view]\npriority = 6\n")
	fmt.Fprintf(&b, "[tenant staff]\nweight = 2\npatience = %v\n[tenant public]\npatience = %v\n", s.Patience, s.Patience)
	names := make([]string, len(s.Groups))
	for i, g := range s.Groups {
		names[i] = string(g)
		fmt.Fprintf(&b, "[group %s]\nconnections = %d\nslots = %d\nconfirm = %d\n", g, s.Connections, s.Slots, s.Confirm)
		fmt.Fprintf(&b, "promoteSQL = SELECT standin_promote({term})\nfollowSQL = \"SELECT standin_follow('{host}', {port}, {term})\"\n")
		fmt.Fprintf(&b, "[route %s]\ngroup = %s\nreadPolicy = view\n", g, g)
		for n := range s.Members {
			fmt.Fprintf(&b, "[member %s/%s]\naddress = %s\ndataCentre = %s\n", g, memberName(n), address(g, n), s.centreOfMember(n))
		}
	}
	for _, caller := range []string{"staff", "public"} {
		fmt.Fprintf(&b, "[caller %s]\ntenant = %s\nclass = view\nverifier = %s\nroutes = %s\n", caller, caller, verifier, strings.Join(names, ", "))
	}
	return b.String(), nil
}
