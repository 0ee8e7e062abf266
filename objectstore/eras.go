package objectstore

import (
	"log/slog"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// errEarlierEra is the cause given where an answer is of an era that has ended. A write that was answered so
// may be lost.
const errEarlierEra = errors.ConstError("answer of an earlier era of the store")

// EraTracker follows which era a store is in, as its answers and other daemons tell. The zero value is in the first
// era. It is safe for concurrent use.
type EraTracker struct {
	mutex      sync.Mutex
	log        *slog.Logger // nil: nothing is logged
	newest     uint64
	known      bool // some answer or daemon has told an era
	unreadable bool // a header that cannot be read was logged
}

// SetLogger sets where a new era is logged.
func (e *EraTracker) SetLogger(log *slog.Logger) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.log = log
}

// Latest returns the highest era told.
func (e *EraTracker) Latest() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.newest
}

// ObserveHeader returns the era of an answer with this header, which is the newest one where the header is missing or
// cannot be read. The error is ErrOutcomeUnknown where a later era has begun since.
func (e *EraTracker) ObserveHeader(header string) (uint64, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if header == "" {
		return e.newest, nil
	}
	era, err := strconv.ParseUint(header, 10, 64)
	if err != nil || era > MaxEra {
		e.noteUnreadable(header)
		return e.newest, nil
	}
	if e.known && era < e.newest {
		return era, errors.WithType(errEarlierEra, ErrOutcomeUnknown)
	}
	e.rise(era, "answer")
	return era, nil
}

// ObserveEra notes an era that another daemon has seen.
func (e *EraTracker) ObserveEra(era uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if era > e.newest {
		e.rise(era, "another daemon")
	}
}

// rise notes an era that is no earlier than the newest one. The caller holds the mutex.
func (e *EraTracker) rise(era uint64, source string) {
	if e.known && era > e.newest && e.log != nil {
		e.log.Warn("the store came back older: what it acknowledged last may be lost", "era", era, "era_before", e.newest, "source", source)
	}
	e.newest, e.known = era, true
}

// noteUnreadable logs the first header that cannot be read. The caller holds the mutex.
func (e *EraTracker) noteUnreadable(header string) {
	const quoted = 40
	if e.unreadable || e.log == nil {
		return
	}
	e.unreadable = true
	e.log.Warn("era of the store cannot be read", "value", header[:min(len(header), quoted)])
}
