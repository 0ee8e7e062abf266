package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/membership"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

const (
	// maxPeers is how many daemons are asked for one request.
	maxPeers = 4
	// connectTimeout limits the time to connect to another daemon.
	connectTimeout = 250 * time.Millisecond
	// checkTimeout limits a check of a back end by another daemon.
	checkTimeout = 600 * time.Millisecond
	// maxProblemBytes limits how much of the description of a failure is read.
	maxProblemBytes = 4 << 10
)

// Options are the dependencies of a Client.
type Options struct {
	Network network.Network
	// Peers returns the other daemons that may relay requests. It must not block.
	Peers   func() []membership.Member
	Random  *rand.Rand
	Log     *slog.Logger
	Metrics tally.Scope
}

// Client sends requests through other daemons. It is safe for concurrent use.
type Client struct {
	options Options
	log     *slog.Logger
	relayed tally.Counter
	failed  tally.Counter

	mutex   sync.Mutex
	choice  *Choice
	clients map[string]*backend.Client // by forward address
}

// NewClient returns a client.
func NewClient(options Options) *Client {
	return &Client{
		options: options, log: logging.Component(options.Log, "relay"), choice: NewChoice(options.Random), clients: make(map[string]*backend.Client),
		relayed: options.Metrics.Counter("relayed_requests"), failed: options.Metrics.Counter("relay_failures"),
	}
}

// HasPeers reports whether there are other daemons.
func (c *Client) HasPeers() bool {
	return len(c.options.Peers()) > 0
}

// Available reports whether there is a daemon that may be asked now.
func (c *Client) Available() bool {
	_, available := c.next(nil)
	return available
}

// Response is a response of a back end.
type Response struct {
	*http.Response
	Peer string // the daemon that relayed it
}

// errNoPeer: no other daemon could be asked.
const errNoPeer = errors.ConstError("no other daemon reaches the back ends")

// Do sends a request to a back end through another daemon. build returns the request; it is called
// once for each daemon that is asked, and only once unless rewindable is set. Do blocks until the header
// of the response has arrived. The error is a *backend.Failure; its code is BackendsUnreachable if no
// daemon that was asked reaches the back ends, and ConnectFailed if one that reaches others does not
// reach this one.
func (c *Client) Do(ctx context.Context, key backend.Key, rewindable bool, build func() *http.Request) (*Response, error) {
	var tried []string
	cause := error(errNoPeer)
	for len(tried) < maxPeers && (rewindable || len(tried) == 0) {
		peer, found := c.next(tried)
		if !found {
			break
		}
		tried = append(tried, peer.Name)
		request := build()
		encode(request, key)
		response, err := c.client(peer.ForwardAddress).Do(ctx, request)
		if err != nil {
			if failure := c.peerFailure(peer, err); failure != nil {
				return nil, failure
			}
			cause = errors.Annotate(err, "daemon "+peer.Name)
			continue
		}
		if response.Header.Get(headerRelayed) != "" {
			response.Header.Del(headerRelayed)
			c.markFit(peer.Name)
			c.relayed.Inc(1)
			return &Response{Response: response, Peer: peer.Name}, nil
		}
		failure := readFailure(peer.Name, response)
		if !isUnfit(failure.Code) {
			c.markFit(peer.Name)
			c.failed.Inc(1)
			return nil, failure
		}
		c.markUnfitFor(peer, response)
		cause = failure.Cause
	}
	c.failed.Inc(1)
	return nil, &backend.Failure{Code: resultcode.BackendsUnreachable, Cause: cause}
}

// isUnfit reports whether a failure means that the daemon cannot relay requests, as opposed to this one.
func isUnfit(code resultcode.Code) bool {
	switch code {
	case resultcode.BackendsUnreachable, resultcode.NotConfigured, resultcode.NoService, resultcode.Stopping:
		return true
	}
	return false
}

// peerFailure returns the failure of a request for which a daemon sent no response, or nil if another
// daemon may be asked.
func (c *Client) peerFailure(peer membership.Member, err error) error {
	var failure *backend.Failure
	if !errors.As(err, &failure) {
		return err
	}
	switch failure.Code {
	case resultcode.ConnectFailed:
		c.markUnfit(peer.Name, unreachableDuration)
		c.log.Info("daemon not reached", "peer", peer.Name, "error", logging.ExcerptOfError(failure.Cause))
		return nil
	case resultcode.ConnectionBroken:
		c.markUnfit(peer.Name, unreachableDuration)
		c.log.Info("connection to daemon broke", "peer", peer.Name, "error", logging.ExcerptOfError(failure.Cause))
		return &backend.Failure{Code: resultcode.PeerBroken, Cause: errors.Annotate(failure.Cause, "daemon "+peer.Name)}
	case resultcode.DeadlineExceeded:
		c.markUnfit(peer.Name, unfitDuration)
	}
	return &backend.Failure{Code: failure.Code, Cause: errors.Annotate(failure.Cause, "through daemon "+peer.Name)}
}

// readFailure reads the failure that a daemon answered a relayed request with.
func readFailure(peer string, response *http.Response) *backend.Failure {
	defer response.Body.Close()
	code, err := strconv.Atoi(response.Header.Get(resultcode.HeaderCode))
	if err != nil {
		code = int(resultcode.NotConfigured) // not a daemon that relays requests
	}
	var problem resultcode.Problem
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&problem); err != nil {
		problem.Detail = "no description"
	}
	cause := errors.Errorf("through daemon %s: %s", peer, problem.Detail)
	if response.Header.Get(headerLiveness) == string(backend.Exited) {
		cause = fmt.Errorf("%w: %w", cause, syscall.ECONNREFUSED)
	}
	return &backend.Failure{Code: resultcode.Code(code), Cause: cause}
}

// CheckLiveness asks another daemon for the liveness of a back end. It returns false if no daemon that
// was asked can tell. It blocks for at most checkTimeout.
func (c *Client) CheckLiveness(ctx context.Context, key backend.Key) (backend.Liveness, bool) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var tried []string
	for len(tried) < maxPeers {
		peer, found := c.next(tried)
		if !found {
			return "", false
		}
		tried = append(tried, peer.Name)
		response, err := c.client(peer.ForwardAddress).Do(ctx, newCheck(key))
		if err != nil {
			c.markUnfit(peer.Name, unfitDuration)
			c.log.Debug("liveness not learned", "peer", peer.Name, "error", err)
			continue
		}
		response.Body.Close()
		if liveness := response.Header.Get(headerLiveness); liveness != "" {
			return backend.Liveness(liveness), true
		}
		c.markUnfitFor(peer, response)
	}
	return "", false
}

func (c *Client) next(tried []string) (membership.Member, bool) {
	candidates := c.options.Peers()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.choice.Next(time.Now(), candidates, tried)
}

func (c *Client) markFit(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.choice.MarkFit(time.Now(), name)
}

// markUnfitFor records that a daemon could not relay a request, unless only this back end is not reached.
func (c *Client) markUnfitFor(peer membership.Member, response *http.Response) {
	if response.Header.Get(headerReachesOthers) == "" {
		c.markUnfit(peer.Name, unfitDuration)
	}
}

func (c *Client) markUnfit(name string, duration time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.choice.MarkUnfit(time.Now(), name, duration)
}

// maxClients bounds the clients of other daemons that are kept.
const maxClients = 64

// client returns the client of a daemon.
func (c *Client) client(address string) *backend.Client {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client, found := c.clients[address]
	if found {
		return client
	}
	if len(c.clients) >= maxClients {
		c.closeClients()
	}
	client = backend.NewClient(backend.Options{Network: c.options.Network, Address: address, ConnectTimeout: connectTimeout})
	c.clients[address] = client
	return client
}

// closeClients closes the idle connections of all clients and removes them. Requests in flight go on.
// The caller holds the mutex.
func (c *Client) closeClients() {
	for address, client := range c.clients {
		client.Close()
		delete(c.clients, address)
	}
}

// Close closes idle connections to other daemons.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeClients()
}
