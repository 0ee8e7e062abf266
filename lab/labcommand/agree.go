package labcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/experiment"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/simulation"
	"github.com/tuliphall/tuliphall/lab/site"
)

// agreeCommand compares the simulator with real daemons. It runs Kingston's price query
// service with daemons over loopback, alternating between dispatched and independent
// daemons, and simulates the same.
type agreeCommand struct {
	out      io.Writer
	Load     float64       `long:"load" default:"0.85" description:"share of capacity"`
	Duration time.Duration `long:"duration" default:"5s" description:"length of one slice"`
	Slices   int           `long:"slices" default:"3" description:"slices of each way, in turn"`
}

const (
	agreeDaemons  = 16
	agreeBackends = 10
	agreeWork     = 20 * time.Millisecond
	// loopbackLatency is the approximate one-way latency over loopback through net/http.
	loopbackLatency = 150 * time.Microsecond
)

// Execute implements flags.Commander.
func (c *agreeCommand) Execute([]string) error {
	realIndependent, realDispatched, err := c.measure()
	if err != nil {
		return err
	}
	simulatedIndependent, simulatedDispatched := c.simulate("reports"), c.simulate(experiment.ProductName)
	realRatio, simulatedRatio := realDispatched/realIndependent, simulatedDispatched/simulatedIndependent
	_, err = fmt.Fprintf(c.out, "p99, each daemon for itself: real %.1f ms, simulated %.1f ms\np99, dispatched: real %.1f ms, simulated %.1f ms\nratio: real %.2f, simulated %.2f, apart by %.0f%%\n",
		realIndependent, simulatedIndependent, realDispatched, simulatedDispatched, realRatio, simulatedRatio, 100*(realRatio/simulatedRatio-1))
	return err
}

// neighbourNoise is the noisy neighbour of the simulated back ends and the basis of the load. noisyBackend
// gives the real back ends the same values.
var neighbourNoise = simulation.Noise{Slowdown: 3, Noisy: 50 * time.Millisecond, Quiet: 450 * time.Millisecond}

func (c *agreeCommand) simulate(name string) float64 {
	var p99 []float64
	for seed := range uint64(3) {
		system, err := experiment.FindSystem(name)
		if err != nil {
			panic(err) // the names are constants of this program
		}
		result := simulation.Run(simulation.Scenario{
			Zones: 1, Daemons: agreeDaemons, Workers: agreeBackends, Slots: 3, Work: agreeWork, Noise: neighbourNoise,
			SameZoneDelay: loopbackLatency, CrossZoneDelay: loopbackLatency, HopCost: 100 * time.Microsecond,
			Load: c.Load, Duration: 30 * time.Second, WarmUp: 2 * time.Second, Seed: seed + 1,
		}, system)
		p99 = append(p99, float64(result.Quantile(99))/float64(time.Millisecond))
	}
	sort.Float64s(p99)
	return p99[1]
}

func (c *agreeCommand) measure() (independentP99, dispatchedP99 float64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var sites []*site.Site
	for _, independent := range []bool{true, false} {
		started, err := site.Start(ctx, site.Options{
			Zones: []string{"zone-a"}, Daemons: agreeDaemons,
			Services: []site.Service{{Config: config.Service{Name: "price-query", Direct: independent}, Backends: agreeBackends, Backend: noisyBackend(agreeWork)}},
		})
		if err != nil {
			return 0, 0, err
		}
		defer started.Close()
		sites = append(sites, started)
	}
	capacity := float64(agreeBackends*3) / agreeWork.Seconds() * neighbourNoise.MeanSpeed()
	p99 := make([][]float64, len(sites))
	for slice := range c.Slices {
		for index, started := range sites {
			result := load.Run(ctx, load.Options{
				Targets: started.Targets(), Rate: capacity * c.Load, Duration: c.Duration, Seed: uint64(slice) + 1,
				Kinds: []load.RequestKind{{Name: "read", Method: http.MethodGet, Path: "/", Share: 1}},
			})
			p99[index] = append(p99[index], float64(result.Quantile(99))/float64(time.Millisecond))
		}
	}
	for index := range p99 {
		sort.Float64s(p99[index])
	}
	return p99[0][c.Slices/2], p99[1][c.Slices/2], nil
}
