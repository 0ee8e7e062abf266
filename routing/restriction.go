package routing

import (
	"fmt"
	"strings"
	"time"
)

// Phrases in the causes of refused requests that name the restricted back ends; package explain
// matches them.
const (
	PhraseEvacuated = "back ends are in evacuated zones"
	PhraseCold      = "back ends are cold"
	PhraseReturning = "back ends have exited or are returning"
	PhraseLimited   = "back ends ask for fewer requests"
	PhrasePaused    = "back ends have asked the daemon for a pause"
)

// UnavailableReason describes why no back end takes requests.
func (g *Group) UnavailableReason() string {
	evacuated := g.countStates(func(state *BackendState) bool { return state.Evacuated })
	if evacuated == 0 {
		return "every back end is draining or none is placed"
	}
	return fmt.Sprintf("%d of %d %s, the others draining", evacuated, len(g.states), PhraseEvacuated)
}

// RestrictionSummary describes how many back ends take no or few requests because they are
// evacuated, cold, returning or limited; empty: none.
func (g *Group) RestrictionSummary(now time.Time) string {
	var parts []string
	if evacuated := g.countStates(func(state *BackendState) bool { return state.Evacuated }); evacuated > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d %s", evacuated, len(g.states), PhraseEvacuated))
	}
	if cold := g.countStates(func(state *BackendState) bool { return !state.Draining && state.Cold(now) }); cold > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d %s", cold, len(g.states), PhraseCold))
	}
	if g.returning > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d %s", g.returning, len(g.states), PhraseReturning))
	}
	if limited := g.countStates(func(state *BackendState) bool { return !state.Draining && state.limit.Limited }); limited > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d %s", limited, len(g.states), PhraseLimited))
	}
	return strings.Join(parts, ", ")
}

// countStates returns how many back ends match.
func (g *Group) countStates(match func(state *BackendState) bool) int {
	count := 0
	for _, state := range g.states {
		if match(state) {
			count++
		}
	}
	return count
}
