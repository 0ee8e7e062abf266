package site_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/load"
	"github.com/tuliphall/tuliphall/lab/site"
)

// TestEveryRequestIsAnsweredOverTCP sends requests over TCP through daemons to back ends, with the configuration
// read from the platform.
func TestEveryRequestIsAnsweredOverTCP(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	running, err := site.Start(ctx, site.Options{
		Zones: []string{"zone-a", "zone-b"}, Daemons: 3,
		Services: []site.Service{{
			Config:   config.Service{Name: "prices", PathPrefix: "/"},
			Backends: 4, Backend: backendstub.Options{MeanServiceTime: time.Millisecond},
		}},
	})
	require.NoError(t, err)
	defer running.Close()
	result := load.Run(ctx, load.Options{
		Targets: running.Targets(), Rate: 400, Duration: time.Second, Seed: 1,
		Kinds: []load.RequestKind{{Name: "read", Method: http.MethodGet, Path: "/prices", Share: 1}},
	})
	require.Equal(t, result.Sent, result.Answered, result.FirstFailure())
	require.Greater(t, result.Sent, 200)
}
