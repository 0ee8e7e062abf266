package slots_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/peer/peerpb"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/slots"
)

const serviceName = "prices"

// testDispatcher is a daemon that grants the single permit of a service.
type testDispatcher struct {
	address string
	service *service.Service
	stop    func()
}

func startDispatcher(t testing.TB) *testDispatcher {
	t.Helper()
	services := service.NewRegistry(service.Options{Network: network.TCP{}, Seed: 1})
	snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: config.Content{
		Services:   []config.Service{{Name: serviceName, MaxLoad: 1}},
		Placements: []config.Placement{{Service: serviceName, Backends: []config.Backend{{ID: "b1", Address: "127.0.0.1:1", Slots: 1}}}},
	}})
	require.NoError(t, err)
	services.Put(snapshot)
	mux := drpcmux.New()
	require.NoError(t, peerpb.DRPCRegisterSlots(mux, slots.NewServer(services, nil)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	found, _ := services.Find(serviceName)
	return &testDispatcher{address: listener.Addr().String(), service: found, stop: func() {
		cancel()
		<-done
	}}
}

func newClient() *slots.Client {
	return slots.NewClient(network.TCP{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func request(wait time.Duration) dispatch.Request {
	return dispatch.Request{Weight: 1, Wait: wait, Deadline: time.Now().Add(time.Minute)}
}

func acquire(t *testing.T, client *slots.Client, d *testDispatcher) *slots.Grant {
	t.Helper()
	grant, err := client.Acquire(t.Context(), d.address, serviceName, retry.First, request(0))
	require.NoError(t, err)
	require.Equal(t, "b1", grant.Backend)
	return grant
}

// TestPlaceGoesOn checks that a second request waits until the first one
// releases its permit.
func TestPlaceGoesOn(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	defer d.stop()
	client := newClient()
	defer client.Close()
	first := acquire(t, client, d)
	second := make(chan *slots.Grant)
	go func() {
		grant, err := client.Acquire(t.Context(), d.address, serviceName, retry.First, request(0))
		if err != nil {
			close(second)
			return
		}
		second <- grant
	}()
	// The wait starts when the request reaches the dispatcher, not when it is sent.
	require.Eventually(t, func() bool {
		_, waiting := d.service.Dispatcher.Status()
		return waiting == 1
	}, 5*time.Second, time.Millisecond)
	select {
	case <-second:
		t.Fatal("two requests hold one permit")
	case <-time.After(100 * time.Millisecond):
	}
	first.Done(routing.Success, time.Millisecond, &routing.Report{InFlight: 1, Slowdown: 2})
	grant, granted := <-second
	require.True(t, granted)
	require.GreaterOrEqual(t, grant.Waited, 100*time.Millisecond)
	grant.Done(routing.Success, time.Millisecond, nil)
}

// TestSessionEnds checks that the permits of a daemon that is gone pass to
// others.
func TestSessionEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	defer d.stop()
	gone, client := newClient(), newClient()
	defer client.Close()
	acquire(t, gone, d)
	gone.Close()
	acquire(t, client, d).Done(routing.Canceled, 0, nil)
}

// TestGivenUp checks that no permit stays with a request whose caller
// left while it waited.
func TestGivenUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	defer d.stop()
	client := newClient()
	defer client.Close()
	first := acquire(t, client, d)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Acquire(ctx, d.address, serviceName, retry.First, request(0))
	require.Equal(t, resultcode.CallerGone, err.(*resultcode.Failure).Code)
	first.Done(routing.Canceled, 0, nil)
	acquire(t, client, d).Done(routing.Canceled, 0, nil)
}

// TestRefused checks that the dispatcher's refusal and its Retry-After are passed on,
// except that an unknown service yields ErrStaleDispatcher.
func TestRefused(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	defer d.stop()
	client := newClient()
	defer client.Close()
	first := acquire(t, client, d)
	defer first.Done(routing.Canceled, 0, nil)
	_, err := client.Acquire(t.Context(), d.address, serviceName, retry.First, request(time.Millisecond))
	failure, refused := err.(*resultcode.Failure)
	require.True(t, refused, err)
	require.Equal(t, resultcode.WaitExpired, failure.Code)
	require.Positive(t, failure.RetryAfter)
	_, err = client.Acquire(t.Context(), d.address, "unknown", retry.First, request(0))
	require.ErrorIs(t, err, slots.ErrStaleDispatcher)
}

// TestSilentDispatcher checks that a dispatcher which accepts connections but never replies is
// given up on.
func TestSilentDispatcher(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := newClient()
	defer client.Close()
	_, err = client.Acquire(t.Context(), listener.Addr().String(), serviceName, retry.First, request(0))
	require.ErrorIs(t, err, slots.ErrUnreachable)
}

// TestNewSession checks that a new session is opened after a dispatcher
// has stopped and another one has started.
func TestNewSession(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	client := newClient()
	defer client.Close()
	grant := acquire(t, client, d)
	d.stop()
	grant.Done(routing.Success, time.Millisecond, nil) // releasing a permit of a stopped dispatcher must do no harm
	other := startDispatcher(t)
	defer other.stop()
	acquire(t, client, other).Done(routing.Canceled, 0, nil)
	_, err := client.Acquire(t.Context(), d.address, serviceName, retry.First, request(0))
	require.ErrorIs(t, err, slots.ErrUnreachable)
}

// BenchmarkPlace acquires and releases a permit over loopback.
func BenchmarkPlace(b *testing.B) {
	d := startDispatcher(b)
	defer d.stop()
	client := newClient()
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		grant, err := client.Acquire(b.Context(), d.address, serviceName, retry.First, request(0))
		if err != nil {
			b.Fatal(err)
		}
		grant.Done(routing.Success, time.Millisecond, &routing.Report{InFlight: 1, Slowdown: 1})
	}
}
