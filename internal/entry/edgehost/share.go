package edgehost

import (
	"shallotramp/internal/fleet/gossip"
	"shallotramp/internal/traffic/share"
)

func encodeDemands(demands []share.Demand) []*gossip.OrganisationDemand {
	out := make([]*gossip.OrganisationDemand, 0, len(demands))
	for _, d := range demands {
		out = append(out, &gossip.OrganisationDemand{
			Service: d.Service, Tier: int32(d.Tier), Organisation: d.Organisation, Work: int32(d.Work * perMille),
		})
	}
	return out
}

func decodeDemands(in []*gossip.OrganisationDemand) []share.Demand {
	out := make([]share.Demand, 0, len(in))
	for _, d := range in {
		out = append(out, share.Demand{
			Flow: share.Flow{Service: d.GetService(), Tier: int(d.GetTier()), Organisation: d.GetOrganisation()}, Work: float64(d.GetWork()) / perMille,
		})
	}
	return out
}
