package abuse

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ordinary callers.
const (
	ordinaryPerSecond = 20
	ordinaryDeadline  = 2 * time.Second
	ordinaryRetries   = 2
	ordinaryBodyBytes = 4000
	connectTimeout    = time.Second
)

// Tally tells how ordinary callers fared.
type Tally struct {
	Sent, Served int
	Latencies    []time.Duration // of served ones, from the first try on
	Failures     map[string]int  // last outcomes of the others
}

// Fraction returns the part that was served.
func (t Tally) Fraction() float64 {
	return float64(t.Served) / float64(max(t.Sent, 1))
}

// Percentile returns a percentile of the time to a complete response.
func (t Tally) Percentile(percent int) time.Duration {
	if len(t.Latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.Latencies))
	return sorted[min(len(sorted)*percent/100, len(sorted)-1)].Round(time.Millisecond)
}

// String returns the figures.
func (t Tally) String() string {
	return fmt.Sprintf("%d of %d served, p50 %s, p99 %s, not served: %v", t.Served, t.Sent, t.Percentile(50), t.Percentile(99), t.Failures)
}

// ordinary sends the requests of ordinary callers to one daemon. Half of them use kept connections, the others open a new
// one; a third is not repeatable and has a body. Retries use new connections, as the users' callers do.
type ordinary struct {
	journal *journal
	target  string
	kept    *http.Client
	single  *http.Client

	mutex  sync.Mutex
	tally  Tally
	random *rand.Rand
}

func newOrdinary(journal *journal, target string, seed uint64) *ordinary {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return newOrdinaryOver(protocols, journal, target, seed)
}

// newOrdinaryHTTP2 returns callers that speak HTTP/2.
func newOrdinaryHTTP2(journal *journal, target string, seed uint64) *ordinary {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return newOrdinaryOver(protocols, journal, target, seed)
}

func newOrdinaryOver(protocols *http.Protocols, journal *journal, target string, seed uint64) *ordinary {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &ordinary{
		journal: journal, target: target, random: rand.New(rand.NewPCG(seed, 1)),
		kept:   &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: dialer.DialContext, MaxIdleConnsPerHost: 10, IdleConnTimeout: idleTimeout * 4 / 5}},
		single: &http.Client{Transport: &http.Transport{Protocols: protocols, DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
}

// run sends requests until ctx ends, waits for those in flight, and returns how they fared.
func (o *ordinary) run(ctx context.Context) Tally {
	o.mutex.Lock()
	o.tally = Tally{Failures: make(map[string]int)}
	o.mutex.Unlock()
	var inFlight sync.WaitGroup
	ticker := time.NewTicker(time.Second / ordinaryPerSecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		keep, repeatable := o.random.IntN(2) == 0, o.random.IntN(3) != 0
		inFlight.Go(func() { o.send(keep, repeatable) })
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	inFlight.Wait()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.tally
}

// send sends a request and its retries.
func (o *ordinary) send(keep, repeatable bool) {
	started := time.Now()
	client := o.single
	if keep {
		client = o.kept
	}
	var result outcome
	for try := 0; ; try++ {
		remaining := ordinaryDeadline - time.Since(started)
		result = o.try(client, repeatable, remaining)
		remaining = ordinaryDeadline - time.Since(started)
		if result.served || try == ordinaryRetries || remaining <= 0 || !result.mayRetry(repeatable) {
			break
		}
		time.Sleep(min(result.retryAfter, remaining/3))
		client = o.single
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.tally.Sent++
	if !result.served {
		o.tally.Failures[result.text]++
		return
	}
	o.tally.Served++
	o.tally.Latencies = append(o.tally.Latencies, time.Since(started))
}

// outcome is the result of one try.
type outcome struct {
	served     bool
	status     int // 0: no response
	unread     bool
	retryAfter time.Duration
	text       string
}

func (r outcome) mayRetry(repeatable bool) bool {
	switch r.status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	}
	return repeatable || mustNotRun(r.status) || r.unread
}

func (o *ordinary) try(client *http.Client, repeatable bool, remaining time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	id := o.journal.nextID(repeatable)
	method, path, content := http.MethodGet, pathRepeatable+id, ""
	if !repeatable {
		method, path, content = http.MethodPost, pathOnce+id, strings.Repeat("x", ordinaryBodyBytes)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.target+path, strings.NewReader(content))
	if err != nil {
		return outcome{text: err.Error()}
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set(headerRequestID, id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return outcome{unread: errors.Is(err, syscall.ECONNREFUSED) || isDialError(err), text: errorText(err)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	o.journal.recordStatus(id, response.StatusCode)
	result := outcome{status: response.StatusCode, text: fmt.Sprintf("status %d code %s", response.StatusCode, response.Header.Get("Tuliphall-Code"))}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	sum := sha256.Sum256([]byte(content))
	switch {
	case err != nil:
		result.text += ", cut short"
	case response.StatusCode == http.StatusOK && string(text) != responseBody(id, path, hex.EncodeToString(sum[:]), ""):
		o.journal.addViolation("request %s got another response: %q", id, text)
	case response.StatusCode == http.StatusOK:
		result.served = true
	}
	return result
}

func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// errorText returns the error without addresses, so that equal errors are counted together.
func errorText(err error) string {
	var operation *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "no response in time"
	case errors.As(err, &operation):
		return operation.Op + ": " + operation.Err.Error()
	}
	return err.Error()
}
