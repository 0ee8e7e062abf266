package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// weightsRequests is how many requests are sent to each route after the change.
const weightsRequests = 30

// playSplitWeights changes the configuration: a route is split by weights, and another one is added and moved.
func playSplitWeights(s *site, trouble bool) (result, error) {
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		s.record.add("worker %s of service %s runs %s %s", w.id, w.service, request.URL.Path, request.Header.Get("Request-Id"))
		time.Sleep(10 * time.Millisecond)
		_, err := io.WriteString(conn, strings.Replace(w.head(request, 5), "\r\n\r\n", "\r\nService: "+w.service+"\r\n\r\n", 1)+"whole")
		return err == nil
	}
	nav := route{name: "nav-read", prefix: "/nav/", kind: "safe", service: "navboard", timeout: 1, target: 0.25, priority: 2, attempts: 2}
	history := route{name: "history-pull", prefix: "/history/", kind: "safe", service: "archive", timeout: 2, target: 0.6, priority: 2, attempts: 2}
	s.version = 1
	s.configure([]route{nav, history}, nil)
	for _, service := range []string{"navboard", "archive"} {
		if err := s.addWorkers(service, 3, 3, answer); err != nil {
			return result{}, err
		}
	}
	if err := s.startDaemons(3); err != nil {
		return result{}, err
	}
	weight := 0.9
	if trouble {
		weight = 90000
	}
	nav.service, nav.split = "", []share{{Service: "navboard", Weight: weight}, {Service: "archive", Weight: weight / 9}}
	statements := route{name: "statement-batch", prefix: "/statements/", kind: "safe", service: "archive", timeout: 3, target: 1, priority: 2, attempts: 2}
	s.configure([]route{nav, history, statements}, nil)
	time.Sleep(3 * time.Second) // configApplyS is 2
	refused := 0
	for index := range weightsRequests {
		daemon := s.daemons[index%len(s.daemons)]
		seen := get(daemon.caller, fmt.Sprintf("/statements/%d", index), newRequestID("statement"), 3*time.Second)
		s.record.add("client of %s: GET /statements/%d, %s", daemon.name, index, seen)
		if seen.status == http.StatusNotFound {
			refused++
		}
	}
	finding := fmt.Sprintf("%d of %d requests on the added route were refused with 404 from 3 s after the configuration was accepted", refused, weightsRequests)
	return result{broken: refused > 0, finding: finding}, nil
}
