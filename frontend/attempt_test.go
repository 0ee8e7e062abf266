package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
)

// TestFailureOfAttemptThatMayHaveRunIsReported guards against a response that states "not run" although an earlier
// attempt may have run the request.
func TestFailureOfAttemptThatMayHaveRunIsReported(t *testing.T) {
	failure := func(code resultcode.Code) *resultcode.Failure { return &resultcode.Failure{Code: code} }
	for _, test := range []struct {
		name           string
		earlier, later *resultcode.Failure
		want           resultcode.Code
	}{
		{"no earlier failure", nil, failure(resultcode.QueueFull), resultcode.QueueFull},
		{"neither attempt ran", failure(resultcode.BackendRefused), failure(resultcode.WaitExpired), resultcode.WaitExpired},
		{"only the earlier attempt may have run", failure(resultcode.ConnectionBroken), failure(resultcode.WaitExpired), resultcode.ConnectionBroken},
		{"only the later attempt may have run", failure(resultcode.BackendRefused), failure(resultcode.ConnectionBroken), resultcode.ConnectionBroken},
		{"both attempts may have run", failure(resultcode.ConnectionBroken), failure(resultcode.DeadlineExceeded), resultcode.DeadlineExceeded},
	} {
		require.Equal(t, test.want, failureToReport(test.earlier, test.later).Code, test.name)
	}
}
