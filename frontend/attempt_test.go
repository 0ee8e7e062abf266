package frontend

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
)

// TestWorseFailureIsTold guards against the caller being told "not run" although an earlier attempt
// may have run the request.
func TestWorseFailureIsTold(t *testing.T) {
	failure := func(code resultcode.Code) *resultcode.Failure { return &resultcode.Failure{Code: code} }
	for _, one := range []struct {
		name           string
		earlier, later *resultcode.Failure
		want           resultcode.Code
	}{
		{"the first", nil, failure(resultcode.QueueFull), resultcode.QueueFull},
		{"neither ran", failure(resultcode.BackendRefused), failure(resultcode.WaitExpired), resultcode.WaitExpired},
		{"the earlier may have run", failure(resultcode.ConnectionBroken), failure(resultcode.WaitExpired), resultcode.ConnectionBroken},
		{"the later may have run", failure(resultcode.BackendRefused), failure(resultcode.ConnectionBroken), resultcode.ConnectionBroken},
		{"both may have run", failure(resultcode.ConnectionBroken), failure(resultcode.DeadlineExceeded), resultcode.DeadlineExceeded},
	} {
		require.Equal(t, one.want, failureToReport(one.earlier, one.later).Code, one.name)
	}
}
