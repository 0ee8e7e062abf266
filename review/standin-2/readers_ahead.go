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

// The figures of the case.
const (
	aheadTimeout     = 3 * time.Second // timeoutS of the route
	aheadDeadline    = 6 * time.Second
	aheadConnections = 3
	aheadRequests    = 8 // for long answers on each connection, behind one for a short answer
	aheadWorkers     = 4
	aheadSlots       = 3
	longAnswer       = 8 << 20
	shortAnswer      = 5000
	// ordinaryRequests are those of each of the two kinds of request.
	ordinaryRequests = 80
	ordinaryInterval = 500 * time.Millisecond
	// starvedShare is that of the rule.
	starvedShare = 0.25
)

// playReadersAhead lets a client send requests ahead on a few connections without reading the answers.
func playReadersAhead(s *site, trouble bool) (result, error) {
	piece := strings.Repeat("0123456789abcdef", 4096)
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request-Id")
		s.record.add("worker %s runs %s", w.id, id)
		time.Sleep(50 * time.Millisecond)
		length := shortAnswer
		if strings.HasPrefix(request.URL.Path, "/statements/long") {
			length = longAnswer
		}
		if _, err := io.WriteString(conn, w.head(request, length)); err != nil {
			return false
		}
		for sent := 0; sent < length; sent += len(piece) {
			if _, err := io.WriteString(conn, piece[:min(len(piece), length-sent)]); err != nil {
				s.record.add("worker %s: the answer to %s is not taken: %v", w.id, id, err)
				return false
			}
		}
		s.record.add("worker %s has sent the answer to %s", w.id, id)
		return true
	}
	s.configure([]route{
		{name: "statement-batch", prefix: "/statements/", kind: "safe", service: "archive", timeout: aheadTimeout.Seconds(), target: 1, priority: 2, attempts: 2},
		{name: "nav-read", prefix: "/nav/", kind: "safe", service: "navboard", timeout: 1, target: 0.25, priority: 2, attempts: 2},
	}, nil)
	for _, service := range []string{"archive", "navboard"} {
		if err := s.addWorkers(service, aheadWorkers, aheadSlots, answer); err != nil {
			return result{}, err
		}
	}
	if err := s.startDaemons(2); err != nil {
		return result{}, err
	}
	for number := range aheadConnections {
		end, err := s.sendAhead(number, !trouble)
		if err != nil {
			return result{}, err
		}
		defer end()
	}
	time.Sleep(time.Second)
	statements, reads := s.playBeside()
	all := statements + reads
	finding := fmt.Sprintf("beside %d connections %d of %d ordinary statement-batch requests and %d of %d nav-read requests were served", aheadConnections, statements, ordinaryRequests, reads, ordinaryRequests)
	return result{broken: float64(statements)/ordinaryRequests < starvedShare*float64(all)/(2*ordinaryRequests), finding: finding}, nil
}

// playBeside sends ordinary requests of both kinds, and returns how many of each were served.
func (s *site) playBeside() (statements, reads int64) {
	var served [2]atomic.Int64
	var clients sync.WaitGroup
	for index := range ordinaryRequests {
		time.Sleep(ordinaryInterval)
		for kind, path := range []string{"/statements/short/", "/nav/"} {
			clients.Go(func() {
				daemon := s.daemons[index%len(s.daemons)]
				seen := get(daemon.caller, fmt.Sprintf("%s%d", path, index), newRequestID("ordinary"), aheadDeadline)
				s.record.add("ordinary client of %s: GET %s%d, %s", daemon.name, path, index, seen)
				if seen.whole() && seen.status == http.StatusOK {
					served[kind].Add(1)
				}
			})
		}
	}
	clients.Wait()
	return served[0].Load(), served[1].Load()
}

// sendAhead sends requests, all but the first for long answers, on one connection, and reads the answers if reads is set.
func (s *site) sendAhead(number int, reads bool) (end func(), err error) {
	daemon := s.daemons[number%len(s.daemons)]
	conn, err := net.DialTimeout("tcp", daemon.caller, time.Second)
	if err != nil {
		return nil, err
	}
	var text strings.Builder
	for index := range 1 + aheadRequests {
		id, path := newRequestID("ahead"), "/statements/long"
		if index == 0 {
			path = "/statements/short/ahead"
		}
		s.record.add("client that sends ahead, connection %d to %s: GET %s, %s, reads %v", number, daemon.name, path, id, reads)
		text.WriteString(requestText(path, id, aheadDeadline))
	}
	if _, err := io.WriteString(conn, text.String()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	return func() { _ = conn.Close() }, nil
}
