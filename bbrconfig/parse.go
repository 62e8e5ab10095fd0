package bbrconfig

import (
	"fmt"
	"sort"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/bluebellroute/bluebellroute/bbrfailover"
	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// unset stands for an integer that depends on other keys.
const unset = -1

// maxNameLength bounds the names of objects.
const maxNameLength = 63

// parser collects a configuration and its problems.
type parser struct {
	file     string
	cfg      *Config
	problems bbrini.Problems
	// seen are the section names met so far.
	seen map[string]bool
}

// newParser returns a parser with an empty configuration.
func newParser(file string) *parser {
	return &parser{
		file: file,
		cfg: &Config{
			Groups:       map[bbrtype.GroupName]*Group{},
			Policies:     map[PolicyName]*ReadPolicy{},
			Classes:      map[ClassName]*Class{},
			Tenants:      map[bbrtype.TenantName]*Tenant{},
			Routes:       map[bbrtype.RouteName]*Route{},
			Callers:      map[bbrtype.CallerName]*Caller{},
			Operators:    map[OperatorName]*Operator{},
			classOfTable: map[string]*Class{},
		},
		seen: map[string]bool{},
	}
}

// Parse reads and checks a configuration. The configuration is to be used only
// if there are no problems.
func Parse(file string, text []byte) (*Config, []bbrini.Problem) {
	p := newParser(file)
	f := bbrini.Load(file, text, &p.problems)
	if f == nil {
		return p.cfg, p.problems.List
	}
	for _, s := range f.Sections() {
		p.section(s)
	}
	p.check()
	return p.cfg, p.problems.List
}

func (p *parser) add(section, key, what, hint string) {
	p.problems.Add(p.file, section, key, what, hint)
}

// section reads one section into its object.
func (p *parser) section(s *ini.Section) {
	r := bbrini.NewReader(p.file, s, &p.problems)
	if s.Name() == ini.DefaultSection {
		p.cfg.Name = r.Text("name", "")
		r.Finish()
		if p.cfg.Name == "" {
			p.add("", "name", "the configuration has no name", "begin the file with name = NAME")
		}
		return
	}
	kind, name, ok := strings.Cut(s.Name(), " ")
	name = strings.TrimSpace(name)
	if !ok || !isName(name) {
		p.add(s.Name(), "", "a section is headed by a kind and a name of letters, digits, '-', '_' and '.'", "write it as [group billing]")
		return
	}
	if p.seen[kind+" "+name] {
		p.add(s.Name(), "", "the section stands twice", "join the two")
		return
	}
	p.seen[kind+" "+name] = true
	switch kind {
	case "group":
		p.group(r, name)
	case "member":
		p.member(r, name)
	case "readPolicy":
		p.policy(r, name)
	case "class":
		p.class(r, name)
	case "tenant":
		p.tenant(r, name)
	case "route":
		p.route(r, name)
	case "caller":
		p.caller(r, name)
	case "operator":
		p.operator(r, name)
	default:
		p.add(s.Name(), "", fmt.Sprintf("unknown kind %q", kind), bbrini.Suggest(kind, kinds))
		return
	}
	r.Finish()
}

var kinds = []string{"group", "member", "readPolicy", "class", "tenant", "route", "caller", "operator"}

// isName reports whether a name can be used. A member's is GROUP/NAME.
func isName(s string) bool {
	if s == "" || len(s) > 2*maxNameLength+1 {
		return false
	}
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', strings.ContainsRune("-_./", r):
		default:
			return false
		}
	}
	return true
}

func (p *parser) groupOf(name bbrtype.GroupName) *Group {
	g := p.cfg.Groups[name]
	if g == nil {
		g = &Group{Name: name, Members: map[bbrtype.MemberName]Member{}}
		p.cfg.Groups[name] = g
	}
	return g
}

func (p *parser) group(r *bbrini.Reader, name string) {
	g := p.groupOf(bbrtype.GroupName(name))
	g.Database = r.Text("database", name)
	g.User = r.Text("user", "bluebellroute")
	g.Password = SecretName(r.Text("passwordSecret", ""))
	g.TLS = r.Boolean("tls", false)
	g.Connections = r.Integer("connections", DefaultConnections, 1, 10000)
	g.Slots = r.Integer("slots", DefaultSlots, 1, 10000)
	g.Confirm = r.Integer("confirm", 0, 0, 8)
	g.ConfirmKeyed = r.Integer("confirmKeyed", unset, 0, 8)
	g.ConfirmWait = r.Duration("confirmWait", DefaultConfirmWait)
	g.OnLoss = bbrini.Choice(r, "onLoss", bbrfailover.LossWait, bbrfailover.LossWait, bbrfailover.LossPromote)
	g.LossAfter = r.Duration("lossAfter", DefaultLossAfter)
	g.RequestKeys = bbrini.Choice(r, "requestKeys", KeysOn, KeysOn, KeysOff)
	g.StateSQL = r.Text("stateSQL", DefaultStateSQL)
	g.PromoteSQL = r.Text("promoteSQL", DefaultPromoteSQL)
	g.FollowSQL = r.Text("followSQL", DefaultFollowSQL)
	g.Owner = r.Text("owner", "")
}

func (p *parser) member(r *bbrini.Reader, name string) {
	group, short, ok := strings.Cut(name, "/")
	if !ok {
		p.add(r.Name, "", "a member is named GROUP/NAME", "write it as [member billing/m1]")
		return
	}
	m := Member{
		Group:      bbrtype.GroupName(group),
		Name:       bbrtype.MemberName(short),
		Address:    r.Address("address", ""),
		DataCentre: bbrtype.DataCentre(r.Text("dataCentre", "")),
	}
	p.groupOf(m.Group).Members[m.Name] = m
}

func (p *parser) policy(r *bbrini.Reader, name string) {
	p.cfg.Policies[PolicyName(name)] = &ReadPolicy{
		Name:        PolicyName(name),
		Replicas:    bbrini.Choice(r, "replicas", ReplicasPrefer, ReplicasPrefer, ReplicasNever),
		MaxAge:      r.Duration("maxAge", DefaultMaxAge),
		CatchUpWait: r.Duration("catchUpWait", DefaultCatchUpWait),
		Owner:       r.Text("owner", ""),
	}
}

func (p *parser) class(r *bbrini.Reader, name string) {
	p.cfg.Classes[ClassName(name)] = &Class{
		Name:     ClassName(name),
		Priority: r.Integer("priority", DefaultPriority, 1, 9),
		Tables:   r.List("tables"),
		Owner:    r.Text("owner", ""),
	}
}

func (p *parser) tenant(r *bbrini.Reader, name string) {
	p.cfg.Tenants[bbrtype.TenantName(name)] = &Tenant{
		Name:           bbrtype.TenantName(name),
		Weight:         r.Integer("weight", 1, 1, 1000),
		Queue:          r.Integer("queue", DefaultQueue, 1, 1000000),
		Patience:       r.Duration("patience", DefaultPatience),
		MaxConnections: r.Integer("maxConnections", 0, 0, 1000000),
		Owner:          r.Text("owner", ""),
	}
}

func (p *parser) route(r *bbrini.Reader, name string) {
	p.cfg.Routes[bbrtype.RouteName(name)] = &Route{
		Name:   bbrtype.RouteName(name),
		Group:  bbrtype.GroupName(r.Text("group", name)),
		Policy: PolicyName(r.Text("readPolicy", "")),
		Owner:  r.Text("owner", ""),
	}
}

func (p *parser) caller(r *bbrini.Reader, name string) {
	c := &Caller{
		Name:           bbrtype.CallerName(name),
		Tenant:         bbrtype.TenantName(r.Text("tenant", "")),
		Verifier:       r.Text("verifier", ""),
		Class:          ClassName(r.Text("class", "")),
		MaxConnections: r.Integer("maxConnections", 0, 0, 1000000),
		Owner:          r.Text("owner", ""),
	}
	for _, route := range r.List("routes") {
		c.Routes = append(c.Routes, bbrtype.RouteName(route))
	}
	p.cfg.Callers[c.Name] = c
}

// sortedNames returns map keys in order, so that problems come in order.
func sortedNames[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
