package labcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
	"github.com/tuliphall/tuliphall/policy"
)

// noisyBackend returns the options of a back end with a noisy neighbour, which slows it threefold for a
// tenth of the time.
func noisyBackend(work time.Duration) backendstub.Options {
	return backendstub.Options{Slots: slotsPerBackend, MeanServiceTime: work, ProbeTime: probeCost, Seed: 7, Slowdown: 3, MeanNoisyPeriod: 50 * time.Millisecond, MeanQuietPeriod: 450 * time.Millisecond}
}

// Slots of a back end at Kingston, slot time of one load probe there, and the probe budget.
const (
	slotsPerBackend = 3
	probeCost       = 6 * time.Millisecond
	probesPerSecond = 5.0
)

// withLoadProbes adds load probes to a service.
func withLoadProbes(declared config.Service) config.Service {
	declared.ProbePath, declared.ProbesPerSecond, declared.ProbeCost = backendstub.PathLoad, probesPerSecond, config.Duration(probeCost)
	return declared
}

// deployment describes one user's site.
type deployment struct {
	reads, changes, archives                      string // service names
	readBackends, changeBackends, archiveBackends int    // number of back ends of each
}

// deployments holds the users' sites by name. Kingston's is reduced to 12 back ends.
var deployments = map[string]deployment{
	"kingston": {reads: "price-query", changes: "correction", archives: "history", readBackends: 5, changeBackends: 3, archiveBackends: 4},
	"zhetysu":  {reads: "roster", changes: "swap", archives: "archives", readBackends: 7, changeBackends: 6, archiveBackends: 14},
}

// services returns the three services of the site.
func (d deployment) services() []site.Service {
	return []site.Service{
		{
			Config:   withLoadProbes(config.Service{Name: d.reads, PathPrefix: "/" + d.reads, Policy: "reads"}),
			Policy:   config.Policy{Name: "reads", Source: policy.Source{Class: `"read"`, Weight: "100", Retry: "true", Deadline: `duration("2s")`}},
			Backends: d.readBackends, Backend: noisyBackend(5 * time.Millisecond),
		},
		{
			Config:   withLoadProbes(config.Service{Name: d.changes, PathPrefix: "/" + d.changes, Policy: "changes", RefusalStatus: http.StatusServiceUnavailable}),
			Policy:   config.Policy{Name: "changes", Source: policy.Source{Class: `"change"`, Weight: "200", Once: "true", Deadline: `duration("5s")`}},
			Backends: d.changeBackends, Backend: noisyBackend(10 * time.Millisecond),
		},
		{
			Config:   withLoadProbes(config.Service{Name: d.archives, PathPrefix: "/" + d.archives, Policy: "batch"}),
			Policy:   config.Policy{Name: "batch", Source: policy.Source{Class: `"batch"`, Weight: "1", Retry: "true", Wait: `duration("30s")`, Deadline: `duration("60s")`}},
			Backends: d.archiveBackends, Backend: noisyBackend(40 * time.Millisecond),
		},
	}
}

// requestKinds returns the mix of requests.
func (d deployment) requestKinds() []load.RequestKind {
	return []load.RequestKind{
		{Name: d.reads, Method: http.MethodGet, Path: "/" + d.reads, Share: 0.88},
		{Name: d.changes, Method: http.MethodPost, Path: "/" + d.changes, Share: 0.05, WithIdempotencyKey: true},
		{Name: d.archives, Method: http.MethodGet, Path: "/" + d.archives, Share: 0.07},
	}
}

type siteCommand struct {
	out      io.Writer
	Site     string        `long:"site" choice:"kingston" choice:"zhetysu" default:"kingston" description:"whose services"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long load is sent"`
	Seed     uint64        `long:"seed" default:"1" description:"start of the random choices"`
	Verbose  bool          `short:"v" long:"verbose" description:"show the daemons' logs, with a line for each decision"`
}

// Execute implements flags.Commander.
func (c *siteCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration+time.Minute)
	defer cancel()
	selected := deployments[c.Site]
	fmt.Fprintf(c.out, "starting: platform, 3 zones, 4 daemons, %d back ends\n", selected.readBackends+selected.changeBackends+selected.archiveBackends)
	options := site.Options{Zones: []string{"zone-a", "zone-b", "zone-c"}, Daemons: 4, Services: selected.services(), StopNotice: 500 * time.Millisecond}
	if c.Verbose {
		options.LogOutput, options.LogLevel, options.LogDecisions = c.out, "info", true
	}
	running, err := site.Start(ctx, options)
	if err != nil {
		return err
	}
	defer running.Close()
	fmt.Fprintf(c.out, "configuration in force at 4 daemons; sending load for %s\n", c.Duration)
	done := make(chan *load.Result, 1)
	go func() {
		done <- load.Run(ctx, load.Options{Targets: running.Targets(), Rate: 600, Duration: c.Duration, Seed: c.Seed, Kinds: selected.requestKinds()})
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 1; ; {
		select {
		case <-ticker.C:
			fmt.Fprintf(c.out, "%ds\n", second)
			second++
		case result := <-done:
			return c.print(running, result)
		}
	}
}

// print prints latency, decisions, load probes, platform calls and operations that ran more than once.
func (c *siteCommand) print(running *site.Site, result *load.Result) error {
	if err := printLoad(c.out, result); err != nil {
		return err
	}
	for _, kind := range deployments[c.Site].requestKinds() {
		fmt.Fprintf(c.out, "  %-12s p50 %-10s p99 %s\n", kind.Name, result.KindQuantile(kind.Name, 50), result.KindQuantile(kind.Name, 99))
	}
	fmt.Fprintln(c.out, "decisions (requests run at each back end):")
	for _, backend := range running.Backends {
		fmt.Fprintf(c.out, "  %-16s %s %d\n", backend.ID, backend.Zone, backend.Stub.TotalRuns())
	}
	probes := 0
	for _, backend := range running.Backends {
		probes += len(backend.Stub.ProbeTimes())
	}
	slotSeconds := result.Elapsed.Seconds() * float64(len(running.Backends)*slotsPerBackend)
	fmt.Fprintf(c.out, "probes: %d, %.3f%% of slot time\n", probes, 100*float64(probes)*probeCost.Seconds()/slotSeconds)
	counts := running.Platform.Counts()
	fmt.Fprintln(c.out, "platform calls:")
	lines := make([]string, 0, len(counts))
	for kind, count := range counts {
		lines = append(lines, fmt.Sprintf("  %-9s %d", kind, count))
	}
	sort.Strings(lines)
	for _, line := range lines {
		fmt.Fprintln(c.out, line)
	}
	duplicates := 0
	for _, count := range running.RunsByKey() {
		if count > 1 {
			duplicates++
		}
	}
	_, err := fmt.Fprintf(c.out, "operations that ran more than once: %d\n", duplicates)
	return err
}
