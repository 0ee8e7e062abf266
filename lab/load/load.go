// Package load is the lab's load generator.
//
// Arrivals are open-loop: they come at random times whatever the answers do, and
// latency counts from the time a request should have been sent, so that waiting
// is not hidden. Every answer is checked to be the whole answer to its own
// request, and what each answer said about having run is kept, so that it can be
// compared with what the back ends saw.
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
	WithIdempotencyKey bool   // carries an operation key
	TenantKey          string // of a tenant; empty: none
}

// Options say what load to make.
type Options struct {
	Network  network.Network
	Targets  []string // caller addresses of daemons, or of one back end
	Rate     float64  // requests a second, all kinds together
	Duration time.Duration
	Seed     uint64
	Kinds    []RequestKind
	// ClosedLoopCallers, if above 0, is a number of callers that each send the next
	// request when the last was answered; Rate is then ignored.
	ClosedLoopCallers int
	// RetryUnanswered lets the caller of an operation that got no answer come back once
	// with the same key, through another target.
	RetryUnanswered bool
	// HTTP2 lets callers speak HTTP/2 without encryption; false: HTTP/1.1.
	HTTP2 bool
	// Timeout bounds one request; 0: none.
	Timeout time.Duration
	// MaxRequests bounds the requests made; 0: 1,000,000.
	MaxRequests int
}

// Outcome is what one request came to.
type Outcome struct {
	Name          string
	Run           resultcode.RunState
	WrongResponse bool // not the whole answer to its own request, yet passed off as it
}

// Result sums up a run of load.
type Result struct {
	Seed           uint64                      `json:"seed"`
	Sent           int                         `json:"sent"`
	Answered       int                         `json:"answered"` // with a back end's whole answer
	WrongResponses int                         `json:"wrong"`
	Aborted        int                         `json:"aborted"` // broken off, so that the caller sees it
	Codes          map[resultcode.Code]int     `json:"codes"`
	RunStates      map[resultcode.RunState]int `json:"runs"`
	Outcomes       []Outcome                   `json:"-"`
	Latency        *hdrhistogram.Histogram     `json:"-"`
	Elapsed        time.Duration               `json:"elapsed_ns"`
	mutex          sync.Mutex
	perKind        map[string]*hdrhistogram.Histogram
	firstFail      string
}

// Histogram bounds: microseconds, up to ten minutes, to three digits.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

// Quantile returns a latency quantile of the answered requests; q is in percent.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// KindQuantile returns a latency quantile of one kind.
func (r *Result) KindQuantile(kind string, q float64) time.Duration {
	histogram, ok := r.perKind[kind]
	if !ok {
		return 0
	}
	return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond
}

// FirstFailure describes the first request that was not answered.
func (r *Result) FirstFailure() string {
	return r.firstFail
}

// Failed returns the requests that did not get their answer.
func (r *Result) Failed() int {
	return r.Sent - r.Answered
}

// generator makes the load.
type generator struct {
	options Options
	client  *http.Client
	result  *Result
	random  *rand.Rand
	waiting sync.WaitGroup
}

// Run makes the load and waits for every answer.
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
	begun := time.Now()
	if options.ClosedLoopCallers > 0 {
		g.closedLoop(ctx, begun)
	} else {
		g.openLoop(ctx, begun)
	}
	g.waiting.Wait()
	g.result.Elapsed = time.Since(begun)
	return g.result
}

// openLoop sends at random times.
func (g *generator) openLoop(ctx context.Context, begun time.Time) {
	due := begun
	for number := 0; number < g.options.MaxRequests; number++ {
		due = due.Add(time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second)))
		if due.Sub(begun) >= g.options.Duration || ctx.Err() != nil {
			return
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		kind := g.pickKind()
		target := g.options.Targets[g.random.IntN(len(g.options.Targets))]
		intended := due
		other := g.options.Targets[g.random.IntN(len(g.options.Targets))]
		g.waiting.Go(func() {
			answered := g.one(ctx, number, "", kind, target, intended)
			if !answered && g.options.RetryUnanswered && kind.WithIdempotencyKey {
				g.one(ctx, number, againSuffix, kind, other, time.Now())
			}
		})
	}
}

// closedLoop lets a few callers each send one request after another.
func (g *generator) closedLoop(ctx context.Context, begun time.Time) {
	for caller := range g.options.ClosedLoopCallers {
		kind, target := g.pickKind(), g.options.Targets[caller%len(g.options.Targets)]
		g.waiting.Go(func() {
			for number := 0; time.Since(begun) < g.options.Duration && number < g.options.MaxRequests && ctx.Err() == nil; number++ {
				g.one(ctx, caller*g.options.MaxRequests+number, "", kind, target, time.Now())
			}
		})
	}
}

func (g *generator) pickKind() RequestKind {
	return weighted.Draw(g.random, g.options.Kinds, func(kind RequestKind) float64 { return kind.Share })
}

// againSuffix tells the second attempt of an operation from the first.
const againSuffix = "-again"

// one sends one request, notes what came of it and says whether it got its whole
// answer.
func (g *generator) one(ctx context.Context, number int, suffix string, kind RequestKind, target string, intended time.Time) bool {
	key := fmt.Sprintf("r%d-%d", g.options.Seed, number)
	name := key + suffix
	body := ""
	if kind.Method != http.MethodGet {
		body = "body of " + key
	}
	request, err := http.NewRequestWithContext(ctx, kind.Method, "http://"+target+kind.Path, strings.NewReader(body))
	if err != nil {
		g.note(kind, Outcome{Name: name}, 0, 0, false, err.Error())
		return false
	}
	request.Header.Set(backendstub.HeaderRequestName, name)
	if kind.WithIdempotencyKey {
		request.Header.Set(policy.HeaderIdempotencyKey, key)
	}
	if kind.TenantKey != "" {
		request.Header.Set(identity.HeaderAuthorization, identity.AuthScheme+" "+kind.TenantKey)
	}
	// The transport must not resend what it cannot know to be safe.
	request.GetBody = nil
	response, err := g.client.Do(request)
	if err != nil {
		g.note(kind, Outcome{Name: name, Run: resultcode.Unknown}, 0, 0, false, err.Error())
		return false
	}
	defer response.Body.Close()
	text, readErr := io.ReadAll(response.Body)
	latency := time.Since(intended)
	code := codeOf(response)
	outcome := Outcome{Name: name, Run: resultcode.RunState(response.Header.Get(resultcode.HeaderRun))}
	if outcome.Run == "" {
		outcome.Run = resultcode.Run // asked a back end directly
	}
	ran := name
	if code == resultcode.Replayed {
		ran = key // the answer is that of the first attempt
	}
	expected := fmt.Sprintf("%s %s %s %s\n", kind.Method, kind.Path, ran, body)
	whole := readErr == nil && response.StatusCode == http.StatusOK && string(text) == expected
	outcome.WrongResponse = readErr == nil && response.StatusCode == http.StatusOK && string(text) != expected
	failure := ""
	if !whole {
		failure = fmt.Sprintf("%s: status %d, code %d, error %v, body %.200q", name, response.StatusCode, code, readErr, text)
	}
	g.note(kind, outcome, code, latency, whole, failure)
	return whole
}

func codeOf(response *http.Response) resultcode.Code {
	number, err := strconv.Atoi(response.Header.Get(resultcode.HeaderCode))
	if err != nil {
		return 0
	}
	return resultcode.Code(number)
}

func (g *generator) note(kind RequestKind, outcome Outcome, code resultcode.Code, latency time.Duration, whole bool, failure string) {
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
	if !whole {
		if code == resultcode.Answered || code == 0 {
			r.Aborted++
		}
		if r.firstFail == "" {
			r.firstFail = failure
		}
		return
	}
	r.Answered++
	histogram, ok := r.perKind[kind.Name]
	if !ok {
		histogram = newHistogram()
		r.perKind[kind.Name] = histogram
	}
	// Values above the highest are dropped by the histogram; none lasts so long.
	_ = r.Latency.RecordValue(latency.Microseconds())
	_ = histogram.RecordValue(latency.Microseconds())
}
