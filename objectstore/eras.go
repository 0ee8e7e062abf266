package objectstore

import (
	"log/slog"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// errEarlierEra is the cause of the error for a response from an era that has ended. A write that got such a response
// may be lost.
const errEarlierEra = errors.ConstError("answer of an earlier era of the store")

// EraTracker tracks the era of a store from the store's responses and from what other daemons report. The zero value is
// in the first era. It is safe for concurrent use.
type EraTracker struct {
	mutex         sync.Mutex
	log           *slog.Logger // nil: nothing is logged
	latest        uint64
	known         bool // a response or another daemon has reported an era
	loggedInvalid bool // an invalid header has been logged
}

// SetLogger sets the logger for new eras and invalid headers.
func (e *EraTracker) SetLogger(log *slog.Logger) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.log = log
}

// Latest returns the highest era that was observed.
func (e *EraTracker) Latest() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.latest
}

// ObserveHeader records and returns the era in the header of a response. If the header is missing or invalid, it returns
// the latest era. The error is ErrOutcomeUnknown if a later era has already been observed.
func (e *EraTracker) ObserveHeader(header string) (uint64, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if header == "" {
		return e.latest, nil
	}
	era, err := strconv.ParseUint(header, 10, 64)
	if err != nil || era > MaxEra {
		e.logInvalidHeader(header)
		return e.latest, nil
	}
	if e.known && era < e.latest {
		return era, errors.WithType(errEarlierEra, ErrOutcomeUnknown)
	}
	e.advance(era, "answer")
	return era, nil
}

// ObserveEra records an era that another daemon has observed.
func (e *EraTracker) ObserveEra(era uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if era > e.latest {
		e.advance(era, "another daemon")
	}
}

// advance records an era that is not earlier than the latest one. The caller holds the mutex.
func (e *EraTracker) advance(era uint64, source string) {
	if e.known && era > e.latest && e.log != nil {
		e.log.Warn("the store came back older: what it acknowledged last may be lost", "era", era, "era_before", e.latest, "source", source)
	}
	e.latest, e.known = era, true
}

// logInvalidHeader logs the first invalid header. The caller holds the mutex.
func (e *EraTracker) logInvalidHeader(header string) {
	const maxLogged = 40
	if e.loggedInvalid || e.log == nil {
		return
	}
	e.loggedInvalid = true
	e.log.Warn("invalid era in a response of the store", "value", header[:min(len(header), maxLogged)])
}
