package ccfleet

import (
	"camphorcroft/core/ccload"
	"camphorcroft/core/ccsettings"
)

// initialSettings are what the operators of the fleet have agreed on.
func (f *Fleet) initialSettings() *ccsettings.Effective {
	return initialSettings(f.cfg.Profile, f.cfg.Service, f.cfg.Teams)
}

func initialSettings(profile ccload.Profile, change func(*ccsettings.Service), teams map[string]ccsettings.Team) *ccsettings.Effective {
	service := ccsettings.DefaultService()
	if change != nil {
		change(&service)
	}
	domains := make(map[string]ccsettings.Domain, len(profile.Domains))
	for _, name := range profile.Domains {
		domains[name] = ccsettings.DefaultDomain()
	}
	return &ccsettings.Effective{
		Services: map[string]ccsettings.Service{profile.Service: service},
		Domains:  domains,
		Teams:    teams,
		Fleet:    ccsettings.DefaultFleet(),
	}
}
