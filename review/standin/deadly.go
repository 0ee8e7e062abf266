package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	deadlyWorkers = 8
	deadlyDown    = 2500 * time.Millisecond // a crashed worker is back after that
	deadlyEvery   = time.Second             // the deadly request comes again
	deadlyFor     = 30 * time.Second
	// ordinaryCallers are the callers that send ordinary requests, each with an address of its own. The first of
	// them sends the deadly request as well.
	ordinaryCallers = 12
	ordinaryEvery   = 100 * time.Millisecond
	ordinaryWork    = 200 * time.Millisecond
	deadlyContact   = 3 * time.Second // contactS of the settings
	deadlyRetries   = 3               // that may reach workers later than that
)

// withLength: all bodies come with a length, for comparison.
var withLength = os.Getenv("FRAMING") == "length"

// deadlyBody is the body that ends each worker that begins to run it.
var deadlyBody = bytes.Repeat([]byte("this correction ends the worker that runs it. "), 40)

// deadlyRuns records what the deadly request did to the workers.
type deadlyRuns struct {
	mutex   sync.Mutex
	arrived []time.Time
	ids     map[string]bool
}

// note records an arrival, and returns its number.
func (d *deadlyRuns) note(id string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.arrived = append(d.arrived, time.Now())
	d.ids[id] = true
	return len(d.arrived)
}

// playDeadly: a request whose body comes in chunks ends each worker that begins to run it, and comes again from
// the same caller at any machine. The caller also sends ordinary requests to the same path.
func playDeadly(root string) {
	f := newFleet(root, 3)
	current = f
	runs := &deadlyRuns{ids: make(map[string]bool)}
	serve := func(w *worker, request *http.Request, conn net.Conn, _ *bufio.Reader) bool {
		id := request.Header.Get("Request-Id")
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return false
		}
		if bytes.Equal(body, deadlyBody) {
			record.printf("worker %s: begins to run the deadly request %s, its arrival number %d, and ends", w.id, id, runs.note(id))
			w.crash()
			time.AfterFunc(deadlyDown, func() {
				w.start()
				record.printf("worker %s is back", w.id)
			})
			return false
		}
		time.Sleep(ordinaryWork)
		_, err = io.WriteString(conn, w.answerHead(request, 2)+"ok")
		return err == nil
	}
	for number := range deadlyWorkers {
		w := &worker{store: f.store, service: "restate", id: fmt.Sprintf("w-%d", number+1), address: f.freeAddress(f.network + ".200"), path: "/health", slots: 3, serve: serve}
		w.start()
	}
	f.store.put("config", "main", configuration(route("corrections", "/corrections/", "unsafe", 1.2, 0.3, "restate")))
	f.start(true)
	f.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)

	var mutex sync.Mutex
	ordinary, lost := 0, 0
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for number := range ordinaryCallers {
		clients.Go(func() {
			for turn := 1; ; turn++ {
				select {
				case <-stop:
					return
				case <-time.After(ordinaryEvery):
				}
				id := fmt.Sprintf("ordinary-%d-%d", number+1, turn)
				status := sendCorrection(callerAddress(f, number), f.daemons[(number+turn)%len(f.daemons)].front, id, []byte("correction "+id))
				mutex.Lock()
				ordinary++
				if status == 0 || status == http.StatusBadGateway {
					lost++
				}
				mutex.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	for turn, end := 1, time.Now().Add(deadlyFor); time.Now().Before(end); turn++ {
		if trouble {
			clients.Go(func() {
				sendCorrection(callerAddress(f, 0), f.daemons[turn%len(f.daemons)].front, fmt.Sprintf("deadly-%d", turn), deadlyBody)
			})
		}
		time.Sleep(deadlyEvery)
	}
	close(stop)
	clients.Wait()
	late := 0
	for index, at := range runs.arrived {
		if index >= 3 && at.After(runs.arrived[2].Add(deadlyContact)) {
			late++
		}
	}
	conclude(late > deadlyRetries, "the deadly request ended workers %d times; %d times it reached them later than %s after the third; of %d ordinary requests %d were sent to a worker and lost",
		len(runs.arrived), late, deadlyContact, ordinary, lost)
}

// callerAddress returns the address from which a caller connects.
func callerAddress(f *fleet, number int) string {
	return fmt.Sprintf("%s.%d", f.network, 100+number)
}

// sendCorrection sends a request with a body in chunks, and returns the status of its answer; 0: the connection
// ended without one.
func sendCorrection(caller, front, id string, body []byte) (status int) {
	sent := time.Now()
	defer func() {
		record.printf("client %s: POST /corrections/today, id %s, %d bytes, to %s: status %d after %.3f s", caller, id, len(body), front, status, time.Since(sent).Seconds())
	}()
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
	conn, err := dialer.Dial("tcp", front)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(sent.Add(2500 * time.Millisecond))
	framed := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	if withLength {
		framed = fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	fmt.Fprintf(conn, "POST /corrections/today HTTP/1.1\r\nHost: prices.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n%s", id, framed)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
