// Package experiment runs simulation experiments from TOML files: the services of
// deployments under several systems, which include baselines and theoretical limits,
// with several loads and seeds.
package experiment

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/simulation"
)

// File is an experiment file.
type File struct {
	Title    string          `toml:"title"`
	Duration config.Duration `toml:"duration"`
	WarmUp   config.Duration `toml:"warm_up"`
	Seeds    []uint64        `toml:"seeds"`
	Loads    []float64       `toml:"loads"`
	Systems  []string        `toml:"systems"`
	Services []Service       `toml:"service"`
}

// Service is one service of one deployment.
type Service struct {
	Name           string          `toml:"name"`
	Zones          int             `toml:"zones"`
	Daemons        int             `toml:"daemons"`
	Workers        int             `toml:"workers"`
	Slots          int             `toml:"slots"`
	Work           config.Duration `toml:"work"`
	SameZoneDelay  config.Duration `toml:"wire_near"`
	CrossZoneDelay config.Duration `toml:"wire_far"`
	HopCost        config.Duration `toml:"hop_cost"`
	Slowdown       float64         `toml:"slowdown"`
	Noisy          config.Duration `toml:"noisy"`
	Quiet          config.Duration `toml:"quiet"`
}

// Row holds the results of one run: a service, load, system and seed.
type Row struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	System  string  `json:"system"`
	Seed    uint64  `json:"seed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Count   int     `json:"count"`
	// MessagesPerSecond counts the exchange messages between all deciding daemons.
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// Report holds the results of an experiment.
type Report struct {
	Title string `json:"title"`
	Rows  []Row  `json:"rows"`
}

// Load reads and validates an experiment file.
func Load(path string) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, errors.Annotate(err, "experiment")
	}
	var file File
	if err := config.DecodeStrictTOML(path, text, &file); err != nil {
		return File{}, err
	}
	return file, file.validate(path)
}

func (f File) validate(path string) error {
	switch {
	case len(f.Seeds) == 0:
		return errors.NotValidf("%s: seeds: empty list", path)
	case len(f.Loads) == 0:
		return errors.NotValidf("%s: loads: empty list", path)
	case len(f.Services) == 0:
		return errors.NotValidf("%s: service: empty list", path)
	case f.Duration <= f.WarmUp:
		return errors.NotValidf("%s: duration (must be above warm_up)", path)
	}
	for _, name := range f.Systems {
		if _, err := FindSystem(name); err != nil {
			return errors.Annotate(err, path)
		}
	}
	for _, service := range f.Services {
		if service.Zones < 1 || service.Daemons < 1 || service.Workers < 1 || service.Workers > 999 || service.Slots < 1 || service.Work <= 0 {
			return errors.NotValidf("%s: service %q (zones, daemons, workers, slots and work must be above 0, workers at most 999)", path, service.Name)
		}
	}
	return nil
}

// FindSystem returns the system of the given name.
func FindSystem(name string) (simulation.System, error) {
	for _, system := range Systems() {
		if system.Name == name {
			return system, nil
		}
	}
	return simulation.System{}, errors.NotFoundf("system %q", name)
}

// Scenario returns the scenario of a service with the given load and seed.
func (f File) Scenario(service Service, load float64, seed uint64) simulation.Scenario {
	return simulation.Scenario{
		Name: service.Name, Zones: service.Zones, Daemons: service.Daemons, Workers: service.Workers, Slots: service.Slots, Work: time.Duration(service.Work),
		Noise:         simulation.Noise{Slowdown: service.Slowdown, Noisy: time.Duration(service.Noisy), Quiet: time.Duration(service.Quiet)},
		SameZoneDelay: time.Duration(service.SameZoneDelay), CrossZoneDelay: time.Duration(service.CrossZoneDelay), HopCost: time.Duration(service.HopCost),
		Load: load, Duration: time.Duration(f.Duration), WarmUp: time.Duration(f.WarmUp), Seed: seed,
	}
}

// task is one run of the experiment.
type task struct {
	service Service
	load    float64
	system  simulation.System
	seed    uint64
}

// Run runs the experiment on all processors and reports its progress.
func Run(file File, progress io.Writer) (Report, error) {
	var tasks []task
	for _, service := range file.Services {
		for _, load := range file.Loads {
			for _, name := range file.Systems {
				system, err := FindSystem(name)
				if err != nil {
					return Report{}, err
				}
				for _, seed := range file.Seeds {
					tasks = append(tasks, task{service, load, system, seed})
				}
			}
		}
	}
	rows := make([]Row, len(tasks))
	var group sync.WaitGroup
	var mutex sync.Mutex
	finished := 0
	processors := make(chan struct{}, runtime.NumCPU())
	for index, current := range tasks {
		group.Go(func() {
			processors <- struct{}{}
			defer func() { <-processors }()
			rows[index] = file.measure(current)
			mutex.Lock()
			defer mutex.Unlock()
			if finished++; finished%50 == 0 || finished == len(tasks) {
				fmt.Fprintf(progress, "%d of %d runs\n", finished, len(tasks))
			}
		})
	}
	group.Wait()
	return Report{Title: file.Title, Rows: rows}, nil
}

func (f File) measure(run task) Row {
	result := simulation.Run(f.Scenario(run.service, run.load, run.seed), run.system)
	return Row{
		Service: run.service.Name, Load: run.load, System: run.system.Name, Seed: run.seed,
		P50: milliseconds(result.Quantile(50)), P99: milliseconds(result.Quantile(99)), P999: milliseconds(result.Quantile(99.9)),
		Count: result.Answered, MessagesPerSecond: float64(result.PeerMessages) / time.Duration(f.Duration).Seconds(),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Summary sums up the rows of all seeds of a service, load and system.
type Summary struct {
	Service     string
	Load        float64
	System      string
	P50         float64 // median over the seeds, ms
	P99         float64
	P999        float64
	OracleRatio float64 // median over the seeds of p99 divided by the oracle's p99 with the same seed
	MinRatio    float64 // smallest of those ratios
	MaxRatio    float64
}

// Summaries returns the summary of each service, load and system, in the order of the rows.
func (r Report) Summaries() []Summary {
	oracleP99 := make(map[string]float64)
	for _, row := range r.Rows {
		if row.System == OracleName {
			oracleP99[seedKey(row)] = row.P99
		}
	}
	groups := make(map[string][]Row)
	var order []string
	for _, row := range r.Rows {
		key := fmt.Sprint(row.Service, row.Load, row.System)
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], row)
	}
	var summaries []Summary
	for _, key := range order {
		summaries = append(summaries, summarize(groups[key], oracleP99))
	}
	return summaries
}

func seedKey(row Row) string {
	return fmt.Sprint(row.Service, row.Load, row.Seed)
}

func summarize(rows []Row, oracleP99 map[string]float64) Summary {
	var p50, p99, p999, ratios []float64
	for _, row := range rows {
		p50, p99, p999 = append(p50, row.P50), append(p99, row.P99), append(p999, row.P999)
		if reference := oracleP99[seedKey(row)]; reference > 0 {
			ratios = append(ratios, row.P99/reference)
		}
	}
	s := Summary{Service: rows[0].Service, Load: rows[0].Load, System: rows[0].System, P50: median(p50), P99: median(p99), P999: median(p999)}
	if len(ratios) > 0 {
		s.OracleRatio = median(ratios)
		s.MinRatio, s.MaxRatio = ratios[0], ratios[len(ratios)-1]
	}
	return s
}

// median sorts the values and returns the middle one.
func median(values []float64) float64 {
	sort.Float64s(values)
	return values[len(values)/2]
}

// Print writes the results as a table.
func (r Report) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join([]string{"service", "load", "system", "p50 ms", "p99 ms", "p99.9 ms", "p99/oracle", "(min-max)", ""}, "\t"))
	for _, s := range r.Summaries() {
		fmt.Fprintf(table, "%s\t%.0f%%\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t(%.2f-%.2f)\t\n", s.Service, s.Load*100, s.System, s.P50, s.P99, s.P999, s.OracleRatio, s.MinRatio, s.MaxRatio)
	}
	return table.Flush()
}
