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

// command asks the writer to add an entry. answer is nil where nobody waits.
type command struct {
	entry  Entry
	begun  time.Time
	answer chan verdict
	done   chan struct{} // of a flush
}

// verdict is the answer to a claim.
type verdict struct {
	claim   *Claim
	result  *Result
	failure *resultcode.Failure
}

// writer owns the journal of one service.
type writer struct {
	executor *Claimer
	service  string
	queue    chan *command
	journal  *journal
	backlog  []Entry // outcomes and releases that could not be written yet
	expired  time.Time

	mutex   sync.Mutex
	pending map[string]bool // tokens of claims whose requests this daemon runs
}

// outcomeInterval is how long an outcome may wait for a claim to be written with.
// A daemon that crashes meanwhile leaves its keys unsettled, which is safe.
const outcomeInterval = 250 * time.Millisecond

// maxBacklog bounds the outcomes kept while the store is down. The oldest are
// given up: their keys stay claimed, which is safe.
const maxBacklog = 20000

func newWriter(e *Claimer, service string) *writer {
	return &writer{
		executor: e, service: service, queue: make(chan *command, queueLength),
		journal: newJournal(e.options.Store, e.options.WriteLimiter, service, e.options.Retention),
		pending: make(map[string]bool), expired: time.Now(),
	}
}

// offer hands a command to the writer, and says whether there was room.
func (w *writer) offer(c *command) bool {
	select {
	case w.queue <- c:
		return true
	default:
		return false
	}
}

// flush waits until the commands before it are handled.
func (w *writer) flush(ctx context.Context) {
	done := make(chan struct{})
	if !w.offer(&command{done: done}) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (w *writer) forget(token string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.pending, token)
}

func (w *writer) remember(token string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.pending[token] = true
}

func (w *writer) runsHere(token string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.pending[token]
}

func (w *writer) run() {
	defer w.executor.running.Done()
	outcomes := time.NewTicker(outcomeInterval)
	defer outcomes.Stop()
	for {
		select {
		case first := <-w.queue:
			w.handle(w.gather(first))
		case <-outcomes.C:
			if len(w.backlog) > 0 || w.journal.cameBackOlder() {
				w.handle(nil)
			}
			w.expire()
		case <-w.executor.ctx.Done():
			return
		}
	}
}

// gather takes the commands that came while the last write was under way.
func (w *writer) gather(first *command) []*command {
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
	if time.Since(w.expired) < expireInterval || !w.journal.loaded {
		return
	}
	w.expired = time.Now()
	if err := w.journal.expire(w.executor.ctx, time.Now()); err != nil {
		w.executor.log.Warn("expiry put off", "service", w.service, "error", err)
	}
}

// handle writes a batch and answers its claims.
func (w *writer) handle(batch []*command) {
	w.takeOutcomes(batch)
	if len(batch) > 0 && !urgent(batch) {
		return
	}
	err := w.write(batch)
	for _, c := range batch {
		if c.done != nil {
			close(c.done)
		}
		if c.answer != nil && err != nil {
			w.giveUp(c, err)
		}
	}
}

// urgent says whether anybody waits for the batch.
func urgent(batch []*command) bool {
	for _, c := range batch {
		if c.answer != nil || c.done != nil {
			return true
		}
	}
	return false
}

// takeOutcomes moves the entries nobody waits for to the backlog.
func (w *writer) takeOutcomes(batch []*command) {
	for _, c := range batch {
		if c.answer == nil && c.done == nil {
			c.entry.At = time.Now().UnixMilli()
			w.backlog = append(w.backlog, c.entry)
		}
	}
	if over := len(w.backlog) - maxBacklog; over > 0 {
		w.executor.log.Error("outcomes given up, their keys stay claimed", "service", w.service, "count", over)
		w.backlog = append([]Entry(nil), w.backlog[over:]...)
	}
}

// giveUp refuses a claim that could not be written. Its write may still take
// effect, so that it is released once the store is back.
func (w *writer) giveUp(c *command, err error) {
	w.backlog = append(w.backlog, Entry{Kind: Released, Key: c.entry.Key, Token: c.entry.Token, At: time.Now().UnixMilli()})
	c.answer <- verdict{failure: &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: err.Error(), RetryAfter: time.Second}}
}

// write appends the batch's claims and the backlog. On an error no claim of the
// batch has been answered.
func (w *writer) write(batch []*command) error {
	ctx := w.executor.ctx
	if w.journal.stale() {
		w.journal.reset()
	}
	err := error(errNotLoaded)
	refreshed := false
	for range maxTries {
		if w.journal.cameBackOlder() {
			if err = w.recover(ctx); err != nil {
				if !wait.Sleep(ctx, tryPause) {
					return err
				}
				continue
			}
		}
		if !w.journal.loaded || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrOutcomeUnknown) {
			if loadErr := w.journal.load(ctx); loadErr != nil {
				err = errors.WithType(loadErr, objectstore.ErrOutcomeUnknown)
				if !wait.Sleep(ctx, tryPause) {
					return err
				}
				continue
			}
		}
		if !refreshed && w.unsettledElsewhere(batch) {
			// The outcome may have been recorded by another daemon since.
			refreshed = true
			if err = w.journal.load(ctx); err != nil {
				continue
			}
		}
		err = w.tryWrite(ctx, batch)
		if err == nil {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) && !wait.Sleep(ctx, tryPause) {
			return err
		}
	}
	return err
}

// recover lets what the store has lost be written again with the next write.
func (w *writer) recover(ctx context.Context) error {
	lost, err := w.journal.recover(ctx, time.Now())
	if err != nil {
		return errors.WithType(err, objectstore.ErrUnavailable)
	}
	w.executor.log.Warn("claims and outcomes that the store has lost are written again", "service", w.service, "entries", len(lost))
	w.backlog = append(lost, w.backlog...)
	return nil
}

// unsettledElsewhere says whether the batch asks for a key that another daemon
// claimed and whose outcome is not known here.
func (w *writer) unsettledElsewhere(batch []*command) bool {
	for _, c := range batch {
		if c.answer == nil {
			continue
		}
		seen, known := w.journal.ledger.Lookup(time.Now(), c.entry.Key, c.entry.Fingerprint)
		if seen == Pending && !w.runsHere(known.token) {
			return true
		}
	}
	return false
}

// tryWrite decides every claim against the ledger and appends what is new.
func (w *writer) tryWrite(ctx context.Context, batch []*command) error {
	now := time.Now()
	answers := make([]verdict, len(batch))
	entries := append([]Entry(nil), w.backlog...)
	taken := make(map[string]bool)
	unsettled := w.executor.unsettledFor(w.executor.options.Now())
	for index, c := range batch {
		if c.answer == nil {
			continue
		}
		if w.journal.ledger.HasClaim(c.entry.Key, c.entry.Token) {
			// An earlier try took effect though its answer was lost.
			answers[index] = verdict{claim: w.claim(c)}
			continue
		}
		if taken[c.entry.Key] {
			answers[index] = verdict{failure: inProgress()}
			continue
		}
		seen, known := w.journal.ledger.Lookup(now, c.entry.Key, c.entry.Fingerprint)
		if seen != Unclaimed {
			answers[index] = w.seen(seen, known)
			continue
		}
		if unsettled > 0 {
			answers[index] = verdict{failure: &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the store came back older, and claims that it lost may not be written again yet", RetryAfter: unsettled}}
			continue
		}
		c.entry.At = now.UnixMilli()
		taken[c.entry.Key] = true
		entries = append(entries, c.entry)
		answers[index] = verdict{claim: w.claim(c)}
	}
	if len(entries) > 0 {
		if err := w.journal.append(ctx, entries); err != nil {
			return err
		}
		w.backlog = nil
	}
	w.answer(batch, answers)
	return nil
}

func (w *writer) claim(c *command) *Claim {
	return &Claim{writer: w, entry: c.entry, begun: c.begun, lifetime: ClaimLifetime}
}

func (w *writer) answer(batch []*command, answers []verdict) {
	for index, c := range batch {
		if c.answer == nil {
			continue
		}
		if answers[index].claim != nil {
			w.remember(c.entry.Token)
		}
		c.answer <- answers[index]
	}
}

// seen answers a claim of a key that was seen before.
func (w *writer) seen(seen KeyState, known record) verdict {
	switch {
	case seen == Reused:
		return verdict{failure: &resultcode.Failure{Code: resultcode.KeyReused, Detail: "the key was used with another method, path or body"}}
	case seen == Completed && known.result.Complete:
		return verdict{result: known.result}
	case seen == Completed:
		return verdict{failure: &resultcode.Failure{Code: resultcode.OperationUnknown, Detail: "the operation ran, but its answer could not be kept"}}
	case w.runsHere(known.token):
		return verdict{failure: inProgress()}
	}
	return verdict{failure: &resultcode.Failure{Code: resultcode.OperationUnknown, Detail: "an earlier request with this key was claimed and its outcome was never recorded"}}
}

func inProgress() *resultcode.Failure {
	return &resultcode.Failure{Code: resultcode.OperationInProgress, Detail: "a request with this key is running", RetryAfter: time.Second}
}
