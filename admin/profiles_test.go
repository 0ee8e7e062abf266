package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProfilesLeaveProcessorTime guards against clients that ask for one profile after the other, by which the daemon no longer
// answers the question for readiness.
func TestProfilesLeaveProcessorTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 100 * time.Millisecond
		var p profiles
		handler := p.exclusive(func(http.ResponseWriter, *http.Request) { time.Sleep(duration) })
		ask := func() int {
			recorder := httptest.NewRecorder()
			handler(recorder, httptest.NewRequest(http.MethodGet, PathProfile, nil))
			return recorder.Code
		}
		go ask()
		synctest.Wait()
		require.Equal(t, http.StatusServiceUnavailable, ask(), "another one is being taken")
		time.Sleep(duration)
		synctest.Wait()
		time.Sleep(profilePause*duration - 1)
		require.Equal(t, http.StatusServiceUnavailable, ask(), "another one was just taken")
		time.Sleep(time.Nanosecond)
		require.Equal(t, http.StatusOK, ask())
		time.Sleep(maxProfilePause)
		require.Equal(t, http.StatusOK, ask())
	})
}
