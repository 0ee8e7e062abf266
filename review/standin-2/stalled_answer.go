package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case: those of seat-check and seatwatch in the sheet of the site.
const (
	stalledTimeout  = 2 * time.Second // timeoutS of the route
	stalledDeadline = 4 * time.Second // Deadline-Ms of the clients
	stalledWorkers  = 13
	stalledSlots    = 6
	// silentWorkers are within the share (.15) of the workers of a service, and silentFor within the time, of srv_crash.
	silentWorkers  = 2
	silentFor      = 4500 * time.Millisecond
	stalledClients = 74
	calmFor        = 4 * time.Second
	playedFor      = 12 * time.Second
	// answerBound, unansweredMin and unansweredShare are those of the rule.
	answerBound     = 500 * time.Millisecond
	unansweredMin   = 8
	unansweredShare = 0.25
)

// stalledAnswerPieces and pieceInterval give how a worker sends an answer, which has no length.
const (
	stalledAnswerPieces = 8
	pieceInterval       = 60 * time.Millisecond
)

// playStalledAnswer lets two workers of a service fall silent while they send answers without a length.
func playStalledAnswer(s *site, trouble bool) (result, error) {
	var silent atomic.Bool
	ended := make(chan struct{})
	defer close(ended)
	isSilent := func(w *worker) bool {
		return silent.Load() && (strings.HasSuffix(w.id, "-0") || strings.HasSuffix(w.id, "-1"))
	}
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request-Id")
		s.record.add("worker %s runs %s, Deadline-Ms %s", w.id, id, request.Header.Get("Deadline-Ms"))
		if isSilent(w) {
			s.record.add("worker %s is silent before the answer to %s", w.id, id)
			<-ended
			return false
		}
		if _, err := io.WriteString(conn, w.head(request, -1)); err != nil {
			return false
		}
		for range stalledAnswerPieces {
			time.Sleep(pieceInterval)
			if isSilent(w) {
				s.record.add("worker %s is silent in the answer to %s", w.id, id)
				<-ended // what it had begun is lost, and its connections say nothing for good
				return false
			}
			if _, err := io.WriteString(conn, strings.Repeat("seat ", 10)); err != nil {
				return false
			}
		}
		s.record.add("worker %s has sent the answer to %s", w.id, id)
		return false // the end of the connection ends the answer
	}
	s.configure([]route{{name: "seat-check", prefix: "/seats/", kind: "safe", service: "seatwatch", timeout: stalledTimeout.Seconds(), target: 0.6, priority: 2, attempts: 2}}, nil)
	if err := s.addWorkers("seatwatch", stalledWorkers, stalledSlots, answer); err != nil {
		return result{}, err
	}
	if err := s.startDaemons(3); err != nil {
		return result{}, err
	}
	outcomes := s.playClients(func() {
		time.Sleep(calmFor)
		if !trouble {
			return
		}
		s.record.add("%d of %d workers fall silent for %s", silentWorkers, stalledWorkers, silentFor)
		silent.Store(true)
		time.Sleep(silentFor)
		silent.Store(false)
		s.record.add("the workers are back; they know nothing of before")
	})
	return judgeUnanswered(outcomes), nil
}

// playClients lets clients send one request after the other to the daemons while disrupt runs, and returns what they saw.
func (s *site) playClients(disrupt func()) []outcome {
	go disrupt()
	var mutex sync.Mutex
	var outcomes []outcome
	var clients sync.WaitGroup
	until := time.Now().Add(playedFor)
	for index := range stalledClients {
		clients.Go(func() {
			daemon := s.daemons[index%len(s.daemons)]
			time.Sleep(time.Duration(index) * 10 * time.Millisecond)
			for time.Now().Before(until) {
				seen := get(daemon.caller, fmt.Sprintf("/seats/%d", index), newRequestID("seat"), stalledDeadline)
				s.record.add("client of %s: %s", daemon.name, seen)
				mutex.Lock()
				outcomes = append(outcomes, seen)
				mutex.Unlock()
			}
		})
	}
	clients.Wait()
	return outcomes
}

// judgeUnanswered applies the rule CONFIG to requests without a final answer.
func judgeUnanswered(outcomes []outcome) result {
	past, unanswered := 0, 0
	for _, each := range outcomes {
		if each.took > stalledTimeout {
			past++
		}
		if each.took > stalledTimeout+answerBound {
			unanswered++
		}
	}
	finding := fmt.Sprintf("%d requests; %d ran past timeoutS (%s), and %d of these had no final answer half a second later (allowed: fewer than %d, or a quarter)",
		len(outcomes), past, stalledTimeout, unanswered, unansweredMin)
	return result{broken: unanswered >= unansweredMin && float64(unanswered) > unansweredShare*float64(past), finding: finding}
}
