package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// callerTimeout is how long a caller waits for a response.
const callerTimeout = 3 * time.Second

// callers sends requests to the daemons, over keep-alive connections as well as over a new connection
// for each request.
type callers struct {
	fleet           *fleet
	keepAliveClient *http.Client // reuses connections until the daemon closes them, or for four fifths of the idle timeout
	singleUseClient *http.Client
	random          *rand.Rand

	mutex  sync.Mutex
	lastID int
}

func newCallers(f *fleet, seed uint64) *callers {
	return &callers{
		fleet: f, random: rand.New(rand.NewPCG(seed, 1)),
		keepAliveClient: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: soakIdleTimeout * 4 / 5}},
		singleUseClient: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// sendLoad sends requests at the given rate until ctx is done, then waits for those in flight.
func (c *callers) sendLoad(ctx context.Context, perSecond int) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		keepAlive, unsafe, toNewestRoute := c.random.IntN(2) == 0, c.random.IntN(3) == 0, c.random.IntN(8) == 0
		oversized, chunked := c.random.IntN(20) == 0, c.random.IntN(2) == 0
		upload, leaves := c.random.IntN(20) == 0, c.random.IntN(4) == 0
		pipelined := 0
		if c.random.IntN(10) == 0 {
			pipelined = 2 + c.random.IntN(maxPipelined-1)
		}
		target := c.chooseDaemon()
		inFlight.Go(func() {
			switch {
			case oversized:
				c.sendOversized(target, chunked)
			case upload:
				c.sendUpload(target, chunked, leaves)
			case pipelined > 0:
				c.sendPipelined(target, pipelined)
			case toNewestRoute:
				c.sendToNewestRoute(target)
			default:
				c.send(target, unsafe, keepAlive)
			}
		})
	}
}

// chooseDaemon returns a random daemon of those that the platform's balancer considers ready. If fewer
// than half are ready, it chooses among all daemons.
func (c *callers) chooseDaemon() *process {
	var ready []*process
	for _, daemon := range c.fleet.daemons {
		if daemon.isReady() {
			ready = append(ready, daemon)
		}
	}
	if 2*len(ready) < len(c.fleet.daemons) {
		ready = c.fleet.daemons
	}
	return ready[c.random.IntN(len(ready))]
}

func (c *callers) nextID() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	return fmt.Sprintf("r-%d", c.lastID)
}

// send sends one request on a route that every configuration contains.
func (c *callers) send(target *process, unsafe, keepAlive bool) {
	id := c.nextID()
	method, path := http.MethodGet, "/safe/"+id
	if unsafe {
		method, path = http.MethodPost, "/unsafe/"+id
	}
	client := c.singleUseClient
	if keepAlive {
		client = c.keepAliveClient
	}
	sentAt := time.Now()
	c.fleet.report.recordSmall(sentAt, c.sendOnce(client, target, method, id, path, unsafe))
}

// sendOnce sends one request, records its outcome, and reports whether it was served.
func (c *callers) sendOnce(client *http.Client, target *process, method, id, path string, unsafe bool) (served bool) {
	c.fleet.report.recordSent(id, target.incarnationName(), unsafe)
	response, responseBody, err := c.exchange(client, target, method, id, path)
	if err == nil {
		c.fleet.report.recordResponse(id, path, response, responseBody)
		return response.StatusCode == http.StatusOK
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		c.fleet.report.count("no connection")
		return false
	}
	c.fleet.report.recordNoResponse(id, path, target.isStopping(), err)
	return false
}

func (c *callers) exchange(client *http.Client, target *process, method, id, path string) (*http.Response, string, error) {
	var requestBody io.Reader
	if method == http.MethodPost {
		requestBody = strings.NewReader(id)
	}
	request, err := newRequest(target, method, id, path, requestBody)
	if err != nil {
		return nil, "", err
	}
	if requestBody == nil {
		// With a body that cannot be rewound, net/http does not send the request again if a kept connection breaks.
		request.Body = io.NopCloser(strings.NewReader(""))
	}
	return do(client, request)
}

// newRequest returns a request to a daemon that net/http does not send again.
func newRequest(target *process, method, id, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+target.addr(portCaller)+path, body)
	if err != nil {
		return nil, err
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	request.Header.Set("Authorization", authorization(id))
	return request, nil
}

// do sends a request and reads the response. If reading fails, it returns the response as well as the error.
func do(client *http.Client, request *http.Request) (*http.Response, string, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response, string(responseBody), err
}

// hasConfiguration reports whether a response shows that the daemon had read a configuration.
func hasConfiguration(response *http.Response) bool {
	return response.Header.Get(resultcode.HeaderCode) != strconv.Itoa(int(resultcode.NotConfigured))
}

// sendToNewestRoute sends a request on the route that was added last. It checks that a daemon which has
// served the route does not lose it again, and that every daemon knows the route within configBound.
func (c *callers) sendToNewestRoute(target *process) {
	route, ackedAt := c.fleet.newestRoute()
	target.mutex.Lock()
	incarnation, highestServed := target.incarnation, target.highestServedRoute
	target.mutex.Unlock()
	faultFree := c.fleet.faultFreeFor()
	id := c.nextID()
	path := fmt.Sprintf("/change-%d/%s", route, id)
	c.fleet.report.recordSent(id, target.incarnationName(), false)
	startedAt := time.Now()
	response, responseBody, err := c.exchange(c.singleUseClient, target, http.MethodGet, id, path)
	if err != nil {
		return
	}
	c.fleet.report.recordResponse(id, path, response, responseBody)
	if response.StatusCode != http.StatusNotFound {
		target.mutex.Lock()
		if target.incarnation == incarnation && hasConfiguration(response) {
			target.highestServedRoute = max(target.highestServedRoute, route)
		}
		target.mutex.Unlock()
		return
	}
	if current, _ := c.fleet.newestRoute(); current != route {
		return // a newer configuration has replaced the route
	}
	r := c.fleet.report
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case highestServed >= route:
		r.addViolation("CONFIG: %s returned to an older configuration: 404 for %s after it had served that route", target.name, path)
	case startedAt.Sub(ackedAt) > configBound && faultFree > startedAt.Sub(ackedAt)+settleTime:
		r.addViolation("CONFIG: %s has no route for %s, %s after the store acknowledged it", target.name, path, startedAt.Sub(ackedAt))
	}
}
