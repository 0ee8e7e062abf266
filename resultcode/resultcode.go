// Package resultcode defines a numeric code for each result of a request in the load
// balancer, and whether a back end ran the request.
//
// Callers get the code and the run state in the headers HeaderCode and HeaderRun, and in
// the problem body (RFC 9457) of a refusal. The table in docs/result-codes.md lists the
// same codes; a test compares the two.
package resultcode

import "net/http"

// HeaderCode is the header of every response that holds the result code.
const HeaderCode = "Tuliphall-Code"

// HeaderRun is the header of every response that holds the run state: run, not-run or unknown.
const HeaderRun = "Tuliphall-Run"

// RunState is whether a back end ran the request.
type RunState string

// The run states. NotRun is a guarantee: no byte of the request reached a back end that
// acted on it. Unknown means that neither run state can be guaranteed.
const (
	Run     RunState = "run"
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)

// Code is a result code.
type Code int

// The result codes. 1xxx: answered. 2xxx: not run. 3xxx: outcome unknown.
const (
	Answered            Code = 1000
	Replayed            Code = 1001
	NoService           Code = 2001
	BadRequest          Code = 2002
	QueueFull           Code = 2003
	DeadlineTooShort    Code = 2004
	WaitExpired         Code = 2005
	NoBackend           Code = 2006
	ConnectFailed       Code = 2007
	BackendRefused      Code = 2008
	KeyMissing          Code = 2009
	KeyReused           Code = 2010
	StoreUnavailable    Code = 2011
	OperationInProgress Code = 2012
	Stopping            Code = 2013
	NotConfigured       Code = 2014
	CallerGone          Code = 2015
	PeerUnreachable     Code = 2016
	AmbiguousRequest    Code = 2017
	CrashingRequest     Code = 2018
	Unauthorized        Code = 2019
	RateExceeded        Code = 2020
	BackendsPaused      Code = 2021
	BackendsUnreachable Code = 2022
	HeadTooLarge        Code = 2023
	BodyTooLarge        Code = 2024
	HeadTooSlow         Code = 2025
	Overloaded          Code = 2026
	ConnectionBroken    Code = 3001
	DeadlineExceeded    Code = 3002
	OperationUnknown    Code = 3003
	AnswerUnverifiable  Code = 3004
	PeerBroken          Code = 3005
	CallerGoneAfterSend Code = 3006
	BodyAborted         Code = 3007
)

// MissingConfiguration reports whether the code means that a daemon did not run the request
// because it has no configuration, service or back ends for it, which another daemon may have.
func (c Code) MissingConfiguration() bool {
	switch c {
	case NoService, NoBackend, NotConfigured:
		return true
	}
	return false
}

// Info describes a result code for callers and for the documentation.
type Info struct {
	Code   Code
	Name   string
	Run    RunState
	Status int // HTTP status sent with the code; 0: the status of the back end is forwarded
	Title  string
}

var table = []Info{
	{Answered, "answered", Run, 0, "A back end answered."},
	{Replayed, "replayed", Run, 0, "The recorded answer of an earlier run with the same key."},
	{NoService, "no-service", NotRun, http.StatusNotFound, "No service matches the request."},
	{BadRequest, "bad-request", NotRun, http.StatusBadRequest, "The request has a header that cannot be read."},
	{QueueFull, "queue-full", NotRun, http.StatusServiceUnavailable, "The wait queue is full and the request does not outweigh another."},
	{DeadlineTooShort, "deadline-too-short", NotRun, http.StatusServiceUnavailable, "No place in time is likely at the present load, or no answer could come before the deadline."},
	{WaitExpired, "wait-expired", NotRun, http.StatusServiceUnavailable, "The request waited as long as its policy allows."},
	{NoBackend, "no-backend", NotRun, http.StatusServiceUnavailable, "No back end of the service takes requests."},
	{ConnectFailed, "connect-failed", NotRun, http.StatusServiceUnavailable, "No connection to a back end could be opened."},
	{BackendRefused, "backend-refused", NotRun, http.StatusServiceUnavailable, "The back ends refused the request before running it."},
	{KeyMissing, "key-missing", NotRun, http.StatusBadRequest, "The operation needs a key and has none."},
	{KeyReused, "key-reused", NotRun, http.StatusUnprocessableEntity, "The operation key was used with another request."},
	{StoreUnavailable, "store-unavailable", NotRun, http.StatusServiceUnavailable, "The operation could not be claimed in the platform's store."},
	{OperationInProgress, "operation-in-progress", NotRun, http.StatusConflict, "An earlier request with this key is still running; this one was not run."},
	{Stopping, "stopping", NotRun, http.StatusServiceUnavailable, "The daemon is stopping."},
	{NotConfigured, "not-configured", NotRun, http.StatusServiceUnavailable, "The daemon has no configuration yet."},
	{CallerGone, "caller-gone", NotRun, 499, "The caller left before the request was sent."},
	{PeerUnreachable, "peer-unreachable", NotRun, http.StatusServiceUnavailable, "The daemon that dispatches the service could not be reached."},
	{AmbiguousRequest, "ambiguous-request", NotRun, http.StatusBadRequest, "The request's head could be read in two ways."},
	{CrashingRequest, "crashing-request", NotRun, http.StatusServiceUnavailable, "Back ends ended while they ran this request, or an operator holds it back."},
	{Unauthorized, "unauthorized", NotRun, http.StatusUnauthorized, "The request has no key, or one that no tenant has."},
	{RateExceeded, "rate-exceeded", NotRun, http.StatusTooManyRequests, "The tenant has asked for more than its rate and burst."},
	{BackendsPaused, "backends-paused", NotRun, http.StatusServiceUnavailable, "Every back end has asked the daemon for a pause that lasts too long for the request."},
	{BackendsUnreachable, "backends-unreachable", NotRun, http.StatusServiceUnavailable, "Neither the daemon nor any other that it asked reaches the back ends."},
	{HeadTooLarge, "head-too-large", NotRun, http.StatusRequestHeaderFieldsTooLarge, "The request's head is larger than the operator's limit."},
	{BodyTooLarge, "body-too-large", NotRun, http.StatusRequestEntityTooLarge, "The request's body is larger than the operator's limit."},
	{HeadTooSlow, "head-too-slow", NotRun, http.StatusRequestTimeout, "The request's head did not arrive within the operator's limit."},
	{Overloaded, "overloaded", NotRun, http.StatusServiceUnavailable, "The daemon has no memory or processor time for the request at present."},
	{ConnectionBroken, "connection-broken", Unknown, http.StatusBadGateway, "The connection to the back end broke after the request was sent."},
	{DeadlineExceeded, "deadline-exceeded", Unknown, http.StatusGatewayTimeout, "The deadline passed after the request was sent."},
	{OperationUnknown, "operation-unknown", Unknown, http.StatusConflict, "An earlier request with this key ended without a known outcome."},
	{AnswerUnverifiable, "answer-unverifiable", Unknown, http.StatusBadGateway, "The back end's answer cannot be shown to be whole or to belong to the request."},
	{PeerBroken, "peer-broken", Unknown, http.StatusBadGateway, "The connection to the dispatching daemon broke after the request was sent."},
	{CallerGoneAfterSend, "caller-gone-after-send", Unknown, 499, "The caller left after the request was sent."},
	{BodyAborted, "body-aborted", Unknown, http.StatusBadGateway, "The request's body proved larger than the operator's limit after a part of it was sent."},
}

// Table returns all codes in ascending order.
func Table() []Info {
	return append([]Info(nil), table...)
}

// Info returns the description of the code. An unlisted code has the run state Unknown.
func (c Code) Info() Info {
	for _, info := range table {
		if info.Code == c {
			return info
		}
	}
	return Info{Code: c, Name: "unlisted", Run: Unknown, Status: http.StatusBadGateway, Title: "Unlisted code."}
}

// String returns the code's name.
func (c Code) String() string {
	return c.Info().Name
}
