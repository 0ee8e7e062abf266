package peer

import (
	"context"
	"log/slog"

	"github.com/tuliphall/tuliphall/membership"
)

// maxLoggedTransitions is how many simultaneous transitions are logged individually. More, as when
// a daemon starts, are logged as counts.
const maxLoggedTransitions = 3

// Sources of member transitions that no other member reported.
const (
	sourceTimeout  = "time-out"
	sourceNoAnswer = "no-answer"
	sourceSelf     = "self"
)

// logTransitions logs status changes of members and their source.
func (n *Node) logTransitions(transitions []membership.Transition, source string) {
	if len(transitions) > maxLoggedTransitions {
		n.logTransitionCounts(transitions, source)
		return
	}
	for _, transition := range transitions {
		before := transition.Before.String()
		if transition.New {
			before = "unknown"
		}
		level := slog.LevelInfo
		if transition.Member.Status == membership.Dead {
			level = slog.LevelWarn
		}
		n.log.LogAttrs(context.Background(), level, "member "+transition.Member.Status.String(), slog.String("member", transition.Member.Name),
			slog.String("zone", transition.Member.Zone), slog.String("before", before), slog.String("source", source))
	}
}

func (n *Node) logTransitionCounts(transitions []membership.Transition, source string) {
	counts := make(map[membership.Status]int)
	for _, transition := range transitions {
		counts[transition.Member.Status]++
	}
	attributes := []slog.Attr{slog.String("source", source), slog.Int("known", len(n.View().Serving))}
	for _, status := range []membership.Status{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
		if counts[status] > 0 {
			attributes = append(attributes, slog.Int(status.String(), counts[status]))
		}
	}
	n.log.LogAttrs(context.Background(), slog.LevelInfo, "members changed", attributes...)
}

// recordDispatcher logs the dispatcher of a service if it has changed. It does not block.
func (n *Node) recordDispatcher(service string, chosen membership.Member) {
	before, known := n.lastDispatchers.Swap(service, chosen.Name)
	if known && before == chosen.Name {
		return
	}
	if !known {
		before = ""
	}
	n.log.LogAttrs(context.Background(), slog.LevelInfo, "dispatcher chosen", slog.String("service", service), slog.String("dispatcher", chosen.Name),
		slog.String("before", before.(string)), slog.Bool("self", chosen.Name == n.options.Self.Name), slog.Int("among", len(n.View().dispatcherCandidates)))
}
