package operation

import (
	"context"
	"crypto/rand"
	"hash/fnv"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/clock"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/resultcode"
)

// Defaults and limits of a Claimer.
const (
	// DefaultRetention is how long a key is remembered. It must be far longer
	// than ClaimLifetime plus the clock difference between daemons.
	DefaultRetention = time.Hour
	// ClaimLifetime is how long a claim may be used, counted from before the
	// write of the claim began.
	ClaimLifetime = 10 * time.Second
	// MaxResultBytes is the largest response body that is recorded.
	MaxResultBytes = 2 << 10
	// rollbackGracePeriod is how long a daemon grants no claims after it has learned of a store
	// rollback. Within it the other daemons learn of the rollback, by heartbeat at the latest, and
	// write the lost entries that they know again.
	rollbackGracePeriod = 5 * time.Second
	queueLength         = 4096
	maxBatch            = 256
	expireInterval      = time.Minute
)

// Options are the dependencies and settings of a Claimer.
type Options struct {
	Store        objectstore.Store
	WriteLimiter *rate.Limiter // limits this daemon's writes to the store
	Retention    time.Duration // 0: DefaultRetention
	// Now is the clock for claim lifetimes; nil: clock.Monotonic. It must count the time that the
	// machine is suspended, as other daemons may claim the key meanwhile.
	Now clock.Clock
	Log *slog.Logger
}

// Claimer claims operations for all services of a daemon. It is safe for concurrent use. For each
// service one goroutine owns the journal; it takes commands from a bounded queue, and claims are
// refused when the queue is full.
type Claimer struct {
	options Options
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex   sync.Mutex
	writers map[string]*writer
	// era is the latest observed era of the store; claims may be granted from graceUntil on.
	era        uint64
	graceUntil time.Time
}

// NewClaimer returns a claimer. Close ends its goroutines.
func NewClaimer(options Options) *Claimer {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	options.Now = clock.OrMonotonic(options.Now)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Claimer{
		options: options, log: logging.Component(options.Log, "operation"),
		ctx: ctx, cancel: cancel, writers: make(map[string]*writer),
	}
	c.running.Go(c.followEra)
	return c
}

// followEra checks for store rollbacks until the claimer is closed.
func (c *Claimer) followEra() {
	ticker := time.NewTicker(outcomeFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.graceRemaining(c.options.Now())
		case <-c.ctx.Done():
			return
		}
	}
}

// graceRemaining returns for how much longer no claim may be granted, because other daemons may not
// have written again what a store rollback lost. A daemon that has just started does not know when
// the rollback happened, so the grace period starts when the daemon first sees the era.
func (c *Claimer) graceRemaining(now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era := c.options.Store.Era(); era > c.era {
		c.log.Warn("the store came back older; refusing claims for a grace period", "era", era, "era_before", c.era, "for", rollbackGracePeriod)
		c.era, c.graceUntil = era, now.Add(rollbackGracePeriod)
	}
	return c.graceUntil.Sub(now)
}

// Close waits until queued outcomes are handled or ctx ends, and ends the goroutines.
func (c *Claimer) Close(ctx context.Context) {
	c.mutex.Lock()
	writers := make([]*writer, 0, len(c.writers))
	for _, w := range c.writers {
		writers = append(writers, w)
	}
	c.mutex.Unlock()
	for _, w := range writers {
		w.flush(ctx)
	}
	c.cancel()
	c.running.Wait()
}

func (c *Claimer) writer(service string) *writer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	w, ok := c.writers[service]
	if !ok {
		w = newWriter(c, service)
		c.writers[service] = w
		c.running.Add(1)
		go w.run()
	}
	return w
}

// Fingerprint returns a hash that tells requests with the same key apart.
func Fingerprint(method, uri string, body []byte) uint64 {
	hash := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = io.WriteString(hash, method+"\x00"+uri+"\x00")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// Claim is the right to run one operation once.
type Claim struct {
	writer    *writer
	entry     Entry
	startedAt time.Time
	settled   sync.Once
	lifetime  time.Duration
}

// Claim claims a key. It returns a claim, the recorded result of an earlier run, or a failure. It
// blocks until the store has answered or ctx ends.
func (c *Claimer) Claim(ctx context.Context, service, key string, fingerprint uint64) (*Claim, *Result, *resultcode.Failure) {
	command := &command{
		entry:     Entry{Kind: Claimed, Key: key, Token: rand.Text(), Fingerprint: fingerprint},
		startedAt: c.options.Now(),
		reply:     make(chan claimReply, 1),
	}
	w := c.writer(service)
	if !w.enqueue(command) {
		return nil, nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "too many operations are waiting to be claimed", RetryAfter: time.Second}
	}
	select {
	case reply := <-command.reply:
		return reply.claim, reply.result, reply.failure
	case <-ctx.Done():
		// The claim may still be written, and is then released.
		go c.releaseWhenWritten(command)
		return nil, nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim was not written in time"}
	case <-c.ctx.Done():
		return nil, nil, &resultcode.Failure{Code: resultcode.Stopping, Detail: "the daemon stopped before the claim was written"}
	}
}

func (c *Claimer) releaseWhenWritten(pending *command) {
	select {
	case reply := <-pending.reply:
		if reply.claim != nil {
			reply.claim.Release()
		}
	case <-c.ctx.Done():
	}
}

// Valid reports whether the request may still be sent. A claim expires after ClaimLifetime, for
// example while the daemon was paused or the request was queued.
func (c *Claim) Valid() bool {
	return c.writer.claimer.options.Now().Sub(c.startedAt) < c.lifetime
}

// Finish records the response, without waiting for the store.
func (c *Claim) Finish(result Result) {
	c.settle(Entry{Kind: Finished, Result: &result})
}

// Release withdraws the claim because the request was not run. It does not wait for the store.
func (c *Claim) Release() {
	c.settle(Entry{Kind: Released})
}

// Abandon keeps the key claimed, because it is unknown whether the request ran.
func (c *Claim) Abandon() {
	c.settled.Do(func() { c.writer.removeActive(c.entry.Token) })
}

func (c *Claim) settle(entry Entry) {
	c.settled.Do(func() {
		entry.Key, entry.Token = c.entry.Key, c.entry.Token
		c.writer.enqueue(&command{entry: entry})
		c.writer.removeActive(c.entry.Token)
	})
}

// errNotLoaded is returned if the journal was never read.
const errNotLoaded = errors.ConstError("journal not read")
