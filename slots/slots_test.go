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

// testDispatcher is the dispatcher of a service with a single permit.
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
	return slots.NewClient(network.TCP{}, "d1", slog.New(slog.NewTextHandler(io.Discard, nil)))
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

// TestReleasedPermitPassesToWaitingRequest checks that a second request waits until the first one
// releases the permit, and then gets it.
func TestReleasedPermitPassesToWaitingRequest(t *testing.T) {
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

// TestSessionEndReleasesPermits checks that the permits of a daemon whose session has ended pass to
// others.
func TestSessionEndReleasesPermits(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	defer d.stop()
	closed, client := newClient(), newClient()
	defer client.Close()
	acquire(t, closed, d)
	closed.Close()
	acquire(t, client, d).Done(routing.Canceled, 0, nil)
}

// TestAbandonedRequestKeepsNoPermit checks that a request whose caller leaves before the reply of
// the dispatcher does not keep a permit.
func TestAbandonedRequestKeepsNoPermit(t *testing.T) {
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

// TestRefusalIsPassedOn checks that the caller gets the dispatcher's refusal and its Retry-After,
// but ErrStaleDispatcher if the dispatcher does not know the service.
func TestRefusalIsPassedOn(t *testing.T) {
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

// TestSilentDispatcherIsUnreachable checks that a dispatcher which accepts connections but never
// replies counts as unreachable.
func TestSilentDispatcherIsUnreachable(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	client := newClient()
	defer client.Close()
	_, err = client.Acquire(t.Context(), listener.Addr().String(), serviceName, retry.First, request(0))
	require.ErrorIs(t, err, slots.ErrUnreachable)
}

// TestNewSessionAfterDispatcherStops checks that a client opens a session to another dispatcher
// after the first one has stopped.
func TestNewSessionAfterDispatcherStops(t *testing.T) {
	defer goleak.VerifyNone(t)
	d := startDispatcher(t)
	client := newClient()
	defer client.Close()
	grant := acquire(t, client, d)
	d.stop()
	grant.Done(routing.Success, time.Millisecond, nil) // the release of a permit of a stopped dispatcher must have no effect
	other := startDispatcher(t)
	defer other.stop()
	acquire(t, client, other).Done(routing.Canceled, 0, nil)
	_, err := client.Acquire(t.Context(), d.address, serviceName, retry.First, request(0))
	require.ErrorIs(t, err, slots.ErrUnreachable)
}

// BenchmarkAcquireAndRelease measures the acquisition and release of a permit over loopback.
func BenchmarkAcquireAndRelease(b *testing.B) {
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
