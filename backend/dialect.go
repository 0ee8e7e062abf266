package backend

// Dialect is how callers and back ends spell what travels with a request, and
// what may be expected of them.
type Dialect struct {
	// RequestID is the header that identifies a request.
	RequestID string
	// Deadline is the header that holds the milliseconds that remain.
	Deadline string
	// Instance is the header that names the back end a request is meant for;
	// any other one refuses it with 421. Empty: it is not sent.
	Instance string
	// ProbedInstance is the header of a health answer that names the back end which gives it.
	// Empty: none does.
	ProbedInstance string
	// Tenant is the header that names the tenant whose key a request carries. What a caller
	// sends under this name is not passed on. Empty: it is not sent.
	Tenant string
	// NotRun is the header by which a back end says that it did not run a
	// request. Empty: a service's refusal status says so.
	NotRun string
	// Report is the header that carries a back end's load on its answers.
	Report string
	// ParseReport reads that header. It returns false when the value has no
	// usable count.
	ParseReport func(value string) (Report, bool)
	// RequestLimit is the header of an answer that holds how many requests a second the back end
	// takes from all daemons together; see package backendlimit. Empty: none does.
	RequestLimit string
	// Draining is the header of an answer by which a back end says that it is leaving, or is back.
	Draining string
	// ParseDraining reads the values of that header. The error says why none of them could be read.
	ParseDraining func(values []string) (Draining, error)
	// WarmUpLeft is the header of a health answer that holds for how many milliseconds the
	// back end remains cold. Empty: none does.
	WarmUpLeft string
	// SelfPrefix begins the headers of answers by which a back end speaks of itself. Those that are
	// neither read nor among PassedOn are told to operators. Empty: none are looked for.
	SelfPrefix string
	// CallerOnlyHeaders are headers with that prefix that are for callers only.
	CallerOnlyHeaders []string
	// EchoesRequestID: every answer carries the id of its request. An answer
	// without it, or with another one, is refused.
	EchoesRequestID bool
	// Transparent: nothing is added to a request besides the headers above.
	Transparent bool
	// FractionalRetryAfter: callers understand fractions of a second there.
	FractionalRetryAfter bool
}

// Headers of the project's own dialect.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "Tuliphall-Deadline-Ms"
	HeaderTenant    = "Tuliphall-Tenant"
	// headerSelfPrefix begins what back ends say of themselves.
	headerSelfPrefix = "Endpoint-"
)

// DefaultDialect is the project's own.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID: HeaderRequestID, Deadline: HeaderDeadline, Tenant: HeaderTenant, Report: HeaderReport, ParseReport: ParseReport,
		Draining: HeaderDraining, ParseDraining: ParseDraining, RequestLimit: HeaderRequestLimit, SelfPrefix: headerSelfPrefix,
	}
}
