package frontend

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/resultcode"
)

// metrics holds the metrics of the request path. They are created once, so that counting a request
// does not allocate.
type metrics struct {
	requests     map[resultcode.Code]tally.Counter
	latency      tally.Histogram
	waited       tally.Histogram
	retries      tally.Counter
	hedges       tally.Counter
	forwards     tally.Counter
	policyErrors tally.Counter
	broken       map[backend.Liveness]tally.Counter // broken connections, by liveness of the back end
	inFlight     tally.Gauge
	bodiesHeld   tally.Gauge // bytes of bodies that are held before they are sent
	// Responses that came before the end of the request's body, by whether the whole body was passed on in the end.
	earlyWhole, earlyCut tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	latencies := tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)
	m := &metrics{
		requests:     make(map[resultcode.Code]tally.Counter),
		latency:      scope.Histogram("request_latency", latencies),
		waited:       scope.Histogram("request_waited", latencies),
		retries:      scope.Counter("retries"),
		hedges:       scope.Counter("hedges"),
		forwards:     scope.Counter("forwards"),
		policyErrors: scope.Counter("policy_errors"),
		inFlight:     scope.Gauge("requests_in_flight"),
		bodiesHeld:   scope.Gauge("bodies_held_bytes"),
		earlyWhole:   scope.Tagged(map[string]string{"body": "whole"}).Counter("early_responses"),
		earlyCut:     scope.Tagged(map[string]string{"body": "cut"}).Counter("early_responses"),
		broken:       make(map[backend.Liveness]tally.Counter),
	}
	for _, liveness := range []backend.Liveness{backend.Alive, backend.Exited, backend.Unreachable} {
		m.broken[liveness] = scope.Tagged(map[string]string{"backend": string(liveness)}).Counter("connections_broken")
	}
	for _, info := range resultcode.Table() {
		tags := map[string]string{"code": strconv.Itoa(int(info.Code)), "name": info.Name, "run": string(info.Run)}
		m.requests[info.Code] = scope.Tagged(tags).Counter("requests")
	}
	return m
}

// countEarlyResponse counts a response that came before the end of the request's body.
func (m *metrics) countEarlyResponse(whole bool) {
	if whole {
		m.earlyWhole.Inc(1)
		return
	}
	m.earlyCut.Inc(1)
}

func (m *metrics) count(code resultcode.Code) {
	if counter, ok := m.requests[code]; ok {
		counter.Inc(1)
	}
}
