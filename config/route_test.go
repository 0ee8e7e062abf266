package config_test

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
)

// TestSharesAreKept divides requests of many daemons by random weights: in any span of 300
// requests each service has its part, to within a few requests of each daemon.
func TestSharesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")
		phases := rapid.SliceOfN(rapid.Float64Range(0, 0.999), 1, 18).Draw(t, "phases")
		content := config.Content{Routes: []config.Route{{Name: "split", PathPrefix: "/"}}}
		total := 0
		for number, weight := range weights {
			name := fmt.Sprintf("s%d", number)
			content.Services = append(content.Services, config.Service{Name: name, RoutesOnly: true})
			content.Routes[0].Shares = append(content.Routes[0].Shares, config.Share{Service: name, Weight: weight})
			total += weight
		}
		var routes []*config.RunningRoute
		for range phases { // each daemon has its own
			snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: content})
			if err != nil {
				t.Fatal(err)
			}
			route, _ := snapshot.Match("any", "/x")
			routes = append(routes, route)
		}
		const span, spans = 300, 10
		for range spans {
			chosen := make(map[string]int)
			for turn := range span {
				daemon := turn % len(routes)
				chosen[routes[daemon].Choose(phases[daemon]).Service.Name]++
			}
			for number, weight := range weights {
				part := float64(chosen[fmt.Sprintf("s%d", number)]) / span
				allowed := 2.5 * float64(len(routes)) / span
				if off := math.Abs(part - float64(weight)/float64(total)); off > allowed {
					t.Fatalf("service %d: part %.3f, off by %.3f, allowed %.3f", number, part, off, allowed)
				}
			}
		}
	})
}
