package command

import (
	"sort"
	"time"

	"github.com/tuliphall/tuliphall/config"
)

// rolloutsCommand lists the rollouts with their phases.
type rolloutsCommand struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	rollouts := []config.Rollout{}
	for _, rollout := range document.RolloutsByService() {
		rollouts = append(rollouts, rollout)
	}
	sort.Slice(rollouts, func(a, b int) bool { return rollouts[a].Service < rollouts[b].Service })
	return c.global.printRollouts(rollouts)
}

func (g *globalOptions) printRollouts(rollouts []config.Rollout) error {
	rows := [][]string{{"SERVICE", "VERSION", "WITHIN", "PHASE", "DECIDE BY", "REASON"}}
	for _, rollout := range rollouts {
		decideBy := ""
		if deadline := rollout.DecisionDeadline(); !deadline.IsZero() {
			decideBy = deadline.UTC().Format(time.RFC3339)
		}
		phase := string(rollout.Phase)
		if phase == "" {
			phase = "ordered"
		}
		rows = append(rows, []string{rollout.Service, rollout.Version, time.Duration(rollout.Within).String(), phase, decideBy, rollout.Reason})
	}
	return g.print(rollouts, rows)
}
