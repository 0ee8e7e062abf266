package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/internal/testserver"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/pipelining"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
)

// unframedDocument is a configuration with one back end, whose responses need not have a length.
func unframedDocument(address string, forward bool) *config.Document {
	return &config.Document{Revision: 1, Content: config.Content{
		Policies:   []config.Policy{{Name: "reads", Source: policy.Source{Retry: `method == "GET"`}}},
		Services:   []config.Service{{Name: "uploads", PathPrefix: "/", AllowUnframed: true, Forward: forward, Policy: "reads"}},
		Placements: []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: address, Slots: 100}}}},
	}}
}

// bypass makes a daemon send all requests through another one.
type bypass struct{ allPaths }

func (bypass) Direct(string) bool   { return false }
func (bypass) Bypassed(string) bool { return true }

// reachAll are the paths of a daemon that relays and reaches all back ends.
type reachAll struct{ allPaths }

func (reachAll) Reaches(string) bool { return true }
func (reachAll) CutOff() bool        { return false }

// newRelayedHandler returns the handler of a daemon that sends all requests through another one.
func newRelayedHandler(t *testing.T, services *service.Registry) *Handler {
	t.Helper()
	handler := newTestHandler(t, services, fixedPeers{})
	carrier := httptest.NewServer(relay.NewServer(relay.ServerOptions{
		Services: services, Paths: reachAll{}, Signals: signals.NopListener{}, Dialect: backend.DefaultDialect(), Log: handler.log, Metrics: tally.NoopScope,
	}))
	t.Cleanup(carrier.Close)
	peers := []membership.Member{{Name: "carrier", ForwardAddress: carrier.Listener.Addr().String()}}
	client := relay.NewClient(relay.Options{
		Network: network.TCP{}, Peers: func() []membership.Member { return peers }, Random: rand.New(rand.NewPCG(1, 1)), Log: handler.log, Metrics: tally.NoopScope,
	})
	t.Cleanup(client.Close)
	handler.options.Paths, handler.options.Relay = bypass{}, client
	return handler
}

// ways are the ways from a daemon to a back end.
var ways = map[string]func(t *testing.T, address string) *Handler{
	"direct": func(t *testing.T, address string) *Handler {
		return newTestHandler(t, newTestRegistry(t, unframedDocument(address, false)), fixedPeers{})
	},
	"forwarded": func(t *testing.T, address string) *Handler {
		registry := newTestRegistry(t, unframedDocument(address, true))
		return newTestHandler(t, registry, fixedPeers{dispatcher: startDispatcher(t, newTestRegistry(t, unframedDocument(address, true)))})
	},
	"relayed": func(t *testing.T, address string) *Handler {
		return newRelayedHandler(t, newTestRegistry(t, unframedDocument(address, false)))
	},
}

// answer is what a caller takes for a response; err tells why it knows that it is not a whole one.
type answer struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

// startPipelinedServer starts a server of HTTP/1 for callers as a daemon does.
func startPipelinedServer(t *testing.T, handler *Handler) *httptest.Server {
	t.Helper()
	pipelined := pipelining.New(pipelining.Options{
		Handler: handler, Repeatable: handler.Repeatable, Refuse: handler.RefuseAmbiguous, RefuseHead: handler.RefuseHead,
		Closing: func() bool { return false }, IDHeader: backend.HeaderRequestID,
		MaxPerConnection: 4, MaxTotal: 4, MaxReadAheadBytes: 64 << 10, MaxBufferedBodyBytes: 32 << 10,
	})
	server := httptest.NewUnstartedServer(pipelined)
	server.Config.ConnContext = pipelined.ConnContext
	server.Listener = pipelined.WrapListener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// lengthReader is a body of known length.
type lengthReader interface {
	io.Reader
	Len() int
}

// callers send a request with a body to a daemon and return what they get.
var callers = map[string]func(t *testing.T, handler *Handler, body lengthReader) answer{
	"HTTP/1.0": func(t *testing.T, handler *Handler, body lengthReader) answer {
		conn := dial(t, startPipelinedServer(t, handler))
		sent := make(chan error, 1)
		go func() {
			fmt.Fprintf(conn, "POST /corrections HTTP/1.0\r\nHost: h\r\nContent-Length: %d\r\n\r\n", body.Len())
			_, err := io.Copy(conn, body)
			sent <- err
		}()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		got := readAnswer(http.ReadResponse(bufio.NewReader(conn), nil))
		if got.err == nil {
			got.err = <-sent // a write that meets a reset hides it from the read
		}
		return got
	},
	"HTTP/1.1": func(t *testing.T, handler *Handler, body lengthReader) answer {
		client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
		defer client.CloseIdleConnections()
		return readAnswer(client.Post(startPipelinedServer(t, handler).URL+"/corrections", "text/plain", body))
	},
	"HTTP/2": func(t *testing.T, handler *Handler, body lengthReader) answer {
		client := newHTTP2Client()
		client.Timeout = 10 * time.Second
		defer client.CloseIdleConnections()
		return readAnswer(client.Post(startServer(t, handler).URL+"/corrections", "text/plain", body))
	},
}

func readAnswer(response *http.Response, err error) answer {
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), trailer: response.Trailer, err: err}
}

// requireNoAnswer requires that a caller got no whole response of the back end: either a broken one or an error of the daemon, which
// does not claim that the request has not run.
func requireNoAnswer(t *testing.T, got answer) {
	t.Helper()
	if got.err != nil {
		return
	}
	require.GreaterOrEqual(t, got.status, http.StatusInternalServerError, "%+v", got)
	require.Equal(t, "unknown", got.header.Get("Tuliphall-Run"), "%+v", got)
}

// onEachWay runs a test for each way from a caller to a back end. call sends a request for which the back end listens at address.
func onEachWay(t *testing.T, test func(t *testing.T, call func(address string, body lengthReader) answer)) {
	t.Helper()
	for wayName, newHandler := range ways {
		for callerName, send := range callers {
			t.Run(wayName+"/"+callerName, func(t *testing.T) {
				t.Parallel()
				test(t, func(address string, body lengthReader) answer { return send(t, newHandler(t, address), body) })
			})
		}
	}
}

// listenForRequests starts a back end that reads the head of one request of each connection, calls respond and closes the connection.
func listenForRequests(t *testing.T, respond func(conn *net.TCPConn, request *http.Request)) (address string) {
	t.Helper()
	return testserver.Listen(t, func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			respond(conn.(*net.TCPConn), request)
		}
	})
}

// resetDuringUpload sends the head of a response without a length and a part of its body, and resets the connection while the body of the request is
// still being sent.
func resetDuringUpload(conn *net.TCPConn, part int) {
	_, _ = io.WriteString(conn, okHead+"\r\n"+strings.Repeat("x", part))
	time.Sleep(20 * time.Millisecond) // the sender fills the buffers
	_ = conn.SetLinger(0)
}

// TestResponseWithoutLengthResetDuringUpload guards against a part of a response that reaches the caller as a whole one. The end of the connection
// is all that delimits such a response, and a write that fails with the reset hides it from the next read, which sees the end.
func TestResponseWithoutLengthResetDuringUpload(t *testing.T) {
	const attempts = 5
	onEachWay(t, func(t *testing.T, call func(string, lengthReader) answer) {
		for _, part := range []int{0, 5, 100_000} {
			address := listenForRequests(t, func(conn *net.TCPConn, _ *http.Request) { resetDuringUpload(conn, part) })
			for range attempts {
				requireNoAnswer(t, call(address, bytes.NewReader(make([]byte, 16<<20))))
			}
		}
	})
}

// slowBody is a body that arrives in pieces of slowPieceBytes, longer in all than what is held before it is sent.
type slowBody struct{ pieces int }

const slowPieceBytes = 8 << 10

// Read implements io.Reader.
func (b *slowBody) Read(target []byte) (int, error) {
	if b.pieces == 0 {
		return 0, io.EOF
	}
	b.pieces--
	time.Sleep(20 * time.Millisecond)
	return copy(target, make([]byte, slowPieceBytes)), nil
}

// Len returns the number of bytes left.
func (b *slowBody) Len() int { return b.pieces * slowPieceBytes }

// TestResponseWithoutLengthOfBackendThatEnds guards against the same fault where the back end has read all that has arrived when it ends: the
// connection is closed cleanly then, and only what is sent later is rejected.
func TestResponseWithoutLengthOfBackendThatEnds(t *testing.T) {
	onEachWay(t, func(t *testing.T, call func(string, lengthReader) answer) {
		address := listenForRequests(t, func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, okHead+"\r\npart")
			_, _ = io.CopyN(io.Discard, request.Body, slowPieceBytes)
			time.Sleep(5 * time.Millisecond)
		})
		requireNoAnswer(t, call(address, &slowBody{pieces: 20}))
	})
}

// TestResponseWithoutLengthToUploadIsServed guards against rejecting responses without a length that are whole: the back end has taken the whole body
// of the request and closes the connection, or ends its response first and then takes the rest.
func TestResponseWithoutLengthToUploadIsServed(t *testing.T) {
	const text = "accepted"
	for name, respond := range map[string]func(conn *net.TCPConn, request *http.Request){
		"after the body": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, okHead+"\r\n"+text)
		},
		"before the body": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, okHead+"\r\n"+text)
			_, _ = io.Copy(io.Discard, request.Body)
		},
		"ended before the body": func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, okHead+"\r\n"+text)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		},
	} {
		t.Run(name, func(t *testing.T) {
			onEachWay(t, func(t *testing.T, call func(string, lengthReader) answer) {
				address := listenForRequests(t, respond)
				for _, length := range []int{0, 1000, 4 << 20} {
					got := call(address, bytes.NewReader(make([]byte, length)))
					require.NoError(t, got.err, "%d bytes", length)
					require.Equal(t, http.StatusOK, got.status)
					require.Equal(t, text, got.body)
				}
			})
		})
	}
}

// TestRefusalWithoutLengthOfUploadIsServed guards against rejecting the response of a back end that refuses an upload and ends its response before
// it has taken the body, of which it does not need the rest.
func TestRefusalWithoutLengthOfUploadIsServed(t *testing.T) {
	const text = "too long"
	onEachWay(t, func(t *testing.T, call func(string, lengthReader) answer) {
		got := call(listenForRequests(t, func(conn *net.TCPConn, request *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\n\r\n"+text)
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, request.Body)
		}), &slowBody{pieces: 20})
		require.NoError(t, got.err)
		require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
		require.Equal(t, text, got.body)
	})
}

// TestBrokenOffResponseOverHTTP10IsReset guards against a part of a response that a caller of HTTP/1.0 takes for a whole one: nothing but the end of the
// connection delimits a response that the back end sends in chunks or without a length, so that only a reset tells.
func TestBrokenOffResponseOverHTTP10IsReset(t *testing.T) {
	for name, response := range map[string]string{
		"chunks":                    okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"more chunks than buffered": okHead + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n",
		"no chunk":                  okHead + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		for wayName, newHandler := range ways {
			t.Run(name+"/"+wayName, func(t *testing.T) {
				t.Parallel()
				address := listenForRequests(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, response) })
				requireNoAnswer(t, readers["HTTP/1.0"](t, newHandler(t, address)))
			})
		}
	}
}
