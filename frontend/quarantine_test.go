package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
)

// checkedRequests records the fingerprints of the requests that are checked.
type checkedRequests struct {
	noQuarantine
	mutex   sync.Mutex
	checked []quarantine.Fingerprints
}

// Check implements Quarantine.
func (c *checkedRequests) Check(fingerprints quarantine.Fingerprints) *resultcode.Failure {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checked = append(c.checked, fingerprints)
	return nil
}

// take returns the fingerprints of the request that was checked since the last call.
func (c *checkedRequests) take(t *testing.T) quarantine.Fingerprints {
	t.Helper()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	require.NotEmpty(t, c.checked)
	first := c.checked[0]
	for _, other := range c.checked {
		require.Equal(t, first, other)
	}
	c.checked = nil
	return first
}

// TestBodiesInChunksAreDifferentRequests guards against a request in chunks that crashes back ends and is never held back: the
// answer to any other request in chunks of its caller, or to its path, cleared what was known of it. The dispatcher's daemon,
// which sees neither the caller nor a held body, must know a forwarded request by the same fingerprints.
func TestBodiesInChunksAreDifferentRequests(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(backend.Close)
	for _, forward := range []bool{false, true} {
		t.Run(fmt.Sprintf("forward %t", forward), func(t *testing.T) {
			document := &config.Document{Revision: 1, Content: config.Content{
				Services:   []config.Service{{Name: "uploads", PathPrefix: "/", Forward: forward}},
				Placements: []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: backend.Listener.Addr().String(), Slots: 10}}}},
				Limits:     &config.RequestLimits{MaxBodyBytes: 64 << 20},
			}}
			here, there := &checkedRequests{}, &checkedRequests{}
			dispatcher := startDispatcher(t, newTestRegistry(t, document))
			dispatching := newTestHandler(t, newTestRegistry(t, document), fixedPeers{})
			dispatching.options.Quarantine = there
			forwarded := httptest.NewServer(dispatching.ForwardedHandler())
			t.Cleanup(forwarded.Close)
			dispatcher.ForwardAddress = forwarded.Listener.Addr().String()
			peers := fixedPeers{}
			if forward {
				peers.dispatcher = dispatcher
			}
			handler := newTestHandler(t, newTestRegistry(t, document), peers)
			handler.options.Quarantine = here
			conn := dial(t, startServer(t, handler))
			responses := bufio.NewReader(conn)
			fingerprintsOf := func(body string) quarantine.Fingerprints {
				_, err := fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", uploadHead, len(body), body)
				require.NoError(t, err)
				response, err := http.ReadResponse(responses, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				fingerprints := here.take(t)
				if forward {
					require.Equal(t, fingerprints, there.take(t))
				}
				return fingerprints
			}
			for _, padding := range []int{0, 100_000} {
				first := fingerprintsOf("first" + strings.Repeat("x", padding))
				second := fingerprintsOf("other" + strings.Repeat("x", padding))
				require.NotEqual(t, first.Exact, second.Exact)
				require.NotEqual(t, first.Broad, second.Broad)
				require.Equal(t, first, fingerprintsOf("first"+strings.Repeat("x", padding)))
			}
		})
	}
}
