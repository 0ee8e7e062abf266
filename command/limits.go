package command

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/config"
)

// limitsList returns the limits as a list, which is empty if none are declared.
func limitsList(limits *config.RequestLimits) []config.RequestLimits {
	if limits == nil {
		return nil
	}
	return []config.RequestLimits{*limits}
}

func (g *globalOptions) printLimits(limits *config.RequestLimits) error {
	rows := [][]string{{"NAME", "MAX-HEADER-BYTES", "MAX-BODY-BYTES", "HEADER-TIMEOUT", "IDLE-TIMEOUT"}}
	for _, declared := range limitsList(limits) {
		rows = append(rows, []string{
			config.LimitsName, fmt.Sprint(declared.MaxHeaderBytes), fmt.Sprint(declared.MaxBodyBytes),
			time.Duration(declared.HeaderTimeout).String(), time.Duration(declared.IdleTimeout).String(),
		})
	}
	return g.print(limitsList(limits), rows)
}
