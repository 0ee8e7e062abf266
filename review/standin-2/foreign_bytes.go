package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the case.
const (
	foreignRequests = 200
	// foreignEvery is that a worker sends more after one in so many of its whole answers: garble, x = .02.
	foreignEvery = 50
)

// memberAnswer is what a worker answers a member; no other member may see it.
func memberAnswer(member string) string {
	return fmt.Sprintf(`{"member":%q,"account":"account-of-%s"}`+"\n", member, member)
}

// surplus is what a worker sends after whole answers, by connection.
type surplus struct {
	mutex   sync.Mutex
	answers int
	pending map[net.Conn]string
}

// note counts an answer, and keeps it to be sent again on the connection if it is its turn.
func (p *surplus) note(conn net.Conn, answer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.answers++; p.answers%foreignEvery == 0 {
		p.pending[conn] = answer
	}
}

// take returns what is due on the connection.
func (p *surplus) take(conn net.Conn) string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	due := p.pending[conn]
	delete(p.pending, conn)
	return due
}

// playForeignBytes lets workers send more after a whole answer, late, in the place of the next one.
func playForeignBytes(s *site, trouble bool) (result, error) {
	late := &surplus{pending: make(map[net.Conn]string)}
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		id, member := request.Header.Get("Request-Id"), strings.TrimPrefix(request.URL.Path, "/correction/")
		if due := late.take(conn); due != "" {
			s.record.add("worker %s, on the connection of %s: sends more after the whole answer before: %q", w.id, id, due)
			_, _ = io.WriteString(conn, due)
			time.Sleep(20 * time.Millisecond)
		}
		s.record.add("worker %s runs %s of %s", w.id, id, member)
		time.Sleep(10 * time.Millisecond)
		body := memberAnswer(member)
		if trouble {
			late.note(conn, body)
		}
		_, err := io.WriteString(conn, w.head(request, len(body))+body)
		return err == nil
	}
	s.configure([]route{{name: "price-correction", prefix: "/correction/", kind: "unsafe", service: "restate", timeout: 1.2, target: 0.3, priority: 1, attempts: 2}}, nil)
	if err := s.addWorkers("restate", 2, 3, answer); err != nil {
		return result{}, err
	}
	if err := s.startDaemons(2); err != nil {
		return result{}, err
	}
	foreign := 0
	for number := range foreignRequests {
		member := fmt.Sprintf("member-%d", number)
		daemon := s.daemons[number%len(s.daemons)]
		status, body, err := correct(daemon.caller, member)
		s.record.add("%s at %s: status %d, error %v, body %q", member, daemon.name, status, err, body)
		for other := range foreignRequests {
			if other != number && strings.Contains(body, fmt.Sprintf("account-of-member-%d", other)) && !strings.Contains(fmt.Sprintf("account-of-%s", member), fmt.Sprintf("account-of-member-%d", other)) {
				foreign++
				break
			}
		}
	}
	finding := fmt.Sprintf("%d of %d clients got a part of the answer to another member", foreign, foreignRequests)
	return result{broken: foreign > 0, finding: finding}, nil
}

// correct sends the correction of a member and returns the answer.
func correct(address, member string) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /correction/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: 9\r\n\r\nnav=12.34", member, siteHost, newRequestID("correction")); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
