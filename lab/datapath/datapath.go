// Package datapath measures what the daemon adds to a request: the same requests
// over loopback TCP, directly to a back end and through a daemon, in turn in one
// run.
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

// Result is one way of sending, measured in turn directly and through a daemon.
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
	DaemonCPUMicros   float64 `json:"processor_us_per_request"` // more than directly
	RequestsPerSecond float64 `json:"through_per_second"`
}

// Options say what is measured.
type Options struct {
	SliceDuration time.Duration // of one slice; each way has Slices of them
	Slices        int
}

// way is one way of making load.
type way struct {
	name      string
	closed    int     // callers, or
	rate      float64 // requests a second
	backends  int
	decisions bool
}

// Run measures every way and tells its progress.
func Run(ctx context.Context, options Options, progress io.Writer) ([]Result, error) {
	var rows []Result
	for _, one := range []way{
		{name: "1 connection", closed: 1, backends: 1},
		{name: "8 connections", closed: 8, backends: 1},
		{name: "64 connections", closed: 64, backends: 1},
		{name: "1,000 requests/s", rate: 1000, backends: 1},
		{name: "1,000 requests/s", rate: 1000, backends: 21},
		{name: "1,000 requests/s", rate: 1000, backends: 21, decisions: true},
	} {
		row, err := measure(ctx, one, options)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
		fmt.Fprintf(progress, "%s, %d back ends: added p50 %.3f ms, p99 %.3f ms\n", one.name, one.backends, row.AddedP50, row.AddedP99)
	}
	return rows, nil
}

// side gathers one side's slices.
type side struct {
	p50, p99  []float64
	requests  int
	processor time.Duration
	elapsed   time.Duration
}

func measure(ctx context.Context, one way, options Options) (Result, error) {
	running, err := site.Start(ctx, site.Options{
		Zones: []string{"zone-a"}, Daemons: 1, LogDecisions: one.decisions, LogLevel: "info", LogOutput: io.Discard,
		Services: []site.Service{{
			Config: config.Service{Name: "work", Slots: 64}, Backends: one.backends, Backend: backendstub.Options{Slots: 64, FixedServiceTime: true},
		}},
	})
	if err != nil {
		return Result{}, err
	}
	defer running.Close()
	backend, daemon := running.Backends[0].Address, running.Targets()[0]
	var direct, through side
	warm := one.options(daemon, options.SliceDuration/4, 99)
	load.Run(ctx, warm)
	for slice := range options.Slices {
		direct.add(ctx, one.options(backend, options.SliceDuration, uint64(slice)))
		through.add(ctx, one.options(daemon, options.SliceDuration, uint64(slice)))
	}
	row := Result{
		Load: one.name, Backends: one.backends, LogDecisions: one.decisions,
		DirectP50: median(direct.p50), DirectP99: median(direct.p99), ThroughP50: median(through.p50), ThroughP99: median(through.p99),
		DaemonCPUMicros: micro(through) - micro(direct), RequestsPerSecond: float64(through.requests) / through.elapsed.Seconds(),
	}
	row.AddedP50, row.AddedP99 = row.ThroughP50-row.DirectP50, row.ThroughP99-row.DirectP99
	return row, nil
}

func (w way) options(target string, duration time.Duration, seed uint64) load.Options {
	return load.Options{
		Targets: []string{target}, ClosedLoopCallers: w.closed, Rate: w.rate, Duration: duration, Seed: seed + 1,
		Kinds: []load.RequestKind{{Name: "all", Method: http.MethodGet, Path: "/work", Share: 1}},
	}
}

func (s *side) add(ctx context.Context, options load.Options) {
	before := usage.CPUTime()
	result := load.Run(ctx, options)
	s.processor += usage.CPUTime() - before
	s.elapsed += result.Elapsed
	s.requests += result.Answered
	s.p50 = append(s.p50, milliseconds(result.Quantile(50)))
	s.p99 = append(s.p99, milliseconds(result.Quantile(99)))
}

func micro(s side) float64 {
	return float64(s.processor.Microseconds()) / float64(s.requests)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// median sorts the values and returns the middle one.
func median(values []float64) float64 {
	sort.Float64s(values)
	return values[len(values)/2]
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Result) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join([]string{"load", "back ends", "log", "direct p50", "p99", "through p50", "p99", "added p50 ms", "p99", "us/request", "requests/s", ""}, "\t"))
	for _, r := range rows {
		fmt.Fprintf(table, "%s\t%d\t%t\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", r.Load, r.Backends, r.LogDecisions,
			r.DirectP50, r.DirectP99, r.ThroughP50, r.ThroughP99, r.AddedP50, r.AddedP99, r.DaemonCPUMicros, r.RequestsPerSecond)
	}
	return table.Flush()
}
