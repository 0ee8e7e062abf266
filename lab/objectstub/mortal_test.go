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

// What a crashing request does, as was seen: it runs for a tenth of a second, and the back end
// is back after one to three seconds, under another id.
const (
	crashAfter   = 90 * time.Millisecond
	restartAfter = 2 * time.Second
	// lapseAfter is when the store drops the entry of a back end that has ended.
	lapseAfter = 4 * time.Second
	// agreement is the time in which all daemons agree on what any of them has seen.
	agreement = 3 * time.Second
	// crashesAllowed is after how many endings a request must stop reaching back ends, and
	// sendsAllowed how often it may reach one once all daemons have had the time to agree.
	crashesAllowed = 3
	sendsAllowed   = 3
)

// crashes are the back ends that a request ended, and when it reached one.
type crashes struct {
	mutex    sync.Mutex
	arrivals []time.Time
	endings  []time.Time
}

// reached returns how often back ends were reached after all daemons had had the time to agree
// that the request ends them.
func (c *crashes) reached() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.endings) < crashesAllowed {
		return 0
	}
	count := 0
	for _, at := range c.arrivals {
		if at.After(c.endings[crashesAllowed-1].Add(agreement)) {
			count++
		}
	}
	return count
}

// total returns how many back ends were ended.
func (c *crashes) total() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.endings)
}

// mortal is a back end that ends when it runs a certain request, and starts again.
type mortal struct {
	fleet  *fleet
	worker *worker
	name   string // the id goes on from it
	deadly func(*http.Request) bool
	seen   *crashes
	starts int
	server *http.Server
}

// mortals replaces the fleet's back ends by as many that end under a deadly request.
func (f *fleet) mortals(deadly func(*http.Request) bool) *crashes {
	_, seen := f.mortalBackends(deadly)
	return seen
}

func (f *fleet) mortalBackends(deadly func(*http.Request) bool) ([]*mortal, *crashes) {
	seen := &crashes{}
	var made []*mortal
	for _, one := range f.workers {
		m := &mortal{fleet: f, worker: one, name: one.id, deadly: deadly, seen: seen}
		f.store.Remove("servers", one.id)
		one.address = f.net.Address(hostOfMortal(one.id))
		m.start()
		made = append(made, m)
	}
	return made, seen
}

func hostOfMortal(name string) string {
	return "mortal-" + name
}

// start starts the back end at its address, under a new id.
func (m *mortal) start() {
	if m.fleet.over.Load() {
		return
	}
	m.starts++
	listener, err := m.fleet.net.Network(hostOfMortal(m.name)).Listen(m.worker.address)
	require.NoError(m.fleet.t, err)
	m.worker.change(func() {
		m.worker.address = listener.Addr().String()
		m.worker.id = fmt.Sprintf("%s.%d", m.name, m.starts)
		m.worker.instance = m.worker.id
	})
	server := &http.Server{Handler: m}
	m.seen.mutex.Lock()
	m.server = server
	m.seen.mutex.Unlock()
	m.fleet.mutex.Lock()
	m.fleet.servers = append(m.fleet.servers, server)
	m.fleet.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	m.fleet.announce(m.worker, "ready")
}

// ServeHTTP implements http.Handler.
func (m *mortal) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if !m.deadly(r) {
		m.worker.ServeHTTP(rw, r)
		return
	}
	m.seen.mutex.Lock()
	m.seen.arrivals = append(m.seen.arrivals, time.Now())
	server := m.server
	m.seen.mutex.Unlock()
	time.Sleep(crashAfter)
	m.end(server)
}

// end ends the back end as a crash does: nothing is said, and what runs on it is lost.
// The one that runs may have ended already, under the same request sent twice.
func (m *mortal) end(server *http.Server) {
	m.seen.mutex.Lock()
	defer m.seen.mutex.Unlock()
	if server == nil || m.server != server {
		return
	}
	m.server = nil
	m.seen.endings = append(m.seen.endings, time.Now())
	server.Close()
	id := m.worker.id
	time.AfterFunc(restartAfter, m.start)
	time.AfterFunc(lapseAfter, func() { m.fleet.store.Remove("servers", id) })
}

// background sends other requests for as long as it is let, and counts how many there were and
// how many were answered.
type background struct {
	stop           chan struct{}
	running        sync.WaitGroup
	mutex          sync.Mutex
	sent, answered int
}

func (f *fleet) background(every time.Duration) *background {
	return f.backgroundOf(every, func(number int) string { return fmt.Sprintf("/one/safe/%d", number) })
}

// backgroundOf is background of requests with the paths that path returns.
func (f *fleet) backgroundOf(every time.Duration, path func(number int) string) *background {
	b := &background{stop: make(chan struct{})}
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

// count counts an answer.
func (b *background) count(got answer) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sent++
	if got.status == http.StatusOK {
		b.answered++
	}
}

// share ends it and returns which share of the requests was answered.
func (b *background) share() float64 {
	close(b.stop)
	b.running.Wait()
	return float64(b.answered) / float64(b.sent)
}

// isDeadly says whether a request is the one that ends back ends in these tests.
func isDeadly(r *http.Request) bool {
	return r.URL.Path == "/one/safe/deadly"
}

// repeater sends the deadly request again and again, as often as it is seen in practice, each time
// under a new id and through any daemon.
type repeater struct {
	fleet   *fleet
	path    string
	varied  bool // each repeat comes from another address and with another query
	random  *rand.Rand
	over    chan struct{}
	running sync.WaitGroup
}

func (f *fleet) repeat(path string) *repeater {
	r := &repeater{fleet: f, path: path, random: rand.New(rand.NewPCG(2, 2))}
	r.resume()
	return r
}

func (r *repeater) resume() {
	r.over = make(chan struct{})
	r.running.Go(func() {
		for {
			select {
			case <-r.over:
				return
			case <-time.After(time.Duration(r.random.ExpFloat64() * float64(125*time.Millisecond))):
			}
			number, path := r.random.IntN(len(r.fleet.daemons)), r.path
			if r.varied {
				r.fleet.caller.Add(1)
				r.fleet.client.CloseIdleConnections()
				path += fmt.Sprintf("?page=%d", r.random.IntN(1000))
			}
			r.running.Go(func() { r.fleet.send(number, path) })
		}
	})
}

// pause ends when nothing is being sent any more.
func (r *repeater) pause() {
	close(r.over)
	r.running.Wait()
}

// restart kills a daemon; another starts in its place.
func (f *fleet) restart(number int) {
	var seeds []string
	for _, other := range f.daemons {
		seeds = append(seeds, other.Addresses().Peer)
	}
	f.daemons[number].Kill()
	f.daemons = slices.Delete(f.daemons, number, number+1)
	f.startAt(daemons+int(f.last.Add(1)), f.storeAddress, f.net.Address(hostOf(daemons+int(f.last.Load()))), seeds)
}

// isLeft says whether a daemon is in the one half of the fleet, by its host.
func isLeft(host string) bool {
	return host == hostOf(0) || host == hostOf(1)
}

// isRight says whether it is in the other.
func isRight(host string) bool {
	return host == hostOf(2) || host == hostOf(3)
}

// kill ends the back end for no request's sake.
func (m *mortal) kill() {
	m.seen.mutex.Lock()
	server := m.server
	m.seen.mutex.Unlock()
	m.end(server)
}

// holding returns how many daemons hold a request back.
func (f *fleet) holding() int {
	count := 0
	for _, one := range f.daemons {
		held := func(request admin.CrashingRequest) bool { return request.Quarantined }
		if slices.ContainsFunc(one.CrashingRequests(), held) {
			count++
		}
	}
	return count
}

// burst sends many requests at once, so that later ones wait for places.
func (f *fleet) burst(count int) {
	for number := range count {
		go f.send(number%len(f.daemons), fmt.Sprintf("/one/safe/burst-%d", number))
	}
}

// pipeline sends a request several times on one connection, without waiting for an answer.
func (f *fleet) pipeline(number int, path string, times int) {
	conn, err := f.net.Host("callers").Dial(f.t.Context(), f.daemons[number].Addresses().Caller)
	if err != nil {
		return
	}
	defer conn.Close()
	var sent strings.Builder
	for range times {
		fmt.Fprintf(&sent, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: pipelined-%d\r\nDeadline-Ms: 1500\r\n\r\n", path, f.last.Add(1))
	}
	if _, err := io.WriteString(conn, sent.String()); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.Copy(io.Discard, conn)
}
