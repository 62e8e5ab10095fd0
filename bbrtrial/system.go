package bbrtrial

import (
	"github.com/bluebellroute/bluebellroute/bbrstandindb"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// System is a fleet that a workload runs against.
type System interface {
	// Groups returns the names of the database groups.
	Groups() []bbrtype.GroupName
	// Instances returns the number of instances.
	Instances() int
	// URL returns the address at which a caller reaches a group by an
	// instance.
	URL(instance int, caller string, g bbrtype.GroupName) string
	// SurvivingLog returns the log of a group's present primary.
	SurvivingLog(g bbrtype.GroupName) ([]bbrstandindb.LogEntry, error)
	// Reads returns how many reads the members have served as primaries and
	// as replicas.
	Reads() (primary, replica int64)
	// PeakConnections returns the highest number of connections to a member.
	PeakConnections() int
}

var (
	_ System = (*Fleet)(nil)
	_ System = (*ProcessFleet)(nil)
)
