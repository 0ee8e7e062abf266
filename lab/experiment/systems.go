package experiment

import (
	"time"

	"github.com/tuliphall/tuliphall/lab/baseline"
	"github.com/tuliphall/tuliphall/lab/simulation"
	"github.com/tuliphall/tuliphall/routing"
)

// joinShortest picks by what an oracle knows of every back end now.
type joinShortest struct {
	oracle simulation.Oracle
}

// Pick implements routing.Picker.
func (j joinShortest) Pick(info routing.PickInfo) int {
	return routing.LowestScore(info, func(candidate *routing.BackendState, _ float64) float64 { return float64(j.oracle(candidate.ID)) })
}

func always(picker func() routing.Picker) func(simulation.Oracle) routing.Picker {
	return func(simulation.Oracle) routing.Picker { return picker() }
}

func leastLoad() routing.Picker { return routing.LeastLoad{} }

// Names of systems that others are compared with.
const (
	OracleName  = "oracle"
	ProductName = "tuliphall"
)

// unlimited lets a daemon send any number of requests to a back end.
func unlimited(int) int { return 1 << 20 }

// fixed is an overcommit that does not depend on the slots.
func fixed(count int) func(int) int {
	return func(int) int { return count }
}

// Systems returns every system by name, in the order of the tables.
func Systems() []simulation.System {
	return []simulation.System{
		{Name: "random", Picker: always(func() routing.Picker { return baseline.Random{} }), Overcommit: unlimited},
		{Name: "round-robin", Picker: always(func() routing.Picker { return &baseline.RoundRobin{} }), Overcommit: unlimited},
		{Name: "own-least", Picker: always(func() routing.Picker { return baseline.LeastInFlight{} }), Overcommit: unlimited},
		{Name: "power-of-two", Picker: always(func() routing.Picker { return baseline.PowerOfTwo{} }), Overcommit: unlimited},
		{Name: "own-load", Picker: always(leastLoad), Overcommit: unlimited},
		{Name: "reports", Picker: always(leastLoad), Overcommit: unlimited, LoadReports: true},
		{Name: "exchange-1ms", Picker: always(leastLoad), Overcommit: unlimited, ExchangeInterval: time.Millisecond},
		{Name: "exchange-5ms", Picker: always(leastLoad), Overcommit: unlimited, ExchangeInterval: 5 * time.Millisecond},
		{Name: "exchange-20ms", Picker: always(leastLoad), Overcommit: unlimited, ExchangeInterval: 20 * time.Millisecond},
		{Name: "exchange-100ms", Picker: always(leastLoad), Overcommit: unlimited, ExchangeInterval: 100 * time.Millisecond},
		{Name: "zone-dispatch", Picker: always(leastLoad), Overcommit: unlimited, Dispatchers: 4, ExchangeInterval: 20 * time.Millisecond},
		{Name: ProductName, Picker: always(leastLoad), Overcommit: routing.DefaultOvercommit, Dispatchers: 1, Permits: true, LoadReports: true},
		{Name: "forwarding", Picker: always(leastLoad), Overcommit: routing.DefaultOvercommit, Dispatchers: 1, LoadReports: true},
		{Name: "dispatch-least", Picker: always(func() routing.Picker { return baseline.LeastInFlight{} }), Overcommit: routing.DefaultOvercommit, Dispatchers: 1},
		{Name: "dispatch-commit0", Picker: always(leastLoad), Overcommit: fixed(0), Dispatchers: 1},
		{Name: "dispatch-commit1", Picker: always(leastLoad), Overcommit: fixed(1), Dispatchers: 1},
		{Name: "dispatch-commit2", Picker: always(leastLoad), Overcommit: fixed(2), Dispatchers: 1},
		{Name: "dispatch-commit4", Picker: always(leastLoad), Overcommit: fixed(4), Dispatchers: 1},
		{Name: "dispatch-unlimited", Picker: always(leastLoad), Overcommit: unlimited, Dispatchers: 1},
		{Name: OracleName, Picker: func(o simulation.Oracle) routing.Picker { return joinShortest{oracle: o} }, Overcommit: unlimited},
		{Name: "central-queue", Picker: always(leastLoad), Overcommit: unlimited, CentralQueue: true},
	}
}
