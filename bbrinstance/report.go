package bbrinstance

// reportMetrics sets the gauges.
func (i *Instance) reportMetrics() {
	v := i.deps.Registry.View()
	now := i.deps.Clock.Now()
	i.deps.Metrics.Control(v.AuthorityUntil.Sub(now), v.Journal.AppliedIndex, v.ConfigVersion)
	for _, g := range i.deps.Registry.Groups() {
		jg := v.Group(g.Name)
		for _, p := range g.Pools() {
			m := p.Ref().Member
			st := p.Stats()
			i.deps.Metrics.Member(g.Name, m, "openConnections", float64(st.Open))
			i.deps.Metrics.Member(g.Name, m, "grantedConnections", float64(st.Granted))
			i.deps.Metrics.Member(g.Name, m, "waiting", float64(st.Waiting))
			i.deps.Metrics.Member(g.Name, m, "statementLimit", float64(st.Limit))
			i.deps.Metrics.Member(g.Name, m, "lagSeconds", g.Tracker.AverageLag(m).Seconds())
			if jg != nil {
				if age, ok := g.Tracker.DataAge(now, jg, m); ok {
					i.deps.Metrics.Member(g.Name, m, "ageSeconds", age.Seconds())
				}
			}
		}
	}
}
