// Package backendstub stands in for a back end: a few slots with a queue before
// them, a noisy neighbour, load reports that may lag or lie, and the ways in
// which servers fail.
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

// Paths of the stand-in besides its work.
const (
	PathLoad    = "/load"
	PathStream  = "/stream" // ?pieces=N&every=DURATION
	PathEcho    = "/echo"
	PathUpgrade = "/upgrade"
)

// HeaderRequestName is the header by which a request names itself, so that the
// back end can count how often it ran.
const HeaderRequestName = "Lab-Request"

// Fault is a way to misbehave.
type Fault string

// The faults.
const (
	FaultNone                Fault = ""
	FaultRejectAll           Fault = "reject-all"   // 503 at once
	FaultError               Fault = "error"        // 500 at once
	FaultCloseMidBody        Fault = "close-early"  // closes in the middle of the body
	FaultCloseBeforeResponse Fault = "close-first"  // closes before any answer
	FaultWrongLength         Fault = "wrong-length" // says more bytes than it sends
	FaultExtraResponse       Fault = "extra-bytes"  // sends a second answer nobody asked for
	FaultUnframed            Fault = "unframed"     // neither length nor chunks
	FaultFreeze              Fault = "freeze"       // takes requests and never answers
)

// Options are a stand-in's settings.
type Options struct {
	Slots            int
	MeanServiceTime  time.Duration // mean time of one request
	FixedServiceTime bool          // every request takes the mean; false: exponential
	Seed             uint64
	ProbeTime        time.Duration // slot time of one look at PathLoad
	Slowdown         float64       // factor while a neighbour is noisy; 0: none
	MeanNoisyPeriod  time.Duration // mean length of a noisy spell
	MeanQuietPeriod  time.Duration // mean time between spells
}

// Stub is one back end. It is safe for concurrent use.
type Stub struct {
	options Options
	slots   chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	fault    Fault
	slow     float64
	draining bool
	lie      int    // added to the reported load
	limit    string // what it says of how many requests a second it takes; empty: nothing
	pushback pushback
	inFlight int
	runs     map[string]int
	keys     map[string]int
	total    int
	probes   []time.Time
	nextFlip time.Time
	noisy    bool
}

// New returns a back end that is well.
func New(options Options) *Stub {
	if options.Slots == 0 {
		options.Slots = 3
	}
	return &Stub{
		options: options, slots: make(chan struct{}, options.Slots), slow: 1,
		random: rand.New(rand.NewPCG(options.Seed, options.Seed)), runs: make(map[string]int), keys: make(map[string]int),
	}
}

// SetFault changes how the back end misbehaves.
func (s *Stub) SetFault(fault Fault) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fault = fault
}

// SetSlowdown makes every request take factor times as long.
func (s *Stub) SetSlowdown(factor float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.slow = factor
}

// SetDraining makes the back end say that it is leaving.
func (s *Stub) SetDraining(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = draining
}

// SetLoadOffset adds to the load the back end reports.
func (s *Stub) SetLoadOffset(added int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lie = added
}

// SetRequestLimit makes the back end say how many requests a second it takes; empty: it says nothing.
func (s *Stub) SetRequestLimit(perSecond string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = perSecond
}

// pushback is how a back end turns requests away and asks for a pause.
type pushback struct {
	retryAfter string
	every      int // it turns away each of so many; 0: none
	requests   int
}

// SetPushback makes the back end turn away each of so many requests and ask for a pause; 0: none.
func (s *Stub) SetPushback(retryAfter string, every int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pushback = pushback{retryAfter: retryAfter, every: every}
}

// pushesBack returns the Retry-After with which a request is turned away, and false where it is not.
func (s *Stub) pushesBack() (retryAfter string, pushes bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pushback.requests++
	return s.pushback.retryAfter, s.pushback.every > 0 && s.pushback.requests%s.pushback.every == 0
}

// TotalRuns returns how many requests ran.
func (s *Stub) TotalRuns() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.total
}

// ProbeTimes returns when the load endpoint was asked.
func (s *Stub) ProbeTimes() []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]time.Time(nil), s.probes...)
}

// RunsByRequest returns how often each named request ran.
func (s *Stub) RunsByRequest() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}

// RunsByKey returns how often the operation of each key ran.
func (s *Stub) RunsByKey() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.keys)
}

// Handler serves the back end.
func (s *Stub) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathLoad, s.load)
	mux.HandleFunc(PathStream, s.stream)
	mux.HandleFunc("/{service}"+PathStream, s.stream)
	mux.HandleFunc(PathUpgrade, s.upgrade)
	mux.HandleFunc("/", s.work)
	return mux
}

// enter takes a slot, or gives up when the caller leaves.
func (s *Stub) enter(ctx context.Context) bool {
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

func (s *Stub) leave() {
	<-s.slots
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
}

// duration draws how long one request takes now.
func (s *Stub) duration(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	scale := s.slow
	if s.options.Slowdown > 0 {
		s.flip(now)
		if s.noisy {
			scale *= s.options.Slowdown
		}
	}
	length := float64(s.options.MeanServiceTime)
	if !s.options.FixedServiceTime {
		length *= s.random.ExpFloat64()
	}
	return time.Duration(length * scale)
}

// flip moves the noisy neighbour on to the present.
func (s *Stub) flip(now time.Time) {
	if s.nextFlip.IsZero() {
		s.nextFlip = now.Add(s.spell(s.options.MeanQuietPeriod))
	}
	for !now.Before(s.nextFlip) {
		s.noisy = !s.noisy
		mean := s.options.MeanQuietPeriod
		if s.noisy {
			mean = s.options.MeanNoisyPeriod
		}
		s.nextFlip = s.nextFlip.Add(s.spell(mean))
	}
}

func (s *Stub) spell(mean time.Duration) time.Duration {
	return time.Duration(float64(mean)*s.random.ExpFloat64()) + time.Microsecond
}

// report sets the headers by which a back end tells its load.
func (s *Stub) report(header http.Header) Fault {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	header.Set(backend.HeaderReport, fmt.Sprintf("TEXT named_metrics.in_flight=%d", max(s.inFlight+s.lie, 0)))
	if s.limit != "" {
		header.Set(backend.HeaderRequestLimit, s.limit)
	}
	header.Set(backend.HeaderDraining, strconv.FormatBool(s.draining))
	return s.fault
}

func (s *Stub) ran(r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.total++
	if name := r.Header.Get(HeaderRequestName); name != "" {
		s.runs[name]++
	}
	if key := r.Header.Get(policy.HeaderIdempotencyKey); key != "" {
		s.keys[key]++
	}
}

func (s *Stub) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.report(w.Header())
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
	if retryAfter, pushes := s.pushesBack(); pushes {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "come back later", http.StatusServiceUnavailable)
		return
	}
	if !s.enter(r.Context()) {
		return
	}
	defer s.leave()
	s.ran(r)
	if !wait.Sleep(r.Context(), s.duration(time.Now())) {
		return
	}
	answer := fmt.Sprintf("%s %s %s %s\n", r.Method, r.URL.Path, r.Header.Get(HeaderRequestName), body)
	if fault == FaultNone {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
		return
	}
	s.misbehave(w, fault, answer)
}

// misbehave writes a broken answer on the bare connection.
func (s *Stub) misbehave(w http.ResponseWriter, fault Fault, answer string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	writeBroken(buffered.Writer, fault, answer)
	_ = buffered.Flush()
	if fault == FaultExtraResponse {
		// The connection stays open, so that the extra answer can do harm.
		waitForPeer(conn)
	}
}

func writeBroken(w *bufio.Writer, fault Fault, answer string) {
	switch fault {
	case FaultCloseMidBody:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(answer), answer)
	case FaultWrongLength:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer)+10, answer)
	case FaultExtraResponse:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		other := "the answer of somebody else\n"
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(other), other)
	case FaultUnframed:
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", answer)
	}
}

// extraOpen is how long a connection with an extra answer stays open.
const extraOpen = 2 * time.Second

func waitForPeer(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(extraOpen))
	_, _ = io.Copy(io.Discard, conn)
}

func (s *Stub) load(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.probes = append(s.probes, time.Now())
	s.mutex.Unlock()
	fault := s.report(w.Header())
	if fault == FaultRejectAll || fault == FaultError {
		http.Error(w, "rejected", http.StatusServiceUnavailable)
		return
	}
	if !s.enter(r.Context()) {
		return
	}
	defer s.leave()
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
	s.report(w.Header())
	s.ran(r)
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

// upgrade answers with a 101 and echoes what it is sent.
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
