package experiment

import (
	"time"

	"github.com/tuliphall/tuliphall/lab/baseline"
	"github.com/tuliphall/tuliphall/lab/simulation"
	"github.com/tuliphall/tuliphall/routing"
)

// joinShortestQueue picks the candidate with the fewest requests according to the oracle.
type joinShortestQueue struct {
	oracle simulation.Oracle
}

// Pick implements routing.Picker.
func (j joinShortestQueue) Pick(info routing.PickInfo) int {
	return routing.LowestScore(info, func(candidate *routing.BackendState, _ float64) float64 { return float64(j.oracle(candidate.ID)) })
}

// withoutOracle adapts a picker that does not use the oracle.
func withoutOracle(picker func() routing.Picker) func(simulation.Oracle) routing.Picker {
	return func(simulation.Oracle) routing.Picker { return picker() }
}

func leastLoad() routing.Picker { return routing.LeastLoad{} }

// Names of systems that results of others are compared with.
const (
	OracleName  = "oracle"
	ProductName = "tuliphall"
)

// unlimitedOvercommit sets no practical limit for the requests at a back end.
func unlimitedOvercommit(int) int { return 1 << 20 }

// fixedOvercommit returns an overcommit that does not depend on the slots.
func fixedOvercommit(count int) func(int) int {
	return func(int) int { return count }
}

// Systems returns all systems, in the order of the tables.
func Systems() []simulation.System {
	return []simulation.System{
		{Name: "random", Picker: withoutOracle(func() routing.Picker { return baseline.Random{} }), Overcommit: unlimitedOvercommit},
		{Name: "round-robin", Picker: withoutOracle(func() routing.Picker { return &baseline.RoundRobin{} }), Overcommit: unlimitedOvercommit},
		{Name: "own-least", Picker: withoutOracle(func() routing.Picker { return baseline.LeastInFlight{} }), Overcommit: unlimitedOvercommit},
		{Name: "power-of-two", Picker: withoutOracle(func() routing.Picker { return baseline.PowerOfTwo{} }), Overcommit: unlimitedOvercommit},
		{Name: "own-load", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit},
		{Name: "reports", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, LoadReports: true},
		{Name: "exchange-1ms", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, ExchangeInterval: time.Millisecond},
		{Name: "exchange-5ms", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, ExchangeInterval: 5 * time.Millisecond},
		{Name: "exchange-20ms", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, ExchangeInterval: 20 * time.Millisecond},
		{Name: "exchange-100ms", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, ExchangeInterval: 100 * time.Millisecond},
		{Name: "zone-dispatch", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, Dispatchers: 4, ExchangeInterval: 20 * time.Millisecond},
		{Name: ProductName, Picker: withoutOracle(leastLoad), Overcommit: routing.DefaultOvercommit, Dispatchers: 1, Permits: true, LoadReports: true},
		{Name: "forwarding", Picker: withoutOracle(leastLoad), Overcommit: routing.DefaultOvercommit, Dispatchers: 1, LoadReports: true},
		{Name: "dispatch-least", Picker: withoutOracle(func() routing.Picker { return baseline.LeastInFlight{} }), Overcommit: routing.DefaultOvercommit, Dispatchers: 1},
		{Name: "dispatch-commit0", Picker: withoutOracle(leastLoad), Overcommit: fixedOvercommit(0), Dispatchers: 1},
		{Name: "dispatch-commit1", Picker: withoutOracle(leastLoad), Overcommit: fixedOvercommit(1), Dispatchers: 1},
		{Name: "dispatch-commit2", Picker: withoutOracle(leastLoad), Overcommit: fixedOvercommit(2), Dispatchers: 1},
		{Name: "dispatch-commit4", Picker: withoutOracle(leastLoad), Overcommit: fixedOvercommit(4), Dispatchers: 1},
		{Name: "dispatch-unlimited", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, Dispatchers: 1},
		{Name: OracleName, Picker: func(o simulation.Oracle) routing.Picker { return joinShortestQueue{oracle: o} }, Overcommit: unlimitedOvercommit},
		{Name: "central-queue", Picker: withoutOracle(leastLoad), Overcommit: unlimitedOvercommit, CentralQueue: true},
	}
}
