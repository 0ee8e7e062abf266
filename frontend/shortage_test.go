package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestShortageIsRemembered guards against requests that are served ahead of their turn while others wait, and against
// pipelining that stays off.
func TestShortageIsRemembered(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, record := range map[string]func(s *shortage){
		"wait":    func(s *shortage) { s.recordWait(now, shortageWait) },
		"refusal": func(s *shortage) { s.recordFailure(now, resultcode.DeadlineTooShort) },
	} {
		var s shortage
		s.recordWait(now, shortageWait-1)
		s.recordFailure(now, resultcode.NoService)
		require.False(t, s.lasts(now), name)
		record(&s)
		require.True(t, s.lasts(now.Add(shortageDuration-1)), name)
		require.False(t, s.lasts(now.Add(shortageDuration)), name)
	}
}

// TestRequestsAheadComeAfterAnyPolicy guards against requests sent ahead that wait among those of a policy without a weight.
func TestRequestsAheadComeAfterAnyPolicy(t *testing.T) {
	program, err := policy.Compile(policy.Source{})
	require.NoError(t, err)
	decision, err := program.Evaluate(policy.Request{})
	require.NoError(t, err)
	require.Less(t, weightAhead, decision.Weight)
}
