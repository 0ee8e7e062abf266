package admin

import (
	"net/http"
	"net/http/pprof"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// profilePause is how long no profile is taken after one, in multiples of the time that it took: taking one stops the daemon
	// for a part of that time.
	profilePause    = 9
	maxProfilePause = 10 * time.Second
	// profileTimeout bounds the time to take and send a profile.
	profileTimeout = 5 * time.Minute
	// profileRetryAfter is when a refused operator may ask again.
	profileRetryAfter = time.Second
)

// errProfileBusy is the error of a profile that is not taken because of another one.
var errProfileBusy = errors.New("another profile is being taken, or was just taken")

// profiles serves profiles of the process, one at a time.
type profiles struct {
	mutex  sync.Mutex
	taking bool
	next   time.Time // no profile is taken before
}

// exclusive returns the handler of a kind of profile, which refuses a request while another profile is being taken and for a
// while after it.
func (p *profiles) exclusive(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		if !p.begin(began) {
			w.Header().Set("Retry-After", strconv.Itoa(int(profileRetryAfter/time.Second)))
			writeError(w, http.StatusServiceUnavailable, ErrorUnavailable, errProfileBusy)
			return
		}
		defer func() { p.end(began, time.Now()) }()
		controller := http.NewResponseController(w)
		// Errors mean that the connection has been closed.
		_ = controller.SetWriteDeadline(began.Add(profileTimeout))
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
		handler(w, r)
	}
}

func (p *profiles) begin(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.taking || now.Before(p.next) {
		return false
	}
	p.taking = true
	return true
}

func (p *profiles) end(began, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.taking = false
	p.next = now.Add(min(profilePause*now.Sub(began), maxProfilePause))
}

// add adds the handlers of all kinds of profile.
func (p *profiles) add(served endpoints) {
	served[Endpoint{Path: PathProfile}] = p.exclusive(pprof.Index)
	served[Endpoint{Path: PathProfile + "profile"}] = p.exclusive(pprof.Profile)
}
