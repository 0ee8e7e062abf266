package resultcode

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/logging"
)

// ProblemType is the media type of a problem body (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is the JSON body of a response that the load balancer itself generates.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Code      Code     `json:"code"`
	Run       RunState `json:"run"`
	RequestID string   `json:"request_id,omitempty"`
}

// Failure is an error with a result code.
type Failure struct {
	Code Code
	// Detail is told to the caller. It must not contain anything that a back end or the platform has sent: errors of libraries
	// quote what they could not read, which may be another caller's.
	Detail string
	// Cause is only logged; nil: there is none.
	Cause      error
	RetryAfter time.Duration // 0: Retry-After is not sent
}

// Error returns the code's name, the detail and the cause.
func (f *Failure) Error() string {
	return f.Code.String() + ": " + f.LogText()
}

// LogText returns the detail and the cause, which is shortened and escaped.
func (f *Failure) LogText() string {
	if f.Cause == nil {
		return f.Detail
	}
	return f.Detail + ": " + logging.ExcerptOfError(f.Cause)
}

// AsFailure returns the Failure in err's chain, or nil if err is nil. Any other error becomes the cause of a
// Failure with defaultCode.
func AsFailure(err error, defaultCode Code) *Failure {
	if err == nil {
		return nil
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Code: defaultCode, Detail: defaultCode.Info().Title, Cause: err}
}

// formatRetryAfter formats RetryAfter in seconds, rounded up to whole seconds unless fractional
// is set.
func (f *Failure) formatRetryAfter(fractional bool) string {
	if fractional {
		return strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
}

// Write sends the failure as a problem response. Nothing may have been written to w before.
// fractional states whether the client accepts fractions of a second in Retry-After.
func (f *Failure) Write(w http.ResponseWriter, requestID string, fractional bool) {
	info := f.Code.Info()
	header := w.Header()
	header.Set("Content-Type", ProblemType)
	header.Set(HeaderCode, strconv.Itoa(int(f.Code)))
	header.Set(HeaderRun, string(info.Run))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", f.formatRetryAfter(fractional))
	}
	w.WriteHeader(info.Status)
	body := Problem{
		Type:      "urn:tuliphall:" + info.Name,
		Title:     info.Title,
		Status:    info.Status,
		Detail:    f.Detail,
		Code:      f.Code,
		Run:       info.Run,
		RequestID: requestID,
	}
	// The error is ignored: it means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
