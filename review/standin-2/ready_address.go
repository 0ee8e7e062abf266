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

// strangerEdits is how many commands the client sends: as many revisions lie above the operator's version then.
const strangerEdits = 8

// strangerBody is a body of legal size: it declares that another service runs the corrections.
const strangerBody = `{"edit":{"ID":"edit-%d","Author":"nobody","Summary":"edit %d","Set":{"services":[{"name":"archive","routes_only":true,"allow_unframed":true}],` +
	`"routes":[{"name":"correction-%d","hosts":["` + siteHost + `"],"path_prefix":"/correction/","shares":[{"service":"archive","weight":1}]}]},` +
	`"Deleted":%s}}`

// post sends a request with a body on a new connection and returns the status.
func post(address, host, path, id, body string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s", path, host, id, len(body), body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// readyRuns counts the runs of corrections by services.
type readyRuns struct {
	mutex sync.Mutex
	by    map[string]int
}

func (r *readyRuns) add(service string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.by[service]++
}

func (r *readyRuns) of(service string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.by[service]
}

// playReadyAddress lets a client that is not controlled come at the address that says ready.
func playReadyAddress(s *site, trouble bool) (result, error) {
	runs := &readyRuns{by: make(map[string]int)}
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		s.record.add("worker %s of service %s runs %s %s, %s", w.id, w.service, request.Method, request.URL.Path, request.Header.Get("Request-Id"))
		if strings.HasPrefix(request.URL.Path, "/correction/") {
			runs.add(w.service)
		}
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(conn, w.head(request, 5)+"whole")
		return err == nil
	}
	routes := []route{
		{name: "nav", prefix: "/nav/", kind: "safe", service: "navboard", timeout: 1, target: 0.25, priority: 2, attempts: 2},
		{name: "correction", prefix: "/correction/", kind: "unsafe", service: "restate", timeout: 1.2, target: 0.3, priority: 1, attempts: 2},
		{name: "history", prefix: "/history/", kind: "safe", service: "archive", timeout: 2, target: 0.6, priority: 2, attempts: 2},
	}
	s.version = 1
	s.configure(routes, nil)
	for _, service := range []string{"navboard", "restate", "archive"} {
		if err := s.addWorkers(service, 2, 3, answer); err != nil {
			return result{}, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return result{}, err
	}
	before := s.playOrdinary("before")
	s.playStranger(trouble)
	time.Sleep(2500 * time.Millisecond) // longer than configApplyS
	after := s.playOrdinary("after")
	finding := fmt.Sprintf("corrections run by restate: %d, by archive, to which no configuration sends them: %d; answers before: %v, after: %v", runs.of("restate"), runs.of("archive"), before, after)
	return result{broken: runs.of("archive") > 0, finding: finding}, nil
}

// playOrdinary sends ordinary requests to all daemons and returns how many got each status.
func (s *site) playOrdinary(when string) map[string]int {
	statuses := make(map[string]int)
	for index := range 12 {
		daemon := s.daemons[index%len(s.daemons)]
		id := newRequestID("correction")
		status, err := post(daemon.caller, siteHost, fmt.Sprintf("/correction/%d", index), id, "nav=12.34")
		s.record.add("client of %s, %s: POST /correction/%d, %s: status %d, error %v", daemon.name, when, index, id, status, err)
		statuses[fmt.Sprintf("correction %d", status)]++
		read := get(daemon.caller, fmt.Sprintf("/nav/%d", index), newRequestID("nav"), 2*time.Second)
		s.record.add("client of %s, %s: GET /nav/%d, %s", daemon.name, when, index, read)
		statuses[fmt.Sprintf("nav %d", read.status)]++
	}
	return statuses
}

// playStranger sends bodies of legal size to the address that says ready; without the disruption it asks for readiness only.
func (s *site) playStranger(trouble bool) {
	address := s.daemons[0].admin
	for number := range strangerEdits {
		if !trouble {
			s.record.add("stranger at the ready address: ready %v", s.daemons[0].ready())
			continue
		}
		deleted := "null"
		if number > 0 {
			deleted = fmt.Sprintf(`[{"Kind":"route","Name":"correction-%d"}]`, number-1)
		}
		status, err := post(address, address, "/v1/apply", newRequestID("stranger"), fmt.Sprintf(strangerBody, number, number, number, deleted))
		s.record.add("stranger at the ready address: POST /v1/apply: status %d, error %v", status, err)
	}
}
