package bbrconfig

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bluebellroute/bluebellroute/bbrini"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// ReservedConnections are the connections of each member that callers do not
// get: three for probes, and two for orders to the member and for closing
// connections that went silent, so that a full member can still be promoted.
const ReservedConnections = 5

// check looks at the whole set: references, limits and what can't be met.
func (p *parser) check() {
	for _, name := range sortedNames(p.cfg.Groups) {
		p.checkGroup(p.cfg.Groups[name])
	}
	p.checkAddresses()
	for _, name := range sortedNames(p.cfg.Routes) {
		p.checkRoute(p.cfg.Routes[name])
	}
	for _, name := range sortedNames(p.cfg.Callers) {
		p.checkCaller(p.cfg.Callers[name])
	}
	p.checkClasses()
}

func (p *parser) checkGroup(g *Group) {
	section := "group " + string(g.Name)
	if !p.seen[section] {
		p.add(fmt.Sprintf("member %s/%s", g.Name, g.MemberNames()[0]), "", fmt.Sprintf("there is no group %q", g.Name),
			bbrini.Suggest(string(g.Name), p.sectionNames("group")))
		return
	}
	if strings.Contains(string(g.Name), "/") {
		p.add(section, "", "a group's name has no slash", "")
	}
	if len(g.Members) == 0 {
		p.add(section, "", "the group has no members", fmt.Sprintf("add [member %s/m1] with its address", g.Name))
	}
	if g.ConfirmKeyed == unset {
		// One replica, where there is one.
		g.ConfirmKeyed = min(1, max(0, len(g.Members)-1))
	}
	p.checkConfirm(section, "confirm", g.Confirm, g)
	p.checkConfirm(section, "confirmKeyed", g.ConfirmKeyed, g)
	if g.Connections <= ReservedConnections {
		p.add(section, "connections", fmt.Sprintf("%d connections leave none to callers: %d are kept for probes", g.Connections, ReservedConnections),
			fmt.Sprintf("at least %d", ReservedConnections+1))
	}
	if g.Slots > g.Connections {
		p.add(section, "slots", fmt.Sprintf("%d statements at once need as many connections; the limit is %d", g.Slots, g.Connections),
			"lower slots or raise connections")
	}
	if !strings.Contains(g.FollowSQL, "{host}") || !strings.Contains(g.FollowSQL, "{port}") {
		p.add(section, "followSQL", "the statement does not name the primary", "use the placeholders {host} and {port}")
	}
}

// checkConfirm finds a number of replicas that the group does not have.
func (p *parser) checkConfirm(section, key string, n int, g *Group) {
	if n > 0 && n >= len(g.Members) {
		p.add(section, key, fmt.Sprintf("%d replicas can't confirm a write: the group has %d", n, max(0, len(g.Members)-1)),
			"lower it or add members")
	}
}

// sectionNames returns the names of all sections of a kind.
func (p *parser) sectionNames(kind string) []string {
	var out []string
	for s := range p.seen {
		if name, ok := strings.CutPrefix(s, kind+" "); ok {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// checkAddresses finds two members at the same address.
func (p *parser) checkAddresses() {
	taken := map[string]string{}
	for _, g := range sortedNames(p.cfg.Groups) {
		for _, name := range p.cfg.Groups[g].MemberNames() {
			m := p.cfg.Groups[g].Members[name]
			section := fmt.Sprintf("member %s/%s", g, name)
			if other, ok := taken[m.Address]; ok && m.Address != "" {
				p.add(section, "address", fmt.Sprintf("%s is the address of [%s] too", m.Address, other), "give each member its own")
				continue
			}
			taken[m.Address] = section
		}
	}
}

func (p *parser) checkRoute(r *Route) {
	section := "route " + string(r.Name)
	g, ok := p.cfg.Groups[r.Group]
	if !ok {
		p.add(section, "group", fmt.Sprintf("there is no group %q", r.Group), bbrini.Suggest(string(r.Group), p.sectionNames("group")))
	}
	if r.Policy == "" {
		return
	}
	policy, known := p.cfg.Policies[r.Policy]
	if !known {
		p.add(section, "readPolicy", fmt.Sprintf("there is no read policy %q", r.Policy), bbrini.Suggest(string(r.Policy), p.sectionNames("readPolicy")))
		return
	}
	if ok && policy.Replicas == ReplicasPrefer && len(g.Members) < 2 {
		p.add(section, "readPolicy", fmt.Sprintf("no member can meet %q: group %q has no replica", r.Policy, r.Group),
			"add a member or set replicas = never in the policy")
	}
}

func (p *parser) checkCaller(c *Caller) {
	section := "caller " + string(c.Name)
	if _, ok := p.cfg.Tenants[c.Tenant]; !ok {
		p.add(section, "tenant", fmt.Sprintf("there is no tenant %q", c.Tenant), bbrini.Suggest(string(c.Tenant), p.sectionNames("tenant")))
	}
	if _, ok := p.cfg.Classes[c.Class]; !ok && c.Class != "" {
		p.add(section, "class", fmt.Sprintf("there is no class %q", c.Class), bbrini.Suggest(string(c.Class), p.sectionNames("class")))
	}
	if len(c.Routes) == 0 {
		p.add(section, "routes", "the caller may use no route", "name at least one")
	}
	for _, r := range c.Routes {
		if _, ok := p.cfg.Routes[r]; !ok {
			p.add(section, "routes", fmt.Sprintf("there is no route %q", r), bbrini.Suggest(string(r), p.sectionNames("route")))
		}
	}
	if _, err := ParseVerifier(c.Verifier); err != nil {
		p.add(section, "verifier", err.Error(), "make one with: bluebellroute verifier")
	}
}

// checkClasses gives each table its class.
func (p *parser) checkClasses() {
	for _, name := range sortedNames(p.cfg.Classes) {
		c := p.cfg.Classes[name]
		for _, t := range c.Tables {
			if other, ok := p.cfg.classOfTable[t]; ok {
				p.add("class "+string(name), "tables", fmt.Sprintf("table %q is in class %q too", t, other.Name), "a table has one class")
				continue
			}
			p.cfg.classOfTable[t] = c
		}
	}
}

// MayUse reports whether a caller may use a route.
func (c *Caller) MayUse(r bbrtype.RouteName) bool { return slices.Contains(c.Routes, r) }
