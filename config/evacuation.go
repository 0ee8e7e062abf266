package config

import (
	"slices"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Evacuations holds the zones that operators have evacuated on the platform, in addition to those
// declared as Zone objects. Like the Directory, it has its own revision, because the platform
// stores it separately.
type Evacuations struct {
	Revision objectstore.Version `json:"revision"`
	Zones    []string            `json:"zones,omitempty"` // sorted
}

// EvacuatedZones returns the zones whose back ends get no new requests, both those evacuated on the
// platform and the declared ones, sorted.
func (d Document) EvacuatedZones() []string {
	zones := slices.Clone(d.Evacuations.Zones)
	for _, zone := range d.Content.Zones {
		if zone.Evacuated {
			zones = append(zones, zone.Name)
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
