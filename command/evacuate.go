package command

import (
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
)

// evacuateCommand evacuates zones, or takes them back.
type evacuateCommand struct {
	global *global
	changing
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
	word := "evacuate "
	if !c.evacuated {
		word = "restore "
	}
	edit := c.edit(word + strings.Join(c.Arguments.Zones, " "))
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

// checkZone refuses a zone in which no back end runs, which is a slip of the pen more
// often than not, and would evacuate nothing.
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
	return &exit{code: ExitNotFound, cause: errors.NotFoundf("ZONE %q: allowed: a zone of a back end (%s); it", zone, strings.Join(zones, ", "))}
}
