package config_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
)

// largestError returns by how many requests the part of a service can be off, whatever its
// weight, in any so many turns of one daemon: the turns are points on a circle, a part is an
// arc, and the worst arcs begin and end at points.
func largestError(turns int) float64 {
	ratio := (math.Sqrt(5) - 1) / 2
	points := make([]float64, turns)
	for turn := range points {
		_, points[turn] = math.Modf(float64(turn) * ratio)
	}
	slices.Sort(points)
	least, most := math.Inf(1), math.Inf(-1)
	for index, point := range points {
		ahead := float64(index) - point*float64(turns)
		least, most = min(least, ahead), max(most, ahead)
	}
	return 1 + most - least
}

// TestLargestError: in 300 turns the worst part is off by 3.1 requests.
func TestLargestError(t *testing.T) {
	require.InDelta(t, 3.0996, largestError(300), 0.0001)
}

// TestSharesAreKept divides requests of many daemons by random weights: in any span of 300
// requests each service has its part, to within what the daemons' turns can be off.
func TestSharesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checkShares(t, rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights"), rapid.SliceOfN(rapid.Float64Range(0, 0.999), 1, 18).Draw(t, "phases"))
	})
}

// TestSharesOfOneDaemonAtTheEndOfATurn guards against a part that is off by more than one daemon's turns can be.
func TestSharesOfOneDaemonAtTheEndOfATurn(t *testing.T) {
	checkShares(t, []int{2, 3, 16, 75}, []float64{0.999})
}

// failer is what checkShares needs of a test.
type failer interface {
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
}

// checkShares divides requests of daemons, each with a phase of its own, by weights.
func checkShares(t failer, weights []int, phases []float64) {
	content := config.Content{Routes: []config.Route{{Name: "split", PathPrefix: "/"}}}
	total := 0
	for number, weight := range weights {
		name := fmt.Sprintf("s%d", number)
		content.Services = append(content.Services, config.Service{Name: name, RoutesOnly: true})
		content.Routes[0].Shares = append(content.Routes[0].Shares, config.Share{Service: name, Weight: weight})
		total += weight
	}
	var routes []*config.CompiledRoute
	for range phases { // each daemon has its own
		snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: content})
		if err != nil {
			t.Fatal(err)
		}
		route, _ := snapshot.Match("any", "/x")
		routes = append(routes, route)
	}
	const span, spans = 300, 10
	allowed := 0.0
	for daemon := range phases {
		turns := span / len(phases)
		if daemon < span%len(phases) {
			turns++
		}
		allowed += largestError(turns) / span
	}
	for range spans {
		chosen := make(map[string]int)
		for turn := range span {
			daemon := turn % len(routes)
			chosen[routes[daemon].NextTarget(phases[daemon]).Service.Name]++
		}
		for number, weight := range weights {
			part := float64(chosen[fmt.Sprintf("s%d", number)]) / span
			if off := math.Abs(part - float64(weight)/float64(total)); off > allowed {
				t.Fatalf("service %d: part %.4f, off by %.4f, allowed %.4f", number, part, off, allowed)
			}
		}
	}
}
