package config

import (
	"slices"

	"github.com/tuliphall/tuliphall/objectstore"
)

// Evacuations are the zones that a platform's operators have evacuated, beside those that
// are declared with the product's own Zone objects. They have a revision of their own, as
// the Directory has, because the platform keeps them apart from all else.
type Evacuations struct {
	Revision objectstore.Version `json:"revision"`
	Zones    []string            `json:"zones,omitempty"` // sorted
}

// EvacuatedZones returns the zones whose back ends get no new requests, whoever said so, sorted.
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
