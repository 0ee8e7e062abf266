package operation

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/wait"
)

// command asks the writer to append an entry, or to signal done once the commands before it are
// handled. reply is nil if no caller waits for the entry.
type command struct {
	entry     Entry
	startedAt time.Time
	reply     chan claimReply
	done      chan struct{} // closed for a flush
}

// claimReply is the reply to a claim; one field is set.
type claimReply struct {
	claim   *Claim
	result  *Result
	failure *resultcode.Failure
}

// writer owns the journal of one service.
type writer struct {
	claimer    *Claimer
	service    string
	queue      chan *command
	journal    *journal
	backlog    []Entry // outcomes and releases to write
	lastExpiry time.Time

	mutex        sync.Mutex
	activeClaims map[string]bool // tokens of claims whose requests this daemon runs
}

// outcomeFlushInterval is the longest time that an outcome waits to be written together with a
// claim. If the daemon crashes meanwhile, the key stays claimed, which is safe.
const outcomeFlushInterval = 250 * time.Millisecond

// maxBacklog limits the backlog while the store is unavailable. The oldest outcomes are dropped:
// their keys stay claimed, which is safe.
const maxBacklog = 20000

func newWriter(claimer *Claimer, service string) *writer {
	return &writer{
		claimer: claimer, service: service, queue: make(chan *command, queueLength),
		journal:      newJournal(claimer.options.Store, claimer.options.WriteLimiter, service, claimer.options.Retention),
		activeClaims: make(map[string]bool), lastExpiry: time.Now(),
	}
}

// enqueue queues a command, and returns false if the queue is full.
func (w *writer) enqueue(c *command) bool {
	select {
	case w.queue <- c:
		return true
	default:
		return false
	}
}

// flush waits until the commands queued before it are handled, or ctx ends.
func (w *writer) flush(ctx context.Context) {
	done := make(chan struct{})
	if !w.enqueue(&command{done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (w *writer) removeActive(token string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.activeClaims, token)
}

func (w *writer) addActive(token string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.activeClaims[token] = true
}

func (w *writer) isActive(token string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.activeClaims[token]
}

func (w *writer) run() {
	defer w.claimer.running.Done()
	flushTicker := time.NewTicker(outcomeFlushInterval)
	defer flushTicker.Stop()
	for {
		select {
		case first := <-w.queue:
			w.handle(w.collectBatch(first))
		case <-flushTicker.C:
			if len(w.backlog) > 0 || w.journal.storeRolledBack() {
				w.handle(nil)
			}
			w.expire()
		case <-w.claimer.ctx.Done():
			return
		}
	}
}

// collectBatch takes the commands that were queued during the last write.
func (w *writer) collectBatch(first *command) []*command {
	batch := []*command{first}
	for len(batch) < maxBatch {
		select {
		case next := <-w.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) expire() {
	if time.Since(w.lastExpiry) < expireInterval || !w.journal.loaded {
		return
	}
	w.lastExpiry = time.Now()
	if err := w.journal.expire(w.claimer.ctx, time.Now()); err != nil {
		w.claimer.log.Warn("cannot remove expired journal segments", "service", w.service, "error", err)
	}
}

// handle writes a batch and replies to its claims.
func (w *writer) handle(batch []*command) {
	w.queueOutcomes(batch)
	if len(batch) > 0 && !hasWaiter(batch) {
		return
	}
	err := w.write(batch)
	for _, c := range batch {
		if c.done != nil {
			close(c.done)
		}
		if c.reply != nil && err != nil {
			w.failClaim(c, err)
		}
	}
}

// hasWaiter reports whether a caller or a flush waits for the batch.
func hasWaiter(batch []*command) bool {
	for _, c := range batch {
		if c.reply != nil || c.done != nil {
			return true
		}
	}
	return false
}

// queueOutcomes moves entries that no caller waits for to the backlog.
func (w *writer) queueOutcomes(batch []*command) {
	for _, c := range batch {
		if c.reply == nil && c.done == nil {
			c.entry.At = time.Now().UnixMilli()
			w.backlog = append(w.backlog, c.entry)
		}
	}
	if excess := len(w.backlog) - maxBacklog; excess > 0 {
		w.claimer.log.Error("outcome backlog is full; dropped the oldest outcomes, whose keys stay claimed", "service", w.service, "count", excess)
		w.backlog = append([]Entry(nil), w.backlog[excess:]...)
	}
}

// failClaim refuses a claim that could not be written. Its write may still take effect, so a
// release is queued for when the store is available again.
func (w *writer) failClaim(c *command, err error) {
	w.backlog = append(w.backlog, Entry{Kind: Released, Key: c.entry.Key, Token: c.entry.Token, At: time.Now().UnixMilli()})
	c.reply <- claimReply{failure: &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim could not be written", Cause: err, RetryAfter: time.Second}}
}

// write appends the batch's claims and the backlog. On an error none of the batch's claims has
// been replied to.
func (w *writer) write(batch []*command) error {
	ctx := w.claimer.ctx
	if w.journal.stale() {
		w.journal.reset()
	}
	err := error(errNotLoaded)
	refreshed := false
	for range maxAttempts {
		if w.journal.storeRolledBack() {
			if err = w.recoverLostEntries(ctx); err != nil {
				if !wait.Sleep(ctx, retryDelay) {
					return err
				}
				continue
			}
		}
		if !w.journal.loaded || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrOutcomeUnknown) {
			if loadErr := w.journal.load(ctx); loadErr != nil {
				err = errors.WithType(loadErr, objectstore.ErrOutcomeUnknown)
				if !wait.Sleep(ctx, retryDelay) {
					return err
				}
				continue
			}
		}
		if !refreshed && w.pendingElsewhere(batch) {
			// Another daemon may have recorded the outcome since the last load.
			refreshed = true
			if err = w.journal.load(ctx); err != nil {
				continue
			}
		}
		err = w.tryWrite(ctx, batch)
		if err == nil {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) && !wait.Sleep(ctx, retryDelay) {
			return err
		}
	}
	return err
}

// recoverLostEntries queues the entries that a store rollback lost, for the next write.
func (w *writer) recoverLostEntries(ctx context.Context) error {
	lost, err := w.journal.reloadAfterRollback(ctx, time.Now())
	if err != nil {
		return errors.WithType(err, objectstore.ErrUnavailable)
	}
	w.claimer.log.Warn("writing claims and outcomes lost by the store again", "service", w.service, "entries", len(lost))
	w.backlog = append(lost, w.backlog...)
	return nil
}

// pendingElsewhere reports whether the batch claims a key that another daemon has claimed and whose
// outcome is not in the ledger.
func (w *writer) pendingElsewhere(batch []*command) bool {
	for _, c := range batch {
		if c.reply == nil {
			continue
		}
		state, existing := w.journal.ledger.Lookup(time.Now(), c.entry.Key, c.entry.Fingerprint)
		if state == Pending && !w.isActive(existing.token) {
			return true
		}
	}
	return false
}

// tryWrite checks every claim against the ledger and appends the new entries.
func (w *writer) tryWrite(ctx context.Context, batch []*command) error {
	now := time.Now()
	replies := make([]claimReply, len(batch))
	entries := append([]Entry(nil), w.backlog...)
	claimedKeys := make(map[string]bool)
	grace := w.claimer.graceRemaining(w.claimer.options.Now())
	for index, c := range batch {
		if c.reply == nil {
			continue
		}
		if w.journal.ledger.HasClaim(c.entry.Key, c.entry.Token) {
			// An earlier attempt took effect, but its response was lost.
			replies[index] = claimReply{claim: w.newClaim(c)}
			continue
		}
		if claimedKeys[c.entry.Key] {
			replies[index] = claimReply{failure: operationInProgress()}
			continue
		}
		state, existing := w.journal.ledger.Lookup(now, c.entry.Key, c.entry.Fingerprint)
		if state != Unclaimed {
			replies[index] = w.existingKeyReply(state, existing)
			continue
		}
		if grace > 0 {
			replies[index] = claimReply{failure: &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the store came back older, and claims that it lost may not be written again yet", RetryAfter: grace}}
			continue
		}
		c.entry.At = now.UnixMilli()
		claimedKeys[c.entry.Key] = true
		entries = append(entries, c.entry)
		replies[index] = claimReply{claim: w.newClaim(c)}
	}
	if len(entries) > 0 {
		if err := w.journal.append(ctx, entries); err != nil {
			return err
		}
		w.backlog = nil
	}
	w.sendReplies(batch, replies)
	return nil
}

func (w *writer) newClaim(c *command) *Claim {
	return &Claim{writer: w, entry: c.entry, startedAt: c.startedAt, lifetime: ClaimLifetime}
}

func (w *writer) sendReplies(batch []*command, replies []claimReply) {
	for index, c := range batch {
		if c.reply == nil {
			continue
		}
		if replies[index].claim != nil {
			w.addActive(c.entry.Token)
		}
		c.reply <- replies[index]
	}
}

// existingKeyReply returns the reply to a claim of a key that is not unclaimed.
func (w *writer) existingKeyReply(state KeyState, existing record) claimReply {
	switch {
	case state == Reused:
		return claimReply{failure: &resultcode.Failure{Code: resultcode.KeyReused, Detail: "the key was used with another method, path or body"}}
	case state == Completed && existing.result.Complete:
		return claimReply{result: existing.result}
	case state == Completed:
		return claimReply{failure: &resultcode.Failure{Code: resultcode.OperationUnknown, Detail: "the operation ran, but its answer could not be kept"}}
	case w.isActive(existing.token):
		return claimReply{failure: operationInProgress()}
	}
	return claimReply{failure: &resultcode.Failure{Code: resultcode.OperationUnknown, Detail: "an earlier request with this key was claimed and its outcome was never recorded"}}
}

func operationInProgress() *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.OperationInProgress, Detail: "a request with this key is running", RetryAfter: time.Second}
}
