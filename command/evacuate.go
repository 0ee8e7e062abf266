package command

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// evacuateCommand evacuates zones, or restores evacuated zones.
type evacuateCommand struct {
	global *globalOptions
	changeOptions
	evacuated bool
	Wait      bool `long:"wait" description:"return when the change is in force at all daemons"`
	Arguments struct {
		Zones []string `positional-arg-name:"ZONE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	action := "evacuate "
	if !c.evacuated {
		action = "restore "
	}
	edit := c.edit(action + strings.Join(c.Arguments.Zones, " "))
	for _, zone := range c.Arguments.Zones {
		if !c.evacuated {
			edit.Deleted = append(edit.Deleted, config.ObjectKey{Kind: config.KindZone, Name: zone})
			continue
		}
		if err := checkZone(document, zone); err != nil {
			return err
		}
		edit.Set.Zones = append(edit.Set.Zones, config.Zone{Name: zone, Evacuated: true})
	}
	return c.global.change(edit, c.DryRun, c.Wait)
}

// checkZone rejects a zone without back ends: its evacuation would have no effect, and the name
// is usually a typing error.
func checkZone(document config.Document, zone string) error {
	var zones []string
	for _, backends := range document.BackendsByService() {
		for _, backend := range backends {
			if backend.Zone != "" {
				zones = append(zones, backend.Zone)
			}
		}
	}
	slices.Sort(zones)
	zones = slices.Compact(zones)
	if slices.Contains(zones, zone) {
		return nil
	}
	return &exitError{code: ExitNotFound, cause: errors.NotFoundf("ZONE %q: allowed: a zone of a back end (%s); it", zone, strings.Join(zones, ", "))}
}
