package relay_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
)

var (
	log = slog.New(slog.DiscardHandler)
	key = backend.Key{Service: "work", Backend: "b1"}
)

// paths are those of the daemon that relays.
type paths struct {
	unreached atomic.Bool // no back end is reached
	lost      atomic.Bool // this back end is not reached, but others
	doubtful  atomic.Bool // a failed connection says nothing about the back end
}

func (p *paths) Reaches(string) bool                      { return !p.unreached.Load() && !p.lost.Load() }
func (p *paths) CutOff() bool                             { return p.unreached.Load() }
func (p *paths) Credible(context.Context, time.Time) bool { return !p.doubtful.Load() }

// recorder records the signals that the daemon that relays observed.
type recorder struct {
	responses chan signals.Response
}

// Observe implements signals.Listener.
func (r *recorder) Observe(response signals.Response) {
	r.responses <- response
}

// setup is a client, the daemons that it may ask, and a back end.
type setup struct {
	client   *relay.Client
	paths    []*paths
	servers  []*httptest.Server
	observed *recorder
	backend  *httptest.Server
}

// start starts a back end with a handler, and this many daemons that relay requests to it.
func start(t *testing.T, daemons int, handler http.HandlerFunc) *setup {
	t.Helper()
	s := &setup{backend: httptest.NewServer(handler), observed: &recorder{responses: make(chan signals.Response, 100)}}
	t.Cleanup(s.backend.Close)
	document := config.Document{Revision: 1, Content: config.Content{
		Services:   []config.Service{{Name: key.Service, Hosts: []string{"*"}}},
		Placements: []config.Placement{{Service: key.Service, Backends: []config.Backend{{ID: key.Backend, Address: s.backend.Listener.Addr().String(), Slots: 10}}}},
	}}
	snapshot, err := config.NewSnapshot(document)
	require.NoError(t, err)
	var peers []membership.Member
	for number := range daemons {
		services := service.NewRegistry(service.Options{Network: network.TCP{}, Seed: 1})
		services.Put(snapshot)
		reached := &paths{}
		server := httptest.NewServer(relay.NewServer(relay.ServerOptions{Services: services, Paths: reached, Signals: s.observed, Dialect: backend.DefaultDialect(), Log: log, Metrics: tally.NoopScope}))
		t.Cleanup(server.Close)
		s.paths, s.servers = append(s.paths, reached), append(s.servers, server)
		peers = append(peers, membership.Member{Name: "daemon-" + strconv.Itoa(number), ForwardAddress: server.Listener.Addr().String()})
	}
	s.client = relay.NewClient(relay.Options{Network: network.TCP{}, Peers: func() []membership.Member { return peers }, Random: rand.New(rand.NewPCG(1, 1)), Log: log, Metrics: tally.NoopScope})
	t.Cleanup(s.client.Close)
	return s
}

// do relays a request with a body.
func (s *setup) do(ctx context.Context, body string) (*relay.Response, error) {
	return s.client.Do(ctx, key, true, func() *http.Request {
		received := httptest.NewRequest(http.MethodPost, "http://shop.example/a%2Fb?x=1&y", strings.NewReader(body))
		received.RequestURI = "/a%2Fb?x=1&y"
		received.Header.Set("Tuliphall-Deadline-Ms", "900")
		received.Header.Set("X-Own", "kept")
		return backend.CopyRequest(received)
	})
}

// codeOf returns the code of a failure.
func codeOf(t *testing.T, err error) resultcode.Code {
	t.Helper()
	var failure *backend.Failure
	require.True(t, errors.As(err, &failure), "%v", err)
	return failure.Code
}

// A relayed request reaches the back end as the caller sent it, without the headers between daemons, and
// the whole response comes back.
func TestRequestIsRelayedUnchanged(t *testing.T) {
	s := start(t, 1, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for name := range r.Header {
			if strings.HasPrefix(name, "Tuliphall-Relay") {
				w.WriteHeader(http.StatusTeapot)
			}
		}
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("X-Seen", r.Method+" "+r.Host+" "+r.RequestURI+" "+r.Header.Get("X-Own")+" "+r.Header.Get("Tuliphall-Deadline-Ms"))
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "5")
	})
	response, err := s.do(t.Context(), "hello")
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "hello", string(body))
	require.Equal(t, "POST shop.example /a%2Fb?x=1&y kept 900", response.Header.Get("X-Seen"))
	require.Equal(t, "5", response.Trailer.Get("X-Sum"))
	require.Empty(t, response.Header.Get("Tuliphall-Relayed"))
	require.Equal(t, "daemon-0", response.Peer)
}

// The daemon that relays observes what the back end says of itself, since it is the sender of the request.
func TestRelayingDaemonObservesSignals(t *testing.T) {
	s := start(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "4")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response, err := s.do(t.Context(), "")
	require.NoError(t, err)
	response.Body.Close()
	observed := <-s.observed.responses
	require.Equal(t, key, observed.Key)
	require.Equal(t, http.StatusServiceUnavailable, observed.Status)
	require.Equal(t, "4", observed.Header.Get("Retry-After"))
}

// Daemons that reach no back end themselves are passed over; if no daemon does, the request has not run.
func TestDaemonsThatReachNothingArePassedOver(t *testing.T) {
	s := start(t, 3, func(http.ResponseWriter, *http.Request) {})
	s.paths[0].unreached.Store(true)
	s.paths[1].unreached.Store(true)
	for range 20 {
		response, err := s.do(t.Context(), "")
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, "daemon-2", response.Peer)
	}
	s.paths[2].unreached.Store(true)
	_, err := s.do(t.Context(), "")
	require.Equal(t, resultcode.BackendsUnreachable, codeOf(t, err))
	require.Equal(t, resultcode.NotRun, codeOf(t, err).Info().Run)
	require.False(t, s.client.Available(), "all have just said that they reach nothing")
}

// Guards against passing over a daemon for all back ends because it has lost one.
func TestDaemonThatLostOnePathStaysAvailable(t *testing.T) {
	s := start(t, 2, func(http.ResponseWriter, *http.Request) {})
	s.paths[0].lost.Store(true)
	for range 20 {
		response, err := s.do(t.Context(), "")
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, "daemon-1", response.Peer)
	}
	s.paths[1].lost.Store(true)
	_, err := s.do(t.Context(), "")
	require.Equal(t, resultcode.BackendsUnreachable, codeOf(t, err))
	_, known := s.client.CheckLiveness(t.Context(), key)
	require.False(t, known)
	require.True(t, s.client.Available(), "both reach other back ends")
}

// A daemon that is gone is passed over, too.
func TestDaemonThatIsGoneIsPassedOver(t *testing.T) {
	s := start(t, 2, func(http.ResponseWriter, *http.Request) {})
	s.servers[0].Close()
	for range 20 {
		response, err := s.do(t.Context(), "")
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, "daemon-1", response.Peer)
	}
}

// A back end that a daemon cannot connect to is at fault only if that daemon reaches others.
func TestBackendThatIsGone(t *testing.T) {
	s := start(t, 1, func(http.ResponseWriter, *http.Request) {})
	s.backend.Close()
	_, err := s.do(t.Context(), "")
	require.Equal(t, resultcode.ConnectFailed, codeOf(t, err))
	require.True(t, backend.IsConnectionRefused(err))
	liveness, known := s.client.CheckLiveness(t.Context(), key)
	require.True(t, known)
	require.Equal(t, backend.Exited, liveness)

	s.paths[0].doubtful.Store(true)
	_, known = s.client.CheckLiveness(t.Context(), key)
	require.False(t, known)
	_, err = s.do(t.Context(), "")
	require.Equal(t, resultcode.BackendsUnreachable, codeOf(t, err))
}

// Guards against stating that a request has not run which the back end may have run, and against passing
// an incomplete response off as a complete one.
func TestBrokenResponseIsNotCompleteNorNotRun(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"before the response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"during the response", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 100<<10))
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		s := start(t, 1, test.serve)
		response, err := s.do(t.Context(), "")
		if err == nil {
			_, err = io.ReadAll(response.Body)
			response.Body.Close()
			require.Error(t, err, test.name)
			continue
		}
		require.Equal(t, resultcode.ConnectionBroken, codeOf(t, err), test.name)
	}
}

// A connection to the other daemon that breaks after the request was sent leaves unknown whether it ran.
func TestBrokenConnectionToDaemonLeavesOutcomeUnknown(t *testing.T) {
	arrived := make(chan struct{})
	s := start(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
	})
	go func() {
		<-arrived
		s.servers[0].CloseClientConnections()
	}()
	_, err := s.do(t.Context(), "")
	require.Equal(t, resultcode.PeerBroken, codeOf(t, err))
	require.Equal(t, resultcode.Unknown, codeOf(t, err).Info().Run)
}

// When the caller leaves, the request at the back end is canceled.
func TestCancelReachesBackend(t *testing.T) {
	arrived, canceled := make(chan struct{}), make(chan struct{})
	s := start(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		<-r.Context().Done()
		close(canceled)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := s.do(ctx, "x")
	require.Equal(t, resultcode.CallerGoneAfterSend, codeOf(t, err))
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the back end still runs the request")
	}
}

// Upgraded connections are piped through the other daemon.
func TestUpgradeIsRelayed(t *testing.T) {
	s := start(t, 1, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+r.Header.Get("Upgrade")+"\r\n\r\n")
		line, _ := buffered.ReadString('\n')
		_, _ = io.WriteString(conn, "echo "+line)
	})
	response, err := s.client.Do(t.Context(), key, true, func() *http.Request {
		received := httptest.NewRequest(http.MethodGet, "http://shop.example/ws", nil)
		received.Header.Set("Connection", "Upgrade")
		received.Header.Set("Upgrade", "chat")
		return backend.CopyRequest(received)
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusSwitchingProtocols, response.StatusCode)
	stream := response.Body.(io.ReadWriteCloser)
	defer stream.Close()
	_, err = io.WriteString(stream, "hello\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(stream).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "echo hello\n", line)
}

// A request is never relayed twice: the daemon that relays sends it to the back end itself, and a daemon
// that does not know of relayed requests has no service for them.
func TestDaemonThatDoesNotRelayIsPassedOver(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failure := resultcode.Failure{Code: resultcode.NoService}
	older := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { failure.Write(w, "", false) })}
	go func() { _ = older.Serve(listener) }()
	defer older.Close()
	peers := []membership.Member{{Name: "older", ForwardAddress: listener.Addr().String()}}
	client := relay.NewClient(relay.Options{Network: network.TCP{}, Peers: func() []membership.Member { return peers }, Random: rand.New(rand.NewPCG(1, 1)), Log: log, Metrics: tally.NoopScope})
	defer client.Close()
	s := &setup{client: client}
	_, err = s.do(t.Context(), "")
	require.Equal(t, resultcode.BackendsUnreachable, codeOf(t, err))
}

// TestRelayedBodyAfterEarlyResponse guards against a back end that gets other bytes, or a false end, where the rest of a body is
// due, because the server of the daemon that relays discards the body when the response begins.
func TestRelayedBodyAfterEarlyResponse(t *testing.T) {
	received := make(chan error, 1)
	s := start(t, 1, func(w http.ResponseWriter, r *http.Request) {
		require.NoError(t, http.NewResponseController(w).EnableFullDuplex())
		_, _ = w.Write(make([]byte, 40000))
		http.NewResponseController(w).Flush()
		body, err := io.ReadAll(r.Body)
		if err == nil && string(body) != strings.Repeat("0123456789abcdef", 10000) {
			err = errors.Errorf("%d bytes that differ from those that were sent", len(body))
		}
		received <- err
	})
	reader, writer := io.Pipe()
	go func() {
		for range 100 {
			_, _ = io.WriteString(writer, strings.Repeat("0123456789abcdef", 100))
			time.Sleep(time.Millisecond)
		}
		writer.Close()
	}()
	response, err := s.client.Do(t.Context(), key, false, func() *http.Request {
		return backend.CopyRequest(httptest.NewRequest(http.MethodPost, "http://shop.example/", reader))
	})
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, <-received)
}
