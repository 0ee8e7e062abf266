package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// callerTimeout is how long a caller waits for its answer.
const callerTimeout = 3 * time.Second

// callers send requests to daemons over connections that they keep, and new ones.
type callers struct {
	fleet  *fleet
	client *http.Client // keeps connections until the daemon is gone
	fresh  *http.Client
	random *rand.Rand

	mutex sync.Mutex
	last  int
}

func newCallers(f *fleet, seed uint64) *callers {
	return &callers{
		fleet: f, random: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 20}},
		fresh:  &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// load sends requests at a rate until ctx ends, and waits for their ends.
func (c *callers) load(ctx context.Context, perSecond int) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		kept, unsafe, newest := c.random.IntN(2) == 0, c.random.IntN(3) == 0, c.random.IntN(8) == 0
		pipelined := 0
		if c.random.IntN(10) == 0 {
			pipelined = 2 + c.random.IntN(mostPipelined-1)
		}
		target := c.choose()
		running.Go(func() {
			switch {
			case pipelined > 0:
				c.sendPipelined(target, pipelined)
			case newest:
				c.sendNewest(target)
			default:
				c.send(target, unsafe, kept)
			}
		})
	}
}

// choose returns a daemon that the balancer sends callers to; where fewer than half
// are ready, any.
func (c *callers) choose() *process {
	var ready []*process
	for _, one := range c.fleet.daemons {
		if one.isReady() {
			ready = append(ready, one)
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
	c.last++
	return fmt.Sprintf("r-%d", c.last)
}

// send sends one request on a route that is always there.
func (c *callers) send(target *process, unsafe, kept bool) {
	id := c.nextID()
	method, path := http.MethodGet, "/safe/"+id
	if unsafe {
		method, path = http.MethodPost, "/unsafe/"+id
	}
	client := c.fresh
	if kept {
		client = c.client
	}
	c.fleet.report.sent(id, target.currentLife(), unsafe)
	response, got, err := c.exchange(client, target, method, id, path)
	if err == nil {
		c.fleet.report.answered(id, path, response, got)
		return
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		c.fleet.report.count("no connection")
		return
	}
	c.fleet.report.unanswered(id, path, target.isStopping(), err)
}

func (c *callers) exchange(client *http.Client, target *process, method, id, path string) (*http.Response, string, error) {
	var sent io.Reader
	if method == http.MethodPost {
		sent = strings.NewReader(id)
	}
	request, err := http.NewRequest(method, "http://"+target.at(portCaller)+path, sent)
	if err != nil {
		return nil, "", err
	}
	request.Host = host
	request.GetBody = nil
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

// sendNewest sends a request on the route that was added last, and checks that a
// daemon that served it once goes on to know it, and that all know it in time.
func (c *callers) sendNewest(target *process) {
	route, acked := c.fleet.newestRoute()
	target.mutex.Lock()
	life, served := target.life, target.served
	target.mutex.Unlock()
	calm := c.fleet.calmFor()
	id := c.nextID()
	path := fmt.Sprintf("/change-%d/%s", route, id)
	c.fleet.report.sent(id, target.currentLife(), false)
	begun := time.Now()
	response, got, err := c.exchange(c.fresh, target, http.MethodGet, id, path)
	if err != nil {
		return
	}
	c.fleet.report.answered(id, path, response, got)
	if response.StatusCode != http.StatusNotFound {
		target.mutex.Lock()
		if target.life == life {
			target.served = max(target.served, route)
		}
		target.mutex.Unlock()
		return
	}
	if now, _ := c.fleet.newestRoute(); now != route {
		return // it was taken away in the meantime
	}
	r := c.fleet.report
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case served >= route:
		r.violated("CONFIG: %s went back: 404 for %s after it had served that route", target.name, path)
	case begun.Sub(acked) > configBound && calm > begun.Sub(acked)+settleTime:
		r.violated("CONFIG: %s does not know %s %s after it was acknowledged", target.name, path, begun.Sub(acked))
	}
}
