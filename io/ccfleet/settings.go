package ccfleet

import (
	"context"
	"fmt"

	"go.yaml.in/yaml/v3"

	"camphorcroft/core/ccsettings"
	settingsio "camphorcroft/io/ccsettings"
)

// operator is who changes the settings, for the history.
const operator = "fleet"

// proposeSettings writes the first settings, all in the chair's section.
func (f *Fleet) proposeSettings(ctx context.Context) error {
	text, err := yaml.Marshal(f.initialSettings())
	if err != nil {
		return newError("write settings", KindSettings, err)
	}
	request := settingsio.Request{Section: ccsettings.Chair, File: "initial settings", Text: string(text), By: operator}
	if _, err := f.writer().Propose(ctx, request); err != nil {
		return newError("propose settings", KindSettings, err)
	}
	return nil
}

// initial is the shape of a section.
type initial struct {
	Services map[string]ccsettings.Service `yaml:"services"`
	Domains  map[string]ccsettings.Domain  `yaml:"domains"`
	Teams    map[string]ccsettings.Team    `yaml:"teams,omitempty"`
	Fleet    ccsettings.Fleet              `yaml:"fleet"`
}

func (f *Fleet) initialSettings() initial {
	domains := make(map[string]ccsettings.Domain, len(f.cfg.Profile.Domains))
	for _, name := range f.cfg.Profile.Domains {
		domains[name] = ccsettings.DefaultDomain()
	}
	fleet := ccsettings.DefaultFleet()
	if f.cfg.Cells > 0 {
		fleet.Cells = f.cfg.Cells
	}
	return initial{
		Fleet:    fleet,
		Services: map[string]ccsettings.Service{f.cfg.Profile.Service: f.serviceSettings()},
		Domains:  domains,
		Teams:    f.cfg.Teams,
	}
}

func (f *Fleet) serviceSettings() ccsettings.Service {
	service := ccsettings.DefaultService()
	if f.cfg.Service != nil {
		f.cfg.Service(&service)
	}
	return service
}

func (f *Fleet) writer() *settingsio.Writer {
	return settingsio.NewWriter(settingsio.WriterConfig{Store: f.store, Log: f.cfg.Log})
}

func (f *Fleet) reader() *settingsio.Reader {
	return settingsio.NewReader(settingsio.ReaderConfig{Store: f.store, Log: f.cfg.Log})
}

// Version returns the newest accepted version of the settings.
func (f *Fleet) Version(ctx context.Context) (uint64, error) {
	present, err := f.writer().Load(ctx)
	if err != nil {
		return 0, newError("read version", KindSettings, err)
	}
	return present.Merged.Effective.Version, nil
}

// SetDomain takes a failure domain out, or brings it back. It returns when the
// store has accepted the change.
func (f *Fleet) SetDomain(ctx context.Context, name string, out bool) error {
	present, err := f.writer().Load(ctx)
	if err != nil {
		return newError("set domain", KindSettings, err)
	}
	if _, known := present.Merged.Effective.Domains[name]; !known {
		return newError("set domain", KindSettings, fmt.Errorf("there is no domain %q", name))
	}
	key := ccsettings.Key("domains." + name + ".out")
	_, err = f.writer().Edit(ctx, ccsettings.Chair, operator, func(text string) (string, error) {
		return ccsettings.SetText(text, key, fmt.Sprint(out))
	})
	if err != nil {
		return newError("set domain", KindSettings, err)
	}
	return nil
}
