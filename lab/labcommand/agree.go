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

// agree runs Kingston's price query service with real daemons over loopback, once
// with a dispatcher and once with every daemon deciding for itself, in turn, and
// the same in the simulator.
type agree struct {
	out      io.Writer
	Load     float64       `long:"load" default:"0.85" description:"share of capacity"`
	Duration time.Duration `long:"duration" default:"5s" description:"length of one slice"`
	Slices   int           `long:"slices" default:"3" description:"slices of each way, in turn"`
}

const (
	agreeDaemons  = 16
	agreeBackends = 10
	agreeWork     = 20 * time.Millisecond
	// loopbackWire is about what one way over loopback through net/http takes.
	loopbackWire = 150 * time.Microsecond
)

// Execute implements flags.Commander.
func (c *agree) Execute([]string) error {
	realDirect, realDispatch, err := c.real()
	if err != nil {
		return err
	}
	simDirect, simDispatch := c.simulated("reports"), c.simulated(experiment.ProductName)
	realRatio, simRatio := realDispatch/realDirect, simDispatch/simDirect
	_, err = fmt.Fprintf(c.out, "p99, each daemon for itself: real %.1f ms, simulated %.1f ms\np99, dispatched: real %.1f ms, simulated %.1f ms\nratio: real %.2f, simulated %.2f, apart by %.0f%%\n",
		realDirect, simDirect, realDispatch, simDispatch, realRatio, simRatio, 100*(realRatio/simRatio-1))
	return err
}

// noise is the neighbour of both the real and the simulated back ends.
var noise = simulation.Noise{Slowdown: 3, Noisy: 50 * time.Millisecond, Quiet: 450 * time.Millisecond}

func (c *agree) simulated(name string) float64 {
	var p99 []float64
	for seed := range uint64(3) {
		system, err := experiment.FindSystem(name)
		if err != nil {
			panic(err) // the names are constants of this program
		}
		result := simulation.Run(simulation.Scenario{
			Zones: 1, Daemons: agreeDaemons, Workers: agreeBackends, Slots: 3, Work: agreeWork, Noise: noise,
			SameZoneDelay: loopbackWire, CrossZoneDelay: loopbackWire, HopCost: 100 * time.Microsecond,
			Load: c.Load, Duration: 30 * time.Second, WarmUp: 2 * time.Second, Seed: seed + 1,
		}, system)
		p99 = append(p99, float64(result.Quantile(99))/float64(time.Millisecond))
	}
	sort.Float64s(p99)
	return p99[1]
}

func (c *agree) real() (direct, dispatched float64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var sites []*site.Site
	for _, itself := range []bool{true, false} {
		running, err := site.Start(ctx, site.Options{
			Zones: []string{"zone-a"}, Daemons: agreeDaemons,
			Services: []site.Service{{Config: config.Service{Name: "price-query", Direct: itself}, Backends: agreeBackends, Backend: noisy(agreeWork)}},
		})
		if err != nil {
			return 0, 0, err
		}
		defer running.Close()
		sites = append(sites, running)
	}
	capacity := float64(agreeBackends*3) / agreeWork.Seconds() * noise.MeanSpeed()
	p99 := make([][]float64, len(sites))
	for slice := range c.Slices {
		for index, running := range sites {
			result := load.Run(ctx, load.Options{
				Targets: running.Targets(), Rate: capacity * c.Load, Duration: c.Duration, Seed: uint64(slice) + 1,
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
