// Package backendstub is a stub of a back end: a few slots with a queue, a noisy
// neighbour, load reports that can be wrong, and injected faults.
package backendstub

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/wait"
)

// Paths of the stub; all others take service time.
const (
	PathLoad    = "/load"
	PathStream  = "/stream" // ?pieces=N&every=DURATION
	PathEcho    = "/echo"
	PathUpgrade = "/upgrade"
)

// HeaderRequestName is the header with the name of a request, by which the stub
// counts how often it ran.
const HeaderRequestName = "Lab-Request"

// Fault is an injected fault.
type Fault string

// Faults.
const (
	FaultNone                Fault = ""
	FaultRejectAll           Fault = "reject-all"   // responds 503 immediately
	FaultError               Fault = "error"        // responds 500 immediately
	FaultCloseMidBody        Fault = "close-early"  // closes the connection within the body
	FaultCloseBeforeResponse Fault = "close-first"  // closes the connection before any response
	FaultWrongLength         Fault = "wrong-length" // sends fewer bytes than Content-Length
	FaultExtraResponse       Fault = "extra-bytes"  // sends a second, unsolicited response
	FaultUnframed            Fault = "unframed"     // sends neither Content-Length nor chunks
	FaultFreeze              Fault = "freeze"       // accepts requests and never responds
	FaultSilentWhenFull      Fault = "silent-full"  // never responds to a request for which no slot is free
)

// Options are the options of a stub.
type Options struct {
	Slots            int
	MeanServiceTime  time.Duration // mean service time of a request
	FixedServiceTime bool          // every request takes the mean; false: exponentially distributed
	Seed             uint64
	ProbeTime        time.Duration // slot time of a request to PathLoad
	Slowdown         float64       // service time factor while the neighbour is noisy; 0: none
	MeanNoisyPeriod  time.Duration // mean length of a noisy period
	MeanQuietPeriod  time.Duration // mean length of a quiet period
}

// Stub is a stub of one back end. It is safe for concurrent use.
type Stub struct {
	options Options
	slots   chan struct{}

	mutex           sync.Mutex
	random          *rand.Rand
	fault           Fault
	slowdown        float64
	draining        bool
	loadOffset      int    // added to the reported load
	requestLimit    string // reported maximum of requests per second; empty: none reported
	pushback        pushback
	inFlight        int
	runsByRequest   map[string]int
	runsByKey       map[string]int
	totalRuns       int
	probeTimes      []time.Time
	nextNoiseChange time.Time
	noisy           bool
}

// New returns a back end without faults.
func New(options Options) *Stub {
	if options.Slots == 0 {
		options.Slots = 3
	}
	return &Stub{
		options: options, slots: make(chan struct{}, options.Slots), slowdown: 1,
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)), runsByRequest: make(map[string]int), runsByKey: make(map[string]int),
	}
}

// SetFault sets the injected fault.
func (s *Stub) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetSlowdown multiplies the service time of every request.
func (s *Stub) SetSlowdown(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slowdown = factor
}

// SetDraining sets whether the back end reports that it is draining.
func (s *Stub) SetDraining(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = draining
}

// SetLoadOffset sets what is added to the reported load.
func (s *Stub) SetLoadOffset(added int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loadOffset = added
}

// SetRequestLimit sets the reported maximum of requests per second; empty reports none.
func (s *Stub) SetRequestLimit(perSecond string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requestLimit = perSecond
}

// pushback rejects some requests with Retry-After.
type pushback struct {
	retryAfter string
	every      int // one of this many requests is rejected; 0: none
	requests   int
}

// SetPushback makes the back end reject one of every so many requests with Retry-After; 0 rejects none.
func (s *Stub) SetPushback(retryAfter string, every int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pushback = pushback{retryAfter: retryAfter, every: every}
}

// nextPushback counts a request and reports whether to reject it, and with which Retry-After.
func (s *Stub) nextPushback() (retryAfter string, reject bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pushback.requests++
	return s.pushback.retryAfter, s.pushback.every > 0 && s.pushback.requests%s.pushback.every == 0
}

// TotalRuns returns the number of requests that ran.
func (s *Stub) TotalRuns() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.totalRuns
}

// ProbeTimes returns the times of requests to PathLoad.
func (s *Stub) ProbeTimes() []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]time.Time(nil), s.probeTimes...)
}

// RunsByRequest returns the number of runs of each named request.
func (s *Stub) RunsByRequest() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runsByRequest)
}

// RunsByKey returns the number of runs by idempotency key.
func (s *Stub) RunsByKey() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runsByKey)
}

// Handler returns the HTTP handler of the back end.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathLoad, s.load)
	mux.HandleFunc(PathStream, s.stream)
	mux.HandleFunc("/{service}"+PathStream, s.stream)
	mux.HandleFunc(PathUpgrade, s.upgrade)
	mux.HandleFunc("/", s.work)
	return mux
}

// acquireSlot waits for a slot. It returns false if the caller disconnects.
func (s *Stub) acquireSlot(ctx context.Context) bool {
	s.mutex.Lock()
	s.inFlight++
	s.mutex.Unlock()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		s.mutex.Lock()
		s.inFlight--
		s.mutex.Unlock()
		return false
	}
}

// tryAcquireSlot occupies a slot if one is free.
func (s *Stub) tryAcquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.inFlight++
		return true
	default:
		return false
	}
}

func (s *Stub) releaseSlot() {
	<-s.slots
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
}

// serviceTime draws the service time of a request that starts now.
func (s *Stub) serviceTime(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	factor := s.slowdown
	if s.options.Slowdown > 0 {
		s.advanceNoise(now)
		if s.noisy {
			factor *= s.options.Slowdown
		}
	}
	length := float64(s.options.MeanServiceTime)
	if !s.options.FixedServiceTime {
		length *= s.random.ExpFloat64()
	}
	return time.Duration(length * factor)
}

// advanceNoise advances the state of the noisy neighbour to now.
func (s *Stub) advanceNoise(now time.Time) {
	if s.nextNoiseChange.IsZero() {
		s.nextNoiseChange = now.Add(s.noisePeriod(s.options.MeanQuietPeriod))
	}
	for !now.Before(s.nextNoiseChange) {
		s.noisy = !s.noisy
		mean := s.options.MeanQuietPeriod
		if s.noisy {
			mean = s.options.MeanNoisyPeriod
		}
		s.nextNoiseChange = s.nextNoiseChange.Add(s.noisePeriod(mean))
	}
}

func (s *Stub) noisePeriod(mean time.Duration) time.Duration {
	return time.Duration(float64(mean)*s.random.ExpFloat64()) + time.Microsecond
}

// setLoadHeaders sets the headers that report load, limit and draining, and returns
// the injected fault.
func (s *Stub) setLoadHeaders(header http.Header) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	header.Set(backend.HeaderReport, fmt.Sprintf("TEXT named_metrics.in_flight=%d", max(s.inFlight+s.loadOffset, 0)))
	if s.requestLimit != "" {
		header.Set(backend.HeaderRequestLimit, s.requestLimit)
	}
	header.Set(backend.HeaderDraining, strconv.FormatBool(s.draining))
	return s.fault
}

func (s *Stub) recordRun(r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.totalRuns++
	if name := r.Header.Get(HeaderRequestName); name != "" {
		s.runsByRequest[name]++
	}
	if key := r.Header.Get(policy.HeaderIdempotencyKey); key != "" {
		s.runsByKey[key]++
	}
}

func (s *Stub) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.setLoadHeaders(w.Header())
	switch fault {
	case FaultRejectAll:
		http.Error(w, "rejected", http.StatusServiceUnavailable)
		return
	case FaultFreeze:
		<-r.Context().Done()
		return
	case FaultError:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if retryAfter, reject := s.nextPushback(); reject {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "come back later", http.StatusServiceUnavailable)
		return
	}
	if fault == FaultSilentWhenFull && !s.tryAcquireSlot() {
		<-r.Context().Done()
		return
	}
	if fault != FaultSilentWhenFull && !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	s.recordRun(r)
	if !wait.Sleep(r.Context(), s.serviceTime(time.Now())) {
		return
	}
	answer := fmt.Sprintf("%s %s %s %s\n", r.Method, r.URL.Path, r.Header.Get(HeaderRequestName), body)
	if fault == FaultNone || fault == FaultSilentWhenFull {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	s.sendMalformed(w, fault, answer)
}

// sendMalformed writes a malformed response to the hijacked connection.
func (s *Stub) sendMalformed(w http.ResponseWriter, fault Fault, answer string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	writeMalformed(buffered.Writer, fault, answer)
	_ = buffered.Flush()
	if fault == FaultExtraResponse {
		// The connection stays open so that a proxy could reuse it with the extra response.
		drainUntilClosed(conn)
	}
}

func writeMalformed(w *bufio.Writer, fault Fault, answer string) {
	switch fault {
	case FaultCloseMidBody:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(answer), answer)
	case FaultWrongLength:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+10, answer)
	case FaultExtraResponse:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		extra := "the answer of somebody else\n"
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(extra), extra)
	case FaultUnframed:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", answer)
	}
}

// extraResponseHold is how long a connection with an extra response stays open.
const extraResponseHold = 2 * time.Second

func drainUntilClosed(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(extraResponseHold))
	_, _ = io.Copy(io.Discard, conn)
}

func (s *Stub) load(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.probeTimes = append(s.probeTimes, time.Now())
	s.mutex.Unlock()
	fault := s.setLoadHeaders(w.Header())
	if fault == FaultRejectAll || fault == FaultError {
		http.Error(w, "rejected", http.StatusServiceUnavailable)
		return
	}
	if !s.acquireSlot(r.Context()) {
		return
	}
	defer s.releaseSlot()
	wait.Sleep(r.Context(), s.options.ProbeTime)
	w.WriteHeader(http.StatusOK)
}

func (s *Stub) stream(w http.ResponseWriter, r *http.Request) {
	pieces, err := strconv.Atoi(r.URL.Query().Get("pieces"))
	if err != nil || pieces < 1 || pieces > 1000 {
		http.Error(w, "pieces: 1 to 1000", http.StatusBadRequest)
		return
	}
	every, err := time.ParseDuration(r.URL.Query().Get("every"))
	if err != nil {
		http.Error(w, "every: not a duration", http.StatusBadRequest)
		return
	}
	s.setLoadHeaders(w.Header())
	s.recordRun(r)
	control := http.NewResponseController(w)
	for piece := range pieces {
		if _, err := fmt.Fprintf(w, "piece %d\n", piece); err != nil {
			return
		}
		if err := control.Flush(); err != nil || !wait.Sleep(r.Context(), every) {
			return
		}
	}
	_, _ = io.WriteString(w, "end\n")
}

// upgrade responds 101 and echoes what it receives.
func (s *Stub) upgrade(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "Upgrade")
	w.Header().Set("Upgrade", "echo")
	w.WriteHeader(http.StatusSwitchingProtocols)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.Copy(conn, buffered)
}
