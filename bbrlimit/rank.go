package bbrlimit

import (
	"slices"

	"github.com/bluebellroute/bluebellroute/bbrrendezvous"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// maxOwners bounds the number of a tenant's owners, so that the bucket of each holds at least
// one token.
const maxOwners = 4

// Instance is a listed instance.
type Instance struct {
	ID         bbrtype.InstanceID
	DataCentre bbrtype.DataCentre
}

// maxRunnersUp is the number of instances that a new owner asks to yield a tenant. The owner
// before is among them unless more instances of its data centre were added at once.
const maxRunnersUp = 3

// limitKey is the rendezvous key of a tenant's owners. It must be the same in all instances.
func limitKey(tenant bbrtype.TenantName) string { return "limit/" + string(tenant) }

// RunnersUp returns the instances of a data centre that rank directly after the tenant's owner
// there.
func RunnersUp(tenant bbrtype.TenantName, dataCentre bbrtype.DataCentre, instances []Instance) []bbrtype.InstanceID {
	var ids []bbrtype.InstanceID
	for _, i := range instances {
		if i.DataCentre == dataCentre {
			ids = append(ids, i.ID)
		}
	}
	ranked := bbrrendezvous.Top(limitKey(tenant), ids, 1+maxRunnersUp)
	return ranked[min(1, len(ranked)):]
}

// Owners returns the owners of a tenant: the first-ranked instance of each data centre, of up
// to maxOwners data centres. The owner in the data centre own comes first, if there is one.
// Instances with the same list choose the same owners.
func Owners(tenant bbrtype.TenantName, own bbrtype.DataCentre, instances []Instance) []Instance {
	key := limitKey(tenant)
	byDataCentre := map[bbrtype.DataCentre][]bbrtype.InstanceID{}
	var dataCentres []bbrtype.InstanceID
	for _, i := range instances {
		if byDataCentre[i.DataCentre] == nil {
			dataCentres = append(dataCentres, bbrtype.InstanceID(i.DataCentre))
		}
		byDataCentre[i.DataCentre] = append(byDataCentre[i.DataCentre], i.ID)
	}
	var out []Instance
	for _, id := range bbrrendezvous.Top(key, dataCentres, maxOwners) {
		dataCentre := bbrtype.DataCentre(id)
		out = append(out, Instance{ID: bbrrendezvous.Top(key, byDataCentre[dataCentre], 1)[0], DataCentre: dataCentre})
	}
	if i := slices.IndexFunc(out, func(i Instance) bool { return i.DataCentre == own }); i > 0 {
		first := out[i]
		copy(out[1:i+1], out[:i])
		out[0] = first
	}
	return out
}
