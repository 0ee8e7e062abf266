package datapath

import (
	"io"
	"net/http"
	"testing"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/site"
)

// BenchmarkRequest sends one request after the other over loopback, directly to a
// back end and through a daemon. Time and allocations are those of all sides
// together; the difference is the daemon's.
func BenchmarkRequest(b *testing.B) {
	running, err := site.Start(b.Context(), site.Options{
		Zones: []string{"zone-a"}, Daemons: 1,
		Services: []site.Service{{Config: config.Service{Name: "work"}, Backends: 1, Backend: backendstub.Options{FixedServiceTime: true}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer running.Close()
	for _, side := range []struct{ name, address string }{{"direct", running.Backends[0].Address}, {"through", running.Targets()[0]}} {
		b.Run(side.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				response, err := http.Get("http://" + side.address + "/work")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}
