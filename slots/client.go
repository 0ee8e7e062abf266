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

// ErrUnreachable: the dispatcher did not reply. The request has no permit and will not get
// one.
const ErrUnreachable = errors.ConstError("dispatcher unreachable")

// ErrStaleDispatcher: the dispatcher does not know the service or any of its back ends,
// because it has just started or has not received the latest configuration. The request has
// no permit.
const ErrStaleDispatcher = errors.ConstError("dispatcher configuration is out of date")

// Timeouts of sessions and of requests for permits.
const (
	// openTimeout bounds the time to open a session.
	openTimeout = 300 * time.Millisecond
	// replyTimeout bounds the time to the first reply: a grant, a refusal, or the notice that
	// the request waits.
	replyTimeout = 300 * time.Millisecond
	// sessionIdleTimeout is how long an unused session is kept open.
	sessionIdleTimeout = time.Minute
)

// Client acquires permits from other daemons. It is safe for concurrent use.
type Client struct {
	network network.Network
	name    string // of this daemon
	log     *slog.Logger

	mutex    sync.Mutex
	sessions map[string]*session // by the dispatcher's peer address
	closed   bool
}

// NewClient returns a client of the daemon with this name, without sessions.
func NewClient(transport network.Network, name string, log *slog.Logger) *Client {
	return &Client{network: transport, name: name, log: logging.Component(log, "slots"), sessions: make(map[string]*session)}
}

// Grant is a permit granted by another daemon. Its owner must call Done exactly once.
type Grant struct {
	Backend    string
	Reason     routing.Reason
	Candidates int
	ReportAge  time.Duration
	Waited     time.Duration
	// BestInFlight is the dispatcher's concurrency hint for back ends like this one; see
	// routing.PickResult.
	BestInFlight int
	// HedgeAfter is the delay at which a hedge is worthwhile; see dispatch.Permit.
	HedgeAfter time.Duration
	// Disturbed is closed when the dispatcher reports that the request met a disturbed back
	// end; nil: it will not report that.
	Disturbed <-chan struct{}
	// MayBeSilent: the back end may be full and not answer; see dispatch.Permit.
	MayBeSilent bool

	session *session
	id      uint64
}

// Done releases the permit. latency is used only for a success; report is nil if the back end
// sent no load report. It does not wait for the dispatcher.
func (g *Grant) Done(outcome routing.Outcome, latency time.Duration, report *routing.Report) {
	g.session.removeFollowed(g.id)
	g.session.release(g.id, outcome, latency, report)
}

// Acquire requests a permit from the dispatcher at an address. It blocks while the request
// waits. The error is ErrUnreachable, ErrStaleDispatcher, service.ErrOverBudget, or a
// *resultcode.Failure that says that the request has not run.
func (c *Client) Acquire(ctx context.Context, address, service string, kind retry.Kind, request dispatch.Request) (*Grant, error) {
	sess, err := c.sessionFor(address)
	if err != nil {
		return nil, err
	}
	grant, err := sess.acquire(ctx, service, kind, request)
	if errors.Is(err, ErrUnreachable) {
		c.closeSession(address, sess)
	}
	return grant, err
}

// sessionFor returns the session with the dispatcher at an address, and opens it if there is
// none.
func (c *Client) sessionFor(address string) (*session, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, ErrUnreachable
	}
	sess, known := c.sessions[address]
	if !known {
		sess = newSession(address)
		sess.onEnd = func() { c.removeSession(address, sess) }
		c.sessions[address] = sess
		c.closeIdle(time.Now())
	}
	c.mutex.Unlock()
	if known {
		// Another goroutine may still be opening the session.
		<-sess.opened
		return sess, sess.endErr()
	}
	err := sess.open(c.network, c.name)
	if err != nil {
		c.log.Warn("session not opened", "address", address, "error", err)
		c.closeSession(address, sess)
	}
	return sess, err
}

// closeIdle closes sessions that have been idle for too long. The caller must hold the mutex.
func (c *Client) closeIdle(now time.Time) {
	for address, sess := range c.sessions {
		if sess.isIdle(now) {
			delete(c.sessions, address)
			go sess.close()
		}
	}
}

// closeSession closes a session that does not reply.
func (c *Client) closeSession(address string, sess *session) {
	c.removeSession(address, sess)
	sess.close()
}

// removeSession removes a session, so that the next request opens a new one.
func (c *Client) removeSession(address string, sess *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[address] == sess {
		delete(c.sessions, address)
	}
}

// Close closes all sessions, upon which the dispatchers take back the permits held.
func (c *Client) Close() {
	c.mutex.Lock()
	sessions := c.sessions
	c.sessions, c.closed = nil, true
	c.mutex.Unlock()
	for _, sess := range sessions {
		sess.close()
	}
}

// unreachable wraps the cause of a missing reply as ErrUnreachable.
func unreachable(cause error) error {
	return errors.WithType(cause, ErrUnreachable)
}

// contextFailure returns the failure for a request whose context ended before it got a permit.
func contextFailure(ctx context.Context) *resultcode.Failure {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return &resultcode.Failure{Code: resultcode.WaitExpired, Detail: "the deadline passed"}
	}
	return &resultcode.Failure{Code: resultcode.CallerGone, Detail: "the caller left"}
}
