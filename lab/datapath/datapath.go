// Package datapath measures the overhead of the daemon per request. One run sends
// the same requests over loopback TCP alternately to a back end and through a
// daemon.
package datapath

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
	"github.com/tuliphall/tuliphall/lab/usage"
)

// Result holds the results of one workload, directly and through a daemon.
type Result struct {
	Load              string  `json:"load"`
	Backends          int     `json:"backends"`
	LogDecisions      bool    `json:"log_decisions"`
	DirectP50         float64 `json:"direct_p50_ms"`
	DirectP99         float64 `json:"direct_p99_ms"`
	ThroughP50        float64 `json:"through_p50_ms"`
	ThroughP99        float64 `json:"through_p99_ms"`
	AddedP50          float64 `json:"added_p50_ms"`
	AddedP99          float64 `json:"added_p99_ms"`
	DaemonCPUMicros   float64 `json:"processor_us_per_request"` // CPU time, daemon run minus direct run, in microseconds
	RequestsPerSecond float64 `json:"through_per_second"`
}

// Options are the parameters of a measurement.
type Options struct {
	SliceDuration time.Duration // of one slice; each workload has Slices of them, directly and through the daemon
	Slices        int
}

// workload is one kind of load.
type workload struct {
	name              string
	closedLoopCallers int     // callers; 0: open loop
	rate              float64 // requests per second of the open loop
	backends          int
	logDecisions      bool
}

// Run measures every workload and reports its progress.
func Run(ctx context.Context, options Options, progress io.Writer) ([]Result, error) {
	var results []Result
	for _, current := range []workload{
		{name: "1 connection", closedLoopCallers: 1, backends: 1},
		{name: "8 connections", closedLoopCallers: 8, backends: 1},
		{name: "64 connections", closedLoopCallers: 64, backends: 1},
		{name: "1,000 requests/s", rate: 1000, backends: 1},
		{name: "1,000 requests/s", rate: 1000, backends: 21},
		{name: "1,000 requests/s", rate: 1000, backends: 21, logDecisions: true},
	} {
		result, err := measure(ctx, current, options)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
		fmt.Fprintf(progress, "%s, %d back ends: added p50 %.3f ms, p99 %.3f ms\n", current.name, current.backends, result.AddedP50, result.AddedP99)
	}
	return results, nil
}

// measurement sums up the slices of one target.
type measurement struct {
	p50, p99 []float64
	requests int
	cpuTime  time.Duration
	elapsed  time.Duration
}

func measure(ctx context.Context, work workload, options Options) (Result, error) {
	deployment, err := site.Start(ctx, site.Options{
		Zones: []string{"zone-a"}, Daemons: 1, LogDecisions: work.logDecisions, LogLevel: "info", LogOutput: io.Discard,
		Services: []site.Service{{
			Config: config.Service{Name: "work", Slots: 64}, Backends: work.backends, Backend: backendstub.Options{Slots: 64, FixedServiceTime: true},
		}},
	})
	if err != nil {
		return Result{}, err
	}
	defer deployment.Close()
	backend, daemon := deployment.Backends[0].Address, deployment.Targets()[0]
	var direct, through measurement
	warmUp := work.options(daemon, options.SliceDuration/4, 99)
	load.Run(ctx, warmUp)
	for number := range options.Slices {
		direct.add(ctx, work.options(backend, options.SliceDuration, uint64(number)))
		through.add(ctx, work.options(daemon, options.SliceDuration, uint64(number)))
	}
	result := Result{
		Load: work.name, Backends: work.backends, LogDecisions: work.logDecisions,
		DirectP50: median(direct.p50), DirectP99: median(direct.p99), ThroughP50: median(through.p50), ThroughP99: median(through.p99),
		DaemonCPUMicros: cpuMicrosPerRequest(through) - cpuMicrosPerRequest(direct), RequestsPerSecond: float64(through.requests) / through.elapsed.Seconds(),
	}
	result.AddedP50, result.AddedP99 = result.ThroughP50-result.DirectP50, result.ThroughP99-result.DirectP99
	return result, nil
}

func (w workload) options(target string, duration time.Duration, seed uint64) load.Options {
	return load.Options{
		Targets: []string{target}, ClosedLoopCallers: w.closedLoopCallers, Rate: w.rate, Duration: duration, Seed: seed + 1,
		Kinds: []load.RequestKind{{Name: "all", Method: http.MethodGet, Path: "/work", Share: 1}},
	}
}

func (m *measurement) add(ctx context.Context, options load.Options) {
	before := usage.CPUTime()
	result := load.Run(ctx, options)
	m.cpuTime += usage.CPUTime() - before
	m.elapsed += result.Elapsed
	m.requests += result.Answered
	m.p50 = append(m.p50, milliseconds(result.Quantile(50)))
	m.p99 = append(m.p99, milliseconds(result.Quantile(99)))
}

func cpuMicrosPerRequest(m measurement) float64 {
	return float64(m.cpuTime.Microseconds()) / float64(m.requests)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// median sorts the values and returns the middle one.
func median(values []float64) float64 {
	sort.Float64s(values)
	return values[len(values)/2]
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join([]string{"load", "back ends", "log", "direct p50", "p99", "through p50", "p99", "added p50 ms", "p99", "us/request", "requests/s", ""}, "\t"))
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%d\t%t\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", r.Load, r.Backends, r.LogDecisions,
			r.DirectP50, r.DirectP99, r.ThroughP50, r.ThroughP99, r.AddedP50, r.AddedP99, r.DaemonCPUMicros, r.RequestsPerSecond)
	}
	return table.Flush()
}
