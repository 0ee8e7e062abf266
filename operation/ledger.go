package operation

import "time"

// EntryKind says what an entry records.
type EntryKind string

// The kinds of entry.
const (
	Claimed  EntryKind = "claimed"
	Finished EntryKind = "finished"
	Released EntryKind = "released" // claimed, and certainly not run
)

// Entry is one line of a journal.
type Entry struct {
	Kind        EntryKind `json:"kind"`
	Key         string    `json:"key"`
	Token       string    `json:"token"` // unique to one claim
	Fingerprint uint64    `json:"fingerprint,omitempty"`
	At          int64     `json:"at"` // unix milliseconds, by the writer's clock
	Result      *Result   `json:"result,omitempty"`
}

// Result is the recorded answer of an operation that has run.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Complete    bool   `json:"complete"` // false: the answer could not be kept whole
}

// record is what the ledger knows of one key.
type record struct {
	kind        EntryKind
	token       string
	fingerprint uint64
	at          int64
	result      *Result
}

// Ledger is the state that a journal's entries lead to. It is pure and not safe
// for concurrent use.
type Ledger struct {
	retention time.Duration
	records   map[string]record
}

// NewLedger returns an empty ledger that forgets a key when retention has
// passed since its last entry.
func NewLedger(retention time.Duration) *Ledger {
	return &Ledger{retention: retention, records: make(map[string]record)}
}

// Apply takes in an entry. Entries of a claim that is not the key's present one
// change nothing.
func (l *Ledger) Apply(entry Entry) {
	present, known := l.records[entry.Key]
	switch entry.Kind {
	case Claimed:
		l.records[entry.Key] = record{kind: Claimed, token: entry.Token, fingerprint: entry.Fingerprint, at: entry.At}
	case Finished:
		if known && present.token == entry.Token {
			present.kind, present.result, present.at = Finished, entry.Result, entry.At
			l.records[entry.Key] = present
		}
	case Released:
		if known && present.token == entry.Token && present.kind == Claimed {
			delete(l.records, entry.Key)
		}
	}
}

// KeyState says whether a key may be claimed.
type KeyState int

// The verdicts.
const (
	// Unclaimed: the key may be claimed.
	Unclaimed KeyState = iota
	// Completed: the operation has run; its answer is recorded.
	Completed
	// Pending: the key is claimed and no outcome is recorded.
	Pending
	// Reused: the key belongs to a different request.
	Reused
)

// Lookup says whether a key may be claimed at this time.
func (l *Ledger) Lookup(now time.Time, key string, fingerprint uint64) (KeyState, record) {
	present, known := l.records[key]
	switch {
	case !known || l.expired(now, present.at):
		return Unclaimed, record{}
	case present.fingerprint != fingerprint:
		return Reused, present
	case present.kind == Finished:
		return Completed, present
	}
	return Pending, present
}

// HasClaim says whether a claim's token is the key's present one.
func (l *Ledger) HasClaim(key, token string) bool {
	present, known := l.records[key]
	return known && present.token == token
}

func (l *Ledger) expired(now time.Time, at int64) bool {
	return now.Sub(time.UnixMilli(at)) > l.retention
}

// MissingFrom returns the entries that another ledger lacks to know of each claim and outcome what this one does. A key that
// is claimed anew there is left as it is.
func (l *Ledger) MissingFrom(other *Ledger, now time.Time) []Entry {
	var missing []Entry
	for key, known := range l.records {
		theirs, claimed := other.records[key]
		if l.expired(now, known.at) || claimed && theirs.token != known.token {
			continue
		}
		if !claimed {
			missing = append(missing, Entry{Kind: Claimed, Key: key, Token: known.token, Fingerprint: known.fingerprint, At: known.at})
		}
		if known.kind == Finished && theirs.kind != Finished {
			missing = append(missing, Entry{Kind: Finished, Key: key, Token: known.token, At: known.at, Result: known.result})
		}
	}
	return missing
}

// Expire forgets the keys whose retention has passed.
func (l *Ledger) Expire(now time.Time) {
	for key, present := range l.records {
		if l.expired(now, present.at) {
			delete(l.records, key)
		}
	}
}

// Len returns the number of keys known.
func (l *Ledger) Len() int {
	return len(l.records)
}
