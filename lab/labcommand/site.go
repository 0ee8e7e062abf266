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

// noisy is a back end with a neighbour that slows it threefold a tenth of the time.
func noisy(work time.Duration) backendstub.Options {
	return backendstub.Options{Slots: slotsEach, MeanServiceTime: work, ProbeTime: probeCost, Seed: 7, Slowdown: 3, MeanNoisyPeriod: 50 * time.Millisecond, MeanQuietPeriod: 450 * time.Millisecond}
}

// A back end at Kingston, what a probe takes there, and the budget.
const (
	slotsEach  = 3
	probeCost  = 6 * time.Millisecond
	probesRate = 5.0
)

// probed lets a service be probed.
func probed(declared config.Service) config.Service {
	declared.ProbePath, declared.ProbesPerSecond, declared.ProbeCost = backendstub.PathLoad, probesRate, config.Duration(probeCost)
	return declared
}

// deployment is one user's site.
type deployment struct {
	reads, changes, archives   string // names of the services
	readers, changers, keepers int    // their back ends
}

// The users' sites. Kingston's is cut down to 12 back ends.
var deployments = map[string]deployment{
	"kingston": {reads: "price-query", changes: "correction", archives: "history", readers: 5, changers: 3, keepers: 4},
	"zhetysu":  {reads: "roster", changes: "swap", archives: "archives", readers: 7, changers: 6, keepers: 14},
}

// services declares the site's three services.
func (d deployment) services() []site.Service {
	return []site.Service{
		{
			Config:   probed(config.Service{Name: d.reads, PathPrefix: "/" + d.reads, Policy: "reads"}),
			Policy:   config.Policy{Name: "reads", Source: policy.Source{Class: `"read"`, Weight: "100", Retry: "true", Deadline: `duration("2s")`}},
			Backends: d.readers, Backend: noisy(5 * time.Millisecond),
		},
		{
			Config:   probed(config.Service{Name: d.changes, PathPrefix: "/" + d.changes, Policy: "changes", RefusalStatus: http.StatusServiceUnavailable}),
			Policy:   config.Policy{Name: "changes", Source: policy.Source{Class: `"change"`, Weight: "200", Once: "true", Deadline: `duration("5s")`}},
			Backends: d.changers, Backend: noisy(10 * time.Millisecond),
		},
		{
			Config:   probed(config.Service{Name: d.archives, PathPrefix: "/" + d.archives, Policy: "batch"}),
			Policy:   config.Policy{Name: "batch", Source: policy.Source{Class: `"batch"`, Weight: "1", Retry: "true", Wait: `duration("30s")`, Deadline: `duration("60s")`}},
			Backends: d.keepers, Backend: noisy(40 * time.Millisecond),
		},
	}
}

// kinds is the mix of requests.
func (d deployment) kinds() []load.RequestKind {
	return []load.RequestKind{
		{Name: d.reads, Method: http.MethodGet, Path: "/" + d.reads, Share: 0.88},
		{Name: d.changes, Method: http.MethodPost, Path: "/" + d.changes, Share: 0.05, WithIdempotencyKey: true},
		{Name: d.archives, Method: http.MethodGet, Path: "/" + d.archives, Share: 0.07},
	}
}

type siteRun struct {
	out      io.Writer
	Site     string        `long:"site" choice:"kingston" choice:"zhetysu" default:"kingston" description:"whose services"`
	Duration time.Duration `long:"duration" default:"5s" description:"how long load is sent"`
	Seed     uint64        `long:"seed" default:"1" description:"start of the random choices"`
	Verbose  bool          `short:"v" long:"verbose" description:"show the daemons' logs, with a line for each decision"`
}

// Execute implements flags.Commander.
func (c *siteRun) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Duration+time.Minute)
	defer cancel()
	chosen := deployments[c.Site]
	fmt.Fprintf(c.out, "starting: platform, 3 zones, 4 daemons, %d back ends\n", chosen.readers+chosen.changers+chosen.keepers)
	options := site.Options{Zones: []string{"zone-a", "zone-b", "zone-c"}, Daemons: 4, Services: chosen.services(), StopNotice: 500 * time.Millisecond}
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
		done <- load.Run(ctx, load.Options{Targets: running.Targets(), Rate: 600, Duration: c.Duration, Seed: c.Seed, Kinds: chosen.kinds()})
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

// print shows latency, decisions and platform calls.
func (c *siteRun) print(running *site.Site, result *load.Result) error {
	if err := printLoad(c.out, result); err != nil {
		return err
	}
	for _, kind := range deployments[c.Site].kinds() {
		fmt.Fprintf(c.out, "  %-12s p50 %-10s p99 %s\n", kind.Name, result.KindQuantile(kind.Name, 50), result.KindQuantile(kind.Name, 99))
	}
	fmt.Fprintln(c.out, "decisions (requests run at each back end):")
	for _, one := range running.Backends {
		fmt.Fprintf(c.out, "  %-16s %s %d\n", one.ID, one.Zone, one.Stub.TotalRuns())
	}
	probes := 0
	for _, one := range running.Backends {
		probes += len(one.Stub.ProbeTimes())
	}
	slotTime := result.Elapsed.Seconds() * float64(len(running.Backends)*slotsEach)
	fmt.Fprintf(c.out, "probes: %d, %.3f%% of slot time\n", probes, 100*float64(probes)*probeCost.Seconds()/slotTime)
	counts := running.Platform.Counts()
	fmt.Fprintln(c.out, "platform calls:")
	kinds := make([]string, 0, len(counts))
	for kind, count := range counts {
		kinds = append(kinds, fmt.Sprintf("  %-9s %d", kind, count))
	}
	sort.Strings(kinds)
	for _, line := range kinds {
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
