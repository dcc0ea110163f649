package supply

import (
	"maps"
	"slices"

	"shallotramp/internal/traffic/route"
)

// Evacuated returns the load as it is while the servers of some availability zones get nothing: the other zones of the
// service take the load of these zones in equal parts, as hosts send it to any of them. The load of the evacuated zones
// themselves stays, because it comes back at once when they return.
func (l Load) Evacuated(s *route.Service, zones []string) Load {
	if len(zones) == 0 || s.Scaling == nil {
		return l
	}
	var others []string
	moved := 0.0
	for zone := range s.Scaling.Prices {
		if slices.Contains(zones, zone) {
			moved += l[zone]
		} else {
			others = append(others, zone)
		}
	}
	out := maps.Clone(l)
	if out == nil {
		out = Load{}
	}
	for _, zone := range others {
		out[zone] += moved / float64(len(others))
	}
	return out
}

// HoldEvacuated removes the orders for evacuated availability zones. Their servers stay as they are, so that the zones can
// take their load as soon as they return.
func HoldEvacuated(orders []Order, zones []string) []Order {
	return slices.DeleteFunc(orders, func(o Order) bool { return slices.Contains(zones, o.Zone) })
}
