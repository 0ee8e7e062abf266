package peer

import (
	"context"
	"log/slog"

	"github.com/tuliphall/tuliphall/membership"
)

// linesPerChange is how many members that changed at once are logged one by one.
// More, as when a daemon starts, are logged as a count.
const linesPerChange = 3

// How a daemon came to believe something of a member, where no other told it.
const (
	byTime     = "time-out"
	byNoAnswer = "no-answer"
	bySelf     = "self"
)

// logTransitions logs what is newly believed of members, and who said so.
func (n *Node) logTransitions(changed []membership.Transition, source string) {
	if len(changed) > linesPerChange {
		n.logMany(changed, source)
		return
	}
	for _, one := range changed {
		before := one.Before.String()
		if one.New {
			before = "unknown"
		}
		level := slog.LevelInfo
		if one.Member.Status == membership.Dead {
			level = slog.LevelWarn
		}
		n.log.LogAttrs(context.Background(), level, "member "+one.Member.Status.String(), slog.String("member", one.Member.Name),
			slog.String("zone", one.Member.Zone), slog.String("before", before), slog.String("source", source))
	}
}

func (n *Node) logMany(changed []membership.Transition, source string) {
	counts := make(map[membership.Status]int)
	for _, one := range changed {
		counts[one.Member.Status]++
	}
	attributes := []slog.Attr{slog.String("source", source), slog.Int("known", len(n.View().Serving))}
	for _, status := range []membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
		if counts[status] > 0 {
			attributes = append(attributes, slog.Int(status.String(), counts[status]))
		}
	}
	n.log.LogAttrs(context.Background(), slog.LevelInfo, "members changed", attributes...)
}

// noteDispatcher logs who dispatches a service, if that is another daemon than
// before. It does not block.
func (n *Node) noteDispatcher(service string, chosen membership.Member) {
	before, known := n.dispatchers.Swap(service, chosen.Name)
	if known && before == chosen.Name {
		return
	}
	if !known {
		before = ""
	}
	n.log.LogAttrs(context.Background(), slog.LevelInfo, "dispatcher chosen", slog.String("service", service), slog.String("dispatcher", chosen.Name),
		slog.String("before", before.(string)), slog.Bool("self", chosen.Name == n.options.Self.Name), slog.Int("among", len(n.View().dispatchers)))
}
