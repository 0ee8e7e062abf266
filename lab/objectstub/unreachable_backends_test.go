package objectstub_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/lab/fakenet"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/reach"
)

// Load and times of the tests in which daemons cannot reach the back ends.
const (
	cutDaemons  = 6
	cutWorkers  = 8
	cutLoad     = 83 // requests per second
	cutDuration = 12 * time.Second
	// cutGrace is how long after the start of the cut requests may fail.
	cutGrace = 3 * time.Second
	// healGrace is how long after the end of the cut requests may fail.
	healGrace = 4 * time.Second
)

// linkFaults are the ways in which the links to back ends fail.
var linkFaults = map[string]fakenet.LinkFault{
	"links are silent":                       fakenet.LinkSilent,
	"connections are reset and refused":      fakenet.LinkReset,
	"connections are reset, new ones hang":   fakenet.LinkResetSilent,
	"open connections live, none are opened": fakenet.LinkRefused,
}

// isWorkerHost reports whether a host is that of a worker.
func isWorkerHost(host string) bool {
	return strings.HasPrefix(host, "i-")
}

// hostsOf returns a function that reports whether a host is that of one of these workers.
func hostsOf(workers []*worker) func(host string) bool {
	return func(host string) bool {
		return slices.ContainsFunc(workers, func(worker *worker) bool { return worker.id == host })
	}
}

// cutOff makes the links between some daemons, given by their numbers, and all workers fail.
func (f *fleet) cutOff(cut map[int]bool, fault fakenet.LinkFault) {
	f.loseWorkers(cut, isWorkerHost, fault)
}

// loseWorkers makes the links between some daemons, given by their numbers, and some workers fail.
func (f *fleet) loseWorkers(daemons map[int]bool, lost func(host string) bool, fault fakenet.LinkFault) {
	hosts := make(map[string]bool)
	for number := range daemons {
		hosts[hostOf(number)] = true
	}
	f.net.SetLinkRule(func(a, b string) fakenet.LinkFault {
		if hosts[a] && lost(b) {
			return fault
		}
		return fakenet.LinkUp
	})
}

// selectDaemons returns the numbers of this many daemons, with or without the dispatcher.
func (f *fleet) selectDaemons(count int, withDispatcher bool) map[int]bool {
	dispatcher := f.dispatcher()
	selected := make(map[int]bool)
	for number := range f.daemons {
		if withDispatcher && hostOf(number) == dispatcher {
			selected[number] = true
		}
	}
	for number := range f.daemons {
		if len(selected) < count && hostOf(number) != dispatcher {
			selected[number] = true
		}
	}
	return selected
}

// firstTry is a request and how it ended.
type firstTry struct {
	daemon     int
	sent       time.Time
	took       time.Duration
	status     int
	retryAfter string
}

// spreadLoad sends requests evenly to all daemons, half of them safe and half unsafe, and returns how they ended.
func (f *fleet) spreadLoad(duration time.Duration) []firstTry {
	var mutex sync.Mutex
	var tries []firstTry
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / cutLoad)
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for number := 0; time.Now().Before(end); number++ {
		daemon, kind := number%len(f.daemons), "safe"
		if number/len(f.daemons)%2 == 1 {
			kind = "unsafe"
		}
		running.Go(func() {
			sent := time.Now()
			got := f.send(daemon, fmt.Sprintf("/one/%s/%d", kind, number))
			try := firstTry{daemon: daemon, sent: sent, took: time.Since(sent), status: got.status}
			if got.header != nil {
				try.retryAfter = got.header.Get("Retry-After")
			}
			mutex.Lock()
			defer mutex.Unlock()
			tries = append(tries, try)
		})
		<-ticker.C
	}
	running.Wait()
	return tries
}

// served counts the first tries that were sent in a period, and those of them that were served.
func served(tries []firstTry, from, until time.Time, of func(try firstTry) bool) (count, total int) {
	for _, try := range tries {
		if try.sent.Before(from) || !try.sent.Before(until) || !of(try) {
			continue
		}
		total++
		if try.status == http.StatusOK {
			count++
		}
	}
	return count, total
}

// checkServed checks that at most one in 50 first tries failed.
func checkServed(t *testing.T, what string, count, total int) {
	t.Helper()
	t.Logf("%s: %d of %d first tries served", what, count, total)
	assert.GreaterOrEqual(t, count, total-total/50, "%s: first tries served of %d", what, total)
}

// TestDaemonsCutOffFromBackendsServe cuts some daemons off from all back ends, in each way in which links fail: a
// caller's request must be served whichever daemon it reached.
func TestDaemonsCutOffFromBackendsServe(t *testing.T) {
	for name, fault := range linkFaults {
		for _, scope := range []struct {
			name           string
			count          int
			withDispatcher bool
		}{{"the dispatcher", 1, true}, {"half of the daemons", 3, true}, {"another half", 3, false}, {"all but one", 5, true}, {"all but the dispatcher", 5, false}} {
			t.Run(name+"/"+scope.name, func(t *testing.T) {
				runFleet(t, cutDaemons, cutWorkers, func(f *fleet) {
					f.spreadLoad(2 * time.Second)
					start := time.Now()
					time.AfterFunc(cutDuration, func() { f.net.SetLinkRule(nil) })
					selected := f.selectDaemons(scope.count, scope.withDispatcher)
					f.cutOff(selected, fault)
					tries := f.spreadLoad(cutDuration + 2*healGrace)
					heal := start.Add(cutDuration)
					cut := func(try firstTry) bool { return selected[try.daemon] }
					atCut, ofCut := served(tries, start.Add(cutGrace), heal, cut)
					atOthers, ofOthers := served(tries, start.Add(cutGrace), heal, func(try firstTry) bool { return !cut(try) })
					after, ofAfter := served(tries, heal.Add(healGrace), heal.Add(2*healGrace), func(firstTry) bool { return true })
					checkServed(t, "at the daemons that are cut off", atCut, ofCut)
					checkServed(t, "at the others", atOthers, ofOthers)
					checkServed(t, "after the cut", after, ofAfter)
				})
			})
		}
	}
}

// TestPipelinedRequestsAreServedDuringCut sends requests one after another on a connection, without waiting for
// answers, to daemons that are cut off from all back ends.
func TestPipelinedRequestsAreServedDuringCut(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			runFleet(t, cutDaemons, cutWorkers, func(f *fleet) {
				f.spreadLoad(2 * time.Second)
				selected := f.selectDaemons(cutDaemons/2, true)
				f.cutOff(selected, fault)
				defer f.net.SetLinkRule(nil)
				f.spreadLoad(cutGrace)
				for number := range selected {
					f.requirePipelinedServed(number, 4)
				}
			})
		})
	}
}

// requirePipelinedServed sends this many requests at once on a connection to a daemon, and requires that all are served.
func (f *fleet) requirePipelinedServed(number, requests int) {
	conn, err := f.net.Host("callers").Dial(f.t.Context(), f.daemons[number].Addresses().Caller)
	require.NoError(f.t, err)
	defer conn.Close()
	require.NoError(f.t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	var sent strings.Builder
	for range requests {
		fmt.Fprintf(&sent, "GET /one/safe/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: pipelined-%d\r\nDeadline-Ms: 1500\r\n\r\n", f.lastRequest.Add(1))
	}
	_, err = io.WriteString(conn, sent.String())
	require.NoError(f.t, err)
	reader := bufio.NewReader(conn)
	for range requests {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(f.t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(f.t, err)
		require.Equal(f.t, http.StatusOK, response.StatusCode)
	}
}

// TestDaemonsThatReachSomeBackendsServe makes half of the daemons lose half of the back ends: callers must be served at all
// daemons, and the back ends must be used by all.
func TestDaemonsThatReachSomeBackendsServe(t *testing.T) {
	for name, fault := range linkFaults {
		t.Run(name, func(t *testing.T) {
			runFleet(t, cutDaemons, cutWorkers, func(f *fleet) {
				f.useLongServiceTime() // so that all back ends are needed
				f.spreadLoad(2 * time.Second)
				selected := f.selectDaemons(cutDaemons/2, true)
				f.loseWorkers(selected, hostsOf(f.workers[:cutWorkers/2]), fault)
				start := time.Now()
				tries := f.spreadLoad(cutDuration)
				used := 0
				for _, worker := range f.workers[:cutWorkers/2] {
					used += worker.arrivalsAfter(start.Add(cutGrace))
				}
				f.net.SetLinkRule(nil)
				atCut, ofCut := served(tries, start.Add(cutGrace), start.Add(cutDuration), func(try firstTry) bool { return selected[try.daemon] })
				atOthers, ofOthers := served(tries, start.Add(cutGrace), start.Add(cutDuration), func(try firstTry) bool { return !selected[try.daemon] })
				checkServed(t, "at the daemons that lost back ends", atCut, ofCut)
				checkServed(t, "at the others", atOthers, ofOthers)
				assert.Greater(t, used, (ofCut+ofOthers)/4, "requests at the back ends that some daemons lost")
			})
		})
	}
}

// answeredAtOnce is the time within which a request that cannot be served is refused.
const answeredAtOnce = 100 * time.Millisecond

// TestRequestsAreRefusedAtOnceWhileNoDaemonReachesBackends cuts all daemons off from all back ends: requests are
// refused at once with a time to come back, and are served again soon after the cut.
func TestRequestsAreRefusedAtOnceWhileNoDaemonReachesBackends(t *testing.T) {
	for name, fault := range linkFaults {
		if fault == fakenet.LinkRefused {
			continue // open connections serve the requests
		}
		t.Run(name, func(t *testing.T) {
			runFleet(t, cutDaemons, cutWorkers, func(f *fleet) {
				f.spreadLoad(2 * time.Second)
				start := time.Now()
				time.AfterFunc(cutDuration, func() { f.net.SetLinkRule(nil) })
				f.cutOff(f.selectDaemons(cutDaemons, true), fault)
				tries := f.spreadLoad(cutDuration + 2*healGrace)
				heal := start.Add(cutDuration)
				late, without, total := 0, 0, 0
				for _, try := range tries {
					if try.sent.Before(start.Add(cutGrace)) || try.sent.After(heal.Add(-answeredAtOnce)) {
						continue
					}
					total++
					require.NotEqual(t, http.StatusOK, try.status)
					if try.took > answeredAtOnce {
						late++
					}
					if seconds, err := strconv.ParseFloat(try.retryAfter, 64); err != nil || seconds <= 0 {
						without++
					}
				}
				t.Logf("of %d requests %d were refused late, %d without Retry-After", total, late, without)
				assert.LessOrEqual(t, late, total/50)
				assert.LessOrEqual(t, without, total/50)
				after, ofAfter := served(tries, heal.Add(healGrace), heal.Add(2*healGrace), func(firstTry) bool { return true })
				checkServed(t, "after the cut", after, ofAfter)
			})
		})
	}
}

// TestAbandonedRequestsDoNotArriveAfterCut guards against requests that reach a back end long after their callers got
// their answers, when the links that they were sent on work again.
func TestAbandonedRequestsDoNotArriveAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakenet.New(100 * time.Microsecond)
		listener, err := net.Network("i-0").Listen(net.Address("i-0"))
		require.NoError(t, err)
		arrivals := 0
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals++ })}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		client := backend.NewClient(backend.Options{Network: reach.NewMonitor(reach.Options{
			Network: network.NewMeter(net.Network("edge-0")).For("backends"), Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
		}), Address: listener.Addr().String()})
		send := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			response, err := client.Do(ctx, &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}})
			if err == nil {
				response.Body.Close()
			}
			return err
		}
		require.NoError(t, send())
		net.SetLinkRule(func(a, _ string) fakenet.LinkFault {
			if a == "edge-0" {
				return fakenet.LinkSilent
			}
			return fakenet.LinkUp
		})
		require.Error(t, send())
		time.Sleep(5 * time.Second)
		net.SetLinkRule(nil)
		time.Sleep(time.Second)
		require.Equal(t, 1, arrivals)
		require.NoError(t, send())
		client.Close()
	})
}

// connectTimeout is how long a daemon waits for a connection to a worker.
const connectTimeout = 250 * time.Millisecond

// TestRequestsDoNotWaitForLostPaths guards against a daemon that tries again and again to connect to back ends that it
// has lost and seldom uses, each time at the cost of a request.
func TestRequestsDoNotWaitForLostPaths(t *testing.T) {
	const (
		workers     = 4 * cutWorkers // a daemon uses each every two seconds
		serviceTime = 350 * time.Millisecond
	)
	for name, fault := range map[string]fakenet.LinkFault{"links are silent": fakenet.LinkSilent, "connections are reset, new ones hang": fakenet.LinkResetSilent} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, cutDaemons, workers, func(f *fleet) {
				for _, worker := range f.workers {
					worker.update(func() { worker.serviceTime = serviceTime }) // so that all are needed
				}
				f.spreadLoad(2 * time.Second)
				selected := f.selectDaemons(cutDaemons/2, true)
				f.loseWorkers(selected, hostsOf(f.workers[:workers/2]), fault)
				start := time.Now()
				tries := f.spreadLoad(cutDuration)
				f.net.SetLinkRule(nil)
				waited, total := 0, 0
				for _, try := range tries {
					if selected[try.daemon] && !try.sent.Before(start.Add(2*cutGrace)) {
						total++
						if try.took >= serviceTime+connectTimeout {
							waited++
						}
					}
				}
				t.Logf("%d of %d requests took as long as a failed connection", waited, total)
				assert.LessOrEqual(t, waited, total/50)
			})
		})
	}
}
