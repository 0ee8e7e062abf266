package reach

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// stubNetwork opens connections to one address only.
type stubNetwork struct {
	live  string
	hangs bool // a connection to any other address is opened by nobody, instead of being refused
}

func (stubNetwork) Listen(string) (net.Listener, error) {
	return nil, syscall.EADDRNOTAVAIL
}

func (n stubNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if address == n.live {
		conn, _ := net.Pipe()
		return conn, nil
	}
	if n.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, syscall.ECONNREFUSED
}

// TestEndedBackendsAreNoCut guards against a daemon that takes itself for cut off because most back ends have ended.
func TestEndedBackendsAreNoCut(t *testing.T) {
	backends := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80", "10.0.0.5:80", "10.0.0.6:80", "10.0.0.7:80", "10.0.0.8:80"}
	for name, stub := range map[string]stubNetwork{"refused": {live: backends[7]}, "silent": {live: backends[7], hangs: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(1, 1))
				monitor := NewMonitor(Options{
					Network: stub, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
					Targets: func(count int) []string {
						var drawn []string
						for _, index := range random.Perm(len(backends))[:min(count, len(backends))] {
							drawn = append(drawn, backends[index])
						}
						return drawn
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go monitor.Run(ctx)
				for range 100 {
					attempt, cancelAttempt := context.WithTimeout(ctx, checkTimeout)
					_, err := monitor.Dial(attempt, backends[0])
					cancelAttempt()
					require.Error(t, err)
					time.Sleep(2 * minRoundInterval)
					require.False(t, monitor.CutOff())
				}
			})
		})
	}
}
