package daemon

import (
	"math/rand/v2"
	"net/http"

	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/relay"
	"github.com/tuliphall/tuliphall/service"
)

// forwardHandler serves the requests that other daemons forward, and those that they ask this one to
// relay to a back end.
func (d *Daemon) forwardHandler() http.Handler {
	forwarded := d.handler.ForwardedHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if relay.IsRelayed(r) {
			d.relayed.ServeHTTP(w, r)
			return
		}
		forwarded.ServeHTTP(w, r)
	})
}

// otherDaemons returns the other daemons of this region, or those of all regions if there are none.
func (d *Daemon) otherDaemons() []membership.Member {
	serving := d.node.View().Serving
	var others, remote []membership.Member
	for _, member := range serving {
		switch {
		case member.Name == d.settings.Name:
		case member.Region == d.settings.Region:
			others = append(others, member)
		default:
			remote = append(remote, member)
		}
	}
	if len(others) == 0 {
		return remote
	}
	return others
}

// drawsPerBackend is how many back ends are drawn for each that is wanted, as some take no requests.
const drawsPerBackend = 4

// randomBackends returns the addresses of at most count different back ends that take requests.
func (d *Daemon) randomBackends(count int) []string {
	var services []*service.Service
	for _, running := range d.services.All() {
		if len(running.Target().Backends) > 0 {
			services = append(services, running)
		}
	}
	if len(services) == 0 {
		return nil
	}
	found := make(map[string]bool, count)
	var addresses []string
	for range count * drawsPerBackend {
		if len(addresses) == count {
			break
		}
		running := services[rand.IntN(len(services))]
		backends := running.Target().Backends
		drawn := backends[rand.IntN(len(backends))]
		if !found[drawn.Address] && running.IsEligible(drawn.ID) {
			found[drawn.Address] = true
			addresses = append(addresses, drawn.Address)
		}
	}
	return addresses
}
