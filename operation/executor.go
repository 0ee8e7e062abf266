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

// Defaults and bounds of an Executor.
const (
	// DefaultRetention is how long a key is remembered. It must be far longer
	// than ClaimLifetime plus the difference between daemons' clocks.
	DefaultRetention = time.Hour
	// ClaimLifetime is how long after the beginning of its write a claim may
	// be used.
	ClaimLifetime = 10 * time.Second
	// MaxResultBytes is the largest answer body that is recorded.
	MaxResultBytes = 2 << 10
	// settleTime is how long after it has heard that the store came back older a daemon grants no claims. By then the other
	// daemons have heard, with their heartbeats at the latest, and have written again what they know.
	settleTime     = 5 * time.Second
	queueLength    = 4096
	maxBatch       = 256
	expireInterval = time.Minute
)

// Options are an Executor's collaborators.
type Options struct {
	Store        objectstore.Store
	WriteLimiter *rate.Limiter // of this daemon's calls that write
	Retention    time.Duration // 0: DefaultRetention
	// Now is the clock of claims; nil: clock.Steady. It must count the time that the machine
	// sleeps: others may have settled the key meanwhile.
	Now clock.Clock
	Log *slog.Logger
}

// Claimer claims operations for all services of a daemon. It is safe for
// concurrent use. One goroutine for each service owns its journal; requests
// reach it through a bounded queue that refuses when full.
type Claimer struct {
	options Options
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mutex   sync.Mutex
	writers map[string]*writer
	// era is the latest of the store that was seen, and settled from when on claims may be granted in it.
	era     uint64
	settled time.Time
}

// NewClaimer returns an executor. Close ends its goroutines.
func NewClaimer(options Options) *Claimer {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	options.Now = clock.OrSteady(options.Now)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Claimer{
		options: options, log: logging.Part(options.Log, "operation"),
		ctx: ctx, cancel: cancel, writers: make(map[string]*writer),
	}
	e.running.Go(e.followEra)
	return e
}

// followEra looks until the executor is closed whether the store has come back older.
func (e *Claimer) followEra() {
	ticker := time.NewTicker(outcomeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.unsettledFor(e.options.Now())
		case <-e.ctx.Done():
			return
		}
	}
}

// unsettledFor returns for how long no claim may be granted, as other daemons may not have written again yet what the store lost.
// A daemon that has just started does not know when the store came back.
func (e *Claimer) unsettledFor(now time.Time) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if era := e.options.Store.Era(); era > e.era {
		e.log.Warn("the store came back older, no claims for a while", "era", era, "era_before", e.era, "for", settleTime)
		e.era, e.settled = era, now.Add(settleTime)
	}
	return e.settled.Sub(now)
}

// Close waits until outcomes that were handed over are written, or ctx ends,
// and ends the goroutines.
func (e *Claimer) Close(ctx context.Context) {
	e.mutex.Lock()
	writers := make([]*writer, 0, len(e.writers))
	for _, w := range e.writers {
		writers = append(writers, w)
	}
	e.mutex.Unlock()
	for _, w := range writers {
		w.flush(ctx)
	}
	e.cancel()
	e.running.Wait()
}

func (e *Claimer) writer(service string) *writer {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w, ok := e.writers[service]
	if !ok {
		w = newWriter(e, service)
		e.writers[service] = w
		e.running.Add(1)
		go w.run()
	}
	return w
}

// Fingerprint tells requests with the same key apart.
func Fingerprint(method, uri string, body []byte) uint64 {
	hash := fnv.New64a()
	// A hash never fails to write.
	_, _ = io.WriteString(hash, method+"\x00"+uri+"\x00")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// Claim is the right to run one operation once.
type Claim struct {
	writer   *writer
	entry    Entry
	begun    time.Time
	settled  sync.Once
	lifetime time.Duration
}

// Claim claims the key. It returns either a claim, or the recorded answer of an
// earlier run, or a failure. It blocks until the store has answered or ctx ends.
func (e *Claimer) Claim(ctx context.Context, service, key string, fingerprint uint64) (*Claim, *Result, *resultcode.Failure) {
	command := &command{
		entry:  Entry{Kind: Claimed, Key: key, Token: rand.Text(), Fingerprint: fingerprint},
		begun:  e.options.Now(),
		answer: make(chan verdict, 1),
	}
	w := e.writer(service)
	if !w.offer(command) {
		return nil, nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "too many operations are waiting to be claimed", RetryAfter: time.Second}
	}
	select {
	case answer := <-command.answer:
		return answer.claim, answer.result, answer.failure
	case <-ctx.Done():
		// The claim may still be written; it is released when it is.
		go e.releaseWhenAnswered(command)
		return nil, nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim was not written in time"}
	case <-e.ctx.Done():
		return nil, nil, &resultcode.Failure{Code: resultcode.Stopping, Detail: "the daemon stopped before the claim was written"}
	}
}

func (e *Claimer) releaseWhenAnswered(c *command) {
	select {
	case answer := <-c.answer:
		if answer.claim != nil {
			answer.claim.Release()
		}
	case <-e.ctx.Done():
	}
}

// Valid says whether the request may still be sent now. A claim that was held
// for too long, because its daemon was paused or the request waited, is not.
func (c *Claim) Valid() bool {
	return c.writer.executor.options.Now().Sub(c.begun) < c.lifetime
}

// Finish records the answer. It does not wait for the store.
func (c *Claim) Finish(result Result) {
	c.settle(Entry{Kind: Finished, Result: &result})
}

// Release gives the claim back: the request was not run. It does not wait for
// the store.
func (c *Claim) Release() {
	c.settle(Entry{Kind: Released})
}

// Abandon leaves the claim as it is: whether the request ran is not known.
func (c *Claim) Abandon() {
	c.settled.Do(func() { c.writer.forget(c.entry.Token) })
}

func (c *Claim) settle(entry Entry) {
	c.settled.Do(func() {
		entry.Key, entry.Token = c.entry.Key, c.entry.Token
		c.writer.offer(&command{entry: entry})
		c.writer.forget(c.entry.Token)
	})
}

// errNotLoaded is the cause given while the journal cannot be read.
const errNotLoaded = errors.ConstError("journal not read")
