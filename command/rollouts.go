package command

import (
	"sort"
	"time"

	"github.com/tuliphall/tuliphall/config"
)

// rolloutsCommand lists the rollouts and how far they are.
type rolloutsCommand struct {
	global *global
}

// Execute implements flags.Commander.
func (c *rolloutsCommand) Execute([]string) error {
	ctx, cancel := c.global.context()
	defer cancel()
	document, err := c.global.client().Document(ctx)
	if err != nil {
		return err
	}
	orders := []config.Rollout{}
	for _, one := range document.RolloutsByService() {
		orders = append(orders, one)
	}
	sort.Slice(orders, func(a, b int) bool { return orders[a].Service < orders[b].Service })
	return c.global.printRollouts(orders)
}

func (g *global) printRollouts(orders []config.Rollout) error {
	rows := [][]string{{"SERVICE", "VERSION", "WITHIN", "PHASE", "DECIDE BY", "REASON"}}
	for _, one := range orders {
		decideBy := ""
		if due := one.DecisionDeadline(); !due.IsZero() {
			decideBy = due.UTC().Format(time.RFC3339)
		}
		phase := string(one.Phase)
		if phase == "" {
			phase = "ordered"
		}
		rows = append(rows, []string{one.Service, one.Version, time.Duration(one.Within).String(), phase, decideBy, one.Reason})
	}
	return g.print(orders, rows)
}
