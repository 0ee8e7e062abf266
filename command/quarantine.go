package command

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/admin"
)

// quarantinedCommand lists crashing requests.
type quarantinedCommand struct {
	global *globalOptions
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

// quarantineCommand quarantines requests, or releases them.
type quarantineCommand struct {
	global    *globalOptions
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

func (g *globalOptions) printCrashingRequests(requests []admin.CrashingRequest) error {
	rows := [][]string{{"FINGERPRINT", "SERVICE", "ENDINGS", "HELD UNTIL", "ORDERED", "REQUEST"}}
	for _, request := range requests {
		until := "not held"
		if request.Quarantined {
			until = request.Until.UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{request.Fingerprint, request.Service, fmt.Sprint(request.Crashes), until, fmt.Sprint(request.Manual), request.Description})
	}
	return g.print(requests, rows)
}
