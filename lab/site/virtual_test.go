package site_test

import (
	"context"
	"flag"
	"io"
	"log"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/fakenet"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
)

// reads and corrections are the two services of the tests.
func testServices(backends int) []site.Service {
	work := backendstub.Options{MeanServiceTime: 5 * time.Millisecond, Seed: 3}
	return []site.Service{
		{
			Config:   config.Service{Name: "reads", PathPrefix: "/reads", Policy: "reads", RefusalStatus: http.StatusServiceUnavailable},
			Policy:   config.Policy{Name: "reads", Source: policy.Source{Retry: "true", Weight: "10", Deadline: `duration("2s")`}},
			Backends: backends, Backend: work,
		},
		{
			Config:   config.Service{Name: "corrections", PathPrefix: "/corrections", Policy: "corrections", RefusalStatus: http.StatusServiceUnavailable},
			Policy:   config.Policy{Name: "corrections", Source: policy.Source{Once: "true", Weight: "20", Deadline: `duration("5s")`}},
			Backends: backends, Backend: work,
		},
	}
}

// kinds is the mix of the tests.
func kinds() []load.RequestKind {
	return []load.RequestKind{
		{Name: "reads", Method: http.MethodGet, Path: "/reads", Share: 0.8},
		{Name: "corrections", Method: http.MethodPost, Path: "/corrections", Share: 0.2, WithIdempotencyKey: true},
	}
}

// settle is how long a closed site may take to end, in virtual time.
const settle = time.Minute

func TestMain(m *testing.M) {
	// net/http logs the unsolicited answers that the tests provoke.
	log.SetOutput(io.Discard)
	flag.Parse()
	setDefault("rapid.checks", "6")
	setDefault("rapid.seed", "1")
	os.Exit(m.Run())
}

// setDefault sets a flag that was not given, so that CI makes the same few
// schedules each time and a longer run is asked for on the command line.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(one *flag.Flag) { given = given || one.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// virtual runs a site in virtual time on a network in memory.
func virtual(t *testing.T, options site.Options, check func(ctx context.Context, net *fakenet.Net, running *site.Site)) {
	synctest.Test(t, func(t *testing.T) {
		net := fakenet.New(100 * time.Microsecond)
		options.Network, options.Address = net.Network, net.Address
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		running, err := site.Start(ctx, options)
		require.NoError(t, err)
		// Handlers that still write when the site is closed end a moment later.
		defer time.Sleep(settle)
		defer running.Close()
		check(ctx, net, running)
	})
}

// check asserts what must hold in every run.
func checkPromises(t *testing.T, running *site.Site, result *load.Result) {
	t.Helper()
	runs := running.RunsByRequest()
	require.Zero(t, result.WrongResponses, "answers that were not the whole answer to their own request")
	for _, outcome := range result.Outcomes {
		if outcome.Run == resultcode.NotRun {
			require.Zero(t, runs[outcome.Name], "request %s was said not to have run", outcome.Name)
		}
	}
}

// checkOnce asserts that no operation ran twice.
func checkOnce(t *testing.T, running *site.Site) {
	t.Helper()
	for key, count := range running.RunsByKey() {
		require.Equal(t, 1, count, "operation %s", key)
	}
}

// TestForwardedService serves a service whose requests go through its dispatcher.
func TestForwardedService(t *testing.T) {
	services := testServices(4)
	services[0].Config.Forward = true
	virtual(t, site.Options{Zones: []string{"zone-a", "zone-b"}, Daemons: 3, Services: services}, func(ctx context.Context, net *fakenet.Net, running *site.Site) {
		result := load.Run(ctx, load.Options{Network: net.Host("callers"), Targets: running.Targets(), Rate: 300, Duration: 5 * time.Second, Seed: 1, Kinds: kinds()})
		require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
		checkPromises(t, running, result)
	})
}

func TestVirtualSite(t *testing.T) {
	virtual(t, site.Options{Zones: []string{"zone-a", "zone-b"}, Daemons: 3, Services: testServices(4)}, func(ctx context.Context, net *fakenet.Net, running *site.Site) {
		result := load.Run(ctx, load.Options{Network: net.Host("callers"), Targets: running.Targets(), Rate: 300, Duration: 5 * time.Second, Seed: 1, Kinds: kinds()})
		require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
		checkPromises(t, running, result)
		checkOnce(t, running)
	})
}
