// Package bbrfair computes the order of weighted fair queueing between tenants.
//
// Each unit of work of a tenant gets a virtual finish time, and the unit with the lowest
// time is next. The finish times of a tenant are 1/weight apart, so that tenants which
// have work get units in proportion to their weights. A tenant that had no work begins at
// the current virtual time: it neither saves units up nor pays for earlier ones.
//
// The package is pure: it holds no lock and reads no clock.
//
// # Usage
//
//	var c bbrfair.Clock
//	finish := c.Next("residents", 1)
//	c.Assign("residents", finish)
//	…
//	c.Advance(finish) // when the unit is served
package bbrfair

import "github.com/bluebellroute/bluebellroute/bbrtype"

// Time is a virtual time.
type Time float64

// Clock is the virtual clock of one queue. The zero value is ready to use.
type Clock struct {
	// now is the finish time of the unit that was served last.
	now Time
	// last is the latest finish time that was assigned to each tenant.
	last map[bbrtype.TenantName]Time
}

// Next returns the finish time of a tenant's next unit. A weight below 1 counts as 1.
func (c *Clock) Next(t bbrtype.TenantName, weight int) Time {
	return max(c.now, c.last[t]) + Step(weight)
}

// Step returns the difference between two finish times of a tenant. A weight below 1
// counts as 1.
func Step(weight int) Time { return 1 / Time(max(weight, 1)) }

// Assign records the finish time of a tenant's newest unit.
func (c *Clock) Assign(t bbrtype.TenantName, finish Time) {
	if c.last == nil {
		c.last = map[bbrtype.TenantName]Time{}
	}
	c.last[t] = finish
}

// Join lets a tenant that had no work begin at the current virtual time.
func (c *Clock) Join(t bbrtype.TenantName) { c.Assign(t, max(c.now, c.last[t])) }

// Now returns the virtual time.
func (c *Clock) Now() Time { return c.now }

// Last returns the finish time of a tenant's newest unit.
func (c *Clock) Last(t bbrtype.TenantName) Time { return c.last[t] }

// Advance moves the virtual time to the finish time of a unit that is served. It never
// moves back.
func (c *Clock) Advance(finish Time) { c.now = max(c.now, finish) }

// Reset forgets all units, for a queue that is empty.
func (c *Clock) Reset() {
	clear(c.last)
	c.now = 0
}
