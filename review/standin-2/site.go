package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	healthPath = "/health"
	siteHost   = "kingston.example"
)

// route is a route of the operator's configuration, with times in seconds.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64
	priority, attempts          int
	split                       []share // replaces service
}

// share is a part of a split route.
type share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// services returns the services that the route sends requests to.
func (r route) services() []string {
	if len(r.split) == 0 {
		return []string{r.service}
	}
	names := make([]string, 0, len(r.split))
	for _, part := range r.split {
		names = append(names, part.Service)
	}
	return names
}

// spec returns what the configuration says of the route.
func (r route) spec() map[string]any {
	spec := map[string]any{
		"host": siteHost, "pathPrefix": r.prefix, "kind": r.kind, "timeoutS": r.timeout,
		"targetLatencyS": r.target, "priority": r.priority, "maxAttempts": r.attempts,
	}
	if len(r.split) > 0 {
		spec["split"] = r.split
	} else {
		spec["service"] = r.service
	}
	return spec
}

// site is a small deployment: the platform's store, workers and daemons.
type site struct {
	record    *record
	directory string
	store     *store
	address   string // of the store
	workers   []*worker
	daemons   []*daemonProcess
	version   int
}

// newSite starts a store that holds nothing.
func newSite(r *record) (*site, error) {
	directory, err := os.MkdirTemp("", "review-standin-2-")
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	started, err := startStore(address)
	if err != nil {
		return nil, err
	}
	return &site{record: r, directory: directory, store: started, address: address}, nil
}

// close ends all processes and removes the temporary folder, unless the logs are to be kept.
func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
		if d.log != nil {
			_ = d.log.Close()
		}
	}
	for _, w := range s.workers {
		w.close()
	}
	s.store.close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.directory)
		return
	}
	_ = os.RemoveAll(s.directory)
}

// configure writes the operator's configuration.
func (s *site) configure(routes []route, limits map[string]any) {
	s.version += 3
	declared := make(map[string]bool)
	var resources []any
	for _, each := range routes {
		for _, service := range each.services() {
			if declared[service] {
				continue
			}
			declared[service] = true
			resources = append(resources, map[string]any{
				"resourceKind": "services", "metadata": map[string]any{"name": service},
				"spec": map[string]any{"healthPath": healthPath, "maxConns": 260, "protocol": "h1", "tls": false},
			})
		}
		resources = append(resources, map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": each.name}, "spec": each.spec()})
	}
	if limits == nil {
		limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
	}
	resources = append(resources, map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": limits})
	s.store.put("config", "main", map[string]any{"version": s.version, "resources": resources}, nil)
	s.record.add("operator: configuration %d is accepted", s.version)
}

// addWorkers starts workers of a service.
func (s *site) addWorkers(service string, count, slots int, answer func(*worker, net.Conn, *http.Request) bool) error {
	zones := []string{"kgn-a", "kgn-b", "kgn-c"}
	for index := range count {
		w, err := startWorker(s.store, s.record, fmt.Sprintf("i-%s-%d", service, index), service, zones[index%len(zones)], slots, answer)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
		s.record.add("worker %s of %s at %s, %d slots", w.id, service, w.address, slots)
	}
	return nil
}

// startDaemons starts daemons and waits until they are ready and know each other.
func (s *site) startDaemons(count int) error {
	zones := []string{"kgn-a", "kgn-b", "kgn-c"}
	for index := range count {
		d, err := newDaemon(s.directory, fmt.Sprintf("edge-%s-1", zones[index%len(zones)]), zones[index%len(zones)])
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
	}
	var seeds []string
	for _, d := range s.daemons {
		seeds = append(seeds, d.peer)
	}
	for _, d := range s.daemons {
		if err := d.start(s.address, seeds); err != nil {
			return err
		}
		s.record.add("daemon %s: callers at %s", d.name, d.caller)
	}
	if err := awaitReady(s.daemons); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // until the membership has formed
	s.record.add("all daemons are ready")
	return nil
}
