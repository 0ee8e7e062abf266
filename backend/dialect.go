package backend

import "net/http"

// Dialect defines the headers that callers and back ends use, and which behavior
// can be expected of them.
type Dialect struct {
	// RequestID is the header that identifies a request.
	RequestID string
	// Deadline is the header that holds the remaining time in milliseconds.
	Deadline string
	// Instance is the header that names the intended back end of a request;
	// any other one rejects it with status 421. Empty: it is not sent.
	Instance string
	// ProbedInstance is the header of a health check response that names the responding
	// back end. Empty: none.
	ProbedInstance string
	// Tenant is the header that names the tenant whose key a request carries. A value that
	// a caller sends is not forwarded. Empty: it is not sent.
	Tenant string
	// NotRun is the response header that says that the back end did not run the
	// request. Empty: the refusal status of the service says so.
	NotRun string
	// Report is the response header that carries the load of the back end.
	Report string
	// ParseReport parses that header. It returns false if the value has no
	// usable number of requests in flight.
	ParseReport func(value string) (Report, bool)
	// RequestLimit is the response header that holds how many requests per second the back end
	// accepts from all daemons together; see package backendlimit. Empty: none.
	RequestLimit string
	// Draining is the response header that says that the back end started or stopped draining.
	Draining string
	// ParseDraining parses the values of that header. It returns an error if none is valid.
	ParseDraining func(values []string) (Draining, error)
	// WarmUpLeft is the header of a health check response that holds the remaining warm-up
	// time of the back end in milliseconds. Empty: none.
	WarmUpLeft string
	// SelfPrefix is the prefix of the response headers by which a back end describes its own
	// state. Those that are neither read nor in CallerOnlyHeaders are logged. Empty: headers are
	// not checked.
	SelfPrefix string
	// CallerOnlyHeaders are headers with that prefix that are meant for callers only.
	CallerOnlyHeaders []string
	// EchoesRequestID: every response carries the id of its request. A response
	// without it, or with another one, is rejected.
	EchoesRequestID bool
	// Transparent: no header is added to a request except those above.
	Transparent bool
	// FractionalRetryAfter: callers understand fractions of a second in Retry-After.
	FractionalRetryAfter bool
}

// Refuses reports whether a response states that the back end did not run the request. refusalStatus
// is the status with which back ends of the service refuse requests; 0: none.
func (d *Dialect) Refuses(response *http.Response, refusalStatus int) bool {
	switch {
	case d.NotRun != "" && response.Header.Get(d.NotRun) != "":
		return true
	case d.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest:
		return true
	}
	return refusalStatus != 0 && response.StatusCode == refusalStatus
}

// Headers of the project's own dialect.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Tuliphall-Deadline-Ms"
	HeaderTenant    = "Tuliphall-Tenant"
	// headerSelfPrefix is the prefix of headers by which back ends describe their state.
	headerSelfPrefix = "Endpoint-"
)

// DefaultDialect returns the project's own dialect.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Tenant: HeaderTenant, Report: HeaderReport, ParseReport: ParseReport,
		Draining: HeaderDraining, ParseDraining: ParseDraining, RequestLimit: HeaderRequestLimit, SelfPrefix: headerSelfPrefix,
	}
}
