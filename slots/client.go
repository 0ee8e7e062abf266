package slots

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// ErrUnreachable: the dispatcher gave no answer. The request has no place, and
// will not get one.
const ErrUnreachable = errors.ConstError("dispatcher unreachable")

// ErrStaleDispatcher: the dispatcher has not heard of the service, or of any back end of
// it: it has just started, or news has not reached it. The request has no place.
const ErrStaleDispatcher = errors.ConstError("dispatcher behind")

// Timing of requests for places.
const (
	// openTimeout bounds the opening of a session.
	openTimeout = 300 * time.Millisecond
	// answerTimeout is how long the first answer may take: a grant, a refusal,
	// or the notice that the request waits.
	answerTimeout = 300 * time.Millisecond
	// idleSession is how long an unused session is kept.
	idleSession = time.Minute
)

// Client asks other daemons for places. It is safe for concurrent use.
type Client struct {
	network network.Network
	log     *slog.Logger

	mutex    sync.Mutex
	sessions map[string]*session // by the dispatcher's peer address
	closed   bool
}

// NewClient returns a client without sessions.
func NewClient(over network.Network, log *slog.Logger) *Client {
	return &Client{network: over, log: logging.Part(log, "slots"), sessions: make(map[string]*session)}
}

// Grant is a place at a back end. Its owner calls Done exactly once.
type Grant struct {
	Backend    string
	Reason     routing.Reason
	Candidates int
	ReportAge  time.Duration
	Waited     time.Duration
	// BestInFlight is what the dispatcher has learned of back ends like this one; see
	// routing.PickResult.
	BestInFlight int
	// HedgeAfter is when a second attempt is worth making; see dispatch.Place.
	HedgeAfter time.Duration
	// Disturbed is closed when the dispatcher tells that the request met a disturbed back
	// end; nil: it will not tell.
	Disturbed <-chan struct{}

	session *session
	id      uint64
}

// Done gives the place back. latency counts only for a success; report is nil
// where the back end told nothing. It does not block on the dispatcher.
func (g *Grant) Done(outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	g.session.unfollow(g.id)
	g.session.release(g.id, outcome, latency, report)
}

// Acquire asks the dispatcher at an address for a place. It blocks while the
// request waits. The error is ErrUnreachable, ErrBehind, service.ErrOverBudget, or a
// *resultcode.Failure that says "not run".
func (c *Client) Acquire(ctx context.Context, address, service string, kind retry.Kind, request dispatch.Request) (*Grant, error) {
	opened, err := c.session(address)
	if err != nil {
		return nil, err
	}
	grant, err := opened.acquire(ctx, service, kind, request)
	if errors.Is(err, ErrUnreachable) {
		c.drop(address, opened)
	}
	return grant, err
}

// session returns the session with an address, and opens it if there is none.
func (c *Client) session(address string) (*session, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, ErrUnreachable
	}
	present, known := c.sessions[address]
	if !known {
		present = newSession(address)
		present.ended = func() { c.forget(address, present) }
		c.sessions[address] = present
		c.closeIdle(time.Now())
	}
	c.mutex.Unlock()
	if known {
		// Another request may still be opening it.
		<-present.opened
		return present, present.failure()
	}
	err := present.open(c.network)
	if err != nil {
		c.log.Warn("session not opened", "address", address, "error", err)
		c.drop(address, present)
	}
	return present, err
}

// closeIdle ends sessions that nothing was asked over for long. The caller holds
// the mutex.
func (c *Client) closeIdle(now time.Time) {
	for address, one := range c.sessions {
		if one.idle(now) {
			delete(c.sessions, address)
			go one.close()
		}
	}
}

// drop ends a session that does not answer.
func (c *Client) drop(address string, failed *session) {
	c.forget(address, failed)
	failed.close()
}

// forget lets the next request open a new session.
func (c *Client) forget(address string, over *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[address] == over {
		delete(c.sessions, address)
	}
}

// Close ends every session; the places held are free again.
func (c *Client) Close() {
	c.mutex.Lock()
	sessions := c.sessions
	c.sessions, c.closed = nil, true
	c.mutex.Unlock()
	for _, one := range sessions {
		one.close()
	}
}

// unreachable is the failure that a request ends with when nobody else can serve
// it either.
func unreachable(cause error) error {
	return errors.WithType(cause, ErrUnreachable)
}

// ended says why a caller's context ended a request without a place.
func ended(ctx context.Context) *resultcode.Failure {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &resultcode.Failure{Code: resultcode.WaitExpired, Detail: "the deadline passed"}
	}
	return &resultcode.Failure{Code: resultcode.CallerGone, Detail: "the caller left"}
}
