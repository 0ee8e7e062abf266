package datapath

import (
	"io"
	"net/http"
	"testing"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/site"
)

// BenchmarkRequest sends requests one after another over loopback, directly to a back
// end and through a daemon. Time and allocations include the client and the back end;
// the difference between the two is that of the daemon.
func BenchmarkRequest(b *testing.B) {
	deployment, err := site.Start(b.Context(), site.Options{
		Zones: []string{"zone-a"}, Daemons: 1,
		Services: []site.Service{{Config: config.Service{Name: "work"}, Backends: 1, Backend: backendstub.Options{FixedServiceTime: true}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer deployment.Close()
	for _, target := range []struct{ name, address string }{{"direct", deployment.Backends[0].Address}, {"through", deployment.Targets()[0]}} {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				response, err := http.Get("http://" + target.address + "/work")
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
}
