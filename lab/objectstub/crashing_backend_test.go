package objectstub_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/admin"
)

// Timing of crashes, as observed: a crashing request runs for a tenth of a second, and the back end
// restarts after one to three seconds with a new id.
const (
	crashDelay   = 90 * time.Millisecond
	restartDelay = 2 * time.Second
	// entryExpiry is the time after a crash when the store drops the entry of the back end.
	entryExpiry = 4 * time.Second
	// agreementTime is the time within which all daemons have the records of any of them.
	agreementTime = 3 * time.Second
	// maxCrashes is the number of crashes after which a request must no longer reach back ends, and
	// maxLateArrivals the number of times it may reach one after the agreement time.
	maxCrashes      = 3
	maxLateArrivals = 3
)

// crashRecord has the times when a crashing request arrived at back ends, and when it crashed them.
type crashRecord struct {
	mutex    sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// arrivalsAfterAgreement returns the number of arrivals later than the agreement time after the
// crash number maxCrashes.
func (c *crashRecord) arrivalsAfterAgreement() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.crashes) < maxCrashes {
		return 0
	}
	count := 0
	for _, at := range c.arrivals {
		if at.After(c.crashes[maxCrashes-1].Add(agreementTime)) {
			count++
		}
	}
	return count
}

// total returns the number of crashes.
func (c *crashRecord) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.crashes)
}

// crashingBackend is a back end that crashes when it runs certain requests, and restarts.
type crashingBackend struct {
	fleet     *fleet
	worker    *worker
	name      string // prefix of its ids
	crashesOn func(*http.Request) bool
	record    *crashRecord
	starts    int
	server    *http.Server
}

// useCrashingBackends replaces the fleet's back ends by as many that crash on certain requests, and returns the
// record of their crashes.
func (f *fleet) useCrashingBackends(crashesOn func(*http.Request) bool) *crashRecord {
	_, record := f.startCrashingBackends(crashesOn)
	return record
}

func (f *fleet) startCrashingBackends(crashesOn func(*http.Request) bool) ([]*crashingBackend, *crashRecord) {
	record := &crashRecord{}
	var backends []*crashingBackend
	for _, worker := range f.workers {
		backend := &crashingBackend{fleet: f, worker: worker, name: worker.id, crashesOn: crashesOn, record: record}
		f.store.Remove("servers", worker.id)
		worker.address = f.net.Address(crashingHost(worker.id))
		backend.start()
		backends = append(backends, backend)
	}
	return backends, record
}

func crashingHost(name string) string {
	return "crashing-" + name
}

// start starts the back end at its address with a new id.
func (b *crashingBackend) start() {
	if b.fleet.closed.Load() {
		return
	}
	b.starts++
	listener, err := b.fleet.net.Network(crashingHost(b.name)).Listen(b.worker.address)
	require.NoError(b.fleet.t, err)
	b.worker.update(func() {
		b.worker.address = listener.Addr().String()
		b.worker.id = fmt.Sprintf("%s.%d", b.name, b.starts)
		b.worker.instance = b.worker.id
	})
	server := &http.Server{Handler: b}
	b.record.mutex.Lock()
	b.server = server
	b.record.mutex.Unlock()
	b.fleet.mutex.Lock()
	b.fleet.servers = append(b.fleet.servers, server)
	b.fleet.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	b.fleet.writeEntry(b.worker, "ready")
}

// ServeHTTP implements http.Handler.
func (b *crashingBackend) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !b.crashesOn(r) {
		b.worker.ServeHTTP(rw, r)
		return
	}
	b.record.mutex.Lock()
	b.record.arrivals = append(b.record.arrivals, time.Now())
	server := b.server
	b.record.mutex.Unlock()
	time.Sleep(crashDelay)
	b.crash(server)
}

// crash closes the back end without notice, and its running requests are lost. It has no effect if
// this run has crashed already, as when the request was sent to it twice.
func (b *crashingBackend) crash(server *http.Server) {
	b.record.mutex.Lock()
	defer b.record.mutex.Unlock()
	if server == nil || b.server != server {
		return
	}
	b.server = nil
	b.record.crashes = append(b.record.crashes, time.Now())
	server.Close()
	id := b.worker.id
	time.AfterFunc(restartDelay, b.start)
	time.AfterFunc(entryExpiry, func() { b.fleet.store.Remove("servers", id) })
}

// backgroundLoad sends other requests until it is finished, and counts sent and answered
// requests.
type backgroundLoad struct {
	stop           chan struct{}
	running        sync.WaitGroup
	mutex          sync.Mutex
	sent, answered int
}

func (f *fleet) startBackgroundLoad(every time.Duration) *backgroundLoad {
	return f.startBackgroundLoadOf(every, func(number int) string { return fmt.Sprintf("/one/safe/%d", number) })
}

// startBackgroundLoadOf is startBackgroundLoad with the paths that path returns.
func (f *fleet) startBackgroundLoadOf(every time.Duration, path func(number int) string) *backgroundLoad {
	b := &backgroundLoad{stop: make(chan struct{})}
	b.running.Go(func() {
		for number := 0; ; number++ {
			select {
			case <-b.stop:
				return
			case <-time.After(every):
			}
			b.running.Go(func() {
				b.count(f.send(number%len(f.daemons), path(number)))
			})
		}
	})
	return b
}

func (b *backgroundLoad) count(got answer) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sent++
	if got.status == http.StatusOK {
		b.answered++
	}
}

// finish stops the load and returns the share of requests answered.
func (b *backgroundLoad) finish() float64 {
	close(b.stop)
	b.running.Wait()
	return float64(b.answered) / float64(b.sent)
}

// isCrashingRequest reports whether a request is the crashing request of these tests.
func isCrashingRequest(r *http.Request) bool {
	return r.URL.Path == "/one/safe/deadly"
}

// crashRepeater repeats the crashing request at the rate observed in practice, each time with a new
// id and through a random daemon.
type crashRepeater struct {
	fleet   *fleet
	path    string
	varied  bool // each request has another source address and query
	random  *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup
}

func (f *fleet) startCrashRepeater(path string) *crashRepeater {
	r := &crashRepeater{fleet: f, path: path, random: rand.New(rand.NewPCG(2, 2))}
	r.resume()
	return r
}

func (r *crashRepeater) resume() {
	r.stop = make(chan struct{})
	r.running.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(time.Duration(r.random.ExpFloat64() * float64(125*time.Millisecond))):
			}
			number, path := r.random.IntN(len(r.fleet.daemons)), r.path
			if r.varied {
				r.fleet.callerHost.Add(1)
				r.fleet.client.CloseIdleConnections()
				path += fmt.Sprintf("?page=%d", r.random.IntN(1000))
			}
			r.running.Go(func() { r.fleet.send(number, path) })
		}
	})
}

// pause stops sending and waits for requests in flight.
func (r *crashRepeater) pause() {
	close(r.stop)
	r.running.Wait()
}

// replaceDaemon kills a daemon and starts a new one.
func (f *fleet) replaceDaemon(number int) {
	var seeds []string
	for _, other := range f.daemons {
		seeds = append(seeds, other.Addresses().Peer)
	}
	f.daemons[number].Kill()
	f.daemons = slices.Delete(f.daemons, number, number+1)
	f.startAt(daemons+int(f.lastRequest.Add(1)), f.storeAddress, f.net.Address(hostOf(daemons+int(f.lastRequest.Load()))), seeds)
}

// inFirstHalf reports whether the host belongs to the first half of the daemons.
func inFirstHalf(host string) bool {
	return host == hostOf(0) || host == hostOf(1)
}

// inSecondHalf reports whether the host belongs to the second half of the daemons.
func inSecondHalf(host string) bool {
	return host == hostOf(2) || host == hostOf(3)
}

// kill crashes the back end independently of requests.
func (b *crashingBackend) kill() {
	b.record.mutex.Lock()
	server := b.server
	b.record.mutex.Unlock()
	b.crash(server)
}

// quarantiningDaemons returns the number of daemons that quarantine a request.
func (f *fleet) quarantiningDaemons() int {
	count := 0
	for _, d := range f.daemons {
		isQuarantined := func(request admin.CrashingRequest) bool { return request.Quarantined }
		if slices.ContainsFunc(d.CrashingRequests(), isQuarantined) {
			count++
		}
	}
	return count
}

// burst sends this number of concurrent requests, so that later ones wait for permits.
func (f *fleet) burst(count int) {
	for number := range count {
		go f.send(number%len(f.daemons), fmt.Sprintf("/one/safe/burst-%d", number))
	}
}

// pipeline sends a request several times on one connection without waiting for responses.
func (f *fleet) pipeline(number int, path string, times int) {
	conn, err := f.net.Host("callers").Dial(f.t.Context(), f.daemons[number].Addresses().Caller)
	if err != nil {
		return
	}
	defer conn.Close()
	var requests strings.Builder
	for range times {
		fmt.Fprintf(&requests, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: pipelined-%d\r\nDeadline-Ms: 1500\r\n\r\n", path, f.lastRequest.Add(1))
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}
