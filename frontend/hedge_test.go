package frontend

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestRefusedHedgeKeepsRunStateUnknown guards against a response that states "not run" if the
// connection of the first attempt breaks after it has run and a back end refuses the hedge shortly
// afterwards.
func TestRefusedHedgeKeepsRunStateUnknown(t *testing.T) {
	var arrivals atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/break" {
			return
		}
		if arrivals.Add(1) == 1 {
			time.Sleep(60 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(80 * time.Millisecond)
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	services := newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{
		Policies: []config.Policy{{Name: "reads", Source: policy.Source{Retry: "true", Hedge: `duration("20ms")`}}},
		Services: []config.Service{{Name: "prices", PathPrefix: "/", Policy: "reads", RefusalStatus: http.StatusTooManyRequests, RetryRatio: 1}},
		Placements: []config.Placement{{Service: "prices", Backends: []config.Backend{
			{ID: "b1", Address: address, Slots: 2, Warm: true}, {ID: "b2", Address: address, Slots: 2, Warm: true},
		}}},
	}})
	handler := newTestHandler(t, services, fixedPeers{})
	send := func(path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		return recorder
	}
	for range 20 {
		require.Equal(t, http.StatusOK, send("/earn").Code)
	}
	response := send("/break")
	require.EqualValues(t, 2, arrivals.Load())
	require.Equal(t, string(resultcode.Unknown), response.Header().Get(resultcode.HeaderRun), response.Body)
}

// TestHedgeCountsAsAttempt guards against a hedge not being counted as an attempt: after the connections of the
// first attempt and its hedge have broken, a route that allows two attempts makes no other, one that allows three makes one.
func TestHedgeCountsAsAttempt(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		var arrivals atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/all/break" {
				return
			}
			arrivals.Add(1)
			time.Sleep(60 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		var backends []config.Backend
		for _, id := range []string{"b1", "b2", "b3", "b4"} {
			backends = append(backends, config.Backend{ID: id, Address: server.Listener.Addr().String(), Slots: 2, Warm: true})
		}
		services := newTestRegistry(t, &config.Document{Revision: 1, Content: config.Content{
			Policies:   []config.Policy{{Name: "reads", Source: policy.Source{Retry: "true", Hedge: `duration("20ms")`}}},
			Services:   []config.Service{{Name: "prices", PathPrefix: "/prices", Policy: "reads", RetryRatio: 1}},
			Routes:     []config.Route{{Name: "all", PathPrefix: "/all", Shares: []config.Share{{Service: "prices", Weight: 1}}, Attempts: attempts}},
			Placements: []config.Placement{{Service: "prices", Backends: backends}},
		}})
		handler := newTestHandler(t, services, fixedPeers{})
		for range 20 {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/all/earn", nil))
		}
		handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/all/break", nil))
		require.EqualValues(t, attempts, arrivals.Load())
	}
}
