package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against doubting a version because of a few back ends that are briefly slow: responses of one back end are
// not independent of each other. The same number of bad responses from all back ends does raise doubt.
func TestBadResponsesOfFewBackendsAreNotAnExcess(t *testing.T) {
	const (
		backends  = 10
		responses = 80
		expected  = 0.2
	)
	for _, concentrated := range []bool{true, false} {
		var monitor excessMonitor
		now := time.Unix(1_700_000_000, 0)
		for number := range responses {
			backend := number % backends
			bad := number/backends%2 == 0 // half of the responses of each back end
			if concentrated {
				bad = backend < backends/2-1 // all responses of fewer than half of the back ends
			}
			now = now.Add(50 * time.Millisecond)
			monitor.add(now, fmt.Sprint(backend), bad, expected)
		}
		require.Equal(t, !concentrated, monitor.exceeds(now, maxSlowExcess))
	}
}
