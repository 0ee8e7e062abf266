// Package load is the lab's load generator.
//
// Arrivals are open-loop: they come at random times whatever the responses, and
// latency counts from the time at which a request was due, so that delays of the
// generator are not omitted. Every response is checked to be the complete response
// to its own request. Its run state is kept, so that it can be compared with the
// requests that the back ends ran.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/lab/backendstub"
	"github.com/tuliphall/tuliphall/lab/weighted"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/policy"
	"github.com/tuliphall/tuliphall/resultcode"
)

// RequestKind is one kind of request in the mix.
type RequestKind struct {
	Name               string
	Method             string
	Path               string
	Share              float64
	WithIdempotencyKey bool   // sends an Idempotency-Key
	TenantKey          string // API key of a tenant; empty: none
}

// Options describe the load.
type Options struct {
	Network  network.Network
	Targets  []string // caller addresses of daemons, or of one back end
	Rate     float64  // requests per second, all kinds together
	Duration time.Duration
	Seed     uint64
	Kinds    []RequestKind
	// ClosedLoopCallers, if above 0, is the number of callers that each send their
	// next request when the previous one has ended; Rate is then ignored.
	ClosedLoopCallers int
	// RetryUnanswered retries an operation without a complete response once, with the
	// same key, at a randomly chosen target.
	RetryUnanswered bool
	// HTTP2 selects HTTP/2 without TLS; false: HTTP/1.1.
	HTTP2 bool
	// Timeout bounds one request; 0: none.
	Timeout time.Duration
	// MaxRequests bounds the requests sent, in a closed loop those of each caller;
	// 0: 1,000,000.
	MaxRequests int
}

// Outcome is the outcome of one request.
type Outcome struct {
	Name          string
	Run           resultcode.RunState
	WrongResponse bool // got status 200 with a body other than the response to its own request
}

// Result holds the results of a run.
type Result struct {
	Seed           uint64                      `json:"seed"`
	Sent           int                         `json:"sent"`
	Answered       int                         `json:"answered"` // got the complete response of a back end
	WrongResponses int                         `json:"wrong"`
	Aborted        int                         `json:"aborted"` // broken off in a way that the caller notices: result code Answered or none
	Codes          map[resultcode.Code]int     `json:"codes"`
	RunStates      map[resultcode.RunState]int `json:"runs"`
	Outcomes       []Outcome                   `json:"-"`
	Latency        *hdrhistogram.Histogram     `json:"-"`
	Elapsed        time.Duration               `json:"elapsed_ns"`
	mutex          sync.Mutex
	perKind        map[string]*hdrhistogram.Histogram
	firstFailure   string
}

// Bounds of the latency histograms: microseconds, up to ten minutes, with three
// significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

// Quantile returns a latency quantile of the answered requests; q is in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// KindQuantile returns a latency quantile of the answered requests of one kind; q is in
// percent.
func (r *Result) KindQuantile(kind string, q float64) time.Duration {
	histogram, ok := r.perKind[kind]
	if !ok {
		return 0
	}
	return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond
}

// FirstFailure describes the first request without a complete response.
func (r *Result) FirstFailure() string {
	return r.firstFailure
}

// Failed returns the number of requests without a complete response.
func (r *Result) Failed() int {
	return r.Sent - r.Answered
}

// generator sends the requests of one run.
type generator struct {
	options  Options
	client   *http.Client
	result   *Result
	random   *rand.Rand
	requests sync.WaitGroup
}

// Run sends the load and waits until all requests have ended.
func Run(ctx context.Context, options Options) *Result {
	if options.Network == nil {
		options.Network = network.TCP{}
	}
	if options.MaxRequests == 0 {
		options.MaxRequests = 1_000_000
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return options.Network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 1024, DisableCompression: true, Protocols: new(http.Protocols),
	}
	transport.Protocols.SetHTTP1(!options.HTTP2)
	transport.Protocols.SetUnencryptedHTTP2(options.HTTP2)
	defer transport.CloseIdleConnections()
	g := &generator{
		options: options, client: &http.Client{Transport: transport, Timeout: options.Timeout},
		random: rand.New(rand.NewPCG(options.Seed, options.Seed+1)),
		result: &Result{
			Seed: options.Seed, Codes: make(map[resultcode.Code]int), RunStates: make(map[resultcode.RunState]int),
			Latency: newHistogram(), perKind: make(map[string]*hdrhistogram.Histogram),
		},
	}
	start := time.Now()
	if options.ClosedLoopCallers > 0 {
		g.closedLoop(ctx, start)
	} else {
		g.openLoop(ctx, start)
	}
	g.requests.Wait()
	g.result.Elapsed = time.Since(start)
	return g.result
}

// openLoop sends requests at random times, with exponential gaps.
func (g *generator) openLoop(ctx context.Context, start time.Time) {
	due := start
	for number := 0; number < g.options.MaxRequests; number++ {
		due = due.Add(time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second)))
		if due.Sub(start) >= g.options.Duration || ctx.Err() != nil {
			return
		}
		if delay := time.Until(due); delay > 0 {
			time.Sleep(delay)
		}
		kind := g.pickKind()
		target := g.options.Targets[g.random.IntN(len(g.options.Targets))]
		dueAt := due
		retryTarget := g.options.Targets[g.random.IntN(len(g.options.Targets))]
		g.requests.Go(func() {
			answered := g.sendRequest(ctx, number, "", kind, target, dueAt)
			if !answered && g.options.RetryUnanswered && kind.WithIdempotencyKey {
				g.sendRequest(ctx, number, retrySuffix, kind, retryTarget, time.Now())
			}
		})
	}
}

// closedLoop sends requests from a fixed number of callers, each one after the other.
func (g *generator) closedLoop(ctx context.Context, start time.Time) {
	for caller := range g.options.ClosedLoopCallers {
		kind, target := g.pickKind(), g.options.Targets[caller%len(g.options.Targets)]
		g.requests.Go(func() {
			for number := 0; time.Since(start) < g.options.Duration && number < g.options.MaxRequests && ctx.Err() == nil; number++ {
				g.sendRequest(ctx, caller*g.options.MaxRequests+number, "", kind, target, time.Now())
			}
		})
	}
}

func (g *generator) pickKind() RequestKind {
	return weighted.Draw(g.random, g.options.Kinds, func(kind RequestKind) float64 { return kind.Share })
}

// retrySuffix distinguishes the name of a retry from that of the first request.
const retrySuffix = "-again"

// sendRequest sends one request, records its outcome and reports whether it got its
// complete response.
func (g *generator) sendRequest(ctx context.Context, number int, suffix string, kind RequestKind, target string, due time.Time) bool {
	key := fmt.Sprintf("r%d-%d", g.options.Seed, number)
	name := key + suffix
	body := ""
	if kind.Method != http.MethodGet {
		body = "body of " + key
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+target+kind.Path, strings.NewReader(body))
	if err != nil {
		g.record(kind, Outcome{Name: name}, 0, 0, false, err.Error())
		return false
	}
	request.Header.Set(backendstub.HeaderRequestName, name)
	if kind.WithIdempotencyKey {
		request.Header.Set(policy.HeaderIdempotencyKey, key)
	}
	if kind.TenantKey != "" {
		request.Header.Set(identity.HeaderAuthorization, identity.AuthScheme+" "+kind.TenantKey)
	}
	// Without GetBody, the transport cannot resend a request that has a body, which
	// would count as one request here but might run twice.
	request.GetBody = nil
	response, err := g.client.Do(request)
	if err != nil {
		g.record(kind, Outcome{Name: name, Run: resultcode.Unknown}, 0, 0, false, err.Error())
		return false
	}
	defer response.Body.Close()
	received, readErr := io.ReadAll(response.Body)
	latency := time.Since(due)
	code := parseCode(response)
	outcome := Outcome{Name: name, Run: resultcode.RunState(response.Header.Get(resultcode.HeaderRun))}
	if outcome.Run == "" {
		outcome.Run = resultcode.Run // sent to a back end directly
	}
	executed := name
	if code == resultcode.Replayed {
		executed = key // the replayed response names the first request
	}
	expected := fmt.Sprintf("%s %s %s %s\n", kind.Method, kind.Path, executed, body)
	complete := readErr == nil && response.StatusCode == http.StatusOK && string(received) == expected
	outcome.WrongResponse = readErr == nil && response.StatusCode == http.StatusOK && string(received) != expected
	failure := ""
	if !complete {
		failure = fmt.Sprintf("%s: status %d, code %d, error %v, body %.200q", name, response.StatusCode, code, readErr, received)
	}
	g.record(kind, outcome, code, latency, complete, failure)
	return complete
}

func parseCode(response *http.Response) resultcode.Code {
	number, err := strconv.Atoi(response.Header.Get(resultcode.HeaderCode))
	if err != nil {
		return 0
	}
	return resultcode.Code(number)
}

func (g *generator) record(kind RequestKind, outcome Outcome, code resultcode.Code, latency time.Duration, complete bool, failure string) {
	r := g.result
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Sent++
	r.Codes[code]++
	r.RunStates[outcome.Run]++
	r.Outcomes = append(r.Outcomes, outcome)
	if outcome.WrongResponse {
		r.WrongResponses++
	}
	if !complete {
		if code == resultcode.Answered || code == 0 {
			r.Aborted++
		}
		if r.firstFailure == "" {
			r.firstFailure = failure
		}
		return
	}
	r.Answered++
	histogram, ok := r.perKind[kind.Name]
	if !ok {
		histogram = newHistogram()
		r.perKind[kind.Name] = histogram
	}
	// The histogram drops latencies above its maximum, which no request reaches.
	_ = r.Latency.RecordValue(latency.Microseconds())
	_ = histogram.RecordValue(latency.Microseconds())
}
