package command

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/admin"
)

// quarantinedCommand lists requests under which back ends ended.
type quarantinedCommand struct {
	global *global
}

// Execute implements flags.Commander.
func (c *quarantinedCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	requests, err := c.global.client().CrashingRequests(ctx)
	if err != nil {
		return err
	}
	return c.global.printCrashingRequests(requests)
}

// quarantineCommand holds requests back, or lets them through again.
type quarantineCommand struct {
	global    *global
	release   bool
	Arguments struct {
		Fingerprints []string `positional-arg-name:"FINGERPRINT" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *quarantineCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	requests, err := c.global.client().UpdateQuarantine(ctx, admin.QuarantineUpdate{Fingerprints: c.Arguments.Fingerprints, Release: c.release})
	if err != nil {
		return err
	}
	return c.global.printCrashingRequests(requests)
}

func (g *global) printCrashingRequests(requests []admin.CrashingRequest) error {
	rows := [][]string{{"FINGERPRINT", "SERVICE", "ENDINGS", "HELD UNTIL", "ORDERED", "REQUEST"}}
	for _, one := range requests {
		until := "not held"
		if one.Quarantined {
			until = one.Until.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{one.Fingerprint, one.Service, fmt.Sprint(one.Crashes), until, fmt.Sprint(one.Manual), one.Description})
	}
	return g.print(requests, rows)
}
