package objectstub_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDisturbedAtTheStart lets a worker become disturbed right before requests reach it, long
// after its last report: what may be sent again goes to the other one within a few
// milliseconds, by whichever daemon it came, and not only when it has become slow.
func TestDisturbedAtTheStart(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.service["healthPath"] = "/health"
		f.configure("/one/")
		for _, one := range f.workers {
			one.change(func() { one.work = 100 * time.Millisecond })
		}
		for range 30 { // until the work, the usual slowdown and the right to probe are known
			f.load("/one/safe/", 50*time.Millisecond, time.Second)
		}
		late := 0
		for number := range 8 {
			one := f.workers[number%2]
			one.change(func() { one.disturbed = true })
			begun := time.Now()
			require.Equal(t, http.StatusOK, f.send(number%daemons, "/one/safe/").status)
			if time.Since(begun) > 160*time.Millisecond {
				late++
			}
			one.change(func() { one.disturbed = false })
			f.load("/one/safe/", 50*time.Millisecond, time.Second)
		}
		require.Zero(t, late)
		time.Sleep(time.Second)
		require.True(t, strings.Contains(f.logs.String(), `"hedge":"disturbed"`), "no second attempt was due for that")
	})
}
