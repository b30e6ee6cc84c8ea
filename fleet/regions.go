package fleet

import (
	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
)

// HasHome reports whether a failure domain of the fleet lies in one of a call's homes.
func (b *Board) HasHome(homes pomelospring.Homes) bool {
	for _, region := range b.Regions {
		if homes.Allow(region) {
			return true
		}
	}
	return homes == nil
}

// InHomes reports whether a failure domain lies in one of a call's homes.
func (b *Board) InHomes(homes pomelospring.Homes, domain string) bool {
	return homes == nil || homes.Allow(b.Regions[domain])
}

// logUnknownHomes logs the homes of a configuration that name no region of the fleet.
func (o *OperatorRecords) logUnknownHomes(policy *pomelospring.Policy) {
	var unknown []string
	note := func(name string, homes pomelospring.Homes) {
		for _, region := range homes {
			if region == "" || !o.Board.HasHome(pomelospring.Homes{region}) {
				unknown = append(unknown, name+": "+region)
			}
		}
	}
	for i := range policy.Routes {
		note(policy.Routes[i].Name, policy.Routes[i].Homes)
	}
	for name, team := range policy.Teams {
		note(name, team.Homes)
	}
	if len(unknown) > 0 {
		events.Log(o.Logger, events.HomesUnknown, log.Fields{
			"version": policy.Version,
			"homes":   unknown[:min(len(unknown), maxLoggedKeys)],
			"count":   len(unknown),
		})
	}
}
