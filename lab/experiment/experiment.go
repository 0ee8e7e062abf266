// Package experiment runs experiments from TOML files: scenarios of both
// deployments under several systems, with seeds, beside baselines and limits.
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

// File is an experiment as written in TOML.
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

// Row is one measured combination, over all seeds.
type Row struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	System  string  `json:"system"`
	Seed    uint64  `json:"seed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	Count   int     `json:"count"`
	// MessagesPerSecond is the exchanges between daemons, a second, all together.
	MessagesPerSecond float64 `json:"messages_per_second"`
}

// Report is an experiment's results.
type Report struct {
	Title string `json:"title"`
	Rows  []Row  `json:"rows"`
}

// Load reads an experiment.
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
		return errors.NotValidf("%s: seeds: none; it", path)
	case len(f.Loads) == 0:
		return errors.NotValidf("%s: loads: none; it", path)
	case len(f.Services) == 0:
		return errors.NotValidf("%s: service: none; it", path)
	case f.Duration <= f.WarmUp:
		return errors.NotValidf("%s: duration: not above warm_up; it", path)
	}
	for _, name := range f.Systems {
		if _, err := FindSystem(name); err != nil {
			return errors.Annotate(err, path)
		}
	}
	for _, one := range f.Services {
		if one.Zones < 1 || one.Daemons < 1 || one.Workers < 1 || one.Workers > 999 || one.Slots < 1 || one.Work <= 0 {
			return errors.NotValidf("%s: service %q: zones, daemons, workers (up to 999), slots and work must be above 0; it", path, one.Name)
		}
	}
	return nil
}

// FindSystem returns the system with a name.
func FindSystem(name string) (simulation.System, error) {
	for _, system := range Systems() {
		if system.Name == name {
			return system, nil
		}
	}
	return simulation.System{}, errors.NotFoundf("system %q", name)
}

// Scenario returns the scenario of a service at a load.
func (f File) Scenario(one Service, load float64, seed uint64) simulation.Scenario {
	return simulation.Scenario{
		Name: one.Name, Zones: one.Zones, Daemons: one.Daemons, Workers: one.Workers, Slots: one.Slots, Work: time.Duration(one.Work),
		Noise:         simulation.Noise{Slowdown: one.Slowdown, Noisy: time.Duration(one.Noisy), Quiet: time.Duration(one.Quiet)},
		SameZoneDelay: time.Duration(one.SameZoneDelay), CrossZoneDelay: time.Duration(one.CrossZoneDelay), HopCost: time.Duration(one.HopCost),
		Load: load, Duration: time.Duration(f.Duration), WarmUp: time.Duration(f.WarmUp), Seed: seed,
	}
}

// task is one run to be made.
type task struct {
	service Service
	load    float64
	system  simulation.System
	seed    uint64
}

// Run runs the experiment on all processors and tells its progress.
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
	var waiting sync.WaitGroup
	var mutex sync.Mutex
	finished := 0
	slots := make(chan struct{}, runtime.NumCPU())
	for index, one := range tasks {
		waiting.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			rows[index] = file.measure(one)
			mutex.Lock()
			defer mutex.Unlock()
			if finished++; finished%50 == 0 || finished == len(tasks) {
				fmt.Fprintf(progress, "%d of %d runs\n", finished, len(tasks))
			}
		})
	}
	waiting.Wait()
	return Report{Title: file.Title, Rows: rows}, nil
}

func (f File) measure(one task) Row {
	result := simulation.Run(f.Scenario(one.service, one.load, one.seed), one.system)
	return Row{
		Service: one.service.Name, Load: one.load, System: one.system.Name, Seed: one.seed,
		P50: milliseconds(result.Quantile(50)), P99: milliseconds(result.Quantile(99)), P999: milliseconds(result.Quantile(99.9)),
		Count: result.Answered, MessagesPerSecond: float64(result.PeerMessages) / time.Duration(f.Duration).Seconds(),
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// Summary is a row with its seeds brought together.
type Summary struct {
	Service     string
	Load        float64
	System      string
	P50         float64 // median over the seeds, ms
	P99         float64
	P999        float64
	OracleRatio float64 // median over the seeds of p99 / the oracle's p99 with the same seed
	MinRatio    float64 // the smallest of those ratios
	MaxRatio    float64
}

// Summaries brings the seeds of each combination together, in order of running.
func (r Report) Summaries() []Summary {
	oracle := make(map[string]float64)
	for _, row := range r.Rows {
		if row.System == OracleName {
			oracle[seedKey(row)] = row.P99
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
		summaries = append(summaries, summarize(groups[key], oracle))
	}
	return summaries
}

func seedKey(row Row) string {
	return fmt.Sprint(row.Service, row.Load, row.Seed)
}

func summarize(rows []Row, oracle map[string]float64) Summary {
	var p50, p99, p999, ratio []float64
	for _, row := range rows {
		p50, p99, p999 = append(p50, row.P50), append(p99, row.P99), append(p999, row.P999)
		if base := oracle[seedKey(row)]; base > 0 {
			ratio = append(ratio, row.P99/base)
		}
	}
	s := Summary{Service: rows[0].Service, Load: rows[0].Load, System: rows[0].System, P50: median(p50), P99: median(p99), P999: median(p999)}
	if len(ratio) > 0 {
		s.OracleRatio = median(ratio)
		s.MinRatio, s.MaxRatio = ratio[0], ratio[len(ratio)-1]
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
