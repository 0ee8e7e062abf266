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

// testServices returns the services reads, which is retried, and corrections, whose requests
// have idempotency keys.
func testServices(backends int) []site.Service {
	backendOptions := backendstub.Options{MeanServiceTime: 5 * time.Millisecond, Seed: 3}
	return []site.Service{
		{
			Config:   config.Service{Name: "reads", PathPrefix: "/reads", Policy: "reads", RefusalStatus: http.StatusServiceUnavailable},
			Policy:   config.Policy{Name: "reads", Source: policy.Source{Retry: "true", Weight: "10", Deadline: `duration("2s")`}},
			Backends: backends, Backend: backendOptions,
		},
		{
			Config:   config.Service{Name: "corrections", PathPrefix: "/corrections", Policy: "corrections", RefusalStatus: http.StatusServiceUnavailable},
			Policy:   config.Policy{Name: "corrections", Source: policy.Source{Once: "true", Weight: "20", Deadline: `duration("5s")`}},
			Backends: backends, Backend: backendOptions,
		},
	}
}

// requestKinds is the request mix of the tests.
func requestKinds() []load.RequestKind {
	return []load.RequestKind{
		{Name: "reads", Method: http.MethodGet, Path: "/reads", Share: 0.8},
		{Name: "corrections", Method: http.MethodPost, Path: "/corrections", Share: 0.2, WithIdempotencyKey: true},
	}
}

// shutdownTime is the time that a closed site may take to end, in virtual time.
const shutdownTime = time.Minute

func TestMain(m *testing.M) {
	// net/http logs the unsolicited responses that the tests cause.
	log.SetOutput(io.Discard)
	flag.Parse()
	setDefault("rapid.checks", "6")
	setDefault("rapid.seed", "1")
	os.Exit(m.Run())
}

// setDefault sets a flag unless it was given, so that CI runs the same few
// schedules each time and longer runs are requested on the command line.
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

// runVirtual runs a site in virtual time on an in-memory network.
func runVirtual(t *testing.T, options site.Options, check func(ctx context.Context, net *fakenet.Net, running *site.Site)) {
	synctest.Test(t, func(t *testing.T) {
		net := fakenet.New(100 * time.Microsecond)
		options.Network, options.Address = net.Network, net.Address
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		running, err := site.Start(ctx, options)
		require.NoError(t, err)
		// Handlers that still write when the site closes end during this time.
		defer time.Sleep(shutdownTime)
		defer running.Close()
		check(ctx, net, running)
	})
}

// checkGuarantees checks the guarantees of every run: no wrong responses, and no request ran that
// was reported as not run.
func checkGuarantees(t *testing.T, running *site.Site, result *load.Result) {
	t.Helper()
	runs := running.RunsByRequest()
	require.Zero(t, result.WrongResponses, "responses that are incomplete or belong to another request")
	for _, outcome := range result.Outcomes {
		if outcome.Run == resultcode.NotRun {
			require.Zero(t, runs[outcome.Name], "request %s was reported as not run", outcome.Name)
		}
	}
}

// checkOnce checks that no operation ran twice.
func checkOnce(t *testing.T, running *site.Site) {
	t.Helper()
	for key, count := range running.RunsByKey() {
		require.Equal(t, 1, count, "operation %s", key)
	}
}

// TestForwardedService checks that requests for a service that is forwarded to its dispatcher are all answered.
func TestForwardedService(t *testing.T) {
	services := testServices(4)
	services[0].Config.Forward = true
	runVirtual(t, site.Options{Zones: []string{"zone-a", "zone-b"}, Daemons: 3, Services: services}, func(ctx context.Context, net *fakenet.Net, running *site.Site) {
		result := load.Run(ctx, load.Options{Network: net.Host("callers"), Targets: running.Targets(), Rate: 300, Duration: 5 * time.Second, Seed: 1, Kinds: requestKinds()})
		require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
		checkGuarantees(t, running, result)
	})
}

// TestEveryRequestIsAnsweredInVirtualTime checks that a site without faults answers every request, on the in-memory
// network.
func TestEveryRequestIsAnsweredInVirtualTime(t *testing.T) {
	runVirtual(t, site.Options{Zones: []string{"zone-a", "zone-b"}, Daemons: 3, Services: testServices(4)}, func(ctx context.Context, net *fakenet.Net, running *site.Site) {
		result := load.Run(ctx, load.Options{Network: net.Host("callers"), Targets: running.Targets(), Rate: 300, Duration: 5 * time.Second, Seed: 1, Kinds: requestKinds()})
		require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
		checkGuarantees(t, running, result)
		checkOnce(t, running)
	})
}
