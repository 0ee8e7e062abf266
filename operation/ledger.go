package operation

import "time"

// EntryKind is the kind of a journal entry.
type EntryKind string

// Kinds of entries.
const (
	Claimed  EntryKind = "claimed"
	Finished EntryKind = "finished"
	Released EntryKind = "released" // claimed, and known not to have run
)

// Entry is one record in a journal.
type Entry struct {
	Kind        EntryKind `json:"kind"`
	Key         string    `json:"key"`
	Token       string    `json:"token"` // unique per claim
	Fingerprint uint64    `json:"fingerprint,omitempty"`
	At          int64     `json:"at"` // Unix milliseconds, by the writer's clock
	Result      *Result   `json:"result,omitempty"`
}

// Result is the recorded response of an operation that has run.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Complete    bool   `json:"complete"` // false: the response was not recorded in full
}

// record is the current state of one key.
type record struct {
	kind        EntryKind
	token       string
	fingerprint uint64
	at          int64
	result      *Result
}

// Ledger is the state that results from applying a journal's entries. It does no I/O and is not
// safe for concurrent use.
type Ledger struct {
	retention time.Duration
	records   map[string]record
}

// NewLedger returns an empty ledger. A key expires when retention has passed since its last
// entry.
func NewLedger(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, records: make(map[string]record)}
}

// Apply applies an entry. Finished and Released entries have no effect unless their token is that
// of the key's current claim.
func (l *Ledger) Apply(entry Entry) {
	current, found := l.records[entry.Key]
	switch entry.Kind {
	case Claimed:
		l.records[entry.Key] = record{kind: Claimed, token: entry.Token, fingerprint: entry.Fingerprint, at: entry.At}
	case Finished:
		if found && current.token == entry.Token {
			current.kind, current.result, current.at = Finished, entry.Result, entry.At
			l.records[entry.Key] = current
		}
	case Released:
		if found && current.token == entry.Token && current.kind == Claimed {
			delete(l.records, entry.Key)
		}
	}
}

// KeyState is the state of a key as seen by a request that wants to claim it.
type KeyState int

// States of a key.
const (
	// Unclaimed: the key may be claimed.
	Unclaimed KeyState = iota
	// Completed: the operation has run and its outcome is recorded.
	Completed
	// Pending: the key is claimed and no outcome is recorded.
	Pending
	// Reused: the key was claimed for a different request.
	Reused
)

// Lookup returns the state of a key at the given time, and its record unless it is unclaimed.
func (l *Ledger) Lookup(now time.Time, key string, fingerprint uint64) (KeyState, record) {
	current, found := l.records[key]
	switch {
	case !found || l.expired(now, current.at):
		return Unclaimed, record{}
	case current.fingerprint != fingerprint:
		return Reused, current
	case current.kind == Finished:
		return Completed, current
	}
	return Pending, current
}

// HasClaim reports whether the token is that of the key's current claim.
func (l *Ledger) HasClaim(key, token string) bool {
	current, found := l.records[key]
	return found && current.token == token
}

func (l *Ledger) expired(now time.Time, at int64) bool {
	return now.Sub(time.UnixMilli(at)) > l.retention
}

// MissingFrom returns the claims and outcomes that this ledger holds and the other lacks, as
// entries to append. Expired keys, and keys that the other ledger holds with a different claim,
// are left out.
func (l *Ledger) MissingFrom(other *Ledger, now time.Time) []Entry {
	var missing []Entry
	for key, own := range l.records {
		otherRecord, found := other.records[key]
		if l.expired(now, own.at) || found && otherRecord.token != own.token {
			continue
		}
		if !found {
			missing = append(missing, Entry{Kind: Claimed, Key: key, Token: own.token, Fingerprint: own.fingerprint, At: own.at})
		}
		if own.kind == Finished && otherRecord.kind != Finished {
			missing = append(missing, Entry{Kind: Finished, Key: key, Token: own.token, At: own.at, Result: own.result})
		}
	}
	return missing
}

// Expire removes the keys whose retention has passed.
func (l *Ledger) Expire(now time.Time) {
	for key, current := range l.records {
		if l.expired(now, current.at) {
			delete(l.records, key)
		}
	}
}

// Len returns the number of keys.
func (l *Ledger) Len() int {
	return len(l.records)
}
