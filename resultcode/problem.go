package resultcode

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// ProblemType is the media type of a problem body (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is the JSON body of an answer that the load balancer itself wrote.
type Problem struct {
	Type      string   `json:"type"`
	Title     string   `json:"title"`
	Status    int      `json:"status"`
	Detail    string   `json:"detail,omitempty"`
	Code      Code     `json:"code"`
	Run       RunState `json:"run"`
	RequestID string   `json:"request_id,omitempty"`
}

// Failure is a result code with its particulars, as an error.
type Failure struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // 0: no advice is given
}

// Error returns the code's name and the detail.
func (f *Failure) Error() string {
	return f.Code.String() + ": " + f.Detail
}

// AsFailure returns the failure that an error is, nil for no error. Any other error
// becomes a failure of the given code with the error's text.
func AsFailure(err error, otherwise Code) *Failure {
	if err == nil {
		return nil
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Code: otherwise, Detail: err.Error()}
}

// retryAfter spells the advice in seconds, whole ones unless fractions are
// understood.
func (f *Failure) retryAfter(fractions bool) string {
	if fractions {
		return strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
}

// Write sends the failure as a problem answer. The caller must not have
// written anything to w before. fractions says whether a fraction of a second is
// understood as the time to come back.
func (f *Failure) Write(w http.ResponseWriter, requestID string, fractions bool) {
	info := f.Code.Info()
	header := w.Header()
	header.Set("Content-Type", ProblemType)
	header.Set(HeaderCode, strconv.Itoa(int(f.Code)))
	header.Set(HeaderRun, string(info.Run))
	if f.RetryAfter > 0 {
		header.Set("Retry-After", f.retryAfter(fractions))
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
	// A caller that has gone cannot be told; there is nobody to report to.
	_ = json.NewEncoder(w).Encode(body)
}
