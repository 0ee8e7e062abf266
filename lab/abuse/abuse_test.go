package abuse

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	// The tests build the daemon. The import makes go test discard a cached result when the daemon has changed.
	_ "github.com/tuliphall/tuliphall/launch"
	"github.com/tuliphall/tuliphall/wait"
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "abuse")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "tuliphalld")
	if output, err := exec.Command("go", "build", "-o", binary, "github.com/tuliphall/tuliphall/cmd/tuliphalld").CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

var (
	floodTime = flag.Duration("flood", 3*time.Second, "how long each crowd of clients is played")
	afterTime = flag.Duration("after", 1500*time.Millisecond, "how long ordinary callers are played after it")
	small     = flag.Bool("small", false, "play on the smallest machines of the deployments")
	cores     = flag.Float64("cores", 0, "share of a processor that a daemon gets; 0: a whole one")
	logs      = flag.String("logs", "", "folder in which the settings and logs of the daemons are kept; empty: they are not")
)

// minServed is the part of the ordinary requests that must be served beside the clients.
const minServed = 0.95

// machine returns the machine that the flags choose.
func machine() Machine {
	chosen := Entry
	if *small {
		chosen = Small
	}
	chosen.Cores = *cores
	return chosen
}

// sites bounds the number of sites that run at the same time, and siteNumber distinguishes their addresses.
var (
	sites      = make(chan struct{}, 2)
	siteNumber atomic.Int32
)

// startSite starts a site of two daemons, once there are few others.
func startSite(t *testing.T, machine Machine) *Site {
	return startSiteWith(t, Options{Machine: machine, Daemons: 2, Backends: 8})
}

// startSiteWith starts a site with the options that it is given.
func startSiteWith(t *testing.T, options Options) *Site {
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	options.Binary, options.Directory, options.Number = binary, siteDirectory(t), int(siteNumber.Add(1))
	site, err := Start(t.Context(), options)
	t.Cleanup(site.Close)
	require.NoError(t, err)
	return site
}

// siteDirectory returns a new folder for the settings and logs of a site.
func siteDirectory(t *testing.T) string {
	if *logs == "" {
		return t.TempDir()
	}
	require.NoError(t, os.MkdirAll(*logs, 0o755))
	directory, err := os.MkdirTemp(*logs, strings.ReplaceAll(t.Name(), "/", "-")+"-")
	require.NoError(t, err)
	return directory
}

// target is an address and a path of a daemon.
type target struct{ name, port, path string }

// targets are those that callers reach.
var targets = []target{
	{"route", portCaller, pathRepeatable},
	{"no route", portCaller, "/nowhere/"},
	{"readiness", portAdmin, "/readyz"},
}

// TestOrdinaryCallersAreServedBesideClient guards against a process that ends, passes the memory of its machine or stops
// serving because of a crowd of clients that do not behave.
func TestOrdinaryCallersAreServedBesideClient(t *testing.T) {
	for _, kind := range slices.Concat(Kinds, HTTP2Kinds, HTTP2CrowdKinds) {
		for _, to := range targets {
			t.Run(kind.Name+"/"+to.name, func(t *testing.T) {
				t.Parallel()
				site := startSite(t, machine())
				play(t, site, newCrowd(kind, site.daemons[0].Addr(to.port), to.path, site.journal, newLimiter()))
			})
		}
	}
}

// TestDaemonsAreServedBesideClient guards against the same at the addresses for other daemons, whose exchange goes on.
func TestDaemonsAreServedBesideClient(t *testing.T) {
	chosen := map[string]bool{
		"bodies in one piece": true, "half of a body": true, "many short fields unfinished": true, "requests ahead": true,
		"slow heads": true, "silent connections": true, "responses not read": true, "http2 many short fields": true,
	}
	for _, kind := range slices.Concat(Kinds, HTTP2Kinds) {
		if !chosen[kind.Name] {
			continue
		}
		for _, to := range []target{{"forwarded", portForward, "/nowhere/"}, {"peers", portPeer, "/nowhere/"}} {
			t.Run(kind.Name+"/"+to.name, func(t *testing.T) {
				t.Parallel()
				site := startSite(t, machine())
				play(t, site, newCrowd(kind, site.daemons[0].Addr(to.port), to.path, site.journal, newLimiter()))
			})
		}
	}
}

// TestOrdinaryCallersAreServedBesideCommands guards against the same at the address of operators, by requests that take long
// to serve and by commands that are large.
func TestOrdinaryCallersAreServedBesideCommands(t *testing.T) {
	targetsOf := map[string][]target{
		"requests ahead": {{"metrics", portAdmin, "/metrics"}, {"status", portAdmin, "/v1/status"}, {"goroutines", portAdmin, "/debug/pprof/goroutine?debug=2"}, {"heap", portAdmin, "/debug/pprof/heap?gc=1"}},
		"large commands": {{"apply", portAdmin, "/v1/apply"}, {"quarantine", portAdmin, "/v1/quarantine"}},
	}
	for _, kind := range slices.Concat(Kinds, OperatorKinds) {
		for _, to := range targetsOf[kind.Name] {
			t.Run(kind.Name+"/"+to.name, func(t *testing.T) {
				t.Parallel()
				site := startSite(t, machine())
				play(t, site, newCrowd(kind, site.daemons[0].Addr(to.port), to.path, site.journal, newLimiter()))
			})
		}
	}
}

// TestStandaloneDaemonServesBesideClient guards against the same in a daemon that is not told how much memory its machine has.
func TestStandaloneDaemonServesBesideClient(t *testing.T) {
	for _, kind := range slices.Concat(Kinds, HTTP2Kinds, HTTP2CrowdKinds) {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			site := startSiteWith(t, Options{Machine: machine(), Daemons: 1, Backends: 8, Standalone: true})
			play(t, site, newCrowd(kind, site.daemons[0].Addr(portCaller), pathRepeatable, site.journal, newLimiter()))
		})
	}
}

// TestOrdinaryHTTP2CallersAreServedBesideClient guards against frames of ordinary callers that wait behind those of clients that
// do not behave.
func TestOrdinaryHTTP2CallersAreServedBesideClient(t *testing.T) {
	for _, kind := range slices.Concat(HTTP2Kinds, HTTP2CrowdKinds) {
		t.Run(kind.Name, func(t *testing.T) {
			t.Parallel()
			site := startSite(t, machine())
			target := site.daemons[0].Addr(portCaller)
			ctx, cancel := context.WithTimeout(t.Context(), *floodTime)
			defer cancel()
			var running sync.WaitGroup
			running.Go(func() { newCrowd(kind, target, pathRepeatable, site.journal, newLimiter()).run(ctx) })
			during := newOrdinaryHTTP2(site.journal, target, 1).run(ctx)
			running.Wait()
			t.Logf("in the flood: %s", during)
			assertAlive(t, site)
			assert.GreaterOrEqual(t, during.Fraction(), minServed, "ordinary requests served beside the clients")
			assert.Empty(t, site.journal.Violations())
		})
	}
}

// TestOrdinaryCallersAreServedBesideUploadsAndUnreadResponses guards against clients that occupy all back ends together, and
// against conclusions about back ends from how long their clients take.
func TestOrdinaryCallersAreServedBesideUploadsAndUnreadResponses(t *testing.T) {
	kinds := slices.Concat(Kinds, HTTP2Kinds, LongResponseKinds)
	upload := kinds[slices.IndexFunc(kinds, func(kind Kind) bool { return kind.Name == "half of a large body" })]
	for _, unread := range kinds {
		switch unread.Name {
		case "http2 responses not taken", "long responses not read", "http2 long responses not taken":
			t.Run(unread.Name, func(t *testing.T) {
				t.Parallel()
				site := startSite(t, machine())
				target, limiter := site.daemons[0].Addr(portCaller), newLimiter()
				play(t, site, newCrowd(upload, target, pathRepeatable, site.journal, limiter), newCrowd(unread, target, pathRepeatable, site.journal, limiter))
			})
		}
	}
}

// mixedShare is the part of the clients of each kind that are played together with all other kinds.
const mixedShare = 10

// TestOrdinaryCallersAreServedBesideAllClients guards against kinds that are harmless alone and not together.
func TestOrdinaryCallersAreServedBesideAllClients(t *testing.T) {
	t.Parallel()
	site := startSite(t, machine())
	var crowds []*crowd
	limiter := newLimiter()
	kinds := slices.Concat(Kinds, HTTP2Kinds)
	for _, kind := range kinds {
		kind.Connections /= mixedShare * len(targets)
		// All crowds together open as many connections a second as one.
		kind.connectInterval = defaultConnectInterval * time.Duration(len(kinds)*len(targets))
		for _, to := range targets {
			crowds = append(crowds, newCrowd(kind, site.daemons[0].Addr(to.port), to.path, site.journal, limiter))
		}
	}
	play(t, site, crowds...)
}

// played is how ordinary callers and readiness fared while clients were played.
type played struct {
	flooded, other  Tally
	notReady, asked int
	notReadyInRow   int // the longest series of questions that were not answered
}

// play plays crowds against the first daemon, beside and before ordinary callers.
func play(t *testing.T, site *Site, crowds ...*crowd) {
	flooded := site.daemons[0]
	descriptors := flooded.descriptors()
	goroutines, err := flooded.goroutines()
	require.NoError(t, err)
	during := playCrowds(t, site, crowds)
	for _, crowd := range crowds {
		t.Logf("%s: %s", crowd.kind.Name, crowd)
	}
	t.Logf("in the flood: %s; at the other daemon: %s; not ready %d of %d", during.flooded, during.other, during.notReady, during.asked)
	if err := flooded.awaitReady(*afterTime); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), *afterTime)
	defer cancel()
	after := newOrdinary(site.journal, flooded.Addr(portCaller), 3).run(ctx)
	t.Logf("after it: %s", after)
	assertAlive(t, site)
	assert.GreaterOrEqual(t, during.flooded.Fraction(), minServed, "ordinary requests served beside the clients")
	assert.GreaterOrEqual(t, during.other.Fraction(), minServed, "ordinary requests served by the other daemon")
	assert.Less(t, during.notReadyInRow, maxNotReady, "questions for readiness in a row that were not answered")
	assert.InDelta(t, 1, after.Fraction(), 0, "ordinary requests served after the clients have gone")
	assert.Empty(t, site.journal.Violations())
	assert.LessOrEqual(t, site.logBytes(flooded), maxLogBytesPerSecond*int64(time.Since(flooded.started)/time.Second+1), "bytes logged")
	if !t.Failed() {
		assert.Eventually(t, func() bool { return hasRecovered(t, site, descriptors, goroutines) }, recoveryTime, 100*time.Millisecond, "memory of requests, descriptors and goroutines are released")
		assert.NoError(t, flooded.stop(), "planned stop")
	}
}

// assertAlive requires that each daemon runs and has kept to the memory of its machine.
func assertAlive(t *testing.T, site *Site) {
	for _, daemon := range site.daemons {
		t.Logf("%s: %s", daemon.name, daemon.watcher.current())
		assert.False(t, daemon.watcher.current().Exceeded, "%s passes the memory of its machine", daemon.name)
		assert.False(t, daemon.Ended(), "%s has ended", daemon.name)
	}
}

// maxNotReady is how many questions in a row a daemon leaves unanswered before the platform's balancer sends it no new connections.
const maxNotReady = 2

// maxLogBytesPerSecond is twice the default of log.bytes_per_second, which a daemon may log after a quiet time.
const maxLogBytesPerSecond = 600_000

// Bounds after the clients have gone: connections to back ends stay open for a while, and each has goroutines of its own.
const (
	recoveryTime     = 10 * time.Second
	descriptorsSlack = 100
	// maxIdlePerBackend is how many idle connections a daemon keeps to a back end that states no maximum.
	maxIdlePerBackend       = 64
	goroutinesPerConnection = 3
)

func hasRecovered(t *testing.T, site *Site, descriptors, goroutines int) bool {
	daemon, slack := site.daemons[0], descriptorsSlack
	if site.options.Standalone {
		slack = maxIdlePerBackend * site.options.Backends
	}
	openDescriptors := daemon.descriptors()
	memory, err := daemon.requestMemory()
	require.NoError(t, err)
	running, err := daemon.goroutines()
	recovered := err == nil && memory == 0 && openDescriptors <= descriptors+slack && running <= goroutines+goroutinesPerConnection*slack
	if !recovered {
		t.Logf("%.0f bytes reserved; %d descriptors, %d before; %d goroutines, %d before; %v", memory, openDescriptors, descriptors, running, goroutines, err)
	}
	return recovered
}

func playCrowds(t *testing.T, site *Site, crowds []*crowd) played {
	flooded := site.daemons[0]
	ctx, cancel := context.WithTimeout(t.Context(), *floodTime)
	defer cancel()
	var during played
	var running sync.WaitGroup
	for _, crowd := range crowds {
		running.Go(func() { crowd.run(ctx) })
	}
	running.Go(func() { during.flooded = newOrdinary(site.journal, flooded.Addr(portCaller), 1).run(ctx) })
	running.Go(func() {
		during.other = newOrdinary(site.journal, site.daemons[len(site.daemons)-1].Addr(portCaller), 2).run(ctx)
	})
	running.Go(func() {
		inRow := 0
		for ; ctx.Err() == nil; during.asked++ {
			if flooded.ready() {
				inRow = 0
			} else {
				during.notReady++
				inRow++
				during.notReadyInRow = max(during.notReadyInRow, inRow)
			}
			wait.Sleep(ctx, time.Second)
		}
	})
	running.Wait()
	return during
}

// TestSingleRequestsAtLimitsAreServed guards against a request inside the operator's limits that is refused although the daemon
// is idle, on the smallest machine too, and against one that is served above them.
func TestSingleRequestsAtLimitsAreServed(t *testing.T) {
	for name, on := range map[string]Machine{"entry": Entry, "small": Small} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			site := startSite(t, on)
			address := "http://" + site.daemons[0].Addr(portCaller)
			request := func(method, id string, body io.Reader) *http.Request {
				request, err := http.NewRequest(method, address+pathRepeatable+id, body)
				require.NoError(t, err)
				request.Host = host
				request.Header = http.Header{headerRequestID: {id}, "User-Agent": {""}}
				return request
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ExpectContinueTimeout: time.Minute}}
			status := func(request *http.Request) int {
				response, err := client.Do(request)
				require.NoError(t, err)
				defer response.Body.Close()
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
				return response.StatusCode
			}
			for excess, wanted := range map[int]int{-1: http.StatusOK, 0: http.StatusOK, 1: http.StatusRequestHeaderFieldsTooLarge} {
				head := request(http.MethodGet, "s-h", nil)
				fillHead(head, maxHeaderBytes+excess)
				assert.Equal(t, wanted, status(head), "head of %d bytes", maxHeaderBytes+excess)
			}
			for _, size := range []int64{maxBodyBytes - 1, maxBodyBytes} {
				declared := request(http.MethodPost, "s-l", io.LimitReader(zeros{}, size))
				declared.ContentLength = size
				assert.Equal(t, http.StatusOK, status(declared), "body of %d bytes", size)
			}
			// A client that goes on sending may lose the response that refuses its body.
			refused := request(http.MethodPost, "s-t", io.LimitReader(zeros{}, maxBodyBytes+1))
			refused.ContentLength = maxBodyBytes + 1
			refused.Header.Set("Expect", "100-continue")
			assert.Equal(t, http.StatusRequestEntityTooLarge, status(refused), "body of %d bytes", maxBodyBytes+1)
			for _, size := range []int64{bufferedBody - 1, bufferedBody, bufferedBody + 1, 1<<20 - 1, 1 << 20, 1<<20 + 1, maxBodyBytes} {
				assert.Equal(t, http.StatusOK, status(request(http.MethodPost, "s-c", io.LimitReader(zeros{}, size))), "body in chunks of %d bytes", size)
			}
			for _, daemon := range site.daemons {
				assert.False(t, daemon.watcher.current().Exceeded)
			}
			assert.Empty(t, site.journal.Violations())
		})
	}
}

// zeros is a body without an end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(target []byte) (int, error) {
	clear(target)
	return len(target), nil
}

// fillHead adds very short fields until the head of a request, as net/http's client sends it, has a size.
func fillHead(request *http.Request, size int) {
	fixed := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s: %s\r\n\r\n", request.Method, request.URL.RequestURI(), request.Host, headerRequestID, request.Header.Get(headerRequestID))
	const line = len("Aaaa: \r\n")
	left := size - len(fixed)
	for number := 0; left >= 2*line; number++ {
		request.Header[fmt.Sprintf("A%03x", number)] = []string{""}
		left -= line
	}
	request.Header["Rest"] = []string{strings.Repeat("x", left-line)}
}

// TestStopDoesNotWaitForSilentConnections guards against a planned stop that takes the whole time that the platform allows, and
// ends with an error, because of connections on which no request was sent.
func TestStopDoesNotWaitForSilentConnections(t *testing.T) {
	t.Parallel()
	site := startSite(t, machine())
	kind := Kind{Name: "silent connections", Connections: 100, reconnectDelay: time.Minute, play: (*client).hold}
	crowd := newCrowd(kind, site.daemons[0].Addr(portCaller), pathRepeatable, site.journal, newLimiter())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { crowd.run(ctx) })
	require.Eventually(t, func() bool { return crowd.connected.Load() == int64(kind.Connections) }, time.Minute, time.Millisecond)
	began := time.Now()
	require.NoError(t, site.daemons[0].stop())
	require.Less(t, time.Since(began), maxStopTime)
	cancel()
	running.Wait()
}

// maxStopTime is well below the five seconds for which net/http waits for a first request.
const maxStopTime = 3 * time.Second
