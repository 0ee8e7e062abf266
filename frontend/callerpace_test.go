package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
)

// TestStalledUploadsDoNotEjectBackend guards against a healthy back end that is ejected because callers stop in the middle of
// their bodies, up to the deadline or until they leave.
func TestStalledUploadsDoNotEjectBackend(t *testing.T) {
	for name, leaves := range map[string]bool{"until the deadline": false, "until they leave": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				// An error means that the caller has not sent the whole body.
				_, _ = io.Copy(io.Discard, r.Body)
			}))
			t.Cleanup(back.Close)
			services := newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{
				Services:   []config.Service{{Name: "uploads", PathPrefix: "/"}},
				Placements: []config.Placement{{Service: "uploads", Backends: []config.Backend{{ID: "b1", Address: back.Listener.Addr().String(), Slots: 40}}}},
			}})
			server := startServer(t, newTestHandler(t, services, fixedPeers{}))
			for range 20 {
				// A new back end gets one more request at a time with each response.
				response, err := http.Get(server.URL)
				require.NoError(t, err)
				response.Body.Close()
			}
			var uploads sync.WaitGroup
			for range 20 {
				conn := dial(t, server)
				uploads.Go(func() {
					fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nTuliphall-Deadline-Ms: 300\r\nContent-Length: 1000000\r\n\r\n%0100000d", 0)
					if leaves {
						time.Sleep(200 * time.Millisecond)
						conn.Close()
						return
					}
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err == nil {
						response.Body.Close()
					}
				})
			}
			uploads.Wait()
			require.Never(t, func() bool {
				backends, _ := services.All()["uploads"].Dispatcher.Status()
				return backends[0].Ejected
			}, 200*time.Millisecond, 10*time.Millisecond)
		})
	}
}
